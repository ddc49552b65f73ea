package coordinator

import (
	"porthub/degradation"
	"porthub/policyapi"
)

type microseconds = policyapi.Microseconds

const second microseconds = 1_000_000

// seconds is a duration in seconds, for log texts.
func seconds(d microseconds) float64 { return float64(d) / float64(second) }

// Settings configure a Core. They do not change while it runs.
type Settings struct {
	Start          policyapi.Start        `cbor:"Up" json:"Up"`
	Epoch          string                 `cbor:"Epoch" json:"Epoch"`             // names this start; versions of two starts never look alike
	SilenceTimeout policyapi.Microseconds `cbor:"SilentAfter" json:"SilentAfter"` // a gateway that sends nothing for so long is disconnected
	AllowEmptyList bool                   `cbor:"AllowEmpty" json:"AllowEmpty"`   // accept an empty endpoint list after one that was not
	SolverEnabled  bool                   `cbor:"Solver" json:"Solver"`           // tables that break limits give way to the solver's
	MaxReportLines float64                `cbor:"Intake" json:"Intake"`           // lines of load reports accepted per second; 0: no limit
	Sources        []string               `cbor:"Sources" json:"Sources"`         // registries beside the file, the most trusted first
	Build          string                 `cbor:"Build" json:"Build"`             // names the build, for snapshots and captures
	SyncDocuments  bool                   `cbor:"Sync" json:"Sync"`               // sync documents to disk while the disk is fast enough
	Degradation    degradation.Settings   `cbor:"Service" json:"Service"`         // levels of reduced service; without any there are none
	Fallback       degradation.Fallback   `cbor:"Fallback" json:"Fallback"`
}

// policyStart is the description of the site that the decision module gets. The module counts a table's line once, but it travels to a
// gateway once for each request class, so the module gets its part of the lines that may be queued.
func policyStart(start policyapi.Start) policyapi.Start {
	classes := float64(max(1, len(start.Classes)))
	start.Rules.QueueLimit /= classes
	start.Channel.MessageOverhead /= classes
	return start
}

// metricName is the name of the i-th metric that endpoints state in reports; empty if there is none.
func metricName(start policyapi.Start, i int) string {
	if i < len(start.Reports.MetricNames) {
		return start.Reports.MetricNames[i]
	}
	return ""
}
