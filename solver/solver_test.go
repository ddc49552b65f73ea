package solver_test

import (
	"flag"
	"fmt"
	"math"
	"os"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"porthub/policyapi"
	"porthub/solver"
	"porthub/solver/fleets"
)

// TestMain gives the property tests the same draws in each run.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261201", "rapid.checks": "400", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// On random fleets with every hard case among them no node is offered more than its limit, what fits is placed, and
// the payoff comes near the exact optimum.
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
			t.Error("a gateway with open nodes is starved")
		}
		if w := m.Baselines[fleets.WantedWeights]; w.Median > m.PriorityRatio.Median {
			t.Errorf("the tables wanted alone do better: %+v", w)
		}
	}
}

// For any fleet at all: limits are kept, weights are sound, the certificate adds up and its bound holds.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawn(t)
		s := solver.Solve(f, nil)
		limit := solver.Limits(f)
		if over := fleets.Overload(f, s); over > 1.05 {
			t.Fatalf("offered %.4f of a limit", over)
		}
		payoff := 0.0
		for u := range f.Consumers {
			for k, rate := range f.Consumers[u].Demand {
				sum := 0.0
				for _, l := range s.Weights[u][k] {
					if !(l.Weight > 0) || l.Weight > 1+1e-9 {
						t.Fatalf("weight %v", l.Weight)
					}
					sum += l.Weight
				}
				if a := s.Admit[u][k]; a < 0 || a > 1 || rate > 0 && a > 0 && math.Abs(sum-1) > 1e-6 && !(sum == 0 && a <= 1e-6) {
					t.Fatalf("user %d, kind %d: let in %v, weights sum to %v", u, k, a, sum)
				}
				payoff += rate * s.Admit[u][k] * f.Classes[k].PriorityWeight
			}
		}
		c := s.Certificate
		if math.Abs(payoff-c.PlacedPriority) > 1e-6*(1+payoff) || c.PlacedPriority > c.Bound*1.03+1e-9 {
			t.Fatalf("payoff %v, certificate %v, bound %v", payoff, c.PlacedPriority, c.Bound)
		}
		for j, p := range c.Prices {
			if p < 0 || math.IsNaN(p) || math.IsInf(p, 0) || c.Limit[j] != limit[j] {
				t.Fatalf("price %v, limit %v of %v", p, c.Limit[j], limit[j])
			}
		}
		if again := solver.Solve(f, nil); !reflect.DeepEqual(s, again) {
			t.Fatal("the same fleet is solved in two ways")
		}
		if warm := solver.Solve(f, c.Prices); fleets.Overload(f, warm) > 1.05 {
			t.Fatal("a warm start breaks a limit")
		}
	})
}

func drawn(t *rapid.T) (f solver.Fleet) {
	number := func(name string, from, to int) int { return rapid.IntRange(from, to).Draw(t, name) }
	zones, kinds := number("zones", 1, 3), number("kinds", 1, 3)
	for k := range kinds {
		kind := solver.Class{Name: fmt.Sprint("k", k), PriorityWeight: float64(number("payoff", 1, 5)), LocalZoneOnly: number("own", 0, 9) == 0}
		if number("bound", 0, 5) == 0 {
			kind.AllowedZones = []string{"z0"}
		}
		f.Classes = append(f.Classes, kind)
	}
	for j := range number("nodes", 1, 8) {
		n := solver.Endpoint{Name: fmt.Sprint("n", j), Zone: fmt.Sprint("z", j%zones), Pod: number("pod", 1, 3),
			Capacity: rapid.SampledFrom([]float64{0, 0.01, 1, 2, 5, 10, 1e9, math.NaN(), math.Inf(1), -1}).Draw(t, "capacity"),
			Closed:   number("closed", 0, 5) == 0, Limit: rapid.SampledFrom([]float64{0, 0.3, 0.7, 1}).Draw(t, "limit")}
		for range kinds {
			n.Cost = append(n.Cost, rapid.SampledFrom([]float64{0.1, 1, 3, math.NaN()}).Draw(t, "cost"))
			n.Failing = append(n.Failing, number("failing", 0, 4) == 0)
		}
		if number("no costs", 0, 3) == 0 {
			n.Cost = nil
		}
		f.Endpoints = append(f.Endpoints, n)
	}
	for u := range number("users", 1, 6) {
		user := solver.Consumer{Name: fmt.Sprint("u", u), Zone: fmt.Sprint("z", number("zone", 0, zones-1))}
		for range kinds {
			user.Demand = append(user.Demand, rapid.SampledFrom([]float64{0, 0.001, 0.5, 2, 9, 400}).Draw(t, "demand"))
			var lines []solver.Share
			for j := range f.Endpoints {
				if number("line", 0, 2) > 0 {
					lines = append(lines, solver.Share{Endpoint: j, Weight: rapid.SampledFrom([]float64{0, 0.01, 1, 30}).Draw(t, "weight")})
				}
			}
			user.Wanted = append(user.Wanted, lines)
			user.Pod = append(user.Pod, number("user pod", 0, 3))
		}
		f.Consumers = append(f.Consumers, user)
	}
	return f
}

// plain is a fleet of even nodes in one zone and one kind, all nodes wanted alike.
func plain(capacities []float64, demands ...float64) (f solver.Fleet) {
	f.Classes = []solver.Class{{Name: "view", PriorityWeight: 1}}
	var lines []solver.Share
	for j, c := range capacities {
		f.Endpoints = append(f.Endpoints, solver.Endpoint{Name: fmt.Sprint("n", j), Zone: "a", Capacity: c})
		lines = append(lines, solver.Share{Endpoint: j, Weight: 1})
	}
	for u, d := range demands {
		f.Consumers = append(f.Consumers, solver.Consumer{Name: fmt.Sprint("u", u), Zone: "a", Demand: []float64{d}, Wanted: [][]solver.Share{lines}})
	}
	return f
}

func TestWantedWeightsPassUntouched(t *testing.T) {
	f := plain([]float64{10, 10, 10}, 9, 9)
	f.Consumers[0].Wanted[0] = []solver.Share{{Endpoint: 0, Weight: 3}, {Endpoint: 1, Weight: 1}}
	s := solver.Solve(f, nil)
	if !s.Untouched || s.Weights[0][0][0] != (solver.Share{Endpoint: 0, Weight: 0.75}) || len(s.Weights[0][0]) != 2 {
		t.Errorf("%+v", s.Weights)
	}
	f.Consumers[0].Demand[0] = 12 // 9 and 4 of it on the first: over its limit
	if s := solver.Solve(f, nil); s.Untouched || s.Admit[0][0] != 1 || s.Weights[0][0][0].Weight >= 0.75 {
		t.Errorf("%+v %+v", s.Weights, s.Certificate)
	}
}

// The dearest is served first where not all fits, no gateway is starved, and a hot one is not served at others' cost.
func TestShedByPayoff(t *testing.T) {
	f := plain([]float64{10, 10}, 10, 30)
	f.Classes = append(f.Classes, solver.Class{Name: "save", PriorityWeight: 2})
	for u := range f.Consumers {
		f.Consumers[u].Demand = append(f.Consumers[u].Demand, 5)
		f.Consumers[u].Wanted = append(f.Consumers[u].Wanted, f.Consumers[u].Wanted[0])
	}
	s := solver.Solve(f, nil)
	for u := range f.Consumers {
		if s.Admit[u][1] < 0.97 {
			t.Errorf("user %d is let have %.2f of what pays twice", u, s.Admit[u][1])
		}
	}
	a, b := s.Admit[0][0], s.Admit[1][0]
	if a < 0.15 || b < 0.15 || math.Abs(a-b) > 0.05 || s.Certificate.Shed[0] < 25 {
		t.Errorf("let in %.2f and %.2f of the other kind, %.1f turned away", a, b, s.Certificate.Shed[0])
	}
}

// A kind that is bound to a zone whose nodes go is served by the one left and no more than that carries; other kinds
// make room there.
func TestBoundKindWhoseHallEmpties(t *testing.T) {
	f := plain([]float64{10, 10, 10, 10}, 20)
	f.Endpoints[2].Zone, f.Endpoints[3].Zone = "b", "b"
	f.Classes = append(f.Classes, solver.Class{Name: "issue", PriorityWeight: 3, AllowedZones: []string{"b"}})
	f.Consumers[0].Demand = append(f.Consumers[0].Demand, 9)
	f.Consumers[0].Wanted = append(f.Consumers[0].Wanted, []solver.Share{{Endpoint: 2, Weight: 1}, {Endpoint: 3, Weight: 1}})
	f.Endpoints[3].Closed = true
	s := solver.Solve(f, nil)
	if s.Admit[0][1] < 0.97 || s.Admit[0][0] < 0.97 || fleets.Overload(f, s) > 1.05 {
		t.Errorf("let in %v, load %v", s.Admit, s.Certificate.Load)
	}
}

func TestFleetOfOne(t *testing.T) {
	s := solver.Solve(plain([]float64{10}, 8, 8), nil)
	if a, b := s.Admit[0][0], s.Admit[1][0]; math.Abs(a-b) > 0.01 || math.Abs(a-10.0/16) > 0.03 {
		t.Errorf("%v and %v of what asks for 16 where 10 can be done", a, b)
	}
	if err := (solver.Fleet{}).Check(); err == nil {
		t.Error("a fleet of none is taken")
	}
}

// Capacity falls in every round while prices move: loads stay under the limits in each, and weights go one way, not to
// and fro.
func TestFallingCapacityDoesNotOscillate(t *testing.T) {
	f := plain([]float64{10, 10, 10, 10}, 12, 12)
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

// heard is a second of n tries at each of some nodes for each kind; errs tells which part errs.
func heard(nodes []policyapi.EndpointID, kinds, n int, errs func(node policyapi.EndpointID, kind int) float64) (out []policyapi.EndpointClassLoad) {
	for _, b := range nodes {
		for k := range kinds {
			out = append(out, policyapi.EndpointClassLoad{Endpoint: b, Class: policyapi.RequestClass(k), Attempts: n, Failures: int(math.Round(float64(n) * errs(b, k)))})
		}
	}
	return out
}

func TestJudge(t *testing.T) {
	nodes := []policyapi.EndpointID{"a", "b", "c", "d", "e"}
	const second = policyapi.Microseconds(1_000_000)
	for name, c := range map[string]struct {
		n     int
		errs  func(policyapi.EndpointID, int) float64
		fails []policyapi.EndpointID // of kind 1, within 10 s
	}{
		"one fails one kind":         {5, func(b policyapi.EndpointID, k int) float64 { return part(b == "a" && k == 1, 0.9) }, []policyapi.EndpointID{"a"}},
		"three of five do":           {5, func(b policyapi.EndpointID, k int) float64 { return part(b <= "c" && k == 1, 1) }, []policyapi.EndpointID{"a", "b", "c"}},
		"the kind is down":           {5, func(_ policyapi.EndpointID, k int) float64 { return part(k == 1, 1) }, nil},
		"a node fails everything":    {5, func(b policyapi.EndpointID, _ int) float64 { return part(b == "a", 1) }, nil},
		"all err a little":           {10, func(policyapi.EndpointID, int) float64 { return 0.2 }, nil},
		"few samples, few errors":    {1, func(b policyapi.EndpointID, k int) float64 { return part(b == "a" && k == 1, 0) }, nil},
		"one try a second, it fails": {1, func(b policyapi.EndpointID, k int) float64 { return part(b == "a" && k == 1, 1) }, nil},
	} {
		j := solver.NewClassHealth(3)
		for s := range 10 {
			j.EndRound(policyapi.Microseconds(s)*second, heard(nodes, 3, c.n, c.errs), nodes)
		}
		for _, b := range nodes {
			want := false
			for _, f := range c.fails {
				want = want || f == b
			}
			for k := range 3 {
				if got := j.Status(b, k) != solver.ClassHealthy; got != (want && k == 1) {
					t.Errorf("%s: %s kind %d judged %t", name, b, k, got)
				}
			}
		}
	}
}

func part(is bool, p float64) float64 {
	if is {
		return p
	}
	return 0
}

// What has failed is tried by a little, later each time it fails again, and serves again once it has shown itself; all
// nodes failing in turn never leave a kind without any.
func TestJudgeRecovery(t *testing.T) {
	nodes := []policyapi.EndpointID{"a", "b", "c", "d"}
	j := solver.NewClassHealth(2)
	const second = policyapi.Microseconds(1_000_000)
	bad := true
	trials, was, lines := 0, solver.ClassHealthy, 0
	for s := range 110 {
		if s == 40 {
			bad = false
		}
		v := j.Status("a", 1)
		if v == solver.ClassOnTrial && was != solver.ClassOnTrial {
			trials++
		}
		was = v
		lines += len(j.EndRound(policyapi.Microseconds(s)*second, heard(nodes, 2, 5, func(b policyapi.EndpointID, k int) float64 {
			return part(b == "a" && k == 1 && bad, 1)
		}), nodes))
	}
	if trials < 2 || trials > 6 || was != solver.ClassHealthy || lines > 4 {
		t.Errorf("%d trials, in the end %v, %d lines", trials, was, lines)
	}
	j = solver.NewClassHealth(2)
	for s := range 40 {
		j.EndRound(policyapi.Microseconds(s)*second, heard(nodes, 2, 20, func(b policyapi.EndpointID, k int) float64 {
			return part(k == 1 && int(b[0]-'a') <= s/8, 1)
		}), nodes)
		left := 0
		for _, b := range nodes {
			if j.Status(b, 1) != solver.ClassFailing {
				left++
			}
		}
		if left == 0 {
			t.Fatalf("at %d s nobody is left", s)
		}
	}
}

// The keeper begins only on what lasts or can't wait, ends only after a while, moves a bounded number of tables and
// comes to the solver's answer.
func TestKeeper(t *testing.T) {
	demands := make([]float64, 40)
	for i := range demands {
		demands[i] = 0.5
	}
	calm := plain([]float64{10, 10, 10}, demands...)
	over := plain([]float64{10, 10, 4}, demands...)
	k := solver.NewActivation()
	if r := k.Step(over, false); r.Active || len(r.Notes) != 0 {
		t.Error("it acts on one round")
	}
	if r := k.Step(calm, false); r.Active {
		t.Error("it acts on a calm round")
	}
	k.Step(over, false)
	r := k.Step(over, false)
	if !r.Active || len(r.Notes) != 1 || r.Moved == 0 || r.Moved > 10 {
		t.Errorf("acting %t, %v, moved %d", r.Active, r.Notes, r.Moved)
	}
	for range 8 {
		r = k.Step(over, false)
	}
	load := 0.0
	for u := range over.Consumers {
		load += 0.5 * r.Tables[solver.TableKey{Consumer: over.Consumers[u].Name}].Weights["n2"]
	}
	if r.Moved != 0 || load > 4*1.05 {
		t.Errorf("after ten rounds %d still move and the weak node is offered %.2f of 4", r.Moved, load)
	}
	// Load that hovers at the threshold makes it change its mind rarely.
	changes := 0
	for i := range 600 {
		f := plain([]float64{10, 10, 4 + 2.8*math.Abs(math.Sin(float64(i)/3))}, demands...)
		changes += len(k.Step(f, false).Notes)
	}
	if changes > 2 {
		t.Errorf("%d changes in 600 rounds of hovering load", changes)
	}
	for range 3 {
		r = k.Step(calm, true)
	}
	if !r.Active {
		t.Error("it rests while somebody is on trial")
	}
	for range 3 {
		r = k.Step(calm, false)
	}
	if r.Active || len(r.Tables) != 0 {
		t.Error("it goes on acting when all is calm")
	}
	calm.Endpoints[0].Failing = []bool{true}
	if r := k.Step(calm, true); !r.Active {
		t.Error("it waits while a table names a node that fails the kind")
	}
}

func TestEstimate(t *testing.T) {
	e := solver.NewCapacityEstimator(2)
	if !math.IsNaN(e.Capacity("a")) {
		t.Error("something is known of nobody")
	}
	round := func(busy, rate float64, warm bool) {
		e.Observe("a", 1, busy, warm, []policyapi.EndpointClassLoad{{Class: 0, Attempts: int(rate * busy), MeanLatency: 100_000}, {Class: 1, Attempts: int(rate * busy), MeanLatency: 300_000}})
	}
	for range 20 {
		round(0.5, 40, true)
	}
	if c := e.Capacity("a"); c < 70 || c > 90 {
		t.Errorf("40 done of each kind in a busy second: %v", c)
	}
	if costs := e.Costs(); costs[0] > 0.7 || costs[1] < 1.3 {
		t.Errorf("a kind that takes three times as long costs %v beside %v", costs[1], costs[0])
	}
	known := e.Capacity("a")
	for range 20 {
		round(0.9, 4, false) // cold
		round(0.01, 4, true) // idle
	}
	if e.Capacity("a") != known {
		t.Error("it learns from cold and idle nodes")
	}
}

// What comes beyond the plan is learned at once, from the nodes that get most, and fades; a node with little planned says nothing.
func TestExcess(t *testing.T) {
	var x solver.OvershootEstimator
	if x.Factor() != 1 {
		t.Errorf("nothing known: %v", x.Factor())
	}
	x.Observe([]solver.EndpointOutcome{{10, 10}, {10, 4}, {10, 20}, {10, 10}, {0.1, 5}})
	if got := x.Factor(); got < 1.4 || got > 2 {
		t.Errorf("one gets twice, one little: %v", got)
	}
	x.Observe([]solver.EndpointOutcome{{10, 90}})
	if x.Factor() != 3 {
		t.Errorf("more than is believed: %v", x.Factor())
	}
	for range 12 {
		x.Observe([]solver.EndpointOutcome{{10, 10}})
	}
	if x.Factor() > 1.01 {
		t.Errorf("it does not fade: %v", x.Factor())
	}
}
