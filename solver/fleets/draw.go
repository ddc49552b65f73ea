// Package fleets draws random fleets with every hard case among them, and finds the exact optimum of small ones, for
// tests, measurements and the command line.
package fleets

import (
	"fmt"
	"math"
	"math/rand/v2"

	"porthub/solver"
)

// Drawn is a random fleet.
type Drawn struct {
	solver.Fleet
	// Fits: the demand was made from a placement that keeps every limit, so all of it can be placed.
	Fits bool
	// Case names what is hard about it.
	Case string
}

// Cases are the hard cases that Draw takes turns in.
var Cases = []string{"plain", "hall lost", "cold nodes", "one kind failing", "bound kind", "bound kind, hall emptied", "pod shrinks",
	"too much", "far too much", "wrong capacities", "senseless capacities", "hot gateway", "one node", "tight", "even tables", "no tables"}

// Draw makes the i-th fleet of a seed.
func Draw(seed uint64, i int) Drawn {
	rng := rand.New(rand.NewPCG(seed, uint64(i)))
	d := Drawn{Fits: true, Case: Cases[i%len(Cases)]}
	zones := 1 + rng.IntN(4)
	zone := func(n int) string { return fmt.Sprintf("z%d", n%zones) }
	kinds, nodes, users := 1+rng.IntN(4), max(zones, 3+rng.IntN(38)), 1+rng.IntN(60)
	if d.Case == "one node" {
		nodes, zones = 1, 1
	}
	for k := range kinds {
		d.Classes = append(d.Classes, solver.Class{Name: fmt.Sprintf("kind-%d", k), PriorityWeight: []float64{1, 1, 2, 3, 5}[rng.IntN(5)]})
	}
	base := make([]float64, kinds) // mean work of a req
	for k := range base {
		base[k] = 0.1 + 0.3*rng.Float64()
	}
	for j := range nodes {
		n := solver.Endpoint{Name: fmt.Sprintf("node-%d", j), Zone: zone(j), Pod: 1 + j/(3*zones), Capacity: 1 + 7*rng.Float64()}
		for k := range kinds {
			n.Cost = append(n.Cost, base[k]*(0.7+0.6*rng.Float64()))
		}
		d.Endpoints = append(d.Endpoints, n)
	}
	d.spoilNodes(rng, zone(rng.IntN(zones)))
	for u := range users {
		user := solver.Consumer{Name: fmt.Sprintf("gw-%d", u), Zone: zone(rng.IntN(zones)), Demand: make([]float64, kinds), Wanted: make([][]solver.Share, kinds)}
		size := math.Exp(1.2 * rng.NormFloat64())
		if d.Case == "hot gateway" && u == 0 {
			size = float64(users) * 2
		}
		for k := range kinds {
			user.Demand[k] = size * (0.3 + rng.Float64())
		}
		if d.Case == "pod shrinks" {
			user.Pod = make([]int, kinds)
			user.Pod[0] = 1 + rng.IntN(max(1, nodes/(3*zones)))
		}
		d.Consumers = append(d.Consumers, user)
	}
	d.size(rng)
	d.want(rng)
	return d
}

// spoilNodes makes the hard case of the nodes.
func (d *Drawn) spoilNodes(rng *rand.Rand, zone string) {
	each := func(part float64, do func(n *solver.Endpoint)) {
		for j := range d.Endpoints {
			if rng.Float64() < part {
				do(&d.Endpoints[j])
			}
		}
	}
	switch d.Case {
	case "hall lost":
		for j := range d.Endpoints {
			if n := &d.Endpoints[j]; n.Zone == zone && len(d.Endpoints) > 4 {
				n.Closed = true
			}
		}
	case "cold nodes":
		each(0.4, func(n *solver.Endpoint) { n.Capacity *= 0.16 + 0.84*rng.Float64(); n.Limit = 0.7 })
	case "one kind failing":
		each(0.4, func(n *solver.Endpoint) {
			n.Failing = make([]bool, len(d.Classes))
			n.Failing[rng.IntN(len(d.Classes))] = true
		})
	case "bound kind", "bound kind, hall emptied":
		d.Classes[0].AllowedZones = []string{zone}
		if d.Case != "bound kind" {
			left := 0
			for j := range d.Endpoints {
				if n := &d.Endpoints[j]; n.Zone == zone {
					if left++; left > 1 {
						n.Closed = true
					}
				}
			}
		} else if rng.IntN(2) == 0 {
			d.Classes[0].AllowedZones, d.Classes[0].LocalZoneOnly = nil, true
		}
	case "pod shrinks":
		each(0.5, func(n *solver.Endpoint) { n.Closed = n.Pod == 1 })
	case "wrong capacities":
		each(0.5, func(n *solver.Endpoint) { n.Capacity *= []float64{0.5, 2}[rng.IntN(2)] })
	case "senseless capacities":
		each(0.3, func(n *solver.Endpoint) {
			n.Capacity = []float64{0, math.NaN(), math.Inf(1), -3, 1e9}[rng.IntN(5)]
		})
	}
}

// size scales demand by a placement: what it puts on the fullest node becomes a part of its limit. A demand that has no
// open node is taken out of what fits, as is what is scaled beyond.
func (d *Drawn) size(rng *rand.Rand) {
	limit := solver.Limits(d.Fleet)
	load := make([]float64, len(d.Endpoints))
	nowhere := false
	for u := range d.Consumers {
		for k, rate := range d.Consumers[u].Demand {
			open := solver.OpenEndpoints(d.Fleet, u, k)
			total := 0.0
			share := make([]float64, len(open))
			for i, j := range open {
				share[i] = limit[j] * (0.5 + rng.Float64()) // by capacity, unevenly
				total += share[i]
			}
			if total == 0 {
				nowhere = nowhere || rate > 0
				continue
			}
			for i, j := range open {
				load[j] += rate * share[i] / total * d.Endpoints[j].Cost[k]
			}
		}
	}
	fullest := 0.0
	for j, l := range load {
		if limit[j] > 0 {
			fullest = max(fullest, l/limit[j])
		}
	}
	if fullest == 0 {
		d.Fits = false
		return
	}
	use := 0.4 + 0.5*rng.Float64()
	switch d.Case {
	case "tight":
		use = 1
	case "too much":
		use, d.Fits = 1.6+rng.Float64(), false
	case "far too much":
		use, d.Fits = 4+8*rng.Float64(), false
	}
	for u := range d.Consumers {
		for k := range d.Consumers[u].Demand {
			d.Consumers[u].Demand[k] *= use / fullest
		}
	}
	d.Fits = d.Fits && !nowhere
}

// want draws the tables that the module may have wanted: a few nodes of the gateway's zone, some of others, by
// capacity, no matter what they can do now.
func (d *Drawn) want(rng *rand.Rand) {
	for u := range d.Consumers {
		user := &d.Consumers[u]
		var lines []solver.Share
		for j, n := range d.Endpoints {
			near := n.Zone == user.Zone
			if d.Case == "even tables" || near && rng.Float64() < 0.6 || !near && rng.Float64() < 0.1 {
				w := n.Capacity
				if !(w > 0) || w > 100 || d.Case == "even tables" {
					w = 1
				}
				lines = append(lines, solver.Share{Endpoint: j, Weight: w})
			}
		}
		if d.Case == "no tables" {
			lines = nil
		}
		for k := range user.Wanted {
			user.Wanted[k] = lines
		}
	}
}

// Large is a fleet of a size, each user with a table of a dozen nodes of its own; use is demand over what fits when
// spread evenly.
func Large(nodes, users, kinds int, use float64) solver.Fleet {
	rng := rand.New(rand.NewPCG(uint64(nodes), uint64(users)))
	var f solver.Fleet
	for k := range kinds {
		f.Classes = append(f.Classes, solver.Class{Name: fmt.Sprintf("kind-%d", k), PriorityWeight: float64(1 + k%3)})
	}
	total := 0.0
	for j := range nodes {
		n := solver.Endpoint{Name: fmt.Sprintf("node-%d", j), Zone: fmt.Sprintf("z%d", j%3), Pod: 1 + j/9, Capacity: 2 + 4*rng.Float64()}
		for range kinds {
			n.Cost = append(n.Cost, 0.16*(0.8+0.4*rng.Float64()))
		}
		f.Endpoints, total = append(f.Endpoints, n), total+n.Capacity
	}
	asked := 0.0
	for u := range users {
		user := solver.Consumer{Name: fmt.Sprintf("gw-%d", u), Zone: fmt.Sprintf("z%d", u%3)}
		size := math.Exp(rng.NormFloat64())
		var lines []solver.Share
		for len(lines) < min(12, nodes/3) {
			if j := rng.IntN(nodes/3)*3 + u%3; j < nodes && !containsNode(lines, j) {
				lines = append(lines, solver.Share{Endpoint: j, Weight: f.Endpoints[j].Capacity})
			}
		}
		for range kinds {
			user.Demand, user.Wanted = append(user.Demand, size), append(user.Wanted, lines)
			asked += size * 0.16
		}
		f.Consumers = append(f.Consumers, user)
	}
	for u := range f.Consumers {
		for k := range f.Consumers[u].Demand {
			f.Consumers[u].Demand[k] *= use * total / asked
		}
	}
	return f
}

func containsNode(lines []solver.Share, j int) bool {
	for _, l := range lines {
		if l.Endpoint == j {
			return true
		}
	}
	return false
}
