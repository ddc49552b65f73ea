package recovery

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"porthub/policyapi"
	"porthub/routing"
	"porthub/solver"
)

var (
	kinds = []string{"view", "save"}
	zones = []policyapi.Zone{"a", "b"}
)

const at = 1000 * second

// known is a snapshot with three nodes, one of them draining, and one gateway.
func known() Snapshot {
	return Snapshot{Format: Format, Epoch: "old", At: at, Classes: kinds, Zones: zones,
		Endpoints: []policyapi.Endpoint{{ID: "n1", Zone: "a"}, {ID: "n2", Zone: "a", Status: policyapi.Draining}, {ID: "n3", Zone: "b", StartedAt: at - 5*second}},
		Ejections: []solver.Ejection{{Endpoint: "n3", Class: 1, Backoff: 8 * second}}, Pins: []routing.PinnedVersion{{Pin: routing.Pin{ID: 3, Reason: "why"}}},
		Gateways: []Gateway{{Name: "g1", Zone: "a", LastReport: at - second, Weight: 5, Demand: []float64{4, 1}, Version: "old.7"},
			{Name: "away", Zone: "a", LastReport: at - 300*second}}}
}

// How belief goes with the time that has passed, and with a clock that has gone back.
func TestHowLongBeliefLasts(t *testing.T) {
	for _, c := range []struct {
		after                 policyapi.Microseconds
		marks, gateways, pins bool
	}{
		{2 * second, true, true, true},
		{MaxEjectionAge + second, false, false, true},
		{-second, false, false, true},
	} {
		b := Restore(known(), at+c.after, kinds, zones)
		got := []bool{len(b.Ejections) > 0, len(b.Gateways) > 0, len(b.Pins) > 0}
		if want := []bool{c.marks, c.gateways, c.pins}; !slices.Equal(got, want) {
			t.Errorf("after %d s: marks, gateways, pins %v, want %v", c.after/second, got, want)
		}
		if len(b.Endpoints) != 3 || b.Endpoints[1].Status != policyapi.Draining {
			t.Errorf("after %d s: nodes %v", c.after/second, b.Endpoints)
		}
		if b.Endpoints[2].StartedAt > at+c.after {
			t.Errorf("after %d s: a start that lies ahead", c.after/second)
		}
	}
	if b := Restore(known(), at+second, kinds, zones); len(b.Gateways) != 1 {
		t.Errorf("one that was away for five minutes is believed in: %v", b.Gateways)
	}
}

// Positions of kinds and numbers of tables mean nothing after the configuration has changed.
func TestChangedConfiguration(t *testing.T) {
	b := Restore(known(), at+second, []string{"save", "view"}, zones)
	if len(b.Ejections)+len(b.Gateways)+len(b.Pins) > 0 || len(b.Endpoints) != 3 || !strings.Contains(strings.Join(b.Discarded, " "), "request kinds") {
		t.Errorf("%+v", b)
	}
	if b := Restore(known(), at+second, kinds, []policyapi.Zone{"b", "a"}); len(b.Pins) > 0 || len(b.Ejections) == 0 {
		t.Errorf("zones changed: %+v", b)
	}
}

// What a first fresh list names without a start time.
func TestStarted(t *testing.T) {
	b := Restore(known(), at+10*second, kinds, zones)
	for node, want := range map[policyapi.EndpointID]policyapi.Microseconds{"n1": 0, "n3": at - 5*second, "new": at + 11*second} {
		if got, known := b.StartTime(node, at+11*second); !known || got != want {
			t.Errorf("%s: %d, want %d", node, got, want)
		}
	}
	var none *State
	if _, known := none.StartTime("n1", at); known {
		t.Error("without belief something is known")
	}
	if text := fmt.Sprint(b.String()); !strings.Contains(text, "3 nodes") {
		t.Error(text)
	}
}
