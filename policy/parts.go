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
	beatToken  policyapi.TimerToken = 1
	listToken  policyapi.TimerToken = 2
	retryToken policyapi.TimerToken = 3
)

// Notes between the parts; events are notes too.
type (
	note any
	wake struct{} // ask for the list
	beat struct { // a round is over
		span   float64 // seconds since the last with reports, 0: none came
		silent micros  // what was not heard for longer has had no tries
	}
	batchEnd struct{} // all events have been taken: the registry tells, then the planner plans

	lost     struct{ id policyapi.EndpointID } // long gone: nothing is kept of it
	settled  struct{}                          // a list newer than the saved one has come
	roundEnd struct {                          // planner to a backend: judge what you heard
		expect        []float64 // tries that its lines should have brought, by zone of the proxies
		errored, span float64   // part of all tries that erred; seconds
		silent        micros    // as in beat
		all           bool      // every known proxy is joined: what is heard is all there is
	}
	view struct { // a backend to the planner: how it stands
		backend     // a copy
		box         *inbox
		ready       bool
		heard       bool // of late
		zone        int
		share       float64 // part of its usual work that it may get: cold, or back from trouble
		sick        []bool  // by zone of the proxies
		worth, room float64 // the planner's: reqs a second when warm, and of that now
		urgent      bool
	}
	proxyUsage struct { // a proxy and its usage, reqs a second, by request kind and in all
		proxy         policyapi.ProxyID
		zone          int
		usage, round  []float64 // round: reqs heard of in this round
		at            []micros  // until when they are counted
		total         float64
		joined, known bool
	}
	demand struct { // proxyRegistry to the planner: the joined proxies
		flows       []*proxyUsage
		all, urgent bool
	}
	line struct {
		backend policyapi.EndpointID
		weight  float64
	}
	targetState struct { // planner to the channel: how the proxies should stand
		tables map[groupID][]tablePlan // of each planned group, by set of kinds; a group that is missing is not planned
		homes  map[policyapi.ProxyID]groupID
		ready  map[policyapi.EndpointID]bool // may be offered; what else a table still holds is withdrawn
		admits []policyapi.SetAdmission
		urgent bool
	}
	heldGroups struct{ groups map[groupID]bool } // channel to the planner: a proxy is bound to these groups' tables
	retry      struct{}                          // the time has come to try again what was owed and did not go out
)

// groupID names a group of endpoints, also after the zones have been divided anew.
type groupID int

// tablePlan is what a table should hold: without lines it is to be empty.
type tablePlan struct {
	lines []line
	guard float64 // what each proxy may let in of each kind
}

type inbox struct{ notes []note }

func (b *inbox) put(n note) { b.notes = append(b.notes, n) }

func (b *inbox) empty() []note {
	notes := b.notes
	b.notes = nil
	return notes
}

type part interface {
	put(n note)
	empty() []note
	take(now micros, n note)
}

// outbox gathers the orders of one Take.
type outbox struct{ orders []policyapi.Order }

func (o *outbox) add(order policyapi.Order) { o.orders = append(o.orders, order) }

func (o *outbox) log(format string, args ...any) {
	o.add(policyapi.Log{Text: fmt.Sprintf(format, args...)})
}

// Instance is one coordinator's decisions.
type Instance struct {
	out           *outbox
	endpoints     *endpointList
	proxies       *proxyRegistry
	planner       *planner
	parts         []part
	period, round micros  // of the reports; when the last round with reports ended
	lines         int     // of reports, this round
	intake        float64 // lines a second at most
	longest       micros  // period of a line this round
	awake         bool
}

// New starts an instance.
func New(up policyapi.Start) *Instance {
	out, r, period := &outbox{}, up.Rules, max(up.Reports.Period, shortest)
	var target micros
	for _, k := range up.Classes {
		target += k.LatencyObjective / micros(len(up.Classes))
	}
	ch := newChannel(out, r.QueueLimit, up.Channel.MessageOverhead, r.MessageLimit, r.MessageWindow, period, r.DrainGracePeriod)
	pl := newPlanner(out, ch, up.Zones, up.Classes, up.Admission, max(1, up.InstanceCount), up.ProxyCount, up.Channel.EndpointConnections,
		max(1, up.Reports.MaxLinesPerSecond), r.OverloadFactor, period, savedListHolds(period, r.DrainGracePeriod))
	ch.tellHeld = pl.put
	roll := newEndpointList(out, pl, up.PollsList, up.Seed, func(id policyapi.EndpointID) *backend {
		return newBackend(id, out, pl, up.Zones, r.WarmUp, r.InitialCapacity, r.HealthChecksAllowed, r.SoftRemoval, target, period)
	})
	book := newProxyRegistry(pl, up.Zones, len(up.Classes))
	return &Instance{out: out, endpoints: roll, proxies: book, planner: pl, period: period, intake: up.Reports.MaxLinesPerSecond,
		parts: []part{roll, book, pl, ch}}
}

// Step tells the instance what has happened by now and returns what it wants done.
func (in *Instance) Step(now micros, events []policyapi.Event) []policyapi.Order {
	in.out.orders = nil
	if !in.awake {
		in.awake = true
		in.deliver(wake{})
		in.deliver(in.onTimer(now, beatToken))
	}
	for _, ev := range events {
		switch e := ev.(type) {
		case policyapi.EndpointLoad:
			in.lines, in.longest = in.lines+1, max(in.longest, e.Period)
		case policyapi.ProxyLoad:
			in.lines, in.longest = in.lines+1, max(in.longest, e.Period)
		case policyapi.TimerFired:
			in.deliver(in.onTimer(now, e.Token))
			continue
		}
		in.deliver(ev)
	}
	in.run(now)
	for _, p := range []part{in.proxies, in.planner} {
		p.put(batchEnd{})
		in.run(now)
	}
	return in.out.orders
}

// onTimer is what a timer means to the parts.
func (in *Instance) onTimer(now micros, token policyapi.TimerToken) note {
	switch token {
	case beatToken:
		in.out.add(policyapi.SetTimer{After: in.period, Token: beatToken})
		return in.beat(now)
	case retryToken:
		return retry{}
	default:
		return wake{}
	}
}

// deliver puts a note into the inboxes of all parts.
func (in *Instance) deliver(n note) {
	for _, p := range in.parts {
		p.put(n)
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
	b := State{Proxies: len(ch.streams), QueuedLines: ch.waiting(ch.lastAt), Demand: sum(pl.asked), FleetSpeed: pl.pace, Utilization: pl.use, AdmittedRate: pl.letIn,
		EndpointActors: len(in.endpoints.order), Tables: len(ch.replicas) * len(ch.masks)}
	for _, s := range ch.streams {
		b.UnacknowledgedMessages += len(s.unacknowledged)
	}
	for _, v := range pl.views {
		if !v.ready {
			continue
		}
		b.Ready, b.Served, b.QueuedRequests = b.Ready+1, b.Served+v.served, b.QueuedRequests+int(v.queue)
		if slices.Contains(v.sick, true) {
			b.Ejected++
		}
		if v.share < 1 {
			b.WarmingUp++
		}
		if v.limit > 0 {
			b.CapacityLimited++
		}
	}
	for _, c := range pl.groups {
		if c.group == pl.perZone {
			b.Capacity += c.room
		}
	}
	return b
}

// run empties the inboxes, round after round, until none has a note.
func (in *Instance) run(now micros) {
	for busy := true; busy; {
		busy = false
		parts := in.parts
		for _, b := range in.endpoints.order {
			parts = append(parts, b)
		}
		for _, p := range parts {
			for _, n := range p.empty() {
				busy = true
				p.take(now, n)
			}
		}
	}
}

// hist is a small histogram over 0 to 1 and above: by coarse bin a weight and a sum, halved when full.
type hist [4]struct{ n, sum float64 }

func (h *hist) add(at, n, sum, full float64) {
	bin := &h[min(3, int(4*at))]
	bin.n, bin.sum = bin.n+n, bin.sum+sum
	if all, _ := h.total(); all > full {
		for i := range h {
			h[i].n, h[i].sum = h[i].n/2, h[i].sum/2
		}
	}
}

func (h *hist) total() (n, sum float64) {
	for _, bin := range h {
		n, sum = n+bin.n, sum+bin.sum
	}
	return n, sum
}

// endpointList follows the list and keeps the actors, in the order in which they were first listed.
type endpointList struct {
	inbox
	out         *outbox
	planner     *planner
	ask         bool // the list answers only when asked
	seed, draws uint64
	fails       int
	actor       func(policyapi.EndpointID) *backend
	actors      map[policyapi.EndpointID]*backend
	order       []*backend
	left        map[policyapi.EndpointID]micros // since when it is gone
}

func newEndpointList(out *outbox, p *planner, ask bool, seed uint64, actor func(policyapi.EndpointID) *backend) *endpointList {
	return &endpointList{out: out, planner: p, ask: ask, seed: seed, actor: actor, actors: map[policyapi.EndpointID]*backend{},
		left: map[policyapi.EndpointID]micros{}}
}

func (r *endpointList) take(now micros, n note) {
	switch n := n.(type) {
	case beat:
		r.forget(now)
	case wake:
		if r.ask {
			r.out.add(policyapi.WatchEndpoints{Enabled: true})
		}
	case policyapi.EndpointLoad:
		r.pass(n.Endpoint, n)
	case policyapi.HealthCheckResult:
		r.pass(n.Endpoint, n)
	case policyapi.EndpointUpdate:
		r.follow(now, n)
	}
}

func (r *endpointList) follow(now micros, list policyapi.EndpointUpdate) {
	if list.Kind == policyapi.Failed {
		r.again()
		return
	}
	if r.fails = 0; list.Kind != policyapi.Cached {
		r.planner.put(settled{})
	}
	seen := map[policyapi.EndpointID]bool{}
	for _, e := range list.Endpoints {
		if seen[e.ID] = true; r.actors[e.ID] == nil && e.Status != policyapi.Removed {
			b := r.actor(e.ID)
			r.actors[e.ID], r.order = b, append(r.order, b)
		}
		r.pass(e.ID, e)
		r.leave(now, e.ID, e.Status == policyapi.Removed)
	}
	for _, b := range r.order {
		if list.Kind != policyapi.Delta && !seen[b.id] {
			r.leave(now, b.id, true)
			b.put(policyapi.Endpoint{ID: b.id, Zone: b.entry.Zone, Weight: b.entry.Weight, Status: policyapi.Removed})
		}
	}
}

// leave notes since when a backend is gone, or that it is not.
func (r *endpointList) leave(now micros, id policyapi.EndpointID, gone bool) {
	if _, has := r.left[id]; !gone {
		delete(r.left, id)
	} else if !has && r.actors[id] != nil {
		r.left[id] = now
	}
}

// forget drops the actors of those long gone: under ever new names they would pile up. One that only the list has dropped
// may still stand in tables and stays.
func (r *endpointList) forget(now micros) {
	for _, b := range slices.Clone(r.order) {
		if at, gone := r.left[b.id]; gone && now-at > forgotten && !b.stray {
			delete(r.left, b.id)
			delete(r.actors, b.id)
			r.order = slices.DeleteFunc(r.order, func(other *backend) bool { return other == b })
			b.put(lost{b.id})
		}
	}
}

// chance draws from 0 to under 1.
func (r *endpointList) chance() float64 {
	r.draws++
	key := binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(nil, r.seed), r.draws)
	return float64(crc32.ChecksumIEEE(key)) / (1 << 32)
}

func (r *endpointList) pass(id policyapi.EndpointID, n note) {
	if b := r.actors[id]; b != nil {
		b.put(n)
	}
}

// backend is the actor of one backend: what is known of it and how it is judged.
type backend struct {
	inbox
	id                   policyapi.EndpointID
	out                  *outbox
	planner              *planner
	zones                []policyapi.Zone
	cold, target, period micros
	coldFrom             float64
	probes, soft         bool // soft: gone alone does not bind
	stray                bool // dropped from the list without a drain
	lost                 bool // forgotten
	entry                policyapi.Endpoint
	byZone               []zoneHealth
	loads                policyapi.LoadMetrics // as told this round
	speed                hist                  // by busy share: busy seconds and done reqs
	heardAt              micros
	used                 float64 // busy share, smoothed
	told                 bool    // it tells its rate
	did, busy            float64 // the last round's reqs a second and busy share, if both are known
	served, foreign      float64 // reqs a second: done for own proxies, load of other controllers'
	queue                float64 // reqs waiting, by its own word
	answer               float64 // mean answer time
	limit                float64 // reqs a second; 0: no capacity limit
	slow                 int     // slow reports in a row
	backAt, wellAt       micros  // when it last came back from trouble, when a probe last went well
}

// zoneHealth is what the proxies of one zone see of a backend.
type zoneHealth struct {
	tries, errored, answer float64 // this round
	served, newest         float64 // reqs a second done, and in the newest report
	at                     micros  // until when they are counted
	against                float64 // tries, or tries missed, since one was done
	sick                   bool
	retryAt, backoff       micros
}

func newBackend(id policyapi.EndpointID, out *outbox, p *planner, zones []policyapi.Zone, cold micros,
	coldFrom float64, probes, soft bool, target, period micros) *backend {
	return &backend{id: id, out: out, planner: p, zones: zones, cold: cold, coldFrom: coldFrom, probes: probes, soft: soft,
		target: target, period: period, byZone: make([]zoneHealth, len(zones))}
}

func (b *backend) take(now micros, n note) {
	switch n := n.(type) {
	case policyapi.Endpoint:
		b.listed(n)
		b.tell(now, true)
	case policyapi.EndpointLoad:
		if z := slices.Index(b.zones, n.Zone); z >= 0 {
			s := &b.byZone[z]
			s.tries += float64(n.Attempts)
			s.errored += float64(n.Failures)
			s.answer += float64(n.Attempts-n.Failures) * float64(n.MeanLatency)
			if n.Metrics != nil {
				b.loads = n.Metrics
			}
		}
	case policyapi.HealthCheckResult:
		if n.Healthy {
			b.wellAt = now
		}
	case lost:
		b.lost = true
		b.planner.put(n)
	case roundEnd:
		b.tell(now, b.judge(now, n))
	}
}

func (b *backend) tell(now micros, urgent bool) {
	if b.lost {
		return // what it had in its inbox must not bring it back
	}
	v := view{backend: *b, box: &b.inbox, zone: slices.Index(b.zones, b.entry.Zone),
		ready: b.entry.Status == policyapi.Ready, heard: now-b.heardAt < lately, share: b.share(now), urgent: urgent}
	for _, s := range b.byZone {
		v.sick = append(v.sick, s.sick)
	}
	b.planner.put(v)
}

// proxyRegistry keeps the proxies and what comes to them.
type proxyRegistry struct {
	inbox
	planner *planner
	zones   []policyapi.Zone
	kinds   int
	flows   map[policyapi.ProxyID]*proxyUsage
	due     bool // there is something to tell the planner
	urgent  bool
}

func newProxyRegistry(p *planner, zones []policyapi.Zone, kinds int) *proxyRegistry {
	return &proxyRegistry{planner: p, zones: zones, kinds: kinds, flows: map[policyapi.ProxyID]*proxyUsage{}}
}

func (k *proxyRegistry) take(now micros, n note) {
	switch n := n.(type) {
	case policyapi.ProxyConnected:
		f := k.flows[n.Proxy]
		if f == nil {
			f = &proxyUsage{proxy: n.Proxy, usage: make([]float64, k.kinds)}
			k.flows[n.Proxy] = f
		}
		f.joined, f.zone, f.round = true, slices.Index(k.zones, n.Zone), make([]float64, k.kinds)
		f.at = slices.Repeat([]micros{now}, k.kinds)
		for i := range f.usage {
			if !f.known {
				f.usage[i] = n.Weight / float64(k.kinds)
			}
		}
		k.due, k.urgent = true, true
	case policyapi.ProxyDisconnected:
		if f := k.flows[n.Proxy]; f != nil {
			f.joined, k.due = false, true
		}
	case policyapi.ProxyLoad:
		if f := k.flows[n.Proxy]; f != nil && f.joined && n.Class >= 0 && int(n.Class) < k.kinds {
			f.round[n.Class] += float64(n.Requests)
		}
	case beat:
		for _, f := range k.flows {
			if n.span > 0 {
				f.count(now, n)
			}
		}
		k.due = true
	case batchEnd:
		if k.due {
			k.tell()
		}
	}
}

func (k *proxyRegistry) tell() {
	d, here, away := demand{urgent: k.urgent}, 0.0, 0.0
	k.due, k.urgent = false, false
	for _, id := range slices.Sorted(maps.Keys(k.flows)) {
		f := *k.flows[id] // a copy
		if f.usage, f.total = slices.Clone(f.usage), sum(f.usage); !f.joined {
			away += f.total
		} else if here += f.total; f.zone >= 0 {
			d.flows = append(d.flows, &f)
		}
	}
	d.all = away <= few*here
	k.planner.put(d)
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
	inbox
	out         *outbox
	channel     *channel
	zones       []policyapi.Zone
	kinds       []policyapi.ClassSettings
	levels      policyapi.AdmissionMode
	sets        []kindSet
	views       map[policyapi.EndpointID]view
	flows       []*proxyUsage
	instances   int
	intake      float64                            // report lines a second
	mean        float64                            // a backend\'s worth
	proxies     int                                // of all controllers
	tip         float64                            // the multiple of its capacity that a cold backend can bear
	sockets     int                                // connections that the smallest backend takes
	founded     int                                // backends when the groups were made
	perZone     int                                // in a zone; one more stands for all of it
	groups      []group                            // the groups, by zone
	member      map[policyapi.EndpointID]int       // its group
	homes       map[policyapi.ProxyID]int          // its group
	moved       map[policyapi.ProxyID]float64      // when it was last moved
	clock       float64                            // seconds of rounds with reports, from 100 on: nobody has been moved yet
	asked       []float64                          // reqs a second, by zone of the proxies
	loads       map[policyapi.EndpointID][]float64 // reqs a second it should get, by group
	tries       []float64                          // heard this round, by zone of the proxies
	blind       []bool                             // by zone: sick marks are passed over
	errored     float64                            // tries of this round
	pace        float64                            // what the fleet does now against the speeds learned one by one
	strain      float64                            // use without what levels turn away
	use, erring float64                            // the fleet's load over its room, the part of its tries that err
	letIn       float64                            // published: reqs a second in all; 0: open
	held        map[groupID]bool                   // groups whose tables proxies are bound to
	retired     []group                            // of earlier divisions: proxies are still bound to their tables
	groupsMade  groupID                            // how many have been named so far
	linesMost   int                                // of a table: more would not fit into the queue with the others of its proxy
	period      micros                             // of the reports, and so of beats
	savedHolds  micros                             // how long a saved list may wait for a newer one
	startedAt   micros                             // when the first note came
	started     bool                               // it has come
	settled     bool                               // a list newer than the saved one has come
	all         bool                               // every known proxy is joined
	due, urgent bool
	known       bool // a speed has been learned since the start
	fresh       bool // a round has ended since the last plan
}

// kindSet is the request kinds that may go to the same zones; each has a table for each zone's proxies.
type kindSet struct {
	mask policyapi.ClassSet
	only []policyapi.Zone
	own  bool
}

// serves tells whether the kinds may go to a zone.
func (s kindSet) serves(z policyapi.Zone) bool { return len(s.only) == 0 || slices.Contains(s.only, z) }

// bound tells whether the kinds may not go everywhere.
func (s kindSet) bound() bool { return s.own || len(s.only) > 0 }

// setsOf puts kinds that may go to the same zones together: each set has tables of its own, bound ones first.
func setsOf(kinds []policyapi.ClassSettings) (sets []kindSet) {
	for _, bound := range []bool{true, false} {
		for k, kind := range kinds {
			set := kindSet{1 << k, kind.AllowedZones, kind.LocalZoneOnly}
			same := func(s kindSet) bool { return s.own == set.own && slices.Equal(s.only, set.only) }
			if i := slices.IndexFunc(sets, same); i >= 0 {
				sets[i].mask |= set.mask
			} else if set.bound() == bound {
				sets = append(sets, set)
			}
		}
	}
	return sets
}

func newPlanner(out *outbox, ch *channel, zones []policyapi.Zone, kinds []policyapi.ClassSettings,
	levels policyapi.AdmissionMode, instances, proxies, sockets int, intake, tip float64, period, savedHolds micros) *planner {
	p := &planner{out: out, channel: ch, zones: zones, kinds: kinds, levels: levels, sets: setsOf(kinds), period: period, savedHolds: savedHolds, pace: 1,
		instances: instances, proxies: proxies, sockets: sockets, intake: intake, tip: tip, member: map[policyapi.EndpointID]int{},
		homes: map[policyapi.ProxyID]int{}, moved: map[policyapi.ProxyID]float64{}, clock: 100, asked: make([]float64, len(zones)),
		views: map[policyapi.EndpointID]view{}, tries: make([]float64, len(zones)), blind: make([]bool, len(zones))}
	for _, set := range p.sets {
		ch.masks = append(ch.masks, set.mask)
	}
	p.linesMost = linesMost(ch.queueCap, ch.envelope, len(p.sets), len(kinds))
	return p
}

func (p *planner) take(now micros, n note) {
	if !p.started {
		if p.started, p.startedAt = true, now; p.savedHolds < p.period { // sooner than the next beat
			p.out.add(policyapi.SetTimer{After: p.savedHolds, Token: retryToken})
		}
	}
	switch n := n.(type) {
	case view:
		p.views[n.id], p.due, p.urgent = n, true, p.urgent || n.urgent
	case demand:
		p.flows, p.all, p.due, p.urgent = n.flows, n.all, true, p.urgent || n.urgent
	case policyapi.EndpointLoad:
		if z := slices.Index(p.zones, n.Zone); z >= 0 {
			p.tries[z] += float64(n.Attempts)
			p.errored += float64(n.Failures)
		}
	case lost:
		delete(p.views, n.id)
		delete(p.member, n.id)
	case settled:
		p.due, p.settled = p.due || !p.settled, true
	case heldGroups:
		p.held = n.groups
	case beat:
		if n.span > 0 {
			p.clock += n.span
			p.endRound(n)
		}
	case batchEnd:
		if p.due && p.believes(now) {
			p.plan()
			p.due, p.urgent = false, false
		}
	}
}

// group is a group of a zone's backends and the proxies bound to it.
type group struct {
	id          groupID
	zone, group int     // group p.groups is all of the zone
	worth, room float64 // of its usable backends
	load        float64 // usage of its proxies
	price       float64
	flows       []*proxyUsage
}

// wholeZone is the group of all of a zone.
func (p *planner) wholeZone(z int) *group { return &p.groups[(z+1)*(p.perZone+1)-1] }

// extremes finds the groups of a zone, but for the whole, of which something is the least and the most.
func (p *planner) extremes(z int, of func(c *group) float64) (least, most int) {
	first := z * (p.perZone + 1)
	least, most = first, first
	for i := first; i < first+p.perZone; i++ {
		if of(&p.groups[i]) < of(&p.groups[least]) {
			least = i
		}
		if of(&p.groups[i]) > of(&p.groups[most]) {
			most = i
		}
	}
	return least, most
}

// load adds what a group's proxies send by the lines of a set's table.
func (p *planner) load(group int, set kindSet, lines []line, taken map[policyapi.EndpointID]float64) {
	weight, usage := 0.0, 0.0
	for _, l := range lines {
		weight += l.weight
	}
	for _, f := range p.groups[group].flows {
		for k, u := range f.usage {
			if set.mask&(1<<k) != 0 {
				usage += u
			}
		}
	}
	for _, l := range lines {
		p.loads[l.backend][group] += usage * l.weight / weight
		if set.bound() {
			taken[l.backend] += usage * l.weight / weight
		}
	}
}

// heaviest keeps as many lines as a table may have.
func heaviest(lines []line, most int) []line {
	if len(lines) <= max(1, most) {
		return lines
	}
	slices.SortStableFunc(lines, func(a, b line) int { return cmp.Compare(b.weight, a.weight) })
	return lines[:max(1, most)]
}

// linesMost is how many lines a table may have so that all of a proxy's tables fit into the queue together.
func linesMost(queueCap, envelope float64, sets, kinds int) int {
	return int((bindPart*queueCap-envelope-float64(kinds)-1)/float64(sets)) - kinds - 3
}

// since is the seconds that a count stands for that comes now, the last one having come at the time given,
// and how far a mean goes with it to the new value: half way each round.
func since(now, last micros, span float64) (seconds, way float64) {
	if seconds = max(span, float64(now-last)/float64(second)); last == 0 {
		seconds = span
	}
	return seconds, 1 - math.Pow(0.5, seconds/span)
}
