package coordinator

import (
	"maps"
	"slices"

	"porthub/policyapi"
)

// endpointStore holds the last endpoint list that was accepted.
type endpointStore struct {
	entries     map[policyapi.EndpointID]policyapi.Endpoint // includes removed endpoints: their zone is still needed
	initialized bool                                        // a list other than the cached one has been accepted
	fileVersion policyapi.ListVersion                       // version of the file's last list
	changed     bool                                        // the list has changed since publishChanges last ran
}

func newEndpointStore() endpointStore {
	return endpointStore{entries: map[policyapi.EndpointID]policyapi.Endpoint{}}
}

func (s *endpointStore) zoneOf(endpoint policyapi.EndpointID) (policyapi.Zone, bool) {
	entry, ok := s.entries[endpoint]
	return entry.Zone, ok
}

// closed reports whether an endpoint must not get new requests. With softRemoval, the decision module decides about an endpoint
// that left the list without a drain: it may keep its weights while it responds.
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

// listed returns the endpoints that are not removed, in the order of their IDs.
func (s *endpointStore) listed() (entries []policyapi.Endpoint) {
	for _, id := range slices.Sorted(maps.Keys(s.entries)) {
		if entry := s.entries[id]; entry.Status != policyapi.Removed {
			entries = append(entries, entry)
		}
	}
	return entries
}

// handleEndpointUpdate applies an endpoint list. An empty list after a non-empty one comes from a broken source far more often
// than from an empty fleet: it is rejected unless the settings allow it, and the last list stays in force.
func (c *Core) handleEndpointUpdate(in EndpointUpdate) []policyapi.Event {
	if in.Kind == policyapi.Failed {
		c.warn(eventEndpointListFailed, "", "%s", in.Error)
		return []policyapi.Event{in.EndpointUpdate}
	}
	if ready := c.endpoints.readyCount(); in.Kind != policyapi.Delta && len(in.Endpoints) == 0 && ready > 0 && !c.settings.AllowEmptyList {
		c.warn(eventEndpointListEmpty, "", "empty list rejected: the last one has %d ready endpoints", ready)
		return []policyapi.Event{policyapi.EndpointUpdate{Version: in.Version, Kind: policyapi.Failed}}
	}
	if in.Kind == policyapi.Snapshot && !in.decided {
		return c.handleFileUpdate(in)
	}
	in.Endpoints = c.applyEndpoints(in.EndpointUpdate)
	return []policyapi.Event{in.EndpointUpdate}
}

// applyEndpoints stores an update and returns its valid entries, each with its start time.
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

// removeUnnamed sets the status of endpoints that a complete list does not name to Removed.
func (c *Core) removeUnnamed(named map[policyapi.EndpointID]bool) {
	for _, id := range slices.Sorted(maps.Keys(c.endpoints.entries)) {
		entry := c.endpoints.entries[id]
		if named[id] || entry.Status == policyapi.Removed {
			continue
		}
		entry.Status = policyapi.Removed
		c.endpoints.entries[id] = entry
		c.reports.sampler.RemoveEndpoint(id)
	}
}

// withStartTime returns an entry with its start time. Without a start time from the source, an endpoint that is new in the list
// or had been removed counts as started now, and the endpoints of the first list as warmed up. A start time in the future is
// replaced by the recorded one or by now: another machine's clock must not keep an endpoint warming up forever.
func (c *Core) withStartTime(entry policyapi.Endpoint, kind policyapi.UpdateKind) policyapi.Endpoint {
	last, ok := c.endpoints.entries[entry.ID]
	switch {
	case entry.StartedAt > c.now:
		entry.StartedAt = c.now
		if ok && last.StartedAt > 0 && last.Status != policyapi.Removed {
			entry.StartedAt = last.StartedAt
		}
	case entry.StartedAt > 0:
	case kind == policyapi.Cached:
		entry.StartedAt = last.StartedAt
	case !c.endpoints.initialized:
		// The first fresh list after a restart: endpoints that are not in the restored state have started since.
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

// warmUpProgress returns the fraction of its capacity, up to 1, that an endpoint has if it warms up as slowly as the rules allow.
func (c *Core) warmUpProgress(endpoint policyapi.Endpoint) float64 {
	rules := c.settings.Start.Rules
	if endpoint.StartedAt <= 0 || c.now-endpoint.StartedAt >= rules.WarmUp {
		return 1
	}
	return rules.InitialCapacity + (1-rules.InitialCapacity)*float64(c.now-endpoint.StartedAt)/float64(rules.WarmUp)
}

// isClosed reports whether an endpoint must be withheld in all snapshots, even if tables have a weight for it.
func (c *Core) isClosed(endpoint policyapi.EndpointID) bool {
	return c.tables.ejected[endpoint] || c.endpoints.closed(endpoint, c.settings.Start.Rules.SoftRemoval)
}
