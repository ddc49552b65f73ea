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
