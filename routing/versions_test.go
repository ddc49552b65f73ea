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
				t.Errorf("ChangeCost = %d lines, want %d", got, c.want)
			}
			if same := Checksum(c.from) == Checksum(c.to); same != (c.want == 0) {
				t.Errorf("equal checksums: %t, want %t", same, c.want == 0)
			}
		})
	}
}

// Applying the delta between any two states to the first results in the second, and deriving states does not change earlier ones.
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
			t.Fatalf("state %d has the weights %v after later states were derived, want %v", i, states[i].Weights(), weights[i])
		}
		for j := range states {
			d := Diff(states[i], states[j])
			if got := states[i].Apply(d); !maps.Equal(got.Weights(), weights[j]) {
				t.Fatalf("state %d after applying the delta to state %d = %v, want %v", i, j, got.Weights(), weights[j])
			}
			if i == j && d.Size() != 0 {
				t.Fatalf("the delta from state %d to itself has %d changes, want none", i, d.Size())
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
		t.Errorf("Put of unchanged weights returns version %d, want 10", v)
	}
	if _, err := store.Get(1, 2); err != nil {
		t.Errorf("Get of the pinned version 2 = %v, want no error", err)
	}
	if _, err := store.Get(1, 3); !errors.Is(err, ErrUnknownVersion) || !strings.Contains(err.Error(), "2 to 10") {
		t.Errorf("Get of the dropped version 3 = %v, want ErrUnknownVersion that states the range 2 to 10", err)
	}
	if n := len(store.Versions(1)); n > 5 {
		t.Errorf("%d versions are stored, want at most 4 and the pinned one", n)
	}
	store.Put(1000*second, 1, Weights{"a": 11}, nil)
	if got := store.Versions(1); len(got) != 2 || got[0].Version != 2 {
		t.Errorf("versions after the others have expired = %v, want the pinned version 2 and the last", got)
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
			t.Errorf("Pin(%+v) = %v, want %v", c.pin, err, c.want)
		}
	}
	fleet, err := store.Pin(6*second, Pin{Scope: Scope{Table: AnyTable}, At: 2 * second, Reason: "worse since"})
	if err != nil {
		t.Fatal(err)
	}
	if w, _, _ := store.Effective(1, 0, "z", current, eligible); !maps.Equal(w, Weights{"a": 1, "b": 1}) {
		t.Errorf("weights with a pin of the fleet = %v, want those of version 1", w)
	}
	if w, _, overruled := store.Effective(2, 0, "z", Weights{"c": 1}, eligible); !maps.Equal(w, Weights{"c": 1}) || overruled == "" {
		t.Errorf("weights of a table without a version at the pinned time = %v, overruled %q; want the current weights and a reason",
			w, overruled)
	}
	// The narrower pin takes precedence.
	if _, err := store.Pin(7*second, Pin{Scope: Scope{Table: 1}, Version: 2, Reason: "this one is fine"}); err != nil {
		t.Fatal(err)
	}
	if w, _, _ := store.Effective(1, 0, "z", Weights{"x": 1}, eligible); !maps.Equal(w, current) {
		t.Errorf("weights with pins of the fleet and of the table = %v, want those of the table's pin, %v", w, current)
	}
	if _, err := store.Unpin(fleet.ID); err != nil {
		t.Errorf("Unpin = %v, want no error", err)
	}
	if _, err := store.Unpin(fleet.ID); !errors.Is(err, ErrUnknownPin) {
		t.Errorf("second Unpin of the same pin = %v, want ErrUnknownPin", err)
	}
}

// Whatever is pinned, closed endpoints get no weight, endpoints that are warming up get no larger share than by the current weights,
// and current weights apply if the rules leave no endpoint.
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
		t.Errorf("weights = %v, overruled %q; want 1 for a, none for gone and new, and a reason", w, overruled)
	}
	sum := func(w Weights) (s float64) {
		for _, x := range w {
			s += x
		}
		return s
	}
	if share, before := w["cold"]/sum(w), current["cold"]/sum(current); share == 0 || share > before*1.0001 {
		t.Errorf("share of the endpoint that is warming up = %.4f, want above 0 and at most the current %.4f", share, before)
	}
	allClosed := func(policyapi.EndpointID) EndpointEligibility { return EndpointEligibility{Closed: true} }
	w, pin, overruled := store.Effective(1, 0, "z", current, allClosed)
	if !maps.Equal(w, current) || pin == nil || overruled == "" {
		t.Errorf("with all endpoints closed: weights %v, pin %v, overruled %q; want the current weights, the pin and a reason",
			w, pin, overruled)
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

// Overrides of a class are part of versions, of pins, and of the snapshot of pins.
func TestOverridesAreVersioned(t *testing.T) {
	store := NewVersionStore(10, 1000*second)
	w := Weights{"a": 1, "b": 1}
	store.Put(1*second, 1, w, nil)
	overrides := map[policyapi.RequestClass]Weights{2: {"b": 1}}
	if v := store.Put(2*second, 1, w, overrides); v != 2 {
		t.Errorf("Put with new overrides returns version %d, want 2", v)
	}
	if v := store.Put(3*second, 1, w, overrides); v != 2 {
		t.Errorf("Put with the same overrides returns version %d, want 2", v)
	}
	if _, err := store.Pin(4*second, Pin{Scope: Scope{Table: 1}, Version: 2, Reason: "r"}); err != nil {
		t.Fatal(err)
	}
	if v := store.Put(5*second, 1, w, nil); v != 3 {
		t.Errorf("Put without overrides returns version %d, want 3", v)
	}
	restored := NewVersionStore(10, 1000*second)
	restored.Restore(6*second, store.Snapshot())
	eligible := func(policyapi.EndpointID) EndpointEligibility { return EndpointEligibility{} }
	for name, store := range map[string]*VersionStore{"original": store, "restored": restored} {
		for class, want := range map[policyapi.RequestClass]Weights{0: w, 2: overrides[2]} {
			if got, _, overruled := store.Effective(1, class, "z", Weights{"c": 1}, eligible); !maps.Equal(got, want) || overruled != "" {
				t.Errorf("%s store, class %d: weights %v, overruled %q; want weights %v and no reason", name, class, got, overruled, want)
			}
		}
	}
}

// Only the pins of its own zone and of the fleet apply to a gateway that is not bound to a table, whose table is -1. -1 equals
// AnyTable, so that the pins of all zones used to apply to it.
func TestPinsOfOtherZonesDoNotApplyToUnboundGateways(t *testing.T) {
	store := NewVersionStore(10, 1000*second)
	store.Put(1*second, 1, Weights{"a": 1}, nil)
	if _, err := store.Pin(2*second, Pin{Scope: Scope{Table: AnyTable, Zone: "b"}, At: second, Reason: "worse since"}); err != nil {
		t.Fatal(err)
	}
	eligible := func(policyapi.EndpointID) EndpointEligibility { return EndpointEligibility{} }
	current := Weights{"c": 1}
	if _, pin, overruled := store.Effective(AnyTable, 0, "a", current, eligible); pin != nil || overruled != "" {
		t.Errorf("unbound gateway in zone a: pin %+v, overruled %q; want none, because only zone b is pinned", pin, overruled)
	}
	if _, pin, _ := store.Effective(AnyTable, 0, "b", current, eligible); pin == nil {
		t.Error("unbound gateway in zone b: no pin, want the pin of zone b")
	}
}
