package expectation_test

import (
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"porthub/config"
	"porthub/coordinator"
	"porthub/expectation"
	"porthub/policyapi"
	"porthub/routing"
)

// settings returns the core's settings for a configuration.
func settings(cfg config.Config) coordinator.Settings {
	set := coordinator.Settings{Start: cfg.Start(), SilenceTimeout: policyapi.Microseconds(cfg.Gateways.SilenceTimeout), SolverEnabled: true}
	set.Degradation, set.Fallback = cfg.DegradationSettings()
	return set
}

// exampleSuite returns the example configuration and its expectations. Each pair of changes replaces a text in the
// configuration.
func exampleSuite(t *testing.T, changes ...string) (config.Config, expectation.Suite) {
	t.Helper()
	text, err := os.ReadFile("../examples/porthub.json")
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i+1 < len(changes); i += 2 {
		if !strings.Contains(string(text), changes[i]) {
			t.Fatalf("the example configuration does not contain %q", changes[i])
		}
		text = []byte(strings.Replace(string(text), changes[i], changes[i+1], 1))
	}
	cfg, err := config.Parse("porthub.json", text)
	if err != nil {
		t.Fatal(err)
	}
	suite, err := config.LoadSuite("../examples/porthub.expect.json", cfg)
	if err != nil {
		t.Fatal(err)
	}
	return cfg, suite
}

// The five operating rules must hold in the example, and each expectation must fail when its rule is violated on purpose.
func TestFiveRulesAsExpectations(t *testing.T) {
	cfg, suite := exampleSuite(t)
	set, rules := settings(cfg), suite.Expectations[0]
	for i := range 3 {
		if f := rules.Run(set, rules.Draw(i)); len(f) > 0 {
			t.Errorf("case %d: got failures %v, want none", i, f)
		}
	}
	// With limits that are soon reached, the core must stay within them.
	tight := set
	tight.Start.Rules.QueueLimit, tight.Start.Rules.MessageLimit = 600, 4
	rules.Assertions = slices.Clone(rules.Assertions)
	rules.Assertions[4].MaxMessages = 4
	for i := range 3 {
		for _, f := range rules.Run(tight, rules.Draw(i)) {
			if strings.Contains(f.Condition, "lines in flight") || strings.Contains(f.Condition, "messages") {
				t.Errorf("the core exceeded its limits: %v", f)
			}
		}
	}
	for condition, violation := range violations() {
		t.Run("violated condition: "+condition, func(t *testing.T) {
			limits := tight
			if violation.settings == nil {
				limits = set
			}
			for i := range 12 {
				for _, f := range rules.RunWithOverrides(limits, rules.Draw(i), violation.tables, violation.settings) {
					if strings.Contains(f.Condition, condition) {
						return
					}
				}
			}
			t.Error("no failure of the violated condition in 12 cases, want one")
		})
	}
}

// violation violates a rule by a change to the tables that gateways apply or to the settings of the core.
type violation struct {
	tables   func(*routing.Snapshot)
	settings func(*coordinator.Settings)
}

// violations returns the violations, each by a part of the text of the condition that it must make fail.
func violations() map[string]violation {
	return map[string]violation{
		"no empty table":             {tables: func(s *routing.Snapshot) { s.Clusters[0].Endpoints = nil }},
		"retry policy":               {tables: func(s *routing.Snapshot) { s.Routes[2].RetryPolicy = 3 }},
		"drained within":             {tables: keepEveryEndpoint()},
		"load of a warming endpoint": {tables: overloadFirstEndpoints},
		"at most 4 messages":         {settings: func(s *coordinator.Settings) { s.Start.Rules.MessageLimit = 0 }},
		"lines in flight":            {settings: func(s *coordinator.Settings) { s.Start.Rules.QueueLimit = 1e9 }},
	}
}

// keepEveryEndpoint returns a change that keeps every endpoint that any gateway ever had in the tables of the first class.
func keepEveryEndpoint() func(*routing.Snapshot) {
	ever := map[string]routing.ClusterEndpoint{}
	return func(s *routing.Snapshot) {
		cluster := &s.Clusters[0]
		for _, endpoint := range cluster.Endpoints {
			endpoint.Withheld = false
			ever[string(endpoint.Endpoint)] = endpoint
		}
		cluster.Endpoints = nil
		for _, endpoint := range ever {
			cluster.Endpoints = append(cluster.Endpoints, endpoint)
		}
	}
}

// overloadFirstEndpoints gives the endpoints whose number begins with 0 to 3 twenty times the weight of the others, at all
// gateways.
func overloadFirstEndpoints(s *routing.Snapshot) {
	for class := range s.Clusters {
		s.Clusters[class].Endpoints = slices.Clone(s.Clusters[class].Endpoints)
		for i := range s.Clusters[class].Endpoints {
			endpoint := &s.Clusters[class].Endpoints[i]
			endpoint.Weight = 1
			if endpoint.Endpoint[5] < '4' {
				endpoint.Weight = 20
			}
		}
	}
}

// If a class may be served in only one zone, it has no endpoints when that zone loses all of them. The failure must name the
// gateway, the class and a smaller case.
func TestFailureNamesGatewayClassAndSmallerCase(t *testing.T) {
	cfg, suite := exampleSuite(t, `"client_timeout": "2.5s", "payoff": 1}`, `"client_timeout": "2.5s", "payoff": 1, "only_zones": ["hala-a"]}`)
	e := suite.Expectations[1]
	e.Assertions = []expectation.Assertion{{Class: "schedule", MinEndpoints: 1, From: 8_000_000, Line: 33}}
	c := e.Draw(0)
	found := e.Run(settings(cfg), c)
	if len(found) != 1 || found[0].Gateway == "" || found[0].Class != "schedule" || found[0].Line != 33 {
		t.Fatalf("got failures %v, want one of a gateway and class schedule at line 33", found)
	}
	smaller := e.Shrink(settings(cfg), c, found[0], 40)
	if smaller.SmallestCase == "" || smaller.Line != 33 || !strings.Contains(smaller.String(), "gateway gw-") {
		t.Errorf("got failure %v, want one of a gateway at line 33 with a smaller case", smaller)
	}
}

// An assertion that holds for most gateways but not for all must fail and name a gateway for which it does not hold.
func TestAssertionHoldsForAllGateways(t *testing.T) {
	cfg, suite := exampleSuite(t)
	e := suite.Expectations[1]
	e.Events, e.Assertions = nil, []expectation.Assertion{{MinZones: 2, Line: 4}}
	for i := range 5 {
		found := e.Run(settings(cfg), e.Draw(i))
		if len(found) == 1 && found[0].Gateway != "" && found[0].Observed == "1 zones" {
			return
		}
		if len(found) > 0 {
			t.Fatalf("got failures %v, want one of a gateway with 1 zone", found)
		}
	}
	t.Error("no failure in 5 cases, want one of a gateway whose table has only one zone")
}

// Repeated runs of a case must give the same failures, and repeated draws of a number the same case.
func TestRunIsDeterministic(t *testing.T) {
	cfg, suite := exampleSuite(t)
	e := suite.Expectations[0]
	e.Assertions = []expectation.Assertion{{MinEndpoints: 6}, {MaxUtilization: 0.6}, {MinSuccessRatio: 0.999}, {MaxMessages: 2}}
	first := e.Run(settings(cfg), e.Draw(3))
	if len(first) < 2 || !reflect.DeepEqual(first, e.Run(settings(cfg), e.Draw(3))) {
		t.Errorf("got failures %v, want at least two and the same in each run", first)
	}
	if !reflect.DeepEqual(e.Draw(3), e.Draw(3)) || reflect.DeepEqual(e.Draw(3), e.Draw(4)) {
		t.Error("draws of one number differ, or draws of two numbers are equal")
	}
}

// A degradation level must be entered when half of the fleet is lost, and not in normal operation.
func TestLevelAssertions(t *testing.T) {
	cfg, suite := exampleSuite(t)
	cfg.Degradation.Levels = []config.DegradationLevel{{
		Name:                 "tight",
		Enter:                config.Triggers{Lost: 0.25},
		Leave:                config.Triggers{Lost: 0.1},
		EnterDelay:           2_000_000,
		LeaveDelay:           15_000_000,
		RetryPolicy:          3,
		CrossZoneFactor:      1,
		ReportIntervalFactor: 1,
	}}
	set, e := settings(cfg), suite.Expectations[1]
	e.Assertions = []expectation.Assertion{{EnteredLevel: "tight"}, {AvoidedLevel: "tight", To: 4_000_000}}
	if f := e.Run(set, e.Draw(0)); len(f) > 0 {
		t.Errorf("after the loss of endpoints: got failures %v, want none", f)
	}
	e.Events = nil
	if f := e.Run(set, e.Draw(0)); len(f) != 1 || f[0].Observed != "the level was not entered" {
		t.Errorf("in normal operation: got failures %v, want that the level was not entered", f)
	}
	// Half of the fleet is lost and the load doubles at the same time. The level must be entered, and the rules must hold
	// during the level and after the recovery.
	e.Length = 40_000_000
	e.Events = []expectation.Event{
		{At: 4_000_000, Action: expectation.Lose, Fraction: 0.5},
		{At: 4_000_000, Action: expectation.ScaleLoad, LoadFactor: 2},
		{At: 14_000_000, Action: expectation.Recover},
	}
	e.Assertions = []expectation.Assertion{
		{EnteredLevel: "tight", From: 4_000_000, To: 12_000_000},
		{MaxEmptyTable: 5_000_000},
		{MaxDrainDelay: 3_000_000},
		{MaxWarmUpLoad: 1},
		{MaxMessages: 20},
		{MaxQueued: 1},
	}
	for i := range 4 {
		if f := e.Run(set, e.Draw(i)); len(f) > 0 {
			t.Errorf("half of the fleet lost at double load: got failures %v, want none", f)
		}
	}
}

// BenchmarkCase runs cases of 100 endpoints and 300 gateways. A thousand such cases of an expectation take about a minute on
// four cores; the cases here are shorter.
func BenchmarkCase(b *testing.B) {
	text, _ := os.ReadFile("../examples/porthub.json")
	cfg, err := config.Parse("porthub.json", text)
	if err != nil {
		b.Fatal(err)
	}
	suite, err := config.LoadSuite("../examples/porthub.expect.json", cfg)
	if err != nil {
		b.Fatal(err)
	}
	e, set := suite.Expectations[0], settings(cfg)
	e.Fleet.Endpoints, e.Fleet.Gateways, e.Length = expectation.Range{From: 100, To: 100}, expectation.Range{From: 300, To: 300},
		12*policyapi.Microseconds(time.Second/time.Microsecond)
	set.Start.Rules.QueueLimit = 40000
	for b.Loop() {
		e.Run(set, e.Draw(b.N))
	}
}
