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
	startedAt policyapi.Microseconds // 0: long ago

	listed  listing
	traffic endpointTraffic
}

// listing is an endpoint's state by the last published list.
type listing struct {
	status       policyapi.EndpointStatus
	closedSince  policyapi.Microseconds // since when it is draining or removed; 0: it is not
	startedAt    policyapi.Microseconds
	startedSince policyapi.Microseconds // since when the list has that start
}

// endpointTraffic is what gateways send to an endpoint.
type endpointTraffic struct {
	offered     float64   // requests in this tick
	window      []float64 // offered in the last ticks, as many as the overload window has
	utilization float64   // moving average; above 1 when it is overloaded
}

// capacityFactor is the fraction of its capacity that an endpoint has; below 1 it warms up.
func (s *simulation) capacityFactor(e *endpoint) float64 {
	rules := s.settings.Start.Rules
	age := s.now - e.startedAt
	if e.startedAt <= 0 || age >= rules.WarmUp {
		return 1
	}
	return rules.InitialCapacity + (1-rules.InitialCapacity)*float64(age)/float64(rules.WarmUp)
}

// endpointList publishes the state of endpoints to the core.
type endpointList struct {
	version policyapi.ListVersion
	updates []policyapi.Microseconds // times of pending publications, sorted
}

// scheduleList makes the list follow a change after a delay.
func (s *simulation) scheduleList(delay policyapi.Microseconds) {
	s.list.updates = append(s.list.updates, s.now+delay)
	slices.Sort(s.list.updates)
}

// publishList publishes the present state of all endpoints.
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

// publish updates what the list says of the endpoint.
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
