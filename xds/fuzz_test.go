package xds

import (
	"testing"

	loadv3 "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"

	"porthub/routing"
)

// FuzzRead parses arbitrary documents. Each one is either rejected with an error or has no negative weights.
func FuzzRead(f *testing.F) {
	endpointDocument, err := NewEndpointDocument("v", "n", []routing.Cluster{{Class: "view", Endpoints: []routing.ClusterEndpoint{{Endpoint: "127.0.0.1:1", Zone: "a", Weight: 1}}}})
	if err != nil {
		f.Fatal(err)
	}
	endpoints, err := Encode(endpointDocument)
	if err != nil {
		f.Fatal(err)
	}
	routeDocument, err := NewRouteDocument("v", "n", []routing.Route{{Class: "view", Rate: 3, Share: 0.5, RetryPolicy: 2}})
	if err != nil {
		f.Fatal(err)
	}
	routes, err := Encode(routeDocument)
	if err != nil {
		f.Fatal(err)
	}
	for _, seed := range [][]byte{endpoints, routes, endpoints[:len(endpoints)/2], []byte(`{"type_url": "x", "resources": [{}]}`), []byte(`null`), {0xff}} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		if document, err := ParseDocument(text); err == nil {
			for _, cluster := range document.Clusters {
				for _, endpoint := range cluster.Endpoints {
					if endpoint.Weight < 0 {
						t.Errorf("weight %v, want no negative weight", endpoint.Weight)
					}
				}
			}
		}
	})
}

// FuzzReport parses arbitrary load reports. Each one is either rejected with an error or has plausible counts and latencies.
func FuzzReport(f *testing.F) {
	text, err := Encode(NewLoadReport(Node{Name: "gw", Zone: "a", ReportNumber: 1}, 1e9, []ClassReport{{Class: "view", Arrived: 3,
		Endpoints: []EndpointReport{{Address: "127.0.0.1:1", Zone: "a", Attempts: 3, Metrics: map[string]float64{"util": 1}, MetricSamples: 1}}}}))
	if err != nil {
		f.Fatal(err)
	}
	for _, seed := range [][]byte{text, []byte(`{"node": {"id": "x"}, "cluster_stats": [{}]}`), []byte(`{"cluster_stats": [{"upstream_locality_stats": [{}]}]}`)} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		request := &loadv3.LoadStatsRequest{}
		if Decode(text, request) != nil {
			return
		}
		_, _, classes, err := ParseLoadReport(request)
		if err != nil {
			return
		}
		for _, class := range classes {
			if class.Arrived < 0 || class.Rejected < 0 || class.Failures < 0 {
				t.Errorf("class report %+v, want no negative counts", class)
			}
			for _, endpoint := range class.Endpoints {
				if endpoint.Attempts < 0 || endpoint.Failures > endpoint.Attempts || endpoint.MeanLatency < 0 {
					t.Errorf("endpoint report %+v, want no negative values and no more failures than attempts", endpoint)
				}
			}
		}
	})
}
