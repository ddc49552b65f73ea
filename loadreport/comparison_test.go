package loadreport

import (
	"math"
	"testing"

	"porthub/policyapi"
)

// The storm of reports, eight times what can be taken.
const (
	stormGateways       = 2000
	stormEndpoints      = 100
	stormLinesPerReport = 10
	stormMaxLines       = 2500.0
	stormRounds         = 60
	stormWarmUpRounds   = 5  // not measured
	stormChangeRound    = 30 // the load of one endpoint doubles and another one fails
	growingEndpoint     = 7
	failingEndpoint     = 13
)

// stormRule is how reports are taken.
type stormRule int

const (
	takeAll         stormRule = iota // all lines, at eight times the limit
	takeOldestFirst                  // the oldest reports first, from a bounded queue
	takeSampled
)

// stormReport is a gateway's report.
type stormReport struct {
	name  string
	lines []EndpointLine
}

// stormOutcome is how well a rule does.
type stormOutcome struct {
	err      float64 // mean relative error of an endpoint's attempts
	learned  int     // rounds until half of the failing endpoint's failures are known
	followed int     // rounds until the doubled load is known within a fifth
	lines    float64 // taken per round
}

// stormRound has the reports of one round, in random order, and the true loads.
type stormRound struct {
	reports  []stormReport
	attempts map[policyapi.EndpointID]float64
	failures float64 // of the failing endpoint
}

// storm is a run under one rule.
type storm struct {
	rule    stormRule
	fleet   *fleet
	sampler *Sampler
	waiting []stormReport // under takeOldestFirst
	cases   int
	outcome stormOutcome
}

func newStorm(rule stormRule) *storm {
	settings := Settings{Period: second}
	if rule == takeSampled {
		settings.MaxLinesPerSecond = stormMaxLines
	}
	return &storm{
		rule:    rule,
		fleet:   newFleet(stormGateways, stormEndpoints),
		sampler: New(settings),
		outcome: stormOutcome{learned: stormRounds, followed: stormRounds},
	}
}

func (s *storm) run() stormOutcome {
	for r := range stormRounds {
		now := policyapi.Microseconds(r+1) * second
		if r == stormChangeRound {
			s.fleet.meanAttempts[growingEndpoint] *= 2
		}
		round := s.drawRound(r)
		s.take(now, r, s.choose(round.reports))
		s.sampler.EndRound(now)
		if r >= stormWarmUpRounds {
			s.measure(now, r, round)
		}
	}
	s.outcome.err /= float64(s.cases)
	return s.outcome
}

func (s *storm) drawRound(r int) stormRound {
	round := stormRound{attempts: map[policyapi.EndpointID]float64{}}
	rng := s.fleet.rng
	for g, name := range s.fleet.names {
		next := stormReport{name: name}
		for i := range stormLinesPerReport {
			index := (g*7 + i*i + i) % stormEndpoints
			line := EndpointLine{Endpoint: s.fleet.endpoints[index], Attempts: int(s.fleet.meanAttempts[index]*2*rng.Float64()) + 1}
			if index == failingEndpoint && r >= stormChangeRound {
				line.Failures = line.Attempts
				round.failures += float64(line.Attempts)
			}
			next.lines = append(next.lines, line)
			round.attempts[line.Endpoint] += float64(line.Attempts)
		}
		round.reports = append(round.reports, next)
	}
	rng.Shuffle(len(round.reports), func(i, j int) { round.reports[i], round.reports[j] = round.reports[j], round.reports[i] })
	return round
}

// choose returns the reports that are processed in this round.
func (s *storm) choose(arrived []stormReport) []stormReport {
	if s.rule != takeOldestFirst {
		return arrived
	}
	s.waiting = append(s.waiting, arrived...)
	if maxWaiting := int(20 * stormMaxLines / stormLinesPerReport); len(s.waiting) > maxWaiting {
		s.waiting = s.waiting[:maxWaiting] // the queue is full
	}
	count := min(len(s.waiting), int(stormMaxLines/stormLinesPerReport))
	chosen := s.waiting[:count]
	s.waiting = s.waiting[count:]
	return chosen
}

func (s *storm) take(now policyapi.Microseconds, r int, reports []stormReport) {
	for _, next := range reports {
		decision := s.sampler.Decide(now, next.name, stormLinesPerReport, 30, second)
		for _, line := range next.lines {
			if _, ok := s.sampler.Sample(decision, line); ok && r >= stormWarmUpRounds {
				s.outcome.lines += 1.0 / (stormRounds - stormWarmUpRounds)
			}
		}
	}
}

func (s *storm) measure(now policyapi.Microseconds, r int, round stormRound) {
	for id, want := range round.attempts {
		got, _ := s.sampler.Estimate(now, id)
		s.outcome.err += math.Abs(got.Attempts-want) / want
		s.cases++
	}
	if r < stormChangeRound {
		return
	}
	if got, _ := s.sampler.Estimate(now, s.fleet.endpoints[failingEndpoint]); got.Failures > round.failures/2 {
		s.outcome.learned = min(s.outcome.learned, r-stormChangeRound)
	}
	growing := s.fleet.endpoints[growingEndpoint]
	want := round.attempts[growing]
	if got, _ := s.sampler.Estimate(now, growing); math.Abs(got.Attempts-want) < want/5 {
		s.outcome.followed = min(s.outcome.followed, r-stormChangeRound)
	}
}

// Sampling detects a failure at once where a queue of reports, the oldest first, delays it, with errors that are not worse.
func TestSamplingAgainstOldestFirst(t *testing.T) {
	all, oldest, sampling := newStorm(takeAll).run(), newStorm(takeOldestFirst).run(), newStorm(takeSampled).run()
	t.Logf("all %+v, oldest first %+v, sampling %+v", all, oldest, sampling)
	if sampling.learned > 0 || oldest.learned < 10 || sampling.lines > stormMaxLines || sampling.err > 1.25*oldest.err {
		t.Error("sampling does not detect the failure sooner, or its estimates are worse")
	}
}
