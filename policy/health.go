package policy

import (
	"porthub/policyapi"
	"porthub/policylog"
)

// Outlier detection ejects an endpoint from the tables of a zone if the zone's proxies see no successful attempts at it,
// only failed or unreported ones. An endpoint that is merely overloaded still completes some requests and stays: without
// it, the others would be overloaded.
const (
	// ejectionFailures is the number of consecutive failed or missing attempts above which an endpoint of an otherwise
	// healthy fleet is ejected. Even a busy endpoint hardly ever exceeds it by chance.
	ejectionFailures = 12
	// fleetFailureCeiling minus the fleet's failure rate, squared, is the divisor of ejectionFailures: if all endpoints
	// fail, an ejection needs far more evidence. The ceiling is above 1 to keep the divisor positive.
	fleetFailureCeiling = 1.01
	// readmissionFailures is the number of consecutive failures that an endpoint starts with after an ejection, so that
	// it is ejected sooner if it still fails.
	readmissionFailures = 4
	// minEjection and maxEjection bound the duration of an ejection, which doubles with each one.
	minEjection, maxEjection = 2 * second, 8 * second
	// ejectionBackoff is the factor by which the duration of successive ejections grows.
	ejectionBackoff = 2
)

// zoneHealth contains what the proxies of one zone observe of an endpoint.
type zoneHealth struct {
	// Sums of the current round.
	attempts   float64
	failures   float64
	latencySum float64 // of the successful attempts, in microseconds

	served       float64 // completed requests per second, smoothed
	latestRate   float64 // completed requests per second in the latest round
	countedUntil micros  // time up to which attempts are counted

	consecutiveFailures float64 // failed or missing attempts since the last success
	ejected             bool
	retryAt             micros // when the ejection may end
	backoff             micros // duration of the latest ejection
}

// roundTotals contains the sums of a round over the zones.
type roundTotals struct {
	attempts   float64
	failures   float64
	latencySum float64
	latestRate float64 // completed requests per second
	ejected    bool    // from at least one zone, in this round
}

// closeZones ends the round in all zones and adds up their observations.
func (a *endpointActor) closeZones(now micros, round roundClosed) (totals roundTotals) {
	a.load.served = 0
	for z := range a.zones {
		zone := &a.zones[z]
		totals.attempts += zone.attempts
		totals.failures += zone.failures
		totals.latencySum += zone.latencySum
		expected := 0.0
		if zone.attempts > 0 || now-zone.countedUntil > round.silenceLimit {
			expected = round.expectedAttempts[z]
			zone.countRound(now, round)
		} else {
			zone.latestRate = zone.served
		}
		a.load.served += zone.served
		totals.latestRate += zone.latestRate
		if a.detectOutlier(now, z, expected, round.failureRate) {
			totals.ejected = true
		}
		zone.attempts = 0
		zone.failures = 0
		zone.latencySum = 0
	}
	return totals
}

// countRound updates the rate of completed requests with the attempts of a round.
func (h *zoneHealth) countRound(now micros, round roundClosed) {
	seconds, step := decayStep(now, h.countedUntil, round.seconds)
	h.latestRate = limitRate((h.attempts-h.failures)/seconds, round.maxServedRate, seconds)
	h.countedUntil = now
	h.served += step * (h.latestRate - h.served)
}

// detectOutlier evaluates the round of a zone and reports whether it ejected the endpoint. expected is the number of
// attempts that the endpoint's weights should have brought.
func (a *endpointActor) detectOutlier(now micros, z int, expected, fleetFailureRate float64) (ejected bool) {
	zone := &a.zones[z]
	if a.entry.Status != policyapi.Ready {
		return false
	}
	if zone.ejected {
		a.readmit(now, zone)
		return false
	}
	if zone.attempts > zone.failures {
		zone.consecutiveFailures = 0
		if a.slowStartFactor(now) >= 1 {
			zone.backoff = 0
		}
		return false
	}
	zone.consecutiveFailures += max(zone.attempts, expected)
	healthy := fleetFailureCeiling - fleetFailureRate
	if zone.consecutiveFailures > ejectionFailures/(healthy*healthy) {
		zone.eject(now)
		a.out.log(policylog.EndpointEjected(a.id, a.settings.zones[z], zone.consecutiveFailures))
		return true
	}
	return false
}

func (h *zoneHealth) eject(now micros) {
	h.ejected = true
	h.backoff = min(max(minEjection, ejectionBackoff*h.backoff), maxEjection)
	h.retryAt = now + h.backoff
}

// readmit ends an ejection once its duration has passed and, if health checks are allowed, one has succeeded since then. An
// endpoint whose removal is unconfirmed must be listed again first.
func (a *endpointActor) readmit(now micros, zone *zoneHealth) {
	if now < zone.retryAt || a.unconfirmedRemoval {
		return
	}
	if a.settings.rules.HealthChecksAllowed && a.healthyAt < zone.retryAt {
		a.out.add(policyapi.CheckHealth{Endpoint: a.id})
		zone.retryAt = now
		return
	}
	zone.ejected = false
	zone.consecutiveFailures = readmissionFailures
	a.recoveredAt = now
}
