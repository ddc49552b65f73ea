package solver

import (
	"cmp"
	"slices"
)

const (
	// minShare is the smallest part of a demand that gets an entry of its own in a table.
	minShare = 0.01
	// overfill is how far over its limit an endpoint may be filled where almost all demand fits: half of what the
	// operators allow.
	overfill = 0.025
)

// placement is what one demand puts on one endpoint, in requests per second.
type placement struct {
	endpoint int
	rate     float64
}

// place turns prices into weights: it drops shares that are too small, applies F-NORM, and then fills up endpoints that
// still have free capacity.
func (p *problem) place() Solution {
	placements := make([][]placement, len(p.demands))
	load := make([]float64, len(p.limit))
	rates := newRateMap(len(p.limit))
	for i := range p.demands {
		d := &p.demands[i]
		if d.partition <= 0 {
			continue
		}
		p.demandRates(d, rates)
		placements[i] = trim(rates, d.rate*d.admitted)
		rates.reset()
		for _, pl := range placements[i] {
			load[pl.endpoint] += pl.rate * p.fleet.Endpoints[pl.endpoint].cost(d.class)
		}
	}
	p.normalize(placements, load)
	p.fill(placements, load, 1)
	if unplaced, total := p.unplaced(placements); unplaced > 0 && unplaced < 2*overfill*total {
		// Almost all fits: it is likelier that all of it does than that limits are exact.
		p.fill(placements, load, 1+overfill)
	}
	return p.solution(placements)
}

// rateMap holds the rates of one demand by endpoint. It is reused for all demands.
type rateMap struct {
	rates []float64
	used  []int // endpoints with a rate
}

func newRateMap(endpoints int) *rateMap { return &rateMap{rates: make([]float64, endpoints)} }

func (m *rateMap) add(endpoint int, rate float64) {
	if m.rates[endpoint] == 0 {
		m.used = append(m.used, endpoint)
	}
	m.rates[endpoint] += rate
}

func (m *rateMap) reset() {
	for _, endpoint := range m.used {
		m.rates[endpoint] = 0
	}
	m.used = m.used[:0]
}

// demandRates adds the rates of a demand at the present prices.
func (p *problem) demandRates(d *demand, rates *rateMap) {
	t, factor := &p.targets[d.target], p.factor[d.class]
	scale := d.rate * d.admitted / d.partition
	for _, share := range d.wanted {
		rates.add(share.Endpoint, scale*share.Weight*factor[share.Endpoint])
	}
	if d.unwanted <= 0 || d.unwanted*t.partition <= minShare*d.partition {
		return
	}
	for n, endpoint := range t.endpoints {
		rates.add(endpoint, scale*d.unwanted*t.prior[n]*factor[endpoint])
	}
}

// trim returns the placements of at least minShare of the total, in the order of endpoints, scaled to the total. If most
// of the total is in smaller ones, the 1/minShare largest are returned instead.
func trim(rates *rateMap, total float64) (placements []placement) {
	slices.Sort(rates.used)
	sum := 0.0
	for _, endpoint := range rates.used {
		if rate := rates.rates[endpoint]; rate >= minShare*total {
			placements = append(placements, placement{endpoint, rate})
			sum += rate
		}
	}
	if sum < total/2 {
		placements = largest(rates, int(1/minShare))
		sum = placedRate(placements)
	}
	for i := range placements {
		placements[i].rate *= total / sum
	}
	return placements
}

// largest returns the largest placements, in the order of endpoints.
func largest(rates *rateMap, count int) (placements []placement) {
	for _, endpoint := range rates.used {
		placements = append(placements, placement{endpoint, rates.rates[endpoint]})
	}
	slices.SortFunc(placements, func(a, b placement) int {
		return cmp.Or(cmp.Compare(b.rate, a.rate), cmp.Compare(a.endpoint, b.endpoint))
	})
	placements = placements[:min(len(placements), count)]
	slices.SortFunc(placements, func(a, b placement) int { return cmp.Compare(a.endpoint, b.endpoint) })
	return placements
}

// normalize is the paper's F-NORM: what an endpoint is offered is divided by its overload.
func (p *problem) normalize(placements [][]placement, load []float64) {
	for i := range placements {
		for n := range placements[i] {
			pl := &placements[i][n]
			if ratio := load[pl.endpoint] / p.limit[pl.endpoint]; ratio > 1 {
				pl.rate /= ratio
			}
		}
	}
	for i := range load {
		load[i] = min(load[i], p.limit[i])
	}
}

func placedRate(placements []placement) (sum float64) {
	for _, pl := range placements {
		sum += pl.rate
	}
	return sum
}

// unplaced returns the demand that is not placed, and all demand.
func (p *problem) unplaced(placements [][]placement) (unplaced, total float64) {
	for i, d := range p.demands {
		unplaced += max(0, d.rate-placedRate(placements[i]))
		total += d.rate
	}
	return unplaced, total
}
