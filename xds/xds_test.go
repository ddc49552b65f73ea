package xds

import (
	"errors"
	"fmt"
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	loadv3 "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	"google.golang.org/protobuf/proto"

	"porthub/policyapi"
	"porthub/routing"
)

// mustEncode encodes the message that a constructor returned, and fails the test if the constructor or the encoding failed.
func mustEncode(t *testing.T, m proto.Message, err error) []byte {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	text, err := Encode(m)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

var testClusters = []routing.Cluster{
	{Class: "view", Endpoints: []routing.ClusterEndpoint{
		{Endpoint: "127.0.0.1:1", Zone: "a", Weight: 0.25},
		{Endpoint: "127.0.0.1:2", Zone: "a", Weight: 1, Withheld: true},
		{Endpoint: "[::1]:3", Zone: "b", Weight: 3.5},
	}},
	{Class: "save"},
}

func TestEndpointDocumentRoundTrip(t *testing.T) {
	m, err := NewEndpointDocument("v1", "n1", testClusters)
	d, err := ParseDocument(mustEncode(t, m, err))
	if err != nil || d.Version != "v1" || d.Nonce != "n1" || !reflect.DeepEqual(d.Clusters, testClusters) {
		t.Errorf("parsed %+v, error %v; want version v1, nonce n1 and the clusters that were encoded", d, err)
	}
}

func TestRouteDocumentRoundTrip(t *testing.T) {
	for _, rate := range []float64{routing.UnlimitedRate, 0, 0.37, 1, 7.5, 333, 12345} {
		for retryPolicy := range policyapi.RetryTwice + 1 {
			t.Run(fmt.Sprintf("rate %v, retry policy %d", rate, retryPolicy), func(t *testing.T) {
				routes := []routing.Route{
					{Class: "view", Rate: rate, Share: 1, RetryPolicy: retryPolicy, Timeout: 2_500_000},
					{Class: "save", Rate: -1, Share: 0.25},
				}
				m, err := NewRouteDocument("v2", "n2", routes)
				d, err := ParseDocument(mustEncode(t, m, err))
				if err != nil || len(d.Routes) != 2 {
					t.Fatalf("parsed %+v, error %v; want two routes", d, err)
				}
				got := d.Routes[0]
				if got.RetryPolicy != retryPolicy || got.Timeout != 2_500_000 || math.Abs(got.Rate-rate) > 0.01*math.Abs(rate) {
					t.Errorf("parsed %+v, want %+v with the rate within 1%%", got, routes[0])
				}
				if d.Routes[1].Share != 0.25 {
					t.Errorf("parsed share %v, want 0.25", d.Routes[1].Share)
				}
			})
		}
	}
}

func TestParseDocumentRejectsEveryTruncation(t *testing.T) {
	m, err := NewEndpointDocument("v1", "n1", testClusters)
	text := mustEncode(t, m, err)
	for n := range len(text) {
		if _, err := ParseDocument(text[:n]); !errors.Is(err, ErrInvalidMessage) {
			t.Fatalf("document truncated to %d of %d bytes: error %v, want ErrInvalidMessage", n, len(text), err)
		}
	}
}

func TestNewEndpointDocumentRejectsAddressWithoutPort(t *testing.T) {
	clusters := []routing.Cluster{{Class: "k", Endpoints: []routing.ClusterEndpoint{{Endpoint: "nowhere"}}}}
	if _, err := NewEndpointDocument("v", "n", clusters); err == nil {
		t.Error("an endpoint without a port was encoded, want an error")
	}
}

func TestLoadReportRoundTrip(t *testing.T) {
	node := Node{Name: "gw-1", Zone: "a", InitialTable: true, UsualRate: 12, ReportNumber: 7}
	classes := []ClassReport{{Class: "view", Arrived: 20, Rejected: 3, Failures: 2, Endpoints: []EndpointReport{
		{Address: "127.0.0.1:1", Zone: "a", Attempts: 10, Failures: 2, InFlight: 1, MeanLatency: 150 * time.Millisecond, Metrics: map[string]float64{"util": 0.5, "queue": 2}, MetricSamples: 8},
		{Address: "127.0.0.1:2", Zone: "b", Attempts: 7, Failures: 7}}}}
	gotNode, interval, gotClasses, err := ParseLoadReport(NewLoadReport(node, 2*time.Second, classes))
	if err != nil || gotNode != node || interval != 2*time.Second || !reflect.DeepEqual(gotClasses, classes) {
		t.Errorf("parsed node %+v, interval %v, classes %+v, error %v; want the report that was encoded",
			gotNode, interval, gotClasses, err)
	}
}

// plainReport is the report of a plain proxy, which has neither arrivals nor load metrics.
const plainReport = `{"node": {"id": "envoy-1", "locality": {"zone": "a"}}, "cluster_stats": [{"cluster_name": "view", "load_report_interval": "1s",
	"total_dropped_requests": "2", "upstream_locality_stats": [{"locality": {"zone": "a"}, "upstream_endpoint_stats": [
	{"address": {"socket_address": {"address": "127.0.0.1", "port_value": 1}}, "total_successful_requests": "5", "total_error_requests": "1"}]}]}]}`

func parseReport(text string) ([]ClassReport, error) {
	m := &loadv3.LoadStatsRequest{}
	if err := Decode([]byte(text), m); err != nil {
		return nil, err
	}
	_, _, classes, err := ParseLoadReport(m)
	return classes, err
}

func TestParseLoadReportOfPlainProxy(t *testing.T) {
	classes, err := parseReport(plainReport)
	if err != nil || classes[0].Arrived != 8 || classes[0].Endpoints[0].Attempts != 6 {
		t.Errorf("parsed %+v, error %v; want 6 attempts, and 8 arrivals: 6 attempts and 2 rejected requests", classes, err)
	}
}

func TestParseLoadReportRejectsInvalidValues(t *testing.T) {
	for name, c := range map[string]struct{ valid, invalid string }{
		"count":    {`"5"`, `"99999999999"`},
		"duration": {`"1s"`, `"1 s"`},
		"node ID":  {`"envoy-1"`, `"a/b"`},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := parseReport(strings.Replace(plainReport, c.valid, c.invalid, 1)); !errors.Is(err, ErrInvalidMessage) {
				t.Errorf("error %v, want ErrInvalidMessage", err)
			}
		})
	}
}

func TestParseORCA(t *testing.T) {
	for header, want := range map[string]map[string]float64{
		FormatORCA(0.5, 3): {"util": 0.5, "queue": 3},
		"TEXT cpu_utilization=0.25,rps_fractional=12,mem=3": {"util": 0.25, "qps": 12},
		"TEXT cpu_utilization=NaN, named_metrics.queue=-1":  nil,
		"TEXT cpu_utilization":                              nil,
		"JSON {}":                                           nil,
		"":                                                  nil,
	} {
		if got := ParseORCA(header); !reflect.DeepEqual(got, want) {
			t.Errorf("ParseORCA(%q) = %v, want %v", header, got, want)
		}
	}
}

// A shared response decodes to the message for one gateway, in both encodings, for complete and incremental responses.
func TestSharedResponseEncodings(t *testing.T) {
	from := routing.Snapshot{Clusters: []routing.Cluster{{Class: "view", Endpoints: []routing.ClusterEndpoint{{Endpoint: "127.0.0.1:1", Zone: "a", Weight: 1}}}}}
	to := routing.Snapshot{Clusters: []routing.Cluster{{Class: "view", Endpoints: []routing.ClusterEndpoint{{Endpoint: "127.0.0.1:2", Zone: "a", Weight: 0.5}}}}}
	full, err := ShareEndpointDocument(to.Clusters)
	if err != nil {
		t.Fatal(err)
	}
	delta, err := ShareEndpointDelta(EndpointVersions(from), to)
	if err != nil {
		t.Fatal(err)
	}
	empty, err := ShareEndpointDelta(EndpointVersions(to), to)
	if err != nil {
		t.Fatal(err)
	}
	for name, shared := range map[string]*SharedResponse{"full": full, "delta": delta, "empty": empty} {
		for _, version := range []string{"e.1", `quoted "and\ worse`} {
			want := shared.Message(version, version+"n")
			text, err := shared.Encode(version, version+"n")
			got := proto.Clone(want)
			proto.Reset(got)
			if err == nil {
				err = Decode(text, got)
			}
			if err != nil || !proto.Equal(got, want) {
				t.Errorf("%s response with version %s as JSON: decoded %v, error %v; want the message for one gateway",
					name, version, got, err)
			}
			body, err := shared.EncodeBinary(version, version+"n")
			if err == nil {
				err = proto.Unmarshal(body, got)
			}
			if err != nil || !proto.Equal(got, want) {
				t.Errorf("%s response with version %s in binary: decoded %v, error %v; want the message for one gateway",
					name, version, got, err)
			}
		}
	}
}
