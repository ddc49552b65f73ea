package membership

import (
	"maps"
	"slices"

	"porthub/policyapi"
)

// State is the state that a Membership has decided for an endpoint.
type State int

// The states of an endpoint. Only Ready and Retained endpoints get new requests.
const (
	Ready State = iota
	Draining
	Removed
	Waiting  // it is not up at its sources, or it is excluded for flapping
	Retained // its registry dropped it in a mass drop, or its zone would be empty, and it still answers gateways
)

func (s State) String() string {
	return [...]string{"ready", "draining", "gone", "waiting", "held"}[s]
}

// serving reports whether endpoints in this state get new requests.
func (s State) serving() bool { return s == Ready || s == Retained }

// Decision is the decided state of an endpoint, with its reason and evidence.
type Decision struct {
	Endpoint     policyapi.EndpointID   `json:"node"`
	State        State                  `json:"-"`
	StateName    string                 `json:"state"`
	Reason       string                 `json:"why"`
	Since        policyapi.Microseconds `json:"since_us"`
	Listed       policyapi.Endpoint     `json:"entry"` // its current or last entry in the endpoint list
	Observations []LastObservation      `json:"says"`  // one per source
	// Flaps counts how often the endpoint has gone down. The count halves each minute.
	Flaps         float64                `json:"flaps"`
	ExcludedUntil policyapi.Microseconds `json:"out_until_us,omitempty"` // 0: not excluded for flapping
}

// LastObservation is the last observation of an endpoint by one source, as text for operators.
type LastObservation struct {
	Source string                 `json:"source"`
	Text   string                 `json:"text"`
	At     policyapi.Microseconds `json:"at_us"`
}

// Decisions returns the decisions for all endpoints, sorted by endpoint id.
func (m *Membership) Decisions() (decisions []Decision) {
	for _, id := range m.endpointIDs() {
		e := m.endpoints[id]
		decision := Decision{
			Endpoint:     id,
			State:        e.state,
			StateName:    e.state.String(),
			Reason:       e.reason,
			Since:        e.since,
			Listed:       e.listed,
			Observations: m.evidence(e),
			Flaps:        e.flaps,
		}
		if m.now < e.excludedUntil {
			decision.ExcludedUntil = e.excludedUntil
		}
		decisions = append(decisions, decision)
	}
	return decisions
}

// evidence returns the last observations of an endpoint: first an operator's drain, then those of the sources sorted by
// name, and last those of gateways.
func (m *Membership) evidence(e *endpoint) (evidence []LastObservation) {
	if e.drainReason != "" {
		evidence = append(evidence, LastObservation{"operator", "drain: " + e.drainReason, e.drainedAt})
	}
	for _, name := range slices.Sorted(maps.Keys(m.sources)) {
		evidence = append(evidence, m.sourceEvidence(e, name))
	}
	if e.lastAnswer > 0 {
		text := "answered"
		if e.failing {
			text = "errors since"
		}
		evidence = append(evidence, LastObservation{"gateways", text, e.lastAnswer})
	}
	return evidence
}

func (m *Membership) sourceEvidence(e *endpoint, name string) LastObservation {
	last := LastObservation{Source: name, Text: "no observation"}
	if observation, ok := e.observations[name]; ok {
		last.Text = observation.Status.String()
		last.At = e.observedAt[name]
	}
	if droppedAt, ok := e.droppedAt[name]; ok {
		last.Text = "no longer lists it"
		if e.deregistered[name] {
			last.Text = "has its cancellation"
		}
		last.At = droppedAt
	}
	if m.sources[name].lastError != "" {
		last.Text += " (its polls fail now)"
	}
	return last
}
