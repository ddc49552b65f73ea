package coordinator

import (
	"maps"
	"slices"

	"porthub/control"
	"porthub/recovery"
)

// Package recovery decides what is believed of the time before a start; here is only where it goes in and comes out.

// Remember is what a next start has to know. It shares what does not change with the core.
func (c *Core) Remember() recovery.Snapshot {
	s := recovery.Snapshot{Format: recovery.Format, Build: c.set.Build, Epoch: c.set.Epoch, At: c.now, Steps: c.steps, Version: c.list.version,
		Nodes: c.present(), Pins: c.book.Keep(), Drains: c.members.Drains(), Kinds: c.kindNames(), Zones: slices.Clone(c.set.Up.Zones)}
	if c.leveling != nil {
		s.Levels = c.leveling.machine.Keep()
	}
	if c.solving != nil {
		s.Marks = c.solving.judge.Marks()
	}
	for _, name := range slices.Sorted(maps.Keys(c.gateways)) {
		g := c.gateways[name]
		s.Gateways = append(s.Gateways, recovery.Gateway{Name: string(name), Zone: g.zone, Heard: g.heardAt, Weight: g.weight, Usage: slices.Clone(g.usage),
			Version: g.ledger.Confirmed(int(Endpoints)).Version})
	}
	if c.belief != nil { // one that has not come back yet is still remembered as it was
		for _, name := range slices.Sorted(maps.Keys(c.belief.Gateways)) {
			if c.gateways[Gateway(name)] == nil {
				s.Gateways = append(s.Gateways, c.belief.Gateways[name])
			}
		}
	}
	return s
}

// KindName is what a request kind is called.
func (c *Core) KindName(kind control.RequestClass) string { return c.set.Up.Classes[kind].Name }

func (c *Core) kindNames() (names []string) {
	for _, k := range c.set.Up.Classes {
		names = append(names, k.Name)
	}
	return names
}

// Recall hands a core what is believed of the time before, before its first step; the list among it comes as an input of
// its own.
func (c *Core) Recall(now control.Microseconds, b recovery.Belief) {
	c.now = max(c.now, now)
	c.belief = &b
	if c.solving != nil {
		c.solving.judge.Recall(now, b.Marks)
		for _, e := range b.Nodes { // what was learned is of these processes
			c.solving.starts[e.ID] = e.StartedAt
		}
	}
	c.book.Recall(now, b.Pins)
	c.members.Recall(now, b.Drains, b.Nodes)
	if c.leveling != nil {
		for _, why := range c.leveling.machine.Recall(now, b.Levels) {
			c.later = append(c.later, Note{Level: Info, Event: "recalled", Text: why})
		}
	}
	c.later = append(c.later, Note{Level: Info, Event: "recalled", Text: b.String()})
	for _, why := range b.Why {
		c.later = append(c.later, Note{Level: Info, Event: "recalled", Text: why})
	}
}

// recalled takes over what was known of a gateway that comes back.
func (c *Core) recalled(g *gateway) {
	if c.belief == nil {
		return
	}
	if old, known := c.belief.Gateways[string(g.name)]; known && len(g.usage) == 0 && len(old.Usage) == len(c.set.Up.Classes) {
		g.usage = slices.Clone(old.Usage)
	}
}
