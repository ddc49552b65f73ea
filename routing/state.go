package routing

import (
	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"porthub/policyapi"
)

// Weights are the weights of a table by endpoint, each above 0.
type Weights map[policyapi.EndpointID]float64

// State is an immutable state of a table. It is a persistent radix tree: a state that is derived from another one shares the
// unchanged parts with it. The zero State is empty.
type State struct{ tree *iradix.Tree[float64] }

// treeOrEmpty returns the tree of the state, which is empty for the zero State.
func (s State) treeOrEmpty() *iradix.Tree[float64] {
	if s.tree == nil {
		return iradix.New[float64]()
	}
	return s.tree
}

// With returns a state that has exactly the given weights and shares its unchanged parts with s. Weights that are not above 0 are
// omitted.
func (s State) With(w Weights) State {
	tree := s.treeOrEmpty()
	txn := tree.Txn()
	iterator := tree.Root().Iterator()
	for key, _, ok := iterator.Next(); ok; key, _, ok = iterator.Next() {
		if w[policyapi.EndpointID(key)] <= 0 {
			txn.Delete(key)
		}
	}
	for id, weight := range w {
		if previous, ok := tree.Get([]byte(id)); weight > 0 && (!ok || previous != weight) {
			txn.Insert([]byte(id), weight)
		}
	}
	return State{txn.Commit()}
}

// Weights returns the weights of the state.
func (s State) Weights() Weights {
	w := Weights{}
	s.forEach(func(id policyapi.EndpointID, weight float64) { w[id] = weight })
	return w
}

// Entries returns the weights of the state, ordered by endpoint ID.
func (s State) Entries() []EndpointWeight { return Diff(State{}, s).Set }

// Len returns the number of endpoints in the state.
func (s State) Len() int {
	if s.tree == nil {
		return 0
	}
	return s.tree.Len()
}

// forEach calls f for each endpoint, ordered by ID.
func (s State) forEach(f func(policyapi.EndpointID, float64)) {
	if s.tree == nil {
		return
	}
	iterator := s.tree.Root().Iterator()
	for key, weight, ok := iterator.Next(); ok; key, weight, ok = iterator.Next() {
		f(policyapi.EndpointID(key), weight)
	}
}

// weight returns the weight of an endpoint. ok is false if the state does not have the endpoint.
func (s State) weight(id policyapi.EndpointID) (weight float64, ok bool) {
	if s.tree == nil {
		return 0, false
	}
	return s.tree.Get([]byte(id))
}

// EndpointWeight is one entry of a table.
type EndpointWeight struct {
	Endpoint policyapi.EndpointID `json:"backend"`
	Weight   float64              `json:"weight"`
}

// Delta is the difference from one state to another.
type Delta struct {
	Set     []EndpointWeight       // added or changed entries, ordered by endpoint ID
	Removed []policyapi.EndpointID // removed endpoints, ordered by ID
}

// Size returns the number of changes.
func (d Delta) Size() int { return len(d.Set) + len(d.Removed) }

// Diff returns the delta from the state from to the state to.
func Diff(from, to State) (delta Delta) {
	to.forEach(func(id policyapi.EndpointID, weight float64) {
		if previous, ok := from.weight(id); !ok || previous != weight {
			delta.Set = append(delta.Set, EndpointWeight{id, weight})
		}
	})
	from.forEach(func(id policyapi.EndpointID, _ float64) {
		if _, ok := to.weight(id); !ok {
			delta.Removed = append(delta.Removed, id)
		}
	})
	return delta
}

// Apply returns the state that results from applying a delta to s.
func (s State) Apply(delta Delta) State {
	txn := s.treeOrEmpty().Txn()
	for _, e := range delta.Set {
		txn.Insert([]byte(e.Endpoint), e.Weight)
	}
	for _, id := range delta.Removed {
		txn.Delete([]byte(id))
	}
	return State{txn.Commit()}
}
