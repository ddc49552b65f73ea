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
	// MaxBodyBytes is the maximum number of bytes of a response's body that are read. Load reports have about a hundred.
	MaxBodyBytes = 1 << 16
	// maxQueuedChecks is the maximum number of checks that wait for a worker.
	maxQueuedChecks = 1024
)

// The codes of results, as package policy expects them.
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
	Timeout       time.Duration // timeout of one check
	MaxConcurrent int           // maximum number of concurrent checks, each of which holds a file descriptor
	// URL returns the URL at which an endpoint is checked, or false if the endpoint has no address.
	URL func(policyapi.EndpointID) (string, bool)
	// Metrics reads the load metrics from a response, whose body ends after at most MaxBodyBytes.
	Metrics func(*http.Response) policyapi.LoadMetrics
}

// Checker runs health checks. The numbers of concurrent and of queued checks are bounded.
type Checker struct {
	options Options
	report  func(policyapi.HealthCheckResult)
	queue   chan policyapi.EndpointID
	http    *http.Client
	cancel  context.CancelFunc
}

// New starts a Checker. It calls report once for each check, concurrently from several goroutines.
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
		go c.work(ctx) // Close ends it
	}
	return c
}

// Close stops the Checker. The results of queued checks are not reported.
func (c *Checker) Close() { c.cancel() }

// Check queues a check of an endpoint. It never blocks: if too many checks are queued, it reports the code QueueFull instead.
func (c *Checker) Check(id policyapi.EndpointID) {
	select {
	case c.queue <- id:
	default:
		go c.report(policyapi.HealthCheckResult{Endpoint: id, Code: codeQueueFull}) // report may block
	}
}

// work runs queued checks until the context ends.
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

// check checks an endpoint and returns the result.
func (c *Checker) check(ctx context.Context, id policyapi.EndpointID) policyapi.HealthCheckResult {
	start := time.Now()
	result := policyapi.HealthCheckResult{Endpoint: id}
	url, hasAddress := c.options.URL(id)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil || !hasAddress {
		result.Code = codeFailed
		return result
	}
	response, err := c.http.Do(request)
	result.Duration = policyapi.Microseconds(time.Since(start).Microseconds())
	if err != nil {
		result.Code = codeOfError(err)
		return result
	}
	defer func() { _ = response.Body.Close() }()
	response.Body = limitBody(response.Body)
	result.Metrics = c.options.Metrics(response)
	_, _ = io.Copy(io.Discard, response.Body)
	result.Code = codeOfStatus(response.StatusCode)
	result.Healthy = result.Code == codeOK
	return result
}

// limitBody returns a body that ends after at most MaxBodyBytes.
func limitBody(body io.ReadCloser) io.ReadCloser {
	return struct {
		io.Reader
		io.Closer
	}{io.LimitReader(body, MaxBodyBytes), body}
}

// codeOfStatus returns the code of a check whose response has the given HTTP status.
func codeOfStatus(status int) string {
	switch {
	case status < http.StatusMultipleChoices:
		return codeOK
	case status == http.StatusServiceUnavailable:
		return codeQueueFull
	default:
		return codeFailed
	}
}

// codeOfError returns the code of a check that failed with an error before a response arrived.
func codeOfError(err error) string {
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
