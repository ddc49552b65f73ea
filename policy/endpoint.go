package policy

import (
	"slices"

	"porthub/policyapi"
)

// recentReportWindow is how long a report counts as the current state of an endpoint.
const recentReportWindow = 5 * second

// endpointActor evaluates one endpoint from its list entries, load reports and health checks.
type endpointActor struct {
	mailbox
	id       policyapi.EndpointID
	out      *outbox
	planner  *planner
	settings *settings

	entry              policyapi.Endpoint
	unconfirmedRemoval bool // missing from the list without having been listed as draining
	dropped            bool // endpointDropped was received: no more states are sent to the planner

	zones       []zoneHealth // by zone of the proxies
	recoveredAt micros       // when an ejection last ended; 0: none has ended since the process started
	healthyAt   micros       // when a health check last passed

	metrics policyapi.LoadMetrics // the latest metrics of this round
	load    loadEstimate
	learned capacityEstimate
}

func newEndpointActor(id policyapi.EndpointID, out *outbox, p *planner, s *settings) *endpointActor {
	return &endpointActor{
		id:       id,
		out:      out,
		planner:  p,
		settings: s,
		zones:    make([]zoneHealth, len(s.zones)),
	}
}

func (a *endpointActor) receive(now micros, m message) {
	switch m := m.(type) {
	case entryUpdate:
		const urgent = true // a change of the list, such as a drain, must not wait
		a.updateEntry(m.entry)
		a.publish(now, urgent)
	case hostEvent:
		a.handleEvent(now, m.event)
	case endpointDropped:
		a.dropped = true
		a.planner.send(m)
	case roundClosed:
		ejected := a.closeRound(now, m)
		a.publish(now, ejected)
	}
}

func (a *endpointActor) handleEvent(now micros, event policyapi.Event) {
	switch event := event.(type) {
	case policyapi.EndpointLoad:
		a.addReport(event)
	case policyapi.HealthCheckResult:
		if event.Healthy {
			a.healthyAt = now
		}
	}
}

// addReport adds a load report to the current round.
func (a *endpointActor) addReport(report policyapi.EndpointLoad) {
	z := slices.Index(a.settings.zones, report.Zone)
	if z < 0 {
		return
	}
	zone := &a.zones[z]
	zone.attempts += float64(report.Attempts)
	zone.failures += float64(report.Failures)
	zone.latencySum += float64(report.Attempts-report.Failures) * float64(report.MeanLatency)
	if report.Metrics != nil {
		a.metrics = report.Metrics
	}
}

// updateEntry applies a new list entry.
func (a *endpointActor) updateEntry(entry policyapi.Endpoint) {
	if entry.StartedAt > a.entry.StartedAt {
		a.resetAfterRestart()
	}
	// With SoftRemoval, a list from which endpoints disappear that were never listed as draining may be wrong, even about
	// half of the fleet. Such an endpoint stays in the tables as long as it responds.
	unannounced := entry.Status == policyapi.Removed && a.entry.Status == policyapi.Ready
	a.unconfirmedRemoval = a.settings.rules.SoftRemoval && unannounced
	if !a.unconfirmedRemoval {
		a.entry = entry
	}
}

// resetAfterRestart discards the health of the previous process and the capacity limit learned from it.
func (a *endpointActor) resetAfterRestart() {
	a.learned.limit = 0
	a.learned.slowReports = 0
	a.recoveredAt = 0
	a.zones = make([]zoneHealth, len(a.settings.zones))
}

// closeRound evaluates the reports of a round and returns whether they caused an ejection.
func (a *endpointActor) closeRound(now micros, round roundClosed) (ejected bool) {
	totals := a.closeZones(now, round)
	metrics := readMetrics(a.metrics)
	a.metrics = nil
	seconds, _ := decayStep(now, a.load.reportedAt, round.seconds)
	metrics.limit(round.maxServedRate, seconds)
	a.load.update(now, totals, metrics)

	rate, hasRate := metrics.rate, metrics.hasRate
	if !hasRate && round.allReported {
		rate, hasRate = limitRate(totals.latestRate, round.maxServedRate, seconds), true
	}
	a.load.lastRate = 0
	a.load.lastBusy = 0
	// Learn only if the endpoint has warmed up and all of its load is known: otherwise it would be considered slow for a
	// long time.
	if metrics.busy > minLearnBusy && a.warmUpProgress(now) == 1 && hasRate {
		a.load.lastRate = rate
		a.load.lastBusy = metrics.busy
		a.learned.throughput.add(metrics.busy, metrics.busy*seconds, rate*seconds)
	}
	if totals.attempts > 0 || round.silenceLimit == 0 {
		mayBeFull := !metrics.hasBusy || metrics.busy > minFullBusy
		a.updateCapacityLimit(totals, seconds/round.seconds, mayBeFull)
	}
	return totals.ejected
}

// publish sends the endpoint's state to the planner.
func (a *endpointActor) publish(now micros, urgent bool) {
	if a.dropped {
		return // messages that were still in the mailbox must not add the endpoint again
	}
	state := endpointState{
		id:               a.id,
		entry:            a.entry,
		zone:             slices.Index(a.settings.zones, a.entry.Zone),
		mailbox:          &a.mailbox,
		load:             a.load,
		learned:          a.learned,
		ready:            a.entry.Status == policyapi.Ready,
		recentlyReported: now-a.load.reportedAt < recentReportWindow,
		slowStartFactor:  a.slowStartFactor(now),
		urgent:           urgent,
	}
	for _, zone := range a.zones {
		state.ejected = append(state.ejected, zone.ejected)
	}
	a.planner.send(state)
}
