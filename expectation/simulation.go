package expectation

import (
	"fmt"
	"math"
	"math/rand/v2"

	"porthub/coordinator"
	"porthub/policyapi"
	"porthub/routing"
)

const (
	// tick is the step of simulated time.
	tick = second / 4
	// settleTime is the time before the events, in which gateways join and the decision module completes its first rounds.
	settleTime = 9 * second
	// startTime is well above 0, so that endpoints can have started before it.
	startTime = 1_000_000 * second
	// warmCapacity is the capacity of a warmed-up endpoint, in requests per second.
	warmCapacity = 20.0
)

// simulation runs a coordinator core on simulated time and simulates its fleet. It must be used by a single goroutine.
type simulation struct {
	expectation Expectation
	drawn       Case
	settings    coordinator.Settings
	core        *coordinator.Core
	now         policyapi.Microseconds
	rng         *rand.Rand
	inputs      []coordinator.Input // for the next step
	evaluator   *evaluator
	events      eventSchedule
	list        endpointList
	network     network

	endpoints     []*endpoint
	endpointIndex map[policyapi.EndpointID]int
	gateways      []*gateway
	gatewayIndex  map[coordinator.Gateway]int
	loadFactor    float64
	alterTables   func(*routing.Snapshot) // changes the tables that gateways apply; nil except in tests
}

// Run simulates a case with a core that has the given settings, and returns the first failure of each assertion.
func (e Expectation) Run(settings coordinator.Settings, c Case) []Failure {
	return e.run(settings, c, testOverrides{})
}

// testOverrides are changes by which tests make the simulation violate assertions: changes to the tables that gateways apply,
// and changes to the settings of the core that the evaluator does not share. Both may be nil.
type testOverrides struct {
	tables   func(*routing.Snapshot)
	settings func(*coordinator.Settings)
}

func (e Expectation) run(settings coordinator.Settings, c Case, overrides testOverrides) []Failure {
	settings.Epoch = "x"
	settings.Start.Seed = c.Seed
	settings.Start.ProxyCount = c.Gateways
	coreSettings := settings
	if overrides.settings != nil {
		overrides.settings(&coreSettings)
	}
	s := &simulation{
		expectation:   e,
		drawn:         c,
		settings:      settings,
		core:          coordinator.New(coreSettings),
		now:           startTime,
		rng:           rand.New(rand.NewPCG(c.Seed, simulationStream)),
		endpointIndex: map[policyapi.EndpointID]int{},
		gatewayIndex:  map[coordinator.Gateway]int{},
		loadFactor:    1,
		alterTables:   overrides.tables,
	}
	s.buildFleet()
	s.evaluator = newEvaluator(s)
	s.publishList()
	for end := startTime + settleTime + e.Length; s.now < end; s.now += tick {
		s.tick()
	}
	return s.evaluator.finish()
}

// tick simulates one step of time.
func (s *simulation) tick() {
	s.applyDueEvents()
	s.deliver()
	s.report()
	s.step()
	s.runDeadlines()
	s.serveTraffic()
	s.evaluator.evaluate()
}

// runDeadlines steps the core at each of its deadlines within the tick. If a step does not advance the deadline, the deadline
// waits for the next tick, as the loop would otherwise not end.
func (s *simulation) runDeadlines() {
	tickStart := s.now
	for next := s.core.NextDeadline(); next < tickStart+tick; next = s.core.NextDeadline() {
		s.now = max(tickStart, next)
		s.step()
		s.now = tickStart
		if next >= s.core.NextDeadline() {
			return
		}
	}
}

// buildFleet creates the fleet of the case and connects its gateways.
func (s *simulation) buildFleet() {
	zones := s.settings.Start.Zones
	classes := len(s.settings.Start.Classes)
	for i := range s.drawn.Endpoints {
		e := &endpoint{
			name:    policyapi.EndpointID(fmt.Sprintf("node-%d:80", i)),
			zone:    zones[i%len(zones)],
			running: true,
			failing: make([]bool, classes),
		}
		s.endpointIndex[e.name] = i
		s.endpoints = append(s.endpoints, e)
	}
	total := 0.0
	sizes := make([]float64, s.drawn.Gateways)
	for i := range sizes {
		sizes[i] = math.Exp(s.expectation.Fleet.Spread * s.rng.NormFloat64())
		total += sizes[i]
	}
	for i := range s.drawn.Gateways {
		g := newGateway(i, zones[i%len(zones)], classes)
		for range classes {
			rate := s.drawn.Load * warmCapacity * float64(s.drawn.Endpoints) * sizes[i] / total / float64(classes)
			g.rates = append(g.rates, rate)
		}
		s.gatewayIndex[g.name] = i
		s.gateways = append(s.gateways, g)
		s.connect(g)
	}
}

// step passes the pending inputs to the core and applies its outputs.
func (s *simulation) step() {
	inputs := s.inputs
	s.inputs = nil
	for _, output := range s.core.Step(s.now, inputs) {
		switch o := output.(type) {
		case coordinator.Publish:
			s.send(o)
		case coordinator.Resync, coordinator.WatchEndpoints:
			s.list.updates = append([]policyapi.Microseconds{s.now}, s.list.updates...)
		case coordinator.CheckHealth:
			s.checkHealth(o)
		case coordinator.LogEntry:
			s.evaluator.recordLevelEntry(o)
		}
	}
}

// healthCheckTime is the duration of a health check in microseconds.
const healthCheckTime = 5000

// checkHealth returns the result of a health check to the core. A running endpoint is healthy.
func (s *simulation) checkHealth(o coordinator.CheckHealth) {
	i, ok := s.endpointIndex[o.Endpoint]
	if !ok {
		return
	}
	s.inputs = append(s.inputs, coordinator.HealthCheckResult{HealthCheckResult: policyapi.HealthCheckResult{
		Endpoint: o.Endpoint,
		Healthy:  s.endpoints[i].running,
		Code:     "200",
		Duration: healthCheckTime,
	}})
}
