package capture

import (
	"errors"
	"path/filepath"
	"strings"
	"testing"

	"porthub/coordinator"
	"porthub/policyapi"
)

// Failures met so far, captured by `porthub chaos only:FAULT --seconds 14 --keep DIR` from DIR/fleet-0/state/capture, are
// replayed to identical decisions. After an intended change of decisions they are captured again, and the commit says
// which departed and where.
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

// Explain of an endpoint that dies in a lost zone: the list's status, the order, each gateway's table without it.
func TestExplain(t *testing.T) {
	path := filepath.Join("testdata", "cases", "zone_loss")
	first, last, err := TimeRange(openCapture(t, path))
	if err != nil || last-first < 8*second {
		t.Fatalf("%d to %d, %v", first, last, err)
	}
	endpoint, removedAt := firstRemovedEndpoint(t, path)
	explain := func(at policyapi.Microseconds) Explanation {
		t.Helper()
		explanation, err := Explain(openCapture(t, path), endpoint, at)
		if err != nil {
			t.Fatal(err)
		}
		return explanation
	}
	before := explain(first + 3*second)
	if len(before.Gateways) == 0 || !strings.Contains(before.Answer, "the endpoint list has it as ready") || !before.Gateways[0].Confirmed {
		t.Errorf("before: %q, %+v", before.Answer, before.Gateways)
	}
	after := explain(removedAt + 2*second)
	for _, table := range after.Gateways { // the gateways of the zone have died with it
		if !table.Disconnected {
			t.Errorf("after: %q, %+v", after.Answer, table)
		}
	}
	if !strings.Contains(after.Answer, "gone") {
		t.Errorf("after: %q", after.Answer)
	}
	count := map[EventKind]int{}
	for _, event := range after.Events {
		count[event.Kind]++
	}
	for _, kind := range []EventKind{StartEvent, ListEvent, OrderEvent, PublishEvent, AckEvent, ReportEvent} {
		if count[kind] == 0 {
			t.Errorf("the explanation has no event of kind %s: %v", kind, count)
		}
	}
	if explanation := explain(last); explanation.Endpoint != endpoint {
		t.Error(explanation)
	}
	if _, err := Explain(openCapture(t, path), endpoint, first-second); !errors.Is(err, ErrNothingRecorded) {
		t.Errorf("a time before the first record: %v, want %v", err, ErrNothingRecorded)
	}
}

// firstRemovedEndpoint finds the endpoint that leaves the list first, and when. Of several at once it is the one that
// sorts first.
func firstRemovedEndpoint(t *testing.T, path string) (endpoint policyapi.EndpointID, at policyapi.Microseconds) {
	t.Helper()
	listed := map[policyapi.EndpointID]bool{}
	for record, err := range openCapture(t, path).All() {
		if err != nil {
			t.Fatal(err)
		}
		if record.Step == nil || at != 0 && at != record.Step.Now {
			continue
		}
		for _, input := range record.Step.Inputs {
			update, ok := input.(coordinator.EndpointUpdate)
			if !ok || update.Kind != policyapi.Snapshot {
				continue
			}
			current := map[policyapi.EndpointID]bool{}
			for _, e := range update.Endpoints {
				current[e.ID] = true
			}
			for id := range listed {
				if !current[id] && (endpoint == "" || id < endpoint) {
					endpoint = id
					at = record.Step.Now
				}
			}
			listed = current
		}
	}
	if endpoint == "" {
		t.Fatal("no endpoint leaves the list")
	}
	return endpoint, at
}
