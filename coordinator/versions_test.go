package coordinator

import (
	"slices"
	"testing"

	"porthub/policyapi"
	"porthub/routing"
)

// A pinned table stays unchanged while the module changes it; a drain still withholds its endpoint, and after the pin the
// module's table applies.
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
		t.Errorf("pinned at %v, holds %v", before, got)
	}
	e := append(readyEndpoints("a", "a1:1", "a2:1", "a3:1"), readyEndpoints("b", "b1:1", "b2:1")...)
	e[0].Status = policyapi.Draining
	h.setEndpoints(e...)
	h.advance(2*second, "g1", "g2")
	for _, g := range []Gateway{"g1", "g2"} {
		if got := h.openEndpoints(g, "view"); slices.Contains(got, "a1:1") || len(got) == 0 {
			t.Errorf("%s may send to %v", g, got)
		}
	}
	if h.logged["pin_overruled"] == 0 {
		t.Error("it is not logged that the rules overrule the pin")
	}
	if _, err := h.core.Unpin(pin.ID, "day"); err != nil {
		t.Fatal(err)
	}
	h.advance(5*second, "g1", "g2")
	if got := h.openEndpoints("g1", "view"); !slices.Contains(got, "a3:1") {
		t.Errorf("unpinned, and still %v", got)
	}
}

// Versions include the solver's replacements of the module's tables: a pin that is set while the solver is active fixes its
// weights.
func TestPinHoldsSolverTables(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.Start.ProxyCount = 2 })
	h.startFleet()
	h.advance(5*second, "g1", "g2")
	failing := true
	pass := func(seconds int) {
		for range seconds {
			h.now += second
			var in []Input
			for _, g := range []Gateway{"g1", "g2"} {
				r := h.report(g)
				for k := range r.Classes {
					for e := range r.Classes[k].Endpoints {
						if one := &r.Classes[k].Endpoints[e]; failing && r.Classes[k].Class == "save" && one.Endpoint == "a1:1" {
							one.Attempts, one.Failures = 8, 8
						}
					}
				}
				in = append(in, r)
			}
			h.step(in...)
		}
	}
	pass(12)
	if slices.Contains(h.openEndpoints("g1", "save"), "a1:1") || !slices.Contains(h.openEndpoints("g1", "view"), "a1:1") {
		t.Fatalf("the solver is not active: save goes to %v", h.openEndpoints("g1", "save"))
	}
	table := h.core.gateways.byName["g1"].tables[1]
	versions := h.core.Versions().Versions(table)
	last := versions[len(versions)-1]
	if _, has := last.ForClass(1).Weights()["a1:1"]; has || last.ForClass(0).Weights()["a1:1"] == 0 {
		t.Errorf("the last version has for save %v", last.ForClass(1).Weights())
	}
	pin, err := h.core.Pin(routing.Pin{Scope: routing.Scope{Table: routing.AnyTable}, Reason: "a known failure"})
	if err != nil {
		t.Fatal(err)
	}
	weights := func() (w [3]float64) {
		for i, b := range []policyapi.EndpointID{"a2:1", "b1:1", "b2:1"} {
			w[i] = h.endpointShare("g1", "save", b)
		}
		return w
	}
	before := weights()
	h.restart(second, "g1", "g2") // the pin survives with its weights
	failing = false
	if pass(20); weights() != before || h.endpointShare("g1", "save", "a1:1") > 0 {
		t.Errorf("pinned at %v, and save goes by %v", before, weights())
	}
	if _, err := h.core.Unpin(pin.ID, "day"); err != nil {
		t.Fatal(err)
	}
	pass(20)
	if !slices.Contains(h.openEndpoints("g1", "save"), "a1:1") {
		t.Errorf("unpinned, and save goes to %v alone", h.openEndpoints("g1", "save"))
	}
}
