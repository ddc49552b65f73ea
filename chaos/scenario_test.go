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
		t.Errorf("built-in scenarios are %v, want bad-day among them", names)
	}
	for _, name := range append(names, "only:hang") {
		if _, err := Load(name); err != nil {
			t.Errorf("loading scenario %s: error is %v, want none", name, err)
		}
	}
	if _, err := Load("only:storm"); !errors.Is(err, ErrInvalidScenario) {
		t.Errorf("loading a scenario with an unknown fault: error is %v, want ErrInvalidScenario", err)
	}
	for _, test := range []struct{ name, text, message string }{
		{"too short", `{"seconds": 1}`, "seconds must be 3 to 3600"},
		{"unknown key", `{"second": 10}`, "did you mean seconds"},
		{"unknown fault", `{"troubles": [{"what": "storm"}]}`, `unknown fault "storm"`},
		{"share above 1", `{"troubles": [{"what": "crash", "part": 2}]}`, "part must be 0 to 1"},
		{"unknown zone", `{"troubles": [{"what": "zone_cut", "zone": "x"}]}`, `unknown zone "x"`},
	} {
		t.Run(test.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "scenario.json")
			if err := os.WriteFile(path, []byte(test.text), 0o600); err != nil {
				t.Fatal(err)
			}
			if _, err := Load(path); !errors.Is(err, ErrInvalidScenario) || !strings.Contains(err.Error(), test.message) {
				t.Errorf("loading %s: error is %v, want ErrInvalidScenario with %q", test.text, err, test.message)
			}
		})
	}
}

func TestCheckBounds(t *testing.T) {
	for _, test := range []struct {
		name  string
		check Check
		value float64
		ok    bool
	}{
		{"reaches the lower bound", Check{AtLeast: 0.5}, 0.5, true},
		{"below the lower bound", Check{AtLeast: 0.5}, 0.4, false},
		{"only a lower bound", Check{AtLeast: 0.5}, 100, true},
		{"within both bounds", Check{AtLeast: 1, AtMost: 3}, 2, true},
		{"above the upper bound", Check{AtLeast: 1, AtMost: 3}, 4, false},
		{"no bounds and above 0", Check{}, 1, false},
		{"no bounds and 0", Check{}, 0, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := test.check.evaluate(test.value); got.OK != test.ok {
				t.Errorf("evaluating %+v with %v: ok is %t, want %t", test.check, test.value, got.OK, test.ok)
			}
		})
	}
}

// Covers times before the fault, within both ramps, between them, and after the fault.
func TestFaultRamp(t *testing.T) {
	fault := Fault{At: 2e6, Duration: 10e6, Extra: 2}
	for at, want := range map[float64]float64{1: 0, 2: 0, 3: 0.5, 4: 1, 8: 1, 11: 0.5, 12: 0, 13: 0} {
		if got := fault.ramp(seconds(at)); got != want {
			t.Errorf("ramp at %v s is %v, want %v", at, got, want)
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
			t.Errorf("version in %s is %q, want %q", text, got, want)
		}
	}
}
