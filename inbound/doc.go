// Package inbound bounds the bytes that a server holds for its peers. A [Budget] limits the total of all connections, and a [Buffer]
// holds the received bytes of one connection that are not a complete message yet.
//
// When the total exceeds the limit, the connections that have held the most bytes for the longest time are closed: a client that
// stops in the middle of a message loses its connection to one that sends messages completely, and one that has never completed a message
// to one that has.
//
// The package does no I/O and starts no goroutines. A [Budget] is safe for concurrent use; an [Account] or [Buffer] belongs to the event loop of its connection.
package inbound
