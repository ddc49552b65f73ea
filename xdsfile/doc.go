// Package xdsfile delivers routing tables to gateways by the xDS v3 filesystem subscription: each gateway has a directory
// with a DiscoveryResponse for each resource type.
//
//	DIR/GATEWAY/eds.json   ClusterLoadAssignment, one resource for each request class
//	DIR/GATEWAY/rds.json   RouteConfiguration
//
// Endpoints are written before routes. Whoever opens a file reads one complete document whatever happens to the writer:
// the text is written to a hidden file in the same directory and renamed over the old one.
//
// A [Publisher] queues publications and writes them with a fixed number of goroutines, which Close ends. It is safe for
// concurrent use, Publish never waits for the disk, and a document that could not be written is written again later.
package xdsfile
