package loadreport

import "porthub/policyapi"

const (
	// minBatchDelay is the minimum duration of a step, in microseconds, after which inputs are batched.
	minBatchDelay policyapi.Microseconds = 2000
	// maxBatchDelay is the maximum delay in microseconds, a hundredth of the time that a drain may take.
	maxBatchDelay policyapi.Microseconds = 20_000

	// minOverviewInterval is the minimum time between overviews in microseconds.
	minOverviewInterval policyapi.Microseconds = 1_000_000
	// overviewCostFactor limits the time spent on overviews to a hundredth of the core's time.
	overviewCostFactor = 100
)

// ShouldDefer reports whether a gateway should send its report later. While waiting requests use more than half of the
// capacity, a gateway that last reported less than a period ago is deferred in favor of the others.
func ShouldDefer(waiting, capacity int, sinceLast, period policyapi.Microseconds) bool {
	return waiting > capacity/2 && sinceLast < period
}

// BatchDelay returns how long the core collects inputs after a step of the given duration. Part of the cost of a step does
// not depend on the number of inputs: with ten thousand proxies the decision module needs milliseconds for one
// acknowledgement, and no more for a thousand. After a short step there is no delay. After a long one the delay equals the
// duration of the step, up to maxBatchDelay, which leaves the processor to other work for as long.
func BatchDelay(step policyapi.Microseconds) policyapi.Microseconds {
	if step < minBatchDelay {
		return 0
	}
	return min(step, maxBatchDelay)
}

// OverviewInterval returns the minimum time between the starts of two overviews if one takes the given duration.
func OverviewInterval(duration policyapi.Microseconds) policyapi.Microseconds {
	return max(minOverviewInterval, overviewCostFactor*duration)
}
