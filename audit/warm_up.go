package audit

import (
	"maps"
	"slices"
	"strconv"
	"time"
)

// evaluateWarmUps checks that the work that arrives at a warming endpoint within any window stays below a multiple of its
// capacity. The work of two requests is allowed in addition, as requests arrive at random.
//
// The rule distinguishes work from gateways that were informed of the start: those whose current table was written after the
// list contained the start, or that had been connected to a running coordinator for longer than the grace period since then.
// The other gateways could not account for the start. All work counts if at least two thirds of it came from informed
// gateways. Otherwise, only the work from informed gateways counts, and that work alone must stay below the limit.
func (l *Log) evaluateWarmUps(end time.Duration) Verdict {
	worst := &peak{}
	for _, name := range slices.Sorted(maps.Keys(l.endpoints)) {
		endpoint := l.endpoints[name]
		mean := endpoint.meanWork()
		for _, start := range endpoint.starts {
			l.evaluateWarmUp(worst, name, endpoint, start, mean, end)
		}
	}
	return worst.verdict()
}

// meanWork returns the mean work of the requests that arrived at an endpoint, in core seconds.
func (e *endpointLog) meanWork() float64 {
	mean := 0.0
	for i, a := range e.arrivals {
		mean += (a.work - mean) / float64(i+1)
	}
	return mean
}

// evaluateWarmUp evaluates the warm-up that follows one start of an endpoint.
func (l *Log) evaluateWarmUp(worst *peak, name string, endpoint *endpointLog, start time.Duration, meanWork float64, end time.Duration) {
	listedAt, listed := l.startListedAt(name, start)
	window := overloadWindow{length: l.limits.OverloadWindow}
	for _, a := range endpoint.arrivals {
		age := a.at - start
		if age < 0 || age >= l.limits.WarmUp {
			continue
		}
		window.add(a, listed && l.wasInformed(l.gateways[a.gateway], listedAt, a.at, end))
		allowed := l.limits.OverloadFactor * l.limits.slowStartFactor(age) * endpoint.cores * l.limits.OverloadWindow.Seconds()
		worst.raise(window.attributedWork()/(allowed+2*meanWork), func() string {
			return name + " " + formatDuration(age) + " after its start: " + formatCoreSeconds(window.work) + " of " +
				formatCoreSeconds(allowed) + " permitted core seconds, " + formatCoreSeconds(window.informed) +
				" from gateways informed of the start"
		})
	}
}

// slowStartFactor returns the capacity of a warming endpoint as a fraction of its full capacity. It grows linearly with the
// endpoint's age.
func (l *Limits) slowStartFactor(age time.Duration) float64 {
	return l.InitialCapacity + (1-l.InitialCapacity)*float64(age)/float64(l.WarmUp)
}

func formatCoreSeconds(work float64) string { return strconv.FormatFloat(work, 'f', 2, 64) }

// overloadWindow sums up the work that arrived within the overload window.
type overloadWindow struct {
	length   time.Duration
	arrivals []windowArrival
	work     float64 // work of all arrivals, in core seconds
	informed float64 // work of the arrivals from gateways that were informed of the start
}

type windowArrival struct {
	arrival
	informed bool
}

// add adds an arrival and removes those that are no longer within the window.
func (w *overloadWindow) add(a arrival, informed bool) {
	w.arrivals = append(w.arrivals, windowArrival{arrival: a, informed: informed})
	w.work += a.work
	if informed {
		w.informed += a.work
	}
	for a.at-w.arrivals[0].at > w.length {
		oldest := w.arrivals[0]
		w.arrivals = w.arrivals[1:]
		w.work -= oldest.work
		if oldest.informed {
			w.informed -= oldest.work
		}
	}
}

// attributedWork returns the work that counts for the rule.
func (w *overloadWindow) attributedWork() float64 {
	if w.informed >= 2*w.work/3 {
		return w.work
	}
	return w.informed
}

// startListedAt returns when the list first contained an endpoint with a start that is not older than the given one.
func (l *Log) startListedAt(name string, start time.Duration) (at time.Duration, ok bool) {
	for _, list := range l.lists {
		endpoint := list.endpoints[name]
		if list.at >= start && endpoint.State == Ready && endpoint.StartedAt >= start {
			return list.at, true
		}
	}
	return 0, false
}

// wasInformed reports whether a gateway was informed, by the time at, of a start that the list has contained since listedAt.
func (l *Log) wasInformed(g *gatewayLog, listedAt, at, end time.Duration) bool {
	if g == nil {
		return false
	}
	for _, connection := range g.connection(l, end) {
		connected := at >= connection.from && at < connection.to
		if connected && at-max(listedAt, connection.from) > l.limits.DrainGracePeriod {
			return true
		}
	}
	informed := false
	for _, table := range g.tables {
		if table.at > at {
			break
		}
		if table.version.epoch != "" || l.limits.WithoutCoordinator {
			informed = table.written > listedAt
		}
	}
	return informed
}
