package coordinator

import (
	"fmt"
	"reflect"
	"testing"

	"porthub/policyapi"
)

// When the clock is set back, the core's time does not go back, and its gateways stay connected.
func TestClockSteppingBack(t *testing.T) {
	h := newHarness(t, nil)
	h.startFleet()
	at := h.core.now
	h.now -= 3600 * second
	h.step(h.report("g1"))
	if h.core.now != at {
		t.Errorf("the core's time went back by %d us, want 0", at-h.core.now)
	}
	h.now = at
	h.advance(3*second, "g1", "g2")
	if !h.core.gateways.byName["g1"].joined || !h.core.gateways.byName["g2"].joined {
		t.Error("gateways were disconnected when the clock was set back")
	}
}

// The same inputs at the same times give identical outputs.
func TestSameInputsSameOutputs(t *testing.T) {
	run := func() []Output {
		h := newHarness(t, nil)
		var all []Output
		for i := range 12 {
			h.setEndpoints(append(readyEndpoints("a", "a1:1", "a2:1"), readyEndpoints("b", "b1:1", policyapi.EndpointID(fmt.Sprintf("b%d:1", i%3+2)))...)...)
			for _, g := range []Gateway{"g1", "g2", "g3"} {
				if i == 0 {
					h.connect(g, "a")
				}
				h.step(h.report(g))
			}
			h.now += second
			all = append(all, h.core.Step(h.now, nil)...)
		}
		return all
	}
	if a, b := run(), run(); !reflect.DeepEqual(a, b) || len(a) == 0 {
		t.Errorf("two runs gave %d and %d outputs, want equal ones", len(a), len(b))
	}
}
