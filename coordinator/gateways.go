package coordinator

import (
	"maps"
	"slices"

	"porthub/policyapi"
	"porthub/routing"
)

// gateway is the state of a gateway that has ever connected.
type gateway struct {
	name  Gateway
	proxy policyapi.ProxyID // its index in gatewaySet.inOrder
	zone  policyapi.Zone

	conn             ConnID
	connected        bool // conn is open
	joined           bool // the decision module counts it as connected
	defaultTableOnly bool // as stated on connecting
	weight           float64
	joinedAt         microseconds
	lastMessageAt    microseconds // of any message
	expulsions       int          // since its last acknowledgement, for not acknowledging
	joinAfter        microseconds // earliest time at which it can join again

	tables   []policyapi.TableID // by request class; unboundTable: none yet
	delivery *routing.Delivery   // what it was sent and has acknowledged
	// publishPending is set when its snapshot may have changed and has not been offered to it since.
	publishPending bool
	linesInFlight  float64
	// listCheckAt is when its documents are checked against the endpoint list; 0: the list has not changed.
	listCheckAt microseconds

	reportSequence uint64 // of its last report on this connection; 0: none yet
	// demand is the requests per second that it receives, by class, smoothed with a factor of a half for each report;
	// empty: not known.
	demand []float64
	// publishedRates are the admission rates last published to it: small changes of them need no message.
	publishedRates map[rateKey]float64
}

const unboundTable policyapi.TableID = -1

func (g *gateway) bound() bool {
	return len(g.tables) > 0 && !slices.Contains(g.tables, unboundTable)
}

// oldestUnacknowledged is when the first of the messages in flight to it was sent, if there is any.
func (g *gateway) oldestUnacknowledged() (routing.Message, bool) {
	messages := g.delivery.Unacknowledged()
	if len(messages) == 0 {
		return routing.Message{}, false
	}
	return messages[0], true
}

// demandOf is the requests per second that it receives of a class; 0 if not known.
func (g *gateway) demandOf(class int) float64 {
	if class >= len(g.demand) {
		return 0
	}
	return g.demand[class]
}

// maxGateways bounds the memory that connections under ever new names can take.
const maxGateways = 60000

// gatewaySet is all gateways that have ever connected.
type gatewaySet struct {
	byName  map[Gateway]*gateway
	inOrder []*gateway // in the order of their first connections, indexed by ProxyID
	// dirty are the gateways that have a publication or check pending without an order.
	dirty map[policyapi.ProxyID]bool
	// nextCheckAt is when the first gateway needs a check.
	nextCheckAt microseconds
	// linesInFlight is the sum over all gateways.
	linesInFlight float64
}

func newGatewaySet() gatewaySet {
	return gatewaySet{byName: map[Gateway]*gateway{}, dirty: map[policyapi.ProxyID]bool{}}
}

func (s *gatewaySet) add(name Gateway, delivery *routing.Delivery) *gateway {
	g := &gateway{name: name, proxy: policyapi.ProxyID(len(s.inOrder)), delivery: delivery}
	s.byName[name] = g
	s.inOrder = append(s.inOrder, g)
	return g
}

// byProxy returns nil for a proxy that is none of the gateways.
func (s *gatewaySet) byProxy(proxy policyapi.ProxyID) *gateway {
	if proxy < 0 || int(proxy) >= len(s.inOrder) {
		return nil
	}
	return s.inOrder[proxy]
}

// sorted returns the gateways in the order of their names.
func (s *gatewaySet) sorted() []*gateway {
	all := make([]*gateway, 0, len(s.byName))
	for _, name := range slices.Sorted(maps.Keys(s.byName)) {
		all = append(all, s.byName[name])
	}
	return all
}

// affected returns the gateways that a change can concern, in the order of their first connections: all, or those that were
// bound to another table and the dirty ones. Between rounds orders concern one gateway or none, and visiting each of
// thousands would take most of the step.
func (s *gatewaySet) affected(all bool, bound map[policyapi.ProxyID]bool) []*gateway {
	if all {
		return s.inOrder
	}
	var some []*gateway
	for _, proxy := range slices.Sorted(maps.Keys(union(bound, s.dirty))) {
		some = append(some, s.inOrder[proxy])
	}
	return some
}

// union returns the keys of both maps.
func union[K comparable, V any](a, b map[K]V) map[K]bool {
	all := map[K]bool{}
	for k := range a {
		all[k] = true
	}
	for k := range b {
		all[k] = true
	}
	return all
}

// handleConnect accepts a connection. A second connection under a gateway's name replaces the first one, which the gateway
// itself has given up.
func (c *Core) handleConnect(in GatewayConnected) []policyapi.Event {
	if !slices.Contains(c.settings.Start.Zones, in.Zone) { // before it takes a place among the gateways
		c.warn(eventGatewayUnknownZone, in.Gateway, "zone %q is not one of %v", in.Zone, c.settings.Start.Zones)
		c.outbox.emit(CloseConnection{in.Conn, "unknown zone"})
		return nil
	}
	g := c.gateways.byName[in.Gateway]
	if g == nil {
		if count := len(c.gateways.inOrder); count >= maxGateways {
			c.warn(eventTooManyGateways, in.Gateway, "there are %d already", count)
			c.outbox.emit(CloseConnection{in.Conn, "too many gateways"})
			return nil
		}
		g = c.gateways.add(in.Gateway, routing.NewDelivery(c.settings.Epoch, c.messageBudget()))
	}
	defer c.updateGateway(g)
	var events []policyapi.Event
	if g.connected && g.conn != in.Conn {
		c.warn(eventConnectionReplaced, in.Gateway, "a second connection under this name: the first one is closed")
		c.outbox.emit(CloseConnection{g.conn, "another connection under this name"})
		events = append(events, c.disconnectGateway(g)...)
	}
	g.conn = in.Conn
	g.connected = true
	g.zone = in.Zone
	g.lastMessageAt = c.now
	g.defaultTableOnly = in.HasDefaultTableOnly
	g.weight = in.Weight
	g.reportSequence = 0
	events = append(events, c.joinGateway(g)...)
	if !g.joined && g.bound() {
		// It has to wait before it joins, and its documents may still offer endpoints that have drained since it disconnected.
		g.delivery.Invalidate()
		events = append(events, c.publish(g, routing.NoAckID)...)
	}
	return events
}

// joinGateway lets a connected gateway join, that is, reports it to the decision module, unless it has to wait.
func (c *Core) joinGateway(g *gateway) []policyapi.Event {
	if !g.connected || g.joined || c.now < g.joinAfter {
		return nil
	}
	g.joined = true
	g.joinedAt = c.now
	g.tables = slices.Repeat([]policyapi.TableID{unboundTable}, len(c.settings.Start.Classes))
	g.delivery.Connect()
	c.restoreDemand(g)
	g.listCheckAt = 0
	c.updateGateway(g)
	return []policyapi.Event{policyapi.ProxyConnected{Proxy: g.proxy, Zone: g.zone, HasDefaultTableOnly: g.defaultTableOnly, Weight: g.weight}}
}

// handleDisconnect ignores the end of a connection that another one has replaced.
func (c *Core) handleDisconnect(in GatewayDisconnected) []policyapi.Event {
	g := c.gateways.byName[in.Gateway]
	if g == nil || g.conn != in.Conn || !g.connected {
		return nil
	}
	return c.disconnectGateway(g)
}

// disconnectGateway reports a gateway as disconnected to the decision module; the gateway continues to use its documents.
func (c *Core) disconnectGateway(g *gateway) []policyapi.Event {
	wasJoined := g.joined
	g.connected = false
	g.joined = false
	c.reports.sampler.GatewayDisconnected(string(g.name))
	g.delivery.Disconnect()
	c.updateLinesInFlight(g)
	if !wasJoined {
		return nil
	}
	return []policyapi.Event{policyapi.ProxyDisconnected{Proxy: g.proxy}}
}

// sender returns the gateway that a message comes from; nil if it did not come on the gateway's present connection.
func (c *Core) sender(name Gateway, conn ConnID) *gateway {
	g := c.gateways.byName[name]
	if g == nil || !g.connected || g.conn != conn {
		return nil
	}
	g.lastMessageAt = c.now
	return g
}
