package membership

import (
	"cmp"
	"maps"
	"slices"

	"porthub/policyapi"
)

const (
	// massDropFraction is the part of a source's endpoints that, dropped at once, has more likely been lost by the
	// registry than left the fleet.
	massDropFraction = 0.3
	// massDropMinimum is the least number of endpoints for which massDropFraction and registryRestartFraction count.
	massDropMinimum = 3
	// massDropWindow is the time in which drops belong to the same loss: a registry loses its state bit by bit, too.
	massDropWindow = 10 * second
	// registryRestartFraction is the part of a source's endpoints whose new start times, at once, are the registry's own.
	registryRestartFraction = 0.5
	// leaseGrace is the number of leases after which an unrenewed one has expired.
	leaseGrace = 2
)

// Apply applies the result of a poll. Invalid observations are left out and noted.
func (m *Membership) Apply(now policyapi.Microseconds, update SourceUpdate) {
	m.now = max(m.now, now)
	s := m.sources[update.Source]
	if s == nil {
		s = &source{reported: map[policyapi.EndpointID]Observation{}}
		m.sources[update.Source] = s
	}
	if update.Error != "" {
		if s.lastError == "" {
			m.note("%s: poll failed: %s; its earlier observations stay in force", update.Source, update.Error)
		}
		s.lastError = update.Error
		return
	}
	if s.lastError != "" {
		m.note("%s: polls succeed again", update.Source)
	}
	s.lastError = ""
	reported := m.validate(update)
	restarted := m.registryRestarted(s, reported)
	returned := 0
	for _, id := range slices.Sorted(maps.Keys(reported)) {
		e := m.endpoint(id)
		if !e.observe(m.now, update.Source, reported[id], restarted) {
			continue
		}
		if e.massDropped[update.Source] {
			returned++
		}
		delete(e.droppedAt, update.Source)
		delete(e.massDropped, update.Source)
	}
	m.dropMissing(update.Source, s, reported)
	m.endMassDrop(update.Source, reported, returned)
	s.reported = reported
	s.initialized = true
}

// observe records an observation, unless it is older than the last one: then it comes from a registry peer that lags.
// registryRestarted means that new start times are the registry's own.
func (e *endpoint) observe(now policyapi.Microseconds, source string, observation Observation, registryRestarted bool) (recorded bool) {
	if last, ok := e.observations[source]; ok {
		if observation.ChangedAt > 0 && observation.ChangedAt < last.ChangedAt {
			return false
		}
		if registryRestarted && observation.StartedAt > last.StartedAt {
			e.registryStarts[source] = observation.StartedAt
		}
		if start, ok := e.registryStarts[source]; ok && observation.StartedAt == start {
			observation.StartedAt = last.StartedAt
		}
	}
	e.observations[source] = observation
	e.observedAt[source] = now
	return true
}

// validate returns the valid observations of an update; of two instances with one address, the one started last.
func (m *Membership) validate(update SourceUpdate) map[policyapi.EndpointID]Observation {
	valid := map[policyapi.EndpointID]Observation{}
	for _, observation := range update.Observations {
		if !slices.Contains(m.settings.Zones, observation.Zone) {
			m.note("%s names %s in zone %q, which is not one of %v: left out", update.Source, observation.Endpoint, observation.Zone, m.settings.Zones)
			continue
		}
		observation = m.normalize(observation)
		if other, ok := valid[observation.Endpoint]; ok {
			m.note("%s: instances %s and %s have the address %s: the later one counts", update.Source, other.Instance, observation.Instance, observation.Endpoint)
			if !startedAfter(observation, other) {
				continue
			}
		}
		valid[observation.Endpoint] = observation
	}
	markExpiredLeases(valid)
	return valid
}

// normalize corrects weights that are not positive and start times in the future: another machine's clock must keep no
// endpoint warming up, and one that is in service keeps its start time.
func (m *Membership) normalize(observation Observation) Observation {
	if !(observation.Weight > 0) { // NaN, too
		observation.Weight = 1
	}
	if observation.StartedAt <= m.now {
		return observation
	}
	observation.StartedAt = m.now
	e := m.endpoints[observation.Endpoint]
	if e != nil && (e.state.serving() || e.state == Draining) && e.startedAt > 0 {
		observation.StartedAt = e.startedAt
	}
	return observation
}

// startedAfter orders instances with one address.
func startedAfter(a, b Observation) bool {
	return cmp.Or(
		cmp.Compare(a.StartedAt, b.StartedAt),
		cmp.Compare(a.ChangedAt, b.ChangedAt),
		cmp.Compare(a.Instance, b.Instance),
	) > 0
}

// markExpiredLeases sets LeaseExpired of leases that have expired by the registry's own clock, which the latest renewal
// shows: a registry in self-preservation continues to list endpoints that have failed.
func markExpiredLeases(observations map[policyapi.EndpointID]Observation) {
	latest := policyapi.Microseconds(0)
	for _, o := range observations {
		latest = max(latest, o.LeaseRenewedAt)
	}
	for id, o := range observations {
		hasLease := o.LeaseRenewedAt > 0 && o.LeaseDuration > 0
		if o.Status == Up && hasLease && latest-o.LeaseRenewedAt > leaseGrace*o.LeaseDuration {
			o.LeaseExpired = true
			observations[id] = o
		}
	}
}

// registryRestarted reports whether so many start times have changed at once that the registry has restarted and not the
// endpoints; only those count that have answered gateways all the while.
func (m *Membership) registryRestarted(s *source, reported map[policyapi.EndpointID]Observation) bool {
	changed, known := 0, 0
	for id, observation := range reported {
		last, ok := s.reported[id]
		if !ok || last.StartedAt == 0 {
			continue
		}
		known++
		if observation.StartedAt > last.StartedAt && m.answers(m.endpoints[id]) {
			changed++
		}
	}
	if changed < massDropMinimum || float64(changed) < registryRestartFraction*float64(known) {
		return false
	}
	m.note("%d of %d endpoints have new start times at once and answered gateways all the while: the registry has restarted, not the endpoints", changed, known)
	return true
}

// dropMissing records which endpoints a source no longer names. Few at a time have left the fleet; many at once of which
// some still answer gateways were lost by the source, unless it is authoritative.
func (m *Membership) dropMissing(name string, s *source, reported map[policyapi.EndpointID]Observation) {
	massDrop := m.isMassDrop(name, s, reported)
	for id := range s.reported {
		if _, ok := reported[id]; ok {
			continue
		}
		e := m.endpoints[id]
		e.droppedAt[name] = m.now
		e.massDropped[name] = massDrop && e.observations[name].Status == Up
		if !e.massDropped[name] {
			delete(e.observations, name)
		}
	}
}

func (m *Membership) isMassDrop(name string, s *source, reported map[policyapi.EndpointID]Observation) bool {
	missing, answering := 0, 0
	for id := range s.reported {
		if _, ok := reported[id]; ok {
			continue
		}
		e := m.endpoints[id]
		if e.observations[name].Status != Up || e.drainReason != "" {
			continue
		}
		missing++
		if m.answers(e) {
			answering++
		}
	}
	recent := 0
	for _, e := range m.endpoints {
		if at, ok := e.droppedAt[name]; ok && m.now-at < massDropWindow {
			recent++
		}
	}
	known := len(s.reported) + recent
	if missing == 0 || answering == 0 || !isMass(missing+recent, known) || m.settings.Authoritative[name] {
		return false
	}
	m.note("%s dropped %d of %d endpoints, %d of them answer gateways: lost by the source, not left", name, missing, known, answering)
	return true
}

// isMass reports whether so many endpoints of those known are more than leave a fleet at once.
func isMass(count, total int) bool {
	return count >= massDropMinimum && float64(count) >= massDropFraction*float64(total)
}

// endMassDrop ends a mass drop once the source names most of the endpoints again: those that it still does not name have
// left. Without it an endpoint that drained and left during the mass drop would stay listed as long as it answers.
func (m *Membership) endMassDrop(name string, reported map[policyapi.EndpointID]Observation, returned int) {
	var missing []*endpoint
	for _, id := range m.endpointIDs() {
		if e := m.endpoints[id]; e.massDropped[name] {
			missing = append(missing, e)
		}
	}
	if returned == 0 || len(missing) == 0 || isMass(len(missing), len(reported)+len(missing)) {
		return
	}
	m.note("%s names %d endpoints again after a mass drop; %d that it does not name have left", name, returned, len(missing))
	for _, e := range missing {
		delete(e.massDropped, name)
		delete(e.observations, name)
	}
}
