package proxyserver

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/panjf2000/gnet/v2"

	"porthub/policyapi"
	"porthub/proxyproto"
	"porthub/resp"
)

// Invalid clients are sent NACK or closed within three seconds. A stream with bytes that can't be parsed is closed without NACK.
func TestInvalidClientsAreClosed(t *testing.T) {
	srv := startServer(t, 256)
	began := time.Now()
	clients := map[string]*client{}
	for name, text := range map[string]string{
		"HTTP":               "GET / HTTP/1.1\r\nHost: x\r\n\r\n",
		"binary data":        "\x00\xff\x13\x37",
		"no data":            "",
		"incomplete message": "*3\r\n$9\r\nSUBSC",
		"impossible length":  "*2\r\n$99999999999\r\n",
		"message too long":   "*2\r\n$1000000\r\n" + strings.Repeat("x", 8000),
		"CONFIG":             string(resp.Append(nil, "CONFIG", "drop", "s-1")),
		"no identification":  string(resp.Append(nil, "RATE", "sidecar", "1")),
		"unknown proxy":      string(resp.Append(nil, "SUBSCRIBE", "sidecar", "500", "az", "a", "share", "1", "standing", "1")),
		"unknown zone":       string(resp.Append(nil, "SOURCE", "az", "z")),
		"nested arrays":      strings.Repeat("*1\r\n", 100),
		"PING, then no data": string(resp.Append(nil, "PING")),
	} {
		clients[name] = srv.dial()
		_, _ = clients[name].Write([]byte(text))
	}
	for name, c := range clients {
		m, err := c.receive()
		if name == "PING, then no data" {
			if m != "PONG" {
				t.Errorf("%s: got %q, want PONG", name, m)
			}
			m, err = c.receive()
		}
		if err == nil && m != "NACK" {
			t.Errorf("%s: got %q, error %v; want NACK or a closed connection", name, m, err)
		}
		if err == nil {
			if _, err = c.receive(); !errors.Is(err, io.EOF) {
				t.Errorf("%s: the connection is not closed", name)
			}
		}
	}
	if took := time.Since(began); took > 3*time.Second {
		t.Errorf("all clients were closed after %s, want at most 3 s", took)
	}
	stream := srv.subscribe(3)
	stream.receiveUntil(3, "replace 1")
	_, _ = stream.Write([]byte("*1\r\n$x"))
	for {
		m, err := stream.receive()
		if errors.Is(err, io.EOF) {
			break
		}
		if m == "NACK" {
			t.Error("a stream is sent NACK")
		}
	}
}

// A proxy can connect while 160 clients open connections and send nothing, and the limit on connections is not exceeded.
func TestProxyConnectsAtConnectionLimit(t *testing.T) {
	const maxConnections = 8
	srv := startServer(t, reservedDescriptors+maxConnections)
	var silent []*client
	for range 20 * maxConnections {
		conn, err := net.Dial("tcp", srv.coordinator.Addr())
		if err != nil {
			continue // a refused connection counts as closed
		}
		silent = append(silent, &client{Conn: conn, t: t})
	}
	proxy := srv.subscribe(1)
	proxy.receiveUntil(1, "replace 1")
	if open := srv.coordinator.server.counters.open.Load(); open > maxConnections {
		t.Errorf("got %d open connections, want at most %d", open, maxConnections)
	}
	if srv.coordinator.server.counters.evicted.Load() == 0 {
		t.Error("no connection was evicted")
	}
	for _, c := range silent {
		_ = c.Close()
	}
}

// Messages are parsed correctly however their bytes are split.
func TestMessageInPieces(t *testing.T) {
	srv := startServer(t, 256)
	proxy := srv.dial()
	for _, b := range bytes.SplitAfter(resp.Append(nil, "SUBSCRIBE", "sidecar", "9", "az", "b", "share", "3", "standing", "0"), []byte("\r")) {
		_, _ = proxy.Write(b)
		time.Sleep(time.Millisecond)
	}
	proxy.receiveUntil(9, "replace 1")
}

// The connection of a peer that does not read is closed once more than maxUnsentBytes are queued for it, and other peers still
// receive their messages.
func TestStalledPeerIsClosed(t *testing.T) {
	srv := startServer(t, 256)
	receive(t, "watch", srv.discovery.calls)
	stalled := srv.subscribe(1)
	stalled.receiveUntil(1, "replace 1")
	other := srv.subscribe(2)
	other.receiveUntil(2, "replace 1")
	connections := make(chan *connection, 1)
	loop := *srv.coordinator.server.loop.Load()
	_ = loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		for c := range srv.coordinator.server.streams {
			if c.session.Proxy == 1 {
				connections <- c
			}
		}
		return nil
	}))
	stalledConnection := receive(t, "connection", connections)
	largeMessage := proxyproto.OutboundMessage{Proxy: 1, Bytes: bytes.Repeat([]byte("x"), 1<<20)}
	for end := time.Now().Add(testTimeout); srv.coordinator.server.counters.stalled.Load() == 0; {
		srv.coordinator.server.send(stalledConnection, largeMessage)
		if time.Now().After(end) {
			t.Fatal("the connection of the stalled peer is not closed")
		}
		time.Sleep(time.Millisecond)
	}
	srv.discovery.send(listMessage(50, false, hostEntry("s-3", "Ready")))
	other.receiveUntil(2, "s-3")
}

// While the owner's lane is full, PING is still answered, and no connect or disconnect is lost.
func TestEventLoopRunsWhileLaneIsFull(t *testing.T) {
	coordinator, ctx := newSteppedCoordinator(t, newManualDiscovery(t).address(), 256)
	filled := 0
	for coordinator.mailbox.TryPutUrgent(input{event: policyapi.HealthCheckResult{}}) {
		filled++
	}
	srv := &testServer{t: t, coordinator: coordinator}
	connecting, pinging := srv.subscribe(7), srv.dial()
	connecting.ping() // the reply shows that the message before PING has been read
	pinging.ping()
	_ = connecting.Close()
	got := acceptUntil(ctx, t, coordinator, "ProxyDisconnected", func(b []policyapi.Event) bool { return len(b) >= filled+2 })
	if connected, is := got[filled].(policyapi.ProxyConnected); !is || connected.Proxy != 7 || got[filled+1] != (policyapi.ProxyDisconnected{Proxy: 7}) {
		t.Errorf("after %d events that filled the lane: got %+v, want the connect and the disconnect of proxy 7", filled, got[filled:])
	}
}

// While the owner is busy, one peer that reports at full speed does not take the places of other peers' reports in the owner's lane.
func TestReportsOfOthersFindPlaceInTheLane(t *testing.T) {
	coordinator, ctx := newSteppedCoordinator(t, newManualDiscovery(t).address(), 256)
	srv := &testServer{t: t, coordinator: coordinator}
	flooding, sound := srv.subscribe(1), srv.subscribe(2)
	report := resp.Append(nil, strings.Split("RATE sidecar 1 kind view n 5 bad 0 window 1000", " ")...)
	_, _ = flooding.Write(bytes.Repeat(report, 2*laneCapacity))
	flooding.ping()
	sound.send("RATE sidecar 2 kind view n 7 bad 0 window 1000")
	sound.ping()
	batch := acceptUntil(ctx, t, coordinator, "report of the sound proxy", func(batch []policyapi.Event) bool {
		return slices.ContainsFunc(batch, func(event policyapi.Event) bool {
			load, is := event.(policyapi.ProxyLoad)
			return is && load.Proxy == 2
		})
	})
	if len(batch) < sharedLaneCapacity {
		t.Errorf("%d events are accepted, want at least the %d places that any connection may take", len(batch), sharedLaneCapacity)
	}
	flooding.ping()
	flooding.send("RATE sidecar 1 kind view n 5 bad 0 window 1000")
	flooding.ping()
	acceptUntil(ctx, t, coordinator, "report after the lane was emptied", func(batch []policyapi.Event) bool { return len(batch) > 0 })
}

// If all connections are identified, a stream that is silent while an acknowledgement is pending is closed in favor of a new
// connection. Other streams are not closed.
func TestSilentStreamIsEvicted(t *testing.T) {
	const maxConnections = 2
	srv := startServer(t, reservedDescriptors+maxConnections)
	receive(t, "watch", srv.discovery.calls)
	silent, responsive := srv.subscribe(1), srv.subscribe(2)
	if m, err := silent.receive(); err != nil || !strings.Contains(m, "stamp") {
		t.Fatalf("got message %q, error %v; want one with an ack id", m, err)
	}
	responsive.receiveUntil(2, "replace 1")
	rejected := srv.dial()
	if m, err := rejected.receive(); m != "NACK" || err != nil {
		t.Fatalf("connection over the limit: got %q, error %v; want NACK", m, err)
	}
	silent.pingPastMessages() // it is still connected, since it may yet acknowledge
	done := make(chan struct{})
	loop := *srv.coordinator.server.loop.Load()
	_ = loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		for c := range srv.coordinator.server.streams { // makes all times older than silenceTimeout
			c.receivedAt = c.receivedAt.Add(-2 * silenceTimeout)
			c.ackPendingSince = c.ackPendingSince.Add(-2 * silenceTimeout)
		}
		close(done)
		return nil
	}))
	receive(t, "loop", done)
	responsive.ping()
	srv.subscribe(3).receiveUntil(3, "replace 1")
	if _, err := silent.receive(); err == nil {
		if _, err = silent.receive(); err == nil {
			t.Error("the silent stream is not closed")
		}
	}
	responsive.pingPastMessages() // it is still connected
}
