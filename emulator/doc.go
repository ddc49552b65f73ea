// Package emulator has small calc nodes, gateways and clients that serve real bytes in real time on loopback, and a
// table of the troubles that befall them. They stand in for a fleet in drills and tests; they decide nothing that the
// product decides.
package emulator
