package main

import (
	"errors"
	"fmt"
	"testing"

	"porthub/config"
	"porthub/daemon"
)

// Scripts rely on the exit code for each type of error, also if it is wrapped.
func TestExitCodeFollowsErrorType(t *testing.T) {
	for name, c := range map[string]struct {
		err  error
		want int
	}{
		"none":                {nil, exitOK},
		"failed check":        {errCheckFailed, exitCheckFailed},
		"wrapped failed":      {fmt.Errorf("%w: %w", errCheckFailed, errors.New("cause")), exitCheckFailed},
		"findings":            {config.ValidationError{{Key: "zones"}}, exitCheckFailed},
		"wrapped findings":    {fmt.Errorf("suite: %w", config.ValidationError{{Key: "zones"}}), exitCheckFailed},
		"environment":         {daemon.ErrEnvironment, exitEnvironment},
		"wrapped environment": {fmt.Errorf("%w: port in use", daemon.ErrEnvironment), exitEnvironment},
		"unreadable file":     {config.ErrUnreadable, exitUsage},
		"usage":               {errors.New("unknown flag"), exitUsage},
	} {
		t.Run(name, func(t *testing.T) {
			if got := exitCode(c.err); got != c.want {
				t.Errorf("exit code %d, want %d", got, c.want)
			}
		})
	}
}
