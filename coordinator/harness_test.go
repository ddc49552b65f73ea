package coordinator

import (
	"testing"

	"porthub/degradation"
	"porthub/policyapi"
	"porthub/recovery"
	"porthub/routing"
)

// harness drives a core with a simulated clock and gateways, which acknowledge at once unless they are unresponsive.
type harness struct {
	t             *testing.T
	core          *Core
	now           microseconds
	unresponsive  map[Gateway]bool
	conns         map[Gateway]ConnID
	published     map[Gateway]Publish // last publication
	publishCount  map[Gateway]int
	logged        map[string]int // number of entries by event, including those counted in one entry
	closed        []ConnID
	watchRequests int
	nextConn      ConnID
	sequence      uint64
}

func newHarness(t *testing.T, change func(*Settings)) *harness {
	settings := Settings{Epoch: "e", SilenceTimeout: 3 * second, SolverEnabled: true, Start: policyapi.Start{Seed: 1, InstanceCount: 1, Zone: "a", Zones: []policyapi.Zone{"a", "b"},
		Classes: []policyapi.ClassSettings{{Name: "view", Idempotency: policyapi.Idempotent, LatencyObjective: 750_000, ClientTimeout: 2_500_000, PriorityWeight: 1},
			{Name: "save", LatencyObjective: 750_000, ClientTimeout: 2_000_000, PriorityWeight: 2}},
		Rules: policyapi.RuleSettings{EmptyTableLimit: 5 * second, DrainGracePeriod: 3 * second, WarmUp: 17 * second, InitialCapacity: 0.16, OverloadFactor: 2.5,
			OverloadWindow: 2 * second, QueueLimit: 4000, MessageLimit: 20, MessageWindow: 10 * second},
		Channel:   policyapi.ChannelSettings{LinesPerSecond: 6000, MessageOverhead: 6, Latency: 100_000, MaxLatency: 300_000, EndpointConnections: 200},
		Reports:   policyapi.ReportSettings{Period: second, MaxLinesPerSecond: 1000, MetricsInReports: true, MetricNames: []string{"busy", "q"}},
		Admission: policyapi.AdmissionByRate, ProxyCount: 3, PollsList: true}}
	if change != nil {
		change(&settings)
	}
	h := &harness{t: t, core: New(settings), now: 1000 * second, unresponsive: map[Gateway]bool{}, conns: map[Gateway]ConnID{}, published: map[Gateway]Publish{},
		publishCount: map[Gateway]int{}, logged: map[string]int{}}
	h.step()
	return h
}

// step steps the core with the inputs, and then with the acknowledgements of its publications until there are none.
func (h *harness) step(inputs ...Input) {
	for {
		var acks []Input
		for _, out := range h.core.Step(h.now, inputs) {
			switch o := out.(type) {
			case Publish:
				h.published[o.Gateway] = o
				h.publishCount[o.Gateway]++
				for d := range documentCount {
					if o.Changed[d] && !h.unresponsive[o.Gateway] {
						acks = append(acks, DocumentAck{Gateway: o.Gateway, Conn: h.conns[o.Gateway], Document: d, Version: o.Version, Nonce: o.Nonce})
					}
				}
			case LogEntry:
				h.logged[o.Event] += max(1, o.Count)
			case CloseConnection:
				h.closed = append(h.closed, o.Conn)
			case WatchEndpoints:
				h.watchRequests++
			}
		}
		if inputs = acks; len(acks) == 0 {
			return
		}
	}
}

// advance advances the time in steps of the core; in each second the named gateways report light load.
func (h *harness) advance(duration microseconds, gateways ...Gateway) {
	for end := h.now + duration; h.now < end; {
		h.now = min(end, max(h.now+1, h.core.NextDeadline()))
		var inputs []Input
		if h.now%second == 0 {
			for _, g := range gateways {
				inputs = append(inputs, h.report(g))
			}
		}
		h.step(inputs...)
	}
}

// report returns the next report of a gateway: ten requests of each class, and four attempts at each of its endpoints.
func (h *harness) report(g Gateway) LoadReport {
	h.sequence++
	r := LoadReport{Gateway: g, Conn: h.conns[g], Sequence: h.sequence, Interval: second}
	for _, name := range []string{"view", "save"} {
		class := ClassReport{Class: name, Arrivals: 10}
		for _, cluster := range h.published[g].Snapshot.Clusters {
			if cluster.Class != name {
				continue
			}
			for _, e := range cluster.Endpoints {
				class.Endpoints = append(class.Endpoints, EndpointReport{Endpoint: e.Endpoint, Attempts: 4, MeanLatency: 160_000,
					Metrics: policyapi.LoadMetrics{"busy": 0.4, "q": 0}})
			}
		}
		r.Classes = append(r.Classes, class)
	}
	return r
}

func (h *harness) connect(g Gateway, zone policyapi.Zone) {
	h.nextConn++
	h.conns[g] = h.nextConn
	h.step(GatewayConnected{Gateway: g, Conn: h.nextConn, Zone: zone, HasDefaultTableOnly: true, Weight: 20})
}

// restart replaces the core by a new one that restores its snapshot after a downtime; the named gateways connect again.
func (h *harness) restart(downtime microseconds, gateways ...Gateway) {
	h.t.Helper()
	snapshot := h.core.Snapshot()
	settings := h.core.settings
	settings.Epoch += "x"
	h.now += downtime
	h.published = map[Gateway]Publish{} // publications of the new core alone
	h.core = New(settings)
	var classes []string
	for _, class := range settings.Start.Classes {
		classes = append(classes, class.Name)
	}
	state := recovery.Restore(snapshot, h.now, classes, settings.Start.Zones)
	h.core.Restore(h.now, state)
	h.step(EndpointUpdate{EndpointUpdate: policyapi.EndpointUpdate{Version: state.Version, Kind: policyapi.Cached, Endpoints: state.Endpoints}})
	for _, g := range gateways {
		h.connect(g, policyapi.Zone([]string{"a", "b"}[(g[1]-'1')%2]))
	}
}

// fourEndpoints returns two ready endpoints in each of two zones.
func fourEndpoints() []policyapi.Endpoint {
	return append(readyEndpoints("a", "a1:1", "a2:1"), readyEndpoints("b", "b1:1", "b2:1")...)
}

func readyEndpoints(zone policyapi.Zone, names ...policyapi.EndpointID) (endpoints []policyapi.Endpoint) {
	for _, name := range names {
		endpoints = append(endpoints, policyapi.Endpoint{ID: name, Zone: zone, Weight: 2, MachineType: "std"})
	}
	return endpoints
}

// setEndpoints passes a complete endpoint list to the core.
func (h *harness) setEndpoints(endpoints ...policyapi.Endpoint) {
	h.step(EndpointUpdate{EndpointUpdate: policyapi.EndpointUpdate{Version: 1, Kind: policyapi.Snapshot, Endpoints: endpoints}})
}

// startFleet starts two zones with two endpoints and one gateway each, and waits until the gateways have tables.
func (h *harness) startFleet() {
	h.setEndpoints(fourEndpoints()...)
	h.connect("g1", "a")
	h.connect("g2", "b")
	h.advance(4*second, "g1", "g2")
}

// openEndpoints returns the endpoints that a gateway may send a class to.
func (h *harness) openEndpoints(g Gateway, class string) (names []policyapi.EndpointID) {
	for _, cluster := range h.published[g].Snapshot.Clusters {
		for _, e := range cluster.Endpoints {
			if cluster.Class == class && !e.Withheld {
				names = append(names, e.Endpoint)
			}
		}
	}
	return names
}

// endpointShare returns the fraction of a class's requests that a gateway sends to an endpoint.
func (h *harness) endpointShare(g Gateway, class string, endpoint policyapi.EndpointID) float64 {
	sum, own := 0.0, 0.0
	for _, cluster := range h.published[g].Snapshot.Clusters {
		for _, e := range cluster.Endpoints {
			if cluster.Class == class && !e.Withheld {
				if sum += e.Weight; e.Endpoint == endpoint {
					own = e.Weight
				}
			}
		}
	}
	return own / max(sum, 1e-9)
}

// withLevels configures two levels of service: at both, class view may use three tenths of the admitted work, and at the severer
// one there are no retries and no traffic between zones.
func withLevels(s *Settings) {
	s.Start.ProxyCount = 2
	s.Degradation = degradation.Settings{Zones: s.Start.Zones, Classes: []string{"view", "save"}, Period: second}
	for i, name := range []string{"tight", "hard"} {
		l := degradation.Level{Name: name, EnterDelay: 2 * second, LeaveDelay: 5 * second, Bounds: degradation.Unbounded(2)}
		l.Enter[degradation.TriggerLoad], l.Leave[degradation.TriggerLoad] = 1+0.5*float64(i), 0.8+0.4*float64(i)
		l.Enter[degradation.TriggerLostCapacity], l.Leave[degradation.TriggerLostCapacity] = 0.4+0.3*float64(i), 0.1+0.3*float64(i)
		l.Bounds.Share[0] = 0.3
		if i > 0 {
			l.Bounds.RetryPolicy, l.Bounds.CrossZoneFactor, l.Bounds.ReportIntervalFactor, l.Bounds.MaxHealthChecks = []policyapi.RetryPolicy{0, 0}, 0, 2, 1
		}
		s.Degradation.Levels = append(s.Degradation.Levels, l)
	}
	s.Fallback = degradation.Fallback{Level: 1, After: 10 * second, Duration: 60 * second}
}

// route returns the published route of a gateway for a class.
func (h *harness) route(g Gateway, class int) routing.Route {
	return h.published[g].Snapshot.Routes[class]
}

// forceLevel sets an override that forces a level in a zone, or in the fleet.
func (h *harness) forceLevel(level int, zone policyapi.Zone) degradation.Override {
	h.t.Helper()
	override, err := h.core.SetLevelOverride(degradation.Override{Action: degradation.ForceLevel, Zone: zone, Level: level, Until: h.now + 600*second, Reason: "a test"})
	if err != nil {
		h.t.Fatal(err)
	}
	return override
}
