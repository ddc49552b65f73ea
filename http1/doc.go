// Package http1 parses HTTP/1.1 requests at the front of a buffer, within limits, and encodes responses, for event loops
// that net/http's server does not fit.
//
// [ParseRequest] takes a request from the front of a buffer, [EncodeResponse] makes the bytes of a response. The package is
// pure and keeps no state: the same bytes give the same requests however they were split on the way.
package http1
