package solver

import (
	"cmp"
	"math"
	"slices"
)

const (
	// unlimitedCapacity is the value from which a stated capacity is implausible. It is also the capacity assumed for the
	// endpoints of a fleet in which none is known: whether such a fleet is overloaded can't be determined.
	unlimitedCapacity = 1e9
	// maxCapacityRatio is the largest plausible multiple of the median capacity.
	maxCapacityRatio = 1000
)

// Endpoint is an endpoint of a fleet. Work is in units of the caller's choice, the same for all endpoints.
type Endpoint struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	Pod  int    `json:"pod"`
	// Capacity is the work per second that the endpoint can do now. While it is warming up, that is less than when warmed up.
	Capacity float64 `json:"capacity"`
	// Limit is the fraction of Capacity that all consumers together may offer; 0 means 1. It is below 1 for an endpoint that
	// is warming up.
	Limit float64 `json:"limit,omitempty"`
	// Cost is the work of a request, by class. If it is empty, each request costs 1.
	Cost []float64 `json:"cost,omitempty"`
	// Failing reports, by class, whether the endpoint fails requests of the class. If it is empty, it fails none.
	Failing []bool `json:"failing,omitempty"`
	Closed  bool   `json:"closed,omitempty"` // draining or removed: gets no load
}

// fails reports whether the endpoint fails a class.
func (e *Endpoint) fails(class int) bool { return len(e.Failing) > 0 && e.Failing[class] }

// cost returns the work of a request of a class. A cost that is not a finite number above 0 counts as 1.
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
	AllowedZones   []string `json:"only_zones,omitempty"` // zones of the endpoints that may serve it; empty: all zones
	LocalZoneOnly  bool     `json:"own_zone,omitempty"`   // only endpoints in the consumer's zone may serve it
}

// Share is the weight of an endpoint in a table, relative to the other weights in the table.
type Share struct {
	Endpoint int     `json:"node"` // index in Fleet.Endpoints
	Weight   float64 `json:"weight"`
}

// Consumer is a gateway, or a group of gateways that share their tables.
type Consumer struct {
	Name    string    `json:"name"`
	Zone    string    `json:"zone"`
	Demand  []float64 `json:"demand"` // requests per second by class
	Desired [][]Share `json:"want"`   // the decision module's tables, by class
	// Pod restricts a class to a pod while an endpoint of the pod is open. 0 means all pods, and so does an empty slice.
	Pod []int `json:"pod,omitempty"`
}

// Fleet is the input of Solve.
type Fleet struct {
	Endpoints []Endpoint `json:"nodes"`
	Classes   []Class    `json:"kinds"`
	Consumers []Consumer `json:"users"`
	// CrossZonePenalty divides the prior weight of endpoints in other zones, by which load is placed on endpoints that are not
	// in the desired table; 0 means 1.
	CrossZonePenalty float64 `json:"cross,omitempty"`
}

// open reports whether a consumer in a zone may send requests of a class to an endpoint.
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

// limits returns the work per second that each endpoint may be offered, and the indexes of the endpoints whose capacity is
// implausible and was replaced by the median of the known ones. A capacity of 0 is plausible.
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

// plausible reports whether the endpoint's capacity is at least 0 and below unlimitedCapacity.
func (e *Endpoint) plausible() bool { return e.Capacity >= 0 && e.Capacity < unlimitedCapacity }

// medianCapacity returns the median of the plausible capacities above 0, or unlimitedCapacity if there are none.
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

// byPriority returns the classes ordered by the ratio of priority weight to mean cost, the highest first.
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

// Limits returns the work per second that each endpoint of a fleet may be offered. Solve uses the same limits.
func Limits(f Fleet) []float64 {
	limits, _ := f.limits()
	return limits
}

// OpenEndpoints returns the indexes of the endpoints that may serve the requests of a consumer for a class, which are those that
// Solve uses: the endpoints of the pod that the consumer is restricted to if one of them is open, otherwise those of all pods.
func OpenEndpoints(f Fleet, consumer, class int) []int {
	p := newProblem(&f)
	p.limit = Limits(f)
	return p.newTarget(f.targetKey(consumer, class), 1).endpoints
}
