package routing

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"

	"porthub/policyapi"
)

// Errors returned by VersionStore.Pin and VersionStore.Unpin, in addition to ErrUnknownVersion.
var (
	ErrReasonRequired = errors.New("a pin needs a reason")
	ErrUnknownPin     = errors.New("no such pin")
)

// Scope is what a pin applies to: one table, all tables of the gateways in a zone, or all tables of the fleet.
type Scope struct {
	Table policyapi.TableID `json:"table"` // a table, or AnyTable
	Zone  policyapi.Zone    `json:"zone"`  // with AnyTable: a zone, or empty for the fleet
}

// AnyTable is the Scope.Table of a pin of all tables of a zone or of the fleet.
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

// rank orders scopes from the narrowest to the widest.
func (s Scope) rank() int {
	switch {
	case s.Table != AnyTable:
		return 0
	case s.Zone != "":
		return 1
	default:
		return 2
	}
}

// contains reports whether the scope includes a table at the gateways of a zone. The table of a gateway that is not bound to one yet
// is -1, which equals AnyTable: only the scopes of its own zone and of the fleet include it.
func (s Scope) contains(table policyapi.TableID, zone policyapi.Zone) bool {
	if s.Table != AnyTable {
		return s.Table == table
	}
	return s.Zone == "" || s.Zone == zone
}

// Pin fixes tables at an earlier state: one table at a version, or all tables in scope at the state that was in force at a time.
type Pin struct {
	ID       int                    `json:"id"`
	Scope    Scope                  `json:"scope"`
	Version  Version                `json:"version,omitempty"` // version of Scope.Table; 0: At applies
	At       policyapi.Microseconds `json:"at_us,omitempty"`   // time whose state is pinned if Version is 0
	PinnedAt policyapi.Microseconds `json:"since_us"`
	Reason   string                 `json:"reason"`
	// versions holds the pinned version of each table. They are determined when the pin is set, so that versions created later, even
	// with the same time, are not included.
	versions map[policyapi.TableID]Version
}

// Pin adds a pin, replacing an earlier one of the same scope, and returns it with its ID. It returns ErrReasonRequired if the reason
// is empty, and ErrUnknownVersion if the version to pin is not stored.
func (s *VersionStore) Pin(now policyapi.Microseconds, pin Pin) (Pin, error) {
	if err := s.checkPin(pin); err != nil {
		return pin, err
	}
	s.pins = slices.DeleteFunc(s.pins, func(p Pin) bool { return p.Scope == pin.Scope })
	s.lastPinID++
	pin.ID = s.lastPinID
	pin.PinnedAt = now
	pin.versions = s.versionsOf(pin)
	s.pins = append(s.pins, pin)
	return pin, nil
}

func (s *VersionStore) checkPin(pin Pin) error {
	table := pin.Scope.Table
	switch {
	case pin.Reason == "":
		return ErrReasonRequired
	case table == AnyTable && pin.Version > 0:
		return fmt.Errorf("%w: versions belong to one table; pin %s by a time", ErrUnknownVersion, pin.Scope)
	case table == AnyTable:
		return nil
	case pin.Version > 0:
		_, err := s.Get(table, pin.Version)
		return err
	}
	if _, ok := versionAt(s.tables[table], pin.At); !ok {
		return fmt.Errorf("%w: table %d has no version from that time: %s", ErrUnknownVersion, table, s.versionRange(table))
	}
	return nil
}

// versionsOf returns the versions that a pin fixes, by table.
func (s *VersionStore) versionsOf(pin Pin) map[policyapi.TableID]Version {
	versions := map[policyapi.TableID]Version{}
	for table, entries := range s.tables {
		if pin.Scope.Table != AnyTable && pin.Scope.Table != table {
			continue
		}
		if pin.Scope.Table == table && pin.Version > 0 {
			versions[table] = pin.Version
			continue
		}
		if e, ok := versionAt(entries, pin.At); ok {
			versions[table] = e.Version
		}
	}
	return versions
}

// Unpin removes a pin and returns it. It returns ErrUnknownPin if there is none with the ID.
func (s *VersionStore) Unpin(id int) (Pin, error) {
	i := slices.IndexFunc(s.pins, func(p Pin) bool { return p.ID == id })
	if i < 0 {
		return Pin{}, fmt.Errorf("%w: %d", ErrUnknownPin, id)
	}
	pin := s.pins[i]
	s.pins = slices.Delete(s.pins, i, i+1)
	return pin, nil
}

// Pins returns the pins, oldest first. Callers must not modify the result.
func (s *VersionStore) Pins() []Pin { return s.pins }

// pinnedVersions returns the set of versions of a table that pins fix.
func (s *VersionStore) pinnedVersions(table policyapi.TableID) map[Version]bool {
	pinned := map[Version]bool{}
	for _, p := range s.pins {
		pinned[p.versions[table]] = true
	}
	return pinned
}

// pinFor returns the pin with the narrowest scope that includes a table at the gateways of a zone. It returns the newest if there are
// several, and nil if there is none.
func (s *VersionStore) pinFor(table policyapi.TableID, zone policyapi.Zone) (narrowest *Pin) {
	for i := range s.pins {
		pin := &s.pins[i]
		if !pin.Scope.contains(table, zone) {
			continue
		}
		if narrowest == nil || cmp.Or(cmp.Compare(pin.Scope.rank(), narrowest.Scope.rank()), cmp.Compare(narrowest.ID, pin.ID)) < 0 {
			narrowest = pin
		}
	}
	return narrowest
}

// Effective returns the weights of a table for a class at the gateways of a zone: current, or those of the pin with the narrowest
// scope, restricted to what eligibility allows. If the restriction leaves no warmed-up endpoint, or if the table had no version at
// the pinned time, current applies. pin is nil if there is none in scope. overruled states that current applies in spite of the pin,
// or that endpoints are masked, with the reason; otherwise it is empty.
func (s *VersionStore) Effective(table policyapi.TableID, class policyapi.RequestClass, zone policyapi.Zone, current Weights,
	eligibility func(policyapi.EndpointID) EndpointEligibility) (weights Weights, pin *Pin, overruled string) {
	pin = s.pinFor(table, zone)
	if pin == nil {
		return current, nil, ""
	}
	pinned, err := s.Get(table, pin.versions[table])
	if err != nil {
		return current, pin, fmt.Sprintf("table %d is younger than the pin", table)
	}
	weights, masked, ok := Mask(pinned.ForClass(class).Weights(), eligibility)
	if !ok {
		return current, pin, fmt.Sprintf("the rules leave no warmed-up endpoint of table %d: its current weights apply", table)
	}
	if masked > 0 {
		overruled = fmt.Sprintf("%d endpoints of table %d are masked by the rules", masked, table)
	}
	return weights, pin, overruled
}

// PinnedVersion is a pin with the weights that it fixes, as stored for the next start of the process.
type PinnedVersion struct {
	Pin     Pin                           `json:"pin"`
	Weights map[policyapi.TableID]Weights `json:"holds"` // the decision module's weights
	// Overrides holds the weights that the weight solver had set in place of Weights, by table and class.
	Overrides map[policyapi.TableID]map[policyapi.RequestClass]Weights `json:"acting,omitempty"`
}

// Snapshot returns the pins and their weights, to be stored for the next start of the process.
func (s *VersionStore) Snapshot() (snapshot []PinnedVersion) {
	for _, pin := range s.pins {
		snapshot = append(snapshot, s.pinnedVersion(pin))
	}
	return snapshot
}

// pinnedVersion returns a pin with the weights that it fixes.
func (s *VersionStore) pinnedVersion(pin Pin) PinnedVersion {
	stored := PinnedVersion{Pin: pin, Weights: map[policyapi.TableID]Weights{}}
	for table, version := range pin.versions {
		e, err := s.Get(table, version)
		if err != nil {
			continue
		}
		stored.Weights[table] = e.State.Weights()
		if len(e.Overrides) == 0 {
			continue
		}
		if stored.Overrides == nil {
			stored.Overrides = map[policyapi.TableID]map[policyapi.RequestClass]Weights{}
		}
		stored.Overrides[table] = map[policyapi.RequestClass]Weights{}
		for class, state := range e.Overrides {
			stored.Overrides[table][class] = state.Weights()
		}
	}
	return stored
}

// Restore adds the pins of an earlier process. The weights that they fix become the first versions of their tables.
func (s *VersionStore) Restore(now policyapi.Microseconds, snapshot []PinnedVersion) {
	for _, stored := range snapshot {
		pin := stored.Pin
		pin.versions = map[policyapi.TableID]Version{}
		for _, table := range slices.Sorted(maps.Keys(stored.Weights)) {
			pin.versions[table] = s.Put(now, table, stored.Weights[table], stored.Overrides[table])
		}
		s.lastPinID = max(s.lastPinID, pin.ID)
		s.pins = append(s.pins, pin)
	}
}
