package coordinator

import (
	"slices"
	"testing"

	"porthub/policyapi"
	"porthub/routing"
)

// A pinned table stays unchanged while the decision module changes its own, but a draining endpoint is still withheld. After the
// pin is removed, the module's table applies.
func TestPinnedTables(t *testing.T) {
	h := newHarness(t, nil)
	h.startFleet()
	h.advance(10*second, "g1", "g2")
	before := h.openEndpoints("g1", "view")
	pin, err := h.core.Pin(routing.Pin{Scope: routing.Scope{Table: routing.AnyTable}, Reason: "a test"})
	if err != nil {
		t.Fatal(err)
	}
	h.setEndpoints(append(readyEndpoints("a", "a1:1", "a2:1", "a3:1"), readyEndpoints("b", "b1:1", "b2:1")...)...)
	h.advance(30*second, "g1", "g2")
	if got := h.openEndpoints("g1", "view"); !slices.Equal(got, before) || h.logged["pinned"] != 1 {
		t.Errorf("pinned with endpoints %v: g1 may send to %v, want no change", before, got)
	}
	e := append(readyEndpoints("a", "a1:1", "a2:1", "a3:1"), readyEndpoints("b", "b1:1", "b2:1")...)
	e[0].Status = policyapi.Draining
	h.setEndpoints(e...)
	h.advance(2*second, "g1", "g2")
	for _, g := range []Gateway{"g1", "g2"} {
		if got := h.openEndpoints(g, "view"); slices.Contains(got, "a1:1") || len(got) == 0 {
			t.Errorf("%s may send to %v, want some endpoints without the draining a1:1", g, got)
		}
	}
	if h.logged["pin_overruled"] == 0 {
		t.Error("no entry pin_overruled is logged although a drain overrules the pin")
	}
	if _, err := h.core.Unpin(pin.ID, "test finished"); err != nil {
		t.Fatal(err)
	}
	h.advance(5*second, "g1", "g2")
	if got := h.openEndpoints("g1", "view"); !slices.Contains(got, "a3:1") {
		t.Errorf("without the pin g1 may send to %v, want a3:1 among them", got)
	}
}

// Versions include the solver's replacements of the module's tables: a pin that is set while the solver is active fixes the
// solver's weights, also across a restart.
func TestPinHoldsSolverTables(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.Start.ProxyCount = 2 })
	h.startFleet()
	h.advance(5*second, "g1", "g2")
	failing := true
	reportFor := func(seconds int) {
		for range seconds {
			h.now += second
			var in []Input
			for _, g := range []Gateway{"g1", "g2"} {
				r := h.report(g)
				for k := range r.Classes {
					for e := range r.Classes[k].Endpoints {
						if line := &r.Classes[k].Endpoints[e]; failing && r.Classes[k].Class == "save" && line.Endpoint == "a1:1" {
							line.Attempts, line.Failures = 8, 8
						}
					}
				}
				in = append(in, r)
			}
			h.step(in...)
		}
	}
	reportFor(12)
	if slices.Contains(h.openEndpoints("g1", "save"), "a1:1") || !slices.Contains(h.openEndpoints("g1", "view"), "a1:1") {
		t.Fatalf("the solver has not ejected a1:1 for class save alone: g1 may send save to %v", h.openEndpoints("g1", "save"))
	}
	table := h.core.gateways.byName["g1"].tables[1]
	versions := h.core.Versions().Versions(table)
	last := versions[len(versions)-1]
	if _, has := last.ForClass(1).Weights()["a1:1"]; has || last.ForClass(0).Weights()["a1:1"] == 0 {
		t.Errorf("weights of the last version for class save: %v, want none for a1:1", last.ForClass(1).Weights())
	}
	pin, err := h.core.Pin(routing.Pin{Scope: routing.Scope{Table: routing.AnyTable}, Reason: "a known failure"})
	if err != nil {
		t.Fatal(err)
	}
	weights := func() (w [3]float64) {
		for i, endpoint := range []policyapi.EndpointID{"a2:1", "b1:1", "b2:1"} {
			w[i] = h.endpointShare("g1", "save", endpoint)
		}
		return w
	}
	before := weights()
	h.restart(second, "g1", "g2") // the pin and its weights are restored
	failing = false
	if reportFor(20); weights() != before || h.endpointShare("g1", "save", "a1:1") > 0 {
		t.Errorf("pinned with shares %v for class save: got shares %v, want no change", before, weights())
	}
	if _, err := h.core.Unpin(pin.ID, "test finished"); err != nil {
		t.Fatal(err)
	}
	reportFor(20)
	if !slices.Contains(h.openEndpoints("g1", "save"), "a1:1") {
		t.Errorf("without the pin g1 may send class save to %v, want a1:1 among them", h.openEndpoints("g1", "save"))
	}
}
