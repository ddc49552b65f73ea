package config

import (
	"strings"
	"testing"
)

const validSuite = `{
  "expect": [
    {"name": "calm", "cases": 2, "length": "10s",
     "fleet": {"nodes": [9, 12], "gateways": [6], "load": [0.4]},
     "course": [{"at": "2s", "what": "lose", "zone": "a", "part": 0.5}],
     "that": [
       {"never_without": "5s", "kind": "view"},
       {"nodes_at_least": 2},
       {"halls_at_least": 1}]}]}`

// Each invalid expectation file is rejected with a message of its own that names the line.
func TestParseSuiteRejectsInvalidFiles(t *testing.T) {
	cfg := Default()
	cfg.Zones = []string{"a", "b"}
	cfg.Classes = []RequestClass{{Name: "view"}, {Name: "save"}}
	cfg.Degradation.Levels = []DegradationLevel{{Name: "tight"}}
	if _, err := ParseSuite("s.json", []byte(validSuite), cfg); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, want string }{
		{`"what": "lose"`, `"what": "loose"`, `s.json:5: expect: the event's action is "loose", it must be one of lose, drain`},
		{`"zone": "a"`, `"zone": "x"`, `s.json:5: expect: the event's zone is "x", it must be one of [a b]`},
		{`"part": 0.5`, `"part": 1.5`, `the event's part of the endpoints or gateways is 1.5, it must be from 0 to 1`},
		{`"at": "2s"`, `"at": "20s"`, `the event's time is 20.0 s, it must be from 0 s to the length`},
		{`"what": "lose"`, `"what": "fail", "kind": "x"`, `the event's request class is "x", it must be one of [view save]`},
		{`"what": "lose"`, `"what": "load"`, `the event's size, the multiple of the load, is 0, it must be above 0`},
		{`"kind": "view"`, `"kind": "vew"`, `s.json:7: expect: the assertion's request class is "vew", it must be one of [view save]`},
		{`"never_without": "5s"`, `"never_without": "5s", "nodes_at_least": 1`, `the assertion has 2 conditions, it must have exactly one`},
		{`{"nodes_at_least": 2}`, `{"kind": "save"}`, `s.json:8: expect: the assertion has 0 conditions, it must have exactly one`},
		{`"halls_at_least": 1`, `"halls_at_least": 3`, `the assertion expects at least 3 zones, the configuration has only 2`},
		{`"halls_at_least": 1`, `"nodes_at_most": 1`, `at least 2 endpoints (line 8) and at most 1 endpoints (line 9) can't both hold`},
		{`"halls_at_least": 1`, `"entered": "x"`, `the assertion's level is "x", it must be one of [tight]`},
		{`{"halls_at_least": 1}`, `{"entered": "tight", "from": "3s"}, {"not_entered": "tight"}`, `level tight entered (line 9) and level tight not entered (line 9)`},
		{`"halls_at_least": 1`, `"halls_at_least": 1, "from": "5s", "to": "4s"`, `the assertion applies from 5.0 to 4.0 s, to must be later than from`},
		{`"name": "calm"`, `"name": ""`, `the name "" is empty`},
		{`"length": "10s"`, `"length": "1s"`, `calm lasts 1 s`},
		{`"nodes": [9, 12]`, `"nodes": [12, 9]`, `its fleet is`},
		{`"gateways": [6]`, `"gateways": [0]`, `its fleet is`},
		{`"load": [0.4]`, `"load": 0.4`, `expect[0].fleet.load: is 0.4, it must be a list`},
		{`"cases": 2`, `"case": 2`, `did you mean cases?`},
		{`"never_without": "5s"`, `"never_without": 5`, `it must be a time with its unit`},
		{`"that": [`, `"that": [], "thats": [`, `is not known`},
		{`{"never_without": "5s", "kind": "view"},`, ``, ``}, // leaves a valid file
	} {
		t.Run(c.new+" for "+c.old, func(t *testing.T) {
			_, err := ParseSuite("s.json", []byte(strings.Replace(validSuite, c.old, c.new, 1)), cfg)
			if c.want == "" {
				if err != nil {
					t.Error(err)
				}
				return
			}
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("ParseSuite returned %v, want %q", err, c.want)
			}
		})
	}
}

// Levels that can't be left, would oscillate, or have invalid bounds are rejected, with the line of the level.
func TestParseRejectsInvalidLevels(t *testing.T) {
	text := func(level string) []byte {
		return []byte(`{
  "coordinator": {"zone": "a"}, "zones": ["a"], "front": {"files": {"dir": "d"}}, "registry": {"file": {"path": "p"}},
  "request_kinds": [{"name": "view", "repeat": "replayable", "response_target": "1s", "client_timeout": "2s", "payoff": 1}],
  "service": {"levels": [
    ` + level + `]}}`)
	}
	if _, err := Parse("c.json", text(`{"name": "tight", "enter": {"load": 1}, "leave": {"load": 0.8}}`)); err != nil {
		t.Fatal(err)
	}
	for level, want := range map[string]string{
		`{"name": "tight", "enter": {"load": 1}, "leave": {"load": 0}}`:                                              `c.json:5: service.levels[0].leave.load: 0 is never reached in normal operation`,
		`{"name": "tight", "enter": {"load": 1}, "leave": {"load": 1}}`:                                              `would oscillate`,
		`{"name": "tight", "enter": {"load": 1}, "leave": {"load": 0.8}, "kinds": [{"name": "x"}]}`:                  `"x" is not a request class`,
		`{"name": "tight", "enter": {"load": 1}, "leave": {"load": 0.8}, "kinds": [{"name": "view", "share": 0.5}]}`: `part of what can be served would be rejected`,
		`{"name": "tight", "enter": {"load": 1}, "leave": {"load": 0.8}, "leave_held": "1s"}`:                        `below two report periods`,
	} {
		if _, err := Parse("c.json", text(level)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: Parse returned %v, want %q", level, err, want)
		}
	}
}
