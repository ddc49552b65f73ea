package fleets

import "porthub/solver"

// Baseline is a simple way of filling tables, to compare solutions with.
type Baseline string

// The baselines.
const (
	EvenWeights     Baseline = "even weights"
	CapacityWeights Baseline = "weights by capacity"
	DesiredWeights  Baseline = "the tables wanted alone"
)

// baselineRate is what a baseline sends to an endpoint that may serve it, in requests per second.
type baselineRate struct {
	endpoint, class int
	rate            float64
}

// ServedPriority returns the priority weight per second that a baseline serves without rejecting anything: an endpoint
// that is offered more than its limit serves its limit, of every class alike, and one that is not open serves nothing.
func ServedPriority(f solver.Fleet, baseline Baseline) float64 {
	limits := solver.Limits(f)
	rates, load := baselineLoad(f, baseline, limits)
	served := 0.0
	for _, r := range rates {
		part := 1.0
		if load[r.endpoint] > limits[r.endpoint] {
			part = limits[r.endpoint] / load[r.endpoint]
		}
		served += r.rate * part * f.Classes[r.class].PriorityWeight
	}
	return served
}

// baselineLoad returns what a baseline sends to open endpoints, and the load of all endpoints.
func baselineLoad(f solver.Fleet, baseline Baseline, limits []float64) (rates []baselineRate, load []float64) {
	load = make([]float64, len(f.Endpoints))
	for consumer := range f.Consumers {
		for class, rate := range f.Consumers[consumer].Demand {
			open := make([]bool, len(f.Endpoints))
			for _, endpoint := range solver.OpenEndpoints(f, consumer, class) {
				open[endpoint] = true
			}
			weights := baselineWeights(f, baseline, consumer, class, open, limits)
			total := 0.0
			for _, weight := range weights {
				total += weight
			}
			for endpoint, weight := range weights {
				if weight == 0 {
					continue
				}
				sent := rate * weight / total
				load[endpoint] += sent * cost(f, endpoint, class)
				if open[endpoint] {
					rates = append(rates, baselineRate{endpoint, class, sent})
				}
			}
		}
	}
	return rates, load
}

// baselineWeights returns the weights by endpoint of a consumer's table.
func baselineWeights(f solver.Fleet, baseline Baseline, consumer, class int, open []bool, limits []float64) []float64 {
	weights := make([]float64, len(f.Endpoints))
	if baseline == DesiredWeights {
		if wanted := f.Consumers[consumer].Desired; class < len(wanted) {
			for _, share := range wanted[class] {
				if !f.Endpoints[share.Endpoint].Closed { // any baseline follows drains
					weights[share.Endpoint] += share.Weight
				}
			}
		}
		return weights
	}
	for endpoint := range weights {
		switch {
		case !open[endpoint]:
		case baseline == EvenWeights:
			weights[endpoint] = 1
		case baseline == CapacityWeights:
			weights[endpoint] = limits[endpoint]
		}
	}
	return weights
}
