package policy

import (
	"testing"

	"porthub/policyapi"
)

// testGrace is a drain grace period within which the channel can send a full queue of these tests.
const testGrace = 11 * second

// newPlan returns a target state of some groups, each with the same endpoints, all of weight 1.
func newPlan(groups, endpoints int) targetState {
	plan := targetState{tables: map[groupID][]tablePlan{}, proxyGroups: map[policyapi.ProxyID]groupID{}, ready: map[policyapi.EndpointID]bool{}}
	for b := range endpoints {
		plan.ready[policyapi.EndpointID(rune('A'+b))] = true
	}
	for g := range groupID(groups) {
		plan.tables[g] = []tablePlan{{level: unlimitedLevel}}
		for b := range endpoints {
			plan.tables[g][0].lines = append(plan.tables[g][0].lines, tableLine{policyapi.EndpointID(rune('A' + b)), 1})
		}
	}
	return plan
}

// lines returns the lines of a group's only table.
func (s targetState) lines(g groupID) []tableLine { return s.tables[g][0].lines }

// withdrawEndpoints removes the first endpoints from a group's table, as if they drained, and multiplies the weights of the
// others.
func (s targetState) withdrawEndpoints(g groupID, endpoints int, weight float64) {
	for _, l := range s.lines(g)[:endpoints] {
		delete(s.ready, l.endpoint)
	}
	var rest []tableLine
	for _, l := range s.lines(g)[endpoints:] {
		rest = append(rest, tableLine{l.endpoint, weight * l.weight})
	}
	s.tables[g] = []tablePlan{{lines: rest, level: unlimitedLevel}}
}

func (c *channel) deliverPlan(now micros, plan targetState) { c.receive(now, plan) }

// newTestChannel returns a channel with the given limits and common values for the other settings.
func newTestChannel(limits deliverySettings) (*channel, *outbox) {
	limits.messageOverhead = 6
	limits.messageWindow = 10 * second
	limits.reportPeriod = second
	limits.classSets = []policyapi.ClassSet{7}
	out := &outbox{}
	return newChannel(out, limits), out
}

// newBoundChannel returns a channel with some proxies bound to a table of a hundred endpoints. All messages are
// acknowledged.
func newBoundChannel(t *testing.T, proxies int) (*channel, *outbox, targetState) {
	t.Helper()
	c, out := newTestChannel(deliverySettings{queueLimit: 60000, messageLimit: 20, drainGracePeriod: testGrace})
	plan := newPlan(1, 100)
	for p := range proxies {
		c.handleEvent(0, policyapi.ProxyConnected{Proxy: policyapi.ProxyID(p)})
		plan.proxyGroups[policyapi.ProxyID(p)] = 0
	}
	for at := micros(0); c.boundCount() < proxies; at += second / 10 {
		c.deliverPlan(at, plan)
		c.acknowledgeAll()
		if at > 100*second {
			t.Fatal("some proxies are still not bound after 100 s")
		}
	}
	out.orders = nil
	return c, out, plan
}

// boundCount returns the number of proxies that are bound to a replica.
func (c *channel) boundCount() (n int) {
	for _, s := range c.streams {
		if s.replica != nil {
			n++
		}
	}
	return n
}

// acknowledgeAll acknowledges all messages at time 0, so that no latency is recorded.
func (c *channel) acknowledgeAll() {
	for p, s := range c.streams {
		for len(s.unacknowledged) > 0 {
			c.handleEvent(0, policyapi.Acknowledged{Proxy: p, AckID: s.unacknowledged[len(s.unacknowledged)-1].ackID})
		}
	}
}

// removals returns the number of lines that the orders remove.
func (o *outbox) removals() (n int) {
	for _, order := range o.orders {
		if l, is := order.(policyapi.SetWeight); is && l.Weight == 0 {
			n++
		}
	}
	return n
}
