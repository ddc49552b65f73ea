package chaos

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"porthub/audit"
	"porthub/capture"
	"porthub/daemon"
	"porthub/xdspoll"
)

// Result is the outcome of a scenario.
type Result struct {
	Scenario         string                   `json:"scenario"`
	Seed             uint64                   `json:"seed"`
	Requests         int                      `json:"requests"`
	Service          float64                  `json:"service"` // earned part of the demanded priority weight
	WorstService10s  float64                  `json:"worst_10s"`
	Rules            map[string]audit.Verdict `json:"rules"`
	DeliveryTime     Latency                  `json:"latency_ms"` // from the writing of a file to its use
	ResponseTime     Latency                  `json:"answers_ms"` // of responses, retries included
	DocumentsRead    int                      `json:"reads"`
	IncompleteReads  int                      `json:"partial_reads"`
	Coordinator      CoordinatorStats         `json:"written"`
	CPUSeconds       float64                  `json:"cpu_s"` // of the coordinator's processes
	PeakKiB          int64                    `json:"peak_kib"`
	StopMilliseconds float64                  `json:"stop_ms"` // from SIGTERM to the end
	ConvergedSeconds float64                  `json:"converged_s,omitempty"`
	Restarts         []Restart                `json:"restarts,omitempty"`
	Registry         *RegistryTraffic         `json:"registry,omitempty"`
	Baselines        map[string]Baseline      `json:"baselines"`
	Checks           []CheckResult            `json:"checks"`
	ServiceByCell    map[string]float64       `json:"cells"`   // service by class@zone
	ServiceByClass   map[string]float64       `json:"kinds"`   // service by class
	ServiceBy5s      []float64                `json:"by_5s"`   // service of each 5 s
	PeakLoadRatio    float64                  `json:"busiest"` // of the busiest endpoint, by the work that arrived
	// LevelChanges counts how often the service level changed in the scope in which it did most.
	LevelChanges int `json:"level_changes"`
}

// Passed reports whether all rules were satisfied and all checks are ok.
func (r Result) Passed() bool { return passed(r.Rules, r.Checks) }

func passed(rules map[string]audit.Verdict, checks []CheckResult) bool {
	for _, verdict := range rules {
		if !verdict.Satisfied {
			return false
		}
	}
	for _, check := range checks {
		if !check.OK {
			return false
		}
	}
	return true
}

// Restart is a restart of the coordinator. Times are in seconds.
type Restart struct {
	At         float64 `json:"at_s"` // of the kill
	Down       float64 `json:"down_s"`
	FirstTable float64 `json:"first_table_s"` // from its start until a gateway uses a table of it
	AllTables  float64 `json:"all_tables_s"`  // until all do; 0: never
	Service    float64 `json:"service_10s"`   // of the requests of the 10 s after the kill
}

// Latency has quantiles in milliseconds.
type Latency struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
}

// latencyOf reads the quantiles of a histogram of microseconds.
func latencyOf(h *hdrhistogram.Histogram) Latency {
	return Latency{P50: float64(h.ValueAtQuantile(50)) / 1000, P99: float64(h.ValueAtQuantile(99)) / 1000}
}

// milliseconds converts a duration, to the microsecond.
func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// CoordinatorStats are the coordinator's own counters since its last start. No rule or check uses them.
type CoordinatorStats struct {
	Messages int              `json:"messages"`
	Files    int              `json:"files"`
	Bytes    int64            `json:"bytes"`
	Polls    xdspoll.Stats    `json:"polls"`
	Steps    daemon.Latencies `json:"step_us"`
	Capture  capture.Stats    `json:"capture"`
}

// Baseline is the outcome of another source of tables with the same seed.
type Baseline struct {
	Service         float64                  `json:"service"`
	WorstService10s float64                  `json:"worst_10s"`
	Rules           map[string]audit.Verdict `json:"rules"`
	ServiceBy5s     []float64                `json:"by_5s"`
}

// CheckResult is the outcome of a check.
type CheckResult struct {
	Name  string  `json:"name"`
	OK    bool    `json:"ok"`
	Value float64 `json:"figure"`
}
