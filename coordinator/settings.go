package coordinator

import (
	"porthub/degradation"
	"porthub/policyapi"
)

type microseconds = policyapi.Microseconds

const second microseconds = 1_000_000

// seconds converts a duration to seconds, for log texts.
func seconds(d microseconds) float64 { return float64(d) / float64(second) }

// Settings configure a Core. They do not change while it runs.
type Settings struct {
	Start policyapi.Start `cbor:"Up" json:"Up"`
	// Epoch is unique to this start. Versions begin with it, so that those of two starts differ.
	Epoch          string                 `cbor:"Epoch" json:"Epoch"`
	SilenceTimeout policyapi.Microseconds `cbor:"SilentAfter" json:"SilentAfter"` // a gateway that sends nothing for longer is disconnected
	AllowEmptyList bool                   `cbor:"AllowEmpty" json:"AllowEmpty"`   // accept an empty list after a non-empty one
	SolverEnabled  bool                   `cbor:"Solver" json:"Solver"`           // replace tables that exceed limits by the solver's
	MaxReportLines float64                `cbor:"Intake" json:"Intake"`           // maximum lines of load reports accepted per second; 0: no limit
	Sources        []string               `cbor:"Sources" json:"Sources"`         // registries besides the file, the most trusted first
	Build          string                 `cbor:"Build" json:"Build"`             // identifies the build in snapshots and captures
	SyncDocuments  bool                   `cbor:"Sync" json:"Sync"`               // sync documents to disk while the disk is fast enough
	Degradation    degradation.Settings   `cbor:"Service" json:"Service"`         // levels of reduced service; there may be none
	Fallback       degradation.Fallback   `cbor:"Fallback" json:"Fallback"`
}

// policyStart returns the start settings for the decision module. The module counts a line of a table once, but the line is sent
// to a gateway once for each request class, so limits in lines are divided by the number of classes.
func policyStart(start policyapi.Start) policyapi.Start {
	classes := float64(max(1, len(start.Classes)))
	start.Rules.QueueLimit /= classes
	start.Channel.MessageOverhead /= classes
	return start
}

// metricName returns the name of the i-th metric that endpoints report, or an empty string if there is none.
func metricName(start policyapi.Start, i int) string {
	if i < len(start.Reports.MetricNames) {
		return start.Reports.MetricNames[i]
	}
	return ""
}
