// Package xdspoll delivers routing tables to gateways by xDS over HTTP long polls: in the REST form (DiscoveryRequest and
// DiscoveryResponse) for complete documents, and in the incremental form (DeltaDiscoveryRequest and
// DeltaDiscoveryResponse) for single endpoints and routes.
//
// A Hub has each gateway's last publication and a few before it. It answers a poll that names an older version at once,
// and a poll that names the current one when something new is published. It does not decide what is published or when; that is up
// to the core, as for files.
//
// [Hub.Publish] records a publication, [Hub.Poll] takes a [Request] and answers it by a callback. A Hub is safe for concurrent
// use, opens no sockets, and bounds the polls that wait. Package daemon has the HTTP side, package client the gateway's.
package xdspoll
