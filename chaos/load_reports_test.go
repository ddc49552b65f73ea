package chaos

import (
	"testing"

	"porthub/audit"
)

// The rules are satisfied while faults strike light gateways; spoilt on the way to one gateway, or to all, each violation
// is found.
func TestLoadReportsUnderFaults(t *testing.T) {
	t.Parallel()
	rules := []string{"", audit.EmptyTable, audit.DuplicateEffect, audit.Drain, audit.WarmUp}
	runAll(t, rules, func(t *testing.T, rule string) {
		options := LoadReportOptions{Command: testCommand(), Seed: 3, Gateways: 150, Endpoints: 18, MaxLinesPerSecond: 300, Seconds: 17, BreakRule: rule}
		if rule == "" {
			// On a machine that is busy with other things a real-time test must not judge tightly.
			options.GracePeriod = 10_000_000
		}
		result, err := RunLoadReports(options)
		if err != nil {
			t.Fatal(err)
		}
		checkLoadReports(t, rule, result)
	})
}

func checkLoadReports(t *testing.T, brokenRule string, result LoadReportResult) {
	t.Helper()
	if brokenRule != "" && result.Rules[brokenRule].Satisfied {
		t.Errorf("%s was violated and passes: %+v", brokenRule, result.Rules)
	}
	for rule, verdict := range result.Rules {
		if brokenRule == "" && !verdict.Satisfied {
			t.Errorf("%s violated: %+v", rule, verdict)
		}
	}
	if result.Requests < 10000 || len(result.ReconnectSeconds) != 1 || result.LinesAccepted > 600 || result.Throttled == 0 || result.Overall.Cases < 100 {
		t.Errorf("%+v", result)
	}
}
