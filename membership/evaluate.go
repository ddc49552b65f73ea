package membership

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"porthub/policyapi"
)

const (
	// answerLifetime is how long an answer to a gateway is evidence that an endpoint serves requests, even if a registry
	// has dropped it.
	answerLifetime = 6 * second
	// maxRetention bounds how long a mass-dropped endpoint is retained, even if it continues to answer gateways.
	maxRetention = 120 * second

	// maxToleratedFlaps is the flap count above which an endpoint is excluded.
	maxToleratedFlaps = 2.5
	// exclusionResetFlaps is the flap count below which the duration of exclusions returns to firstExclusion.
	exclusionResetFlaps = 1.5
	// firstExclusion is the duration of the first exclusion. It doubles with each consecutive exclusion, at most
	// maxDoublings times and up to maxExclusion.
	firstExclusion = 10 * second
	maxExclusion   = 300 * second
	maxDoublings   = 5
	// flapHalfLife is the time in which the flap count halves.
	flapHalfLife = 60 * second
)

// decide sets the state of one endpoint by the present evidence and records the transition if the state has changed.
func (m *Membership) decide(e *endpoint) {
	state, reason := m.evaluate(e)
	if state.serving() || state == Draining {
		e.listed = m.listedEndpoint(e)
	}
	previous := e.state
	if previous.serving() && !state.serving() && state != Draining && !m.droppedByAuthoritativeSource(e) {
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

// applyExclusion keeps an endpoint out of service while it is excluded for flapping. An endpoint whose exclusion has ended
// goes through slow start like one that has just started.
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

// recordFlap counts that an endpoint has gone down, and excludes it if it has done so too often. Consecutive exclusions
// get longer.
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
	case e.flaps > maxToleratedFlaps:
		e.excludedUntil = m.now + min(maxExclusion, firstExclusion<<min(e.exclusions, maxDoublings))
		e.flapsDecayedAt = e.excludedUntil // the count does not decay while it is excluded
		e.exclusions++
		m.note("%s is flapping: excluded for %d s", e.id, (e.excludedUntil-m.now)/second)
	case e.flaps < exclusionResetFlaps:
		e.exclusions = 0
	}
}

// sourcesByStatus groups the names of an endpoint's sources by the status that they report. Each group is in the order of
// trust, the most trusted first.
type sourcesByStatus struct {
	outOfService, up, down, notUp, massDropped []string
}

func (m *Membership) groupSourcesByStatus(e *endpoint) (s sourcesByStatus) {
	for _, name := range m.sourcesByTrust(e) {
		observation := e.observations[name]
		switch {
		case e.massDropped[name]:
			s.massDropped = append(s.massDropped, name)
		case observation.Status == OutOfService:
			s.outOfService = append(s.outOfService, name)
		case observation.Status == Up && observation.LeaseExpired && !m.isAnswering(e):
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

// evaluate returns the state of an endpoint by the present evidence, and the reason. Drains take precedence, followed by
// sources that report the endpoint as down, sources that report it as up, sources that report it as starting or whose lease
// for it has expired, and finally sources that mass-dropped it.
func (m *Membership) evaluate(e *endpoint) (State, string) {
	if e.drainReason != "" {
		return Draining, "drained by an operator: " + e.drainReason
	}
	sources := m.groupSourcesByStatus(e)
	switch {
	case len(sources.outOfService) > 0:
		return Draining, "out of service at " + sources.outOfService[0]
	case len(sources.down) > 0 && !m.isAnswering(e):
		return Waiting, "down at " + strings.Join(sources.down, ", ") + ", and it answers no gateway"
	case len(sources.down) > 0 && len(sources.up) == 0:
		// The registry's health check fails, but gateways get answers: draining stops new requests and lets those in
		// progress complete.
		return Draining, "down at " + strings.Join(sources.down, ", ") + ", while it answers gateways"
	case len(sources.up) > 0:
		return Ready, "up at " + strings.Join(sources.up, ", ")
	case len(sources.notUp) > 0:
		return Waiting, "not up yet, or no longer: " + strings.Join(sources.notUp, ", ")
	case len(sources.massDropped) > 0 && len(e.deregistered) == 0:
		return m.evaluateMassDropped(e, sources.massDropped[0])
	case len(e.deregistered) > 0:
		return Removed, "it has canceled its registration"
	default:
		return Removed, "no source names it"
	}
}

// evaluateMassDropped retains an endpoint while it answers gateways, for at most maxRetention. One that has answered before
// and has not failed since is retained for answerLifetime after the drop even without further answers.
func (m *Membership) evaluateMassDropped(e *endpoint, source string) (State, string) {
	age := m.now - e.droppedAt[source]
	switch {
	case m.isAnswering(e) && age < maxRetention:
		return Retained, source + " dropped it together with many others, and it answers gateways"
	case age < answerLifetime && e.lastAnswer > 0 && !e.failing:
		return Retained, source + " dropped it together with many others"
	default:
		return Removed, "no source names it"
	}
}

// sourcesByTrust returns the names of the sources that have an observation of an endpoint, the most trusted first.
func (m *Membership) sourcesByTrust(e *endpoint) []string {
	names := slices.Sorted(maps.Keys(e.observations))
	slices.SortStableFunc(names, func(a, b string) int { return m.trustRank(a) - m.trustRank(b) })
	return names
}

// trustRank returns the position of a source in Settings.Sources. Sources that are not listed there rank last.
func (m *Membership) trustRank(name string) int {
	if i := slices.Index(m.settings.Sources, name); i >= 0 {
		return i
	}
	return len(m.settings.Sources)
}

// listedEndpoint returns the entry of an endpoint in the list. It is taken from the most trusted source that reports the
// endpoint as up; the start time is that of startTime. Without any observation the entry stays as it was.
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

// listableObservations returns the observations with status Up, or all observations if there is none, in the order of trust.
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

// startTime returns the time at which the slow start of an endpoint begins: the latest start time that a source reports, or
// the current time if the endpoint must have started without a report of the start time.
func (m *Membership) startTime(e *endpoint, instance string, reported policyapi.Microseconds) policyapi.Microseconds {
	newProcess := instance != "" && e.instance != "" && instance != e.instance
	// The endpoint is new since the first list or is listed again, and it is not known to have run before that.
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

// retainInEmptyZones prevents a zone from having no endpoint in the list while some of its endpoints answer gateways. It
// retains those endpoints until others of the zone are ready, however many sources have dropped them, unless an
// authoritative source has or they have canceled their registration.
func (m *Membership) retainInEmptyZones() {
	for _, zone := range m.settings.Zones {
		for _, e := range m.retainableInZone(zone) {
			if e.state != Retained {
				m.note("%s is retained: zone %s would have no endpoint, and it answers gateways", e.id, zone)
			}
			e.state = Retained
			e.reason = "its zone would have no endpoint, and it answers gateways"
			e.since = m.now
		}
	}
}

// retainableInZone returns the endpoints of a zone that can be retained, or nil if an endpoint of the zone is in service.
func (m *Membership) retainableInZone(zone policyapi.Zone) (answering []*endpoint) {
	for _, id := range m.endpointIDs() {
		e := m.endpoints[id]
		if e.listed.Zone != zone {
			continue
		}
		if e.state.serving() {
			return nil
		}
		removed := e.state == Removed || e.state == Waiting
		hasLeft := e.drainReason != "" || len(e.deregistered) > 0 || m.droppedByAuthoritativeSource(e)
		if removed && m.isAnswering(e) && !hasLeft {
			answering = append(answering, e)
		}
	}
	return answering
}

// droppedByAuthoritativeSource reports whether an authoritative source has dropped an endpoint.
func (m *Membership) droppedByAuthoritativeSource(e *endpoint) bool {
	for name := range e.droppedAt {
		if m.settings.Authoritative[name] {
			return true
		}
	}
	return false
}
