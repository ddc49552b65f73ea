package proxyserver

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"porthub/policyapi"
	"porthub/proxyproto"
)

// After discovery has ended a watch, refused a call or sent an invalid line, the watch is started again from the version that was
// applied last.
func TestWatchIsRetriedAfterFailures(t *testing.T) {
	srv := startServer(t, 256)
	if from := receive(t, "watch", srv.discovery.calls); from != "41" {
		t.Fatalf("got a watch from version %q, want 41", from)
	}
	proxy := srv.subscribe(1)
	srv.discovery.send(listMessage(50, false, hostEntry("s-3", "Ready")))
	proxy.receiveUntil(1, "s-3")
	srv.discovery.mu.Lock()
	srv.discovery.rejectNext = 1
	srv.discovery.mu.Unlock()
	srv.discovery.send("") // ends the watch
	if got := receive(t, "call", srv.discovery.calls); got != "refused" {
		t.Fatalf("got call %q, want a refused one", got)
	}
	if from := receive(t, "watch", srv.discovery.calls); from != "50" {
		t.Errorf("got a watch from version %q, want 50", from)
	}
	srv.discovery.send("{what")
	if from := receive(t, "watch", srv.discovery.calls); from != "50" {
		t.Errorf("got a watch from version %q, want 50", from)
	}
	srv.discovery.send(listMessage(51, false, hostEntry("s-3", "Gone")))
	proxy.receiveUntil(1, "s-3:0")
}

// If the decision module does not poll, the watcher starts the watch on its own, retries after a delay when the watch fails, and
// continues after a panic of the module.
func TestWatchWithoutPolling(t *testing.T) {
	srv := startServer(t, 256, func(c *Coordinator) { c.cfg.Start.PollsList, c.module.instance = false, nil })
	receive(t, "watch", srv.discovery.calls)
	proxy := srv.subscribe(1)
	proxy.receiveUntil(1, "replace 1")
	srv.discovery.send(listMessage(50, false, hostEntry("s-3", "Ready")))
	proxy.receiveUntil(1, "s-3")
	began := time.Now()
	srv.discovery.send("")
	if from := receive(t, "watch", srv.discovery.calls); from != "50" || time.Since(began) < minBackoff/2 {
		t.Errorf("got a watch from version %q after %s, want 50 after at least %s", from, time.Since(began), minBackoff/2)
	}
}

// A watch that repeatedly opens and ends without a line is started again only after a delay.
func TestWatchThatEndsAtOnceIsBackedOff(t *testing.T) {
	discovery := newManualDiscovery(t)
	startServerAt(t, discovery.address(), 256)
	const calls = 5
	began := time.Now()
	for range calls {
		call := discovery.nextCall(t, "/discovery/hosts?watch=1&from=41")
		call.accept()
		close(call.lines)
	}
	if took := time.Since(began); took < (calls-1)*200*time.Millisecond {
		t.Errorf("got %d calls within %s, want an average of at least 200 ms between two calls", calls, took)
	}
}

// A call without a response fails once the response is overdue.
func TestUnansweredCallTimesOut(t *testing.T) {
	discovery := newManualDiscovery(t)
	coordinator, ctx := newSteppedCoordinator(t, discovery.address(), 256)
	began := time.Now()
	coordinator.watcher.enabled = true
	coordinator.watcher.startWatch(ctx, 0)
	call := discovery.nextCall(t, "/discovery/hosts?watch=1&from=41")
	got := acceptUntil(ctx, t, coordinator, "failure", func(b []policyapi.Event) bool { return len(b) > 0 })
	if update, is := got[0].(policyapi.EndpointUpdate); !is || update.Kind != policyapi.Failed || time.Since(began) > watchTimeout {
		t.Errorf("got events %+v after %s, want a failure within %s", got, time.Since(began), watchTimeout)
	}
	receive(t, "end of the call", call.done)
}

// An open watch without lines is replaced by another one before it is canceled.
func TestOverdueWatchIsReplaced(t *testing.T) {
	discovery := newManualDiscovery(t)
	srv := startServerAt(t, discovery.address(), 256)
	silent := discovery.nextCall(t, "/discovery/hosts?watch=1&from=41")
	silent.accept(listMessage(45, false, hostEntry("s-3", "Ready")))
	proxy := srv.subscribe(1)
	proxy.receiveUntil(1, "s-3")
	next := discovery.nextCall(t, "/discovery/hosts?watch=1&from=45")
	select {
	case <-silent.done:
		t.Error("the silent watch was canceled before its replacement was started")
	default:
	}
	next.respond <- http.StatusServiceUnavailable // the call is retried while the silent watch is the only open one
	next = discovery.nextCall(t, "/discovery/hosts?watch=1&from=45")
	select {
	case <-silent.done:
		t.Error("the silent watch was canceled before its replacement was open")
	default:
	}
	next.accept(listMessage(46, false, hostEntry("s-3", "Terminating")))
	proxy.receiveUntil(1, "s-3:0")
	receive(t, "end of the silent watch", silent.done)
}

// A watch replaces another one while a line of the old watch still waits for the owner: the line is ignored, and its change
// arrives on the new watch, which starts at the version before the change.
func TestLineOfReplacedWatchIsIgnored(t *testing.T) {
	discovery := newManualDiscovery(t)
	coordinator, ctx := newSteppedCoordinator(t, discovery.address(), 256)
	coordinator.watcher.startWatch(ctx, 0)
	old := discovery.nextCall(t, "/discovery/hosts?watch=1&from=41")
	old.accept()
	acceptUntil(ctx, t, coordinator, "open watch", func([]policyapi.Event) bool { return coordinator.watcher.watches[1].open })
	coordinator.watcher.startWatch(ctx, 0)
	next := discovery.nextCall(t, "/discovery/hosts?watch=1&from=41")
	update := policyapi.EndpointUpdate{Version: 42, Endpoints: []policyapi.Endpoint{{ID: "s-1", Status: policyapi.Draining}}}
	late := discoveryEvent{call: 1, kind: listReceived, list: proxyproto.EndpointList{Update: update}}
	coordinator.watcher.handle(ctx, nil, discoveryEvent{call: 2, kind: watchOpened})
	if batch := coordinator.watcher.handle(ctx, nil, late); len(batch) > 0 || coordinator.endpoints.version != 41 {
		t.Fatalf("got events %+v from a canceled watch, want none", batch)
	}
	next.accept(listMessage(42, false, hostEntry("s-1", "Terminating")))
	acceptUntil(ctx, t, coordinator, "change", func(b []policyapi.Event) bool { return slices.Contains(versions(b), 42) })
	if coordinator.endpoints.endpoints["s-1"].Status != policyapi.Draining {
		t.Errorf("got list %+v, want s-1 draining", coordinator.endpoints.endpoints)
	}
}

// Many coordinators whose calls are refused at the same time do not retry at the same time. The delays are short enough for a
// change to arrive before it counts as delivered.
func TestBackoffIsJitteredAndBounded(t *testing.T) {
	const coordinators, attempts, deliveredAfter = 300, 8, 6 * time.Second
	firstDelays := map[time.Duration]int{} // by tenths of a second
	for seed := range uint64(coordinators) {
		cfg := testConfig(t, "127.0.0.1:1", 256)
		cfg.Start.Seed = seed
		watcher := &discoveryWatcher{random: newRandom(seed)}
		for attempt := range attempts {
			delay := watcher.backoff()
			if attempt == 0 {
				firstDelays[delay/(100*time.Millisecond)]++
			}
			if delay < minBackoff/2 || lineTimeout+delay >= deliveredAfter {
				t.Fatalf("got a delay of %s, want at least %s and less than %s", delay, minBackoff/2, deliveredAfter-lineTimeout)
			}
		}
	}
	for tenth, n := range firstDelays {
		if n > coordinators/5 {
			t.Errorf("%d of %d coordinators retry %d tenths of a second after a refusal, want at most a fifth", n, coordinators, tenth)
		}
	}
}

// When discovery's address changes, a watch at the new address continues from the version that was applied last, and no failure is
// reported.
func TestDiscoveryAddressChanges(t *testing.T) {
	srv := startServer(t, 256)
	receive(t, "watch", srv.discovery.calls)
	proxy := srv.subscribe(1)
	srv.discovery.send(listMessage(60, false, hostEntry("s-3", "Ready")))
	proxy.receiveUntil(1, "s-3")
	second := newFakeDiscovery(t)
	cfg := srv.cfg
	cfg.Discovery = second.address()
	srv.coordinator.Reload(cfg)
	if from := receive(t, "watch", second.calls); from != "60" {
		t.Errorf("got a watch from version %q, want 60", from)
	}
	second.send(listMessage(61, false, hostEntry("s-3", "Terminating")))
	proxy.receiveUntil(1, "s-3:0")
	srv.discovery.stop()
	second.send(listMessage(62, false, hostEntry("s-4", "Ready")))
	proxy.receiveUntil(1, "s-4")
	if srv.logged("discovery watch ended") {
		t.Error("the end of a watch is logged, want no failure")
	}
}

// If the watch at a new address is refused while the old one is open, the new address is tried again.
func TestOldWatchStaysWhileNewAddressFails(t *testing.T) {
	discovery, second := newManualDiscovery(t), newManualDiscovery(t)
	srv := startServerAt(t, discovery.address(), 256)
	old := discovery.nextCall(t, "/discovery/hosts?watch=1&from=41")
	old.accept(listMessage(42, false, hostEntry("s-3", "Ready")))
	old.sendHeartbeats(t)
	proxy := srv.subscribe(1)
	proxy.receiveUntil(1, "s-3")
	cfg := srv.cfg
	cfg.Discovery = second.address()
	srv.coordinator.Reload(cfg)
	second.nextCall(t, "/discovery/hosts?watch=1&from=42").respond <- http.StatusServiceUnavailable
	retry := second.nextCall(t, "/discovery/hosts?watch=1&from=42")
	select {
	case <-old.done:
		t.Fatal("the old watch ended before the new one is open")
	default:
	}
	old.lines <- listMessage(43, false, hostEntry("s-4", "Ready")) // the old watch is used until the new one is open
	proxy.receiveUntil(1, "s-4")
	retry.accept(listMessage(44, false, hostEntry("s-3", "Terminating")))
	proxy.receiveUntil(1, "s-3:0")
	receive(t, "end of the old watch", old.done)
}

// If discovery's address changes twice and the first new address does not respond, the call there is canceled before the second new
// address responds.
func TestAddressChangesDuringDial(t *testing.T) {
	discovery, second, third := newManualDiscovery(t), newManualDiscovery(t), newManualDiscovery(t)
	srv := startServerAt(t, discovery.address(), 256)
	old := discovery.nextCall(t, "/discovery/hosts?watch=1&from=41")
	old.accept(listMessage(42, false, hostEntry("s-9", "Ready")))
	proxy := srv.subscribe(1)
	proxy.receiveUntil(1, "s-9") // the old watch is open
	cfg := srv.cfg
	cfg.Discovery = second.address()
	srv.coordinator.Reload(cfg)
	hanging, called := receive(t, "call of the second", second.calls), time.Now()
	cfg.Discovery = third.address()
	srv.coordinator.Reload(cfg)
	last := receive(t, "call of the third", third.calls)
	receive(t, "end of the second's call", hanging.done)
	if took := time.Since(called); took >= lineTimeout {
		t.Errorf("the call was canceled after %s, want less than %s", took, lineTimeout)
	}
	select {
	case <-old.done:
		t.Fatal("the old watch ended before another is open")
	default:
	}
	last.accept(listMessage(43, false, hostEntry("s-3", "Ready")))
	receive(t, "end of the old watch", old.done)
	proxy.receiveUntil(1, "s-3")
}
