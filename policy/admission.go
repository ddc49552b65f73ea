package policy

import (
	"math"

	"porthub/policyapi"
	"porthub/policylog"
)

const (
	// admissionStep is the relative change of the admitted rate above which it is published. Capacity is reduced by the
	// same fraction, so that a change that is not published cannot overload the fleet.
	admissionStep = 0.05
	// unlimitedLevel is an admission level that rejects nothing.
	unlimitedLevel = 1e6
	// admissionUtilization is the fraction of the capacity that the demand must exceed for admission to be limited.
	admissionUtilization = 0.9
	// minLimitedCapacity is the fraction of an endpoint's available capacity that counts regardless of its capacity limit:
	// one endpoint that is full, or falsely reports that it is, must not reduce admission at all proxies.
	minLimitedCapacity = 0.5
	// queueLatency is the fraction of the latency objective above which the latency indicates a queue.
	queueLatency = 0.45
	// drainReports is the number of report periods within which a queue should drain.
	drainReports = 4
	// maxLatencyCut is the greatest fraction of the capacity that is deducted for late responses, and minQueuedCapacity the
	// least fraction that remains after the deduction for queued requests.
	maxLatencyCut, minQueuedCapacity = 0.5, 0.5
	// priceStep is gamma in the Flowtune paper: the fraction of a Newton step by which the price moves.
	priceStep = 0.4
	// priceSteps is the number of price steps in each plan: Flowtune's allocator steps continuously, this one only when
	// reports arrive.
	priceSteps = 30
	// maxPriceFloor is the upper bound of the price floor. It equals initialPrice, at which prices start.
	maxPriceFloor = 1.0
	// rateCap is the multiple of its demand that a proxy's rate may reach.
	rateCap = 2
	// minPricedDemand is the demand, in requests per second, below which a proxy does not lower the price floor.
	minPricedDemand = 0.5
)

// updateAdmittedRate computes the rate that each group admits, with the price steps and F-NORM of the design, and publishes
// the sum if it differs from the published rate by more than admissionStep. Admission is limited only while the demand is
// above 90% of the summed capacity (admissionUtilization).
func (p *planner) updateAdmittedRate(fleet []fleetEndpoint) {
	capacities, limited := p.groupCapacities(fleet)
	demand, capacity := sum(p.zoneDemand), sum(capacities)
	admitted := 0.0
	for i := range p.groups.list {
		admitted += p.groups.list[i].admit(capacities[i])
	}
	// Demand above the sum of all learned capacities will cause slow responses: admission is limited before they arrive.
	limited = limited || p.fleet.speedsLearned && demand > capacity
	if !limited || p.settings.admissionMode == policyapi.AdmissionOff || demand <= admissionUtilization*capacity {
		admitted = 0
	}
	if (admitted > 0) != (p.admittedRate > 0) {
		p.out.log(policylog.Admission(admitted > 0, demand, capacity))
	}
	if admitted == 0 || math.Abs(admitted-p.admittedRate) > admissionStep*p.admittedRate {
		p.admittedRate = admitted
	}
}

// groupCapacities divides the endpoints' capacities among the groups by their load, and reports whether any endpoint has
// a capacity limit.
func (p *planner) groupCapacities(fleet []fleetEndpoint) (capacities []float64, limited bool) {
	capacities = make([]float64, len(p.groups.list))
	for _, e := range fleet {
		limited = limited || e.learned.limit > 0
		ownLoad := sum(p.endpointLoad[e.id])
		capacity := p.ownCapacity(e, ownLoad)
		for i, load := range p.endpointLoad[e.id] {
			capacities[i] += (1 - admissionStep) * capacity * load / max(ownLoad, epsilon)
		}
	}
	return capacities, limited
}

// ownCapacity is the part of an endpoint's capacity, in requests per second, that is available to this instance's
// proxies, whose load on it is ownLoad.
func (p *planner) ownCapacity(e fleetEndpoint, ownLoad float64) float64 {
	capacity := e.available
	if e.learned.limit > 0 {
		capacity = max(min(e.learned.limit, capacity), capacity*minLimitedCapacity)
	}
	// Late responses and queued requests indicate a queue: less than the capacity is admitted until it has drained.
	drainTime := float64(drainReports * p.settings.reportPeriod)
	late := max(0, e.load.latency-queueLatency*float64(p.settings.latencyObjective))
	capacity *= 1 - min(maxLatencyCut, late/drainTime)
	capacity = max(capacity*minQueuedCapacity, capacity-e.load.queue*float64(second)/drainTime)
	// If there are several instances, each uses the share of its own proxies.
	capacity *= ownLoad / max(e.load.externalLoad+ownLoad, epsilon)
	if !p.isLocal(e) {
		// The busy share does not show by how much a full endpoint is overloaded: use the rate that it served for this
		// instance plus its idle capacity.
		capacity = min(capacity, e.load.served+max(0, 1-e.load.busyShare)*e.available)
	}
	return capacity
}

// admit updates the group's price and returns the rate that its capacity admits.
func (g *group) admit(capacity float64) float64 {
	rates := g.solvePrice(capacity)
	return min(g.load, normalize(rates, capacity))
}

// solvePrice moves the group's price by steps of the Flowtune paper's algorithm 1 (Newton-exact-diagonal) and returns the
// sum of the proxies' rates at the price before the last step.
func (g *group) solvePrice(capacity float64) (rates float64) {
	floor := g.priceFloor()
	for range priceSteps {
		g.price = max(floor, g.price)
		var slope float64 // derivative of the rates with respect to the price; rates at their cap are constant
		rates, slope = g.ratesAt(g.price)
		if slope < 0 {
			g.price = max(floor, g.price-priceStep*(rates-capacity)/slope)
		}
	}
	return rates
}

// priceFloor is the price at which the proxy of the largest demand reaches its rate cap. A lower price admits no more, and
// with all rates at their caps the slope would be 0 and the price could not change.
func (g *group) priceFloor() float64 {
	floor := maxPriceFloor
	for _, proxy := range g.proxies {
		floor = min(floor, (1.0/rateCap)/max(proxy.total, minPricedDemand))
	}
	return floor
}

// ratesAt returns the sum of the proxies' rates at a price, and its derivative with respect to the price.
func (g *group) ratesAt(price float64) (rates, slope float64) {
	for _, proxy := range g.proxies {
		rate := 1 / price
		rateLimit := rateCap * proxy.total
		rates += min(rate, rateLimit)
		if rate <= rateLimit {
			slope -= rate * rate
		}
	}
	return rates, slope
}

// normalize is F-NORM of the Flowtune paper: it divides the rates by the ratio by which they exceed the capacity.
func normalize(rates, capacity float64) float64 {
	return rates / max(1, rates/max(capacity, epsilon))
}
