package fleets

import "porthub/solver"

// Baseline is a simple way to choose weights, with which solutions are compared.
type Baseline string

// The values of Baseline.
const (
	EvenWeights     Baseline = "even weights"
	CapacityWeights Baseline = "weights by capacity"
	DesiredWeights  Baseline = "the tables wanted alone"
)

// baselineRate is the rate of a class that a baseline sends to an open endpoint.
type baselineRate struct {
	endpoint, class int
	rate            float64 // requests per second
}

// ServedPriority returns the priority weight per second that endpoints serve by the weights of a baseline, which admits all demand.
// An endpoint that is offered more than its limit serves the same fraction of each class up to its limit. An endpoint that is not
// open for a class serves none of it.
func ServedPriority(f solver.Fleet, baseline Baseline) float64 {
	limits := solver.Limits(f)
	rates, load := baselineLoad(f, baseline, limits)
	served := 0.0
	for _, r := range rates {
		fraction := 1.0
		if load[r.endpoint] > limits[r.endpoint] {
			fraction = limits[r.endpoint] / load[r.endpoint]
		}
		served += r.rate * fraction * f.Classes[r.class].PriorityWeight
	}
	return served
}

// baselineLoad returns the rates that a baseline sends to open endpoints, and the load of all endpoints.
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

// baselineWeights returns the weights, by endpoint, of a consumer's table for a class.
func baselineWeights(f solver.Fleet, baseline Baseline, consumer, class int, open []bool, limits []float64) []float64 {
	weights := make([]float64, len(f.Endpoints))
	if baseline == DesiredWeights {
		if desired := f.Consumers[consumer].Desired; class < len(desired) {
			for _, share := range desired[class] {
				if !f.Endpoints[share.Endpoint].Closed { // every baseline respects drains
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
