package coordinator

import (
	"porthub/policyapi"
	"porthub/routing"
)

// Bounds on the time between two checks of the gateways.
const (
	maxCheckInterval = 10 * second
	minCheckInterval = second / 1000
)

// never is a time that is never reached.
const never microseconds = 1 << 62

// A gateway that does not acknowledge is expelled for 2*expulsionBase the first time, and for twice as long each further time,
// up to maxExpulsion.
const (
	expulsionBase         = second
	maxExpulsionDoublings = 6
	maxExpulsion          = 60 * second
)

// checkGateways handles gateways that are silent, that do not acknowledge, that can join again, or to which documents must be
// sent again.
//
// It does nothing until a gateway is due: with thousands of gateways, checking all in each step would take most of the step.
func (c *Core) checkGateways() []policyapi.Event {
	if c.now < c.gateways.nextCheckAt {
		return nil
	}
	var events []policyapi.Event
	for _, g := range c.gateways.inOrder {
		if g.connected {
			events = append(events, c.checkGateway(g)...)
		}
	}
	next := c.now + maxCheckInterval
	for _, g := range c.gateways.inOrder {
		next = min(next, c.nextGatewayCheck(g))
	}
	c.gateways.nextCheckAt = max(next, c.now+minCheckInterval)
	return events
}

// checkGateway checks one connected gateway.
func (c *Core) checkGateway(g *gateway) []policyapi.Event {
	if silence := c.now - g.lastMessageAt; silence > c.settings.SilenceTimeout {
		c.warn(eventGatewaySilent, g.name, "no message for %.1f s: gateway disconnected", seconds(silence))
		c.outbox.emit(CloseConnection{g.conn, "silent"})
		return c.disconnectGateway(g)
	}
	if !g.joined {
		events := c.joinGateway(g)
		if !g.joined && g.bound() && c.listCheckDue(g) {
			events = append(events, c.publish(g, routing.NoAckID)...)
		}
		return events
	}
	if oldest, waiting := g.oldestUnacknowledged(); waiting && c.now-oldest.SentAt > c.ackTimeout() {
		return c.expelGateway(g, oldest)
	}
	if g.bound() && c.republishDue(g) {
		return c.publish(g, routing.NoAckID)
	}
	return nil
}

// republishDue reports whether a joined gateway's snapshot must be offered again without an order, because a retry, a check
// against the endpoint list or a deferred message is due.
func (c *Core) republishDue(g *gateway) bool {
	if g.delivery.StartRetry(c.now) || c.listCheckDue(g) {
		return true
	}
	dueAt, waiting := g.delivery.DueAt()
	return waiting && c.now >= dueAt
}

// expelGateway reports a gateway as disconnected to the decision module while its connection stays open: the gateway acknowledges
// nothing, and its unacknowledged lines would delay the orders to all others. It can join again after a time that grows with each
// consecutive expulsion.
func (c *Core) expelGateway(g *gateway, oldest routing.Message) []policyapi.Event {
	g.expulsions++
	pause := min(expulsionBase<<min(g.expulsions, maxExpulsionDoublings), maxExpulsion)
	g.joinAfter = c.now + pause
	c.warn(eventAckTimeout, g.name, "version %s not acknowledged for %.1f s: gateway expelled for %.0f s", oldest.Version,
		seconds(c.now-oldest.SentAt), seconds(pause))
	events := c.disconnectGateway(g)
	g.connected = true
	return events
}

// nextGatewayCheck returns the time from which checkGateway has something to do for a gateway in its current state.
func (c *Core) nextGatewayCheck(g *gateway) microseconds {
	if !g.connected {
		return never
	}
	next := g.lastMessageAt + c.settings.SilenceTimeout + 1
	if g.bound() && g.listCheckAt > 0 {
		next = min(next, g.listCheckAt)
	}
	if !g.joined {
		return min(next, g.joinAfter)
	}
	if oldest, waiting := g.oldestUnacknowledged(); waiting {
		next = min(next, oldest.SentAt+c.ackTimeout()+1)
	}
	if !g.bound() {
		return next
	}
	if dueAt, waiting := g.delivery.DueAt(); waiting {
		next = min(next, dueAt)
	}
	if retryAt, waiting := g.delivery.RetryAt(); waiting {
		next = min(next, retryAt)
	}
	return next
}

// updateGateway updates the fields of gatewaySet that are derived from a gateway's state: linesInFlight, nextCheckAt and dirty.
// It must be called after any change of that state.
func (c *Core) updateGateway(g *gateway) {
	c.updateLinesInFlight(g)
	c.gateways.nextCheckAt = min(c.gateways.nextCheckAt, c.nextGatewayCheck(g))
	if g.publishPending || g.listCheckAt > 0 || g.delivery.Invalidated() {
		c.gateways.dirty[g.proxy] = true
	} else {
		delete(c.gateways.dirty, g.proxy)
	}
}

// updateLinesInFlight updates the lines in flight to a gateway and their sum. Each message counts with its overhead.
func (c *Core) updateLinesInFlight(g *gateway) {
	lines := 0.0
	for _, m := range g.delivery.Unacknowledged() {
		lines += float64(m.Lines) + c.settings.Start.Channel.MessageOverhead
	}
	c.gateways.linesInFlight += lines - g.linesInFlight
	g.linesInFlight = lines
}

// markPending marks the snapshots of the selected gateways to be offered again.
func (c *Core) markPending(selected func(*gateway) bool) {
	for _, g := range c.gateways.inOrder {
		if selected(g) {
			g.publishPending = true
			c.updateGateway(g)
		}
	}
}

// listCheckDue reports whether it is time to check a gateway's documents against the endpoint list. By then the decision module
// has usually removed draining endpoints from its tables; the check withholds those that are still in an old table or in the
// documents of an expelled gateway.
func (c *Core) listCheckDue(g *gateway) bool { return g.listCheckAt > 0 && c.now >= g.listCheckAt }
