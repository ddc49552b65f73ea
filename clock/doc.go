// Package clock provides the time to running coordinators, and lets tests set it.
//
// A [Clock] is passed to whatever waits or reads the time. [New] returns that of the machine, which never goes back; tests
// pass their own. The packages that decide something don't use it: they are given the time with each call.
package clock
