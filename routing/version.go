package routing

import (
	"bytes"
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"porthub/policyapi"
)

// Weights are a table's: by backend, above 0.
type Weights map[policyapi.EndpointID]float64

// State is one state of a table in a persistent tree: a state made from another one shares with it all that is the
// same. The zero State is empty.
type State struct{ tree *iradix.Tree[float64] }

// With is the state that holds the weights given; it shares what it can with the one it is made from.
func (s State) With(w Weights) State {
	t := s.tree
	if t == nil {
		t = iradix.New[float64]()
	}
	txn := t.Txn()
	it := t.Root().Iterator()
	for key, _, ok := it.Next(); ok; key, _, ok = it.Next() {
		if w[policyapi.EndpointID(key)] <= 0 {
			txn.Delete(key)
		}
	}
	for b, weight := range w {
		if old, has := t.Get([]byte(b)); weight > 0 && (!has || old != weight) {
			txn.Insert([]byte(b), weight)
		}
	}
	return State{txn.Commit()}
}

// Weights are what the state holds.
func (s State) Weights() Weights {
	w := Weights{}
	s.each(func(b policyapi.EndpointID, weight float64) { w[b] = weight })
	return w
}

// Entries are what the state holds, in the order of names.
func (s State) Entries() []EndpointWeight { return Diff(State{}, s).Set }

// Len counts the lines.
func (s State) Len() int {
	if s.tree == nil {
		return 0
	}
	return s.tree.Len()
}

func (s State) each(do func(policyapi.EndpointID, float64)) {
	if s.tree == nil {
		return
	}
	it := s.tree.Root().Iterator()
	for key, weight, ok := it.Next(); ok; key, weight, ok = it.Next() {
		do(policyapi.EndpointID(key), weight)
	}
}

// Delta is what leads from one state to another: lines set anew or changed, and lines that go, in the order of names.
type Delta struct {
	Set     []EndpointWeight
	Removed []policyapi.EndpointID
}

// EndpointWeight is one line of a table.
type EndpointWeight struct {
	Endpoint policyapi.EndpointID `json:"backend"`
	Weight   float64              `json:"weight"`
}

// Entries is what the delta costs in lines.
func (d Delta) Size() int { return len(d.Set) + len(d.Removed) }

// Diff is the delta from one state to another.
func Diff(from, to State) (delta Delta) {
	to.each(func(b policyapi.EndpointID, weight float64) {
		if old, has := from.get(b); !has || old != weight {
			delta.Set = append(delta.Set, EndpointWeight{b, weight})
		}
	})
	from.each(func(b policyapi.EndpointID, _ float64) {
		if _, has := to.get(b); !has {
			delta.Removed = append(delta.Removed, b)
		}
	})
	return delta
}

func (s State) get(b policyapi.EndpointID) (float64, bool) {
	if s.tree == nil {
		return 0, false
	}
	return s.tree.Get([]byte(b))
}

// Apply is the state that a delta leads to.
func (s State) Apply(d Delta) State {
	t := s.tree
	if t == nil {
		t = iradix.New[float64]()
	}
	txn := t.Txn()
	for _, l := range d.Set {
		txn.Insert([]byte(l.Endpoint), l.Weight)
	}
	for _, b := range d.Removed {
		txn.Delete([]byte(b))
	}
	return State{txn.Commit()}
}

// published is a weight as documents have it, a whole number; checksums are of what travels.
func published(w float64) uint64 { return uint64(min(max(1, math.Round(w*WeightScale)), 1<<31)) }

// WeightScale is what a weight of 1 becomes in documents.
const WeightScale = 10_000

// Checksum is of all that a gateway holds: every line of every cluster and every route, as published. A gateway can
// compute it for itself from what it has read; the order of lines does not count.
func Checksum(s Snapshot) uint64 {
	sum := uint64(0)
	var buf bytes.Buffer
	one := func(parts ...any) {
		buf.Reset()
		for _, p := range parts {
			switch p := p.(type) {
			case string:
				buf.WriteString(p)
				buf.WriteByte(0)
			case uint64:
				_ = binary.Write(&buf, binary.LittleEndian, p)
			}
		}
		sum += xxhash.Sum64(buf.Bytes())
	}
	for _, c := range s.Clusters {
		one("cluster", c.Class)
		for _, l := range c.Endpoints {
			withheld := uint64(0)
			if l.Withheld {
				withheld = 1
			}
			one("line", c.Class, string(l.Zone), string(l.Endpoint), published(l.Weight), withheld)
		}
	}
	for _, r := range s.Routes {
		// Rates travel as tokens in a time and come back within a hundredth: only whether there is one counts.
		limited := uint64(0)
		if r.Rate >= 0 {
			limited = 1
		}
		one("route", r.Class, limited, uint64(math.Round(r.Share*1e4)), uint64(r.RetryPolicy), uint64(r.Timeout))
		if f := r.Fallback; f.Duration > 0 {
			one("fallback", r.Class, uint64(f.After/1000), uint64(f.Duration/1000), uint64(math.Round(f.Share*1e4)), uint64(f.RetryPolicy))
		}
	}
	return sum
}
