package audit

import (
	"maps"
	"slices"
	"strconv"
	"time"
)

// evaluateWarmUps checks that within any window the work that arrives at an endpoint that warms up stays below a multiple
// of its capacity; the work of two requests is allowed on top, as requests arrive at random. All work counts if two thirds of it came from gateways that knew
// of the start: whose last file was written after the list had named it, or whose coordinator had known of it for the
// grace period. The others could not have known; what the knowing ones send must stay below the limit by itself too.
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

// meanWork is the mean work of an endpoint's requests, in core seconds.
func (e *endpointLog) meanWork() float64 {
	mean := 0.0
	for i, a := range e.arrivals {
		mean += (a.work - mean) / float64(i+1)
	}
	return mean
}

func (l *Log) evaluateWarmUp(worst *peak, name string, endpoint *endpointLog, start time.Duration, meanWork float64, end time.Duration) {
	listedAt, listed := l.startListedAt(name, start)
	window := overloadWindow{length: l.limits.OverloadWindow}
	for _, a := range endpoint.arrivals {
		age := a.at - start
		if age < 0 || age >= l.limits.WarmUp {
			continue
		}
		window.add(a, listed && l.knowsOf(l.gateways[a.gateway], listedAt, a.at, end))
		allowed := l.limits.OverloadFactor * l.limits.slowStartFactor(age) * endpoint.cores * l.limits.OverloadWindow.Seconds()
		worst.raise(window.counted()/(allowed+2*meanWork), func() string {
			return name + " " + milliseconds(age) + " after its start: " + coreSeconds(window.work) + " of " + coreSeconds(allowed) +
				" core seconds, " + coreSeconds(window.knowing) + " by gateways that knew of it"
		})
	}
}

// slowStartFactor is the part of its capacity that an endpoint has at an age: it grows linearly over the warm-up.
func (l *Limits) slowStartFactor(age time.Duration) float64 {
	return l.InitialCapacity + (1-l.InitialCapacity)*float64(age)/float64(l.WarmUp)
}

func coreSeconds(work float64) string { return strconv.FormatFloat(work, 'f', 2, 64) }

// overloadWindow sums up the work of the last arrivals.
type overloadWindow struct {
	length   time.Duration
	arrivals []windowArrival
	work     float64 // of all, in core seconds
	knowing  float64 // of those from gateways that knew of the start
}

type windowArrival struct {
	arrival
	knowing bool
}

// add adds an arrival and drops those that have left the window by then.
func (w *overloadWindow) add(a arrival, knowing bool) {
	w.arrivals = append(w.arrivals, windowArrival{arrival: a, knowing: knowing})
	w.work += a.work
	if knowing {
		w.knowing += a.work
	}
	for a.at-w.arrivals[0].at > w.length {
		oldest := w.arrivals[0]
		w.arrivals = w.arrivals[1:]
		w.work -= oldest.work
		if oldest.knowing {
			w.knowing -= oldest.work
		}
	}
}

// counted is the work that the rule holds gateways responsible for.
func (w *overloadWindow) counted() float64 {
	if w.knowing >= 2*w.work/3 {
		return w.work
	}
	return w.knowing
}

// startListedAt returns when the list first named an endpoint with a start that is not older than the given one.
func (l *Log) startListedAt(name string, start time.Duration) (at time.Duration, ok bool) {
	for _, list := range l.lists {
		endpoint := list.endpoints[name]
		if list.at >= start && endpoint.State == Ready && endpoint.StartedAt >= start {
			return list.at, true
		}
	}
	return 0, false
}

// knowsOf reports whether a gateway, when it sends at a time, could know what the list has had since listedAt.
func (l *Log) knowsOf(g *gatewayLog, listedAt, at, end time.Duration) bool {
	if g == nil {
		return false
	}
	for _, connection := range g.connection(l, end) {
		connected := at >= connection.from && at < connection.to
		if connected && at-max(listedAt, connection.from) > l.limits.DrainGracePeriod {
			return true
		}
	}
	knows := false
	for _, table := range g.tables {
		if table.at > at {
			break
		}
		if table.version.epoch != "" || l.limits.WithoutCoordinator {
			knows = table.written > listedAt
		}
	}
	return knows
}
