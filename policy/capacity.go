package policy

import (
	"math"

	"porthub/policyapi"
)

const (
	// minLearnBusy is the busy fraction up to which an endpoint is too idle for a round to measure its speed.
	minLearnBusy = 0.05
	// minFullBusy is the busy fraction above which an endpoint may be full.
	minFullBusy = 0.85
	// slowAttempts is the least number of attempts that a slow report needs.
	slowAttempts = 3
	// slowFailureRate is the fraction of failed attempts above which a report counts as slow.
	slowFailureRate = 0.3
	// slowLatency is the fraction of the latency objective above which a report counts as slow by its mean latency.
	slowLatency = 0.6
	// slowReportsToLimit is the number of consecutive slow reports that set a capacity limit.
	slowReportsToLimit = 3
	// limitGrowth is the factor by which a capacity limit grows with each report that is not slow.
	limitGrowth = 1.05
	// limitRelease is the multiple of the learned speed above which a capacity limit ends.
	limitRelease = 1.3
	// recoveryRamp is the time in which the load ramp after an ejection rises by the usual load of the endpoint.
	recoveryRamp = 5 * second
	// recoveryStart is the start of that ramp, as a multiple of the initial capacity of a new process.
	recoveryStart = 2
)

// loadEstimate is the load of an endpoint, derived from its reports.
type loadEstimate struct {
	reportedAt   micros
	served       float64 // requests per second completed for this instance's proxies, smoothed
	externalLoad float64 // requests per second of other instances' proxies
	latency      float64 // mean, in microseconds, smoothed; 0: unknown
	busyShare    float64 // fraction of CPU in use, as last reported
	queue        float64 // requests queued, as last reported
	reportsRate  bool    // the endpoint reports its own rate
	// rateReportedAt is when the endpoint last reported its own rate.
	rateReportedAt micros
	lastRate       float64 // requests per second of the last round, or 0 if the round was not used for learning
	lastBusy       float64 // busy fraction of the last round, or 0 if the round was not used for learning
}

// reportedMetrics are the LoadMetrics that the policy uses.
type reportedMetrics struct {
	busy, queue, rate float64
	hasBusy, hasRate  bool
}

func readMetrics(metrics policyapi.LoadMetrics) (m reportedMetrics) {
	m.busy, m.hasBusy = metrics["busy"]
	m.rate, m.hasRate = metrics["rate"]
	m.queue = metrics["q"]
	return m
}

// update applies a round. The rate that an endpoint reports includes the requests of all instances' proxies, as does its
// busy share.
func (l *loadEstimate) update(now micros, totals roundTotals, metrics reportedMetrics) {
	if completed := totals.attempts - totals.failures; completed > 0 {
		smooth(&l.latency, totals.latencySum/completed)
	}
	if metrics.hasRate {
		l.externalLoad = max(0, metrics.rate-l.served)
		l.rateReportedAt = now
	} else if now-l.rateReportedAt >= recentReportWindow {
		l.externalLoad = 0
	}
	if totals.attempts > 0 {
		l.reportedAt = now
		l.reportsRate = metrics.hasRate
	}
	if metrics.hasBusy {
		l.busyShare = metrics.busy
		l.queue = metrics.queue
	}
}

// capacityEstimate is what has been learned about an endpoint's capacity.
type capacityEstimate struct {
	throughput  throughputHistogram
	limit       float64 // requests per second; 0: no limit
	slowReports int     // consecutive slow reports
}

// updateCapacityLimit follows the rule of the design: an endpoint has no capacity limit until it is slow for three reports;
// then the limit is the rate that it served, and rises as it serves more. Two additions go beyond the design. A report
// counts as slow only if the latencies or failures and the endpoint's own metrics agree, so that neither a few expensive
// requests nor a false report of being full reduce admission. And the limit grows with each report that is not slow and
// ends above the learned speed, so that neither temporary slowness nor a warm-up leaves a low capacity for long.
func (a *endpointActor) updateCapacityLimit(totals roundTotals, rounds float64, mayBeFull bool) {
	learned := &a.learned
	late := totals.latencySum > slowLatency*(totals.attempts-totals.failures)*float64(a.settings.latencyObjective)
	failing := totals.failures > slowFailureRate*totals.attempts
	if totals.attempts >= slowAttempts && mayBeFull && (failing || late) {
		learned.slowReports++
		if learned.slowReports >= slowReportsToLimit && learned.limit == 0 {
			learned.limit = a.load.served
		}
	} else {
		learned.slowReports = 0
		learned.limit *= math.Pow(limitGrowth, rounds)
	}
	busySeconds, requests := learned.throughput.total()
	if learned.limit > limitRelease*requests/max(busySeconds, 1) {
		learned.limit = 0
	} else if learned.limit > 0 {
		learned.limit = max(learned.limit, a.load.served)
	}
}

// warmUpProgress returns the fraction of its capacity that an endpoint has by the slowest warm-up that the rules allow.
func (a *endpointActor) warmUpProgress(now micros) float64 {
	rules := &a.settings.rules
	age := now - a.entry.StartedAt
	if a.entry.StartedAt <= 0 || age >= rules.WarmUp {
		return 1
	}
	return rules.InitialCapacity + (1-rules.InitialCapacity)*max(0, float64(age)/float64(rules.WarmUp))
}

// slowStartFactor returns the fraction of its usual load that an endpoint may get now. An endpoint whose ejection has ended
// may be a new process that the list does not contain yet: until a list update should have arrived, its load rises from
// twice that of a new process.
func (a *endpointActor) slowStartFactor(now micros) float64 {
	progress := a.warmUpProgress(now)
	if a.recoveredAt == 0 {
		return progress
	}
	ramp := recoveryStart*a.settings.rules.InitialCapacity + float64(now-a.recoveredAt)/float64(recoveryRamp)
	return min(progress, ramp)
}

// histogramBins is the number of bins of a throughputHistogram. The last one also includes busy shares of 1 and above.
const histogramBins = 4

// histogramLimit is the number of busy seconds above which a histogram is halved, so that it follows an endpoint's speed.
const histogramLimit = 12

// throughputHistogram sums busy seconds and completed requests by bins of the busy share.
type throughputHistogram [histogramBins]struct{ busySeconds, requests float64 }

// add adds the requests that were completed in a number of busy seconds at a busy share.
func (h *throughputHistogram) add(busyShare, busySeconds, requests float64) {
	bin := &h[min(histogramBins-1, int(histogramBins*busyShare))]
	bin.busySeconds += busySeconds
	bin.requests += requests
	if all, _ := h.total(); all <= histogramLimit {
		return
	}
	for i := range h {
		h[i].busySeconds /= 2
		h[i].requests /= 2
	}
}

func (h *throughputHistogram) total() (busySeconds, requests float64) {
	for _, bin := range h {
		busySeconds += bin.busySeconds
		requests += bin.requests
	}
	return busySeconds, requests
}
