package main

import (
	"bytes"
	"strings"
	"testing"
)

func execute(args ...string) (output string, err error) {
	command := root()
	out := &bytes.Buffer{}
	command.SetArgs(args)
	command.SetOut(out)
	command.SetErr(out)
	err = command.Execute()
	return out.String(), err
}

// The former name of the chaos command is still an alias.
func TestDrillIsAnAliasOfChaos(t *testing.T) {
	want, err := execute("chaos", "--list")
	if err != nil || !strings.Contains(want, "only:zone_loss") || !strings.Contains(want, "bad-day") {
		t.Fatalf("chaos --list: error %v, want the scenarios and faults, got\n%s", err, want)
	}
	got, err := execute("drill", "--list")
	if err != nil || got != want {
		t.Errorf("drill --list: error %v, got\n%s\nwant\n%s", err, got, want)
	}
}

func TestChaosRejectsInvalidFlags(t *testing.T) {
	for _, test := range []struct {
		name    string
		args    []string
		message string
	}{
		{"front", []string{"--front", "mail"}, "files, poll or both"},
		{"rule", []string{"--break-rule", "none"}, "it must be one of"},
		{"source", []string{"--source", "dns"}, "file or eureka"},
		{"levels", []string{"--levels", "high"}, "named, plain or off"},
		{"unknown scenario", []string{"no-such-day"}, "no-such-day"},
		{"rule of intake", []string{"intake", "--break-rule", "queue"}, "bare, repeat, drain, cold"},
		{"gateways of intake", []string{"intake", "--gateways", "3"}, "9 to 15000"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := execute(append([]string{"chaos"}, test.args...)...)
			if err == nil || !strings.Contains(err.Error(), test.message) || exitCode(err) != exitUsage {
				t.Errorf("got error %v, want %q and the exit code of a usage error", err, test.message)
			}
		})
	}
}
