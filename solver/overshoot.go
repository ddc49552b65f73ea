package solver

import "slices"

const (
	// minPlanned is the planned rate, in attempts per second, below which the ratio of an endpoint is too noisy to use.
	minPlanned = 2.0
	// maxOvershoot is the largest factor.
	maxOvershoot = 3.0
	// overshootDecay multiplies the factor in each round, so that it falls when the overshoot does.
	overshootDecay = 0.9
)

// OvershootEstimator estimates the factor by which the requests that arrive at endpoints exceed the plan of their tables.
// Gateways avoid endpoints with recent failures for a while and send the load of these to other endpoints; gateways and their
// clients also retry. While much of a fleet fails or is full, that doubles the load of an endpoint, so that one that is warming up
// is overloaded even by the share planned for it. The zero value has a factor of 1. It is not safe for concurrent use.
type OvershootEstimator struct{ factor float64 }

// EndpointOutcome holds the planned and the actual rate of an endpoint, in attempts per second of one round.
type EndpointOutcome struct{ Planned, Actual float64 }

// Observe records the outcomes of one round for the endpoints in service.
func (e *OvershootEstimator) Observe(outcomes []EndpointOutcome) {
	var ratios []float64
	for _, o := range outcomes {
		if o.Planned >= minPlanned {
			ratios = append(ratios, o.Actual/o.Planned)
		}
	}
	e.factor = max(1, e.factor*overshootDecay)
	if len(ratios) == 0 {
		return
	}
	slices.Sort(ratios)
	// Only the busiest quarter counts: a mean over all would be lowered by the endpoints that gateways avoid.
	busiest := ratios[len(ratios)-1-len(ratios)/4:]
	sum := 0.0
	for _, ratio := range busiest {
		sum += ratio
	}
	e.factor = min(maxOvershoot, max(e.factor, sum/float64(len(busiest))))
}

// Factor returns the current factor, from 1 to maxOvershoot.
func (e *OvershootEstimator) Factor() float64 { return max(1, e.factor) }
