package capture

import (
	"fmt"

	"porthub/coordinator"
	"porthub/policyapi"
)

// Explanation describes why an endpoint received traffic at a given time, or why it did not.
type Explanation struct {
	Endpoint policyapi.EndpointID   `json:"node"`
	At       policyapi.Microseconds `json:"at_us"`
	Events   []Event                `json:"chain"` // the last ones of each kind up to that time, oldest first
	Gateways []GatewayTable         `json:"holds"` // gateways with a positive weight for the endpoint at that time
	Answer   string                 `json:"answer"`
}

// GatewayTable is a gateway with a positive weight for the endpoint.
type GatewayTable struct {
	Gateway coordinator.Gateway `json:"gateway"`
	Version string              `json:"version"`
	Classes []string            `json:"request_kinds"`
	Weights []float64           `json:"weights"` // by class, as a fraction of the sum of the cluster's weights
	// Confirmed reports whether the gateway has acknowledged this version; otherwise the version is in flight.
	Confirmed    bool                   `json:"confirmed"`
	Since        policyapi.Microseconds `json:"since_us"` // when a positive weight was first sent to it
	Attempts     int                    `json:"tries"`    // number in its last report before that time
	Disconnected bool                   `json:"away"`
}

// Event describes something that concerned an endpoint.
type Event struct {
	At   policyapi.Microseconds `json:"at_us"` // 0 for a command or a gap: their time is not recorded
	Seq  uint64                 `json:"record"`
	Kind EventKind              `json:"what"`
	Text string                 `json:"text"`
}

// EventKind is the subject of an [Event]. Its values are part of the output.
type EventKind string

// The kinds of events.
const (
	StartEvent      EventKind = "start"     // the coordinator started
	GapEvent        EventKind = "gap"       // records are missing
	CommandEvent    EventKind = "command"   // an operator's command
	ListEvent       EventKind = "list"      // the endpoint list or a registry changed
	HealthEvent     EventKind = "probe"     // the result of a health check
	ReportEvent     EventKind = "report"    // attempts in load reports began or ended, or failures began
	OrderEvent      EventKind = "order"     // an order of the decision module
	PublishEvent    EventKind = "sent"      // a gateway was sent a table with or without the endpoint
	AckEvent        EventKind = "confirmed" // a gateway acknowledged the table that it was sent
	DisconnectEvent EventKind = "left"      // a gateway disconnected
	NoteEvent       EventKind = "note"      // a log entry
)

// Explain replays a capture up to a time and returns what led to the endpoint's weights at that time. If the time is before
// the first step, the error wraps [ErrNothingRecorded].
func Explain(r *Reader, endpoint policyapi.EndpointID, at policyapi.Microseconds) (Explanation, error) {
	history := newEndpointHistory(endpoint)
	steps := 0
	_, err := Replay(r, "", func(record *Record, _ *coordinator.Core, outputs []coordinator.Output) bool {
		if record.Step != nil {
			if record.Step.Now > at {
				return false
			}
			steps++
		}
		history.observe(record, outputs)
		return true
	})
	if err != nil {
		return Explanation{}, err
	}
	if steps == 0 {
		return Explanation{}, fmt.Errorf("capture: %w", ErrNothingRecorded)
	}
	return history.explain(at), nil
}
