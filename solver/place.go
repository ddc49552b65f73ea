package solver

import (
	"cmp"
	"slices"
)

const (
	// minShare is the smallest fraction of a demand that gets its own entry in a table.
	minShare = 0.01
	// overfill is the fraction by which an endpoint may be filled beyond its limit if almost all demand fits: half of the
	// overload that operators accept.
	overfill = 0.025
)

// placement is the rate of one demand on one endpoint.
type placement struct {
	endpoint int
	rate     float64 // requests per second
}

// place converts prices into weights: it drops shares below minShare, applies F-NORM, and then places the remaining demand on
// endpoints with free capacity.
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
		// Almost all demand fits. It is likelier that all of it does than that the limits are exact.
		p.fill(placements, load, 1+overfill)
	}
	return p.solution(placements)
}

// rateMap holds the rates of one demand by endpoint. One rateMap is reused for all demands.
type rateMap struct {
	rates []float64
	used  []int // endpoints whose rate is not 0
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

// demandRates adds the rates of a demand at the current prices to rates.
func (p *problem) demandRates(d *demand, rates *rateMap) {
	t, factor := &p.targets[d.target], p.factor[d.class]
	scale := d.rate * d.admitted / d.partition
	for _, share := range d.desired {
		rates.add(share.Endpoint, scale*share.Weight*factor[share.Endpoint])
	}
	if d.priorWeight <= 0 || d.priorWeight*t.partition <= minShare*d.partition {
		return
	}
	for n, endpoint := range t.endpoints {
		rates.add(endpoint, scale*d.priorWeight*t.prior[n]*factor[endpoint])
	}
}

// trim returns the placements of at least minShare of the total, ordered by endpoint and scaled so that they sum to the total. If
// smaller ones make up most of the total, it returns the 1/minShare largest placements instead.
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

// largest returns the largest placements, up to count, ordered by endpoint.
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

// normalize applies the paper's F-NORM: it divides the placements on an overloaded endpoint by the ratio of load to limit.
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

// placedRate returns the sum of the rates of placements.
func placedRate(placements []placement) (sum float64) {
	for _, pl := range placements {
		sum += pl.rate
	}
	return sum
}

// unplaced returns the unplaced demand and the total demand, in requests per second.
func (p *problem) unplaced(placements [][]placement) (unplaced, total float64) {
	for i, d := range p.demands {
		unplaced += max(0, d.rate-placedRate(placements[i]))
		total += d.rate
	}
	return unplaced, total
}
