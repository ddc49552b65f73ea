package policy

import (
	"maps"
	"math"
	"slices"

	"porthub/policyapi"
)

const (
	// overloadFailureRate is the fleet's failure rate above which retries stop: if many endpoints are full, a retry only
	// fills another one.
	overloadFailureRate = 0.2
	// maxRejectedShare bounds the fraction of a class that is rejected, so that no class starves.
	maxRejectedShare = 0.9
	// bucketSeconds is the size of a proxy's token bucket, in seconds of its rate. The bucket holds at least one request.
	bucketSeconds = 2
	// equalRateTolerance is the difference of the ratio of rate and demand from 1 below which the two count as equal: the
	// general formula is 0/0 if they are.
	equalRateTolerance = 1e-3
	// levelSteps is the number of bisection steps to find a level.
	levelSteps = 20
)

// classPlacement is a set of request classes that may go to the same zones. Each group has a table for each placement.
type classPlacement struct {
	classes       policyapi.ClassSet
	allowedZones  []policyapi.Zone // empty: all
	localZoneOnly bool
}

// allows reports whether the classes may go to a zone.
func (c classPlacement) allows(zone policyapi.Zone) bool {
	return len(c.allowedZones) == 0 || slices.Contains(c.allowedZones, zone)
}

// restricted reports whether the classes may go only to some zones.
func (c classPlacement) restricted() bool { return c.localZoneOnly || len(c.allowedZones) > 0 }

// placementsOf groups the classes that may go to the same zones. Restricted placements come first.
func placementsOf(classes []policyapi.ClassSettings) (placements []classPlacement) {
	for _, restricted := range []bool{true, false} {
		for k, class := range classes {
			placement := classPlacement{1 << k, class.AllowedZones, class.LocalZoneOnly}
			i := slices.IndexFunc(placements, func(other classPlacement) bool {
				return other.localZoneOnly == placement.localZoneOnly && slices.Equal(other.allowedZones, placement.allowedZones)
			})
			if i >= 0 {
				placements[i].classes |= placement.classes
			} else if placement.restricted() == restricted {
				placements = append(placements, placement)
			}
		}
	}
	return placements
}

// admitByClass divides the admitted rate among the request classes; those of the least priority weight are rejected
// first.
func (p *planner) admitByClass() []policyapi.SetAdmission {
	classes := p.settings.classes
	demand := make([]float64, len(classes))
	byWeight := map[float64]float64{} // demand by priority weight
	for _, proxy := range p.proxies {
		for class, rate := range proxy.rates {
			demand[class] += rate
			byWeight[classes[class].PriorityWeight] += rate
		}
	}
	excess := 0.0
	if p.admittedRate > 0 {
		excess = max(0, sum(demand)-p.admittedRate)
	}
	retryPolicy := p.retryPolicy()
	admissions := make([]policyapi.SetAdmission, len(classes))
	for _, weight := range slices.Sorted(maps.Keys(byWeight)) {
		rejected := min(maxRejectedShare, excess/max(byWeight[weight], epsilon))
		excess -= rejected * byWeight[weight]
		for k, class := range classes {
			if class.PriorityWeight != weight {
				continue
			}
			admissions[k] = policyapi.SetAdmission{
				Table:       policyapi.AllTables,
				Classes:     1 << k,
				Level:       p.admissionLevel(k, rejected, demand[k]),
				RetryPolicy: retryPolicy,
			}
		}
	}
	return admissions
}

// retryPolicy returns the policy of all classes: the one that is safe for every class, or no retries under overload.
func (p *planner) retryPolicy() policyapi.RetryPolicy {
	if p.admittedRate > 0 || p.fleet.failureRate > overloadFailureRate {
		return policyapi.NoRetry
	}
	return policyapi.RetryIfNotExecuted
}

// admissionLevel converts the fraction of a class to be rejected into a level. A rate is the same for all proxies, however
// unequal their demand, and is chosen so that all of them together admit the intended sum.
func (p *planner) admissionLevel(class int, rejected, demand float64) float64 {
	if rejected <= 0 {
		return unlimitedLevel
	}
	if p.settings.admissionMode == policyapi.AdmissionByShare {
		return 1 - rejected
	}
	low, high := 0.0, demand
	for range levelSteps {
		rate := (low + high) / 2
		admitted := 0.0
		for _, proxy := range p.proxies {
			admitted += admittedByTokenBucket(proxy.rates[class], rate)
		}
		if admitted < (1-rejected)*demand {
			low = rate
		} else {
			high = rate
		}
	}
	return high
}

// admittedByTokenBucket returns how much of a demand with random arrivals a rate limit admits. It is less than the smaller
// of the two, by up to a third at few requests per second: while demand is low, tokens beyond the size of the bucket are
// lost. The model is an M/M/1 queue with as many places as the bucket has tokens.
func admittedByTokenBucket(demand, rate float64) float64 {
	if demand <= 0 || rate <= 0 {
		return 0
	}
	ratio := rate / demand
	places := max(1, bucketSeconds*rate)
	if math.Abs(ratio-1) < equalRateTolerance {
		return demand * places / (places + 1)
	}
	return demand * (1 - (1-ratio)/(1-math.Pow(ratio, places+1)))
}
