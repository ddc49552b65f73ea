// Package policy holds every decision of porthub, all of them in this file. Its interface is package control
// (control/control.go). A host calls New with the start settings, then Take with each batch of events at the
// batch's time, and carries out the orders that Take returns. An Instance shares nothing and reads no clock
// but that argument. Its parts talk only by notes in inboxes (parts.go and channel.go have their state and the
// loop): endpointList follows the list, a backend actor stands for each endpoint, proxyRegistry keeps the
// proxies and their usage, planner decides tables, prices and levels, channel sends what has changed.
package policy

import (
	"cmp"
	"maps"
	"math"
	"math/bits"
	"slices"

	"porthub/policyapi"
)

// The least period, how long what was heard still holds, and the part of the usage that may be away while
// what is heard is all there is: of hundreds some are.
const shortest, lately, few = second / 10, 5 * second, 0.05

// forgotten is how long what was learned of a backend is kept once it is gone: it may come back under its
// name.
const forgotten = 60 * second

// beat closes a round of reports. They are capped, the oldest first: where as many came as may, what was not
// heard is no sign of silence unless it is older than all that was heard.
func (in *Instance) beat(now micros) (b beat) {
	if in.lines > 0 { // after a gap, a round is at most four periods
		b.span = float64(now-max(in.round, now-4*in.period)) / float64(second)
		if in.intake > 0 && float64(in.lines) >= 0.9*in.intake*b.span {
			b.silent = in.longest + 2*in.period
		}
		in.round, in.lines, in.longest = now, 0, 0
	}
	return b
}

// count takes a round's reqs into what is known of a proxy's usage.
func (f *proxyUsage) count(now micros, b beat) {
	for i := range f.usage {
		if !f.joined {
			f.usage[i] *= 0.97 // forgotten if it stays away
		} else if f.round[i] > 0 || now-f.at[i] > b.silent {
			t, way := since(now, f.at[i], b.span)
			f.usage[i] += way * (f.round[i]/t - f.usage[i])
			f.round[i], f.at[i], f.known = 0, now, true
		}
	}
}

// again asks for the list after a failure, each time later, and not in step with other coordinators.
func (r *endpointList) again() {
	r.fails = min(r.fails+1, 4)
	after := float64(second) * float64(r.fails) * (0.25 + 0.5*r.chance())
	r.out.add(policyapi.SetTimer{After: micros(after), Token: listToken})
}

func (b *backend) listed(e policyapi.Endpoint) {
	if e.StartedAt > b.entry.StartedAt {
		// A new process: what was held against the old one, or learned while it failed, is void.
		b.limit, b.slow, b.backAt, b.byZone = 0, 0, 0, make([]zoneHealth, len(b.zones))
	}
	// Where gone does not bind, a list that drops what it never called draining may be wrong, and half the
	// fleet with it: such a backend keeps its lines as long as it answers.
	if b.stray = b.soft && e.Status == policyapi.Removed && b.entry.Status == policyapi.Ready; !b.stray {
		b.entry = e
	}
}

// judge closes a round and tells whether the backend has become sick.
func (b *backend) judge(now micros, end roundEnd) bool {
	var all zoneHealth

	newest := 0.0 // done reqs a second
	b.served = 0
	for z := range b.byZone {
		s := &b.byZone[z]
		all.tries, all.errored, all.answer = all.tries+s.tries, all.errored+s.errored, all.answer+s.answer
		if s.tries > 0 || now-s.at > end.silent {
			t, way := since(now, s.at, end.span)
			s.newest, s.at = (s.tries-s.errored)/t, now
			s.served += way * (s.newest - s.served)
		} else {
			s.newest, end.expect[z] = s.served, 0
		}
		b.served, newest = b.served+s.served, newest+s.newest
		all.sick = b.judgeZone(now, z, s, end.expect[z], end.errored) || all.sick
		s.tries, s.errored, s.answer = 0, 0, 0
	}
	if done := all.tries - all.errored; done > 0 {
		b.answer += 0.5 * (all.answer/done - b.answer)
	}
	busy, hasBusy := b.loads["busy"]
	rate, told := b.loads["rate"] // from all proxies, as busy is
	if told {
		b.foreign = max(0, rate-b.served)
	} else if end.all {
		rate = newest
	}
	t, _ := since(now, b.heardAt, end.span)
	if all.tries > 0 {
		b.heardAt, b.told = now, told
	}
	if hasBusy {
		b.used, b.queue = busy, b.loads["q"]
	}
	b.did, b.busy, b.loads = 0, 0, nil
	if busy > 0.05 && b.warmth(now) == 1 && (told || end.all) {
		// Learned only warm and while all its load is known: else it would pass for slow for long.
		b.did, b.busy = rate, busy
		b.speed.add(busy, busy*t, rate*t, 12)
	}
	if all.tries > 0 || end.silent == 0 {
		b.capacity(all, t/end.span, !hasBusy || busy > 0.85)
	}
	return all.sick
}

// capacity keeps the design's rule: no limit until slow for three reports, then what it served, raised as it
// serves more. Ours: it is slow only if its answers and its own word agree, so that neither a few dear reqs
// nor a false report of being full drag the levels down; and the limit grows with each report that is not
// slow and ends above its speed, so that neither a passing slowness nor a cold start leaves a lasting low
// capacity.
func (b *backend) capacity(all zoneHealth, rounds float64, busy bool) {
	late := all.answer > 0.6*(all.tries-all.errored)*float64(b.target)
	if all.tries >= 3 && busy && (all.errored > 0.3*all.tries || late) {
		if b.slow++; b.slow >= 3 && b.limit == 0 {
			b.limit = b.served
		}
	} else {
		b.slow, b.limit = 0, math.Pow(1.05, rounds)*b.limit
	}
	if worked, served := b.speed.total(); b.limit > 1.3*served/max(worked, 1) {
		b.limit = 0
	} else if b.limit > 0 {
		b.limit = max(b.limit, b.served)
	}
}

// judgeZone finds a backend that answers a zone's proxies nothing at all, by errors or by silence where its
// lines should have brought tries. One that is merely full answers some and stays: without it the others are
// pushed over. It is tried again later and later; where probes are allowed, once one went well.
func (b *backend) judgeZone(now micros, z int, s *zoneHealth, expect, fleet float64) bool {
	switch {
	case b.entry.Status != policyapi.Ready || s.sick && now < s.retryAt:
	case s.sick && b.stray: // not tried again before it is listed
	case s.sick && b.probes && b.wellAt < s.retryAt:
		b.out.add(policyapi.CheckHealth{Endpoint: b.id})
		s.retryAt = now
	case s.sick:
		s.sick, s.against, b.backAt = false, 4, now
	case s.tries > s.errored:
		if s.against = 0; b.share(now) >= 1 {
			s.backoff = 0
		}
	default: // 12: by chance hardly ever, even of a busy one; more where all err
		if s.against += max(s.tries, expect); s.against > 12/((1.01-fleet)*(1.01-fleet)) {
			s.sick, s.backoff = true, min(max(2*second, 2*s.backoff), 8*second)
			s.retryAt = now + s.backoff
			b.out.log("%s sick from %s: of about %.0f tries in a row none was done", b.id, b.zones[z], s.against)
			return true
		}
	}
	return false
}

// warmth is the part of its capacity that a backend has by the slowest course the rules allow.
func (b *backend) warmth(now micros) float64 {
	if b.entry.StartedAt <= 0 || now-b.entry.StartedAt >= b.cold {
		return 1
	}
	return b.coldFrom + (1-b.coldFrom)*max(0, float64(now-b.entry.StartedAt)/float64(b.cold))
}

// share is the part of its usual work that it may get now. One back from trouble may be a new process that
// the list has not told of yet: it is eased in from twice a cold one's part, while the list may still come.
func (b *backend) share(now micros) float64 {
	if b.backAt == 0 {
		return b.warmth(now)
	}
	return min(b.warmth(now), 2*b.coldFrom+float64(now-b.backAt)/float64(5*second))
}

// endRound tells the backends that a round of reports is over, with what they can't see alone.
func (p *planner) endRound(b beat) {
	errored := p.errored / max(sum(p.tries), 1)
	for _, id := range slices.Sorted(maps.Keys(p.views)) {
		end := roundEnd{make([]float64, len(p.zones)), errored, b.span, b.silent, p.all}
		for i, load := range p.loads[id] {
			if z := p.groups[i].zone; p.asked[z] > 0 {
				end.expect[z] += load / p.asked[z] * p.tries[z]
			}
		}
		p.views[id].box.put(end)
	}
	p.erring += 0.5 * (errored - p.erring)
	clear(p.tries)
	p.errored, p.fresh = 0, true
}

// fleet lists the backends with what they are worth: what they did in a busy second and, while little is
// known, what their listed weight says. What slows all backends at once, or makes all reqs dearer, shows in
// the fleet's pace within a round, long before each has learned it, and is gone as fast.
func (p *planner) fleet() []view {
	var fleet []view
	const prior = 2 // busy seconds that the listed weight counts for
	worked, served, learned, near, did, meant, asked, home := 1e-9, 0.0, 0.0, 0.0, 0.0, 0.0, sum(p.asked), 1e-9
	kinds := map[policyapi.MachineType][]float64{} // mean answer times by machine kind
	for _, id := range slices.Sorted(maps.Keys(p.views)) {
		v := p.views[id]
		v.entry.Weight = max(v.entry.Weight, 1e-3)
		fleet = append(fleet, v)
		if v.answer > 0 {
			kinds[v.entry.MachineType] = append(kinds[v.entry.MachineType], v.answer)
		}
		if n, s := v.speed.total(); p.home(v) {
			// a fleet of which nothing is known is taken to be used by two thirds
			learned, near = learned+n, near+1
			worked += (n + 0.3) * v.entry.Weight
			served += s
		}
	}
	served += 0.3 * 1.5 * max(asked, 1)
	for i := range fleet {
		v := &fleet[i]
		n, s := v.speed.total()
		v.worth = (s + prior*v.entry.Weight*served/worked) / (n + prior)
		did, meant = did+v.did, meant+v.worth*v.busy
		if v.ready && p.home(*v) {
			home += v.worth
		}
	}
	p.known = p.known || learned > max(1, near)
	if p.fresh && meant > 0 {
		p.pace += 0.5 * (min(1.5, max(0.4, did/meant)) - p.pace)
	}
	p.fresh = false
	strain := max(1, p.strain) / (1.01 - min(1, p.erring))
	p.mean = 0
	for i := range fleet {
		v := &fleet[i]
		v.worth *= p.pace
		if p.mean += v.worth / float64(len(fleet)); !p.home(*v) {
			// Where other controllers have the proxies, they load it too: by its busy share if it was heard of
			// lately, else nearly as at home. What is unheard is not idle.
			if !v.heard {
				v.served, v.used = 0, min(1, 0.7*asked/home)
				v.foreign = v.used * v.worth
			} else if !v.told {
				v.foreign = max(0, v.used*v.worth-v.served)
			}
		}
		v.room = v.worth * v.share
		if answers := kinds[v.entry.MachineType]; v.answer > 0 {
			// Judged by its answer times against its kind's: one that stalls or is overrun gets less at once.
			v.room *= min(1, max(0.5, 1.5*sum(answers)/float64(len(answers))/v.answer))
		}
		if v.share < 1 {
			// All proxies together must not push a cold one over. Where the others are full, second tries and
			// what shuns them all come on top of its weight; just after a crash nothing is known of that.
			if v.room *= 0.7 / strain; strain > 1.5 || !p.known {
				v.room = 0
			}
		}
	}
	return fleet
}

// look sees to it that sick marks never empty a zone's tables: when under a fifth of the listed speed looks
// well from a zone, the fault is likelier on the way or in the reports, and all lines stay.
func (p *planner) look(fleet []view) {
	for z, name := range p.zones {
		well, ready := 0.0, 0.0
		for _, v := range fleet {
			if v.ready {
				ready += v.worth
				if !v.sick[z] {
					well += v.worth
				}
			}
		}
		if blind := well < 0.2*ready; blind != p.blind[z] {
			p.blind[z] = blind
			p.out.log("sick marks of %s passed over: %t, %.0f of %.0f reqs a second well", name, blind, well, ready)
		}
	}
}

// allowed tells whether a set's reqs from a zone's proxies may go to a backend, usable whether they should.
func (p *planner) allowed(v view, set kindSet, z int) bool {
	return v.ready && v.zone >= 0 && (!set.own || v.zone == z) && set.serves(p.zones[v.zone])
}

// in tells whether a backend is in a group, or of the same number in another zone. A group left with far less
// room for its load than its zone has, all dead or cold but one, borrows from the zone: that one would fall.
func (p *planner) in(v view, c group) bool {
	short := c.room*p.asked[c.zone] < 0.5*c.load*p.wholeZone(c.zone).room
	return c.group == p.perZone || p.groups[p.member[v.id]].group == c.group || short && v.zone == c.zone
}

// home tells whether a backend is in a zone whose proxies are, in part at least, this controller's own.
func (p *planner) home(v view) bool { return p.instances == 1 || v.zone >= 0 && p.asked[v.zone] > 0 }

func (p *planner) usable(v view, z int) bool { return v.ready && (p.blind[z] || !v.sick[z]) }

// divideZones divides the zones into groups, the design's server groups: one table for all of a large zone
// costs lines, standstill and connections. A zone stays whole where all proxies take under a quarter of a
// backend's connections; else groups are small, the larger the later all pairs are heard of: what is unknown
// must even out within one. A zone's last group stands for all of it, for the few proxies far above the mean:
// for all that are too large, a shift or repeats would put them all there when connections are shortest. It
// is done anew where the list has grown to more than twice, as after a start by a short, wrong one.
func (p *planner) divideZones(fleet []view) {
	pairs := float64(p.proxies*len(p.kinds)/p.instances + len(fleet)/len(p.zones))
	size, count := max(2, int(math.Ceil(2*pairs/p.intake))), make([]int, len(p.zones))
	for _, v := range fleet {
		if v.zone >= 0 {
			count[v.zone]++
		}
	}
	p.retired = append(p.retired, p.groups...)
	p.founded, p.perZone, p.groups = len(fleet), len(fleet), nil
	p.member, p.homes = map[policyapi.EndpointID]int{}, map[policyapi.ProxyID]int{}
	for _, n := range count {
		if n > 0 {
			p.perZone = max(1, min(p.perZone, n/size))
		}
	}
	if 4*p.proxies < p.sockets {
		p.perZone = 1
	}
	p.perZone = max(1, p.perZone)
	for z := range p.zones {
		for g := range p.perZone + 1 {
			p.groups = append(p.groups, group{id: p.groupsMade, zone: z, group: g, price: 1}) // the paper's start
			p.groupsMade++
		}
	}
}

// assignGroups packs backends and, by usage, proxies onto zone-local groups. Backends are dealt out by pod,
// so that what strikes a pod strikes few of a group.
func (p *planner) assignGroups(fleet []view, round bool) {
	if p.groups == nil || len(fleet) > 2*p.founded {
		p.divideZones(fleet)
	}
	for i, c := range p.groups {
		p.groups[i] = group{id: c.id, zone: c.zone, group: c.group, price: c.price}
	}
	byPod := slices.Clone(fleet)
	slices.SortStableFunc(byPod, func(a, b view) int { return cmp.Compare(a.entry.Pod, b.entry.Pod) })
	for _, v := range byPod {
		if v.zone < 0 {
			continue
		} else if _, has := p.member[v.id]; !has {
			p.member[v.id], _ = p.extremes(v.zone, func(c *group) float64 { return c.worth })
		}
		if c := &p.groups[p.member[v.id]]; p.usable(v, v.zone) {
			for _, c := range []*group{c, p.wholeZone(v.zone)} {
				c.worth, c.room = c.worth+v.worth, c.room+v.room
			}
		}
	}
	bySize := slices.Clone(p.flows)
	slices.SortStableFunc(bySize, func(a, b *proxyUsage) int { return cmp.Compare(b.total, a.total) })
	mean := sum(p.asked) / float64(max(1, len(p.flows)))
	for _, placed := range []bool{true, false} {
		for _, f := range bySize {
			whole := p.wholeZone(f.zone)
			part := f.total * float64(p.perZone) / max(whole.room, 1e-9) // of a group
			home, has := p.homes[f.proxy]
			wide := has && p.groups[home].group == p.perZone
			if p.perZone > 1 && (f.total > 4*mean && part > 0.5 || wide && f.total > 2*mean && part > 0.25) {
				home, wide, has = (f.zone+1)*(p.perZone+1)-1, false, true
			}
			if has = has && !wide; has != placed {
				continue
			} else if !has {
				home, _ = p.extremes(f.zone, func(c *group) float64 { return (c.load + f.total) / max(c.room, 1e-9) })
			}
			c := &p.groups[home]
			p.homes[f.proxy], c.load, c.flows = home, c.load+f.total, append(c.flows, f)
		}
	}
	for z := range p.zones {
		p.even(fleet, z)
		if round {
			p.rebind(z)
		}
	}
}

// even moves backends from a zone's group of the most worth to the one of the least when drains or failures
// have left them unequal.
func (p *planner) even(fleet []view, z int) {
	for range 3 {
		poor, rich := p.extremes(z, func(c *group) float64 { return c.worth })
		low, high := &p.groups[poor], &p.groups[rich]
		i := slices.IndexFunc(fleet, func(v view) bool {
			return v.zone == z && p.member[v.id] == rich && p.usable(v, z) && v.worth < 0.7*(high.worth-low.worth)
		})
		if i < 0 || high.worth < 2*low.worth {
			return
		}
		p.member[fleet[i].id] = poor
		low.worth, high.worth = low.worth+fleet[i].worth, high.worth-fleet[i].worth
	}
}

// rebind moves a proxy from a zone's fullest group to its emptiest, seldom: only where they differ by much,
// the full one is no quiet one, and the proxy has not been moved for 15 seconds.
func (p *planner) rebind(z int) {
	for range 1 + len(p.flows)/50 {
		empty, full := p.extremes(z, func(c *group) float64 { return c.load / max(c.room, 1e-9) })
		cool, hot, best := &p.groups[empty], &p.groups[full], -1
		gap := (hot.load*cool.room - cool.load*hot.room) / max(hot.room+cool.room, 1e-9)
		for i, f := range hot.flows {
			if f.total < 1.5*gap && p.clock-p.moved[f.proxy] >= 15 &&
				(best < 0 || math.Abs(f.total-gap) < math.Abs(hot.flows[best].total-gap)) {
				best = i
			}
		}
		if best < 0 || hot.load < 0.9*hot.room || hot.load*cool.room < 1.25*cool.load*hot.room {
			return
		}
		f := hot.flows[best]
		p.homes[f.proxy], p.moved[f.proxy], cool.flows = empty, p.clock, append(cool.flows, f)
		hot.load, cool.load, hot.flows = hot.load-f.total, cool.load+f.total, slices.Delete(hot.flows, best, best+1)
	}
}

// plan decides tables and levels anew from what the parts have told; the channel sends what differs.
func (p *planner) plan() {
	clear(p.asked)
	for _, f := range p.flows {
		p.asked[f.zone] += f.total
	}
	round := p.fresh
	fleet := p.fleet()
	p.look(fleet)
	p.assignGroups(fleet, round)
	w := targetState{tables: map[groupID][]tablePlan{}, homes: map[policyapi.ProxyID]groupID{},
		ready: map[policyapi.EndpointID]bool{}, urgent: p.urgent}
	for _, f := range p.flows {
		w.homes[f.proxy] = p.groups[p.homes[f.proxy]].id
	}
	p.loads = map[policyapi.EndpointID][]float64{}
	for _, v := range fleet {
		p.loads[v.id], w.ready[v.id] = make([]float64, len(p.groups)), v.ready
	}
	openness := p.openness(fleet)
	taken := map[policyapi.EndpointID]float64{} // by the kinds that may not go everywhere, whose sets come first
	for _, set := range p.sets {
		for i, c := range p.groups {
			if len(c.flows) > 0 || p.held[c.id] { // what proxies still hold is kept up, though they are to move
				lines := p.table(fleet, set, c, openness[c.zone], taken)
				w.tables[c.id] = append(w.tables[c.id], tablePlan{lines, p.guard(c, set, lines)})
				p.load(i, set, lines, taken)
			}
		}
		p.retired = slices.DeleteFunc(p.retired, func(c group) bool { return !p.held[c.id] })
		for _, c := range p.retired { // its zone, as long as somebody holds it
			whole := *p.wholeZone(c.zone)
			lines := p.table(fleet, set, whole, openness[c.zone], taken)
			w.tables[c.id] = append(w.tables[c.id], tablePlan{lines, p.guard(whole, set, lines)})
		}
	}
	p.admission(fleet)
	// A crash forgets how full the fleet is; levels that proxies still hold stand until that is known again.
	if p.known || p.letIn > 0 {
		w.admits = p.admitByKind()
	}
	p.channel.put(w)
}

// savedListHolds is how long the proxies keep what they hold while only a saved list is known: it may name
// the dead, and the newly started as well. What it calls draining was told, so a part of the grace at most.
func savedListHolds(period, grace micros) micros { return min(period, grace/4) }

// believes tells whether the list at hand is one to plan by: a new one, also without an endpoint, or a saved
// one that no newer one has followed for long enough.
func (p *planner) believes(now micros) bool {
	return p.settled || len(p.views) > 0 && now-p.startedAt >= p.savedHolds
}

// openness is, by zone, how much weight a backend elsewhere gets beside one at home: 0 keeps all at home, 1
// treats the fleet as one. A quiet zone stays at home; as the fleet fills up, or the zone above the fleet, it
// opens: proxies change faster than orders travel, and what one zone has too much another can take.
func (p *planner) openness(fleet []view) []float64 {
	const quiet, full = 0.6, 0.9 // use of the fleet at which zones begin to open and are one
	room, load, open := make([]float64, len(p.zones)), slices.Clone(p.asked), make([]float64, len(p.zones))
	for _, v := range fleet {
		if v.ready && v.zone >= 0 {
			load[v.zone] += v.foreign
			if p.usable(v, v.zone) {
				room[v.zone] += v.room
			}
		}
	}
	p.use = sum(load) / max(sum(room), 1e-9)
	if p.strain = p.use; p.letIn > 0 { // what is turned away strains nobody, and comes again and again
		p.strain *= min(1, (sum(load)-sum(p.asked)+p.letIn)/max(sum(load), 1e-9))
	}
	for z := range p.zones {
		open[z] = min(1, max(0, (p.use-quiet)/(full-quiet)))
		// and enough to leave the zone used no more than the fleet, or than a quiet one
		keep := max(quiet, p.use) * room[z] / max(load[z], 1e-9)
		if rest := sum(room) - room[z]; keep < 1 && rest > 0 {
			open[z] = max(open[z], min(2, room[z]*(1/max(keep, 1e-3)-1)/rest))
		}
	}
	return open
}

// table makes the lines of a set's table for a zone's proxies. Weights say what backends can do beside the
// fleet's mean, so that a line changes only when its backend, or the openness, does.
func (p *planner) table(fleet []view, set kindSet, c group, openness float64,
	taken map[policyapi.EndpointID]float64) []line {
	z, home := c.zone, c.worth > 0 && set.serves(p.zones[c.zone])
	var lines, last []line
	for _, v := range fleet {
		if p.allowed(v, set, z) {
			l := line{v.id, max(0.01, v.room/p.mean)}
			if last = append(last, l); !p.in(v, c) {
				continue
			}
			if !set.bound() { // what serves bound kinds as well gets the less of the others
				l.weight *= max(0.2, 1-taken[v.id]/max(v.room*p.use, 1e-9))
			}
			if v.zone != z && home {
				l.weight *= openness
			}
			if p.usable(v, z) && l.weight > 0.02 {
				lines = append(lines, l)
			}
		}
	}
	if len(lines) == 0 {
		lines = last // rule one: whatever is listed ready beats an empty table
	}
	return heaviest(lines, p.linesMost)
}

// guard is what each proxy of a narrow table may let in of each kind while a cold backend stands in it. A
// proxy can bring a hundred times its usage before the first late report of it has come; on the few backends
// of a group that pushes the cold ones over, and the more so the larger the fleet is beside its groups. With
// all kinds at this level one proxy and the load on top of it bring a cold backend, at 0.7 of its part, 0.7
// of the multiple that it can bear; the rest is for chance and for what still travels. Whole zones need none.
func (p *planner) guard(c group, set kindSet, lines []line) float64 {
	cold, carry := false, 0.0
	for _, l := range lines {
		cold, carry = cold || p.views[l.backend].share < 1, carry+l.weight*p.mean
	}
	if !cold || c.group == p.perZone || p.levels != policyapi.AdmissionByRate || p.tip <= 1 {
		return everything
	}
	return carry * (p.tip - min(1, p.use)) / float64(bits.OnesCount64(uint64(set.mask)))
}

// step is the change of what is let in that is worth a message; it also trims capacity, so that what stays
// unsent is safe. everything is a level that turns nothing away.
const step, everything = 0.05, 1e6

// admission runs the design's price step and F-NORM on each group and publishes the traffic-weighted mean of
// the groups' levels, only while load is above 90% of the summed capacity, on moves past the threshold.
func (p *planner) admission(fleet []view) {
	capacity, limited, letIn := make([]float64, len(p.groups)), false, 0.0
	for _, v := range fleet {
		c := v.room
		if v.limit > 0 {
			// One that says it is full, falsely or alone, must not drag all levels down: half counts at least.
			c, limited = max(min(v.limit, c), c/2), true
		}
		// Late answers tell of a queue: let in less than can be done until it has drained, in four reports.
		c *= 1 - min(0.5, max(0, v.answer-0.45*float64(v.target))/float64(4*v.period))
		c = max(c/2, c-v.queue*float64(second)/float64(4*v.period))
		own := sum(p.loads[v.id])
		c *= own / max(v.foreign+own, 1e-9) // several controllers: their proxies' share
		if !p.home(v) {
			// Its busy share never tells of more than full: ours is what it did for us and what it has to spare.
			c = min(c, v.served+max(0, 1-v.used)*v.room)
		}
		for i, part := range p.loads[v.id] {
			capacity[i] += (1 - step) * c * part / max(own, 1e-9)
		}
	}
	total, can := sum(p.asked), sum(capacity)
	for i := range p.groups {
		letIn += p.groups[i].let(capacity[i])
	}
	// More usage than all speeds learned together is slow to be: it need not wait for slow answers.
	limited = limited || p.known && total > can
	if !limited || p.levels == policyapi.AdmissionOff || total <= 0.9*can {
		letIn = 0
	}
	if (letIn > 0) != (p.letIn > 0) {
		p.out.log("levels on: %t, %.1f reqs a second asked, %.1f can be done", letIn > 0, total, can)
	}
	if letIn == 0 || math.Abs(letIn-p.letIn) > step*p.letIn {
		p.letIn = letIn
	}
}

// let takes price steps of a group (paper, algorithm 1), then F-NORM, and returns what its capacity lets in.
func (c *group) let(capacity float64) float64 {
	const gamma = 0.4 // the paper's
	floor, rates := 1.0, 0.0
	for _, f := range c.flows {
		// At the floor the largest proxy is let have twice its usage. A lower price says no more, and with all
		// rates capped the slope would be 0 and the price stuck.
		floor = min(floor, 0.5/max(f.total, 0.5))
	}
	for range 30 { // the paper's allocator steps all the time, ours between reports
		slope := 0.0
		rates, c.price = 0, max(floor, c.price)
		for _, f := range c.flows {
			x := 1 / c.price
			if rates += min(x, 2*f.total); x <= 2*f.total {
				slope -= x * x
			}
		}
		if slope < 0 {
			c.price = max(floor, c.price-gamma*(rates-capacity)/slope)
		}
	}
	return min(c.load, rates/max(1, rates/max(capacity, 1e-9))) // F-NORM
}

// admitByKind deals what is let in out to the request kinds; those of the least payoff are turned away first.
func (p *planner) admitByKind() []policyapi.SetAdmission {
	drop, usage, payoffs := 0.0, make([]float64, len(p.kinds)), map[float64]float64{} // usage by kind, by payoff
	for _, f := range p.flows {
		for k, u := range f.usage {
			usage[k] += u
			payoffs[p.kinds[k].PriorityWeight] += u
		}
	}
	second := policyapi.RetryIfNotExecuted // suits every kind
	if p.letIn > 0 || p.erring > 0.2 {
		second = policyapi.NoRetry // where many are full a second try only fills another
	}
	if p.letIn > 0 {
		drop = max(0, sum(usage)-p.letIn)
	}
	admits := make([]policyapi.SetAdmission, len(p.kinds))
	for _, payoff := range slices.Sorted(maps.Keys(payoffs)) {
		away := min(0.9, drop/max(payoffs[payoff], 1e-9)) // a tenth of each kind still comes: none starves
		drop -= away * payoffs[payoff]
		for k, kind := range p.kinds {
			if kind.PriorityWeight == payoff {
				admits[k] = policyapi.SetAdmission{Table: policyapi.AllTables, Classes: 1 << k, RetryPolicy: second,
					Level: p.level(k, away, usage[k])}
			}
		}
	}
	return admits
}

// passes is how much of reqs that come by chance a rate lets through. Less than the lower of the two: what a
// quiet moment leaves over is lost but for two seconds' worth, and one req at least. (The tokens are the
// queue of a server with as many places.) Where a proxy has few reqs a second it is a third less.
func passes(usage, rate float64) float64 {
	if usage <= 0 || rate <= 0 {
		return 0
	}
	part, places := rate/usage, max(1, 2*rate)
	if math.Abs(part-1) < 1e-3 {
		return usage * places / (places + 1)
	}
	return usage * (1 - (1-part)/(1-math.Pow(part, places+1)))
}

// level turns the part of a kind to be turned away into a level. One rate holds at all proxies, however
// unequal: it is set so that, by their usage, what it lets in at all of them together is right.
func (p *planner) level(k int, away, usage float64) float64 {
	if away <= 0 {
		return everything
	} else if p.levels == policyapi.AdmissionByShare {
		return 1 - away
	}
	low, high := 0.0, usage
	for range 20 {
		rate, in := (low+high)/2, 0.0
		for _, f := range p.flows {
			in += passes(f.usage[k], rate)
		}
		if in < (1-away)*usage {
			low = rate
		} else {
			high = rate
		}
	}
	return high
}

// unacknowledgedMost is how many messages of a stream are kept without an answer: one that has fallen silent
// has more.
const unacknowledgedMost = 64

// Parts of the queue: what may wait when routine goes out, when a whole table's change with a loss does, when
// a proxy is bound, and when what is owed goes out; and what a line to all who share a copy of a table may
// take.
const routinePart, wholePart, bindPart, owedPart, copyPart = 0.25, 0.5, 0.8, 0.9, 0.125

// send brings the proxies nearer to how they should stand, as far as queue and messages allow. Lines count as
// queued until acknowledged, whatever the stated pace, so that a channel that runs slow holds back by itself;
// routine leaves most of each limit to what is owed: endpoints that are withdrawn have to be out of all
// tables within the grace, also of those that nobody is meant to use any more but that a proxy is still bound
// to.
func (c *channel) send(now micros) {
	c.lastAt, c.queued = now, c.waiting(now)
	messages, every, most := c.count(now), c.period, c.most/2
	if c.most > 0 {
		every = max(every, 2*c.span/micros(c.most))
	}
	// A loss that comes soon after another change must not wait for the routine's turn, and finds messages left.
	hold := min(every/2, c.grace/4)
	if c.plan.urgent {
		every, most = every/2, min(c.most*3/4, c.most-2)
	}
	free, routine := now-c.lastSent >= every && (c.most == 0 || messages < most), routinePart*c.queueCap
	if !free {
		routine = 0
	}
	c.followPlan()
	pending := c.sendOwed(now, now-c.lastSent >= hold)
	// Levels that move with each report would leave the tables nothing: they take turns as well.
	if c.held {
		c.held = c.sendTables(now, routine)
		c.sendLevels(now, routine)
	} else {
		c.sendLevels(now, routine)
		c.held = c.sendTables(now, routine)
	}
	if free && c.queued < routine {
		for _, s := range c.moves() {
			c.bindPlanned(s)
		}
	}
	c.finish(now)
	if pending && now >= c.retryAt {
		wait := max(shortest, min(hold, c.grace/16))
		c.retryAt = now + wait
		c.out.add(policyapi.SetTimer{After: wait, Token: retryToken})
	}
}

// sendOwed sends what the rules want, with most of the queue: endpoints that are withdrawn leave the tables,
// those first where it has been owed for longest; then proxies that join get tables in place of what they
// brought along, which takes three times the lines. What tables lose else follows. It tells whether some had
// to wait.
func (c *channel) sendOwed(now micros, open bool) (pending bool) {
	losing := c.losing(now)
	for _, r := range losing {
		pending = r.owed > 0 && !c.sendLoss(now, r, open) || pending
	}
	for _, s := range c.joins() {
		pending = !c.bindPlanned(s) || pending
	}
	for _, r := range losing {
		if r.owed == 0 {
			c.sendLoss(now, r, open)
		}
	}
	return pending
}

// sendLoss sends what the tables of a replica lose: the whole change where that takes little, else as many
// lines as fit. It tells whether all that is owed has gone out.
func (c *channel) sendLoss(now micros, r *replica, open bool) (done bool) {
	if !open || c.savesLastMessage(now, r) {
		return false
	} else if c.anySated(r) {
		c.evacuate(r)
		return false
	}
	done = true
	for set := range r.tables {
		change := r.tables[set].change
		loss := slices.Concat(change.owed, change.lost)
		part := wholePart // what need not be lost at once leaves room for the next loss
		if change.replaces {
			part = owedPart
		}
		if len(loss) == 0 {
			continue
		} else if c.fits(r.streams, part) >= change.size() {
			c.charge(now, r.streams, float64(change.size()))
			c.orderGuard(r, set, change)
			c.order(r, set, slices.Concat(loss, change.rest))
		} else if fit := min(len(loss), c.fits(r.streams, owedPart)); fit > 0 {
			done = done && fit >= len(change.owed)
			c.charge(now, r.streams, float64(fit))
			c.order(r, set, loss[:fit])
		} else {
			done = false
		}
		r.lostAt = now
	}
	return done
}

// savesLastMessage tells whether a replica's loss waits for others that may come, as it would take the last
// message that one of its proxies may get: as long as half of the grace is left to the channel, and what that
// was seen to take.
func (c *channel) savesLastMessage(now micros, r *replica) bool {
	last := func(s *stream) bool { return c.most > 0 && len(s.sent) == c.most-1 }
	return slices.ContainsFunc(r.streams, last) && r.owed > 0 && now < r.owed+c.grace/2-c.lag()
}

// messagesUsedUp tells whether a stream may get no more messages now. Two are left to what is owed.
func (c *channel) messagesUsedUp(s *stream, owed bool) bool {
	most := c.most
	if !owed {
		most -= 2
	}
	return c.most > 0 && len(s.sent) >= most
}

// evacuate binds the streams that may still get a message to another copy of their tables: those that may not
// would hold back what all of them are owed.
func (c *channel) evacuate(r *replica) {
	var fresh *replica
	for _, s := range slices.Clone(r.streams) {
		if r.owed == 0 || c.messagesUsedUp(s, true) || !c.binds(r, owedPart) {
			continue
		}
		if fresh == nil {
			fresh = c.addReplica(r.group)
		}
		c.bind(s, fresh)
	}
}

// binds tells whether there is room to bind a proxy to a replica's tables.
func (c *channel) binds(r *replica, part float64) bool {
	return c.queued+c.messageOverhead()+c.bindCost(r) < part*c.queueCap
}

// bindPlanned binds a proxy to the tables that it is to have, if there is room. One that may get no message
// now holds back nobody.
func (c *channel) bindPlanned(s *stream) bool {
	r := c.copyFor(c.plan.homes[s.proxy])
	if c.messagesUsedUp(s, s.replica == nil) {
		return true
	} else if !c.binds(r, bindPart) {
		return false
	}
	c.bind(s, r)
	return true
}

// copyFor is the copy of a group's tables that a proxy is bound to: the one with the fewest, a new one if all
// have as many as one line of each may reach.
func (c *channel) copyFor(group groupID) (least *replica) {
	for _, r := range c.replicas {
		if r.group == group && (least == nil || len(r.streams) < len(least.streams)) {
			least = r
		}
	}
	line := c.messageOverhead() + 1 // to one proxy
	if least == nil || float64(len(least.streams)+1)*line > max(copyPart*c.queueCap, line) {
		return c.addReplica(group)
	}
	return least
}

// sendTables sends the other lines that differ by enough, and the tables' own levels, while no more than most
// waits. What does not fit, be it that half the fleet changed at once, waits for its turn: it tells whether
// any does.
func (c *channel) sendTables(now micros, most float64) (held bool) {
	start, sets := c.turn, len(c.masks)
	from := slices.IndexFunc(c.replicas, func(r *replica) bool { return r.first+policyapi.TableID(sets) > start })
	for i := range len(c.replicas) * sets {
		i = (i + max(0, from)*sets + int(start)%sets) % (len(c.replicas) * sets)
		r, set := c.replicas[i/sets], i%sets
		change := r.tables[set].change
		if len(change.owed)+len(change.lost) > 0 || change.size() == 0 || len(r.streams) == 0 {
			continue
		}
		part := owedPart
		if r.lostAt == now { // as above: room for the next loss
			part = wholePart
		}
		if c.queued >= most || c.fits(r.streams, part) < change.size() {
			held = true
			continue
		}
		c.turn = r.table(set) + 1
		c.charge(now, r.streams, float64(change.size()))
		c.order(r, set, change.rest)
		c.orderGuard(r, set, change)
	}
	return held
}

// sendLevels sends the levels of all tables that have changed, while no more than most waits.
func (c *channel) sendLevels(now micros, most float64) {
	streams := slices.Collect(maps.Values(c.streams))
	for _, a := range c.plan.admits {
		if c.queued < most && c.admits[a.Classes] != a && c.fits(streams, owedPart) > 0 {
			c.admits[a.Classes] = a
			c.out.add(a)
			c.charge(now, streams, 1)
		}
	}
}

// near tells whether a figure is so close to what was sent that it is not worth a line.
func near(wanted, sent float64) bool { return wanted >= 0.85*sent && wanted <= 1.18*sent }

// differs is what one of a replica's tables has to change by to be as planned: lines that differ by enough.
func (c *channel) differs(r *replica, set int) (change tableChange) {
	planned, has := c.plan.tables[r.group]
	if !has {
		return change
	}
	held, wanted := r.tables[set].lines, map[policyapi.EndpointID]bool{}
	var best line // of those that come
	for _, l := range planned[set].lines {
		wanted[l.backend] = true
		if near(l.weight, held[l.backend]) {
			continue
		}
		change.rest = append(change.rest, l)
		if held[l.backend] == 0 && l.weight > best.weight {
			best = l
		}
	}
	stay := false
	for _, id := range slices.Sorted(maps.Keys(held)) {
		switch {
		case wanted[id]:
			stay = true
		case c.plan.ready[id]:
			change.lost = append(change.lost, line{id, 0})
		default:
			change.owed = append(change.owed, line{id, 0})
		}
	}
	if change.replaces = !stay; !stay && best.weight > 0 { // rule one: first what can be picked, then the losses
		change.rest = slices.DeleteFunc(change.rest, func(l line) bool { return l == best })
		change.owed = slices.Insert(change.owed, 0, best)
	}
	// A table's own level goes with its lines, so that it is there no later than what it guards.
	second := policyapi.RetryIfNotExecuted
	for _, a := range c.plan.admits {
		second = a.RetryPolicy
	}
	t := r.tables[set]
	level := planned[set].guard
	change.guard = policyapi.SetAdmission{Table: r.table(set), Classes: c.masks[set], Level: level, RetryPolicy: second}
	moves := !near(level, t.guard.Level) || second != t.guard.RetryPolicy
	change.guardMoves = moves && (t.guarded || level < everything)
	return change
}
