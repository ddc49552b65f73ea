package solver

import "math"

const (
	// gamma is the step size of the paper.
	gamma = 0.4
	// maxStep bounds the change of a weight's exponent in one price step, which then changes a weight by a factor of at most
	// about e. Without a bound, prices oscillate while capacities fall.
	maxStep = 1.0
	// maxExponent bounds exponents, so that factors stay above 0.
	maxExponent = 600
	// minElasticity is the lowest elasticity assumed for the load of an endpoint: the load of a consumer's only endpoint would
	// otherwise have a slope of 0.
	minElasticity = 0.1
	// minSlope keeps divisors above 0.
	minSlope = 1e-300
)

// evaluate computes the load that all demands put on each endpoint at the current prices, and the slope of that load in the
// endpoint's own price. It returns the residual.
func (p *problem) evaluate(beta float64) float64 {
	p.updateFactors(beta)
	clear(p.load)
	clear(p.slope)
	for i := range p.targets {
		t := &p.targets[i]
		t.partition = 0
		t.priorRate = 0
		for n, endpoint := range t.endpoints {
			t.partition += t.prior[n] * p.factor[t.class][endpoint]
		}
	}
	for i := range p.demands {
		p.addDesiredLoad(&p.demands[i], beta)
	}
	for i := range p.targets {
		p.addPriorLoad(&p.targets[i])
	}
	return p.residual(beta)
}

// updateFactors computes exp(-β·cost·price) for each class and endpoint.
func (p *problem) updateFactors(beta float64) {
	for class := range p.factor {
		for i := range p.fleet.Endpoints {
			p.factor[class][i] = math.Exp(-min(maxExponent, beta*p.fleet.Endpoints[i].cost(class)*p.price[i]))
		}
	}
}

// addDesiredLoad computes the admitted fraction of a demand, adds the load on the endpoints in its desired table, and adds the
// rate that is placed by prior weights to its target.
func (p *problem) addDesiredLoad(d *demand, beta float64) {
	t, factor := &p.targets[d.target], p.factor[d.class]
	d.partition = d.priorWeight * t.partition
	for _, share := range d.desired {
		d.partition += share.Weight * factor[share.Endpoint]
	}
	if d.partition <= 0 {
		d.admitted = 0
		return
	}
	rejected := math.Exp(-min(maxExponent, beta*p.priority[d.class]))
	d.admitted = p.floor + (1-p.floor)*d.partition/(d.partition+rejected)
	scale := d.rate * d.admitted / d.partition
	t.priorRate += scale * d.priorWeight
	for _, share := range d.desired {
		cost := p.fleet.Endpoints[share.Endpoint].cost(d.class)
		rate := scale * share.Weight * factor[share.Endpoint]
		p.load[share.Endpoint] += cost * rate
		// A higher price moves load to the consumer's other endpoints or rejects it.
		p.slope[share.Endpoint] += cost * cost * rate * max(minElasticity, 1-rate/d.rate)
	}
}

// addPriorLoad adds the load that all demands of a target place by prior weights.
func (p *problem) addPriorLoad(t *target) {
	for n, endpoint := range t.endpoints {
		cost := p.fleet.Endpoints[endpoint].cost(t.class)
		rate := t.priorRate * t.prior[n] * p.factor[t.class][endpoint]
		p.load[endpoint] += cost * rate
		p.slope[endpoint] += cost * cost * rate
	}
}

// residual returns the largest error of the prices, as a fraction of a limit. The error of an overloaded endpoint is its overload.
// The error of an endpoint with free capacity and a price above 0 is its free fraction, or β times the price if that is smaller.
func (p *problem) residual(beta float64) (worst float64) {
	for i, load := range p.load {
		if p.limit[i] <= 0 {
			continue
		}
		overload := load/p.limit[i] - 1
		if overload < 0 && p.price[i] > 0 {
			overload = min(-overload, beta*p.price[i])
		}
		worst = max(worst, overload)
	}
	return worst
}

// step applies the paper's price step, p = max(0, p - γ·G/H), to every endpoint, bounded by maxStep. The price of an endpoint
// whose load has no slope does not change.
func (p *problem) step(beta float64) {
	for i := range p.price {
		if p.slope[i] <= 0 || p.limit[i] <= 0 {
			continue
		}
		excess := p.load[i] - p.limit[i]
		move := gamma * excess / (beta * p.slope[i])
		inverseCost := p.load[i] / max(p.slope[i], minSlope) // reciprocal of the mean cost
		if limit := maxStep * inverseCost / beta; math.Abs(move) > limit {
			move = math.Copysign(limit, move)
		}
		p.price[i] = max(0, p.price[i]+move)
	}
}
