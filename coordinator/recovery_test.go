package coordinator

import (
	"slices"
	"testing"

	"porthub/policyapi"
	"porthub/recovery"
	"porthub/routing"
	"porthub/solver"
)

// Endpoints that were draining before a restart keep draining until a fresh list shows otherwise, and those that have started
// since warm up.
func TestRestartKeepsDrainsAndWarmUp(t *testing.T) {
	h := newHarness(t, nil)
	h.startFleet()
	h.advance(30*second, "g1", "g2")
	e := fourEndpoints()
	e[0].Status = policyapi.Draining
	h.setEndpoints(e...)
	h.restart(2*second, "g1", "g2")
	h.advance(second, "g1", "g2")
	for _, g := range []Gateway{"g1", "g2"} {
		if open := h.openEndpoints(g, "view"); slices.Contains(open, "a1:1") || len(open) == 0 {
			t.Errorf("after the restart %s may send to %v, want some endpoints without the draining a1:1", g, open)
		}
	}
	h.setEndpoints(append(e, readyEndpoints("a", "a3:1")...)...)
	h.advance(second, "g1", "g2")
	if w := h.core.warmUpProgress(h.core.endpoints.entries["a3:1"]); w > 0.3 {
		t.Errorf("a3:1 has started since the restart: warm-up progress %.2f, want at most 0.3", w)
	}
	if w := h.core.warmUpProgress(h.core.endpoints.entries["a2:1"]); w < 1 {
		t.Errorf("a2:1 has kept running: warm-up progress %.2f, want 1", w)
	}
	for _, g := range []Gateway{"g1", "g2"} {
		if w := h.endpointShare(g, "view", "a3:1"); w > 0.25 {
			t.Errorf("%s sends a3:1, which is warming up, a share of %.2f, want at most 0.25", g, w)
		}
	}
}

// The state of a gateway and a pin survive several restarts in a row, even if the gateway does not connect between them.
func TestThreeRestartsInARow(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.Start.ProxyCount = 2 })
	h.startFleet()
	h.advance(5*second, "g1", "g2")
	table := h.core.gateways.byName["g1"].tables[0]
	h.core.versions.Put(h.now, table, routing.Weights{"a1:1": 3, "a2:1": 1}, nil)
	if _, err := h.core.Pin(routing.Pin{Scope: routing.Scope{Table: table}, Reason: "a test"}); err != nil {
		t.Fatal(err)
	}
	h.advance(2*second, "g1", "g2")
	if w := h.endpointShare("g1", "view", "a1:1"); w != 0.75 {
		t.Fatalf("share of a1:1 is %.2f, want the pinned 0.75", w)
	}
	demand := h.core.gateways.byName["g1"].demand
	h.restart(second)
	h.restart(second, "g2")
	h.restart(second)
	h.restart(second, "g1", "g2")
	if got := h.core.gateways.byName["g1"].demand; len(got) != len(demand) || got[0] != demand[0] {
		t.Errorf("demand of g1 after the restarts: %v, want %v", got, demand)
	}
	h.advance(20*second, "g1", "g2")
	if w := h.endpointShare("g1", "view", "a1:1"); w != 0.75 || len(h.core.Versions().Pins()) != 1 {
		t.Errorf("after the restarts: share of a1:1 %.2f, want the pinned 0.75; pins %v, want one", w, h.core.Versions().Pins())
	}
	if _, err := h.core.Unpin(h.core.Versions().Pins()[0].ID, "test finished"); err != nil {
		t.Fatal(err)
	}
	h.advance(3*second, "g1", "g2")
	if w := h.endpointShare("g1", "view", "a1:1"); w == 0.75 {
		t.Errorf("without the pin the share of a1:1 is still %.2f", w)
	}
}

// An endpoint that was ejected for a class before a restart is on trial for the class after it, and is readmitted if it serves.
func TestRestartKeepsEjections(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.Start.ProxyCount = 2 })
	h.startFleet()
	state := recovery.Restore(h.core.Snapshot(), h.now, h.core.classNames(), h.core.settings.Start.Zones)
	state.Ejections = append(state.Ejections, solver.Ejection{Endpoint: "a1:1", Class: 1, Backoff: 8 * second})
	settings := h.core.settings
	settings.Epoch = "y"
	h.core = New(settings)
	h.core.Restore(h.now, state)
	h.step(EndpointUpdate{EndpointUpdate: policyapi.EndpointUpdate{Kind: policyapi.Cached, Endpoints: state.Endpoints}})
	h.published = map[Gateway]Publish{}
	h.connect("g1", "a")
	h.connect("g2", "b")
	h.setEndpoints(fourEndpoints()...)
	h.advance(second / 2)
	if v := h.core.solver.health.Status("a1:1", 1); v != solver.ClassOnTrial {
		t.Errorf("status of a1:1 for the class that it failed is %v, want on trial", v)
	}
	h.advance(20*second, "g1", "g2")
	if !slices.Contains(h.openEndpoints("g1", "save"), "a1:1") {
		t.Errorf("g1 may send class save to %v, want the readmitted a1:1 among them", h.openEndpoints("g1", "save"))
	}
}
