package policy

import (
	"fmt"
	"strconv"
	"testing"

	"porthub/policyapi"
)

// A restarted coordinator binds no proxy according to its cached list, which may contain endpoints that have failed, until a
// newer list arrives. If none arrives, it uses the cached list after a short delay.
func TestRestartWaitsForNewerList(t *testing.T) {
	h := newHost(t, nil)
	h.step(policyapi.EndpointUpdate{Kind: policyapi.Cached, Endpoints: readyEndpoints("a", "a1", "a2")})
	h.step(policyapi.ProxyConnected{Proxy: 0, Zone: "a", Weight: 20})
	if len(h.binds) > 0 {
		t.Error("the proxy was bound according to the cached list")
	}
	h.step(policyapi.EndpointUpdate{Kind: policyapi.Snapshot, Endpoints: readyEndpoints("a", "a2")})
	if lines := h.tables[h.binds[0][0]]; len(lines) != 1 || lines["a2"] == 0 {
		t.Errorf("lines according to the new list: %v, want only a2", lines)
	}
	g := newHost(t, nil)
	g.step(policyapi.EndpointUpdate{Kind: policyapi.Cached, Endpoints: readyEndpoints("a", "a1")})
	g.step(policyapi.ProxyConnected{Proxy: 0, Zone: "a", Weight: 20})
	g.advance(3*second, nil)
	if len(g.binds) == 0 {
		t.Error("the proxy was not bound within 3 s without a newer list")
	}
}

// A list that must be polled is polled again after a failure, with a longer delay after each consecutive failure.
func TestFailedListIsPolledAgain(t *testing.T) {
	h := newHost(t, func(start *policyapi.Start) { start.PollsList = true })
	h.startFleet()
	for range 5 {
		h.step(policyapi.EndpointUpdate{Kind: policyapi.Failed})
		h.advance(4*second, nil)
	}
	if h.count["watch"] != 6 {
		t.Errorf("polled %d times, want 6: once at the start and once after each failure", h.count["watch"])
	}
	if len(h.tables[0]) == 0 {
		t.Error("a failed poll emptied the tables")
	}
}

// With soft removal, a list without a serving endpoint does not remove the endpoint's lines as long as it responds. Without
// soft removal, it does.
func TestListRemovesServingEndpoint(t *testing.T) {
	for _, softRemoval := range []bool{true, false} {
		t.Run(fmt.Sprintf("soft removal %t", softRemoval), func(t *testing.T) {
			h := newHost(t, func(start *policyapi.Start) { start.Rules.SoftRemoval = softRemoval })
			h.startFleet()
			h.advance(5*second, h.steadyReports(20, 0.4, 200_000))
			h.step(policyapi.EndpointUpdate{Kind: policyapi.Snapshot, Endpoints: readyEndpoints("a", "a2")})
			h.advance(5*second, h.steadyReports(20, 0.4, 200_000))
			if w := h.tables[h.binds[0][0]]["a1"]; (w > 0) != softRemoval {
				t.Errorf("the removal from the list should remove the lines: %t, but the weight is %.2f", !softRemoval, w)
			}
			h.advance(20*second, h.steadyReports(20, 0.4, 200_000, "a1"))
			if w := h.tables[h.binds[0][0]]["a1"]; w > 0 {
				t.Errorf("the endpoint no longer responds and has weight %.2f, want no line", w)
			}
		})
	}
}

// In a fleet whose endpoints get new IDs, the state of endpoints removed long ago is dropped. An endpoint that is listed again
// within the retention period keeps its state.
func TestRemovedEndpointsAreDropped(t *testing.T) {
	h := newHost(t, nil)
	h.startFleet()
	for i := range 300 {
		id := policyapi.EndpointID(strconv.Itoa(i))
		h.step(policyapi.EndpointUpdate{Kind: policyapi.Delta, Endpoints: readyEndpoints("a", id)})
		h.advance(second, h.steadyReports(20, 0.5, 200_000))
		removed := readyEndpoints("a", id)
		removed[0].Status = policyapi.Removed
		h.step(policyapi.EndpointUpdate{Kind: policyapi.Delta, Endpoints: removed})
	}
	h.advance(second, h.steadyReports(20, 0.5, 200_000))
	in, most := h.instance, 6+int(endpointRetention/second)+3
	for name, n := range map[string]int{"actors": len(in.endpoints.actors), "order": len(in.endpoints.order), "removedAt": len(in.endpoints.removedAt),
		"endpoints": len(in.planner.endpoints), "ofEndpoint": len(in.planner.groups.ofEndpoint), "endpointLoad": len(in.planner.endpointLoad)} {
		if n > most {
			t.Errorf("%d entries of %s are retained, want %d at most", n, name, most)
		}
	}
	back := readyEndpoints("a", "299")
	h.step(policyapi.EndpointUpdate{Kind: policyapi.Delta, Endpoints: back})
	h.advance(2*endpointRetention, h.steadyReports(20, 0.5, 200_000))
	if in.endpoints.actors["299"] == nil || in.endpoints.actors["298"] != nil || len(in.endpoints.actors) != 7 {
		t.Errorf("%d actors, want 7: those of the fleet and the one of the endpoint that is listed again", len(in.endpoints.actors))
	}
}

// Late, repeated, contradictory and unknown events neither cause a panic nor empty the tables.
func TestUnexpectedEventsAreHarmless(t *testing.T) {
	h := newHost(t, nil)
	h.step(policyapi.EndpointLoad{Zone: "z", Endpoint: "x", Attempts: -3, Failures: 9}, policyapi.Acknowledged{Proxy: 7, AckID: 3})
	h.startFleet()
	unexpected := []policyapi.Event{
		policyapi.EndpointLoad{Zone: "a", Endpoint: "gone", Attempts: 5}, policyapi.EndpointLoad{Zone: "z", Endpoint: "a1", Attempts: 5},
		policyapi.ProxyLoad{Proxy: 77, Class: 1, Requests: 9}, policyapi.ProxyLoad{Proxy: 0, Class: -1, Requests: 9},
		policyapi.HealthCheckResult{Endpoint: "x", Healthy: true}, policyapi.ProxyDisconnected{Proxy: 77}, policyapi.ProxyDisconnected{Proxy: 2},
		policyapi.ProxyDisconnected{Proxy: 2}, policyapi.TimerFired{Token: 99}, policyapi.PeerMessage{From: 3, Body: []byte("?")},
		policyapi.Acknowledged{Proxy: 0, AckID: 9999}, policyapi.SliceAssigned{Assigned: true, Table: 3}, policyapi.SliceLoad{Table: 3},
		policyapi.EndpointLoad{Zone: "a", Endpoint: "a1", Attempts: 0, Failures: 4, Metrics: policyapi.LoadMetrics{"busy": -1, "odd": 3}},
		policyapi.EndpointUpdate{Kind: policyapi.Delta, Endpoints: []policyapi.Endpoint{{ID: "new", Zone: "z"},
			{ID: "a9", Status: policyapi.Removed}}},
		policyapi.ProxyConnected{Proxy: 1, Zone: "z"}, policyapi.ProxyConnected{Proxy: 1, Zone: "b", Weight: 5},
	}
	for range 20 {
		h.step(unexpected...)
		h.advance(second, h.steadyReports(20, 0.5, 200_000))
	}
	if lines := h.tables[h.binds[0][0]]; lines["a1"] == 0 || lines["a2"] == 0 {
		t.Errorf("proxy 0 has lines %v, want lines of a1 and a2", lines)
	}
}
