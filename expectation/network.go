package expectation

import (
	"cmp"
	"slices"

	"porthub/coordinator"
	"porthub/policyapi"
	"porthub/routing"
)

// network delivers publications to gateways and acknowledgements to the core, each after the fleet's latency.
type network struct {
	lastConn    coordinator.ConnID
	deliveries  []delivery
	queuedLines float64 // unacknowledged lines of all gateways
}

// delivery is a message in flight. Either publish or ack is set.
type delivery struct {
	at      policyapi.Microseconds
	gateway int // index in simulation.gateways
	publish *coordinator.Publish
	ack     *coordinator.DocumentAck
}

// send sends a publication to its gateway.
func (s *simulation) send(p coordinator.Publish) {
	i := s.gatewayIndex[p.Gateway]
	g := s.gateways[i]
	lines := float64(routing.ChangeCost(g.link.published, p.Snapshot)) + s.settings.Start.Channel.MessageOverhead
	g.link.unacknowledged = append(g.link.unacknowledged, sentMessage{version: p.Version, lines: lines})
	s.network.queuedLines += lines
	g.link.published = p.Snapshot
	g.link.sentAt = append(g.link.sentAt, s.now)
	s.evaluator.evaluateMessageCount(g)
	s.network.deliveries = append(s.network.deliveries, delivery{at: s.now + s.expectation.Fleet.Latency, gateway: i, publish: &p})
}

// deliver delivers the messages that are due. Messages to and from disconnected gateways are lost.
func (s *simulation) deliver() {
	slices.SortStableFunc(s.network.deliveries, func(a, b delivery) int { return cmp.Compare(a.at, b.at) })
	n := 0
	for ; n < len(s.network.deliveries) && s.network.deliveries[n].at <= s.now; n++ {
		d := s.network.deliveries[n]
		g := s.gateways[d.gateway]
		switch {
		case g.link.disconnected:
		case d.ack != nil:
			s.inputs = append(s.inputs, *d.ack)
			s.acknowledge(g, d.ack.Version)
		default:
			s.receive(g, d)
		}
	}
	s.network.deliveries = slices.Delete(s.network.deliveries, 0, n)
}

// receive applies a publication and acknowledges each of its documents.
func (s *simulation) receive(g *gateway, d delivery) {
	s.applyTables(g, d.publish.Snapshot)
	for document, changed := range d.publish.Changed {
		if !changed {
			continue
		}
		ack := &coordinator.DocumentAck{
			Gateway:  g.name,
			Conn:     g.link.conn,
			Document: coordinator.Document(document),
			Version:  d.publish.Version,
			Nonce:    d.publish.Nonce,
		}
		s.network.deliveries = append(s.network.deliveries, delivery{at: s.now + s.expectation.Fleet.Latency, gateway: d.gateway, ack: ack})
	}
}

// acknowledge removes a message and those sent before it from the unacknowledged messages.
func (s *simulation) acknowledge(g *gateway, version string) {
	for i, message := range g.link.unacknowledged {
		if message.version != version {
			continue
		}
		for _, acknowledged := range g.link.unacknowledged[:i+1] {
			s.network.queuedLines -= acknowledged.lines
		}
		g.link.unacknowledged = g.link.unacknowledged[i+1:]
		return
	}
}

// dropUnacknowledged discards the unacknowledged messages to a gateway whose connection has ended.
func (s *simulation) dropUnacknowledged(g *gateway) {
	for _, message := range g.link.unacknowledged {
		s.network.queuedLines -= message.lines
	}
	g.link.unacknowledged = nil
}
