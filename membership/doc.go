// Package membership decides which endpoints belong to the fleet when the sources of evidence disagree: registries, a file,
// the answers that gateways get, and operators' drains. Each source may be late or wrong.
//
// A Membership does no I/O and reads no clock: Apply, ReportTraffic and Drain take what a source reports together with the
// time, and Step returns the endpoint list. Decisions returns the decision for each endpoint together with its evidence. A
// Membership is not safe for concurrent use. The entry points for readers are Step in membership.go and decide in
// evaluate.go. docs/membership.md states the rules and when they could do harm.
package membership
