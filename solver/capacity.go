package solver

import (
	"math"

	"porthub/policyapi"
)

const (
	// maxBusySeconds is the number of busy seconds from which on an endpoint's histogram is halved.
	maxBusySeconds = 20.0
	// minBusySeconds is the number of busy seconds from which on a capacity is known.
	minBusySeconds = 3.0
	// maxCostResponses is the number of responses from which on a class's cost is halved.
	maxCostResponses = 400.0
	// priorResponses is the number of responses for which the mean cost of all classes counts in each class's.
	priorResponses = 30
	// queueingUtilization is the utilization below which answers are assumed not to have waited.
	queueingUtilization = 0.6
	// minUtilization is the utilization up to which nothing is learned.
	minUtilization = 0.08
)

// CapacityEstimator learns what endpoints can do, from requests done per busy second in a histogram by utilization, and
// what a request of each class costs relative to the others, from how long it takes where requests do not wait.
type CapacityEstimator struct {
	classes   int
	endpoints map[policyapi.EndpointID]*throughput
	latencies []weightedSum // by class: responses, and their latency in microseconds
}

// weightedSum sums values and their weight.
type weightedSum struct{ weight, sum float64 }

func (s *weightedSum) add(weight, value float64) {
	s.weight += weight
	s.sum += value
}

// halve halves the weight of the values so far, so that older ones fade.
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

// throughput is the histogram of an endpoint: busy seconds, and the requests done in them, by quarter of utilization.
type throughput [4]weightedSum

func (t *throughput) add(utilization, busySeconds, done float64) {
	t[min(len(t)-1, int(float64(len(t))*utilization))].add(busySeconds, done)
	if total(t[:]).weight > maxBusySeconds {
		for i := range t {
			t[i].halve()
		}
	}
}

// NewCapacityEstimator returns an estimator for a number of request classes without observations.
func NewCapacityEstimator(classes int) *CapacityEstimator {
	return &CapacityEstimator{
		classes:   classes,
		endpoints: map[policyapi.EndpointID]*throughput{},
		latencies: make([]weightedSum, classes),
	}
}

// Observe records what all gateways observed at an endpoint in a time: its utilization, below 0 if it reports none, and its
// load by class. Nothing is learned from an endpoint that is warming up: it would count as slow for a long time.
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

// ResetEndpoint drops the records of an endpoint, because another process has its address.
func (e *CapacityEstimator) ResetEndpoint(endpoint policyapi.EndpointID) {
	delete(e.endpoints, endpoint)
}

// Capacity returns what an endpoint can do when warmed up, in requests of mean cost per second, or NaN while too little is
// known.
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

// Costs returns what requests of each class cost relative to the mean of all, which is 1.
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
