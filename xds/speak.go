package xds

import (
	"fmt"
	"math"
	"strconv"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	loadv3 "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	matcherv3 "github.com/envoyproxy/go-control-plane/envoy/type/matcher/v3"
	statusv3 "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/structpb"

	"porthub/policyapi"
	"porthub/routing"
)

// The paths on which messages are posted. Those for documents are the published ones of REST xDS; load reports have
// only a gRPC method, whose path is used.
const (
	EndpointPath   = "/v3/discovery:endpoints"
	RoutePath      = "/v3/discovery:routes"
	LoadReportPath = "/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats"
)

// Names in a node's metadata, and of the named load metrics in a report.
const (
	metaStanding = "standing_table"
	metaWeight   = "usual_reqs_per_s"
	metaReport   = "report_number"
	metaChecksum = "held_checksum"
	metaHeld     = "held_versions"
	metaPoll     = "polls"
	metaHold     = "hold_ms"

	metricAnswer  = "answer_ms"
	metricArrived = "arrived"
	metricErrored = "errored"
	dropAdmission = "admission"
)

// Node is how a gateway names itself.
type Node struct {
	Name         string
	Zone         string
	InitialTable bool    // it holds only its standing table
	UsualRate    float64 // usual reqs a second
	ReportNumber uint64  // number of the report that this message carries, from 1
	Checksum     uint64  // of all that it holds (tables.Checksum); 0: it does not say
	// Versions are the versions of endpoints and routes that the checksum is of; empty: it does not say.
	Versions [routing.DocumentCount]string
	Polls    bool // it polls for its tables; else it reads files
	MaxWait  time.Duration
}

func (n Node) message() *corev3.Node {
	fields := map[string]any{metaStanding: n.InitialTable, metaWeight: n.UsualRate, metaReport: float64(n.ReportNumber)}
	if n.Polls {
		fields[metaPoll] = true
	}
	if n.MaxWait > 0 {
		fields[metaHold] = float64(n.MaxWait.Milliseconds())
	}
	if n.Checksum != 0 {
		fields[metaChecksum] = strconv.FormatUint(n.Checksum, 16)
		if n.Versions != ([routing.DocumentCount]string{}) {
			fields[metaHeld] = []any{n.Versions[0], n.Versions[1]}
		}
	}
	meta, _ := structpb.NewStruct(fields)
	return &corev3.Node{Id: n.Name, Cluster: "gateways", Locality: &corev3.Locality{Zone: n.Zone}, Metadata: meta,
		UserAgentName: "porthub"}
}

// ParseNode reads a node; the error says which part is missing.
func ParseNode(n *corev3.Node) (Node, error) {
	if n.GetId() == "" || len(n.GetId()) > 200 {
		return Node{}, fmt.Errorf("%w: node.id is missing or longer than 200 bytes", ErrInvalidMessage)
	}
	for _, r := range n.Id {
		// The name becomes a folder's.
		if (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9') && r != '-' && r != '_' && r != '.' {
			return Node{}, fmt.Errorf("%w: node.id %q: only letters, digits, - _ and . are taken", ErrInvalidMessage, n.Id)
		}
	}
	if n.Id[0] == '.' {
		return Node{}, fmt.Errorf("%w: node.id %q begins with a dot", ErrInvalidMessage, n.Id)
	}
	meta := n.GetMetadata().GetFields()
	node := Node{Name: n.Id, Zone: n.GetLocality().GetZone(), InitialTable: meta[metaStanding].GetBoolValue(),
		UsualRate: meta[metaWeight].GetNumberValue()}
	if report := meta[metaReport].GetNumberValue(); report > 0 && report < 1<<53 {
		node.ReportNumber = uint64(report)
	}
	node.Polls = meta[metaPoll].GetBoolValue()
	if hold := meta[metaHold].GetNumberValue(); hold > 0 && hold <= 600_000 {
		node.MaxWait = time.Duration(hold) * time.Millisecond
	} else if hold != 0 {
		return Node{}, fmt.Errorf("%w: node.metadata.%s is %v: it must be 0 to 600000", ErrInvalidMessage, metaHold, hold)
	}
	if text := meta[metaChecksum].GetStringValue(); text != "" {
		sum, err := strconv.ParseUint(text, 16, 64)
		if err != nil {
			return Node{}, fmt.Errorf("%w: node.metadata.%s is %q, no number of base 16", ErrInvalidMessage, metaChecksum, text)
		}
		node.Checksum = sum
		if held := meta[metaHeld].GetListValue().GetValues(); len(held) == routing.DocumentCount {
			for d, v := range held {
				node.Versions[d] = v.GetStringValue()
			}
		} else if len(held) > 0 {
			return Node{}, fmt.Errorf("%w: node.metadata.%s names %d versions, not those of endpoints and routes", ErrInvalidMessage, metaHeld, len(held))
		}
	}
	if math.IsNaN(node.UsualRate) || node.UsualRate < 0 || node.UsualRate > 1e7 {
		return Node{}, fmt.Errorf("%w: node.metadata.%s is %v", ErrInvalidMessage, metaWeight, node.UsualRate)
	}
	return node, nil
}

// NewAcknowledgement says which version of a document a gateway holds; why is empty, or says why the one with the nonce was
// refused.
func NewAcknowledgement(n Node, typeURL, version, nonce, why string) *discoveryv3.DiscoveryRequest {
	r := &discoveryv3.DiscoveryRequest{Node: n.message(), TypeUrl: typeURL, VersionInfo: version, ResponseNonce: nonce}
	if why != "" {
		r.ErrorDetail = &statusv3.Status{Code: 3, Message: why}
	}
	return r
}

// ClassReport and Endpoint are a report's parts, in reqs and tries in the interval.
type (
	ClassReport struct {
		Class     string
		Arrived   int
		Rejected  int
		Failures  int
		Endpoints []EndpointReport
	}
	EndpointReport struct {
		Address       string
		Zone          string
		Attempts      int // that ended
		Failures      int // of them
		InFlight      int
		MeanLatency   time.Duration      // mean of the answered ones
		Metrics       map[string]float64 // mean of what answers carried, by ORCA name
		MetricSamples int                // answers that carried it
	}
)

// NewLoadReport makes a report of what a gateway did in an interval.
func NewLoadReport(n Node, interval time.Duration, kinds []ClassReport) *loadv3.LoadStatsRequest {
	r := &loadv3.LoadStatsRequest{Node: n.message()}
	for _, k := range kinds {
		stats := &endpointv3.ClusterStats{ClusterName: k.Class, LoadReportInterval: durationpb.New(interval),
			TotalDroppedRequests: uint64(k.Rejected)}
		if k.Rejected > 0 {
			stats.DroppedRequests = []*endpointv3.ClusterStats_DroppedRequests{{Category: dropAdmission, DroppedCount: uint64(k.Rejected)}}
		}
		zones := map[string]*endpointv3.UpstreamLocalityStats{}
		// What comes to the gateway itself stands in its own locality.
		own := &endpointv3.UpstreamLocalityStats{Locality: &corev3.Locality{Zone: n.Zone}, LoadMetricStats: []*endpointv3.EndpointLoadMetricStats{
			{MetricName: metricArrived, NumRequestsFinishedWithMetric: uint64(k.Arrived), TotalMetricValue: float64(k.Arrived)},
			{MetricName: metricErrored, NumRequestsFinishedWithMetric: uint64(k.Arrived), TotalMetricValue: float64(k.Failures)}}}
		zones[n.Zone] = own
		stats.UpstreamLocalityStats = append(stats.UpstreamLocalityStats, own)
		for _, e := range k.Endpoints {
			z := zones[e.Zone]
			if z == nil {
				z = &endpointv3.UpstreamLocalityStats{Locality: &corev3.Locality{Zone: e.Zone}}
				zones[e.Zone] = z
				stats.UpstreamLocalityStats = append(stats.UpstreamLocalityStats, z)
			}
			address, err := Address(e.Address)
			if err != nil {
				continue
			}
			done := uint64(e.Attempts - e.Failures)
			s := &endpointv3.UpstreamEndpointStats{Address: address, TotalIssuedRequests: uint64(e.Attempts),
				TotalSuccessfulRequests: done, TotalErrorRequests: uint64(e.Failures), TotalRequestsInProgress: uint64(e.InFlight)}
			if done > 0 {
				s.LoadMetricStats = append(s.LoadMetricStats, &endpointv3.EndpointLoadMetricStats{MetricName: metricAnswer,
					NumRequestsFinishedWithMetric: done, TotalMetricValue: float64(done) * float64(e.MeanLatency) / float64(time.Millisecond)})
			}
			for _, name := range []string{"util", "queue", "qps"} {
				if v, has := e.Metrics[name]; has && e.MetricSamples > 0 {
					s.LoadMetricStats = append(s.LoadMetricStats, &endpointv3.EndpointLoadMetricStats{MetricName: name,
						NumRequestsFinishedWithMetric: uint64(e.MetricSamples), TotalMetricValue: v * float64(e.MetricSamples)})
				}
			}
			z.UpstreamEndpointStats = append(z.UpstreamEndpointStats, s)
			z.TotalIssuedRequests += uint64(e.Attempts)
			z.TotalSuccessfulRequests += done
			z.TotalErrorRequests += uint64(e.Failures)
			z.TotalRequestsInProgress += uint64(e.InFlight)
		}
		r.ClusterStats = append(r.ClusterStats, stats)
	}
	return r
}

// ParseLoadReport reads a report. Counts over mostCount are an error: what follows adds them up.
func ParseLoadReport(r *loadv3.LoadStatsRequest) (n Node, interval time.Duration, kinds []ClassReport, err error) {
	if n, err = ParseNode(r.Node); err != nil {
		return n, 0, nil, err
	}
	for _, c := range r.ClusterStats {
		k := ClassReport{Class: c.ClusterName}
		interval = max(interval, c.GetLoadReportInterval().AsDuration())
		if k.Rejected, err = count(c.TotalDroppedRequests); err != nil {
			return n, 0, nil, err
		}
		issued, told := 0, false
		for _, z := range c.UpstreamLocalityStats {
			for _, m := range z.LoadMetricStats {
				switch m.MetricName {
				case metricArrived:
					told = true
					k.Arrived, err = count(m.NumRequestsFinishedWithMetric)
				case metricErrored:
					k.Failures, err = count(uint64(max(0, min(m.TotalMetricValue, mostCount+1))))
				}
				if err != nil {
					return n, 0, nil, err
				}
			}
			for _, s := range z.UpstreamEndpointStats {
				e, err := readEndpoint(s, z.GetLocality().GetZone())
				if err != nil {
					return n, 0, nil, err
				}
				issued += e.Attempts
				k.Endpoints = append(k.Endpoints, e)
			}
		}
		if !told { // a plain proxy names no arrivals: what it sent and what it turned away
			k.Arrived = issued + k.Rejected
		}
		kinds = append(kinds, k)
	}
	return n, interval, kinds, nil
}

const mostCount = 10_000_000

func count(v uint64) (int, error) {
	if v > mostCount {
		return 0, fmt.Errorf("%w: a count of %d", ErrInvalidMessage, v)
	}
	return int(v), nil
}

func readEndpoint(s *endpointv3.UpstreamEndpointStats, zone string) (e EndpointReport, err error) {
	e = EndpointReport{Address: hostport(s.GetAddress()), Zone: zone}
	var done int
	if done, err = count(s.TotalSuccessfulRequests); err != nil {
		return e, err
	}
	if e.Failures, err = count(s.TotalErrorRequests); err != nil {
		return e, err
	}
	if e.InFlight, err = count(s.TotalRequestsInProgress); err != nil {
		return e, err
	}
	e.Attempts = done + e.Failures
	for _, m := range s.LoadMetricStats {
		n := float64(m.NumRequestsFinishedWithMetric)
		if n == 0 {
			continue
		}
		mean := m.TotalMetricValue / n
		if m.MetricName == metricAnswer {
			if !(mean >= 0 && mean < 1e6) {
				return e, fmt.Errorf("%w: %s: a mean answer of %v ms", ErrInvalidMessage, e.Address, mean)
			}
			e.MeanLatency = time.Duration(mean * float64(time.Millisecond))
			continue
		}
		if e.Metrics == nil {
			e.Metrics = map[string]float64{}
		}
		e.Metrics[m.MetricName], e.MetricSamples = mean, int(min(n, mostCount))
	}
	return e, nil
}

// NewLoadReportResponse answers a report: which clusters are wanted and how often.
func NewLoadReportResponse(period policyapi.Microseconds) *loadv3.LoadStatsResponse {
	return &loadv3.LoadStatsResponse{SendAllClusters: true, ReportEndpointGranularity: true,
		LoadReportingInterval: durationpb.New(time.Duration(period) * time.Microsecond)}
}

func exact(s string) *matcherv3.StringMatcher {
	return &matcherv3.StringMatcher{MatchPattern: &matcherv3.StringMatcher_Exact{Exact: s}}
}
