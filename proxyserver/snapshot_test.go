package proxyserver

import (
	"net/http"
	"slices"
	"testing"

	"porthub/policyapi"
)

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
