package proxyproto

import (
	"math"
	"strings"

	"porthub/policyapi"
)

// MetricNames maps the names of load metrics on the platform to those of the decision module. The protocol's specification has
// its own names, while settings and reports use the module's; both are accepted.
var MetricNames = map[string]string{
	"inflight":   "rif",
	"util":       "busy",
	"queue":      "q",
	"qps":        "rate",
	"eps":        "fail_rate",
	"latency_ms": "lat_ms",

	"rif":       "rif",
	"busy":      "busy",
	"q":         "q",
	"rate":      "rate",
	"fail_rate": "fail_rate",
	"lat_ms":    "lat_ms",
}

// parseLoadReport parses a load report of the form name:value,name:value. A report with an invalid value is rejected completely,
// since its other values can't be relied on. Unknown names are ignored; "" and "-" are reports without values.
func parseLoadReport(text string) (policyapi.LoadMetrics, bool) {
	if text == "" || text == "-" {
		return nil, true
	}
	metrics := policyapi.LoadMetrics{}
	for pair := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(pair, ":")
		v, ok := parseDecimal(value)
		if !ok || v < 0 || v > math.MaxInt32 || name == "" {
			return nil, false
		}
		if known, has := MetricNames[name]; has {
			metrics[known] = v
		}
	}
	return metrics, true
}

// ParseMetrics converts the JSON object of a load report. Values that are not numbers, and unknown names, are ignored.
func ParseMetrics(report map[string]any) policyapi.LoadMetrics {
	metrics := policyapi.LoadMetrics{}
	for name, value := range report {
		v, isNumber := value.(float64)
		if known, has := MetricNames[name]; isNumber && has && v >= 0 && v <= math.MaxInt32 {
			metrics[known] = v
		}
	}
	return metrics
}
