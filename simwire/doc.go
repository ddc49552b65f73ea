// Package simwire reads and writes the simulator's text protocol in terms of package policyapi.
//
// A [Reader] returns the batches of events, and a [Writer] writes the orders of a reply. Lines consist of parts separated
// by tabs; the names of messages and parts are those of the simulator's protocol page. [ParseSettings] decodes the settings
// object that starts an instance, which is also part of a live coordinator's configuration.
//
// Readers and Writers are not safe for concurrent use.
package simwire
