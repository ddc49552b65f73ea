package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// A restarted coordinator does not lift the levels that proxies still have until it knows the fleet's utilization: not
// during an overload.
func TestRestartKeepsAdmissionLevels(t *testing.T) {
	h := newHost(t, nil)
	h.startFleet()
	h.failureRate = 0.3
	h.advance(8*second, h.steadyReports(60, 1, 1_500_000))
	if a, has := h.admissions[0]; !has || h.highest["level"] >= unlimitedLevel {
		t.Errorf("level %+v, the highest so far %d", a, h.highest["level"])
	}
}

// Overload rejects the class of the least priority weight first; soon after it everything is admitted again, and retries are
// never allowed without proof that the first attempt was not executed.
func TestOverloadShedsLowestPriorityAndRecovers(t *testing.T) {
	h := newHost(t, nil)
	h.startFleet()
	h.advance(12*second, h.steadyReports(40, 0.3, 200_000))
	h.failureRate = 0.3
	h.advance(8*second, h.steadyReports(120, 0.3, 1_500_000))
	if view, save := h.admissions[0], h.admissions[1]; view.Level >= unlimitedLevel || view.Level >= save.Level {
		t.Errorf("in overload the levels are %v for priority weight 1 and %v for priority weight 4", view.Level, save.Level)
	}
	h.failureRate = 0
	h.advance(12*second, h.steadyReports(40, 0.3, 200_000))
	if a := h.admissions[0]; a.Level < unlimitedLevel {
		t.Errorf("long after the overload the level is %v", a.Level)
	}
	h.advance(8*second, h.steadyReports(45, 0.3, 300_000))
	if a := h.admissions[0]; a.Level < unlimitedLevel {
		t.Errorf("what was admitted before the overload is now limited to %v", a.Level)
	}
	if h.highest["retry policy"] > 1 {
		t.Errorf("retry policy %d was ordered", h.highest["retry policy"])
	}
}

// An endpoint that reports that it is full while it answers as fast as ever must not reduce admission.
func TestFalseBusyReportKeepsLevels(t *testing.T) {
	h := newHost(t, nil)
	h.startFleet()
	h.advance(8*second, h.steadyReports(20, 0.5, 200_000))
	h.falselyFull = "a1"
	h.advance(8*second, h.steadyReports(20, 0.5, 200_000))
	if a := h.admissions[0]; a.Level < unlimitedLevel {
		t.Errorf("one false report brought the level to %v", a.Level)
	}
	h.falselyFull = ""
	h.advance(8*second, h.steadyReports(20, 0.5, 700_000))
	if a := h.admissions[0]; a.Level < unlimitedLevel {
		t.Errorf("expensive requests on idle endpoints brought the level to %v", a.Level)
	}
}

// The estimate for random arrivals agrees with a simulated limiter whose bucket has the tokens of two seconds, one at least;
// it is never above demand or rate, and a rate far above the demand admits all.
func TestAdmittedByTokenBucket(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, c := range []struct{ demand, rate float64 }{{0.8, 0.45}, {0.8, 0.8}, {0.5, 5}, {3, 1}, {3, 3}, {10, 6}, {40, 35}} {
		t.Run(fmt.Sprintf("demand %g, rate %g", c.demand, c.rate), func(t *testing.T) {
			const seconds = 4000
			bucket, tokens, admitted := max(1, 2*c.rate), 1.0, 0.0
			for at := 0.0; at < seconds; {
				gap := random.ExpFloat64() / c.demand
				at += gap
				if tokens = min(bucket, tokens+gap*c.rate); tokens >= 1 {
					tokens, admitted = tokens-1, admitted+1
				}
			}
			got := admittedByTokenBucket(c.demand, c.rate)
			if simulated := admitted / seconds; math.Abs(got-simulated) > 0.15*simulated || got > min(c.demand, c.rate) {
				t.Errorf("demand %g, rate %g: %.3f admitted, %.3f simulated", c.demand, c.rate, got, simulated)
			}
		})
	}
	if admittedByTokenBucket(0, 1) != 0 || admittedByTokenBucket(1, 0) != 0 || admittedByTokenBucket(2, 1e6) < 1.999 {
		t.Errorf("%g, %g, %g", admittedByTokenBucket(0, 1), admittedByTokenBucket(1, 0), admittedByTokenBucket(2, 1e6))
	}
}
