package loadreport

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"porthub/policyapi"
)

const second policyapi.Microseconds = 1_000_000

// fleet has gateways that each send requests to some endpoints; the numbers of attempts are drawn again each round.
type fleet struct {
	rng          *rand.Rand
	names        []string
	endpoints    []policyapi.EndpointID
	meanAttempts []float64 // of a gateway at an endpoint
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

// round reports once for each gateway. It returns the attempts that each endpoint really had and the number of lines taken.
func (f *fleet) round(sampler *Sampler, now policyapi.Microseconds, linesPerReport int, failureRate func(g, index int) float64) (truth map[policyapi.EndpointID]float64, taken int) {
	truth = map[policyapi.EndpointID]float64{}
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
			truth[line.Endpoint] += float64(attempts)
		}
		decision := sampler.Decide(now, name, len(lines), arrived, second)
		for _, line := range lines {
			if _, ok := sampler.Sample(decision, line); ok {
				taken++
			}
		}
	}
	return truth, taken
}

func TestAllLinesTakenBelowLimit(t *testing.T) {
	f, sampler := newFleet(50, 20), New(Settings{MaxLinesPerSecond: 10000, Period: second})
	for r := range 5 {
		now := policyapi.Microseconds(r+1) * second
		truth, taken := f.round(sampler, now, 10, nil)
		sampler.EndRound(now + second)
		if taken != 500 {
			t.Errorf("%d of 500 taken", taken)
		}
		for id, want := range truth {
			if got, _ := sampler.Estimate(now+second, id); math.Abs(got.Attempts-want) > 1e-6 || math.Abs(got.AttemptsError-2*math.Sqrt(want)) > 1e-6 {
				t.Errorf("%s: %+v, want %v", id, got, want)
			}
		}
	}
}

// At eight times the limit: the lines taken stay within it, estimates are unbiased, and nineteen of twenty are within their
// stated error.
func TestSampledEstimatesAreWithinStatedError(t *testing.T) {
	f, sampler := newFleet(2000, 100), New(Settings{MaxLinesPerSecond: 2500, Period: second, Seed: 3})
	cases, within, bias, maxTaken := 0, 0, 0.0, 0
	for r := range 60 {
		now := policyapi.Microseconds(r+1) * second
		truth, taken := f.round(sampler, now, 10, nil)
		sampler.EndRound(now + second)
		if r < 3 {
			continue // the fraction is still adapting
		}
		maxTaken = max(maxTaken, taken)
		for id, want := range truth {
			got, known := sampler.Estimate(now+second, id)
			if !known || got.At != now+second {
				continue // no line of it was taken in this round
			}
			cases++
			if math.Abs(got.Attempts-want) <= got.AttemptsError {
				within++
			}
			bias += (got.Attempts - want) / want
		}
	}
	withinShare := float64(within) / float64(cases)
	t.Logf("%d cases, %.3f within the stated error, bias %.4f, at most %d lines of 20000 taken", cases, withinShare, bias/float64(cases), maxTaken)
	if withinShare < 0.93 || math.Abs(bias/float64(cases)) > 0.02 || maxTaken > 2500 {
		t.Error("the estimates are not as accurate as stated")
	}
}

// Health signals are taken whatever else is shed: all failures of an endpoint arrive in the round in which it fails.
func TestHealthSignalsAreAlwaysTaken(t *testing.T) {
	f, sampler := newFleet(1000, 100), New(Settings{MaxLinesPerSecond: 1500, Period: second})
	for r := range 10 {
		now := policyapi.Microseconds(r+1) * second
		failing := func(_, endpoint int) float64 {
			if endpoint == 13 && r >= 6 {
				return 1
			}
			return 0
		}
		truth, _ := f.round(sampler, now, 10, failing)
		sampler.EndRound(now + second)
		got, _ := sampler.Estimate(now+second, "n13")
		if r >= 6 && math.Abs(got.Failures-truth["n13"]) > 1e-6 {
			t.Errorf("round %d: %v failures of %v", r, got.Failures, truth["n13"])
		}
	}
	if s := sampler.Stats(); s.HealthSignals == 0 || s.SampledFraction >= 1 {
		t.Errorf("%+v", s)
	}
}

// Every gateway is sampled at least once in 1/p rounds, also if the names of gateways are consecutive.
func TestEveryGatewayIsSampled(t *testing.T) {
	f, sampler := newFleet(1000, 50), New(Settings{MaxLinesPerSecond: 1200, Period: second})
	lastSampled, longest := map[string]int{}, 0
	for r := range 80 {
		now := policyapi.Microseconds(r+1) * second
		for _, name := range f.names {
			if v := sampler.Decide(now, name, 10, 10, second); v.IncludeRoutine {
				if at, ok := lastSampled[name]; ok && r > 10 {
					longest = max(longest, r-at)
				}
				lastSampled[name] = r
			}
		}
		sampler.EndRound(now + second)
	}
	if len(lastSampled) != 1000 || longest > 16 || longest < 5 {
		t.Errorf("%d of 1000 sampled, not sampled for %d rounds at most, fraction %.3f", len(lastSampled), longest, sampler.Stats().SampledFraction)
	}
}

// A gateway that suddenly reports many times its demand is trusted for a part of it, until it has reported so three times.
func TestSuddenSurgeIsCapped(t *testing.T) {
	f, sampler := newFleet(20, 5), New(Settings{MaxLinesPerSecond: 10000, Period: second})
	now := second
	for range 5 {
		f.round(sampler, now, 3, nil)
		now += second
		sampler.EndRound(now)
	}
	for i, want := range []bool{true, true, true, false} {
		v := sampler.Decide(now, "gw-3", 3, 9000, second)
		if (v.TrustedFraction < 0.2) != want {
			t.Errorf("report %d: %.3f of it is trusted", i+1, v.TrustedFraction)
		}
		now += second
		sampler.EndRound(now)
	}
	if v := sampler.Decide(now, "new", 3, 40, second); v.TrustedFraction != 1 {
		t.Errorf("a new gateway is not trusted: %v", v.TrustedFraction)
	}
}

// Without reports the errors of estimates grow with their age, and the silent gateways are returned once.
func TestSilentGateways(t *testing.T) {
	f, sampler := newFleet(10, 5), New(Settings{MaxLinesPerSecond: 10000, Period: second})
	f.round(sampler, second, 3, nil)
	sampler.AddMetrics("n1", 0.5, 3)
	sampler.EndRound(2 * second)
	fresh, _ := sampler.Estimate(2*second, "n1")
	old, known := sampler.Estimate(12*second, "n1")
	if !known || old.AttemptsError <= fresh.AttemptsError || old.UtilizationError <= fresh.UtilizationError || fresh.Utilization != 0.5 || fresh.Queue != 3 || old.QueueError <= fresh.QueueError {
		t.Errorf("%+v after ten seconds, %+v before", old, fresh)
	}
	sampler.Decide(10*second, "gw-2", 0, 0, second)
	sampler.GatewayDisconnected("gw-1")
	if silent := sampler.EndRound(12 * second); len(silent) != 8 || sampler.Stats().Reporting != 1 || sampler.Stats().Silent != 8 {
		t.Errorf("silent: %v, %+v", silent, sampler.Stats())
	}
	if silent := sampler.EndRound(13 * second); len(silent) != 0 || sampler.Stats().Silent != 8 {
		t.Errorf("returned again: %v", silent)
	}
}

// A storm of reports comes and goes: the fraction falls within a round and recovers, and gateways get a longer interval
// meanwhile.
func TestReportStorm(t *testing.T) {
	f, sampler := newFleet(2000, 50), New(Settings{MaxLinesPerSecond: 2000, Period: second})
	calm := newFleet(100, 50)
	now := second
	for r := range 40 {
		if r >= 5 && r < 10 {
			f.round(sampler, now, 10, nil)
			if r > 6 && (sampler.Stats().SampledFraction > 0.12 || sampler.IntervalFactor() < 4) {
				t.Errorf("round %d: fraction %.3f, interval factor %d", r, sampler.Stats().SampledFraction, sampler.IntervalFactor())
			}
		} else {
			calm.round(sampler, now, 10, nil)
		}
		now += second
		sampler.EndRound(now)
	}
	if stats := sampler.Stats(); stats.SampledFraction != 1 || sampler.IntervalFactor() != 1 || stats.SampledRounds == 0 {
		t.Errorf("the fraction does not recover: %+v", stats)
	}
}

// A third of the reports misses its round: endpoints look neither idle then nor busy when the reports come late. Estimates
// stay unbiased and within their stated error.
func TestLateReports(t *testing.T) {
	f, sampler := newFleet(600, 60), New(Settings{MaxLinesPerSecond: 100000, Period: second})
	sampler.round.startedAt = second
	cases, within, bias := 0, 0, 0.0
	for r := range 60 {
		now := policyapi.Microseconds(r+2) * second
		truth := map[policyapi.EndpointID]float64{}
		for g, name := range f.names {
			lines := make([]EndpointLine, 0, 10)
			for i := range 10 {
				index := (g*7 + i*i + i) % len(f.endpoints)
				line := EndpointLine{Endpoint: f.endpoints[index], Attempts: int(f.meanAttempts[index]*2*f.rng.Float64()) + 1}
				lines = append(lines, line)
				truth[line.Endpoint] += float64(line.Attempts)
			}
			interval, times := second, 1
			switch lot := f.rng.IntN(3); {
			case r == 0:
			case lot == 0:
				continue // late
			case lot == 1 && f.rng.IntN(2) == 0:
				times = 2 // that of the last round comes as well
			}
			for range times {
				v := sampler.Decide(now, name, len(lines), 30, interval)
				for _, line := range lines {
					sampler.Sample(v, line)
				}
			}
		}
		sampler.EndRound(now)
		if r < 3 {
			continue
		}
		for id, want := range truth {
			got, _ := sampler.Estimate(now, id)
			cases++
			if math.Abs(got.Attempts-want) <= got.AttemptsError {
				within++
			}
			bias += (got.Attempts - want) / want
		}
	}
	withinShare := float64(within) / float64(cases)
	t.Logf("%d cases, %.3f within the stated error, bias %.4f", cases, withinShare, bias/float64(cases))
	if withinShare < 0.88 || math.Abs(bias/float64(cases)) > 0.02 {
		t.Error("the estimates are not as accurate as stated")
	}
}

// With gateways that follow the interval it changes once and stays while the load does.
func TestIntervalFactorDoesNotOscillate(t *testing.T) {
	f, sampler := newFleet(2000, 50), New(Settings{MaxLinesPerSecond: 2500, Period: second})
	due, changes, lastFactor := make([]int, len(f.names)), 0, 1
	for r := range 100 {
		now := policyapi.Microseconds(r+1) * second
		for g, name := range f.names {
			if r < due[g] {
				continue
			}
			due[g] = r + sampler.IntervalFactor()
			v := sampler.Decide(now, name, 10, 30, second*policyapi.Microseconds(sampler.IntervalFactor()))
			for k := range 10 {
				sampler.Sample(v, EndpointLine{Endpoint: f.endpoints[(g+k)%50], Attempts: 3})
			}
		}
		sampler.EndRound(now)
		if sampler.IntervalFactor() != lastFactor {
			changes++
			lastFactor = sampler.IntervalFactor()
		}
	}
	if changes != 1 || lastFactor != 4 {
		t.Errorf("%d changes, %d at the end", changes, lastFactor)
	}
}
