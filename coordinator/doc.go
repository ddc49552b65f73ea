// Package coordinator is the core of porthub: inputs with their time go in, outputs come out. It reads no clock,
// starts no goroutine and does no I/O, so a test that feeds it time gets the same orders as a daemon that runs live.
//
// A Core owns one instance of the decision module (package choice). It turns what the outside tells into the module's
// events, keeps the tables, binds and levels that the module ordered, and from them what each gateway is to hold
// (package tables). What goes out is a Publish for each gateway whose state has changed; it counts as on its way until
// the gateway has acknowledged both of its documents.
//
// What the core decides beyond the module, all of it here:
//   - which reports and acknowledgements are believed (reports.go, gateways.go),
//   - when a gateway counts as joined or away (gateways.go),
//   - which node lists are believed and what a node's start time is (list.go),
//   - that nothing that drains, is gone or failed the checks stays open in any document (publish.go).
package coordinator
