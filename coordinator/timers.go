package coordinator

import (
	"cmp"
	"slices"

	"porthub/policyapi"
)

// timerQueue holds the pending timers of the decision module.
type timerQueue struct{ pending []timer }

type timer struct {
	at    microseconds
	token policyapi.TimerToken
}

func (q *timerQueue) set(at microseconds, token policyapi.TimerToken) {
	q.pending = append(q.pending, timer{at, token})
}

// fire removes the timers that are due and returns their events in the order of their times. Timers with the same time fire
// in the order in which they were set.
func (q *timerQueue) fire(now microseconds) (events []policyapi.Event) {
	slices.SortStableFunc(q.pending, func(a, b timer) int { return cmp.Compare(a.at, b.at) })
	fired := 0
	for fired < len(q.pending) && q.pending[fired].at <= now {
		events = append(events, policyapi.TimerFired{Token: q.pending[fired].token})
		fired++
	}
	q.pending = q.pending[fired:]
	return events
}

// next returns the time of the earliest timer, or limit if there is no timer before it.
func (q *timerQueue) next(limit microseconds) microseconds {
	for _, t := range q.pending {
		limit = min(limit, t.at)
	}
	return limit
}
