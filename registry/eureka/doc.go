// Package eureka reads the endpoint list from a Eureka registry by its REST operations, and can keep an instance of its
// own registered there. Bodies are JSON or XML, as the registry answers. What follows from an instance's state is
// decided by package membership.
package eureka
