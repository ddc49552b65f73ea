package clock

import (
	"time"

	"porthub/policyapi"
)

// Clock provides the time. Implementations are safe for concurrent use.
type Clock interface {
	// Now returns the time in microseconds since 1970.
	Now() policyapi.Microseconds
	// After returns a channel on which the time is sent once the duration has passed.
	After(d policyapi.Microseconds) <-chan time.Time
}

// wallClock starts at the wall clock's time and follows the monotonic clock from there: setting the wall clock has no effect.
type wallClock struct{ start time.Time }

// New returns the machine's clock.
func New() Clock { return wallClock{time.Now()} }

func (c wallClock) Now() policyapi.Microseconds {
	return policyapi.Microseconds(c.start.UnixMicro() + time.Since(c.start).Microseconds())
}

func (c wallClock) After(d policyapi.Microseconds) <-chan time.Time {
	return time.After(time.Duration(d) * time.Microsecond)
}
