package coordinator

import (
	"math"

	"porthub/policyapi"
	"porthub/routing"
)

// queueTarget is the fraction of the queue limit that routine changes may fill; changes that close an endpoint may exceed it.
const queueTarget = 0.85

// messageWindowSlack is added to the window of the message limit: files are written shortly after the Publish, so two messages
// may be closer together at the gateway than they were here.
const messageWindowSlack = second / 2

// messageBudget returns the limit on messages to one gateway that follows from the rules.
func (c *Core) messageBudget() routing.Budget {
	rules := c.settings.Start.Rules
	return routing.Budget{MaxMessages: rules.MessageLimit, Window: rules.MessageWindow + messageWindowSlack}
}

// availableLines returns how many lines a message may have now without exceeding the queue target. A message that exceeds it by
// itself is sent when nothing else is in flight.
func (c *Core) availableLines() int {
	limit := c.settings.Start.Rules.QueueLimit
	if limit <= 0 || c.gateways.linesInFlight < 1 {
		return math.MaxInt
	}
	return int(queueTarget*limit - c.gateways.linesInFlight - c.settings.Start.Channel.MessageOverhead)
}

// publish offers a gateway its snapshot. Whether a message is sent now depends on the last snapshot that was sent, the gateway's
// message budget and the lines in flight. ackID is the module's request for an acknowledgement of the snapshot, or
// routing.NoAckID.
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

// mayPublishUnordered reports whether a message that the decision module has not ordered may be sent to a gateway now. Half of
// the gateway's messages and three quarters of the queue are reserved for the module's orders, which rely on them.
func (c *Core) mayPublishUnordered(g *gateway) bool {
	rules := c.settings.Start.Rules
	if rules.MessageLimit > 0 && g.delivery.UsedMessages(c.now) >= rules.MessageLimit/2 {
		return false
	}
	return c.gateways.linesInFlight < rules.QueueLimit/4
}
