package membership

import (
	"fmt"
	"slices"
	"strings"

	"porthub/policyapi"
)

// note adds a line to the notes that the next Step returns for the log.
func (m *Membership) note(format string, args ...any) {
	m.notes = append(m.notes, fmt.Sprintf(format, args...))
}

// transition is a change of an endpoint's state.
type transition struct {
	endpoint policyapi.EndpointID
	from, to State
	reason   string
}

// maxNamedEndpoints is the maximum number of endpoints that a note about several endpoints names.
const maxNamedEndpoints = 3

// noteTransitions adds notes for the transitions of the current step. Equal transitions of several endpoints share a note.
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
		subject := strings.Join(names[:min(maxNamedEndpoints, len(names))], ", ")
		if len(names) > maxNamedEndpoints {
			subject = fmt.Sprintf("%d endpoints (%s, ...)", len(names), subject)
		}
		m.note("%s: %s, was %s: %s", subject, first.to, first.from, first.reason)
	}
}
