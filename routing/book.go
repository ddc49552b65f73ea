package routing

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"

	"porthub/policyapi"
)

// Version numbers a table's states, from 1 on; it says nothing about other tables.
type Version uint64

// VersionEntry is one version of a table.
type VersionEntry struct {
	Version   Version
	CreatedAt policyapi.Microseconds // when it came into being
	State     State                  // by the module
	// Overrides is what the weight solver has in its place, by request kind; a kind that is not in it has State.
	Overrides map[policyapi.RequestClass]State
}

// ForClass is what the version holds for a kind.
func (e VersionEntry) ForClass(kind policyapi.RequestClass) State {
	if s, acts := e.Overrides[kind]; acts {
		return s
	}
	return e.State
}

// same tells whether two versions hold the same.
func (e VersionEntry) same(o VersionEntry) bool {
	if Diff(e.State, o.State).Size() > 0 || len(e.Overrides) != len(o.Overrides) {
		return false
	}
	for kind, s := range e.Overrides {
		if t, has := o.Overrides[kind]; !has || Diff(s, t).Size() > 0 {
			return false
		}
	}
	return true
}

// VersionStore keeps the versions of all tables and what operators have pinned. It is pure: time is handed in.
type VersionStore struct {
	keep   int                    // versions of a table
	most   policyapi.Microseconds // how old they may be, but for the last one
	tables map[policyapi.TableID][]VersionEntry
	next   map[policyapi.TableID]Version
	pins   []Pin
	pinned int // numbers pins
}

// Scope says what a pin holds: a table, all tables of a zone (a group of groups), or the fleet.
type Scope struct {
	Table policyapi.TableID `json:"table"` // Anything: see Zone
	Zone  policyapi.Zone    `json:"zone"`  // empty, with Table Anything: the fleet
}

// AnyTable stands in a Scope for all tables.
const AnyTable policyapi.TableID = -1

func (s Scope) String() string {
	switch {
	case s.Table != AnyTable:
		return fmt.Sprintf("table %d", s.Table)
	case s.Zone != "":
		return "zone " + string(s.Zone)
	default:
		return "the fleet"
	}
}

// narrower orders scopes: a pin of a table goes before one of its zone, that before the fleet's.
func (s Scope) narrower() int {
	switch {
	case s.Table != AnyTable:
		return 0
	case s.Zone != "":
		return 1
	default:
		return 2
	}
}

// Pin holds tables at an earlier state: a version of one table, or what all in scope had at a time.
type Pin struct {
	ID       int                    `json:"id"`
	Scope    Scope                  `json:"scope"`
	Version  Version                `json:"version,omitempty"` // of a table; 0: by time
	At       policyapi.Microseconds `json:"at_us,omitempty"`   // the state that was in force then
	PinnedAt policyapi.Microseconds `json:"since_us"`
	Reason   string                 `json:"reason"`
	// held are the versions that the pin holds, found when it was made: what came into being at the same moment but
	// later is not among them.
	held map[policyapi.TableID]Version
}

// What goes wrong with pins.
var (
	ErrNoVersion = errors.New("no such version")
	ErrNoReason  = errors.New("a pin needs a reason")
	ErrNoPin     = errors.New("no such pin")
)

// NewVersionStore keeps so many versions of each table, for so long.
func NewVersionStore(keep int, most policyapi.Microseconds) *VersionStore {
	return &VersionStore{keep: max(2, keep), most: most, tables: map[policyapi.TableID][]VersionEntry{}, next: map[policyapi.TableID]Version{}}
}

// Put says what a table holds from now on, and what acts in its place for some kinds; it is a new version if it is not
// what it held. Versions that are pinned or that pins of a time need are never let go; of the others the oldest are.
func (b *VersionStore) Put(now policyapi.Microseconds, table policyapi.TableID, w Weights, acting map[policyapi.RequestClass]Weights) Version {
	entries := b.tables[table]
	var last VersionEntry
	if n := len(entries); n > 0 {
		last = entries[n-1]
	}
	next := VersionEntry{Version: b.next[table] + 1, CreatedAt: now, State: last.State.With(w)}
	for kind, weights := range acting {
		if next.Overrides == nil {
			next.Overrides = map[policyapi.RequestClass]State{}
		}
		next.Overrides[kind] = last.ForClass(kind).With(weights)
	}
	if len(entries) > 0 && last.same(next) {
		return last.Version
	}
	b.next[table] = next.Version
	entries = append(entries, next)
	needed := b.needed(table)
	for i := 0; i < len(entries)-1; {
		if old := now-entries[i].CreatedAt > b.most; (old || len(entries) > b.keep) && !needed[entries[i].Version] {
			entries = slices.Delete(entries, i, i+1)
			continue
		}
		i++
	}
	b.tables[table] = entries
	return b.next[table]
}

// needed are the versions that pins hold.
func (b *VersionStore) needed(table policyapi.TableID) map[Version]bool {
	needed := map[Version]bool{}
	for _, p := range b.pins {
		needed[p.held[table]] = true
	}
	return needed
}

// at is the version that was in force at a time.
func at(entries []VersionEntry, t policyapi.Microseconds) (VersionEntry, bool) {
	for _, e := range slices.Backward(entries) {
		if e.CreatedAt <= t {
			return e, true
		}
	}
	return VersionEntry{}, false
}

// Tables lists the tables that have versions.
func (b *VersionStore) Tables() []policyapi.TableID { return slices.Sorted(maps.Keys(b.tables)) }

// Versions lists what is kept of a table, the oldest first.
func (b *VersionStore) Versions(table policyapi.TableID) []VersionEntry { return b.tables[table] }

// Get finds a version of a table.
func (b *VersionStore) Get(table policyapi.TableID, v Version) (VersionEntry, error) {
	for _, e := range b.tables[table] {
		if e.Version == v {
			return e, nil
		}
	}
	return VersionEntry{}, fmt.Errorf("%w: table %d has no version %d: %s", ErrNoVersion, table, v, b.has(table))
}

func (b *VersionStore) has(table policyapi.TableID) string {
	entries := b.tables[table]
	if len(entries) == 0 {
		return "it has none"
	}
	return fmt.Sprintf("it has %d to %d", entries[0].Version, entries[len(entries)-1].Version)
}

// Pin holds what is in scope at an earlier state from now on. It takes the place of a pin of the same scope.
func (b *VersionStore) Pin(now policyapi.Microseconds, p Pin) (Pin, error) {
	if p.Reason == "" {
		return p, ErrNoReason
	}
	if p.Scope.Table != AnyTable {
		if p.Version > 0 {
			if _, err := b.Get(p.Scope.Table, p.Version); err != nil {
				return p, err
			}
		} else if _, has := at(b.tables[p.Scope.Table], p.At); !has {
			return p, fmt.Errorf("%w: nothing is kept of table %d from then: %s", ErrNoVersion, p.Scope.Table, b.has(p.Scope.Table))
		}
	} else if p.Version > 0 {
		return p, fmt.Errorf("%w: versions are a table's own; pin %s by a time", ErrNoVersion, p.Scope)
	}
	b.pins = slices.DeleteFunc(b.pins, func(o Pin) bool { return o.Scope == p.Scope })
	b.pinned++
	p.ID, p.PinnedAt, p.held = b.pinned, now, map[policyapi.TableID]Version{}
	for t, entries := range b.tables {
		if p.Scope.Table == t && p.Version > 0 {
			p.held[t] = p.Version
		} else if e, has := at(entries, p.At); has && (p.Scope.Table == AnyTable || p.Scope.Table == t) {
			p.held[t] = e.Version
		}
	}
	b.pins = append(b.pins, p)
	return p, nil
}

// Unpin lets a pin go.
func (b *VersionStore) Unpin(id int) (Pin, error) {
	i := slices.IndexFunc(b.pins, func(p Pin) bool { return p.ID == id })
	if i < 0 {
		return Pin{}, fmt.Errorf("%w: %d", ErrNoPin, id)
	}
	p := b.pins[i]
	b.pins = slices.Delete(b.pins, i, i+1)
	return p, nil
}

// Pins lists them, the oldest first.
func (b *VersionStore) Pins() []Pin { return b.pins }

// EndpointEligibility is what the rules say of a backend now, whatever an old version holds.
type EndpointEligibility struct {
	Closed    bool    // drains, is gone or fails the kind: no line
	Weight    float64 // its weight in the table as the module has it; 0: no line there
	WarmingUp bool    // it has at most the weight that it has now, and none if it has none
}

// Effective is what a table's users are to hold of it for a kind: the weights as they are, or those of the narrowest pin with the
// rules' mask over them. Where nothing of the pinned state is left that the rules allow, the rules win and the
// weights are as they are; overruled says so. Weights of a pinned state are brought to the scale of now, so that a
// cold backend's part is no larger than it is now.
func (b *VersionStore) Effective(table policyapi.TableID, kind policyapi.RequestClass, zone policyapi.Zone, now Weights,
	standing func(policyapi.EndpointID) EndpointEligibility) (w Weights, pin *Pin, overruled string) {
	for i := range b.pins {
		p := &b.pins[i]
		in := p.Scope.Table == table || p.Scope.Table == AnyTable && (p.Scope.Zone == "" || p.Scope.Zone == zone)
		if in && (pin == nil || cmp.Or(cmp.Compare(p.Scope.narrower(), pin.Scope.narrower()), cmp.Compare(pin.ID, p.ID)) < 0) {
			pin = p
		}
	}
	if pin == nil {
		return now, nil, ""
	}
	old, err := b.Get(table, pin.held[table])
	if err != nil {
		return now, pin, fmt.Sprintf("table %d is younger than the pin", table)
	}
	w, masked, left := Mask(old.ForClass(kind).Weights(), standing)
	if !left {
		return now, pin, fmt.Sprintf("the rules leave no warm line of table %d: it is as the module has it", table)
	}
	if masked > 0 {
		overruled = fmt.Sprintf("%d lines of table %d are masked by the rules", masked, table)
	}
	return w, pin, overruled
}

// Mask puts the rules over old weights: closed backends have no line, and a cold one's part beside the warm ones is no
// larger than it is now. It is false where no warm line is left.
func Mask(old Weights, standing func(policyapi.EndpointID) EndpointEligibility) (w Weights, masked int, left bool) {
	w = Weights{}
	warmThen, warmNow := 0.0, 0.0
	var cold []policyapi.EndpointID
	for _, be := range slices.Sorted(maps.Keys(old)) {
		switch s := standing(be); {
		case s.Closed:
			masked++
		case s.WarmingUp:
			cold = append(cold, be)
		default:
			w[be] = old[be]
			if warmThen += old[be]; s.Weight > 0 {
				warmNow += s.Weight
			} else {
				warmNow += old[be]
			}
		}
	}
	for _, be := range cold {
		// Its part beside the warm ones must not grow: the weight of now, as the warm ones' has changed.
		if s := standing(be); s.Weight > 0 && warmNow > 0 {
			w[be] = min(s.Weight, s.Weight*warmThen/warmNow)
		} else {
			masked++
		}
	}
	return w, masked, warmThen > 0
}

// PinnedVersion is a pin with the states that it holds, for the next start.
type PinnedVersion struct {
	Pin     Pin                           `json:"pin"`
	Weights map[policyapi.TableID]Weights `json:"holds"`
	// Overrides is what the weight solver had in their place.
	Overrides map[policyapi.TableID]map[policyapi.RequestClass]Weights `json:"acting,omitempty"`
}

// Snapshot is what a next start has to know of the pins.
func (b *VersionStore) Snapshot() (kept []PinnedVersion) {
	for _, p := range b.pins {
		k := PinnedVersion{Pin: p, Weights: map[policyapi.TableID]Weights{}}
		for t, v := range p.held {
			if e, err := b.Get(t, v); err == nil {
				k.Weights[t] = e.State.Weights()
				if len(e.Overrides) == 0 {
					continue
				}
				if k.Overrides == nil {
					k.Overrides = map[policyapi.TableID]map[policyapi.RequestClass]Weights{}
				}
				k.Overrides[t] = map[policyapi.RequestClass]Weights{}
				for kind, s := range e.Overrides {
					k.Overrides[t][kind] = s.Weights()
				}
			}
		}
		kept = append(kept, k)
	}
	return kept
}

// Restore takes the pins of an earlier start in. The states that they hold become the first versions of their tables.
func (b *VersionStore) Restore(now policyapi.Microseconds, kept []PinnedVersion) {
	for _, k := range kept {
		p := k.Pin
		p.held = map[policyapi.TableID]Version{}
		for _, t := range slices.Sorted(maps.Keys(k.Weights)) {
			p.held[t] = b.Put(now, t, k.Weights[t], k.Overrides[t])
		}
		b.pinned = max(b.pinned, p.ID)
		b.pins = append(b.pins, p)
	}
}
