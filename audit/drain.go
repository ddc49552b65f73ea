package audit

import (
	"cmp"
	"slices"
	"time"
)

// evaluateDrains checks that nothing is sent to a draining or removed endpoint after the grace period. The period begins with the list's
// change, the coordinator's start or the gateway's connection, whichever is latest.
func (l *Log) evaluateDrains(end time.Duration) Verdict {
	worst := &peak{}
	connections := map[string][]interval{}
	for name, g := range l.gateways {
		connections[name] = g.connection(l, end)
	}
	requests := slices.Clone(l.requests)
	slices.SortStableFunc(requests, func(a, b sentRequest) int { return cmp.Compare(a.at, b.at) })
	changes := l.drainChanges()
	draining := map[string]time.Duration{} // since when, by endpoint
	for _, request := range requests {
		for len(changes) > 0 && changes[0].at <= request.at {
			changes[0].apply(draining)
			changes = changes[1:]
		}
		since, ok := draining[request.endpoint]
		if !ok {
			continue
		}
		for _, connection := range connections[request.gateway] {
			if request.at >= connection.from && request.at < connection.to {
				l.checkDrain(worst, request, since, connection)
			}
		}
	}
	return worst.verdict()
}

func (l *Log) checkDrain(worst *peak, request sentRequest, since time.Duration, connection interval) {
	late := request.at - max(since, connection.from)
	worst.raise(float64(late)/float64(l.limits.DrainGracePeriod), func() string {
		return request.gateway + " sent to " + request.endpoint + " " + milliseconds(late) + " after it was notified, at " +
			milliseconds(request.at) + ", connected at " + milliseconds(connection.from)
	})
}

// drainChange is an endpoint that begins or stops draining.
type drainChange struct {
	at       time.Duration
	endpoint string
	draining bool
}

func (c drainChange) apply(draining map[string]time.Duration) {
	if c.draining {
		draining[c.endpoint] = c.at
	} else {
		delete(draining, c.endpoint)
	}
}

// drainChanges follows the lists. An endpoint that was never listed does not count as removed.
func (l *Log) drainChanges() []drainChange {
	var changes []drainChange
	known := map[string]ListedEndpoint{}
	for _, list := range l.lists {
		for name := range allNames(known, list.endpoints) {
			before, listedBefore := known[name]
			current := list.endpoints[name] // absent if it is not there
			known[name] = current
			if !listedBefore && current.State == Absent {
				continue
			}
			draining := l.countsAsDraining(current.State)
			wasDraining := listedBefore && l.countsAsDraining(before.State)
			if draining != wasDraining {
				changes = append(changes, drainChange{at: list.at, endpoint: name, draining: draining})
			}
		}
	}
	return changes
}

func (l *Log) countsAsDraining(state EndpointState) bool {
	return state == Draining || state == Absent && l.limits.DrainAppliesToRemoved
}
