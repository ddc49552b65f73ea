// Package expectation holds what operators expect of routing, written down next to the configuration, against the coordinator itself: a
// fleet that is given or drawn, a course of events, and what must hold for every gateway, request kind and moment. It runs
// the coordinator's core as a library with fed time; there are no sockets, and thousands of drawn cases take seconds. It is
// pure.
//
// Its fleet is no simulator: nodes do what they can of what is sent to them and tell their busy share; that is all that the
// expectations need. How good a decision is for customers, the bench and the drills say.
package expectation
