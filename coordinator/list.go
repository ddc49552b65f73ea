package coordinator

import (
	"maps"
	"slices"

	"porthub/control"
)

// roster is the node list as it is believed.
type roster struct {
	entries   map[control.EndpointID]control.Endpoint // gone ones too: their zone is still needed
	firstSeen map[control.EndpointID]micros
	has       bool // a list has come
	version   control.ListVersion
	// fileVersion is of the file's last list.
	fileVersion control.ListVersion
}

func (r *roster) zone(b control.EndpointID) (control.Zone, bool) {
	e, has := r.entries[b]
	return e.Zone, has
}

// closed tells whether nothing new may go to a backend. Where gone alone does not bind (soft), one dropped from the
// list without a drain is for the module to judge: it may keep its lines while it answers.
func (r *roster) closed(b control.EndpointID, soft bool) bool {
	status := r.entries[b].Status
	return status == control.Draining || status == control.Removed && !soft
}

func (r *roster) ready() (n int) {
	for _, e := range r.entries {
		if e.Status == control.Ready {
			n++
		}
	}
	return n
}

// listed takes a list in. A list that names nobody after one that did is a broken source far likelier than an empty
// fleet: it is refused, unless the settings allow it, and what was known stays.
func (c *Core) listed(in EndpointUpdate) []control.Event {
	if in.Kind == control.Failed {
		c.complain("list_failed", "", "%s", in.Error)
		return []control.Event{in.EndpointUpdate}
	}
	if was := c.list.ready(); in.Kind != control.Delta && len(in.Endpoints) == 0 && was > 0 && !c.set.AllowEmptyList {
		c.complain("list_empty", "", "it names nobody, the last one %d: not believed", was)
		return []control.Event{control.EndpointUpdate{Version: in.Version, Kind: control.Failed}}
	}
	if in.Kind == control.Snapshot && !in.decided {
		return c.file(in)
	}
	seen := map[control.EndpointID]bool{}
	var entries []control.Endpoint
	for _, e := range in.Endpoints {
		if seen[e.ID] || !slices.Contains(c.set.Start.Zones, e.Zone) {
			continue
		}
		seen[e.ID] = true
		entries = append(entries, c.dated(e, in.Kind))
	}
	if in.Kind != control.Delta {
		for _, b := range slices.Sorted(maps.Keys(c.list.entries)) {
			if old := c.list.entries[b]; !seen[b] && old.Status != control.Removed {
				old.Status = control.Removed
				c.list.entries[b] = old
				c.intake.ForgetEndpoint(b)
			}
		}
	}
	changed := in.Kind != control.Delta
	for _, e := range entries {
		changed = changed || c.list.entries[e.ID] != e
		c.list.entries[e.ID] = e
	}
	if in.Kind != control.Cached {
		c.list.has = true
		c.out(SaveList{control.EndpointUpdate{Version: in.Version, Kind: control.Cached, Endpoints: c.present()}})
	}
	clear(c.made)
	if c.relisted = c.relisted || changed; changed {
		c.note(LogDebug, "list", "version %d: %d entries, %d ready", in.Version, len(entries), c.list.ready())
	}
	in.Endpoints = entries
	return []control.Event{in.EndpointUpdate}
}

// present lists what is not gone, in the order of names.
func (c *Core) present() (entries []control.Endpoint) {
	for _, b := range slices.Sorted(maps.Keys(c.list.entries)) {
		if e := c.list.entries[b]; e.Status != control.Removed {
			entries = append(entries, e)
		}
	}
	return entries
}

// dated gives an entry its start time. A source that states none still says something by naming a backend that it
// did not name before, or that was gone: it has just started. What the first list names has been there for long. A
// start that lies ahead of our clock is now: another machine's clock must not keep a backend cold for ever.
func (c *Core) dated(e control.Endpoint, how control.UpdateKind) control.Endpoint {
	old, known := c.list.entries[e.ID]
	switch {
	case e.StartedAt > c.now:
		if e.StartedAt = c.now; known && old.StartedAt > 0 && old.Status != control.Removed {
			e.StartedAt = old.StartedAt
		}
	case e.StartedAt > 0:
	case how == control.Cached:
		e.StartedAt = old.StartedAt
	case !c.list.has:
		// The first fresh list of a start: what was not listed before the restart has started since.
		if e.StartedAt = old.StartedAt; !known {
			e.StartedAt, _ = c.belief.StartTime(e.ID, c.now)
		}
	case !known || old.Status == control.Removed:
		e.StartedAt = c.now
	default:
		e.StartedAt = old.StartedAt
	}
	return e
}
