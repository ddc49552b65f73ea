package coordinator

import (
	"maps"
	"slices"

	"porthub/control"
)

// roster is the node list as it is believed.
type roster struct {
	entries   map[control.Backend]control.Entry // gone ones too: their zone is still needed
	firstSeen map[control.Backend]micros
	has       bool // a list has come
	version   control.Version
	// fileVersion is of the file's last list.
	fileVersion control.Version
}

func (r *roster) zone(b control.Backend) (control.Zone, bool) {
	e, has := r.entries[b]
	return e.Zone, has
}

// closed tells whether nothing new may go to a backend. Where gone alone does not bind (soft), one dropped from the
// list without a drain is for the module to judge: it may keep its lines while it answers.
func (r *roster) closed(b control.Backend, soft bool) bool {
	status := r.entries[b].Status
	return status == control.Draining || status == control.Gone && !soft
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
func (c *Core) listed(in List) []control.Event {
	if in.How == control.ListFailed {
		c.complain("list_failed", "", "%s", in.Why)
		return []control.Event{in.List}
	}
	if was := c.list.ready(); in.How != control.ListChanges && len(in.Entries) == 0 && was > 0 && !c.set.AllowEmpty {
		c.complain("list_empty", "", "it names nobody, the last one %d: not believed", was)
		return []control.Event{control.List{Version: in.Version, How: control.ListFailed}}
	}
	if in.How == control.ListFull && !in.decided {
		return c.file(in)
	}
	seen := map[control.Backend]bool{}
	var entries []control.Entry
	for _, e := range in.Entries {
		if seen[e.Backend] || !slices.Contains(c.set.Up.Zones, e.Zone) {
			continue
		}
		seen[e.Backend] = true
		entries = append(entries, c.dated(e, in.How))
	}
	if in.How != control.ListChanges {
		for _, b := range slices.Sorted(maps.Keys(c.list.entries)) {
			if old := c.list.entries[b]; !seen[b] && old.Status != control.Gone {
				old.Status = control.Gone
				c.list.entries[b] = old
				c.intake.ForgetNode(b)
			}
		}
	}
	changed := in.How != control.ListChanges
	for _, e := range entries {
		changed = changed || c.list.entries[e.Backend] != e
		c.list.entries[e.Backend] = e
	}
	if in.How != control.ListSaved {
		c.list.has = true
		c.out(Save{control.List{Version: in.Version, How: control.ListSaved, Entries: c.present()}})
	}
	clear(c.made)
	if c.relisted = c.relisted || changed; changed {
		c.note(Debug, "list", "version %d: %d entries, %d ready", in.Version, len(entries), c.list.ready())
	}
	in.Entries = entries
	return []control.Event{in.List}
}

// present lists what is not gone, in the order of names.
func (c *Core) present() (entries []control.Entry) {
	for _, b := range slices.Sorted(maps.Keys(c.list.entries)) {
		if e := c.list.entries[b]; e.Status != control.Gone {
			entries = append(entries, e)
		}
	}
	return entries
}

// dated gives an entry its start time. A source that states none still says something by naming a backend that it
// did not name before, or that was gone: it has just started. What the first list names has been there for long. A
// start that lies ahead of our clock is now: another machine's clock must not keep a backend cold for ever.
func (c *Core) dated(e control.Entry, how control.ListHow) control.Entry {
	old, known := c.list.entries[e.Backend]
	switch {
	case e.Launched > c.now:
		if e.Launched = c.now; known && old.Launched > 0 && old.Status != control.Gone {
			e.Launched = old.Launched
		}
	case e.Launched > 0:
	case how == control.ListSaved:
		e.Launched = old.Launched
	case !c.list.has:
		// The first fresh list of a start: what was not listed before the restart has started since.
		if e.Launched = old.Launched; !known {
			e.Launched, _ = c.belief.Started(e.Backend, c.now)
		}
	case !known || old.Status == control.Gone:
		e.Launched = c.now
	default:
		e.Launched = old.Launched
	}
	return e
}
