package daemon

import "time"

// failureLimit counts the failed requests of a connection. A client that sends unsound requests at full speed would take the time of
// its event loop from other connections.
type failureLimit struct {
	count      int
	beganAt    time.Time // start of the current period
	isExceeded bool      // more than maxFailures requests have failed within failurePeriod
}

// record records a failed request.
func (f *failureLimit) record(now time.Time) {
	if now.Sub(f.beganAt) > failurePeriod {
		f.beganAt = now
		f.count = 0
	}
	f.count++
	f.isExceeded = f.isExceeded || f.count > maxFailures
}
