package coordinator

import (
	"cmp"
	"maps"
	"slices"

	"porthub/policyapi"
	"porthub/solver"
)

// solverState connects package solver to the core. The decision module's tables apply unchanged while they are within every limit;
// package solver decides when they are not and what replaces them. This package only collects its inputs and applies its tables.
type solverState struct {
	health     *solver.ClassHealth
	estimate   *solver.CapacityEstimator
	activation *solver.Activation
	overshoot  solver.OvershootEstimator

	classLoads  map[classLoadKey]*policyapi.EndpointClassLoad // since the last round
	utilization map[policyapi.EndpointID]float64              // last value that each endpoint reported in this round
	startTimes  map[policyapi.EndpointID]microseconds         // of the processes that health refers to
	roundAt     microseconds
	pending     bool // a round of reports has ended and the solver has not run since

	round  solver.RoundResult
	tables map[solver.TableKey]solver.Table // tables that replace the module's
}

type classLoadKey struct {
	zone     policyapi.Zone // of the reporting gateways
	endpoint policyapi.EndpointID
	class    policyapi.RequestClass
}

// solverUtilizationMetric is the metric that the solver learns endpoints' capacities from.
const solverUtilizationMetric = "busy"

// maxLearningRound is the duration in seconds from which no capacities are learned from a round, since reports are missing.
const maxLearningRound = 5

func newSolverState(classes int) *solverState {
	return &solverState{
		health:      solver.NewClassHealth(classes),
		estimate:    solver.NewCapacityEstimator(classes),
		activation:  solver.NewActivation(),
		classLoads:  map[classLoadKey]*policyapi.EndpointClassLoad{},
		utilization: map[policyapi.EndpointID]float64{},
		startTimes:  map[policyapi.EndpointID]microseconds{},
	}
}

// addLoad adds a report's line about an endpoint and class to the sums of this round.
func (s *solverState) addLoad(zone policyapi.Zone, class policyapi.RequestClass, r EndpointReport, interval microseconds) {
	key := classLoadKey{zone, r.Endpoint, class}
	load := s.classLoads[key]
	if load == nil {
		load = &policyapi.EndpointClassLoad{Zone: zone, Endpoint: r.Endpoint, Class: class}
		s.classLoads[key] = load
	}
	if succeeded := r.Attempts - r.Failures; succeeded > 0 {
		before := load.Attempts - load.Failures
		load.MeanLatency = (load.MeanLatency*microseconds(before) + r.MeanLatency*microseconds(succeeded)) / microseconds(before+succeeded)
	}
	load.Attempts += r.Attempts
	load.Failures += r.Failures
	load.Period = max(load.Period, interval)
	if utilization, stated := r.Metrics[solverUtilizationMetric]; stated {
		s.utilization[r.Endpoint] = utilization
	}
}

// takeLoads returns the sums of this round, in an order that does not depend on that of the reports, and starts the next round.
func (s *solverState) takeLoads() (loads []policyapi.EndpointClassLoad) {
	keys := slices.SortedFunc(maps.Keys(s.classLoads), func(a, b classLoadKey) int {
		return cmp.Or(cmp.Compare(a.endpoint, b.endpoint), cmp.Compare(a.zone, b.zone), cmp.Compare(a.class, b.class))
	})
	for _, key := range keys {
		loads = append(loads, *s.classLoads[key])
	}
	clear(s.classLoads)
	return loads
}

// closeSolverRound evaluates health and learns capacities from the reports of the round. If awaitingGateways, no capacities are
// learned: the reports cover only part of the load.
func (c *Core) closeSolverRound(awaitingGateways bool) {
	s := c.solver
	duration := seconds(c.now - s.roundAt)
	s.roundAt = c.now
	s.pending = true
	loads := s.takeLoads()
	byEndpoint := map[policyapi.EndpointID][]policyapi.EndpointClassLoad{}
	for _, load := range loads {
		byEndpoint[load.Endpoint] = append(byEndpoint[load.Endpoint], load)
	}
	var ready []policyapi.EndpointID
	for _, e := range c.endpoints.listed() {
		if s.startTimes[e.ID] != e.StartedAt { // a new process under the same ID
			s.startTimes[e.ID] = e.StartedAt
			s.health.ResetEndpoint(e.ID)
		}
		if e.Status == policyapi.Ready {
			ready = append(ready, e.ID)
		}
		utilization, stated := s.utilization[e.ID]
		if stated && !awaitingGateways && duration < maxLearningRound {
			s.estimate.Observe(e.ID, duration, utilization, c.warmUpProgress(e) == 1, byEndpoint[e.ID])
		}
	}
	for _, text := range s.health.EndRound(c.now, loads, ready) {
		c.outbox.emit(LogEntry{Level: LogInfo, Event: eventSolver, Text: text})
	}
	clear(s.utilization)
}

// SolverStatus is the state of the solver for operators.
type SolverStatus struct {
	Active           bool                `json:"acting"`
	WorstUtilization float64             `json:"worst"` // largest load by the module's tables, divided by the endpoint's limit
	WorstEndpoint    string              `json:"at"`
	Tables           int                 `json:"tables"`          // number of tables that replace the module's
	Moved            int                 `json:"moved"`           // number of tables that changed in the last round
	Endpoints        []string            `json:"nodes,omitempty"` // IDs of the listed endpoints
	Certificate      *solver.Certificate `json:"certificate,omitempty"`
	Failing          []string            `json:"failing,omitempty"` // pairs of an endpoint and the class that it is failing
}

// solverStatus returns nil if the solver is disabled.
func (c *Core) solverStatus() *SolverStatus {
	if c.solver == nil {
		return nil
	}
	round := c.solver.round
	status := &SolverStatus{
		Active:           round.Active,
		WorstUtilization: round.WorstUtilization,
		WorstEndpoint:    round.WorstEndpoint,
		Tables:           len(c.solver.tables),
		Moved:            round.ChangedTables,
		Certificate:      round.Certificate,
	}
	for _, e := range c.endpoints.listed() {
		status.Endpoints = append(status.Endpoints, string(e.ID))
		for k, class := range c.settings.Start.Classes {
			if c.solver.health.Status(e.ID, k) == solver.ClassFailing {
				status.Failing = append(status.Failing, string(e.ID)+" "+class.Name)
			}
		}
	}
	return status
}

// classHealthy reports whether an endpoint is healthy for a class. If the solver is disabled, all endpoints are.
func (c *Core) classHealthy(endpoint policyapi.EndpointID, class int) bool {
	return c.solver == nil || c.solver.health.Status(endpoint, class) == solver.ClassHealthy
}
