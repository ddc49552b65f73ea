// Package resp parses and encodes RESP2 arrays of bulk strings, within limits. No other part of RESP2 is used on the
// platform: no inline commands, no nested arrays, no other types.
//
// [Parse] takes a message from the front of a buffer, [Append] encodes one. The package is pure and keeps no state: the same
// bytes give the same messages however they were split on the way. Parsed words share memory with the buffer.
package resp
