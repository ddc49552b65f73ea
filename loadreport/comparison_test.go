package loadreport

import (
	"math"
	"testing"

	"porthub/policyapi"
)

// The compared load: gateways send eight times the lines that can be processed.
const (
	overloadGateways       = 2000
	overloadEndpoints      = 100
	overloadLinesPerReport = 10
	overloadMaxLines       = 2500.0
	overloadRounds         = 60
	overloadWarmUpRounds   = 5  // rounds at the start that are not measured
	overloadChangeRound    = 30 // round in which the load of growingEndpoint doubles and failingEndpoint fails
	growingEndpoint        = 7
	failingEndpoint        = 13
)

// acceptancePolicy selects the lines that are processed.
type acceptancePolicy int

const (
	acceptAll         acceptancePolicy = iota // process all lines, eight times the limit
	acceptOldestFirst                         // process the oldest reports of a bounded queue up to the limit
	acceptSampled                             // process the lines that a Sampler selects
)

// gatewayReport is a gateway's report.
type gatewayReport struct {
	name  string
	lines []EndpointLine
}

// overloadOutcome is the measured result of a run under one policy.
type overloadOutcome struct {
	meanError         float64 // mean relative error of the estimated attempts at an endpoint
	failureDetectedIn int     // rounds until the estimate shows half of the failures of failingEndpoint
	growthDetectedIn  int     // rounds until the estimate of growingEndpoint is within a fifth of its doubled load
	linesPerRound     float64 // accepted lines
}

// overloadRound has the reports of one round, in random order, and the true load.
type overloadRound struct {
	reports  []gatewayReport
	attempts map[policyapi.EndpointID]float64
	failures float64 // at failingEndpoint
}

// overloadRun is a run under one policy.
type overloadRun struct {
	policy    acceptancePolicy
	fleet     *fleet
	sampler   *Sampler
	queue     []gatewayReport // reports that acceptOldestFirst has not processed yet
	estimates int             // compared with the true load
	outcome   overloadOutcome
}

func newOverloadRun(policy acceptancePolicy) *overloadRun {
	settings := Settings{Period: second}
	if policy == acceptSampled {
		settings.MaxLinesPerSecond = overloadMaxLines
	}
	return &overloadRun{
		policy:  policy,
		fleet:   newFleet(overloadGateways, overloadEndpoints),
		sampler: New(settings),
		outcome: overloadOutcome{failureDetectedIn: overloadRounds, growthDetectedIn: overloadRounds},
	}
}

func (s *overloadRun) run() overloadOutcome {
	for r := range overloadRounds {
		now := policyapi.Microseconds(r+1) * second
		if r == overloadChangeRound {
			s.fleet.meanAttempts[growingEndpoint] *= 2
		}
		round := s.drawRound(r)
		s.process(now, r, s.selectReports(round.reports))
		s.sampler.EndRound(now)
		if r >= overloadWarmUpRounds {
			s.measure(now, r, round)
		}
	}
	s.outcome.meanError /= float64(s.estimates)
	return s.outcome
}

// drawRound draws random reports of all gateways.
func (s *overloadRun) drawRound(r int) overloadRound {
	round := overloadRound{attempts: map[policyapi.EndpointID]float64{}}
	rng := s.fleet.rng
	for g, name := range s.fleet.names {
		report := gatewayReport{name: name}
		for i := range overloadLinesPerReport {
			index := (g*7 + i*i + i) % overloadEndpoints
			line := EndpointLine{Endpoint: s.fleet.endpoints[index], Attempts: int(s.fleet.meanAttempts[index]*2*rng.Float64()) + 1}
			if index == failingEndpoint && r >= overloadChangeRound {
				line.Failures = line.Attempts
				round.failures += float64(line.Attempts)
			}
			report.lines = append(report.lines, line)
			round.attempts[line.Endpoint] += float64(line.Attempts)
		}
		round.reports = append(round.reports, report)
	}
	rng.Shuffle(len(round.reports), func(i, j int) { round.reports[i], round.reports[j] = round.reports[j], round.reports[i] })
	return round
}

// selectReports returns the reports that are processed in this round.
func (s *overloadRun) selectReports(arrived []gatewayReport) []gatewayReport {
	if s.policy != acceptOldestFirst {
		return arrived
	}
	s.queue = append(s.queue, arrived...)
	if maxQueued := int(20 * overloadMaxLines / overloadLinesPerReport); len(s.queue) > maxQueued {
		s.queue = s.queue[:maxQueued]
	}
	count := min(len(s.queue), int(overloadMaxLines/overloadLinesPerReport))
	selected := s.queue[:count]
	s.queue = s.queue[count:]
	return selected
}

// process passes the reports of a round to the sampler.
func (s *overloadRun) process(now policyapi.Microseconds, r int, reports []gatewayReport) {
	for _, report := range reports {
		decision := s.sampler.Decide(now, report.name, overloadLinesPerReport, 30, second)
		for _, line := range report.lines {
			if _, ok := s.sampler.Sample(decision, line); ok && r >= overloadWarmUpRounds {
				s.outcome.linesPerRound += 1.0 / (overloadRounds - overloadWarmUpRounds)
			}
		}
	}
}

// measure compares the estimates with the true load of a round.
func (s *overloadRun) measure(now policyapi.Microseconds, r int, round overloadRound) {
	for id, want := range round.attempts {
		got, _ := s.sampler.Estimate(now, id)
		s.outcome.meanError += math.Abs(got.Attempts-want) / want
		s.estimates++
	}
	if r < overloadChangeRound {
		return
	}
	if got, _ := s.sampler.Estimate(now, s.fleet.endpoints[failingEndpoint]); got.Failures > round.failures/2 {
		s.outcome.failureDetectedIn = min(s.outcome.failureDetectedIn, r-overloadChangeRound)
	}
	growing := s.fleet.endpoints[growingEndpoint]
	want := round.attempts[growing]
	if got, _ := s.sampler.Estimate(now, growing); math.Abs(got.Attempts-want) < want/5 {
		s.outcome.growthDetectedIn = min(s.outcome.growthDetectedIn, r-overloadChangeRound)
	}
}

// With eight times the load that can be processed, sampling shows a failure in the round in which it happens, while a queue
// of the oldest reports delays it by many rounds. The errors of the sampled estimates are at most a quarter larger.
func TestSamplingAgainstOldestFirst(t *testing.T) {
	all, oldest, sampling := newOverloadRun(acceptAll).run(), newOverloadRun(acceptOldestFirst).run(), newOverloadRun(acceptSampled).run()
	t.Logf("all %+v, oldest first %+v, sampling %+v", all, oldest, sampling)
	if sampling.failureDetectedIn > 0 || oldest.failureDetectedIn < 10 || sampling.linesPerRound > overloadMaxLines ||
		sampling.meanError > 1.25*oldest.meanError {
		t.Error("want sampling to detect the failure in its round, at least 10 rounds before oldest first, within the limit of lines " +
			"and with errors at most a quarter larger")
	}
}
