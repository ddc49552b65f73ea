// Package eureka emulates a registry that speaks Eureka's REST operations on loopback, with faults on demand. It is made
// for chaos scenarios and tests and shares no code with the client that it tests.
package eureka
