package solver

import (
	"cmp"
	"math"
	"slices"
)

const (
	// unlimitedCapacity is the capacity from which on a stated one makes no sense, and the one assumed in a fleet of
	// which no capacity is known: whether it is overloaded can't be determined.
	unlimitedCapacity = 1e9
	// maxCapacityRatio is the largest multiple of the median capacity that makes sense.
	maxCapacityRatio = 1000
)

// Endpoint is an endpoint of a fleet. Work is in units of the caller's choice, the same for all endpoints.
type Endpoint struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	Pod  int    `json:"pod"`
	// Capacity is the work per second that it can do now, less than when warmed up if it is warming up.
	Capacity float64 `json:"capacity"`
	// Limit is the part of Capacity that all consumers together may offer it; 0 means 1. It is below 1 for an endpoint
	// that is warming up.
	Limit float64 `json:"limit,omitempty"`
	// Cost is the work of a request of each class; without it each is 1.
	Cost []float64 `json:"cost,omitempty"`
	// Failing reports by class whether it fails that class's requests; nil: none.
	Failing []bool `json:"failing,omitempty"`
	Closed  bool   `json:"closed,omitempty"` // draining or removed: it must get nothing
}

// fails reports whether the endpoint fails a class.
func (e *Endpoint) fails(class int) bool { return len(e.Failing) > 0 && e.Failing[class] }

// cost returns the work of a request of a class; a cost that is no positive number counts as 1.
func (e *Endpoint) cost(class int) float64 {
	if len(e.Cost) == 0 || !(e.Cost[class] > 0) || math.IsInf(e.Cost[class], 0) {
		return 1
	}
	return e.Cost[class]
}

// Class is a request class.
type Class struct {
	Name           string   `json:"name"`
	PriorityWeight float64  `json:"payoff"`
	AllowedZones   []string `json:"only_zones,omitempty"` // empty: all
	LocalZoneOnly  bool     `json:"own_zone,omitempty"`   // only in the consumer's zone
}

// Share is the weight of an endpoint in a table, relative to the others.
type Share struct {
	Endpoint int     `json:"node"` // index in Fleet.Endpoints
	Weight   float64 `json:"weight"`
}

// Consumer is a gateway, or a group of gateways that share their tables.
type Consumer struct {
	Name    string    `json:"name"`
	Zone    string    `json:"zone"`
	Demand  []float64 `json:"demand"` // requests per second by class
	Desired [][]Share `json:"want"`   // the decision module's tables by class
	// Pod restricts a class to a pod while an endpoint there is open; 0, or without it: all pods.
	Pod []int `json:"pod,omitempty"`
}

// Fleet is the input of Solve.
type Fleet struct {
	Endpoints []Endpoint `json:"nodes"`
	Classes   []Class    `json:"kinds"`
	Consumers []Consumer `json:"users"`
	// CrossZonePenalty divides the weight of endpoints in other zones among those that the module does not want; 0 means 1.
	CrossZonePenalty float64 `json:"cross,omitempty"`
}

// open reports whether a class may go to an endpoint from a zone.
func (f Fleet) open(endpoint, class int, zone string) bool {
	e, c := &f.Endpoints[endpoint], &f.Classes[class]
	if e.Closed || e.fails(class) {
		return false
	}
	if c.LocalZoneOnly && e.Zone != zone {
		return false
	}
	return len(c.AllowedZones) == 0 || slices.Contains(c.AllowedZones, e.Zone)
}

// limits returns the work per second that each endpoint may be offered, and the endpoints whose capacity makes no sense: it
// counts as the median of the others. A capacity of 0 makes sense.
func (f Fleet) limits() (limits []float64, guessed []int) {
	median := f.medianCapacity()
	for i, e := range f.Endpoints {
		limit := e.Capacity
		if !e.plausible() || limit > maxCapacityRatio*median {
			limit = median
			guessed = append(guessed, i)
		}
		if e.Limit > 0 && e.Limit < 1 {
			limit *= e.Limit
		}
		if e.Closed {
			limit = 0
		}
		limits = append(limits, limit)
	}
	return limits, guessed
}

// plausible reports whether the endpoint's capacity is a number in the range of capacities.
func (e *Endpoint) plausible() bool { return e.Capacity >= 0 && e.Capacity < unlimitedCapacity }

// medianCapacity returns the median of the known capacities.
func (f Fleet) medianCapacity() float64 {
	var capacities []float64
	for _, e := range f.Endpoints {
		if e.plausible() && e.Capacity > 0 {
			capacities = append(capacities, e.Capacity)
		}
	}
	if len(capacities) == 0 {
		return unlimitedCapacity
	}
	slices.Sort(capacities)
	return capacities[len(capacities)/2]
}

// byPriority returns the classes by their priority weight for their mean cost, the highest first.
func (f Fleet) byPriority() []int {
	order := make([]int, len(f.Classes))
	value := make([]float64, len(f.Classes))
	for class := range order {
		order[class] = class
		cost := 0.0
		for i := range f.Endpoints {
			cost += f.Endpoints[i].cost(class)
		}
		value[class] = f.Classes[class].PriorityWeight / cost
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(value[b], value[a]) })
	return order
}

// Limits returns the work per second that each endpoint of a fleet may be offered, as Solve takes it.
func Limits(f Fleet) []float64 {
	limits, _ := f.limits()
	return limits
}

// OpenEndpoints returns the indexes of the endpoints that a class of a consumer may go to, as Solve takes them: those of
// its pod while one of them is open.
func OpenEndpoints(f Fleet, consumer, class int) []int {
	p := newProblem(&f)
	p.limit = Limits(f)
	return p.newTarget(f.targetKey(consumer, class), 1).endpoints
}
