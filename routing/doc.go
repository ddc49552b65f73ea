// Package routing models the configuration of gateways: its versions, its delivery, and its acknowledgement.
//
// A Snapshot is the complete configuration of one gateway: for each request class a cluster of weighted endpoints and a
// route with its admission rate and retry policy. A Delivery tracks which snapshots are in flight to one gateway and decides
// when the next message may be sent within its message budget. A VersionStore stores the versions of all routing tables and
// the pins that operators set on them.
//
// The package is pure: times and values are passed in, and it neither sends messages nor writes files. Neither a Delivery nor a
// VersionStore is safe for concurrent use. Start reading with [Delivery.Offer] and [VersionStore.Effective]. docs/versions.md
// gives the reasons for the rules and the measured costs.
package routing
