package fleets

import (
	"fmt"
	"math"
	"math/rand/v2"

	"porthub/solver"
)

// The hard cases.
const (
	casePlain             = "plain"
	caseZoneLost          = "hall lost"
	caseWarmingUp         = "cold nodes"
	caseClassFailing      = "one kind failing"
	caseBoundClass        = "bound kind"
	caseBoundZoneLost     = "bound kind, hall emptied"
	casePodShrinks        = "pod shrinks"
	caseOverload          = "too much"
	caseHeavyOverload     = "far too much"
	caseWrongCapacity     = "wrong capacities"
	caseSenselessCapacity = "senseless capacities"
	caseHotGateway        = "hot gateway"
	caseOneEndpoint       = "one node"
	caseTight             = "tight"
	caseEvenTables        = "even tables"
	caseNoTables          = "no tables"
)

// Cases are the hard cases, in the order in which Draw takes turns in them.
var Cases = []string{casePlain, caseZoneLost, caseWarmingUp, caseClassFailing, caseBoundClass, caseBoundZoneLost, casePodShrinks,
	caseOverload, caseHeavyOverload, caseWrongCapacity, caseSenselessCapacity, caseHotGateway, caseOneEndpoint, caseTight,
	caseEvenTables, caseNoTables}

// endpointsPerPod is the number of endpoints of a pod in each zone.
const endpointsPerPod = 3

// RandomFleet is a random fleet.
type RandomFleet struct {
	solver.Fleet
	// Fits reports that the demand was generated from a placement within every limit, so that all of it can be placed.
	Fits bool
	// Case is what is hard about the fleet, one of Cases.
	Case string
}

// Draw returns the i-th fleet of a seed.
func Draw(seed uint64, i int) RandomFleet {
	rng := rand.New(rand.NewPCG(seed, uint64(i)))
	d := &drawing{rng: rng, RandomFleet: RandomFleet{Fits: true, Case: Cases[i%len(Cases)]}}
	d.zones = 1 + rng.IntN(4)
	classes := 1 + rng.IntN(4)
	endpoints := max(d.zones, 3+rng.IntN(38))
	consumers := 1 + rng.IntN(60)
	if d.Case == caseOneEndpoint {
		endpoints = 1
		d.zones = 1
	}
	d.drawClasses(classes)
	d.drawEndpoints(endpoints)
	d.impairEndpoints(d.drawZone())
	d.drawConsumers(consumers)
	d.scaleDemand()
	d.drawTables()
	return d.RandomFleet
}

// drawing is a fleet that is being drawn. The order of draws must stay: it decides what a seed means.
type drawing struct {
	RandomFleet
	rng   *rand.Rand
	zones int
}

func (d *drawing) zone(n int) string { return fmt.Sprintf("z%d", n%d.zones) }

func (d *drawing) drawZone() string { return d.zone(d.rng.IntN(d.zones)) }

func (d *drawing) drawClasses(count int) {
	priorities := []float64{1, 1, 2, 3, 5}
	for i := range count {
		d.Classes = append(d.Classes, solver.Class{Name: fmt.Sprintf("kind-%d", i), PriorityWeight: priorities[d.rng.IntN(len(priorities))]})
	}
}

func (d *drawing) drawEndpoints(count int) {
	meanCost := make([]float64, len(d.Classes)) // work of a request
	for class := range meanCost {
		meanCost[class] = 0.1 + 0.3*d.rng.Float64()
	}
	for i := range count {
		e := solver.Endpoint{
			Name:     fmt.Sprintf("node-%d", i),
			Zone:     d.zone(i),
			Pod:      1 + i/(endpointsPerPod*d.zones),
			Capacity: 1 + 7*d.rng.Float64(),
		}
		for _, cost := range meanCost {
			e.Cost = append(e.Cost, cost*(0.7+0.6*d.rng.Float64()))
		}
		d.Endpoints = append(d.Endpoints, e)
	}
}

// impairEndpoints makes what is hard about the endpoints; zone is the one that is hit.
func (d *drawing) impairEndpoints(zone string) {
	switch d.Case {
	case caseZoneLost:
		if len(d.Endpoints) > 4 {
			d.closeZone(zone, 0)
		}
	case caseWarmingUp:
		d.impairPart(0.4, func(e *solver.Endpoint) {
			e.Capacity *= 0.16 + 0.84*d.rng.Float64()
			e.Limit = 0.7
		})
	case caseClassFailing:
		d.impairPart(0.4, func(e *solver.Endpoint) {
			e.Failing = make([]bool, len(d.Classes))
			e.Failing[d.rng.IntN(len(d.Classes))] = true
		})
	case caseBoundClass:
		if d.rng.IntN(2) == 0 {
			d.Classes[0].LocalZoneOnly = true
		} else {
			d.Classes[0].AllowedZones = []string{zone}
		}
	case caseBoundZoneLost:
		d.Classes[0].AllowedZones = []string{zone}
		d.closeZone(zone, 1)
	case casePodShrinks:
		d.impairPart(0.5, func(e *solver.Endpoint) { e.Closed = e.Pod == 1 })
	case caseWrongCapacity:
		d.impairPart(0.5, func(e *solver.Endpoint) { e.Capacity *= []float64{0.5, 2}[d.rng.IntN(2)] })
	case caseSenselessCapacity:
		d.impairPart(0.3, func(e *solver.Endpoint) {
			e.Capacity = []float64{0, math.NaN(), math.Inf(1), -3, 1e9}[d.rng.IntN(5)]
		})
	}
}

// impairPart spoils each endpoint with a probability.
func (d *drawing) impairPart(probability float64, impair func(e *solver.Endpoint)) {
	for i := range d.Endpoints {
		if d.rng.Float64() < probability {
			impair(&d.Endpoints[i])
		}
	}
}

// closeZone closes all endpoints of a zone but the first few.
func (d *drawing) closeZone(zone string, open int) {
	for i := range d.Endpoints {
		e := &d.Endpoints[i]
		if e.Zone != zone {
			continue
		}
		if open > 0 {
			open--
			continue
		}
		e.Closed = true
	}
}

func (d *drawing) drawConsumers(count int) {
	for i := range count {
		c := solver.Consumer{
			Name:    fmt.Sprintf("gw-%d", i),
			Zone:    d.drawZone(),
			Demand:  make([]float64, len(d.Classes)),
			Desired: make([][]solver.Share, len(d.Classes)),
		}
		size := math.Exp(1.2 * d.rng.NormFloat64())
		if d.Case == caseHotGateway && i == 0 {
			size = float64(count) * 2
		}
		for class := range c.Demand {
			c.Demand[class] = size * (0.3 + d.rng.Float64())
		}
		if d.Case == casePodShrinks {
			c.Pod = make([]int, len(d.Classes))
			c.Pod[0] = 1 + d.rng.IntN(max(1, len(d.Endpoints)/(endpointsPerPod*d.zones)))
		}
		d.Consumers = append(d.Consumers, c)
	}
}

// scaleDemand scales the demand by a placement: what it puts on the fullest endpoint becomes a part of the limit. The
// fleet does not fit if a demand has no open endpoint or is scaled beyond the limit.
func (d *drawing) scaleDemand() {
	fullest, allOpen := d.drawPlacement()
	if fullest == 0 {
		d.Fits = false
		return
	}
	utilization := 0.4 + 0.5*d.rng.Float64()
	switch d.Case {
	case caseTight:
		utilization = 1
	case caseOverload:
		utilization = 1.6 + d.rng.Float64()
		d.Fits = false
	case caseHeavyOverload:
		utilization = 4 + 8*d.rng.Float64()
		d.Fits = false
	}
	for i := range d.Consumers {
		for class := range d.Consumers[i].Demand {
			d.Consumers[i].Demand[class] *= utilization / fullest
		}
	}
	d.Fits = d.Fits && allOpen
}

// drawPlacement places all demand by capacity, unevenly. It returns the largest load by limit, and whether all demand has
// an open endpoint.
func (d *drawing) drawPlacement() (fullest float64, allOpen bool) {
	limits := solver.Limits(d.Fleet)
	load := make([]float64, len(d.Endpoints))
	allOpen = true
	for i := range d.Consumers {
		for class, rate := range d.Consumers[i].Demand {
			open := solver.OpenEndpoints(d.Fleet, i, class)
			shares := make([]float64, len(open))
			total := 0.0
			for n, endpoint := range open {
				shares[n] = limits[endpoint] * (0.5 + d.rng.Float64())
				total += shares[n]
			}
			if total == 0 {
				allOpen = allOpen && rate <= 0
				continue
			}
			for n, endpoint := range open {
				load[endpoint] += rate * shares[n] / total * d.Endpoints[endpoint].Cost[class]
			}
		}
	}
	for i := range load {
		if limits[i] > 0 {
			fullest = max(fullest, load[i]/limits[i])
		}
	}
	return fullest, allOpen
}

// drawTables draws the tables that the module may have wanted: a few endpoints of the gateway's zone and some of others, by
// capacity, no matter what they can do now.
func (d *drawing) drawTables() {
	if d.Case == caseNoTables {
		return
	}
	for i := range d.Consumers {
		c := &d.Consumers[i]
		shares := d.drawTable(c.Zone)
		for class := range c.Desired {
			c.Desired[class] = shares
		}
	}
}

func (d *drawing) drawTable(zone string) (shares []solver.Share) {
	for i, e := range d.Endpoints {
		probability := 0.1
		if e.Zone == zone {
			probability = 0.6
		}
		weight := e.Capacity
		if !(weight > 0) || weight > 100 || d.Case == caseEvenTables {
			weight = 1
		}
		if d.Case == caseEvenTables || d.rng.Float64() < probability {
			shares = append(shares, solver.Share{Endpoint: i, Weight: weight})
		}
	}
	return shares
}
