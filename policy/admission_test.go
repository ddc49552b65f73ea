package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// A restarted coordinator does not raise the levels that proxies still have before it has measured the fleet's utilization.
// Here it starts during an overload.
func TestRestartKeepsAdmissionLevels(t *testing.T) {
	h := newHost(t, nil)
	h.startFleet()
	h.failureRate = 0.3
	h.advance(8*second, h.steadyReports(60, 1, 1_500_000))
	if a, has := h.admissions[0]; !has || h.highest["level"] >= unlimitedLevel {
		t.Errorf("the level is %+v and was %d at most, want a limited level throughout", a, h.highest["level"])
	}
}

// Under overload, requests of the class with the least priority weight are rejected first. Soon afterward all requests are
// admitted again. Retries are never allowed without proof that the first attempt was not executed.
func TestOverloadShedsLowestPriorityAndRecovers(t *testing.T) {
	h := newHost(t, nil)
	h.startFleet()
	h.advance(12*second, h.steadyReports(40, 0.3, 200_000))
	h.failureRate = 0.3
	h.advance(8*second, h.steadyReports(120, 0.3, 1_500_000))
	if view, save := h.admissions[0], h.admissions[1]; view.Level >= unlimitedLevel || view.Level >= save.Level {
		t.Errorf("under overload the levels are %v for priority weight 1 and %v for 4, want the first limited and lower",
			view.Level, save.Level)
	}
	h.failureRate = 0
	h.advance(12*second, h.steadyReports(40, 0.3, 200_000))
	if a := h.admissions[0]; a.Level < unlimitedLevel {
		t.Errorf("12 s after the overload the level is %v, want it unlimited", a.Level)
	}
	h.advance(8*second, h.steadyReports(45, 0.3, 300_000))
	if a := h.admissions[0]; a.Level < unlimitedLevel {
		t.Errorf("at about the demand from before the overload the level is %v, want it unlimited", a.Level)
	}
	if h.highest["retry policy"] > 1 {
		t.Errorf("retry policy %d was ordered, want 1 (RetryIfNotExecuted) at most", h.highest["retry policy"])
	}
}

// An endpoint that reports that it is full but responds as fast as before must not reduce admission. Nor must expensive
// requests on endpoints that are not full.
func TestFalseBusyReportKeepsLevels(t *testing.T) {
	h := newHost(t, nil)
	h.startFleet()
	h.advance(8*second, h.steadyReports(20, 0.5, 200_000))
	h.falselyFull = "a1"
	h.advance(8*second, h.steadyReports(20, 0.5, 200_000))
	if a := h.admissions[0]; a.Level < unlimitedLevel {
		t.Errorf("with one endpoint that falsely reports to be full the level is %v, want it unlimited", a.Level)
	}
	h.falselyFull = ""
	h.advance(8*second, h.steadyReports(20, 0.5, 700_000))
	if a := h.admissions[0]; a.Level < unlimitedLevel {
		t.Errorf("with expensive requests on half-idle endpoints the level is %v, want it unlimited", a.Level)
	}
}

// The estimate for random arrivals agrees with a simulated rate limiter whose bucket holds the tokens of two seconds, but at
// least one. It is never above the demand or the rate, and a rate far above the demand admits nearly all requests.
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
				t.Errorf("demand %g, rate %g: estimated %.3f admitted, want %.3f as simulated, within 0.15 of it, and no more than demand or rate",
					c.demand, c.rate, got, simulated)
			}
		})
	}
	if admittedByTokenBucket(0, 1) != 0 || admittedByTokenBucket(1, 0) != 0 || admittedByTokenBucket(2, 1e6) < 1.999 {
		t.Errorf("admitted %g without demand and %g at rate 0, want 0; %g of 2 at a very high rate, want about 2",
			admittedByTokenBucket(0, 1), admittedByTokenBucket(1, 0), admittedByTokenBucket(2, 1e6))
	}
}
