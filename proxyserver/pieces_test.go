package proxyserver

import (
	"context"
	"fmt"
	"testing"
	"time"

	"porthub/httpclient"
	"porthub/policyapi"
	"porthub/proxyproto"
)

// slowPieces is the number of pieces of a line that takes 4.1 s, which is longer than a watch may be without a line.
const slowPieces = 41

// startWithRawDiscovery starts a coordinator whose first watch is open and has brought a heartbeat, and a proxy that has its table.
func startWithRawDiscovery(t *testing.T) (discovery *rawDiscovery, watch *rawCall, proxy *client) {
	t.Helper()
	discovery = newRawDiscovery(t)
	srv := startServerAt(t, discovery.address(), 256)
	watch = discovery.nextCall(t, "/discovery/hosts?watch=1&from=41")
	watch.accept("")
	proxy = srv.subscribe(1)
	proxy.receiveUntil(1, "s-1")
	return discovery, watch, proxy
}

// A line that arrives in pieces, without a pause, is read to its end although it takes longer than a line may be overdue. Each watch
// was ended in the middle of it by the next one, so that no change was learned and proxies sent on to drained endpoints.
func TestLineInPiecesIsRead(t *testing.T) {
	t.Parallel()
	discovery, first, proxy := startWithRawDiscovery(t)
	line := listMessage(42, false, hostEntry("s-1", "Terminating")) + "\n"
	go func() { // every other watch delivers its line as slowly
		for {
			select {
			case call := <-discovery.calls:
				call.accept()
				go call.sendPieces(line, slowPieces)
			case <-t.Context().Done():
				return
			}
		}
	}()
	began := time.Now()
	go first.sendPieces(line, slowPieces)
	proxy.receiveUntil(1, "s-1:0")
	if took := time.Since(began); took > deliveredAfter {
		t.Errorf("the drain reached the proxy %s after its line began, want at most %s", took, deliveredAfter)
	}
}

// A line that never ends does not keep a change back that another watch delivers, and its watch is ended then.
func TestEndlessLineIsReplaced(t *testing.T) {
	t.Parallel()
	discovery, endless, proxy := startWithRawDiscovery(t)
	go endless.sendEndlessLine()
	next := discovery.nextCall(t, "/discovery/hosts?watch=1&from=41")
	next.accept(listMessage(42, false, hostEntry("s-1", "Terminating")))
	proxy.receiveUntil(1, "s-1:0")
	receive(t, "end of the endless watch", endless.done)
}

// A watch that falls silent in the middle of a line is ended, although no other one has delivered a list.
func TestWatchSilentWithinALineIsEnded(t *testing.T) {
	t.Parallel()
	discovery, silent, _ := startWithRawDiscovery(t)
	began := time.Now()
	silent.write("400\r\n{\"seq\":42,")
	next := discovery.nextCall(t, "/discovery/hosts?watch=1&from=41")
	next.accept()
	go next.sendHeartbeats()
	receive(t, "end of the silent watch", silent.done)
	if took := time.Since(began); took < lineTimeout || took > watchTimeout+lineTimeout {
		t.Errorf("the watch was ended after %s of silence, want about %s", took, watchTimeout)
	}
}

// A snapshot that arrives in pieces is read to its end although it takes longer than discovery may be silent.
func TestSnapshotInPiecesIsRead(t *testing.T) {
	t.Parallel()
	const pieces = 50 // 5 s
	discovery := newRawDiscovery(t)
	coordinator, ctx := newSteppedCoordinator(t, discovery.address(), 256)
	coordinator.watcher.requestSnapshot(ctx, 0)
	call := discovery.nextCall(t, "/discovery/hosts")
	call.accept()
	go func() {
		call.sendPieces(listMessage(60, true, hostEntry("s-9", "Ready")), pieces)
		call.write("0\r\n\r\n")
	}()
	got := acceptUntil(ctx, t, coordinator, "snapshot", func(b []policyapi.Event) bool { return len(b) > 0 })
	if v := versions(got); len(v) != 1 || v[0] != 60 {
		t.Errorf("got events %+v, want the snapshot of version 60", got)
	}
}

// newWatcherWithoutCalls returns the watcher of a coordinator whose discovery responds to no call: the test handles the events.
func newWatcherWithoutCalls(t *testing.T) (*discoveryWatcher, context.Context) {
	t.Helper()
	coordinator, ctx := newSteppedCoordinator(t, newManualDiscovery(t).address(), 256)
	coordinator.watcher.enabled = true
	return coordinator.watcher, ctx
}

// receiveLineOn makes a watch open, in the middle of a line, and overdue.
func (w *discoveryWatcher) receiveLineOn(ctx context.Context, number int) {
	w.handle(ctx, nil, discoveryEvent{call: number, kind: watchOpened})
	w.watches[number].receiving.Store(true)
	w.handle(ctx, nil, discoveryEvent{call: number, kind: lineOverdue})
}

// If no line ever ends, on any watch, there are no more than maxWatches of them, so that a snapshot has a descriptor. The oldest ones
// go on until they have taken too long, and another one is started each time that the newest is overdue: once discovery has recovered,
// the change is read as early as from a silent one.
func TestEndlessLinesOnAllWatchesAreBounded(t *testing.T) {
	watcher, ctx := newWatcherWithoutCalls(t)
	watcher.startWatch(ctx, 0)
	const calls = 10
	for number := 1; number < calls; number++ {
		watcher.receiveLineOn(ctx, number)
		if len(watcher.watches) > maxWatches || watcher.watches[1] == nil || watcher.lastCall != number+1 {
			t.Fatalf("got watches %v after call %d was overdue, want at most %d, with the first and another one", watcher.watches, number, maxWatches)
		}
	}
	before := watcher.patience.current
	watcher.handle(ctx, nil, discoveryEvent{call: calls, kind: watchOpened})
	watcher.handle(ctx, nil, discoveryEvent{call: 1, kind: callFailed, err: fmt.Errorf("watch: %w", httpclient.ErrTooSlow)})
	watcher.receiveLineOn(ctx, calls)
	if watcher.watches[2] == nil || watcher.watches[calls] == nil || len(watcher.watches) != maxWatches {
		t.Errorf("got watches %v after the first one took too long, want the two that are left and another one", watcher.watches)
	}
	if watcher.patience.current != 2*before {
		t.Errorf("a line may take %s, want twice %s after one took too long", watcher.patience.current, before)
	}
}

// When discovery's address changes while all watches are in the middle of a line, there is room for one at the new address. A line
// that ends at the old address is used, and its watch ended once one at the new address is open.
func TestAddressChangesWithinLines(t *testing.T) {
	watcher, ctx := newWatcherWithoutCalls(t)
	watcher.startWatch(ctx, 0)
	for number := 1; number < maxWatches; number++ {
		watcher.receiveLineOn(ctx, number)
	}
	watcher.handle(ctx, nil, discoveryEvent{call: maxWatches, kind: watchOpened})
	watcher.watches[maxWatches].receiving.Store(true)
	watcher.setAddress(ctx, "127.0.0.1:1")
	current := watcher.lastCall
	if len(watcher.watches) != maxWatches || watcher.watches[current] == nil || watcher.watches[1] != nil {
		t.Fatalf("got watches %v, want %d without the oldest and with one at the new address", watcher.watches, maxWatches)
	}
	change := func(version policyapi.ListVersion) proxyproto.EndpointList {
		return proxyproto.EndpointList{Update: policyapi.EndpointUpdate{Kind: policyapi.Delta, Version: version}}
	}
	if batch := watcher.handle(ctx, nil, discoveryEvent{call: 2, kind: listReceived, list: change(42)}); len(batch) != 1 || watcher.watches[2] == nil {
		t.Errorf("got events %v and watches %v, want the change, and its watch still there", batch, watcher.watches)
	}
	watcher.handle(ctx, nil, discoveryEvent{call: current, kind: watchOpened})
	if batch := watcher.handle(ctx, nil, discoveryEvent{call: 3, kind: listReceived, list: change(43)}); len(batch) != 1 || watcher.watches[3] != nil {
		t.Errorf("got events %v and watches %v, want the change, and its watch ended", batch, watcher.watches)
	}
}

// The time that a line may take has a bound, and starts anew with each list.
func TestPatienceIsBounded(t *testing.T) {
	patience := newPatience(3 * time.Second)
	if want := deliveredAfter + 3*time.Second; patience.current != want {
		t.Errorf("a line may take %s, want %s", patience.current, want)
	}
	for range 10 {
		patience.double()
	}
	if patience.current != maxPatience {
		t.Errorf("a line may take %s, want %s", patience.current, maxPatience)
	}
	patience.reset()
	if patience.current != patience.initial {
		t.Errorf("a line may take %s after a list, want %s", patience.current, patience.initial)
	}
}

// While discovery's versions are back, a snapshot that is on its way is not requested anew for each line: one that takes longer
// than the time between two lines would never arrive.
func TestVersionResetKeepsPendingSnapshot(t *testing.T) {
	watcher, ctx := newWatcherWithoutCalls(t)
	watcher.startWatch(ctx, 0)
	watcher.handle(ctx, nil, discoveryEvent{call: 1, kind: watchOpened})
	older := proxyproto.EndpointList{Update: policyapi.EndpointUpdate{Kind: policyapi.Delta, Version: 3}}
	watcher.handle(ctx, nil, discoveryEvent{call: 1, kind: listReceived, list: older})
	requested := watcher.snapshotCall.number
	watcher.handle(ctx, nil, discoveryEvent{call: 1, kind: listReceived, list: older})
	if !watcher.snapshotCall.isPending() || watcher.snapshotCall.number != requested {
		t.Errorf("got snapshot call %d, want the pending call %d", watcher.snapshotCall.number, requested)
	}
}
