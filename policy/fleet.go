package policy

import (
	"maps"
	"slices"

	"porthub/policyapi"
	"porthub/policylog"
)

const (
	// minListedWeight replaces listed weights of zero or below.
	minListedWeight = 1e-3
	// priorBusySeconds is the weight, in busy seconds, of the estimate from an endpoint's listed weight when it is averaged
	// with the endpoint's measured throughput.
	priorBusySeconds = 2
	// assumedBusySeconds and assumedHeadroom are the prior for a fleet of which nothing has been learned: the fleet is
	// assumed to serve 1.5 times its demand, and the assumption has the weight of 0.3 busy seconds of each endpoint.
	assumedBusySeconds, assumedHeadroom = 0.3, 1.5
	// minFleetSpeed and maxFleetSpeed bound the fleet's speed as measured in one round.
	minFleetSpeed, maxFleetSpeed = 0.4, 1.5
	// assumedUtilization is the busy share that is assumed for an unreported endpoint in another instance's zone if
	// demand equals capacity in this instance's zones: an endpoint without reports is not idle.
	assumedUtilization = 0.7
	// slowEndpointLatency is the multiple of its machine type's mean latency above which an endpoint gets less load.
	slowEndpointLatency = 1.5
	// minSlowCapacity is the fraction of its capacity that a slow endpoint keeps: latency alone does not justify a larger
	// reduction.
	minSlowCapacity = 0.5
	// slowStartMargin is the fraction of its slow-start capacity that an endpoint gets load for. The rest is reserved for
	// retries and random variation.
	slowStartMargin = 0.7
	// maxSlowStartPressure is the pressure above which endpoints in slow start get no load: they also receive the
	// requests that full endpoints reject, in addition to the load by their weights.
	maxSlowStartPressure = 1.5
	// pressureCeiling minus the failure rate is the divisor of the utilization; the quotient is the pressure on the fleet.
	// The ceiling is above 1 to keep the divisor positive.
	pressureCeiling = 1.01
	// panicThreshold is the fraction of the ready capacity that must remain after the ejections from a zone; otherwise
	// they are ignored. Below it the fault is more likely in the network or in the reports than in the endpoints.
	panicThreshold = 0.2
)

// fleetEstimate is the planner's estimate of the fleet as a whole.
type fleetEstimate struct {
	meanCapacity        float64 // mean over the endpoints, in requests per second
	speed               float64 // current speed relative to the learned speeds of the endpoints
	speedsLearned       bool    // a speed has been learned since the start
	utilization         float64 // load over available capacity
	admittedUtilization float64 // utilization without the requests that admission rejects
	failureRate         float64 // fraction of all attempts that failed, smoothed
}

// fleetEndpoint is an endpoint with its estimated capacity in requests per second.
type fleetEndpoint struct {
	endpointState
	capacity  float64 // at full speed
	available float64 // at present: less than capacity in slow start or while the endpoint is slow
}

// learnedTotals are sums over the endpoints of local zones.
type learnedTotals struct {
	endpoints           float64
	busySeconds         float64
	weightedBusySeconds float64 // weighted by the listed weight, with assumedBusySeconds for each endpoint
	requests            float64
}

// estimateFleet returns the endpoints with their capacities. A capacity is the number of requests that the endpoint
// completed in a busy second, averaged with an estimate from its listed weight that counts as long as little has been
// learned. A cause that slows all endpoints together, or makes all requests more expensive, changes the fleet's speed
// within a round, long before the figures of the individual endpoints follow.
func (p *planner) estimateFleet() []fleetEndpoint {
	fleet := p.listFleet()
	totals := p.learnedTotals(fleet)
	completed, expected := 0.0, 0.0 // requests per second of the last round
	localCapacity := epsilon
	for i := range fleet {
		e := &fleet[i]
		busySeconds, requests := e.learned.throughput.total()
		prior := priorBusySeconds * e.entry.Weight * totals.requests / totals.weightedBusySeconds
		e.capacity = (requests + prior) / (busySeconds + priorBusySeconds)
		p.capacities[e.id] = e.capacity
		completed += e.load.lastRate
		expected += e.capacity * e.load.lastBusy
		if e.ready && p.isLocal(*e) {
			localCapacity += e.capacity
		}
	}
	p.fleet.speedsLearned = p.fleet.speedsLearned || totals.busySeconds > max(1, totals.endpoints)
	if p.round.finished && expected > 0 {
		smooth(&p.fleet.speed, min(maxFleetSpeed, max(minFleetSpeed, completed/expected)))
	}
	p.round.finished = false
	p.estimateAvailable(fleet, localCapacity)
	return fleet
}

// listFleet returns the endpoints in the order of their IDs.
func (p *planner) listFleet() (fleet []fleetEndpoint) {
	for _, id := range slices.Sorted(maps.Keys(p.endpoints)) {
		e := fleetEndpoint{endpointState: p.endpoints[id]}
		e.entry.Weight = max(e.entry.Weight, minListedWeight)
		fleet = append(fleet, e)
	}
	return fleet
}

// learnedTotals sums what has been learned about the endpoints of local zones. The requests include the prior for a fleet of
// which nothing has been learned.
func (p *planner) learnedTotals(fleet []fleetEndpoint) learnedTotals {
	totals := learnedTotals{weightedBusySeconds: epsilon}
	for _, e := range fleet {
		if !p.isLocal(e) {
			continue
		}
		busySeconds, requests := e.learned.throughput.total()
		totals.endpoints++
		totals.busySeconds += busySeconds
		totals.weightedBusySeconds += (busySeconds + assumedBusySeconds) * e.entry.Weight
		totals.requests += requests
	}
	totals.requests += assumedBusySeconds * assumedHeadroom * max(sum(p.zoneDemand), 1)
	return totals
}

// estimateAvailable scales the capacities by the fleet's speed and derives the capacities that are available at present.
// localCapacity is the capacity of the ready endpoints in local zones.
func (p *planner) estimateAvailable(fleet []fleetEndpoint, localCapacity float64) {
	latencies := latenciesByMachineType(fleet)
	pressure := max(1, p.fleet.admittedUtilization) / (pressureCeiling - min(1, p.fleet.failureRate))
	demand := sum(p.zoneDemand)
	p.fleet.meanCapacity = 0
	for i := range fleet {
		e := &fleet[i]
		e.capacity *= p.fleet.speed
		p.fleet.meanCapacity += e.capacity / float64(len(fleet))
		if !p.isLocal(*e) {
			e.estimateExternalLoad(demand, localCapacity)
		}
		e.available = e.capacity * e.slowStartFactor
		if others := latencies[e.entry.MachineType]; e.load.latency > 0 {
			// Multiply before dividing: the order of the operations affects the rounding, and so the decisions.
			threshold := slowEndpointLatency * sum(others) / float64(len(others))
			e.available *= min(1, max(minSlowCapacity, threshold/e.load.latency))
		}
		if e.slowStartFactor < 1 {
			// All proxies together must not overload a warming endpoint. If the other endpoints are full, it gets retries and
			// requests that avoid them in addition to its share by weight. Just after a restart it is unknown whether they
			// are full.
			e.available *= slowStartMargin / pressure
			if pressure > maxSlowStartPressure || !p.fleet.speedsLearned {
				e.available = 0
			}
		}
	}
}

// latenciesByMachineType returns the known mean latencies by machine type. An endpoint is compared with its machine type,
// so that one that stalls or is overloaded gets less load immediately.
func latenciesByMachineType(fleet []fleetEndpoint) map[policyapi.MachineType][]float64 {
	latencies := map[policyapi.MachineType][]float64{}
	for _, e := range fleet {
		if e.load.latency > 0 {
			latencies[e.entry.MachineType] = append(latencies[e.entry.MachineType], e.load.latency)
		}
	}
	return latencies
}

// estimateExternalLoad estimates the load of other instances' proxies on an endpoint in one of their zones. The estimate
// uses the endpoint's busy share if that was reported recently, and otherwise assumes nearly the utilization of the local
// zones.
func (e *fleetEndpoint) estimateExternalLoad(demand, localCapacity float64) {
	if !e.recentlyReported {
		e.load.served = 0
		e.load.busyShare = min(1, assumedUtilization*demand/localCapacity)
		e.load.externalLoad = e.load.busyShare * e.capacity
		return
	}
	if !e.load.reportsRate {
		e.load.externalLoad = max(0, e.load.busyShare*e.capacity-e.load.served)
	}
}

// updatePanicThreshold makes the planner ignore the ejections from a zone if they would nearly empty its tables.
func (p *planner) updatePanicThreshold(fleet []fleetEndpoint) {
	for z, name := range p.settings.zones {
		healthy, ready := 0.0, 0.0
		for _, e := range fleet {
			if !e.ready {
				continue
			}
			ready += e.capacity
			if !e.ejected[z] {
				healthy += e.capacity
			}
		}
		panicking := healthy < panicThreshold*ready
		if panicking != p.panicZones[z] {
			p.panicZones[z] = panicking
			p.out.log(policylog.PanicThreshold(name, panicking, healthy, ready))
		}
	}
}

// isLocal reports whether an endpoint is in a zone that has proxies of this instance.
func (p *planner) isLocal(e fleetEndpoint) bool {
	return p.settings.instanceCount == 1 || e.zone >= 0 && p.zoneDemand[e.zone] > 0
}

// isUsable reports whether an endpoint should get requests from a zone's proxies.
func (p *planner) isUsable(e fleetEndpoint, zone int) bool {
	return e.ready && (p.panicZones[zone] || !e.ejected[zone])
}
