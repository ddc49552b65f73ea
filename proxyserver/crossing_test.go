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

// asked is a call that has come to a stand-in of discovery's: it is answered when the test says so, or never.
type asked struct {
	uri   string
	open  chan int    // the status
	lines chan string // closed: the answer ends
	gone  <-chan struct{}
}

func (a *asked) says(lines ...string) {
	a.open <- http.StatusOK
	for _, l := range lines {
		a.lines <- l
	}
}

// held is a stand-in of discovery's that hands each call to the test.
type held struct {
	*httptest.Server
	came chan *asked
}

func newHeld(t *testing.T) *held {
	h := &held{came: make(chan *asked, 256)}
	h.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		a := &asked{uri: req.URL.RequestURI(), open: make(chan int, 1), lines: make(chan string, 16), gone: req.Context().Done()}
		h.came <- a
		for {
			select {
			case <-a.gone:
				return
			case status := <-a.open:
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

func (h *held) address() string { return strings.TrimPrefix(h.URL, "http://") }

func (h *held) next(t *testing.T, uri string) *asked {
	t.Helper()
	a := wait(t, "call for "+uri, h.came)
	if a.uri != uri {
		t.Fatalf("asked for %s, not for %s", a.uri, uri)
	}
	return a
}

// beats sends the empty lines of a watch that stands, more often than the protocol has them, until the test ends.
func (a *asked) beats(t *testing.T) {
	ended := make(chan struct{})
	t.Cleanup(func() { close(ended) })
	go func() {
		for {
			select {
			case <-a.gone:
				return
			case <-ended:
				return
			case <-time.After(lineLate / 10):
				select {
				case a.lines <- "":
				default:
				}
			}
		}
	}()
}

// byHand is a coordinator whose owner is the test: what comes in waits until the test takes it.
func byHand(t *testing.T, discovery string, sockets int) (*Coordinator, context.Context) {
	ctx, stop := context.WithCancel(context.Background())
	n, err := New(rigConfig(t, discovery, sockets), zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		stop()
		n.server.close()
		n.probes.Close()
		n.box.Close()
	})
	return n, ctx
}

// takes takes what comes in until the module was told what is looked for, and returns all that it was told.
func (n *Coordinator) takes(t *testing.T, ctx context.Context, what string, found func([]policyapi.Event) bool) []policyapi.Event {
	t.Helper()
	var batch []policyapi.Event
	for end := time.Now().Add(patience); !found(batch); {
		if time.Now().After(end) {
			t.Fatalf("no %s: %+v", what, batch)
		}
		for _, e := range n.box.Next(ctx, nil, func() <-chan time.Time { return time.After(10 * time.Millisecond) }) {
			batch = n.take(ctx, batch, e)
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
func TestWholeListOlderThanTheWatch(t *testing.T) {
	h := newHeld(t)
	n, ctx := byHand(t, h.address(), 256)
	n.startWatch(ctx, 0)
	watch := h.next(t, "/discovery/hosts?watch=1&from=41")
	n.startWhole(ctx, 0)
	whole := h.next(t, "/discovery/hosts")
	watch.says(list(50, false, host("s-2", "Terminating"), host("s-3", "Ready")))
	n.takes(t, ctx, "change", func(b []policyapi.Event) bool { return len(versions(b)) == 1 })
	whole.says(list(41, true, host("s-1", "Ready"), host("s-2", "Ready")))
	close(whole.lines)
	watch.lines <- list(51, false)
	got := n.takes(t, ctx, "change after it", func(b []policyapi.Event) bool { return slices.Contains(versions(b), 51) && n.whole == nil })
	if v := versions(got); len(v) != 1 || n.version != 51 {
		t.Errorf("told %v, at version %d", v, n.version)
	}
	if n.list["s-2"].Status != policyapi.Draining || n.list["s-3"].ID == "" || !n.server.known.IsKnown("s-3") {
		t.Errorf("a backend that drains is back, or a new one is forgotten: %+v", n.list)
	}
	n.startWhole(ctx, 0) // one that is newer is taken
	whole = h.next(t, "/discovery/hosts")
	whole.says(list(52, true, host("s-1", "Ready")))
	close(whole.lines)
	n.takes(t, ctx, "whole list", func(b []policyapi.Event) bool { return slices.Equal(versions(b), []policyapi.ListVersion{52}) })
}

// Discovery moves while a whole list is asked for at the old address: what that still says is not taken, the new one is asked.
func TestWholeListOfTheOldAddress(t *testing.T) {
	h, second := newHeld(t), newHeld(t)
	n, ctx := byHand(t, h.address(), 256)
	n.startWhole(ctx, 0)
	old := h.next(t, "/discovery/hosts")
	cfg := n.cfg
	cfg.Discovery = second.address()
	n.reload(ctx, cfg)
	anew := second.next(t, "/discovery/hosts")
	old.says(list(60, true, host("s-9", "Ready")))
	close(old.lines)
	wait(t, "end of the old call", old.gone)
	anew.says(list(55, true, host("s-1", "Ready"), host("s-4", "Ready")))
	close(anew.lines)
	got := n.takes(t, ctx, "list", func(b []policyapi.Event) bool { return len(b) > 0 })
	if v := versions(got); !slices.Equal(v, []policyapi.ListVersion{55}) || n.list["s-9"].ID != "" {
		t.Errorf("told %v, holds %v", v, n.list)
	}
}

// The watch at a new address is refused while the old one stands and goes on: the new address is asked again.
func TestNewAddressRefusesWhileTheOldStands(t *testing.T) {
	h, second := newHeld(t), newHeld(t)
	r := startAt(t, h.address(), 256)
	old := h.next(t, "/discovery/hosts?watch=1&from=41")
	old.says(list(42, false, host("s-3", "Ready")))
	old.beats(t)
	c := r.join(1)
	c.until(1, "s-3")
	cfg := r.cfg
	cfg.Discovery = second.address()
	r.n.Reload(cfg)
	second.next(t, "/discovery/hosts?watch=1&from=42").open <- http.StatusServiceUnavailable
	again := second.next(t, "/discovery/hosts?watch=1&from=42")
	select {
	case <-old.gone:
		t.Fatal("the old watch has ended before the new one stands")
	default:
	}
	old.lines <- list(43, false, host("s-4", "Ready")) // it counts until then
	c.until(1, "s-4")
	again.says(list(44, false, host("s-3", "Terminating")))
	c.until(1, "s-3:0")
	wait(t, "end of the old watch", old.gone)
}

// Discovery moves twice, and the first new address never answers: the call there ends before the second new one is answered,
// and what it would have brought is not taken.
func TestThirdAddressWhileTheSecondIsDialled(t *testing.T) {
	h, second, third := newHeld(t), newHeld(t), newHeld(t)
	r := startAt(t, h.address(), 256)
	old := h.next(t, "/discovery/hosts?watch=1&from=41")
	old.says(list(42, false, host("s-9", "Ready")))
	c := r.join(1)
	c.until(1, "s-9") // the old watch stands
	cfg := r.cfg
	cfg.Discovery = second.address()
	r.n.Reload(cfg)
	hangs, called := wait(t, "call of the second", second.came), time.Now()
	cfg.Discovery = third.address()
	r.n.Reload(cfg)
	last := wait(t, "call of the third", third.came)
	wait(t, "end of the second's call", hangs.gone)
	if took := time.Since(called); took >= lineLate {
		t.Errorf("it was waited for, %s", took)
	}
	select {
	case <-old.gone:
		t.Fatal("the old watch has ended before another stands")
	default:
	}
	last.says(list(43, false, host("s-3", "Ready")))
	wait(t, "end of the old watch", old.gone)
	c.until(1, "s-3")
}

// A watch that falls silent is followed by another while it still stands, long before it is given up.
func TestSilentWatchIsFollowed(t *testing.T) {
	h := newHeld(t)
	r := startAt(t, h.address(), 256)
	silent := h.next(t, "/discovery/hosts?watch=1&from=41")
	silent.says(list(45, false, host("s-3", "Ready")))
	c := r.join(1)
	c.until(1, "s-3")
	next := h.next(t, "/discovery/hosts?watch=1&from=45")
	select {
	case <-silent.gone:
		t.Error("it was given up first")
	default:
	}
	next.open <- http.StatusServiceUnavailable // and asked for again while the silent one is all there is
	next = h.next(t, "/discovery/hosts?watch=1&from=45")
	select {
	case <-silent.gone:
		t.Error("it was given up before another stands")
	default:
	}
	next.says(list(46, false, host("s-3", "Terminating")))
	c.until(1, "s-3:0")
	wait(t, "end of the silent watch", silent.gone)
}

// A call that is not answered at all is given up as soon as an answer is overdue.
func TestCallWithoutAnswer(t *testing.T) {
	h := newHeld(t)
	n, ctx := byHand(t, h.address(), 256)
	began := time.Now()
	n.asked = true
	n.startWatch(ctx, 0)
	hangs := h.next(t, "/discovery/hosts?watch=1&from=41")
	got := n.takes(t, ctx, "failure", func(b []policyapi.Event) bool { return len(b) > 0 })
	if l, is := got[0].(policyapi.EndpointUpdate); !is || l.Kind != policyapi.Failed || time.Since(began) > quietMost {
		t.Errorf("%+v after %s", got, time.Since(began))
	}
	wait(t, "end of the call", hangs.gone)
}

// A watch that is answered, says nothing and ends, again and again, is not asked for without a pause.
func TestWatchThatEndsAtOnce(t *testing.T) {
	h := newHeld(t)
	startAt(t, h.address(), 256)
	const calls = 5
	began := time.Now()
	for range calls {
		a := h.next(t, "/discovery/hosts?watch=1&from=41")
		a.says()
		close(a.lines)
	}
	if took := time.Since(began); took < (calls-1)*200*time.Millisecond {
		t.Errorf("%d calls within %s", calls, took)
	}
}

// While nobody takes what the event loop hands over, signs of life are still answered; nothing that must not be lost is lost.
func TestLoopGoesOnWhileItsLaneIsFull(t *testing.T) {
	n, ctx := byHand(t, newHeld(t).address(), 256)
	filled := 0
	for n.box.TryPutUrgent(event{in: policyapi.HealthCheckResult{}}) {
		filled++
	}
	r := &rig{t: t, n: n}
	joins, pings := r.join(7), r.dial()
	joins.say("PING") // its answer says that the joining before it was taken off the socket
	if m, err := joins.next(); m != "PONG" || err != nil {
		t.Fatalf("%q, %v", m, err)
	}
	pings.say("PING")
	if m, err := pings.next(); m != "PONG" || err != nil {
		t.Fatalf("%q, %v", m, err)
	}
	_ = joins.Close()
	got := n.takes(t, ctx, "leave", func(b []policyapi.Event) bool { return len(b) >= filled+2 })
	if j, is := got[filled].(policyapi.ProxyConnected); !is || j.Proxy != 7 || got[filled+1] != (policyapi.ProxyDisconnected{Proxy: 7}) {
		t.Errorf("after %d others %+v", filled, got[filled:])
	}
}

// A proxy comes anew before its old stream is seen to end: what the old one still says of marks is not taken, and its end is no
// leave. What it says of usage counts: that was so on either stream.
func TestReplacedStream(t *testing.T) {
	n, ctx := byHand(t, newHeld(t).address(), 256)
	r := &rig{t: t, n: n}
	old := r.join(7)
	n.takes(t, ctx, "joining", func(b []policyapi.Event) bool { return len(b) == 1 })
	n.board.Apply([]policyapi.Order{policyapi.RequestAck{AckID: 5}})
	n.server.post(n.links[7], proxyproto.OutboundMessage{Proxy: 7, Bytes: proxyproto.PongReply, AckID: 5, RequestsAck: true})
	if m, err := old.next(); m != "PONG" || err != nil {
		t.Fatal(m, err)
	}
	anew := r.join(7)
	for n.box.Len() == 0 { // the new joining waits for the owner, and the old stream goes on
		old.say("RATE sidecar 7 kind view n 3 bad 0 window 200")
		time.Sleep(time.Millisecond)
	}
	anew.say("PING")
	if m, err := anew.next(); m != "PONG" || err != nil {
		t.Fatal(m, err)
	}
	old.say("ACK sidecar 7 version 5 lag_ms 3")
	old.say("PING")
	if m, err := old.next(); m != "PONG" || err != nil {
		t.Fatal(m, err)
	}
	usage := func(b []policyapi.Event) bool {
		return slices.ContainsFunc(b, func(ev policyapi.Event) bool { _, is := ev.(policyapi.ProxyLoad); return is })
	}
	got := n.takes(t, ctx, "usage", usage)
	if _, err := old.next(); err == nil {
		t.Error("the old stream goes on")
	}
	// Its end has been handed over before it could be seen.
	for _, e := range n.box.Next(ctx, nil, func() <-chan time.Time { return time.After(time.Millisecond) }) {
		got = n.take(ctx, got, e)
	}
	got = slices.DeleteFunc(got, func(ev policyapi.Event) bool { _, is := ev.(policyapi.ProxyLoad); return is })
	if len(got) != 2 || got[0] != (policyapi.ProxyDisconnected{Proxy: 7}) || got[1].(policyapi.ProxyConnected).Proxy != 7 || n.links[7] == nil {
		t.Errorf("told %+v", got)
	}
}

// A module takes over from one that has failed: it is told of joinings as they were, what was asked of discovery for the other
// is called off, and the answer to a mark of the other's is none to one of its own.
func TestModuleTakesOver(t *testing.T) {
	h := newHeld(t)
	n, ctx := byHand(t, h.address(), 256)
	r := &rig{t: t, n: n}
	c := r.join(7)
	n.startWhole(ctx, 0)
	whole := h.next(t, "/discovery/hosts")
	saved := n.cfg.CachedList.Update
	saved.Kind = policyapi.Cached
	if err := n.turn(ctx, []policyapi.Event{saved}); err != nil {
		t.Fatal(err)
	}
	stamped := func() (mark string) { // of the next table
		t.Helper()
		for n.tally.messages = 0; n.tally.messages == 0; {
			if err := n.step(ctx); err != nil {
				t.Fatal(err)
			}
		}
		m, err := c.next()
		if err != nil || !strings.Contains(m, "replace 1") || !strings.Contains(m, " stamp ") {
			t.Fatalf("%q, %v", m, err)
		}
		return strings.Fields(m[strings.Index(m, " stamp "):])[1]
	}
	first := stamped()
	n.module = nil // fails with the next batch
	second := stamped()
	if second == first {
		t.Fatalf("two marks are %s", first)
	}
	wait(t, "end of the call", whole.gone)
	c.say(fmt.Sprintf("ACK sidecar 7 version %s lag_ms 1", first))
	c.say(fmt.Sprintf("ACK sidecar 7 version %s lag_ms 2", second))
	got := n.takes(t, ctx, "answer", func(b []policyapi.Event) bool { return len(b) > 0 })
	if a, is := got[0].(policyapi.Acknowledged); !is || len(got) != 1 || a.AckID != 1 || a.Delay != 2000 {
		t.Errorf("told %+v", got)
	}
	again := n.startOver()
	if j, is := again[1].(policyapi.ProxyConnected); !is || j != (policyapi.ProxyConnected{Proxy: 7, Zone: "a", Weight: 20}) {
		t.Errorf("told of %+v", again[1:])
	}
}

// All places are joined: one that has fallen silent over a mark gives way to one that comes, one that answers does not.
func TestSilentStreamGivesWay(t *testing.T) {
	const most = 2
	r := start(t, reserved+most)
	wait(t, "watch", r.lists.came)
	mute, well := r.join(1), r.join(2)
	if m, err := mute.next(); err != nil || !strings.Contains(m, "stamp") {
		t.Fatal(m, err)
	}
	well.until(2, "replace 1")
	refused := r.dial()
	if m, err := refused.next(); m != "NACK" || err != nil {
		t.Fatalf("%q, %v: one too many is taken", m, err)
	}
	mute.say("PING")
	for {
		m, err := mute.next()
		if err != nil {
			t.Fatal("a stream had to go that may yet answer")
		}
		if m == "PONG" {
			break
		}
	}
	done := make(chan struct{})
	loop := *r.n.server.loop.Load()
	_ = loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		for l := range r.n.server.streams { // as if all had been long ago
			l.heard, l.asked = l.heard.Add(-2*silentAfter), l.asked.Add(-2*silentAfter)
		}
		close(done)
		return nil
	}))
	wait(t, "loop", done)
	well.say("PING")
	if m, err := well.next(); m != "PONG" || err != nil {
		t.Fatal(m, err)
	}
	r.join(3).until(3, "replace 1")
	if _, err := mute.next(); err == nil {
		if _, err = mute.next(); err == nil {
			t.Error("the silent one goes on")
		}
	}
	well.say("PING")
	for {
		m, err := well.next()
		if err != nil {
			t.Fatal("one that answers had to go")
		}
		if m == "PONG" {
			break
		}
	}
}

// SIGTERM's path: a peer that takes nothing holds it up by no more than half a second, and the others get whole messages.
func TestEndWithHalfAMessageUnwritten(t *testing.T) {
	r := start(t, 256)
	wait(t, "watch", r.lists.came)
	stuck, reads := r.join(1), r.join(2)
	stuck.until(1, "replace 1")
	reads.until(2, "replace 1")
	loop := *r.n.server.loop.Load()
	links, unsent := make(chan map[policyapi.ProxyID]*link, 1), make(chan int, 1)
	in := func(do func()) {
		_ = loop.Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error { do(); return nil }))
	}
	in(func() {
		all := map[policyapi.ProxyID]*link{}
		for l := range r.n.server.streams {
			all[l.peer.Proxy] = l
		}
		links <- all
	})
	all := wait(t, "links", links)
	part := []byte(strings.Repeat("x", unsentMost/8))
	for waits, end := 0, time.Now().Add(patience); waits == 0; waits = wait(t, "loop", unsent) {
		r.n.server.post(all[1], proxyproto.OutboundMessage{Proxy: 1, Bytes: part})
		in(func() { unsent <- all[1].conn.OutboundBuffered() })
		if time.Now().After(end) {
			t.Fatal("it takes everything")
		}
	}
	const messages = 100
	for range messages {
		r.n.server.post(all[2], proxyproto.OutboundMessage{Proxy: 2, Bytes: proxyproto.PongReply})
	}
	began := time.Now()
	r.stop()
	for i := range messages {
		if m, err := reads.next(); m != "PONG" || err != nil {
			if strings.HasPrefix(m, "CONFIG") {
				continue
			}
			t.Fatalf("message %d: %q, %v", i, m, err)
		}
	}
	if err := wait(t, "end", r.ended); err != nil || time.Since(began) > 400*time.Millisecond { // SIGKILL comes after 0.7 s
		t.Errorf("%v after %s", err, time.Since(began))
	}
	r.ended <- nil
}

// Proxies dial while the coordinator starts, again and again: who gets through is answered, none is taken and then reset.
func TestNobodyIsResetAtAStart(t *testing.T) {
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cfg := rigConfig(t, "127.0.0.1:1", 256)
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
					_ = c.SetDeadline(time.Now().Add(patience))
					_, _ = c.Write(resp.Append(nil, "PING"))
					_, err = io.ReadFull(c, make([]byte, len(proxyproto.PongReply)))
					_ = c.Close()
					told <- err
					return
				}
			}()
		}
		for range cap(began) {
			wait(t, "dial", began)
		}
		n, err := New(cfg, zap.NewNop())
		if err != nil {
			t.Fatal(err)
		}
		for range cap(told) {
			if err := wait(t, "answer", told); err != nil {
				t.Errorf("start %d: %v", start, err)
			}
		}
		n.server.close()
		n.probes.Close()
		n.box.Close()
		if t.Failed() {
			return
		}
	}
}
