// Package config reads and validates the configuration file of a coordinator and the expectation files beside it. Both
// are JSON with comments and trailing commas.
//
// Reading never stops at the first problem: the error is a ValidationError, which lists every problem with its file,
// line and key and what would be right.
package config
