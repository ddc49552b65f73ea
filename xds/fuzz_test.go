package xds

import (
	"testing"

	loadv3 "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"

	"porthub/routing"
)

// Whatever a document or report holds, reading it ends in values or an error.
func FuzzRead(f *testing.F) {
	m, err := NewEndpointDocument("v", "n", []routing.Cluster{{Class: "view", Endpoints: []routing.ClusterEndpoint{{Endpoint: "127.0.0.1:1", Zone: "a", Weight: 1}}}})
	if err != nil {
		f.Fatal(err)
	}
	text, err := Encode(m)
	if err != nil {
		f.Fatal(err)
	}
	r, err := NewRouteDocument("v", "n", []routing.Route{{Class: "view", Rate: 3, Share: 0.5, RetryPolicy: 2}})
	if err != nil {
		f.Fatal(err)
	}
	routes, err := Encode(r)
	if err != nil {
		f.Fatal(err)
	}
	for _, seed := range [][]byte{text, routes, text[:len(text)/2], []byte(`{"type_url": "x", "resources": [{}]}`), []byte(`null`), {0xff}} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		if d, err := ParseDocument(text); err == nil {
			for _, c := range d.Clusters {
				for _, l := range c.Endpoints {
					if l.Weight < 0 {
						t.Errorf("weight %v", l.Weight)
					}
				}
			}
		}
	})
}

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
		m := &loadv3.LoadStatsRequest{}
		if Decode(text, m) != nil {
			return
		}
		_, _, kinds, err := ParseLoadReport(m)
		if err != nil {
			return
		}
		for _, k := range kinds {
			if k.Arrived < 0 || k.Rejected < 0 || k.Failures < 0 {
				t.Errorf("%+v", k)
			}
			for _, e := range k.Endpoints {
				if e.Attempts < 0 || e.Failures > e.Attempts || e.MeanLatency < 0 {
					t.Errorf("%+v", e)
				}
			}
		}
	})
}
