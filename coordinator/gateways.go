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
	connected        bool    // conn is open
	joined           bool    // the decision module counts it as connected
	defaultTableOnly bool    // as reported on connecting
	weight           float64 // usual requests per second, as reported on connecting; 0 if unknown
	joinedAt         microseconds
	lastMessageAt    microseconds // time of the last message of any kind
	expulsions       int          // for missing acknowledgements, since its last acknowledgement
	joinAfter        microseconds // earliest time at which it can join again

	tables   []policyapi.TableID // by request class; unboundTable until one is bound
	delivery *routing.Delivery   // the messages sent to it and their acknowledgements
	// publishPending is set if its snapshot may have changed since it was last offered.
	publishPending bool
	linesInFlight  float64
	// listCheckAt is when its documents are checked against the changed endpoint list; 0 if the list has not changed.
	listCheckAt microseconds

	reportSequence uint64 // of its last report on this connection; 0 if there is none
	// demand is the number of requests per second that it receives, by class, smoothed by demandSmoothing with each report;
	// empty if unknown.
	demand []float64
	// publishedRates are the admission rates last published to it: small changes of a rate need no message.
	publishedRates map[rateKey]float64
}

// unboundTable stands for the table of a class that is not bound to one yet.
const unboundTable policyapi.TableID = -1

// bound reports whether the gateway has a table for every class.
func (g *gateway) bound() bool {
	return len(g.tables) > 0 && !slices.Contains(g.tables, unboundTable)
}

// oldestUnacknowledged returns the oldest message in flight to the gateway, and false if none is in flight.
func (g *gateway) oldestUnacknowledged() (routing.Message, bool) {
	messages := g.delivery.Unacknowledged()
	if len(messages) == 0 {
		return routing.Message{}, false
	}
	return messages[0], true
}

// demandOf returns the requests per second that the gateway receives of a class, or 0 if unknown.
func (g *gateway) demandOf(class int) float64 {
	if class >= len(g.demand) {
		return 0
	}
	return g.demand[class]
}

// maxGateways limits the memory that connections with ever new gateway names can use.
const maxGateways = 60000

// gatewaySet is all gateways that have ever connected.
type gatewaySet struct {
	byName  map[Gateway]*gateway
	inOrder []*gateway // in the order of their first connections, indexed by ProxyID
	// dirty contains the gateways that need a publication or a list check even without an order.
	dirty map[policyapi.ProxyID]bool
	// nextCheckAt is the earliest time at which a gateway needs a check.
	nextCheckAt microseconds
	// linesInFlight is the sum of the lines in flight to all gateways.
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

// byProxy returns the gateway with the proxy ID given, or nil if there is none.
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

// affected returns the gateways that a change can affect, in the order of their first connections: all of them, or only the
// dirty ones and those that were bound to another table. Between rounds of reports, orders concern at most one gateway, and
// visiting each of thousands would take most of the step.
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

// handleConnect accepts or rejects a connection. A second connection under a gateway's name replaces the first one, which the
// gateway no longer uses.
func (c *Core) handleConnect(in GatewayConnected) []policyapi.Event {
	if !slices.Contains(c.settings.Start.Zones, in.Zone) { // checked first: a rejected gateway must not count against maxGateways
		c.warn(eventGatewayUnknownZone, in.Gateway, "connection rejected: zone %q is not one of %v", in.Zone, c.settings.Start.Zones)
		c.outbox.emit(CloseConnection{in.Conn, "unknown zone"})
		return nil
	}
	g := c.gateways.byName[in.Gateway]
	if g == nil {
		if count := len(c.gateways.inOrder); count >= maxGateways {
			c.warn(eventTooManyGateways, in.Gateway, "connection rejected: there are already %d gateways", count)
			c.outbox.emit(CloseConnection{in.Conn, "too many gateways"})
			return nil
		}
		g = c.gateways.add(in.Gateway, routing.NewDelivery(c.settings.Epoch, c.messageBudget()))
	}
	defer c.updateGateway(g)
	var events []policyapi.Event
	if g.connected && g.conn != in.Conn {
		c.warn(eventConnectionReplaced, in.Gateway, "second connection under this name: the first one is closed")
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
		// It can't join yet, and its documents may still offer endpoints that have drained since it disconnected.
		g.delivery.Invalidate()
		events = append(events, c.publish(g, routing.NoAckID)...)
	}
	return events
}

// joinGateway reports a connected gateway to the decision module, unless it has joined already or must wait until joinAfter.
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

// handleDisconnect disconnects a gateway whose connection has ended, unless another connection has replaced that one.
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

// sender returns the gateway that has sent a message, or nil if the message did not arrive on its current connection.
func (c *Core) sender(name Gateway, conn ConnID) *gateway {
	g := c.gateways.byName[name]
	if g == nil || !g.connected || g.conn != conn {
		return nil
	}
	g.lastMessageAt = c.now
	return g
}
