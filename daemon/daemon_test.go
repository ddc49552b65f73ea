package daemon

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"reflect"
	"strings"
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

// rig is a daemon in folders of its own, with a node list of three nodes in two zones.
type rig struct {
	t    *testing.T
	d    *Daemon
	cfg  config.Config
	dir  string
	stop func()

	mu    sync.Mutex
	steps []tapped
}

type tapped struct {
	now    policyapi.Microseconds
	inputs []coordinator.Input
	orders []policyapi.Order
}

const threeNodes = `[{"targets": ["127.0.0.1:9001", "127.0.0.1:9002"], "labels": {"zone": "a"}},
	{"targets": ["127.0.0.1:9003"], "labels": {"zone": "b"}}]`

func newRig(t *testing.T, clock clk.Clock, changes ...func(*config.Config)) *rig {
	t.Helper()
	r := &rig{t: t, dir: t.TempDir()}
	r.write("nodes.json", threeNodes)
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
	r.cfg = cfg
	for _, change := range changes {
		change(&r.cfg)
	}
	r.start(clock)
	t.Cleanup(func() { r.stop() })
	return r
}

func (r *rig) start(clock clk.Clock) {
	r.t.Helper()
	d, err := New(Options{Config: r.cfg, Clock: clock, Tap: func(now policyapi.Microseconds, inputs []coordinator.Input, core *coordinator.Core) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.steps = append(r.steps, tapped{now, append([]coordinator.Input(nil), inputs...), append([]policyapi.Order(nil), core.Orders()...)})
	}})
	if err != nil {
		r.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if err := d.Run(ctx); err != nil {
			r.t.Error(err)
		}
	}()
	r.d, r.stop = d, func() { cancel(); <-ended }
}

func (r *rig) write(name, text string) {
	r.t.Helper()
	path := filepath.Join(r.dir, name)
	if err := os.WriteFile(path+".new", []byte(text), 0o644); err != nil {
		r.t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		r.t.Fatal(err)
	}
}

// until waits for something that usually takes a small part of ten seconds.
func (r *rig) until(what string, ok func() bool) {
	r.t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			r.t.Fatalf("not within 10 s: %s", what)
		}
	}
}

// gateway is the smallest gateway: it reads, answers and reports.
type gateway struct {
	link   *client.Link
	reader *client.Reader
	held   client.Tables
}

func (r *rig) gateway(name, zone string) *gateway {
	r.t.Helper()
	g := &gateway{reader: client.NewReader(r.cfg.Delivery.Files.Dir, name),
		link: client.NewLink(client.Options{Node: xds.Node{Name: name, Zone: zone, UsualRate: 10}, Coordinator: r.d.Addr()})}
	r.t.Cleanup(g.link.Close)
	if err := g.link.Join(context.Background(), g.held); err != nil {
		r.t.Fatal(err)
	}
	return g
}

func (g *gateway) turn(t *testing.T, report ...xds.ClassReport) {
	t.Helper()
	for _, u := range g.reader.Poll() {
		g.held.Apply(u)
		if err := g.link.Acknowledge(context.Background(), u, g.held); err != nil {
			t.Fatal(err)
		}
	}
	if len(report) > 0 {
		if _, err := g.link.Report(context.Background(), 250*time.Millisecond, report); err != nil {
			t.Fatal(err)
		}
	}
}

func (r *rig) status(name string) coordinator.GatewayStatus {
	r.t.Helper()
	s, err := client.Status(context.Background(), r.d.Addr())
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

// The smallest whole path: a gateway joins, reads its files, acknowledges them, reports, and follows a drain.
func TestWholePath(t *testing.T) {
	r := newRig(t, nil)
	g := r.gateway("gw-1", "a")
	r.until("tables that the coordinator sees confirmed", func() bool {
		g.turn(t, xds.ClassReport{Class: "view", Arrived: 3, Endpoints: []xds.EndpointReport{
			{Address: "127.0.0.1:9001", Zone: "a", Attempts: 3, MeanLatency: 150 * time.Millisecond, Metrics: map[string]float64{"util": 0.4}, MetricSamples: 3}}})
		s := r.status("gw-1")
		return g.held.Snapshot.OpenEndpoints("view") >= 2 && g.held.Snapshot.OpenEndpoints("save") >= 2 && s.Unacknowledged == 0 && s.Confirmed[0] == g.held.EndpointVersion
	})
	r.write("nodes.json", strings.Replace(threeNodes, `"127.0.0.1:9001", `, "", 1)[:1]+
		`{"targets": ["127.0.0.1:9001"], "labels": {"zone": "a", "status": "draining"}},`+strings.Replace(threeNodes, `"127.0.0.1:9001", `, "", 1)[1:])
	r.until("a drained node without a line", func() bool {
		g.turn(t, xds.ClassReport{Class: "view", Arrived: 1})
		for _, c := range g.held.Snapshot.Clusters {
			for _, l := range c.Endpoints {
				if l.Endpoint == "127.0.0.1:9001" && !l.Withheld {
					return false
				}
			}
		}
		return true
	})
	before := r.d.Front()
	for range 8 {
		g.turn(t, xds.ClassReport{Class: "view", Arrived: 1})
		time.Sleep(20 * time.Millisecond)
	}
	if after := r.d.Front(); after.Files > before.Files+4 {
		t.Errorf("%d files written while nothing changed", after.Files-before.Files)
	}
	if err := g.link.Join(context.Background(), g.held); err != nil {
		t.Error(err)
	}
	g.link.Close()
	r.until("the broken connection counts as a leave", func() bool { return !r.status("gw-1").Connected })
}

// handClock goes on when the test says so.
type handClock struct {
	mu      sync.Mutex
	now     policyapi.Microseconds
	waiters map[chan time.Time]policyapi.Microseconds
}

func (c *handClock) Now() policyapi.Microseconds {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *handClock) After(d policyapi.Microseconds) <-chan time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	ch := make(chan time.Time, 1)
	c.waiters[ch] = c.now + d
	return ch
}

func (c *handClock) set(to policyapi.Microseconds) {
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

// One scenario through the daemon on loopback, with real files and connections, and once more through the library
// alone: the same orders, one by one.
func TestSameOrdersThroughLibraryAndDaemon(t *testing.T) {
	clock := &handClock{now: 1_000_000_000_000, waiters: map[chan time.Time]policyapi.Microseconds{}}
	r := newRig(t, clock)
	first := clock.Now()
	count := func() int { r.mu.Lock(); defer r.mu.Unlock(); return len(r.steps) }
	r.until("the list", func() bool { return len(r.nodes()) == 3 })
	a, b := r.gateway("gw-1", "a"), r.gateway("gw-2", "b")
	for round := range 12 {
		steps := count()
		clock.set(first + policyapi.Microseconds(round+1)*250_000)
		r.until("a step", func() bool { return count() > steps })
		time.Sleep(15 * time.Millisecond) // for the files
		load := map[string]float64{"util": 0.5, "queue": 1}
		if round == 6 {
			r.write("nodes.json", strings.Replace(threeNodes, `"127.0.0.1:9001", `, "", 1))
		}
		for i, g := range []*gateway{a, b} {
			g.turn(t, xds.ClassReport{Class: "view", Arrived: 10 + round + i, Endpoints: []xds.EndpointReport{
				{Address: "127.0.0.1:9002", Zone: "a", Attempts: 5, Failures: round % 2, MeanLatency: 160 * time.Millisecond, Metrics: load, MetricSamples: 5},
				{Address: "127.0.0.1:9003", Zone: "b", Attempts: 6, MeanLatency: 170 * time.Millisecond, Metrics: load, MetricSamples: 6}}})
		}
	}
	r.stop()
	r.stop = func() {}
	core := coordinator.New(coordinator.Settings{Start: r.cfg.Start(), Epoch: "library", SilenceTimeout: policyapi.Microseconds(r.cfg.Gateways.SilenceTimeout), SolverEnabled: true})
	orders, tables := 0, 0
	for i, s := range r.steps {
		// Versions are named after the start; what was acknowledged is the same message.
		inputs := make([]coordinator.Input, len(s.inputs))
		for j, in := range s.inputs {
			if ack, is := in.(coordinator.DocumentAck); is {
				ack.Version = "library" + ack.Version[max(0, strings.LastIndex(ack.Version, ".")):]
				in = ack
			}
			inputs[j] = in
		}
		core.Step(s.now, inputs)
		if len(s.orders) != len(core.Orders()) {
			t.Fatalf("step %d at %d: daemon %v, library %v", i, s.now, s.orders, core.Orders())
		}
		for j, o := range core.Orders() {
			if !reflect.DeepEqual(o, s.orders[j]) {
				t.Fatalf("step %d, order %d: daemon %#v, library %#v", i, j, s.orders[j], o)
			}
			orders++
			if _, is := o.(policyapi.SetWeight); is {
				tables++
			}
		}
	}
	if orders < 30 || tables < 6 {
		t.Errorf("only %d orders, %d of them lines: the scenario says too little", orders, tables)
	}
}

func (r *rig) nodes() []policyapi.Endpoint {
	s, err := client.Status(context.Background(), r.d.Addr())
	if err != nil {
		r.t.Fatal(err)
	}
	return s.Endpoints
}

// Peers that say nothing sensible, too much or too slowly get a clear error or are closed, and nobody else is held up.
func TestBadPeers(t *testing.T) {
	r := newRig(t, nil)
	post := func(path, body string) (int, string) {
		res, err := http.Post("http://"+r.d.Addr()+path, "application/json", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		defer res.Body.Close()
		text, _ := io.ReadAll(res.Body)
		return res.StatusCode, string(text)
	}
	for _, c := range []struct {
		path, body string
		code       int
		says       string
	}{
		{xds.LoadReportPath, `{"node": {"id": "gw"`, 400, "LoadStatsRequest"},
		{xds.LoadReportPath, `[1, 2]`, 400, "no xDS message"},
		{xds.LoadReportPath, `{"cluster_stats": []}`, 400, "node.id"},
		{xds.LoadReportPath, `{"node": {"id": "../../etc"}}`, 400, "node.id"},
		{xds.EndpointPath, `{"node": {"id": ".hidden"}}`, 400, "dot"},
		{xds.EndpointPath, `nonsense`, 400, "DiscoveryRequest"},
		{"/elsewhere", `{}`, 404, "/elsewhere"},
	} {
		if code, says := post(c.path, c.body); code != c.code || !strings.Contains(says, c.says) {
			t.Errorf("%s %s: %d %q", c.path, c.body, code, says)
		}
	}
	raw := func(text string) (net.Conn, string) {
		c, err := net.Dial("tcp", r.d.Addr())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		if _, err := io.WriteString(c, text); err != nil {
			t.Fatal(err)
		}
		answer := make([]byte, 512)
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		n, _ := c.Read(answer)
		return c, string(answer[:n])
	}
	if _, says := raw("POST " + xds.LoadReportPath + " HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n"); !strings.Contains(says, "413") {
		t.Errorf("a huge body: %q", says)
	}
	if _, says := raw(strings.Repeat("garbage ", 4000)); !strings.Contains(says, "431") {
		t.Errorf("garbage: %q", says)
	}
	if _, says := raw("GARBAGE\r\n\r\n"); !strings.Contains(says, "400") {
		t.Errorf("a malformed head: %q", says)
	}
	slow, err := net.Dial("tcp", r.d.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer slow.Close()
	_, _ = io.WriteString(slow, "POST /v3/disc")
	g := r.gateway("gw-1", "a") // served meanwhile
	r.until("tables in spite of all that", func() bool { g.turn(t); return g.held.Snapshot.OpenEndpoints("view") > 0 })
	_ = slow.SetReadDeadline(time.Now().Add(50 * time.Second))
	if _, err := slow.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("a request that never ends: %v, want it closed", err)
	}
	// One that sends its messages without waiting for answers gets all of them, in order.
	c, err := net.Dial("tcp", r.d.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	const many = 50
	_, _ = io.WriteString(c, strings.Repeat("GET /nothing HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", many))
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	var all strings.Builder
	buf := make([]byte, 4096)
	for strings.Count(all.String(), "404 Not Found") < many {
		n, err := c.Read(buf)
		all.Write(buf[:n])
		if err != nil {
			t.Fatalf("%d answers of %d, then %v", strings.Count(all.String(), "404 Not Found"), many, err)
		}
	}
}

// A second connection under a name takes the first one's place; the first is closed, and its end is no leave.
func TestTwoConnectionsUnderOneName(t *testing.T) {
	r := newRig(t, nil)
	first := r.gateway("gw-1", "a")
	r.until("joined", func() bool { first.turn(t); return r.status("gw-1").Connected && first.held.EndpointVersion != "" })
	second := r.gateway("gw-1", "a")
	r.until("the second reads and is joined", func() bool {
		second.turn(t)
		s := r.status("gw-1")
		return s.Connected && s.Unacknowledged == 0 && second.held.EndpointVersion == s.Confirmed[0]
	})
}

// A coordinator that comes back has its last list at once; the gateway goes on by its files meanwhile, and what it
// holds then is the new one's.
func TestRestart(t *testing.T) {
	r := newRig(t, nil)
	g := r.gateway("gw-1", "a")
	r.until("tables", func() bool {
		g.turn(t)
		return g.held.Snapshot.OpenEndpoints("view") == 3 || g.held.Snapshot.OpenEndpoints("view") == 2
	})
	r.until("the list is kept", func() bool { _, err := os.Stat(filepath.Join(r.dir, "state", listName)); return err == nil })
	old := g.held.EndpointVersion
	g.link.Close()
	r.stop()
	if err := os.Remove(filepath.Join(r.dir, "nodes.json")); err != nil {
		t.Fatal(err)
	}
	left := filepath.Join(r.dir, "tables", "gw-1", ".eds.json123456")
	if err := os.WriteFile(left, []byte(`{"version_info": "ha`), 0o600); err != nil {
		t.Fatal(err)
	}
	r.start(nil)
	if _, err := os.Stat(left); !os.IsNotExist(err) {
		t.Errorf("what a killed writer left still stands: %v", err)
	}
	r.until("the list it had", func() bool { return len(r.nodes()) == 3 })
	again := r.gateway("gw-1", "a")
	r.until("tables of this start", func() bool {
		again.turn(t)
		return again.held.EndpointVersion != old && again.held.Snapshot.OpenEndpoints("view") > 0 && again.held.Rejected == 0
	})
}

// More connections than an address may have are turned away with a word, and one is free again when another has ended;
// a connection that has had its requests is closed.
func TestLimitsOfConnections(t *testing.T) {
	r := newRig(t, nil, func(c *config.Config) { c.Limits.PerAddress, c.Limits.Requests = 3, 4 })
	dial := func() net.Conn {
		c, err := net.Dial("tcp", r.d.Addr())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	readers := map[net.Conn]*bufio.Reader{}
	ask := func(c net.Conn) string {
		if readers[c] == nil {
			readers[c] = bufio.NewReader(c)
		}
		_, _ = io.WriteString(c, "GET /tables/versions HTTP/1.1\r\nHost: x\r\n\r\n")
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		res, err := http.ReadResponse(readers[c], nil)
		if err != nil {
			return err.Error()
		}
		defer res.Body.Close()
		_, _ = io.Copy(io.Discard, res.Body)
		return res.Status
	}
	first := dial()
	for i := range 4 {
		if says := ask(first); !strings.Contains(says, "200") {
			t.Fatalf("request %d: %q", i, says)
		}
	}
	second, third := dial(), dial()
	if !strings.Contains(ask(second), "200") || !strings.Contains(ask(third), "200") {
		t.Error("three may stand, and are not served")
	}
	if says := ask(dial()); !strings.Contains(says, "503") {
		t.Errorf("a fourth connection: %q", says)
	}
	if says := ask(first); !strings.Contains(says, "429") {
		t.Errorf("a fifth request: %q", says)
	}
	r.until("room for another", func() bool { return strings.Contains(ask(dial()), "200") })
}

// A gateway that polls gets tables whole and by deltas, follows a drain, and shares its name with no gateway of files.
func TestPolls(t *testing.T) {
	r := newRig(t, nil)
	node := xds.Node{Name: "gw-1", Zone: "a", UsualRate: 10, Polls: true}
	link := client.NewLink(client.Options{Node: node, Coordinator: r.d.Addr()})
	t.Cleanup(link.Close)
	if err := link.Join(context.Background(), client.Tables{}); err != nil {
		t.Fatal(err)
	}
	poller := client.NewPoller(client.Options{Node: node, Coordinator: r.d.Addr()}, []string{"view", "save"}, time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	var polls sync.WaitGroup
	t.Cleanup(func() { cancel(); polls.Wait(); poller.Close() })
	var mu sync.Mutex
	var held client.Tables
	have := func() client.Tables { mu.Lock(); defer mu.Unlock(); return held }
	for _, document := range []coordinator.Document{coordinator.EndpointsDocument, coordinator.RoutesDocument} {
		polls.Add(1)
		go func() {
			defer polls.Done()
			poller.Follow(ctx, document, have, func(u client.Update) {
				mu.Lock()
				held.Apply(u)
				now := held
				mu.Unlock()
				if err := link.Acknowledge(ctx, u, now); err != nil && ctx.Err() == nil {
					t.Error(err)
				}
			})
		}()
	}
	report := func() {
		if _, err := link.Report(context.Background(), 250*time.Millisecond, []xds.ClassReport{{Class: "view", Arrived: 2}}); err != nil {
			t.Error(err)
		}
	}
	r.until("tables by polls, confirmed", func() bool {
		report()
		s := r.status("gw-1")
		return have().Snapshot.OpenEndpoints("view") >= 2 && len(have().Snapshot.Routes) == 2 && s.Unacknowledged == 0 && s.Confirmed[0] != ""
	})
	if _, err := os.Stat(filepath.Join(r.dir, "tables", "gw-1")); !os.IsNotExist(err) {
		t.Errorf("it polls, and has files: %v", err)
	}
	other := client.NewLink(client.Options{Node: xds.Node{Name: "gw-1", Zone: "a"}, Coordinator: r.d.Addr()})
	t.Cleanup(other.Close)
	if err := other.Join(context.Background(), client.Tables{}); err == nil || !strings.Contains(err.Error(), "409") {
		t.Errorf("a file client under the same name: %v", err)
	}
	r.write("nodes.json", strings.Replace(threeNodes, `"127.0.0.1:9001", `, "", 1))
	r.until("a dropped node without a line", func() bool {
		report()
		for _, c := range have().Snapshot.Clusters {
			for _, l := range c.Endpoints {
				if l.Endpoint == "127.0.0.1:9001" && !l.Withheld {
					return false
				}
			}
		}
		return true
	})
	since := r.status("gw-1").Since
	link.Close()
	r.until("a poll takes the link's place", func() bool {
		s := r.status("gw-1")
		return s.Connected && s.Since > since
	})
}

// However many look, an overview is made once a second at most; it has nodes, gateways and the log's tail.
func TestOverview(t *testing.T) {
	r := newRig(t, nil)
	g := r.gateway("gw-1", "a")
	r.until("a table", func() bool { g.turn(t); return g.held.EndpointVersion != "" })
	ask := func() coordinator.LoggedOverview {
		res, err := http.Get("http://" + r.d.Addr() + "/overview")
		if err != nil {
			t.Fatal(err)
		}
		defer res.Body.Close()
		var m coordinator.LoggedOverview
		if err := json.NewDecoder(res.Body).Decode(&m); err != nil {
			t.Fatal(err)
		}
		return m
	}
	r.until("an overview with the gateway's lines", func() bool {
		m := ask()
		return len(m.Endpoints) == 3 && len(m.Gateways) == 1 && m.Gateways[0].OpenEndpoints > 0 && m.Endpoints[0].Senders == 1
	})
	began, made := time.Now(), map[policyapi.Microseconds]bool{}
	for time.Since(began) < 500*time.Millisecond {
		made[ask().Now] = true
	}
	if len(made) > 2 {
		t.Errorf("%d overviews in half a second", len(made))
	}
}
