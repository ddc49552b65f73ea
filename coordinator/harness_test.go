package coordinator

import (
	"testing"

	"porthub/degradation"
	"porthub/policyapi"
	"porthub/recovery"
	"porthub/routing"
)

// harness gives a core its time and emulates the gateways, which acknowledge at once unless they are unresponsive.
type harness struct {
	t             *testing.T
	core          *Core
	now           microseconds
	unresponsive  map[Gateway]bool
	conns         map[Gateway]ConnID
	published     map[Gateway]Publish // the last
	publishCount  map[Gateway]int
	logged        map[string]int // entries by event
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

// step steps the core, and again with the acknowledgements of what it has published until there are none.
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

// advance lets time pass; each second the named gateways report a second of light load.
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

// report is the next report of a gateway: ten requests of each class, four attempts at each of its endpoints.
func (h *harness) report(g Gateway) LoadReport {
	h.sequence++
	r := LoadReport{Gateway: g, Conn: h.conns[g], Sequence: h.sequence, Interval: second}
	for _, k := range []string{"view", "save"} {
		class := ClassReport{Class: k, Arrivals: 10}
		for _, c := range h.published[g].Snapshot.Clusters {
			if c.Class != k {
				continue
			}
			for _, l := range c.Endpoints {
				class.Endpoints = append(class.Endpoints, EndpointReport{Endpoint: l.Endpoint, Attempts: 4, MeanLatency: 160_000,
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

// restart replaces the core by another one that restores its snapshot after a downtime; the named gateways connect again.
func (h *harness) restart(downtime microseconds, gateways ...Gateway) {
	h.t.Helper()
	snapshot := h.core.Snapshot()
	settings := h.core.settings
	settings.Epoch += "x"
	h.now += downtime
	h.published = map[Gateway]Publish{} // from here on the new core's
	h.core = New(settings)
	var classes []string
	for _, k := range settings.Start.Classes {
		classes = append(classes, k.Name)
	}
	state := recovery.Restore(snapshot, h.now, classes, settings.Start.Zones)
	h.core.Restore(h.now, state)
	h.step(EndpointUpdate{EndpointUpdate: policyapi.EndpointUpdate{Version: state.Version, Kind: policyapi.Cached, Endpoints: state.Endpoints}})
	for _, g := range gateways {
		h.connect(g, policyapi.Zone([]string{"a", "b"}[(g[1]-'1')%2]))
	}
}

// fourEndpoints are two endpoints in each of two zones.
func fourEndpoints() []policyapi.Endpoint {
	return append(readyEndpoints("a", "a1:1", "a2:1"), readyEndpoints("b", "b1:1", "b2:1")...)
}

func readyEndpoints(zone policyapi.Zone, names ...policyapi.EndpointID) (out []policyapi.Endpoint) {
	for _, n := range names {
		out = append(out, policyapi.Endpoint{ID: n, Zone: zone, Weight: 2, MachineType: "std"})
	}
	return out
}

func (h *harness) setEndpoints(e ...policyapi.Endpoint) {
	h.step(EndpointUpdate{EndpointUpdate: policyapi.EndpointUpdate{Version: 1, Kind: policyapi.Snapshot, Endpoints: e}})
}

// startFleet connects two gateways, in two zones of two endpoints each, and waits until they have tables.
func (h *harness) startFleet() {
	h.setEndpoints(fourEndpoints()...)
	h.connect("g1", "a")
	h.connect("g2", "b")
	h.advance(4*second, "g1", "g2")
}

// openEndpoints are the endpoints that a gateway may send a class to.
func (h *harness) openEndpoints(g Gateway, class string) (names []policyapi.EndpointID) {
	for _, c := range h.published[g].Snapshot.Clusters {
		for _, l := range c.Endpoints {
			if c.Class == class && !l.Withheld {
				names = append(names, l.Endpoint)
			}
		}
	}
	return names
}

// endpointShare is the part of a class that a gateway sends to an endpoint.
func (h *harness) endpointShare(g Gateway, class string, endpoint policyapi.EndpointID) float64 {
	sum, own := 0.0, 0.0
	for _, c := range h.published[g].Snapshot.Clusters {
		for _, l := range c.Endpoints {
			if c.Class == class && !l.Withheld {
				if sum += l.Weight; l.Endpoint == endpoint {
					own = l.Weight
				}
			}
		}
	}
	return own / max(sum, 1e-9)
}

// withLevels adds two levels of service: view gets three tenths, and at the severer level there are no retries and no traffic
// between zones.
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

func (h *harness) route(g Gateway, k int) routing.Route { return h.published[g].Snapshot.Routes[k] }

func (h *harness) forceLevel(level int, zone policyapi.Zone) degradation.Override {
	h.t.Helper()
	w, err := h.core.SetLevelOverride(degradation.Override{Action: degradation.ForceLevel, Zone: zone, Level: level, Until: h.now + 600*second, Reason: "a test"})
	if err != nil {
		h.t.Fatal(err)
	}
	return w
}
