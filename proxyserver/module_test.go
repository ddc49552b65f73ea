package proxyserver

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"porthub/policyapi"
)

// After a panic of the decision module the streams stay connected, and a new instance takes over and sends the tables again. A
// second panic within moduleFailureWindow is returned as an error.
func TestModuleFailureKeepsStreams(t *testing.T) {
	srv := startServer(t, 256, func(c *Coordinator) { c.module.instance = nil })
	proxy := srv.subscribe(1)
	proxy.receiveUntil(1, "replace 1")
	if !srv.logged("decision module panicked") {
		t.Error("the panic is not logged")
	}
	module := &policyModule{settings: &srv.cfg.Start, log: zap.NewNop(), hasFailed: true, failedAt: 5}
	if _, err := module.step(6, []policyapi.Event{policyapi.TimerFired{}}); err == nil {
		t.Error("a second panic within moduleFailureWindow returns no error")
	}
}

// A new instance of the decision module takes over from a failed one: it receives the connected proxies, the calls to discovery
// for the failed instance are canceled, and acknowledgements of the failed instance's ack ids are ignored.
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
	nextAckID := func() (id string) { // ack id of the next message with a table
		t.Helper()
		for coordinator.stats.messages = 0; coordinator.stats.messages == 0; {
			if err := coordinator.step(ctx); err != nil {
				t.Fatal(err)
			}
		}
		message, err := proxy.receive()
		_, stamp, has := strings.Cut(message, " stamp ")
		if err != nil || !has || !strings.Contains(message, "replace 1") {
			t.Fatalf("got message %q, error %v; want a table with an ack id", message, err)
		}
		return strings.Fields(stamp)[0]
	}
	first := nextAckID()
	coordinator.module.instance = nil // panics with the next batch
	second := nextAckID()
	if second == first {
		t.Fatalf("got ack id %s from both instances, want different ones", first)
	}
	receive(t, "end of the call", snapshot.done)
	proxy.send(fmt.Sprintf("ACK sidecar 7 version %s lag_ms 1", first))
	proxy.send(fmt.Sprintf("ACK sidecar 7 version %s lag_ms 2", second))
	got := acceptUntil(ctx, t, coordinator, "acknowledgement", func(b []policyapi.Event) bool { return len(b) > 0 })
	if ack, is := got[0].(policyapi.Acknowledged); !is || len(got) != 1 || ack.AckID != 1 || ack.Delay != 2000 {
		t.Errorf("got events %+v, want only the acknowledgement of ack id 1 after 2 ms", got)
	}
	restarted := coordinator.module.restart()
	if connected, is := restarted[1].(policyapi.ProxyConnected); !is || connected != (policyapi.ProxyConnected{Proxy: 7, Zone: "a", Weight: 20}) {
		t.Errorf("got first batch %+v after the list, want proxy 7", restarted[1:])
	}
}

// The decision module panics with the batch that reports a drain: the new instance sends tables without the endpoint.
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
					t.Fatalf("no %s within the timeout, got table %v", what, proxy.table)
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
