package capture

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
)

// Appended records are read back one by one, over several segments and starts, and replay to the same orders.
func TestRoundTripOverSegmentsAndStarts(t *testing.T) {
	dir := t.TempDir()
	var want []*Record
	for start := range 3 {
		w := NewWriter(dir, Limits{SegmentBytes: 8 << 10, MaxBytes: 1 << 30})
		runScenario(uint64(start), fmt.Sprint("e", start), 300, func(r *Record) {
			w.Append(r)
			want = append(want, r)
		})
		w.Close()
	}
	got, r := readAll(t, dir)
	if len(r.Damages) > 0 || len(got) != len(want) {
		t.Fatalf("got %d records of %d, damages %v", len(got), len(want), r.Damages)
	}
	for i := range want {
		if want[i].Step != nil && !sameStep(want[i], got[i]) {
			t.Fatalf("record %d: got %+v, want %+v", i, got[i].Step, want[i].Step)
		}
	}
	result := replayCapture(t, dir)
	if result.Starts != 3 || result.Mismatches != 0 || result.Orders < 500 || result.Unfinished != 3 {
		t.Errorf("got %+v, want 3 unfinished starts, at least 500 orders and no mismatches", result)
	}
}

// sameStep compares the numbers, times and inputs of two steps. A nil slice of inputs equals an empty one.
func sameStep(want, got *Record) bool {
	if want.Seq != got.Seq || want.Step.Now != got.Step.Now || len(want.Step.Inputs) != len(got.Step.Inputs) {
		return false
	}
	return len(want.Step.Inputs) == 0 || reflect.DeepEqual(want.Step.Inputs, got.Step.Inputs)
}

// A step whose recorded orders differ from the replayed ones is reported as a mismatch, and the replay continues after it.
func TestReplayReportsMismatch(t *testing.T) {
	dir := t.TempDir()
	w := NewWriter(dir, Limits{})
	candidates := 0
	changed := uint64(0)
	runScenario(5, "e", 200, func(r *Record) {
		if r.Step != nil && len(r.Step.Orders) > 3 {
			candidates++
			if candidates == 6 {
				r.Step.Orders = slices.Delete(slices.Clone(r.Step.Orders), 1, 2)
				changed = w.Append(r)
				return
			}
		}
		w.Append(r)
	})
	w.Close()
	result, err := Replay(openCapture(t, dir), "another build", nil)
	if err != nil {
		t.Fatal(err)
	}
	first := result.FirstMismatch
	if first == nil || first.Seq != changed || first.Order != 1 || result.SameBuild() {
		t.Errorf("order 1 of record %d was changed: got first mismatch %+v", changed, first)
	}
}
