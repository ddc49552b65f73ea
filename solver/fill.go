package solver

import (
	"cmp"
	"maps"
	"slices"
)

// negligibleFraction is the fraction of a demand that is too small to be placed.
const negligibleFraction = 1e-9

// filler places unplaced demand on free capacity.
type filler struct {
	*problem
	placements [][]placement
	placedLoad []float64 // work per second by endpoint
	maxFill    float64   // largest load of an endpoint, as a fraction of its limit
}

// fill places unplaced demand on free capacity. Classes of the highest priority come first and, within a class, the demands with
// the fewest open endpoints, because they have the fewest alternatives.
func (p *problem) fill(placements [][]placement, load []float64, maxFill float64) {
	f := filler{problem: p, placements: placements, placedLoad: load, maxFill: maxFill}
	order := p.fillOrder()
	for len(order) > 0 {
		size := p.equalRank(order)
		f.fillDemands(order[:size])
		order = order[size:]
	}
}

// fillOrder returns the indexes of the demands, ordered by the priority of their class and by their number of open endpoints.
func (p *problem) fillOrder() []int {
	rank := make([]int, len(p.fleet.Classes))
	for i, class := range p.fleet.byPriority() {
		rank[class] = i
	}
	order := make([]int, len(p.demands))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		x, y := &p.demands[a], &p.demands[b]
		return cmp.Or(cmp.Compare(rank[x.class], rank[y.class]), cmp.Compare(p.openCount(x), p.openCount(y)))
	})
	return order
}

// openCount returns the number of endpoints that a demand may be placed on.
func (p *problem) openCount(d *demand) int { return len(p.targets[d.target].endpoints) }

// equalRank returns how many demands at the start of order have the same class and the same number of open endpoints.
func (p *problem) equalRank(order []int) int {
	first := &p.demands[order[0]]
	size := 1
	for size < len(order) {
		d := &p.demands[order[size]]
		if d.class != first.class || p.openCount(d) != p.openCount(first) {
			break
		}
		size++
	}
	return size
}

// fillDemands places demands of one class with the same number of open endpoints. The demands of one target share its free
// capacity in proportion to what each has unplaced, so that their order gives none an advantage.
func (f *filler) fillDemands(demands []int) {
	unplaced := map[int]float64{} // requests per second by target
	for _, i := range demands {
		d := &f.demands[i]
		if missing := f.unplacedRate(i); missing > negligibleFraction*d.rate {
			unplaced[d.target] += missing
		}
	}
	for _, index := range slices.Sorted(maps.Keys(unplaced)) {
		t := &f.targets[index]
		free := 0.0
		for _, endpoint := range t.endpoints {
			free += f.freeRate(endpoint, t.class)
		}
		if fraction := min(1, free/unplaced[index]); fraction > negligibleFraction {
			f.fillTarget(index, fraction, demands)
		}
	}
}

// fillTarget places a fraction of the unplaced rate of each demand of a target, on the endpoints with the most free capacity
// first, so that few entries are added to tables.
func (f *filler) fillTarget(index int, fraction float64, demands []int) {
	t := &f.targets[index]
	endpoints := slices.Clone(t.endpoints)
	slices.SortStableFunc(endpoints, func(a, b int) int { return cmp.Compare(f.freeRate(b, t.class), f.freeRate(a, t.class)) })
	for _, i := range demands {
		d := &f.demands[i]
		if d.target != index {
			continue
		}
		remaining := fraction * f.unplacedRate(i)
		for remaining > negligibleFraction*d.rate && len(endpoints) > 0 {
			remaining -= f.placeOn(i, endpoints[0], remaining)
			if remaining > negligibleFraction*d.rate {
				endpoints = endpoints[1:]
			}
		}
	}
}

// placeOn places as much of a rate of a demand on an endpoint as its free capacity allows, and returns the placed rate.
func (f *filler) placeOn(demand, endpoint int, rate float64) float64 {
	class := f.demands[demand].class
	rate = min(rate, f.freeRate(endpoint, class))
	if rate <= 0 {
		return 0
	}
	f.placements[demand] = addPlacement(f.placements[demand], placement{endpoint, rate})
	f.placedLoad[endpoint] += rate * f.fleet.Endpoints[endpoint].cost(class)
	return rate
}

// unplacedRate returns the rate of a demand that is not placed, in requests per second.
func (f *filler) unplacedRate(demand int) float64 {
	return f.demands[demand].rate - placedRate(f.placements[demand])
}

// freeRate returns the rate of a class, in requests per second, that fits into the free capacity of an endpoint.
func (f *filler) freeRate(endpoint, class int) float64 {
	return max(0, f.maxFill*f.limit[endpoint]-f.placedLoad[endpoint]) / f.fleet.Endpoints[endpoint].cost(class)
}

// addPlacement adds a placement to placements, which are ordered by endpoint with one entry for each.
func addPlacement(placements []placement, added placement) []placement {
	i, found := slices.BinarySearchFunc(placements, added.endpoint, func(pl placement, endpoint int) int {
		return cmp.Compare(pl.endpoint, endpoint)
	})
	if found {
		placements[i].rate += added.rate
		return placements
	}
	return slices.Insert(placements, i, added)
}
