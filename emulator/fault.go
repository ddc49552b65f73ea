package emulator

import "time"

// Fault is a state of an endpoint that makes it fail or slow. The zero value is that of a healthy one.
type Fault struct {
	Hang            bool    // it accepts requests and responds to none
	ResponseLoss    float64 // part of the responses that never arrive
	FailClass       string  // requests of this class fail ...
	FailureRate     float64 // ... by this part, and the others don't
	FailWithError   bool    // with an error response; otherwise without a response
	Slowdown        float64 // work takes so many times longer; 0: as usual
	ConnectionShare float64 // part of its connections that it accepts; 0: all
}

// SetFault replaces the endpoint's fault.
func (e *Endpoint) SetFault(change func(*Fault)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(&e.fault)
}

// Pause suspends the endpoint for a while, as a long garbage collection would: no request proceeds.
func (e *Endpoint) Pause(d time.Duration) {
	resumed := make(chan struct{})
	e.mu.Lock()
	e.resumed = resumed
	e.mu.Unlock()
	time.AfterFunc(d, func() { close(resumed) })
}
