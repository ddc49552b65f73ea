// Package eureka reads the endpoint list from a Eureka registry with its REST operations. It can also maintain a registration
// of its own there. Bodies are JSON or XML, whichever the registry is configured to send. Package membership decides what
// follows from the status of an instance.
//
// A [Client] polls one registry. Its Run method works in the caller's goroutine until the context ends and delivers each
// result or error with a callback. Fetch and Stats are safe for concurrent use. A [Cache] applies snapshots and deltas
// without I/O and is not safe for concurrent use. The error for a response that cannot be used wraps [ErrInvalidResponse].
package eureka
