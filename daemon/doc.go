// Package daemon runs a coordinator: sockets, files and clocks around the core (package coordinator), and no decision of its
// own. Gateways and tools speak HTTP/1.1 to gnet event loops; one goroutine owns the core and steps it with the inputs that
// have arrived; files, health checks, registries and saved state have goroutines of their own and never hold it up.
//
// Everything that waits is bounded: a connection's buffer by the largest request, the mailbox by its length (what does not fit
// is rejected with 503 and may be sent again), a gateway's publications by one that waits, health checks by their number.
//
// The files by concern:
//
//   - daemon.go, settings.go: what a daemon is made of; loop.go: the loop that owns the core, and its outputs
//   - server.go, connection.go: the listener, and how requests are read; exchange.go, links.go: what they ask for, and which
//     connection is a gateway's link
//   - control.go, levels.go, endpoints.go, status.go: the control API
//   - statestore.go, snapshotfile.go, restore.go: state for the next start; recorder.go: captures; trace.go: spans
package daemon
