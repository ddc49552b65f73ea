// Package healthcheck checks endpoints by one HTTP GET each, and reads an endpoint's load metrics from the response.
//
// [New] starts a [Checker] with a fixed number of workers; [Checker.Check] queues an endpoint and never waits. The results
// are reported by a callback that is called from several goroutines at once. [Checker.Close] must be called: it ends the
// workers. Which endpoints are checked, and what follows from a result, is decided elsewhere (package policy).
package healthcheck
