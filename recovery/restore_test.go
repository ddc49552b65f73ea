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
	testClasses = []string{"view", "save"}
	testZones   = []policyapi.Zone{"a", "b"}
)

const snapshotAt = 1000 * second

// testSnapshot returns a snapshot with three endpoints, one of them draining, one connected gateway and one without a
// message for five minutes.
func testSnapshot() Snapshot {
	return Snapshot{
		Format:  Format,
		Epoch:   "old",
		At:      snapshotAt,
		Classes: testClasses,
		Zones:   testZones,
		Endpoints: []policyapi.Endpoint{
			{ID: "n1", Zone: "a"},
			{ID: "n2", Zone: "a", Status: policyapi.Draining},
			{ID: "n3", Zone: "b", StartedAt: snapshotAt - 5*second},
		},
		Ejections: []solver.Ejection{{Endpoint: "n3", Class: 1, Backoff: 8 * second}},
		Pins:      []routing.PinnedVersion{{Pin: routing.Pin{ID: 3, Reason: "why"}}},
		Gateways: []Gateway{
			{Name: "g1", Zone: "a", LastMessageAt: snapshotAt - second, Weight: 5, Demand: []float64{4, 1}, Version: "old.7"},
			{Name: "disconnected", Zone: "a", LastMessageAt: snapshotAt - 300*second},
		},
	}
}

// Ejections and gateways are restored only from a recent snapshot, pins and endpoints from a snapshot of any age.
func TestRestoreLimitsAgeOfState(t *testing.T) {
	for _, c := range []struct {
		name                      string
		after                     policyapi.Microseconds
		ejections, gateways, pins bool
	}{
		{"recent", 2 * second, true, true, true},
		{"too old", MaxEjectionAge + second, false, false, true},
		{"clock gone back", -second, false, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			state := Restore(testSnapshot(), snapshotAt+c.after, testClasses, testZones)
			got := []bool{len(state.Ejections) > 0, len(state.Gateways) > 0, len(state.Pins) > 0}
			if want := []bool{c.ejections, c.gateways, c.pins}; !slices.Equal(got, want) {
				t.Errorf("ejections, gateways, pins restored: %v, want %v", got, want)
			}
			if len(state.Endpoints) != 3 || state.Endpoints[1].Status != policyapi.Draining {
				t.Errorf("endpoints %v, want 3 with the second one draining", state.Endpoints)
			}
			if state.Endpoints[2].StartedAt > snapshotAt+c.after {
				t.Error("an endpoint has a start time in the future")
			}
		})
	}
	if state := Restore(testSnapshot(), snapshotAt+second, testClasses, testZones); len(state.Gateways) != 1 {
		t.Errorf("restored gateways: %v, want g1 alone, without the one disconnected for five minutes", state.Gateways)
	}
}

// State that refers to classes or tables by index is discarded after the classes or zones have changed.
func TestRestoreAfterConfigurationChange(t *testing.T) {
	state := Restore(testSnapshot(), snapshotAt+second, []string{"save", "view"}, testZones)
	if len(state.Ejections)+len(state.Gateways)+len(state.Pins) > 0 || len(state.Endpoints) != 3 ||
		!strings.Contains(strings.Join(state.Discarded, " "), "request classes") {
		t.Errorf("classes changed: state %+v, want 3 endpoints alone and the reason in Discarded", state)
	}
	if state := Restore(testSnapshot(), snapshotAt+second, testClasses, []policyapi.Zone{"b", "a"}); len(state.Pins) > 0 || len(state.Ejections) == 0 {
		t.Errorf("zones changed: state %+v, want ejections and no pins", state)
	}
}

// Endpoints of the snapshot keep their start times, others count as started now.
func TestStartTimeFromSnapshot(t *testing.T) {
	state := Restore(testSnapshot(), snapshotAt+10*second, testClasses, testZones)
	for endpoint, want := range map[policyapi.EndpointID]policyapi.Microseconds{"n1": 0, "n3": snapshotAt - 5*second, "new": snapshotAt + 11*second} {
		if got, ok := state.StartTime(endpoint, snapshotAt+11*second); !ok || got != want {
			t.Errorf("start time of %s: %d, want %d", endpoint, got, want)
		}
	}
	var none *State
	if _, ok := none.StartTime("n1", snapshotAt); ok {
		t.Error("without restored state StartTime returned ok, want false")
	}
	if text := fmt.Sprint(state.String()); !strings.Contains(text, "3 endpoints") {
		t.Errorf("summary %q, want the number of endpoints in it", text)
	}
}
