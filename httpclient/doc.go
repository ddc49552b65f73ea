// Package httpclient provides the HTTP transport for outgoing calls where descriptors are scarce: a call that has ended
// leaves neither a connection nor a dial behind. Health checks and discovery use it.
//
// [Transport] is all there is. The RoundTripper that it returns is safe for concurrent use, as net/http requires.
package httpclient
