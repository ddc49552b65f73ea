package loadreport

import (
	"slices"

	"porthub/policyapi"
)

const (
	// minFraction is the least part of routine lines that is taken: a gateway is sampled every 32nd report at worst.
	minFraction = 1.0 / 32
	// plannedLoad is the part of the limit that is planned for.
	plannedLoad = 0.9
	// fractionGrowth is by how much the fraction may grow per round; it falls at once.
	fractionGrowth = 1.25
	// intervalHysteresis is by how much the fraction must exceed a step's before the interval gets shorter again.
	intervalHysteresis = 1.25
)

// EndRound ends a round: it makes the estimates from what was taken and plans the fraction for the next round from what
// came. It returns the names of the gateways that have gone silent since the last round, in order.
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

// countGateways counts the connected gateways and returns those that have gone silent, in order.
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

// connectedGateways returns the number of connected gateways. Those that have gone silent go on sending requests: they
// count as the mean of the others, and in the error.
func (s *Sampler) connectedGateways() float64 { return float64(s.stats.Reporting + s.stats.Silent) }

// planFraction sets the fraction of routine lines so that they fit into the limit together with the health signals.
func (s *Sampler) planFraction(seconds float64) {
	capacity := max(0, plannedLoad*s.settings.MaxLinesPerSecond*seconds-s.round.healthSignals)
	fraction := 1.0
	if routine := s.round.offeredLines - s.round.healthSignals; routine > capacity {
		fraction = max(minFraction, capacity/routine)
	}
	if fraction < s.fraction {
		s.fraction = fraction
		return
	}
	s.fraction = min(fraction, s.fraction*fractionGrowth)
}

// planInterval sets the interval factor by what would come if all gateways reported once a period: by what does come, a
// longer interval would end as soon as it has helped.
func (s *Sampler) planInterval() {
	reports := float64(max(1, s.round.reports))
	offered := s.round.offeredLines / reports * float64(s.stats.Reporting) * microsecondsPerSecond / float64(max(1, s.settings.Period))
	if offered > 0 {
		s.intervalFactor = nextIntervalFactor(s.intervalFactor, plannedLoad*s.settings.MaxLinesPerSecond/offered)
	}
}

// intervalSteps are the interval factors by the fraction of lines below which they apply.
var intervalSteps = [...]struct {
	below  float64
	factor int
}{{0.15, 4}, {0.4, 2}}

// nextIntervalFactor returns the factor by the fraction of lines that can be taken if all gateways report once a period.
// It rises at once and falls with hysteresis, so that it does not oscillate.
func nextIntervalFactor(current int, fraction float64) int {
	for _, step := range intervalSteps {
		if fraction < step.below || current >= step.factor && fraction < intervalHysteresis*step.below {
			return step.factor
		}
	}
	return 1
}
