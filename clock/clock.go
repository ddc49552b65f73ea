// Package clock is where running coordinators have their time from.
package clock

import (
	"time"

	"porthub/policyapi"
)

// Clock gives a host its time, in microseconds since 1970.
type Clock interface {
	Now() policyapi.Microseconds
	// After sends once the length has passed.
	After(d policyapi.Microseconds) <-chan time.Time
}

// wallClock starts at the wall's time and then follows the monotonic clock, so that a wall clock that is set anew
// moves nothing.
type wallClock struct{ start time.Time }

// New is the machine's clock.
func New() Clock { return wallClock{time.Now()} }

func (c wallClock) Now() policyapi.Microseconds {
	return policyapi.Microseconds(c.start.UnixMicro() + time.Since(c.start).Microseconds())
}

func (c wallClock) After(d policyapi.Microseconds) <-chan time.Time {
	return time.After(time.Duration(d) * time.Microsecond)
}
