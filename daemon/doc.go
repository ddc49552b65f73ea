// Package daemon runs a coordinator process. It connects the core (package coordinator) to sockets, files and clocks, and makes
// no decisions itself. Gateways and tools send HTTP/1.1 requests, which gnet event loops read. One goroutine owns the core and
// steps it with the inputs that have arrived. Files, health checks, registries and saved state are handled by other goroutines,
// which never block the core.
//
// All queues and buffers are bounded: a connection's buffers by the maximum request size, those of all connections together by fractions
// of the configured memory (package inbound), the mailbox by its capacity (a request
// is rejected with 503 and may be retried if its lane is full, or if another goroutine takes its place in the lane at the same
// moment), the publications to a gateway by one pending publication, and health checks by the number of concurrent checks.
//
// The files by concern:
//
//   - daemon.go, settings.go: the Daemon and its settings; loop.go: the loop that owns the core and carries out its outputs
//   - server.go, connection.go: the listener and the reading of requests; exchange.go, links.go: the handling of requests, and
//     which connection is a gateway's link
//   - control.go, levels.go, endpoints.go, status.go: the control API
//   - statestore.go, snapshotfile.go, restore.go: the state saved for the next start; recorder.go: captures; trace.go: spans
package daemon
