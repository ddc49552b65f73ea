package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"

	"porthub/policyapi"
	"porthub/recovery"
)

// snapshotInterval is the time between two snapshots.
const snapshotInterval = time.Second

// stateStore saves the state for the next start. It writes in its own goroutine, so that a slow disk does not block the core.
// Of the lists and snapshots that wait to be written, only the latest of each is kept.
type stateStore struct {
	dir       string // state directory; empty: nothing is saved
	log       *zap.Logger
	lists     chan policyapi.EndpointUpdate
	snapshots chan recovery.Snapshot
	failing   bool // whether writes failed when last logged; used only by run
}

func newStateStore(dir string, log *zap.Logger) *stateStore {
	return &stateStore{dir: dir, log: log, lists: make(chan policyapi.EndpointUpdate, 1), snapshots: make(chan recovery.Snapshot, 1)}
}

func (s *stateStore) saveList(list policyapi.EndpointUpdate) { replacePending(s.lists, list) }

func (s *stateStore) saveSnapshot(snapshot recovery.Snapshot) { replacePending(s.snapshots, snapshot) }

// replacePending sends a value to a channel of capacity 1, in place of the value that is pending there.
func replacePending[T any](pending chan T, value T) {
	for {
		select {
		case pending <- value:
			return
		default:
		}
		select {
		case <-pending:
		default:
		}
	}
}

// run writes lists and snapshots until the context is done.
func (s *stateStore) run(ctx context.Context) {
	for {
		select {
		case list := <-s.lists:
			if s.dir != "" {
				s.logResult(writeList(s.dir, list))
			}
		case snapshot := <-s.snapshots:
			s.logResult(writeSnapshot(s.dir, snapshot))
		case <-ctx.Done():
			return
		}
	}
}

// logResult logs when writes begin to fail and when they succeed again.
func (s *stateStore) logResult(err error) {
	failing := err != nil
	if failing == s.failing {
		return
	}
	s.failing = failing
	if failing {
		s.log.Warn("state", zap.String("text", "the state can't be saved: the next start will not have it"), zap.Error(err))
		return
	}
	s.log.Info("state", zap.String("text", "the state is saved again"))
}

// saveSnapshot queues a snapshot to be written if the last one is at least snapshotInterval old, or if force is set.
func (d *Daemon) saveSnapshot(now policyapi.Microseconds, force bool) {
	if d.config.StateDir == "" {
		return
	}
	if !force && now-d.snapshotAt < policyapi.Microseconds(snapshotInterval.Microseconds()) {
		return
	}
	d.snapshotAt = now
	d.state.saveSnapshot(d.core.Snapshot())
}
