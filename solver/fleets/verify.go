package fleets

import (
	"math"
	"slices"

	"porthub/solver"
)

// cost returns the work of a request of a class at an endpoint, which is 1 if the endpoint has no costs.
func cost(f solver.Fleet, endpoint, class int) float64 {
	costs := f.Endpoints[endpoint].Cost
	if len(costs) == 0 {
		return 1
	}
	return costs[class]
}

// Overload returns the largest ratio of an endpoint's load to its limit, computed from the weights and admissions of a solution
// and not from its certificate. It is infinite if a weight is on an endpoint that is not open for it.
func Overload(f solver.Fleet, s solver.Solution) float64 {
	load := make([]float64, len(f.Endpoints))
	for consumer := range f.Consumers {
		for class, rate := range f.Consumers[consumer].Demand {
			open := solver.OpenEndpoints(f, consumer, class)
			for _, share := range s.Weights[consumer][class] {
				load[share.Endpoint] += rate * s.Admit[consumer][class] * share.Weight * cost(f, share.Endpoint, class)
				if rate > 0 && share.Weight > 0 && !slices.Contains(open, share.Endpoint) {
					return math.Inf(1)
				}
			}
		}
	}
	limits := solver.Limits(f)
	worst := 0.0
	for i := range load {
		if load[i] > 0 {
			worst = max(worst, load[i]/limits[i])
		}
	}
	return worst
}

// Unplaced returns the fraction of the total demand that is not served.
func Unplaced(f solver.Fleet, s solver.Solution) float64 {
	total, unplaced := 0.0, 0.0
	for consumer := range f.Consumers {
		for class, rate := range f.Consumers[consumer].Demand {
			sum := 0.0
			for _, share := range s.Weights[consumer][class] {
				sum += share.Weight
			}
			total += rate
			unplaced += rate * (1 - s.Admit[consumer][class]*min(1, sum))
		}
	}
	return unplaced / max(total, 1e-12)
}

// minAdmitted returns the smallest fraction of its demand for a class that a consumer with an open endpoint is admitted, or 1 if
// there is no such demand.
func minAdmitted(f solver.Fleet, s solver.Solution) float64 {
	lowest := 1.0
	for consumer := range f.Consumers {
		for class, rate := range f.Consumers[consumer].Demand {
			if rate > 0 && len(solver.OpenEndpoints(f, consumer, class)) > 0 {
				lowest = min(lowest, s.Admit[consumer][class])
			}
		}
	}
	return lowest
}
