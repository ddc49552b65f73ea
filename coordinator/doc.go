// Package coordinator is the core of the control plane. A Core is a state machine: Step takes the time and the inputs that
// have arrived (endpoint updates, connections, load reports, acknowledgements) and returns the outputs that its caller
// carries out (documents to publish, health checks, log entries). It reads no clock, starts no goroutine and does no I/O,
// so a replay of recorded inputs gives the recorded outputs.
//
// A Core owns one instance of the decision module (package policy). It turns inputs into the module's events, keeps the
// tables, bindings and admission levels that the module orders, and derives from them the snapshot that each gateway should
// have (package routing). A snapshot that has changed is sent as a Publish; it is in flight until the gateway has
// acknowledged every document that changed with it.
//
// The files by concern:
//
//   - core.go: Core, its step and deadline; settings.go, timers.go, outbox.go and warnings.go: its parts
//   - inputs.go, outputs.go: the closed sets of inputs and outputs; logevents.go, policylog.go: log entries
//   - endpoints.go, membership.go: which endpoint lists are accepted and when an endpoint has started
//   - gateways.go, gatewaychecks.go: connections, and the periodic checks of gateways
//   - publish.go, acks.go: publications to gateways and their acknowledgements
//   - orders.go, snapshot.go, admission.go: the module's orders, and the snapshot of a gateway that follows from them
//   - reports.go, reportcheck.go, aggregate.go: load reports on their way to the module
//   - solver.go, solverfleet.go, solvertables.go: the inputs of package solver and the use of its solutions
//   - degradation.go, loadsignals.go, overrides.go, healthchecks.go: levels of reduced service (package degradation)
//   - versions.go, recovery.go: pinned tables, and state carried over a restart
//   - status.go, overview.go, logtail.go: documents for operators
//
// One rule overrides the module, the solver, pins and levels: no snapshot offers an endpoint that is draining or ejected, or
// that has been removed, unless the settings leave removed endpoints to the module (snapshot.go, Core.isClosed).
//
// Start reading with Core.Step. A Core is not safe for concurrent use: package daemon owns it from one goroutine.
package coordinator
