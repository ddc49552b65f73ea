package coordinator

import (
	"maps"
	"slices"
	"strconv"

	"porthub/policyapi"
	"porthub/routing"
	"porthub/solver"
)

// warmUpLoadLimit is the fraction of its current capacity up to which an endpoint is loaded while warming up, as in the module's
// tables.
const warmUpLoadLimit = 0.7

// trialWeightFactor is the fraction of its weight that an endpoint has for a class for which it is on trial.
const trialWeightFactor = 0.1

// solverFleet returns the solver's input: the listed endpoints, and as consumers the tables that gateways are bound to, with the
// demand that their gateways admit. keepActive is true if an endpoint is failing a class or on trial for it.
func (c *Core) solverFleet() (fleet solver.Fleet, keepActive bool) {
	fleet.Classes = c.solverClasses()
	listed := c.endpoints.listed()
	if slices.ContainsFunc(listed, func(e policyapi.Endpoint) bool { return c.warmUpProgress(e) < 1 }) {
		c.measureOvershoot()
	}
	index := map[policyapi.EndpointID]int{}
	costs := c.solver.estimate.Costs()
	for _, e := range listed {
		endpoint, unhealthy := c.solverEndpoint(e, costs)
		keepActive = keepActive || unhealthy
		index[e.ID] = len(fleet.Endpoints)
		fleet.Endpoints = append(fleet.Endpoints, endpoint)
	}
	c.addConsumers(&fleet, index)
	return fleet, keepActive
}

func (c *Core) solverClasses() (classes []solver.Class) {
	for _, settings := range c.settings.Start.Classes {
		class := solver.Class{Name: settings.Name, PriorityWeight: settings.PriorityWeight, LocalZoneOnly: settings.LocalZoneOnly}
		for _, zone := range settings.AllowedZones {
			class.AllowedZones = append(class.AllowedZones, string(zone))
		}
		classes = append(classes, class)
	}
	return classes
}

// solverEndpoint converts an endpoint for the solver. unhealthy is true if it is failing a class or on trial for it.
func (c *Core) solverEndpoint(e policyapi.Endpoint, costs []float64) (endpoint solver.Endpoint, unhealthy bool) {
	s := c.solver
	progress := c.warmUpProgress(e)
	if progress < 1 {
		progress /= s.overshoot.Factor()
	}
	endpoint = solver.Endpoint{
		Name:     string(e.ID),
		Zone:     string(e.Zone),
		Pod:      int(e.Pod),
		Capacity: s.estimate.Capacity(e.ID) * progress,
		Cost:     costs,
		Closed:   e.Status != policyapi.Ready || c.tables.ejected[e.ID],
	}
	if progress < 1 {
		endpoint.Limit = warmUpLoadLimit
	}
	classes := len(c.settings.Start.Classes)
	for class := range classes {
		status := s.health.Status(e.ID, class)
		if status == solver.ClassHealthy {
			continue
		}
		unhealthy = true
		if endpoint.Failing == nil {
			endpoint.Failing = make([]bool, classes)
		}
		endpoint.Failing[class] = status == solver.ClassFailing
	}
	return endpoint, unhealthy
}

// addConsumers adds a consumer for each table that a gateway is bound to, with the admitted demand of all gateways of the table.
func (c *Core) addConsumers(fleet *solver.Fleet, index map[policyapi.EndpointID]int) {
	consumers := map[policyapi.TableID]int{}
	for _, g := range c.gateways.inOrder {
		if !g.joined || !g.bound() {
			continue
		}
		for class, table := range g.tables {
			i, has := consumers[table]
			if !has {
				i = len(fleet.Consumers)
				consumers[table] = i
				fleet.Consumers = append(fleet.Consumers, c.solverConsumer(table, g.zone, index, fleet.Endpoints))
			}
			fleet.Consumers[i].Demand[class] += g.admittedRate(class)
		}
	}
}

func (c *Core) solverConsumer(table policyapi.TableID, zone policyapi.Zone, index map[policyapi.EndpointID]int, endpoints []solver.Endpoint) solver.Consumer {
	classes := len(c.settings.Start.Classes)
	consumer := solver.Consumer{
		Name:    consumerName(table),
		Zone:    string(zone),
		Demand:  make([]float64, classes),
		Desired: make([][]solver.Share, classes),
	}
	for class := range classes {
		consumer.Desired[class] = c.desiredShares(table, class, index, endpoints)
	}
	return consumer
}

// consumerName returns the name of a table in the solver's input.
func consumerName(table policyapi.TableID) string { return strconv.Itoa(int(table)) }

// desiredShares converts the module's table for the solver: without closed endpoints, and with a reduced weight for those on trial
// for the class.
func (c *Core) desiredShares(table policyapi.TableID, class int, index map[policyapi.EndpointID]int, endpoints []solver.Endpoint) (shares []solver.Share) {
	for _, id := range slices.Sorted(maps.Keys(c.tables.weights[table])) {
		i, listed := index[id]
		weight := c.tables.weights[table][id]
		if !listed || weight <= 0 || endpoints[i].Closed {
			continue
		}
		if c.solver.health.Status(id, class) == solver.ClassOnTrial {
			weight *= trialWeightFactor
		}
		shares = append(shares, solver.Share{Endpoint: i, Weight: weight})
	}
	return shares
}

// measureOvershoot compares the attempts at each endpoint in the last round with those planned by the gateways' tables.
func (c *Core) measureOvershoot() {
	planned := map[policyapi.EndpointID]float64{}
	for _, g := range c.gateways.inOrder {
		if !g.joined {
			continue
		}
		for class, cluster := range g.delivery.Sent().Clusters {
			addPlanned(planned, cluster, g.admittedRate(class))
		}
	}
	var outcomes []solver.EndpointOutcome
	for _, id := range slices.Sorted(maps.Keys(planned)) {
		estimate, ok := c.reports.sampler.Estimate(c.now, id)
		if ok && c.now-estimate.At < 2*c.settings.Start.Reports.Period {
			outcomes = append(outcomes, solver.EndpointOutcome{Planned: planned[id], Actual: estimate.Attempts})
		}
	}
	c.solver.overshoot.Observe(outcomes)
}

// addPlanned divides a rate among the open endpoints of a cluster by their weights, and adds the parts to planned.
func addPlanned(planned map[policyapi.EndpointID]float64, cluster routing.Cluster, rate float64) {
	total := 0.0
	for _, e := range cluster.Endpoints {
		if !e.Withheld {
			total += e.Weight
		}
	}
	if total <= 0 {
		return
	}
	for _, e := range cluster.Endpoints {
		if !e.Withheld {
			planned[e.Endpoint] += rate * e.Weight / total
		}
	}
}
