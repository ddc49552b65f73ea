package daemon

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	collectorv1 "go.opentelemetry.io/proto/otlp/collector/trace/v1"
	"google.golang.org/protobuf/proto"

	"porthub/config"
	"porthub/coordinator"
)

// A publication is followed from the list to the gateway's acknowledgement, in a file and at an endpoint.
func TestTrace(t *testing.T) {
	var mu sync.Mutex
	names := map[string]int{}
	collector := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
		body, _ := io.ReadAll(req.Body)
		m := &collectorv1.ExportTraceServiceRequest{}
		if err := proto.Unmarshal(body, m); err != nil || req.URL.Path != "/v1/traces" {
			t.Errorf("%s: %v", req.URL.Path, err)
		}
		mu.Lock()
		defer mu.Unlock()
		for _, r := range m.ResourceSpans {
			for _, s := range r.ScopeSpans {
				for _, one := range s.Spans {
					names[one.Name]++
				}
			}
		}
	}))
	defer collector.Close()
	path := filepath.Join(t.TempDir(), "spans.json")
	r := startTestDaemon(t, nil, func(c *config.Config) {
		c.Trace = config.Trace{File: path, Endpoint: strings.TrimPrefix(collector.URL, "http://"), SampleRatio: 1}
	})
	g := r.connectGateway("gw-1", "a")
	r.waitFor("a table", func() bool { g.sync(t); return g.state.EndpointVersion != "" })
	before := g.state.EndpointVersion
	r.write("nodes.json", strings.Replace(threeEndpoints, `"zone": "b"`, `"zone": "b", "status": "draining"`, 1))
	r.waitFor("a table without the drained endpoint", func() bool {
		g.sync(t)
		return g.state.EndpointVersion != before && g.state.Snapshot.OpenEndpoints("view") == 2
	})
	g.sync(t)
	r.stop()
	r.stop = func() {}
	type span struct {
		Name        string
		SpanContext struct{ TraceID, SpanID string }
		Parent      struct{ SpanID string }
		Attributes  []struct {
			Key   string
			Value struct{ Value any }
		}
		Events []struct{ Name string }
		Status struct{ Code string }
	}
	f, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	steps, followed := map[string]span{}, 0
	var publishes []span
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var s span
		if err := json.Unmarshal(lines.Bytes(), &s); err != nil {
			t.Fatal(err)
		}
		if s.Name == "step" {
			steps[s.SpanContext.SpanID] = s
		} else {
			publishes = append(publishes, s)
		}
	}
	for _, p := range publishes {
		parent, has := steps[p.Parent.SpanID]
		if !has || parent.SpanContext.TraceID != p.SpanContext.TraceID {
			t.Errorf("a publication without its step: %+v", p)
		}
		byList := false
		for _, a := range parent.Attributes {
			byList = byList || a.Key == "told.List"
		}
		if byList && len(p.Events) > 0 && p.Status.Code != "Error" {
			followed++
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if followed == 0 || names["step"] == 0 || names["publish"] == 0 {
		t.Errorf("%d publications are followed from the list to an acknowledgement; the endpoint has %v", followed, names)
	}
}

// Span attributes name inputs as the builds before did, whatever their Go types are called.
func TestInputNamesArePinned(t *testing.T) {
	for name, in := range map[string]coordinator.Input{
		"List": coordinator.EndpointUpdate{}, "Told": coordinator.RegistryUpdate{}, "Join": coordinator.GatewayConnected{},
		"Leave": coordinator.GatewayDisconnected{}, "Ack": coordinator.DocumentAck{}, "Report": coordinator.LoadReport{},
		"Probed": coordinator.HealthCheckResult{}, "Refused": coordinator.PeerRejected{}, "Failed": coordinator.PublishFailed{},
	} {
		if got := inputName(in); got != name {
			t.Errorf("%T is named %q, want %q", in, got, name)
		}
	}
}
