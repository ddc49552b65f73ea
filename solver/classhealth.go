package solver

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"porthub/policyapi"
)

const (
	// minLogOdds is the log of how much likelier the failures must be from a failing endpoint: a thousand times.
	minLogOdds = 7
	// minFailures is the number of failures below which no endpoint is ejected.
	minFailures = 4
	// minBaseline is the least part of failures that is taken as normal, maxBaseline the part from which on nothing is
	// concluded.
	minBaseline = 0.03
	maxBaseline = 0.5
	// maxFailurePart bounds the part of failures in the odds.
	maxFailurePart = 0.99
	// firstBackoff is the time in microseconds until the first trial; it doubles up to maxBackoff, and after a time of
	// maxBackoff without an ejection it is reset.
	firstBackoff policyapi.Microseconds = 4_000_000
	maxBackoff   policyapi.Microseconds = 32_000_000
	// trialAttempts is the number of attempts in a trial, maxTrialFailures the part of them that may fail.
	trialAttempts    = 5
	maxTrialFailures = 0.3
	// panicThreshold is the part of endpoints healthy for a class below which its ejections are ignored.
	panicThreshold = 0.2
	// minPeerAttempts is the number of attempts from which on an endpoint counts as a peer, minPeers the number of peers.
	minPeerAttempts = 2
	minPeers        = 2
)

// ClassStatus is the health of an endpoint for a class.
type ClassStatus int

// The statuses.
const (
	ClassHealthy ClassStatus = iota
	ClassOnTrial             // a part of its weight, until it has served a few requests
	ClassFailing             // ejected for the class: no weight
)

// ClassHealth decides which endpoint fails which request class while it serves others, from what gateways observed at it in
// each round. It stores two counts for each pair of them, halved each round.
//
// A pair is compared with its peers' failures of the same class (the lower quartile, which stays low while up to three
// quarters of them fail) and with the endpoint's failures of other classes (one that fails everything is ejected by the
// decision module). It is ejected once its counts are a thousand times likelier from a failing endpoint
// than from one that fails as its peers do. Where a class is down everywhere its peers are down, too, and none is ejected.
// It is not safe for concurrent use. Times are microseconds.
type ClassHealth struct {
	classes int
	pairs   map[pair]*record
	panics  []bool // by class: its ejections are ignored
}

type pair struct {
	endpoint policyapi.EndpointID
	class    int
}

// counts are numbers of attempts; those of a record fade.
type counts struct {
	attempts, failures float64
}

func (c *counts) add(load policyapi.EndpointClassLoad) {
	c.attempts += float64(load.Attempts)
	c.failures += float64(load.Failures)
}

// record is the state of a pair.
type record struct {
	counts
	trial          counts
	status         ClassStatus
	since, retryAt policyapi.Microseconds
	backoff        policyapi.Microseconds
}

// NewClassHealth returns a ClassHealth for a number of request classes without observations.
func NewClassHealth(classes int) *ClassHealth {
	return &ClassHealth{classes: classes, pairs: map[pair]*record{}, panics: make([]bool, classes)}
}

// EndRound ends a round. loads is what gateways observed since the last one, ready the endpoints that are ready. It
// returns a line for the log for each change, with its reason.
func (h *ClassHealth) EndRound(now policyapi.Microseconds, loads []policyapi.EndpointClassLoad, ready []policyapi.EndpointID) (notes []string) {
	h.count(loads)
	h.forgetUnlisted(ready)
	for class := range h.classes {
		peers := h.peerFailures(class, ready)
		for _, endpoint := range ready {
			r := h.pairs[pair{endpoint, class}]
			if r == nil {
				continue
			}
			if note := h.evaluate(now, pair{endpoint, class}, r, peers); note != "" {
				notes = append(notes, note)
			}
		}
		if note := h.updatePanic(class, ready); note != "" {
			notes = append(notes, note)
		}
	}
	return notes
}

func (h *ClassHealth) count(loads []policyapi.EndpointClassLoad) {
	for _, r := range h.pairs {
		r.attempts /= 2
		r.failures /= 2
	}
	for _, load := range loads {
		if load.Attempts <= 0 || int(load.Class) < 0 || int(load.Class) >= h.classes {
			continue
		}
		key := pair{load.Endpoint, int(load.Class)}
		r := h.pairs[key]
		if r == nil {
			r = &record{}
			h.pairs[key] = r
		}
		r.add(load)
		if r.status == ClassOnTrial {
			r.trial.add(load)
		}
	}
}

// forgetUnlisted drops the endpoints that are not ready: an endpoint that comes back at an address is evaluated from the start.
func (h *ClassHealth) forgetUnlisted(ready []policyapi.EndpointID) {
	listed := map[policyapi.EndpointID]bool{}
	for _, endpoint := range ready {
		listed[endpoint] = true
	}
	for p := range h.pairs {
		if !listed[p.endpoint] {
			delete(h.pairs, p)
		}
	}
}

// peerFailures returns the part of failures that a class has at the best endpoints, 1 if there are too few peers.
func (h *ClassHealth) peerFailures(class int, ready []policyapi.EndpointID) float64 {
	var parts []float64
	for _, endpoint := range ready {
		if r := h.pairs[pair{endpoint, class}]; r != nil && r.attempts >= minPeerAttempts {
			parts = append(parts, r.failures/r.attempts)
		}
	}
	if len(parts) < minPeers {
		return 1
	}
	slices.Sort(parts)
	return parts[(len(parts)-1)/4]
}

// otherFailures returns the part of failures that an endpoint has with all other classes, 1 if it is not known to serve any.
func (h *ClassHealth) otherFailures(p pair) float64 {
	var others counts
	for class := range h.classes {
		if r := h.pairs[pair{p.endpoint, class}]; r != nil && class != p.class {
			others.attempts += r.attempts
			others.failures += r.failures
		}
	}
	if others.attempts == 0 {
		return 1
	}
	return others.failures / others.attempts
}

// evaluate updates the status of a pair and returns a note if it fails or serves again.
func (h *ClassHealth) evaluate(now policyapi.Microseconds, p pair, r *record, peers float64) (note string) {
	switch r.status {
	case ClassFailing:
		if now >= r.retryAt {
			*r = record{status: ClassOnTrial, since: now, retryAt: r.retryAt, backoff: r.backoff}
		}
		return ""
	case ClassOnTrial:
		return r.evaluateTrial(now, p, peers)
	default:
		return h.evaluateHealthy(now, p, r, peers)
	}
}

func (r *record) evaluateTrial(now policyapi.Microseconds, p pair, peers float64) (note string) {
	if r.trial.attempts < trialAttempts && r.trial.failures < minFailures {
		return ""
	}
	if r.trial.failures > max(maxTrialFailures, peers)*r.trial.attempts {
		r.eject(now)
		return ""
	}
	r.status = ClassHealthy
	r.since = now
	return fmt.Sprintf("%s serves class %d again: %.0f of %.0f attempts failed", p.endpoint, p.class, r.trial.failures, r.trial.attempts)
}

func (h *ClassHealth) evaluateHealthy(now policyapi.Microseconds, p pair, r *record, peers float64) (note string) {
	if r.attempts >= 1 && r.isOutlier(max(minBaseline, peers, h.otherFailures(p))) {
		r.eject(now)
		return fmt.Sprintf("%s fails class %d: %.0f of %.0f attempts failed, a part of %.2f at its peers", p.endpoint, p.class, r.failures, r.attempts, peers)
	}
	if now-r.since > maxBackoff {
		r.backoff = 0
	}
	return ""
}

// isOutlier reports whether so many failures are far likelier from a failing endpoint than from one with a baseline part of
// failures.
func (r *record) isOutlier(baseline float64) bool {
	if r.failures < minFailures || !(baseline < maxBaseline) || r.failures/r.attempts <= baseline {
		return false
	}
	return r.logOdds(baseline) > minLogOdds
}

// logOdds returns the log of how much likelier the counts are at their own part of failures than at the baseline.
func (c *counts) logOdds(baseline float64) float64 {
	part := min(maxFailurePart, c.failures/c.attempts)
	return c.failures*math.Log(part/baseline) + (c.attempts-c.failures)*math.Log((1-part)/(1-baseline))
}

func (r *record) eject(now policyapi.Microseconds) {
	r.backoff = min(maxBackoff, max(firstBackoff, 2*r.backoff))
	r.status = ClassFailing
	r.since = now
	r.retryAt = now + r.backoff
}

// updatePanic ignores the ejections of a class where too few endpoints are left for it: the fault is then more likely a common
// one than one of the endpoints.
func (h *ClassHealth) updatePanic(class int, ready []policyapi.EndpointID) (note string) {
	left := 0
	for _, endpoint := range ready {
		if r := h.pairs[pair{endpoint, class}]; r == nil || r.status != ClassFailing {
			left++
		}
	}
	panics := float64(left) < panicThreshold*float64(len(ready))
	if panics == h.panics[class] {
		return ""
	}
	h.panics[class] = panics
	return fmt.Sprintf("ejections for class %d ignored: %t, %d of %d endpoints healthy", class, panics, left, len(ready))
}

// ResetEndpoint drops the records of an endpoint, because another process has its address.
func (h *ClassHealth) ResetEndpoint(endpoint policyapi.EndpointID) {
	for class := range h.classes {
		delete(h.pairs, pair{endpoint, class})
	}
}

// Status returns the status of an endpoint for a class.
func (h *ClassHealth) Status(endpoint policyapi.EndpointID, class int) ClassStatus {
	r := h.pairs[pair{endpoint, class}]
	if r == nil || h.panics[class] {
		return ClassHealthy
	}
	return r.status
}

// Ejection is the ejection of an endpoint for a class.
type Ejection struct {
	Endpoint policyapi.EndpointID   `json:"node"`
	Class    int                    `json:"kind"`
	Backoff  policyapi.Microseconds `json:"backoff_us"`
}

// Ejections returns the ejections, with those on trial, in the order of endpoints and classes.
func (h *ClassHealth) Ejections() (ejections []Ejection) {
	for p, r := range h.pairs {
		if r.status != ClassHealthy {
			ejections = append(ejections, Ejection{p.endpoint, p.class, r.backoff})
		}
	}
	slices.SortFunc(ejections, func(a, b Ejection) int { return cmp.Or(cmp.Compare(a.Endpoint, b.Endpoint), a.Class-b.Class) })
	return ejections
}

// Restore puts the endpoints of earlier ejections on trial: a few requests soon show whether they still fail. The backoff
// of one that does continues.
func (h *ClassHealth) Restore(now policyapi.Microseconds, ejections []Ejection) {
	for _, e := range ejections {
		if e.Class < 0 || e.Class >= h.classes {
			continue
		}
		backoff := min(max(e.Backoff, firstBackoff), maxBackoff)
		h.pairs[pair{e.Endpoint, e.Class}] = &record{status: ClassOnTrial, since: now, backoff: backoff}
	}
}
