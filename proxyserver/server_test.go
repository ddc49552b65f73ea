package proxyserver

import (
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/panjf2000/gnet/v2"

	"porthub/policyapi"
	"porthub/proxyproto"
	"porthub/resp"
)

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

// While nobody takes what the event loop hands over, signs of life are still answered; nothing that must not be lost is lost.
func TestEventLoopRunsWhileLaneIsFull(t *testing.T) {
	n, ctx := newSteppedCoordinator(t, newManualDiscovery(t).address(), 256)
	filled := 0
	for n.mailbox.TryPutUrgent(input{event: policyapi.HealthCheckResult{}}) {
		filled++
	}
	r := &testServer{t: t, coordinator: n}
	joins, pings := r.subscribe(7), r.dial()
	joins.send("PING") // its answer says that the joining before it was taken off the socket
	if m, err := joins.receive(); m != "PONG" || err != nil {
		t.Fatalf("%q, %v", m, err)
	}
	pings.send("PING")
	if m, err := pings.receive(); m != "PONG" || err != nil {
		t.Fatalf("%q, %v", m, err)
	}
	_ = joins.Close()
	got := acceptUntil(ctx, t, n, "leave", func(b []policyapi.Event) bool { return len(b) >= filled+2 })
	if j, is := got[filled].(policyapi.ProxyConnected); !is || j.Proxy != 7 || got[filled+1] != (policyapi.ProxyDisconnected{Proxy: 7}) {
		t.Errorf("after %d others %+v", filled, got[filled:])
	}
}

// All places are joined: one that has fallen silent over a mark gives way to one that comes, one that answers does not.
func TestSilentStreamIsEvicted(t *testing.T) {
	const most = 2
	r := startServer(t, reservedDescriptors+most)
	receive(t, "watch", r.discovery.calls)
	mute, well := r.subscribe(1), r.subscribe(2)
	if m, err := mute.receive(); err != nil || !strings.Contains(m, "stamp") {
		t.Fatal(m, err)
	}
	well.receiveUntil(2, "replace 1")
	refused := r.dial()
	if m, err := refused.receive(); m != "NACK" || err != nil {
		t.Fatalf("%q, %v: one too many is taken", m, err)
	}
	mute.send("PING")
	for {
		m, err := mute.receive()
		if err != nil {
			t.Fatal("a stream had to go that may yet answer")
		}
		if m == "PONG" {
			break
		}
	}
	done := make(chan struct{})
	loop := *r.coordinator.server.loop.Load()
	_ = loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		for l := range r.coordinator.server.streams { // as if all had been long ago
			l.receivedAt, l.ackPendingSince = l.receivedAt.Add(-2*silenceTimeout), l.ackPendingSince.Add(-2*silenceTimeout)
		}
		close(done)
		return nil
	}))
	receive(t, "loop", done)
	well.send("PING")
	if m, err := well.receive(); m != "PONG" || err != nil {
		t.Fatal(m, err)
	}
	r.subscribe(3).receiveUntil(3, "replace 1")
	if _, err := mute.receive(); err == nil {
		if _, err = mute.receive(); err == nil {
			t.Error("the silent one goes on")
		}
	}
	well.send("PING")
	for {
		m, err := well.receive()
		if err != nil {
			t.Fatal("one that answers had to go")
		}
		if m == "PONG" {
			break
		}
	}
}
