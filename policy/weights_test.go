package policy

import (
	"testing"

	"porthub/policyapi"
)

// In a fleet of low utilization, requests stay in the local zone, every proxy has lines for every class, and no request is
// rejected.
func TestLowLoadStaysInLocalZone(t *testing.T) {
	h := newHost(t, nil)
	h.startFleet()
	h.advance(10*second, h.steadyReports(10, 0.3, 200_000))
	for p, prefix := range map[policyapi.ProxyID]policyapi.EndpointID{0: "a", 1: "b", 2: "c"} {
		for class, table := range h.binds[p] {
			lines := h.tables[table]
			if len(lines) != 2 || lines[prefix+"1"] == 0 || lines[prefix+"2"] == 0 {
				t.Errorf("proxy %d, class %d: lines %v, want only the two endpoints of its zone", p, class, lines)
			}
		}
	}
	if a := h.admissions[0]; a.Level < unlimitedLevel || a.RetryPolicy != 1 {
		t.Errorf("the admission is %+v, want an unlimited level and retry policy 1", a)
	}
}

// If all ready endpoints have just started, the tables still have lines for them.
func TestOnlyWarmingEndpointsLeft(t *testing.T) {
	h := newHost(t, nil)
	warming := readyEndpoints("a", "a1", "a2")
	warming[0].StartedAt, warming[1].StartedAt = h.now-second, h.now-second
	h.step(policyapi.EndpointUpdate{Kind: policyapi.Snapshot, Endpoints: warming}, policyapi.ProxyConnected{Proxy: 0, Zone: "b", Weight: 20})
	h.advance(second, nil)
	if lines := h.tables[h.binds[0][0]]; len(lines) != 2 {
		t.Errorf("lines %v, want those of both warming endpoints", lines)
	}
}

// A draining endpoint is removed from all tables at once, and proxies that connect later do not get it.
func TestDrainingEndpointLeavesAllTables(t *testing.T) {
	h := newHost(t, nil)
	h.startFleet()
	h.advance(5*second, h.steadyReports(20, 0.8, 200_000))
	drain := readyEndpoints("a", "a1")
	drain[0].Status = policyapi.Draining
	h.step(policyapi.EndpointUpdate{Kind: policyapi.Delta, Endpoints: drain})
	h.advance(second, nil)
	h.step(policyapi.ProxyConnected{Proxy: 9, Zone: "a", HasDefaultTableOnly: true, Weight: 3})
	h.advance(second, h.steadyReports(20, 0.8, 200_000))
	for table, lines := range h.tables {
		if w, has := lines["a1"]; has {
			t.Errorf("table %d still has the draining endpoint, with weight %.2f", table, w)
		}
	}
	if len(h.binds[9]) == 0 {
		t.Error("the proxy that connected after the drain is not bound")
	}
}

// Proxies of a zone without endpoints get lines of other zones: a connected proxy always has lines while any endpoint is
// listed as ready.
func TestZoneWithoutEndpointsUsesOtherZones(t *testing.T) {
	h := newHost(t, nil)
	h.startFleet()
	h.advance(3*second, h.steadyReports(20, 0.4, 200_000))
	h.step(policyapi.EndpointUpdate{Kind: policyapi.Snapshot, Endpoints: append(readyEndpoints("b", "b1", "b2"), readyEndpoints("c", "c1")...)})
	h.advance(second, nil)
	if lines := h.tables[h.binds[0][0]]; len(lines) != 3 {
		t.Errorf("the proxy in the zone without endpoints has lines %v, want the three of the other zones", lines)
	}
}

// An endpoint that has just started gets a small weight that grows. It gets none while all others are overloaded: retries and
// requests that avoid the full endpoints would overload it at any weight.
func TestSlowStartOfNewEndpoint(t *testing.T) {
	h := newHost(t, nil)
	h.startFleet()
	h.advance(6*second, h.steadyReports(20, 0.5, 200_000))
	full := h.tables[0]["a1"]
	warming := readyEndpoints("a", "a1")
	warming[0].StartedAt = h.now - second
	h.step(policyapi.EndpointUpdate{Kind: policyapi.Delta, Endpoints: warming})
	h.advance(second, h.steadyReports(20, 0.5, 200_000))
	initial := h.tables[0]["a1"]
	if initial == 0 || initial > 0.3*full {
		t.Errorf("the new process has weight %.2f, want more than 0 and at most 0.3 of %.2f", initial, full)
	}
	h.advance(8*second, h.steadyReports(20, 0.5, 200_000))
	if w := h.tables[0]["a1"]; w < 1.5*initial || w > 0.9*full {
		t.Errorf("halfway through the warm-up the weight is %.2f, want it between 1.5 times %.2f and 0.9 of %.2f", w, initial, full)
	}
	h.failureRate = 0.7
	warming[0].StartedAt = h.now
	h.step(policyapi.EndpointUpdate{Kind: policyapi.Delta, Endpoints: warming})
	h.advance(5*second, h.steadyReports(60, 1, 1_500_000))
	if w := h.tables[0]["a1"]; w > 0 {
		t.Errorf("during the overload the warming endpoint has weight %.2f, want none", w)
	}
}

// If a few proxies suddenly receive much of the traffic, their zone spills over: its own endpoints would be overloaded.
func TestBusyZoneSpillsOver(t *testing.T) {
	h := newHost(t, nil)
	h.startFleet()
	h.advance(8*second, h.steadyReports(20, 0.7, 200_000))
	h.extraRate = 60
	h.advance(8*second, h.steadyReports(20, 0.9, 400_000))
	if lines := h.tables[h.binds[0][0]]; len(lines) < 4 {
		t.Errorf("the busy zone has lines %v, want at least 4, and so some of other zones", lines)
	}
}

// A class that only some zones may serve has its own tables, without lines of other zones.
func TestClassStaysInAllowedZones(t *testing.T) {
	h := newHost(t, func(start *policyapi.Start) { start.Classes[1].AllowedZones = []policyapi.Zone{"a", "b"} })
	h.startFleet()
	h.advance(8*second, h.steadyReports(60, 0.9, 400_000))
	for p := range policyapi.ProxyID(3) {
		lines := h.tables[h.binds[p][1]]
		if len(lines) == 0 || lines["c1"] > 0 || lines["c2"] > 0 {
			t.Errorf("proxy %d has lines %v for the class, want some and none of zone c", p, lines)
		}
	}
}
