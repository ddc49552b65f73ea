package policy

import (
	"testing"

	"porthub/policyapi"
)

// newFastChannel returns a channel of known throughput.
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

// connectCrowd connects proxies to a channel and plans them to be in group 0.
func connectCrowd(c *channel, plan targetState, now micros, first, count policyapi.ProxyID) {
	for p := first; p < first+count; p++ {
		c.handleEvent(now, policyapi.ProxyConnected{Proxy: p})
		plan.proxyGroups[p] = 0
	}
}

// A crowd of new proxies fills the queue only as far as keeps the channel busy until acknowledgements arrive. The others wait
// for their turn, and a drain that comes then waits behind one window, not behind the tables of all.
//
// On a simulated day (seed 88117 of herd+mass) tables were ordered until the queue was full to eight tenths, nine seconds of the
// channel: all that followed, removals of drained endpoints among it, took that long to arrive.
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
		t.Errorf("%.0f lines wait, the window has %.0f", queued, c.windowLines())
	}
	bound := c.boundCount()
	if bound == 2400 || bound == 400 {
		t.Fatalf("%d proxies are bound", bound)
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
		t.Errorf("the removal went to %d of 400 proxies", sent)
	}
	if queued := c.queuedLines(now); queued > removalWindows*c.windowLines() {
		t.Errorf("%.0f lines wait after the removal", queued)
	}
}

// Acknowledgements do not come, as from a channel that is much slower than stated: changes that the rules require use more
// than the window once they have waited for a part of the grace period, and never more than their share of the limit.
func TestRequiredChangesLeaveTheWindowInTime(t *testing.T) {
	c := newFastChannel()
	plan := newPlan(1, 54)
	connectCrowd(c, plan, 0, 0, 2000)
	c.deliverPlan(0, plan)
	within := c.boundCount()
	c.deliverPlan(c.drainGracePeriod/windowGraceDivisor, plan)
	if bound := c.boundCount(); bound != within {
		t.Errorf("%d are bound, %d within the window", bound, within)
	}
	now := c.drainGracePeriod/windowGraceDivisor + second/10
	c.deliverPlan(now, plan)
	if bound := c.boundCount(); bound < 2*within {
		t.Errorf("%d are bound, %d within the window", bound, within)
	}
	if queued := c.queuedLines(now); queued > bindShare*c.queueLimit {
		t.Errorf("%.0f lines wait, of %.0f", queued, c.queueLimit)
	}
}
