package loadreport

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"porthub/policyapi"
)

const second policyapi.Microseconds = 1_000_000

// fleet has gateways that each meet some nodes; what they met is drawn anew each round.
type fleet struct {
	rng   *rand.Rand
	names []string
	nodes []policyapi.EndpointID
	mean  []float64 // tries of a gateway at a node
}

func newFleet(gateways, nodes int) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(7, 7))}
	for i := range gateways {
		f.names = append(f.names, fmt.Sprintf("gw-%d", i))
	}
	for i := range nodes {
		f.nodes = append(f.nodes, policyapi.EndpointID(fmt.Sprintf("n%d", i)))
		f.mean = append(f.mean, 1+3*f.rng.Float64())
	}
	return f
}

// round offers a round of reports and returns what each node really had.
func (f *fleet) round(in *Sampler, now policyapi.Microseconds, each int, errs func(g, n int) float64) (truth map[policyapi.EndpointID]float64, taken int) {
	truth = map[policyapi.EndpointID]float64{}
	for g, name := range f.names {
		lines := make([]EndpointLine, 0, each)
		arrived := 0
		for k := range each {
			n := (g*7 + k*k + k) % len(f.nodes)
			tries := int(f.mean[n]*2*f.rng.Float64()) + 1
			l := EndpointLine{Endpoint: f.nodes[n], Attempts: tries}
			if errs != nil && f.rng.Float64() < errs(g, n) {
				l.Failures = tries
			}
			lines = append(lines, l)
			arrived += tries
			truth[l.Endpoint] += float64(tries)
		}
		v := in.Decide(now, name, len(lines), arrived, second)
		for _, l := range lines {
			if _, ok := in.Sample(v, l); ok {
				taken++
			}
		}
	}
	return truth, taken
}

// Under the bound everything is taken as it is.
func TestCalm(t *testing.T) {
	f, in := newFleet(50, 20), New(Settings{MaxLines: 10000, Period: second})
	for r := range 5 {
		now := policyapi.Microseconds(r+1) * second
		truth, taken := f.round(in, now, 10, nil)
		in.EndRound(now + second)
		if taken != 500 {
			t.Errorf("%d of 500 taken", taken)
		}
		for b, want := range truth {
			if got, _ := in.Estimate(now+second, b); math.Abs(got.Attempts-want) > 1e-6 || math.Abs(got.AttemptsError-2*math.Sqrt(want)) > 1e-6 {
				t.Errorf("%s: %+v, want %v", b, got, want)
			}
		}
	}
}

// At eight times the bound: what is taken keeps to it, the figures are right on average, and within their stated error in
// nineteen of twenty cases.
func TestSampledWithinItsError(t *testing.T) {
	f, in := newFleet(2000, 100), New(Settings{MaxLines: 2500, Period: second, Seed: 3})
	cases, within, bias, most := 0, 0, 0.0, 0
	for r := range 60 {
		now := policyapi.Microseconds(r+1) * second
		truth, taken := f.round(in, now, 10, nil)
		in.EndRound(now + second)
		if r < 3 {
			continue // the part is being found
		}
		most = max(most, taken)
		for b, want := range truth {
			got, known := in.Estimate(now+second, b)
			if !known || got.At != now+second {
				continue // nobody who met it was heard in this round
			}
			cases++
			if math.Abs(got.Attempts-want) <= got.AttemptsError {
				within++
			}
			bias += (got.Attempts - want) / want
		}
	}
	share := float64(within) / float64(cases)
	t.Logf("%d cases, %.3f within the stated error, bias %.4f, at most %d lines of 20000 taken", cases, share, bias/float64(cases), most)
	if share < 0.93 || math.Abs(bias/float64(cases)) > 0.02 || most > 2500 {
		t.Error("that is not what is stated")
	}
}

// HealthSignals is taken whatever else is shed: each error of a failing node arrives, in the round in which it fails.
func TestNewsFirst(t *testing.T) {
	f, in := newFleet(1000, 100), New(Settings{MaxLines: 1500, Period: second})
	for r := range 10 {
		now := policyapi.Microseconds(r+1) * second
		failing := func(g, n int) float64 {
			if n == 13 && r >= 6 {
				return 1
			}
			return 0
		}
		truth, _ := f.round(in, now, 10, failing)
		in.EndRound(now + second)
		got, _ := in.Estimate(now+second, "n13")
		if r >= 6 && math.Abs(got.Failures-truth["n13"]) > 1e-6 {
			t.Errorf("round %d: %v errored of %v", r, got.Failures, truth["n13"])
		}
	}
	if s := in.Stats(); s.HealthSignals == 0 || s.SampledFraction >= 1 {
		t.Errorf("%+v", s)
	}
}

// Every gateway is heard at least once in 1/p rounds, however its name counts.
func TestNobodyIsForgotten(t *testing.T) {
	f, in := newFleet(1000, 50), New(Settings{MaxLines: 1200, Period: second})
	last, longest := map[string]int{}, 0
	for r := range 80 {
		now := policyapi.Microseconds(r+1) * second
		for _, name := range f.names {
			if v := in.Decide(now, name, 10, 10, second); v.IncludeRoutine {
				if at, heard := last[name]; heard && r > 10 {
					longest = max(longest, r-at)
				}
				last[name] = r
			}
		}
		in.EndRound(now + second)
	}
	if len(last) != 1000 || longest > 16 || longest < 5 {
		t.Errorf("%d of 1000 heard, not heard for %d rounds at most, part %.3f", len(last), longest, in.Stats().SampledFraction)
	}
}

// One that suddenly claims a thousand times its traffic is believed for a part of it, until it has said so three times.
func TestThousandfoldClaim(t *testing.T) {
	f, in := newFleet(20, 5), New(Settings{MaxLines: 10000, Period: second})
	now := second
	for range 5 {
		f.round(in, now, 3, nil)
		now += second
		in.EndRound(now)
	}
	for i, want := range []bool{true, true, true, false} {
		v := in.Decide(now, "gw-3", 3, 9000, second)
		if (v.TrustedFraction < 0.2) != want {
			t.Errorf("claim %d: %.3f of it is believed", i+1, v.TrustedFraction)
		}
		now += second
		in.EndRound(now)
	}
	if v := in.Decide(now, "new", 3, 40, second); v.TrustedFraction != 1 {
		t.Errorf("one that has just come is not believed: %v", v.TrustedFraction)
	}
}

// Reports that stop: the view ages and its error grows, and the gateways are named.
func TestSilence(t *testing.T) {
	f, in := newFleet(10, 5), New(Settings{MaxLines: 10000, Period: second})
	f.round(in, second, 3, nil)
	in.AddMetrics("n1", 0.5, 3)
	in.EndRound(2 * second)
	fresh, _ := in.Estimate(2*second, "n1")
	old, known := in.Estimate(12*second, "n1")
	if !known || old.AttemptsError <= fresh.AttemptsError || old.UtilizationError <= fresh.UtilizationError || fresh.Utilization != 0.5 || fresh.Queue != 3 || old.QueueError <= fresh.QueueError {
		t.Errorf("%+v after ten seconds, %+v before", old, fresh)
	}
	in.Decide(10*second, "gw-2", 0, 0, second)
	in.GatewayDisconnected("gw-1")
	if s := in.EndRound(12 * second); len(s) != 8 || in.Stats().Reporting != 1 || in.Stats().Silent != 8 {
		t.Errorf("stopped: %v, %+v", s, in.Stats())
	}
	if s := in.EndRound(13 * second); len(s) != 0 || in.Stats().Silent != 8 {
		t.Errorf("told again: %v", s)
	}
}

// A storm comes at once and goes: the part falls within a round and comes back, and gateways are asked to wait meanwhile.
func TestStorm(t *testing.T) {
	f, in := newFleet(2000, 50), New(Settings{MaxLines: 2000, Period: second})
	calm := newFleet(100, 50)
	now := second
	for r := range 40 {
		if r >= 5 && r < 10 {
			f.round(in, now, 10, nil)
			if r > 6 && (in.Stats().SampledFraction > 0.12 || in.IntervalFactor() < 4) {
				t.Errorf("round %d: part %.3f, stretch %d", r, in.Stats().SampledFraction, in.IntervalFactor())
			}
		} else {
			calm.round(in, now, 10, nil)
		}
		now += second
		in.EndRound(now)
	}
	if s := in.Stats(); s.SampledFraction != 1 || in.IntervalFactor() != 1 || s.Sampled == 0 {
		t.Errorf("it does not come back: %+v", s)
	}
}

// Only while the room is half used, and only one that has just reported, is told to come later.
func TestDefer(t *testing.T) {
	for _, c := range []struct {
		waiting int
		since   policyapi.Microseconds
		want    bool
	}{{10, 0, false}, {60, 0, true}, {60, second, false}, {50, 0, false}} {
		if got := ShouldDefer(c.waiting, 100, c.since, second); got != c.want {
			t.Errorf("%+v: %t", c, got)
		}
	}
}

// Reports that don't come in their round, a third of them, are neither taken for idle nodes nor for busy ones when they come
// late: the figures stay right on average and within their stated error.
func TestLateReports(t *testing.T) {
	f, in := newFleet(600, 60), New(Settings{MaxLines: 100000, Period: second})
	in.began = second
	cases, within, bias := 0, 0, 0.0
	for r := range 60 {
		now := policyapi.Microseconds(r+2) * second
		truth := map[policyapi.EndpointID]float64{}
		for g, name := range f.names {
			lines := make([]EndpointLine, 0, 10)
			for k := range 10 {
				n := (g*7 + k*k + k) % len(f.nodes)
				l := EndpointLine{Endpoint: f.nodes[n], Attempts: int(f.mean[n]*2*f.rng.Float64()) + 1}
				lines = append(lines, l)
				truth[l.Endpoint] += float64(l.Attempts)
			}
			interval, times := second, 1
			switch lot := f.rng.IntN(3); {
			case r == 0:
			case lot == 0:
				continue // late
			case lot == 1 && f.rng.IntN(2) == 0:
				times = 2 // the last round's comes as well
			}
			for range times {
				v := in.Decide(now, name, len(lines), 30, interval)
				for _, l := range lines {
					in.Sample(v, l)
				}
			}
		}
		in.EndRound(now)
		if r < 3 {
			continue
		}
		for b, want := range truth {
			got, _ := in.Estimate(now, b)
			cases++
			if math.Abs(got.Attempts-want) <= got.AttemptsError {
				within++
			}
			bias += (got.Attempts - want) / want
		}
	}
	share := float64(within) / float64(cases)
	t.Logf("%d cases, %.3f within the stated error, bias %.4f", cases, share, bias/float64(cases))
	if share < 0.88 || math.Abs(bias/float64(cases)) > 0.02 {
		t.Error("that is not what is stated")
	}
}

// Gateways that do as they are asked: the longer interval is asked for once and stays while the load does.
func TestStretchDoesNotSwing(t *testing.T) {
	f, in := newFleet(2000, 50), New(Settings{MaxLines: 2500, Period: second})
	due, changes, last := make([]int, len(f.names)), 0, 1
	for r := range 100 {
		now := policyapi.Microseconds(r+1) * second
		for g, name := range f.names {
			if r < due[g] {
				continue
			}
			due[g] = r + in.IntervalFactor()
			v := in.Decide(now, name, 10, 30, second*policyapi.Microseconds(in.IntervalFactor()))
			for k := range 10 {
				in.Sample(v, EndpointLine{Endpoint: f.nodes[(g+k)%50], Attempts: 3})
			}
		}
		in.EndRound(now)
		if in.IntervalFactor() != last {
			changes++
			last = in.IntervalFactor()
		}
	}
	if changes != 1 || last != 4 {
		t.Errorf("%d changes, %d at the end", changes, last)
	}
}

// The same storm, eight times what can be taken, by three rules: all is taken (which costs eight times the bound), the oldest
// first out of a bounded line, and ours. A node's load doubles in the middle and another one fails.
func TestAgainstOldestFirst(t *testing.T) {
	const gateways, nodes, each, bound, rounds, turn = 2000, 100, 10, 2500.0, 60, 30
	type report struct {
		name  string
		lines []EndpointLine
	}
	type outcome struct {
		err      float64 // mean error of a node's tries
		learned  int     // rounds until the failing node's errors are at half of what they are
		followed int     // rounds until the doubled load is told within a fifth
		lines    float64 // taken a round
	}
	run := func(rule string) (out outcome) {
		f, set := newFleet(gateways, nodes), Settings{Period: second}
		if rule == "ours" {
			set.MaxLines = bound
		}
		in, waiting, cases := New(set), []report(nil), 0
		out.learned, out.followed = rounds, rounds
		for r := range rounds {
			now := policyapi.Microseconds(r+1) * second
			if r == turn {
				f.mean[7] *= 2
			}
			truth, failed := map[policyapi.EndpointID]float64{}, 0.0
			var came []report
			for g, name := range f.names {
				one := report{name: name}
				for k := range each {
					n := (g*7 + k*k + k) % nodes
					l := EndpointLine{Endpoint: f.nodes[n], Attempts: int(f.mean[n]*2*f.rng.Float64()) + 1}
					if n == 13 && r >= turn {
						l.Failures, failed = l.Attempts, failed+float64(l.Attempts)
					}
					one.lines = append(one.lines, l)
					truth[l.Endpoint] += float64(l.Attempts)
				}
				came = append(came, one)
			}
			f.rng.Shuffle(len(came), func(i, j int) { came[i], came[j] = came[j], came[i] })
			if rule == "oldest" {
				waiting = append(waiting, came...)
				if most := int(20 * bound / each); len(waiting) > most {
					waiting = waiting[:most] // what finds no room is lost
				}
				n := min(len(waiting), int(bound/each))
				came, waiting = waiting[:n], waiting[n:]
			}
			for _, one := range came {
				v := in.Decide(now, one.name, each, 30, second)
				for _, l := range one.lines {
					if _, ok := in.Sample(v, l); ok && r >= 5 {
						out.lines += 1.0 / (rounds - 5)
					}
				}
			}
			in.EndRound(now)
			if r < 5 {
				continue
			}
			for b, want := range truth {
				got, _ := in.Estimate(now, b)
				out.err += math.Abs(got.Attempts-want) / want
				cases++
			}
			if got, _ := in.Estimate(now, "n13"); r >= turn && got.Failures > failed/2 {
				out.learned = min(out.learned, r-turn)
			}
			if got, _ := in.Estimate(now, "n7"); r >= turn && math.Abs(got.Attempts-truth["n7"]) < truth["n7"]/5 {
				out.followed = min(out.followed, r-turn)
			}
		}
		out.err /= float64(cases)
		return out
	}
	all, oldest, ours := run("all"), run("oldest"), run("ours")
	t.Logf("all %+v, oldest first %+v, ours %+v", all, oldest, ours)
	if ours.learned > 0 || oldest.learned < 10 || ours.lines > bound || ours.err > 1.25*oldest.err {
		t.Error("ours does not learn sooner, or knows less")
	}
}

// Overviews come once a second, or take a hundredth of the time.
func TestLookAgain(t *testing.T) {
	if OverviewInterval(500) != second || OverviewInterval(52_000) != 5_200_000 {
		t.Errorf("%d, %d", OverviewInterval(500), OverviewInterval(52_000))
	}
}

// A quick step is followed at once, a long one by as much time for the others, within bounds.
func TestGather(t *testing.T) {
	for took, want := range map[policyapi.Microseconds]policyapi.Microseconds{300: 0, 1999: 0, 2000: 2000, 9000: 9000, 500_000: 20_000} {
		if got := BatchDelay(took); got != want {
			t.Errorf("after %d us it waits %d, want %d", took, got, want)
		}
	}
}
