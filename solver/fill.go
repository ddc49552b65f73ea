package solver

import (
	"cmp"
	"maps"
	"slices"
)

// negligible is the part of a demand that is not worth placing.
const negligible = 1e-9

// filler places unplaced demand on free capacity.
type filler struct {
	*problem
	placements [][]placement
	placedLoad []float64 // work per second by endpoint
	upTo       float64   // part of its limit that each endpoint may be filled to
}

// fill places what is not placed where capacity is free, classes of the highest priority first and, within a class, those
// demands with the fewest open endpoints: they have the least choice.
func (p *problem) fill(placements [][]placement, load []float64, upTo float64) {
	f := filler{problem: p, placements: placements, placedLoad: load, upTo: upTo}
	order := p.fillOrder()
	for len(order) > 0 {
		size := p.equalChoice(order)
		f.fillDemands(order[:size])
		order = order[size:]
	}
}

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
		return cmp.Or(cmp.Compare(rank[x.class], rank[y.class]), cmp.Compare(p.choice(x), p.choice(y)))
	})
	return order
}

// choice returns the number of endpoints that a demand may go to.
func (p *problem) choice(d *demand) int { return len(p.targets[d.target].endpoints) }

// equalChoice returns how many demands at the start of order have the same class and choice.
func (p *problem) equalChoice(order []int) int {
	first := &p.demands[order[0]]
	size := 1
	for size < len(order) {
		d := &p.demands[order[size]]
		if d.class != first.class || p.choice(d) != p.choice(first) {
			break
		}
		size++
	}
	return size
}

// fillDemands fills demands of equal priority and choice. Those of one target share its free capacity by what each lacks,
// so that none is served for being first.
func (f *filler) fillDemands(demands []int) {
	lacking := map[int]float64{} // requests per second by target
	for _, i := range demands {
		d := &f.demands[i]
		if lack := f.lack(i); lack > negligible*d.rate {
			lacking[d.target] += lack
		}
	}
	for _, index := range slices.Sorted(maps.Keys(lacking)) {
		t := &f.targets[index]
		free := 0.0
		for _, endpoint := range t.endpoints {
			free += f.freeRate(endpoint, t.class)
		}
		if part := min(1, free/lacking[index]); part > negligible {
			f.fillTarget(index, part, demands)
		}
	}
}

// fillTarget places a part of what each demand of a target lacks on the endpoints with the most free capacity, so that few
// entries are added to tables.
func (f *filler) fillTarget(index int, part float64, demands []int) {
	t := &f.targets[index]
	endpoints := slices.Clone(t.endpoints)
	slices.SortStableFunc(endpoints, func(a, b int) int { return cmp.Compare(f.freeRate(b, t.class), f.freeRate(a, t.class)) })
	for _, i := range demands {
		d := &f.demands[i]
		if d.target != index {
			continue
		}
		due := part * f.lack(i)
		for due > negligible*d.rate && len(endpoints) > 0 {
			due -= f.put(i, endpoints[0], due)
			if due > negligible*d.rate {
				endpoints = endpoints[1:]
			}
		}
	}
}

// put places up to a rate of a demand on an endpoint and returns what it placed.
func (f *filler) put(demand, endpoint int, rate float64) float64 {
	class := f.demands[demand].class
	rate = min(rate, f.freeRate(endpoint, class))
	if rate <= 0 {
		return 0
	}
	f.placements[demand] = addPlacement(f.placements[demand], placement{endpoint, rate})
	f.placedLoad[endpoint] += rate * f.fleet.Endpoints[endpoint].cost(class)
	return rate
}

// lack returns the rate of a demand that is not placed.
func (f *filler) lack(demand int) float64 {
	return f.demands[demand].rate - placedRate(f.placements[demand])
}

// freeRate returns the requests per second of a class that an endpoint can still take.
func (f *filler) freeRate(endpoint, class int) float64 {
	return max(0, f.upTo*f.limit[endpoint]-f.placedLoad[endpoint]) / f.fleet.Endpoints[endpoint].cost(class)
}

// addPlacement adds a placement to those of the same endpoint; placements are in the order of endpoints.
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
