package loadreport

import (
	"testing"

	"porthub/policyapi"
)

// Only gateways that have just reported are deferred, and only while more than half of the capacity is used.
func TestShouldDefer(t *testing.T) {
	for _, c := range []struct {
		waiting int
		since   policyapi.Microseconds
		want    bool
	}{{10, 0, false}, {60, 0, true}, {60, second, false}, {50, 0, false}} {
		if got := ShouldDefer(c.waiting, 100, c.since, second); got != c.want {
			t.Errorf("case %+v: ShouldDefer returned %t", c, got)
		}
	}
}

// Overviews are made once a second, or less often if they would take more than a hundredth of the time.
func TestOverviewInterval(t *testing.T) {
	if OverviewInterval(500) != second || OverviewInterval(52_000) != 5_200_000 {
		t.Errorf("intervals are %d and %d us, want 1000000 and 5200000", OverviewInterval(500), OverviewInterval(52_000))
	}
}

func TestBatchDelay(t *testing.T) {
	for step, want := range map[policyapi.Microseconds]policyapi.Microseconds{300: 0, 1999: 0, 2000: 2000, 9000: 9000, 500_000: 20_000} {
		if got := BatchDelay(step); got != want {
			t.Errorf("delay after a step of %d us is %d us, want %d us", step, got, want)
		}
	}
}
