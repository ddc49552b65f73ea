package chaos

import (
	"slices"
	"testing"

	"porthub/audit"
)

// shortScenario returns a short scenario of a small fleet with several overlapping faults, one of which kills the coordinator.
func shortScenario() Scenario {
	s := defaultScenario()
	s.Name = "short"
	s.Seconds = 18
	s.EndpointCount = 9
	s.GatewayCount = 6
	s.RequestRate = 50
	s.Rules.WarmUp = 6_000_000
	// The limits are relaxed, because the test runs in real time and a busy machine delays the coordinator. A drain usually takes
	// less than a second.
	s.Rules.DrainGracePeriod = 10_000_000
	s.Rules.EmptyTableLimit = 10_000_000
	s.Faults = []Fault{
		{Name: "crash", At: 2e6, Duration: 3e6, Share: 0.2},
		{Name: "balancer_crash", At: 6e6, Duration: 15e5, Size: 1},
		{Name: "answer_lost", At: 7e6, Duration: 9e6, Share: 1, Size: 0.25},
		{Name: "broken_list", At: 9e6, Duration: 15e5},
		{Name: "lost_folder", At: 10e6, Share: 0.4},
		{Name: "shrink", At: 11e6, Duration: 1e6, Size: 1.3, Extra: 1},
		{Name: "counter_down", At: 12e6, Duration: 3e6, Share: 0.3},
	}
	return s
}

// Overlapping faults must lead neither to a violated rule nor to an incompletely read table, and the coordinator must exit on
// SIGTERM.
func TestShortScenarioSatisfiesAllRules(t *testing.T) {
	t.Parallel()
	result, err := Run(shortScenario(), Options{Seed: 5, Command: testCommand()})
	if err != nil {
		t.Fatal(err)
	}
	for rule, verdict := range result.Rules {
		if !verdict.Satisfied {
			t.Errorf("rule %s is violated, want it satisfied: %+v", rule, verdict)
		}
	}
	if result.IncompleteReads != 0 || result.DocumentsRead < 30 || result.Requests < 500 || result.Service < 0.3 ||
		result.StopMilliseconds > 10_000 {
		t.Errorf("got %+v, want no incomplete reads, at least 30 documents, 500 requests and service 0.3, and exit within 10 s", result)
	}
}

// The audit must report each rule that is violated deliberately, as otherwise it would pass any coordinator.
func TestEachBrokenRuleIsFound(t *testing.T) {
	t.Parallel()
	runAll(t, audit.Rules, func(t *testing.T, rule string) {
		s := shortScenario()
		s.Rules.DrainGracePeriod = 3_000_000
		s.Rules.EmptyTableLimit = 5_000_000
		s.Faults = slices.DeleteFunc(s.Faults, func(f Fault) bool {
			return f.Name != "crash" && f.Name != "answer_lost" && f.Name != "shrink"
		})
		if rule == audit.WarmUp {
			s.RequestRate = 90 // at 50 requests/s the load is so close to the limit that it may stay below it on a busy machine
		}
		result, err := Run(s, Options{Seed: 5, BreakRule: rule, Command: testCommand()})
		if err != nil {
			t.Fatal(err)
		}
		if result.Rules[rule].Satisfied || result.Passed() {
			t.Errorf("rule %s is satisfied, want the injected violation in %+v", rule, result.Rules)
		}
	})
}
