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
		d.Kinds = append(d.Kinds, solver.Kind{Name: fmt.Sprintf("kind-%d", k), Payoff: []float64{1, 1, 2, 3, 5}[rng.IntN(5)]})
	}
	base := make([]float64, kinds) // mean work of a req
	for k := range base {
		base[k] = 0.1 + 0.3*rng.Float64()
	}
	for j := range nodes {
		n := solver.Node{Name: fmt.Sprintf("node-%d", j), Zone: zone(j), Pod: 1 + j/(3*zones), Capacity: 1 + 7*rng.Float64()}
		for k := range kinds {
			n.Cost = append(n.Cost, base[k]*(0.7+0.6*rng.Float64()))
		}
		d.Nodes = append(d.Nodes, n)
	}
	d.spoilNodes(rng, zone(rng.IntN(zones)))
	for u := range users {
		user := solver.User{Name: fmt.Sprintf("gw-%d", u), Zone: zone(rng.IntN(zones)), Demand: make([]float64, kinds), Want: make([][]solver.Share, kinds)}
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
		d.Users = append(d.Users, user)
	}
	d.size(rng)
	d.want(rng)
	return d
}

// spoilNodes makes the hard case of the nodes.
func (d *Drawn) spoilNodes(rng *rand.Rand, zone string) {
	each := func(part float64, do func(n *solver.Node)) {
		for j := range d.Nodes {
			if rng.Float64() < part {
				do(&d.Nodes[j])
			}
		}
	}
	switch d.Case {
	case "hall lost":
		for j := range d.Nodes {
			if n := &d.Nodes[j]; n.Zone == zone && len(d.Nodes) > 4 {
				n.Closed = true
			}
		}
	case "cold nodes":
		each(0.4, func(n *solver.Node) { n.Capacity *= 0.16 + 0.84*rng.Float64(); n.Limit = 0.7 })
	case "one kind failing":
		each(0.4, func(n *solver.Node) {
			n.Failing = make([]bool, len(d.Kinds))
			n.Failing[rng.IntN(len(d.Kinds))] = true
		})
	case "bound kind", "bound kind, hall emptied":
		d.Kinds[0].OnlyZones = []string{zone}
		if d.Case != "bound kind" {
			left := 0
			for j := range d.Nodes {
				if n := &d.Nodes[j]; n.Zone == zone {
					if left++; left > 1 {
						n.Closed = true
					}
				}
			}
		} else if rng.IntN(2) == 0 {
			d.Kinds[0].OnlyZones, d.Kinds[0].OwnZone = nil, true
		}
	case "pod shrinks":
		each(0.5, func(n *solver.Node) { n.Closed = n.Pod == 1 })
	case "wrong capacities":
		each(0.5, func(n *solver.Node) { n.Capacity *= []float64{0.5, 2}[rng.IntN(2)] })
	case "senseless capacities":
		each(0.3, func(n *solver.Node) {
			n.Capacity = []float64{0, math.NaN(), math.Inf(1), -3, 1e9}[rng.IntN(5)]
		})
	}
}

// size scales demand by a placement: what it puts on the fullest node becomes a part of its limit. A demand that has no
// open node is taken out of what fits, as is what is scaled beyond.
func (d *Drawn) size(rng *rand.Rand) {
	limit := solver.Limits(d.Fleet)
	load := make([]float64, len(d.Nodes))
	nowhere := false
	for u := range d.Users {
		for k, rate := range d.Users[u].Demand {
			open := solver.Open(d.Fleet, u, k)
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
				load[j] += rate * share[i] / total * d.Nodes[j].Cost[k]
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
	for u := range d.Users {
		for k := range d.Users[u].Demand {
			d.Users[u].Demand[k] *= use / fullest
		}
	}
	d.Fits = d.Fits && !nowhere
}

// want draws the tables that the module may have wanted: a few nodes of the gateway's zone, some of others, by
// capacity, no matter what they can do now.
func (d *Drawn) want(rng *rand.Rand) {
	for u := range d.Users {
		user := &d.Users[u]
		var lines []solver.Share
		for j, n := range d.Nodes {
			near := n.Zone == user.Zone
			if d.Case == "even tables" || near && rng.Float64() < 0.6 || !near && rng.Float64() < 0.1 {
				w := n.Capacity
				if !(w > 0) || w > 100 || d.Case == "even tables" {
					w = 1
				}
				lines = append(lines, solver.Share{Node: j, Weight: w})
			}
		}
		if d.Case == "no tables" {
			lines = nil
		}
		for k := range user.Want {
			user.Want[k] = lines
		}
	}
}

// Large is a fleet of a size, each user with a table of a dozen nodes of its own; use is demand over what fits when
// spread evenly.
func Large(nodes, users, kinds int, use float64) solver.Fleet {
	rng := rand.New(rand.NewPCG(uint64(nodes), uint64(users)))
	var f solver.Fleet
	for k := range kinds {
		f.Kinds = append(f.Kinds, solver.Kind{Name: fmt.Sprintf("kind-%d", k), Payoff: float64(1 + k%3)})
	}
	total := 0.0
	for j := range nodes {
		n := solver.Node{Name: fmt.Sprintf("node-%d", j), Zone: fmt.Sprintf("z%d", j%3), Pod: 1 + j/9, Capacity: 2 + 4*rng.Float64()}
		for range kinds {
			n.Cost = append(n.Cost, 0.16*(0.8+0.4*rng.Float64()))
		}
		f.Nodes, total = append(f.Nodes, n), total+n.Capacity
	}
	asked := 0.0
	for u := range users {
		user := solver.User{Name: fmt.Sprintf("gw-%d", u), Zone: fmt.Sprintf("z%d", u%3)}
		size := math.Exp(rng.NormFloat64())
		var lines []solver.Share
		for len(lines) < min(12, nodes/3) {
			if j := rng.IntN(nodes/3)*3 + u%3; j < nodes && !containsNode(lines, j) {
				lines = append(lines, solver.Share{Node: j, Weight: f.Nodes[j].Capacity})
			}
		}
		for range kinds {
			user.Demand, user.Want = append(user.Demand, size), append(user.Want, lines)
			asked += size * 0.16
		}
		f.Users = append(f.Users, user)
	}
	for u := range f.Users {
		for k := range f.Users[u].Demand {
			f.Users[u].Demand[k] *= use * total / asked
		}
	}
	return f
}

func containsNode(lines []solver.Share, j int) bool {
	for _, l := range lines {
		if l.Node == j {
			return true
		}
	}
	return false
}
