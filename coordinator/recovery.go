package coordinator

import (
	"maps"
	"slices"

	"porthub/policyapi"
	"porthub/recovery"
)

// Snapshot returns the state to restore after a restart; package recovery decides which part of it is still valid then. The
// result shares immutable state with the core.
func (c *Core) Snapshot() recovery.Snapshot {
	s := recovery.Snapshot{
		Format:    recovery.Format,
		Build:     c.settings.Build,
		Epoch:     c.settings.Epoch,
		At:        c.now,
		Steps:     c.steps,
		Endpoints: c.endpoints.listed(),
		Pins:      c.versions.Snapshot(),
		Drains:    c.membership.Drains(),
		Classes:   c.classNames(),
		Zones:     slices.Clone(c.settings.Start.Zones),
	}
	if c.degradation != nil {
		s.Levels = c.degradation.controller.Snapshot()
	}
	if c.solver != nil {
		s.Ejections = c.solver.health.Ejections()
	}
	for _, g := range c.gateways.sorted() {
		s.Gateways = append(s.Gateways, recovery.Gateway{
			Name:          string(g.name),
			Zone:          g.zone,
			LastMessageAt: g.lastMessageAt,
			Weight:        g.weight,
			Demand:        slices.Clone(g.demand),
			Version:       g.delivery.Confirmed(int(EndpointsDocument)).Version,
		})
	}
	if c.recovered == nil {
		return s
	}
	for _, name := range slices.Sorted(maps.Keys(c.recovered.Gateways)) {
		if c.gateways.byName[Gateway(name)] == nil { // it has not connected since the restart: its earlier state is kept
			s.Gateways = append(s.Gateways, c.recovered.Gateways[name])
		}
	}
	return s
}

// Restore applies the state of an earlier process. It must be called before the first step. The endpoint list of that state is
// passed to Step as an input.
func (c *Core) Restore(now policyapi.Microseconds, state recovery.State) {
	c.now = max(c.now, now)
	c.recovered = &state
	if c.solver != nil {
		c.solver.health.Restore(now, state.Ejections)
		for _, e := range state.Endpoints { // the restored ejections apply to processes with these start times
			c.solver.startTimes[e.ID] = e.StartedAt
		}
	}
	c.versions.Restore(now, state.Pins)
	c.membership.Restore(now, state.Drains, state.Endpoints)
	var notes []string
	if c.degradation != nil {
		notes = c.degradation.controller.Restore(now, state.Levels)
	}
	notes = append(notes, state.String())
	notes = append(notes, state.Discarded...)
	for _, text := range notes {
		c.outbox.logLater(LogEntry{Level: LogInfo, Event: eventStateRestored, Text: text})
	}
}

// restoreDemand restores the demand of a gateway that connects again after a restart.
func (c *Core) restoreDemand(g *gateway) {
	if c.recovered == nil {
		return
	}
	last, ok := c.recovered.Gateways[string(g.name)]
	if ok && len(g.demand) == 0 && len(last.Demand) == len(c.settings.Start.Classes) {
		g.demand = slices.Clone(last.Demand)
	}
}
