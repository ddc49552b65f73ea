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
	// MaxEjectionAge is the maximum age of restored ejections: an endpoint that failed a class longer ago may well serve
	// it now, and a new trial costs only a few requests.
	MaxEjectionAge = 60 * second
	// MaxDemandAge is the maximum age of the last message of a restored gateway: its demand a minute ago is a better
	// estimate than none.
	MaxDemandAge = 60 * second
)

// State is the part of a snapshot that applies after a restart.
type State struct {
	Epoch     string                 `cbor:"from" json:"From"` // epoch of the process that wrote the snapshot
	At        policyapi.Microseconds `cbor:"at_us" json:"At"`  // when the snapshot was taken
	Endpoints []policyapi.Endpoint   `cbor:"Nodes" json:"Nodes"`
	// ListedAt is when Endpoints was current: an endpoint that it does not contain has started since. 0 if unknown.
	ListedAt  policyapi.Microseconds          `cbor:"KnownAt" json:"KnownAt"`
	Version   policyapi.ListVersion           `cbor:"Version" json:"Version"`
	Ejections []solver.Ejection               `cbor:"Marks" json:"Marks"`
	Gateways  map[string]Gateway              `cbor:"Gateways" json:"Gateways"`
	Pins      []routing.PinnedVersion         `cbor:"Pins" json:"Pins"`
	Drains    map[policyapi.EndpointID]string `cbor:"Drains" json:"Drains"`
	Levels    degradation.Snapshot            `cbor:"Levels" json:"Levels"`
	// Discarded has a text for the log for each part of the snapshot that was discarded, with the reason.
	Discarded []string `cbor:"Why" json:"Why"`
}

// Restore returns the part of snapshot that applies at now under the request classes and zones of the current
// configuration. If the clock has gone back since the snapshot was taken, ages are unknown and only state without an age
// limit is restored.
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
		state.discard("request classes have changed from %v to %v: ejections and gateways are discarded", snapshot.Classes, classes)
		return state
	}
	state.restoreEjections(snapshot, age)
	state.restoreGateways(snapshot, now)
	return state
}

// restoredEndpoints returns the endpoints that apply until a fresh list arrives, with their status and start times. A start
// time in the future is replaced by now, so that another machine's clock does not keep an endpoint warming up.
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

// restorePins restores pins of any age. If the classes or zones have changed, it discards them, since they refer to classes and
// tables by index.
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
		s.discard("%d ejections from %.0f s ago are discarded", len(snapshot.Ejections), float64(age)/float64(second))
	}
}

func (s *State) restoreGateways(snapshot Snapshot, now policyapi.Microseconds) {
	s.Gateways = map[string]Gateway{}
	if age := now - snapshot.At; age > MaxDemandAge {
		s.discard("the state of gateways from %.0f s ago is discarded", float64(age)/float64(second))
		return
	}
	for _, gateway := range snapshot.Gateways {
		if now-gateway.LastMessageAt > MaxDemandAge {
			continue // it had been disconnected for some time when the snapshot was taken
		}
		s.Gateways[gateway.Name] = gateway
	}
}

func (s *State) discard(format string, args ...any) {
	s.Discarded = append(s.Discarded, fmt.Sprintf(format, args...))
}

// StartTime returns the start time of an endpoint that the first fresh list names without one. An endpoint of the
// snapshot keeps its start time. Any other endpoint has started after the snapshot: it counts as started now and warms
// up. ok is false if nothing was restored.
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
	return fmt.Sprintf("state of epoch %s: %d endpoints, %d ejections, %d gateways, %d pins", s.Epoch, len(s.Endpoints),
		len(s.Ejections), len(s.Gateways), len(s.Pins))
}
