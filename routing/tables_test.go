package routing

import (
	"errors"
	"fmt"
	"maps"
	"strings"
	"testing"

	"porthub/policyapi"
)

func TestCost(t *testing.T) {
	c := func(w ...float64) (s Snapshot) {
		cl := Cluster{Class: "view"}
		for i, x := range w {
			cl.Endpoints = append(cl.Endpoints, ClusterEndpoint{Endpoint: policyapi.EndpointID(rune('a' + i)), Zone: "z", Weight: x})
		}
		return Snapshot{Clusters: []Cluster{cl}, Routes: []Route{{Class: "view", Rate: UnlimitedRate, Share: 1}}}
	}
	for name, x := range map[string]struct {
		from, to Snapshot
		want     int
	}{
		"the same":   {c(1, 2), c(1, 2), 0},
		"from empty": {Snapshot{}, c(1, 2), 3},
		"to empty":   {c(1, 2), Snapshot{}, 3},
		"one weight": {c(1, 2), c(1, 3), 1},
		"one less":   {c(1, 2), c(1), 1},
	} {
		if got := ChangeCost(x.from, x.to); got != x.want {
			t.Errorf("%s: %d lines, want %d", name, got, x.want)
		}
		if same := Checksum(x.from) == Checksum(x.to); same != (x.want == 0) {
			t.Errorf("%s: checksums alike: %t", name, same)
		}
	}
}

// Deltas lead from any state to any other, and what was is not touched by what comes after.
func TestStates(t *testing.T) {
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

func TestBookKeepsWhatIsNeeded(t *testing.T) {
	b := NewVersionStore(4, 100*second)
	for i := range 10 {
		b.Put(policyapi.Microseconds(i)*second, 1, Weights{"a": float64(i + 1)}, nil)
		if i == 2 {
			if _, err := b.Pin(2*second, Pin{Scope: Scope{Table: 1}, Version: 2, Reason: "night"}); err != nil {
				t.Fatal(err)
			}
		}
	}
	if v := b.Put(10*second, 1, Weights{"a": 10}, nil); v != 10 {
		t.Errorf("the same again is version %d", v)
	}
	if _, err := b.Get(1, 2); err != nil {
		t.Error("a pinned version was let go")
	}
	if _, err := b.Get(1, 3); !errors.Is(err, ErrNoVersion) || !strings.Contains(err.Error(), "2 to 10") {
		t.Errorf("version 3: %v", err)
	}
	if n := len(b.Versions(1)); n > 5 {
		t.Errorf("%d versions kept", n)
	}
	b.Put(1000*second, 1, Weights{"a": 11}, nil)
	if got := b.Versions(1); len(got) != 2 || got[0].Version != 2 {
		t.Errorf("old ones stay: %v", got)
	}
}

func TestPins(t *testing.T) {
	b := NewVersionStore(10, 1000*second)
	b.Put(1*second, 1, Weights{"a": 1, "b": 1}, nil)
	b.Put(5*second, 1, Weights{"c": 1, "d": 2}, nil)
	b.Put(5*second, 2, Weights{"c": 1}, nil)
	now := Weights{"c": 1, "d": 2}
	open := func(policyapi.EndpointID) EndpointEligibility { return EndpointEligibility{} }
	for _, c := range []struct {
		pin  Pin
		says error
	}{
		{Pin{Scope: Scope{Table: 1}, Version: 1}, ErrNoReason},
		{Pin{Scope: Scope{Table: 1}, Version: 9, Reason: "r"}, ErrNoVersion},
		{Pin{Scope: Scope{Table: 7}, Version: 1, Reason: "r"}, ErrNoVersion},
		{Pin{Scope: Scope{Table: 2}, At: 2 * second, Reason: "r"}, ErrNoVersion},
		{Pin{Scope: Scope{Table: AnyTable}, Version: 1, Reason: "r"}, ErrNoVersion},
	} {
		if _, err := b.Pin(6*second, c.pin); !errors.Is(err, c.says) {
			t.Errorf("%+v: %v", c.pin, err)
		}
	}
	fleet, err := b.Pin(6*second, Pin{Scope: Scope{Table: AnyTable}, At: 2 * second, Reason: "worse since"})
	if err != nil {
		t.Fatal(err)
	}
	if w, _, _ := b.Effective(1, 0, "z", now, open); !maps.Equal(w, Weights{"a": 1, "b": 1}) {
		t.Errorf("pinned, and holds %v", w)
	}
	if w, _, over := b.Effective(2, 0, "z", Weights{"c": 1}, open); !maps.Equal(w, Weights{"c": 1}) || over == "" {
		t.Errorf("younger than the pin: %v, %q", w, over)
	}
	// The narrower pin goes first.
	if _, err := b.Pin(7*second, Pin{Scope: Scope{Table: 1}, Version: 2, Reason: "this one is fine"}); err != nil {
		t.Fatal(err)
	}
	if w, _, _ := b.Effective(1, 0, "z", Weights{"x": 1}, open); !maps.Equal(w, now) {
		t.Errorf("the table's own pin: %v", w)
	}
	if _, err := b.Unpin(fleet.ID); err != nil {
		t.Error(err)
	}
	if _, err := b.Unpin(fleet.ID); !errors.Is(err, ErrNoPin) {
		t.Error(err)
	}
}

// Whatever is pinned, nothing closed comes back, nothing cold gets a larger part than it has now, and the rules win
// where they leave nothing.
func TestRulesMaskEveryVersion(t *testing.T) {
	b := NewVersionStore(10, 1000*second)
	b.Put(1*second, 1, Weights{"a": 1, "b": 1, "cold": 1, "gone": 5, "new": 1}, nil)
	if _, err := b.Pin(2*second, Pin{Scope: Scope{Table: 1}, Version: 1, Reason: "r"}); err != nil {
		t.Fatal(err)
	}
	now := Weights{"a": 2, "b": 2, "cold": 0.2}
	standing := func(be policyapi.EndpointID) EndpointEligibility {
		return EndpointEligibility{Closed: be == "gone", Weight: now[be], WarmingUp: be == "cold" || be == "new"}
	}
	w, _, over := b.Effective(1, 0, "z", now, standing)
	if w["gone"] != 0 || w["new"] != 0 || w["a"] != 1 || over == "" {
		t.Errorf("%v, %q", w, over)
	}
	sum := func(w Weights) (s float64) {
		for _, x := range w {
			s += x
		}
		return s
	}
	if part, before := w["cold"]/sum(w), now["cold"]/sum(now); part == 0 || part > before*1.0001 {
		t.Errorf("the cold one's part is %.4f, now %.4f", part, before)
	}
	w, pin, over := b.Effective(1, 0, "z", now, func(policyapi.EndpointID) EndpointEligibility { return EndpointEligibility{Closed: true} })
	if !maps.Equal(w, now) || pin == nil || over == "" {
		t.Errorf("with nothing left: %v, %q", w, over)
	}
}

func BenchmarkVersions(b *testing.B) {
	for _, lines := range []int{18, 100, 400} {
		b.Run(fmt.Sprint(lines, "_lines"), func(b *testing.B) {
			book, w := NewVersionStore(64, 3600*second), Weights{}
			for i := range lines {
				w[policyapi.EndpointID(fmt.Sprintf("127.0.0.1:%d", i))] = 1
			}
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				n++
				w[policyapi.EndpointID(fmt.Sprintf("127.0.0.1:%d", n%lines))] = float64(n%7 + 1)
				book.Put(policyapi.Microseconds(n), 1, w, nil)
			}
		})
	}
}

// What acts in a table's place for a kind is part of its versions, of pins and of what a next start is told.
func TestActingWeights(t *testing.T) {
	b := NewVersionStore(10, 1000*second)
	w := Weights{"a": 1, "b": 1}
	b.Put(1*second, 1, w, nil)
	acting := map[policyapi.RequestClass]Weights{2: {"b": 1}}
	if v := b.Put(2*second, 1, w, acting); v != 2 {
		t.Errorf("acting from now on is version %d", v)
	}
	if v := b.Put(3*second, 1, w, acting); v != 2 {
		t.Errorf("the same again is version %d", v)
	}
	if _, err := b.Pin(4*second, Pin{Scope: Scope{Table: 1}, Version: 2, Reason: "r"}); err != nil {
		t.Fatal(err)
	}
	if v := b.Put(5*second, 1, w, nil); v != 3 {
		t.Errorf("no longer acting is version %d", v)
	}
	next := NewVersionStore(10, 1000*second)
	next.Restore(6*second, b.Snapshot())
	for name, b := range map[string]*VersionStore{"here": b, "after a start": next} {
		for kind, want := range map[policyapi.RequestClass]Weights{0: w, 2: acting[2]} {
			if got, _, over := b.Effective(1, kind, "z", Weights{"c": 1}, func(policyapi.EndpointID) EndpointEligibility { return EndpointEligibility{} }); !maps.Equal(got, want) || over != "" {
				t.Errorf("%s, kind %d: %v, %q", name, kind, got, over)
			}
		}
	}
}
