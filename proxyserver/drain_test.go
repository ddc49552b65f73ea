package proxyserver

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"porthub/policyapi"
	"porthub/proxyproto"
)

// An entry tells of a drain and has other fields that can't be used: the endpoint is out of the tables all the same.
func TestDrainWithUnusableFields(t *testing.T) {
	for name, entry := range map[string]string{
		"site": `{"host":"s-1","dial":"h:1","site":"nowhere","health":"Terminating","share":1,"born_ms":0}`,
		"born": `{"host":"s-1","dial":"h:1","site":"a","health":"Gone","share":1,"born_ms":-7}`,
		"type": `{"host":"s-1","dial":7,"site":["a"],"health":"Terminating","share":"much"}`,
	} {
		t.Run(name, func(t *testing.T) {
			h := newManualDiscovery(t)
			r := startServerAt(t, h.address(), 256)
			watch := h.nextCall(t, "/discovery/hosts?watch=1&from=41")
			watch.accept(listMessage(42, false, hostEntry("s-3", "Ready")))
			c := r.subscribe(1)
			c.receiveUntil(1, "s-3")
			watch.lines <- listMessage(43, false, entry)
			c.receiveUntil(1, "s-1:0")
		})
	}
}

// A change has an entry that can't be used: the whole list is asked for. There the endpoint can't be read either, and stays as it
// was; one that is not there is gone.
func TestUnreadableEntryRequestsSnapshot(t *testing.T) {
	const spoilt = `{"host":"s-2","site":"nowhere","health":"Ready"}`
	h := newManualDiscovery(t)
	n, ctx := newSteppedCoordinator(t, h.address(), 256)
	n.watcher.startWatch(ctx, 0)
	watch := h.nextCall(t, "/discovery/hosts?watch=1&from=41")
	watch.accept(listMessage(42, false, spoilt))
	watch.sendHeartbeats(t)
	acceptUntil(ctx, t, n, "change", func(b []policyapi.Event) bool { return len(versions(b)) == 1 })
	whole := h.nextCall(t, "/discovery/hosts")
	whole.accept(listMessage(43, true, spoilt, hostEntry("s-3", "Ready")))
	close(whole.lines)
	acceptUntil(ctx, t, n, "whole list", func(b []policyapi.Event) bool { return slices.Contains(versions(b), 43) })
	if _, has := n.endpoints.endpoints["s-1"]; has || n.endpoints.endpoints["s-2"].Status != policyapi.Ready || n.endpoints.endpoints["s-2"].Zone != "a" || len(n.endpoints.endpoints) != 2 {
		t.Errorf("it holds %+v", n.endpoints.endpoints)
	}
	whole = h.nextCall(t, "/discovery/hosts") // it is still not known
	whole.accept(listMessage(44, true, `{"host":7}`, hostEntry("s-4", "Ready")))
	close(whole.lines)
	acceptUntil(ctx, t, n, "whole list", func(b []policyapi.Event) bool { return slices.Contains(versions(b), 44) })
	if len(n.endpoints.endpoints) != 3 {
		t.Errorf("any of them may be the one without a name, it holds %+v", n.endpoints.endpoints)
	}
	calls := n.watcher.lastCall
	h.nextCall(t, "/discovery/hosts").respond <- http.StatusServiceUnavailable // and is asked for until it can be read
	acceptUntil(ctx, t, n, "refusal", func([]policyapi.Event) bool { return n.watcher.lastCall > calls })
	whole = h.nextCall(t, "/discovery/hosts")
	whole.accept(listMessage(45, true, hostEntry("s-4", "Ready")))
	close(whole.lines)
	acceptUntil(ctx, t, n, "whole list", func(b []policyapi.Event) bool { return slices.Contains(versions(b), 45) })
	if len(n.endpoints.endpoints) != 1 || n.watcher.snapshotCall.isPending() || n.watcher.snapshotDue {
		t.Errorf("it holds %+v", n.endpoints.endpoints)
	}
}

// Discovery begins anew with lower numbers: its changes are not passed over, the whole list is asked for and taken, and changes are
// followed from its number on.
func TestDiscoveryVersionReset(t *testing.T) {
	h := newManualDiscovery(t)
	n, ctx := newSteppedCoordinator(t, h.address(), 256)
	n.watcher.enabled = true
	n.watcher.startWatch(ctx, 0)
	watch := h.nextCall(t, "/discovery/hosts?watch=1&from=41")
	watch.accept(listMessage(3, false, hostEntry("s-1", "Terminating")))
	acceptUntil(ctx, t, n, "whole list asked for", func([]policyapi.Event) bool { return n.watcher.snapshotCall.isPending() })
	whole := h.nextCall(t, "/discovery/hosts")
	whole.accept(listMessage(4, true, hostEntry("s-1", "Terminating"), hostEntry("s-2", "Ready")))
	close(whole.lines)
	acceptUntil(ctx, t, n, "whole list", func(b []policyapi.Event) bool { return slices.Contains(versions(b), 4) })
	if n.endpoints.endpoints["s-1"].Status != policyapi.Draining || n.endpoints.version != 4 {
		t.Errorf("at version %d it holds %+v", n.endpoints.version, n.endpoints.endpoints)
	}
	next := h.nextCall(t, "/discovery/hosts?watch=1&from=4")
	next.accept(listMessage(5, false, hostEntry("s-2", "Terminating")))
	acceptUntil(ctx, t, n, "change", func(b []policyapi.Event) bool { return slices.Contains(versions(b), 5) })
}

// A watch at an address of discovery's that lags behind brings an older whole list: what was told as draining or gone is not
// brought back by it, unless it has been started since.
func TestOlderListDoesNotRestoreWithdrawn(t *testing.T) {
	h := newManualDiscovery(t)
	n, ctx := newSteppedCoordinator(t, h.address(), 256)
	n.watcher.startWatch(ctx, 0)
	watch := h.nextCall(t, "/discovery/hosts?watch=1&from=41")
	watch.accept(listMessage(50, false, hostEntry("s-1", "Terminating"), hostEntry("s-2", "Gone"), hostEntry("s-3", "Terminating"), hostEntry("s-4", "Ready")))
	acceptUntil(ctx, t, n, "change", func(b []policyapi.Event) bool { return slices.Contains(versions(b), 50) })
	anew := `{"host":"s-3","dial":"127.0.0.1:1","site":"a","class":"m","block":1,"health":"Ready","share":1,"born_ms":1700000000000}`
	watch.lines <- listMessage(45, true, hostEntry("s-1", "Ready"), hostEntry("s-2", "Ready"), anew, hostEntry("s-4", "Ready"))
	acceptUntil(ctx, t, n, "older list", func(b []policyapi.Event) bool { return slices.Contains(versions(b), 45) })
	for id, want := range map[policyapi.EndpointID]policyapi.EndpointStatus{"s-1": policyapi.Draining, "s-2": policyapi.Draining, "s-3": policyapi.Ready, "s-4": policyapi.Ready} {
		if n.endpoints.endpoints[id].Status != want {
			t.Errorf("%s has status %d, want %d", id, n.endpoints.endpoints[id].Status, want)
		}
	}
	watch.lines <- listMessage(46, false, hostEntry("s-1", "Ready"))
	acceptUntil(ctx, t, n, "newer change", func(b []policyapi.Event) bool { return slices.Contains(versions(b), 46) })
	if n.endpoints.endpoints["s-1"].Status != policyapi.Ready {
		t.Error("a newer list does not bring it back")
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
