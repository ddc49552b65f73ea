package xds

import (
	"fmt"
	"time"

	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	loadv3 "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
)

const (
	maxCount         = 10_000_000 // upper limit of each count in a report, because receivers add counts up
	maxMeanLatencyMS = 1e6
)

// ParseLoadReport converts a load report. The interval is the longest of all classes. It returns an error that wraps
// ErrInvalidMessage if the node or a mean latency is invalid, or a count is above ten million.
func ParseLoadReport(request *loadv3.LoadStatsRequest) (node Node, interval time.Duration, classes []ClassReport, err error) {
	node, err = ParseNode(request.Node)
	if err != nil {
		return node, 0, nil, err
	}
	for _, stats := range request.ClusterStats {
		interval = max(interval, stats.GetLoadReportInterval().AsDuration())
		class, err := parseClusterStats(stats)
		if err != nil {
			return node, 0, nil, err
		}
		classes = append(classes, class)
	}
	return node, interval, classes, nil
}

func parseClusterStats(stats *endpointv3.ClusterStats) (report ClassReport, err error) {
	report.Class = stats.ClusterName
	report.Rejected, err = parseCount(stats.TotalDroppedRequests)
	if err != nil {
		return report, err
	}
	attempts := 0
	hasArrivals := false
	for _, locality := range stats.UpstreamLocalityStats {
		reported, err := report.parseTotals(locality.LoadMetricStats)
		if err != nil {
			return report, err
		}
		hasArrivals = hasArrivals || reported
		for _, endpointStats := range locality.UpstreamEndpointStats {
			endpoint, err := parseEndpointStats(endpointStats, locality.GetLocality().GetZone())
			if err != nil {
				return report, err
			}
			attempts += endpoint.Attempts
			report.Endpoints = append(report.Endpoints, endpoint)
		}
	}
	if !hasArrivals { // a plain proxy reports only the requests that it sent and those that it rejected
		report.Arrived = attempts + report.Rejected
	}
	return report, nil
}

// parseTotals reads the totals of the gateway itself, and reports whether arrivals are among them.
func (r *ClassReport) parseTotals(metrics []*endpointv3.EndpointLoadMetricStats) (hasArrivals bool, err error) {
	for _, metric := range metrics {
		switch metric.MetricName {
		case metricArrived:
			hasArrivals = true
			r.Arrived, err = parseCount(metric.NumRequestsFinishedWithMetric)
		case metricFailures:
			r.Failures, err = parseCount(uint64(max(0, min(metric.TotalMetricValue, maxCount+1))))
		}
		if err != nil {
			return hasArrivals, err
		}
	}
	return hasArrivals, nil
}

func parseCount(count uint64) (int, error) {
	if count > maxCount {
		return 0, fmt.Errorf("%w: a count is %d: it must be at most 10000000", ErrInvalidMessage, count)
	}
	return int(count), nil
}

func parseEndpointStats(stats *endpointv3.UpstreamEndpointStats, zone string) (report EndpointReport, err error) {
	report = EndpointReport{Address: hostport(stats.GetAddress()), Zone: zone}
	successes, err := parseCount(stats.TotalSuccessfulRequests)
	if err != nil {
		return report, err
	}
	report.Failures, err = parseCount(stats.TotalErrorRequests)
	if err != nil {
		return report, err
	}
	report.InFlight, err = parseCount(stats.TotalRequestsInProgress)
	if err != nil {
		return report, err
	}
	report.Attempts = successes + report.Failures
	for _, metric := range stats.LoadMetricStats {
		if err := report.parseMetric(metric); err != nil {
			return report, err
		}
	}
	return report, nil
}

func (r *EndpointReport) parseMetric(metric *endpointv3.EndpointLoadMetricStats) error {
	samples := float64(metric.NumRequestsFinishedWithMetric)
	if samples == 0 {
		return nil
	}
	mean := metric.TotalMetricValue / samples
	if metric.MetricName == metricLatency {
		if !(mean >= 0 && mean < maxMeanLatencyMS) { // NaN is invalid as well
			return fmt.Errorf("%w: %s: mean latency is %v ms: it must be at least 0 and below 1000000 ms",
				ErrInvalidMessage, r.Address, mean)
		}
		r.MeanLatency = time.Duration(mean * float64(time.Millisecond))
		return nil
	}
	if r.Metrics == nil {
		r.Metrics = map[string]float64{}
	}
	r.Metrics[metric.MetricName] = mean
	r.MetricSamples = int(min(samples, maxCount))
	return nil
}
