package proxyserver

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/panjf2000/gnet/v2"
	"go.uber.org/zap"

	"porthub/emulator"
	"porthub/healthcheck"
	"porthub/policyapi"
	"porthub/proxyproto"
	"porthub/resp"
)

// A proxy connects and receives its table, then a drain; a stream that is replaced before its end is detected is no disconnect.
func TestStreamReceivesTableAndDrain(t *testing.T) {
	srv := startServer(t, 256)
	if from := receive(t, "watch", srv.discovery.calls); from != "41" {
		t.Errorf("watched from %q", from)
	}
	srv.discovery.send(listMessage(41, false))
	pinging := srv.dial()
	pinging.ping()
	source := srv.dial()
	source.send("SOURCE az a")
	source.send("LOAD az a host s-1 n 20 bad 0 avg 40 window 200 report util:0.4,queue:0")
	source.send("LOAD az a host s-9 n 20 bad 0 avg 40 window 200")
	source.ping()
	old := srv.subscribe(7)
	if m := old.receiveUntil(7, "replace 1"); !strings.Contains(m, "s-1:") || !strings.Contains(m, "s-2:") || !strings.Contains(m, "stamp") {
		t.Errorf("%q", m)
	}
	replacement := srv.subscribe(7)
	replacement.receiveUntil(7, "replace 1")
	if _, err := old.receive(); !errors.Is(err, io.EOF) {
		t.Error("the old stream is still open")
	}
	srv.discovery.send(listMessage(42, false, hostEntry("s-2", "Terminating")))
	replacement.receiveUntil(7, "s-2:0")
	if !srv.logged("malformed message ignored") {
		t.Error("a message that names an unlisted endpoint is not logged")
	}
}

// A proxy connects again before the end of its old stream is detected: the old stream's acknowledgements are ignored, and its end is
// no disconnect. Load reports count on either stream.
func TestReplacedStreamIsNotADisconnect(t *testing.T) {
	coordinator, ctx := newSteppedCoordinator(t, newManualDiscovery(t).address(), 256)
	srv := &testServer{t: t, coordinator: coordinator}
	old := srv.subscribe(7)
	acceptUntil(ctx, t, coordinator, "ProxyConnected", func(b []policyapi.Event) bool { return len(b) == 1 })
	coordinator.publisher.Apply([]policyapi.Order{policyapi.RequestAck{AckID: 5}})
	coordinator.server.send(coordinator.streams[7], proxyproto.OutboundMessage{Proxy: 7, Bytes: proxyproto.PongReply, AckID: 5, RequestsAck: true})
	old.expectPong()
	replacement := srv.subscribe(7)
	for coordinator.mailbox.Len() == 0 { // the new stream waits for the owner, and the old one is still in use
		old.send("RATE sidecar 7 kind view n 3 bad 0 window 200")
		time.Sleep(time.Millisecond)
	}
	replacement.ping()
	old.send("ACK sidecar 7 version 5 lag_ms 3")
	old.ping()
	hasProxyLoad := func(b []policyapi.Event) bool {
		return slices.ContainsFunc(b, func(ev policyapi.Event) bool { _, is := ev.(policyapi.ProxyLoad); return is })
	}
	got := acceptUntil(ctx, t, coordinator, "ProxyLoad", hasProxyLoad)
	if _, err := old.receive(); err == nil {
		t.Error("the old stream is still open")
	}
	// Its end was handed over before the client could see it.
	for _, e := range coordinator.mailbox.Next(ctx, nil, func() <-chan time.Time { return time.After(time.Millisecond) }) {
		got = coordinator.accept(ctx, got, e)
	}
	got = slices.DeleteFunc(got, func(ev policyapi.Event) bool { _, is := ev.(policyapi.ProxyLoad); return is })
	if len(got) != 2 || got[0] != (policyapi.ProxyDisconnected{Proxy: 7}) || got[1].(policyapi.ProxyConnected).Proxy != 7 || coordinator.streams[7] == nil {
		t.Errorf("events %+v", got)
	}
}

// Health checks use the address in the endpoint list, load metrics are reported by the decision module's names, and each outcome has
// its code.
func TestHealthChecks(t *testing.T) {
	answers := map[string]int{"/metrics/load": http.StatusOK}
	var mu sync.Mutex
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		w.WriteHeader(answers[req.URL.Path])
		_, _ = io.WriteString(w, `{"inflight":7,"queue":2,"util":0.61,"new":"x"}`)
	}))
	defer endpoint.Close()
	srv := startServer(t, 256)
	results := make(chan policyapi.HealthCheckResult, 1)
	options := srv.coordinator.healthCheckOptions()
	options.URL = func(b policyapi.EndpointID) (string, bool) {
		if b == "s-1" {
			return endpoint.URL + "/metrics/load", true
		}
		return srv.coordinator.healthCheckOptions().URL(b)
	}
	checker := healthcheck.New(options, func(found policyapi.HealthCheckResult) { results <- found })
	defer checker.Close()
	check := func(b policyapi.EndpointID) policyapi.HealthCheckResult {
		checker.Check(b)
		return receive(t, "result", results)
	}
	if f := check("s-1"); !f.Healthy || f.Code != "Ok" || len(f.Metrics) != 3 || f.Metrics["busy"] != 0.61 || f.Metrics["rif"] != 7 {
		t.Errorf("%+v", f)
	}
	mu.Lock()
	answers["/metrics/load"] = http.StatusServiceUnavailable
	mu.Unlock()
	if f := check("s-1"); f.Healthy || f.Code != "QueueFull" {
		t.Errorf("%+v", f)
	}
	if f := check("s-2"); f.Healthy || f.Code != "ConnectError" { // listed at a port without a listener
		t.Errorf("%+v", f)
	}
	if f := check("s-9"); f.Healthy || f.Code != "Failed" { // never listed
		t.Errorf("%+v", f)
	}
}

// An address that is in use is a failure of the machine.
func TestListenAddressInUse(t *testing.T) {
	srv := startServer(t, 256)
	cfg := srv.cfg
	cfg.Listen = srv.coordinator.Addr()
	if _, err := New(cfg, zap.NewNop()); !errors.Is(err, ErrEnvironment) {
		t.Errorf("%v", err)
	}
}

// Proxies dial repeatedly while the coordinator starts: each connection is served, none is accepted and then reset.
func TestDialDuringStartIsNotReset(t *testing.T) {
	free, err := emulator.NewAddress() // held, so that no other process listens there between two starts
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(free.Release)
	cfg := testConfig(t, "127.0.0.1:1", 256)
	cfg.Listen = free.String()
	for start := range 500 {
		began, results := make(chan struct{}, 4), make(chan error, 4)
		for range cap(results) {
			go func() {
				for attempts := 0; ; attempts++ {
					c, err := net.Dial("tcp", cfg.Listen)
					if err != nil {
						if attempts == 0 {
							began <- struct{}{}
						}
						continue // there is no listener yet
					}
					_ = c.SetDeadline(time.Now().Add(testTimeout))
					_, _ = c.Write(resp.Append(nil, "PING"))
					_, err = io.ReadFull(c, make([]byte, len(proxyproto.PongReply)))
					_ = c.Close()
					results <- err
					return
				}
			}()
		}
		for range cap(began) {
			receive(t, "dial", began)
		}
		n, err := New(cfg, zap.NewNop())
		if err != nil {
			t.Fatal(err)
		}
		for range cap(results) {
			if err := receive(t, "answer", results); err != nil {
				t.Errorf("start %d: %v", start, err)
			}
		}
		n.server.close()
		n.checker.Close()
		n.mailbox.Close()
		if t.Failed() {
			return
		}
	}
}

// On shutdown a peer that does not read causes a delay of half a second at most, and the others receive complete messages.
func TestShutdownWithUnsentBytes(t *testing.T) {
	srv := startServer(t, 256)
	receive(t, "watch", srv.discovery.calls)
	stuck, reading := srv.subscribe(1), srv.subscribe(2)
	stuck.receiveUntil(1, "replace 1")
	reading.receiveUntil(2, "replace 1")
	loop := *srv.coordinator.server.loop.Load()
	connections, unsent := make(chan map[policyapi.ProxyID]*connection, 1), make(chan int, 1)
	onLoop := func(do func()) {
		_ = loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error { do(); return nil }))
	}
	onLoop(func() {
		all := map[policyapi.ProxyID]*connection{}
		for l := range srv.coordinator.server.streams {
			all[l.session.Proxy] = l
		}
		connections <- all
	})
	all := receive(t, "links", connections)
	part := []byte(strings.Repeat("x", maxUnsentBytes/8))
	for unsentBytes, end := 0, time.Now().Add(testTimeout); unsentBytes == 0; unsentBytes = receive(t, "loop", unsent) {
		srv.coordinator.server.send(all[1], proxyproto.OutboundMessage{Proxy: 1, Bytes: part})
		onLoop(func() { unsent <- all[1].conn.OutboundBuffered() })
		if time.Now().After(end) {
			t.Fatal("all bytes are taken")
		}
	}
	const messages = 100
	for range messages {
		srv.coordinator.server.send(all[2], proxyproto.OutboundMessage{Proxy: 2, Bytes: proxyproto.PongReply})
	}
	began := time.Now()
	srv.stop()
	for i := range messages {
		if m, err := reading.receive(); m != "PONG" || err != nil {
			if strings.HasPrefix(m, "CONFIG") {
				continue
			}
			t.Fatalf("message %d: %q, %v", i, m, err)
		}
	}
	if err := receive(t, "end", srv.ended); err != nil || time.Since(began) > 400*time.Millisecond { // SIGKILL comes after 0.7 s
		t.Errorf("%v after %s", err, time.Since(began))
	}
	srv.ended <- nil
}
