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

// TestMain runs the tests with fixed random draws for the property tests.
func TestMain(m *testing.M) { testutil.RunWithFixedSeed(m, 400) }

// On random fleets of all hard cases, no endpoint is offered more than 5 % above its limit, demand that fits is placed, and the
// placed priority is near the exact optimum.
func TestRandomFleets(t *testing.T) {
	for seed := range uint64(3) {
		m, err := fleets.Measure(320, 100+seed, true, true)
		if err != nil {
			t.Fatal(err)
		}
		if m.WorstOverload > 1.05 || m.Unplaced > 1e-3 || m.PriorityRatio.Median < 0.98 || m.PriorityRatio.Worst < 0.90 || m.Optima < 300 || m.Feasible < 200 {
			t.Errorf("seed %d: %+v, priority ratio %+v; want worst overload <= 1.05, unplaced <= 0.001, "+
				"ratio >= 0.98 (median) and >= 0.90 (worst), >= 300 optima, >= 200 feasible fleets", 100+seed, m, m.PriorityRatio)
		}
		if m.MinAdmitted <= 0 {
			t.Errorf("seed %d: smallest admitted fraction of a consumer with open endpoints = %v, want above 0", 100+seed, m.MinAdmitted)
		}
		if w := m.Baselines[fleets.DesiredWeights]; w.Median > m.PriorityRatio.Median {
			t.Errorf("seed %d: median ratio of the desired tables = %v, want at most that of the solutions, %v",
				100+seed, w.Median, m.PriorityRatio.Median)
		}
	}
}

// For any fleet, endpoints are offered at most 5 % above their limits, weights are valid, the certificate matches the solution,
// its bound holds, and the solution is deterministic.
func TestSolutionInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFleet(t)
		solution := solver.Solve(f, nil)
		limit := solver.Limits(f)
		if over := fleets.Overload(f, solution); over > 1.05 {
			t.Fatalf("an endpoint is offered %.4f of its limit, want at most 1.05", over)
		}
		priority := 0.0
		for consumer := range f.Consumers {
			for class, rate := range f.Consumers[consumer].Demand {
				sum := 0.0
				for _, l := range solution.Weights[consumer][class] {
					if !(l.Weight > 0) || l.Weight > 1+1e-9 {
						t.Fatalf("consumer %d, class %d: weight %v, want above 0 and at most 1", consumer, class, l.Weight)
					}
					sum += l.Weight
				}
				if a := solution.Admit[consumer][class]; a < 0 || a > 1 || rate > 0 && a > 0 && math.Abs(sum-1) > 1e-6 && !(sum == 0 && a <= 1e-6) {
					t.Fatalf("consumer %d, class %d: admitted %v, want 0 to 1; weights sum to %v, want 1 if any demand is admitted",
						consumer, class, a, sum)
				}
				priority += rate * solution.Admit[consumer][class] * f.Classes[class].PriorityWeight
			}
		}
		c := solution.Certificate
		if math.Abs(priority-c.PlacedPriority) > 1e-6*(1+priority) || c.PlacedPriority > c.Bound*1.03+1e-9 {
			t.Fatalf("placed priority %v by admissions, %v in the certificate, want equal; bound %v, want at most 3 %% less than the placed priority",
				priority, c.PlacedPriority, c.Bound)
		}
		for j, p := range c.Prices {
			if p < 0 || math.IsNaN(p) || math.IsInf(p, 0) || c.Limit[j] != limit[j] {
				t.Fatalf("endpoint %d: price %v, want finite and at least 0; limit %v in the certificate, want %v", j, p, c.Limit[j], limit[j])
			}
		}
		if again := solver.Solve(f, nil); !reflect.DeepEqual(solution, again) {
			t.Fatalf("solving the same fleet twice gives %+v and %+v, want equal solutions", solution, again)
		}
		if warm := solver.Solve(f, c.Prices); fleets.Overload(f, warm) > 1.05 {
			t.Fatalf("after a warm start an endpoint is offered %.4f of its limit, want at most 1.05", fleets.Overload(f, warm))
		}
	})
}

// drawFleet draws a small fleet, some of whose capacities and costs are implausible.
func drawFleet(t *rapid.T) (f solver.Fleet) {
	number := func(name string, from, to int) int { return rapid.IntRange(from, to).Draw(t, name) }
	zones, classes := number("zones", 1, 3), number("classes", 1, 3)
	for c := range classes {
		class := solver.Class{Name: fmt.Sprint("k", c), PriorityWeight: float64(number("priority", 1, 5)),
			LocalZoneOnly: number("local zone only", 0, 9) == 0}
		if number("bound to a zone", 0, 5) == 0 {
			class.AllowedZones = []string{"z0"}
		}
		f.Classes = append(f.Classes, class)
	}
	for i := range number("endpoints", 1, 8) {
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
	for u := range number("consumers", 1, 6) {
		consumer := solver.Consumer{Name: fmt.Sprint("u", u), Zone: fmt.Sprint("z", number("zone", 0, zones-1))}
		for range classes {
			consumer.Demand = append(consumer.Demand, rapid.SampledFrom([]float64{0, 0.001, 0.5, 2, 9, 400}).Draw(t, "demand"))
			var shares []solver.Share
			for i := range f.Endpoints {
				if number("listed", 0, 2) > 0 {
					shares = append(shares, solver.Share{Endpoint: i, Weight: rapid.SampledFrom([]float64{0, 0.01, 1, 30}).Draw(t, "weight")})
				}
			}
			consumer.Desired = append(consumer.Desired, shares)
			consumer.Pod = append(consumer.Pod, number("consumer pod", 0, 3))
		}
		f.Consumers = append(f.Consumers, consumer)
	}
	return f
}

// evenFleet returns a fleet with one zone and one class, in which all endpoints have equal desired weights.
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

func TestDesiredWeightsWithinLimitsAreUntouched(t *testing.T) {
	f := evenFleet([]float64{10, 10, 10}, 9, 9)
	f.Consumers[0].Desired[0] = []solver.Share{{Endpoint: 0, Weight: 3}, {Endpoint: 1, Weight: 1}}
	s := solver.Solve(f, nil)
	if !s.Untouched || s.Weights[0][0][0] != (solver.Share{Endpoint: 0, Weight: 0.75}) || len(s.Weights[0][0]) != 2 {
		t.Errorf("untouched %t, weights %+v; want the desired weights unchanged, 0.75 and 0.25", s.Untouched, s.Weights)
	}
	f.Consumers[0].Demand[0] = 12 // the first endpoint would be offered 9 by it and 3 by the other consumer, with a limit of 10
	if s := solver.Solve(f, nil); s.Untouched || s.Admit[0][0] != 1 || s.Weights[0][0][0].Weight >= 0.75 {
		t.Errorf("untouched %t, weights %+v, certificate %+v; want all demand admitted and less than 0.75 for the first endpoint",
			s.Untouched, s.Weights, s.Certificate)
	}
}

// If not all demand fits, the class of the highest priority is served first and no consumer starves: consumers with little and with
// much demand for the other class are admitted the same fraction of it.
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
			t.Errorf("consumer %d: admitted fraction of the class of twice the priority = %.2f, want at least 0.97", u, s.Admit[u][1])
		}
	}
	a, b := s.Admit[0][0], s.Admit[1][0]
	if a < 0.15 || b < 0.15 || math.Abs(a-b) > 0.05 || s.Certificate.Shed[0] < 25 {
		t.Errorf("admitted fractions of the other class = %.2f and %.2f, want equal and at least 0.15; %.1f requests/s rejected, want at least 25",
			a, b, s.Certificate.Shed[0])
	}
}

// A class that is restricted to a zone with one open endpoint is served there, and other classes move to other zones.
func TestZoneBoundClassWithOneEndpointLeft(t *testing.T) {
	f := evenFleet([]float64{10, 10, 10, 10}, 20)
	f.Endpoints[2].Zone, f.Endpoints[3].Zone = "b", "b"
	f.Classes = append(f.Classes, solver.Class{Name: "issue", PriorityWeight: 3, AllowedZones: []string{"b"}})
	f.Consumers[0].Demand = append(f.Consumers[0].Demand, 9)
	f.Consumers[0].Desired = append(f.Consumers[0].Desired, []solver.Share{{Endpoint: 2, Weight: 1}, {Endpoint: 3, Weight: 1}})
	f.Endpoints[3].Closed = true
	s := solver.Solve(f, nil)
	if s.Admit[0][1] < 0.97 || s.Admit[0][0] < 0.97 || fleets.Overload(f, s) > 1.05 {
		t.Errorf("admitted %v, load %v; want at least 0.97 of both classes and no load above 1.05 of a limit", s.Admit, s.Certificate.Load)
	}
}

func TestFleetOfOneEndpoint(t *testing.T) {
	s := solver.Solve(evenFleet([]float64{10}, 8, 8), nil)
	if a, b := s.Admit[0][0], s.Admit[1][0]; math.Abs(a-b) > 0.01 || math.Abs(a-10.0/16) > 0.03 {
		t.Errorf("admitted %v and %v of a demand of 16 with a capacity of 10, want 0.625 for both consumers", a, b)
	}
	if err := (solver.Fleet{}).Check(); err == nil {
		t.Error("Check of an empty fleet returns nil, want an error")
	}
}

// While the capacity of an endpoint falls in each round, loads stay within 5 % of the limits and its weight never rises.
func TestFallingCapacityDoesNotOscillate(t *testing.T) {
	f := evenFleet([]float64{10, 10, 10, 10}, 12, 12)
	var prices []float64
	last, turns, falling := 0.25, 0, true
	for round := range 25 {
		f.Endpoints[0].Capacity *= 0.93
		s := solver.Solve(f, prices)
		prices = s.Certificate.Prices
		if over := fleets.Overload(f, s); over > 1.05 {
			t.Fatalf("round %d: an endpoint is offered %.3f of its limit, want at most 1.05", round, over)
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
		t.Errorf("the weight changed direction %d times, want never; it ended at %.3f, want at most 0.12", turns, last)
	}
}
