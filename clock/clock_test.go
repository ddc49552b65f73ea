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
		t.Errorf("clock read %d, then %d after a wait of 2000 µs; want at least the wall clock's %d, then at least 2000 and at most "+
			"10000000 more", first, second, before)
	}
}
