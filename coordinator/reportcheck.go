package coordinator

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"porthub/policyapi"
)

// Limits on the values in one report, which comes from a single process.
const (
	maxReportInterval = 120 * second
	maxReportCount    = 10_000_000
	maxMetric         = 1e9
)

var errReportInvalid = errors.New("invalid load report")

// classNamed returns the request class with a name; of several with the same name, the last.
func (c *Core) classNamed(name string) (policyapi.RequestClass, bool) {
	for i, class := range slices.Backward(c.settings.Start.Classes) {
		if class.Name == name {
			return policyapi.RequestClass(i), true
		}
	}
	return 0, false
}

// validateReport checks the values in a report. Its error wraps errReportInvalid.
func (c *Core) validateReport(r LoadReport) error {
	if r.Interval <= 0 || r.Interval > maxReportInterval {
		return fmt.Errorf("%w: interval of %.1f s is not between 0 and %.0f s", errReportInvalid, seconds(r.Interval), seconds(maxReportInterval))
	}
	named := map[string]bool{}
	for _, class := range r.Classes {
		if _, ok := c.classNamed(class.Class); !ok || named[class.Class] {
			return fmt.Errorf("%w: cluster %q is not a request class or appears twice", errReportInvalid, class.Class)
		}
		named[class.Class] = true
		if err := class.validate(); err != nil {
			return err
		}
	}
	return nil
}

func (r ClassReport) validate() error {
	for _, n := range []int{r.Arrivals, r.Rejected, r.Failures} {
		if n < 0 || n > maxReportCount {
			return fmt.Errorf("%w: cluster %q has a count of %d requests, want 0 to %d", errReportInvalid, r.Class, n, maxReportCount)
		}
	}
	for _, line := range r.Endpoints {
		if err := line.validate(); err != nil {
			return fmt.Errorf("%w: cluster %q, endpoint %s: %w", errReportInvalid, r.Class, line.Endpoint, err)
		}
	}
	return nil
}

func (r EndpointReport) validate() error {
	validCounts := r.Attempts >= 0 && r.Attempts <= maxReportCount && r.Failures >= 0 && r.Failures <= r.Attempts
	if !validCounts || r.MeanLatency < 0 || r.MeanLatency > maxReportInterval {
		return fmt.Errorf("counts or latency out of range: %d attempts, %d failures, mean latency %d us", r.Attempts, r.Failures, r.MeanLatency)
	}
	for name, v := range r.Metrics {
		if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 || v > maxMetric {
			return fmt.Errorf("metric %q is %v, want 0 to %.0f", name, v, maxMetric)
		}
	}
	return nil
}
