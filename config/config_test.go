package config

import (
	"errors"
	"os"
	"strings"
	"testing"

	"porthub/policyapi"
)

const validConfig = `{
	// a comment
	"coordinator": {"zone": "a"}, "zones": ["a", "b"],
	"front": {"files": {"dir": "t"}}, "registry": {"file": {"path": "n.json"}},
	"request_kinds": [{"name": "view", "repeat": "replayable", "response_target": "750ms", "client_timeout": "2.5s", "payoff": 1},],
}`

func TestParse(t *testing.T) {
	cfg, err := Parse("x", []byte(validConfig))
	if err != nil {
		t.Fatal(err)
	}
	start := cfg.Start()
	if start.Classes[0].LatencyObjective != 750_000 || start.Classes[0].Idempotency != policyapi.Idempotent || start.Rules.DrainGracePeriod != 3_000_000 ||
		start.Admission != policyapi.AdmissionByRate || start.Rules.SoftRemoval || start.Reports.MetricNames[0] != "busy" {
		t.Errorf("Start() is %+v, want the values of the configuration and the defaults", start)
	}
}

// Parse reports all findings in one error, each with its line, its key and how to correct it.
func TestParseReportsEveryFinding(t *testing.T) {
	for name, c := range map[string]struct{ from, to, want string }{
		"unknown key":     {`"zones"`, `"zonen": 1, "zones"`, "x:3: zonen: is not known, did you mean zones?"},
		"key twice":       {`"zones": ["a", "b"],`, `"zones": ["a"], "zones": ["a", "b"],`, "x:3: zones: appears twice"},
		"wrong type":      {`"payoff": 1`, `"payoff": "1"`, `x:5: request_kinds[0].payoff: is "1", it must be a number`},
		"no unit":         {`"750ms"`, `750`, "x:5: request_kinds[0].response_target: is 750, it must be a time with its unit"},
		"wrong unit":      {`"2.5s"`, `"2.5 parsecs"`, `client_timeout: is "2.5 parsecs"`},
		"contradiction":   {`"2.5s"`, `"500ms"`, "client_timeout: is shorter than the response target"},
		"unknown zone":    {`{"zone": "a"}`, `{"zone": "c"}`, `x:3: coordinator.zone: "c" is not one of zones`},
		"not loopback":    {`"zones"`, `"listen": "0.0.0.0:1", "zones"`, `x:3: listen: "0.0.0.0" is not on loopback`},
		"missing":         {`"path": "n.json"`, ``, "x:4: registry.file.path: is missing"},
		"grace too short": {`"zones"`, `"rules": {"drain_grace": "100ms"}, "zones"`, "x:3: rules.drain_grace: is not longer than channel.worst_transit"},
		"queue too short": {`"zones"`, `"gateways": {"expected": 900}, "zones"`, "below two message overheads (channel.envelope) for each of 900 gateways"},
		"invalid repeat":  {`"replayable"`, `"sometimes"`, `repeat: is "sometimes", it must be replayable, uniqued or non-replayable`},
		"not a list":      {`["a", "b"]`, `"a"`, `x:3: zones: is "a", it must be a list`},
		"not an object":   {`{"files": {"dir": "t"}}`, `[]`, "x:4: front: is [], it must be an object"},
		"truncated":       {`"payoff": 1},],`, `"payoff": 1`, "the file must be JSON"},
		"top-level array": {validConfig, `[]`, "the file has no JSON object"},
	} {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(validConfig, c.from, c.to, 1)
			_, err := Parse("x", []byte(text))
			var findings ValidationError
			if !errors.As(err, &findings) || !strings.Contains(err.Error(), c.want) {
				t.Errorf("Parse returned %v, want findings with %q", err, c.want)
			}
		})
	}
	_, err := Parse("x", []byte(strings.NewReplacer(`"payoff": 1`, `"payoff": []`, `"dir": "t"`, `"dirt": 3`, `"750ms"`, `true`).Replace(validConfig)))
	var findings ValidationError
	if !errors.As(err, &findings) || len(findings) != 3 {
		t.Errorf("Parse returned %v, want three findings", err)
	}
	if _, err := Load("no/such/file"); !errors.Is(err, ErrUnreadable) {
		t.Errorf("Load returned %v for a missing file, want ErrUnreadable", err)
	}
}

// The example configuration is valid, although it leaves out keys that have a default.
func TestParseExample(t *testing.T) {
	text, err := os.ReadFile("../examples/porthub.json")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Parse("example", text); err != nil {
		t.Error(err)
	}
}
