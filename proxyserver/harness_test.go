package proxyserver

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"porthub/policyapi"
	"porthub/proxyproto"
	"porthub/resp"
)

// testTimeout bounds the wait for expected events; no test waits for it to expire.
const testTimeout = 10 * time.Second

// receive returns the next value from a channel. It fails the test if there is none within testTimeout.
func receive[T any](t *testing.T, what string, from <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-from:
	case <-time.After(testTimeout):
		t.Fatalf("no %s within %s", what, testTimeout)
	}
	return v
}

// testServer is a running coordinator with its discovery and its logs.
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

// startServer runs a coordinator with a fakeDiscovery until the test ends.
func startServer(t *testing.T, sockets int, customize ...func(*Coordinator)) *testServer {
	discovery := newFakeDiscovery(t)
	srv := startServerAt(t, discovery.address(), sockets, customize...)
	srv.discovery = discovery
	return srv
}

// startServerAt runs a coordinator with a discovery at an address until the test ends.
func startServerAt(t *testing.T, discovery string, sockets int, customize ...func(*Coordinator)) *testServer {
	srv := &testServer{t: t, cfg: testConfig(t, discovery, sockets), ended: make(chan error, 1)}
	core, logs := observer.New(zap.InfoLevel)
	srv.logs = logs
	var err error
	if srv.coordinator, err = New(srv.cfg, zap.New(core)); err != nil {
		t.Fatal(err)
	}
	for _, c := range customize {
		c(srv.coordinator)
	}
	ctx, stop := context.WithCancel(context.Background())
	srv.stop = stop
	go func() { srv.ended <- srv.coordinator.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		<-srv.ended
	})
	return srv
}

func (s *testServer) dial() *client {
	c, err := net.Dial("tcp", s.coordinator.Addr())
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = c.Close() })
	return &client{Conn: c, t: s.t}
}

func (s *testServer) subscribe(proxy int) *client {
	c := s.dial()
	c.send(fmt.Sprintf("SUBSCRIBE sidecar %d az a share 20 standing 1", proxy))
	return c
}

func (s *testServer) logged(text string) bool { return s.logs.FilterMessageSnippet(text).Len() > 0 }

// client is a connection to the coordinator.
type client struct {
	net.Conn
	t   *testing.T
	buf []byte
}

func (c *client) send(text string) {
	_, _ = c.Write(resp.Append(nil, strings.Split(text, " ")...)) // receive reports a closed connection
}

// receive returns the next message. It returns io.EOF if the connection was closed or reset.
func (c *client) receive() (string, error) {
	_ = c.SetReadDeadline(time.Now().Add(testTimeout))
	for {
		words, n, err := resp.Parse(c.buf, proxyproto.IncomingLimits)
		if err != nil {
			c.t.Fatalf("invalid message: %v: %q", err, c.buf)
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
			c.t.Fatal("no message within the timeout")
		}
		if n == 0 && err != nil {
			return "", io.EOF
		}
	}
}

// ping sends PING and expects PONG as the next message.
func (c *client) ping() {
	c.t.Helper()
	c.send("PING")
	c.expectPong()
}

func (c *client) expectPong() {
	c.t.Helper()
	if message, err := c.receive(); message != "PONG" || err != nil {
		c.t.Fatalf("got message %q, error %v; want PONG", message, err)
	}
}

// pingPastMessages sends PING and skips messages until PONG.
func (c *client) pingPastMessages() {
	c.t.Helper()
	c.send("PING")
	for {
		message, err := c.receive()
		if err != nil {
			c.t.Fatalf("the connection was closed before PONG: %v", err)
		}
		if message == "PONG" {
			return
		}
	}
}

// receiveUntil receives messages, acknowledging each ack id, until one contains the text, and returns that message.
func (c *client) receiveUntil(proxy int, text string) string {
	c.t.Helper()
	for {
		m, err := c.receive()
		if err != nil {
			c.t.Fatalf("the stream ended before a message with %q", text)
		}
		if _, ackID, has := strings.Cut(m, " stamp "); has {
			c.send(fmt.Sprintf("ACK sidecar %d version %s lag_ms 12.5", proxy, ackID))
		}
		if strings.Contains(m, text) {
			return m
		}
	}
}

// newSteppedCoordinator returns a coordinator whose owner is the test: inputs wait until the test accepts them.
func newSteppedCoordinator(t *testing.T, discovery string, sockets int) (*Coordinator, context.Context) {
	ctx, stop := context.WithCancel(context.Background())
	coordinator, err := New(testConfig(t, discovery, sockets), zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		stop()
		coordinator.server.close()
		coordinator.checker.Close()
		coordinator.mailbox.Close()
	})
	return coordinator, ctx
}

// acceptUntil accepts inputs until found returns true for the resulting events, and returns the events.
func acceptUntil(ctx context.Context, t *testing.T, coordinator *Coordinator, what string, found func([]policyapi.Event) bool) []policyapi.Event {
	t.Helper()
	var batch []policyapi.Event
	for end := time.Now().Add(testTimeout); !found(batch); {
		if time.Now().After(end) {
			t.Fatalf("no %s within the timeout, got events %+v", what, batch)
		}
		for _, e := range coordinator.mailbox.Next(ctx, nil, func() <-chan time.Time { return time.After(10 * time.Millisecond) }) {
			batch = coordinator.accept(ctx, batch, e)
		}
	}
	return batch
}

// versions returns the versions of the endpoint updates in a batch.
func versions(batch []policyapi.Event) (versions []policyapi.ListVersion) {
	for _, ev := range batch {
		if update, is := ev.(policyapi.EndpointUpdate); is {
			versions = append(versions, update.Version)
		}
	}
	return versions
}
