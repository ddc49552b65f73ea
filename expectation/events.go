package expectation

import (
	"math"

	"porthub/coordinator"
	"porthub/policyapi"
)

// eventSchedule tracks the progress through a case's events.
type eventSchedule struct {
	applied int // number of events that have been applied
}

// applyDueEvents applies the events that are due and publishes the list for each publication that is due.
func (s *simulation) applyDueEvents() {
	for ; s.events.applied < len(s.drawn.Events); s.events.applied++ {
		event := s.drawn.Events[s.events.applied]
		if s.now < startTime+settleTime+event.At {
			break
		}
		s.apply(event)
	}
	for len(s.list.updates) > 0 && s.now >= s.list.updates[0] {
		s.list.updates = s.list.updates[1:]
		s.publishList()
	}
}

func (s *simulation) apply(event Event) {
	switch event.Action {
	case Disconnect:
		s.disconnectGateways(event)
	case Reconnect:
		s.reconnectGateways(event)
	case ScaleLoad:
		s.loadFactor = event.LoadFactor
	case Drain:
		s.drain(event)
		s.scheduleList(0) // the list is where endpoints are drained, so it changes without a delay
	default:
		s.changeEndpoints(event)
		s.scheduleList(s.expectation.Fleet.ListDelay)
	}
}

func (s *simulation) drain(event Event) {
	for _, e := range s.chooseEndpoints(event, (*endpoint).isReady) {
		e.draining = true
	}
}

func (s *simulation) changeEndpoints(event Event) {
	switch event.Action {
	case Lose:
		for _, e := range s.chooseEndpoints(event, (*endpoint).isRunning) {
			e.running = false
		}
	case Restart:
		for _, e := range s.chooseEndpoints(event, (*endpoint).isReady) {
			e.startedAt = s.now
		}
	case Fail:
		for _, e := range s.chooseEndpoints(event, (*endpoint).isRunning) {
			s.fail(e, event.Class)
		}
	case Recover:
		for _, e := range s.endpoints {
			e.recover(s.now)
		}
	}
}

func (e *endpoint) isRunning() bool { return e.running }

func (e *endpoint) isReady() bool { return e.running && !e.draining }

// fail makes an endpoint fail the requests of a class, or of all classes if the class is empty.
func (s *simulation) fail(e *endpoint, class string) {
	for i, settings := range s.settings.Start.Classes {
		e.failing[i] = e.failing[i] || class == "" || class == settings.Name
	}
}

// recover makes the endpoint ready and healthy. It warms up if it was not ready before.
func (e *endpoint) recover(now policyapi.Microseconds) {
	if !e.isReady() {
		e.startedAt = now
	}
	e.running = true
	e.draining = false
	clear(e.failing)
}

// chooseEndpoints randomly selects the endpoints that an event affects.
func (s *simulation) chooseEndpoints(event Event, eligible func(*endpoint) bool) (chosen []*endpoint) {
	for _, e := range s.endpoints {
		if eligible(e) && (event.Zone == "" || e.zone == event.Zone) {
			chosen = append(chosen, e)
		}
	}
	s.rng.Shuffle(len(chosen), func(i, j int) { chosen[i], chosen[j] = chosen[j], chosen[i] })
	return chosen[:event.affectedCount(len(chosen))]
}

// affectedCount returns how many of the eligible endpoints or gateways an event affects: the event's fraction of them, but at
// least one, or all if there is no fraction.
func (e Event) affectedCount(eligible int) int {
	if e.Fraction == 0 {
		return eligible
	}
	return min(eligible, max(1, int(math.Ceil(e.Fraction*float64(eligible)))))
}

func (s *simulation) disconnectGateways(event Event) {
	for _, g := range s.chooseGateways(event, false) {
		g.link.disconnected = true
		s.inputs = append(s.inputs, coordinator.GatewayDisconnected{Gateway: g.name, Conn: g.link.conn})
		s.dropUnacknowledged(g)
	}
}

func (s *simulation) reconnectGateways(event Event) {
	for _, g := range s.chooseGateways(event, true) {
		s.connect(g)
	}
}

// chooseGateways randomly selects the gateways that an event affects.
func (s *simulation) chooseGateways(event Event, disconnected bool) (chosen []*gateway) {
	var eligible []*gateway
	for _, g := range s.gateways {
		if g.link.disconnected == disconnected && (event.Zone == "" || g.zone == event.Zone) {
			eligible = append(eligible, g)
		}
	}
	for _, i := range s.rng.Perm(len(eligible))[:event.affectedCount(len(eligible))] {
		chosen = append(chosen, eligible[i])
	}
	return chosen
}
