package chaos

import (
	"fmt"
	"math"

	"porthub/audit"
	"porthub/config"
	"porthub/daemon"
)

// LoadReportOptions are how [RunLoadReports] is run.
type LoadReportOptions struct {
	Command           []string // as in Options
	Seed              uint64
	Gateways          int
	Endpoints         int
	MaxLinesPerSecond int // lines of reports that the coordinator accepts per second; 0: all
	Seconds           int
	CoordinatorCores  int             // cores of the coordinator; 0: all
	NoFaults          bool            // no faults are injected
	BreakRule         string          // bare, drain, repeat or cold, to violate on purpose; empty: none
	CPUProfile        string          // file for the coordinator's CPU profile; empty: none
	Dir               string          // kept if given
	GracePeriod       config.Duration // of drains and empty tables; 0: as in other scenarios
}

// LoadReportResult is the outcome of [RunLoadReports].
type LoadReportResult struct {
	Scenario          string                   `json:"scenario"`
	Seed              uint64                   `json:"seed"`
	Gateways          int                      `json:"gateways"`
	Endpoints         int                      `json:"nodes"`
	MaxLinesPerSecond int                      `json:"bound_lines_per_s"` // 0: none
	CoordinatorCores  int                      `json:"coordinator_procs"` // 0: all
	Requests          int64                    `json:"requests"`          // counted at light endpoints, none of them sent
	Service           float64                  `json:"service"`           // part that succeeded
	Rules             map[string]audit.Verdict `json:"rules"`
	Checks            []CheckResult            `json:"checks"`

	ConnectSeconds   float64   `json:"joined_s"` // until every gateway's first report was accepted
	ReconnectSeconds []float64 `json:"again_s"`  // until all were connected after each restart of the coordinator; -1: not before the end
	Reports          float64   `json:"reports_per_s"`
	Lines            float64   `json:"lines_per_s"`
	LinesAccepted    float64   `json:"lines_taken_per_s"`
	ResponseTime     Latency   `json:"answer_ms"` // from sending a report to its response
	DrainTime        Latency   `json:"drain_ms"`  // from an endpoint's draining in the list to a gateway's table without it
	LateResponses    int64     `json:"late"`      // to reports, after more than a period
	Deferred         int64     `json:"deferred"`  // reports that were rejected with 429 and 503
	Throttled        int64     `json:"longer"`    // reports after a longer interval that the coordinator requested
	Disconnects      int64     `json:"broke"`
	// Steady and Overall compare the coordinator's estimates with the endpoints' load: while nothing had changed for some
	// seconds, and at all times.
	Steady  EstimateAccuracy `json:"view_steady"`
	Overall EstimateAccuracy `json:"view_always"`

	MaxMailbox int              `json:"inbox_most"`
	Steps      daemon.Latencies `json:"step_us"`
	CPUSeconds float64          `json:"cpu_s"`
	PeakKiB    int64            `json:"peak_kib"`
}

// Passed reports whether all rules were satisfied and all checks are ok.
func (r LoadReportResult) Passed() bool { return passed(r.Rules, r.Checks) }

// runChecks compares the figures with what they have to be.
func (r LoadReportResult) runChecks() []CheckResult {
	const (
		minWithin  = 0.9 // part of the estimates that has to be within its stated error
		maxSeconds = 30  // for all gateways to connect
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
	Missing     float64   `json:"unseen"` // part of the cases without an estimate
}

// finish turns sums into means.
func (v *EstimateAccuracy) finish() {
	cases := float64(v.Cases)
	v.Attempts.finish(cases)
	v.Utilization.finish(cases)
	v.Queue.finish(cases)
	v.Missing /= max(1, cases)
}

// Agreement is the part of the cases within the stated error and a twentieth, the mean error, and the mean of the stated
// ones: relative for attempts, otherwise absolute.
type Agreement struct {
	Within      float64 `json:"within"`
	MeanError   float64 `json:"mean_error"`
	StatedError float64 `json:"stated"`
}

// add adds a case; errors are counted in units of scale.
func (a *Agreement) add(estimate, actual, stated, scale float64) {
	const tolerance = 0.05
	difference := math.Abs(estimate - actual)
	if difference <= stated+tolerance*max(math.Abs(actual), scale) {
		a.Within++
	}
	a.MeanError += difference / scale
	a.StatedError += stated / scale
}

func (a *Agreement) finish(cases float64) {
	if cases > 0 {
		a.Within /= cases
		a.MeanError /= cases
		a.StatedError /= cases
	}
}
