package daemon

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"porthub/config"
	"porthub/xds"
)

// A connection whose requests fail at full speed is closed after maxFailures responses, so that it does not take the time of its event
// loop from others. Failures at a lower rate do not close it.
func TestFloodOfFailingRequestsIsClosed(t *testing.T) {
	r := startTestDaemon(t, nil)
	const failing = "GET /nothing HTTP/1.1\r\nHost: x\r\n\r\n"
	flood := r.dialAndSend(strings.Repeat(failing, 3*maxFailures))
	_ = flood.SetReadDeadline(time.Now().Add(10 * time.Second))
	responses, err := io.ReadAll(flood)
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		t.Fatal("the connection is not closed")
	}
	if answered := bytes.Count(responses, []byte("404 Not Found")); answered > maxFailures+1 {
		t.Errorf("%d requests were answered, want at most %d", answered, maxFailures+1)
	}
	limit := failureLimit{}
	for n := range 10 * maxFailures {
		limit.record(time.Unix(0, 0).Add(time.Duration(n) * 2 * failurePeriod / maxFailures))
	}
	if limit.isExceeded {
		t.Error("the limit is exceeded by failures at half its rate")
	}
}

// The error for a large unsound request quotes only the beginning of it.
func TestErrorTextIsBounded(t *testing.T) {
	r := startTestDaemon(t, nil)
	status, text := r.postText(xds.LoadReportPath, `{"node":{"id":"x"},"cluster_stats":"`+strings.Repeat("é", 100_000)+`"}`)
	if status != http.StatusBadRequest || len(text) > maxReasonBytes+1 || !strings.Contains(text, "LoadStatsRequest") {
		t.Errorf("got status %d and %d bytes %.100q, want 400 and at most %d bytes that name the message", status, len(text), text, maxReasonBytes+1)
	}
}

// A peer that sends more and more requests without waiting for responses is closed, and bodies of all peers that are being processed are
// bounded: a large request beyond that gets 503, a small one is accepted.
func TestRequestsInProcessAreBounded(t *testing.T) {
	r := startTestDaemon(t, nil, func(c *config.Config) { c.Limits.MemoryMB = 256 })
	server := r.daemon.server
	server.bodyBytes.Add(server.maxBodyBytes) // as if other peers' requests were being processed
	if status, _ := r.postText("/nodes/drain", strings.Repeat(" ", smallRequestBytes+1)); status != http.StatusServiceUnavailable {
		t.Errorf("large request: got status %d, want 503", status)
	}
	if status, _ := r.postText("/nodes/drain", strings.Repeat(" ", smallRequestBytes)); status != http.StatusBadRequest {
		t.Errorf("small request: got status %d, want 400 for its empty body", status)
	}
	server.bodyBytes.Add(-server.maxBodyBytes)
	if held := server.bodyBytes.Load(); held != 0 {
		t.Errorf("%d bytes count as being processed after all requests were answered, want 0", held)
	}
	blocked := make(chan struct{})
	unblock := r.blockCore(blocked)
	<-blocked
	ahead := r.dialAndSend("GET /nodes HTTP/1.1\r\nHost: x\r\n\r\n" + strings.Repeat("GET /nodes HTTP/1.1\r\nHost: x\r\n\r\n", 20_000))
	_ = ahead.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := ahead.Read(make([]byte, 1)); err == nil || errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("read from the connection that sent 20,000 requests at once: error %v, want its end", err)
	}
	unblock()
}
