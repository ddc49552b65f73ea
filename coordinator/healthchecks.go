package coordinator

import (
	"slices"

	"porthub/degradation"
	"porthub/policyapi"
)

// healthCheckQueue holds back health checks that exceed the rate allowed by the fleet's level of service.
type healthCheckQueue struct {
	pending []policyapi.EndpointID
	nextAt  microseconds // earliest time of the next health check
}

// healthCheckRate returns how many health checks per second the fleet's level allows; 0 means no limit.
func (d *degradationState) healthCheckRate() float64 {
	bounds, _ := d.bounds(degradation.FleetScope)
	return bounds.MaxHealthChecks
}

// checkHealth emits a health check, or queues it while a level limits their rate. No health check is dropped, and no endpoint is
// queued twice.
func (c *Core) checkHealth(endpoint policyapi.EndpointID) {
	d := c.degradation
	if d == nil || d.healthCheckRate() == 0 && len(d.healthChecks.pending) == 0 {
		c.outbox.emit(CheckHealth{endpoint})
		return
	}
	if queue := &d.healthChecks; !slices.Contains(queue.pending, endpoint) {
		queue.pending = append(queue.pending, endpoint)
	}
	c.releaseHealthChecks()
}

// releaseHealthChecks emits the queued health checks that are due.
func (c *Core) releaseHealthChecks() {
	if c.degradation == nil {
		return
	}
	rate := c.degradation.healthCheckRate()
	queue := &c.degradation.healthChecks
	for len(queue.pending) > 0 && (rate == 0 || c.now >= queue.nextAt) {
		c.outbox.emit(CheckHealth{queue.pending[0]})
		queue.pending = queue.pending[1:]
		if rate > 0 {
			queue.nextAt = c.now + microseconds(float64(second)/rate)
		}
	}
}
