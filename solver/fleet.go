package solver

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Endpoint is a calc node. Work is in units of the caller's choice, the same for all nodes.
type Endpoint struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	Pod  int    `json:"pod"`
	// Capacity is the work a second that it can do now; a cold one's is what it has so far.
	Capacity float64 `json:"capacity"`
	// Limit is the part of Capacity that may be offered to it, by all gateways together; 0 stands for 1. A cold node's
	// is below 1: it is its budget.
	Limit float64 `json:"limit,omitempty"`
	// Cost is the work that a req of each kind takes; left out, each takes 1.
	Cost []float64 `json:"cost,omitempty"`
	// Failing tells by kind which ones it fails; left out, none.
	Failing []bool `json:"failing,omitempty"`
	Closed  bool   `json:"closed,omitempty"` // drains or is gone: nothing may go there
}

// Class is a request kind.
type Class struct {
	Name           string   `json:"name"`
	PriorityWeight float64  `json:"payoff"`
	AllowedZones   []string `json:"only_zones,omitempty"`
	LocalZoneOnly  bool     `json:"own_zone,omitempty"` // only in the gateway's zone
}

// Share is a line that the module wants: a node by its index, and a weight above 0 relative to the others.
type Share struct {
	Endpoint int     `json:"node"`
	Weight   float64 `json:"weight"`
}

// Consumer is a gateway, or a group of gateways that share their tables.
type Consumer struct {
	Name   string    `json:"name"`
	Zone   string    `json:"zone"`
	Demand []float64 `json:"demand"` // reqs a second, by kind
	Wanted [][]Share `json:"want"`   // by kind
	// Pod keeps a kind within a pod while that has an open node; 0 and left out: anywhere.
	Pod []int `json:"pod,omitempty"`
}

// Fleet is what is to be solved.
type Fleet struct {
	Endpoints []Endpoint `json:"nodes"`
	Classes   []Class    `json:"kinds"`
	Consumers []Consumer `json:"users"`
	// CrossZonePenalty is how many times less a node in another zone is wanted than one at home, where the module wants neither;
	// 0 stands for 1.
	CrossZonePenalty float64 `json:"cross,omitempty"`
}

// Check names everything that makes a fleet unreadable. Figures that are merely wrong (a capacity that is not a
// number) are no error: Solve says how it took them.
func (f Fleet) Check() error {
	if len(f.Endpoints) == 0 || len(f.Classes) == 0 {
		return fmt.Errorf("a fleet needs nodes and kinds: it has %d and %d", len(f.Endpoints), len(f.Classes))
	}
	for i, n := range f.Endpoints {
		if len(n.Cost) != 0 && len(n.Cost) != len(f.Classes) {
			return fmt.Errorf("nodes[%d] %s: %d costs for %d kinds", i, n.Name, len(n.Cost), len(f.Classes))
		}
		if len(n.Failing) != 0 && len(n.Failing) != len(f.Classes) {
			return fmt.Errorf("nodes[%d] %s: %d failing marks for %d kinds", i, n.Name, len(n.Failing), len(f.Classes))
		}
	}
	for i, k := range f.Classes {
		if !(k.PriorityWeight > 0) || math.IsInf(k.PriorityWeight, 0) {
			return fmt.Errorf("kinds[%d] %s: payoff %v must be above 0", i, k.Name, k.PriorityWeight)
		}
	}
	for i, u := range f.Consumers {
		if len(u.Demand) != len(f.Classes) || len(u.Wanted) > len(f.Classes) || len(u.Pod) != 0 && len(u.Pod) != len(f.Classes) {
			return fmt.Errorf("users[%d] %s: demand, want and pod need one entry a kind", i, u.Name)
		}
		for k, d := range u.Demand {
			if !(d >= 0) || math.IsInf(d, 0) {
				return fmt.Errorf("users[%d] %s: demand[%d] is %v", i, u.Name, k, d)
			}
		}
		for k, lines := range u.Wanted {
			for _, l := range lines {
				if l.Endpoint < 0 || l.Endpoint >= len(f.Endpoints) || !(l.Weight >= 0) || math.IsInf(l.Weight, 0) {
					return fmt.Errorf("users[%d] %s: want[%d] names node %d with weight %v", i, u.Name, k, l.Endpoint, l.Weight)
				}
			}
		}
	}
	return nil
}

// open tells whether a kind may go to a node from a zone.
func (f *Fleet) open(j, k int, zone string) bool {
	n, kind := &f.Endpoints[j], &f.Classes[k]
	return !n.Closed && (len(n.Failing) == 0 || !n.Failing[k]) && (!kind.LocalZoneOnly || n.Zone == zone) &&
		(len(kind.AllowedZones) == 0 || slices.Contains(kind.AllowedZones, n.Zone))
}

// limits are what may be offered to each node. A capacity that is no number, below 0 or beyond reason counts as the
// median of the others, as the design has it for what is unheard; 0 is a node that can do nothing.
func (f *Fleet) limits() (limit []float64, guessed []int) {
	var known []float64
	sane := func(n Endpoint) bool { return n.Capacity >= 0 && n.Capacity < unlimited }
	for _, n := range f.Endpoints {
		if sane(n) && n.Capacity > 0 {
			known = append(known, n.Capacity)
		}
	}
	median := unlimited // of a fleet of which nothing is known nobody can say that it is too full
	if len(known) > 0 {
		slices.Sort(known)
		median = known[len(known)/2]
	}
	for j, n := range f.Endpoints {
		c := n.Capacity
		if !sane(n) || c > 1000*median {
			c, guessed = median, append(guessed, j)
		}
		if part := n.Limit; part > 0 && part < 1 {
			c *= part
		}
		if n.Closed {
			c = 0
		}
		limit = append(limit, c)
	}
	return limit, guessed
}

const unlimited = 1e9

// cost is the work that a req of a kind takes at a node; what is no number counts as 1.
func (n *Endpoint) cost(k int) float64 {
	if len(n.Cost) == 0 || !(n.Cost[k] > 0) || math.IsInf(n.Cost[k], 0) {
		return 1
	}
	return n.Cost[k]
}

// byPayoff orders kinds by payoff for their mean cost, the best first.
func (f *Fleet) byPayoff() []int {
	order := make([]int, len(f.Classes))
	worth := make([]float64, len(f.Classes))
	for k := range order {
		order[k] = k
		cost := 0.0
		for j := range f.Endpoints {
			cost += f.Endpoints[j].cost(k)
		}
		worth[k] = f.Classes[k].PriorityWeight / cost
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(worth[b], worth[a]) })
	return order
}

// Limits are what may be offered to each node of a fleet, as Solve takes them.
func Limits(f Fleet) []float64 {
	limit, _ := f.limits()
	return limit
}

// OpenEndpoints names the nodes that a kind of a user may go to, as Solve takes them: of its pod while that has one.
func OpenEndpoints(f Fleet, user, kind int) []int {
	p := newProblem(&f)
	p.limit = Limits(f)
	key := setKey{kind: kind, zone: f.Consumers[user].Zone}
	if len(f.Consumers[user].Pod) > 0 {
		key.pod = f.Consumers[user].Pod[kind]
	}
	return p.newSet(key, 1).nodes
}
