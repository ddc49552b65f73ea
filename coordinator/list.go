package coordinator

import (
	"maps"
	"slices"

	"porthub/policyapi"
)

// roster is the node list as it is believed.
type roster struct {
	entries   map[policyapi.EndpointID]policyapi.Endpoint // gone ones too: their zone is still needed
	firstSeen map[policyapi.EndpointID]micros
	has       bool // a list has come
	version   policyapi.ListVersion
	// fileVersion is of the file's last list.
	fileVersion policyapi.ListVersion
}

func (r *roster) zone(b policyapi.EndpointID) (policyapi.Zone, bool) {
	e, has := r.entries[b]
	return e.Zone, has
}

// closed tells whether nothing new may go to a backend. Where gone alone does not bind (soft), one dropped from the
// list without a drain is for the module to judge: it may keep its lines while it answers.
func (r *roster) closed(b policyapi.EndpointID, soft bool) bool {
	status := r.entries[b].Status
	return status == policyapi.Draining || status == policyapi.Removed && !soft
}

func (r *roster) ready() (n int) {
	for _, e := range r.entries {
		if e.Status == policyapi.Ready {
			n++
		}
	}
	return n
}

// listed takes a list in. A list that names nobody after one that did is a broken source far likelier than an empty
// fleet: it is refused, unless the settings allow it, and what was known stays.
func (c *Core) listed(in EndpointUpdate) []policyapi.Event {
	if in.Kind == policyapi.Failed {
		c.complain("list_failed", "", "%s", in.Error)
		return []policyapi.Event{in.EndpointUpdate}
	}
	if was := c.list.ready(); in.Kind != policyapi.Delta && len(in.Endpoints) == 0 && was > 0 && !c.set.AllowEmptyList {
		c.complain("list_empty", "", "it names nobody, the last one %d: not believed", was)
		return []policyapi.Event{policyapi.EndpointUpdate{Version: in.Version, Kind: policyapi.Failed}}
	}
	if in.Kind == policyapi.Snapshot && !in.decided {
		return c.file(in)
	}
	seen := map[policyapi.EndpointID]bool{}
	var entries []policyapi.Endpoint
	for _, e := range in.Endpoints {
		if seen[e.ID] || !slices.Contains(c.set.Start.Zones, e.Zone) {
			continue
		}
		seen[e.ID] = true
		entries = append(entries, c.dated(e, in.Kind))
	}
	if in.Kind != policyapi.Delta {
		for _, b := range slices.Sorted(maps.Keys(c.list.entries)) {
			if old := c.list.entries[b]; !seen[b] && old.Status != policyapi.Removed {
				old.Status = policyapi.Removed
				c.list.entries[b] = old
				c.intake.ForgetEndpoint(b)
			}
		}
	}
	changed := in.Kind != policyapi.Delta
	for _, e := range entries {
		changed = changed || c.list.entries[e.ID] != e
		c.list.entries[e.ID] = e
	}
	if in.Kind != policyapi.Cached {
		c.list.has = true
		c.out(SaveList{policyapi.EndpointUpdate{Version: in.Version, Kind: policyapi.Cached, Endpoints: c.present()}})
	}
	clear(c.made)
	if c.relisted = c.relisted || changed; changed {
		c.note(LogDebug, "list", "version %d: %d entries, %d ready", in.Version, len(entries), c.list.ready())
	}
	in.Endpoints = entries
	return []policyapi.Event{in.EndpointUpdate}
}

// present lists what is not gone, in the order of names.
func (c *Core) present() (entries []policyapi.Endpoint) {
	for _, b := range slices.Sorted(maps.Keys(c.list.entries)) {
		if e := c.list.entries[b]; e.Status != policyapi.Removed {
			entries = append(entries, e)
		}
	}
	return entries
}

// dated gives an entry its start time. A source that states none still says something by naming a backend that it
// did not name before, or that was gone: it has just started. What the first list names has been there for long. A
// start that lies ahead of our clock is now: another machine's clock must not keep a backend cold for ever.
func (c *Core) dated(e policyapi.Endpoint, how policyapi.UpdateKind) policyapi.Endpoint {
	old, known := c.list.entries[e.ID]
	switch {
	case e.StartedAt > c.now:
		if e.StartedAt = c.now; known && old.StartedAt > 0 && old.Status != policyapi.Removed {
			e.StartedAt = old.StartedAt
		}
	case e.StartedAt > 0:
	case how == policyapi.Cached:
		e.StartedAt = old.StartedAt
	case !c.list.has:
		// The first fresh list of a start: what was not listed before the restart has started since.
		if e.StartedAt = old.StartedAt; !known {
			e.StartedAt, _ = c.belief.StartTime(e.ID, c.now)
		}
	case !known || old.Status == policyapi.Removed:
		e.StartedAt = c.now
	default:
		e.StartedAt = old.StartedAt
	}
	return e
}
