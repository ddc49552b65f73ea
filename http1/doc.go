// Package http1 parses HTTP/1.1 requests of limited size from a buffer and encodes responses. It is for event loops, in which
// the server of net/http cannot be used.
//
// [ParseRequest] parses the request at the start of a buffer, and a [Parser] one that arrives in pieces. [EncodeResponse] returns the
// bytes of a response. The package does no I/O: a stream gives the same requests in whatever pieces it arrives.
package http1
