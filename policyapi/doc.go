// Package policyapi defines the interface between the decision module (package policy) and its hosts: the identifiers,
// the settings that an instance starts with, the events that a host delivers and the orders that the instance returns.
//
// The package contains no decision logic and does no I/O. [Event] and [Order] are closed sets: only the value types of this
// package, and host types that embed one of them, implement them. Hosts and the module switch on the concrete type.
//
// Times and durations are whole microseconds, rates are per second and weights are relative to each other, unless a
// comment says otherwise. The cbor and json keys are part of the format of captures and saved lists: a field may be
// renamed, but its keys must never change.
//
// Start with [Start] and the other events in events.go, then the orders in orders.go.
package policyapi
