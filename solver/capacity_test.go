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
		t.Errorf("capacity of an endpoint without observations = %v, want NaN", estimator.Capacity("a"))
	}
	observe := func(busy, rate float64, warm bool) {
		estimator.Observe("a", 1, busy, warm, []policyapi.EndpointClassLoad{
			{Class: 0, Attempts: int(rate * busy), MeanLatency: 100_000},
			{Class: 1, Attempts: int(rate * busy), MeanLatency: 300_000},
		})
	}
	for range 20 {
		observe(0.5, 40, true)
	}
	if c := estimator.Capacity("a"); c < 70 || c > 90 {
		t.Errorf("capacity with 40 responses of each of 2 classes per busy second = %v, want 70 to 90", c)
	}
	if costs := estimator.Costs(); costs[0] > 0.7 || costs[1] < 1.3 {
		t.Errorf("costs of two classes, the second with three times the latency = %v, want at most 0.7 and at least 1.3", costs)
	}
	known := estimator.Capacity("a")
	for range 20 {
		observe(0.9, 4, false) // warming up
		observe(0.01, 4, true) // idle
	}
	if estimator.Capacity("a") != known {
		t.Errorf("capacity after observations while idle and while warming up = %v, want %v as before", estimator.Capacity("a"), known)
	}
}

// The factor rises at once with the load of the busiest endpoints and decays. An endpoint with a low planned rate is ignored.
func TestOvershootEstimator(t *testing.T) {
	var estimator solver.OvershootEstimator
	if estimator.Factor() != 1 {
		t.Errorf("factor without observations = %v, want 1", estimator.Factor())
	}
	estimator.Observe([]solver.EndpointOutcome{{10, 10}, {10, 4}, {10, 20}, {10, 10}, {0.1, 5}})
	if got := estimator.Factor(); got < 1.4 || got > 2 {
		t.Errorf("factor with one endpoint at twice its planned rate = %v, want 1.4 to 2", got)
	}
	estimator.Observe([]solver.EndpointOutcome{{10, 90}})
	if estimator.Factor() != 3 {
		t.Errorf("factor with an endpoint at nine times its planned rate = %v, want the maximum of 3", estimator.Factor())
	}
	for range 12 {
		estimator.Observe([]solver.EndpointOutcome{{10, 10}})
	}
	if estimator.Factor() > 1.01 {
		t.Errorf("factor after 12 rounds at the planned rate = %v, want at most 1.01", estimator.Factor())
	}
}
