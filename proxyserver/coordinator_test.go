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

	"porthub/healthcheck"
	"porthub/policyapi"
	"porthub/proxyproto"
	"porthub/resp"
)

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

// A proxy comes anew before its old stream is seen to end: what the old one still says of marks is not taken, and its end is no
// leave. What it says of usage counts: that was so on either stream.
func TestReplacedStreamIsNotADisconnect(t *testing.T) {
	n, ctx := newSteppedCoordinator(t, newManualDiscovery(t).address(), 256)
	r := &testServer{t: t, coordinator: n}
	old := r.subscribe(7)
	acceptUntil(ctx, t, n, "joining", func(b []policyapi.Event) bool { return len(b) == 1 })
	n.publisher.Apply([]policyapi.Order{policyapi.RequestAck{AckID: 5}})
	n.server.send(n.streams[7], proxyproto.OutboundMessage{Proxy: 7, Bytes: proxyproto.PongReply, AckID: 5, RequestsAck: true})
	if m, err := old.receive(); m != "PONG" || err != nil {
		t.Fatal(m, err)
	}
	anew := r.subscribe(7)
	for n.mailbox.Len() == 0 { // the new joining waits for the owner, and the old stream goes on
		old.send("RATE sidecar 7 kind view n 3 bad 0 window 200")
		time.Sleep(time.Millisecond)
	}
	anew.send("PING")
	if m, err := anew.receive(); m != "PONG" || err != nil {
		t.Fatal(m, err)
	}
	old.send("ACK sidecar 7 version 5 lag_ms 3")
	old.send("PING")
	if m, err := old.receive(); m != "PONG" || err != nil {
		t.Fatal(m, err)
	}
	usage := func(b []policyapi.Event) bool {
		return slices.ContainsFunc(b, func(ev policyapi.Event) bool { _, is := ev.(policyapi.ProxyLoad); return is })
	}
	got := acceptUntil(ctx, t, n, "usage", usage)
	if _, err := old.receive(); err == nil {
		t.Error("the old stream goes on")
	}
	// Its end has been handed over before it could be seen.
	for _, e := range n.mailbox.Next(ctx, nil, func() <-chan time.Time { return time.After(time.Millisecond) }) {
		got = n.accept(ctx, got, e)
	}
	got = slices.DeleteFunc(got, func(ev policyapi.Event) bool { _, is := ev.(policyapi.ProxyLoad); return is })
	if len(got) != 2 || got[0] != (policyapi.ProxyDisconnected{Proxy: 7}) || got[1].(policyapi.ProxyConnected).Proxy != 7 || n.streams[7] == nil {
		t.Errorf("told %+v", got)
	}
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

// An address that is taken is a failure of the machine.
func TestListenAddressInUse(t *testing.T) {
	r := startServer(t, 256)
	cfg := r.cfg
	cfg.Listen = r.coordinator.Addr()
	if _, err := New(cfg, zap.NewNop()); !errors.Is(err, ErrEnvironment) {
		t.Errorf("%v", err)
	}
}

// Proxies dial while the coordinator starts, again and again: who gets through is answered, none is taken and then reset.
func TestDialDuringStartIsNotReset(t *testing.T) {
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cfg := testConfig(t, "127.0.0.1:1", 256)
	cfg.Listen = free.Addr().String()
	_ = free.Close()
	for start := range 500 {
		began, told := make(chan struct{}, 4), make(chan error, 4)
		for range cap(told) {
			go func() {
				for tries := 0; ; tries++ {
					c, err := net.Dial("tcp", cfg.Listen)
					if err != nil {
						if tries == 0 {
							began <- struct{}{}
						}
						continue // nobody listens yet
					}
					_ = c.SetDeadline(time.Now().Add(testTimeout))
					_, _ = c.Write(resp.Append(nil, "PING"))
					_, err = io.ReadFull(c, make([]byte, len(proxyproto.PongReply)))
					_ = c.Close()
					told <- err
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
		for range cap(told) {
			if err := receive(t, "answer", told); err != nil {
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

// SIGTERM's path: a peer that takes nothing holds it up by no more than half a second, and the others get whole messages.
func TestShutdownWithUnsentBytes(t *testing.T) {
	r := startServer(t, 256)
	receive(t, "watch", r.discovery.calls)
	stuck, reads := r.subscribe(1), r.subscribe(2)
	stuck.receiveUntil(1, "replace 1")
	reads.receiveUntil(2, "replace 1")
	loop := *r.coordinator.server.loop.Load()
	links, unsent := make(chan map[policyapi.ProxyID]*connection, 1), make(chan int, 1)
	in := func(do func()) {
		_ = loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error { do(); return nil }))
	}
	in(func() {
		all := map[policyapi.ProxyID]*connection{}
		for l := range r.coordinator.server.streams {
			all[l.session.Proxy] = l
		}
		links <- all
	})
	all := receive(t, "links", links)
	part := []byte(strings.Repeat("x", maxUnsentBytes/8))
	for waits, end := 0, time.Now().Add(testTimeout); waits == 0; waits = receive(t, "loop", unsent) {
		r.coordinator.server.send(all[1], proxyproto.OutboundMessage{Proxy: 1, Bytes: part})
		in(func() { unsent <- all[1].conn.OutboundBuffered() })
		if time.Now().After(end) {
			t.Fatal("it takes everything")
		}
	}
	const messages = 100
	for range messages {
		r.coordinator.server.send(all[2], proxyproto.OutboundMessage{Proxy: 2, Bytes: proxyproto.PongReply})
	}
	began := time.Now()
	r.stop()
	for i := range messages {
		if m, err := reads.receive(); m != "PONG" || err != nil {
			if strings.HasPrefix(m, "CONFIG") {
				continue
			}
			t.Fatalf("message %d: %q, %v", i, m, err)
		}
	}
	if err := receive(t, "end", r.ended); err != nil || time.Since(began) > 400*time.Millisecond { // SIGKILL comes after 0.7 s
		t.Errorf("%v after %s", err, time.Since(began))
	}
	r.ended <- nil
}
