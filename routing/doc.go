// Package routing models what gateways are given and what they have acknowledged.
//
// A Snapshot is everything that one gateway is given: for each request class a cluster of weighted endpoints and a route
// with its admission rate and retry policy. A Delivery tracks which snapshots are in flight to one gateway and decides
// what may be sent within its message budget. A VersionStore holds the versions of all routing tables and the pins that
// operators set on them.
//
// The package is pure: times and values are passed in, and nothing is sent or stored. Neither a Delivery nor a
// VersionStore is safe for concurrent use. Start reading with Delivery.Offer and VersionStore.Effective. docs/versions.md
// gives the reasons for the rules and the measured costs.
package routing
