package proxyserver

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"porthub/policyapi"
)

// A panic of the decision module ends no stream: a new instance takes over and sends the tables again. A second panic soon after ends
// the program.
func TestModuleFailureKeepsStreams(t *testing.T) {
	srv := startServer(t, 256, func(n *Coordinator) { n.module.instance = nil })
	proxy := srv.subscribe(1)
	proxy.receiveUntil(1, "replace 1")
	if !srv.logged("decision module panicked") {
		t.Error("the panic is not logged")
	}
	n := &policyModule{settings: &srv.cfg.Start, log: zap.NewNop(), hasFailed: true, failedAt: 5}
	if _, err := n.step(6, []policyapi.Event{policyapi.TimerFired{}}); err == nil {
		t.Error("a second panic is no error")
	}
}

// A decision module takes over from one that has failed: it receives the connected proxies, the calls to discovery made for its
// predecessor are canceled, and acknowledgements to its predecessor's ack ids are ignored.
func TestModuleRestart(t *testing.T) {
	discovery := newManualDiscovery(t)
	coordinator, ctx := newSteppedCoordinator(t, discovery.address(), 256)
	srv := &testServer{t: t, coordinator: coordinator}
	proxy := srv.subscribe(7)
	coordinator.watcher.requestSnapshot(ctx, 0)
	snapshot := discovery.nextCall(t, "/discovery/hosts")
	cached := coordinator.cfg.CachedList.Update
	cached.Kind = policyapi.Cached
	if err := coordinator.process(ctx, []policyapi.Event{cached}); err != nil {
		t.Fatal(err)
	}
	nextAckID := func() (id string) { // of the next table message
		t.Helper()
		for coordinator.stats.messages = 0; coordinator.stats.messages == 0; {
			if err := coordinator.step(ctx); err != nil {
				t.Fatal(err)
			}
		}
		message, err := proxy.receive()
		_, stamp, has := strings.Cut(message, " stamp ")
		if err != nil || !has || !strings.Contains(message, "replace 1") {
			t.Fatalf("%q, %v", message, err)
		}
		return strings.Fields(stamp)[0]
	}
	first := nextAckID()
	coordinator.module.instance = nil // panics with the next batch
	second := nextAckID()
	if second == first {
		t.Fatalf("two ack ids are %s", first)
	}
	receive(t, "end of the call", snapshot.done)
	proxy.send(fmt.Sprintf("ACK sidecar 7 version %s lag_ms 1", first))
	proxy.send(fmt.Sprintf("ACK sidecar 7 version %s lag_ms 2", second))
	got := acceptUntil(ctx, t, coordinator, "acknowledgement", func(b []policyapi.Event) bool { return len(b) > 0 })
	if a, is := got[0].(policyapi.Acknowledged); !is || len(got) != 1 || a.AckID != 1 || a.Delay != 2000 {
		t.Errorf("events %+v", got)
	}
	restarted := coordinator.module.restart()
	if j, is := restarted[1].(policyapi.ProxyConnected); !is || j != (policyapi.ProxyConnected{Proxy: 7, Zone: "a", Weight: 20}) {
		t.Errorf("first batch %+v", restarted[1:])
	}
}

// The decision module panics with the batch that reports a drain: its successor sends tables without the endpoint.
func TestDrainSurvivesModuleFailure(t *testing.T) {
	discovery := newManualDiscovery(t)
	coordinator, ctx := newSteppedCoordinator(t, discovery.address(), 256)
	coordinator.watcher.enabled = true
	cached := coordinator.cfg.CachedList.Update
	cached.Kind = policyapi.Cached
	if err := coordinator.process(ctx, []policyapi.Event{cached}); err != nil {
		t.Fatal(err)
	}
	proxy := &tableClient{client: (&testServer{t: t, coordinator: coordinator}).subscribe(7), proxy: 7, table: map[string]bool{}}
	coordinator.watcher.startWatch(ctx, 0)
	watch := discovery.nextCall(t, "/discovery/hosts?watch=1&from=41")
	watch.accept(listMessage(42, false, hostEntry("s-3", "Ready")))
	stepUntil := func(what string, isComplete func(table map[string]bool) bool) {
		t.Helper()
		for end := time.Now().Add(testTimeout); !isComplete(proxy.table); {
			for coordinator.stats.messages = 0; coordinator.stats.messages == 0; {
				if err := coordinator.step(ctx); err != nil {
					t.Fatal(err)
				}
				if time.Now().After(end) {
					t.Fatalf("no %s, the table is %v", what, proxy.table)
				}
			}
			message, err := proxy.receive()
			if err != nil {
				t.Fatal(err)
			}
			proxy.apply(message)
		}
	}
	stepUntil("its first table", func(table map[string]bool) bool { return table["s-1"] })
	watch.lines <- listMessage(43, false, hostEntry("s-1", "Terminating"))
	for coordinator.endpoints.version < 43 { // until the list is accepted, before it is processed
		coordinator.inputs = coordinator.mailbox.Next(ctx, coordinator.inputs[:0], coordinator.wait)
		var batch []policyapi.Event
		for _, e := range coordinator.inputs {
			batch = coordinator.accept(ctx, batch, e)
		}
		if coordinator.endpoints.version == 43 {
			coordinator.module.instance = nil // panics with this batch
		}
		if err := coordinator.process(ctx, batch); err != nil {
			t.Fatal(err)
		}
	}
	stepUntil("the drain", func(table map[string]bool) bool { return hasEndpoint(table) && !table["s-1"] })
}
