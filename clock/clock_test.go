package clock

import (
	"testing"
	"time"

	"porthub/policyapi"
)

func TestClockFollowsTheWallClock(t *testing.T) {
	before := policyapi.Microseconds(time.Now().UnixMicro())
	c := New()
	first := c.Now()
	<-c.After(2000)
	second := c.Now()
	if first < before || second-first < 2000 || second-first > 10_000_000 {
		t.Errorf("%d, then %d after 2000 µs; the wall clock was at %d", first, second, before)
	}
}
