package membership

import (
	"slices"
	"testing"

	"porthub/policyapi"
)

// fixture is a Membership with two registries (eureka and other) and a file, which is authoritative.
type fixture struct {
	t          *testing.T
	membership *Membership
	now        policyapi.Microseconds
	list       []policyapi.Endpoint // the last list that Step returned as changed
	lists      int                  // number of changed lists
	notes      []string             // notes of all steps
}

func newFixture(t *testing.T) *fixture {
	return &fixture{t: t, now: 1000 * second, membership: New(Settings{
		Zones:         []policyapi.Zone{"a", "b"},
		Authoritative: map[string]bool{"file": true},
		Sources:       []string{"file", "eureka", "other"},
	})}
}

// step steps the Membership and records the list, if it has changed, and the notes.
func (s *fixture) step() {
	list, changed, notes := s.membership.Step(s.now)
	if changed {
		s.list = list
		s.lists++
	}
	s.notes = append(s.notes, notes...)
}

// report applies a successful poll of a source and steps. The endpoints have the format of observation.
func (s *fixture) report(source string, endpoints ...string) {
	update := SourceUpdate{Source: source}
	for _, endpoint := range endpoints {
		update.Observations = append(update.Observations, observation(endpoint))
	}
	s.membership.Apply(s.now, update)
	s.step()
}

// observation parses an observation: an id that begins with the zone, followed by the status as one character: + for up,
// * for starting, o for out of service, - for down, ? for unknown.
func observation(text string) Observation {
	id, status := text[:len(text)-1], text[len(text)-1]
	return Observation{
		Endpoint:  policyapi.EndpointID(id),
		Instance:  id,
		Zone:      policyapi.Zone(text[:1]),
		Weight:    1,
		StartedAt: 10 * second,
		Status:    map[byte]Status{'+': Up, '*': Starting, 'o': OutOfService, '-': Down, '?': Unknown}[status],
	}
}

// advance steps once a second for the given time, in which the given endpoints answer gateways.
func (s *fixture) advance(seconds int, answering ...policyapi.EndpointID) {
	for range seconds {
		s.now += second
		for _, id := range answering {
			s.membership.ReportTraffic(s.now, id, 5, 0)
		}
		s.step()
	}
}

// requireStates checks the states of the given endpoints.
func (s *fixture) requireStates(want map[policyapi.EndpointID]string) {
	s.t.Helper()
	for _, d := range s.membership.Decisions() {
		if state, ok := want[d.Endpoint]; ok && d.StateName != state {
			s.t.Errorf("%s is %s (%s), want %s", d.Endpoint, d.StateName, d.Reason, state)
		}
	}
}

// requireList checks the complete list, given as ids followed by + (ready) or o (draining).
func (s *fixture) requireList(want ...string) {
	s.t.Helper()
	var got []string
	for _, e := range s.list {
		status := "+"
		if e.Status == policyapi.Draining {
			status = "o"
		}
		got = append(got, string(e.ID)+status)
	}
	if !slices.Equal(got, want) {
		s.t.Errorf("the list is %v, want %v", got, want)
	}
}

// startTime returns the start time of an endpoint in the list.
func (s *fixture) startTime(id policyapi.EndpointID) policyapi.Microseconds {
	s.t.Helper()
	for _, e := range s.list {
		if e.ID == id {
			return e.StartedAt
		}
	}
	s.t.Fatalf("endpoint %s is not in the list", id)
	return 0
}

var allUp = []string{"a1+", "a2+", "a3+", "b1+", "b2+", "b3+"}
var allEndpoints = []policyapi.EndpointID{"a1", "a2", "a3", "b1", "b2", "b3"}
