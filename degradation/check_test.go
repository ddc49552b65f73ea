package degradation

import (
	"math"
	"strings"
	"testing"

	"porthub/policyapi"
)

func TestCheckFindings(t *testing.T) {
	for want, invalidate := range map[string]func(*Settings){
		"would oscillate":  func(s *Settings) { s.Levels[0].Leave[TriggerLoad] = 1 },
		"can't be left":    func(s *Settings) { s.Levels[0].Leave[TriggerLoad] = 0 },
		"is never reached": func(s *Settings) { s.Levels[0].Enter[TriggerLostCapacity] = 1.2 },
		"less severe":      func(s *Settings) { s.Levels[0].Enter[TriggerLoad] = 1.5 },
		"no trigger": func(s *Settings) {
			s.Levels[0].Enter, s.Levels[0].Leave = [TriggerCount]float64{}, [TriggerCount]float64{}
		},
		"below two report periods": func(s *Settings) { s.Levels[1].Bounds.ReportIntervalFactor = 8 },
		"would be rejected":        func(s *Settings) { s.Levels[0].Bounds.Share = []float64{0.5, 0.4} },
		"appears twice":            func(s *Settings) { s.Levels[1].Name = "tight" },
		"is set without enter.":    func(s *Settings) { s.Levels[0].Leave[TriggerShedReports] = 0.4 },
		"0 to 3":                   func(s *Settings) { s.Levels[0].Bounds.RetryPolicy = []policyapi.RetryPolicy{4, 0} },
		"of 2 request classes":     func(s *Settings) { s.Levels[0].Bounds.Share = nil },
		"or 0 for no bound":        func(s *Settings) { s.Levels[0].Bounds.MaxEndpoints = 1 },
		"limit as much":            func(s *Settings) { s.Levels[0].Bounds.ReportIntervalFactor = 2 },
		"both must be":             func(s *Settings) { s.Levels[0].Enter[TriggerLoad] = math.NaN() },
	} {
		s := twoLevels()
		invalidate(&s)
		var problems []string
		for _, f := range s.Check() {
			problems = append(problems, f.Problem+": "+f.Remedy)
		}
		if !strings.Contains(strings.Join(problems, "\n"), want) {
			t.Errorf("findings = %q, want one that contains %q", problems, want)
		}
	}
	if f := twoLevels().Check(); len(f) > 0 {
		t.Errorf("findings of valid settings = %v, want none", f)
	}
}
