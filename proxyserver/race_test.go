package proxyserver

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/panjf2000/gnet/v2"
	"go.uber.org/zap"

	"porthub/policyapi"
	"porthub/proxyproto"
	"porthub/resp"
)

// ackPendingSince is a call that has come to a stand-in of discovery's: it is answered when the test says so, or never.
type discoveryCall struct {
	uri     string
	respond chan int    // the status
	lines   chan string // closed: the answer ends
	done    <-chan struct{}
}

func (a *discoveryCall) accept(lines ...string) {
	a.respond <- http.StatusOK
	for _, l := range lines {
		a.lines <- l
	}
}

// manualDiscovery is a stand-in of discovery's that hands each call to the test.
type manualDiscovery struct {
	*httptest.Server
	calls chan *discoveryCall
}

func newManualDiscovery(t *testing.T) *manualDiscovery {
	h := &manualDiscovery{calls: make(chan *discoveryCall, 256)}
	h.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		a := &discoveryCall{uri: req.URL.RequestURI(), respond: make(chan int, 1), lines: make(chan string, 16), done: req.Context().Done()}
		h.calls <- a
		for {
			select {
			case <-a.done:
				return
			case status := <-a.respond:
				w.WriteHeader(status)
			case line, more := <-a.lines:
				if !more {
					return
				}
				_, _ = fmt.Fprintln(w, line)
			}
			w.(http.Flusher).Flush()
		}
	}))
	t.Cleanup(func() {
		h.CloseClientConnections()
		h.Close()
	})
	return h
}

func (h *manualDiscovery) address() string { return strings.TrimPrefix(h.URL, "http://") }

func (h *manualDiscovery) nextCall(t *testing.T, uri string) *discoveryCall {
	t.Helper()
	a := receive(t, "call for "+uri, h.calls)
	if a.uri != uri {
		t.Fatalf("asked for %s, not for %s", a.uri, uri)
	}
	return a
}

// sendHeartbeats sends the empty lines of a watch that stands, more often than the protocol has them, until the test ends.
func (a *discoveryCall) sendHeartbeats(t *testing.T) {
	ended := make(chan struct{})
	t.Cleanup(func() { close(ended) })
	go func() {
		for {
			select {
			case <-a.done:
				return
			case <-ended:
				return
			case <-time.After(lineTimeout / 10):
				select {
				case a.lines <- "":
				default:
				}
			}
		}
	}()
}

// newSteppedCoordinator is a coordinator whose owner is the test: what comes in waits until the test takes it.
func newSteppedCoordinator(t *testing.T, discovery string, sockets int) (*Coordinator, context.Context) {
	ctx, stop := context.WithCancel(context.Background())
	n, err := New(testConfig(t, discovery, sockets), zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		stop()
		n.server.close()
		n.checker.Close()
		n.mailbox.Close()
	})
	return n, ctx
}

// acceptUntil takes what comes in until the module was told what is looked for, and returns all that it was told.
func acceptUntil(ctx context.Context, t *testing.T, n *Coordinator, what string, found func([]policyapi.Event) bool) []policyapi.Event {
	t.Helper()
	var batch []policyapi.Event
	for end := time.Now().Add(testTimeout); !found(batch); {
		if time.Now().After(end) {
			t.Fatalf("no %s: %+v", what, batch)
		}
		for _, e := range n.mailbox.Next(ctx, nil, func() <-chan time.Time { return time.After(10 * time.Millisecond) }) {
			batch = n.accept(ctx, batch, e)
		}
	}
	return batch
}

func versions(batch []policyapi.Event) (versions []policyapi.ListVersion) {
	for _, ev := range batch {
		if l, is := ev.(policyapi.EndpointUpdate); is {
			versions = append(versions, l.Version)
		}
	}
	return versions
}

// A whole list that was asked for before the watch brought a drain, and comes after it, sets nothing back.
func TestSnapshotOlderThanWatchIsIgnored(t *testing.T) {
	h := newManualDiscovery(t)
	n, ctx := newSteppedCoordinator(t, h.address(), 256)
	n.watcher.startWatch(ctx, 0)
	watch := h.nextCall(t, "/discovery/hosts?watch=1&from=41")
	n.watcher.requestSnapshot(ctx, 0)
	whole := h.nextCall(t, "/discovery/hosts")
	watch.accept(listMessage(50, false, hostEntry("s-2", "Terminating"), hostEntry("s-3", "Ready")))
	acceptUntil(ctx, t, n, "change", func(b []policyapi.Event) bool { return len(versions(b)) == 1 })
	whole.accept(listMessage(41, true, hostEntry("s-1", "Ready"), hostEntry("s-2", "Ready")))
	close(whole.lines)
	watch.lines <- listMessage(51, false)
	got := acceptUntil(ctx, t, n, "change after it", func(b []policyapi.Event) bool {
		return slices.Contains(versions(b), 51) && !n.watcher.snapshotCall.isPending()
	})
	if v := versions(got); len(v) != 1 || n.endpoints.version != 51 {
		t.Errorf("told %v, at version %d", v, n.endpoints.version)
	}
	if n.endpoints.endpoints["s-2"].Status != policyapi.Draining || n.endpoints.endpoints["s-3"].ID == "" || !n.server.validator.IsKnown("s-3") {
		t.Errorf("a backend that drains is back, or a new one is forgotten: %+v", n.endpoints.endpoints)
	}
	n.watcher.requestSnapshot(ctx, 0) // one that is newer is taken
	whole = h.nextCall(t, "/discovery/hosts")
	whole.accept(listMessage(52, true, hostEntry("s-1", "Ready")))
	close(whole.lines)
	acceptUntil(ctx, t, n, "whole list", func(b []policyapi.Event) bool { return slices.Equal(versions(b), []policyapi.ListVersion{52}) })
}

// Discovery moves while a whole list is asked for at the old address: what that still says is not taken, the new one is asked.
func TestSnapshotOfOldAddressIsIgnored(t *testing.T) {
	h, second := newManualDiscovery(t), newManualDiscovery(t)
	n, ctx := newSteppedCoordinator(t, h.address(), 256)
	n.watcher.requestSnapshot(ctx, 0)
	old := h.nextCall(t, "/discovery/hosts")
	cfg := n.cfg
	cfg.Discovery = second.address()
	n.reload(ctx, cfg)
	anew := second.nextCall(t, "/discovery/hosts")
	old.accept(listMessage(60, true, hostEntry("s-9", "Ready")))
	close(old.lines)
	receive(t, "end of the old call", old.done)
	anew.accept(listMessage(55, true, hostEntry("s-1", "Ready"), hostEntry("s-4", "Ready")))
	close(anew.lines)
	got := acceptUntil(ctx, t, n, "list", func(b []policyapi.Event) bool { return len(b) > 0 })
	if v := versions(got); !slices.Equal(v, []policyapi.ListVersion{55}) || n.endpoints.endpoints["s-9"].ID != "" {
		t.Errorf("told %v, holds %v", v, n.endpoints.endpoints)
	}
}

// The watch at a new address is refused while the old one stands and goes on: the new address is asked again.
func TestOldWatchStaysWhileNewAddressFails(t *testing.T) {
	h, second := newManualDiscovery(t), newManualDiscovery(t)
	r := startServerAt(t, h.address(), 256)
	old := h.nextCall(t, "/discovery/hosts?watch=1&from=41")
	old.accept(listMessage(42, false, hostEntry("s-3", "Ready")))
	old.sendHeartbeats(t)
	c := r.subscribe(1)
	c.receiveUntil(1, "s-3")
	cfg := r.cfg
	cfg.Discovery = second.address()
	r.coordinator.Reload(cfg)
	second.nextCall(t, "/discovery/hosts?watch=1&from=42").respond <- http.StatusServiceUnavailable
	again := second.nextCall(t, "/discovery/hosts?watch=1&from=42")
	select {
	case <-old.done:
		t.Fatal("the old watch has ended before the new one stands")
	default:
	}
	old.lines <- listMessage(43, false, hostEntry("s-4", "Ready")) // it counts until then
	c.receiveUntil(1, "s-4")
	again.accept(listMessage(44, false, hostEntry("s-3", "Terminating")))
	c.receiveUntil(1, "s-3:0")
	receive(t, "end of the old watch", old.done)
}

// Discovery moves twice, and the first new address never answers: the call there ends before the second new one is answered,
// and what it would have brought is not taken.
func TestAddressChangesDuringDial(t *testing.T) {
	h, second, third := newManualDiscovery(t), newManualDiscovery(t), newManualDiscovery(t)
	r := startServerAt(t, h.address(), 256)
	old := h.nextCall(t, "/discovery/hosts?watch=1&from=41")
	old.accept(listMessage(42, false, hostEntry("s-9", "Ready")))
	c := r.subscribe(1)
	c.receiveUntil(1, "s-9") // the old watch stands
	cfg := r.cfg
	cfg.Discovery = second.address()
	r.coordinator.Reload(cfg)
	hangs, called := receive(t, "call of the second", second.calls), time.Now()
	cfg.Discovery = third.address()
	r.coordinator.Reload(cfg)
	last := receive(t, "call of the third", third.calls)
	receive(t, "end of the second's call", hangs.done)
	if took := time.Since(called); took >= lineTimeout {
		t.Errorf("it was waited for, %s", took)
	}
	select {
	case <-old.done:
		t.Fatal("the old watch has ended before another stands")
	default:
	}
	last.accept(listMessage(43, false, hostEntry("s-3", "Ready")))
	receive(t, "end of the old watch", old.done)
	c.receiveUntil(1, "s-3")
}

// A watch that falls silent is followed by another while it still stands, long before it is given up.
func TestOverdueWatchIsReplaced(t *testing.T) {
	h := newManualDiscovery(t)
	r := startServerAt(t, h.address(), 256)
	silent := h.nextCall(t, "/discovery/hosts?watch=1&from=41")
	silent.accept(listMessage(45, false, hostEntry("s-3", "Ready")))
	c := r.subscribe(1)
	c.receiveUntil(1, "s-3")
	next := h.nextCall(t, "/discovery/hosts?watch=1&from=45")
	select {
	case <-silent.done:
		t.Error("it was given up first")
	default:
	}
	next.respond <- http.StatusServiceUnavailable // and asked for again while the silent one is all there is
	next = h.nextCall(t, "/discovery/hosts?watch=1&from=45")
	select {
	case <-silent.done:
		t.Error("it was given up before another stands")
	default:
	}
	next.accept(listMessage(46, false, hostEntry("s-3", "Terminating")))
	c.receiveUntil(1, "s-3:0")
	receive(t, "end of the silent watch", silent.done)
}

// A call that is not answered at all is given up as soon as an answer is overdue.
func TestUnansweredCallTimesOut(t *testing.T) {
	h := newManualDiscovery(t)
	n, ctx := newSteppedCoordinator(t, h.address(), 256)
	began := time.Now()
	n.watcher.enabled = true
	n.watcher.startWatch(ctx, 0)
	hangs := h.nextCall(t, "/discovery/hosts?watch=1&from=41")
	got := acceptUntil(ctx, t, n, "failure", func(b []policyapi.Event) bool { return len(b) > 0 })
	if l, is := got[0].(policyapi.EndpointUpdate); !is || l.Kind != policyapi.Failed || time.Since(began) > watchTimeout {
		t.Errorf("%+v after %s", got, time.Since(began))
	}
	receive(t, "end of the call", hangs.done)
}

// A watch that is answered, says nothing and ends, again and again, is not asked for without a pause.
func TestWatchThatEndsAtOnceIsBackedOff(t *testing.T) {
	h := newManualDiscovery(t)
	startServerAt(t, h.address(), 256)
	const calls = 5
	began := time.Now()
	for range calls {
		a := h.nextCall(t, "/discovery/hosts?watch=1&from=41")
		a.accept()
		close(a.lines)
	}
	if took := time.Since(began); took < (calls-1)*200*time.Millisecond {
		t.Errorf("%d calls within %s", calls, took)
	}
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

// A module takes over from one that has failed: it is told of joinings as they were, what was asked of discovery for the other
// is called off, and the answer to a mark of the other's is none to one of its own.
func TestModuleRestart(t *testing.T) {
	h := newManualDiscovery(t)
	n, ctx := newSteppedCoordinator(t, h.address(), 256)
	r := &testServer{t: t, coordinator: n}
	c := r.subscribe(7)
	n.watcher.requestSnapshot(ctx, 0)
	whole := h.nextCall(t, "/discovery/hosts")
	saved := n.cfg.CachedList.Update
	saved.Kind = policyapi.Cached
	if err := n.process(ctx, []policyapi.Event{saved}); err != nil {
		t.Fatal(err)
	}
	stamped := func() (mark string) { // of the next table
		t.Helper()
		for n.stats.messages = 0; n.stats.messages == 0; {
			if err := n.step(ctx); err != nil {
				t.Fatal(err)
			}
		}
		m, err := c.receive()
		if err != nil || !strings.Contains(m, "replace 1") || !strings.Contains(m, " stamp ") {
			t.Fatalf("%q, %v", m, err)
		}
		return strings.Fields(m[strings.Index(m, " stamp "):])[1]
	}
	first := stamped()
	n.module.instance = nil // fails with the next batch
	second := stamped()
	if second == first {
		t.Fatalf("two marks are %s", first)
	}
	receive(t, "end of the call", whole.done)
	c.send(fmt.Sprintf("ACK sidecar 7 version %s lag_ms 1", first))
	c.send(fmt.Sprintf("ACK sidecar 7 version %s lag_ms 2", second))
	got := acceptUntil(ctx, t, n, "answer", func(b []policyapi.Event) bool { return len(b) > 0 })
	if a, is := got[0].(policyapi.Acknowledged); !is || len(got) != 1 || a.AckID != 1 || a.Delay != 2000 {
		t.Errorf("told %+v", got)
	}
	again := n.module.restart()
	if j, is := again[1].(policyapi.ProxyConnected); !is || j != (policyapi.ProxyConnected{Proxy: 7, Zone: "a", Weight: 20}) {
		t.Errorf("told of %+v", again[1:])
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
