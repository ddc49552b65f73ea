// Package membership decides which endpoints belong to the fleet when its sources disagree: registries, a file, the
// answers that gateways get, and operators' drains, each of them late and each possibly wrong.
//
// A Membership is pure: what a source reports is passed in with its time (Apply, ReportTraffic, Drain), and Step returns
// the endpoint list. Decisions returns the decision for each endpoint together with its evidence. A Membership is not safe
// for concurrent use. Start reading with Step in membership.go, then decide in evaluate.go.
// docs/membership.md states the rules and when they could do harm.
package membership
