package emulator

import "time"

// Fault describes how an endpoint misbehaves. The zero value is a healthy endpoint.
type Fault struct {
	Hang            bool    // accepts requests and health checks but responds to none
	ResponseLoss    float64 // fraction of the responses that are lost
	FailClass       string  // request class that fails; empty: none
	FailureRate     float64 // fraction of the requests of FailClass that fail
	FailWithError   bool    // failing requests get an error response; otherwise they get no response
	Slowdown        float64 // factor by which execution takes longer; values below 1 have no effect
	ConnectionShare float64 // fraction of MaxConnections that is accepted; 0: all
}

// SetFault applies a change to the endpoint's fault.
func (e *Endpoint) SetFault(change func(*Fault)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(&e.fault)
}

// Pause suspends the endpoint for a duration, as a long garbage collection would: no request proceeds.
func (e *Endpoint) Pause(d time.Duration) {
	resumed := make(chan struct{})
	e.mu.Lock()
	e.resumed = resumed
	e.mu.Unlock()
	time.AfterFunc(d, func() { close(resumed) })
}
