package solver

import "slices"

const (
	// minPlanned is the planned rate, in requests per second, below which an endpoint's count is too noisy to use.
	minPlanned = 2.0
	// maxOvershoot bounds the factor.
	maxOvershoot = 3.0
	// overshootDecay multiplies the factor in each round, so that it falls once less comes.
	overshootDecay = 0.9
)

// OvershootEstimator learns by how much more requests come to endpoints than their tables plan. Gateways avoid endpoints
// that have failed them for a while, and send their part to the others; they and their clients retry. When much of a fleet
// fails or is full that doubles what an endpoint gets, and one that is warming up is overloaded by a part that was meant
// for it. The zero value has a factor of 1. It is not safe for concurrent use.
type OvershootEstimator struct{ factor float64 }

// EndpointOutcome is what was planned for an endpoint and what came to it, in attempts per second of one round.
type EndpointOutcome struct{ Planned, Actual float64 }

// Observe records the outcomes of endpoints that serve.
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
	// The busiest quarter counts: the endpoints that are avoided make up for it in the mean of all.
	busiest := ratios[len(ratios)-1-len(ratios)/4:]
	sum := 0.0
	for _, ratio := range busiest {
		sum += ratio
	}
	e.factor = min(maxOvershoot, max(e.factor, sum/float64(len(busiest))))
}

// Factor returns the factor, at least 1.
func (e *OvershootEstimator) Factor() float64 { return max(1, e.factor) }
