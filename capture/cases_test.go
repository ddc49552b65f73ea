package capture

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"porthub/coordinator"
	"porthub/policyapi"
)

// Failures met so far, captured by the drill (`porthub drill only:TROUBLE --seconds 14 --keep DIR`, then
// DIR/fleet-0/state/capture), replayed to identical decisions. After a change of decisions on purpose they are captured
// anew, and the commit says which departed and where.
func TestCapturedCases(t *testing.T) {
	cases, err := filepath.Glob(filepath.Join("testdata", "cases", "*"))
	if err != nil || len(cases) < 8 {
		t.Fatalf("%d cases, %v", len(cases), err)
	}
	for _, path := range cases {
		t.Run(filepath.Base(path), func(t *testing.T) {
			v := replayCapture(t, path)
			if v.Mismatches > 0 {
				t.Errorf("%d of %d steps differ, first %+v", v.Mismatches, v.Steps, v.FirstMismatch)
			}
			if v.Steps < 100 || v.Orders < 30 || v.PublishingSteps < 3 || v.Incomplete() || len(v.Gaps) > 0 {
				t.Errorf("the case says too little, or is damaged: %+v", v)
			}
		})
	}
}

// What explain says of a node that dies in the lost hall: the list's word, the order, each gateway's table without it.
func TestExplain(t *testing.T) {
	path := filepath.Join("testdata", "cases", "zone_loss")
	if _, err := os.Stat(path); err != nil {
		t.Skip(err)
	}
	r, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	first, last, err := TimeRange(r)
	r.Close()
	if err != nil || last-first < 8*second {
		t.Fatalf("%d to %d, %v", first, last, err)
	}
	// The node that drops out of the list first.
	var node policyapi.EndpointID
	var when policyapi.Microseconds
	r, _ = Open(path)
	listed := map[policyapi.EndpointID]bool{}
	_, err = Replay(r, "", func(rec *Record, _ *coordinator.Core, _ []coordinator.Output) bool {
		if rec.Step == nil {
			return true
		}
		for _, in := range rec.Step.Inputs {
			l, is := in.(coordinator.EndpointUpdate)
			if !is || l.Kind != policyapi.Snapshot {
				continue
			}
			now := map[policyapi.EndpointID]bool{}
			for _, e := range l.Endpoints {
				now[e.ID] = true
			}
			for b := range listed {
				if !now[b] && (node == "" || b < node) && (when == 0 || when == rec.Step.Now) {
					node, when = b, rec.Step.Now
				}
			}
			listed = now
		}
		return true
	})
	r.Close()
	if err != nil || node == "" {
		t.Fatalf("no node leaves the list: %v", err)
	}
	at := func(when policyapi.Microseconds) Explanation {
		r, err := Open(path)
		if err != nil {
			t.Fatal(err)
		}
		defer r.Close()
		x, err := Explain(r, node, when)
		if err != nil {
			t.Fatal(err)
		}
		return x
	}
	before, after := at(first+3*second), at(when+2*second)
	if len(before.Gateways) == 0 || !strings.Contains(before.Answer, "the list has it as ready") || !before.Gateways[0].Confirmed {
		t.Errorf("before: %q, %+v", before.Answer, before.Gateways)
	}
	for _, h := range after.Gateways { // the hall's gateways have died with it
		if !h.Disconnected {
			t.Errorf("after: %q, %+v", after.Answer, h)
		}
	}
	if !strings.Contains(after.Answer, "gone") || len(before.Gateways) == 0 {
		t.Errorf("after: %q", after.Answer)
	}
	said := map[EventKind]int{}
	for _, e := range after.Events {
		said[e.Kind]++
	}
	for _, what := range []EventKind{"start", "list", "order", "sent", "confirmed", "report"} {
		if said[what] == 0 {
			t.Errorf("the chain has no %s: %v", what, said)
		}
	}
	if x := at(last); x.Endpoint != node {
		t.Error(x)
	}
	r, _ = Open(path)
	defer r.Close()
	if _, err := Explain(r, node, first-second); err == nil {
		t.Error("a time before the first record is explained")
	}
}
