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

// stateStore writes what the next start needs, by a goroutine of its own: a slow disk must not hold up the core. Of what
// waits to be written only the last is kept.
type stateStore struct {
	dir       string // empty: nothing is saved
	log       *zap.Logger
	lists     chan policyapi.EndpointUpdate
	snapshots chan recovery.Snapshot
	failing   bool // as last logged; of run's goroutine
}

func newStateStore(dir string, log *zap.Logger) *stateStore {
	return &stateStore{dir: dir, log: log, lists: make(chan policyapi.EndpointUpdate, 1), snapshots: make(chan recovery.Snapshot, 1)}
}

func (s *stateStore) saveList(list policyapi.EndpointUpdate) { replacePending(s.lists, list) }

func (s *stateStore) saveSnapshot(snapshot recovery.Snapshot) { replacePending(s.snapshots, snapshot) }

// replacePending puts a value into a channel of one place, instead of the one that waits there.
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

// run writes what is to be saved until the context ends.
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

// logResult logs when saving begins to fail and when it works again.
func (s *stateStore) logResult(err error) {
	failing := err != nil
	if failing == s.failing {
		return
	}
	s.failing = failing
	if failing {
		s.log.Warn("state", zap.String("text", "can't be saved: the next start will be without it"), zap.Error(err))
		return
	}
	s.log.Info("state", zap.String("text", "is saved again"))
}

// saveSnapshot has a snapshot written if the last one is older than snapshotInterval, or in any case if force is set.
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
