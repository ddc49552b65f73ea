// Package recovery decides what a coordinator believes after a restart of what it knew before, for how long, and how
// belief ends as fresh evidence comes. It is pure: snapshots and times in, beliefs out.
package recovery

import (
	"fmt"
	"maps"
	"slices"

	"porthub/control"
	"porthub/solver"
	"porthub/tables"
)

const second control.Micros = 1_000_000

// Format is the version of snapshots that is written.
const Format = 1

// Snapshot is what a coordinator knew at a moment. What the decision module has learned is not in it: its start stays
// its own.
type Snapshot struct {
	Format int            `cbor:"format"`
	Build  string         `cbor:"build"`
	Epoch  string         `cbor:"epoch"` // of the start that wrote it
	At     control.Micros `cbor:"at_us"`
	Steps  uint64         `cbor:"steps"`

	Version  control.Version            `cbor:"list_version"`
	Nodes    []control.Entry            `cbor:"nodes"` // draining ones too
	Marks    []solver.Mark              `cbor:"marks,omitempty"`
	Gateways []Gateway                  `cbor:"gateways,omitempty"`
	Pins     []tables.Kept              `cbor:"pins,omitempty"`
	Drains   map[control.Backend]string `cbor:"drains,omitempty"` // by operators, with their reasons
	Kinds    []string                   `cbor:"kinds"`            // what positions stand for
	Zones    []control.Zone             `cbor:"zones"`            // tables are numbered by them
}

// Gateway is what was known of one.
type Gateway struct {
	Name   string         `cbor:"name"`
	Zone   control.Zone   `cbor:"zone"`
	Heard  control.Micros `cbor:"heard_us"` // its last word
	Weight float64        `cbor:"weight"`
	Usage  []float64      `cbor:"usage,omitempty"` // reqs a second by request kind
	// Version is the last that it confirmed, Holds what it was sent last.
	Version string          `cbor:"version"`
	Holds   tables.Snapshot `cbor:"holds"`
}

// Belief is what of a snapshot is believed.
type Belief struct {
	From  string         `cbor:"from"` // the start that it comes from
	At    control.Micros `cbor:"at_us"`
	Nodes []control.Entry
	// KnownAt: a node that was not listed then has started since. 0: that is not known.
	KnownAt  control.Micros
	Version  control.Version
	Marks    []solver.Mark
	Gateways map[string]Gateway
	Pins     []tables.Kept
	Drains   map[control.Backend]string
	// Until: gateways keep the weights that they hold, as far as the rules let them, so long, or until enough of them have
	// reported, or until a fresh list has another fleet. Levels are not kept: one that was held while nodes came back
	// turned away a tenth of all reqs for want of a reason.
	Until control.Micros
	// Why says in words what is not believed.
	Why []string
}

// How long what is believed.
const (
	// MarksFor: a node that failed a kind so long ago may well serve it now; it is tried anew, at the price of a few reqs.
	MarksFor = 60 * second
	// HoldFor: weights fit the load that they were made for.
	HoldFor = 30 * second
	// HoldAtMost: after so long the module's own have had every chance.
	HoldAtMost = 6 * second
	// UsageFor: traffic of a minute ago is a better guess than none.
	UsageFor = 60 * second
)

// Believe decides what of a snapshot counts at a start. A clock that has gone back says nothing about how old things are:
// then only what does not age is believed.
func Believe(s Snapshot, now control.Micros, kinds []string, zones []control.Zone) Belief {
	b := Belief{From: s.Epoch, At: s.At, Version: s.Version, Drains: s.Drains}
	not := func(format string, args ...any) { b.Why = append(b.Why, fmt.Sprintf(format, args...)) }
	// The list stands until a fresh one comes: who drains stays drained, who had started stays as warm as it was. A start
	// that lies ahead is now, so that another clock keeps nobody warm.
	for _, e := range s.Nodes {
		if e.Status == control.Gone {
			continue
		}
		if e.Launched > now {
			e.Launched = now
		}
		b.Nodes = append(b.Nodes, e)
	}
	b.KnownAt = s.At
	if slices.Equal(kinds, s.Kinds) && slices.Equal(zones, s.Zones) {
		b.Pins = s.Pins
	} else if len(s.Pins) > 0 {
		not("request kinds or zones have changed: %d pins are not believed", len(s.Pins))
	}
	age := now - s.At
	if age < 0 {
		not("the clock has gone back by %.1f s: what was learned is not believed", float64(-age)/float64(second))
		return b
	}
	if !slices.Equal(kinds, s.Kinds) {
		not("request kinds were %v and are %v: what was learned by kind is not believed", s.Kinds, kinds)
		return b
	}
	seconds := float64(age) / float64(second)
	if age <= MarksFor {
		b.Marks = s.Marks
	} else if len(s.Marks) > 0 {
		not("%d marks are %.0f s old", len(s.Marks), seconds)
	}
	b.Gateways = map[string]Gateway{}
	if age > UsageFor {
		not("what gateways held is %.0f s old", seconds)
		return b
	}
	for _, g := range s.Gateways {
		if now-g.Heard > UsageFor {
			continue // it was away for long before that
		}
		b.Gateways[g.Name] = g
	}
	if age <= HoldFor {
		b.Until = now + HoldAtMost
	} else {
		not("weights are %.0f s old", seconds)
	}
	return b
}

// Started is the start time of a node that the first fresh list names without one: as it was, or, if it was not listed
// when that was last known, now: whatever started while nobody looked is cold.
func (b *Belief) Started(node control.Backend, now control.Micros) (at control.Micros, known bool) {
	if b == nil || b.KnownAt == 0 {
		return 0, false
	}
	for _, e := range b.Nodes {
		if e.Backend == node {
			return e.Launched, true
		}
	}
	return now, true
}

// String says in words what is believed.
func (b *Belief) String() string {
	return fmt.Sprintf("from start %s: %d nodes, %d marks, %d gateways, %d pins; weights held: %t", b.From, len(b.Nodes),
		len(b.Marks), len(b.Gateways), len(b.Pins), b.Until > 0)
}

// Holds is what a gateway keeps of what it was sent before, for a kind: its old weights under the rules' mask. It is
// false where belief has ended, where nothing is known of it, or where the rules leave nothing.
func (b *Belief) Holds(now control.Micros, gateway string, zone control.Zone, kind string, module tables.Weights,
	standing func(control.Backend) tables.Standing) (tables.Weights, bool) {
	if b == nil || now >= b.Until {
		return nil, false
	}
	g, known := b.Gateways[gateway]
	if !known || g.Zone != zone {
		return nil, false
	}
	for _, c := range g.Holds.Clusters {
		if c.Kind != kind {
			continue
		}
		old := tables.Weights{}
		for _, l := range c.Lines {
			if !l.Withheld {
				old[l.Backend] = l.Weight
			}
		}
		w, _, left := tables.Mask(old, standing)
		return w, left && len(w) > 0 && len(module) > 0
	}
	return nil, false
}

// Listed ends the holding of weights if a fresh list has other nodes ready than the snapshot had: weights were made for the
// fleet as it was.
func (b *Belief) Listed(now control.Micros, entries []control.Entry) {
	if b == nil || now >= b.Until {
		return
	}
	ready := func(all []control.Entry) map[control.Backend]control.Micros {
		out := map[control.Backend]control.Micros{}
		for _, e := range all {
			if e.Status == control.Ready {
				out[e.Backend] = e.Launched
			}
		}
		return out
	}
	if !maps.Equal(ready(b.Nodes), ready(entries)) {
		b.Until = now
	}
}

// Enough ends the holding of weights: rounds of reports that the module has had from nearly all gateways that are to be
// expected.
func (b *Belief) Enough(now control.Micros, rounds int) bool {
	if b == nil || b.Until == 0 || now >= b.Until || rounds < enoughRounds {
		return false
	}
	b.Until = now
	return true
}

// enoughRounds is what the module's prices and speeds take to mean something.
const enoughRounds = 3
