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
	Number   int
	Seed     uint64
	Nodes    int
	Gateways int
	Load     float64
	Course   []Event
}

func (c Case) String() string {
	return fmt.Sprintf("%d nodes, %d gateways, load %.2f and %d events", c.Nodes, c.Gateways, c.Load, len(c.Course))
}

// Draw draws a case of an expectation; the same number and seed draw the same.
func (e Expectation) Draw(number int) Case {
	seed := e.Seed + uint64(number)*0x9e3779b97f4a7c15
	rng := rand.New(rand.NewPCG(seed, 1))
	whole := func(r Range) int { return int(r.From) + rng.IntN(int(r.To)-int(r.From)+1) }
	return Case{Number: number, Seed: seed, Nodes: whole(e.Fleet.Endpoints), Gateways: whole(e.Fleet.Gateways),
		Load: e.Fleet.Load.From + rng.Float64()*(e.Fleet.Load.To-e.Fleet.Load.From), Course: e.Events}
}

// Class time goes in a case.
const (
	tick   = second / 4
	settle = 9 * second // before the course begins: gateways have joined, the module has its rounds
	base   = 1_000_000 * second
	mean   = 20.0 // reqs a second that a warm node can do
)

// node is one of a case's.
type node struct {
	name     policyapi.EndpointID
	zone     policyapi.Zone
	up       bool
	draining bool
	failing  []bool // by kind
	launched policyapi.Microseconds
	// By the list as it was last told.
	listed  policyapi.EndpointStatus
	closed  policyapi.Microseconds // since when the list closes it; 0: it does not
	started policyapi.Microseconds // the start that the list names, and since when it names that
	named   policyapi.Microseconds
	offered float64   // reqs in this tick
	window  []float64 // of the last ticks
	util    float64
}

type gateway struct {
	name     coordinator.Gateway
	zone     policyapi.Zone
	conn     coordinator.ConnID
	rates    []float64 // reqs a second by kind
	held     routing.Snapshot
	last     routing.Snapshot // that was sent on this link
	open     [][]line         // by kind
	halls    []int
	joinedAt policyapi.Microseconds
	away     bool
	seq      uint64
	sums     []map[int]*sum // by kind and node, since the last report
	arrived  []float64
	denied   []float64
	errored  []float64
	sent     []policyapi.Microseconds
	without  []policyapi.Microseconds // by kind: since when it has no line; 0: it has
	waiting  []posted
	heard    policyapi.Microseconds
}

type line struct {
	node   int
	weight float64
}

type sum struct{ tries, errored float64 }

type posted struct {
	version string
	lines   float64
}

// mail is a publication on its way to a gateway, or an acknowledgement on its way back.
type mail struct {
	at      policyapi.Microseconds
	gateway int
	publish *coordinator.Publish
	ack     coordinator.Input
}

// host feeds a core its time and plays the fleet.
type host struct {
	e        Expectation
	c        Case
	set      coordinator.Settings
	core     *coordinator.Core
	now      policyapi.Microseconds
	rng      *rand.Rand
	nodes    []*node
	byName   map[policyapi.EndpointID]int
	gateways []*gateway
	gwByName map[coordinator.Gateway]int
	mails    []mail
	version  policyapi.ListVersion
	listAt   []policyapi.Microseconds // when the list tells what it has not told yet
	times    float64
	conns    coordinator.ConnID
	inputs   []coordinator.Input
	judge    *judge
	waiting  float64
	done     int // events of the course
	spoil    func(*routing.Snapshot)
}

// Run plays a case through a core with the settings given and tells what did not hold, the first of each.
func (e Expectation) Run(set coordinator.Settings, c Case) []Failure { return e.run(set, c, spoilt{}) }

// spoilt is what tests put between the core and its judge: what a gateway holds, and what the core is told of the limits.
type spoilt struct {
	held func(*routing.Snapshot)
	told func(*coordinator.Settings)
}

func (e Expectation) run(set coordinator.Settings, c Case, by spoilt) []Failure {
	set.Epoch, set.Start.Seed, set.Start.ProxyCount = "x", c.Seed, c.Gateways
	told := set
	if by.told != nil {
		by.told(&told)
	}
	h := &host{e: e, c: c, set: set, core: coordinator.New(told), now: base, rng: rand.New(rand.NewPCG(c.Seed, 2)), byName: map[policyapi.EndpointID]int{},
		gwByName: map[coordinator.Gateway]int{}, times: 1, spoil: by.held}
	h.build()
	h.judge = newJudge(h)
	h.list()
	for end := base + settle + e.Length; h.now < end; h.now += tick {
		h.events()
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
		h.send()
		h.judge.look()
	}
	return h.judge.close()
}

func (h *host) build() {
	zones, kinds := h.set.Start.Zones, len(h.set.Start.Classes)
	for i := range h.c.Nodes {
		n := &node{name: policyapi.EndpointID(fmt.Sprintf("node-%d:80", i)), zone: zones[i%len(zones)], up: true, failing: make([]bool, kinds)}
		h.byName[n.name] = i
		h.nodes = append(h.nodes, n)
	}
	total, sizes := 0.0, make([]float64, h.c.Gateways)
	for i := range sizes {
		sizes[i] = math.Exp(h.e.Fleet.Spread * h.rng.NormFloat64())
		total += sizes[i]
	}
	for i := range h.c.Gateways {
		g := &gateway{name: coordinator.Gateway(fmt.Sprintf("gw-%d", i)), zone: zones[i%len(zones)], arrived: make([]float64, kinds), denied: make([]float64, kinds),
			errored: make([]float64, kinds), open: make([][]line, kinds), halls: make([]int, kinds), without: make([]policyapi.Microseconds, kinds)}
		for range kinds {
			g.rates = append(g.rates, h.c.Load*mean*float64(h.c.Nodes)*sizes[i]/total/float64(kinds))
			g.sums = append(g.sums, map[int]*sum{})
		}
		h.gwByName[g.name] = i
		h.gateways = append(h.gateways, g)
		h.join(g)
	}
}

func (h *host) join(g *gateway) {
	h.conns++
	g.conn, g.joinedAt, g.seq, g.away, g.last = h.conns, h.now, 0, false, routing.Snapshot{}
	weight := 0.0
	for _, r := range g.rates {
		weight += r
	}
	h.inputs = append(h.inputs, coordinator.GatewayConnected{Gateway: g.name, Conn: g.conn, Zone: g.zone, HasDefaultTableOnly: len(g.held.Clusters) == 0, Weight: weight})
}

// events lets happen what is due.
func (h *host) events() {
	for ; h.done < len(h.c.Course); h.done++ {
		ev := h.c.Course[h.done]
		if h.now < base+settle+ev.At {
			break
		}
		h.strike(ev)
	}
	for len(h.listAt) > 0 && h.now >= h.listAt[0] {
		h.listAt = h.listAt[1:]
		h.list()
	}
}

func (h *host) strike(ev Event) {
	tell := h.e.Fleet.ListDelay
	switch ev.Action {
	case Lose:
		for _, n := range h.choose(ev, func(n *node) bool { return n.up }) {
			n.up = false
		}
	case Drain:
		tell = 0 // it is the list's own word
		for _, n := range h.choose(ev, func(n *node) bool { return n.up && !n.draining }) {
			n.draining = true
		}
	case Restart:
		for _, n := range h.choose(ev, func(n *node) bool { return n.up && !n.draining }) {
			n.launched = h.now
		}
	case Fail:
		for _, n := range h.choose(ev, func(n *node) bool { return n.up }) {
			for k, kind := range h.set.Start.Classes {
				n.failing[k] = n.failing[k] || ev.Class == "" || ev.Class == kind.Name
			}
		}
	case Recover:
		for _, n := range h.nodes {
			if !n.up || n.draining {
				n.launched = h.now
			}
			n.up, n.draining = true, false
			clear(n.failing)
		}
	case Away, Home:
		var some []*gateway
		for _, g := range h.gateways {
			if (ev.Zone == "" || g.zone == ev.Zone) && g.away == (ev.Action == Home) {
				some = append(some, g)
			}
		}
		for _, i := range h.rng.Perm(len(some))[:part(ev, len(some))] {
			if g := some[i]; ev.Action == Home {
				h.join(g)
			} else {
				g.away = true
				h.inputs = append(h.inputs, coordinator.GatewayDisconnected{Gateway: g.name, Conn: g.conn})
				h.drop(g)
			}
		}
		return
	case Times:
		h.times = ev.LoadFactor
		return
	}
	h.listAt = append(h.listAt, h.now+tell)
	slices.Sort(h.listAt)
}

// part is how many of so many an event strikes: all where it does not say.
func part(ev Event, of int) int {
	if ev.Fraction == 0 {
		return of
	}
	return min(of, max(1, int(math.Ceil(ev.Fraction*float64(of)))))
}

func (h *host) choose(ev Event, may func(*node) bool) (some []*node) {
	for _, n := range h.nodes {
		if may(n) && (ev.Zone == "" || n.zone == ev.Zone) {
			some = append(some, n)
		}
	}
	h.rng.Shuffle(len(some), func(i, j int) { some[i], some[j] = some[j], some[i] })
	return some[:part(ev, len(some))]
}

// list tells the node list as it is now.
func (h *host) list() {
	h.version++
	l := policyapi.EndpointUpdate{Version: h.version, Kind: policyapi.Snapshot}
	for _, n := range h.nodes {
		was := n.listed
		switch {
		case !n.up:
			n.listed = policyapi.Removed
		case n.draining:
			n.listed = policyapi.Draining
		default:
			n.listed = policyapi.Ready
		}
		if n.started != n.launched {
			n.started, n.named = n.launched, h.now
		}
		if n.listed == policyapi.Ready {
			n.closed = 0
		} else if was == policyapi.Ready {
			n.closed = h.now
		}
		if n.listed != policyapi.Removed {
			l.Endpoints = append(l.Endpoints, policyapi.Endpoint{ID: n.name, Zone: n.zone, Weight: 1, MachineType: "std", StartedAt: n.launched, Status: n.listed})
		}
	}
	h.inputs = append(h.inputs, coordinator.EndpointUpdate{EndpointUpdate: l})
}

// deliver brings publications and acknowledgements whose time has come.
func (h *host) deliver() {
	slices.SortStableFunc(h.mails, func(a, b mail) int { return cmp.Compare(a.at, b.at) })
	n := 0
	for ; n < len(h.mails) && h.mails[n].at <= h.now; n++ {
		m := h.mails[n]
		g := h.gateways[m.gateway]
		if g.away {
			continue
		}
		if m.ack != nil {
			h.inputs = append(h.inputs, m.ack)
			h.acked(g, m.ack.(coordinator.DocumentAck).Version)
			continue
		}
		h.hold(g, m.publish.Snapshot)
		for d, changed := range m.publish.Changed {
			if changed {
				ack := coordinator.DocumentAck{Gateway: g.name, Conn: g.conn, Document: coordinator.Document(d), Version: m.publish.Version, Nonce: m.publish.Nonce}
				h.mails = append(h.mails, mail{h.now + h.e.Fleet.Latency, m.gateway, nil, ack})
			}
		}
	}
	h.mails = slices.Delete(h.mails, 0, n)
}

func (h *host) acked(g *gateway, version string) {
	for i, p := range g.waiting {
		if p.version == version {
			for _, done := range g.waiting[:i+1] {
				h.waiting -= done.lines
			}
			g.waiting = g.waiting[i+1:]
			return
		}
	}
}

// drop forgets what was on its way to a gateway whose link has ended.
func (h *host) drop(g *gateway) {
	for _, p := range g.waiting {
		h.waiting -= p.lines
	}
	g.waiting = nil
}

// hold puts a snapshot in force at a gateway.
func (h *host) hold(g *gateway, s routing.Snapshot) {
	if h.spoil != nil {
		s.Clusters, s.Routes = slices.Clone(s.Clusters), slices.Clone(s.Routes)
		h.spoil(&s)
	}
	g.held, g.heard = s, h.now
	for k := range s.Clusters {
		g.open[k], g.halls[k] = g.open[k][:0], 0
		last := policyapi.Zone("")
		for _, l := range s.Clusters[k].Endpoints {
			if i, known := h.byName[l.Endpoint]; known && !l.Withheld && l.Weight > 0 {
				g.open[k] = append(g.open[k], line{i, l.Weight})
				if l.Zone != last {
					last = l.Zone
					g.halls[k]++
				}
			}
		}
	}
}

// step steps the core and takes what it wants done.
func (h *host) step() {
	inputs := h.inputs
	h.inputs = nil
	for _, out := range h.core.Step(h.now, inputs) {
		switch o := out.(type) {
		case coordinator.Publish:
			i := h.gwByName[o.Gateway]
			g := h.gateways[i]
			lines := float64(routing.ChangeCost(g.last, o.Snapshot)) + h.set.Start.Channel.MessageOverhead
			g.waiting = append(g.waiting, posted{o.Version, lines})
			h.waiting += lines
			g.last = o.Snapshot
			g.sent = append(g.sent, h.now)
			h.judge.sent(g)
			h.mails = append(h.mails, mail{h.now + h.e.Fleet.Latency, i, &o, nil})
		case coordinator.Resync, coordinator.WatchEndpoints:
			h.listAt = append([]policyapi.Microseconds{h.now}, h.listAt...)
		case coordinator.CheckHealth:
			if i, known := h.byName[o.Endpoint]; known {
				h.inputs = append(h.inputs, coordinator.HealthCheckResult{HealthCheckResult: policyapi.HealthCheckResult{Endpoint: o.Endpoint, Healthy: h.nodes[i].up, Code: "200", Duration: 5000}})
			}
		case coordinator.LogEntry:
			h.judge.note(o)
		}
	}
}

// report lets the gateways report whose turn it is: each once a period, spread over it.
func (h *host) report() {
	period := h.set.Start.Reports.Period
	turns := max(1, int(period/tick))
	now := int((h.now - base) / tick)
	for i, g := range h.gateways {
		if g.away || (now+i)%turns != 0 || h.now == base {
			continue
		}
		g.seq++
		r := coordinator.LoadReport{Gateway: g.name, Conn: g.conn, Sequence: g.seq, Interval: period}
		for k, kind := range h.set.Start.Classes {
			one := coordinator.ClassReport{Class: kind.Name, Arrivals: int(math.Round(g.arrived[k])), Rejected: int(math.Round(g.denied[k])), Failures: int(math.Round(g.errored[k]))}
			for _, n := range slices.Sorted(maps.Keys(g.sums[k])) {
				s := g.sums[k][n]
				tries := int(math.Ceil(s.tries - 1e-9))
				busy := min(1, h.nodes[n].util)
				one.Endpoints = append(one.Endpoints, coordinator.EndpointReport{Endpoint: h.nodes[n].name, Attempts: tries,
					Failures: min(tries, int(math.Round(s.errored))), MeanLatency: policyapi.Microseconds(160_000 / max(0.2, 1.1-busy)),
					Metrics: policyapi.LoadMetrics{"busy": busy, "q": max(0, 10*(h.nodes[n].util-1))}})
			}
			r.Classes = append(r.Classes, one)
			g.arrived[k], g.denied[k], g.errored[k] = 0, 0, 0
			clear(g.sums[k])
		}
		h.inputs = append(h.inputs, r)
	}
}

// warmth is the part of its capacity that a node has.
func (h *host) warmth(n *node) float64 {
	r := h.set.Start.Rules
	if since := h.now - n.launched; n.launched > 0 && since < r.WarmUp {
		return r.InitialCapacity + (1-r.InitialCapacity)*float64(since)/float64(r.WarmUp)
	}
	return 1
}

// send lets a tick's reqs come and go to nodes by the tables that are held.
func (h *host) send() {
	seconds := float64(tick) / float64(second)
	for _, n := range h.nodes {
		n.offered = 0
	}
	let := func(g *gateway, k int) (came, in float64) {
		came = g.rates[k] * h.times * seconds
		in = came
		if k < len(g.held.Routes) {
			r := g.held.Routes[k].WithoutCoordinator(h.now - g.heard)
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
				h.nodes[l.node].offered += in * l.weight / total
			}
		}
	}
	for _, n := range h.nodes {
		can := mean * h.warmth(n) * seconds
		n.util = 0.5*n.util + 0.5*n.offered/can
		n.window = append(n.window, n.offered)
		if most := max(1, int(h.set.Start.Rules.OverloadWindow/tick)); len(n.window) > most {
			n.window = n.window[1:]
		}
	}
	for _, g := range h.gateways {
		for k := range g.rates {
			came, in := let(g, k)
			g.arrived[k] += came
			g.denied[k] += came - in
			total, done := 0.0, 0.0
			for _, l := range g.open[k] {
				total += l.weight
			}
			for _, l := range g.open[k] {
				n, tries := h.nodes[l.node], in*l.weight/total
				good := tries
				if !n.up || n.failing[k] {
					good = 0
				} else if can := mean * h.warmth(n) * seconds; n.offered > can {
					good *= can / n.offered
				}
				s := g.sums[k][l.node]
				if s == nil {
					s = &sum{}
					g.sums[k][l.node] = s
				}
				s.tries, s.errored = s.tries+tries, s.errored+tries-good
				done += good
			}
			g.errored[k] += in - done
			h.judge.served(g, k, came, done)
		}
	}
}
