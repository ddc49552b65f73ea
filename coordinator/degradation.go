package coordinator

import (
	"fmt"

	"porthub/degradation"
	"porthub/policyapi"
)

// degradationState connects package degradation, which decides the level of reduced service in force, to the core.
type degradationState struct {
	controller   *degradation.Controller
	roundAt      microseconds
	peakCapacity map[policyapi.Zone]float64      // decaying peak of the ready capacity, by scope
	allocations  map[policyapi.Zone][]allocation // by class, for zones at a level of reduced service
	// fallbackShares are, by class, the shares of demand that are admitted at the level that gateways without a coordinator apply.
	fallbackShares map[policyapi.Zone][]float64
	healthChecks   healthCheckQueue
}

// allocation is how a level divides admission for one class in a zone, in requests per second.
type allocation struct {
	demand    float64
	admitted  float64 // by the decision module
	allocated float64 // by the level
}

// peakCapacityHalfLife is the time in which the recorded peak decays by half, down to the current capacity: a fleet that was made
// smaller on purpose counts as complete again within minutes.
const peakCapacityHalfLife = 120 * second

// missingGatewayTimeout is the time since its last message for which a disconnected gateway counts as missing.
const missingGatewayTimeout = 300 * second

// fallbackTolerance is the change up to which a fallback share is not updated: each update costs a message to every gateway of
// the zone.
const fallbackTolerance = 0.1

// newDegradationState returns nil if no levels are configured.
func newDegradationState(settings degradation.Settings) *degradationState {
	if len(settings.Levels) == 0 {
		return nil
	}
	return &degradationState{
		controller:     degradation.NewController(settings),
		peakCapacity:   map[policyapi.Zone]float64{},
		allocations:    map[policyapi.Zone][]allocation{},
		fallbackShares: map[policyapi.Zone][]float64{},
	}
}

// bounds returns the bounds of a zone's level. reduced reports whether that is a level of reduced service.
func (d *degradationState) bounds(zone policyapi.Zone) (bounds degradation.Bounds, reduced bool) {
	level := d.controller.Level(zone)
	return d.controller.Settings().Bounds(level), level > 0
}

// degradationRound measures the signals once per report period, before the round's reports are passed to the decision module, and
// applies the resulting levels.
func (c *Core) degradationRound() {
	d := c.degradation
	if d == nil || c.now-d.roundAt < c.settings.Start.Reports.Period*9/10 {
		return
	}
	elapsed := c.now - d.roundAt
	d.roundAt = c.now
	capacity := c.capacities()
	allocations := c.zoneAllocations()
	for _, entry := range c.stepDegradation(c.degradationSignals(elapsed, allocations, capacity)) {
		c.outbox.emit(entry)
	}
	clear(d.allocations)
	for _, zone := range c.settings.Start.Zones {
		if bounds, reduced := d.bounds(zone); reduced {
			d.allocations[zone] = c.allocate(allocations[zone], bounds)
		}
	}
	c.updateFallbackShares(allocations)
	// The admission that a level allocates depends on the load.
	c.markPending(func(g *gateway) bool { return g.joined && d.controller.Level(g.zone) > 0 })
}

// stepDegradation updates the levels, marks the gateways whose level has changed for publication, and returns the changes as log
// entries.
func (c *Core) stepDegradation(signals map[policyapi.Zone]degradation.Signals) (entries []LogEntry) {
	controller := c.degradation.controller
	before := map[policyapi.Zone]int{}
	for _, zone := range c.settings.Start.Zones {
		before[zone] = controller.Level(zone)
	}
	settings := controller.Settings()
	for _, change := range controller.Step(c.now, signals) {
		scope := string(change.Zone)
		if change.Zone == degradation.FleetScope {
			scope = "the fleet"
		}
		from, to := settings.LevelName(change.From), settings.LevelName(change.To)
		entries = append(entries, LogEntry{
			Level:  LogWarn,
			Event:  eventServiceLevel,
			Text:   fmt.Sprintf("%s: %s to %s: %s", scope, from, to, change.Reason),
			Fields: []LogField{{"zone", string(change.Zone)}, {"from", from}, {"to", to}},
		})
	}
	clear(c.clusters)
	c.markPending(func(g *gateway) bool { return g.joined && controller.Level(g.zone) != before[g.zone] })
	return entries
}

// DegradationStatus is the state of the levels of service.
type DegradationStatus struct {
	Now          policyapi.Microseconds    `json:"now_us"`
	Levels       []string                  `json:"levels"` // by severity, starting with normal service
	Scopes       []degradation.ScopeStatus `json:"standings"`
	Overrides    []degradation.Override    `json:"words"`
	Gateways     map[string]map[int]int    `json:"gateways"` // by zone and level: number of gateways that have confirmed it
	Disconnected int                       `json:"away"`     // gateways that have not joined and use their last documents
}

// Degradation returns the state of the levels. If none are configured, normal service is the only one.
func (c *Core) Degradation() DegradationStatus {
	status := DegradationStatus{Now: c.now, Levels: []string{degradation.NormalLevel}, Gateways: map[string]map[int]int{}}
	if c.degradation == nil {
		return status
	}
	controller := c.degradation.controller
	for i := range controller.Settings().Levels {
		status.Levels = append(status.Levels, controller.Settings().LevelName(i+1))
	}
	status.Scopes = controller.Scopes(c.now)
	status.Overrides = controller.Overrides()
	for _, g := range c.gateways.inOrder {
		if !g.joined {
			status.Disconnected++
		}
		byLevel := status.Gateways[string(g.zone)]
		if byLevel == nil {
			byLevel = map[int]int{}
			status.Gateways[string(g.zone)] = byLevel
		}
		byLevel[g.delivery.Level()]++
	}
	return status
}
