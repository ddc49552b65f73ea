package daemon

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"porthub/capture"
	"porthub/coordinator"
	"porthub/loadreport"
	"porthub/policyapi"
	"porthub/xdsfile"
	"porthub/xdspoll"
)

// Status is the state of a running coordinator, the response to GET /tables.
type Status struct {
	coordinator.Status
	FileDelivery xdsfile.Stats `json:"front"`
	PollDelivery xdspoll.Stats `json:"poll"`
	StepTimes    Latencies     `json:"step_us"` // durations of core steps
	// Capture holds the counts of the capture's writer; nil if captures are off.
	Capture *capture.Stats `json:"capture,omitempty"`
}

// SamplingStatus is the response to GET /intake: how much of the load reports is used, and the estimates
// based on them.
type SamplingStatus struct {
	Now           policyapi.Microseconds         `json:"now_us"`
	Sampling      loadreport.Stats               `json:"intake"`
	Deferred      int64                          `json:"deferred"` // reports that were deferred with 429
	MailboxLength int                            `json:"inbox"`    // items that wait in the mailbox's normal lane
	StepTimes     Latencies                      `json:"step_us"`
	Endpoints     []coordinator.EndpointEstimate `json:"nodes"`
}

// Latencies summarizes a histogram of durations, in microseconds.
type Latencies struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P99   int64 `json:"p99"`
	Max   int64 `json:"most"`
}

func latencies(h *hdrhistogram.Histogram) Latencies {
	return Latencies{Count: h.TotalCount(), P50: h.ValueAtQuantile(50), P99: h.ValueAtQuantile(99), Max: h.Max()}
}

// encodeResponse returns the JSON of a response.
func encodeResponse(response any) []byte {
	text, err := json.Marshal(response)
	if err != nil {
		return fmt.Appendf(nil, `{"error": %q}`, err)
	}
	return text
}

// The functions below run in the loop that owns the core.

func (d *Daemon) statusResponse(c *coordinator.Core) []byte {
	return encodeResponse(Status{
		Status:       c.Status(),
		FileDelivery: d.files.Stats(),
		PollDelivery: d.polls.Stats(),
		StepTimes:    latencies(d.stepTimes),
		Capture:      d.recorder.stats(),
	})
}

func (d *Daemon) samplingResponse(c *coordinator.Core) []byte {
	stats, endpoints := c.Estimates()
	return encodeResponse(SamplingStatus{
		Now:           c.Now(),
		Sampling:      stats,
		Deferred:      d.server.deferredReports.Load(),
		MailboxLength: d.mailbox.Len(),
		StepTimes:     latencies(d.stepTimes),
		Endpoints:     endpoints,
	})
}

// overviewCache holds the last overview, which is sent until it expires: with thousands of gateways, making an overview takes a
// considerable part of a step.
type overviewCache struct {
	text      []byte
	expiresAt time.Time
}

func (d *Daemon) overviewResponse(c *coordinator.Core) []byte {
	began := time.Now()
	if began.Before(d.overview.expiresAt) {
		return d.overview.text
	}
	d.overview.text = encodeResponse(coordinator.LoggedOverview{Overview: c.Overview(), Log: d.logTail})
	d.overview.expiresAt = began.Add(duration(loadreport.OverviewInterval(microsecondsSince(began))))
	return d.overview.text
}
