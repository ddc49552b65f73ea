package xds

import (
	"fmt"
	"strconv"
	"strings"
)

// ORCAHeader is the response header in which backends report their load (ORCA, TEXT format).
const ORCAHeader = "endpoint-load-metrics"

// FormatORCA writes load figures for the header: util as cpu_utilization, qps as rps_fractional, others as named metrics.
func FormatORCA(util, queue float64) string {
	return fmt.Sprintf("TEXT cpu_utilization=%.4g, named_metrics.queue=%.4g", util, queue)
}

// ParseORCA reads the header by our names. What is not known or malformed is left out; nil if nothing is left.
func ParseORCA(header string) map[string]float64 {
	rest, is := strings.CutPrefix(header, "TEXT ")
	if !is {
		return nil
	}
	var loads map[string]float64
	for _, pair := range strings.Split(rest, ",") {
		name, text, _ := strings.Cut(strings.TrimSpace(pair), "=")
		v, err := strconv.ParseFloat(text, 64)
		if err != nil || !(v >= 0 && v < 1e9) {
			continue
		}
		switch name {
		case "cpu_utilization":
			name = "util"
		case "rps_fractional":
			name = "qps"
		case "named_metrics.queue":
			name = "queue"
		default:
			continue
		}
		if loads == nil {
			loads = map[string]float64{}
		}
		loads[name] = v
	}
	return loads
}
