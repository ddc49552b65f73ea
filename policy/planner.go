package policy

import (
	"maps"
	"slices"

	"porthub/policyapi"
)

// initialClock is the initial value of the planner's clock, in seconds. It is far above rebindInterval, so that every proxy
// may be moved from the start.
const initialClock = 100

// planner computes the target state: tables, groups and admission.
type planner struct {
	mailbox
	out      *outbox
	channel  *channel
	settings *settings

	// The latest messages of the other actors.
	endpoints    map[policyapi.EndpointID]endpointState
	proxies      []*proxyDemand
	allConnected bool // the reports cover nearly all of the demand
	list         listStatus

	limitedReports int // load reports that were limited to what is plausible, since the start

	round  roundCounts
	fleet  fleetEstimate
	groups groupSet

	zoneDemand    []float64                          // requests per second, by zone of the proxies
	capacities    map[policyapi.EndpointID]float64   // requests per second at the learned speeds
	endpointLoad  map[policyapi.EndpointID][]float64 // requests per second that an endpoint should get, by group
	panicZones    []bool                             // by zone of the proxies: whether ejections are ignored
	admittedRate  float64                            // published limit on all requests per second; 0: no limit
	maxTableLines int

	changed bool // the inputs have changed since the last plan
	urgent  bool // a change must not wait for the next routine turn
}

// roundCounts counts the attempts reported in the current round.
type roundCounts struct {
	attempts []float64 // by zone of the proxies
	failures float64
	clock    float64 // initialClock plus the seconds of all rounds with reports
	finished bool    // a round has ended since the last plan
}

func newPlanner(out *outbox, ch *channel, s *settings) *planner {
	zones := len(s.zones)
	return &planner{
		out:           out,
		channel:       ch,
		settings:      s,
		endpoints:     map[policyapi.EndpointID]endpointState{},
		list:          listStatus{cachedDelay: cachedListDelay(s.reportPeriod, s.rules.DrainGracePeriod)},
		round:         roundCounts{attempts: make([]float64, zones), clock: initialClock},
		fleet:         fleetEstimate{speed: 1},
		groups:        newGroupSet(),
		zoneDemand:    make([]float64, zones),
		capacities:    map[policyapi.EndpointID]float64{},
		panicZones:    make([]bool, zones),
		maxTableLines: maxTableLines(s.rules.QueueLimit, s.messageOverhead, len(s.placements), len(s.classes)),
	}
}

func (p *planner) receive(now micros, m message) {
	p.startList(now)
	switch m := m.(type) {
	case endpointState:
		p.endpoints[m.id] = m
		p.changed = true
		p.urgent = p.urgent || m.urgent
	case demandUpdate:
		p.proxies = m.proxies
		p.allConnected = m.allConnected
		p.changed = true
		p.urgent = p.urgent || m.urgent
	case hostEvent:
		if load, is := m.event.(policyapi.EndpointLoad); is {
			p.countLoad(load)
		}
	case endpointDropped:
		delete(p.endpoints, m.id)
		delete(p.capacities, m.id)
		delete(p.groups.ofEndpoint, m.id)
	case listConfirmed:
		p.changed = p.changed || !p.list.confirmed
		p.list.confirmed = true
	case boundGroups:
		p.groups.bound = m.groups
	case reportRound:
		if m.seconds > 0 {
			p.closeRound(m)
		}
	case batchEnd:
		p.planIfChanged(now)
	}
}

// countLoad adds a load report to the current round.
func (p *planner) countLoad(load policyapi.EndpointLoad) {
	if z := slices.Index(p.settings.zones, load.Zone); z >= 0 {
		p.round.attempts[z] += float64(load.Attempts)
		p.round.failures += float64(load.Failures)
	}
}

// closeRound ends a round of reports and sends the endpoint actors the figures of the fleet that they need to evaluate it.
func (p *planner) closeRound(round reportRound) {
	p.round.clock += round.seconds
	failureRate := p.round.failures / max(sum(p.round.attempts), 1)
	for _, id := range slices.Sorted(maps.Keys(p.endpoints)) {
		p.endpoints[id].mailbox.send(roundClosed{
			expectedAttempts: p.expectedAttempts(id),
			failureRate:      failureRate,
			seconds:          round.seconds,
			silenceLimit:     round.silenceLimit,
			allReported:      p.allConnected,
			maxServedRate:    p.maxServedRate(id),
		})
	}
	smooth(&p.fleet.failureRate, failureRate)
	clear(p.round.attempts)
	p.round.failures = 0
	p.round.finished = true
}

// expectedAttempts returns the attempts, by zone of the proxies, that an endpoint's weights should have brought.
func (p *planner) expectedAttempts(id policyapi.EndpointID) []float64 {
	expected := make([]float64, len(p.settings.zones))
	for i, load := range p.endpointLoad[id] {
		if z := p.groups.list[i].zone; p.zoneDemand[z] > 0 {
			expected[z] += load / p.zoneDemand[z] * p.round.attempts[z]
		}
	}
	return expected
}

func (p *planner) planIfChanged(now micros) {
	if p.changed && p.acceptsList(now) {
		p.plan()
		p.changed = false
		p.urgent = false
	}
}

// plan computes the target state from scratch and sends it to the channel, which orders the differences from the current
// state of the proxies.
func (p *planner) plan() {
	clear(p.zoneDemand)
	for _, proxy := range p.proxies {
		p.zoneDemand[proxy.zone] += proxy.total
	}
	roundFinished := p.round.finished
	fleet := p.estimateFleet()
	p.updatePanicThreshold(fleet)
	p.assignGroups(fleet, roundFinished)
	target := targetState{
		tables:      map[groupID][]tablePlan{},
		proxyGroups: map[policyapi.ProxyID]groupID{},
		ready:       map[policyapi.EndpointID]bool{},
		urgent:      p.urgent,
	}
	for _, proxy := range p.proxies {
		target.proxyGroups[proxy.proxy] = p.groups.list[p.groups.ofProxy[proxy.proxy]].id
	}
	p.endpointLoad = map[policyapi.EndpointID][]float64{}
	for _, e := range fleet {
		p.endpointLoad[e.id] = make([]float64, len(p.groups.list))
		target.ready[e.id] = e.ready
	}
	p.planTables(fleet, &target)
	p.updateAdmittedRate(fleet)
	// After a restart the fleet's utilization is unknown: the proxies keep their levels until it is known again.
	if p.fleet.speedsLearned || p.admittedRate > 0 {
		target.admissions = p.admitByClass()
	}
	p.channel.send(target)
}

// cachedDelayDivisor divides the drain grace period. The grace period of an endpoint that a cached list contains as
// draining has already begun, so the delay of the list must be only a part of it.
const cachedDelayDivisor = 4

// cachedListDelay returns how long the proxies keep their tables while only a cached list is known. A cached list may
// contain endpoints that have failed since, and lack those that have started.
func cachedListDelay(reportPeriod, drainGracePeriod micros) micros {
	return min(reportPeriod, drainGracePeriod/cachedDelayDivisor)
}

// listStatus is the state by which acceptsList decides whether the planner uses the endpoint list.
type listStatus struct {
	cachedDelay micros // how long the planner waits for a newer list before it uses a cached one
	started     bool
	startedAt   micros // when the first message arrived
	confirmed   bool   // a list newer than the cached one has arrived
}

// startList starts the delay of a cached list when the first message arrives. A delay that ends before the first report
// round needs its own timer.
func (p *planner) startList(now micros) {
	if p.list.started {
		return
	}
	p.list.started = true
	p.list.startedAt = now
	if p.list.cachedDelay < p.settings.reportPeriod {
		p.out.add(policyapi.SetTimer{After: p.list.cachedDelay, Token: retryToken})
	}
}

// acceptsList reports whether the planner uses the current list: a confirmed one, even if it is empty, or a cached one if
// cachedDelay has passed without a newer one.
func (p *planner) acceptsList(now micros) bool {
	return p.list.confirmed || len(p.endpoints) > 0 && now-p.list.startedAt >= p.list.cachedDelay
}
