package loadreport

import (
	"math"

	"porthub/policyapi"
)

const (
	// errorSigmas is the number of standard deviations in a stated error: two cover 19 of 20 cases.
	errorSigmas = 2.0
	// driftPerPeriod is the part of a figure by which it may have changed in a period without reports.
	driftPerPeriod = 0.1
	// The errors by age of utilization and queue length are parts of at least these values: a small figure may change
	// by more than a part of itself.
	minDriftingUtilization = 0.1
	minDriftingQueue       = 1
)

// Estimate is the load of an endpoint by the reports of one round. Its error fields are half-widths of intervals that contain
// the true value in 19 of 20 cases.
type Estimate struct {
	Attempts         float64                `json:"tries_per_s"` // per second
	AttemptsError    float64                `json:"tries_error"`
	Failures         float64                `json:"errored_per_s"` // per second
	Utilization      float64                `json:"util"`
	UtilizationError float64                `json:"util_error"`
	Queue            float64                `json:"queue"`
	QueueError       float64                `json:"queue_error"`
	Lines            int                    `json:"lines"` // taken
	At               policyapi.Microseconds `json:"at_us"`
}

// addDrift adds a part of each figure to its error.
func (e *Estimate) addDrift(part float64) {
	e.AttemptsError += part * e.Attempts
	e.UtilizationError += part * max(e.Utilization, minDriftingUtilization)
	e.QueueError += part * max(e.Queue, minDriftingQueue)
}

// endpointRound sums the lines of an endpoint in one round.
type endpointRound struct {
	attempts           float64 // per second, of the reports that came
	failures           float64 // per second
	squaredAttempts    float64
	variance           float64 // of attempts, by sampling and by chance
	lines              int
	utilization, queue metric
	last               Estimate // of the last round in which a line was taken
}

func (e *endpointRound) add(line EndpointLine, weight float64, decision SamplingDecision) {
	attempts := float64(line.Attempts) * decision.TrustedFraction / decision.seconds
	e.attempts += weight * attempts
	e.failures += weight * float64(line.Failures) * decision.TrustedFraction / decision.seconds
	e.lines++
	e.squaredAttempts += weight * attempts * attempts
	e.variance += weight * (weight - 1) * attempts * attempts // of taking a line with the probability 1/weight
	e.variance += weight * attempts / decision.seconds        // of counting random arrivals: that of n is n
}

// metric sums one of an endpoint's own figures.
type metric struct {
	count, sum, squares float64
}

func (m *metric) add(v float64) {
	m.count++
	m.sum += v
	m.squares += v * v
}

// mean returns the mean and its error.
func (m *metric) mean() (mean, meanError float64) {
	if m.count == 0 {
		return 0, 0
	}
	mean = m.sum / m.count
	return mean, errorSigmas * math.Sqrt(max(0, m.squares/m.count-mean*mean)/m.count)
}

// Estimate returns the estimate of an endpoint, with errors that grow with its age. ok is false if there is none.
func (s *Sampler) Estimate(now policyapi.Microseconds, id policyapi.EndpointID) (estimate Estimate, ok bool) {
	e := s.endpoints[id]
	if e == nil || e.last.At == 0 {
		return Estimate{}, false
	}
	estimate = e.last
	if missed := float64(now-estimate.At)/float64(max(1, s.settings.Period)) - 1; missed > 0 {
		estimate.addDrift(driftPerPeriod * missed)
	}
	return estimate, true
}

// estimateEndpoints turns the sums of the round into estimates. Endpoints of which no line was taken keep their last one.
func (s *Sampler) estimateEndpoints(now policyapi.Microseconds) {
	gateways := s.connectedGateways()
	reports := float64(max(1, s.round.reports))
	scale := gateways / reports
	// A report of several periods shows the mean of them, as of their middle.
	drift := driftPerPeriod * max(0, s.round.coveredSeconds*microsecondsPerSecond/reports/float64(max(1, s.settings.Period))-1) / 2
	for _, e := range s.endpoints {
		if e.lines == 0 {
			continue
		}
		estimate := Estimate{
			Attempts:      e.attempts * scale,
			AttemptsError: errorSigmas * math.Sqrt(e.variance*scale*scale+s.missingVariance(e, gateways, reports)),
			Failures:      e.failures * scale,
			Lines:         e.lines,
			At:            now,
		}
		estimate.Utilization, estimate.UtilizationError = e.utilization.mean()
		estimate.Queue, estimate.QueueError = e.queue.mean()
		estimate.addDrift(drift)
		*e = endpointRound{last: estimate}
	}
}

// missingVariance returns the variance of an endpoint's attempts by which the gateways that did not report may differ from
// those that did. A gateway that reported twice, since its last report was late, counts twice but adds little information.
func (s *Sampler) missingVariance(e *endpointRound, gateways, reports float64) float64 {
	mean := e.attempts / reports
	return gateways * gateways * max(0, s.round.squaredReports/(reports*reports)-1/max(1, gateways)) * max(0, e.squaredAttempts/reports-mean*mean)
}
