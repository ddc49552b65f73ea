package solver

import "math"

const (
	// gamma is the step size of the paper.
	gamma = 0.4
	// maxStep bounds a price step to what halves or doubles a weight, so that falling capacities and moving prices do not
	// chase each other.
	maxStep = 1.0
	// maxExponent bounds exponents, so that factors stay above 0.
	maxExponent = 600
	// minElasticity keeps the load of an endpoint that is a consumer's only one from having a slope of 0.
	minElasticity = 0.1
	// minSlope keeps divisors above 0.
	minSlope = 1e-300
)

// evaluate finds the load that all demands bring each endpoint at the present prices, and its slope in the endpoint's own
// price, and returns the residual.
func (p *problem) evaluate(beta float64) float64 {
	p.updateFactors(beta)
	clear(p.load)
	clear(p.slope)
	for i := range p.targets {
		t := &p.targets[i]
		t.partition = 0
		t.unwanted = 0
		for n, endpoint := range t.endpoints {
			t.partition += t.prior[n] * p.factor[t.class][endpoint]
		}
	}
	for i := range p.demands {
		p.loadWanted(&p.demands[i], beta)
	}
	for i := range p.targets {
		p.loadUnwanted(&p.targets[i])
	}
	return p.residual(beta)
}

func (p *problem) updateFactors(beta float64) {
	for class := range p.factor {
		for i := range p.fleet.Endpoints {
			p.factor[class][i] = math.Exp(-min(maxExponent, beta*p.fleet.Endpoints[i].cost(class)*p.price[i]))
		}
	}
}

// loadWanted finds the admitted part of a demand, adds the load on endpoints that it wants, and adds the rest to its
// target.
func (p *problem) loadWanted(d *demand, beta float64) {
	t, factor := &p.targets[d.target], p.factor[d.class]
	d.partition = d.unwanted * t.partition
	for _, share := range d.wanted {
		d.partition += share.Weight * factor[share.Endpoint]
	}
	if d.partition <= 0 {
		d.admitted = 0
		return
	}
	rejected := math.Exp(-min(maxExponent, beta*p.priority[d.class]))
	d.admitted = p.floor + (1-p.floor)*d.partition/(d.partition+rejected)
	scale := d.rate * d.admitted / d.partition
	t.unwanted += scale * d.unwanted
	for _, share := range d.wanted {
		cost := p.fleet.Endpoints[share.Endpoint].cost(d.class)
		rate := scale * share.Weight * factor[share.Endpoint]
		p.load[share.Endpoint] += cost * rate
		// What leaves the endpoint goes to the consumer's others or is rejected.
		p.slope[share.Endpoint] += cost * cost * rate * max(minElasticity, 1-rate/d.rate)
	}
}

// loadUnwanted adds the load of all demands of a target on endpoints by their prior.
func (p *problem) loadUnwanted(t *target) {
	for n, endpoint := range t.endpoints {
		cost := p.fleet.Endpoints[endpoint].cost(t.class)
		rate := t.unwanted * t.prior[n] * p.factor[t.class][endpoint]
		p.load[endpoint] += cost * rate
		p.slope[endpoint] += cost * cost * rate
	}
}

// residual returns the largest overload, as a part of the limit. A price on an endpoint with free capacity is as wrong,
// where it matters.
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

// step takes the paper's price step on every endpoint, p = max(0, p - γ·G/H), bounded by maxStep. An endpoint without a
// slope keeps its price.
func (p *problem) step(beta float64) {
	for i := range p.price {
		if p.slope[i] <= 0 || p.limit[i] <= 0 {
			continue
		}
		excess := p.load[i] - p.limit[i]
		move := gamma * excess / (beta * p.slope[i])
		inverseCost := p.load[i] / max(p.slope[i], minSlope) // one over the mean cost
		if limit := maxStep * inverseCost / beta; math.Abs(move) > limit {
			move = math.Copysign(limit, move)
		}
		p.price[i] = max(0, p.price[i]+move)
	}
}
