// Package choice holds every decision of porthub. Its interface is package control (control/control.go).
// A host calls New with the start settings, then Take with each batch of events at the batch's time, and carries
// out the orders that Take returns. An Instance keeps its state to itself and reads no clock but that argument.
// Its parts talk only by notes in inboxes: roll follows the list, a backend actor stands for each backend, book
// keeps the proxies and their usage, planner decides tables, prices and levels, channel sends what has changed.
package choice

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"maps"
	"slices"

	"porthub/control"
)

type micros = control.Micros

const (
	second    micros        = 1_000_000
	beatToken control.Token = 1
	listToken control.Token = 2
)

type note any

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
type outbox struct{ orders []control.Order }

func (o *outbox) add(order ...control.Order) { o.orders = append(o.orders, order...) }

func (o *outbox) log(format string, args ...any) {
	o.add(control.Log{Text: fmt.Sprintf(format, args...)})
}

// Notes between the parts; events are notes too.
type (
	wake     struct{}               // ask for the list
	beat     struct{ span float64 } // a round is over; seconds since the last with reports, 0: none came
	think    struct{ urgent bool }
	planNow  struct{}
	settled  struct{}
	roundEnd struct { // planner to a backend: judge what you heard
		expect  []float64 // tries that its lines should have brought, by zone of the proxies
		errored float64   // part of all tries that erred
		span    float64   // seconds
		all     bool      // every known proxy is joined: what is heard is all there is
	}
	view struct { // a backend to the planner: how it stands
		*backend
		ready          bool
		zone           int
		share          float64 // part of its usual work that it may get: cold, or back from trouble
		served, worked float64 // done reqs and busy seconds; their ratio is its speed
		did, busy      float64 // reqs a second and busy share of the last round, if both are known
		limit, foreign float64 // reqs a second: capacity limit, 0 for none; load of other controllers' proxies
		sick           []bool  // by zone of the proxies
		speed, room    float64 // the planner's: reqs a second when warm, and of that now
	}
	flow struct { // a joined proxy and its usage by request kind and in all
		proxy control.Proxy
		zone  int
		usage []float64
		total float64
	}
	demand struct { // book to the planner
		flows []flow
		all   bool
	}
	line struct {
		backend control.Backend
		weight  float64
	}
	want struct { // planner to the channel: how the proxies should stand
		lines  [][]line // by table
		binds  map[control.Proxy][]control.Table
		admits []control.Admit
		urgent bool
	}
)

// Instance is one coordinator's decisions.
type Instance struct {
	out          *outbox
	period       micros
	roll         *roll
	parts        []part
	heard, awake bool
	round        micros // when the last round with reports ended
}

// New starts an instance.
func New(up control.Up) *Instance {
	out, period := &outbox{}, max(up.Reports.Period, second/10)
	var target micros
	for _, k := range up.Kinds {
		target += k.ResponseTarget / micros(len(up.Kinds))
	}
	r := up.Rules
	ch := newChannel(out, r.QueueCap, up.Channel.Envelope, r.MessageCap, r.MessageSpan, period)
	pl := newPlanner(out, ch, up.Zones, up.Kinds, up.Levels)
	roll := newRoll(out, pl, up.MustAsk, up.Seed, func(id control.Backend) *backend {
		return newBackend(id, out, pl, up.Zones, r.Cold, r.ColdFrom, r.ProbeAllowed, target, period)
	})
	return &Instance{out: out, period: period, roll: roll,
		parts: []part{roll, newBook(pl, up.Zones, len(up.Kinds)), pl, ch}}
}

// Take tells the instance what has happened by now and returns what it wants done.
func (in *Instance) Take(now micros, events []control.Event) []control.Order {
	in.out.orders = nil
	if !in.awake {
		in.awake = true
		in.out.add(control.Sleep{After: in.period, Token: beatToken})
		in.roll.put(wake{})
	}
	for _, ev := range events {
		switch e := ev.(type) {
		case control.Heard, control.Usage:
			in.heard = true
		case control.Ring:
			ev = wake{}
			if e.Token == beatToken {
				in.out.add(control.Sleep{After: in.period, Token: beatToken})
				b := beat{}
				if in.heard {
					b.span = float64(now-max(in.round, now-4*in.period)) / float64(second)
					in.round, in.heard = now, false
				}
				ev = b
			}
		}
		for _, p := range in.parts {
			p.put(ev)
		}
	}
	for busy := true; busy; {
		busy = false
		parts := in.parts
		for _, b := range in.roll.order {
			parts = append(parts, b)
		}
		for _, p := range parts {
			for _, n := range p.empty() {
				busy = true
				p.take(now, n)
			}
		}
	}
	return in.out.orders
}

// hist is a small histogram of coarse bins, each with a weight and a sum; halved when full.
type hist struct{ edges, n, sum []float64 }

func newHist(edges ...float64) hist {
	return hist{edges, make([]float64, len(edges)+1), make([]float64, len(edges)+1)}
}

func (h *hist) add(at, n, sum, full float64) {
	i, _ := slices.BinarySearch(h.edges, at)
	h.n[i] += n
	h.sum[i] += sum
	if all, _ := h.total(); all > full {
		for i := range h.n {
			h.n[i] /= 2
			h.sum[i] /= 2
		}
	}
}

func (h *hist) total() (n, sum float64) {
	for i := range h.n {
		n += h.n[i]
		sum += h.sum[i]
	}
	return n, sum
}

// roll follows the list and keeps the actors, in the order in which they were first listed.
type roll struct {
	inbox
	out         *outbox
	planner     *planner
	ask         bool // the list answers only when asked
	seed, draws uint64
	fails       int
	actor       func(control.Backend) *backend
	actors      map[control.Backend]*backend
	order       []*backend
}

func newRoll(out *outbox, p *planner, ask bool, seed uint64, actor func(control.Backend) *backend) *roll {
	return &roll{out: out, planner: p, ask: ask, seed: seed, actor: actor, actors: map[control.Backend]*backend{}}
}

// chance draws from 0 to under 1.
func (r *roll) chance() float64 {
	r.draws++
	key := binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(nil, r.seed), r.draws)
	return float64(crc32.ChecksumIEEE(key)) / (1 << 32)
}

func (r *roll) take(_ micros, n note) {
	switch n := n.(type) {
	case wake:
		if r.ask {
			r.out.add(control.Watch{On: true})
		}
	case control.Heard:
		if b := r.actors[n.Backend]; b != nil {
			b.put(n)
		}
	case control.Probed:
		if b := r.actors[n.Backend]; b != nil {
			b.put(n)
		}
	case control.List:
		r.update(n)
	}
}

func (r *roll) update(list control.List) {
	if list.How == control.ListFailed {
		// One service answers all coordinators: ask again later each time, and not in step with the others.
		r.fails = min(r.fails+1, 4)
		after := micros(float64(second) * float64(r.fails) * (0.25 + 0.5*r.chance()))
		r.out.add(control.Sleep{After: after, Token: listToken})
		return
	}
	if r.fails = 0; list.How != control.ListSaved {
		r.planner.put(settled{})
	}
	seen := map[control.Backend]bool{}
	for _, e := range list.Entries {
		seen[e.Backend] = true
		if r.actors[e.Backend] == nil {
			if e.Status == control.Gone {
				continue
			}
			r.actors[e.Backend] = r.actor(e.Backend)
			r.order = append(r.order, r.actors[e.Backend])
		}
		r.actors[e.Backend].put(e)
	}
	for _, b := range r.order {
		if list.How != control.ListChanges && !seen[b.id] {
			b.put(control.Entry{Backend: b.id, Zone: b.entry.Zone, Weight: b.entry.Weight, Status: control.Gone})
		}
	}
}

// backend is the actor of one backend: what is known of it and how it is judged.
type backend struct {
	inbox
	id                   control.Backend
	out                  *outbox
	planner              *planner
	zones                []control.Zone
	cold, target, period micros
	coldFrom             float64
	probes               bool
	entry                control.Entry
	speed                hist // by busy share: busy seconds and done reqs
	loads                control.Loads
	served               float64 // done reqs a second of own proxies
	did, busy            float64 // the last round's reqs a second and busy share, if both are known
	answer               float64 // mean answer time, smoothed
	foreign              float64 // load of other controllers' proxies
	limit                float64
	slow                 int // slow reports in a row
	seats                []seat
	backAt               micros // when it last came back from trouble; 0: never
	wellAt               micros // when a probe last went well
}

// seat is what the proxies of one zone see of a backend.
type seat struct {
	tries, errored, answer float64 // this round
	against                float64 // tries, or tries missed, since one was done
	sick                   bool
	retryAt, backoff       micros
}

func newBackend(id control.Backend, out *outbox, p *planner, zones []control.Zone, cold micros,
	coldFrom float64, probes bool, target, period micros) *backend {
	return &backend{id: id, out: out, planner: p, zones: zones, cold: cold, coldFrom: coldFrom, probes: probes,
		target: target, period: period, speed: newHist(0.5, 0.8, 0.95), seats: make([]seat, len(zones))}
}

func (b *backend) take(now micros, n note) {
	switch n := n.(type) {
	case control.Entry:
		if n.Launched > b.entry.Launched {
			// A new process: what was held against the old one, or learned while it failed, is void.
			b.limit, b.slow, b.backAt, b.seats = 0, 0, 0, make([]seat, len(b.zones))
		}
		b.entry = n
		b.tell(now)
		b.planner.put(think{urgent: true})
	case control.Heard:
		if z := slices.Index(b.zones, n.Zone); z >= 0 {
			s := &b.seats[z]
			s.tries += float64(n.Tries)
			s.errored += float64(n.Errored)
			s.answer += float64(n.Tries-n.Errored) * float64(n.Answer)
			if n.Loads != nil {
				b.loads = n.Loads
			}
		}
	case control.Probed:
		if n.OK {
			b.wellAt = now
		}
	case roundEnd:
		b.judge(now, n)
		b.tell(now)
	}
}

// judge closes a round of reports.
func (b *backend) judge(now micros, end roundEnd) {
	var all seat
	for z := range b.seats {
		s := &b.seats[z]
		all.tries += s.tries
		all.errored += s.errored
		all.answer += s.answer
		b.judgeSeat(now, z, s, end.expect[z], end.errored)
		s.tries, s.errored, s.answer = 0, 0, 0
	}
	done := (all.tries - all.errored) / end.span
	b.did, b.busy = 0, 0
	b.served += 0.5 * (done - b.served)
	busy, hasBusy := b.loads["busy"]
	if rate, told := b.loads["rate"]; told || end.all {
		if told {
			done = rate // from all proxies, as busy is
		}
		if busy > 0.05 && b.warmth(now) == 1 {
			// Learned only warm and while all its load is known: else it would pass for slow for long.
			b.speed.add(busy, busy*end.span, done*end.span, 12)
			b.did, b.busy = done, busy
		}
	}
	if all.tries > all.errored {
		b.answer += 0.5 * (all.answer/(all.tries-all.errored) - b.answer)
	}
	b.capacity(all, !hasBusy || busy > 0.85)
	if rate, told := b.loads["rate"]; told {
		b.foreign = max(0, rate-b.served)
	}
	b.loads = nil
}

// capacity keeps the design's rule: no limit until slow for three reports, then what it served, raised as it serves
// more. Ours: it is slow only if its answers and its own word agree, so that neither a few dear reqs nor a false
// report of being full drag the levels down; and the limit grows with each report that is not slow, and ends above
// its speed, so that a passing slowness or a cold start leaves no lasting low capacity.
func (b *backend) capacity(all seat, busy bool) {
	done := all.tries - all.errored
	if all.tries >= 3 && busy && (all.errored > 0.3*all.tries || all.answer > 0.6*done*float64(b.target)) {
		if b.slow++; b.slow >= 3 && b.limit == 0 {
			b.limit = b.served
		}
	} else {
		b.slow = 0
		b.limit *= 1.05
	}
	if b.limit > 0 {
		b.limit = max(b.limit, b.served)
	}
	if worked, served := b.speed.total(); b.limit > 1.3*served/max(worked, 1) {
		b.limit = 0
	}
}

// judgeSeat finds a backend that answers a zone's proxies nothing at all, be it by errors or by silence where its
// lines should have brought tries. One that is merely full still answers some and stays: taking full backends out
// pushes the others over. It is tried again later and later, where probes are allowed only after one went well.
func (b *backend) judgeSeat(now micros, z int, s *seat, expect, fleet float64) {
	switch {
	case b.entry.Status != control.Ready || s.sick && now < s.retryAt:
	case s.sick && b.probes && b.wellAt < s.retryAt:
		b.out.add(control.Probe{Backend: b.id})
		s.retryAt = now
	case s.sick:
		s.sick, s.against, b.backAt = false, 2, now
	case s.tries > s.errored:
		s.against = 0
		if b.share(now) >= 1 {
			s.backoff = 0
		}
	default:
		s.against += max(s.tries, expect)
		if s.against > 12/((1.01-fleet)*(1.01-fleet)) { // by chance under 1 in 400; more where all err
			s.sick, s.backoff = true, min(max(2*second, 2*s.backoff), 8*second)
			s.retryAt = now + s.backoff
			b.out.log("%s sick from %s: of about %.0f tries in a row none was done", b.id, b.zones[z], s.against)
			b.planner.put(think{urgent: true})
		}
	}
}

// warmth is the part of its capacity that a backend has by the slowest course the rules allow.
func (b *backend) warmth(now micros) float64 {
	if b.entry.Launched <= 0 || now-b.entry.Launched >= b.cold {
		return 1
	}
	return b.coldFrom + (1-b.coldFrom)*max(0, float64(now-b.entry.Launched)/float64(b.cold))
}

// share is the part of its usual work that it may get now. One that is back from trouble may be a new process of
// which the list has not told yet: it is eased in like a cold one for as long as the list may take.
func (b *backend) share(now micros) float64 {
	s := b.warmth(now)
	if b.backAt > 0 {
		s = min(s, b.coldFrom+(1-b.coldFrom)*float64(now-b.backAt)/float64(6*second))
	}
	return s
}

func (b *backend) tell(now micros) {
	v := view{backend: b, zone: slices.Index(b.zones, b.entry.Zone), ready: b.entry.Status == control.Ready,
		share: b.share(now), did: b.did, busy: b.busy, limit: b.limit, foreign: b.foreign}
	v.worked, v.served = b.speed.total()
	for _, s := range b.seats {
		v.sick = append(v.sick, s.sick)
	}
	b.planner.put(v)
}

// book keeps the proxies and what comes to them.
type book struct {
	inbox
	planner *planner
	zones   []control.Zone
	kinds   int
	proxies map[control.Proxy]*proxy
	mix     []float64 // part of each request kind in all usage
}

type proxy struct {
	joined, known bool
	zone          int
	usage, round  []float64 // by request kind: reqs a second, reqs of this round
}

func newBook(p *planner, zones []control.Zone, kinds int) *book {
	return &book{planner: p, zones: zones, kinds: kinds, proxies: map[control.Proxy]*proxy{},
		mix: slices.Repeat([]float64{1 / float64(max(1, kinds))}, kinds)}
}

func (k *book) take(_ micros, n note) {
	switch n := n.(type) {
	case control.Joined:
		p := k.proxies[n.Proxy]
		if p == nil {
			p = &proxy{usage: make([]float64, k.kinds)}
			k.proxies[n.Proxy] = p
		}
		p.joined, p.zone, p.round = true, slices.Index(k.zones, n.Zone), make([]float64, k.kinds)
		for i := range p.usage {
			if !p.known {
				p.usage[i] = n.Weight * k.mix[i]
			}
		}
		k.tell(true)
	case control.Left:
		if p := k.proxies[n.Proxy]; p != nil {
			p.joined = false
			k.tell(false)
		}
	case control.Usage:
		if p := k.proxies[n.Proxy]; p != nil && p.joined && n.Kind >= 0 && int(n.Kind) < k.kinds {
			p.round[n.Kind] += float64(n.Reqs)
		}
	case beat:
		if n.span > 0 {
			k.close(n.span)
			k.tell(false)
		}
	}
}

// close ends a round: usage goes half way to what came.
func (k *book) close(span float64) {
	sums, all := make([]float64, k.kinds), 0.0
	for _, id := range slices.Sorted(maps.Keys(k.proxies)) {
		if p := k.proxies[id]; p.joined {
			for i := range p.usage {
				p.usage[i] += 0.5 * (p.round[i]/span - p.usage[i])
				p.round[i] = 0
				sums[i] += p.usage[i]
				all += p.usage[i]
			}
			p.known = true
		}
	}
	for i := range sums {
		k.mix[i] = sums[i] / max(all, 1e-9)
	}
}

func (k *book) tell(urgent bool) {
	d := demand{all: true}
	for _, id := range slices.Sorted(maps.Keys(k.proxies)) {
		p := k.proxies[id]
		if d.all = d.all && p.joined; p.joined && p.zone >= 0 {
			d.flows = append(d.flows, flow{id, p.zone, slices.Clone(p.usage), sum(p.usage)})
		}
	}
	k.planner.put(d)
	k.planner.put(think{urgent})
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
	zones       []control.Zone
	kinds       []control.KindSettings
	levels      control.LevelKind
	sets        []kindSet
	views       map[control.Backend]view
	flows       []flow
	all         bool
	parts       map[control.Backend][]float64 // of a zone's tries, by zone of the proxies
	tries       []float64                     // heard this round, by zone of the proxies
	errored     float64
	prices      []float64 // by zone group
	letIn       float64   // published: reqs a second in all; 0: open
	blind       []bool    // by zone: sick marks are passed over
	use, erring float64   // the fleet's load over its room, the part of its tries that err
	pace        float64   // what the fleet does now against the speeds learned
	rounds      int       // rounds with reports so far
	waits       int       // beats to wait for a list newer than the saved one
	due, urgent bool
	fresh       bool // a round has ended since the last plan
}

// kindSet is the request kinds that may go to the same zones; each has a table for each zone's proxies.
type kindSet struct {
	only  []control.Zone
	own   bool
	kinds []int
}

func newPlanner(out *outbox, ch *channel, zones []control.Zone, kinds []control.KindSettings,
	levels control.LevelKind) *planner {
	n := len(zones)
	p := &planner{out: out, channel: ch, zones: zones, kinds: kinds, levels: levels,
		views: map[control.Backend]view{}, tries: make([]float64, n), blind: make([]bool, n), pace: 1, waits: 2,
		prices: slices.Repeat([]float64{1}, n)} // the paper's and the design's start
	for k, kind := range kinds {
		s := slices.IndexFunc(p.sets, func(s kindSet) bool {
			return slices.Equal(s.only, kind.OnlyZones) && s.own == kind.OwnZone
		})
		if s < 0 {
			s = len(p.sets)
			p.sets = append(p.sets, kindSet{only: kind.OnlyZones, own: kind.OwnZone})
		}
		p.sets[s].kinds = append(p.sets[s].kinds, k)
	}
	return p
}

func (p *planner) take(_ micros, n note) {
	switch n := n.(type) {
	case view:
		p.views[n.id] = n
	case demand:
		p.flows, p.all = n.flows, n.all
	case control.Heard:
		if z := slices.Index(p.zones, n.Zone); z >= 0 {
			p.tries[z] += float64(n.Tries)
			p.errored += float64(n.Errored)
		}
	case settled:
		p.waits = 0
	case beat:
		p.waits--
		if n.span > 0 {
			p.endRound(n.span)
		}
		p.put(think{})
	case think:
		if p.urgent = p.urgent || n.urgent; !p.due {
			p.due = true
			p.put(planNow{}) // in the next pass, when the other parts have told all they have in this one
		}
	case planNow:
		if p.fresh {
			p.fresh = false
			p.gauge()
		}
		// A list saved before a crash may name the dead and the newly started as well: until a newer one comes, for
		// two beats at most, the proxies keep what they hold.
		if p.waits <= 0 {
			p.plan()
		}
		p.due, p.urgent = false, false
	}
}

// endRound tells the backends that a round of reports is over, with what they can't see alone.
func (p *planner) endRound(span float64) {
	for _, id := range slices.Sorted(maps.Keys(p.views)) {
		end := roundEnd{make([]float64, len(p.zones)), p.errored / max(sum(p.tries), 1), span, p.all}
		for z, part := range p.parts[id] {
			end.expect[z] = part * p.tries[z]
		}
		p.views[id].put(end)
	}
	p.erring += 0.5 * (p.errored/max(sum(p.tries), 1) - p.erring)
	clear(p.tries)
	p.errored, p.fresh = 0, true
	p.rounds++
}

// gauge follows how the whole fleet does against the speeds learned one by one: what slows all backends at once, or
// makes all reqs dearer, shows here within a round, long before each has learned it, and is gone as fast.
func (p *planner) gauge() {
	did, meant := 0.0, 0.0
	for _, v := range p.fleet() {
		did += v.did
		meant += v.speed / p.pace * v.busy
	}
	if meant > 0 {
		p.pace += 0.5 * (min(1.5, max(0.4, did/meant)) - p.pace)
	}
}

// fleet lists the backends with their speeds: what they did in a busy second and, while little is known, what
// their listed weight says. It also sees to it that sick marks never empty a zone's tables: when under a fifth of
// the listed speed looks well from a zone, the fault is likelier on the way or in the reports, and all lines stay.
func (p *planner) fleet() []view {
	var fleet []view
	worked, served, asked := 1e-9, 0.0, 0.0
	for _, f := range p.flows {
		asked += f.total
	}
	for _, id := range slices.Sorted(maps.Keys(p.views)) {
		v := p.views[id]
		fleet = append(fleet, v)
		// while little is known, a ready fleet is taken to be used by two thirds
		worked += (v.worked + 0.3) * max(v.entry.Weight, 1e-3)
		served += v.served + 0.3*1.5*max(asked, 1)/float64(len(p.views))
	}
	unit := served / worked // reqs a second for a listed weight of 1
	strain := max(1, p.use) / (1.01 - min(1, p.erring))
	well, ready := make([]float64, len(p.zones)), 0.0
	for i := range fleet {
		v := &fleet[i]
		const prior = 2 // busy seconds that the listed weight counts for
		v.speed = (v.served + prior*unit*max(v.entry.Weight, 1e-3)) / (v.worked + prior) * p.pace
		if v.room = v.speed * v.share; v.share < 1 {
			// All proxies together must not push a cold one over. Where the others are full, second tries and
			// what shuns them all come on top of its weight; just after a crash nothing is known of that.
			if v.room *= 0.7 / strain; strain > 1.5 || p.rounds < 4 {
				v.room = 0
			}
		}
		if v.ready {
			ready += v.speed
			for z := range p.zones {
				if !v.sick[z] {
					well[z] += v.speed
				}
			}
		}
	}
	for z, name := range p.zones {
		if blind := well[z] < 0.2*ready; blind != p.blind[z] {
			p.blind[z] = blind
			p.out.log("sick marks of %s passed over: %t, %.0f of %.0f reqs a second well", name, blind, well[z], ready)
		}
	}
	return fleet
}

// allowed tells whether a set's reqs from a zone's proxies may go to a backend, usable whether they should.
func (p *planner) allowed(v view, set kindSet, z int) bool {
	return v.ready && v.zone >= 0 && (!set.own || v.zone == z) &&
		(len(set.only) == 0 || slices.Contains(set.only, p.zones[v.zone]))
}

func (p *planner) usable(v view, z int) bool { return v.ready && (p.blind[z] || !v.sick[z]) }

// plan decides tables, bindings and levels anew from what the parts have told; the channel sends what differs.
func (p *planner) plan() {
	fleet, asked := p.fleet(), make([]float64, len(p.zones))
	w := want{binds: map[control.Proxy][]control.Table{}, urgent: p.urgent}
	for _, f := range p.flows {
		asked[f.zone] += f.total
		tables := make([]control.Table, len(p.kinds))
		for s, set := range p.sets {
			for _, k := range set.kinds {
				tables[k] = control.Table(f.zone*len(p.sets) + s)
			}
		}
		w.binds[f.proxy] = tables
	}
	p.parts = map[control.Backend][]float64{}
	for _, v := range fleet {
		p.parts[v.id] = make([]float64, len(p.zones))
	}
	openness := p.openness(fleet, asked)
	for z := range p.zones {
		for _, set := range p.sets {
			lines, weight, usage := p.table(fleet, set, z, openness[z]), 0.0, 0.0
			w.lines = append(w.lines, lines)
			for _, l := range lines {
				weight += l.weight
			}
			for _, f := range p.flows {
				for _, k := range set.kinds {
					if f.zone == z {
						usage += f.usage[k] / max(asked[z], 1e-9)
					}
				}
			}
			for _, l := range lines {
				p.parts[l.backend][z] += usage * l.weight / weight
			}
		}
	}
	p.admission(fleet, asked)
	// A crash forgets how full the fleet is; the levels that proxies still hold stand until that is known again.
	if p.rounds >= 4 {
		w.admits = p.deal()
	}
	p.channel.put(w)
}

// openness is, by zone, how much weight a backend elsewhere gets beside one at home: 0 keeps all tries at home, 1
// treats the fleet as one. A quiet zone stays at home. As the fleet fills up, or the zone above the fleet, it
// opens: proxies are unequal and change faster than orders travel, and what one zone has too much another can take.
func (p *planner) openness(fleet []view, asked []float64) []float64 {
	const quiet, full = 0.6, 0.9 // use of the fleet at which zones begin to open and are one
	room, load := make([]float64, len(p.zones)), slices.Clone(asked)
	for _, v := range fleet {
		if v.ready && v.zone >= 0 {
			load[v.zone] += v.foreign
			if p.usable(v, v.zone) {
				room[v.zone] += v.room
			}
		}
	}
	use, open := sum(load)/max(sum(room), 1e-9), make([]float64, len(p.zones))
	p.use = use
	for z := range p.zones {
		open[z] = min(1, max(0, (use-quiet)/(full-quiet)))
		rest := sum(room) - room[z]
		if keep := max(quiet, use) * room[z] / max(load[z], 1e-9); keep < 1 && rest > 0 {
			// as much as leaves the zone used no more than the fleet, or than a quiet one
			open[z] = max(open[z], min(2, room[z]*(1/max(keep, 1e-3)-1)/rest))
		}
	}
	return open
}

// table makes the lines of a set's table for a zone's proxies. Weights say what backends can do beside the fleet's
// mean, so that a line changes only when its backend, or the openness, does.
func (p *planner) table(fleet []view, set kindSet, z int, openness float64) []line {
	mean, home := 0.0, false
	for _, v := range fleet {
		mean += v.speed / float64(len(fleet))
		home = home || v.zone == z && p.allowed(v, set, z) && p.usable(v, z)
	}
	var lines, last []line
	for _, v := range fleet {
		if p.allowed(v, set, z) {
			l := line{v.id, max(0.01, v.room/mean)}
			last = append(last, l)
			if v.zone != z && home {
				l.weight *= openness
			}
			if p.usable(v, z) && l.weight > 0.02 {
				lines = append(lines, l)
			}
		}
	}
	if len(lines) == 0 {
		return last // rule one: whatever is listed ready beats an empty table
	}
	return lines
}

// step is the change of what is let in that is worth a message; it also trims capacity, so that what stays unsent
// is safe. everything is a level that turns nothing away.
const step, everything = 0.05, 1e6

// admission runs the design's price step and F-NORM on each zone's group and publishes the traffic-weighted mean of
// the groups' levels, only while load is above 90% of the summed capacity and only on moves past the threshold.
func (p *planner) admission(fleet []view, asked []float64) {
	capacity, limited, known := make([]float64, len(p.zones)), false, true
	for _, v := range fleet {
		c := v.room
		if v.limit > 0 {
			// One that says it is full, falsely or alone, must not drag all levels down: it counts at least half.
			c, limited = max(min(v.limit, c), c/2), true
		}
		// Answers that come late tell of a queue: let in less than can be done until it has drained, in four periods of reports.
		c *= 1 - min(0.5, max(0, v.answer-0.6*float64(v.target))/float64(4*v.period))
		known = known && v.worked > 2
		load := v.foreign
		for z, part := range p.parts[v.id] {
			load += part * asked[z]
		}
		for z, part := range p.parts[v.id] {
			capacity[z] += (1 - step) * c * part * asked[z] / max(load, 1e-9)
		}
	}
	letIn, total, can := 0.0, sum(asked), sum(capacity)
	for z := range p.zones {
		letIn += asked[z] * p.group(z, asked[z], capacity[z])
	}
	// More usage than all speeds learned together is slow to be: it need not wait for slow answers.
	limited = limited || known && total > can
	if !limited || p.levels == control.LevelOff || total <= 0.9*can {
		letIn = 0
	}
	on := letIn > 0
	if on != (p.letIn > 0) {
		p.out.log("levels on: %t, %.1f reqs a second asked, %.1f can be done", on, total, can)
	}
	if on != (p.letIn > 0) || letIn > (1+step)*p.letIn || letIn < (1-step)*p.letIn {
		p.letIn = letIn
	}
}

// group takes price steps of a zone's group (paper, algorithm 1), then F-NORM, and returns the group's level: the
// part of its usage that its capacity lets in.
func (p *planner) group(z int, asked, capacity float64) float64 {
	const gamma = 0.4 // the paper's
	most, rates := 0.0, 0.0
	for _, f := range p.flows {
		if f.zone == z {
			most = max(most, f.total)
		}
	}
	if most == 0 {
		return 1
	}
	// At the floor the largest proxy is let have twice its usage; a lower price says no more, and with all rates
	// capped the slope would be 0 and the price stuck.
	floor := 1 / (2 * most)
	for range 5 { // the paper's allocator steps all the time, ours between reports
		price, slope := max(floor, p.prices[z]), 0.0
		rates = 0
		for _, f := range p.flows {
			if x := 1 / price; f.zone == z && x <= 2*f.total {
				rates += x
				slope -= x * x
			} else if f.zone == z {
				rates += 2 * f.total
			}
		}
		if slope < 0 {
			price -= gamma * (rates - capacity) / slope
		}
		p.prices[z] = max(floor, price)
	}
	over := max(1, rates/max(capacity, 1e-9)) // F-NORM
	return min(1, rates/over/asked)
}

// deal deals what is let in out to the request kinds; those of the least payoff are turned away first.
func (p *planner) deal() []control.Admit {
	drop, usage, payoffs := 0.0, make([]float64, len(p.kinds)), map[float64]float64{} // usage by kind, by payoff
	for _, f := range p.flows {
		for k, u := range f.usage {
			usage[k] += u
			payoffs[p.kinds[k].Payoff] += u
		}
	}
	if p.letIn > 0 {
		drop = max(0, sum(usage)-p.letIn)
	}
	second := 1 // on proof that the first never ran: suits every kind
	if p.letIn > 0 || p.erring > 0.2 {
		second = 0 // where many are full a second try only fills another
	}
	admits := make([]control.Admit, len(p.kinds))
	for _, payoff := range slices.Sorted(maps.Keys(payoffs)) {
		away := min(0.9, drop/max(payoffs[payoff], 1e-9)) // a tenth of each kind still comes: none starves
		drop -= away * payoffs[payoff]
		for k, kind := range p.kinds {
			if kind.Payoff == payoff {
				admits[k] = control.Admit{Table: control.AllTables, Kinds: 1 << k, SecondTry: second,
					Level: p.level(k, away, usage[k])}
			}
		}
	}
	return admits
}

// level turns the part of a kind to be turned away into a level. One rate holds at all proxies, however unequal: it
// is set so that, by their usage, what it lets in at all of them together is right.
func (p *planner) level(k int, away, usage float64) float64 {
	if away <= 0 {
		return everything
	}
	if p.levels == control.LevelShare {
		return 1 - away
	}
	var rates []float64
	for _, f := range p.flows {
		rates = append(rates, f.usage[k])
	}
	slices.Sort(rates)
	left := (1 - away) * usage
	for i, u := range rates { // fill up: the small ones whole, the rest alike
		if even := left / float64(len(rates)-i); u >= even {
			return even
		}
		left -= u
	}
	return everything
}

// channel sends what differs from what the proxies hold, within the limits on lines and messages.
type channel struct {
	inbox
	out                *outbox
	queueCap, envelope float64
	most               int // messages to one proxy in the span; 0: no limit
	span, period       micros
	tables             map[control.Table]map[control.Backend]float64
	admits             map[control.Kinds]control.Admit
	joined             map[control.Proxy]*stream
	mark               control.Mark
	lastSent           micros
}

// stream is what the channel knows of one proxy.
type stream struct {
	tables []control.Table // by request kind; nil: not bound
	sent   []micros        // times of the messages in the span
	unsaid []posted        // messages that it has not acknowledged
}

type posted struct {
	mark  control.Mark
	lines float64
}

func newChannel(out *outbox, queueCap, envelope float64, most int, span, period micros) *channel {
	return &channel{out: out, queueCap: queueCap, envelope: envelope, most: most, span: span, period: period,
		tables: map[control.Table]map[control.Backend]float64{}, admits: map[control.Kinds]control.Admit{},
		joined: map[control.Proxy]*stream{}}
}

func (c *channel) take(now micros, n note) {
	switch n := n.(type) {
	case control.Joined:
		c.joined[n.Proxy] = &stream{}
	case control.Left:
		delete(c.joined, n.Proxy)
	case control.Applied:
		if s := c.joined[n.Proxy]; s != nil {
			if i := slices.IndexFunc(s.unsaid, func(m posted) bool { return m.mark == n.Mark }); i >= 0 {
				s.unsaid = s.unsaid[i+1:]
			}
		}
	case want:
		c.send(now, n)
	}
}

// free tells whether changes may go out to all. Lines count as queued until a proxy acknowledges them, whatever the
// stated pace, so that a channel that runs slow holds back by itself; routine leaves half of each limit to what is
// urgent, and the last messages are left to proxies that join.
func (c *channel) free(now micros, urgent bool) bool {
	waiting, messages := 0.0, 0
	for _, s := range c.joined {
		for _, m := range s.unsaid {
			waiting += m.lines
		}
		s.sent = slices.DeleteFunc(s.sent, func(at micros) bool { return now-at > c.span })
		messages = max(messages, len(s.sent))
	}
	every, lines, most := c.period, c.queueCap/4, c.most/2
	if c.most > 0 {
		every = max(every, 2*c.span/micros(c.most))
	}
	if urgent {
		every, lines, most = every/2, c.queueCap*3/4, c.most-2
	}
	return now-c.lastSent >= every && waiting < lines && (c.most == 0 || messages < most)
}

func (c *channel) send(now micros, w want) {
	cost := map[control.Proxy]float64{}
	if c.free(now, w.urgent) {
		if c.change(w, cost); len(cost) > 0 {
			c.lastSent = now
		}
	}
	for _, p := range slices.Sorted(maps.Keys(w.binds)) {
		s, tables := c.joined[p], w.binds[p]
		if s == nil || s.tables != nil && slices.Equal(s.tables, tables) {
			continue
		}
		s.tables = tables
		for _, t := range slices.Compact(slices.Sorted(slices.Values(tables))) {
			var kinds control.Kinds
			for k := range tables {
				if tables[k] == t {
					kinds |= 1 << k
				}
			}
			c.out.add(control.Bind{Proxy: p, Table: t, Kinds: kinds})
			cost[p] += float64(len(c.tables[t])) + 1
		}
	}
	if len(cost) > 0 {
		c.mark = (c.mark + 1) % 65536
		c.out.add(control.Marked{Mark: c.mark})
		for p, n := range cost {
			s := c.joined[p]
			s.unsaid = append(s.unsaid, posted{c.mark, n + c.envelope + float64(len(c.admits)) + 1})
			s.sent = append(s.sent, now)
		}
	}
}

// change sends the lines and levels that differ by enough from those sent, and counts them by proxy.
func (c *channel) change(w want, cost map[control.Proxy]float64) {
	for i, lines := range w.lines {
		t, wanted := control.Table(i), map[control.Backend]float64{}
		if c.tables[t] == nil {
			c.tables[t] = map[control.Backend]float64{}
		}
		held := c.tables[t]
		for b := range held {
			wanted[b] = 0
		}
		for _, l := range lines {
			wanted[l.backend] = l.weight
		}
		for _, b := range slices.Sorted(maps.Keys(wanted)) {
			weight, old := wanted[b], held[b]
			if weight >= 0.85*old && weight <= 1.18*old {
				continue
			}
			if held[b] = weight; weight == 0 {
				delete(held, b)
			}
			c.out.add(control.Line{Table: t, Backend: b, Weight: weight})
			for p, s := range c.joined {
				if slices.Contains(s.tables, t) {
					cost[p]++
				}
			}
		}
	}
	for _, a := range w.admits {
		if c.admits[a.Kinds] != a {
			c.admits[a.Kinds] = a
			c.out.add(a)
			for p := range c.joined {
				cost[p]++
			}
		}
	}
}
