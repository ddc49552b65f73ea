package proxyserver

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"porthub/policyapi"
	"porthub/proxyproto"
)

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

// A watch has followed another while a line of that one still waits for the owner: the line is not taken, what it said comes with the
// new watch, which was asked from the version before it.
func TestLineOfReplacedWatchIsIgnored(t *testing.T) {
	h := newManualDiscovery(t)
	n, ctx := newSteppedCoordinator(t, h.address(), 256)
	n.watcher.startWatch(ctx, 0)
	old := h.nextCall(t, "/discovery/hosts?watch=1&from=41")
	old.accept()
	acceptUntil(ctx, t, n, "answer", func([]policyapi.Event) bool { return n.watcher.watches[1].open })
	n.watcher.startWatch(ctx, 0)
	next := h.nextCall(t, "/discovery/hosts?watch=1&from=41")
	late := discoveryEvent{call: 1, kind: listReceived, list: proxyproto.EndpointList{Update: policyapi.EndpointUpdate{Version: 42, Endpoints: []policyapi.Endpoint{{ID: "s-1", Status: policyapi.Draining}}}}}
	n.watcher.handle(ctx, nil, discoveryEvent{call: 2, kind: watchOpened})
	if batch := n.watcher.handle(ctx, nil, late); len(batch) > 0 || n.endpoints.version != 41 {
		t.Fatalf("a watch that was called off told %+v", batch)
	}
	next.accept(listMessage(42, false, hostEntry("s-1", "Terminating")))
	acceptUntil(ctx, t, n, "change", func(b []policyapi.Event) bool { return slices.Contains(versions(b), 42) })
	if n.endpoints.endpoints["s-1"].Status != policyapi.Draining {
		t.Errorf("the drain is lost: %+v", n.endpoints.endpoints)
	}
}

// Many coordinators whose calls are refused at once do not ask again in step, wait longer each time, and never for so long that a
// change can't come within the time after which it counts as told.
func TestBackoffIsJitteredAndBounded(t *testing.T) {
	const coordinators, tries, counts = 300, 8, 6 * time.Second
	first := map[time.Duration]int{} // by tenths of a second
	for seed := range uint64(coordinators) {
		cfg := testConfig(t, "127.0.0.1:1", 256)
		cfg.Start.Seed = seed
		n := &discoveryWatcher{random: newRandom(seed)}
		for try := range tries {
			pause := n.backoff()
			if try == 0 {
				first[pause/(100*time.Millisecond)]++
			}
			if pause < minBackoff/2 || lineTimeout+pause >= counts {
				t.Fatalf("a pause of %s", pause)
			}
		}
	}
	for tenth, n := range first {
		if n > coordinators/5 {
			t.Errorf("%d of %d ask again %d tenths of a second after a refusal", n, coordinators, tenth)
		}
	}
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
