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

// never is a time that does not come.
const never microseconds = 1 << 62

// A gateway that does not acknowledge is expelled for twice as long each time, from expulsionBase times two up to
// maxExpulsion.
const (
	expulsionBase         = second
	maxExpulsionDoublings = 6
	maxExpulsion          = 60 * second
)

// checkGateways finds gateways that are silent, that do not acknowledge, that may join again, and that a document has to go
// to again.
//
// With thousands of gateways a check of each took most of a step: none is checked before the first of them is due.
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

// checkGateway does what is due about a connected gateway.
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

// republishDue tells whether a joined gateway is to be published to though no order concerns it: its documents are to be sent
// again, the list has changed, or a message had to wait for its turn.
func (c *Core) republishDue(g *gateway) bool {
	if g.delivery.StartRetry(c.now) || c.listCheckDue(g) {
		return true
	}
	dueAt, waiting := g.delivery.DueAt()
	return waiting && c.now >= dueAt
}

// expelGateway disconnects a gateway from the decision module, though its connection stays open: it reports but acknowledges
// nothing, and its unacknowledged lines would hold everyone's orders back. It joins again later each time, so that it costs
// only itself.
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

// nextGatewayCheck is when checkGateway next has something to do about a gateway as it is now.
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

// updateGateway brings what is kept about a gateway beside its state up to date. Whatever changes when it needs a check, or
// whether it is dirty, calls it.
func (c *Core) updateGateway(g *gateway) {
	c.updateLinesInFlight(g)
	c.gateways.nextCheckAt = min(c.gateways.nextCheckAt, c.nextGatewayCheck(g))
	if g.publishPending || g.listCheckAt > 0 || g.delivery.Invalidated() {
		c.gateways.dirty[g.proxy] = true
	} else {
		delete(c.gateways.dirty, g.proxy)
	}
}

// updateLinesInFlight keeps the sums of lines in flight, each message with its overhead.
func (c *Core) updateLinesInFlight(g *gateway) {
	lines := 0.0
	for _, m := range g.delivery.Unacknowledged() {
		lines += float64(m.Lines) + c.settings.Start.Channel.MessageOverhead
	}
	c.gateways.linesInFlight += lines - g.linesInFlight
	g.linesInFlight = lines
}

// markPending has the snapshots of some gateways compared with what they hold.
func (c *Core) markPending(which func(*gateway) bool) {
	for _, g := range c.gateways.inOrder {
		if which(g) {
			g.publishPending = true
			c.updateGateway(g)
		}
	}
}

// listCheckDue tells whether it is time to check a gateway's documents against the list. The decision module takes drained
// endpoints out by itself; what it has not reached by then, an old table or an expelled gateway, is withheld here.
func (c *Core) listCheckDue(g *gateway) bool { return g.listCheckAt > 0 && c.now >= g.listCheckAt }
