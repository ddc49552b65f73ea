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

// A proxy receives its table after connecting, and later a drain. When the proxy connects again, its old stream is closed.
func TestStreamReceivesTableAndDrain(t *testing.T) {
	srv := startServer(t, 256)
	if from := receive(t, "watch", srv.discovery.calls); from != "41" {
		t.Errorf("got a watch from version %q, want 41", from)
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
		t.Errorf("got message %q, want one with s-1, s-2 and an ack id", m)
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

// A proxy connects again before the end of its old stream is detected: the old stream's acknowledgements are ignored, and its end
// does not count as a disconnect of the proxy. Load reports are accepted on both streams.
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
	// The end of the old stream was passed to the owner before the client could detect it.
	for _, e := range coordinator.mailbox.Next(ctx, nil, func() <-chan time.Time { return time.After(time.Millisecond) }) {
		got = coordinator.accept(ctx, got, e)
	}
	got = slices.DeleteFunc(got, func(ev policyapi.Event) bool { _, is := ev.(policyapi.ProxyLoad); return is })
	if len(got) != 2 || got[0] != (policyapi.ProxyDisconnected{Proxy: 7}) || got[1].(policyapi.ProxyConnected).Proxy != 7 || coordinator.streams[7] == nil {
		t.Errorf("got events %+v, want the disconnect and the connect of proxy 7", got)
	}
}

// Health checks use the address in the endpoint list, load metrics are reported under the decision module's names, and each
// outcome has its own code.
func TestHealthChecks(t *testing.T) {
	statuses := map[string]int{"/metrics/load": http.StatusOK}
	var mu sync.Mutex
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		w.WriteHeader(statuses[req.URL.Path])
		_, _ = io.WriteString(w, `{"inflight":7,"queue":2,"util":0.61,"new":"x"}`)
	}))
	defer endpoint.Close()
	srv := startServer(t, 256)
	results := make(chan policyapi.HealthCheckResult, 1)
	options := srv.coordinator.healthCheckOptions()
	options.URL = func(id policyapi.EndpointID) (string, bool) {
		if id == "s-1" {
			return endpoint.URL + "/metrics/load", true
		}
		return srv.coordinator.healthCheckOptions().URL(id)
	}
	checker := healthcheck.New(options, func(result policyapi.HealthCheckResult) { results <- result })
	defer checker.Close()
	check := func(id policyapi.EndpointID) policyapi.HealthCheckResult {
		checker.Check(id)
		return receive(t, "result", results)
	}
	if result := check("s-1"); !result.Healthy || result.Code != "Ok" || len(result.Metrics) != 3 ||
		result.Metrics["busy"] != 0.61 || result.Metrics["rif"] != 7 {
		t.Errorf("got result %+v, want code Ok and three metrics", result)
	}
	mu.Lock()
	statuses["/metrics/load"] = http.StatusServiceUnavailable
	mu.Unlock()
	if result := check("s-1"); result.Healthy || result.Code != "QueueFull" {
		t.Errorf("got result %+v, want code QueueFull", result)
	}
	if result := check("s-2"); result.Healthy || result.Code != "ConnectError" { // listed at a port without a listener
		t.Errorf("got result %+v, want code ConnectError", result)
	}
	if result := check("s-9"); result.Healthy || result.Code != "Failed" { // never listed
		t.Errorf("got result %+v, want code Failed", result)
	}
}

// Listening on an address that is in use fails with ErrEnvironment.
func TestListenAddressInUse(t *testing.T) {
	srv := startServer(t, 256)
	cfg := srv.cfg
	cfg.Listen = srv.coordinator.Addr()
	if _, err := New(cfg, zap.NewNop()); !errors.Is(err, ErrEnvironment) {
		t.Errorf("got error %v, want ErrEnvironment", err)
	}
}

// Proxies dial repeatedly while the coordinator starts. Each accepted connection is served; none is accepted and then reset.
func TestDialDuringStartIsNotReset(t *testing.T) {
	reserved, err := emulator.NewAddress() // no other process can listen there between two starts
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(reserved.Release)
	cfg := testConfig(t, "127.0.0.1:1", 256)
	cfg.Listen = reserved.String()
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
		coordinator, err := New(cfg, zap.NewNop())
		if err != nil {
			t.Fatal(err)
		}
		for range cap(results) {
			if err := receive(t, "answer", results); err != nil {
				t.Errorf("start %d: got error %v, want PONG", start, err)
			}
		}
		coordinator.server.close()
		coordinator.checker.Close()
		coordinator.mailbox.Close()
		if t.Failed() {
			return
		}
	}
}

// On shutdown, a peer that does not read causes a delay of less than half a second, and other peers receive complete messages.
func TestShutdownWithUnsentBytes(t *testing.T) {
	srv := startServer(t, 256)
	receive(t, "watch", srv.discovery.calls)
	stalled, reading := srv.subscribe(1), srv.subscribe(2)
	stalled.receiveUntil(1, "replace 1")
	reading.receiveUntil(2, "replace 1")
	loop := *srv.coordinator.server.loop.Load()
	connections, unsent := make(chan map[policyapi.ProxyID]*connection, 1), make(chan int, 1)
	onLoop := func(do func()) {
		_ = loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error { do(); return nil }))
	}
	onLoop(func() {
		all := map[policyapi.ProxyID]*connection{}
		for c := range srv.coordinator.server.streams {
			all[c.session.Proxy] = c
		}
		connections <- all
	})
	all := receive(t, "connections", connections)
	chunk := []byte(strings.Repeat("x", maxUnsentBytes/8))
	for unsentBytes, end := 0, time.Now().Add(testTimeout); unsentBytes == 0; unsentBytes = receive(t, "loop", unsent) {
		srv.coordinator.server.send(all[1], proxyproto.OutboundMessage{Proxy: 1, Bytes: chunk})
		onLoop(func() { unsent <- all[1].conn.OutboundBuffered() })
		if time.Now().After(end) {
			t.Fatal("the sockets accept all bytes, want some unsent")
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
			t.Fatalf("message %d: got %q, error %v; want PONG", i, m, err)
		}
	}
	if err := receive(t, "end", srv.ended); err != nil || time.Since(began) > 400*time.Millisecond { // SIGKILL comes after 0.7 s
		t.Errorf("got error %v after %s, want none within 400 ms", err, time.Since(began))
	}
	srv.ended <- nil
}
