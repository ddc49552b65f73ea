// Package xds converts routing tables, acknowledgements and load reports to published xDS v3 messages and back. The
// message types are Envoy's, from github.com/envoyproxy/go-control-plane; texts are protobuf JSON.
//
//   - Clusters are ClusterLoadAssignment resources, one for each request class, named by the class. Localities are
//     zones, load_balancing_weight is an endpoint's weight times WeightScale, DRAINING is a withheld endpoint.
//   - Routes are one RouteConfiguration with a route for each class: the header x-request-kind selects it, retry_policy
//     is the retry policy, a local rate limit in the route's own filter settings is an admitted rate, a runtime fraction
//     an admitted share.
//   - Acknowledgements are DiscoveryRequest messages, load reports are LoadStatsRequest messages.
//
// The package is pure: it opens no sockets and starts no goroutines.
//
// A message that breaks the protocol is an error that wraps [ErrInvalidMessage] and names the field.
package xds
