package coordinator

import (
	"maps"
	"slices"

	"porthub/policyapi"
)

// endpointStore is the endpoint list as it was last accepted.
type endpointStore struct {
	entries     map[policyapi.EndpointID]policyapi.Endpoint // removed ones too: their zone is still needed
	initialized bool                                        // a fresh list has come
	fileVersion policyapi.ListVersion                       // of the file's last list
	changed     bool                                        // since gateways' documents were last checked against the list
}

func newEndpointStore() endpointStore {
	return endpointStore{entries: map[policyapi.EndpointID]policyapi.Endpoint{}}
}

func (s *endpointStore) zoneOf(endpoint policyapi.EndpointID) (policyapi.Zone, bool) {
	entry, ok := s.entries[endpoint]
	return entry.Zone, ok
}

// closed tells whether nothing new may go to an endpoint. With softRemoval, one that left the list without a drain is the
// decision module's to judge: it may keep its weights while it answers.
func (s *endpointStore) closed(endpoint policyapi.EndpointID, softRemoval bool) bool {
	status := s.entries[endpoint].Status
	return status == policyapi.Draining || status == policyapi.Removed && !softRemoval
}

func (s *endpointStore) readyCount() (n int) {
	for _, entry := range s.entries {
		if entry.Status == policyapi.Ready {
			n++
		}
	}
	return n
}

// listed returns the endpoints that are not removed, in the order of their names.
func (s *endpointStore) listed() (entries []policyapi.Endpoint) {
	for _, id := range slices.Sorted(maps.Keys(s.entries)) {
		if entry := s.entries[id]; entry.Status != policyapi.Removed {
			entries = append(entries, entry)
		}
	}
	return entries
}

// handleEndpointUpdate applies an endpoint list. One that names no endpoint after one that did comes from a broken source
// far more often than from an empty fleet: it is not accepted unless the settings allow it, and the last list stays.
func (c *Core) handleEndpointUpdate(in EndpointUpdate) []policyapi.Event {
	if in.Kind == policyapi.Failed {
		c.warn(eventEndpointListFailed, "", "%s", in.Error)
		return []policyapi.Event{in.EndpointUpdate}
	}
	if ready := c.endpoints.readyCount(); in.Kind != policyapi.Delta && len(in.Endpoints) == 0 && ready > 0 && !c.settings.AllowEmptyList {
		c.warn(eventEndpointListEmpty, "", "it names no endpoint, the last one %d: not accepted", ready)
		return []policyapi.Event{policyapi.EndpointUpdate{Version: in.Version, Kind: policyapi.Failed}}
	}
	if in.Kind == policyapi.Snapshot && !in.decided {
		return c.handleFileUpdate(in)
	}
	in.Endpoints = c.applyEndpoints(in.EndpointUpdate)
	return []policyapi.Event{in.EndpointUpdate}
}

// applyEndpoints puts an update into the store and returns its valid entries, each with its start time.
func (c *Core) applyEndpoints(update policyapi.EndpointUpdate) []policyapi.Endpoint {
	named := map[policyapi.EndpointID]bool{}
	var entries []policyapi.Endpoint
	for _, entry := range update.Endpoints {
		if named[entry.ID] || !slices.Contains(c.settings.Start.Zones, entry.Zone) {
			continue
		}
		named[entry.ID] = true
		entries = append(entries, c.withStartTime(entry, update.Kind))
	}
	changed := update.Kind != policyapi.Delta
	if changed {
		c.removeUnnamed(named)
	}
	for _, entry := range entries {
		changed = changed || c.endpoints.entries[entry.ID] != entry
		c.endpoints.entries[entry.ID] = entry
	}
	if update.Kind != policyapi.Cached {
		c.endpoints.initialized = true
		c.outbox.emit(SaveList{policyapi.EndpointUpdate{Version: update.Version, Kind: policyapi.Cached, Endpoints: c.endpoints.listed()}})
	}
	clear(c.clusters)
	if changed {
		c.endpoints.changed = true
		c.outbox.log(LogDebug, eventEndpointList, "version %d: %d endpoints, %d ready", update.Version, len(entries), c.endpoints.readyCount())
	}
	return entries
}

// removeUnnamed marks as removed what a complete list does not name.
func (c *Core) removeUnnamed(named map[policyapi.EndpointID]bool) {
	for _, id := range slices.Sorted(maps.Keys(c.endpoints.entries)) {
		entry := c.endpoints.entries[id]
		if named[id] || entry.Status == policyapi.Removed {
			continue
		}
		entry.Status = policyapi.Removed
		c.endpoints.entries[id] = entry
		c.reports.sampler.ForgetEndpoint(id)
	}
}

// withStartTime gives an entry its start time. A source that states none still implies it by naming an endpoint that it did
// not name before, or that was removed: it has just started. What the first list names has run for long. A start ahead of
// our clock is now: another machine's clock must not keep an endpoint warming up for ever.
func (c *Core) withStartTime(entry policyapi.Endpoint, class policyapi.UpdateKind) policyapi.Endpoint {
	last, ok := c.endpoints.entries[entry.ID]
	switch {
	case entry.StartedAt > c.now:
		entry.StartedAt = c.now
		if ok && last.StartedAt > 0 && last.Status != policyapi.Removed {
			entry.StartedAt = last.StartedAt
		}
	case entry.StartedAt > 0:
	case class == policyapi.Cached:
		entry.StartedAt = last.StartedAt
	case !c.endpoints.initialized:
		// The first fresh list of a start: what was not listed before the restart has started since.
		entry.StartedAt = last.StartedAt
		if !ok {
			entry.StartedAt, _ = c.recovered.StartTime(entry.ID, c.now)
		}
	case !ok || last.Status == policyapi.Removed:
		entry.StartedAt = c.now
	default:
		entry.StartedAt = last.StartedAt
	}
	return entry
}

// warmUpProgress is the part of its capacity that an endpoint has by the slowest course the rules allow, up to 1.
func (c *Core) warmUpProgress(endpoint policyapi.Endpoint) float64 {
	rules := c.settings.Start.Rules
	if endpoint.StartedAt <= 0 || c.now-endpoint.StartedAt >= rules.WarmUp {
		return 1
	}
	return rules.InitialCapacity + (1-rules.InitialCapacity)*float64(c.now-endpoint.StartedAt)/float64(rules.WarmUp)
}

// isClosed tells whether no snapshot may offer an endpoint, whatever the tables say.
func (c *Core) isClosed(endpoint policyapi.EndpointID) bool {
	return c.tables.ejected[endpoint] || c.endpoints.closed(endpoint, c.settings.Start.Rules.SoftRemoval)
}
