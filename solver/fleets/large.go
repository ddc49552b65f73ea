package fleets

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"porthub/solver"
)

const (
	largeZones = 3
	// largeTable is the number of endpoints in each consumer's table. All are in the consumer's zone.
	largeTable = 12
	// largeCost is the mean work of a request.
	largeCost = 0.16
)

// Large returns a fleet of the given size in which each consumer has its own table. utilization is the ratio of the demanded work to
// the total capacity.
func Large(endpoints, consumers, classes int, utilization float64) solver.Fleet {
	rng := rand.New(rand.NewPCG(uint64(endpoints), uint64(consumers)))
	var f solver.Fleet
	for i := range classes {
		f.Classes = append(f.Classes, solver.Class{Name: fmt.Sprintf("kind-%d", i), PriorityWeight: float64(1 + i%3)})
	}
	capacity := 0.0
	for i := range endpoints {
		e := solver.Endpoint{
			Name:     fmt.Sprintf("node-%d", i),
			Zone:     fmt.Sprintf("z%d", i%largeZones),
			Pod:      1 + i/(endpointsPerPod*largeZones),
			Capacity: 2 + 4*rng.Float64(),
		}
		for range classes {
			e.Cost = append(e.Cost, largeCost*(0.8+0.4*rng.Float64()))
		}
		f.Endpoints = append(f.Endpoints, e)
		capacity += e.Capacity
	}
	work := 0.0
	for i := range consumers {
		c := solver.Consumer{Name: fmt.Sprintf("gw-%d", i), Zone: fmt.Sprintf("z%d", i%largeZones)}
		demand := math.Exp(rng.NormFloat64())
		shares := drawLargeTable(rng, f.Endpoints, i%largeZones)
		for range classes {
			c.Demand = append(c.Demand, demand)
			c.Desired = append(c.Desired, shares)
			work += demand * largeCost
		}
		f.Consumers = append(f.Consumers, c)
	}
	for i := range f.Consumers {
		for class := range f.Consumers[i].Demand {
			f.Consumers[i].Demand[class] *= utilization * capacity / work
		}
	}
	return f
}

// drawLargeTable draws the table of a consumer in a zone.
func drawLargeTable(rng *rand.Rand, endpoints []solver.Endpoint, zone int) (shares []solver.Share) {
	inZone := len(endpoints) / largeZones
	for len(shares) < min(largeTable, inZone) {
		i := rng.IntN(inZone)*largeZones + zone
		listed := slices.ContainsFunc(shares, func(s solver.Share) bool { return s.Endpoint == i })
		if i < len(endpoints) && !listed {
			shares = append(shares, solver.Share{Endpoint: i, Weight: endpoints[i].Capacity})
		}
	}
	return shares
}
