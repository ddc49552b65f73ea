// Package proxyproto implements the protocol of the operators' platform between a coordinator and its proxies and collectors. It
// decodes and validates incoming messages into events of package policyapi, and encodes orders of the decision module as one
// message for each proxy's stream. It also reads the coordinator's configuration and discovery's endpoint lists.
//
// Start with [Session], which turns messages into events, and [Publisher], which turns orders into messages; [Validator] contains
// the names that messages may use. [ReadConfig] and [ReadEndpointList] decode JSON.
//
// The package does no I/O: its functions and types convert bytes to values and values to bytes. Its types are not safe for
// concurrent use. Its limits come from the protocol, the settings or the configuration; decisions about traffic are left to the
// decision module.
//
// A message that breaks the protocol is reported as an error that wraps [ErrRejected] or [ErrMalformed] and a [*ProtocolError].
package proxyproto
