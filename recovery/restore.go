package recovery

import (
	"fmt"
	"slices"

	"porthub/degradation"
	"porthub/policyapi"
	"porthub/routing"
	"porthub/solver"
)

const second policyapi.Microseconds = 1_000_000

const (
	// MaxEjectionAge limits how long ejections outlive a restart: an endpoint that failed a class longer ago may well
	// serve it now, and a new trial costs only a few requests.
	MaxEjectionAge = 60 * second
	// MaxDemandAge limits the age of a gateway's last message: demand of a minute ago is a better estimate than none.
	MaxDemandAge = 60 * second
)

// State is the part of a snapshot that applies after a restart.
type State struct {
	Epoch     string                 `cbor:"from" json:"From"` // of the process that wrote the snapshot
	At        policyapi.Microseconds `cbor:"at_us" json:"At"`  // when the snapshot was taken
	Endpoints []policyapi.Endpoint   `cbor:"Nodes" json:"Nodes"`
	// ListedAt is when Endpoints was current: an endpoint that is not among them has started since. 0: unknown.
	ListedAt  policyapi.Microseconds          `cbor:"KnownAt" json:"KnownAt"`
	Version   policyapi.ListVersion           `cbor:"Version" json:"Version"`
	Ejections []solver.Ejection               `cbor:"Marks" json:"Marks"`
	Gateways  map[string]Gateway              `cbor:"Gateways" json:"Gateways"`
	Pins      []routing.PinnedVersion         `cbor:"Pins" json:"Pins"`
	Drains    map[policyapi.EndpointID]string `cbor:"Drains" json:"Drains"`
	Levels    degradation.Snapshot            `cbor:"Levels" json:"Levels"`
	// Discarded lists what was discarded and why, as text for the log.
	Discarded []string `cbor:"Why" json:"Why"`
}

// Restore returns the part of snapshot that applies at now under the request classes and zones of the current
// configuration. If the clock has gone back since the snapshot was taken, ages are unknown and only state that does not
// age is restored.
func Restore(snapshot Snapshot, now policyapi.Microseconds, classes []string, zones []policyapi.Zone) State {
	state := State{
		Epoch:     snapshot.Epoch,
		At:        snapshot.At,
		Endpoints: restoredEndpoints(snapshot.Endpoints, now),
		ListedAt:  snapshot.At,
		Version:   snapshot.Version,
		Drains:    snapshot.Drains,
		Levels:    snapshot.Levels,
	}
	state.restorePins(snapshot, classes, zones)
	age := now - snapshot.At
	if age < 0 {
		state.discard("the clock has gone back by %.1f s: ejections and gateways are discarded", float64(-age)/float64(second))
		return state
	}
	if !slices.Equal(classes, snapshot.Classes) {
		state.discard("request classes were %v and are %v: ejections and gateways are discarded", snapshot.Classes, classes)
		return state
	}
	state.restoreEjections(snapshot, age)
	state.restoreGateways(snapshot, now)
	return state
}

// restoredEndpoints returns the endpoints that apply until a fresh list comes: draining ones go on draining, and start
// times stay. A start time in the future becomes now, so that another machine's clock keeps no endpoint warming up.
func restoredEndpoints(endpoints []policyapi.Endpoint, now policyapi.Microseconds) (restored []policyapi.Endpoint) {
	for _, endpoint := range endpoints {
		if endpoint.Status == policyapi.Removed {
			continue
		}
		endpoint.StartedAt = min(endpoint.StartedAt, now)
		restored = append(restored, endpoint)
	}
	return restored
}

// restorePins restores pins whatever their age, unless the indexes of classes and tables in them have changed meaning.
func (s *State) restorePins(snapshot Snapshot, classes []string, zones []policyapi.Zone) {
	if slices.Equal(classes, snapshot.Classes) && slices.Equal(zones, snapshot.Zones) {
		s.Pins = snapshot.Pins
		return
	}
	if len(snapshot.Pins) > 0 {
		s.discard("request classes or zones have changed: %d pins are discarded", len(snapshot.Pins))
	}
}

func (s *State) restoreEjections(snapshot Snapshot, age policyapi.Microseconds) {
	if age <= MaxEjectionAge {
		s.Ejections = snapshot.Ejections
		return
	}
	if len(snapshot.Ejections) > 0 {
		s.discard("%d ejections are %.0f s old: discarded", len(snapshot.Ejections), float64(age)/float64(second))
	}
}

func (s *State) restoreGateways(snapshot Snapshot, now policyapi.Microseconds) {
	s.Gateways = map[string]Gateway{}
	if age := now - snapshot.At; age > MaxDemandAge {
		s.discard("the state of gateways is %.0f s old: discarded", float64(age)/float64(second))
		return
	}
	for _, gateway := range snapshot.Gateways {
		if now-gateway.LastMessageAt > MaxDemandAge {
			continue // it was disconnected long before the snapshot was taken
		}
		s.Gateways[gateway.Name] = gateway
	}
}

func (s *State) discard(format string, args ...any) {
	s.Discarded = append(s.Discarded, fmt.Sprintf(format, args...))
}

// StartTime returns the start time of an endpoint that the first fresh list names without one. An endpoint of the
// snapshot keeps its start time; any other started after the snapshot and counts as started now, so it warms up.
// ok is false if nothing was restored.
func (s *State) StartTime(endpoint policyapi.EndpointID, now policyapi.Microseconds) (at policyapi.Microseconds, ok bool) {
	if s == nil || s.ListedAt == 0 {
		return 0, false
	}
	for _, e := range s.Endpoints {
		if e.ID == endpoint {
			return e.StartedAt, true
		}
	}
	return now, true
}

// String summarizes the restored state for the log.
func (s *State) String() string {
	return fmt.Sprintf("from epoch %s: %d endpoints, %d ejections, %d gateways, %d pins", s.Epoch, len(s.Endpoints),
		len(s.Ejections), len(s.Gateways), len(s.Pins))
}
