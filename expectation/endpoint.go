package expectation

import (
	"slices"

	"porthub/coordinator"
	"porthub/policyapi"
)

// endpoint is a simulated endpoint.
type endpoint struct {
	name      policyapi.EndpointID
	zone      policyapi.Zone
	running   bool
	draining  bool
	failing   []bool                 // by class
	startedAt policyapi.Microseconds // 0: before the simulation

	listed  listing
	traffic endpointTraffic
}

// listing is an endpoint's state in the last published list.
type listing struct {
	status       policyapi.EndpointStatus
	closedSince  policyapi.Microseconds // when it was listed as draining or was removed; 0: neither
	startedAt    policyapi.Microseconds
	startedSince policyapi.Microseconds // when the list first contained startedAt
}

// endpointTraffic is the traffic that gateways send to an endpoint.
type endpointTraffic struct {
	offered     float64   // requests in the current tick
	window      []float64 // requests in each of the last ticks, over the length of the overload window
	utilization float64   // moving average; above 1 if the endpoint is overloaded
}

// capacityFactor returns the capacity of an endpoint as a fraction of its full capacity. It is below 1 during the warm-up.
func (s *simulation) capacityFactor(e *endpoint) float64 {
	rules := s.settings.Start.Rules
	age := s.now - e.startedAt
	if e.startedAt <= 0 || age >= rules.WarmUp {
		return 1
	}
	return rules.InitialCapacity + (1-rules.InitialCapacity)*float64(age)/float64(rules.WarmUp)
}

// endpointList is the state of the endpoint list, which publishes the endpoints to the core.
type endpointList struct {
	version policyapi.ListVersion
	updates []policyapi.Microseconds // sorted times of pending publications
}

// scheduleList schedules a publication of the list after a delay.
func (s *simulation) scheduleList(delay policyapi.Microseconds) {
	s.list.updates = append(s.list.updates, s.now+delay)
	slices.Sort(s.list.updates)
}

// publishList publishes the current state of all endpoints to the core.
func (s *simulation) publishList() {
	s.list.version++
	update := policyapi.EndpointUpdate{Version: s.list.version, Kind: policyapi.Snapshot}
	for _, e := range s.endpoints {
		e.publish(s.now)
		if e.listed.status == policyapi.Removed {
			continue
		}
		update.Endpoints = append(update.Endpoints, policyapi.Endpoint{
			ID:          e.name,
			Zone:        e.zone,
			Weight:      1,
			MachineType: "std",
			StartedAt:   e.startedAt,
			Status:      e.listed.status,
		})
	}
	s.inputs = append(s.inputs, coordinator.EndpointUpdate{EndpointUpdate: update})
}

// publish updates the endpoint's listing to its current state.
func (e *endpoint) publish(now policyapi.Microseconds) {
	before := e.listed.status
	switch {
	case !e.running:
		e.listed.status = policyapi.Removed
	case e.draining:
		e.listed.status = policyapi.Draining
	default:
		e.listed.status = policyapi.Ready
	}
	if e.listed.startedAt != e.startedAt {
		e.listed.startedAt = e.startedAt
		e.listed.startedSince = now
	}
	switch {
	case e.listed.status == policyapi.Ready:
		e.listed.closedSince = 0
	case before == policyapi.Ready:
		e.listed.closedSince = now
	}
}
