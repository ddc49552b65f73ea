package policy

import (
	"slices"

	"porthub/policyapi"
)

// The tokens of an instance's timers.
const (
	roundToken policyapi.TimerToken = iota + 1 // a report round ends
	pollToken                                  // the endpoint list is polled again
	retryToken                                 // pending changes are attempted again, or a cached list may be used
)

// Instance makes the decisions of one coordinator. Its methods must not be called concurrently.
type Instance struct {
	out       *outbox
	endpoints *endpointList
	proxies   *proxyRegistry
	planner   *planner
	channel   *channel
	actors    []actor // the actors that receive every event, in the order in which they run
	rounds    roundTracker
	started   bool
}

// New returns an instance that has received no events. It retains the slices of start.
func New(start policyapi.Start) *Instance {
	s := newSettings(start)
	out := &outbox{}
	ch := newChannel(out, s.delivery())
	pl := newPlanner(out, ch, s)
	ch.reportBoundGroups = pl.send
	endpoints := newEndpointList(out, pl, s)
	proxies := newProxyRegistry(pl, s.zones, len(s.classes))
	return &Instance{
		out:       out,
		endpoints: endpoints,
		proxies:   proxies,
		planner:   pl,
		channel:   ch,
		actors:    []actor{endpoints, proxies, pl, ch},
		rounds:    roundTracker{period: s.reportPeriod, lineLimit: s.reportLineLimit},
	}
}

// Step delivers the events of a batch at the time now and returns the orders for the host. The time must not decrease
// from call to call.
func (in *Instance) Step(now micros, events []policyapi.Event) []policyapi.Order {
	in.out.orders = nil
	if !in.started {
		in.started = true
		in.deliver(pollList{})
		in.deliver(in.onTimer(now, roundToken))
	}
	for _, event := range events {
		switch e := event.(type) {
		case policyapi.EndpointLoad:
			in.rounds.observe(e.Period)
			event = in.planner.limitReport(e)
		case policyapi.ProxyLoad:
			in.rounds.observe(e.Period)
		case policyapi.TimerFired:
			in.deliver(in.onTimer(now, e.Token))
			continue
		}
		in.deliver(hostEvent{event})
	}
	in.run(now)
	for _, a := range []actor{in.proxies, in.planner} {
		a.send(batchEnd{})
		in.run(now)
	}
	return in.out.orders
}

// onTimer returns the message for a timer that has expired.
func (in *Instance) onTimer(now micros, token policyapi.TimerToken) message {
	switch token {
	case roundToken:
		in.out.add(policyapi.SetTimer{After: in.rounds.period, Token: roundToken})
		return in.rounds.close(now)
	case retryToken:
		return retryDelivery{}
	default:
		return pollList{}
	}
}

// deliver sends a message to all actors that receive events.
func (in *Instance) deliver(m message) {
	for _, a := range in.actors {
		a.send(m)
	}
}

// run makes the actors receive their messages, pass after pass, until all mailboxes are empty.
func (in *Instance) run(now micros) {
	for busy := true; busy; {
		busy = false
		actors := slices.Clone(in.actors)
		for _, a := range in.endpoints.order {
			actors = append(actors, a)
		}
		for _, a := range actors {
			for _, m := range a.drain() {
				busy = true
				a.receive(now, m)
			}
		}
	}
}

// TakeOver makes a new instance the successor of one whose code has failed. It must be called before the first Step. The
// proxies' streams persist, so what the failed instance had sent still counts against the limits on lines and messages.
func (in *Instance) TakeOver(failed *Instance) { in.channel.takeOver(failed.channel) }

// Limits of a report round.
const (
	// maxRoundPeriods bounds the length of a round after a gap in the reports, in report periods.
	maxRoundPeriods = 4
	// cappedReportShare is the fraction of the limit on report lines from which on a round counts as truncated by the
	// limit.
	cappedReportShare = 0.9
	// silencePeriods is the number of report periods, in addition to the longest reported period, after which a missing
	// report means that there were no attempts.
	silencePeriods = 2
)

// roundTracker counts the report lines of a round.
type roundTracker struct {
	period        micros
	lineLimit     float64 // most lines per second; 0: no limit
	closedAt      micros  // when the last round with reports ended
	lines         int
	longestPeriod micros // longest period that a line of this round covers
}

// observe counts a report line that covers a period.
func (r *roundTracker) observe(period micros) {
	r.lines++
	r.longestPeriod = max(r.longestPeriod, period)
}

// close ends a round. The number of report lines is limited, and the oldest are delivered first. In a round that reached
// the limit, a missing line therefore means that there were no attempts only if it has been missing for longer than the
// longest period of a delivered line.
func (r *roundTracker) close(now micros) (round reportRound) {
	if r.lines == 0 {
		return round
	}
	round.seconds = float64(now-max(r.closedAt, now-maxRoundPeriods*r.period)) / float64(second)
	if r.lineLimit > 0 && float64(r.lines) >= cappedReportShare*r.lineLimit*round.seconds {
		round.silenceLimit = r.longestPeriod + silencePeriods*r.period
	}
	r.closedAt = now
	r.lines = 0
	r.longestPeriod = 0
	return round
}
