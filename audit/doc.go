// Package audit checks the five operating rules against what was observed from outside: which requests gateways sent,
// what arrived and was executed at endpoints, which files gateways read and acknowledged, and what the endpoint list
// said. It never consults the coordinator.
//
// Emulators and scenarios report their observations to a [Log]; [Log.Evaluate] judges the rules by it.
package audit
