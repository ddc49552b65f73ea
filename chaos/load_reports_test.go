package chaos

import (
	"testing"

	"porthub/audit"
)

// Load reports of many gateways under faults must not lead to violated rules. Corrupted tables of one or all gateways must be
// reported as violations, as otherwise the audit would pass any coordinator.
func TestLoadReportsUnderFaults(t *testing.T) {
	t.Parallel()
	rules := []string{"", audit.EmptyTable, audit.DuplicateEffect, audit.Drain, audit.WarmUp}
	runAll(t, rules, func(t *testing.T, rule string) {
		options := LoadReportOptions{Command: testCommand(), Seed: 3, Gateways: 150, Endpoints: 18, MaxLinesPerSecond: 300, Seconds: 17,
			BreakRule: rule}
		if rule == "" {
			// The limits are relaxed, because the test runs in real time and a busy machine delays the coordinator.
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
		t.Errorf("rule %s is satisfied, want the injected violation in %+v", brokenRule, result.Rules)
	}
	for rule, verdict := range result.Rules {
		if brokenRule == "" && !verdict.Satisfied {
			t.Errorf("rule %s is violated, want it satisfied: %+v", rule, verdict)
		}
	}
	if result.Requests < 10000 || len(result.ReconnectSeconds) != 1 || result.LinesAccepted > 600 || result.Throttled == 0 ||
		result.Overall.Cases < 100 {
		t.Errorf("got %+v, want at least 10000 requests and 100 cases, one reconnect time, at most 600 accepted lines/s, throttled reports", result)
	}
}
