// Package emulator provides small endpoints, gateways and clients that exchange HTTP requests in real time on loopback,
// and faults that can be injected into them. They emulate a fleet in chaos scenarios and tests, and make none of porthub's
// own decisions.
//
// All processes of a run share a [World]: its clock, its seed and the audit log. An [Endpoint], a [Gateway] and a
// [Client] serve or send real requests. A [LightEndpoint] and a [LightGateway] only count the requests that they would
// exchange, so that thousands of them fit into one process; their tables, acknowledgements and reports still pass over
// sockets.
package emulator
