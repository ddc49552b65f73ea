package healthcheck

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"porthub/httpclient"
	"porthub/policyapi"
)

const (
	// MaxBodyBytes is how much of a response's body is read: load reports have a hundred bytes or so.
	MaxBodyBytes = 1 << 16
	// maxQueuedChecks bounds the checks that wait for a worker.
	maxQueuedChecks = 1024
)

// Codes of results, as the decision module knows them.
const (
	codeOK           = "Ok"
	codeFailed       = "Failed"
	codeQueueFull    = "QueueFull"
	codeTimedOut     = "TimedOut"
	codeConnectError = "ConnectError"
	codeReset        = "ResetByPeer"
)

// Options configure a Checker.
type Options struct {
	Timeout       time.Duration // of a check
	MaxConcurrent int           // each check holds a descriptor
	// URL returns where an endpoint is checked; false if it has no address.
	URL func(policyapi.EndpointID) (string, bool)
	// Metrics reads the load figures of a response, whose body ends after MaxBodyBytes.
	Metrics func(*http.Response) policyapi.LoadMetrics
}

// Checker runs health checks, a bounded number at once with a bounded number waiting.
type Checker struct {
	options Options
	report  func(policyapi.HealthCheckResult)
	queue   chan policyapi.EndpointID
	http    *http.Client
	cancel  context.CancelFunc
}

// New starts a Checker. It calls report once for each check, from several goroutines.
func New(options Options, report func(policyapi.HealthCheckResult)) *Checker {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Checker{
		options: options,
		report:  report,
		queue:   make(chan policyapi.EndpointID, maxQueuedChecks),
		http:    &http.Client{Timeout: options.Timeout, Transport: httpclient.Transport()},
		cancel:  cancel,
	}
	for range options.MaxConcurrent {
		go c.work(ctx) // ends with Close
	}
	return c
}

// Close ends the Checker. Checks that wait are not reported any more.
func (c *Checker) Close() { c.cancel() }

// Check requests a check of an endpoint. It does not wait: if too many checks are queued, the result has the code QueueFull.
func (c *Checker) Check(id policyapi.EndpointID) {
	select {
	case c.queue <- id:
	default:
		go c.report(policyapi.HealthCheckResult{Endpoint: id, Code: codeQueueFull}) // report may wait for its receiver
	}
}

// work runs checks until the context ends.
func (c *Checker) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case id := <-c.queue:
			c.report(c.check(ctx, id))
		}
	}
}

func (c *Checker) check(ctx context.Context, id policyapi.EndpointID) policyapi.HealthCheckResult {
	start := time.Now()
	result := policyapi.HealthCheckResult{Endpoint: id}
	url, has := c.options.URL(id)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil || !has {
		result.Code = codeFailed
		return result
	}
	response, err := c.http.Do(request)
	result.Duration = policyapi.Microseconds(time.Since(start).Microseconds())
	if err != nil {
		result.Code = errorCode(err)
		return result
	}
	defer func() { _ = response.Body.Close() }()
	response.Body = limitBody(response.Body)
	result.Metrics = c.options.Metrics(response)
	_, _ = io.Copy(io.Discard, response.Body)
	result.Code = statusCode(response.StatusCode)
	result.Healthy = result.Code == codeOK
	return result
}

// limitBody ends a body after MaxBodyBytes.
func limitBody(body io.ReadCloser) io.ReadCloser {
	return struct {
		io.Reader
		io.Closer
	}{io.LimitReader(body, MaxBodyBytes), body}
}

// statusCode returns the code of a response.
func statusCode(status int) string {
	switch {
	case status < http.StatusMultipleChoices:
		return codeOK
	case status == http.StatusServiceUnavailable:
		return codeQueueFull
	default:
		return codeFailed
	}
}

// errorCode returns the code of a check without a response.
func errorCode(err error) string {
	var netErr net.Error
	switch {
	case errors.As(err, &netErr) && netErr.Timeout():
		return codeTimedOut
	case errors.Is(err, syscall.ECONNREFUSED):
		return codeConnectError
	default:
		return codeReset
	}
}
