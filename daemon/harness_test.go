package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"porthub/client"
	clk "porthub/clock"
	"porthub/config"
	"porthub/coordinator"
	"porthub/policyapi"
	"porthub/xds"
)

// testDaemon is a daemon in a temporary directory, with an endpoint list of three endpoints in two zones.
type testDaemon struct {
	t      *testing.T
	daemon *Daemon
	config config.Config
	dir    string
	stop   func() // stops the daemon and waits for its end

	mu    sync.Mutex // guards steps
	steps []recordedStep
}

// recordedStep is a step of the core with its inputs and orders.
type recordedStep struct {
	now    policyapi.Microseconds
	inputs []coordinator.Input
	orders []policyapi.Order
}

const threeEndpoints = `[{"targets": ["127.0.0.1:9001", "127.0.0.1:9002"], "labels": {"zone": "a"}},
	{"targets": ["127.0.0.1:9003"], "labels": {"zone": "b"}}]`

func startTestDaemon(t *testing.T, clock clk.Clock, changes ...func(*config.Config)) *testDaemon {
	t.Helper()
	r := &testDaemon{t: t, dir: t.TempDir()}
	r.write("nodes.json", threeEndpoints)
	cfg, err := config.Parse("test.json", fmt.Appendf(nil, `{
		"coordinator": {"zone": "a"}, "zones": ["a", "b"], "state_dir": %q, "gateways": {"expected": 2, "silent_after": "3s"},
		"front": {"files": {"dir": %q}}, "registry": {"file": {"path": %q, "poll": "50ms"}},
		"reports": {"period": "250ms"}, "probes": {"allowed": false},
		"request_kinds": [
			{"name": "view", "repeat": "replayable", "response_target": "750ms", "client_timeout": "2.5s", "payoff": 1},
			{"name": "save", "repeat": "non-replayable", "response_target": "750ms", "client_timeout": "2s", "payoff": 2}]}`,
		filepath.Join(r.dir, "state"), filepath.Join(r.dir, "tables"), filepath.Join(r.dir, "nodes.json")))
	if err != nil {
		t.Fatal(err)
	}
	r.config = cfg
	for _, change := range changes {
		change(&r.config)
	}
	r.start(clock)
	t.Cleanup(func() { r.stop() })
	return r
}

func (r *testDaemon) start(clock clk.Clock) {
	r.t.Helper()
	d, err := New(Options{Config: r.config, Clock: clock, OnStep: func(now policyapi.Microseconds, inputs []coordinator.Input, core *coordinator.Core) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.steps = append(r.steps, recordedStep{now, append([]coordinator.Input(nil), inputs...), append([]policyapi.Order(nil), core.Orders()...)})
	}})
	if err != nil {
		r.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := d.Run(ctx); err != nil {
			r.t.Error(err)
		}
	}()
	r.daemon, r.stop = d, func() { cancel(); <-done }
}

// write replaces a file in the test's directory atomically.
func (r *testDaemon) write(name, text string) {
	r.t.Helper()
	path := filepath.Join(r.dir, name)
	if err := os.WriteFile(path+".new", []byte(text), 0o644); err != nil {
		r.t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		r.t.Fatal(err)
	}
}

// waitFor waits until ok returns true, and fails the test after 10 s. What it waits for usually takes a fraction of that.
func (r *testDaemon) waitFor(what string, ok func() bool) {
	r.t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			r.t.Fatalf("waited 10 s for %s", what)
		}
	}
}

func (r *testDaemon) status(name string) coordinator.GatewayStatus {
	r.t.Helper()
	s, err := client.Status(context.Background(), r.daemon.Addr())
	if err != nil {
		r.t.Fatal(err)
	}
	for _, g := range s.Gateways {
		if string(g.Gateway) == name {
			return g
		}
	}
	return coordinator.GatewayStatus{}
}

func (r *testDaemon) endpoints() []policyapi.Endpoint {
	s, err := client.Status(context.Background(), r.daemon.Addr())
	if err != nil {
		r.t.Fatal(err)
	}
	return s.Endpoints
}

// post posts an operator's request and returns the response.
func (r *testDaemon) post(path string, body any) (response EndpointResponse) {
	r.t.Helper()
	text, _ := json.Marshal(body)
	res, err := http.Post("http://"+r.daemon.Addr()+path, "application/json", bytes.NewReader(text))
	if err != nil {
		r.t.Fatal(err)
	}
	defer res.Body.Close()
	if err := json.NewDecoder(res.Body).Decode(&response); err != nil {
		r.t.Fatal(err)
	}
	return response
}

func (r *testDaemon) endpointDecisions() (n Endpoints) {
	r.t.Helper()
	res, err := http.Get("http://" + r.daemon.Addr() + "/nodes")
	if err != nil {
		r.t.Fatal(err)
	}
	defer res.Body.Close()
	if err := json.NewDecoder(res.Body).Decode(&n); err != nil {
		r.t.Fatal(err)
	}
	return n
}

// testGateway is a minimal gateway: it reads its files, acknowledges them and reports load.
type testGateway struct {
	link   *client.Link
	reader *client.Reader
	state  client.Tables
}

func (r *testDaemon) connectGateway(name, zone string) *testGateway {
	r.t.Helper()
	g := &testGateway{reader: client.NewReader(r.config.Delivery.Files.Dir, name),
		link: client.NewLink(client.Options{Node: xds.Node{Name: name, Zone: zone, UsualRate: 10}, Coordinator: r.daemon.Addr()})}
	r.t.Cleanup(g.link.Close)
	if err := g.link.Join(context.Background(), g.state); err != nil {
		r.t.Fatal(err)
	}
	return g
}

// sync reads new tables, applies and acknowledges them, and sends the report if there is one.
func (g *testGateway) sync(t *testing.T, report ...xds.ClassReport) {
	t.Helper()
	for _, u := range g.reader.Poll() {
		g.state.Apply(u)
		if err := g.link.Acknowledge(context.Background(), u, g.state); err != nil {
			t.Fatal(err)
		}
	}
	if len(report) > 0 {
		if _, err := g.link.Report(context.Background(), 250*time.Millisecond, report); err != nil {
			t.Fatal(err)
		}
	}
}

// manualClock is a clock that advances only when the test sets it.
type manualClock struct {
	mu      sync.Mutex
	now     policyapi.Microseconds
	waiters map[chan time.Time]policyapi.Microseconds // when each channel of After fires
}

func (c *manualClock) Now() policyapi.Microseconds {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *manualClock) After(d policyapi.Microseconds) <-chan time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	ch := make(chan time.Time, 1)
	c.waiters[ch] = c.now + d
	return ch
}

func (c *manualClock) advanceTo(to policyapi.Microseconds) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = to
	for ch, at := range c.waiters {
		if at <= to {
			ch <- time.Time{}
			delete(c.waiters, ch)
		}
	}
}

// blockCore keeps the goroutine that owns the core busy until the returned function is called. It closes blocked once it does.
func (r *testDaemon) blockCore(blocked chan struct{}) (unblock func()) {
	r.t.Helper()
	release := make(chan struct{})
	r.daemon.mailbox.PutUrgent(mailboxItem{query: func(*coordinator.Core) []byte {
		close(blocked)
		<-release
		return nil
	}})
	return sync.OnceFunc(func() { close(release) })
}

// closeIdleConnections closes the idle connections of the default client, and reports whether the daemon has no connection.
func (r *testDaemon) closeIdleConnections() bool {
	http.DefaultClient.CloseIdleConnections()
	return r.daemon.server.connections.Size() == 0
}
