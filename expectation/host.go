package expectation

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"

	"porthub/coordinator"
	"porthub/policyapi"
	"porthub/routing"
)

// Case is one drawn fleet with its course.
type Case struct {
	Number    int
	Seed      uint64
	Endpoints int
	Gateways  int
	Load      float64
	Events    []Event
}

func (c Case) String() string {
	return fmt.Sprintf("%d nodes, %d gateways, load %.2f and %d events", c.Endpoints, c.Gateways, c.Load, len(c.Events))
}

// Draw draws a case of an expectation; the same number and seed draw the same.
func (e Expectation) Draw(number int) Case {
	seed := e.Seed + uint64(number)*0x9e3779b97f4a7c15
	rng := rand.New(rand.NewPCG(seed, 1))
	whole := func(r Range) int { return int(r.From) + rng.IntN(int(r.To)-int(r.From)+1) }
	return Case{Number: number, Seed: seed, Endpoints: whole(e.Fleet.Endpoints), Gateways: whole(e.Fleet.Gateways),
		Load: e.Fleet.Load.From + rng.Float64()*(e.Fleet.Load.To-e.Fleet.Load.From), Events: e.Events}
}

// Class time goes in a case.
const (
	tick         = second / 4
	settleTime   = 9 * second // before the course begins: gateways have joined, the module has its rounds
	startTime    = 1_000_000 * second
	warmCapacity = 20.0 // reqs a second that a warm node can do
)

// endpoint is one of a case's.
type endpoint struct {
	name      policyapi.EndpointID
	zone      policyapi.Zone
	running   bool
	draining  bool
	failing   []bool // by kind
	startedAt policyapi.Microseconds
	// By the list as it was last told.
	listedStatus     policyapi.EndpointStatus
	closedSince      policyapi.Microseconds // since when the list closes it; 0: it does not
	listedStart      policyapi.Microseconds // the start that the list names, and since when it names that
	listedStartSince policyapi.Microseconds
	offered          float64   // reqs in this tick
	offeredWindow    []float64 // of the last ticks
	utilization      float64
}

type gateway struct {
	name           coordinator.Gateway
	zone           policyapi.Zone
	conn           coordinator.ConnID
	rates          []float64 // reqs a second by kind
	tables         routing.Snapshot
	published      routing.Snapshot     // that was sent on this link
	open           [][]weightedEndpoint // by kind
	zoneCounts     []int
	joinedAt       policyapi.Microseconds
	disconnected   bool
	reportNumber   uint64
	attempts       []map[int]*attemptTotals // by kind and node, since the last report
	arrived        []float64
	rejected       []float64
	failures       []float64
	sentAt         []policyapi.Microseconds
	emptySince     []policyapi.Microseconds // by kind: since when it has no line; 0: it has
	unacknowledged []sentMessage
	tablesAt       policyapi.Microseconds
}

type weightedEndpoint struct {
	endpoint int
	weight   float64
}

type attemptTotals struct{ attempts, failures float64 }

type sentMessage struct {
	version string
	lines   float64
}

// delivery is a publication on its way to a gateway, or an acknowledgement on its way back.
type delivery struct {
	at      policyapi.Microseconds
	gateway int
	publish *coordinator.Publish
	ack     coordinator.Input
}

// simulation feeds a core its time and plays the fleet.
type simulation struct {
	expectation   Expectation
	drawn         Case
	settings      coordinator.Settings
	core          *coordinator.Core
	now           policyapi.Microseconds
	rng           *rand.Rand
	endpoints     []*endpoint
	endpointIndex map[policyapi.EndpointID]int
	gateways      []*gateway
	gatewayIndex  map[coordinator.Gateway]int
	deliveries    []delivery
	version       policyapi.ListVersion
	listUpdates   []policyapi.Microseconds // when the list tells what it has not told yet
	loadFactor    float64
	lastConn      coordinator.ConnID
	inputs        []coordinator.Input
	evaluator     *evaluator
	queuedLines   float64
	eventsDone    int // events of the course
	tamper        func(*routing.Snapshot)
}

// Run plays a case through a core with the settings given and tells what did not hold, the first of each.
func (e Expectation) Run(set coordinator.Settings, c Case) []Failure {
	return e.run(set, c, tampering{})
}

// tampering is what tests put between the core and its judge: what a gateway holds, and what the core is told of the limits.
type tampering struct {
	tables   func(*routing.Snapshot)
	settings func(*coordinator.Settings)
}

func (e Expectation) run(set coordinator.Settings, c Case, by tampering) []Failure {
	set.Epoch, set.Start.Seed, set.Start.ProxyCount = "x", c.Seed, c.Gateways
	told := set
	if by.settings != nil {
		by.settings(&told)
	}
	h := &simulation{expectation: e, drawn: c, settings: set, core: coordinator.New(told), now: startTime, rng: rand.New(rand.NewPCG(c.Seed, 2)), endpointIndex: map[policyapi.EndpointID]int{},
		gatewayIndex: map[coordinator.Gateway]int{}, loadFactor: 1, tamper: by.tables}
	h.build()
	h.evaluator = newEvaluator(h)
	h.updateList()
	for end := startTime + settleTime + e.Length; h.now < end; h.now += tick {
		h.applyDueEvents()
		h.deliver()
		h.report()
		h.step()
		for next := h.core.NextDeadline(); next < h.now+tick; next = h.core.NextDeadline() {
			at := h.now
			h.now = max(h.now, next)
			h.step()
			h.now = at
			if next >= h.core.NextDeadline() {
				break
			}
		}
		h.serveTraffic()
		h.evaluator.evaluate()
	}
	return h.evaluator.finish()
}

func (h *simulation) build() {
	zones, kinds := h.settings.Start.Zones, len(h.settings.Start.Classes)
	for i := range h.drawn.Endpoints {
		n := &endpoint{name: policyapi.EndpointID(fmt.Sprintf("node-%d:80", i)), zone: zones[i%len(zones)], running: true, failing: make([]bool, kinds)}
		h.endpointIndex[n.name] = i
		h.endpoints = append(h.endpoints, n)
	}
	total, sizes := 0.0, make([]float64, h.drawn.Gateways)
	for i := range sizes {
		sizes[i] = math.Exp(h.expectation.Fleet.Spread * h.rng.NormFloat64())
		total += sizes[i]
	}
	for i := range h.drawn.Gateways {
		g := &gateway{name: coordinator.Gateway(fmt.Sprintf("gw-%d", i)), zone: zones[i%len(zones)], arrived: make([]float64, kinds), rejected: make([]float64, kinds),
			failures: make([]float64, kinds), open: make([][]weightedEndpoint, kinds), zoneCounts: make([]int, kinds), emptySince: make([]policyapi.Microseconds, kinds)}
		for range kinds {
			g.rates = append(g.rates, h.drawn.Load*warmCapacity*float64(h.drawn.Endpoints)*sizes[i]/total/float64(kinds))
			g.attempts = append(g.attempts, map[int]*attemptTotals{})
		}
		h.gatewayIndex[g.name] = i
		h.gateways = append(h.gateways, g)
		h.join(g)
	}
}

func (h *simulation) join(g *gateway) {
	h.lastConn++
	g.conn, g.joinedAt, g.reportNumber, g.disconnected, g.published = h.lastConn, h.now, 0, false, routing.Snapshot{}
	weight := 0.0
	for _, r := range g.rates {
		weight += r
	}
	h.inputs = append(h.inputs, coordinator.GatewayConnected{Gateway: g.name, Conn: g.conn, Zone: g.zone, HasDefaultTableOnly: len(g.tables.Clusters) == 0, Weight: weight})
}

// applyDueEvents lets happen what is due.
func (h *simulation) applyDueEvents() {
	for ; h.eventsDone < len(h.drawn.Events); h.eventsDone++ {
		ev := h.drawn.Events[h.eventsDone]
		if h.now < startTime+settleTime+ev.At {
			break
		}
		h.apply(ev)
	}
	for len(h.listUpdates) > 0 && h.now >= h.listUpdates[0] {
		h.listUpdates = h.listUpdates[1:]
		h.updateList()
	}
}

func (h *simulation) apply(ev Event) {
	tell := h.expectation.Fleet.ListDelay
	switch ev.Action {
	case Lose:
		for _, n := range h.chooseEndpoints(ev, func(n *endpoint) bool { return n.running }) {
			n.running = false
		}
	case Drain:
		tell = 0 // it is the list's own word
		for _, n := range h.chooseEndpoints(ev, func(n *endpoint) bool { return n.running && !n.draining }) {
			n.draining = true
		}
	case Restart:
		for _, n := range h.chooseEndpoints(ev, func(n *endpoint) bool { return n.running && !n.draining }) {
			n.startedAt = h.now
		}
	case Fail:
		for _, n := range h.chooseEndpoints(ev, func(n *endpoint) bool { return n.running }) {
			for k, kind := range h.settings.Start.Classes {
				n.failing[k] = n.failing[k] || ev.Class == "" || ev.Class == kind.Name
			}
		}
	case Recover:
		for _, n := range h.endpoints {
			if !n.running || n.draining {
				n.startedAt = h.now
			}
			n.running, n.draining = true, false
			clear(n.failing)
		}
	case Disconnect, Reconnect:
		var some []*gateway
		for _, g := range h.gateways {
			if (ev.Zone == "" || g.zone == ev.Zone) && g.disconnected == (ev.Action == Reconnect) {
				some = append(some, g)
			}
		}
		for _, i := range h.rng.Perm(len(some))[:affectedCount(ev, len(some))] {
			if g := some[i]; ev.Action == Reconnect {
				h.join(g)
			} else {
				g.disconnected = true
				h.inputs = append(h.inputs, coordinator.GatewayDisconnected{Gateway: g.name, Conn: g.conn})
				h.dropUnacknowledged(g)
			}
		}
		return
	case ScaleLoad:
		h.loadFactor = ev.LoadFactor
		return
	}
	h.listUpdates = append(h.listUpdates, h.now+tell)
	slices.Sort(h.listUpdates)
}

// affectedCount is how many of so many an event strikes: all where it does not say.
func affectedCount(ev Event, of int) int {
	if ev.Fraction == 0 {
		return of
	}
	return min(of, max(1, int(math.Ceil(ev.Fraction*float64(of)))))
}

func (h *simulation) chooseEndpoints(ev Event, may func(*endpoint) bool) (some []*endpoint) {
	for _, n := range h.endpoints {
		if may(n) && (ev.Zone == "" || n.zone == ev.Zone) {
			some = append(some, n)
		}
	}
	h.rng.Shuffle(len(some), func(i, j int) { some[i], some[j] = some[j], some[i] })
	return some[:affectedCount(ev, len(some))]
}

// updateList tells the node list as it is now.
func (h *simulation) updateList() {
	h.version++
	l := policyapi.EndpointUpdate{Version: h.version, Kind: policyapi.Snapshot}
	for _, n := range h.endpoints {
		was := n.listedStatus
		switch {
		case !n.running:
			n.listedStatus = policyapi.Removed
		case n.draining:
			n.listedStatus = policyapi.Draining
		default:
			n.listedStatus = policyapi.Ready
		}
		if n.listedStart != n.startedAt {
			n.listedStart, n.listedStartSince = n.startedAt, h.now
		}
		if n.listedStatus == policyapi.Ready {
			n.closedSince = 0
		} else if was == policyapi.Ready {
			n.closedSince = h.now
		}
		if n.listedStatus != policyapi.Removed {
			l.Endpoints = append(l.Endpoints, policyapi.Endpoint{ID: n.name, Zone: n.zone, Weight: 1, MachineType: "std", StartedAt: n.startedAt, Status: n.listedStatus})
		}
	}
	h.inputs = append(h.inputs, coordinator.EndpointUpdate{EndpointUpdate: l})
}

// deliver brings publications and acknowledgements whose time has come.
func (h *simulation) deliver() {
	slices.SortStableFunc(h.deliveries, func(a, b delivery) int { return cmp.Compare(a.at, b.at) })
	n := 0
	for ; n < len(h.deliveries) && h.deliveries[n].at <= h.now; n++ {
		m := h.deliveries[n]
		g := h.gateways[m.gateway]
		if g.disconnected {
			continue
		}
		if m.ack != nil {
			h.inputs = append(h.inputs, m.ack)
			h.acknowledge(g, m.ack.(coordinator.DocumentAck).Version)
			continue
		}
		h.applyTables(g, m.publish.Snapshot)
		for d, changed := range m.publish.Changed {
			if changed {
				ack := coordinator.DocumentAck{Gateway: g.name, Conn: g.conn, Document: coordinator.Document(d), Version: m.publish.Version, Nonce: m.publish.Nonce}
				h.deliveries = append(h.deliveries, delivery{h.now + h.expectation.Fleet.Latency, m.gateway, nil, ack})
			}
		}
	}
	h.deliveries = slices.Delete(h.deliveries, 0, n)
}

func (h *simulation) acknowledge(g *gateway, version string) {
	for i, p := range g.unacknowledged {
		if p.version == version {
			for _, done := range g.unacknowledged[:i+1] {
				h.queuedLines -= done.lines
			}
			g.unacknowledged = g.unacknowledged[i+1:]
			return
		}
	}
}

// dropUnacknowledged forgets what was on its way to a gateway whose link has ended.
func (h *simulation) dropUnacknowledged(g *gateway) {
	for _, p := range g.unacknowledged {
		h.queuedLines -= p.lines
	}
	g.unacknowledged = nil
}

// applyTables puts a snapshot in force at a gateway.
func (h *simulation) applyTables(g *gateway, s routing.Snapshot) {
	if h.tamper != nil {
		s.Clusters, s.Routes = slices.Clone(s.Clusters), slices.Clone(s.Routes)
		h.tamper(&s)
	}
	g.tables, g.tablesAt = s, h.now
	for k := range s.Clusters {
		g.open[k], g.zoneCounts[k] = g.open[k][:0], 0
		last := policyapi.Zone("")
		for _, l := range s.Clusters[k].Endpoints {
			if i, known := h.endpointIndex[l.Endpoint]; known && !l.Withheld && l.Weight > 0 {
				g.open[k] = append(g.open[k], weightedEndpoint{i, l.Weight})
				if l.Zone != last {
					last = l.Zone
					g.zoneCounts[k]++
				}
			}
		}
	}
}

// step steps the core and takes what it wants done.
func (h *simulation) step() {
	inputs := h.inputs
	h.inputs = nil
	for _, out := range h.core.Step(h.now, inputs) {
		switch o := out.(type) {
		case coordinator.Publish:
			i := h.gatewayIndex[o.Gateway]
			g := h.gateways[i]
			lines := float64(routing.ChangeCost(g.published, o.Snapshot)) + h.settings.Start.Channel.MessageOverhead
			g.unacknowledged = append(g.unacknowledged, sentMessage{o.Version, lines})
			h.queuedLines += lines
			g.published = o.Snapshot
			g.sentAt = append(g.sentAt, h.now)
			h.evaluator.messageSent(g)
			h.deliveries = append(h.deliveries, delivery{h.now + h.expectation.Fleet.Latency, i, &o, nil})
		case coordinator.Resync, coordinator.WatchEndpoints:
			h.listUpdates = append([]policyapi.Microseconds{h.now}, h.listUpdates...)
		case coordinator.CheckHealth:
			if i, known := h.endpointIndex[o.Endpoint]; known {
				h.inputs = append(h.inputs, coordinator.HealthCheckResult{HealthCheckResult: policyapi.HealthCheckResult{Endpoint: o.Endpoint, Healthy: h.endpoints[i].running, Code: "200", Duration: 5000}})
			}
		case coordinator.LogEntry:
			h.evaluator.logged(o)
		}
	}
}

// report lets the gateways report whose turn it is: each once a period, spread over it.
func (h *simulation) report() {
	period := h.settings.Start.Reports.Period
	turns := max(1, int(period/tick))
	now := int((h.now - startTime) / tick)
	for i, g := range h.gateways {
		if g.disconnected || (now+i)%turns != 0 || h.now == startTime {
			continue
		}
		g.reportNumber++
		r := coordinator.LoadReport{Gateway: g.name, Conn: g.conn, Sequence: g.reportNumber, Interval: period}
		for k, kind := range h.settings.Start.Classes {
			one := coordinator.ClassReport{Class: kind.Name, Arrivals: int(math.Round(g.arrived[k])), Rejected: int(math.Round(g.rejected[k])), Failures: int(math.Round(g.failures[k]))}
			for _, n := range slices.Sorted(maps.Keys(g.attempts[k])) {
				s := g.attempts[k][n]
				tries := int(math.Ceil(s.attempts - 1e-9))
				busy := min(1, h.endpoints[n].utilization)
				one.Endpoints = append(one.Endpoints, coordinator.EndpointReport{Endpoint: h.endpoints[n].name, Attempts: tries,
					Failures: min(tries, int(math.Round(s.failures))), MeanLatency: policyapi.Microseconds(160_000 / max(0.2, 1.1-busy)),
					Metrics: policyapi.LoadMetrics{"busy": busy, "q": max(0, 10*(h.endpoints[n].utilization-1))}})
			}
			r.Classes = append(r.Classes, one)
			g.arrived[k], g.rejected[k], g.failures[k] = 0, 0, 0
			clear(g.attempts[k])
		}
		h.inputs = append(h.inputs, r)
	}
}

// capacityFactor is the part of its capacity that a node has.
func (h *simulation) capacityFactor(n *endpoint) float64 {
	r := h.settings.Start.Rules
	if since := h.now - n.startedAt; n.startedAt > 0 && since < r.WarmUp {
		return r.InitialCapacity + (1-r.InitialCapacity)*float64(since)/float64(r.WarmUp)
	}
	return 1
}

// serveTraffic lets a tick's reqs come and go to nodes by the tables that are held.
func (h *simulation) serveTraffic() {
	seconds := float64(tick) / float64(second)
	for _, n := range h.endpoints {
		n.offered = 0
	}
	let := func(g *gateway, k int) (came, in float64) {
		came = g.rates[k] * h.loadFactor * seconds
		in = came
		if k < len(g.tables.Routes) {
			r := g.tables.Routes[k].WithoutCoordinator(h.now - g.tablesAt)
			if in *= r.Share; r.Rate >= 0 {
				in = min(in, r.Rate*seconds)
			}
		}
		return came, in
	}
	for _, g := range h.gateways {
		for k := range g.rates {
			_, in := let(g, k)
			total := 0.0
			for _, l := range g.open[k] {
				total += l.weight
			}
			for _, l := range g.open[k] {
				h.endpoints[l.endpoint].offered += in * l.weight / total
			}
		}
	}
	for _, n := range h.endpoints {
		can := warmCapacity * h.capacityFactor(n) * seconds
		n.utilization = 0.5*n.utilization + 0.5*n.offered/can
		n.offeredWindow = append(n.offeredWindow, n.offered)
		if most := max(1, int(h.settings.Start.Rules.OverloadWindow/tick)); len(n.offeredWindow) > most {
			n.offeredWindow = n.offeredWindow[1:]
		}
	}
	for _, g := range h.gateways {
		for k := range g.rates {
			came, in := let(g, k)
			g.arrived[k] += came
			g.rejected[k] += came - in
			total, done := 0.0, 0.0
			for _, l := range g.open[k] {
				total += l.weight
			}
			for _, l := range g.open[k] {
				n, tries := h.endpoints[l.endpoint], in*l.weight/total
				good := tries
				if !n.running || n.failing[k] {
					good = 0
				} else if can := warmCapacity * h.capacityFactor(n) * seconds; n.offered > can {
					good *= can / n.offered
				}
				s := g.attempts[k][l.endpoint]
				if s == nil {
					s = &attemptTotals{}
					g.attempts[k][l.endpoint] = s
				}
				s.attempts, s.failures = s.attempts+tries, s.failures+tries-good
				done += good
			}
			g.failures[k] += in - done
			h.evaluator.recordServed(g, k, came, done)
		}
	}
}
