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
	Scenario           string                   `json:"scenario"`
	Seed               uint64                   `json:"seed"`
	Requests           int                      `json:"requests"`
	Service            float64                  `json:"service"`   // fraction of the demanded priority weight that was earned
	WorstService10s    float64                  `json:"worst_10s"` // lowest service of any 10 s
	Rules              map[string]audit.Verdict `json:"rules"`
	DeliveryTime       Latency                  `json:"latency_ms"` // from writing a table file or receiving a poll's response to its use
	ResponseTime       Latency                  `json:"answers_ms"` // of requests that were answered, including retries
	DocumentsRead      int                      `json:"reads"`
	IncompleteReads    int                      `json:"partial_reads"`
	Coordinator        CoordinatorStats         `json:"written"`
	CPUSeconds         float64                  `json:"cpu_s"` // of all coordinator processes
	PeakKiB            int64                    `json:"peak_kib"`
	StopMilliseconds   float64                  `json:"stop_ms"`               // from SIGTERM to the coordinator's exit
	ConvergedSeconds   float64                  `json:"converged_s,omitempty"` // until all gateways had acknowledged their last tables; at most 10
	Restarts           []Restart                `json:"restarts,omitempty"`
	Registry           *RegistryTraffic         `json:"registry,omitempty"`
	Baselines          map[string]Baseline      `json:"baselines"`
	Checks             []CheckResult            `json:"checks"`
	ServiceByClassZone map[string]float64       `json:"cells"`   // service by class@zone
	ServiceByClass     map[string]float64       `json:"kinds"`   // service by class
	ServiceBy5s        []float64                `json:"by_5s"`   // service in each 5 s
	PeakLoadRatio      float64                  `json:"busiest"` // work in the busiest endpoint's busiest second, as a multiple of the mean
	// LevelChanges counts the changes of the service level in the scope with the most changes.
	LevelChanges int `json:"level_changes"`
}

// Passed reports whether all rules were satisfied and all checks passed.
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
	At         float64 `json:"at_s"` // when the coordinator was killed
	Down       float64 `json:"down_s"`
	FirstTable float64 `json:"first_table_s"` // from the restart until the first gateway used a new table; 0: never
	AllTables  float64 `json:"all_tables_s"`  // from the restart until all gateways used a new table; 0: never
	Service    float64 `json:"service_10s"`   // of the requests in the 10 s after the kill
}

// Latency has quantiles in milliseconds.
type Latency struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
}

// latencyOf returns the quantiles of a histogram in microseconds.
func latencyOf(h *hdrhistogram.Histogram) Latency {
	return Latency{P50: float64(h.ValueAtQuantile(50)) / 1000, P99: float64(h.ValueAtQuantile(99)) / 1000}
}

// milliseconds converts a duration to milliseconds, truncated to whole microseconds.
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

// Baseline is the outcome of the same scenario and seed with another source of tables.
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
