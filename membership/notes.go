package membership

import (
	"fmt"
	"slices"
	"strings"

	"porthub/policyapi"
)

// note adds a line for the log.
func (m *Membership) note(format string, args ...any) {
	m.notes = append(m.notes, fmt.Sprintf(format, args...))
}

// transition is a change of an endpoint's state.
type transition struct {
	endpoint policyapi.EndpointID
	from, to State
	reason   string
}

// namedEndpoints is how many endpoints a note about many of them names.
const namedEndpoints = 3

// noteTransitions notes this step's transitions; equal ones of several endpoints share a line.
func (m *Membership) noteTransitions() {
	for len(m.transitions) > 0 {
		first := m.transitions[0]
		var names []string
		m.transitions = slices.DeleteFunc(m.transitions, func(t transition) bool {
			same := t.from == first.from && t.to == first.to && t.reason == first.reason
			if same {
				names = append(names, string(t.endpoint))
			}
			return same
		})
		subject := strings.Join(names[:min(namedEndpoints, len(names))], ", ")
		if len(names) > namedEndpoints {
			subject = fmt.Sprintf("%d endpoints (%s, ...)", len(names), subject)
		}
		m.note("%s: %s, was %s: %s", subject, first.to, first.from, first.reason)
	}
}
