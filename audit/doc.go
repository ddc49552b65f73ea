// Package audit checks the five operating rules against observations from outside the coordinator: the requests that
// gateways sent, the work that arrived and was executed at endpoints, the files that gateways read and acknowledged, and the
// contents of the endpoint list. It uses no information from the coordinator.
//
// Emulators and scenarios report their observations to a [Log]. [Log.Evaluate] returns the verdicts.
package audit
