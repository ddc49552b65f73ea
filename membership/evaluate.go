package membership

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"porthub/policyapi"
)

const (
	// answerLifetime is how long an answer to a gateway counts as evidence that an endpoint serves, even if a registry has
	// dropped it.
	answerLifetime = 6 * second
	// maxRetention bounds how long an endpoint that its registry has mass-dropped is retained, answering or not.
	maxRetention = 120 * second

	// toleratedFlaps is the flap count up to which an endpoint is not excluded.
	toleratedFlaps = 2.5
	// resetFlaps is the flap count below which the next exclusion is a first one again.
	resetFlaps = 1.5
	// firstExclusion doubles with each further exclusion in a row, maxDoublings times and up to maxExclusion.
	firstExclusion = 10 * second
	maxExclusion   = 300 * second
	maxDoublings   = 5
	// flapHalfLife is the time in which the flap count halves.
	flapHalfLife = 60 * second
)

// decide decides about one endpoint from the present evidence.
func (m *Membership) decide(e *endpoint) {
	state, reason := m.evaluate(e)
	if state.serving() || state == Draining {
		e.listed = m.listedEndpoint(e)
	}
	previous := e.state
	if previous.serving() && !state.serving() && state != Draining && !m.droppedByAuthority(e) {
		m.recordFlap(e)
	}
	state, reason = m.applyExclusion(e, state, reason)
	if state != previous {
		e.since = m.now
		if previous != Removed || state != Ready {
			m.transitions = append(m.transitions, transition{e.id, previous, state, reason})
		}
	}
	e.state = state
	e.reason = reason
}

// applyExclusion keeps an endpoint that is excluded for flapping out of service, and makes one whose exclusion has ended
// warm up like one that has just started.
func (m *Membership) applyExclusion(e *endpoint, state State, reason string) (State, string) {
	if state != Ready || e.excludedUntil == 0 {
		return state, reason
	}
	if m.now < e.excludedUntil {
		return Waiting, fmt.Sprintf("flapping: it has gone down %.1f times recently and is excluded until %d us", e.flaps, e.excludedUntil)
	}
	if !e.state.serving() && e.startedAt < e.excludedUntil {
		e.startedAt = m.now
		e.listed.StartedAt = m.now
	}
	return state, reason
}

// recordFlap counts that an endpoint has gone down and excludes it for longer the more often it does.
func (m *Membership) recordFlap(e *endpoint) {
	for e.flapsDecayedAt > 0 && m.now-e.flapsDecayedAt >= flapHalfLife {
		e.flaps /= 2
		e.flapsDecayedAt += flapHalfLife
	}
	e.flaps++
	if e.flapsDecayedAt == 0 || e.flaps == 1 {
		e.flapsDecayedAt = m.now
	}
	switch {
	case e.flaps > toleratedFlaps:
		e.excludedUntil = m.now + min(maxExclusion, firstExclusion<<min(e.exclusions, maxDoublings))
		e.flapsDecayedAt = e.excludedUntil // the count does not decay while it is excluded
		e.exclusions++
		m.note("%s is flapping: excluded for %d s", e.id, (e.excludedUntil-m.now)/second)
	case e.flaps < resetFlaps:
		e.exclusions = 0
	}
}

// sourceStatuses groups the sources of an endpoint by the status that they report, the most trusted first.
type sourceStatuses struct {
	outOfService, up, down, notUp, massDropped []string
}

func (m *Membership) sourceStatuses(e *endpoint) (s sourceStatuses) {
	for _, name := range m.sourcesByTrust(e) {
		observation := e.observations[name]
		switch {
		case e.massDropped[name]:
			s.massDropped = append(s.massDropped, name)
		case observation.Status == OutOfService:
			s.outOfService = append(s.outOfService, name)
		case observation.Status == Up && observation.LeaseExpired && !m.answers(e):
			s.notUp = append(s.notUp, name+" (its lease has expired)")
		case observation.Status == Up:
			s.up = append(s.up, name)
		case observation.Status == Down:
			s.down = append(s.down, name)
		case observation.Status == Starting:
			s.notUp = append(s.notUp, name)
		}
	}
	return s
}

// evaluate weighs the evidence in the order of precedence: drains first, then sources that have the endpoint down, then
// those that have it up, and last those that mass-dropped it.
func (m *Membership) evaluate(e *endpoint) (State, string) {
	if e.drainReason != "" {
		return Draining, "drained by an operator: " + e.drainReason
	}
	sources := m.sourceStatuses(e)
	switch {
	case len(sources.outOfService) > 0:
		return Draining, "out of service at " + sources.outOfService[0]
	case len(sources.down) > 0 && !m.answers(e):
		return Waiting, "down at " + strings.Join(sources.down, ", ") + ", and it answers no gateway"
	case len(sources.down) > 0 && len(sources.up) == 0:
		// The registry's health check fails, but gateways get answers: no new requests, and none is cut off.
		return Draining, "down at " + strings.Join(sources.down, ", ") + ", while it answers gateways"
	case len(sources.up) > 0:
		return Ready, "up at " + strings.Join(sources.up, ", ")
	case len(sources.notUp) > 0:
		return Waiting, "not up yet, or no longer: " + strings.Join(sources.notUp, ", ")
	case len(sources.massDropped) > 0:
		return m.evaluateMassDropped(e, sources.massDropped[0])
	default:
		return Removed, "no source names it"
	}
}

// evaluateMassDropped retains an endpoint while it answers gateways, up to maxRetention, and for answerLifetime after the
// drop if it answered before.
func (m *Membership) evaluateMassDropped(e *endpoint, source string) (State, string) {
	age := m.now - e.droppedAt[source]
	switch {
	case m.answers(e) && age < maxRetention:
		return Retained, source + " dropped it together with many others, and it answers gateways"
	case age < answerLifetime && e.lastAnswer > 0 && !e.failing:
		return Retained, source + " dropped it together with many others"
	default:
		return Removed, "no source names it"
	}
}

// sourcesByTrust returns the names of the sources that have observed an endpoint, the most trusted first.
func (m *Membership) sourcesByTrust(e *endpoint) []string {
	names := slices.Sorted(maps.Keys(e.observations))
	slices.SortStableFunc(names, func(a, b string) int { return m.trustRank(a) - m.trustRank(b) })
	return names
}

func (m *Membership) trustRank(name string) int {
	if i := slices.Index(m.settings.Sources, name); i >= 0 {
		return i
	}
	return len(m.settings.Sources)
}

// listedEndpoint returns the list's entry of an endpoint: zone and weight by the most trusted source that has it up, the
// start time by startTime. Without any observation the entry stays as it was.
func (m *Membership) listedEndpoint(e *endpoint) policyapi.Endpoint {
	observations := m.listableObservations(e)
	if len(observations) == 0 {
		return e.listed
	}
	reportedStart := policyapi.Microseconds(0)
	for _, observation := range observations {
		reportedStart = max(reportedStart, observation.StartedAt)
	}
	trusted := observations[0]
	e.startedAt = m.startTime(e, trusted.Instance, reportedStart)
	e.instance = trusted.Instance
	return policyapi.Endpoint{
		ID:          e.id,
		Zone:        trusted.Zone,
		Weight:      trusted.Weight,
		Pod:         trusted.Pod,
		MachineType: trusted.MachineType,
		StartedAt:   e.startedAt,
	}
}

// listableObservations returns the observations that have an endpoint up, or all if none has; the most trusted first.
func (m *Membership) listableObservations(e *endpoint) (observations []Observation) {
	anyUp := false
	for _, observation := range e.observations {
		anyUp = anyUp || observation.Status == Up
	}
	for _, name := range m.sourcesByTrust(e) {
		if observation := e.observations[name]; !anyUp || observation.Status == Up {
			observations = append(observations, observation)
		}
	}
	return observations
}

// startTime returns the start time from which an endpoint warms up: the latest that a source reports, or now if it must
// have started unreported.
func (m *Membership) startTime(e *endpoint, instance string, reported policyapi.Microseconds) policyapi.Microseconds {
	newProcess := instance != "" && e.instance != "" && instance != e.instance
	// It is new since the first list, or listed again: no source reports that it ran in between.
	appeared := m.hasList && (e.state == Removed || e.state == Waiting && e.startedAt == 0)
	switch {
	case newProcess && reported <= e.startedAt:
		return m.now
	case reported > e.startedAt:
		return reported
	case reported == 0 && appeared:
		return m.now
	default:
		return e.startedAt
	}
}

// retainLastOfZones prevents that the list has no endpoint in a zone while some there answer gateways: those that any
// number of sources dropped, none of them authoritative, stay until others are ready.
func (m *Membership) retainLastOfZones() {
	for _, zone := range m.settings.Zones {
		for _, e := range m.lastOfZone(zone) {
			if e.state != Retained {
				m.note("%s is retained: zone %s would have no endpoint, and it answers gateways", e.id, zone)
			}
			e.state = Retained
			e.reason = "its zone would have no endpoint, and it answers gateways"
			e.since = m.now
		}
	}
}

// lastOfZone returns the endpoints that can be retained in a zone where none serves.
func (m *Membership) lastOfZone(zone policyapi.Zone) (answering []*endpoint) {
	for _, id := range m.endpointIDs() {
		e := m.endpoints[id]
		if e.listed.Zone != zone {
			continue
		}
		if e.state.serving() {
			return nil
		}
		removed := e.state == Removed || e.state == Waiting
		if removed && m.answers(e) && e.drainReason == "" && !m.droppedByAuthority(e) {
			answering = append(answering, e)
		}
	}
	return answering
}

// droppedByAuthority reports whether an authoritative source has dropped an endpoint.
func (m *Membership) droppedByAuthority(e *endpoint) bool {
	for name := range e.droppedAt {
		if m.settings.Authoritative[name] {
			return true
		}
	}
	return false
}
