package capture

import (
	"errors"
	"path/filepath"
	"strings"
	"testing"

	"porthub/coordinator"
	"porthub/policyapi"
)

// Captures of known failures replay to identical decisions. They were recorded by
// `porthub chaos only:FAULT --seconds 14 --keep DIR` and are copies of DIR/fleet-0/state/capture. After an intended change of
// decisions they must be recorded again, and the commit must say which of them differed and where.
func TestCapturedCases(t *testing.T) {
	cases, err := filepath.Glob(filepath.Join("testdata", "cases", "*"))
	if err != nil || len(cases) < 8 {
		t.Fatalf("got %d cases, error %v; want at least 8 cases", len(cases), err)
	}
	for _, path := range cases {
		t.Run(filepath.Base(path), func(t *testing.T) {
			v := replayCapture(t, path)
			if v.Mismatches > 0 {
				t.Errorf("%d of %d steps differ, want none; the first is %+v", v.Mismatches, v.Steps, v.FirstMismatch)
			}
			if v.Steps < 100 || v.Orders < 30 || v.PublishingSteps < 3 || v.Incomplete() || len(v.Gaps) > 0 {
				t.Errorf("the case is too short, incomplete or has gaps: got %+v, want at least 100 steps, 30 orders and 3 publishing steps", v)
			}
		})
	}
}

// Explain of an endpoint in a lost zone reports its status in the endpoint list, the orders, the tables sent to gateways and
// their acknowledgements. After the endpoint is removed, only disconnected gateways still have it.
func TestExplain(t *testing.T) {
	path := filepath.Join("testdata", "cases", "zone_loss")
	first, last, err := TimeRange(openCapture(t, path))
	if err != nil || last-first < 8*second {
		t.Fatalf("the time range is %d to %d, error %v; want at least 8 s", first, last, err)
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
		t.Errorf("before the removal: got answer %q, gateways %+v; want the endpoint as ready and a confirmed table", before.Answer, before.Gateways)
	}
	after := explain(removedAt + 2*second)
	for _, table := range after.Gateways { // the gateways of the lost zone are disconnected
		if !table.Disconnected {
			t.Errorf("after the removal: got answer %q, gateway %+v; want only disconnected gateways", after.Answer, table)
		}
	}
	if !strings.Contains(after.Answer, "gone") {
		t.Errorf("after the removal: got answer %q, want the endpoint as gone", after.Answer)
	}
	count := map[EventKind]int{}
	for _, event := range after.Events {
		count[event.Kind]++
	}
	for _, kind := range []EventKind{StartEvent, ListEvent, OrderEvent, PublishEvent, AckEvent, ReportEvent} {
		if count[kind] == 0 {
			t.Errorf("the explanation has no event of kind %s: got counts %v", kind, count)
		}
	}
	if explanation := explain(last); explanation.Endpoint != endpoint {
		t.Error("the explanation at the last step is of another endpoint:", explanation)
	}
	if _, err := Explain(openCapture(t, path), endpoint, first-second); !errors.Is(err, ErrNothingRecorded) {
		t.Errorf("a time before the first step: got error %v, want %v", err, ErrNothingRecorded)
	}
}

// firstRemovedEndpoint returns the endpoint that is removed from the list first, and when. If several are removed at the same time, it
// returns the one with the lowest ID.
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
		t.Fatal("no endpoint is removed from the list")
	}
	return endpoint, at
}
