// Package policy holds every decision of porthub, all of them in this file. Its interface is package control
// (control/control.go). A host calls New with the start settings, then Take with each batch of events at the
// batch's time, and carries out the orders that Take returns. An Instance shares nothing and reads no clock
// but that argument. Its parts talk only by notes in inboxes (parts.go and channel.go have their state and the
// loop): endpointList follows the list, a backend actor stands for each endpoint, proxyRegistry keeps the
// proxyCount and their usage, planner decides tables, prices and levels, channel sends what has changed.
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
const minReportPeriod, recentReportWindow, maxDisconnectedShare = second / 10, 5 * second, 0.05

// endpointRetention is how long what was learned of a backend is kept once it is gone: it may come back under its
// name.
const endpointRetention = 60 * second

// reportRound closes a round of reports. They are capped, the oldest first: where as many came as may, what was not
// recentlyReported is no sign of silence unless it is older than all that was heard.
func (in *Instance) closeRound(now micros) (b reportRound) {
	if in.reportLines > 0 { // after a gap, a round is at most four periods
		b.seconds = float64(now-max(in.roundClosedAt, now-4*in.period)) / float64(second)
		if in.maxLinesPerSecond > 0 && float64(in.reportLines) >= 0.9*in.maxLinesPerSecond*b.seconds {
			b.silenceLimit = in.longestPeriod + 2*in.period
		}
		in.roundClosedAt, in.reportLines, in.longestPeriod = now, 0, 0
	}
	return b
}

// maxMessagesSent takes a round's reqs into what is known of a proxy's usage.
func (f *proxyDemand) applyRound(now micros, b reportRound) {
	for i := range f.rates {
		if !f.connected {
			f.rates[i] *= 0.97 // forgotten if it stays away
		} else if f.roundRequests[i] > 0 || now-f.countedUntil[i] > b.silenceLimit {
			t, way := decayStep(now, f.countedUntil[i], b.seconds)
			f.rates[i] += way * (f.roundRequests[i]/t - f.rates[i])
			f.roundRequests[i], f.countedUntil[i], f.reported = 0, now, true
		}
	}
}

// retryPoll asks for the list after a failure, each time later, and not in step with other coordinators.
func (r *endpointList) retryPoll() {
	r.failures = min(r.failures+1, 4)
	after := float64(second) * float64(r.failures) * (0.25 + 0.5*r.random())
	r.out.add(policyapi.SetTimer{After: micros(after), Token: pollToken})
}

func (b *endpointActor) updateEntry(e policyapi.Endpoint) {
	if e.StartedAt > b.entry.StartedAt {
		// A new process: what was held against the old one, or learned while it failed, is void.
		b.capacityLimit, b.slowReports, b.recoveredAt, b.byZone = 0, 0, 0, make([]zoneHealth, len(b.zones))
	}
	// Where gone does not bind, a list that drops what it never called draining may be wrong, and half the
	// estimateFleet with it: such a backend keeps its lines as long as it answers.
	if b.unconfirmedRemoval = b.softRemoval && e.Status == policyapi.Removed && b.entry.Status == policyapi.Ready; !b.unconfirmedRemoval {
		b.entry = e
	}
}

// evaluateHealth closes a round and tells whether the backend has become sick.
func (b *endpointActor) evaluateHealth(now micros, end roundClosed) bool {
	var all zoneHealth

	newest := 0.0 // done reqs a second
	b.served = 0
	for z := range b.byZone {
		s := &b.byZone[z]
		all.attempts, all.failures, all.latencySum = all.attempts+s.attempts, all.failures+s.failures, all.latencySum+s.latencySum
		if s.attempts > 0 || now-s.countedUntil > end.silenceLimit {
			t, way := decayStep(now, s.countedUntil, end.seconds)
			s.latestRate, s.countedUntil = (s.attempts-s.failures)/t, now
			s.served += way * (s.latestRate - s.served)
		} else {
			s.latestRate, end.expectedAttempts[z] = s.served, 0
		}
		b.served, newest = b.served+s.served, newest+s.latestRate
		all.ejected = b.detectOutlier(now, z, s, end.expectedAttempts[z], end.failureRate) || all.ejected
		s.attempts, s.failures, s.latencySum = 0, 0, 0
	}
	if done := all.attempts - all.failures; done > 0 {
		b.latency += 0.5 * (all.latencySum/done - b.latency)
	}
	busy, hasBusy := b.metrics["busy"]
	rate, told := b.metrics["rate"] // from all proxies, as busy is
	if told {
		b.externalLoad = max(0, rate-b.served)
	} else if end.allReported {
		rate = newest
	}
	t, _ := decayStep(now, b.reportedAt, end.seconds)
	if all.attempts > 0 {
		b.reportedAt, b.reportsRate = now, told
	}
	if hasBusy {
		b.busyShare, b.queue = busy, b.metrics["q"]
	}
	b.lastRate, b.lastBusy, b.metrics = 0, 0, nil
	if busy > 0.05 && b.warmUpProgress(now) == 1 && (told || end.allReported) {
		// Learned only warm and while all its load is known: else it would pass for slow for long.
		b.lastRate, b.lastBusy = rate, busy
		b.throughput.add(busy, busy*t, rate*t, 12)
	}
	if all.attempts > 0 || end.silenceLimit == 0 {
		b.updateCapacityLimit(all, t/end.seconds, !hasBusy || busy > 0.85)
	}
	return all.ejected
}

// updateCapacityLimit keeps the design's rule: no limit until slow for three reports, then what it served, raised as it
// allows more. Ours: it is slow only if its answers and its own word agree, so that neither a few dear reqs
// nor a false report of being full drag the levels down; and the limit grows with each report that is not
// slowReports and ends above its speed, so that neither a passing slowness nor a cold start leaves a lasting low
// capacity.
func (b *endpointActor) updateCapacityLimit(all zoneHealth, rounds float64, busy bool) {
	late := all.latencySum > 0.6*(all.attempts-all.failures)*float64(b.latencyObjective)
	if all.attempts >= 3 && busy && (all.failures > 0.3*all.attempts || late) {
		if b.slowReports++; b.slowReports >= 3 && b.capacityLimit == 0 {
			b.capacityLimit = b.served
		}
	} else {
		b.slowReports, b.capacityLimit = 0, math.Pow(1.05, rounds)*b.capacityLimit
	}
	if worked, served := b.throughput.total(); b.capacityLimit > 1.3*served/max(worked, 1) {
		b.capacityLimit = 0
	} else if b.capacityLimit > 0 {
		b.capacityLimit = max(b.capacityLimit, b.served)
	}
}

// detectOutlier finds a backend that answers a zone's proxies nothing at all, by errors or by silence where its
// reportLines should have brought tries. One that is merely full answers some and stays: without it the others are
// pushed over. It is tried again later and later; where probes are allowed, once one went well.
func (b *endpointActor) detectOutlier(now micros, z int, s *zoneHealth, expect, fleet float64) bool {
	switch {
	case b.entry.Status != policyapi.Ready || s.ejected && now < s.retryAt:
	case s.ejected && b.unconfirmedRemoval: // not tried again before it is listed
	case s.ejected && b.healthChecks && b.healthyAt < s.retryAt:
		b.out.add(policyapi.CheckHealth{Endpoint: b.id})
		s.retryAt = now
	case s.ejected:
		s.ejected, s.consecutiveFailures, b.recoveredAt = false, 4, now
	case s.attempts > s.failures:
		if s.consecutiveFailures = 0; b.slowStartFactor(now) >= 1 {
			s.backoff = 0
		}
	default: // 12: by chance hardly ever, even of a busy one; more where all err
		if s.consecutiveFailures += max(s.attempts, expect); s.consecutiveFailures > 12/((1.01-fleet)*(1.01-fleet)) {
			s.ejected, s.backoff = true, min(max(2*second, 2*s.backoff), 8*second)
			s.retryAt = now + s.backoff
			b.out.log("%s sick from %s: of about %.0f tries in a row none was done", b.id, b.zones[z], s.consecutiveFailures)
			return true
		}
	}
	return false
}

// warmUpProgress is the part of its capacity that a backend has by the slowest course the rules allow.
func (b *endpointActor) warmUpProgress(now micros) float64 {
	if b.entry.StartedAt <= 0 || now-b.entry.StartedAt >= b.warmUp {
		return 1
	}
	return b.initialCapacity + (1-b.initialCapacity)*max(0, float64(now-b.entry.StartedAt)/float64(b.warmUp))
}

// slowStartFactor is the part of its usual work that it may get now. One back from trouble may be a new process that
// the list has not told of yet: it is eased in from twice a cold one's part, while the list may still come.
func (b *endpointActor) slowStartFactor(now micros) float64 {
	if b.recoveredAt == 0 {
		return b.warmUpProgress(now)
	}
	return min(b.warmUpProgress(now), 2*b.initialCapacity+float64(now-b.recoveredAt)/float64(5*second))
}

// closeRound tells the backends that a round of reports is over, with what they can't see alone.
func (p *planner) closeRound(b reportRound) {
	errored := p.roundFailures / max(sum(p.zoneAttempts), 1)
	for _, id := range slices.Sorted(maps.Keys(p.endpoints)) {
		end := roundClosed{make([]float64, len(p.zones)), errored, b.seconds, b.silenceLimit, p.allConnected}
		for i, load := range p.endpointLoad[id] {
			if z := p.groups[i].zone; p.zoneDemand[z] > 0 {
				end.expectedAttempts[z] += load / p.zoneDemand[z] * p.zoneAttempts[z]
			}
		}
		p.endpoints[id].mailbox.send(end)
	}
	p.failureRate += 0.5 * (errored - p.failureRate)
	clear(p.zoneAttempts)
	p.roundFailures, p.roundFinished = 0, true
}

// estimateFleet lists the backends with what they are worth: what they did in a busy second and, while little is
// speedsKnown, what their listed weight says. What slows all backends at once, or makes all reqs dearer, shows in
// the fleet's pace within a round, long before each has learned it, and is gone as fast.
func (p *planner) estimateFleet() []endpointState {
	var fleet []endpointState
	const prior = 2 // busy seconds that the listed weight counts for
	worked, served, learned, near, did, meant, asked, home := 1e-9, 0.0, 0.0, 0.0, 0.0, 0.0, sum(p.zoneDemand), 1e-9
	kinds := map[policyapi.MachineType][]float64{} // mean answer times by machine kind
	for _, id := range slices.Sorted(maps.Keys(p.endpoints)) {
		v := p.endpoints[id]
		v.entry.Weight = max(v.entry.Weight, 1e-3)
		fleet = append(fleet, v)
		if v.latency > 0 {
			kinds[v.entry.MachineType] = append(kinds[v.entry.MachineType], v.latency)
		}
		if n, s := v.throughput.total(); p.isLocal(v) {
			// a fleet of which nothing is known is taken to be used by two thirds
			learned, near = learned+n, near+1
			worked += (n + 0.3) * v.entry.Weight
			served += s
		}
	}
	served += 0.3 * 1.5 * max(asked, 1)
	for i := range fleet {
		v := &fleet[i]
		n, s := v.throughput.total()
		v.capacity = (s + prior*v.entry.Weight*served/worked) / (n + prior)
		did, meant = did+v.lastRate, meant+v.capacity*v.lastBusy
		if v.ready && p.isLocal(*v) {
			home += v.capacity
		}
	}
	p.speedsKnown = p.speedsKnown || learned > max(1, near)
	if p.roundFinished && meant > 0 {
		p.fleetSpeed += 0.5 * (min(1.5, max(0.4, did/meant)) - p.fleetSpeed)
	}
	p.roundFinished = false
	strain := max(1, p.admittedUtilization) / (1.01 - min(1, p.failureRate))
	p.meanCapacity = 0
	for i := range fleet {
		v := &fleet[i]
		v.capacity *= p.fleetSpeed
		if p.meanCapacity += v.capacity / float64(len(fleet)); !p.isLocal(*v) {
			// Where other controllers have the proxies, they load it too: by its busy share if it was heard of
			// recentReportWindow, else nearly as at home. What is unheard is not idle.
			if !v.recentlyReported {
				v.served, v.busyShare = 0, min(1, 0.7*asked/home)
				v.externalLoad = v.busyShare * v.capacity
			} else if !v.reportsRate {
				v.externalLoad = max(0, v.busyShare*v.capacity-v.served)
			}
		}
		v.availableCapacity = v.capacity * v.slowStartFactor
		if answers := kinds[v.entry.MachineType]; v.latency > 0 {
			// Judged by its answer times against its kind's: one that stalls or is overrun gets less at once.
			v.availableCapacity *= min(1, max(0.5, 1.5*sum(answers)/float64(len(answers))/v.latency))
		}
		if v.slowStartFactor < 1 {
			// All proxies together must not push a cold one over. Where the others are full, second tries and
			// what shuns them all come on top of its weight; just after a crash nothing is known of that.
			if v.availableCapacity *= 0.7 / strain; strain > 1.5 || !p.speedsKnown {
				v.availableCapacity = 0
			}
		}
	}
	return fleet
}

// updatePanicThreshold sees to it that sick marks never empty a zone's tables: when under a fifth of the listed speed looks
// well from a zone, the fault is likelier on the way or in the reports, and all lines stay.
func (p *planner) updatePanicThreshold(fleet []endpointState) {
	for z, name := range p.zones {
		well, ready := 0.0, 0.0
		for _, v := range fleet {
			if v.ready {
				ready += v.capacity
				if !v.ejected[z] {
					well += v.capacity
				}
			}
		}
		if blind := well < 0.2*ready; blind != p.panicZones[z] {
			p.panicZones[z] = blind
			p.out.log("sick marks of %s passed over: %t, %.0f of %.0f reqs a second well", name, blind, well, ready)
		}
	}
}

// mayServe tells whether a set's reqs from a zone's proxies may go to a backend, usable whether they should.
func (p *planner) mayServe(v endpointState, set classPlacement, z int) bool {
	return v.ready && v.zone >= 0 && (!set.localZoneOnly || v.zone == z) && set.allows(p.zones[v.zone])
}

// groupMember tells whether a backend is in a group, or of the same number in another zone. A group left with far less
// availableCapacity for its load than its zone has, all dead or cold but one, borrows from the zone: that one would fall.
func (p *planner) groupMember(v endpointState, c group) bool {
	short := c.availableCapacity*p.zoneDemand[c.zone] < 0.5*c.load*p.zoneGroup(c.zone).availableCapacity
	return c.index == p.groupsPerZone || p.groups[p.endpointGroup[v.id]].index == c.index || short && v.zone == c.zone
}

// isLocal tells whether a backend is in a zone whose proxies are, in part at least, this controller's own.
func (p *planner) isLocal(v endpointState) bool {
	return p.instances == 1 || v.zone >= 0 && p.zoneDemand[v.zone] > 0
}

func (p *planner) isUsable(v endpointState, z int) bool {
	return v.ready && (p.panicZones[z] || !v.ejected[z])
}

// divideZones divides the zones into groups, the design's server groups: one table for all of a large zone
// costs lines, standstill and connections. A zone stays whole where all proxies take under a quarter of a
// endpoint's connections; else groups are small, the larger the later all pairs are heard of: what is unknown
// must even out within one. A zone's last group stands for all of it, for the few proxies far above the mean:
// for all that are too large, a shift or repeats would put them all there when connections are shortest. It
// is done anew where the list has grown to more than twice, as after a start by a short, wrong one.
func (p *planner) divideZones(fleet []endpointState) {
	pairs := float64(p.proxyCount*len(p.classes)/p.instances + len(fleet)/len(p.zones))
	size, count := max(2, int(math.Ceil(2*pairs/p.maxReportLines))), make([]int, len(p.zones))
	for _, v := range fleet {
		if v.zone >= 0 {
			count[v.zone]++
		}
	}
	p.retired = append(p.retired, p.groups...)
	p.endpointsAtDivision, p.groupsPerZone, p.groups = len(fleet), len(fleet), nil
	p.endpointGroup, p.proxyGroup = map[policyapi.EndpointID]int{}, map[policyapi.ProxyID]int{}
	for _, n := range count {
		if n > 0 {
			p.groupsPerZone = max(1, min(p.groupsPerZone, n/size))
		}
	}
	if 4*p.proxyCount < p.endpointConnections {
		p.groupsPerZone = 1
	}
	p.groupsPerZone = max(1, p.groupsPerZone)
	for z := range p.zones {
		for g := range p.groupsPerZone + 1 {
			p.groups = append(p.groups, group{id: p.nextGroup, zone: z, index: g, price: 1}) // the paper's start
			p.nextGroup++
		}
	}
}

// assignGroups packs backends and, by usage, proxies onto zone-local groups. Backends are dealt out by pod,
// so that what strikes a pod strikes few of a group.
func (p *planner) assignGroups(fleet []endpointState, round bool) {
	if p.groups == nil || len(fleet) > 2*p.endpointsAtDivision {
		p.divideZones(fleet)
	}
	for i, c := range p.groups {
		p.groups[i] = group{id: c.id, zone: c.zone, index: c.index, price: c.price}
	}
	byPod := slices.Clone(fleet)
	slices.SortStableFunc(byPod, func(a, b endpointState) int { return cmp.Compare(a.entry.Pod, b.entry.Pod) })
	for _, v := range byPod {
		if v.zone < 0 {
			continue
		} else if _, has := p.endpointGroup[v.id]; !has {
			p.endpointGroup[v.id], _ = p.extremes(v.zone, func(c *group) float64 { return c.capacity })
		}
		if c := &p.groups[p.endpointGroup[v.id]]; p.isUsable(v, v.zone) {
			for _, c := range []*group{c, p.zoneGroup(v.zone)} {
				c.capacity, c.availableCapacity = c.capacity+v.capacity, c.availableCapacity+v.availableCapacity
			}
		}
	}
	bySize := slices.Clone(p.proxies)
	slices.SortStableFunc(bySize, func(a, b *proxyDemand) int { return cmp.Compare(b.total, a.total) })
	mean := sum(p.zoneDemand) / float64(max(1, len(p.proxies)))
	for _, placed := range []bool{true, false} {
		for _, f := range bySize {
			whole := p.zoneGroup(f.zone)
			part := f.total * float64(p.groupsPerZone) / max(whole.availableCapacity, 1e-9) // of a group
			home, has := p.proxyGroup[f.proxy]
			wide := has && p.groups[home].index == p.groupsPerZone
			if p.groupsPerZone > 1 && (f.total > 4*mean && part > 0.5 || wide && f.total > 2*mean && part > 0.25) {
				home, wide, has = (f.zone+1)*(p.groupsPerZone+1)-1, false, true
			}
			if has = has && !wide; has != placed {
				continue
			} else if !has {
				home, _ = p.extremes(f.zone, func(c *group) float64 { return (c.load + f.total) / max(c.availableCapacity, 1e-9) })
			}
			c := &p.groups[home]
			p.proxyGroup[f.proxy], c.load, c.proxies = home, c.load+f.total, append(c.proxies, f)
		}
	}
	for z := range p.zones {
		p.rebalanceEndpoints(fleet, z)
		if round {
			p.rebalanceProxies(z)
		}
	}
}

// rebalanceEndpoints moves backends from a zone's group of the most worth to the one of the least when drains or failures
// have left them unequal.
func (p *planner) rebalanceEndpoints(fleet []endpointState, z int) {
	for range 3 {
		poor, rich := p.extremes(z, func(c *group) float64 { return c.capacity })
		low, high := &p.groups[poor], &p.groups[rich]
		i := slices.IndexFunc(fleet, func(v endpointState) bool {
			return v.zone == z && p.endpointGroup[v.id] == rich && p.isUsable(v, z) && v.capacity < 0.7*(high.capacity-low.capacity)
		})
		if i < 0 || high.capacity < 2*low.capacity {
			return
		}
		p.endpointGroup[fleet[i].id] = poor
		low.capacity, high.capacity = low.capacity+fleet[i].capacity, high.capacity-fleet[i].capacity
	}
}

// rebalanceProxies moves a proxy from a zone's fullest group to its emptiest, seldom: only where they differ by much,
// the full one is no quiet one, and the proxy has not been moved for 15 seconds.
func (p *planner) rebalanceProxies(z int) {
	for range 1 + len(p.proxies)/50 {
		empty, full := p.extremes(z, func(c *group) float64 { return c.load / max(c.availableCapacity, 1e-9) })
		cool, hot, best := &p.groups[empty], &p.groups[full], -1
		gap := (hot.load*cool.availableCapacity - cool.load*hot.availableCapacity) / max(hot.availableCapacity+cool.availableCapacity, 1e-9)
		for i, f := range hot.proxies {
			if f.total < 1.5*gap && p.clock-p.movedAt[f.proxy] >= 15 &&
				(best < 0 || math.Abs(f.total-gap) < math.Abs(hot.proxies[best].total-gap)) {
				best = i
			}
		}
		if best < 0 || hot.load < 0.9*hot.availableCapacity || hot.load*cool.availableCapacity < 1.25*cool.load*hot.availableCapacity {
			return
		}
		f := hot.proxies[best]
		p.proxyGroup[f.proxy], p.movedAt[f.proxy], cool.proxies = empty, p.clock, append(cool.proxies, f)
		hot.load, cool.load, hot.proxies = hot.load-f.total, cool.load+f.total, slices.Delete(hot.proxies, best, best+1)
	}
}

// plan decides tables and levels anew from what the parts have told; the channel sends what differs.
func (p *planner) plan() {
	clear(p.zoneDemand)
	for _, f := range p.proxies {
		p.zoneDemand[f.zone] += f.total
	}
	round := p.roundFinished
	fleet := p.estimateFleet()
	p.updatePanicThreshold(fleet)
	p.assignGroups(fleet, round)
	w := targetState{tables: map[groupID][]tablePlan{}, proxyGroups: map[policyapi.ProxyID]groupID{},
		ready: map[policyapi.EndpointID]bool{}, urgent: p.urgent}
	for _, f := range p.proxies {
		w.proxyGroups[f.proxy] = p.groups[p.proxyGroup[f.proxy]].id
	}
	p.endpointLoad = map[policyapi.EndpointID][]float64{}
	for _, v := range fleet {
		p.endpointLoad[v.id], w.ready[v.id] = make([]float64, len(p.groups)), v.ready
	}
	openness := p.zoneSpillover(fleet)
	taken := map[policyapi.EndpointID]float64{} // by the kinds that may not go everywhere, whose sets come first
	for _, set := range p.placements {
		for i, c := range p.groups {
			if len(c.proxies) > 0 || p.boundGroups[c.id] { // what proxies still hold is kept up, though they are to move
				lines := p.buildTable(fleet, set, c, openness[c.zone], taken)
				w.tables[c.id] = append(w.tables[c.id], tablePlan{lines, p.warmUpAdmission(c, set, lines)})
				p.addLoad(i, set, lines, taken)
			}
		}
		p.retired = slices.DeleteFunc(p.retired, func(c group) bool { return !p.boundGroups[c.id] })
		for _, c := range p.retired { // its zone, as long as somebody holds it
			whole := *p.zoneGroup(c.zone)
			lines := p.buildTable(fleet, set, whole, openness[c.zone], taken)
			w.tables[c.id] = append(w.tables[c.id], tablePlan{lines, p.warmUpAdmission(whole, set, lines)})
		}
	}
	p.updateAdmittedRate(fleet)
	// A crash forgets how full the fleet is; levels that proxies still hold stand until that is known again.
	if p.speedsKnown || p.admittedRate > 0 {
		w.admissions = p.admitByClass()
	}
	p.channel.send(w)
}

// cachedListHold is how long the proxies keep what they hold while only a saved list is known: it may name
// the dead, and the newly started as well. What it calls draining was told, so a part of the grace at most.
func cachedListHold(period, grace micros) micros { return min(period, grace/4) }

// acceptsList tells whether the list at hand is one to plan by: a new one, also without an endpoint, or a saved
// one that no newer one has followed for long enough.
func (p *planner) acceptsList(now micros) bool {
	return p.listConfirmed || len(p.endpoints) > 0 && now-p.startedAt >= p.cachedListHold
}

// zoneSpillover is, by zone, how much weight a backend elsewhere gets beside one at home: 0 keeps all at home, 1
// treats the fleet as one. A quiet zone stays at home; as the fleet fills up, or the zone above the fleet, it
// opens: proxies change faster than orders travel, and what one zone has too much another can take.
func (p *planner) zoneSpillover(fleet []endpointState) []float64 {
	const quiet, full = 0.6, 0.9 // use of the fleet at which zones begin to open and are one
	room, load, open := make([]float64, len(p.zones)), slices.Clone(p.zoneDemand), make([]float64, len(p.zones))
	for _, v := range fleet {
		if v.ready && v.zone >= 0 {
			load[v.zone] += v.externalLoad
			if p.isUsable(v, v.zone) {
				room[v.zone] += v.availableCapacity
			}
		}
	}
	p.utilization = sum(load) / max(sum(room), 1e-9)
	if p.admittedUtilization = p.utilization; p.admittedRate > 0 { // what is turned away strains nobody, and comes again and again
		p.admittedUtilization *= min(1, (sum(load)-sum(p.zoneDemand)+p.admittedRate)/max(sum(load), 1e-9))
	}
	for z := range p.zones {
		open[z] = min(1, max(0, (p.utilization-quiet)/(full-quiet)))
		// and enough to leave the zone used no more than the fleet, or than a quiet one
		keep := max(quiet, p.utilization) * room[z] / max(load[z], 1e-9)
		if rest := sum(room) - room[z]; keep < 1 && rest > 0 {
			open[z] = max(open[z], min(2, room[z]*(1/max(keep, 1e-3)-1)/rest))
		}
	}
	return open
}

// buildTable makes the lines of a set's table for a zone's proxies. Weights say what backends can do beside the
// estimateFleet's mean, so that a line changes only when its backend, or the openness, does.
func (p *planner) buildTable(fleet []endpointState, set classPlacement, c group, openness float64,
	taken map[policyapi.EndpointID]float64) []tableLine {
	z, home := c.zone, c.capacity > 0 && set.allows(p.zones[c.zone])
	var lines, last []tableLine
	for _, v := range fleet {
		if p.mayServe(v, set, z) {
			l := tableLine{v.id, max(0.01, v.availableCapacity/p.meanCapacity)}
			if last = append(last, l); !p.groupMember(v, c) {
				continue
			}
			if !set.restricted() { // what serves bound kinds as well gets the less of the others
				l.weight *= max(0.2, 1-taken[v.id]/max(v.availableCapacity*p.utilization, 1e-9))
			}
			if v.zone != z && home {
				l.weight *= openness
			}
			if p.isUsable(v, z) && l.weight > 0.02 {
				lines = append(lines, l)
			}
		}
	}
	if len(lines) == 0 {
		lines = last // rule one: whatever is listed ready beats an empty table
	}
	return heaviest(lines, p.maxTableLines)
}

// updateAdmittedRate is what each proxy of a narrow table may let in of each kind while a cold backend stands in it. A
// proxy can bring a hundred times its usage before the first late report of it has come; on the few backends
// of a group that pushes the cold ones over, and the more so the larger the fleet is beside its groups. With
// allConnected kinds at this level one proxy and the load on top of it bring a cold backend, at 0.7 of its part, 0.7
// of the multiple that it can bear; the rest is for chance and for what still travels. Whole zones need none.
func (p *planner) warmUpAdmission(c group, set classPlacement, lines []tableLine) float64 {
	cold, carry := false, 0.0
	for _, l := range lines {
		cold, carry = cold || p.endpoints[l.endpoint].slowStartFactor < 1, carry+l.weight*p.meanCapacity
	}
	if !cold || c.index == p.groupsPerZone || p.admissionMode != policyapi.AdmissionByRate || p.overloadFactor <= 1 {
		return unlimitedLevel
	}
	return carry * (p.overloadFactor - min(1, p.utilization)) / float64(bits.OnesCount64(uint64(set.mask)))
}

// admissionStep is the change of what is let in that is worth a message; it also trims capacity, so that what stays
// unsent is safe. everything is a level that turns nothing away.
const admissionStep, unlimitedLevel = 0.05, 1e6

// updateAdmittedRate runs the design's price step and F-NORM on each group and publishes the traffic-weighted mean of
// the groups' levels, only while load is above 90% of the summed capacity, on moves past the threshold.
func (p *planner) updateAdmittedRate(fleet []endpointState) {
	capacity, limited, letIn := make([]float64, len(p.groups)), false, 0.0
	for _, v := range fleet {
		c := v.availableCapacity
		if v.capacityLimit > 0 {
			// One that says it is full, falsely or alone, must not drag all levels down: half counts at least.
			c, limited = max(min(v.capacityLimit, c), c/2), true
		}
		// Late answers tell of a queue: let in less than can be done until it has drained, in four reports.
		c *= 1 - min(0.5, max(0, v.latency-0.45*float64(v.latencyObjective))/float64(4*v.period))
		c = max(c/2, c-v.queue*float64(second)/float64(4*v.period))
		own := sum(p.endpointLoad[v.id])
		c *= own / max(v.externalLoad+own, 1e-9) // several controllers: their proxies' share
		if !p.isLocal(v) {
			// Its busy share never tells of more than full: ours is what it did for us and what it has to spare.
			c = min(c, v.served+max(0, 1-v.busyShare)*v.availableCapacity)
		}
		for i, part := range p.endpointLoad[v.id] {
			capacity[i] += (1 - admissionStep) * c * part / max(own, 1e-9)
		}
	}
	total, can := sum(p.zoneDemand), sum(capacity)
	for i := range p.groups {
		letIn += p.groups[i].solvePrice(capacity[i])
	}
	// More usage than all speeds learned together is slow to be: it need not wait for slow answers.
	limited = limited || p.speedsKnown && total > can
	if !limited || p.admissionMode == policyapi.AdmissionOff || total <= 0.9*can {
		letIn = 0
	}
	if (letIn > 0) != (p.admittedRate > 0) {
		p.out.log("levels on: %t, %.1f reqs a second asked, %.1f can be done", letIn > 0, total, can)
	}
	if letIn == 0 || math.Abs(letIn-p.admittedRate) > admissionStep*p.admittedRate {
		p.admittedRate = letIn
	}
}

// solvePrice takes price steps of a group (paper, algorithm 1), then F-NORM, and returns what its capacity lets in.
func (c *group) solvePrice(capacity float64) float64 {
	const gamma = 0.4 // the paper's
	floor, rates := 1.0, 0.0
	for _, f := range c.proxies {
		// At the floor the largest proxy is let have twice its usage. A lower price says no more, and with all
		// rates capped the slope would be 0 and the price stuck.
		floor = min(floor, 0.5/max(f.total, 0.5))
	}
	for range 30 { // the paper's allocator steps all the time, ours between reports
		slope := 0.0
		rates, c.price = 0, max(floor, c.price)
		for _, f := range c.proxies {
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

// admitByClass deals what is let in out to the request kinds; those of the least payoff are turned away first.
func (p *planner) admitByClass() []policyapi.SetAdmission {
	drop, usage, payoffs := 0.0, make([]float64, len(p.classes)), map[float64]float64{} // usage by kind, by payoff
	for _, f := range p.proxies {
		for k, u := range f.rates {
			usage[k] += u
			payoffs[p.classes[k].PriorityWeight] += u
		}
	}
	second := policyapi.RetryIfNotExecuted // suits every kind
	if p.admittedRate > 0 || p.failureRate > 0.2 {
		second = policyapi.NoRetry // where many are full a second try only fills another
	}
	if p.admittedRate > 0 {
		drop = max(0, sum(usage)-p.admittedRate)
	}
	admits := make([]policyapi.SetAdmission, len(p.classes))
	for _, payoff := range slices.Sorted(maps.Keys(payoffs)) {
		away := min(0.9, drop/max(payoffs[payoff], 1e-9)) // a tenth of each kind still comes: none starves
		drop -= away * payoffs[payoff]
		for k, kind := range p.classes {
			if kind.PriorityWeight == payoff {
				admits[k] = policyapi.SetAdmission{Table: policyapi.AllTables, Classes: 1 << k, RetryPolicy: second,
					Level: p.admissionLevel(k, away, usage[k])}
			}
		}
	}
	return admits
}

// admittedByTokenBucket is how much of reqs that come by chance a rate lets through. Less than the lower of the two: what a
// quiet moment leaves over is lost but for two seconds' worth, and one req at least. (The tokens are the
// queue of a server with as many places.) Where a proxy has few reqs a second it is a third less.
func admittedByTokenBucket(usage, rate float64) float64 {
	if usage <= 0 || rate <= 0 {
		return 0
	}
	part, places := rate/usage, max(1, 2*rate)
	if math.Abs(part-1) < 1e-3 {
		return usage * places / (places + 1)
	}
	return usage * (1 - (1-part)/(1-math.Pow(part, places+1)))
}

// admissionLevel turns the part of a kind to be turned away into a level. One rate holds at all proxies, however
// unequal: it is set so that, by their usage, what it lets in at all of them together is right.
func (p *planner) admissionLevel(k int, away, usage float64) float64 {
	if away <= 0 {
		return unlimitedLevel
	} else if p.admissionMode == policyapi.AdmissionByShare {
		return 1 - away
	}
	low, high := 0.0, usage
	for range 20 {
		rate, in := (low+high)/2, 0.0
		for _, f := range p.proxies {
			in += admittedByTokenBucket(f.rates[k], rate)
		}
		if in < (1-away)*usage {
			low = rate
		} else {
			high = rate
		}
	}
	return high
}

// maxUnacknowledged is how many messages of a stream are kept without an answer: one that has fallen silent
// has more.
const maxUnacknowledged = 64

// Parts of the queue: what may wait when routine goes out, when a whole table's change with a loss does, when
// a proxy is bound, and when what is owed goes out; and what a line to all who share a copy of a table may
// take.
const routineShare, fullChangeShare, bindShare, withdrawalShare, replicaLineShare = 0.25, 0.5, 0.8, 0.9, 0.125

// deliver brings the proxies nearer to how they should stand, as far as queue and messages allow. Lines count as
// turnQueue until acknowledged, whatever the stated pace, so that a channel that runs slow holds back by itself;
// routine leaves most of each limit to what is owed: endpoints that are withdrawn have to be out of all
// tables within the grace, also of those that nobody is meant to use any more but that a proxy is still bound
// to.
func (c *channel) deliver(now micros) {
	c.deliveredAt, c.turnQueue = now, c.queuedLines(now)
	messages, every, most := c.maxMessagesSent(now), c.period, c.messageLimit/2
	if c.messageLimit > 0 {
		every = max(every, 2*c.messageWindow/micros(c.messageLimit))
	}
	// A loss that comes soon after another change must not wait for the routine's turn, and finds messages left.
	hold := min(every/2, c.drainGracePeriod/4)
	if c.plan.urgent {
		every, most = every/2, min(c.messageLimit*3/4, c.messageLimit-2)
	}
	free, routine := now-c.routineSentAt >= every && (c.messageLimit == 0 || messages < most), routineShare*c.queueLimit
	if !free {
		routine = 0
	}
	c.reconcileReplicas()
	pending := c.sendWithdrawals(now, now-c.routineSentAt >= hold)
	// Levels that move with each report would leave the tables nothing: they take turns as well.
	if c.tablesFirst {
		c.tablesFirst = c.sendTableChanges(now, routine)
		c.sendAdmission(now, routine)
	} else {
		c.sendAdmission(now, routine)
		c.tablesFirst = c.sendTableChanges(now, routine)
	}
	if free && c.turnQueue < routine {
		for _, s := range c.misplacedStreams() {
			c.bindPlanned(s)
		}
	}
	c.finishTurn(now)
	if pending && now >= c.retryAt {
		wait := max(minReportPeriod, min(hold, c.drainGracePeriod/16))
		c.retryAt = now + wait
		c.out.add(policyapi.SetTimer{After: wait, Token: retryToken})
	}
}

// sendWithdrawals sends what the rules want, with most of the queue: endpoints that are withdrawn leave the tables,
// those first where it has been owed for longest; then proxies that join get tables in place of what they
// brought along, which takes three times the lines. What tables lose else follows. It tells whether some had
// to wait.
func (c *channel) sendWithdrawals(now micros, open bool) (pending bool) {
	losing := c.replicasWithRemovals(now)
	for _, r := range losing {
		pending = r.withdrawalSince > 0 && !c.sendRemovals(now, r, open) || pending
	}
	for _, s := range c.newStreams() {
		pending = !c.bindPlanned(s) || pending
	}
	for _, r := range losing {
		if r.withdrawalSince == 0 {
			c.sendRemovals(now, r, open)
		}
	}
	return pending
}

// sendRemovals sends what the tables of a replica lose: the whole change where that takes little, else as many
// reportLines as fit. It tells whether all that is owed has gone out.
func (c *channel) sendRemovals(now micros, r *replica, open bool) (done bool) {
	if !open || c.reservesLastMessage(now, r) {
		return false
	} else if c.anyStreamLimited(r) {
		c.reassign(r)
		return false
	}
	done = true
	for set := range r.tables {
		change := r.tables[set].pending
		loss := slices.Concat(change.withdrawn, change.removed)
		part := fullChangeShare // what need not be lost at once leaves room for the next loss
		if change.replaces {
			part = withdrawalShare
		}
		if len(loss) == 0 {
			continue
		} else if c.linesThatFit(r.streams, part) >= change.size() {
			c.charge(now, r.streams, float64(change.size()))
			c.orderAdmission(r, set, change)
			c.orderLines(r, set, slices.Concat(loss, change.updated))
		} else if fit := min(len(loss), c.linesThatFit(r.streams, withdrawalShare)); fit > 0 {
			done = done && fit >= len(change.withdrawn)
			c.charge(now, r.streams, float64(fit))
			c.orderLines(r, set, loss[:fit])
		} else {
			done = false
		}
		r.removedAt = now
	}
	return done
}

// reservesLastMessage tells whether a replica's loss waits for others that may come, as it would take the last
// message that one of its proxies may get: as long as half of the grace is left to the channel, and what that
// was seen to take.
func (c *channel) reservesLastMessage(now micros, r *replica) bool {
	last := func(s *stream) bool { return c.messageLimit > 0 && len(s.sentAt) == c.messageLimit-1 }
	return slices.ContainsFunc(r.streams, last) && r.withdrawalSince > 0 && now < r.withdrawalSince+c.drainGracePeriod/2-c.ackLatency()
}

// messageLimitReached tells whether a stream may get no more messages now. Two are left to what is owed.
func (c *channel) messageLimitReached(s *stream, owed bool) bool {
	most := c.messageLimit
	if !owed {
		most -= 2
	}
	return c.messageLimit > 0 && len(s.sentAt) >= most
}

// reassign binds the streams that may still get a message to another copy of their tables: those that may not
// would hold back what all of them are owed.
func (c *channel) reassign(r *replica) {
	var fresh *replica
	for _, s := range slices.Clone(r.streams) {
		if r.withdrawalSince == 0 || c.messageLimitReached(s, true) || !c.bindingFits(r, withdrawalShare) {
			continue
		}
		if fresh == nil {
			fresh = c.addReplica(r.group)
		}
		c.bind(s, fresh)
	}
}

// bindingFits tells whether there is room to bind a proxy to a replica's tables.
func (c *channel) bindingFits(r *replica, part float64) bool {
	return c.turnQueue+c.messageOverhead()+c.bindCost(r) < part*c.queueLimit
}

// bindPlanned binds a proxy to the tables that it is to have, if there is room. One that may get no message
// now holds back nobody.
func (c *channel) bindPlanned(s *stream) bool {
	r := c.replicaFor(c.plan.proxyGroups[s.proxy])
	if c.messageLimitReached(s, s.replica == nil) {
		return true
	} else if !c.bindingFits(r, bindShare) {
		return false
	}
	c.bind(s, r)
	return true
}

// replicaFor is the copy of a group's tables that a proxy is bound to: the one with the fewest, a new one if all
// have as many as one line of each may reach.
func (c *channel) replicaFor(group groupID) (least *replica) {
	for _, r := range c.replicas {
		if r.group == group && (least == nil || len(r.streams) < len(least.streams)) {
			least = r
		}
	}
	line := c.messageOverhead() + 1 // to one proxy
	if least == nil || float64(len(least.streams)+1)*line > max(replicaLineShare*c.queueLimit, line) {
		return c.addReplica(group)
	}
	return least
}

// sendTableChanges sends the other lines that differ by enough, and the tables' own levels, while no more than most
// waits. What does not fit, be it that half the fleet changed at once, waits for its turn: it tells whether
// any does.
func (c *channel) sendTableChanges(now micros, most float64) (held bool) {
	start, sets := c.nextTable, len(c.masks)
	from := slices.IndexFunc(c.replicas, func(r *replica) bool { return r.firstTable+policyapi.TableID(sets) > start })
	for i := range len(c.replicas) * sets {
		i = (i + max(0, from)*sets + int(start)%sets) % (len(c.replicas) * sets)
		r, set := c.replicas[i/sets], i%sets
		change := r.tables[set].pending
		if len(change.withdrawn)+len(change.removed) > 0 || change.size() == 0 || len(r.streams) == 0 {
			continue
		}
		part := withdrawalShare
		if r.removedAt == now { // as above: room for the next loss
			part = fullChangeShare
		}
		if c.turnQueue >= most || c.linesThatFit(r.streams, part) < change.size() {
			held = true
			continue
		}
		c.nextTable = r.table(set) + 1
		c.charge(now, r.streams, float64(change.size()))
		c.orderLines(r, set, change.updated)
		c.orderAdmission(r, set, change)
	}
	return held
}

// sendAdmission sends the levels of all tables that have changed, while no more than most waits.
func (c *channel) sendAdmission(now micros, most float64) {
	streams := slices.Collect(maps.Values(c.streams))
	for _, a := range c.plan.admissions {
		if c.turnQueue < most && c.admissions[a.Classes] != a && c.linesThatFit(streams, withdrawalShare) > 0 {
			c.admissions[a.Classes] = a
			c.out.add(a)
			c.charge(now, streams, 1)
		}
	}
}

// withinThreshold tells whether a figure is so close to what was sent that it is not worth a line.
func withinThreshold(wanted, sent float64) bool { return wanted >= 0.85*sent && wanted <= 1.18*sent }

// diffTable is what one of a replica's tables has to change by to be as planned: lines that differ by enough.
func (c *channel) diffTable(r *replica, set int) (change tableChange) {
	planned, has := c.plan.tables[r.group]
	if !has {
		return change
	}
	held, wanted := r.tables[set].lines, map[policyapi.EndpointID]bool{}
	var best tableLine // of those that come
	for _, l := range planned[set].lines {
		wanted[l.endpoint] = true
		if withinThreshold(l.weight, held[l.endpoint]) {
			continue
		}
		change.updated = append(change.updated, l)
		if held[l.endpoint] == 0 && l.weight > best.weight {
			best = l
		}
	}
	stay := false
	for _, id := range slices.Sorted(maps.Keys(held)) {
		switch {
		case wanted[id]:
			stay = true
		case c.plan.ready[id]:
			change.removed = append(change.removed, tableLine{id, 0})
		default:
			change.withdrawn = append(change.withdrawn, tableLine{id, 0})
		}
	}
	if change.replaces = !stay; !stay && best.weight > 0 { // rule one: first what can be picked, then the losses
		change.updated = slices.DeleteFunc(change.updated, func(l tableLine) bool { return l == best })
		change.withdrawn = slices.Insert(change.withdrawn, 0, best)
	}
	// A table's own level goes with its lines, so that it is there no later than what it guards.
	second := policyapi.RetryIfNotExecuted
	for _, a := range c.plan.admissions {
		second = a.RetryPolicy
	}
	t := r.tables[set]
	level := planned[set].level
	change.admission = policyapi.SetAdmission{Table: r.table(set), Classes: c.masks[set], Level: level, RetryPolicy: second}
	moves := !withinThreshold(level, t.admission.Level) || second != t.admission.RetryPolicy
	change.admissionChanged = moves && (t.hasAdmission || level < unlimitedLevel)
	return change
}
