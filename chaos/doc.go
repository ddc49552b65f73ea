// Package chaos stages a bad day on loopback: stand-in calc nodes, gateways and clients in this process, a coordinator
// in a process of its own so that it can be killed outright, troubles by a timeline, and an audit of the five rules
// from what passed over the sockets.
package chaos
