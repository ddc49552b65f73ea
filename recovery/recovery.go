// Package recovery decides what a coordinator believes after a restart of what it knew before, for how long, and how
// belief ends as fresh evidence comes. It is pure: snapshots and times in, beliefs out.
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

// Format is the version of snapshots that is written.
const Format = 1

// Snapshot is what a coordinator knew at a moment. What the decision module has learned is not in it: its start stays
// its own.
type Snapshot struct {
	Format int                    `cbor:"format" json:"Format"`
	Build  string                 `cbor:"build" json:"Build"`
	Epoch  string                 `cbor:"epoch" json:"Epoch"` // of the start that wrote it
	At     policyapi.Microseconds `cbor:"at_us" json:"At"`
	Steps  uint64                 `cbor:"steps" json:"Steps"`

	Version   policyapi.ListVersion           `cbor:"list_version" json:"Version"`
	Endpoints []policyapi.Endpoint            `cbor:"nodes" json:"Nodes"` // draining ones too
	Ejections []solver.Ejection               `cbor:"marks,omitempty" json:"Marks"`
	Gateways  []Gateway                       `cbor:"gateways,omitempty" json:"Gateways"`
	Pins      []routing.PinnedVersion         `cbor:"pins,omitempty" json:"Pins"`
	Drains    map[policyapi.EndpointID]string `cbor:"drains,omitempty" json:"Drains"` // by operators, with their reasons
	Levels    degradation.Snapshot            `cbor:"levels" json:"Levels"`
	Classes   []string                        `cbor:"kinds" json:"Kinds"` // what positions stand for
	Zones     []policyapi.Zone                `cbor:"zones" json:"Zones"` // tables are numbered by them
}

// Gateway is what was known of one.
type Gateway struct {
	Name       string                 `cbor:"name" json:"Name"`
	Zone       policyapi.Zone         `cbor:"zone" json:"Zone"`
	LastReport policyapi.Microseconds `cbor:"heard_us" json:"Heard"` // its last word
	Weight     float64                `cbor:"weight" json:"Weight"`
	Demand     []float64              `cbor:"usage,omitempty" json:"Usage"` // reqs a second by request kind
	Version    string                 `cbor:"version" json:"Version"`       // the last that it confirmed
}

// State is what of a snapshot is believed.
type State struct {
	Epoch     string                 `cbor:"from" json:"From"` // the start that it comes from
	At        policyapi.Microseconds `cbor:"at_us" json:"At"`
	Endpoints []policyapi.Endpoint   `cbor:"Nodes" json:"Nodes"`
	// KnownAt: a node that was not listed then has started since. 0: that is not known.
	KnownAt   policyapi.Microseconds          `cbor:"KnownAt" json:"KnownAt"`
	Version   policyapi.ListVersion           `cbor:"Version" json:"Version"`
	Ejections []solver.Ejection               `cbor:"Marks" json:"Marks"`
	Gateways  map[string]Gateway              `cbor:"Gateways" json:"Gateways"`
	Pins      []routing.PinnedVersion         `cbor:"Pins" json:"Pins"`
	Drains    map[policyapi.EndpointID]string `cbor:"Drains" json:"Drains"`
	Levels    degradation.Snapshot            `cbor:"Levels" json:"Levels"`
	// Discarded says in words what is not believed.
	Discarded []string `cbor:"Why" json:"Why"`
}

// How long what is believed.
const (
	// MarksFor: a node that failed a kind so long ago may well serve it now; it is tried anew, at the price of a few reqs.
	MaxEjectionAge = 60 * second
	// UsageFor: traffic of a minute ago is a better guess than none.
	MaxDemandAge = 60 * second
)

// Restore decides what of a snapshot counts at a start. A clock that has gone back says nothing about how old things are:
// then only what does not age is believed.
func Restore(s Snapshot, now policyapi.Microseconds, kinds []string, zones []policyapi.Zone) State {
	b := State{Epoch: s.Epoch, At: s.At, Version: s.Version, Drains: s.Drains, Levels: s.Levels}
	not := func(format string, args ...any) { b.Discarded = append(b.Discarded, fmt.Sprintf(format, args...)) }
	// The list stands until a fresh one comes: who drains stays drained, who had started stays as warm as it was. A start
	// that lies ahead is now, so that another clock keeps nobody warm.
	for _, e := range s.Endpoints {
		if e.Status == policyapi.Removed {
			continue
		}
		if e.StartedAt > now {
			e.StartedAt = now
		}
		b.Endpoints = append(b.Endpoints, e)
	}
	b.KnownAt = s.At
	if slices.Equal(kinds, s.Classes) && slices.Equal(zones, s.Zones) {
		b.Pins = s.Pins
	} else if len(s.Pins) > 0 {
		not("request kinds or zones have changed: %d pins are not believed", len(s.Pins))
	}
	age := now - s.At
	if age < 0 {
		not("the clock has gone back by %.1f s: what was learned is not believed", float64(-age)/float64(second))
		return b
	}
	if !slices.Equal(kinds, s.Classes) {
		not("request kinds were %v and are %v: what was learned by kind is not believed", s.Classes, kinds)
		return b
	}
	seconds := float64(age) / float64(second)
	if age <= MaxEjectionAge {
		b.Ejections = s.Ejections
	} else if len(s.Ejections) > 0 {
		not("%d marks are %.0f s old", len(s.Ejections), seconds)
	}
	b.Gateways = map[string]Gateway{}
	if age > MaxDemandAge {
		not("what gateways held is %.0f s old", seconds)
		return b
	}
	for _, g := range s.Gateways {
		if now-g.LastReport > MaxDemandAge {
			continue // it was away for long before that
		}
		b.Gateways[g.Name] = g
	}
	return b
}

// StartTime is the start time of a node that the first fresh list names without one: as it was, or, if it was not listed
// when that was last known, now: whatever started while nobody looked is cold.
func (b *State) StartTime(node policyapi.EndpointID, now policyapi.Microseconds) (at policyapi.Microseconds, known bool) {
	if b == nil || b.KnownAt == 0 {
		return 0, false
	}
	for _, e := range b.Endpoints {
		if e.ID == node {
			return e.StartedAt, true
		}
	}
	return now, true
}

// String says in words what is believed.
func (b *State) String() string {
	return fmt.Sprintf("from start %s: %d nodes, %d marks, %d gateways, %d pins", b.Epoch, len(b.Endpoints),
		len(b.Ejections), len(b.Gateways), len(b.Pins))
}
