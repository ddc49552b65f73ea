package xds

import (
	"fmt"
	"strconv"
	"strings"
)

// ORCAHeader is the response header in which endpoints report their load, in the TEXT format of ORCA (Open Request Cost
// Aggregation).
const ORCAHeader = "endpoint-load-metrics"

// maxMetric is the exclusive upper bound of a load metric.
const maxMetric = 1e9

// metricNames maps the ORCA names of load metrics to the names in load reports.
var metricNames = map[string]string{
	"cpu_utilization":     "util",
	"rps_fractional":      "qps",
	"named_metrics.queue": "queue",
}

// FormatORCA returns the header's value for a utilization, from 0 to 1, and a queue length.
func FormatORCA(util, queue float64) string {
	return fmt.Sprintf("TEXT cpu_utilization=%.4g, named_metrics.queue=%.4g", util, queue)
}

// ParseORCA returns the load metrics in the header's value: util, queue and qps. Unknown and malformed metrics are skipped.
// The map is nil if there are no others.
func ParseORCA(header string) map[string]float64 {
	list, ok := strings.CutPrefix(header, "TEXT ")
	if !ok {
		return nil
	}
	var metrics map[string]float64
	for _, pair := range strings.Split(list, ",") {
		key, text, _ := strings.Cut(strings.TrimSpace(pair), "=")
		value, err := strconv.ParseFloat(text, 64)
		if err != nil || !(value >= 0 && value < maxMetric) { // NaN is skipped as well
			continue
		}
		name, ok := metricNames[key]
		if !ok {
			continue
		}
		if metrics == nil {
			metrics = map[string]float64{}
		}
		metrics[name] = value
	}
	return metrics
}
