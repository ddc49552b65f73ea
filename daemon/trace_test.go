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

// spanCollector is an OTLP endpoint that counts the spans it receives by name.
type spanCollector struct {
	addr string

	mu     sync.Mutex // guards counts
	counts map[string]int
}

func startSpanCollector(t *testing.T) *spanCollector {
	t.Helper()
	c := &spanCollector{counts: map[string]int{}}
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		m := &collectorv1.ExportTraceServiceRequest{}
		if err := proto.Unmarshal(body, m); err != nil || request.URL.Path != "/v1/traces" {
			t.Errorf("request to %s: decoding error %v; want a valid export to /v1/traces", request.URL.Path, err)
		}
		c.add(m)
	}))
	t.Cleanup(server.Close)
	c.addr = strings.TrimPrefix(server.URL, "http://")
	return c
}

func (c *spanCollector) add(m *collectorv1.ExportTraceServiceRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range m.ResourceSpans {
		for _, s := range r.ScopeSpans {
			for _, span := range s.Spans {
				c.counts[span.Name]++
			}
		}
	}
}

// span is a span as the trace file stores it.
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

func (s span) hasAttribute(key string) bool {
	for _, a := range s.Attributes {
		if a.Key == key {
			return true
		}
	}
	return false
}

// readSpans reads a trace file and returns the spans of steps by span ID, and all other spans.
func readSpans(t *testing.T, path string) (steps map[string]span, others []span) {
	t.Helper()
	f, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	steps = map[string]span{}
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
			others = append(others, s)
		}
	}
	return steps, others
}

// A publication is traced from the endpoint list that caused it to the gateway's acknowledgement. The spans are written to a file
// and sent to an endpoint.
func TestTrace(t *testing.T) {
	collector := startSpanCollector(t)
	path := filepath.Join(t.TempDir(), "spans.json")
	r := startTestDaemon(t, nil, func(c *config.Config) {
		c.Trace = config.Trace{File: path, Endpoint: collector.addr, SampleRatio: 1}
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

	steps, publishes := readSpans(t, path)
	traced := 0
	for _, p := range publishes {
		parent, has := steps[p.Parent.SpanID]
		if !has || parent.SpanContext.TraceID != p.SpanContext.TraceID {
			t.Errorf("the span of a publication has no step as its parent: %+v", p)
		}
		if parent.hasAttribute("told.List") && len(p.Events) > 0 && p.Status.Code != "Error" {
			traced++
		}
	}
	collector.mu.Lock()
	defer collector.mu.Unlock()
	if traced == 0 || collector.counts["step"] == 0 || collector.counts["publish"] == 0 {
		t.Errorf("%d publications are traced from the list to an acknowledgement, the endpoint received %v; want at least one of each", traced, collector.counts)
	}
}

// The names of inputs in span attributes stay the same when Go types are renamed: readers of spans depend on them.
func TestInputNamesArePinned(t *testing.T) {
	for name, in := range map[string]coordinator.Input{
		"List": coordinator.EndpointUpdate{}, "Told": coordinator.RegistryUpdate{}, "Join": coordinator.GatewayConnected{},
		"Leave": coordinator.GatewayDisconnected{}, "Ack": coordinator.DocumentAck{}, "Report": coordinator.LoadReport{},
		"Probed": coordinator.HealthCheckResult{}, "Refused": coordinator.PeerRejected{}, "Failed": coordinator.PublishFailed{},
	} {
		if got := inputName(in); got != name {
			t.Errorf("the name of a %T is %q, want %q", in, got, name)
		}
	}
}
