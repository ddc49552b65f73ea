package main

import (
	"errors"

	"porthub/config"
	"porthub/daemon"
)

// Exit codes, for scripts.
const (
	exitOK          = 0
	exitCheckFailed = 1 // the command ran and a check failed
	exitUsage       = 2 // bad usage or unreadable input
	exitEnvironment = 3 // the machine failed: a port taken, a disk full
)

// errCheckFailed ends a command that has printed its findings already.
var errCheckFailed = errors.New("a check failed")

// exitCode returns the exit code that follows from an error's type.
func exitCode(err error) int {
	var findings config.ValidationError
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, errCheckFailed), errors.As(err, &findings):
		return exitCheckFailed
	case errors.Is(err, daemon.ErrEnvironment):
		return exitEnvironment
	default:
		return exitUsage
	}
}
