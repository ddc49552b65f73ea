package routing

import (
	"errors"
	"fmt"
	"maps"
	"strings"
	"testing"

	"porthub/policyapi"
)

func TestChangeCost(t *testing.T) {
	for name, c := range map[string]struct {
		from, to Snapshot
		want     int
	}{
		"no change":    {snapshotWith(1, 2), snapshotWith(1, 2), 0},
		"from empty":   {Snapshot{}, snapshotWith(1, 2), 3},
		"to empty":     {snapshotWith(1, 2), Snapshot{}, 3},
		"one weight":   {snapshotWith(1, 2), snapshotWith(1, 3), 1},
		"one endpoint": {snapshotWith(1, 2), snapshotWith(1), 1},
	} {
		t.Run(name, func(t *testing.T) {
			if got := ChangeCost(c.from, c.to); got != c.want {
				t.Errorf("%d lines, want %d", got, c.want)
			}
			if same := Checksum(c.from) == Checksum(c.to); same != (c.want == 0) {
				t.Errorf("equal checksums: %t", same)
			}
		})
	}
}

// Deltas lead from any state to any other, and later states do not change earlier ones.
func TestStateDeltas(t *testing.T) {
	states, weights := []State{{}}, []Weights{{}}
	for i := range 40 {
		w := Weights{}
		for j := range 30 {
			if (i*7+j*3)%5 > 1 {
				w[policyapi.EndpointID(fmt.Sprint("n", j))] = float64(1 + (i+j)%3)
			}
		}
		states, weights = append(states, states[i].With(w)), append(weights, w)
	}
	for i := range states {
		if !maps.Equal(states[i].Weights(), weights[i]) || states[i].Len() != len(weights[i]) {
			t.Fatalf("state %d has changed since", i)
		}
		for j := range states {
			d := Diff(states[i], states[j])
			if got := states[i].Apply(d); !maps.Equal(got.Weights(), weights[j]) {
				t.Fatalf("the delta from %d leads not to %d", i, j)
			}
			if i == j && d.Size() != 0 {
				t.Fatalf("%d lines from %d to itself", d.Size(), i)
			}
		}
	}
}

func TestVersionStoreKeepsPinnedVersions(t *testing.T) {
	store := NewVersionStore(4, 100*second)
	for i := range 10 {
		store.Put(policyapi.Microseconds(i)*second, 1, Weights{"a": float64(i + 1)}, nil)
		if i == 2 {
			if _, err := store.Pin(2*second, Pin{Scope: Scope{Table: 1}, Version: 2, Reason: "night"}); err != nil {
				t.Fatal(err)
			}
		}
	}
	if v := store.Put(10*second, 1, Weights{"a": 10}, nil); v != 10 {
		t.Errorf("the same weights again are version %d", v)
	}
	if _, err := store.Get(1, 2); err != nil {
		t.Error("a pinned version was dropped")
	}
	if _, err := store.Get(1, 3); !errors.Is(err, ErrUnknownVersion) || !strings.Contains(err.Error(), "2 to 10") {
		t.Errorf("version 3: %v", err)
	}
	if n := len(store.Versions(1)); n > 5 {
		t.Errorf("%d versions kept", n)
	}
	store.Put(1000*second, 1, Weights{"a": 11}, nil)
	if got := store.Versions(1); len(got) != 2 || got[0].Version != 2 {
		t.Errorf("old versions stay: %v", got)
	}
}

func TestPins(t *testing.T) {
	store := NewVersionStore(10, 1000*second)
	store.Put(1*second, 1, Weights{"a": 1, "b": 1}, nil)
	store.Put(5*second, 1, Weights{"c": 1, "d": 2}, nil)
	store.Put(5*second, 2, Weights{"c": 1}, nil)
	current := Weights{"c": 1, "d": 2}
	eligible := func(policyapi.EndpointID) EndpointEligibility { return EndpointEligibility{} }
	for _, c := range []struct {
		pin  Pin
		want error
	}{
		{Pin{Scope: Scope{Table: 1}, Version: 1}, ErrReasonRequired},
		{Pin{Scope: Scope{Table: 1}, Version: 9, Reason: "r"}, ErrUnknownVersion},
		{Pin{Scope: Scope{Table: 7}, Version: 1, Reason: "r"}, ErrUnknownVersion},
		{Pin{Scope: Scope{Table: 2}, At: 2 * second, Reason: "r"}, ErrUnknownVersion},
		{Pin{Scope: Scope{Table: AnyTable}, Version: 1, Reason: "r"}, ErrUnknownVersion},
	} {
		if _, err := store.Pin(6*second, c.pin); !errors.Is(err, c.want) {
			t.Errorf("%+v: %v", c.pin, err)
		}
	}
	fleet, err := store.Pin(6*second, Pin{Scope: Scope{Table: AnyTable}, At: 2 * second, Reason: "worse since"})
	if err != nil {
		t.Fatal(err)
	}
	if w, _, _ := store.Effective(1, 0, "z", current, eligible); !maps.Equal(w, Weights{"a": 1, "b": 1}) {
		t.Errorf("pinned, but the weights are %v", w)
	}
	if w, _, overruled := store.Effective(2, 0, "z", Weights{"c": 1}, eligible); !maps.Equal(w, Weights{"c": 1}) || overruled == "" {
		t.Errorf("younger than the pin: %v, %q", w, overruled)
	}
	// The narrower pin takes precedence.
	if _, err := store.Pin(7*second, Pin{Scope: Scope{Table: 1}, Version: 2, Reason: "this one is fine"}); err != nil {
		t.Fatal(err)
	}
	if w, _, _ := store.Effective(1, 0, "z", Weights{"x": 1}, eligible); !maps.Equal(w, current) {
		t.Errorf("the table's own pin: %v", w)
	}
	if _, err := store.Unpin(fleet.ID); err != nil {
		t.Error(err)
	}
	if _, err := store.Unpin(fleet.ID); !errors.Is(err, ErrUnknownPin) {
		t.Error(err)
	}
}

// Whatever is pinned, closed endpoints get no weight, those warming up get no larger share than they have now, and current
// weights apply where the rules leave no endpoint.
func TestMaskPinnedVersion(t *testing.T) {
	store := NewVersionStore(10, 1000*second)
	store.Put(1*second, 1, Weights{"a": 1, "b": 1, "cold": 1, "gone": 5, "new": 1}, nil)
	if _, err := store.Pin(2*second, Pin{Scope: Scope{Table: 1}, Version: 1, Reason: "r"}); err != nil {
		t.Fatal(err)
	}
	current := Weights{"a": 2, "b": 2, "cold": 0.2}
	eligibility := func(id policyapi.EndpointID) EndpointEligibility {
		return EndpointEligibility{Closed: id == "gone", Weight: current[id], WarmingUp: id == "cold" || id == "new"}
	}
	w, _, overruled := store.Effective(1, 0, "z", current, eligibility)
	if w["gone"] != 0 || w["new"] != 0 || w["a"] != 1 || overruled == "" {
		t.Errorf("%v, %q", w, overruled)
	}
	sum := func(w Weights) (s float64) {
		for _, x := range w {
			s += x
		}
		return s
	}
	if share, before := w["cold"]/sum(w), current["cold"]/sum(current); share == 0 || share > before*1.0001 {
		t.Errorf("the share of the endpoint that is warming up is %.4f, now %.4f", share, before)
	}
	w, pin, overruled := store.Effective(1, 0, "z", current, func(policyapi.EndpointID) EndpointEligibility { return EndpointEligibility{Closed: true} })
	if !maps.Equal(w, current) || pin == nil || overruled == "" {
		t.Errorf("with no endpoint left: %v, %q", w, overruled)
	}
}

func BenchmarkVersions(b *testing.B) {
	for _, lines := range []int{18, 100, 400} {
		b.Run(fmt.Sprint(lines, "_lines"), func(b *testing.B) {
			store, w := NewVersionStore(64, 3600*second), Weights{}
			for i := range lines {
				w[policyapi.EndpointID(fmt.Sprintf("127.0.0.1:%d", i))] = 1
			}
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				n++
				w[policyapi.EndpointID(fmt.Sprintf("127.0.0.1:%d", n%lines))] = float64(n%7 + 1)
				store.Put(policyapi.Microseconds(n), 1, w, nil)
			}
		})
	}
}

// Overrides of a class are part of versions, of pins and of their snapshot.
func TestOverridesAreVersioned(t *testing.T) {
	store := NewVersionStore(10, 1000*second)
	w := Weights{"a": 1, "b": 1}
	store.Put(1*second, 1, w, nil)
	overrides := map[policyapi.RequestClass]Weights{2: {"b": 1}}
	if v := store.Put(2*second, 1, w, overrides); v != 2 {
		t.Errorf("weights with overrides are version %d", v)
	}
	if v := store.Put(3*second, 1, w, overrides); v != 2 {
		t.Errorf("the same weights again are version %d", v)
	}
	if _, err := store.Pin(4*second, Pin{Scope: Scope{Table: 1}, Version: 2, Reason: "r"}); err != nil {
		t.Fatal(err)
	}
	if v := store.Put(5*second, 1, w, nil); v != 3 {
		t.Errorf("weights without overrides are version %d", v)
	}
	restored := NewVersionStore(10, 1000*second)
	restored.Restore(6*second, store.Snapshot())
	for name, store := range map[string]*VersionStore{"original": store, "restored": restored} {
		for class, want := range map[policyapi.RequestClass]Weights{0: w, 2: overrides[2]} {
			if got, _, overruled := store.Effective(1, class, "z", Weights{"c": 1}, func(policyapi.EndpointID) EndpointEligibility { return EndpointEligibility{} }); !maps.Equal(got, want) || overruled != "" {
				t.Errorf("%s, class %d: %v, %q", name, class, got, overruled)
			}
		}
	}
}

// A gateway that is bound to no table, which its table -1 says, is in scope of the pins of its own zone and of the fleet only.
// (Regression: -1 is AnyTable too, so that every zone's pin applied to it.)
func TestPinsOfOtherZonesSpareUnboundGateways(t *testing.T) {
	store := NewVersionStore(10, 1000*second)
	store.Put(1*second, 1, Weights{"a": 1}, nil)
	if _, err := store.Pin(2*second, Pin{Scope: Scope{Table: AnyTable, Zone: "b"}, At: second, Reason: "worse since"}); err != nil {
		t.Fatal(err)
	}
	eligible := func(policyapi.EndpointID) EndpointEligibility { return EndpointEligibility{} }
	current := Weights{"c": 1}
	if _, pin, overruled := store.Effective(AnyTable, 0, "a", current, eligible); pin != nil || overruled != "" {
		t.Errorf("zone a: pin %+v, %q", pin, overruled)
	}
	if _, pin, _ := store.Effective(AnyTable, 0, "b", current, eligible); pin == nil {
		t.Error("zone b: its pin does not apply")
	}
}
