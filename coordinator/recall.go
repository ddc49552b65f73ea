package coordinator

import (
	"maps"
	"slices"

	"porthub/policyapi"
	"porthub/recovery"
)

// Package recovery decides what is believed of the time before a start; here is only where it goes in and comes out.

// Snapshot is what a next start has to know. It shares what does not change with the core.
func (c *Core) Snapshot() recovery.Snapshot {
	s := recovery.Snapshot{Format: recovery.Format, Build: c.set.Build, Epoch: c.set.Epoch, At: c.now, Steps: c.steps, Version: c.list.version,
		Endpoints: c.present(), Pins: c.book.Snapshot(), Drains: c.members.Drains(), Classes: c.kindNames(), Zones: slices.Clone(c.set.Start.Zones)}
	if c.leveling != nil {
		s.Levels = c.leveling.machine.Snapshot()
	}
	if c.solving != nil {
		s.Ejections = c.solving.judge.Ejections()
	}
	for _, name := range slices.Sorted(maps.Keys(c.gateways)) {
		g := c.gateways[name]
		s.Gateways = append(s.Gateways, recovery.Gateway{Name: string(name), Zone: g.zone, LastReport: g.heardAt, Weight: g.weight, Demand: slices.Clone(g.usage),
			Version: g.ledger.Confirmed(int(EndpointsDocument)).Version})
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

// ClassName is what a request kind is called.
func (c *Core) ClassName(kind policyapi.RequestClass) string { return c.set.Start.Classes[kind].Name }

func (c *Core) kindNames() (names []string) {
	for _, k := range c.set.Start.Classes {
		names = append(names, k.Name)
	}
	return names
}

// Restore hands a core what is believed of the time before, before its first step; the list among it comes as an input of
// its own.
func (c *Core) Restore(now policyapi.Microseconds, b recovery.State) {
	c.now = max(c.now, now)
	c.belief = &b
	if c.solving != nil {
		c.solving.judge.Restore(now, b.Ejections)
		for _, e := range b.Endpoints { // what was learned is of these processes
			c.solving.starts[e.ID] = e.StartedAt
		}
	}
	c.book.Restore(now, b.Pins)
	c.members.Restore(now, b.Drains, b.Endpoints)
	if c.leveling != nil {
		for _, why := range c.leveling.machine.Restore(now, b.Levels) {
			c.later = append(c.later, LogEntry{Level: LogInfo, Event: "recalled", Text: why})
		}
	}
	c.later = append(c.later, LogEntry{Level: LogInfo, Event: "recalled", Text: b.String()})
	for _, why := range b.Discarded {
		c.later = append(c.later, LogEntry{Level: LogInfo, Event: "recalled", Text: why})
	}
}

// recalled takes over what was known of a gateway that comes back.
func (c *Core) recalled(g *gateway) {
	if c.belief == nil {
		return
	}
	if old, known := c.belief.Gateways[string(g.name)]; known && len(g.usage) == 0 && len(old.Demand) == len(c.set.Start.Classes) {
		g.usage = slices.Clone(old.Demand)
	}
}
