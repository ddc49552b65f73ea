// Package chaos runs fault-injection scenarios on loopback and audits the operating rules from observed traffic.
//
// A [Scenario] describes an emulated fleet and the [Fault]s that are injected into it. [Run] runs it against a coordinator in
// a separate process and has package audit evaluate the rules. [RunLoadReports] has thousands of lightweight gateways report their
// load while faults are injected, and [RunPolls] measures how quickly a drain reaches many gateways through long polls.
// Package emulator provides the fleet.
package chaos
