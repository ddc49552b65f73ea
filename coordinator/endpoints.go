package coordinator

import (
	"maps"
	"slices"

	"porthub/policyapi"
)

// endpointStore is the node list as it is believed.
type endpointStore struct {
	entries     map[policyapi.EndpointID]policyapi.Endpoint // gone ones too: their zone is still needed
	firstSeen   map[policyapi.EndpointID]micros
	initialized bool // a list has come
	version     policyapi.ListVersion
	// fileVersion is of the file's last list.
	fileVersion policyapi.ListVersion
}

func (r *endpointStore) zoneOf(b policyapi.EndpointID) (policyapi.Zone, bool) {
	e, has := r.entries[b]
	return e.Zone, has
}

// closed tells whether nothing new may go to a backend. Where gone alone does not bind (soft), one dropped from the
// endpoints without a drain is for the module to judge: it may keep its lines while it answers.
func (r *endpointStore) closed(b policyapi.EndpointID, soft bool) bool {
	status := r.entries[b].Status
	return status == policyapi.Draining || status == policyapi.Removed && !soft
}

func (r *endpointStore) readyCount() (n int) {
	for _, e := range r.entries {
		if e.Status == policyapi.Ready {
			n++
		}
	}
	return n
}

// handleEndpointUpdate takes a list in. A list that names nobody after one that did is a broken source far likelier than an empty
// fleet: it is refused, unless the settings allow it, and what was known stays.
func (c *Core) handleEndpointUpdate(in EndpointUpdate) []policyapi.Event {
	if in.Kind == policyapi.Failed {
		c.warn("list_failed", "", "%s", in.Error)
		return []policyapi.Event{in.EndpointUpdate}
	}
	if was := c.endpoints.readyCount(); in.Kind != policyapi.Delta && len(in.Endpoints) == 0 && was > 0 && !c.settings.AllowEmptyList {
		c.warn("list_empty", "", "it names nobody, the last one %d: not believed", was)
		return []policyapi.Event{policyapi.EndpointUpdate{Version: in.Version, Kind: policyapi.Failed}}
	}
	if in.Kind == policyapi.Snapshot && !in.decided {
		return c.handleFileUpdate(in)
	}
	seen := map[policyapi.EndpointID]bool{}
	var entries []policyapi.Endpoint
	for _, e := range in.Endpoints {
		if seen[e.ID] || !slices.Contains(c.settings.Start.Zones, e.Zone) {
			continue
		}
		seen[e.ID] = true
		entries = append(entries, c.withStartTime(e, in.Kind))
	}
	if in.Kind != policyapi.Delta {
		for _, b := range slices.Sorted(maps.Keys(c.endpoints.entries)) {
			if old := c.endpoints.entries[b]; !seen[b] && old.Status != policyapi.Removed {
				old.Status = policyapi.Removed
				c.endpoints.entries[b] = old
				c.sampler.ForgetEndpoint(b)
			}
		}
	}
	changed := in.Kind != policyapi.Delta
	for _, e := range entries {
		changed = changed || c.endpoints.entries[e.ID] != e
		c.endpoints.entries[e.ID] = e
	}
	if in.Kind != policyapi.Cached {
		c.endpoints.initialized = true
		c.emit(SaveList{policyapi.EndpointUpdate{Version: in.Version, Kind: policyapi.Cached, Endpoints: c.listedEndpoints()}})
	}
	clear(c.clusterCache)
	if c.endpointsChanged = c.endpointsChanged || changed; changed {
		c.log(LogDebug, "list", "version %d: %d entries, %d ready", in.Version, len(entries), c.endpoints.readyCount())
	}
	in.Endpoints = entries
	return []policyapi.Event{in.EndpointUpdate}
}

// listedEndpoints lists what is not gone, in the order of names.
func (c *Core) listedEndpoints() (entries []policyapi.Endpoint) {
	for _, b := range slices.Sorted(maps.Keys(c.endpoints.entries)) {
		if e := c.endpoints.entries[b]; e.Status != policyapi.Removed {
			entries = append(entries, e)
		}
	}
	return entries
}

// withStartTime gives an entry its start time. A source that states none still says something by naming a backend that it
// did not name before, or that was gone: it has just started. What the first list names has been there for long. A
// start that lies ahead of our clock is now: another machine's clock must not keep a backend cold for ever.
func (c *Core) withStartTime(e policyapi.Endpoint, how policyapi.UpdateKind) policyapi.Endpoint {
	old, known := c.endpoints.entries[e.ID]
	switch {
	case e.StartedAt > c.now:
		if e.StartedAt = c.now; known && old.StartedAt > 0 && old.Status != policyapi.Removed {
			e.StartedAt = old.StartedAt
		}
	case e.StartedAt > 0:
	case how == policyapi.Cached:
		e.StartedAt = old.StartedAt
	case !c.endpoints.initialized:
		// The first fresh list of a start: what was not listed before the restart has started since.
		if e.StartedAt = old.StartedAt; !known {
			e.StartedAt, _ = c.recovered.StartTime(e.ID, c.now)
		}
	case !known || old.Status == policyapi.Removed:
		e.StartedAt = c.now
	default:
		e.StartedAt = old.StartedAt
	}
	return e
}
