package coordinator

import (
	"slices"
	"testing"

	"porthub/policyapi"
)

// Empty and failed lists are not applied, duplicate entries and unknown zones are ignored, and start times in the future are
// replaced.
func TestEndpointUpdates(t *testing.T) {
	h := newHarness(t, nil)
	h.startFleet()
	watches := h.watchRequests
	h.setEndpoints()
	if h.core.endpoints.readyCount() != 4 || h.logged["endpoint_list_empty"] != 1 {
		t.Errorf("after an empty list: %d endpoints ready, want 4; logged %v, want 1 endpoint_list_empty", h.core.endpoints.readyCount(), h.logged)
	}
	h.step(EndpointUpdate{EndpointUpdate: policyapi.EndpointUpdate{Kind: policyapi.Failed}, Error: "truncated"})
	h.advance(4*second, "g1", "g2")
	if h.core.endpoints.readyCount() != 4 || h.watchRequests == watches {
		t.Errorf("after a failed list: %d endpoints ready, want 4; requested again: %t, want true", h.core.endpoints.readyCount(), h.watchRequests > watches)
	}
	e := append(readyEndpoints("a", "a1:1", "a2:1", "a3:1", "a1:1"), readyEndpoints("x", "x1:1")...)
	e[1].StartedAt = h.now + 3600*second
	h.setEndpoints(e...)
	for endpoint, startedAt := range map[policyapi.EndpointID]microseconds{"a1:1": 0, "a2:1": h.now, "a3:1": h.now} {
		if got := h.core.endpoints.entries[endpoint]; got.Status != policyapi.Ready || got.StartedAt != startedAt {
			t.Errorf("%s: status %d, want ready; started at %d, want %d", endpoint, got.Status, got.StartedAt, startedAt)
		}
	}
	if h.logged["endpoint_duplicate"] != 1 || h.logged["endpoint_unknown_zone"] != 1 || h.core.endpoints.readyCount() != 3 {
		t.Errorf("%d endpoints ready, want 3; logged %v, want 1 endpoint_duplicate and 1 endpoint_unknown_zone", h.core.endpoints.readyCount(), h.logged)
	}
	h.now += second
	h.setEndpoints(e...) // a list with the same start time in the future does not change the recorded one
	if got := h.core.endpoints.entries["a2:1"].StartedAt; got != h.now-second {
		t.Errorf("a2:1 started at %d by the list of %d, want the start time recorded one second before", got, h.now)
	}
}

// A draining endpoint is withheld within a second, even at gateways that are bound to a table that the module no longer updates.
func TestDrainingEndpointIsWithheldInEveryDocument(t *testing.T) {
	h := newHarness(t, nil)
	h.startFleet()
	e := fourEndpoints()
	e[0].Status = policyapi.Draining
	g := h.core.gateways.byName["g2"]
	stale := policyapi.TableID(4000) // a table that the module does not update, as if a binding were in flight
	h.core.tables.weights[stale] = map[policyapi.EndpointID]float64{"a1:1": 1, "b1:1": 1}
	g.tables = slices.Repeat([]policyapi.TableID{stale}, 2)
	h.setEndpoints(e...)
	h.advance(second, "g1", "g2")
	for _, g := range []Gateway{"g1", "g2"} {
		if slices.Contains(h.openEndpoints(g, "view"), "a1:1") || len(h.openEndpoints(g, "view")) == 0 {
			t.Errorf("%s may send to %v, want some endpoints without the draining a1:1", g, h.openEndpoints(g, "view"))
		}
	}
}

// When the last endpoints that may serve a class drain, no document offers them any more.
func TestLastEndpointsOfAClassDrain(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.Start.Classes[1].LocalZoneOnly = true })
	h.startFleet()
	if open := h.openEndpoints("g1", "save"); !slices.Contains(open, "a1:1") || slices.Contains(open, "b1:1") {
		t.Fatalf("g1 may send class save to %v, want the endpoints of zone a alone", open)
	}
	e := fourEndpoints()
	e[0].Status, e[1].Status = policyapi.Draining, policyapi.Draining
	h.setEndpoints(e...)
	h.advance(second, "g1", "g2")
	if open := h.openEndpoints("g1", "save"); len(open) > 0 {
		t.Errorf("g1 may send class save to %v, want no endpoint", open)
	}
	if open := h.openEndpoints("g1", "view"); len(open) == 0 || slices.Contains(open, "a1:1") {
		t.Errorf("g1 may send class view to %v, want some endpoints without the draining a1:1", open)
	}
}
