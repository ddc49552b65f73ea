package expectation

// tickSeconds is the duration of a tick in seconds.
const tickSeconds = float64(tick) / float64(second)

// utilizationGain is the weight of the current tick in the moving average of an endpoint's utilization.
const utilizationGain = 0.5

// serveTraffic distributes the requests of a tick to endpoints by the gateways' tables, and counts the served and the failed
// requests.
func (s *simulation) serveTraffic() {
	s.offerTraffic()
	for _, e := range s.endpoints {
		s.updateUtilization(e)
	}
	for _, g := range s.gateways {
		for class := range g.rates {
			s.serveClass(g, class)
		}
	}
}

// admitted returns the number of requests of a class that arrive at a gateway in a tick, and how many of them it admits.
func (s *simulation) admitted(g *gateway, class int) (arrived, admitted float64) {
	arrived = g.rates[class] * s.loadFactor * tickSeconds
	admitted = arrived
	if class >= len(g.tables.snapshot.Routes) {
		return arrived, admitted
	}
	route := g.tables.snapshot.Routes[class].WithoutCoordinator(s.now - g.tables.appliedAt)
	admitted *= route.Share
	if route.Rate >= 0 {
		admitted = min(admitted, route.Rate*tickSeconds)
	}
	return arrived, admitted
}

// offerTraffic distributes all admitted requests to the endpoints in proportion to the weights in the gateways' tables.
func (s *simulation) offerTraffic() {
	for _, e := range s.endpoints {
		e.traffic.offered = 0
	}
	for _, g := range s.gateways {
		for class := range g.rates {
			_, admitted := s.admitted(g, class)
			total := totalWeight(g.tables.open[class])
			for _, open := range g.tables.open[class] {
				s.endpoints[open.endpoint].traffic.offered += admitted * open.weight / total
			}
		}
	}
}

func totalWeight(endpoints []weightedEndpoint) (total float64) {
	for _, e := range endpoints {
		total += e.weight
	}
	return total
}

// tickCapacity returns the number of requests that an endpoint can serve in the current tick.
func (s *simulation) tickCapacity(e *endpoint) float64 {
	return warmCapacity * s.capacityFactor(e) * tickSeconds
}

// updateUtilization updates an endpoint's utilization and its overload window with the traffic of the current tick.
func (s *simulation) updateUtilization(e *endpoint) {
	t := &e.traffic
	t.utilization = (1-utilizationGain)*t.utilization + utilizationGain*t.offered/s.tickCapacity(e)
	t.window = append(t.window, t.offered)
	if length := max(1, int(s.settings.Start.Rules.OverloadWindow/tick)); len(t.window) > length {
		t.window = t.window[1:]
	}
}

// serveClass counts the arrived, rejected, served and failed requests of a class at a gateway.
func (s *simulation) serveClass(g *gateway, class int) {
	arrived, admitted := s.admitted(g, class)
	totals := &g.totals[class]
	totals.arrived += arrived
	totals.rejected += arrived - admitted
	total := totalWeight(g.tables.open[class])
	served := 0.0
	for _, open := range g.tables.open[class] {
		attempts := admitted * open.weight / total
		successes := s.successes(s.endpoints[open.endpoint], class, attempts)
		endpointTotals := totals.attempts[open.endpoint]
		if endpointTotals == nil {
			endpointTotals = &attemptTotals{}
			totals.attempts[open.endpoint] = endpointTotals
		}
		endpointTotals.attempts += attempts
		endpointTotals.failures = endpointTotals.failures + attempts - successes
		served += successes
	}
	totals.failures += admitted - served
	s.evaluator.recordServed(g, class, arrived, served)
}

// successes returns how many attempts at an endpoint succeed: none if the endpoint does not run or fails the class, and only a
// fraction if it is overloaded.
func (s *simulation) successes(e *endpoint, class int, attempts float64) float64 {
	if !e.running || e.failing[class] {
		return 0
	}
	if capacity := s.tickCapacity(e); e.traffic.offered > capacity {
		return attempts * (capacity / e.traffic.offered)
	}
	return attempts
}
