package solver

import (
	"math"

	"porthub/policyapi"
)

const (
	// maxBusySeconds is the number of busy seconds above which an endpoint's histogram is halved.
	maxBusySeconds = 20.0
	// minBusySeconds is the number of busy seconds needed to estimate a capacity.
	minBusySeconds = 3.0
	// maxCostResponses is the number of responses above which the latency sums of a class are halved.
	maxCostResponses = 400.0
	// priorResponses is the number of responses that the mean latency of all classes counts for in the cost of each class.
	priorResponses = 30
	// queueingUtilization is the utilization below which requests are assumed not to have queued, so that their latency
	// reflects their cost.
	queueingUtilization = 0.6
	// minUtilization is the utilization that an observation must exceed to be used.
	minUtilization = 0.08
)

// CapacityEstimator estimates the capacity of endpoints from the requests that they complete per busy second, and the cost of a
// request of each class relative to the others from its latency at endpoints where requests do not queue.
type CapacityEstimator struct {
	classes   int
	endpoints map[policyapi.EndpointID]*throughput
	latencies []weightedSum // by class: number of responses, and the sum of their latencies in microseconds
}

// weightedSum is a sum of weighted values, with the sum of their weights.
type weightedSum struct{ weight, sum float64 }

func (s *weightedSum) add(weight, value float64) {
	s.weight += weight
	s.sum += value
}

// halve halves both sums, so that older values count less than newer ones.
func (s *weightedSum) halve() {
	s.weight /= 2
	s.sum /= 2
}

func total(sums []weightedSum) (total weightedSum) {
	for _, s := range sums {
		total.add(s.weight, s.sum)
	}
	return total
}

// throughput is an endpoint's histogram of busy seconds, and of the requests completed in them, by quarter of utilization.
type throughput [4]weightedSum

func (t *throughput) add(utilization, busySeconds, done float64) {
	t[min(len(t)-1, int(float64(len(t))*utilization))].add(busySeconds, done)
	if total(t[:]).weight > maxBusySeconds {
		for i := range t {
			t[i].halve()
		}
	}
}

// NewCapacityEstimator returns an estimator without observations for the given number of request classes.
func NewCapacityEstimator(classes int) *CapacityEstimator {
	return &CapacityEstimator{
		classes:   classes,
		endpoints: map[policyapi.EndpointID]*throughput{},
		latencies: make([]weightedSum, classes),
	}
}

// Observe records what all gateways observed at an endpoint during a number of seconds: its utilization, negative if it reports
// none, and its load by class. Observations of an endpoint that is warming up (warm is false) are ignored, because they would
// lower its estimated capacity long after it has warmed up.
func (e *CapacityEstimator) Observe(endpoint policyapi.EndpointID, seconds, utilization float64, warm bool, loads []policyapi.EndpointClassLoad) {
	if !(utilization > minUtilization) || !warm || seconds <= 0 {
		return
	}
	observed := e.endpoints[endpoint]
	if observed == nil {
		observed = &throughput{}
		e.endpoints[endpoint] = observed
	}
	done := 0.0
	for _, load := range loads {
		responses := float64(load.Attempts - load.Failures)
		if responses <= 0 || int(load.Class) >= e.classes {
			continue
		}
		done += responses * e.cost(int(load.Class))
		if utilization < queueingUtilization {
			e.addLatency(load, responses)
		}
	}
	utilization = min(1, utilization)
	observed.add(utilization, utilization*seconds, done)
}

func (e *CapacityEstimator) addLatency(load policyapi.EndpointClassLoad, responses float64) {
	latency := &e.latencies[load.Class]
	latency.add(responses, responses*float64(load.MeanLatency))
	if latency.weight > maxCostResponses {
		latency.halve()
	}
}

// ResetEndpoint discards the observations of an endpoint. Callers use it when another process has taken the endpoint's address.
func (e *CapacityEstimator) ResetEndpoint(endpoint policyapi.EndpointID) {
	delete(e.endpoints, endpoint)
}

// Capacity returns the capacity of an endpoint when warmed up, in requests of mean cost per second, or NaN if there are too few
// observations.
func (e *CapacityEstimator) Capacity(endpoint policyapi.EndpointID) float64 {
	t := e.endpoints[endpoint]
	if t == nil {
		return math.NaN()
	}
	all := total(t[:])
	if all.weight < minBusySeconds || all.sum <= 0 {
		return math.NaN()
	}
	return all.sum / all.weight
}

// Costs returns the cost of a request of each class relative to the mean of all classes, which is 1.
func (e *CapacityEstimator) Costs() []float64 {
	costs := make([]float64, e.classes)
	for class := range costs {
		costs[class] = e.cost(class)
	}
	return costs
}

func (e *CapacityEstimator) cost(class int) float64 {
	all := total(e.latencies)
	if all.weight == 0 || all.sum == 0 {
		return 1
	}
	mean := all.sum / all.weight
	latency := e.latencies[class]
	return (latency.sum + priorResponses*mean) / (latency.weight + priorResponses) / mean
}
