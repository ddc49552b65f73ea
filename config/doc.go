// Package config reads and validates the configuration file of a coordinator and the expectation files beside it. Both
// are JSON with comments and trailing commas.
//
// Reading does not stop at the first problem: the error is a [ValidationError], which lists every problem with its file, line
// and key, and how to correct it.
//
// [Load] reads a configuration file, and [LoadSuite] a file of expectations. [Config] has the sections of the configuration, and
// [Default] returns the values of keys that are left out. If a file can't be opened or read, the error wraps [ErrUnreadable]. The
// keys are part of the program's interface: a Go field may be renamed, but its key may not. A Config is a plain value without
// goroutines or locks.
package config
