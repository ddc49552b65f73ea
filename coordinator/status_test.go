package coordinator

import (
	"encoding/json"
	"strings"
	"testing"
)

// A coordinator without gateways and endpoints lists none: its status has empty lists, which scripts can loop over. (Regression: they
// were null, as in `porthub tables --output json`.)
func TestStatusWithoutGateways(t *testing.T) {
	h := newHarness(t, nil)
	text, err := json.Marshal(h.core.Status())
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{`"gateways":[]`, `"nodes":[]`} {
		if !strings.Contains(string(text), want) {
			t.Errorf("no %s in %s", want, text)
		}
	}
}

// A gateway that names an unknown zone is rejected and takes no place: connections under ever new names do not fill the limit on
// gateways. (Regression: each was kept, and after 60,000 of them every new gateway was rejected.)
func TestGatewayOfUnknownZoneTakesNoPlace(t *testing.T) {
	h := newHarness(t, nil)
	h.step(GatewayConnected{Gateway: "g-lost", Conn: 1, Zone: "nowhere"})
	if n := len(h.core.gateways.inOrder); n != 0 {
		t.Errorf("%d gateways are kept", n)
	}
	if n := len(h.core.Status().Gateways); n != 0 {
		t.Errorf("%d gateways are listed", n)
	}
}
