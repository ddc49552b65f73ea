package solver_test

import (
	"fmt"
	"math"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"porthub/solver"
	"porthub/solver/fleets"
	"porthub/testutil"
)

// TestMain fixes the draws of property tests.
func TestMain(m *testing.M) { testutil.RunWithFixedSeed(m, 400) }

// On random fleets of all hard cases no endpoint is offered more than its limit, what fits is placed, and the placed
// priority is near the exact optimum.
func TestRandomFleets(t *testing.T) {
	for seed := range uint64(3) {
		m, err := fleets.Measure(320, 100+seed, true, true)
		if err != nil {
			t.Fatal(err)
		}
		if m.WorstOverload > 1.05 || m.Unplaced > 1e-3 || m.PriorityRatio.Median < 0.98 || m.PriorityRatio.Worst < 0.90 || m.Optima < 300 || m.Feasible < 200 {
			t.Errorf("seed %d: %+v, ratio %+v", seed, m, m.PriorityRatio)
		}
		if m.MinAdmitted <= 0 {
			t.Error("a consumer with open endpoints starves")
		}
		if w := m.Baselines[fleets.DesiredWeights]; w.Median > m.PriorityRatio.Median {
			t.Errorf("the wanted tables alone do better: %+v", w)
		}
	}
}

// For any fleet limits are kept, weights are valid, the certificate adds up and its bound holds.
func TestSolutionInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t)
		solution := solver.Solve(f, nil)
		limit := solver.Limits(f)
		if over := fleets.Overload(f, solution); over > 1.05 {
			t.Fatalf("offered %.4f of a limit", over)
		}
		priority := 0.0
		for consumer := range f.Consumers {
			for class, rate := range f.Consumers[consumer].Demand {
				sum := 0.0
				for _, l := range solution.Weights[consumer][class] {
					if !(l.Weight > 0) || l.Weight > 1+1e-9 {
						t.Fatalf("weight %v", l.Weight)
					}
					sum += l.Weight
				}
				if a := solution.Admit[consumer][class]; a < 0 || a > 1 || rate > 0 && a > 0 && math.Abs(sum-1) > 1e-6 && !(sum == 0 && a <= 1e-6) {
					t.Fatalf("consumer %d, class %d: admitted %v, weights sum to %v", consumer, class, a, sum)
				}
				priority += rate * solution.Admit[consumer][class] * f.Classes[class].PriorityWeight
			}
		}
		c := solution.Certificate
		if math.Abs(priority-c.PlacedPriority) > 1e-6*(1+priority) || c.PlacedPriority > c.Bound*1.03+1e-9 {
			t.Fatalf("priority %v, certificate %v, bound %v", priority, c.PlacedPriority, c.Bound)
		}
		for j, p := range c.Prices {
			if p < 0 || math.IsNaN(p) || math.IsInf(p, 0) || c.Limit[j] != limit[j] {
				t.Fatalf("price %v, limit %v of %v", p, c.Limit[j], limit[j])
			}
		}
		if again := solver.Solve(f, nil); !reflect.DeepEqual(solution, again) {
			t.Fatal("two solutions of one fleet differ")
		}
		if warm := solver.Solve(f, c.Prices); fleets.Overload(f, warm) > 1.05 {
			t.Fatal("a warm start breaks a limit")
		}
	})
}

// drawFleet draws a small fleet with implausible values.
func drawFleet(t *rapid.T) (f solver.Fleet) {
	number := func(name string, from, to int) int { return rapid.IntRange(from, to).Draw(t, name) }
	zones, classes := number("zones", 1, 3), number("kinds", 1, 3)
	for c := range classes {
		class := solver.Class{Name: fmt.Sprint("k", c), PriorityWeight: float64(number("payoff", 1, 5)), LocalZoneOnly: number("own", 0, 9) == 0}
		if number("bound", 0, 5) == 0 {
			class.AllowedZones = []string{"z0"}
		}
		f.Classes = append(f.Classes, class)
	}
	for i := range number("nodes", 1, 8) {
		endpoint := solver.Endpoint{Name: fmt.Sprint("n", i), Zone: fmt.Sprint("z", i%zones), Pod: number("pod", 1, 3),
			Capacity: rapid.SampledFrom([]float64{0, 0.01, 1, 2, 5, 10, 1e9, math.NaN(), math.Inf(1), -1}).Draw(t, "capacity"),
			Closed:   number("closed", 0, 5) == 0, Limit: rapid.SampledFrom([]float64{0, 0.3, 0.7, 1}).Draw(t, "limit")}
		for range classes {
			endpoint.Cost = append(endpoint.Cost, rapid.SampledFrom([]float64{0.1, 1, 3, math.NaN()}).Draw(t, "cost"))
			endpoint.Failing = append(endpoint.Failing, number("failing", 0, 4) == 0)
		}
		if number("no costs", 0, 3) == 0 {
			endpoint.Cost = nil
		}
		f.Endpoints = append(f.Endpoints, endpoint)
	}
	for u := range number("users", 1, 6) {
		consumer := solver.Consumer{Name: fmt.Sprint("u", u), Zone: fmt.Sprint("z", number("zone", 0, zones-1))}
		for range classes {
			consumer.Demand = append(consumer.Demand, rapid.SampledFrom([]float64{0, 0.001, 0.5, 2, 9, 400}).Draw(t, "demand"))
			var shares []solver.Share
			for i := range f.Endpoints {
				if number("line", 0, 2) > 0 {
					shares = append(shares, solver.Share{Endpoint: i, Weight: rapid.SampledFrom([]float64{0, 0.01, 1, 30}).Draw(t, "weight")})
				}
			}
			consumer.Desired = append(consumer.Desired, shares)
			consumer.Pod = append(consumer.Pod, number("user pod", 0, 3))
		}
		f.Consumers = append(f.Consumers, consumer)
	}
	return f
}

// evenFleet returns a fleet with one zone and one class, in which all endpoints are wanted alike.
func evenFleet(capacities []float64, demands ...float64) (f solver.Fleet) {
	f.Classes = []solver.Class{{Name: "view", PriorityWeight: 1}}
	var shares []solver.Share
	for j, c := range capacities {
		f.Endpoints = append(f.Endpoints, solver.Endpoint{Name: fmt.Sprint("n", j), Zone: "a", Capacity: c})
		shares = append(shares, solver.Share{Endpoint: j, Weight: 1})
	}
	for u, d := range demands {
		f.Consumers = append(f.Consumers, solver.Consumer{Name: fmt.Sprint("u", u), Zone: "a", Demand: []float64{d}, Desired: [][]solver.Share{shares}})
	}
	return f
}

func TestWantedWeightsWithinLimitsAreUntouched(t *testing.T) {
	f := evenFleet([]float64{10, 10, 10}, 9, 9)
	f.Consumers[0].Desired[0] = []solver.Share{{Endpoint: 0, Weight: 3}, {Endpoint: 1, Weight: 1}}
	s := solver.Solve(f, nil)
	if !s.Untouched || s.Weights[0][0][0] != (solver.Share{Endpoint: 0, Weight: 0.75}) || len(s.Weights[0][0]) != 2 {
		t.Errorf("%+v", s.Weights)
	}
	f.Consumers[0].Demand[0] = 12 // 9 of it and 3 of the other consumer's on the first endpoint: over its limit
	if s := solver.Solve(f, nil); s.Untouched || s.Admit[0][0] != 1 || s.Weights[0][0][0].Weight >= 0.75 {
		t.Errorf("%+v %+v", s.Weights, s.Certificate)
	}
}

// Where not all fits, the class of the highest priority is served first, no consumer starves, and one with much demand is
// not served at the cost of others.
func TestShedByPriority(t *testing.T) {
	f := evenFleet([]float64{10, 10}, 10, 30)
	f.Classes = append(f.Classes, solver.Class{Name: "save", PriorityWeight: 2})
	for u := range f.Consumers {
		f.Consumers[u].Demand = append(f.Consumers[u].Demand, 5)
		f.Consumers[u].Desired = append(f.Consumers[u].Desired, f.Consumers[u].Desired[0])
	}
	s := solver.Solve(f, nil)
	for u := range f.Consumers {
		if s.Admit[u][1] < 0.97 {
			t.Errorf("consumer %d is admitted %.2f of the class of twice the priority", u, s.Admit[u][1])
		}
	}
	a, b := s.Admit[0][0], s.Admit[1][0]
	if a < 0.15 || b < 0.15 || math.Abs(a-b) > 0.05 || s.Certificate.Shed[0] < 25 {
		t.Errorf("admitted %.2f and %.2f of the other class, %.1f rejected", a, b, s.Certificate.Shed[0])
	}
}

// A class that is bound to a zone with one endpoint left is served there, and other classes move away.
func TestZoneBoundClassWithOneEndpointLeft(t *testing.T) {
	f := evenFleet([]float64{10, 10, 10, 10}, 20)
	f.Endpoints[2].Zone, f.Endpoints[3].Zone = "b", "b"
	f.Classes = append(f.Classes, solver.Class{Name: "issue", PriorityWeight: 3, AllowedZones: []string{"b"}})
	f.Consumers[0].Demand = append(f.Consumers[0].Demand, 9)
	f.Consumers[0].Desired = append(f.Consumers[0].Desired, []solver.Share{{Endpoint: 2, Weight: 1}, {Endpoint: 3, Weight: 1}})
	f.Endpoints[3].Closed = true
	s := solver.Solve(f, nil)
	if s.Admit[0][1] < 0.97 || s.Admit[0][0] < 0.97 || fleets.Overload(f, s) > 1.05 {
		t.Errorf("admitted %v, load %v", s.Admit, s.Certificate.Load)
	}
}

func TestFleetOfOneEndpoint(t *testing.T) {
	s := solver.Solve(evenFleet([]float64{10}, 8, 8), nil)
	if a, b := s.Admit[0][0], s.Admit[1][0]; math.Abs(a-b) > 0.01 || math.Abs(a-10.0/16) > 0.03 {
		t.Errorf("admitted %v and %v of a demand of 16 where 10 can be done", a, b)
	}
	if err := (solver.Fleet{}).Check(); err == nil {
		t.Error("an empty fleet is valid")
	}
}

// While the capacity of an endpoint falls in every round, loads stay within the limits and its weight only falls.
func TestFallingCapacityDoesNotOscillate(t *testing.T) {
	f := evenFleet([]float64{10, 10, 10, 10}, 12, 12)
	var prices []float64
	last, turns, falling := 0.25, 0, true
	for round := range 25 {
		f.Endpoints[0].Capacity *= 0.93
		s := solver.Solve(f, prices)
		prices = s.Certificate.Prices
		if over := fleets.Overload(f, s); over > 1.05 {
			t.Fatalf("round %d: %.3f of a limit", round, over)
		}
		w := 0.0
		for _, l := range s.Weights[0][0] {
			if l.Endpoint == 0 {
				w = l.Weight
			}
		}
		if down := w <= last+0.002; down != falling {
			turns, falling = turns+1, down
		}
		last = w
	}
	if turns > 0 || last > 0.12 {
		t.Errorf("the weight turned %d times and ended at %.3f", turns, last)
	}
}
