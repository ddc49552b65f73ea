package coordinator

import (
	"maps"
	"math"
	"slices"

	"porthub/degradation"
	"porthub/policyapi"
)

// minWeight is the weight of an endpoint that has no weight, and the least divisor for sums of weights.
const minWeight = 1e-9

// minLearningUtilization is the utilization up to which no capacity is estimated from an endpoint's utilization: the estimate
// would be too inaccurate.
const minLearningUtilization = 0.1

// scopeCounts are the counts from which the degradation signals of a zone, or of the fleet, are computed.
type scopeCounts struct {
	readyCapacity float64 // of ready endpoints, by weight and warm-up
	gateways      float64 // connected, or with a last message less than missingGatewayTimeout ago
	disconnected  float64 // gateways among them that have not joined
}

// countScopes returns the counts for each zone and for the fleet.
func (c *Core) countScopes() map[policyapi.Zone]*scopeCounts {
	counts := map[policyapi.Zone]*scopeCounts{degradation.FleetScope: {}}
	scopesOf := func(zone policyapi.Zone) []*scopeCounts {
		if counts[zone] == nil {
			counts[zone] = &scopeCounts{}
		}
		if zone == degradation.FleetScope { // the zone of a gateway that never reported a valid one
			return []*scopeCounts{counts[zone]}
		}
		return []*scopeCounts{counts[zone], counts[degradation.FleetScope]}
	}
	for _, zone := range c.settings.Start.Zones {
		scopesOf(zone)
	}
	for _, e := range c.endpoints.listed() {
		if e.Status != policyapi.Ready || c.tables.ejected[e.ID] {
			continue
		}
		for _, scope := range scopesOf(e.Zone) {
			scope.readyCapacity += max(e.Weight, minWeight) * c.warmUpProgress(e)
		}
	}
	for _, g := range c.gateways.inOrder {
		if !g.connected && c.now-g.lastMessageAt >= missingGatewayTimeout {
			continue
		}
		for _, scope := range scopesOf(g.zone) {
			scope.gateways++
			if !g.joined {
				scope.disconnected++
			}
		}
	}
	return counts
}

// degradationSignals returns the signals of the fleet and of each zone; elapsed is the time since they were last measured.
func (c *Core) degradationSignals(elapsed microseconds, allocations map[policyapi.Zone][]allocation, capacity map[policyapi.EndpointID]float64) map[policyapi.Zone]degradation.Signals {
	d := c.degradation
	counts := c.countScopes()
	awaiting := c.awaitingGateways()
	signals := map[policyapi.Zone]degradation.Signals{}
	scopes := append([]policyapi.Zone{degradation.FleetScope}, c.settings.Start.Zones...)
	for _, scope := range scopes {
		var s degradation.Signals
		if load, ok := c.offeredLoad(scope, allocations, capacity); ok {
			s.Set(degradation.TriggerLoad, load)
		}
		if c.endpoints.initialized {
			ready := counts[scope].readyCapacity
			d.peakCapacity[scope] = max(ready, d.peakCapacity[scope]*math.Exp2(-float64(elapsed)/float64(peakCapacityHalfLife)))
			s.Set(degradation.TriggerLostCapacity, 1-ready/max(d.peakCapacity[scope], minWeight))
		}
		if gateways := counts[scope].gateways; gateways > 0 && !awaiting {
			s.Set(degradation.TriggerUnreachable, counts[scope].disconnected/gateways)
		}
		if scope == degradation.FleetScope {
			s.Set(degradation.TriggerShedReports, 1-c.reports.sampler.Stats().SampledFraction)
			s.Set(degradation.TriggerPublicationLag, c.publicationLag())
		}
		signals[scope] = s
	}
	return signals
}

// publicationLag returns how far publications are behind: the time that acknowledgements take as a fraction of the drain grace
// period, or the lines in flight as a fraction of the queue limit, whichever is larger.
func (c *Core) publicationLag() float64 {
	rules := c.settings.Start.Rules
	lag := float64(c.acks.delay) / float64(rules.DrainGracePeriod)
	if rules.QueueLimit > 0 {
		lag = max(lag, c.gateways.linesInFlight/rules.QueueLimit)
	}
	return lag
}

// capacities returns the current capacities of ready endpoints in mean requests per second. Unknown capacities are left out.
func (c *Core) capacities() map[policyapi.EndpointID]float64 {
	capacities := map[policyapi.EndpointID]float64{}
	for _, e := range c.endpoints.listed() {
		if e.Status != policyapi.Ready || c.tables.ejected[e.ID] {
			continue
		}
		if capacity, ok := c.learnedCapacity(e.ID); ok && capacity > 0 {
			capacities[e.ID] = capacity * c.warmUpProgress(e)
		}
	}
	return capacities
}

// learnedCapacity returns an endpoint's capacity by the solver's estimate, or else by its utilization.
func (c *Core) learnedCapacity(endpoint policyapi.EndpointID) (capacity float64, ok bool) {
	if c.solver != nil {
		capacity = c.solver.estimate.Capacity(endpoint)
		if !math.IsNaN(capacity) {
			return capacity, true
		}
	}
	estimate, ok := c.reports.sampler.Estimate(c.now, endpoint)
	if !ok || estimate.Utilization <= minLearningUtilization {
		return 0, false
	}
	return (estimate.Attempts - estimate.Failures) / estimate.Utilization, true // requests answered per second of busy time
}

// zoneAllocations returns the demand of each zone and class, and the part of it that the decision module admits.
func (c *Core) zoneAllocations() map[policyapi.Zone][]allocation {
	zones := map[policyapi.Zone][]allocation{}
	for _, zone := range c.settings.Start.Zones {
		zones[zone] = make([]allocation, len(c.settings.Start.Classes))
	}
	for _, g := range c.gateways.inOrder {
		if !g.joined || !g.bound() || len(zones[g.zone]) == 0 {
			continue
		}
		for class, demand := range g.demand {
			sum := &zones[g.zone][class]
			sum.demand += demand
			sum.admitted += c.policyAdmission(g, policyapi.RequestClass(class)).admittedRate(demand)
		}
	}
	return zones
}

// offeredLoad returns the demanded work divided by the capacity of the endpoints that serve a zone, or of all endpoints for the
// fleet's scope. ok is false if it is unknown.
func (c *Core) offeredLoad(scope policyapi.Zone, allocations map[policyapi.Zone][]allocation, capacity map[policyapi.EndpointID]float64) (load float64, ok bool) {
	demand, admitted := 0.0, 0.0
	for _, zone := range slices.Sorted(maps.Keys(allocations)) { // in a fixed order, so that a replay computes the same sums
		if scope != degradation.FleetScope && zone != scope {
			continue
		}
		for _, a := range allocations[zone] {
			demand += a.demand
			admitted += a.admitted
		}
	}
	if admitted <= 0 {
		return 0, false
	}
	attempts, total := 0.0, 0.0     // sums over all endpoints
	utilization, weight := 0.0, 0.0 // sums weighted by the zone's attempts at each endpoint
	for _, id := range slices.Sorted(maps.Keys(capacity)) {
		estimate, reported := c.reports.sampler.Estimate(c.now, id)
		if !reported {
			continue
		}
		attempts += estimate.Attempts
		total += capacity[id]
		if n, has := c.reports.aggregate.attempts(scope, id); has {
			utilization += float64(n) * estimate.Attempts / capacity[id]
			weight += float64(n)
		}
	}
	switch {
	case scope == degradation.FleetScope && total > 0:
		return attempts / total * demand / admitted, true
	case weight > 0:
		return utilization / weight * demand / admitted, true
	}
	return 0, false
}

// allocate divides the work that is admitted in a zone among the classes by a level's bounds.
func (c *Core) allocate(sums []allocation, bounds degradation.Bounds) []allocation {
	costs := make([]float64, len(sums))
	weights := make([]float64, len(sums))
	demand := make([]float64, len(sums))
	total := 0.0
	for class, sum := range sums {
		costs[class] = 1
		if c.solver != nil {
			costs[class] = c.solver.estimate.Costs()[class]
		}
		weights[class] = c.settings.Start.Classes[class].PriorityWeight
		demand[class] = sum.demand * costs[class]
		total += sum.admitted * costs[class]
	}
	allocated := slices.Clone(sums)
	for class, work := range degradation.DivideAdmission(total, demand, weights, bounds.Share) {
		allocated[class].allocated = work / costs[class]
	}
	return allocated
}
