package loadreport

import (
	"math"

	"porthub/policyapi"
)

const (
	// errorSigmas is the number of standard deviations in the error of an estimate. Two cover 19 of 20 cases.
	errorSigmas = 2.0
	// driftPerPeriod is the fraction by which a figure may have changed in a period without reports.
	driftPerPeriod = 0.1
	// minDriftingUtilization and minDriftingQueue are the minimum utilization and queue length for the calculation of
	// drift, since a small figure may change by more than a fraction of itself.
	minDriftingUtilization = 0.1
	minDriftingQueue       = 1
)

// Estimate is the load of an endpoint, estimated from the reports of one round. Its error fields are half-widths of intervals
// that contain the true value in 19 of 20 cases.
type Estimate struct {
	Attempts         float64                `json:"tries_per_s"` // per second
	AttemptsError    float64                `json:"tries_error"`
	Failures         float64                `json:"errored_per_s"` // per second
	Utilization      float64                `json:"util"`
	UtilizationError float64                `json:"util_error"`
	Queue            float64                `json:"queue"`
	QueueError       float64                `json:"queue_error"`
	Lines            int                    `json:"lines"` // accepted lines
	At               policyapi.Microseconds `json:"at_us"` // end of the round
}

// addDrift adds the given fraction of each figure to its error.
func (e *Estimate) addDrift(fraction float64) {
	e.AttemptsError += fraction * e.Attempts
	e.UtilizationError += fraction * max(e.Utilization, minDriftingUtilization)
	e.QueueError += fraction * max(e.Queue, minDriftingQueue)
}

// endpointRound sums the accepted lines of an endpoint in one round.
type endpointRound struct {
	attempts           float64 // per second, weighted sum over the received reports
	failures           float64 // per second, weighted sum over the received reports
	squaredAttempts    float64 // weighted sum of the squared rates
	variance           float64 // of attempts, from sampling and from random arrivals
	lines              int
	utilization, queue metric
	last               Estimate // of the last round in which a line was accepted
}

// add adds a line that counts for weight lines.
func (e *endpointRound) add(line EndpointLine, weight float64, decision SamplingDecision) {
	attempts := float64(line.Attempts) * decision.TrustedFraction / decision.seconds
	e.attempts += weight * attempts
	e.failures += weight * float64(line.Failures) * decision.TrustedFraction / decision.seconds
	e.lines++
	e.squaredAttempts += weight * attempts * attempts
	e.variance += weight * (weight - 1) * attempts * attempts // from accepting a line with probability 1/weight
	e.variance += weight * attempts / decision.seconds        // from random arrivals: a count of n has the variance n
}

// metric sums the values of a metric that an endpoint reports about itself.
type metric struct {
	count, sum, squares float64
}

func (m *metric) add(v float64) {
	m.count++
	m.sum += v
	m.squares += v * v
}

// mean returns the mean and its error, both 0 without values.
func (m *metric) mean() (mean, meanError float64) {
	if m.count == 0 {
		return 0, 0
	}
	mean = m.sum / m.count
	return mean, errorSigmas * math.Sqrt(max(0, m.squares/m.count-mean*mean)/m.count)
}

// Estimate returns the last estimate of an endpoint, whose errors grow with its age. The result ok is false if there is none.
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

// estimateEndpoints turns the sums of the round into estimates. Endpoints without an accepted line keep their last estimate.
func (s *Sampler) estimateEndpoints(now policyapi.Microseconds) {
	gateways := s.connectedGateways()
	reports := float64(max(1, s.round.reports))
	scale := gateways / reports
	// A report that covers several periods gives their mean, which describes the load at the middle of that time.
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

// missingVariance returns the variance of an endpoint's attempts that results from gateways that did not report and may
// differ from those that did. A gateway that reported twice because its previous report was late counts twice but adds little
// information.
func (s *Sampler) missingVariance(e *endpointRound, gateways, reports float64) float64 {
	mean := e.attempts / reports
	return gateways * gateways * max(0, s.round.squaredReports/(reports*reports)-1/max(1, gateways)) * max(0, e.squaredAttempts/reports-mean*mean)
}
