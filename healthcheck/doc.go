// Package healthcheck checks each endpoint with an HTTP GET request and reads the endpoint's load metrics from the response.
//
// [New] starts a [Checker] with a fixed number of workers. [Checker.Check] queues a check and never blocks. The results are
// reported with a callback, which is called concurrently from several goroutines. [Checker.Close] stops the workers and must be
// called. Package policy decides which endpoints are checked and what follows from a result.
package healthcheck
