// Package eureka reads the endpoint list from a Eureka registry by its REST operations, and can keep an instance of its
// own registered there. Bodies are JSON or XML, as the registry is configured to respond. What follows from an instance's state is
// decided by package membership.
//
// A [Client] polls one registry: Run works in the caller's goroutine until the context ends and delivers each result, or
// error, by a callback; Fetch and Stats are safe for concurrent use. A [Cache] applies snapshots and deltas without I/O and
// belongs to one goroutine. A response that can't be used is an error that wraps [ErrInvalidResponse].
package eureka
