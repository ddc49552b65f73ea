// Package xds converts routing tables, acknowledgements and load reports to xDS v3 messages and back. The message types
// are Envoy's, from github.com/envoyproxy/go-control-plane. Messages are encoded as protobuf JSON or in the protobuf wire
// format.
//
//   - Clusters are ClusterLoadAssignment resources, one for each request class and named after it. Localities are zones,
//     load_balancing_weight is an endpoint's weight times WeightScale, and a withheld endpoint has the health status
//     DRAINING.
//   - Routes are in one RouteConfiguration, with one route for each class. A route matches the header x-request-kind and
//     has the retry policy in retry_policy, an admitted rate as a local rate limit in typed_per_filter_config, and an
//     admitted share as the runtime fraction of its match.
//   - Acknowledgements are DiscoveryRequest messages, and load reports are LoadStatsRequest messages.
//
// The package opens no sockets and starts no goroutines.
//
// Errors for invalid messages wrap [ErrInvalidMessage] and name the invalid field or resource.
package xds
