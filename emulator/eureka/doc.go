// Package eureka emulates a registry that serves Eureka's REST operations on loopback, with faults that can be injected. It
// is for chaos scenarios and tests, and shares no code with the client under test.
package eureka
