package loadreport

import "porthub/policyapi"

const (
	// minBatchDelay is the duration of a step, in microseconds, from which on inputs are batched.
	minBatchDelay policyapi.Microseconds = 2000
	// maxBatchDelay bounds the delay, in microseconds: a hundredth of the time that a drain may take.
	maxBatchDelay policyapi.Microseconds = 20_000

	// minOverviewInterval is the least time between overviews, in microseconds.
	minOverviewInterval policyapi.Microseconds = 1_000_000
	// overviewCostFactor keeps the time spent on overviews to a hundredth of the core's.
	overviewCostFactor = 100
)

// ShouldDefer reports whether a gateway should send its report later: while more than half of capacity is used by waiting
// requests, a gateway whose last report is younger than a period is deferred in favour of the others.
func ShouldDefer(waiting, capacity int, sinceLast, period policyapi.Microseconds) bool {
	return waiting > capacity/2 && sinceLast < period
}

// BatchDelay returns how long the core collects inputs after a step of the duration given. Each step has a cost that does
// not depend on the number of inputs: with ten thousand proxies the decision module needs milliseconds for one
// acknowledgement as for a thousand. A quick step is followed at once; after a long one the rest of the machine gets as
// much time, within bounds.
func BatchDelay(step policyapi.Microseconds) policyapi.Microseconds {
	if step < minBatchDelay {
		return 0
	}
	return min(step, maxBatchDelay)
}

// OverviewInterval returns the least time between the starts of overviews if one takes the duration given.
func OverviewInterval(duration policyapi.Microseconds) policyapi.Microseconds {
	return max(minOverviewInterval, overviewCostFactor*duration)
}
