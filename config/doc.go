// Package config reads and validates the configuration file of a coordinator and the expectation files beside it. Both
// are JSON with comments and trailing commas.
//
// Reading never stops at the first problem: the error is a ValidationError, which lists every problem with its file,
// line and key and what would be right.
//
// [Load] reads a configuration file, [LoadSuite] a file of expectations; [Config] has the sections, [Default] the values of keys
// that are left out. A file that can't be read at all is an error that wraps [ErrUnreadable]. The keys are part of the product's
// interface: a Go field may be renamed, its key may not. A Config is a plain value without goroutines or locks.
package config
