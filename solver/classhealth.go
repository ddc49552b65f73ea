package solver

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"porthub/policyapi"
)

const (
	// minLogOdds is the natural logarithm of the likelihood ratio that ejects an endpoint: its failures must be about a
	// thousand times likelier from a failing endpoint than from a healthy one.
	minLogOdds = 7
	// minFailures is the number of failures below which no endpoint is ejected.
	minFailures = 4
	// minBaseline is the lowest failure rate that counts as normal. If the baseline reaches maxBaseline, too much fails
	// elsewhere to single out an endpoint.
	minBaseline = 0.03
	maxBaseline = 0.5
	// maxFailureRate bounds the failure rate from which the odds are computed, so that they stay finite.
	maxFailureRate = 0.99
	// firstBackoff is the time in microseconds until the first trial. It doubles with each further ejection up to maxBackoff
	// and is reset after a period of maxBackoff without an ejection.
	firstBackoff policyapi.Microseconds = 4_000_000
	maxBackoff   policyapi.Microseconds = 32_000_000
	// trialAttempts is the number of attempts in a trial, maxTrialFailureRate the fraction of them that may fail.
	trialAttempts       = 5
	maxTrialFailureRate = 0.3
	// panicThreshold is the fraction of endpoints healthy for a class below which the ejections of the class are ignored.
	panicThreshold = 0.2
	// minPeerAttempts is the number of attempts that an endpoint needs to count as a peer, minPeers the number of peers needed
	// to compare with.
	minPeerAttempts = 2
	minPeers        = 2
)

// ClassStatus is the health status of an endpoint for a request class.
type ClassStatus int

// The values of ClassStatus.
const (
	ClassHealthy ClassStatus = iota
	ClassOnTrial             // gets a fraction of its weight until it has served a few requests
	ClassFailing             // ejected for the class: gets no weight
)

// ClassHealth decides which endpoints fail a request class while they serve others, from the attempts and failures that gateways
// observe in each round. It stores these two counts for each pair of endpoint and class and halves them each round.
//
// The failure rate of a pair is compared with two baselines: that of the same class at other endpoints (the lower quartile, which
// stays low while up to three quarters of them fail), and that of other classes at the same endpoint (an endpoint that fails
// everything is ejected by the decision module). The pair is ejected once its counts are a thousand times likelier from a failing
// endpoint than from one that fails at the baseline rate. If a class fails everywhere, the baseline is high and no endpoint is
// ejected. A ClassHealth is not safe for concurrent use. Times are microseconds.
type ClassHealth struct {
	classes   int
	records   map[recordKey]*record
	panicking []bool // by class: whether its ejections are ignored
}

// recordKey identifies a pair of endpoint and class.
type recordKey struct {
	endpoint policyapi.EndpointID
	class    int
}

// counts are the numbers of attempts and of failed attempts. They are fractional because ClassHealth halves them each round.
type counts struct {
	attempts, failures float64
}

func (c *counts) add(load policyapi.EndpointClassLoad) {
	c.attempts += float64(load.Attempts)
	c.failures += float64(load.Failures)
}

// record is the state of a pair of endpoint and class.
type record struct {
	counts                // halved each round
	trial          counts // of the current trial
	status         ClassStatus
	since, retryAt policyapi.Microseconds // when status changed, and when the next trial may start
	backoff        policyapi.Microseconds
}

// NewClassHealth returns a ClassHealth without observations for the given number of request classes.
func NewClassHealth(classes int) *ClassHealth {
	return &ClassHealth{classes: classes, records: map[recordKey]*record{}, panicking: make([]bool, classes)}
}

// EndRound ends a round and updates the statuses. loads are the attempts and failures that gateways observed in the round, ready
// lists the endpoints that are ready. It returns log lines that state, with the reason, which endpoints start to fail a class or
// serve it again, and for which classes ejections start or stop being ignored.
func (h *ClassHealth) EndRound(now policyapi.Microseconds, loads []policyapi.EndpointClassLoad, ready []policyapi.EndpointID) (notes []string) {
	h.count(loads)
	h.removeNotReady(ready)
	for class := range h.classes {
		peerRate := h.peerFailureRate(class, ready)
		for _, endpoint := range ready {
			r := h.records[recordKey{endpoint, class}]
			if r == nil {
				continue
			}
			if note := h.evaluate(now, recordKey{endpoint, class}, r, peerRate); note != "" {
				notes = append(notes, note)
			}
		}
		if note := h.updatePanic(class, ready); note != "" {
			notes = append(notes, note)
		}
	}
	return notes
}

// count halves the counts of earlier rounds and adds those of the current one.
func (h *ClassHealth) count(loads []policyapi.EndpointClassLoad) {
	for _, r := range h.records {
		r.attempts /= 2
		r.failures /= 2
	}
	for _, load := range loads {
		if load.Attempts <= 0 || int(load.Class) < 0 || int(load.Class) >= h.classes {
			continue
		}
		key := recordKey{load.Endpoint, int(load.Class)}
		r := h.records[key]
		if r == nil {
			r = &record{}
			h.records[key] = r
		}
		r.add(load)
		if r.status == ClassOnTrial {
			r.trial.add(load)
		}
	}
}

// removeNotReady discards the records of endpoints that are not ready: if one becomes ready again, it is evaluated anew.
func (h *ClassHealth) removeNotReady(ready []policyapi.EndpointID) {
	listed := map[policyapi.EndpointID]bool{}
	for _, endpoint := range ready {
		listed[endpoint] = true
	}
	for key := range h.records {
		if !listed[key.endpoint] {
			delete(h.records, key)
		}
	}
}

// peerFailureRate returns the lower quartile of the failure rates of a class at the ready endpoints, or 1 if there are too few of
// them with attempts.
func (h *ClassHealth) peerFailureRate(class int, ready []policyapi.EndpointID) float64 {
	var rates []float64
	for _, endpoint := range ready {
		if r := h.records[recordKey{endpoint, class}]; r != nil && r.attempts >= minPeerAttempts {
			rates = append(rates, r.failures/r.attempts)
		}
	}
	if len(rates) < minPeers {
		return 1
	}
	slices.Sort(rates)
	return rates[(len(rates)-1)/4]
}

// otherClassFailureRate returns the failure rate of all other classes together at the endpoint of key, or 1 if none has attempts.
func (h *ClassHealth) otherClassFailureRate(key recordKey) float64 {
	var others counts
	for class := range h.classes {
		if r := h.records[recordKey{key.endpoint, class}]; r != nil && class != key.class {
			others.attempts += r.attempts
			others.failures += r.failures
		}
	}
	if others.attempts == 0 {
		return 1
	}
	return others.failures / others.attempts
}

// evaluate updates the status of a pair. It returns a log line if a healthy pair is ejected or one on trial becomes healthy,
// otherwise "".
func (h *ClassHealth) evaluate(now policyapi.Microseconds, key recordKey, r *record, peerRate float64) (note string) {
	switch r.status {
	case ClassFailing:
		if now >= r.retryAt {
			*r = record{status: ClassOnTrial, since: now, retryAt: r.retryAt, backoff: r.backoff}
		}
		return ""
	case ClassOnTrial:
		return r.evaluateTrial(now, key, peerRate)
	default:
		return h.evaluateHealthy(now, key, r, peerRate)
	}
}

// evaluateTrial ends a trial that has enough attempts or failures: the pair becomes healthy or is ejected again.
func (r *record) evaluateTrial(now policyapi.Microseconds, key recordKey, peerRate float64) (note string) {
	if r.trial.attempts < trialAttempts && r.trial.failures < minFailures {
		return ""
	}
	if r.trial.failures > max(maxTrialFailureRate, peerRate)*r.trial.attempts {
		r.eject(now)
		return ""
	}
	r.status = ClassHealthy
	r.since = now
	return fmt.Sprintf("%s serves class %d again: %.0f of %.0f attempts failed", key.endpoint, key.class, r.trial.failures, r.trial.attempts)
}

// evaluateHealthy ejects a pair that is an outlier and resets the backoff of one that has been healthy for maxBackoff.
func (h *ClassHealth) evaluateHealthy(now policyapi.Microseconds, key recordKey, r *record, peerRate float64) (note string) {
	if r.attempts >= 1 && r.isOutlier(max(minBaseline, peerRate, h.otherClassFailureRate(key))) {
		r.eject(now)
		return fmt.Sprintf("%s fails class %d: %.0f of %.0f attempts failed, a fraction of %.2f at its peers",
			key.endpoint, key.class, r.failures, r.attempts, peerRate)
	}
	if now-r.since > maxBackoff {
		r.backoff = 0
	}
	return ""
}

// isOutlier reports whether the counts are far likelier from a failing endpoint than from one that fails at the baseline rate.
func (r *record) isOutlier(baseline float64) bool {
	if r.failures < minFailures || !(baseline < maxBaseline) || r.failures/r.attempts <= baseline {
		return false
	}
	return r.logOdds(baseline) > minLogOdds
}

// logOdds returns the logarithm of the likelihood ratio of the counts: at their own failure rate over at the baseline rate.
func (c *counts) logOdds(baseline float64) float64 {
	rate := min(maxFailureRate, c.failures/c.attempts)
	return c.failures*math.Log(rate/baseline) + (c.attempts-c.failures)*math.Log((1-rate)/(1-baseline))
}

// eject marks the pair as failing and schedules its next trial after a doubled backoff.
func (r *record) eject(now policyapi.Microseconds) {
	r.backoff = min(maxBackoff, max(firstBackoff, 2*r.backoff))
	r.status = ClassFailing
	r.since = now
	r.retryAt = now + r.backoff
}

// updatePanic makes the ejections of a class ignored while too few endpoints are healthy for it: a common cause is then likelier
// than a fault of each endpoint. It returns a log line if that changes, otherwise "".
func (h *ClassHealth) updatePanic(class int, ready []policyapi.EndpointID) (note string) {
	healthy := 0
	for _, endpoint := range ready {
		if r := h.records[recordKey{endpoint, class}]; r == nil || r.status != ClassFailing {
			healthy++
		}
	}
	panicking := float64(healthy) < panicThreshold*float64(len(ready))
	if panicking == h.panicking[class] {
		return ""
	}
	h.panicking[class] = panicking
	return fmt.Sprintf("ejections for class %d ignored: %t, %d of %d endpoints healthy", class, panicking, healthy, len(ready))
}

// ResetEndpoint discards the records of an endpoint. Callers use it when another process has taken the endpoint's address.
func (h *ClassHealth) ResetEndpoint(endpoint policyapi.EndpointID) {
	for class := range h.classes {
		delete(h.records, recordKey{endpoint, class})
	}
}

// Status returns the status of an endpoint for a class. It is ClassHealthy while the ejections of the class are ignored.
func (h *ClassHealth) Status(endpoint policyapi.EndpointID, class int) ClassStatus {
	r := h.records[recordKey{endpoint, class}]
	if r == nil || h.panicking[class] {
		return ClassHealthy
	}
	return r.status
}

// Ejection is the ejection of an endpoint for a class, as stored for the next start of the process.
type Ejection struct {
	Endpoint policyapi.EndpointID   `json:"node"`
	Class    int                    `json:"kind"`
	Backoff  policyapi.Microseconds `json:"backoff_us"`
}

// Ejections returns all ejections, including those on trial, ordered by endpoint and class.
func (h *ClassHealth) Ejections() (ejections []Ejection) {
	for key, r := range h.records {
		if r.status != ClassHealthy {
			ejections = append(ejections, Ejection{key.endpoint, key.class, r.backoff})
		}
	}
	slices.SortFunc(ejections, func(a, b Ejection) int { return cmp.Or(cmp.Compare(a.Endpoint, b.Endpoint), a.Class-b.Class) })
	return ejections
}

// Restore puts the endpoints that an earlier process ejected on trial: a few requests show whether they still fail. If one does,
// its backoff continues to double.
func (h *ClassHealth) Restore(now policyapi.Microseconds, ejections []Ejection) {
	for _, e := range ejections {
		if e.Class < 0 || e.Class >= h.classes {
			continue
		}
		backoff := min(max(e.Backoff, firstBackoff), maxBackoff)
		h.records[recordKey{e.Endpoint, e.Class}] = &record{status: ClassOnTrial, since: now, backoff: backoff}
	}
}
