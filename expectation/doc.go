// Package expectation proves without traffic what operators expect of routing: for a fleet that is given or drawn, a
// course of events, and assertions that must hold for every gateway, request class and moment. Expectations are written
// in a file beside the configuration; see docs/expectations.md.
//
// It runs the coordinator's core as a library on simulated time. There are no sockets, and thousands of drawn cases take
// seconds. The package is pure.
//
// Its fleet is no performance model: endpoints serve what they can of what is sent to them and report their utilization,
// which is all that the assertions need. How good a decision is for customers is for the benchmark and for package chaos
// to say.
package expectation
