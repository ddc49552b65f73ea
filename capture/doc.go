// Package capture records what goes into a coordinator's core and what comes out of it, so that a production incident
// can be replayed to the same decisions and explained afterward.
//
// A [Writer] appends records to a directory of segments without ever blocking the caller. A [Reader] iterates over such
// a directory and reports damaged and missing parts. [Replay] runs a capture through the core of this build and compares
// the orders, and [Explain] reports why an endpoint received traffic at a given time. The on-disk format is described in
// docs/capture-format.md.
//
// A Writer has its own goroutine, which ends with Close, and is safe for concurrent use; a Reader is not. Damaged blocks are
// skipped and listed in the Reader's Damages. A record that this build can't decode is an error that wraps [ErrFormat].
package capture
