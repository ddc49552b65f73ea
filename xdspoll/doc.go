// Package xdspoll delivers routing tables to gateways by xDS over HTTP long polls: in the REST form (DiscoveryRequest and
// DiscoveryResponse) for complete documents, and in the incremental form (DeltaDiscoveryRequest and
// DeltaDiscoveryResponse) for single endpoints and routes.
//
// A Hub has each gateway's last publication and a few before it. It answers a poll with an older version at once, and
// a poll with the current one when something new is published. It does not decide what is published or when; that is up
// to the core, as for files.
package xdspoll
