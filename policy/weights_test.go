package policy

import (
	"testing"

	"porthub/policyapi"
)

// A fleet of low utilization keeps its attempts in the local zone, every proxy has a line for every class, and nothing is
// rejected.
func TestLowLoadStaysInLocalZone(t *testing.T) {
	h := newHost(t, nil)
	h.startFleet()
	h.advance(10*second, h.steadyReports(10, 0.3, 200_000))
	for p, prefix := range map[policyapi.ProxyID]policyapi.EndpointID{0: "a", 1: "b", 2: "c"} {
		for class, table := range h.binds[p] {
			lines := h.tables[table]
			if len(lines) != 2 || lines[prefix+"1"] == 0 || lines[prefix+"2"] == 0 {
				t.Errorf("proxy %d, class %d: lines %v, want the two of its zone", p, class, lines)
			}
		}
	}
	if a := h.admissions[0]; a.Level < unlimitedLevel || a.RetryPolicy != 1 {
		t.Errorf("a fleet of low utilization has level %+v", a)
	}
}

// If all ready endpoints have just started, they still get lines.
func TestOnlyWarmingEndpointsLeft(t *testing.T) {
	h := newHost(t, nil)
	warming := readyEndpoints("a", "a1", "a2")
	warming[0].StartedAt, warming[1].StartedAt = h.now-second, h.now-second
	h.step(policyapi.EndpointUpdate{Kind: policyapi.Snapshot, Endpoints: warming}, policyapi.ProxyConnected{Proxy: 0, Zone: "b", Weight: 20})
	h.advance(second, nil)
	if lines := h.tables[h.binds[0][0]]; len(lines) != 2 {
		t.Errorf("lines %v", lines)
	}
}

// A draining endpoint leaves all tables at once, and proxies that connect later never get it.
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
			t.Errorf("table %d still has the draining endpoint at %.2f", table, w)
		}
	}
	if len(h.binds[9]) == 0 {
		t.Error("the late proxy was not bound")
	}
}

// A zone without endpoints gets lines elsewhere: a connected proxy always has one while any is listed ready.
func TestZoneWithoutEndpointsUsesOtherZones(t *testing.T) {
	h := newHost(t, nil)
	h.startFleet()
	h.advance(3*second, h.steadyReports(20, 0.4, 200_000))
	h.step(policyapi.EndpointUpdate{Kind: policyapi.Snapshot, Endpoints: append(readyEndpoints("b", "b1", "b2"), readyEndpoints("c", "c1")...)})
	h.advance(second, nil)
	if lines := h.tables[h.binds[0][0]]; len(lines) != 3 {
		t.Errorf("the proxy of the lost zone has lines %v", lines)
	}
}

// An endpoint that has just started gets a small weight that grows, and none while all others are overloaded: retries and
// requests that avoid the full ones would overload it at any weight.
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
		t.Errorf("new process has weight %.2f of %.2f", initial, full)
	}
	h.advance(8*second, h.steadyReports(20, 0.5, 200_000))
	if w := h.tables[0]["a1"]; w < 1.5*initial || w > 0.9*full {
		t.Errorf("half warm it has weight %.2f, from %.2f to %.2f", w, initial, full)
	}
	h.failureRate = 0.7
	warming[0].StartedAt = h.now
	h.step(policyapi.EndpointUpdate{Kind: policyapi.Delta, Endpoints: warming})
	h.advance(5*second, h.steadyReports(60, 1, 1_500_000))
	if w := h.tables[0]["a1"]; w > 0 {
		t.Errorf("in the overload the warming endpoint has weight %.2f", w)
	}
}

// A few proxies that suddenly carry much of the traffic make their zone spill over: its own endpoints would be overloaded.
func TestBusyZoneSpillsOver(t *testing.T) {
	h := newHost(t, nil)
	h.startFleet()
	h.advance(8*second, h.steadyReports(20, 0.7, 200_000))
	h.extraRate = 60
	h.advance(8*second, h.steadyReports(20, 0.9, 400_000))
	if lines := h.tables[h.binds[0][0]]; len(lines) < 4 {
		t.Errorf("the busy zone has lines %v", lines)
	}
}

// A class that only some zones may serve has tables of its own with no line outside of them.
func TestClassStaysInAllowedZones(t *testing.T) {
	h := newHost(t, func(start *policyapi.Start) { start.Classes[1].AllowedZones = []policyapi.Zone{"a", "b"} })
	h.startFleet()
	h.advance(8*second, h.steadyReports(60, 0.9, 400_000))
	for p := range policyapi.ProxyID(3) {
		lines := h.tables[h.binds[p][1]]
		if len(lines) == 0 || lines["c1"] > 0 || lines["c2"] > 0 {
			t.Errorf("proxy %d has lines %v for the class", p, lines)
		}
	}
}
