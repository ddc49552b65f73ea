package solver_test

import (
	"math"
	"testing"

	"porthub/policyapi"
	"porthub/solver"
)

func TestCapacityEstimator(t *testing.T) {
	estimator := solver.NewCapacityEstimator(2)
	if !math.IsNaN(estimator.Capacity("a")) {
		t.Error("the capacity of an unknown endpoint is known")
	}
	observe := func(busy, rate float64, warm bool) {
		estimator.Observe("a", 1, busy, warm, []policyapi.EndpointClassLoad{{Class: 0, Attempts: int(rate * busy), MeanLatency: 100_000}, {Class: 1, Attempts: int(rate * busy), MeanLatency: 300_000}})
	}
	for range 20 {
		observe(0.5, 40, true)
	}
	if c := estimator.Capacity("a"); c < 70 || c > 90 {
		t.Errorf("40 of each class done in a busy second: %v", c)
	}
	if costs := estimator.Costs(); costs[0] > 0.7 || costs[1] < 1.3 {
		t.Errorf("a class that takes three times as long costs %v beside %v", costs[1], costs[0])
	}
	known := estimator.Capacity("a")
	for range 20 {
		observe(0.9, 4, false) // warming up
		observe(0.01, 4, true) // idle
	}
	if estimator.Capacity("a") != known {
		t.Error("it learns from idle endpoints and those that are warming up")
	}
}

// The factor rises at once with the busiest endpoints and decays; an endpoint with little planned does not count.
func TestOvershootEstimator(t *testing.T) {
	var estimator solver.OvershootEstimator
	if estimator.Factor() != 1 {
		t.Errorf("nothing known: %v", estimator.Factor())
	}
	estimator.Observe([]solver.EndpointOutcome{{10, 10}, {10, 4}, {10, 20}, {10, 10}, {0.1, 5}})
	if got := estimator.Factor(); got < 1.4 || got > 2 {
		t.Errorf("one endpoint gets twice its plan: %v", got)
	}
	estimator.Observe([]solver.EndpointOutcome{{10, 90}})
	if estimator.Factor() != 3 {
		t.Errorf("the factor is not bounded: %v", estimator.Factor())
	}
	for range 12 {
		estimator.Observe([]solver.EndpointOutcome{{10, 10}})
	}
	if estimator.Factor() > 1.01 {
		t.Errorf("the factor does not decay: %v", estimator.Factor())
	}
}
