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

func settings(cfg config.Config) coordinator.Settings {
	set := coordinator.Settings{Start: cfg.Start(), SilenceTimeout: policyapi.Microseconds(cfg.Gateways.SilenceTimeout), SolverEnabled: true}
	set.Degradation, set.Fallback = cfg.DegradationSettings()
	return set
}

// exampleSuite is the example configuration with its expectations.
func exampleSuite(t *testing.T, changes ...string) (config.Config, expectation.Suite) {
	t.Helper()
	text, err := os.ReadFile("../examples/porthub.json")
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i+1 < len(changes); i += 2 {
		if !strings.Contains(string(text), changes[i]) {
			t.Fatalf("there is no %q to change", changes[i])
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

// The five rules of the example hold, and each fails when what enforces it is tampered with.
func TestFiveRulesAsExpectations(t *testing.T) {
	cfg, suite := exampleSuite(t)
	set, rules := settings(cfg), suite.Expectations[0]
	for i := range 3 {
		if f := rules.Run(set, rules.Draw(i)); len(f) > 0 {
			t.Errorf("case %d: %v", i, f)
		}
	}
	// Limits that are reached soon: the core keeps them if its settings have them.
	tight := set
	tight.Start.Rules.QueueLimit, tight.Start.Rules.MessageLimit = 600, 4
	rules.Assertions = slices.Clone(rules.Assertions)
	rules.Assertions[4].MaxMessages = 4
	for i := range 3 {
		for _, f := range rules.Run(tight, rules.Draw(i)) {
			if strings.Contains(f.Condition, "lines in flight") || strings.Contains(f.Condition, "messages") {
				t.Errorf("the core must keep its limits: %v", f)
			}
		}
	}
	for what, tamper := range tampers() {
		t.Run("broken on purpose: "+what, func(t *testing.T) {
			limits := tight
			if tamper.settings == nil {
				limits = set
			}
			for i := range 12 {
				for _, f := range rules.RunTampered(limits, rules.Draw(i), tamper.tables, tamper.settings) {
					if strings.Contains(f.Condition, what) {
						return
					}
				}
			}
			t.Error("the expectation holds")
		})
	}
}

// tamper breaks a rule on purpose, in what gateways are given or in the settings that the core goes by.
type tamper struct {
	tables   func(*routing.Snapshot)
	settings func(*coordinator.Settings)
}

// tampers are by a part of the failure that each must lead to.
func tampers() map[string]tamper {
	return map[string]tamper{
		"no empty table":             {tables: func(s *routing.Snapshot) { s.Clusters[0].Endpoints = nil }},
		"retry policy":               {tables: func(s *routing.Snapshot) { s.Routes[2].RetryPolicy = 3 }},
		"drained within":             {tables: keepEveryEndpoint()},
		"load of a warming endpoint": {tables: overloadFirstEndpoints},
		"at most 4 messages":         {settings: func(s *coordinator.Settings) { s.Start.Rules.MessageLimit = 0 }},
		"lines in flight":            {settings: func(s *coordinator.Settings) { s.Start.Rules.QueueLimit = 1e9 }},
	}
}

// keepEveryEndpoint leaves all endpoints that any gateway ever had in the first class's tables.
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

// overloadFirstEndpoints gives four endpoints twenty times the weight of the others, the same at all gateways.
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

// A configuration in which one class may be served in one zone only fails when that zone empties: the failure names the
// gateway and the class, and a smaller case.
func TestFailureNamesGatewayClassAndSmallerCase(t *testing.T) {
	cfg, suite := exampleSuite(t, `"client_timeout": "2.5s", "payoff": 1}`, `"client_timeout": "2.5s", "payoff": 1, "only_zones": ["hala-a"]}`)
	e := suite.Expectations[1]
	e.Assertions = []expectation.Assertion{{Class: "schedule", MinEndpoints: 1, From: 8_000_000, Line: 33}}
	c := e.Draw(0)
	found := e.Run(settings(cfg), c)
	if len(found) != 1 || found[0].Gateway == "" || found[0].Class != "schedule" || found[0].Line != 33 {
		t.Fatalf("%v", found)
	}
	small := e.Shrink(settings(cfg), c, found[0], 40)
	if small.SmallestCase == "" || small.Line != 33 || !strings.Contains(small.String(), "gateway gw-") {
		t.Errorf("%v", small)
	}
}

// An assertion that holds for most gateways and not for all fails, and names one for which it does not.
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
			t.Fatalf("%v", found)
		}
	}
	t.Error("tables of one zone pass for tables of two")
}

// The same case gives the same failures each time.
func TestRunIsDeterministic(t *testing.T) {
	cfg, suite := exampleSuite(t)
	e := suite.Expectations[0]
	e.Assertions = []expectation.Assertion{{MinEndpoints: 6}, {MaxUtilization: 0.6}, {MinSuccessRatio: 0.999}, {MaxMessages: 2}}
	first := e.Run(settings(cfg), e.Draw(3))
	if len(first) < 2 || !reflect.DeepEqual(first, e.Run(settings(cfg), e.Draw(3))) {
		t.Errorf("%v", first)
	}
	if !reflect.DeepEqual(e.Draw(3), e.Draw(3)) || reflect.DeepEqual(e.Draw(3), e.Draw(4)) {
		t.Error("draws differ, or are all the same")
	}
}

// A degradation level is entered when half the fleet is lost, and not in normal operation.
func TestLevelAssertions(t *testing.T) {
	cfg, suite := exampleSuite(t)
	cfg.Degradation.Levels = []config.DegradationLevel{{Name: "tight", Enter: config.Triggers{Lost: 0.25}, Leave: config.Triggers{Lost: 0.1}, EnterDelay: 2_000_000,
		LeaveDelay: 15_000_000, RetryPolicy: 3, CrossZoneFactor: 1, ReportIntervalFactor: 1}}
	set, e := settings(cfg), suite.Expectations[1]
	e.Assertions = []expectation.Assertion{{EnteredLevel: "tight"}, {AvoidedLevel: "tight", To: 4_000_000}}
	if f := e.Run(set, e.Draw(0)); len(f) > 0 {
		t.Errorf("%v", f)
	}
	e.Events = nil
	if f := e.Run(set, e.Draw(0)); len(f) != 1 || f[0].Observed != "the level was not entered" {
		t.Errorf("in normal operation: %v", f)
	}
	// Half the fleet is lost when the load doubles: the level is entered, and the rules hold then and after the recovery.
	e.Length = 40_000_000
	e.Events = []expectation.Event{{At: 4_000_000, Action: expectation.Lose, Fraction: 0.5}, {At: 4_000_000, Action: expectation.ScaleLoad, LoadFactor: 2}, {At: 14_000_000, Action: expectation.Recover}}
	e.Assertions = []expectation.Assertion{{EnteredLevel: "tight", From: 4_000_000, To: 12_000_000}, {MaxEmptyTable: 5_000_000}, {MaxDrainDelay: 3_000_000}, {MaxWarmUpLoad: 1},
		{MaxMessages: 20}, {MaxQueued: 1}}
	for i := range 4 {
		if f := e.Run(set, e.Draw(i)); len(f) > 0 {
			t.Errorf("half the fleet lost in a burst: %v", f)
		}
	}
}

// A thousand drawn cases at a hundred nodes and three hundred gateways take about a minute on four cores: a short run of them here.
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
	e.Fleet.Endpoints, e.Fleet.Gateways, e.Length = expectation.Range{From: 100, To: 100}, expectation.Range{From: 300, To: 300}, 12*policyapi.Microseconds(time.Second/time.Microsecond)
	set.Start.Rules.QueueLimit = 40000
	for b.Loop() {
		e.Run(set, e.Draw(b.N))
	}
}
