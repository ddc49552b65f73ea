package coordinator

import (
	"slices"
	"testing"

	"porthub/policyapi"
	"porthub/recovery"
	"porthub/routing"
	"porthub/solver"
)

// restart ends a core after so long and starts another one from what the first remembers; the gateways dial again.
func (h *harness) restart(down microseconds, gateways ...Gateway) {
	h.t.Helper()
	s := h.core.Snapshot()
	set := h.core.settings
	set.Epoch += "x"
	h.now += down
	h.published = map[Gateway]Publish{} // what is looked at after is the new one's
	h.core = New(set)
	var kinds []string
	for _, k := range set.Start.Classes {
		kinds = append(kinds, k.Name)
	}
	b := recovery.Restore(s, h.now, kinds, set.Start.Zones)
	h.core.Restore(h.now, b)
	h.step(EndpointUpdate{EndpointUpdate: policyapi.EndpointUpdate{Version: b.Version, Kind: policyapi.Cached, Endpoints: b.Endpoints}})
	for _, g := range gateways {
		h.connect(g, policyapi.Zone([]string{"a", "b"}[(g[1]-'1')%2]))
	}
}

func (h *harness) endpointShare(g Gateway, kind string, b policyapi.EndpointID) float64 {
	sum, own := 0.0, 0.0
	for _, c := range h.published[g].Snapshot.Clusters {
		for _, l := range c.Endpoints {
			if c.Class == kind && !l.Withheld {
				if sum += l.Weight; l.Endpoint == b {
					own = l.Weight
				}
			}
		}
	}
	return own / max(sum, 1e-9)
}

// What drained before the crash stays drained until a fresh list says otherwise; what started while nobody looked is cold.
func TestRestartKeepsDrainsAndWarmUp(t *testing.T) {
	h := newHarness(t, nil)
	h.startFleet()
	h.advance(30*second, "g1", "g2")
	e := append(readyEndpoints("a", "a1:1", "a2:1"), readyEndpoints("b", "b1:1", "b2:1")...)
	e[0].Status = policyapi.Draining
	h.setEndpoints(e...)
	h.restart(2*second, "g1", "g2")
	h.advance(second, "g1", "g2")
	for _, g := range []Gateway{"g1", "g2"} {
		if open := h.openEndpoints(g, "view"); slices.Contains(open, "a1:1") || len(open) == 0 {
			t.Errorf("%s after the restart: %v", g, open)
		}
	}
	h.setEndpoints(append(e, readyEndpoints("a", "a3:1")...)...)
	h.advance(second, "g1", "g2")
	if w := h.core.warmUpProgress(h.core.endpoints.entries["a3:1"]); w > 0.3 {
		t.Errorf("what has started since is warm: %.2f", w)
	}
	if w := h.core.warmUpProgress(h.core.endpoints.entries["a2:1"]); w < 1 {
		t.Errorf("what ran all the time is cold: %.2f", w)
	}
	for _, g := range []Gateway{"g1", "g2"} {
		if w := h.endpointShare(g, "view", "a3:1"); w > 0.25 {
			t.Errorf("%s sends the cold one %.2f", g, w)
		}
	}
}

// Three crashes in a row, the later ones before a gateway has come back: it is still known, and the pin holds.
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
		t.Fatalf("pinned at 0.75, %.2f", w)
	}
	usage := h.core.gateways.byName["g1"].demand
	h.restart(second)
	h.restart(second, "g2")
	h.restart(second)
	h.restart(second, "g1", "g2")
	if got := h.core.gateways.byName["g1"].demand; len(got) != len(usage) || got[0] != usage[0] {
		t.Errorf("usage %v, was %v", got, usage)
	}
	h.advance(20*second, "g1", "g2")
	if w := h.endpointShare("g1", "view", "a1:1"); w != 0.75 || len(h.core.Versions().Pins()) != 1 {
		t.Errorf("the pin was lost: %.2f, %v", w, h.core.Versions().Pins())
	}
	if _, err := h.core.Unpin(h.core.Versions().Pins()[0].ID, "over"); err != nil {
		t.Fatal(err)
	}
	h.advance(3*second, "g1", "g2")
	if w := h.endpointShare("g1", "view", "a1:1"); w == 0.75 {
		t.Errorf("unpinned: %.2f", w)
	}
}

// A node that failed a kind before is still kept from it, and is tried again soon.
func TestRestartKeepsEjections(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.Start.ProxyCount = 2 })
	h.startFleet()
	b := recovery.Restore(h.core.Snapshot(), h.now, h.core.classNames(), h.core.settings.Start.Zones)
	b.Ejections = append(b.Ejections, solver.Ejection{Endpoint: "a1:1", Class: 1, Backoff: 8 * second})
	set := h.core.settings
	set.Epoch = "y"
	h.core = New(set)
	h.core.Restore(h.now, b)
	h.step(EndpointUpdate{EndpointUpdate: policyapi.EndpointUpdate{Kind: policyapi.Cached, Endpoints: b.Endpoints}})
	h.published = map[Gateway]Publish{}
	h.connect("g1", "a")
	h.connect("g2", "b")
	h.setEndpoints(append(readyEndpoints("a", "a1:1", "a2:1"), readyEndpoints("b", "b1:1", "b2:1")...)...)
	h.advance(second / 2)
	if v := h.core.solver.health.Status("a1:1", 1); v != solver.ClassOnTrial {
		t.Errorf("it stands at %v with the kind that it failed", v)
	}
	h.advance(20*second, "g1", "g2")
	if !slices.Contains(h.openEndpoints("g1", "save"), "a1:1") {
		t.Errorf("it serves, and is kept out for ever: %v", h.openEndpoints("g1", "save"))
	}
}
