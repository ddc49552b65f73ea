package solver_test

import (
	"math"
	"testing"

	"porthub/policyapi"
	"porthub/solver"
)

// classLoads returns a second of attempts at each endpoint for each class, of which the part given fails.
func classLoads(endpoints []policyapi.EndpointID, classes, attempts int, failures func(node policyapi.EndpointID, kind int) float64) (loads []policyapi.EndpointClassLoad) {
	for _, id := range endpoints {
		for k := range classes {
			loads = append(loads, policyapi.EndpointClassLoad{Endpoint: id, Class: policyapi.RequestClass(k), Attempts: attempts, Failures: int(math.Round(float64(attempts) * failures(id, k)))})
		}
	}
	return loads
}

func TestEjectionByClass(t *testing.T) {
	endpoints := []policyapi.EndpointID{"a", "b", "c", "d", "e"}
	const second = policyapi.Microseconds(1_000_000)
	for name, c := range map[string]struct {
		attempts int
		failures func(policyapi.EndpointID, int) float64
		fails    []policyapi.EndpointID // class 1 within 10 s
	}{
		"one endpoint fails one class": {5, func(b policyapi.EndpointID, k int) float64 { return partIf(b == "a" && k == 1, 0.9) }, []policyapi.EndpointID{"a"}},
		"three of five do":             {5, func(b policyapi.EndpointID, k int) float64 { return partIf(b <= "c" && k == 1, 1) }, []policyapi.EndpointID{"a", "b", "c"}},
		"the class is down":            {5, func(_ policyapi.EndpointID, k int) float64 { return partIf(k == 1, 1) }, nil},
		"an endpoint fails everything": {5, func(b policyapi.EndpointID, _ int) float64 { return partIf(b == "a", 1) }, nil},
		"all fail a little":            {10, func(policyapi.EndpointID, int) float64 { return 0.2 }, nil},
		"few attempts, no failures":    {1, func(b policyapi.EndpointID, k int) float64 { return partIf(b == "a" && k == 1, 0) }, nil},
		"one attempt a second fails":   {1, func(b policyapi.EndpointID, k int) float64 { return partIf(b == "a" && k == 1, 1) }, nil},
	} {
		health := solver.NewClassHealth(3)
		for s := range 10 {
			health.EndRound(policyapi.Microseconds(s)*second, classLoads(endpoints, 3, c.attempts, c.failures), endpoints)
		}
		for _, b := range endpoints {
			want := false
			for _, f := range c.fails {
				want = want || f == b
			}
			for k := range 3 {
				if got := health.Status(b, k) != solver.ClassHealthy; got != (want && k == 1) {
					t.Errorf("%s: %s class %d ejected: %t", name, b, k, got)
				}
			}
		}
	}
}

// partIf returns p if the condition holds, else 0.
func partIf(condition bool, p float64) float64 {
	if condition {
		return p
	}
	return 0
}

// An ejected endpoint is put on trial, later each time that it fails again, and serves again once it passes. Endpoints
// failing one after the other never leave a class without any.
func TestEjectionTrials(t *testing.T) {
	endpoints := []policyapi.EndpointID{"a", "b", "c", "d"}
	health := solver.NewClassHealth(2)
	const second = policyapi.Microseconds(1_000_000)
	failing := true
	trials, previous, notes := 0, solver.ClassHealthy, 0
	for s := range 110 {
		if s == 40 {
			failing = false
		}
		status := health.Status("a", 1)
		if status == solver.ClassOnTrial && previous != solver.ClassOnTrial {
			trials++
		}
		previous = status
		notes += len(health.EndRound(policyapi.Microseconds(s)*second, classLoads(endpoints, 2, 5, func(b policyapi.EndpointID, k int) float64 {
			return partIf(b == "a" && k == 1 && failing, 1)
		}), endpoints))
	}
	if trials < 2 || trials > 6 || previous != solver.ClassHealthy || notes > 4 {
		t.Errorf("%d trials, in the end %v, %d notes", trials, previous, notes)
	}
	health = solver.NewClassHealth(2)
	for s := range 40 {
		health.EndRound(policyapi.Microseconds(s)*second, classLoads(endpoints, 2, 20, func(b policyapi.EndpointID, k int) float64 {
			return partIf(k == 1 && int(b[0]-'a') <= s/8, 1)
		}), endpoints)
		left := 0
		for _, b := range endpoints {
			if health.Status(b, 1) != solver.ClassFailing {
				left++
			}
		}
		if left == 0 {
			t.Fatalf("at %d s no endpoint is left", s)
		}
	}
}
