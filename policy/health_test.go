package policy

import (
	"fmt"
	"slices"
	"testing"

	"porthub/policyapi"
)

// An endpoint without reports, of which its lines lead to expect attempts, loses its lines, and gets them back step by step
// once a health check passes.
func TestUnresponsiveEndpointIsEjectedAndRecovers(t *testing.T) {
	h := newHost(t, nil)
	h.startFleet()
	h.advance(5*second, h.steadyReports(20, 0.4, 200_000))
	full := h.tables[0]["a1"]
	h.advance(5*second, h.steadyReports(20, 0.4, 200_000, "a1"))
	if w, has := h.tables[0]["a1"]; has {
		t.Fatalf("the unresponsive endpoint still has weight %.2f", w)
	}
	h.advance(3*second, h.steadyReports(20, 0.4, 200_000, "a1"))
	if h.count["health check"] == 0 {
		t.Fatal("its health was not checked")
	}
	h.step(policyapi.HealthCheckResult{Endpoint: "a1", Healthy: true})
	h.advance(2*second, h.steadyReports(20, 0.4, 200_000))
	if w := h.tables[0]["a1"]; w == 0 || w > full/2 {
		t.Errorf("back with weight %.2f, want a small part of %.2f", w, full)
	}
	h.advance(20*second, h.steadyReports(20, 0.4, 200_000))
	if w := h.tables[0]["a1"]; w < 0.8*full {
		t.Errorf("long after it has weight %.2f, want about %.2f", w, full)
	}
}

// Most endpoints stop responding to one zone at once: the network is at fault, and the zone's tables must not be emptied.
func TestPanicThresholdKeepsLines(t *testing.T) {
	h := newHost(t, nil)
	h.startFleet()
	h.advance(12*second, h.steadyReports(60, 0.3, 400_000))
	if n := len(h.tables[h.binds[0][0]]); n < 6 {
		t.Fatalf("the full fleet is not open: %d lines", n)
	}
	h.advance(20*second, h.steadyReports(60, 0.3, 400_000, "a2", "b1", "b2", "c1", "c2"))
	for p, tables := range h.binds {
		if len(h.tables[tables[0]]) < 2 {
			t.Errorf("proxy %d is left with lines %v", p, h.tables[tables[0]])
		}
	}
}

// What slows all endpoints alike is not one faulty endpoint: weights and lines stay, none is ejected.
func TestFleetWideSlownessEjectsNobody(t *testing.T) {
	h := newHost(t, nil)
	h.startFleet()
	h.advance(8*second, h.steadyReports(20, 0.5, 200_000))
	h.advance(8*second, h.steadyReports(20, 0.8, 500_000))
	for p, prefix := range map[policyapi.ProxyID]policyapi.EndpointID{0: "a", 1: "b", 2: "c"} {
		if lines := h.tables[h.binds[p][0]]; lines[prefix+"1"] < 0.8 || lines[prefix+"2"] < 0.8 {
			t.Errorf("proxy %d has lines %v", p, lines)
		}
	}
}

// One endpoint that answers far later than its machine type, but still answers, is not ejected: it gets less, not nothing.
func TestSlowerThanMachineTypeGetsLessWeight(t *testing.T) {
	h := newHost(t, nil)
	h.startFleet()
	h.advance(8*second, h.steadyReports(20, 0.5, 200_000))
	full := h.tables[0]["a1"]
	h.slowEndpoint = "a1"
	h.advance(6*second, h.steadyReports(20, 0.5, 200_000))
	if w := h.tables[0]["a1"]; w == 0 || w > 0.7*full {
		t.Errorf("the slow endpoint has weight %.2f of %.2f", w, full)
	}
	h.slowEndpoint = ""
	h.advance(10*second, h.steadyReports(20, 0.5, 200_000))
	if w := h.tables[0]["a1"]; w < 0.8*full {
		t.Errorf("recovered it has weight %.2f of %.2f", w, full)
	}
}

// An endpoint that only one zone's proxies cannot reach leaves that zone's tables alone.
func TestEjectionFromOneZoneOnly(t *testing.T) {
	h := newHost(t, nil)
	h.startFleet()
	h.advance(12*second, h.steadyReports(60, 0.3, 400_000))
	reports := h.steadyReports(60, 0.3, 400_000)
	h.advance(4*second, func() []policyapi.Event {
		return slices.DeleteFunc(reports(), func(ev policyapi.Event) bool {
			load, is := ev.(policyapi.EndpointLoad)
			return is && load.Zone == "a" && load.Endpoint == "b1"
		})
	})
	if h.tables[h.binds[0][0]]["b1"] > 0 || h.tables[h.binds[1][0]]["b1"] == 0 {
		t.Errorf("lines of zone a %v, of zone b %v", h.tables[h.binds[0][0]], h.tables[h.binds[1][0]])
	}
}

// Reports are capped: an endpoint without a report does not count as silent while older lines still arrive, but does after.
func TestUnreportedEndpointIsNotSilent(t *testing.T) {
	for _, lineLimit := range []float64{8, 200} {
		t.Run(fmt.Sprintf("%.0f lines per second", lineLimit), func(t *testing.T) {
			h := newHost(t, func(start *policyapi.Start) { start.Reports.MaxLinesPerSecond = lineLimit })
			h.startFleet()
			h.advance(5*second, h.steadyReports(20, 0.4, 200_000))
			reports := h.steadyReports(20, 0.4, 200_000, "a1")
			h.advance(5*second, func() []policyapi.Event {
				events := reports()
				for i, ev := range events {
					if load, is := ev.(policyapi.EndpointLoad); is {
						load.Period = 9 * second
						events[i] = load
					}
				}
				return events
			})
			if _, has := h.tables[h.binds[0][0]]["a1"]; has != (lineLimit < 20) {
				t.Errorf("with %.0f lines per second at most, the unreported endpoint has a line: %t", lineLimit, has)
			}
		})
	}
}

// When all reports stop, lines and levels stay as they are.
func TestMissingReportsChangeNothing(t *testing.T) {
	h := newHost(t, nil)
	h.startFleet()
	h.advance(10*second, h.steadyReports(20, 0.4, 200_000))
	before := len(h.tables[0])
	h.advance(30*second, nil)
	if len(h.tables[0]) != before || h.admissions[0].Level < unlimitedLevel {
		t.Errorf("after 30 s without reports: lines %v, level %v", h.tables[0], h.admissions[0].Level)
	}
}
