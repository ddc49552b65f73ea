// Package choice holds every decision of porthub. Its interface is package control (control/control.go).
// A host calls New with the start settings, then Take with each batch of events at the batch's time, and carries out
// the orders that Take returns. An Instance keeps all its state to itself and reads no clock but that argument.
//
// An Instance is a few parts that talk only by notes in inboxes: roll follows the list, a backend actor stands for
// each backend, book keeps the proxies and their usage, planner decides tables, prices and levels, channel sends
// what has changed, within the limits of the rules. Take fills inboxes and empties them in one loop.
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

const second micros = 1_000_000

const (
	beatToken control.Token = iota + 1
	listToken
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
	empty() []note
	take(now micros, n note)
}

// outbox gathers the orders of one Take.
type outbox struct{ orders []control.Order }

func (o *outbox) add(order control.Order) { o.orders = append(o.orders, order) }

func (o *outbox) log(format string, args ...any) {
	o.add(control.Log{Text: fmt.Sprintf(format, args...)})
}

// Notes between the parts.
type (
	wake     struct{}
	beat     struct{ heard bool } // a report period is over; heard: reports came in it
	think    struct{ urgent bool }
	planNow  struct{}
	roundEnd struct { // planner to a backend: judge what you heard
		expect []float64 // tries a second that its lines should bring, by zone of the proxies
		all    bool      // every known proxy is joined: what is heard is all there is
	}
	view struct { // a backend to the planner: how it stands
		id                  control.Backend
		box                 *inbox
		zone                int
		weight              float64
		ready, cold         bool
		share               float64 // part of its usual work that it may get: cold, or back from trouble
		served, worked      float64 // done reqs and busy seconds; their ratio is its speed
		limit               float64 // reqs a second; 0: no capacity limit
		tries, own, foreign float64 // a second: tries and done reqs of own proxies, reqs of other controllers' proxies
		sick                []bool  // by zone of the proxies
	}
	flow struct { // a joined proxy and its usage by request kind
		proxy control.Proxy
		zone  int
		usage []float64
	}
	demand struct { // book to the planner
		flows []flow
		all   bool
	}
	want struct { // planner to the channel: how the proxies should stand
		tables map[control.Table][]line
		binds  []binding
		admits []control.Admit
		urgent bool
	}
	binding struct {
		proxy  control.Proxy
		tables []control.Table // by request kind
	}
	line struct {
		backend control.Backend
		weight  float64
	}
)

// Instance is one coordinator's decisions.
type Instance struct {
	out     *outbox
	period  micros
	roll    *roll
	book    *book
	planner *planner
	channel *channel
	heard   bool
	awake   bool
}

// New starts an instance.
func New(up control.Up) *Instance {
	out := &outbox{}
	period := max(up.Reports.Period, second/10)
	var target micros
	for _, k := range up.Kinds {
		target += k.ResponseTarget / micros(len(up.Kinds))
	}
	ch := newChannel(out, up.Rules.QueueCap, up.Channel.Envelope, up.Rules.MessageCap, up.Rules.MessageSpan, period)
	pl := newPlanner(out, ch, up.Zones, up.Kinds, up.Levels)
	actor := func(id control.Backend) *backend {
		return newBackend(id, out, pl, up.Zones, up.Rules.Cold, up.Rules.ColdFrom, up.Rules.ProbeAllowed, target)
	}
	in := &Instance{out: out, period: period, planner: pl, channel: ch, book: newBook(pl, up.Zones, len(up.Kinds)),
		roll: &roll{out: out, ask: up.MustAsk, seed: up.Seed, actor: actor, actors: map[control.Backend]*backend{}}}
	in.roll.put(wake{})
	return in
}

// Take tells the instance what has happened by now and returns what it wants done.
func (in *Instance) Take(now micros, events []control.Event) []control.Order {
	in.out.orders = nil
	if !in.awake {
		in.awake = true
		in.out.add(control.Sleep{After: in.period, Token: beatToken})
	}
	for _, ev := range events {
		switch e := ev.(type) {
		case control.List:
			in.roll.put(e)
		case control.Heard:
			in.heard = true
			in.roll.to(e.Backend, e)
		case control.Probed:
			in.roll.to(e.Backend, e)
		case control.Usage:
			in.heard = true
			in.book.put(e)
		case control.Joined, control.Left:
			in.book.put(e)
			in.channel.put(e)
		case control.Applied:
			in.channel.put(e)
		case control.Ring:
			switch e.Token {
			case listToken:
				in.roll.put(wake{})
			case beatToken:
				in.book.put(beat{in.heard})
				in.planner.put(beat{in.heard})
				in.heard = false
				in.out.add(control.Sleep{After: in.period, Token: beatToken})
			}
		}
	}
	for busy := true; busy; {
		busy = false
		parts := []part{in.roll, in.book}
		for _, b := range in.roll.order {
			parts = append(parts, b)
		}
		for _, p := range append(parts, in.planner, in.channel) {
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
	out    *outbox
	ask    bool // the list answers only when asked
	seed   uint64
	draws  uint64
	fails  int
	actor  func(control.Backend) *backend
	actors map[control.Backend]*backend
	order  []*backend
}

func (r *roll) to(id control.Backend, n note) {
	if b := r.actors[id]; b != nil {
		b.put(n)
	}
}

// chance draws from 0 to under 1.
func (r *roll) chance() float64 {
	r.draws++
	key := binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(nil, r.seed), r.draws)
	return float64(crc32.ChecksumIEEE(key)) / (1 << 32)
}

func (r *roll) take(_ micros, n note) {
	list, ok := n.(control.List)
	if !ok { // wake
		if r.ask {
			r.out.add(control.Watch{On: true})
		}
		return
	}
	if list.How == control.ListFailed {
		// One service answers all coordinators: ask again later each time, and not in step with the others.
		r.fails = min(r.fails+1, 4)
		after := micros(float64(second) * float64(r.fails) * (0.25 + 0.5*r.chance()))
		r.out.add(control.Sleep{After: after, Token: listToken})
		return
	}
	r.fails = 0
	seen := map[control.Backend]bool{}
	for _, e := range list.Entries {
		seen[e.Backend] = true
		if r.actors[e.Backend] == nil {
			if e.Status == control.Gone {
				continue
			}
			b := r.actor(e.Backend)
			r.actors[e.Backend] = b
			r.order = append(r.order, b)
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
	id       control.Backend
	out      *outbox
	planner  *planner
	zones    []control.Zone
	cold     micros
	coldFrom float64
	probes   bool
	target   micros
	entry    control.Entry
	speed    hist // by busy share: busy seconds and done reqs
	loads    control.Loads
	served   float64 // done reqs a second of own proxies
	tries    float64 // tries a second of own proxies
	rate     float64 // its own word on the reqs a second from all
	limit    float64
	slow     int // slow reports in a row
	seats    []seat
	backAt   micros // when it last came back from trouble; 0: never
	wellAt   micros // when a probe last went well
}

// seat is what the proxies of one zone see of a backend.
type seat struct {
	tries, errored, answer, span float64 // this round
	strikes                      int
	sick                         bool
	retryAt, backoff             micros
}

func newBackend(id control.Backend, out *outbox, p *planner, zones []control.Zone, cold micros, coldFrom float64,
	probes bool, target micros) *backend {
	return &backend{id: id, out: out, planner: p, zones: zones, cold: cold, coldFrom: coldFrom, probes: probes,
		target: target, speed: newHist(0.5, 0.8, 0.95), seats: make([]seat, len(zones))}
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
		b.hear(n)
	case control.Probed:
		if n.OK {
			b.wellAt = now
		}
	case roundEnd:
		b.judge(now, n)
		b.tell(now)
	}
}

// hear takes one report in and keeps the design's capacity rule: no limit until slow for three reports, then what it
// served, raised as it serves more. Ours: the limit also grows with each report that is not slow, and ends above its
// speed, so that a passing slowness or a cold start leaves no lasting low capacity.
func (b *backend) hear(h control.Heard) {
	z := slices.Index(b.zones, h.Zone)
	if z < 0 || h.Tries <= 0 {
		return
	}
	s, done := &b.seats[z], h.Tries-h.Errored
	s.tries += float64(h.Tries)
	s.errored += float64(h.Errored)
	s.answer += float64(done) * float64(h.Answer)
	s.span += float64(h.Period) / float64(second)
	if h.Loads != nil {
		b.loads = h.Loads
	}
	switch {
	case h.Tries >= 2 && (float64(h.Errored) > 0.3*float64(h.Tries) || h.Answer > b.target*6/10):
		b.slow++
	case done > 0:
		b.slow = 0
		b.limit *= 1.03
	}
	if b.slow >= 3 && b.limit == 0 {
		b.limit = max(b.served, 1e-3)
	}
}

// judge closes a round of reports.
func (b *backend) judge(now micros, end roundEnd) {
	var all seat
	for z := range b.seats {
		s := &b.seats[z]
		all.tries += s.tries
		all.errored += s.errored
		all.span = max(all.span, s.span)
		expect := 0.0
		if z < len(end.expect) {
			expect = end.expect[z]
		}
		b.judgeSeat(now, z, s, expect)
		s.tries, s.errored, s.answer, s.span = 0, 0, 0, 0
	}
	if all.span == 0 {
		b.tries, b.served = b.tries/2, b.served/2
		return
	}
	done := (all.tries - all.errored) / all.span
	b.served += 0.5 * (done - b.served)
	b.tries += 0.5 * (all.tries/all.span - b.tries)
	rate, told := b.loads["rate"]
	if b.rate = rate; told {
		done = rate
	}
	if busy := b.loads["busy"]; busy > 0.05 && b.warmth(now) == 1 && (end.all || told) {
		// Learned only warm and while all its load is known: else it would pass for slow for long.
		b.speed.add(busy, busy*all.span, done*all.span, 8)
	}
	b.loads = nil
	worked, served := b.speed.total()
	if b.limit > 0 {
		b.limit = max(b.limit, b.served)
	}
	if b.limit > 1.3*served/max(worked, 1) {
		b.limit = 0
	}
}

// judgeSeat finds a backend that answers a zone's proxies nothing at all, be it by errors or by silence where its
// lines should have brought tries. One that is merely full still answers some and stays: taking full backends out
// pushes the others over.
func (b *backend) judgeSeat(now micros, z int, s *seat, expect float64) {
	if b.entry.Status != control.Ready {
		return
	}
	if s.sick {
		if now < s.retryAt {
			return
		}
		if b.probes && b.wellAt < s.retryAt {
			b.out.add(control.Probe{Backend: b.id})
			s.retryAt = now
			return
		}
		s.sick, s.strikes, b.backAt = false, 1, now
		return
	}
	switch {
	case s.tries > s.errored:
		s.strikes = 0
		if s.backoff > 0 && b.share(now) >= 1 {
			s.backoff = 0
		}
	case s.tries >= 2 || s.tries == 0 && expect >= 4:
		s.strikes++
	}
	if s.strikes >= 2 {
		s.sick = true
		s.backoff = min(max(2*second, 2*s.backoff), 8*second)
		s.retryAt = now + s.backoff
		b.out.log("%s sick from %s: none of %.0f tries done, %.1f a second expected", b.id, b.zones[z], s.tries, expect)
		b.planner.put(think{urgent: true})
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
	worked, served := b.speed.total()
	v := view{id: b.id, box: &b.inbox, zone: slices.Index(b.zones, b.entry.Zone), weight: b.entry.Weight,
		ready: b.entry.Status == control.Ready, share: b.share(now), served: served, worked: worked, limit: b.limit,
		tries: b.tries, own: b.served}
	v.cold = v.share < 1
	for _, s := range b.seats {
		v.sick = append(v.sick, s.sick)
	}
	if b.rate > 0 {
		v.foreign = max(0, b.rate-b.served)
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
	usage, round  []float64 // reqs a second by request kind; reqs of this round
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
		if p := k.proxies[n.Proxy]; p != nil && p.joined && n.Kind >= 0 && int(n.Kind) < k.kinds && n.Period > 0 {
			p.round[n.Kind] += float64(n.Reqs) / (float64(n.Period) / float64(second))
		}
	case beat:
		if n.heard {
			k.close()
			k.tell(false)
		}
	}
}

// close ends a round: usage goes half way to what came.
func (k *book) close() {
	sums, all := make([]float64, k.kinds), 0.0
	for _, id := range slices.Sorted(maps.Keys(k.proxies)) {
		if p := k.proxies[id]; p.joined {
			for i := range p.usage {
				p.usage[i] += 0.5 * (p.round[i] - p.usage[i])
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
		if p.joined && p.zone >= 0 {
			d.flows = append(d.flows, flow{id, p.zone, slices.Clone(p.usage)})
		}
		d.all = d.all && p.joined
	}
	k.planner.put(d)
	k.planner.put(think{urgent})
}

// planner decides the tables, the prices and the levels.
type planner struct {
	inbox
	out     *outbox
	channel *channel
	zones   []control.Zone
	kinds   []control.KindSettings
	levels  control.LevelKind
	sets    []kindSet
	views   map[control.Backend]view
	flows   []flow
	all     bool
	expect  map[control.Backend][]float64 // tries a second that the lines should bring, by zone of the proxies
	prices  []float64                     // by zone group
	letIn   float64                       // published: reqs a second in all; 0: open
	blind   []bool                        // by zone: sick marks are passed over
	due     bool
	urgent  bool
}

// kindSet is the request kinds that may go to the same zones; each has a table for each zone's proxies.
type kindSet struct {
	only  []control.Zone
	own   bool
	kinds []int
}

func newPlanner(out *outbox, ch *channel, zones []control.Zone, kinds []control.KindSettings,
	levels control.LevelKind) *planner {
	p := &planner{out: out, channel: ch, zones: zones, kinds: kinds, levels: levels, views: map[control.Backend]view{},
		prices: slices.Repeat([]float64{1}, len(zones)), blind: make([]bool, len(zones))}
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
	case beat:
		for _, id := range slices.Sorted(maps.Keys(p.views)) {
			if n.heard {
				p.views[id].box.put(roundEnd{p.expect[id], p.all})
			}
		}
		p.put(think{})
	case think:
		p.urgent = p.urgent || n.urgent
		if !p.due {
			p.due = true
			p.put(planNow{}) // in the next pass, when the other parts have told all they have in this one
		}
	case planNow:
		p.plan()
		p.due, p.urgent = false, false
	}
}

// server is a backend as a plan sees it.
type server struct {
	view
	speed float64 // reqs a second when warm
	room  float64 // of that, what it can do now
}

// fleet lists the backends with their speeds: what they did in a busy second and, while little is known, what their
// listed weight says.
func (p *planner) fleet() []server {
	var servers []server
	worked, served, weight := 0.0, 0.0, 0.0
	for _, id := range slices.Sorted(maps.Keys(p.views)) {
		v := p.views[id]
		v.weight = max(v.weight, 1e-3)
		servers = append(servers, server{view: v})
		weight += v.weight
		worked += v.worked * v.weight
		served += v.served
	}
	unit := 1.0 // reqs a second for a listed weight of 1
	if worked > 0 {
		unit = served / worked
	}
	for i := range servers {
		s := &servers[i]
		const prior = 2 // busy seconds that the listed weight counts for
		s.speed = (s.served + prior*unit*s.weight) / (s.worked + prior)
		s.room = s.speed * s.share
	}
	return servers
}

// usable tells whether a set's reqs from a zone's proxies should go to a backend.
func (p *planner) usable(s server, set kindSet, z int) bool {
	return p.allowed(s, set, z) && (p.blind[z] || !s.sick[z])
}

func (p *planner) allowed(s server, set kindSet, z int) bool {
	return s.ready && s.zone >= 0 && (!set.own || s.zone == z) &&
		(len(set.only) == 0 || slices.Contains(set.only, p.zones[s.zone]))
}

// plan decides tables, bindings and levels anew from what the parts have told; the channel sends what differs.
func (p *planner) plan() {
	servers := p.fleet()
	if len(servers) == 0 {
		return
	}
	p.look(servers)
	asked := make([]float64, len(p.zones))
	for _, f := range p.flows {
		for _, u := range f.usage {
			asked[f.zone] += u
		}
	}
	w := want{tables: map[control.Table][]line{}, urgent: p.urgent}
	p.expect = map[control.Backend][]float64{}
	for _, s := range servers {
		p.expect[s.id] = make([]float64, len(p.zones))
	}
	openness := p.openness(servers, asked)
	for z := range p.zones {
		for i, set := range p.sets {
			lines, sum, usage := p.table(servers, set, z, openness[z]), 0.0, 0.0
			w.tables[p.tableOf(z, i)] = lines
			for _, l := range lines {
				sum += l.weight
			}
			for _, f := range p.flows {
				for _, k := range set.kinds {
					if f.zone == z {
						usage += f.usage[k]
					}
				}
			}
			for _, l := range lines {
				p.expect[l.backend][z] += usage * l.weight / sum
			}
		}
	}
	for _, f := range p.flows {
		tables := make([]control.Table, len(p.kinds))
		for i, set := range p.sets {
			for _, k := range set.kinds {
				tables[k] = p.tableOf(f.zone, i)
			}
		}
		w.binds = append(w.binds, binding{f.proxy, tables})
	}
	w.admits = p.admission(servers, asked)
	p.channel.put(w)
}

func (p *planner) tableOf(zone, set int) control.Table { return control.Table(zone*len(p.sets) + set) }

// look sees to it that sick marks never empty a zone's tables: when under a fifth of the listed speed looks well from
// a zone, the fault is likelier on the way there or in the reports, and all lines stay.
func (p *planner) look(servers []server) {
	for z := range p.zones {
		well, ready := 0.0, 0.0
		for _, s := range servers {
			if s.ready {
				ready += s.speed
				if !s.sick[z] {
					well += s.speed
				}
			}
		}
		if blind := well < 0.2*ready; blind != p.blind[z] {
			p.blind[z] = blind
			p.out.log("sick marks of %s passed over: %t, %.0f of %.0f reqs a second look well", p.zones[z], blind, well,
				ready)
		}
	}
}

// openness is, by zone, how much weight a backend elsewhere gets beside one at home: 0 keeps all tries at home, 1
// treats the fleet as one. A quiet zone stays at home. As the fleet fills up, or the zone above the fleet, it opens:
// proxies are unequal and change faster than orders travel, and what one zone has too much another can still take.
func (p *planner) openness(servers []server, asked []float64) []float64 {
	const quiet, full = 0.5, 0.7 // use of the fleet at which zones begin to open and are one
	room, load := make([]float64, len(p.zones)), slices.Clone(asked)
	sumRoom, sumLoad := 0.0, 0.0
	for _, s := range servers {
		if s.ready && s.zone >= 0 {
			load[s.zone] += s.foreign
			if p.blind[s.zone] || !s.sick[s.zone] {
				room[s.zone] += s.room
			}
		}
	}
	for z := range p.zones {
		sumRoom += room[z]
		sumLoad += load[z]
	}
	use := sumLoad / max(sumRoom, 1e-9)
	open := make([]float64, len(p.zones))
	for z := range p.zones {
		open[z] = min(1, max(0, (use-quiet)/(full-quiet)))
		rest := sumRoom - room[z]
		if keep := max(quiet, use) * room[z] / max(load[z], 1e-9); keep < 1 && rest > 0 {
			// as much as leaves the zone used no more than the fleet, or than a quiet one
			open[z] = max(open[z], min(2, room[z]*(1/max(keep, 1e-3)-1)/rest))
		}
	}
	return open
}

// table makes the lines of a set's table for a zone's proxies. Weights say what backends can do beside the fleet's
// mean, so that a line changes only when its backend, or the openness, does.
func (p *planner) table(servers []server, set kindSet, z int, openness float64) []line {
	mean, home := 0.0, false
	for _, s := range servers {
		mean += s.speed / float64(len(servers))
		home = home || s.zone == z && p.usable(s, set, z)
	}
	var lines, last []line
	for _, s := range servers {
		if !p.allowed(s, set, z) {
			continue
		}
		l := line{s.id, max(0.01, s.room/mean)}
		last = append(last, l)
		if s.zone != z && home {
			l.weight *= openness
		}
		if p.usable(s, set, z) && l.weight > 0.02 {
			lines = append(lines, l)
		}
	}
	if len(lines) == 0 {
		return last // rule one: whatever is listed ready beats an empty table
	}
	return lines
}

// step is the change of what is let in that is worth a message; it also trims capacity, so that what stays unsent is
// safe. everything is a level that turns nothing away.
const step, everything = 0.05, 1e6

// admission runs the design's price step and F-NORM on each zone's group and publishes the traffic-weighted mean of
// the groups' levels, only while load is above 90% of the summed capacity and only on moves past the threshold.
func (p *planner) admission(servers []server, asked []float64) []control.Admit {
	capacity, limited := make([]float64, len(p.zones)), false
	for _, s := range servers {
		c := s.room
		if s.limit > 0 {
			// One that says it is full, falsely or alone, must not drag all levels down: it counts at least half.
			c, limited = max(min(s.limit, c), c/2), true
		}
		sum := s.foreign
		for _, e := range p.expect[s.id] {
			sum += e
		}
		for z, e := range p.expect[s.id] {
			capacity[z] += (1 - step) * c * e / max(sum, 1e-9)
		}
	}
	total, can, letIn := 0.0, 0.0, 0.0
	for z := range p.zones {
		var usage []float64
		for _, f := range p.flows {
			if f.zone == z {
				sum := 0.0
				for _, u := range f.usage {
					sum += u
				}
				usage = append(usage, sum)
			}
		}
		total += asked[z]
		can += capacity[z]
		letIn += asked[z] * p.group(z, usage, asked[z], capacity[z])
	}
	if !limited || p.levels == control.LevelOff || total <= 0.9*can {
		letIn = 0
	}
	if (letIn > 0) != (p.letIn > 0) {
		p.out.log("levels on: %t, %.1f reqs a second asked, %.1f can be done", letIn > 0, total, can)
	}
	if (letIn > 0) != (p.letIn > 0) || letIn > (1+step)*p.letIn || letIn < (1-step)*p.letIn {
		p.letIn = letIn
	}
	return p.levelsFor(total)
}

// group takes price steps of a zone's group (paper, algorithm 1), then F-NORM, and returns the group's level: the
// part of its usage that its capacity lets in.
func (p *planner) group(z int, usage []float64, asked, capacity float64) float64 {
	const gamma = 0.4 // the paper's
	if asked <= 0 {
		return 1
	}
	// At the floor the largest proxy is let have twice its usage; a lower price says no more, and with all rates
	// capped the slope would be 0 and the price stuck.
	floor, rates := 1/(2*slices.Max(usage)), 0.0
	for range 5 { // the paper's allocator steps all the time, ours between reports
		price, slope := max(floor, p.prices[z]), 0.0
		rates = 0
		for _, u := range usage {
			if x := 1 / price; x <= 2*u {
				rates += x
				slope -= x * x
			} else {
				rates += 2 * u
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

// levelsFor deals what is let in out to the request kinds; those of the least payoff are turned away first.
func (p *planner) levelsFor(total float64) []control.Admit {
	drop, usage := 0.0, make([]float64, len(p.kinds))
	for _, f := range p.flows {
		for k, u := range f.usage {
			usage[k] += u
		}
	}
	if p.letIn > 0 {
		drop = max(0, total-p.letIn)
	}
	payoffs := map[float64]float64{} // usage by payoff
	for k, kind := range p.kinds {
		payoffs[kind.Payoff] += usage[k]
	}
	admits := make([]control.Admit, len(p.kinds))
	for _, payoff := range slices.Sorted(maps.Keys(payoffs)) {
		away := min(0.9, drop/max(payoffs[payoff], 1e-9)) // a tenth of each kind still comes: none starves
		drop -= away * payoffs[payoff]
		for k, kind := range p.kinds {
			if kind.Payoff == payoff {
				admits[k] = control.Admit{Table: control.AllTables, Kinds: 1 << k, Level: p.level(k, away, usage[k]),
					SecondTry: 1} // proof that the first never ran suits every kind
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
	rates := []float64{}
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
	out      *outbox
	queueCap float64
	envelope float64
	most     int // messages to one proxy in the span; 0: no limit
	span     micros
	period   micros
	tables   map[control.Table]map[control.Backend]float64
	admits   map[control.Kinds]control.Admit
	joined   map[control.Proxy]*stream
	mark     control.Mark
	lastSent micros
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
	var orders []control.Order
	for _, a := range w.admits {
		if len(c.admits) < len(w.admits) { // a start: before anything else
			c.admits[a.Kinds] = a
			orders = append(orders, a)
		}
	}
	if c.free(now, w.urgent) {
		orders = append(orders, c.changes(w, cost)...)
	}
	for _, b := range w.binds {
		s := c.joined[b.proxy]
		if s == nil {
			continue
		}
		for _, t := range slices.Compact(slices.Sorted(slices.Values(b.tables))) {
			var kinds control.Kinds
			for k := range b.tables {
				if b.tables[k] == t && (s.tables == nil || s.tables[k] != t) {
					kinds |= 1 << k
				}
			}
			if kinds != 0 {
				orders = append(orders, control.Bind{Proxy: b.proxy, Table: t, Kinds: kinds})
				cost[b.proxy] += float64(len(c.tables[t])) + 1
			}
		}
		s.tables = b.tables
	}
	if len(cost) > 0 {
		c.lastSent = now
		c.mark = (c.mark + 1) % 65536
		orders = append(orders, control.Marked{Mark: c.mark})
		for p, n := range cost {
			s := c.joined[p]
			s.unsaid = append(s.unsaid, posted{c.mark, n + c.envelope + float64(len(c.admits)) + 1})
			s.sent = append(s.sent, now)
		}
	}
	for _, o := range orders {
		c.out.add(o)
	}
}

// changes lists the lines and levels that differ by enough from those sent, and counts them by proxy.
func (c *channel) changes(w want, cost map[control.Proxy]float64) []control.Order {
	var orders []control.Order
	for _, t := range slices.Sorted(maps.Keys(w.tables)) {
		held := c.tables[t]
		if held == nil {
			held = map[control.Backend]float64{}
			c.tables[t] = held
		}
		set := func(b control.Backend, weight float64) {
			orders = append(orders, control.Line{Table: t, Backend: b, Weight: weight})
			for p, s := range c.joined {
				if slices.Contains(s.tables, t) {
					cost[p]++
				}
			}
		}
		wanted := map[control.Backend]bool{}
		for _, l := range w.tables[t] {
			wanted[l.backend] = true
			if old, has := held[l.backend]; !has || l.weight < 0.85*old || l.weight > 1.18*old {
				held[l.backend] = l.weight
				set(l.backend, l.weight)
			}
		}
		for _, b := range slices.Sorted(maps.Keys(held)) {
			if !wanted[b] {
				delete(held, b)
				set(b, 0)
			}
		}
	}
	for _, a := range w.admits {
		if c.admits[a.Kinds] != a {
			c.admits[a.Kinds] = a
			orders = append(orders, a)
			for p := range c.joined {
				cost[p]++
			}
		}
	}
	return orders
}
