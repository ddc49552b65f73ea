package proxyserver

import (
	"context"
	"errors"

	"go.uber.org/zap"

	"porthub/httpclient"
	"porthub/policyapi"
	"porthub/proxyproto"
)

// handle appends the events that follow from a call's result to a batch. Results of canceled calls are ignored.
func (w *discoveryWatcher) handle(ctx context.Context, batch []policyapi.Event, event discoveryEvent) []policyapi.Event {
	if w.snapshotCall.isPending() && event.call == w.snapshotCall.number {
		return w.handleSnapshot(ctx, batch, event)
	}
	source := w.watches[event.call]
	if source == nil {
		return batch
	}
	switch event.kind {
	case callFailed:
		w.extendPatience(event.err)
		return w.handleWatchEnded(ctx, batch, event)
	case watchOpened:
		w.handleWatchOpened(source, event.call)
		return batch
	case lineOverdue:
		w.handleOverdue(ctx, source, event.call)
		return batch
	default:
		w.endOtherWatches(event.call)
		return w.handleLine(ctx, batch, source, event.list)
	}
}

// extendPatience gives lines more time after a call that was ended because it took too long.
func (w *discoveryWatcher) extendPatience(err error) {
	if errors.Is(err, httpclient.ErrTooSlow) {
		w.patience.double()
	}
}

// handleWatchOpened ends the older watches, which the newly opened one replaces. A watch that is receiving a line continues: the
// new one would have to receive the same line from its beginning.
func (w *discoveryWatcher) handleWatchOpened(opened *watch, number int) {
	opened.open = true
	w.consecutiveFailures = 0
	for other, old := range w.watches {
		if other < number && !old.receiving.Load() {
			w.cancelWatch(other)
		}
	}
}

// endOtherWatches ends the watches that are no longer needed after one has delivered a list. A watch at the current address is all
// that is needed. One at an older address is itself no longer needed if another is open at the current address; if none is, it
// continues until that one is open.
func (w *discoveryWatcher) endOtherWatches(number int) {
	atCurrentAddress := w.watches[number].address == w.address
	for otherNumber, other := range w.watches {
		switch {
		case otherNumber == number:
		case atCurrentAddress:
			w.cancelWatch(otherNumber)
		case other.open && other.address == w.address:
			w.cancelWatch(number)
			return
		}
	}
}

// handleOverdue starts another watch, unless a newer one is already started. If there are maxWatches, it takes the place of the
// overdue one: the older ones have more of their line, and a watch that is started now may be faster than all of them.
func (w *discoveryWatcher) handleOverdue(ctx context.Context, overdue *watch, number int) {
	overdue.overdue = true
	if newest, _ := w.newestWatch(); newest != number {
		return
	}
	if len(w.watches) >= maxWatches {
		w.cancelWatch(number)
	}
	w.log.Info("discovery watch overdue, starting another one")
	w.startWatch(ctx, w.jitter(overdueJitter))
}

// handleLine handles a line of a watch. If a delta has a lower version than the one from which the watch was requested, discovery's
// versions went back, and a snapshot is requested.
func (w *discoveryWatcher) handleLine(ctx context.Context, batch []policyapi.Event, source *watch, list proxyproto.EndpointList) []policyapi.Event {
	source.overdue = false
	if update := list.Update; update.Kind == policyapi.Delta && update.Version < source.from {
		w.log.Warn("discovery version went back, requesting a snapshot",
			zap.Int64("requested_from", int64(source.from)), zap.Int64("version", int64(update.Version)))
		if !w.versionReset || !w.snapshotCall.isPending() {
			w.requestSnapshot(ctx, 0)
		}
		w.versionReset = true
		return batch
	}
	return w.accept(ctx, batch, list)
}

// handleWatchEnded handles the end of a watch. If another watch has no response yet, or is open at the current address and not
// overdue, nothing is done. If the other watch is overdue or at an older address, it is expected to end soon, and the current
// address is retried. If no watch is left, the failure is reported to the decision module if the module polls the list; otherwise
// the watcher retries.
func (w *discoveryWatcher) handleWatchEnded(ctx context.Context, batch []policyapi.Event, event discoveryEvent) []policyapi.Event {
	w.log.Info("discovery watch ended", zap.Error(event.err))
	w.cancelWatch(event.call)
	if newest, has := w.newestWatch(); has {
		if other := w.watches[newest]; other.open && (other.overdue || other.address != w.address) {
			w.startWatch(ctx, w.backoff())
		}
		return batch
	}
	if !w.settings.PollsList {
		w.startWatch(ctx, w.backoff())
		return batch
	}
	w.enabled = false
	return append(batch, policyapi.EndpointUpdate{Kind: policyapi.Failed})
}

// handleSnapshot handles the result of the call for a snapshot.
func (w *discoveryWatcher) handleSnapshot(ctx context.Context, batch []policyapi.Event, event discoveryEvent) []policyapi.Event {
	w.cancelSnapshot()
	if event.kind == callFailed {
		w.extendPatience(event.err)
		return w.handleSnapshotFailed(ctx, batch, event.err)
	}
	if version := event.list.Update.Version; version < w.endpoints.version && !w.versionReset {
		w.log.Info("discovery snapshot ignored: older than what the watch has brought",
			zap.Int64("snapshot_version", int64(version)), zap.Int64("version", int64(w.endpoints.version)))
		return batch
	}
	w.consecutiveFailures = 0
	w.snapshotDue = false
	wasReset := w.versionReset
	w.versionReset = false
	batch = w.accept(ctx, batch, event.list)
	if wasReset && w.enabled {
		w.startWatch(ctx, 0) // starts at the version of the snapshot
	}
	return batch
}

// handleSnapshotFailed requests the snapshot again if the watcher needs it, and otherwise reports the failure to the decision
// module.
func (w *discoveryWatcher) handleSnapshotFailed(ctx context.Context, batch []policyapi.Event, err error) []policyapi.Event {
	if w.snapshotDue {
		w.log.Info("discovery snapshot failed, retrying", zap.Error(err))
		w.requestSnapshot(ctx, w.backoff())
		return batch
	}
	w.log.Info("discovery snapshot failed", zap.Error(err))
	return append(batch, policyapi.EndpointUpdate{Kind: policyapi.Failed})
}

// accept applies a list and appends its update to a batch. If some of its entries can't be read, the others are applied and a
// snapshot is requested.
func (w *discoveryWatcher) accept(ctx context.Context, batch []policyapi.Event, list proxyproto.EndpointList) []policyapi.Event {
	for _, dropped := range list.Dropped {
		w.log.Warn("endpoint list entry ignored", zap.Error(dropped))
	}
	w.patience.reset()
	if list.Update.Kind == policyapi.Delta && list.Update.Version < w.endpoints.version {
		return batch // a new watch can start at an older version than the previous watch has delivered
	}
	update := w.applyList(list)
	if len(list.Dropped) > 0 && !w.snapshotCall.isPending() {
		w.snapshotDue = true
		w.requestSnapshot(ctx, w.backoff())
	}
	return append(batch, update)
}
