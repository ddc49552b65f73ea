// Package recovery decides which part of a snapshot a coordinator uses after a restart, and for how long.
//
// A snapshot ages: endpoints, drains and start times apply until the first fresh endpoint list, ejections and gateway
// demand only for MaxEjectionAge and MaxDemandAge, pins until an operator removes them. The package is pure: snapshots
// and times are passed in, and the restored state comes out. docs/recovery.md gives the reasons for each limit.
package recovery
