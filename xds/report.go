package xds

import (
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	loadv3 "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	"google.golang.org/protobuf/types/known/durationpb"

	"porthub/policyapi"
)

// ClassReport counts the requests of one class that a gateway handled in an interval.
type ClassReport struct {
	Class     string
	Arrived   int
	Rejected  int // rejected by admission control
	Failures  int
	Endpoints []EndpointReport
}

// EndpointReport has the counts and measurements of the attempts that a gateway made at one endpoint in an interval.
type EndpointReport struct {
	Address       string
	Zone          string
	Attempts      int                // completed attempts
	Failures      int                // completed attempts that failed
	InFlight      int                // attempts in progress
	MeanLatency   time.Duration      // of successful attempts
	Metrics       map[string]float64 // means of the load metrics in responses, by the names that ParseORCA returns
	MetricSamples int                // number of responses with load metrics
}

// endpointMetrics are the load metrics of an EndpointReport, in the order in which they are sent.
var endpointMetrics = []string{"util", "queue", "qps"}

// NewLoadReport returns a gateway's load report for an interval. Endpoints whose address is not host:port are left out.
func NewLoadReport(node Node, interval time.Duration, classes []ClassReport) *loadv3.LoadStatsRequest {
	request := &loadv3.LoadStatsRequest{Node: node.message()}
	for _, class := range classes {
		request.ClusterStats = append(request.ClusterStats, newClusterStats(node.Zone, interval, class))
	}
	return request
}

func newClusterStats(zone string, interval time.Duration, class ClassReport) *endpointv3.ClusterStats {
	builder := clusterStatsBuilder{
		localities: map[string]*endpointv3.UpstreamLocalityStats{},
		stats: &endpointv3.ClusterStats{
			ClusterName:          class.Class,
			LoadReportInterval:   durationpb.New(interval),
			TotalDroppedRequests: uint64(class.Rejected),
		},
	}
	if class.Rejected > 0 {
		builder.stats.DroppedRequests = []*endpointv3.ClusterStats_DroppedRequests{{
			Category:     dropCategory,
			DroppedCount: uint64(class.Rejected),
		}}
	}
	// The totals of the gateway itself are reported in its own locality, which is therefore always present.
	builder.locality(zone).LoadMetricStats = []*endpointv3.EndpointLoadMetricStats{
		{MetricName: metricArrived, NumRequestsFinishedWithMetric: uint64(class.Arrived), TotalMetricValue: float64(class.Arrived)},
		{MetricName: metricFailures, NumRequestsFinishedWithMetric: uint64(class.Arrived), TotalMetricValue: float64(class.Failures)},
	}
	for _, endpoint := range class.Endpoints {
		builder.add(endpoint)
	}
	return builder.stats
}

// clusterStatsBuilder groups endpoints by locality.
type clusterStatsBuilder struct {
	stats      *endpointv3.ClusterStats
	localities map[string]*endpointv3.UpstreamLocalityStats // by zone
}

func (b *clusterStatsBuilder) locality(zone string) *endpointv3.UpstreamLocalityStats {
	locality := b.localities[zone]
	if locality == nil {
		locality = &endpointv3.UpstreamLocalityStats{Locality: &corev3.Locality{Zone: zone}}
		b.localities[zone] = locality
		b.stats.UpstreamLocalityStats = append(b.stats.UpstreamLocalityStats, locality)
	}
	return locality
}

func (b *clusterStatsBuilder) add(report EndpointReport) {
	locality := b.locality(report.Zone) // added even if the endpoint is left out
	address, err := Address(report.Address)
	if err != nil {
		return
	}
	stats := newEndpointStats(address, report)
	locality.UpstreamEndpointStats = append(locality.UpstreamEndpointStats, stats)
	locality.TotalIssuedRequests += stats.TotalIssuedRequests
	locality.TotalSuccessfulRequests += stats.TotalSuccessfulRequests
	locality.TotalErrorRequests += stats.TotalErrorRequests
	locality.TotalRequestsInProgress += stats.TotalRequestsInProgress
}

func newEndpointStats(address *corev3.Address, report EndpointReport) *endpointv3.UpstreamEndpointStats {
	successes := uint64(report.Attempts - report.Failures)
	stats := &endpointv3.UpstreamEndpointStats{
		Address:                 address,
		TotalIssuedRequests:     uint64(report.Attempts),
		TotalSuccessfulRequests: successes,
		TotalErrorRequests:      uint64(report.Failures),
		TotalRequestsInProgress: uint64(report.InFlight),
	}
	if successes > 0 {
		stats.LoadMetricStats = append(stats.LoadMetricStats, &endpointv3.EndpointLoadMetricStats{
			MetricName:                    metricLatency,
			NumRequestsFinishedWithMetric: successes,
			TotalMetricValue:              float64(successes) * float64(report.MeanLatency) / float64(time.Millisecond),
		})
	}
	for _, name := range endpointMetrics {
		mean, ok := report.Metrics[name]
		if !ok || report.MetricSamples <= 0 {
			continue
		}
		stats.LoadMetricStats = append(stats.LoadMetricStats, &endpointv3.EndpointLoadMetricStats{
			MetricName:                    name,
			NumRequestsFinishedWithMetric: uint64(report.MetricSamples),
			TotalMetricValue:              mean * float64(report.MetricSamples),
		})
	}
	return stats
}

// NewLoadReportResponse returns the response to a load report. It requests reports of all clusters, one in each period.
func NewLoadReportResponse(period policyapi.Microseconds) *loadv3.LoadStatsResponse {
	return &loadv3.LoadStatsResponse{
		SendAllClusters:           true,
		ReportEndpointGranularity: true,
		LoadReportingInterval:     durationpb.New(time.Duration(period) * time.Microsecond),
	}
}
