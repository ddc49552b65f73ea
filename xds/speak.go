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
	EndpointPath = "/v3/discovery:endpoints"
	RoutePath    = "/v3/discovery:routes"
	LoadPath     = "/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats"
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
	Name     string
	Zone     string
	Standing bool    // it holds only its standing table
	Weight   float64 // usual reqs a second
	Report   uint64  // number of the report that this message carries, from 1
	Checksum uint64  // of all that it holds (tables.Checksum); 0: it does not say
	// Held are the versions of endpoints and routes that the checksum is of; empty: it does not say.
	Held  [routing.DocumentCount]string
	Polls bool // it polls for its tables; else it reads files
	Hold  time.Duration
}

func (n Node) message() *corev3.Node {
	fields := map[string]any{metaStanding: n.Standing, metaWeight: n.Weight, metaReport: float64(n.Report)}
	if n.Polls {
		fields[metaPoll] = true
	}
	if n.Hold > 0 {
		fields[metaHold] = float64(n.Hold.Milliseconds())
	}
	if n.Checksum != 0 {
		fields[metaChecksum] = strconv.FormatUint(n.Checksum, 16)
		if n.Held != ([routing.DocumentCount]string{}) {
			fields[metaHeld] = []any{n.Held[0], n.Held[1]}
		}
	}
	meta, _ := structpb.NewStruct(fields)
	return &corev3.Node{Id: n.Name, Cluster: "gateways", Locality: &corev3.Locality{Zone: n.Zone}, Metadata: meta,
		UserAgentName: "porthub"}
}

// ReadNode reads a node; the error says which part is missing.
func ReadNode(n *corev3.Node) (Node, error) {
	if n.GetId() == "" || len(n.GetId()) > 200 {
		return Node{}, fmt.Errorf("%w: node.id is missing or longer than 200 bytes", ErrNotXDS)
	}
	for _, r := range n.Id {
		// The name becomes a folder's.
		if (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9') && r != '-' && r != '_' && r != '.' {
			return Node{}, fmt.Errorf("%w: node.id %q: only letters, digits, - _ and . are taken", ErrNotXDS, n.Id)
		}
	}
	if n.Id[0] == '.' {
		return Node{}, fmt.Errorf("%w: node.id %q begins with a dot", ErrNotXDS, n.Id)
	}
	meta := n.GetMetadata().GetFields()
	node := Node{Name: n.Id, Zone: n.GetLocality().GetZone(), Standing: meta[metaStanding].GetBoolValue(),
		Weight: meta[metaWeight].GetNumberValue()}
	if report := meta[metaReport].GetNumberValue(); report > 0 && report < 1<<53 {
		node.Report = uint64(report)
	}
	node.Polls = meta[metaPoll].GetBoolValue()
	if hold := meta[metaHold].GetNumberValue(); hold > 0 && hold <= 600_000 {
		node.Hold = time.Duration(hold) * time.Millisecond
	} else if hold != 0 {
		return Node{}, fmt.Errorf("%w: node.metadata.%s is %v: it must be 0 to 600000", ErrNotXDS, metaHold, hold)
	}
	if text := meta[metaChecksum].GetStringValue(); text != "" {
		sum, err := strconv.ParseUint(text, 16, 64)
		if err != nil {
			return Node{}, fmt.Errorf("%w: node.metadata.%s is %q, no number of base 16", ErrNotXDS, metaChecksum, text)
		}
		node.Checksum = sum
		if held := meta[metaHeld].GetListValue().GetValues(); len(held) == routing.DocumentCount {
			for d, v := range held {
				node.Held[d] = v.GetStringValue()
			}
		} else if len(held) > 0 {
			return Node{}, fmt.Errorf("%w: node.metadata.%s names %d versions, not those of endpoints and routes", ErrNotXDS, metaHeld, len(held))
		}
	}
	if math.IsNaN(node.Weight) || node.Weight < 0 || node.Weight > 1e7 {
		return Node{}, fmt.Errorf("%w: node.metadata.%s is %v", ErrNotXDS, metaWeight, node.Weight)
	}
	return node, nil
}

// Acknowledge says which version of a document a gateway holds; why is empty, or says why the one with the nonce was
// refused.
func Acknowledge(n Node, typeURL, version, nonce, why string) *discoveryv3.DiscoveryRequest {
	r := &discoveryv3.DiscoveryRequest{Node: n.message(), TypeUrl: typeURL, VersionInfo: version, ResponseNonce: nonce}
	if why != "" {
		r.ErrorDetail = &statusv3.Status{Code: 3, Message: why}
	}
	return r
}

// Kind and Endpoint are a report's parts, in reqs and tries in the interval.
type (
	Kind struct {
		Name      string
		Arrived   int
		Denied    int
		Errored   int
		Endpoints []Endpoint
	}
	Endpoint struct {
		Backend string
		Zone    string
		Tries   int // that ended
		Errored int // of them
		Active  int
		Answer  time.Duration      // mean of the answered ones
		Loads   map[string]float64 // mean of what answers carried, by ORCA name
		Loaded  int                // answers that carried it
	}
)

// Load makes a report of what a gateway did in an interval.
func Load(n Node, interval time.Duration, kinds []Kind) *loadv3.LoadStatsRequest {
	r := &loadv3.LoadStatsRequest{Node: n.message()}
	for _, k := range kinds {
		stats := &endpointv3.ClusterStats{ClusterName: k.Name, LoadReportInterval: durationpb.New(interval),
			TotalDroppedRequests: uint64(k.Denied)}
		if k.Denied > 0 {
			stats.DroppedRequests = []*endpointv3.ClusterStats_DroppedRequests{{Category: dropAdmission, DroppedCount: uint64(k.Denied)}}
		}
		zones := map[string]*endpointv3.UpstreamLocalityStats{}
		// What comes to the gateway itself stands in its own locality.
		own := &endpointv3.UpstreamLocalityStats{Locality: &corev3.Locality{Zone: n.Zone}, LoadMetricStats: []*endpointv3.EndpointLoadMetricStats{
			{MetricName: metricArrived, NumRequestsFinishedWithMetric: uint64(k.Arrived), TotalMetricValue: float64(k.Arrived)},
			{MetricName: metricErrored, NumRequestsFinishedWithMetric: uint64(k.Arrived), TotalMetricValue: float64(k.Errored)}}}
		zones[n.Zone] = own
		stats.UpstreamLocalityStats = append(stats.UpstreamLocalityStats, own)
		for _, e := range k.Endpoints {
			z := zones[e.Zone]
			if z == nil {
				z = &endpointv3.UpstreamLocalityStats{Locality: &corev3.Locality{Zone: e.Zone}}
				zones[e.Zone] = z
				stats.UpstreamLocalityStats = append(stats.UpstreamLocalityStats, z)
			}
			address, err := Address(e.Backend)
			if err != nil {
				continue
			}
			done := uint64(e.Tries - e.Errored)
			s := &endpointv3.UpstreamEndpointStats{Address: address, TotalIssuedRequests: uint64(e.Tries),
				TotalSuccessfulRequests: done, TotalErrorRequests: uint64(e.Errored), TotalRequestsInProgress: uint64(e.Active)}
			if done > 0 {
				s.LoadMetricStats = append(s.LoadMetricStats, &endpointv3.EndpointLoadMetricStats{MetricName: metricAnswer,
					NumRequestsFinishedWithMetric: done, TotalMetricValue: float64(done) * float64(e.Answer) / float64(time.Millisecond)})
			}
			for _, name := range []string{"util", "queue", "qps"} {
				if v, has := e.Loads[name]; has && e.Loaded > 0 {
					s.LoadMetricStats = append(s.LoadMetricStats, &endpointv3.EndpointLoadMetricStats{MetricName: name,
						NumRequestsFinishedWithMetric: uint64(e.Loaded), TotalMetricValue: v * float64(e.Loaded)})
				}
			}
			z.UpstreamEndpointStats = append(z.UpstreamEndpointStats, s)
			z.TotalIssuedRequests += uint64(e.Tries)
			z.TotalSuccessfulRequests += done
			z.TotalErrorRequests += uint64(e.Errored)
			z.TotalRequestsInProgress += uint64(e.Active)
		}
		r.ClusterStats = append(r.ClusterStats, stats)
	}
	return r
}

// ReadLoad reads a report. Counts over mostCount are an error: what follows adds them up.
func ReadLoad(r *loadv3.LoadStatsRequest) (n Node, interval time.Duration, kinds []Kind, err error) {
	if n, err = ReadNode(r.Node); err != nil {
		return n, 0, nil, err
	}
	for _, c := range r.ClusterStats {
		k := Kind{Name: c.ClusterName}
		interval = max(interval, c.GetLoadReportInterval().AsDuration())
		if k.Denied, err = count(c.TotalDroppedRequests); err != nil {
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
					k.Errored, err = count(uint64(max(0, min(m.TotalMetricValue, mostCount+1))))
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
				issued += e.Tries
				k.Endpoints = append(k.Endpoints, e)
			}
		}
		if !told { // a plain proxy names no arrivals: what it sent and what it turned away
			k.Arrived = issued + k.Denied
		}
		kinds = append(kinds, k)
	}
	return n, interval, kinds, nil
}

const mostCount = 10_000_000

func count(v uint64) (int, error) {
	if v > mostCount {
		return 0, fmt.Errorf("%w: a count of %d", ErrNotXDS, v)
	}
	return int(v), nil
}

func readEndpoint(s *endpointv3.UpstreamEndpointStats, zone string) (e Endpoint, err error) {
	e = Endpoint{Backend: hostport(s.GetAddress()), Zone: zone}
	var done int
	if done, err = count(s.TotalSuccessfulRequests); err != nil {
		return e, err
	}
	if e.Errored, err = count(s.TotalErrorRequests); err != nil {
		return e, err
	}
	if e.Active, err = count(s.TotalRequestsInProgress); err != nil {
		return e, err
	}
	e.Tries = done + e.Errored
	for _, m := range s.LoadMetricStats {
		n := float64(m.NumRequestsFinishedWithMetric)
		if n == 0 {
			continue
		}
		mean := m.TotalMetricValue / n
		if m.MetricName == metricAnswer {
			if !(mean >= 0 && mean < 1e6) {
				return e, fmt.Errorf("%w: %s: a mean answer of %v ms", ErrNotXDS, e.Backend, mean)
			}
			e.Answer = time.Duration(mean * float64(time.Millisecond))
			continue
		}
		if e.Loads == nil {
			e.Loads = map[string]float64{}
		}
		e.Loads[m.MetricName], e.Loaded = mean, int(min(n, mostCount))
	}
	return e, nil
}

// Reporting answers a report: which clusters are wanted and how often.
func Reporting(period policyapi.Microseconds) *loadv3.LoadStatsResponse {
	return &loadv3.LoadStatsResponse{SendAllClusters: true, ReportEndpointGranularity: true,
		LoadReportingInterval: durationpb.New(time.Duration(period) * time.Microsecond)}
}

func exact(s string) *matcherv3.StringMatcher {
	return &matcherv3.StringMatcher{MatchPattern: &matcherv3.StringMatcher_Exact{Exact: s}}
}
