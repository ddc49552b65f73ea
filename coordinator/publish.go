package coordinator

import (
	"math"

	"porthub/policyapi"
	"porthub/routing"
)

// queueTarget is the part of the queue limit that is used; what closes an endpoint goes beyond it.
const queueTarget = 0.85

// messageWindowSlack is added to the window of the message limit: a file is written a little later than it was published.
const messageWindowSlack = second / 2

// messageBudget is what the rules allow of messages to one gateway.
func (c *Core) messageBudget() routing.Budget {
	rules := c.settings.Start.Rules
	return routing.Budget{MaxMessages: rules.MessageLimit, Window: rules.MessageWindow + messageWindowSlack}
}

// availableLines is how many lines a message may have now, so that no more are in flight than the queue holds. A message that
// alone is larger goes when nothing else is in flight.
func (c *Core) availableLines() int {
	limit := c.settings.Start.Rules.QueueLimit
	if limit <= 0 || c.gateways.linesInFlight < 1 {
		return math.MaxInt
	}
	return int(queueTarget*limit - c.gateways.linesInFlight - c.settings.Start.Channel.MessageOverhead)
}

// publish offers a gateway its snapshot; what goes out now depends on what it holds and on its message budget. ackID is the
// module's request for an acknowledgement once the gateway holds it, or routing.NoAckID.
func (c *Core) publish(g *gateway, ackID policyapi.AckID) []policyapi.Event {
	defer c.updateGateway(g)
	snapshot := c.snapshot(g)
	g.listCheckAt = 0
	result, message := g.delivery.Offer(c.now, snapshot, ackID, c.availableLines(), func() bool {
		return routing.IsUrgentChange(g.delivery.Sent(), snapshot, c.isClosed)
	})
	if result != routing.OfferDeferred {
		g.publishPending = false
	}
	switch result {
	case routing.OfferAcknowledged:
		return []policyapi.Event{policyapi.Acknowledged{Proxy: g.proxy, AckID: message.AckID}}
	case routing.OfferSend:
		c.outbox.emit(Publish{
			Gateway:  g.name,
			Version:  message.Version,
			Nonce:    message.Version,
			Snapshot: snapshot,
			Changed:  message.Changed,
			Sync:     c.syncAllowed(),
		})
	}
	return nil
}

// mayPublishUnordered tells whether a message that the decision module does not know of may go to a gateway now: half of its
// messages and three quarters of the queue are left to the module, which counts on them.
func (c *Core) mayPublishUnordered(g *gateway) bool {
	rules := c.settings.Start.Rules
	if rules.MessageLimit > 0 && g.delivery.UsedMessages(c.now) >= rules.MessageLimit/2 {
		return false
	}
	return c.gateways.linesInFlight < rules.QueueLimit/4
}
