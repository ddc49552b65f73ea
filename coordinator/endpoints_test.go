package coordinator

import (
	"slices"
	"testing"

	"porthub/policyapi"
)

func TestEndpointUpdates(t *testing.T) {
	h := newHarness(t, nil)
	h.startFleet()
	watches := h.watchRequests
	h.setEndpoints()
	if h.core.endpoints.readyCount() != 4 || h.logged["endpoint_list_empty"] != 1 {
		t.Errorf("after an empty list: %d ready, %v", h.core.endpoints.readyCount(), h.logged)
	}
	h.step(EndpointUpdate{EndpointUpdate: policyapi.EndpointUpdate{Kind: policyapi.Failed}, Error: "truncated"})
	h.advance(4*second, "g1", "g2")
	if h.core.endpoints.readyCount() != 4 || h.watchRequests == watches {
		t.Errorf("after a failed list: %d ready, requested again: %t", h.core.endpoints.readyCount(), h.watchRequests > watches)
	}
	e := append(readyEndpoints("a", "a1:1", "a2:1", "a3:1", "a1:1"), readyEndpoints("x", "x1:1")...)
	e[1].StartedAt = h.now + 3600*second
	h.setEndpoints(e...)
	for endpoint, startedAt := range map[policyapi.EndpointID]microseconds{"a1:1": 0, "a2:1": h.now, "a3:1": h.now} {
		if got := h.core.endpoints.entries[endpoint]; got.Status != policyapi.Ready || got.StartedAt != startedAt {
			t.Errorf("%s: status %d, startedAt %d, want %d", endpoint, got.Status, got.StartedAt, startedAt)
		}
	}
	if h.logged["endpoint_duplicate"] != 1 || h.logged["endpoint_unknown_zone"] != 1 || h.core.endpoints.readyCount() != 3 {
		t.Errorf("%d ready, %v", h.core.endpoints.readyCount(), h.logged)
	}
	h.now += second
	h.setEndpoints(e...) // the clock ahead of ours states the same time: it is no new start
	if got := h.core.endpoints.entries["a2:1"].StartedAt; got != h.now-second {
		t.Errorf("a start ahead of our clock moves along: %d at %d", got, h.now)
	}
}

// A drain withholds an endpoint at once, even in documents whose table the module no longer updates.
func TestDrainingEndpointIsWithheldInEveryDocument(t *testing.T) {
	h := newHarness(t, nil)
	h.startFleet()
	e := fourEndpoints()
	e[0].Status = policyapi.Draining
	g := h.core.gateways.byName["g2"]
	stale := policyapi.TableID(4000) // as if the module had another table and the binding were still in flight
	h.core.tables.weights[stale] = map[policyapi.EndpointID]float64{"a1:1": 1, "b1:1": 1}
	g.tables = slices.Repeat([]policyapi.TableID{stale}, 2)
	h.setEndpoints(e...)
	h.advance(second, "g1", "g2")
	for _, g := range []Gateway{"g1", "g2"} {
		if slices.Contains(h.openEndpoints(g, "view"), "a1:1") || len(h.openEndpoints(g, "view")) == 0 {
			t.Errorf("%s may send to %v", g, h.openEndpoints(g, "view"))
		}
	}
}

// When the last endpoints that a class may go to drain, its table is empty and no document offers them any more.
func TestLastEndpointsOfAClassDrain(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.Start.Classes[1].LocalZoneOnly = true })
	h.startFleet()
	if open := h.openEndpoints("g1", "save"); !slices.Contains(open, "a1:1") || slices.Contains(open, "b1:1") {
		t.Fatalf("g1 may send to %v", open)
	}
	e := fourEndpoints()
	e[0].Status, e[1].Status = policyapi.Draining, policyapi.Draining
	h.setEndpoints(e...)
	h.advance(second, "g1", "g2")
	if open := h.openEndpoints("g1", "save"); len(open) > 0 {
		t.Errorf("g1 may send what is bound to its zone to %v", open)
	}
	if open := h.openEndpoints("g1", "view"); len(open) == 0 || slices.Contains(open, "a1:1") {
		t.Errorf("g1 may send the rest to %v", open)
	}
}
