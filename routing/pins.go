package routing

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"

	"porthub/policyapi"
)

// The errors of Pin and Unpin, beside ErrUnknownVersion.
var (
	ErrReasonRequired = errors.New("a pin needs a reason")
	ErrUnknownPin     = errors.New("no such pin")
)

// Scope is what a pin applies to: a table, all tables of a zone, or the fleet.
type Scope struct {
	Table policyapi.TableID `json:"table"` // AnyTable: see Zone
	Zone  policyapi.Zone    `json:"zone"`  // empty, with AnyTable: the fleet
}

// AnyTable in a Scope means all tables.
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

// contains reports whether a table is in scope for gateways of a zone. A gateway that is bound to no table yet has -1, which
// equals AnyTable: it is in scope of its own zone and of the fleet only.
func (s Scope) contains(table policyapi.TableID, zone policyapi.Zone) bool {
	if s.Table != AnyTable {
		return s.Table == table
	}
	return s.Zone == "" || s.Zone == zone
}

// Pin fixes tables at an earlier state: at a version of one table, or at what all tables in scope had at a time.
type Pin struct {
	ID       int                    `json:"id"`
	Scope    Scope                  `json:"scope"`
	Version  Version                `json:"version,omitempty"` // of a table; 0: see At
	At       policyapi.Microseconds `json:"at_us,omitempty"`   // the state that was in force then
	PinnedAt policyapi.Microseconds `json:"since_us"`
	Reason   string                 `json:"reason"`
	// versions are those that the pin fixes, determined when it was set: a version created later, even with the same
	// time, is not among them.
	versions map[policyapi.TableID]Version
}

// Pin pins what is in scope from now on, in place of an earlier pin of the same scope, and returns the pin with its ID.
// It returns ErrReasonRequired without a reason and ErrUnknownVersion if the version to pin is not stored.
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

// versionsOf returns the versions that a pin fixes.
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

// Unpin removes a pin and returns it, or ErrUnknownPin.
func (s *VersionStore) Unpin(id int) (Pin, error) {
	i := slices.IndexFunc(s.pins, func(p Pin) bool { return p.ID == id })
	if i < 0 {
		return Pin{}, fmt.Errorf("%w: %d", ErrUnknownPin, id)
	}
	pin := s.pins[i]
	s.pins = slices.Delete(s.pins, i, i+1)
	return pin, nil
}

// Pins returns the pins, the oldest first. The result must not be changed.
func (s *VersionStore) Pins() []Pin { return s.pins }

// pinnedVersions returns the versions of a table that pins need.
func (s *VersionStore) pinnedVersions(table policyapi.TableID) map[Version]bool {
	pinned := map[Version]bool{}
	for _, p := range s.pins {
		pinned[p.versions[table]] = true
	}
	return pinned
}

// pinFor returns the narrowest pin of a table for gateways of a zone, of several the latest; nil if there is none.
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

// Effective returns the weights of a table for a class at gateways of a zone: current, or those of the narrowest pin
// restricted to what eligibility allows. Where the pin leaves no endpoint that is allowed and not warming up, current
// applies. pin is nil without a pin. overruled describes how the rules overruled the pin; it is empty if they did not.
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

// PinnedVersion is a pin with the states that it fixes, as stored for the next start of the process.
type PinnedVersion struct {
	Pin     Pin                           `json:"pin"`
	Weights map[policyapi.TableID]Weights `json:"holds"`
	// Overrides holds what the weight solver had set in place of Weights.
	Overrides map[policyapi.TableID]map[policyapi.RequestClass]Weights `json:"acting,omitempty"`
}

// Snapshot returns the pins and their states for the next start of the process.
func (s *VersionStore) Snapshot() (snapshot []PinnedVersion) {
	for _, pin := range s.pins {
		snapshot = append(snapshot, s.pinnedVersion(pin))
	}
	return snapshot
}

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

// Restore adds the pins of an earlier process. Their states become the first versions of their tables.
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
