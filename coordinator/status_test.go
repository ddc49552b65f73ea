package coordinator

import (
	"encoding/json"
	"strings"
	"testing"
)

// Without gateways and endpoints, the status has empty JSON lists, which scripts can loop over. (Regression: they were null, as in
// `porthub tables --output json`.)
func TestStatusWithoutGateways(t *testing.T) {
	h := newHarness(t, nil)
	text, err := json.Marshal(h.core.Status())
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{`"gateways":[]`, `"nodes":[]`} {
		if !strings.Contains(string(text), want) {
			t.Errorf("%s is missing in the status %s", want, text)
		}
	}
}

// A gateway that names an unknown zone is rejected and does not count against the limit on gateways. (Regression: such gateways
// were stored, and after 60,000 connections under different names every new gateway was rejected.)
func TestGatewayOfUnknownZoneIsNotStored(t *testing.T) {
	h := newHarness(t, nil)
	h.step(GatewayConnected{Gateway: "g-lost", Conn: 1, Zone: "nowhere"})
	if n := len(h.core.gateways.inOrder); n != 0 {
		t.Errorf("%d gateways are stored, want 0", n)
	}
	if n := len(h.core.Status().Gateways); n != 0 {
		t.Errorf("the status lists %d gateways, want 0", n)
	}
}
