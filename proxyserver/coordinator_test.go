package proxyserver

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/panjf2000/gnet/v2"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"porthub/healthcheck"
	"porthub/policyapi"
	"porthub/proxyproto"
	"porthub/resp"
)

const testTimeout = 10 * time.Second // for what has to come; nothing waits for it in vain

// discovery is a stand-in of discovery: each watch gets the lines that are put in.
type fakeDiscovery struct {
	*httptest.Server
	mu         sync.Mutex
	watches    map[chan string]bool
	rejectNext int // so many calls fail
	calls      chan string
}

func newFakeDiscovery(t *testing.T) *fakeDiscovery {
	d := &fakeDiscovery{watches: map[chan string]bool{}, calls: make(chan string, 64)}
	d.Server = httptest.NewServer(http.HandlerFunc(d.serve))
	t.Cleanup(d.stop)
	return d
}

func (d *fakeDiscovery) stop() {
	d.CloseClientConnections()
	d.Close()
}

func (d *fakeDiscovery) serve(w http.ResponseWriter, req *http.Request) {
	d.mu.Lock()
	if d.rejectNext > 0 {
		d.rejectNext--
		d.mu.Unlock()
		d.calls <- "refused"
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	lines := make(chan string, 16)
	d.watches[lines] = true
	d.mu.Unlock()
	w.(http.Flusher).Flush()
	d.calls <- req.URL.Query().Get("from")
	defer func() {
		d.mu.Lock()
		delete(d.watches, lines)
		d.mu.Unlock()
	}()
	for {
		select {
		case <-req.Context().Done():
			return
		case line, open := <-lines:
			if !open {
				return
			}
			_, _ = io.WriteString(w, line+"\n")
			w.(http.Flusher).Flush()
		}
	}
}

func (d *fakeDiscovery) send(line string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for lines := range d.watches {
		if line == "" {
			close(lines)
			delete(d.watches, lines)
		} else {
			lines <- line
		}
	}
}

func (d *fakeDiscovery) address() string { return strings.TrimPrefix(d.URL, "http://") }

func receive[T any](t *testing.T, what string, from <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-from:
	case <-time.After(testTimeout):
		t.Fatal("no " + what)
	}
	return v
}

func hostEntry(id, health string) string {
	return fmt.Sprintf(`{"host":%q,"dial":"127.0.0.1:1","site":"a","class":"m","block":1,"health":%q,"share":1,"born_ms":0}`, id, health)
}

func listMessage(seq int, whole bool, hosts ...string) string {
	return fmt.Sprintf(`{"seq":%d,"whole":%t,"hosts":[%s]}`, seq, whole, strings.Join(hosts, ","))
}

// testServer is a running coordinator with a stand-in of discovery.
type testServer struct {
	t           *testing.T
	coordinator *Coordinator
	cfg         proxyproto.Config
	discovery   *fakeDiscovery
	logs        *observer.ObservedLogs
	ended       chan error
	stop        context.CancelFunc
}

func testConfig(t *testing.T, discovery string, sockets int) proxyproto.Config {
	text := fmt.Sprintf(`{"listen":"127.0.0.1:0","discovery":%q,"limits":{"cores":1,"memory_mb":64,"sockets":%d},"known":%s,
		"settings":{"localities":["a","b"],"resolution":1000,"discovery":"ask","caps":{"connectTimeout":250000,"probes":true},
		"domain":{"dataPlaneSize":500,"period":200000,"levelKind":"rate","queueCap":5000,"envelope":6,"updateCap":100,"reloadSpan":1000000,"ingestRate":200},
		"guarantees":{"cold":1000000,"coldFrom":0.3,"drainGrace":3000000,"tipMultiple":2.5},"loadInfo":{"fields":["busy","q"],"source":"inline"},
		"profiles":[{"name":"view","effect":"repeatable","slo":750000,"hardLimit":2500000,"points":1}]}}`,
		discovery, sockets, listMessage(41, true, hostEntry("s-1", "Ready"), hostEntry("s-2", "Ready")))
	cfg, err := proxyproto.ReadConfig([]byte(text), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

func startServer(t *testing.T, sockets int, change ...func(*Coordinator)) *testServer {
	lists := newFakeDiscovery(t)
	r := startServerAt(t, lists.address(), sockets, change...)
	r.discovery = lists
	return r
}

func startServerAt(t *testing.T, discovery string, sockets int, change ...func(*Coordinator)) *testServer {
	r := &testServer{t: t, cfg: testConfig(t, discovery, sockets), ended: make(chan error, 1)}
	core, logs := observer.New(zap.InfoLevel)
	r.logs = logs
	var err error
	if r.coordinator, err = New(r.cfg, zap.New(core)); err != nil {
		t.Fatal(err)
	}
	for _, c := range change {
		c(r.coordinator)
	}
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	go func() { r.ended <- r.coordinator.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		<-r.ended
	})
	return r
}

// client is a connection to the coordinator.
type client struct {
	net.Conn
	t   *testing.T
	buf []byte
}

func (r *testServer) dial() *client {
	c, err := net.Dial("tcp", r.coordinator.Addr())
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { _ = c.Close() })
	return &client{Conn: c, t: r.t}
}

func (c *client) send(text string) {
	_, _ = c.Write(resp.Append(nil, strings.Split(text, " ")...)) // an end shows when it is read
}

// receive is the next message; io.EOF also for a reset.
func (c *client) receive() (string, error) {
	_ = c.SetReadDeadline(time.Now().Add(testTimeout))
	for {
		words, n, err := resp.Take(c.buf, proxyproto.IncomingLimits)
		if err != nil {
			c.t.Fatalf("%v: %q", err, c.buf)
		}
		if n > 0 {
			text := resp.Text(words, 1<<20)
			c.buf = c.buf[n:]
			return text, nil
		}
		more := make([]byte, 4096)
		n, err = c.Read(more)
		c.buf = append(c.buf, more[:n]...)
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			c.t.Fatal("nothing comes")
		}
		if n == 0 && err != nil {
			return "", io.EOF
		}
	}
}

// receiveUntil reads orders, answering each mark, until one has the text.
func (c *client) receiveUntil(proxy int, text string) string {
	c.t.Helper()
	for {
		m, err := c.receive()
		if err != nil {
			c.t.Fatalf("the stream has ended before %q", text)
		}
		if _, mark, has := strings.Cut(m, " stamp "); has {
			c.send(fmt.Sprintf("ACK sidecar %d version %s lag_ms 12.5", proxy, mark))
		}
		if strings.Contains(m, text) {
			return m
		}
	}
}

func (r *testServer) subscribe(proxy int) *client {
	c := r.dial()
	c.send(fmt.Sprintf("SUBSCRIBE sidecar %d az a share 20 standing 1", proxy))
	return c
}

func (r *testServer) logged(text string) bool { return r.logs.FilterMessageSnippet(text).Len() > 0 }

// A proxy joins, gets its table, and a drain; a change of streams before the old one is seen to end is no leave.
func TestStreamReceivesTableAndDrain(t *testing.T) {
	r := startServer(t, 256)
	if from := receive(t, "watch", r.discovery.calls); from != "41" {
		t.Errorf("watched from %q", from)
	}
	r.discovery.send(listMessage(41, false))
	pinging := r.dial()
	pinging.send("PING")
	if m, err := pinging.receive(); m != "PONG" || err != nil {
		t.Errorf("%q, %v", m, err)
	}
	source := r.dial()
	source.send("SOURCE az a")
	source.send("LOAD az a host s-1 n 20 bad 0 avg 40 window 200 report util:0.4,queue:0")
	source.send("LOAD az a host s-9 n 20 bad 0 avg 40 window 200")
	source.send("PING")
	if m, err := source.receive(); m != "PONG" || err != nil {
		t.Errorf("collector: %q, %v", m, err)
	}
	old := r.subscribe(7)
	if m := old.receiveUntil(7, "replace 1"); !strings.Contains(m, "s-1:") || !strings.Contains(m, "s-2:") || !strings.Contains(m, "stamp") {
		t.Errorf("%q", m)
	}
	anew := r.subscribe(7)
	anew.receiveUntil(7, "replace 1")
	if _, err := old.receive(); err != io.EOF {
		t.Error("the old stream goes on")
	}
	r.discovery.send(listMessage(42, false, hostEntry("s-2", "Terminating")))
	anew.receiveUntil(7, "s-2:0")
	if !r.logged("malformed message ignored") {
		t.Error("nothing says that a backend was named that is not listed")
	}
}

// Each bad client gets a NACK or an end in time; a stream that can't be read on ends without one.
func TestInvalidClientsAreClosed(t *testing.T) {
	r := startServer(t, 256)
	began := time.Now()
	clients := map[string]*client{}
	for name, text := range map[string]string{
		"HTTP": "GET / HTTP/1.1\r\nHost: x\r\n\r\n", "noise": "\x00\xff\x13\x37", "silence": "", "half a message": "*3\r\n$9\r\nSUBSC",
		"an impossible length": "*2\r\n$99999999999\r\n", "too long a message": "*2\r\n$1000000\r\n" + strings.Repeat("x", 8000),
		"orders": string(resp.Append(nil, "CONFIG", "drop", "s-1")), "a report": string(resp.Append(nil, "RATE", "sidecar", "1")),
		"no such proxy":     string(resp.Append(nil, "SUBSCRIBE", "sidecar", "500", "az", "a", "share", "1", "standing", "1")),
		"no such zone":      string(resp.Append(nil, "SOURCE", "az", "z")),
		"endless lines":     strings.Repeat("*1\r\n", 100),
		"a ping, then none": string(resp.Append(nil, "PING")),
	} {
		clients[name] = r.dial()
		_, _ = clients[name].Write([]byte(text))
	}
	for name, c := range clients {
		m, err := c.receive()
		if name == "a ping, then none" {
			if m != "PONG" {
				t.Errorf("%s: %q", name, m)
			}
			m, err = c.receive()
		}
		if err == nil && m != "NACK" {
			t.Errorf("%s: %q, %v", name, m, err)
		}
		if err == nil {
			if _, err = c.receive(); err != io.EOF {
				t.Errorf("%s: goes on", name)
			}
		}
	}
	if took := time.Since(began); took > 3*time.Second {
		t.Errorf("took %s", took)
	}
	stream := r.subscribe(3)
	stream.receiveUntil(3, "replace 1")
	_, _ = stream.Write([]byte("*1\r\n$x"))
	for {
		m, err := stream.receive()
		if err == io.EOF {
			break
		}
		if m == "NACK" {
			t.Error("a stream gets what it could not use")
		}
	}
}

// With hundreds that open a connection and say nothing a proxy still joins, and the bound on descriptors holds.
func TestConnectionLimitLetsProxiesIn(t *testing.T) {
	const most = 8
	r := startServer(t, reservedDescriptors+most)
	var silent []*client
	for range 20 * most {
		c, err := net.Dial("tcp", r.coordinator.Addr())
		if err != nil {
			continue // refused: that is an end too
		}
		silent = append(silent, &client{Conn: c, t: t})
	}
	c := r.subscribe(1)
	c.receiveUntil(1, "replace 1")
	if open := r.coordinator.server.counters.open.Load(); open > most {
		t.Errorf("%d connections, %d may be", open, most)
	}
	if r.coordinator.server.counters.evicted.Load() == 0 {
		t.Error("none had to go")
	}
	for _, c := range silent {
		_ = c.Close()
	}
}

// Discovery refuses, ends its watch and brings what can't be read: each time the module hears of it once and asks again, from
// the version at hand.
func TestWatchIsRetriedAfterFailures(t *testing.T) {
	r := startServer(t, 256)
	if from := receive(t, "watch", r.discovery.calls); from != "41" {
		t.Fatal(from)
	}
	c := r.subscribe(1)
	r.discovery.send(listMessage(50, false, hostEntry("s-3", "Ready")))
	c.receiveUntil(1, "s-3")
	r.discovery.mu.Lock()
	r.discovery.rejectNext = 1
	r.discovery.mu.Unlock()
	r.discovery.send("") // ends
	if got := receive(t, "call", r.discovery.calls); got != "refused" {
		t.Fatal(got)
	}
	if from := receive(t, "watch", r.discovery.calls); from != "50" {
		t.Errorf("asked again from %q", from)
	}
	r.discovery.send("{what")
	if from := receive(t, "watch", r.discovery.calls); from != "50" {
		t.Errorf("asked again from %q", from)
	}
	r.discovery.send(listMessage(51, false, hostEntry("s-3", "Gone")))
	c.receiveUntil(1, "s-3:0")
}

// A new address of discovery's: its watch takes over from the version at hand, and the module hears of no failure.
func TestDiscoveryAddressChanges(t *testing.T) {
	r := startServer(t, 256)
	receive(t, "watch", r.discovery.calls)
	c := r.subscribe(1)
	r.discovery.send(listMessage(60, false, hostEntry("s-3", "Ready")))
	c.receiveUntil(1, "s-3")
	second := newFakeDiscovery(t)
	cfg := r.cfg
	cfg.Discovery = second.address()
	r.coordinator.Reload(cfg)
	if from := receive(t, "watch", second.calls); from != "60" {
		t.Errorf("from %q", from)
	}
	second.send(listMessage(61, false, hostEntry("s-3", "Terminating")))
	c.receiveUntil(1, "s-3:0")
	r.discovery.stop()
	second.send(listMessage(62, false, hostEntry("s-4", "Ready")))
	c.receiveUntil(1, "s-4")
	if r.logged("discovery watch ended") {
		t.Error("a failure is told though there was none")
	}
}

// Where the module need not ask, the host watches by itself, again after a pause when that fails, and through a failure of
// the module.
func TestWatchWithoutPolling(t *testing.T) {
	r := startServer(t, 256, func(n *Coordinator) { n.cfg.Start.PollsList, n.module.instance = false, nil })
	receive(t, "watch", r.discovery.calls)
	c := r.subscribe(1)
	c.receiveUntil(1, "replace 1")
	r.discovery.send(listMessage(50, false, hostEntry("s-3", "Ready")))
	c.receiveUntil(1, "s-3")
	began := time.Now()
	r.discovery.send("")
	if from := receive(t, "watch", r.discovery.calls); from != "50" || time.Since(began) < minBackoff/2 {
		t.Errorf("from %q after %s", from, time.Since(began))
	}
}

// The module's failure costs no stream: a fresh one takes over and lays the tables anew. A second one at once ends the program.
func TestModuleFailureKeepsStreams(t *testing.T) {
	r := startServer(t, 256, func(n *Coordinator) { n.module.instance = nil })
	c := r.subscribe(1)
	c.receiveUntil(1, "replace 1")
	if !r.logged("decision module panicked") {
		t.Error("nothing is logged")
	}
	n := &policyModule{settings: &r.cfg.Start, log: zap.NewNop(), hasFailed: true, failedAt: 5}
	if _, err := n.step(6, []policyapi.Event{policyapi.TimerFired{}}); err == nil {
		t.Error("it goes on for ever")
	}
}

// An address that is taken is a failure of the machine.
func TestListenAddressInUse(t *testing.T) {
	r := startServer(t, 256)
	cfg := r.cfg
	cfg.Listen = r.coordinator.Addr()
	if _, err := New(cfg, zap.NewNop()); !errors.Is(err, ErrEnvironment) {
		t.Errorf("%v", err)
	}
}

// However the bytes come, they are the same messages.
func TestMessageInPieces(t *testing.T) {
	r := startServer(t, 256)
	c := r.dial()
	for _, b := range bytes.SplitAfter(resp.Append(nil, "SUBSCRIBE", "sidecar", "9", "az", "b", "share", "3", "standing", "0"), []byte("\r")) {
		_, _ = c.Write(b)
		time.Sleep(time.Millisecond)
	}
	c.receiveUntil(9, "replace 1")
}

// Probes go to where discovery says a backend answers, its figures come by the module's names, and each outcome has its code.
func TestHealthChecks(t *testing.T) {
	answers := map[string]int{"/metrics/load": http.StatusOK}
	var mu sync.Mutex
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		w.WriteHeader(answers[req.URL.Path])
		_, _ = io.WriteString(w, `{"inflight":7,"queue":2,"util":0.61,"new":"x"}`)
	}))
	defer backend.Close()
	r := startServer(t, 256)
	told := make(chan policyapi.HealthCheckResult, 1)
	o := r.coordinator.healthCheckOptions()
	o.URL = func(b policyapi.EndpointID) (string, bool) {
		if b == "s-1" {
			return backend.URL + "/metrics/load", true
		}
		return r.coordinator.healthCheckOptions().URL(b)
	}
	p := healthcheck.New(o, func(found policyapi.HealthCheckResult) { told <- found })
	defer p.Close()
	ask := func(b policyapi.EndpointID) policyapi.HealthCheckResult {
		p.Check(b)
		return receive(t, "finding", told)
	}
	if f := ask("s-1"); !f.Healthy || f.Code != "Ok" || len(f.Metrics) != 3 || f.Metrics["busy"] != 0.61 || f.Metrics["rif"] != 7 {
		t.Errorf("%+v", f)
	}
	mu.Lock()
	answers["/metrics/load"] = http.StatusServiceUnavailable
	mu.Unlock()
	if f := ask("s-1"); f.Healthy || f.Code != "QueueFull" {
		t.Errorf("%+v", f)
	}
	if f := ask("s-2"); f.Healthy || f.Code != "ConnectError" { // listed at a port that nobody has
		t.Errorf("%+v", f)
	}
	if f := ask("s-9"); f.Healthy || f.Code != "Failed" { // never listed
		t.Errorf("%+v", f)
	}
}

// A peer that takes nothing is closed once more waits for it than may, and the others' orders go on meanwhile.
func TestStalledPeerIsClosed(t *testing.T) {
	r := startServer(t, 256)
	receive(t, "watch", r.discovery.calls)
	stuck := r.subscribe(1)
	stuck.receiveUntil(1, "replace 1")
	other := r.subscribe(2)
	other.receiveUntil(2, "replace 1")
	links := make(chan *connection, 1)
	loop := *r.coordinator.server.loop.Load()
	_ = loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		for l := range r.coordinator.server.streams {
			if l.session.Proxy == 1 {
				links <- l
			}
		}
		return nil
	}))
	l := receive(t, "link", links)
	big := proxyproto.OutboundMessage{Proxy: 1, Bytes: bytes.Repeat([]byte("x"), 1<<20)}
	for end := time.Now().Add(testTimeout); r.coordinator.server.counters.stalled.Load() == 0; {
		if r.coordinator.server.send(l, big); time.Now().After(end) {
			t.Fatal("what waits for it grows and grows")
		}
		time.Sleep(time.Millisecond)
	}
	r.discovery.send(listMessage(50, false, hostEntry("s-3", "Ready")))
	other.receiveUntil(2, "s-3")
}
