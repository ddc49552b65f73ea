package loadreport

import (
	"slices"

	"porthub/policyapi"
)

const (
	// minSampledFraction is the minimum fraction of routine lines that is accepted: each gateway is sampled at least once in
	// 32 of its reports.
	minSampledFraction = 1.0 / 32
	// plannedLoadFraction is the fraction of MaxLinesPerSecond up to which lines are planned to be accepted.
	plannedLoadFraction = 0.9
	// fractionGrowth is the maximum factor by which the sampled fraction grows per round. It falls without a limit.
	fractionGrowth = 1.25
	// intervalHysteresis is the factor by which the fraction must exceed the threshold of an interval step before the
	// interval gets shorter again.
	intervalHysteresis = 1.25
)

// EndRound ends a round: it makes estimates from the accepted lines and plans the sampled fraction of the next round from the
// received ones. It returns the names of the gateways that have gone silent since the last round, sorted.
func (s *Sampler) EndRound(now policyapi.Microseconds) (silent []string) {
	seconds := float64(now-s.round.startedAt) / microsecondsPerSecond
	if seconds <= 0 {
		return nil
	}
	silent = s.countGateways(now)
	s.stats.ReportsPerGateway = float64(s.round.reports) / max(1, s.connectedGateways())
	s.stats.Rounds++
	if s.fraction < 1 {
		s.stats.SampledRounds++
	}
	s.estimateEndpoints(now)
	if s.round.trustedReports > 0 {
		s.meanDemand = s.round.trustedDemand / float64(s.round.trustedReports)
	}
	if s.settings.MaxLinesPerSecond > 0 {
		s.planFraction(seconds)
		s.planInterval()
	}
	s.stats.SampledFraction = s.fraction
	s.roundNumber++
	s.round = roundTotals{startedAt: now}
	return silent
}

// countGateways counts the reporting and the silent gateways among the connected ones. It returns the names of those that
// have newly gone silent, sorted.
func (s *Sampler) countGateways(now policyapi.Microseconds) (silent []string) {
	s.stats.Reporting = 0
	s.stats.Silent = 0
	timeout := silentPeriods * s.settings.Period * policyapi.Microseconds(s.intervalFactor)
	for name, g := range s.gateways {
		if !g.connected {
			continue
		}
		if now-g.lastReport <= timeout {
			s.stats.Reporting++
			continue
		}
		s.stats.Silent++
		if !g.silent {
			g.silent = true
			silent = append(silent, name)
		}
	}
	slices.Sort(silent)
	return silent
}

// connectedGateways returns the number of connected gateways, including silent ones. A silent gateway continues to send
// requests to endpoints: estimates assume the mean of the others for it, and their errors account for it.
func (s *Sampler) connectedGateways() float64 { return float64(s.stats.Reporting + s.stats.Silent) }

// planFraction sets the sampled fraction such that routine lines and health signals together stay within the planned load.
func (s *Sampler) planFraction(seconds float64) {
	capacity := max(0, plannedLoadFraction*s.settings.MaxLinesPerSecond*seconds-s.round.healthSignals)
	fraction := 1.0
	if routine := s.round.offeredLines - s.round.healthSignals; routine > capacity {
		fraction = max(minSampledFraction, capacity/routine)
	}
	if fraction < s.fraction {
		s.fraction = fraction
		return
	}
	s.fraction = min(fraction, s.fraction*fractionGrowth)
}

// planInterval sets the interval factor by the number of lines that would arrive if all gateways reported once a period. If
// it used the number that does arrive, a longer interval would end as soon as it has reduced the load.
func (s *Sampler) planInterval() {
	reports := float64(max(1, s.round.reports))
	offered := s.round.offeredLines / reports * float64(s.stats.Reporting) * microsecondsPerSecond / float64(max(1, s.settings.Period))
	if offered > 0 {
		s.intervalFactor = nextIntervalFactor(s.intervalFactor, plannedLoadFraction*s.settings.MaxLinesPerSecond/offered)
	}
}

// intervalSteps has the interval factors, each with the fraction of accepted lines below which it applies.
var intervalSteps = [...]struct {
	below  float64
	factor int
}{{0.15, 4}, {0.4, 2}}

// nextIntervalFactor returns the interval factor for the fraction of lines that can be accepted if all gateways report once a
// period. The factor rises at once and falls with hysteresis, which prevents oscillation.
func nextIntervalFactor(current int, fraction float64) int {
	for _, step := range intervalSteps {
		if fraction < step.below || current >= step.factor && fraction < intervalHysteresis*step.below {
			return step.factor
		}
	}
	return 1
}
