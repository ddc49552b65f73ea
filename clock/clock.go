package clock

import (
	"time"

	"porthub/policyapi"
)

// Clock provides the time. Implementations are safe for concurrent use.
type Clock interface {
	// Now returns the time in microseconds since 1970.
	Now() policyapi.Microseconds
	// After returns a channel that receives a value once the duration in microseconds has passed.
	After(d policyapi.Microseconds) <-chan time.Time
}

// systemClock starts at the time of the wall clock and advances with the monotonic clock: setting the wall clock has no effect.
type systemClock struct{ start time.Time }

// New returns a Clock that starts at the current time of the machine.
func New() Clock { return systemClock{time.Now()} }

func (c systemClock) Now() policyapi.Microseconds {
	return policyapi.Microseconds(c.start.UnixMicro() + time.Since(c.start).Microseconds())
}

func (c systemClock) After(d policyapi.Microseconds) <-chan time.Time {
	return time.After(time.Duration(d) * time.Microsecond)
}
