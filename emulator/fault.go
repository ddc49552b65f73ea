package emulator

import "time"

// Fault is what is wrong with an endpoint. The zero value is a healthy one.
type Fault struct {
	Hang            bool    // it accepts requests and responds to none
	ResponseLoss    float64 // part of the responses that never arrive
	FailClass       string  // requests of this class fail ...
	FailureRate     float64 // ... by this part, and the others don't
	FailWithError   bool    // by an error; otherwise by silence
	Slowdown        float64 // work takes so many times longer; 0: as usual
	ConnectionShare float64 // part of its connections that it accepts; 0: all
}

// SetFault changes what is wrong with the endpoint.
func (e *Endpoint) SetFault(change func(*Fault)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(&e.fault)
}

// Pause makes the endpoint stand still for a while: no request proceeds.
func (e *Endpoint) Pause(d time.Duration) {
	resumed := make(chan struct{})
	e.mu.Lock()
	e.resumed = resumed
	e.mu.Unlock()
	time.AfterFunc(d, func() { close(resumed) })
}
