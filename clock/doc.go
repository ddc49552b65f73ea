// Package clock provides the time to running coordinators and allows tests to control it.
//
// A [Clock] is passed to code that reads the time or waits. [New] returns the clock of the machine, which never goes back. Tests
// pass their own implementation. Packages that make decisions without I/O do not use it: they take the time as an argument.
package clock
