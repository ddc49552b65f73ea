// Package recovery decides which part of a snapshot a coordinator uses after a restart, and for how long.
//
// Endpoints with their status and start times apply until the first fresh endpoint list. Ejections and the demand of
// gateways are restored only up to the age MaxEjectionAge or MaxDemandAge. Pins and operators' drains apply until an
// operator removes them. The package is pure: snapshots and times are passed in, and the restored state is returned.
// docs/recovery.md gives the reasons for each limit.
package recovery
