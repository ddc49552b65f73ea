package solver_test

import (
	"math"
	"testing"

	"porthub/policyapi"
	"porthub/solver"
)

// classLoads returns the loads of one round with a number of attempts at each endpoint for each class, of which the fraction
// that failureRate returns has failed.
func classLoads(endpoints []policyapi.EndpointID, classes, attempts int,
	failureRate func(endpoint policyapi.EndpointID, class int) float64) (loads []policyapi.EndpointClassLoad) {
	for _, endpoint := range endpoints {
		for class := range classes {
			loads = append(loads, policyapi.EndpointClassLoad{
				Endpoint: endpoint,
				Class:    policyapi.RequestClass(class),
				Attempts: attempts,
				Failures: int(math.Round(float64(attempts) * failureRate(endpoint, class))),
			})
		}
	}
	return loads
}

func TestEjectionByClass(t *testing.T) {
	endpoints := []policyapi.EndpointID{"a", "b", "c", "d", "e"}
	const second = policyapi.Microseconds(1_000_000)
	for name, c := range map[string]struct {
		attempts    int // per endpoint, class and second
		failureRate func(endpoint policyapi.EndpointID, class int) float64
		ejected     []policyapi.EndpointID // for class 1 after 10 s
	}{
		"one endpoint fails one class": {5,
			func(e policyapi.EndpointID, class int) float64 { return rateIf(e == "a" && class == 1, 0.9) }, []policyapi.EndpointID{"a"}},
		"three of five endpoints fail one class": {5,
			func(e policyapi.EndpointID, class int) float64 { return rateIf(e <= "c" && class == 1, 1) },
			[]policyapi.EndpointID{"a", "b", "c"}},
		"all endpoints fail one class":       {5, func(_ policyapi.EndpointID, class int) float64 { return rateIf(class == 1, 1) }, nil},
		"one endpoint fails all classes":     {5, func(e policyapi.EndpointID, _ int) float64 { return rateIf(e == "a", 1) }, nil},
		"all endpoints fail a fifth":         {10, func(policyapi.EndpointID, int) float64 { return 0.2 }, nil},
		"one attempt per second, none fails": {1, func(e policyapi.EndpointID, class int) float64 { return rateIf(e == "a" && class == 1, 0) }, nil},
		"one attempt per second, all fail":   {1, func(e policyapi.EndpointID, class int) float64 { return rateIf(e == "a" && class == 1, 1) }, nil},
	} {
		health := solver.NewClassHealth(3)
		for s := range 10 {
			health.EndRound(policyapi.Microseconds(s)*second, classLoads(endpoints, 3, c.attempts, c.failureRate), endpoints)
		}
		for _, endpoint := range endpoints {
			ejected := false
			for _, e := range c.ejected {
				ejected = ejected || e == endpoint
			}
			for class := range 3 {
				if got, want := health.Status(endpoint, class) != solver.ClassHealthy, ejected && class == 1; got != want {
					t.Errorf("%s: endpoint %s, class %d: ejected %t, want %t", name, endpoint, class, got, want)
				}
			}
		}
	}
}

// rateIf returns rate if the condition holds, otherwise 0.
func rateIf(condition bool, rate float64) float64 {
	if condition {
		return rate
	}
	return 0
}

// An ejected endpoint is put on trial, with a longer backoff each time that it fails again, and is healthy once it passes. If
// endpoints start to fail a class one after the other, some endpoint always stays open for it.
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
		notes += len(health.EndRound(policyapi.Microseconds(s)*second, classLoads(endpoints, 2, 5, func(e policyapi.EndpointID, class int) float64 {
			return rateIf(e == "a" && class == 1 && failing, 1)
		}), endpoints))
	}
	if trials < 2 || trials > 6 || previous != solver.ClassHealthy || notes > 4 {
		t.Errorf("%d trials, last status %v, %d notes; want 2 to 6 trials, status %v, at most 4 notes",
			trials, previous, notes, solver.ClassHealthy)
	}
	health = solver.NewClassHealth(2)
	for s := range 40 {
		health.EndRound(policyapi.Microseconds(s)*second, classLoads(endpoints, 2, 20, func(e policyapi.EndpointID, class int) float64 {
			return rateIf(class == 1 && int(e[0]-'a') <= s/8, 1)
		}), endpoints)
		open := 0
		for _, endpoint := range endpoints {
			if health.Status(endpoint, 1) != solver.ClassFailing {
				open++
			}
		}
		if open == 0 {
			t.Fatalf("at %d s all endpoints are ejected for class 1, want at least one open", s)
		}
	}
}
