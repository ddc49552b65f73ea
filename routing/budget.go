package routing

import (
	"slices"

	"porthub/policyapi"
)

// Budget limits the messages to one gateway.
type Budget struct {
	MaxMessages int // in any window; 0: no limit
	// Window is the length of the window, longer than the limit's own by a margin: a message arrives a little later than
	// it was published.
	Window policyapi.Microseconds
}

// urgentReserve is the number of messages in a window that are reserved for urgent changes: without it a burst of routine
// changes could use up all messages, and a drain would wait until the window has passed.
func (b Budget) urgentReserve() int { return b.MaxMessages / 5 }

// routineInterval is the least time between routine messages once half of the window's messages are used.
func (b Budget) routineInterval() policyapi.Microseconds {
	return b.Window / policyapi.Microseconds(max(1, 2*b.MaxMessages))
}

// messageLimiter applies a budget.
type messageLimiter struct {
	budget Budget
	sentAt []policyapi.Microseconds // of the messages within the window, the oldest first
}

// used returns the number of messages in the window that ends now.
func (l *messageLimiter) used(now policyapi.Microseconds) int {
	l.sentAt = slices.DeleteFunc(l.sentAt, func(at policyapi.Microseconds) bool { return now-at > l.budget.Window })
	return len(l.sentAt)
}

// nextAt returns when the next message may be sent; now or earlier means at once. Urgent messages may use the whole
// budget. Routine ones leave a reserve for them and, once half of the budget is used, keep an interval so that the rest
// is not used up in one burst. urgent is called only if it matters.
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
