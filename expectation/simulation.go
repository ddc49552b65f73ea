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
	// settleTime passes before the events begin: gateways have joined, and the decision module has made its rounds.
	settleTime = 9 * second
	// startTime is well above 0, so that start times before it exist.
	startTime = 1_000_000 * second
	// warmCapacity of an endpoint, in requests a second.
	warmCapacity = 20.0
)

// simulation runs a core on simulated time and stands in for its fleet. It belongs to one goroutine.
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
	tamper        func(*routing.Snapshot) // changes the tables that gateways apply; nil but in tests
}

// Run simulates a case with a core of the settings given, and returns the first failure of each assertion.
func (e Expectation) Run(settings coordinator.Settings, c Case) []Failure {
	return e.run(settings, c, tampering{})
}

// tampering is what tests put between the core and the evaluator: changes of the tables that gateways apply, and of the
// settings that the core is given.
type tampering struct {
	tables   func(*routing.Snapshot)
	settings func(*coordinator.Settings)
}

func (e Expectation) run(settings coordinator.Settings, c Case, by tampering) []Failure {
	settings.Epoch = "x"
	settings.Start.Seed = c.Seed
	settings.Start.ProxyCount = c.Gateways
	coreSettings := settings
	if by.settings != nil {
		by.settings(&coreSettings)
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
		tamper:        by.tables,
	}
	s.build()
	s.evaluator = newEvaluator(s)
	s.publishList()
	for end := startTime + settleTime + e.Length; s.now < end; s.now += tick {
		s.tick()
	}
	return s.evaluator.finish()
}

func (s *simulation) tick() {
	s.applyDueEvents()
	s.deliver()
	s.report()
	s.step()
	s.serveDeadlines()
	s.serveTraffic()
	s.evaluator.evaluate()
}

// serveDeadlines steps the core at each of its deadlines within the tick. A deadline that a step does not move would be
// met again and again: it waits for the next tick.
func (s *simulation) serveDeadlines() {
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

// build creates the drawn fleet and connects its gateways.
func (s *simulation) build() {
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

// step steps the core and carries its outputs out.
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
			s.evaluator.logged(o)
		}
	}
}

// healthCheckTime is how long a health check takes, in microseconds.
const healthCheckTime = 5000

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
