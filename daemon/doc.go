// Package daemon runs a coordinator: sockets, files and clocks around the core (package coordinator), and no decision
// of its own. Gateways and tools speak HTTP/1.1 to gnet event loops; one goroutine owns the core and steps it with
// what has come in; files, probes and the node list have goroutines of their own and never hold it up.
//
// Everything that waits is bounded: a connection's buffer by the largest request, the inbox by its length (what does
// not fit is answered 503 and may be sent again), a gateway's publications by one waiting, probes by their number.
package daemon
