// Package resp parses and encodes RESP2 arrays of bulk strings, within limits. No other part of RESP2 is used on the
// platform: no inline commands, no nested arrays, no other types.
//
// [Parse] parses the message at the front of a buffer, [Append] encodes a message. A [Parser] parses a message that arrives in pieces.
// The package does no I/O: the same bytes give the same messages, however the network has split them. Parsed words share memory with
// the buffer.
package resp
