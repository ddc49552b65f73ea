package routing

import (
	"slices"

	"porthub/policyapi"
)

// Budget limits the messages to one gateway.
type Budget struct {
	MaxMessages int // largest number of messages in any window; 0: no limit
	// Window is the length of the window. It must exceed the period of the limit at the gateway by a margin, because a message
	// arrives a little later than it is published.
	Window policyapi.Microseconds
}

// urgentReserve returns the number of messages in a window that are reserved for urgent changes. Without it, a burst of routine
// changes could use the whole budget, and a drain would have to wait until the window has passed.
func (b Budget) urgentReserve() int { return b.MaxMessages / 5 }

// routineInterval returns the minimum time between routine messages once half of the budget is used.
func (b Budget) routineInterval() policyapi.Microseconds {
	return b.Window / policyapi.Microseconds(max(1, 2*b.MaxMessages))
}

// messageLimiter applies a budget.
type messageLimiter struct {
	budget Budget
	sentAt []policyapi.Microseconds // when the messages within the window were sent, oldest first
}

// used discards messages that are older than the window and returns the number of messages in the window that ends now.
func (l *messageLimiter) used(now policyapi.Microseconds) int {
	l.sentAt = slices.DeleteFunc(l.sentAt, func(at policyapi.Microseconds) bool { return now-at > l.budget.Window })
	return len(l.sentAt)
}

// nextAt returns when the next message may be sent; a time that is not after now means immediately. Urgent messages may use the
// whole budget. Routine messages may not use the reserve and, once half of the budget is used, are spaced by an interval, so that one
// burst does not use the rest. urgent is called only if at least half of the budget is used.
func (l *messageLimiter) nextAt(now policyapi.Microseconds, urgent func() bool) policyapi.Microseconds {
	used := l.used(now)
	limit := l.budget.MaxMessages
	if limit == 0 || used < limit/2 {
		return now
	}
	next := now
	if !urgent() {
		limit -= l.budget.urgentReserve()
		next = l.sentAt[len(l.sentAt)-1] + l.budget.routineInterval()
	}
	if used < limit {
		return next
	}
	return max(next, l.sentAt[used-limit]+l.budget.Window+1)
}
