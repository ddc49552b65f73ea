// Package emulator has small calculation endpoints, gateways and clients that serve real bytes in real time on loopback,
// and the faults that can be injected into them. They take the place of a fleet in chaos scenarios and tests, and decide
// nothing that the product decides.
//
// Everything of one run shares a [World]: its clock, its seed and the audit's log. An [Endpoint], a [Gateway] and a
// [Client] each serve or send real requests. A [LightEndpoint] and a [LightGateway] only count what they would send, so
// that thousands fit into a process; tables, acknowledgements and reports pass over sockets for them too.
package emulator
