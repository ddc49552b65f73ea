package proxyserver

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"porthub/policyapi"
)

// The module's failure costs no stream: a fresh one takes over and lays the tables anew. A second one at once ends the program.
func TestModuleFailureKeepsStreams(t *testing.T) {
	r := startServer(t, 256, func(n *Coordinator) { n.module.instance = nil })
	c := r.subscribe(1)
	c.receiveUntil(1, "replace 1")
	if !r.logged("decision module panicked") {
		t.Error("nothing is logged")
	}
	n := &policyModule{settings: &r.cfg.Start, log: zap.NewNop(), hasFailed: true, failedAt: 5}
	if _, err := n.step(6, []policyapi.Event{policyapi.TimerFired{}}); err == nil {
		t.Error("it goes on for ever")
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

// The module fails over the very batch that brings a drain: the one that takes over lays tables without the endpoint.
func TestDrainSurvivesModuleFailure(t *testing.T) {
	h := newManualDiscovery(t)
	n, ctx := newSteppedCoordinator(t, h.address(), 256)
	n.watcher.enabled = true
	saved := n.cfg.CachedList.Update
	saved.Kind = policyapi.Cached
	if err := n.process(ctx, []policyapi.Event{saved}); err != nil {
		t.Fatal(err)
	}
	proxy := &tableClient{client: (&testServer{t: t, coordinator: n}).subscribe(7), proxy: 7, table: map[string]bool{}}
	n.watcher.startWatch(ctx, 0)
	watch := h.nextCall(t, "/discovery/hosts?watch=1&from=41")
	watch.accept(listMessage(42, false, hostEntry("s-3", "Ready")))
	steps := func(what string, right func(held map[string]bool) bool) {
		t.Helper()
		for end := time.Now().Add(testTimeout); !right(proxy.table); {
			for n.stats.messages = 0; n.stats.messages == 0; {
				if err := n.step(ctx); err != nil {
					t.Fatal(err)
				}
				if time.Now().After(end) {
					t.Fatalf("%s does not come, it holds %v", what, proxy.table)
				}
			}
			message, err := proxy.receive()
			if err != nil {
				t.Fatal(err)
			}
			proxy.apply(message)
		}
	}
	steps("its first table", func(held map[string]bool) bool { return held["s-1"] })
	watch.lines <- listMessage(43, false, hostEntry("s-1", "Terminating"))
	for n.endpoints.version < 43 { // taken in, and not decided on
		n.inputs = n.mailbox.Next(ctx, n.inputs[:0], n.wait)
		var batch []policyapi.Event
		for _, e := range n.inputs {
			batch = n.accept(ctx, batch, e)
		}
		if n.endpoints.version == 43 {
			n.module.instance = nil // fails over this batch
		}
		if err := n.process(ctx, batch); err != nil {
			t.Fatal(err)
		}
	}
	steps("the drain", func(held map[string]bool) bool { return hasEndpoint(held) && !held["s-1"] })
}
