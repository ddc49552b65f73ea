// Package chaos stages fault-injection scenarios on loopback and checks the operating rules from outside.
//
// A [Scenario] describes an emulated fleet and the [Fault]s that are injected into it. [Run] runs it against a coordinator in a
// process of its own and judges the rules by package audit. [RunLoadReports] has thousands of light gateways report while
// faults are injected, and [RunPolls] measures how quickly many waiting polls are woken. Package emulator provides the fleet.
package chaos
