// Package audit checks the five operating rules against what was observed from outside: which requests gateways sent,
// what arrived and was executed at endpoints, which files gateways read and acknowledged, and what was in the
// endpoint list. It never consults the coordinator.
//
// Emulators and scenarios report their observations to a [Log]; [Log.Evaluate] returns the verdicts. A Log is safe for concurrent use; its
// times are since the start of the run.
package audit
