package main

import (
	"errors"

	"porthub/config"
	"porthub/daemon"
)

// Exit codes of all commands.
const (
	exitOK          = 0
	exitCheckFailed = 1 // the command ran and a check failed
	exitUsage       = 2 // bad usage or unreadable input
	exitEnvironment = 3 // failure of the environment: a port in use, a full disk
)

// errCheckFailed is the error of a command that has already printed what failed; nothing more is printed for it.
var errCheckFailed = errors.New("a check failed")

// exitCode returns the exit code for an error, by its type.
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
