package audit

import (
	"cmp"
	"slices"
	"time"
)

// evaluateDrains checks that gateways send no requests to a draining endpoint after the grace period. With
// DrainAppliesToRemoved, endpoints that leave the list count as draining. The period begins with the change of the list, the
// start of the coordinator or the connection of the gateway, whichever is latest.
func (l *Log) evaluateDrains(end time.Duration) Verdict {
	worst := &peak{}
	connections := map[string][]interval{}
	for name, g := range l.gateways {
		connections[name] = g.connection(l, end)
	}
	requests := slices.Clone(l.requests)
	slices.SortStableFunc(requests, func(a, b sentRequest) int { return cmp.Compare(a.at, b.at) })
	changes := l.drainChanges()
	draining := map[string]time.Duration{} // start of the draining, by endpoint
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

// checkDrain records the time from the start of the grace period to a request.
func (l *Log) checkDrain(worst *peak, request sentRequest, since time.Duration, connection interval) {
	late := request.at - max(since, connection.from)
	worst.raise(float64(late)/float64(l.limits.DrainGracePeriod), func() string {
		return request.gateway + " sent a request to " + request.endpoint + " " + formatDuration(late) +
			" after the start of the grace period, at " + formatDuration(request.at) + ", connected at " + formatDuration(connection.from)
	})
}

// drainChange records that an endpoint starts or stops draining.
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

// drainChanges returns the changes of draining states, in the order of the lists. An endpoint that was never listed does not
// count as removed.
func (l *Log) drainChanges() []drainChange {
	var changes []drainChange
	known := map[string]ListedEndpoint{}
	for _, list := range l.lists {
		for name := range allNames(known, list.endpoints) {
			before, listedBefore := known[name]
			current := list.endpoints[name] // the state is Absent if the list does not contain it
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
