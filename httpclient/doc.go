// Package httpclient provides the HTTP transport for outgoing calls of processes in which file descriptors are scarce: a call
// that has ended leaves neither a connection nor a pending dial behind. Health checks and discovery use it.
//
// [Transport] is the entry point. The RoundTripper that it returns is safe for concurrent use, as net/http requires. [WithReadHook]
// makes a call report the bytes that arrive.
package httpclient
