package chaos

import (
	"fmt"
	"math"

	"porthub/audit"
	"porthub/config"
	"porthub/daemon"
)

// LoadReportOptions configure [RunLoadReports].
type LoadReportOptions struct {
	Command           []string // see [Options]
	Seed              uint64
	Gateways          int
	Endpoints         int
	MaxLinesPerSecond int // lines of load reports that the coordinator accepts per second; 0: unlimited
	Seconds           int
	CoordinatorCores  int             // number of cores that the coordinator may use; 0: all
	NoFaults          bool            // inject no faults
	BreakRule         string          // rule to violate deliberately: bare, drain, repeat or cold; empty: none
	CPUProfile        string          // file for the coordinator's CPU profile; empty: none
	Dir               string          // see [Options]
	GracePeriod       config.Duration // drain grace period and limit of empty tables; 0: the defaults
}

// LoadReportResult is the outcome of [RunLoadReports].
type LoadReportResult struct {
	Scenario          string                   `json:"scenario"`
	Seed              uint64                   `json:"seed"`
	Gateways          int                      `json:"gateways"`
	Endpoints         int                      `json:"nodes"`
	MaxLinesPerSecond int                      `json:"bound_lines_per_s"` // 0: unlimited
	CoordinatorCores  int                      `json:"coordinator_procs"` // 0: all
	Requests          int64                    `json:"requests"`          // attempts, counted without being sent, and rejected requests
	Service           float64                  `json:"service"`           // fraction of the requests that succeeded
	Rules             map[string]audit.Verdict `json:"rules"`
	Checks            []CheckResult            `json:"checks"`

	ConnectSeconds   float64   `json:"joined_s"`          // until the first report of each gateway was accepted
	ReconnectSeconds []float64 `json:"again_s"`           // by restart: from listening until all gateways were connected; -1: not before the end
	Reports          float64   `json:"reports_per_s"`     // accepted reports
	Lines            float64   `json:"lines_per_s"`       // lines of load reports that the coordinator received
	LinesAccepted    float64   `json:"lines_taken_per_s"` // lines of load reports that the coordinator accepted
	ResponseTime     Latency   `json:"answer_ms"`         // from a gateway's report to the response
	DrainTime        Latency   `json:"drain_ms"`          // from a draining entry in the list to a gateway's table without the endpoint
	LateResponses    int64     `json:"late"`              // responses to reports after more than a report period
	Deferred         int64     `json:"deferred"`          // reports that were rejected with 429 or 503
	Throttled        int64     `json:"longer"`            // reports sent after a longer interval that the coordinator requested
	Disconnects      int64     `json:"broke"`
	// Steady and Overall compare the coordinator's estimates with the endpoints' load: Steady only while no fault had affected
	// the fleet for some seconds, Overall at all times.
	Steady  EstimateAccuracy `json:"view_steady"`
	Overall EstimateAccuracy `json:"view_always"`

	MaxMailboxLength int              `json:"inbox_most"` // largest number of items in the coordinator's mailbox
	Steps            daemon.Latencies `json:"step_us"`    // of the coordinator's steps since its last start
	CPUSeconds       float64          `json:"cpu_s"`      // of all coordinator processes
	PeakKiB          int64            `json:"peak_kib"`   // largest resident set of a coordinator process
}

// Passed reports whether all rules were satisfied and all checks passed.
func (r LoadReportResult) Passed() bool { return passed(r.Rules, r.Checks) }

// runChecks compares values of the result with their limits.
func (r LoadReportResult) runChecks() []CheckResult {
	const (
		minWithin  = 0.9 // smallest allowed value of Agreement.Within
		maxSeconds = 30  // until all gateways are connected
	)
	within := func(name string, a Agreement) CheckResult {
		return CheckResult{Name: name, OK: a.Within >= minWithin, Value: a.Within}
	}
	checks := []CheckResult{
		within("tries_within", r.Steady.Attempts),
		within("util_within", r.Steady.Utilization),
		within("queue_within", r.Steady.Queue),
		{Name: "joined_s", OK: r.ConnectSeconds <= maxSeconds, Value: r.ConnectSeconds},
	}
	for i, s := range r.ReconnectSeconds {
		checks = append(checks, CheckResult{Name: fmt.Sprintf("again_%d_s", i+1), OK: s >= 0 && s <= maxSeconds, Value: s})
	}
	return checks
}

// EstimateAccuracy compares the coordinator's estimates of the endpoints' load with the actual load: attempts per second,
// utilization and queue length.
type EstimateAccuracy struct {
	Cases       int       `json:"cases"`
	Attempts    Agreement `json:"tries"`
	Utilization Agreement `json:"util"`
	Queue       Agreement `json:"queue"`
	Missing     float64   `json:"unseen"` // fraction of the cases without an estimate
}

// computeMeans divides the sums by the number of cases.
func (a *EstimateAccuracy) computeMeans() {
	cases := float64(a.Cases)
	a.Attempts.computeMeans(cases)
	a.Utilization.computeMeans(cases)
	a.Queue.computeMeans(cases)
	a.Missing /= max(1, cases)
}

// Agreement summarizes the errors of estimates. The unit of errors is the actual value, or 1 if that is larger, for attempts,
// 10 requests for queues, and 1 for utilizations.
type Agreement struct {
	// Within is the fraction of the cases whose error is at most the stated error plus 5% of the actual value or of the unit,
	// whichever is larger.
	Within      float64 `json:"within"`
	MeanError   float64 `json:"mean_error"` // mean of the actual errors
	StatedError float64 `json:"stated"`     // mean of the errors that the coordinator stated
}

// add adds a case. The scale is the unit of its errors.
func (a *Agreement) add(estimate, actual, stated, scale float64) {
	const tolerance = 0.05
	difference := math.Abs(estimate - actual)
	if difference <= stated+tolerance*max(math.Abs(actual), scale) {
		a.Within++
	}
	a.MeanError += difference / scale
	a.StatedError += stated / scale
}

func (a *Agreement) computeMeans(cases float64) {
	if cases > 0 {
		a.Within /= cases
		a.MeanError /= cases
		a.StatedError /= cases
	}
}
