package chaos

import (
	"encoding/json"
	"testing"

	"porthub/testutil"
)

// The keys of printed JSON documents and of scenario files must not change when Go fields are renamed.
func TestPrintedKeysArePinned(t *testing.T) {
	for name, value := range map[string]any{
		"result":   testutil.Filled[Result](t),
		"intake":   testutil.Filled[LoadReportResult](t),
		"polls":    testutil.Filled[PollResult](t),
		"scenario": testutil.Filled[Scenario](t),
	} {
		t.Run(name, func(t *testing.T) {
			text, err := json.MarshalIndent(value, "", "  ")
			if err != nil {
				t.Fatal(err)
			}
			testutil.Golden(t, name+".json", append(text, '\n'))
		})
	}
}
