// Package xdspoll delivers routing tables to gateways by xDS over HTTP long polls: in the REST form (DiscoveryRequest and
// DiscoveryResponse) for complete documents, and in the incremental form (DeltaDiscoveryRequest and
// DeltaDiscoveryResponse) for single endpoints and routes.
//
// A [Hub] keeps each gateway's last publication and a few earlier ones. It responds at once to a poll that names an older
// version, and to a poll that names the current version when something new is published. The coordinator's core decides
// what is published and when, as it does for files.
//
// [Hub.Publish] records a publication. [Hub.Poll] takes a [Request] and responds to it through a callback. A Hub is safe for
// concurrent use, opens no sockets, and limits the number of pending polls. The HTTP server is in package daemon, the client
// of gateways in package client.
package xdspoll
