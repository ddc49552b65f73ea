package coordinator

import (
	"math"
	"strings"
	"testing"

	"porthub/policyapi"
)

// A report with one invalid value is rejected as a whole, with a log entry; no part of it reaches the decision module.
func TestInvalidReportsAreRejected(t *testing.T) {
	for name, change := range map[string]func(*LoadReport){
		"duplicate":                   func(r *LoadReport) { r.Sequence = 1 },
		"no interval":                 func(r *LoadReport) { r.Interval = 0 },
		"interval too long":           func(r *LoadReport) { r.Interval = 1000 * second },
		"unknown class":               func(r *LoadReport) { r.Classes[0].Class = "other" },
		"class twice":                 func(r *LoadReport) { r.Classes[1].Class = "view" },
		"negative count":              func(r *LoadReport) { r.Classes[0].Arrivals = -1 },
		"more failures than attempts": func(r *LoadReport) { r.Classes[0].Endpoints[0].Failures = 5 },
		"not a number":                func(r *LoadReport) { r.Classes[0].Endpoints[0].Metrics = policyapi.LoadMetrics{"busy": math.NaN()} },
		"infinite metric":             func(r *LoadReport) { r.Classes[0].Endpoints[0].Metrics = policyapi.LoadMetrics{"busy": math.Inf(1)} },
		"count too large":             func(r *LoadReport) { r.Classes[0].Arrivals = math.MaxInt },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, nil)
			h.startFleet()
			r := h.report("g1")
			change(&r)
			h.step(r)
			if len(h.core.reports.aggregate.proxies) != 0 || h.logged["report_invalid"]+h.logged["report_duplicate"] != 1 {
				t.Errorf("want no applied report and 1 entry report_invalid or report_duplicate; logged %v", h.logged)
			}
			h.step(h.report("g1"))
			if len(h.core.reports.aggregate.proxies) == 0 {
				t.Error("the next valid report is not applied")
			}
		})
	}
}

// Warnings with the same event name are logged at most once per interval.
func TestWarningsAreRateLimited(t *testing.T) {
	h := newHarness(t, nil)
	h.startFleet()
	entries := 0
	for range 100 {
		for _, out := range h.core.Step(h.now, []Input{LoadReport{Gateway: "g1", Conn: h.conns["g1"]}}) {
			if entry, ok := out.(LogEntry); ok && strings.HasPrefix(entry.Event, "report") {
				entries++
			}
		}
		h.now += 50_000
	}
	if entries != 1 {
		t.Errorf("%d entries in 5 s, want 1", entries)
	}
}
