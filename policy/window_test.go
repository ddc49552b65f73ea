package policy

import (
	"testing"

	"porthub/policyapi"
)

// newFastChannel returns a channel with a configured throughput of 6700 lines per second.
func newFastChannel() *channel {
	c, _ := newTestChannel(deliverySettings{
		queueLimit:       62400,
		messageLimit:     20,
		drainGracePeriod: testGrace,
		linesPerSecond:   6700,
		maxLatency:       825_000,
	})
	return c
}

// connectCrowd connects proxies to a channel and assigns them to group 0 of the plan.
func connectCrowd(c *channel, plan targetState, now micros, first, count policyapi.ProxyID) {
	for p := first; p < first+count; p++ {
		c.handleEvent(now, policyapi.ProxyConnected{Proxy: p})
		plan.proxyGroups[p] = 0
	}
}

// The tables for a crowd of new proxies fill the queue only so far that the channel is busy until acknowledgements arrive. The
// other proxies wait, so that a later drain waits behind one window and not behind the tables for all proxies.
//
// This guards against a failure in a simulation (seed 88117 of herd+mass): tables were ordered until the queue was full to 0.8
// of its limit, which took the channel nine seconds. All later orders, including the removals of drained endpoints, took that
// long to arrive.
func TestCrowdDoesNotFillQueue(t *testing.T) {
	c := newFastChannel()
	plan := newPlan(1, 54)
	connectCrowd(c, plan, 0, 0, 400)
	now := micros(0)
	for ; c.boundCount() < 400; now += second / 10 {
		c.deliverPlan(now, plan)
		c.acknowledgeAll()
	}
	now += 10 * second
	connectCrowd(c, plan, now, 400, 2000)
	c.deliverPlan(now, plan)
	if queued := c.queuedLines(now); queued > c.windowLines() || queued < c.windowLines()/2 {
		t.Errorf("%.0f lines wait, want at least half of the window of %.0f, and no more than the window", queued, c.windowLines())
	}
	bound := c.boundCount()
	if bound == 2400 || bound == 400 {
		t.Fatalf("%d of 2400 proxies are bound, want more than the first 400, but not all", bound)
	}
	now += 2 * second
	plan.withdrawEndpoints(0, 3, 1)
	c.deliverPlan(now, plan)
	sent := 0
	for p := range policyapi.ProxyID(400) {
		if len(c.streams[p].replica.tables[0].lines) == 51 {
			sent++
		}
	}
	if sent < 100 {
		t.Errorf("the removal was sent to %d of 400 proxies, want at least 100", sent)
	}
	if queued := c.queuedLines(now); queued > removalWindows*c.windowLines() {
		t.Errorf("%.0f lines wait after the removal, want removalWindows windows at most", queued)
	}
}

// If no acknowledgements arrive, as with a channel that is much slower than configured, changes that the rules require may use
// more than the window once they have waited for a part of the grace period, but never more than their share of the limit.
func TestDelayedRequiredChangesExceedWindow(t *testing.T) {
	c := newFastChannel()
	plan := newPlan(1, 54)
	connectCrowd(c, plan, 0, 0, 2000)
	c.deliverPlan(0, plan)
	within := c.boundCount()
	c.deliverPlan(c.drainGracePeriod/windowGraceDivisor, plan)
	if bound := c.boundCount(); bound != within {
		t.Errorf("%d proxies are bound before the wait is over, want the same %d as at first", bound, within)
	}
	now := c.drainGracePeriod/windowGraceDivisor + second/10
	c.deliverPlan(now, plan)
	if bound := c.boundCount(); bound < 2*within {
		t.Errorf("%d proxies are bound after the wait, want at least twice the %d within the window", bound, within)
	}
	if queued := c.queuedLines(now); queued > bindShare*c.queueLimit {
		t.Errorf("%.0f lines wait, want at most the share bindShare of %.0f", queued, c.queueLimit)
	}
}
