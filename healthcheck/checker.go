// Package healthcheck examines backends by a GET.
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

// Options say how. URL tells where a backend answers, or that it has no place; Loads reads the figures of an answer whose
// body is cut after BodyMost bytes.
type Options struct {
	Timeout       time.Duration
	MaxConcurrent int
	URL           func(policyapi.EndpointID) (string, bool)
	Metrics       func(*http.Response) policyapi.LoadMetrics
}

// MaxBodyBytes is what is read of an answer's body: load reports have a hundred bytes or so.
const MaxBodyBytes = 1 << 16

// Checker examines so many at once, with so many waiting.
type Checker struct {
	options Options
	report  func(policyapi.HealthCheckResult)
	queue   chan policyapi.EndpointID
	http    *http.Client
	cancel  context.CancelFunc
}

// New starts a prober; it tells of each probe once.
func New(options Options, report func(policyapi.HealthCheckResult)) *Checker {
	ctx, end := context.WithCancel(context.Background())
	p := &Checker{options: options, report: report, queue: make(chan policyapi.EndpointID, 1024), cancel: end,
		http: &http.Client{Timeout: options.Timeout, Transport: httpclient.Transport()}}
	for range options.MaxConcurrent {
		go p.work(ctx)
	}
	return p
}

// Close ends it; what waits is told no more.
func (p *Checker) Close() { p.cancel() }

// Check asks for one.
func (p *Checker) Check(b policyapi.EndpointID) {
	select {
	case p.queue <- b:
	default:
		go p.report(policyapi.HealthCheckResult{Endpoint: b, Code: "QueueFull"})
	}
}

func (p *Checker) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case b := <-p.queue:
			p.report(p.check(ctx, b))
		}
	}
}

func (p *Checker) check(ctx context.Context, b policyapi.EndpointID) policyapi.HealthCheckResult {
	start := time.Now()
	found := policyapi.HealthCheckResult{Endpoint: b}
	url, has := p.options.URL(b)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil || !has {
		found.Code = "Failed"
		return found
	}
	res, err := p.http.Do(req)
	found.Duration = policyapi.Microseconds(time.Since(start).Microseconds())
	if err != nil {
		found.Code = errorCode(err)
		return found
	}
	defer res.Body.Close()
	res.Body = struct {
		io.Reader
		io.Closer
	}{io.LimitReader(res.Body, MaxBodyBytes), res.Body}
	found.Metrics = p.options.Metrics(res)
	_, _ = io.Copy(io.Discard, res.Body)
	switch {
	case res.StatusCode < 300:
		found.Healthy, found.Code = true, "Ok"
	case res.StatusCode == http.StatusServiceUnavailable:
		found.Code = "QueueFull"
	default:
		found.Code = "Failed"
	}
	return found
}

func errorCode(err error) string {
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		return "TimedOut"
	case errors.Is(err, syscall.ECONNREFUSED):
		return "ConnectError"
	default:
		return "ResetByPeer"
	}
}
