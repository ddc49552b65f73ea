package proxyserver

import (
	"net/http"
	"slices"
	"testing"

	"porthub/policyapi"
)

// A snapshot that was requested before a drain is reported on the watch, and arrives after it, is ignored.
func TestSnapshotOlderThanWatchIsIgnored(t *testing.T) {
	discovery := newManualDiscovery(t)
	coordinator, ctx := newSteppedCoordinator(t, discovery.address(), 256)
	coordinator.watcher.startWatch(ctx, 0)
	watch := discovery.nextCall(t, "/discovery/hosts?watch=1&from=41")
	coordinator.watcher.requestSnapshot(ctx, 0)
	snapshot := discovery.nextCall(t, "/discovery/hosts")
	watch.accept(listMessage(50, false, hostEntry("s-2", "Terminating"), hostEntry("s-3", "Ready")))
	acceptUntil(ctx, t, coordinator, "change", func(b []policyapi.Event) bool { return len(versions(b)) == 1 })
	snapshot.accept(listMessage(41, true, hostEntry("s-1", "Ready"), hostEntry("s-2", "Ready")))
	close(snapshot.lines)
	watch.lines <- listMessage(51, false)
	got := acceptUntil(ctx, t, coordinator, "change after it", func(b []policyapi.Event) bool {
		return slices.Contains(versions(b), 51) && !coordinator.watcher.snapshotCall.isPending()
	})
	if v := versions(got); len(v) != 1 || coordinator.endpoints.version != 51 {
		t.Errorf("got updates %v at version %d, want only version 51", v, coordinator.endpoints.version)
	}
	if coordinator.endpoints.endpoints["s-2"].Status != policyapi.Draining || coordinator.endpoints.endpoints["s-3"].ID == "" || !coordinator.server.validator.IsKnown("s-3") {
		t.Errorf("got list %+v, want s-2 draining, and s-3 listed and known to the validator", coordinator.endpoints.endpoints)
	}
	coordinator.watcher.requestSnapshot(ctx, 0) // a newer snapshot is accepted
	snapshot = discovery.nextCall(t, "/discovery/hosts")
	snapshot.accept(listMessage(52, true, hostEntry("s-1", "Ready")))
	close(snapshot.lines)
	acceptUntil(ctx, t, coordinator, "snapshot", func(b []policyapi.Event) bool { return slices.Equal(versions(b), []policyapi.ListVersion{52}) })
}

// Discovery's address changes while a snapshot is requested from the old address: the response of the old address is ignored, and
// the snapshot is requested from the new address.
func TestSnapshotOfOldAddressIsIgnored(t *testing.T) {
	discovery, second := newManualDiscovery(t), newManualDiscovery(t)
	coordinator, ctx := newSteppedCoordinator(t, discovery.address(), 256)
	coordinator.watcher.requestSnapshot(ctx, 0)
	old := discovery.nextCall(t, "/discovery/hosts")
	cfg := coordinator.cfg
	cfg.Discovery = second.address()
	coordinator.reload(ctx, cfg)
	replacement := second.nextCall(t, "/discovery/hosts")
	old.accept(listMessage(60, true, hostEntry("s-9", "Ready")))
	close(old.lines)
	receive(t, "end of the old call", old.done)
	replacement.accept(listMessage(55, true, hostEntry("s-1", "Ready"), hostEntry("s-4", "Ready")))
	close(replacement.lines)
	got := acceptUntil(ctx, t, coordinator, "list", func(b []policyapi.Event) bool { return len(b) > 0 })
	if v := versions(got); !slices.Equal(v, []policyapi.ListVersion{55}) || coordinator.endpoints.endpoints["s-9"].ID != "" {
		t.Errorf("got updates %v, list %v; want only version 55, without s-9", v, coordinator.endpoints.endpoints)
	}
}

// An invalid entry in a change causes a request for a snapshot. If the entry is invalid in the snapshot, too, its endpoint stays
// unchanged, while an endpoint that the snapshot lacks is removed.
func TestUnreadableEntryRequestsSnapshot(t *testing.T) {
	const unreadable = `{"host":"s-2","site":"nowhere","health":"Ready"}`
	discovery := newManualDiscovery(t)
	coordinator, ctx := newSteppedCoordinator(t, discovery.address(), 256)
	coordinator.watcher.startWatch(ctx, 0)
	watch := discovery.nextCall(t, "/discovery/hosts?watch=1&from=41")
	watch.accept(listMessage(42, false, unreadable))
	watch.sendHeartbeats(t)
	acceptUntil(ctx, t, coordinator, "change", func(b []policyapi.Event) bool { return len(versions(b)) == 1 })
	snapshot := discovery.nextCall(t, "/discovery/hosts")
	snapshot.accept(listMessage(43, true, unreadable, hostEntry("s-3", "Ready")))
	close(snapshot.lines)
	acceptUntil(ctx, t, coordinator, "snapshot", func(b []policyapi.Event) bool { return slices.Contains(versions(b), 43) })
	if _, has := coordinator.endpoints.endpoints["s-1"]; has || coordinator.endpoints.endpoints["s-2"].Status != policyapi.Ready || coordinator.endpoints.endpoints["s-2"].Zone != "a" || len(coordinator.endpoints.endpoints) != 2 {
		t.Errorf("got list %+v, want s-2 unchanged and s-3", coordinator.endpoints.endpoints)
	}
	snapshot = discovery.nextCall(t, "/discovery/hosts") // a snapshot is still due
	snapshot.accept(listMessage(44, true, `{"host":7}`, hostEntry("s-4", "Ready")))
	close(snapshot.lines)
	acceptUntil(ctx, t, coordinator, "snapshot", func(b []policyapi.Event) bool { return slices.Contains(versions(b), 44) })
	if len(coordinator.endpoints.endpoints) != 3 {
		t.Errorf("got list %+v, want three endpoints, since any of them may be the one without a name", coordinator.endpoints.endpoints)
	}
	calls := coordinator.watcher.lastCall
	// A snapshot is requested until all its entries can be read.
	discovery.nextCall(t, "/discovery/hosts").respond <- http.StatusServiceUnavailable
	acceptUntil(ctx, t, coordinator, "retry", func([]policyapi.Event) bool { return coordinator.watcher.lastCall > calls })
	snapshot = discovery.nextCall(t, "/discovery/hosts")
	snapshot.accept(listMessage(45, true, hostEntry("s-4", "Ready")))
	close(snapshot.lines)
	acceptUntil(ctx, t, coordinator, "snapshot", func(b []policyapi.Event) bool { return slices.Contains(versions(b), 45) })
	if len(coordinator.endpoints.endpoints) != 1 || coordinator.watcher.snapshotCall.isPending() || coordinator.watcher.snapshotDue {
		t.Errorf("got list %+v, want only s-4 and no further snapshot due", coordinator.endpoints.endpoints)
	}
}

// The decision module fails while a snapshot is due for an entry that could not be read: the snapshot still arrives. Regression:
// the restart of the module canceled the request, and it was not repeated before the next list.
func TestSnapshotThatIsDueSurvivesModuleRestart(t *testing.T) {
	discovery := newManualDiscovery(t)
	coordinator, ctx := newSteppedCoordinator(t, discovery.address(), 256)
	coordinator.watcher.startWatch(ctx, 0)
	watch := discovery.nextCall(t, "/discovery/hosts?watch=1&from=41")
	watch.accept(listMessage(42, false, `{"host":"s-2","site":"nowhere","health":"Ready"}`))
	watch.sendHeartbeats(t)
	acceptUntil(ctx, t, coordinator, "change", func(b []policyapi.Event) bool { return len(versions(b)) == 1 })
	snapshot := discovery.nextCall(t, "/discovery/hosts")
	coordinator.restartModule()
	snapshot.accept(listMessage(43, true, hostEntry("s-4", "Ready")))
	close(snapshot.lines)
	acceptUntil(ctx, t, coordinator, "snapshot", func(b []policyapi.Event) bool { return slices.Contains(versions(b), 43) })
}

// After discovery has restarted with lower versions, a snapshot is requested and accepted, and changes are watched from its
// version on.
func TestDiscoveryVersionReset(t *testing.T) {
	discovery := newManualDiscovery(t)
	coordinator, ctx := newSteppedCoordinator(t, discovery.address(), 256)
	coordinator.watcher.enabled = true
	coordinator.watcher.startWatch(ctx, 0)
	watch := discovery.nextCall(t, "/discovery/hosts?watch=1&from=41")
	watch.accept(listMessage(3, false, hostEntry("s-1", "Terminating")))
	acceptUntil(ctx, t, coordinator, "snapshot call", func([]policyapi.Event) bool { return coordinator.watcher.snapshotCall.isPending() })
	snapshot := discovery.nextCall(t, "/discovery/hosts")
	snapshot.accept(listMessage(4, true, hostEntry("s-1", "Terminating"), hostEntry("s-2", "Ready")))
	close(snapshot.lines)
	acceptUntil(ctx, t, coordinator, "snapshot", func(b []policyapi.Event) bool { return slices.Contains(versions(b), 4) })
	if coordinator.endpoints.endpoints["s-1"].Status != policyapi.Draining || coordinator.endpoints.version != 4 {
		t.Errorf("got version %d, list %+v; want version 4 with s-1 draining", coordinator.endpoints.version, coordinator.endpoints.endpoints)
	}
	next := discovery.nextCall(t, "/discovery/hosts?watch=1&from=4")
	next.accept(listMessage(5, false, hostEntry("s-2", "Terminating")))
	acceptUntil(ctx, t, coordinator, "change", func(b []policyapi.Event) bool { return slices.Contains(versions(b), 5) })
}

// An older snapshot from a discovery that lags behind does not restore endpoints that were listed as draining or removed, unless
// they have been started since.
func TestOlderListDoesNotRestoreWithdrawn(t *testing.T) {
	discovery := newManualDiscovery(t)
	coordinator, ctx := newSteppedCoordinator(t, discovery.address(), 256)
	coordinator.watcher.startWatch(ctx, 0)
	watch := discovery.nextCall(t, "/discovery/hosts?watch=1&from=41")
	watch.accept(listMessage(50, false, hostEntry("s-1", "Terminating"), hostEntry("s-2", "Gone"), hostEntry("s-3", "Terminating"), hostEntry("s-4", "Ready")))
	acceptUntil(ctx, t, coordinator, "change", func(b []policyapi.Event) bool { return slices.Contains(versions(b), 50) })
	replacement := `{"host":"s-3","dial":"127.0.0.1:1","site":"a","class":"m","block":1,"health":"Ready","share":1,"born_ms":1700000000000}`
	watch.lines <- listMessage(45, true, hostEntry("s-1", "Ready"), hostEntry("s-2", "Ready"), replacement, hostEntry("s-4", "Ready"))
	acceptUntil(ctx, t, coordinator, "older snapshot", func(b []policyapi.Event) bool { return slices.Contains(versions(b), 45) })
	for id, want := range map[policyapi.EndpointID]policyapi.EndpointStatus{
		"s-1": policyapi.Draining,
		"s-2": policyapi.Draining,
		"s-3": policyapi.Ready,
		"s-4": policyapi.Ready,
	} {
		if coordinator.endpoints.endpoints[id].Status != want {
			t.Errorf("%s: got status %d, want %d", id, coordinator.endpoints.endpoints[id].Status, want)
		}
	}
	watch.lines <- listMessage(46, false, hostEntry("s-1", "Ready"))
	acceptUntil(ctx, t, coordinator, "newer change", func(b []policyapi.Event) bool { return slices.Contains(versions(b), 46) })
	if coordinator.endpoints.endpoints["s-1"].Status != policyapi.Ready {
		t.Error("a newer list does not restore s-1")
	}
}
