package policy

import (
	"fmt"
	"slices"
	"testing"

	"porthub/policyapi"
)

// An endpoint without reports, although its weights should bring attempts, is ejected. Once a health check has succeeded, it
// gets its load back gradually.
func TestUnresponsiveEndpointIsEjectedAndRecovers(t *testing.T) {
	h := newHost(t, nil)
	h.startFleet()
	h.advance(5*second, h.steadyReports(20, 0.4, 200_000))
	full := h.tables[0]["a1"]
	h.advance(5*second, h.steadyReports(20, 0.4, 200_000, "a1"))
	if w, has := h.tables[0]["a1"]; has {
		t.Fatalf("the unresponsive endpoint still has weight %.2f, want no line", w)
	}
	h.advance(3*second, h.steadyReports(20, 0.4, 200_000, "a1"))
	if h.count["health check"] == 0 {
		t.Fatal("no health check of the ejected endpoint was ordered")
	}
	h.step(policyapi.HealthCheckResult{Endpoint: "a1", Healthy: true})
	h.advance(2*second, h.steadyReports(20, 0.4, 200_000))
	if w := h.tables[0]["a1"]; w == 0 || w > full/2 {
		t.Errorf("2 s after the health check the weight is %.2f, want more than 0 and at most half of %.2f", w, full)
	}
	h.advance(20*second, h.steadyReports(20, 0.4, 200_000))
	if w := h.tables[0]["a1"]; w < 0.8*full {
		t.Errorf("22 s after the health check the weight is %.2f, want at least 0.8 of %.2f", w, full)
	}
}

// If most endpoints stop responding at the same time, the fault is more likely in the network, and the tables must not be emptied.
func TestPanicThresholdKeepsLines(t *testing.T) {
	h := newHost(t, nil)
	h.startFleet()
	h.advance(12*second, h.steadyReports(60, 0.3, 400_000))
	if n := len(h.tables[h.binds[0][0]]); n < 6 {
		t.Fatalf("the table has %d lines before the failure, want those of all 6 endpoints", n)
	}
	h.advance(20*second, h.steadyReports(60, 0.3, 400_000, "a2", "b1", "b2", "c1", "c2"))
	for p, tables := range h.binds {
		if len(h.tables[tables[0]]) < 2 {
			t.Errorf("proxy %d is left with lines %v, want at least 2", p, h.tables[tables[0]])
		}
	}
}

// If all endpoints become slow alike, no single endpoint is faulty: they keep their lines and weights, and none is ejected.
func TestFleetWideSlownessEjectsNoEndpoint(t *testing.T) {
	h := newHost(t, nil)
	h.startFleet()
	h.advance(8*second, h.steadyReports(20, 0.5, 200_000))
	h.advance(8*second, h.steadyReports(20, 0.8, 500_000))
	for p, prefix := range map[policyapi.ProxyID]policyapi.EndpointID{0: "a", 1: "b", 2: "c"} {
		if lines := h.tables[h.binds[p][0]]; lines[prefix+"1"] < 0.8 || lines[prefix+"2"] < 0.8 {
			t.Errorf("proxy %d has lines %v, want both endpoints of its zone with weight 0.8 at least", p, lines)
		}
	}
}

// An endpoint that responds, but with a far higher latency than others of its machine type, gets less load and is not ejected.
func TestSlowerThanMachineTypeGetsLessWeight(t *testing.T) {
	h := newHost(t, nil)
	h.startFleet()
	h.advance(8*second, h.steadyReports(20, 0.5, 200_000))
	full := h.tables[0]["a1"]
	h.slowEndpoint = "a1"
	h.advance(6*second, h.steadyReports(20, 0.5, 200_000))
	if w := h.tables[0]["a1"]; w == 0 || w > 0.7*full {
		t.Errorf("the slow endpoint has weight %.2f, want more than 0 and at most 0.7 of %.2f", w, full)
	}
	h.slowEndpoint = ""
	h.advance(10*second, h.steadyReports(20, 0.5, 200_000))
	if w := h.tables[0]["a1"]; w < 0.8*full {
		t.Errorf("after its recovery the endpoint has weight %.2f, want at least 0.8 of %.2f", w, full)
	}
}

// An endpoint that is unreachable only for the proxies of one zone is ejected only from that zone's tables.
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
		t.Errorf("lines of zone a %v, of zone b %v, want b1 only in the latter", h.tables[h.binds[0][0]], h.tables[h.binds[1][0]])
	}
}

// The number of report lines is limited, and the oldest are delivered first. In a round that reaches the limit, an endpoint
// without a report is not considered silent, because its report may still wait behind older lines. In a round below the limit
// it is considered silent and is ejected.
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
				t.Errorf("with %.0f report lines per second at most, the unreported endpoint has a line: %t, want %t",
					lineLimit, has, lineLimit < 20)
			}
		})
	}
}

// If all reports stop, lines and levels do not change.
func TestMissingReportsChangeNothing(t *testing.T) {
	h := newHost(t, nil)
	h.startFleet()
	h.advance(10*second, h.steadyReports(20, 0.4, 200_000))
	before := len(h.tables[0])
	h.advance(30*second, nil)
	if len(h.tables[0]) != before || h.admissions[0].Level < unlimitedLevel {
		t.Errorf("after 30 s without reports: lines %v, level %v, want as many lines as before and an unlimited level",
			h.tables[0], h.admissions[0].Level)
	}
}
