// Package expectation checks operators' expectations of routing without traffic. An expectation describes a fleet, whose
// size is fixed or drawn at random, a sequence of events, and assertions that must hold for every gateway and request class
// at all times. Expectations are written in a file beside the configuration; see docs/expectations.md.
//
// The package runs the coordinator's core as a library on simulated time. It uses no sockets, and thousands of drawn cases
// take seconds. The package is pure: it does no I/O.
//
// The simulated fleet is not a performance model: endpoints serve requests up to their capacity and report their
// utilization, which is all that the assertions need. The benchmark and package chaos measure how good decisions are for
// customers.
package expectation
