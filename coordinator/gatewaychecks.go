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

// checkGateways handles gateways that are silent, that do not acknowledge, that can join again, or that a document must be
// sent to again.
//
// No gateway is checked before the first of them is due: with thousands of gateways the checks would take most of a step.
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

// checkGateway carries out the check of one connected gateway.
func (c *Core) checkGateway(g *gateway) []policyapi.Event {
	if silence := c.now - g.lastMessageAt; silence > c.settings.SilenceTimeout {
		c.warn(eventGatewaySilent, g.name, "no message for %.1f s: it is disconnected", seconds(silence))
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

// republishDue reports whether a joined gateway's snapshot must be offered again without an order: its documents are due to be
// sent again, the list has changed, or a message was deferred.
func (c *Core) republishDue(g *gateway) bool {
	if g.delivery.StartRetry(c.now) || c.listCheckDue(g) {
		return true
	}
	dueAt, waiting := g.delivery.DueAt()
	return waiting && c.now >= dueAt
}

// expelGateway disconnects a gateway from the decision module while its connection stays open: the gateway acknowledges nothing,
// and its unacknowledged lines would delay the orders to all others. It joins again after a longer time with each expulsion.
func (c *Core) expelGateway(g *gateway, oldest routing.Message) []policyapi.Event {
	g.expulsions++
	pause := min(expulsionBase<<min(g.expulsions, maxExpulsionDoublings), maxExpulsion)
	g.joinAfter = c.now + pause
	c.warn(eventAckTimeout, g.name, "version %s not acknowledged for %.1f s: it is disconnected for %.0f s", oldest.Version,
		seconds(c.now-oldest.SentAt), seconds(pause))
	events := c.disconnectGateway(g)
	g.connected = true
	return events
}

// nextGatewayCheck is the time from which checkGateway has something to do for a gateway in its present state.
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

// updateGateway updates what gatewaySet derives from a gateway's state: lines in flight, the next check and dirty. Call it after
// any change of that state.
func (c *Core) updateGateway(g *gateway) {
	c.updateLinesInFlight(g)
	c.gateways.nextCheckAt = min(c.gateways.nextCheckAt, c.nextGatewayCheck(g))
	if g.publishPending || g.listCheckAt > 0 || g.delivery.Invalidated() {
		c.gateways.dirty[g.proxy] = true
	} else {
		delete(c.gateways.dirty, g.proxy)
	}
}

// updateLinesInFlight updates the sums of lines in flight, each message with its overhead.
func (c *Core) updateLinesInFlight(g *gateway) {
	lines := 0.0
	for _, m := range g.delivery.Unacknowledged() {
		lines += float64(m.Lines) + c.settings.Start.Channel.MessageOverhead
	}
	c.gateways.linesInFlight += lines - g.linesInFlight
	g.linesInFlight = lines
}

// markPending makes the next step offer some gateways their snapshots again.
func (c *Core) markPending(which func(*gateway) bool) {
	for _, g := range c.gateways.inOrder {
		if which(g) {
			g.publishPending = true
			c.updateGateway(g)
		}
	}
}

// listCheckDue reports whether it is time to check a gateway's documents against the list. The decision module removes drained
// endpoints from its tables; those that are still in an old table, or at an expelled gateway, by then are withheld here.
func (c *Core) listCheckDue(g *gateway) bool { return g.listCheckAt > 0 && c.now >= g.listCheckAt }
