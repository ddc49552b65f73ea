package loadreport

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"porthub/policyapi"
)

const second policyapi.Microseconds = 1_000_000

// fleet has gateways that each send requests to some of the endpoints. The numbers of attempts are drawn anew in each round.
type fleet struct {
	rng          *rand.Rand
	names        []string
	endpoints    []policyapi.EndpointID
	meanAttempts []float64 // of one gateway, by endpoint
}

func newFleet(gateways, endpoints int) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(7, 7))}
	for i := range gateways {
		f.names = append(f.names, fmt.Sprintf("gw-%d", i))
	}
	for i := range endpoints {
		f.endpoints = append(f.endpoints, policyapi.EndpointID(fmt.Sprintf("n%d", i)))
		f.meanAttempts = append(f.meanAttempts, 1+3*f.rng.Float64())
	}
	return f
}

// round passes one report of each gateway to the sampler. It returns the true number of attempts at each endpoint and the
// number of accepted lines. All attempts of a line fail with the probability that failureRate returns for its gateway and
// endpoint.
func (f *fleet) round(
	sampler *Sampler, now policyapi.Microseconds, linesPerReport int, failureRate func(g, index int) float64,
) (attemptsAt map[policyapi.EndpointID]float64, accepted int) {
	attemptsAt = map[policyapi.EndpointID]float64{}
	for g, name := range f.names {
		lines := make([]EndpointLine, 0, linesPerReport)
		arrived := 0
		for i := range linesPerReport {
			index := (g*7 + i*i + i) % len(f.endpoints)
			attempts := int(f.meanAttempts[index]*2*f.rng.Float64()) + 1
			line := EndpointLine{Endpoint: f.endpoints[index], Attempts: attempts}
			if failureRate != nil && f.rng.Float64() < failureRate(g, index) {
				line.Failures = attempts
			}
			lines = append(lines, line)
			arrived += attempts
			attemptsAt[line.Endpoint] += float64(attempts)
		}
		decision := sampler.Decide(now, name, len(lines), arrived, second)
		for _, line := range lines {
			if _, ok := sampler.Sample(decision, line); ok {
				accepted++
			}
		}
	}
	return attemptsAt, accepted
}

func TestAllLinesAcceptedBelowLimit(t *testing.T) {
	f, sampler := newFleet(50, 20), New(Settings{MaxLinesPerSecond: 10000, Period: second})
	for r := range 5 {
		now := policyapi.Microseconds(r+1) * second
		attempts, accepted := f.round(sampler, now, 10, nil)
		sampler.EndRound(now + second)
		if accepted != 500 {
			t.Errorf("%d lines accepted, want all 500", accepted)
		}
		for id, want := range attempts {
			if got, _ := sampler.Estimate(now+second, id); math.Abs(got.Attempts-want) > 1e-6 || math.Abs(got.AttemptsError-2*math.Sqrt(want)) > 1e-6 {
				t.Errorf("estimate of %s is %+v, want %v attempts and twice the square root of that as error", id, got, want)
			}
		}
	}
}

// With eight times the lines that may be accepted, the accepted lines stay within the limit, the estimates are unbiased, and
// about nineteen of twenty are within their stated error.
func TestSampledEstimatesAreWithinStatedError(t *testing.T) {
	f, sampler := newFleet(2000, 100), New(Settings{MaxLinesPerSecond: 2500, Period: second, Seed: 3})
	estimates, within, bias, maxAccepted := 0, 0, 0.0, 0
	for r := range 60 {
		now := policyapi.Microseconds(r+1) * second
		attempts, accepted := f.round(sampler, now, 10, nil)
		sampler.EndRound(now + second)
		if r < 3 {
			continue // the fraction is still adapting
		}
		maxAccepted = max(maxAccepted, accepted)
		for id, want := range attempts {
			got, known := sampler.Estimate(now+second, id)
			if !known || got.At != now+second {
				continue // no line of this endpoint was accepted in this round
			}
			estimates++
			if math.Abs(got.Attempts-want) <= got.AttemptsError {
				within++
			}
			bias += (got.Attempts - want) / want
		}
	}
	withinFraction := float64(within) / float64(estimates)
	t.Logf("%d estimates, %.3f of them within the stated error, bias %.4f, at most %d of 20000 lines accepted",
		estimates, withinFraction, bias/float64(estimates), maxAccepted)
	if withinFraction < 0.93 || math.Abs(bias/float64(estimates)) > 0.02 || maxAccepted > 2500 {
		t.Error("estimates are not as accurate as stated, or more than 2500 lines are accepted")
	}
}

// Health signals are accepted even if routine lines are not: the estimate shows all failures of an endpoint in the round in
// which it fails.
func TestHealthSignalsAreAlwaysAccepted(t *testing.T) {
	f, sampler := newFleet(1000, 100), New(Settings{MaxLinesPerSecond: 1500, Period: second})
	for r := range 10 {
		now := policyapi.Microseconds(r+1) * second
		failing := func(_, endpoint int) float64 {
			if endpoint == 13 && r >= 6 {
				return 1
			}
			return 0
		}
		attempts, _ := f.round(sampler, now, 10, failing)
		sampler.EndRound(now + second)
		got, _ := sampler.Estimate(now+second, "n13")
		if r >= 6 && math.Abs(got.Failures-attempts["n13"]) > 1e-6 {
			t.Errorf("round %d: estimate has %v failures, want %v", r, got.Failures, attempts["n13"])
		}
	}
	if stats := sampler.Stats(); stats.HealthSignals == 0 || stats.SampledFraction >= 1 {
		t.Errorf("stats are %+v, want health signals and a sampled fraction below 1", stats)
	}
}

// Every gateway is sampled at least once in 1/p rounds, even if the names of the gateways are consecutive.
func TestEveryGatewayIsSampled(t *testing.T) {
	f, sampler := newFleet(1000, 50), New(Settings{MaxLinesPerSecond: 1200, Period: second})
	lastSampled, longest := map[string]int{}, 0
	for r := range 80 {
		now := policyapi.Microseconds(r+1) * second
		for _, name := range f.names {
			if decision := sampler.Decide(now, name, 10, 10, second); decision.IncludeRoutine {
				if at, ok := lastSampled[name]; ok && r > 10 {
					longest = max(longest, r-at)
				}
				lastSampled[name] = r
			}
		}
		sampler.EndRound(now + second)
	}
	if len(lastSampled) != 1000 || longest > 16 || longest < 5 {
		t.Errorf("%d of 1000 gateways sampled, longest interval %d rounds, want 5 to 16; sampled fraction %.3f",
			len(lastSampled), longest, sampler.Stats().SampledFraction)
	}
}

// A report with many times the usual demand of its gateway is trusted only in part, until three consecutive reports have
// confirmed the surge.
func TestSuddenSurgeIsCapped(t *testing.T) {
	f, sampler := newFleet(20, 5), New(Settings{MaxLinesPerSecond: 10000, Period: second})
	now := second
	for range 5 {
		f.round(sampler, now, 3, nil)
		now += second
		sampler.EndRound(now)
	}
	for i, want := range []bool{true, true, true, false} {
		decision := sampler.Decide(now, "gw-3", 3, 9000, second)
		if (decision.TrustedFraction < 0.2) != want {
			t.Errorf("report %d: trusted fraction is %.3f, want below 0.2 for the first three reports only", i+1, decision.TrustedFraction)
		}
		now += second
		sampler.EndRound(now)
	}
	if decision := sampler.Decide(now, "new", 3, 40, second); decision.TrustedFraction != 1 {
		t.Errorf("trusted fraction of a new gateway is %v, want 1", decision.TrustedFraction)
	}
}

// Without reports the errors of estimates grow with their age, and EndRound returns each silent gateway once.
func TestSilentGateways(t *testing.T) {
	f, sampler := newFleet(10, 5), New(Settings{MaxLinesPerSecond: 10000, Period: second})
	f.round(sampler, second, 3, nil)
	sampler.AddMetrics("n1", 0.5, 3)
	sampler.EndRound(2 * second)
	fresh, _ := sampler.Estimate(2*second, "n1")
	old, known := sampler.Estimate(12*second, "n1")
	if !known || old.AttemptsError <= fresh.AttemptsError || old.UtilizationError <= fresh.UtilizationError ||
		fresh.Utilization != 0.5 || fresh.Queue != 3 || old.QueueError <= fresh.QueueError {
		t.Errorf("estimate is %+v after ten seconds and %+v before; want larger errors, utilization 0.5 and queue length 3", old, fresh)
	}
	sampler.Decide(10*second, "gw-2", 0, 0, second)
	sampler.GatewayDisconnected("gw-1")
	if silent := sampler.EndRound(12 * second); len(silent) != 8 || sampler.Stats().Reporting != 1 || sampler.Stats().Silent != 8 {
		t.Errorf("silent gateways are %v, stats %+v; want 8 silent gateways and 1 that reports", silent, sampler.Stats())
	}
	if silent := sampler.EndRound(13 * second); len(silent) != 0 || sampler.Stats().Silent != 8 {
		t.Errorf("EndRound returned the silent gateways %v again, want none", silent)
	}
}

// When reports overload the sampler, the sampled fraction falls within a round and gateways get a longer interval. Both recover
// when the overload is over.
func TestReportOverload(t *testing.T) {
	f, sampler := newFleet(2000, 50), New(Settings{MaxLinesPerSecond: 2000, Period: second})
	calm := newFleet(100, 50)
	now := second
	for r := range 40 {
		if r >= 5 && r < 10 {
			f.round(sampler, now, 10, nil)
			if r > 6 && (sampler.Stats().SampledFraction > 0.12 || sampler.IntervalFactor() < 4) {
				t.Errorf("round %d: sampled fraction is %.3f, want at most 0.12; interval factor is %d, want 4",
					r, sampler.Stats().SampledFraction, sampler.IntervalFactor())
			}
		} else {
			calm.round(sampler, now, 10, nil)
		}
		now += second
		sampler.EndRound(now)
	}
	if stats := sampler.Stats(); stats.SampledFraction != 1 || sampler.IntervalFactor() != 1 || stats.SampledRounds == 0 {
		t.Errorf("sampled fraction or interval factor has not recovered to 1, or no round was sampled: stats %+v", stats)
	}
}

// A third of the reports miss their round, and some of them arrive in the next one. Endpoints must appear neither idle in
// the former nor busy in the latter: estimates stay unbiased and within their stated error.
func TestLateReports(t *testing.T) {
	f, sampler := newFleet(600, 60), New(Settings{MaxLinesPerSecond: 100000, Period: second})
	sampler.round.startedAt = second
	estimates, within, bias := 0, 0, 0.0
	for r := range 60 {
		now := policyapi.Microseconds(r+2) * second
		attempts := map[policyapi.EndpointID]float64{}
		for g, name := range f.names {
			lines := make([]EndpointLine, 0, 10)
			for i := range 10 {
				index := (g*7 + i*i + i) % len(f.endpoints)
				line := EndpointLine{Endpoint: f.endpoints[index], Attempts: int(f.meanAttempts[index]*2*f.rng.Float64()) + 1}
				lines = append(lines, line)
				attempts[line.Endpoint] += float64(line.Attempts)
			}
			interval, times := second, 1
			switch outcome := f.rng.IntN(3); {
			case r == 0:
			case outcome == 0:
				continue // the report is late
			case outcome == 1 && f.rng.IntN(2) == 0:
				times = 2 // the late report of the last round arrives as well
			}
			for range times {
				decision := sampler.Decide(now, name, len(lines), 30, interval)
				for _, line := range lines {
					sampler.Sample(decision, line)
				}
			}
		}
		sampler.EndRound(now)
		if r < 3 {
			continue
		}
		for id, want := range attempts {
			got, _ := sampler.Estimate(now, id)
			estimates++
			if math.Abs(got.Attempts-want) <= got.AttemptsError {
				within++
			}
			bias += (got.Attempts - want) / want
		}
	}
	withinFraction := float64(within) / float64(estimates)
	t.Logf("%d estimates, %.3f of them within the stated error, bias %.4f", estimates, withinFraction, bias/float64(estimates))
	if withinFraction < 0.88 || math.Abs(bias/float64(estimates)) > 0.02 {
		t.Error("estimates are biased, or fewer than 0.88 of them are within their stated error")
	}
}

// When gateways apply the requested interval, the interval factor changes once and stays as long as the load does.
func TestIntervalFactorDoesNotOscillate(t *testing.T) {
	f, sampler := newFleet(2000, 50), New(Settings{MaxLinesPerSecond: 2500, Period: second})
	nextReport, changes, lastFactor := make([]int, len(f.names)), 0, 1
	for r := range 100 {
		now := policyapi.Microseconds(r+1) * second
		for g, name := range f.names {
			if r < nextReport[g] {
				continue
			}
			nextReport[g] = r + sampler.IntervalFactor()
			decision := sampler.Decide(now, name, 10, 30, second*policyapi.Microseconds(sampler.IntervalFactor()))
			for k := range 10 {
				sampler.Sample(decision, EndpointLine{Endpoint: f.endpoints[(g+k)%50], Attempts: 3})
			}
		}
		sampler.EndRound(now)
		if sampler.IntervalFactor() != lastFactor {
			changes++
			lastFactor = sampler.IntervalFactor()
		}
	}
	if changes != 1 || lastFactor != 4 {
		t.Errorf("interval factor changed %d times and is %d at the end, want one change to 4", changes, lastFactor)
	}
}
