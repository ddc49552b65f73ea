package routing

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"porthub/policyapi"
)

// ErrUnknownVersion is wrapped by errors for a version that is not stored, or for a time from which a table has no version.
var ErrUnknownVersion = errors.New("no such version")

// Version is the number of a state of one table, counted from 1. Versions of different tables are unrelated.
type Version uint64

// VersionEntry is one version of a table.
type VersionEntry struct {
	Version   Version
	CreatedAt policyapi.Microseconds
	State     State // weights of the decision module
	// Overrides holds the weights that the weight solver sets in place of State, by request class. Classes that the solver does
	// not change have no entry.
	Overrides map[policyapi.RequestClass]State
}

// ForClass returns the state of a class in this version.
func (e VersionEntry) ForClass(class policyapi.RequestClass) State {
	if override, ok := e.Overrides[class]; ok {
		return override
	}
	return e.State
}

// sameStates reports whether two versions have the same states.
func (e VersionEntry) sameStates(other VersionEntry) bool {
	if Diff(e.State, other.State).Size() > 0 || len(e.Overrides) != len(other.Overrides) {
		return false
	}
	for class, state := range e.Overrides {
		if otherState, ok := other.Overrides[class]; !ok || Diff(state, otherState).Size() > 0 {
			return false
		}
	}
	return true
}

// VersionStore stores the versions of all tables and the pins of operators. It is not safe for concurrent use.
type VersionStore struct {
	maxVersions int                                  // of one table; pinned versions may exceed it
	maxAge      policyapi.Microseconds               // of a version that is neither the last nor pinned
	tables      map[policyapi.TableID][]VersionEntry // oldest first
	latest      map[policyapi.TableID]Version        // last assigned version
	pins        []Pin                                // oldest first
	lastPinID   int
}

// minVersions is the smallest limit on the versions of a table: the last one and one for a rollback.
const minVersions = 2

// NewVersionStore returns an empty store that keeps up to maxVersions versions of each table for up to maxAge.
func NewVersionStore(maxVersions int, maxAge policyapi.Microseconds) *VersionStore {
	return &VersionStore{
		maxVersions: max(minVersions, maxVersions),
		maxAge:      maxAge,
		tables:      map[policyapi.TableID][]VersionEntry{},
		latest:      map[policyapi.TableID]Version{},
	}
}

// Put sets the current weights of a table and the overrides of some classes. It returns the version of the table, which is a new one
// unless nothing has changed. Old versions that are not pinned are dropped.
func (s *VersionStore) Put(now policyapi.Microseconds, table policyapi.TableID, weights Weights, overrides map[policyapi.RequestClass]Weights) Version {
	entries := s.tables[table]
	var last VersionEntry
	if len(entries) > 0 {
		last = entries[len(entries)-1]
	}
	next := last.next(s.latest[table]+1, now, weights, overrides)
	if len(entries) > 0 && last.sameStates(next) {
		return last.Version
	}
	s.latest[table] = next.Version
	s.tables[table] = s.dropOld(now, table, append(entries, next))
	return next.Version
}

// next returns the entry that follows e, with the given version, weights and overrides.
func (e VersionEntry) next(version Version, now policyapi.Microseconds, weights Weights, overrides map[policyapi.RequestClass]Weights) VersionEntry {
	next := VersionEntry{Version: version, CreatedAt: now, State: e.State.With(weights)}
	if len(overrides) == 0 {
		return next
	}
	next.Overrides = map[policyapi.RequestClass]State{}
	for class, override := range overrides {
		next.Overrides[class] = e.ForClass(class).With(override)
	}
	return next
}

// dropOld removes expired entries and, if there are more than maxVersions, the oldest ones. It keeps the last entry and pinned ones.
func (s *VersionStore) dropOld(now policyapi.Microseconds, table policyapi.TableID, entries []VersionEntry) []VersionEntry {
	pinned := s.pinnedVersions(table)
	for i := 0; i < len(entries)-1; {
		expired := now-entries[i].CreatedAt > s.maxAge
		if (expired || len(entries) > s.maxVersions) && !pinned[entries[i].Version] {
			entries = slices.Delete(entries, i, i+1)
			continue
		}
		i++
	}
	return entries
}

// Tables returns the IDs of the tables that have versions, in ascending order.
func (s *VersionStore) Tables() []policyapi.TableID { return slices.Sorted(maps.Keys(s.tables)) }

// Versions returns the stored versions of a table, oldest first. Callers must not modify the result.
func (s *VersionStore) Versions(table policyapi.TableID) []VersionEntry { return s.tables[table] }

// Get returns a version of a table. It returns ErrUnknownVersion if the version is not stored.
func (s *VersionStore) Get(table policyapi.TableID, version Version) (VersionEntry, error) {
	for _, e := range s.tables[table] {
		if e.Version == version {
			return e, nil
		}
	}
	return VersionEntry{}, fmt.Errorf("%w: table %d has no version %d: %s", ErrUnknownVersion, table, version, s.versionRange(table))
}

// versionRange describes the stored versions of a table for an error message.
func (s *VersionStore) versionRange(table policyapi.TableID) string {
	entries := s.tables[table]
	if len(entries) == 0 {
		return "it has none"
	}
	return fmt.Sprintf("it has %d to %d", entries[0].Version, entries[len(entries)-1].Version)
}

// versionAt returns the version that was in force at a time. ok is false if there is none that old.
func versionAt(entries []VersionEntry, at policyapi.Microseconds) (entry VersionEntry, ok bool) {
	for _, e := range slices.Backward(entries) {
		if e.CreatedAt <= at {
			return e, true
		}
	}
	return VersionEntry{}, false
}
