package policy

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"maps"
	"math"
	"slices"

	"porthub/policyapi"
)

// This file has the parts' state and how notes get from one to another. What the parts do is in choice.go.

type micros = policyapi.Microseconds

const (
	second     micros               = 1_000_000
	roundToken policyapi.TimerToken = 1
	pollToken  policyapi.TimerToken = 2
	retryToken policyapi.TimerToken = 3
)

// Notes between the parts; events are notes too.
type (
	message     any
	pollList    struct{} // ask for the list
	reportRound struct { // a round is over
		seconds      float64 // seconds since the last with reports, 0: none came
		silenceLimit micros  // what was not heard for longer has had no tries
	}
	batchEnd struct{} // all events have been taken: the registry tells, then the planner plans

	endpointForgotten struct{ id policyapi.EndpointID } // long gone: nothing is kept of it
	listConfirmed     struct{}                          // a list newer than the saved one has come
	roundClosed       struct {                          // planner to a backend: judge what you heard
		expectedAttempts     []float64 // tries that its lines should have brought, by zone of the proxies
		failureRate, seconds float64   // part of all tries that erred; seconds
		silenceLimit         micros    // as in beat
		allReported          bool      // every known proxy is joined: what is heard is all there is
	}
	endpointState struct { // a backend to the planner: how it stands
		endpointActor               // a copy
		mailbox                     *mailbox
		ready                       bool
		recentlyReported            bool // of late
		zone                        int
		slowStartFactor             float64 // part of its usual work that it may get: cold, or back from trouble
		ejected                     []bool  // by zone of the proxies
		capacity, availableCapacity float64 // the planner's: reqs a second when warm, and of that now
		urgent                      bool
	}
	proxyDemand struct { // a proxy and its usage, reqs a second, by request kind and in all
		proxy                policyapi.ProxyID
		zone                 int
		rates, roundRequests []float64 // round: reqs heard of in this round
		countedUntil         []micros  // until when they are counted
		total                float64
		connected, reported  bool
	}
	demandUpdate struct { // proxyRegistry to the planner: the joined proxies
		proxies              []*proxyDemand
		allConnected, urgent bool
	}
	tableLine struct {
		endpoint policyapi.EndpointID
		weight   float64
	}
	targetState struct { // planner to the channel: how the proxies should stand
		tables      map[groupID][]tablePlan // of each planned group, by set of kinds; a group that is missing is not planned
		proxyGroups map[policyapi.ProxyID]groupID
		ready       map[policyapi.EndpointID]bool // may be offered; what else a table still holds is withdrawn
		admissions  []policyapi.SetAdmission
		urgent      bool
	}
	boundGroups   struct{ groups map[groupID]bool } // channel to the planner: a proxy is bound to these groups' tables
	retryDelivery struct{}                          // the time has come to try again what was owed and did not go out
)

// groupID names a group of endpoints, also after the zones have been divided anew.
type groupID int

// tablePlan is what a table should hold: without lines it is to be empty.
type tablePlan struct {
	lines []tableLine
	level float64 // what each proxy may let in of each kind
}

type mailbox struct{ messages []message }

func (b *mailbox) send(n message) { b.messages = append(b.messages, n) }

func (b *mailbox) drain() []message {
	notes := b.messages
	b.messages = nil
	return notes
}

type actor interface {
	send(n message)
	drain() []message
	receive(now micros, n message)
}

// outbox gathers the orders of one Take.
type outbox struct{ orders []policyapi.Order }

func (o *outbox) add(order policyapi.Order) { o.orders = append(o.orders, order) }

func (o *outbox) log(format string, args ...any) {
	o.add(policyapi.Log{Text: fmt.Sprintf(format, args...)})
}

// Instance is one coordinator's decisions.
type Instance struct {
	out                   *outbox
	endpoints             *endpointList
	proxies               *proxyRegistry
	planner               *planner
	actors                []actor
	period, roundClosedAt micros  // of the reports; when the last round with reports ended
	reportLines           int     // of reports, this round
	maxLinesPerSecond     float64 // lines a second at most
	longestPeriod         micros  // period of a line this round
	started               bool
}

// New starts an instance.
func New(up policyapi.Start) *Instance {
	out, r, period := &outbox{}, up.Rules, max(up.Reports.Period, minReportPeriod)
	var target micros
	for _, k := range up.Classes {
		target += k.LatencyObjective / micros(len(up.Classes))
	}
	ch := newChannel(out, r.QueueLimit, up.Channel.MessageOverhead, r.MessageLimit, r.MessageWindow, period, r.DrainGracePeriod)
	pl := newPlanner(out, ch, up.Zones, up.Classes, up.Admission, max(1, up.InstanceCount), up.ProxyCount, up.Channel.EndpointConnections,
		max(1, up.Reports.MaxLinesPerSecond), r.OverloadFactor, period, cachedListHold(period, r.DrainGracePeriod))
	ch.reportBoundGroups = pl.send
	roll := newEndpointList(out, pl, up.PollsList, up.Seed, func(id policyapi.EndpointID) *endpointActor {
		return newEndpointActor(id, out, pl, up.Zones, r.WarmUp, r.InitialCapacity, r.HealthChecksAllowed, r.SoftRemoval, target, period)
	})
	book := newProxyRegistry(pl, up.Zones, len(up.Classes))
	return &Instance{out: out, endpoints: roll, proxies: book, planner: pl, period: period, maxLinesPerSecond: up.Reports.MaxLinesPerSecond,
		actors: []actor{roll, book, pl, ch}}
}

// Step tells the instance what has happened by now and returns what it wants done.
func (in *Instance) Step(now micros, events []policyapi.Event) []policyapi.Order {
	in.out.orders = nil
	if !in.started {
		in.started = true
		in.deliver(pollList{})
		in.deliver(in.onTimer(now, roundToken))
	}
	for _, ev := range events {
		switch e := ev.(type) {
		case policyapi.EndpointLoad:
			in.reportLines, in.longestPeriod = in.reportLines+1, max(in.longestPeriod, e.Period)
		case policyapi.ProxyLoad:
			in.reportLines, in.longestPeriod = in.reportLines+1, max(in.longestPeriod, e.Period)
		case policyapi.TimerFired:
			in.deliver(in.onTimer(now, e.Token))
			continue
		}
		in.deliver(ev)
	}
	in.run(now)
	for _, p := range []actor{in.proxies, in.planner} {
		p.send(batchEnd{})
		in.run(now)
	}
	return in.out.orders
}

// onTimer is what a timer means to the parts.
func (in *Instance) onTimer(now micros, token policyapi.TimerToken) message {
	switch token {
	case roundToken:
		in.out.add(policyapi.SetTimer{After: in.period, Token: roundToken})
		return in.closeRound(now)
	case retryToken:
		return retryDelivery{}
	default:
		return pollList{}
	}
}

// deliver puts a note into the inboxes of all parts.
func (in *Instance) deliver(n message) {
	for _, p := range in.actors {
		p.send(n)
	}
}

// TakeOver tells a new instance, before its first batch, that it takes the place of one whose code has failed. The streams stand:
// what that one had sent still counts against the limits on lines and messages.
func (in *Instance) TakeOver(failed *Instance) { in.planner.channel.takeOver(failed.planner.channel) }

// State is what an instance takes to be so, for staff to hold against what passes.
type State struct {
	Proxies, UnacknowledgedMessages       int     // joined, and messages that they have not acknowledged
	QueuedLines                           float64 // lines taken to wait in the channel
	Ready, Ejected, WarmingUp             int     // backends: listed ready; of those, sick from somewhere or eased in
	CapacityLimited                       int     // of those, slow for three reports
	Demand, Served, Capacity              float64 // reqs a second: usage, done as last heard, what the ready ones can do
	FleetSpeed, Utilization, AdmittedRate float64 // LetIn 0: levels are off
	EndpointActors, Tables                int     // kept
	QueuedRequests                        int     // reqs queued, by the backends' own word
}

// State tells; it changes nothing.
func (in *Instance) State() State {
	pl, ch := in.planner, in.planner.channel
	b := State{Proxies: len(ch.streams), QueuedLines: ch.queuedLines(ch.deliveredAt), Demand: sum(pl.zoneDemand), FleetSpeed: pl.fleetSpeed, Utilization: pl.utilization, AdmittedRate: pl.admittedRate,
		EndpointActors: len(in.endpoints.order), Tables: len(ch.replicas) * len(ch.masks)}
	for _, s := range ch.streams {
		b.UnacknowledgedMessages += len(s.unacknowledged)
	}
	for _, v := range pl.endpoints {
		if !v.ready {
			continue
		}
		b.Ready, b.Served, b.QueuedRequests = b.Ready+1, b.Served+v.served, b.QueuedRequests+int(v.queue)
		if slices.Contains(v.ejected, true) {
			b.Ejected++
		}
		if v.slowStartFactor < 1 {
			b.WarmingUp++
		}
		if v.capacityLimit > 0 {
			b.CapacityLimited++
		}
	}
	for _, c := range pl.groups {
		if c.index == pl.groupsPerZone {
			b.Capacity += c.availableCapacity
		}
	}
	return b
}

// run empties the inboxes, round after round, until none has a note.
func (in *Instance) run(now micros) {
	for busy := true; busy; {
		busy = false
		parts := in.actors
		for _, b := range in.endpoints.order {
			parts = append(parts, b)
		}
		for _, p := range parts {
			for _, n := range p.drain() {
				busy = true
				p.receive(now, n)
			}
		}
	}
}

// throughputHistogram is a small histogram over 0 to 1 and above: by coarse bin a weight and a sum, halved when full.
type throughputHistogram [4]struct{ n, sum float64 }

func (h *throughputHistogram) add(at, n, sum, full float64) {
	bin := &h[min(3, int(4*at))]
	bin.n, bin.sum = bin.n+n, bin.sum+sum
	if all, _ := h.total(); all > full {
		for i := range h {
			h[i].n, h[i].sum = h[i].n/2, h[i].sum/2
		}
	}
}

func (h *throughputHistogram) total() (n, sum float64) {
	for _, bin := range h {
		n, sum = n+bin.n, sum+bin.sum
	}
	return n, sum
}

// endpointList follows the list and keeps the actors, in the order in which they were first listed.
type endpointList struct {
	mailbox
	out         *outbox
	planner     *planner
	polls       bool // the list answers only when asked
	seed, draws uint64
	failures    int
	newActor    func(policyapi.EndpointID) *endpointActor
	actors      map[policyapi.EndpointID]*endpointActor
	order       []*endpointActor
	removedAt   map[policyapi.EndpointID]micros // since when it is gone
}

func newEndpointList(out *outbox, p *planner, polls bool, seed uint64, newActor func(policyapi.EndpointID) *endpointActor) *endpointList {
	return &endpointList{out: out, planner: p, polls: polls, seed: seed, newActor: newActor, actors: map[policyapi.EndpointID]*endpointActor{},
		removedAt: map[policyapi.EndpointID]micros{}}
}

func (r *endpointList) receive(now micros, n message) {
	switch n := n.(type) {
	case reportRound:
		r.forgetRemoved(now)
	case pollList:
		if r.polls {
			r.out.add(policyapi.WatchEndpoints{Enabled: true})
		}
	case policyapi.EndpointLoad:
		r.forward(n.Endpoint, n)
	case policyapi.HealthCheckResult:
		r.forward(n.Endpoint, n)
	case policyapi.EndpointUpdate:
		r.apply(now, n)
	}
}

func (r *endpointList) apply(now micros, list policyapi.EndpointUpdate) {
	if list.Kind == policyapi.Failed {
		r.retryPoll()
		return
	}
	if r.failures = 0; list.Kind != policyapi.Cached {
		r.planner.send(listConfirmed{})
	}
	seen := map[policyapi.EndpointID]bool{}
	for _, e := range list.Endpoints {
		if seen[e.ID] = true; r.actors[e.ID] == nil && e.Status != policyapi.Removed {
			b := r.newActor(e.ID)
			r.actors[e.ID], r.order = b, append(r.order, b)
		}
		r.forward(e.ID, e)
		r.trackRemoval(now, e.ID, e.Status == policyapi.Removed)
	}
	for _, b := range r.order {
		if list.Kind != policyapi.Delta && !seen[b.id] {
			r.trackRemoval(now, b.id, true)
			b.send(policyapi.Endpoint{ID: b.id, Zone: b.entry.Zone, Weight: b.entry.Weight, Status: policyapi.Removed})
		}
	}
}

// trackRemoval notes since when a backend is gone, or that it is not.
func (r *endpointList) trackRemoval(now micros, id policyapi.EndpointID, gone bool) {
	if _, has := r.removedAt[id]; !gone {
		delete(r.removedAt, id)
	} else if !has && r.actors[id] != nil {
		r.removedAt[id] = now
	}
}

// forgetRemoved drops the actors of those long gone: under ever new names they would pile up. One that only the list has dropped
// may still stand in tables and stays.
func (r *endpointList) forgetRemoved(now micros) {
	for _, b := range slices.Clone(r.order) {
		if at, gone := r.removedAt[b.id]; gone && now-at > endpointRetention && !b.unconfirmedRemoval {
			delete(r.removedAt, b.id)
			delete(r.actors, b.id)
			r.order = slices.DeleteFunc(r.order, func(other *endpointActor) bool { return other == b })
			b.send(endpointForgotten{b.id})
		}
	}
}

// random draws from 0 to under 1.
func (r *endpointList) random() float64 {
	r.draws++
	key := binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(nil, r.seed), r.draws)
	return float64(crc32.ChecksumIEEE(key)) / (1 << 32)
}

func (r *endpointList) forward(id policyapi.EndpointID, n message) {
	if b := r.actors[id]; b != nil {
		b.send(n)
	}
}

// endpoint is the actor of one backend: what is known of it and how it is judged.
type endpointActor struct {
	mailbox
	id                               policyapi.EndpointID
	out                              *outbox
	planner                          *planner
	zones                            []policyapi.Zone
	warmUp, latencyObjective, period micros
	initialCapacity                  float64
	healthChecks, softRemoval        bool // soft: gone alone does not bind
	unconfirmedRemoval               bool // dropped from the list without a drain
	forgotten                        bool // forgotten
	entry                            policyapi.Endpoint
	byZone                           []zoneHealth
	metrics                          policyapi.LoadMetrics // as told this round
	throughput                       throughputHistogram   // by busy share: busy seconds and done reqs
	reportedAt                       micros
	busyShare                        float64 // busy share, smoothed
	reportsRate                      bool    // it tells its rate
	lastRate, lastBusy               float64 // the last round's reqs a second and busy share, if both are known
	served, externalLoad             float64 // reqs a second: done for own proxies, load of other controllers'
	queue                            float64 // reqs waiting, by its own word
	latency                          float64 // mean answer time
	capacityLimit                    float64 // reqs a second; 0: no capacity limit
	slowReports                      int     // slow reports in a row
	recoveredAt, healthyAt           micros  // when it last came back from trouble, when a probe last went well
}

// zoneHealth is what the proxies of one zone see of a backend.
type zoneHealth struct {
	attempts, failures, latencySum float64 // this round
	served, latestRate             float64 // reqs a second done, and in the newest report
	countedUntil                   micros  // until when they are counted
	consecutiveFailures            float64 // tries, or tries missed, since one was done
	ejected                        bool
	retryAt, backoff               micros
}

func newEndpointActor(id policyapi.EndpointID, out *outbox, p *planner, zones []policyapi.Zone, cold micros,
	coldFrom float64, probes, soft bool, target, period micros) *endpointActor {
	return &endpointActor{id: id, out: out, planner: p, zones: zones, warmUp: cold, initialCapacity: coldFrom, healthChecks: probes, softRemoval: soft,
		latencyObjective: target, period: period, byZone: make([]zoneHealth, len(zones))}
}

func (b *endpointActor) receive(now micros, n message) {
	switch n := n.(type) {
	case policyapi.Endpoint:
		b.updateEntry(n)
		b.publish(now, true)
	case policyapi.EndpointLoad:
		if z := slices.Index(b.zones, n.Zone); z >= 0 {
			s := &b.byZone[z]
			s.attempts += float64(n.Attempts)
			s.failures += float64(n.Failures)
			s.latencySum += float64(n.Attempts-n.Failures) * float64(n.MeanLatency)
			if n.Metrics != nil {
				b.metrics = n.Metrics
			}
		}
	case policyapi.HealthCheckResult:
		if n.Healthy {
			b.healthyAt = now
		}
	case endpointForgotten:
		b.forgotten = true
		b.planner.send(n)
	case roundClosed:
		b.publish(now, b.evaluateHealth(now, n))
	}
}

func (b *endpointActor) publish(now micros, urgent bool) {
	if b.forgotten {
		return // what it had in its inbox must not bring it back
	}
	v := endpointState{endpointActor: *b, mailbox: &b.mailbox, zone: slices.Index(b.zones, b.entry.Zone),
		ready: b.entry.Status == policyapi.Ready, recentlyReported: now-b.reportedAt < recentReportWindow, slowStartFactor: b.slowStartFactor(now), urgent: urgent}
	for _, s := range b.byZone {
		v.ejected = append(v.ejected, s.ejected)
	}
	b.planner.send(v)
}

// proxyRegistry keeps the proxies and what comes to them.
type proxyRegistry struct {
	mailbox
	planner    *planner
	zones      []policyapi.Zone
	classCount int
	proxies    map[policyapi.ProxyID]*proxyDemand
	changed    bool // there is something to tell the planner
	urgent     bool
}

func newProxyRegistry(p *planner, zones []policyapi.Zone, kinds int) *proxyRegistry {
	return &proxyRegistry{planner: p, zones: zones, classCount: kinds, proxies: map[policyapi.ProxyID]*proxyDemand{}}
}

func (k *proxyRegistry) receive(now micros, n message) {
	switch n := n.(type) {
	case policyapi.ProxyConnected:
		f := k.proxies[n.Proxy]
		if f == nil {
			f = &proxyDemand{proxy: n.Proxy, rates: make([]float64, k.classCount)}
			k.proxies[n.Proxy] = f
		}
		f.connected, f.zone, f.roundRequests = true, slices.Index(k.zones, n.Zone), make([]float64, k.classCount)
		f.countedUntil = slices.Repeat([]micros{now}, k.classCount)
		for i := range f.rates {
			if !f.reported {
				f.rates[i] = n.Weight / float64(k.classCount)
			}
		}
		k.changed, k.urgent = true, true
	case policyapi.ProxyDisconnected:
		if f := k.proxies[n.Proxy]; f != nil {
			f.connected, k.changed = false, true
		}
	case policyapi.ProxyLoad:
		if f := k.proxies[n.Proxy]; f != nil && f.connected && n.Class >= 0 && int(n.Class) < k.classCount {
			f.roundRequests[n.Class] += float64(n.Requests)
		}
	case reportRound:
		for _, f := range k.proxies {
			if n.seconds > 0 {
				f.applyRound(now, n)
			}
		}
		k.changed = true
	case batchEnd:
		if k.changed {
			k.publish()
		}
	}
}

func (k *proxyRegistry) publish() {
	d, here, away := demandUpdate{urgent: k.urgent}, 0.0, 0.0
	k.changed, k.urgent = false, false
	for _, id := range slices.Sorted(maps.Keys(k.proxies)) {
		f := *k.proxies[id] // a copy
		if f.rates, f.total = slices.Clone(f.rates), sum(f.rates); !f.connected {
			away += f.total
		} else if here += f.total; f.zone >= 0 {
			d.proxies = append(d.proxies, &f)
		}
	}
	d.allConnected = away <= maxDisconnectedShare*here
	k.planner.send(d)
}

func sum(values []float64) float64 {
	all := 0.0
	for _, v := range values {
		all += v
	}
	return all
}

// planner decides the tables, the prices and the levels.
type planner struct {
	mailbox
	out                      *outbox
	channel                  *channel
	zones                    []policyapi.Zone
	classes                  []policyapi.ClassSettings
	admissionMode            policyapi.AdmissionMode
	placements               []classPlacement
	endpoints                map[policyapi.EndpointID]endpointState
	proxies                  []*proxyDemand
	instances                int
	maxReportLines           float64                            // report lines a second
	meanCapacity             float64                            // a backend\'s worth
	proxyCount               int                                // of all controllers
	overloadFactor           float64                            // the multiple of its capacity that a cold backend can bear
	endpointConnections      int                                // connections that the smallest backend takes
	endpointsAtDivision      int                                // backends when the groups were made
	groupsPerZone            int                                // in a zone; one more stands for all of it
	groups                   []group                            // the groups, by zone
	endpointGroup            map[policyapi.EndpointID]int       // its group
	proxyGroup               map[policyapi.ProxyID]int          // its group
	movedAt                  map[policyapi.ProxyID]float64      // when it was last moved
	clock                    float64                            // seconds of rounds with reports, from 100 on: nobody has been moved yet
	zoneDemand               []float64                          // reqs a second, by zone of the proxies
	endpointLoad             map[policyapi.EndpointID][]float64 // reqs a second it should get, by group
	zoneAttempts             []float64                          // heard this round, by zone of the proxies
	panicZones               []bool                             // by zone: sick marks are passed over
	roundFailures            float64                            // tries of this round
	fleetSpeed               float64                            // what the fleet does now against the speeds learned one by one
	admittedUtilization      float64                            // use without what levels turn away
	utilization, failureRate float64                            // the fleet's load over its room, the part of its tries that err
	admittedRate             float64                            // published: reqs a second in all; 0: open
	boundGroups              map[groupID]bool                   // groups whose tables proxies are bound to
	retired                  []group                            // of earlier divisions: proxies are still bound to their tables
	nextGroup                groupID                            // how many have been named so far
	maxTableLines            int                                // of a table: more would not fit into the queue with the others of its proxy
	period                   micros                             // of the reports, and so of beats
	cachedListHold           micros                             // how long a saved list may wait for a newer one
	startedAt                micros                             // when the first note came
	started                  bool                               // it has come
	listConfirmed            bool                               // a list newer than the saved one has come
	allConnected             bool                               // every known proxy is joined
	changed, urgent          bool
	speedsKnown              bool // a speed has been learned since the start
	roundFinished            bool // a round has ended since the last plan
}

// classPlacement is the request kinds that may go to the same zones; each has a table for each zone's proxies.
type classPlacement struct {
	mask          policyapi.ClassSet
	allowedZones  []policyapi.Zone
	localZoneOnly bool
}

// allows tells whether the kinds may go to a zone.
func (s classPlacement) allows(z policyapi.Zone) bool {
	return len(s.allowedZones) == 0 || slices.Contains(s.allowedZones, z)
}

// restricted tells whether the kinds may not go everywhere.
func (s classPlacement) restricted() bool { return s.localZoneOnly || len(s.allowedZones) > 0 }

// placementsOf puts kinds that may go to the same zones together: each set has tables of its own, bound ones first.
func placementsOf(kinds []policyapi.ClassSettings) (sets []classPlacement) {
	for _, bound := range []bool{true, false} {
		for k, kind := range kinds {
			set := classPlacement{1 << k, kind.AllowedZones, kind.LocalZoneOnly}
			same := func(s classPlacement) bool {
				return s.localZoneOnly == set.localZoneOnly && slices.Equal(s.allowedZones, set.allowedZones)
			}
			if i := slices.IndexFunc(sets, same); i >= 0 {
				sets[i].mask |= set.mask
			} else if set.restricted() == bound {
				sets = append(sets, set)
			}
		}
	}
	return sets
}

func newPlanner(out *outbox, ch *channel, zones []policyapi.Zone, kinds []policyapi.ClassSettings,
	levels policyapi.AdmissionMode, instances, proxies, sockets int, intake, tip float64, period, savedHolds micros) *planner {
	p := &planner{out: out, channel: ch, zones: zones, classes: kinds, admissionMode: levels, placements: placementsOf(kinds), period: period, cachedListHold: savedHolds, fleetSpeed: 1,
		instances: instances, proxyCount: proxies, endpointConnections: sockets, maxReportLines: intake, overloadFactor: tip, endpointGroup: map[policyapi.EndpointID]int{},
		proxyGroup: map[policyapi.ProxyID]int{}, movedAt: map[policyapi.ProxyID]float64{}, clock: 100, zoneDemand: make([]float64, len(zones)),
		endpoints: map[policyapi.EndpointID]endpointState{}, zoneAttempts: make([]float64, len(zones)), panicZones: make([]bool, len(zones))}
	for _, set := range p.placements {
		ch.masks = append(ch.masks, set.mask)
	}
	p.maxTableLines = maxTableLines(ch.queueLimit, ch.perMessageLines, len(p.placements), len(kinds))
	return p
}

func (p *planner) receive(now micros, n message) {
	if !p.started {
		if p.started, p.startedAt = true, now; p.cachedListHold < p.period { // sooner than the next beat
			p.out.add(policyapi.SetTimer{After: p.cachedListHold, Token: retryToken})
		}
	}
	switch n := n.(type) {
	case endpointState:
		p.endpoints[n.id], p.changed, p.urgent = n, true, p.urgent || n.urgent
	case demandUpdate:
		p.proxies, p.allConnected, p.changed, p.urgent = n.proxies, n.allConnected, true, p.urgent || n.urgent
	case policyapi.EndpointLoad:
		if z := slices.Index(p.zones, n.Zone); z >= 0 {
			p.zoneAttempts[z] += float64(n.Attempts)
			p.roundFailures += float64(n.Failures)
		}
	case endpointForgotten:
		delete(p.endpoints, n.id)
		delete(p.endpointGroup, n.id)
	case listConfirmed:
		p.changed, p.listConfirmed = p.changed || !p.listConfirmed, true
	case boundGroups:
		p.boundGroups = n.groups
	case reportRound:
		if n.seconds > 0 {
			p.clock += n.seconds
			p.closeRound(n)
		}
	case batchEnd:
		if p.changed && p.acceptsList(now) {
			p.plan()
			p.changed, p.urgent = false, false
		}
	}
}

// index is a group of a zone's backends and the proxies bound to it.
type group struct {
	id                          groupID
	zone, index                 int     // group p.groups is all of the zone
	capacity, availableCapacity float64 // of its usable backends
	load                        float64 // usage of its proxies
	price                       float64
	proxies                     []*proxyDemand
}

// zoneGroup is the group of all of a zone.
func (p *planner) zoneGroup(z int) *group { return &p.groups[(z+1)*(p.groupsPerZone+1)-1] }

// extremes finds the groups of a zone, but for the whole, of which something is the least and the most.
func (p *planner) extremes(z int, of func(c *group) float64) (least, most int) {
	first := z * (p.groupsPerZone + 1)
	least, most = first, first
	for i := first; i < first+p.groupsPerZone; i++ {
		if of(&p.groups[i]) < of(&p.groups[least]) {
			least = i
		}
		if of(&p.groups[i]) > of(&p.groups[most]) {
			most = i
		}
	}
	return least, most
}

// addLoad adds what a group's proxies send by the lines of a set's table.
func (p *planner) addLoad(group int, set classPlacement, lines []tableLine, taken map[policyapi.EndpointID]float64) {
	weight, usage := 0.0, 0.0
	for _, l := range lines {
		weight += l.weight
	}
	for _, f := range p.groups[group].proxies {
		for k, u := range f.rates {
			if set.mask&(1<<k) != 0 {
				usage += u
			}
		}
	}
	for _, l := range lines {
		p.endpointLoad[l.endpoint][group] += usage * l.weight / weight
		if set.restricted() {
			taken[l.endpoint] += usage * l.weight / weight
		}
	}
}

// heaviest keeps as many lines as a table may have.
func heaviest(lines []tableLine, most int) []tableLine {
	if len(lines) <= max(1, most) {
		return lines
	}
	slices.SortStableFunc(lines, func(a, b tableLine) int { return cmp.Compare(b.weight, a.weight) })
	return lines[:max(1, most)]
}

// maxTableLines is how many lines a table may have so that all of a proxy's tables fit into the queue together.
func maxTableLines(queueCap, envelope float64, sets, kinds int) int {
	return int((bindShare*queueCap-envelope-float64(kinds)-1)/float64(sets)) - kinds - 3
}

// decayStep is the seconds that a count stands for that comes now, the last one having come at the time given,
// and how far a mean goes with it to the new value: half way each round.
func decayStep(now, last micros, span float64) (seconds, way float64) {
	if seconds = max(span, float64(now-last)/float64(second)); last == 0 {
		seconds = span
	}
	return seconds, 1 - math.Pow(0.5, seconds/span)
}
