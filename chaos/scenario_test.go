package chaos

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

func TestScenarios(t *testing.T) {
	names, _ := List()
	if !slices.Contains(names, "bad-day") {
		t.Errorf("built in: %v", names)
	}
	for _, name := range append(names, "only:hang") {
		if _, err := Load(name); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := Load("only:storm"); !errors.Is(err, ErrInvalidScenario) {
		t.Error(err)
	}
	for _, test := range []struct{ name, text, message string }{
		{"too short", `{"seconds": 1}`, "3 to 3600 seconds"},
		{"unknown key", `{"second": 10}`, "did you mean seconds"},
		{"unknown fault", `{"troubles": [{"what": "storm"}]}`, `there is no "storm"`},
		{"share above 1", `{"troubles": [{"what": "crash", "part": 2}]}`, "part must be 0 to 1"},
		{"unknown zone", `{"troubles": [{"what": "zone_cut", "zone": "x"}]}`, `"x" is not one of`},
	} {
		t.Run(test.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "scenario.json")
			if err := os.WriteFile(path, []byte(test.text), 0o600); err != nil {
				t.Fatal(err)
			}
			if _, err := Load(path); !errors.Is(err, ErrInvalidScenario) || !strings.Contains(err.Error(), test.message) {
				t.Errorf("%s: %v", test.text, err)
			}
		})
	}
}

func TestCheckBounds(t *testing.T) {
	for _, test := range []struct {
		name   string
		check  Check
		figure float64
		ok     bool
	}{
		{"reaches the lower bound", Check{AtLeast: 0.5}, 0.5, true},
		{"below the lower bound", Check{AtLeast: 0.5}, 0.4, false},
		{"only a lower bound", Check{AtLeast: 0.5}, 100, true},
		{"within both bounds", Check{AtLeast: 1, AtMost: 3}, 2, true},
		{"above the upper bound", Check{AtLeast: 1, AtMost: 3}, 4, false},
		{"no bounds is at most 0", Check{}, 1, false},
		{"no bounds and 0", Check{}, 0, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := test.check.evaluate(test.figure); got.OK != test.ok {
				t.Errorf("%+v of %v: ok %t, want %t", test.check, test.figure, got.OK, test.ok)
			}
		})
	}
}

// Values before the ramps, within, and after them.
func TestFaultRamp(t *testing.T) {
	fault := Fault{At: 2e6, Duration: 10e6, Extra: 2}
	for at, want := range map[float64]float64{1: 0, 2: 0, 3: 0.5, 4: 1, 8: 1, 11: 0.5, 12: 0, 13: 0} {
		if got := fault.ramp(seconds(at)); got != want {
			t.Errorf("at %v s: %v, want %v", at, got, want)
		}
	}
}

func TestVersionSpan(t *testing.T) {
	for text, want := range map[string]string{
		`{"version_info":"e.1","x":2}`:  "e.1",
		`{"version_info": "e.12"}`:      "e.12",
		`{"x":1}`:                       "",
		`{"version_info":"unterminated`: "",
	} {
		start, end := versionSpan(text)
		if got := text[start:end]; got != want {
			t.Errorf("%s: %q, want %q", text, got, want)
		}
	}
}
