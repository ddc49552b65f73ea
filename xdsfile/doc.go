// Package xdsfile delivers routing tables to gateways by the xDS v3 filesystem subscription: each gateway has a directory
// with a DiscoveryResponse for each resource type.
//
//	DIR/GATEWAY/eds.json   ClusterLoadAssignment, one resource for each request class
//	DIR/GATEWAY/rds.json   RouteConfiguration
//
// Endpoints are written before routes. A reader that opens a file gets one complete document, even if the writer is
// killed: the text is written to a hidden file in the same directory, which is then renamed over the old one.
//
// A [Publisher] queues publications and writes them with a fixed number of goroutines, which Close stops. It is safe for
// concurrent use. Publish never waits for the disk, and writes that fail are retried.
package xdsfile
