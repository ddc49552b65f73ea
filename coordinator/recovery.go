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
	s := recovery.Snapshot{Format: recovery.Format, Build: c.settings.Build, Epoch: c.settings.Epoch, At: c.now, Steps: c.steps, Version: c.endpoints.version,
		Endpoints: c.listedEndpoints(), Pins: c.versions.Snapshot(), Drains: c.members.Drains(), Classes: c.classNames(), Zones: slices.Clone(c.settings.Start.Zones)}
	if c.degradation != nil {
		s.Levels = c.degradation.controller.Snapshot()
	}
	if c.solver != nil {
		s.Ejections = c.solver.health.Ejections()
	}
	for _, name := range slices.Sorted(maps.Keys(c.gateways)) {
		g := c.gateways[name]
		s.Gateways = append(s.Gateways, recovery.Gateway{Name: string(name), Zone: g.zone, LastReport: g.lastMessageAt, Weight: g.weight, Demand: slices.Clone(g.demand),
			Version: g.inFlight.Confirmed(int(EndpointsDocument)).Version})
	}
	if c.recovered != nil { // one that has not come back yet is still remembered as it was
		for _, name := range slices.Sorted(maps.Keys(c.recovered.Gateways)) {
			if c.gateways[Gateway(name)] == nil {
				s.Gateways = append(s.Gateways, c.recovered.Gateways[name])
			}
		}
	}
	return s
}

// ClassName is what a request kind is called.
func (c *Core) ClassName(kind policyapi.RequestClass) string {
	return c.settings.Start.Classes[kind].Name
}

func (c *Core) classNames() (names []string) {
	for _, k := range c.settings.Start.Classes {
		names = append(names, k.Name)
	}
	return names
}

// Restore hands a core what is believed of the time before, before its first step; the list among it comes as an input of
// its own.
func (c *Core) Restore(now policyapi.Microseconds, b recovery.State) {
	c.now = max(c.now, now)
	c.recovered = &b
	if c.solver != nil {
		c.solver.health.Restore(now, b.Ejections)
		for _, e := range b.Endpoints { // what was learned is of these processes
			c.solver.startTimes[e.ID] = e.StartedAt
		}
	}
	c.versions.Restore(now, b.Pins)
	c.members.Restore(now, b.Drains, b.Endpoints)
	if c.degradation != nil {
		for _, why := range c.degradation.controller.Restore(now, b.Levels) {
			c.deferred = append(c.deferred, LogEntry{Level: LogInfo, Event: "recalled", Text: why})
		}
	}
	c.deferred = append(c.deferred, LogEntry{Level: LogInfo, Event: "recalled", Text: b.String()})
	for _, why := range b.Discarded {
		c.deferred = append(c.deferred, LogEntry{Level: LogInfo, Event: "recalled", Text: why})
	}
}

// restoreGateway takes over what was known of a gateway that comes back.
func (c *Core) restoreGateway(g *gateway) {
	if c.recovered == nil {
		return
	}
	if old, known := c.recovered.Gateways[string(g.name)]; known && len(g.demand) == 0 && len(old.Demand) == len(c.settings.Start.Classes) {
		g.demand = slices.Clone(old.Demand)
	}
}
