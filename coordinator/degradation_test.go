package coordinator

import (
	"testing"

	"porthub/degradation"
	"porthub/policyapi"
	"porthub/routing"
)

// At a level, one class is limited to its share of the admitted requests, the other class is unaffected, and the status shows
// which gateways have confirmed the level. After the level, the limit is gone.
func TestLevelDividesAdmission(t *testing.T) {
	h := newHarness(t, withLevels)
	h.startFleet()
	h.advance(5*second, "g1", "g2")
	override := h.forceLevel(1, degradation.FleetScope)
	h.advance(5*second, "g1", "g2")
	// Of 20 requests per second at a gateway, half of each class, view may use 6 of its 10.
	if view, save := h.route("g1", 0), h.route("g1", 1); view.Rate < 4.5 || view.Rate > 7.5 || save.Rate != routing.UnlimitedRate {
		t.Errorf("rates: view %v, want about 6; save %v, want no limit", view.Rate, save.Rate)
	}
	if l := h.core.Degradation(); l.Scopes[0].Name != "tight" || l.Gateways["a"][1] != 1 || l.Gateways["b"][1] != 1 {
		t.Errorf("degradation status %+v, want level tight confirmed by one gateway in each zone", l)
	}
	before := h.publishCount["g1"]
	h.advance(30*second, "g1", "g2")
	if n := h.publishCount["g1"] - before; n > 3 {
		t.Errorf("%d messages in 30 s of unchanged traffic, want at most 3", n)
	}
	if _, err := h.core.ClearLevelOverride(override.ID, "test finished"); err != nil {
		t.Fatal(err)
	}
	h.advance(3*second, "g1", "g2")
	if view := h.route("g1", 0); view.Rate != routing.UnlimitedRate || h.core.Degradation().Gateways["a"][0] != 1 {
		t.Errorf("after the override: route %+v, want no limit; gateways by level %+v, want normal service", view, h.core.Degradation().Gateways)
	}
}

// When capacity is lost, a level is entered after its delay, and levels are left one by one once the capacity is back. At a level,
// no removed endpoint is offered, and an endpoint that is warming up does not get an excessive share.
func TestLevelByLostCapacity(t *testing.T) {
	h := newHarness(t, withLevels)
	h.startFleet()
	h.advance(12*second, "g1", "g2")
	e := fourEndpoints()
	h.setEndpoints(e[:1]...) // three of the four endpoints are removed
	h.advance(3*second, "g1", "g2")
	if l := h.core.Degradation(); l.Scopes[0].Level != 2 || h.logged["service_level"] == 0 {
		t.Errorf("three of four endpoints removed: scope %+v, want level 2 and a log entry", l.Scopes[0])
	}
	if r := h.route("g1", 1); r.RetryPolicy != 0 || h.core.ReportIntervalFactor() != 2 {
		t.Errorf("retry policy %d, want 0; report interval factor %d, want 2", r.RetryPolicy, h.core.ReportIntervalFactor())
	}
	for _, g := range []Gateway{"g1", "g2"} {
		if open := h.openEndpoints(g, "view"); len(open) != 1 || open[0] != "a1:1" {
			t.Errorf("%s may send to %v, want a1:1 alone", g, open)
		}
	}
	h.setEndpoints(e...) // all endpoints are back; three are warming up
	largest := 0.0
	for range 40 {
		h.advance(second, "g1", "g2")
		largest = max(largest, h.endpointShare("g1", "view", "a2:1"))
		if h.core.warmUpProgress(h.core.endpoints.entries["a2:1"]) < 0.5 && largest > 0.5 {
			t.Fatalf("an endpoint that is warming up gets %.2f of the requests at g1, want at most 0.5", largest)
		}
	}
	if l := h.core.Degradation(); l.Scopes[0].Level != 0 {
		t.Errorf("all endpoints are back: scope %+v, want level 0", l.Scopes[0])
	}
}

// Traffic between zones is limited only where a gateway's own zone has most of the warmed-up weight, so a gateway whose zone has
// failed keeps its endpoints.
func TestLevelLimitsCrossZoneTraffic(t *testing.T) {
	h := newHarness(t, withLevels)
	h.startFleet()
	h.advance(5*second, "g1", "g2")
	h.forceLevel(2, degradation.FleetScope)
	h.setEndpoints(readyEndpoints("b", "b1:1", "b2:1")...)
	h.advance(5*second, "g1", "g2")
	if len(h.openEndpoints("g1", "save")) == 0 {
		t.Error("the gateway in the failed zone has no endpoints")
	}
}

// With a limit on the number of endpoints, gateways get different ones, and draining endpoints are still withheld.
func TestLevelLimitsEndpoints(t *testing.T) {
	h := newHarness(t, func(s *Settings) {
		withLevels(s)
		s.Degradation.Levels[0].Bounds.MaxEndpoints = 3
	})
	e := readyEndpoints("a", "a1:1", "a2:1", "a3:1", "a4:1", "a5:1", "a6:1", "a7:1", "a8:1")
	h.setEndpoints(e...)
	for _, g := range []Gateway{"g1", "g2", "g3"} {
		h.connect(g, "a")
	}
	h.advance(5*second, "g1", "g2", "g3")
	h.forceLevel(1, "a")
	h.advance(3*second, "g1", "g2", "g3")
	all := map[policyapi.EndpointID]bool{}
	for _, g := range []Gateway{"g1", "g2", "g3"} {
		open := h.openEndpoints(g, "view")
		if len(open) != 3 {
			t.Errorf("%s may send to %v, want 3 endpoints", g, open)
		}
		for _, id := range open {
			all[id] = true
		}
	}
	if len(all) < 5 {
		t.Errorf("three gateways together may send to %v, want at least 5 endpoints", all)
	}
	drained := h.openEndpoints("g1", "view")[0]
	for i := range e {
		if e[i].ID == drained {
			e[i].Status = policyapi.Draining
		}
	}
	h.setEndpoints(e...)
	h.advance(2*second, "g1", "g2", "g3")
	for _, id := range h.openEndpoints("g1", "view") {
		if id == drained {
			t.Error("a draining endpoint is offered")
		}
	}
	if len(h.openEndpoints("g1", "view")) != 3 {
		t.Errorf("after the drain g1 may send to %v, want 3 endpoints", h.openEndpoints("g1", "view"))
	}
}

// A gateway that reaches no coordinator applies the fallback of its routes. A level survives a restart, and a gateway that
// connects again with an old level gets the current one.
func TestLevelFallbackAndRestart(t *testing.T) {
	h := newHarness(t, withLevels)
	h.startFleet()
	h.advance(5*second, "g1", "g2")
	r := h.route("g1", 0)
	if r.Fallback.After != 10*second || r.Fallback.Duration != 60*second || r.Fallback.Share < 0.5 || r.Fallback.Share > 0.65 {
		t.Fatalf("route of g1 has fallback %+v, want a share of 0.5 to 0.65 after 10 s for 60 s", r.Fallback)
	}
	for silent, want := range map[policyapi.Microseconds]float64{0: 1, 9 * second: 1, 10 * second: r.Fallback.Share, 69 * second: r.Fallback.Share, 70 * second: 1} {
		if got := r.WithoutCoordinator(silent).Share; got != want {
			t.Errorf("after %d s without a coordinator the route admits a share of %v, want %v", silent/second, got, want)
		}
	}
	h.forceLevel(2, "a")
	h.advance(3*second, "g1", "g2")
	h.restart(second, "g1", "g2")
	h.advance(3*second, "g1", "g2")
	if l := h.core.Degradation(); l.Scopes[1].Name != "hard" || len(l.Overrides) != 1 || h.route("g1", 1).RetryPolicy != 0 {
		t.Errorf("after a restart: status %+v, want level hard by one override and no retries", l)
	}
	h.step(GatewayDisconnected{Gateway: "g1", Conn: h.conns["g1"]})
	if _, err := h.core.ClearLevelOverride(h.core.Degradation().Overrides[0].ID, "test finished"); err != nil {
		t.Fatal(err)
	}
	h.advance(20*second, "g2")
	h.connect("g1", "a")
	h.advance(3*second, "g1", "g2")
	if l := h.core.Degradation(); l.Scopes[1].Level != 0 || l.Gateways["a"][0] != 1 || h.route("g1", 0).Rate != routing.UnlimitedRate {
		t.Errorf("after the override, g1 connected again: scope %+v, route %+v; want level 0 and no limit", l.Scopes[1], h.route("g1", 0))
	}
}

// The rate of a table protects its endpoints that are warming up: a level that admits all demand of a class does not raise it.
func TestLevelKeepsTheWarmUpRate(t *testing.T) {
	h := newHarness(t, withLevels)
	h.startFleet()
	h.advance(5*second, "g1", "g2")
	h.forceLevel(1, degradation.FleetScope)
	g := h.core.gateways.byName["g1"]
	h.core.tables.admissions[g.tables[1]] = map[policyapi.RequestClass]policyapi.SetAdmission{1: {Table: g.tables[1], Level: 4, RetryPolicy: 1}}
	h.advance(4*second, "g1", "g2")
	if r := h.core.snapshot(g).Routes[1]; r.Rate != 4 {
		t.Errorf("rate %v, want the table's 4 requests per second", r.Rate)
	}
}
