package healthcheck

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"porthub/policyapi"
)

// startChecker returns a Checker whose endpoint ids are URLs, and a channel with its results.
func startChecker(t *testing.T, maxConcurrent int) (*Checker, <-chan policyapi.HealthCheckResult) {
	t.Helper()
	results := make(chan policyapi.HealthCheckResult, 2*maxQueuedChecks)
	checker := New(Options{
		Timeout:       time.Second,
		MaxConcurrent: maxConcurrent,
		URL:           func(id policyapi.EndpointID) (string, bool) { return string(id), id != "" },
		Metrics: func(response *http.Response) policyapi.LoadMetrics {
			body, _ := io.ReadAll(response.Body)
			return policyapi.LoadMetrics{"bytes": float64(len(body))}
		},
	}, func(r policyapi.HealthCheckResult) { results <- r })
	t.Cleanup(checker.Close)
	return checker, results
}

func TestResultOfAResponse(t *testing.T) {
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		status, _ := strconv.Atoi(strings.TrimPrefix(request.URL.Path, "/"))
		w.WriteHeader(status)
		_, _ = io.WriteString(w, strings.Repeat("x", 2*MaxBodyBytes))
	}))
	t.Cleanup(endpoint.Close)
	checker, results := startChecker(t, 1)
	for status, want := range map[int]string{200: "Ok", 299: "Ok", 404: "Failed", 500: "Failed", 503: "QueueFull"} {
		checker.Check(policyapi.EndpointID(endpoint.URL + "/" + strconv.Itoa(status)))
		result := <-results
		if result.Code != want || result.Healthy != (want == "Ok") || result.Metrics["bytes"] != MaxBodyBytes {
			t.Errorf("status %d: result is %+v, want code %s and a body limited to MaxBodyBytes", status, result, want)
		}
	}
}

func TestResultWithoutAResponse(t *testing.T) {
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	hanging := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() }))
	t.Cleanup(hanging.Close)
	resetting := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	t.Cleanup(resetting.Close)
	for _, c := range []struct{ name, url, want string }{
		{"no address", "", "Failed"},
		{"refused", closed.URL, "ConnectError"},
		{"timed out", hanging.URL, "TimedOut"},
		{"reset", resetting.URL, "ResetByPeer"},
	} {
		t.Run(c.name, func(t *testing.T) {
			checker, results := startChecker(t, 1)
			checker.Check(policyapi.EndpointID(c.url))
			if result := <-results; result.Healthy || result.Code != c.want || string(result.Endpoint) != c.url {
				t.Errorf("result is %+v, want code %s and not healthy", result, c.want)
			}
		})
	}
}

// When the queue is full, further checks are reported immediately and not run.
func TestFullQueue(t *testing.T) {
	checker, results := startChecker(t, 0) // no workers, so queued checks stay in the queue
	for range maxQueuedChecks {
		checker.Check("queued")
	}
	checker.Check("rejected")
	if result := <-results; result.Endpoint != "rejected" || result.Code != "QueueFull" || result.Healthy {
		t.Errorf("result is %+v, want code QueueFull for the rejected check", result)
	}
}
