package solver

// untouched returns a solution with the desired weights if they respect every limit; otherwise ok is false.
func (p *problem) untouched() (solution Solution, ok bool) {
	load, ok := p.desiredLoad()
	if !ok {
		return Solution{}, false
	}
	for i := range load {
		if load[i] > p.limit[i] {
			return Solution{}, false
		}
	}
	s := p.emptySolution()
	s.Untouched = true
	s.Certificate.Load = load
	s.Certificate.Reason = "all fits as wanted"
	for _, d := range p.demands {
		s.Weights[d.consumer][d.class] = normalized(p.fleet.Consumers[d.consumer].Desired[d.class])
		s.Certificate.PlacedPriority += d.rate * p.priority[d.class]
	}
	s.Certificate.Bound = s.Certificate.PlacedPriority
	return s, true
}

// desiredLoad returns the work per second that the desired weights put on each endpoint. ok is false if a demand has no weights,
// or has weights on endpoints that may not serve it.
func (p *problem) desiredLoad() (load []float64, ok bool) {
	load = make([]float64, len(p.limit))
	for _, d := range p.demands {
		desired := p.fleet.Consumers[d.consumer].Desired
		if d.class >= len(desired) {
			return nil, false
		}
		total := 0.0
		for _, share := range desired[d.class] {
			if share.Weight > 0 && !p.targets[d.target].contains(share.Endpoint) {
				return nil, false
			}
			total += share.Weight
		}
		if total <= 0 {
			return nil, false
		}
		for _, share := range desired[d.class] {
			load[share.Endpoint] += d.rate * share.Weight / total * p.fleet.Endpoints[share.Endpoint].cost(d.class)
		}
	}
	return load, true
}

// normalized returns the shares with a weight above 0, scaled so that the weights sum to 1.
func normalized(desired []Share) (shares []Share) {
	total := 0.0
	for _, share := range desired {
		if share.Weight > 0 {
			shares = append(shares, share)
			total += share.Weight
		}
	}
	for i := range shares {
		shares[i].Weight /= total
	}
	return shares
}
