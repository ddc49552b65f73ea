package membership

import (
	"cmp"
	"maps"
	"slices"

	"porthub/policyapi"
)

const (
	// massDropFraction is the minimum fraction of a source's endpoints in a mass drop. If a registry drops so many at once,
	// it is more likely that it has lost its state than that the endpoints have left the fleet.
	massDropFraction = 0.3
	// massDropMinimum is the minimum number of endpoints for massDropFraction and registryRestartFraction to apply.
	massDropMinimum = 3
	// massDropWindow is the period within which drops by one source are added up, since a registry may also lose its
	// state gradually.
	massDropWindow = 10 * second
	// registryRestartFraction is the minimum fraction of a source's endpoints whose start times must change in the same poll
	// for the change to be attributed to a restart of the registry.
	registryRestartFraction = 0.5
	// leaseGrace is the number of lease durations without a renewal after which a lease has expired.
	leaseGrace = 2
)

// Apply applies the result of one poll of a source. It discards invalid observations and adds a note for each.
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
		delete(e.deregistered, update.Source)
	}
	m.dropDeregistered(update, reported)
	m.dropMissing(update.Source, s, reported)
	m.endMassDrop(update.Source, reported, returned)
	s.reported = reported
	s.initialized = true
}

// observe records an observation and reports whether it did so. An observation older than the last one comes from a
// registry peer that lags behind and is discarded. If registryRestarted is set, a later start time than the last one is
// attributed to the registry's restart, and the endpoint keeps its start time.
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

// validate returns the valid observations of an update by endpoint. If several instances share an address, the one that
// started last is used.
func (m *Membership) validate(update SourceUpdate) map[policyapi.EndpointID]Observation {
	valid := map[policyapi.EndpointID]Observation{}
	for _, observation := range update.Observations {
		if !slices.Contains(m.settings.Zones, observation.Zone) {
			m.note("%s lists %s in zone %q, which is not one of the configured zones %v: observation discarded",
				update.Source, observation.Endpoint, observation.Zone, m.settings.Zones)
			continue
		}
		observation = m.normalize(observation)
		if other, ok := valid[observation.Endpoint]; ok {
			m.note("%s: instances %s and %s share the address %s: the one that started last is used",
				update.Source, other.Instance, observation.Instance, observation.Endpoint)
			if !startedAfter(observation, other) {
				continue
			}
		}
		valid[observation.Endpoint] = observation
	}
	markExpiredLeases(valid)
	return valid
}

// normalize replaces a weight that is not positive by 1, and a start time in the future by the current time: a clock that
// is ahead on another machine must not keep an endpoint in slow start. An endpoint that is in service or draining keeps the
// start time that it had.
func (m *Membership) normalize(observation Observation) Observation {
	if !(observation.Weight > 0) { // also true for NaN
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

// startedAfter reports whether a takes precedence over b, an instance with the same address: it started later, or, with
// equal start times, it changed later or has the greater instance id.
func startedAfter(a, b Observation) bool {
	return cmp.Or(
		cmp.Compare(a.StartedAt, b.StartedAt),
		cmp.Compare(a.ChangedAt, b.ChangedAt),
		cmp.Compare(a.Instance, b.Instance),
	) > 0
}

// markExpiredLeases sets LeaseExpired on observations whose lease has expired, since a registry in self-preservation
// continues to list endpoints that have failed. The latest renewal among the observations stands for the time of the
// registry's clock.
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

// registryRestarted reports whether so many start times have changed in the same poll that the registry has restarted and
// not the endpoints. It counts only the changes of endpoints that still answer gateways.
func (m *Membership) registryRestarted(s *source, reported map[policyapi.EndpointID]Observation) bool {
	changed, known := 0, 0
	for id, observation := range reported {
		last, ok := s.reported[id]
		if !ok || last.StartedAt == 0 {
			continue
		}
		known++
		if observation.StartedAt > last.StartedAt && m.isAnswering(m.endpoints[id]) {
			changed++
		}
	}
	if changed < massDropMinimum || float64(changed) < registryRestartFraction*float64(known) {
		return false
	}
	m.note("%d of %d endpoints have new start times but still answer gateways: the registry has restarted, not the endpoints",
		changed, known)
	return true
}

// dropDeregistered removes endpoints that have canceled their registration. They have left the fleet, even if the source dropped
// them in a mass drop before it showed the cancellation.
func (m *Membership) dropDeregistered(update SourceUpdate, reported map[policyapi.EndpointID]Observation) {
	for _, id := range update.Deregistered {
		e := m.endpoints[id]
		if _, listed := reported[id]; listed || e == nil || e.deregistered[update.Source] {
			continue
		}
		e.deregistered[update.Source] = true
		e.droppedAt[update.Source] = m.now
		delete(e.massDropped, update.Source)
		delete(e.observations, update.Source)
	}
}

// dropMissing records which other endpoints a source no longer lists. In a mass drop it keeps the last observation of those that
// were up. Otherwise the endpoints have left the fleet, and their observations are deleted.
func (m *Membership) dropMissing(name string, s *source, reported map[policyapi.EndpointID]Observation) {
	massDrop := m.isMassDrop(name, s, reported)
	for id := range s.reported {
		e := m.endpoints[id]
		if _, ok := reported[id]; ok || e.deregistered[name] {
			continue
		}
		e.droppedAt[name] = m.now
		e.massDropped[name] = massDrop && e.observations[name].Status == Up
		if !e.massDropped[name] {
			delete(e.observations, name)
		}
	}
}

// isMassDrop reports whether a source that is not authoritative has dropped so many endpoints within massDropWindow that
// the source must have lost them. At least one endpoint dropped by this poll must still answer gateways. Endpoints that have
// canceled their registration do not count, nor do, among those that this poll drops, endpoints that were not up at the source or
// that an operator has drained.
func (m *Membership) isMassDrop(name string, s *source, reported map[policyapi.EndpointID]Observation) bool {
	missing, answering, canceled := 0, 0, 0
	for id := range s.reported {
		if _, ok := reported[id]; ok {
			continue
		}
		e := m.endpoints[id]
		if e.deregistered[name] {
			canceled++
			continue
		}
		if e.observations[name].Status != Up || e.drainReason != "" {
			continue
		}
		missing++
		if m.isAnswering(e) {
			answering++
		}
	}
	recent := 0
	for _, e := range m.endpoints {
		if at, ok := e.droppedAt[name]; ok && !e.deregistered[name] && m.now-at < massDropWindow {
			recent++
		}
	}
	known := len(s.reported) - canceled + recent
	if missing == 0 || answering == 0 || !exceedsMassDropLimits(missing+recent, known) || m.settings.Authoritative[name] {
		return false
	}
	m.note("%s dropped %d of %d endpoints, and %d of the dropped ones still answer gateways: attributed to a loss by the source",
		name, missing, known, answering)
	return true
}

// exceedsMassDropLimits reports whether count out of total endpoints are too many to have left the fleet at once.
func exceedsMassDropLimits(count, total int) bool {
	return count >= massDropMinimum && float64(count) >= massDropFraction*float64(total)
}

// endMassDrop ends a mass drop once the source lists most of the endpoints again. Those that are still missing have left
// the fleet: without this rule, an endpoint that drained and left during the mass drop would stay listed while it answers
// gateways. The argument returned is the number of mass-dropped endpoints that this poll lists again.
func (m *Membership) endMassDrop(name string, reported map[policyapi.EndpointID]Observation, returned int) {
	var missing []*endpoint
	for _, id := range m.endpointIDs() {
		if e := m.endpoints[id]; e.massDropped[name] {
			missing = append(missing, e)
		}
	}
	if returned == 0 || len(missing) == 0 || exceedsMassDropLimits(len(missing), len(reported)+len(missing)) {
		return
	}
	m.note("%s lists %d endpoints again after a mass drop; the %d that are still missing have left the fleet",
		name, returned, len(missing))
	for _, e := range missing {
		delete(e.massDropped, name)
		delete(e.observations, name)
	}
}
