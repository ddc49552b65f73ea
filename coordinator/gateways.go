package coordinator

import (
	"math"
	"slices"
	"strings"

	"porthub/policyapi"
	"porthub/routing"
)

// gateway is one that has ever joined.
type gateway struct {
	name      Gateway
	proxy     policyapi.ProxyID
	zone      policyapi.Zone
	conn      ConnID
	connected bool // a connection stands
	joined    bool // the module counts it as joined
	tables    []policyapi.TableID

	reportSequence uint64 // of its last report
	lastMessageAt  micros // last word of any kind
	joinedAt       micros
	inFlight       *routing.Delivery // what it holds, and what it may be sent

	demand         []float64       // by kind: reqs a second that came to it, half way to the new value with each report
	publishedRates map[int]float64 // rates that were told lately: by kind what the solver's admission came to, then what a level's did
	publishPending bool            // something has changed that has not gone out
	linesInFlight  float64         // lines on their way to it
	// checkAt is when what it holds is held against the list, 0: nothing has changed there.
	checkAt micros

	expulsions       int    // times it was put out for not acknowledging
	admitAfter       micros // not joined again before
	defaultTableOnly bool
	weight           float64
}

const unboundTable policyapi.TableID = -1

func (g *gateway) bound() bool { return len(g.tables) > 0 && !slices.Contains(g.tables, unboundTable) }

// connectGateway takes a gateway in. One that connects twice under one name is one gateway: the later connection stands and
// the earlier is closed, since the later one knows best that the earlier is dead.
func (c *Core) connectGateway(in GatewayConnected) []policyapi.Event {
	var events []policyapi.Event
	g := c.gateways[in.Gateway]
	defer func() {
		if g != nil {
			c.updateGateway(g)
		}
	}()
	if g == nil {
		if len(c.gateways) >= maxGateways {
			c.warn("too_many_gateways", in.Gateway, "there are %d already", len(c.gateways))
			c.emit(CloseConnection{in.Conn, "too many gateways"})
			return nil
		}
		g = &gateway{name: in.Gateway, proxy: policyapi.ProxyID(len(c.gateways)), inFlight: routing.NewDelivery(c.settings.Epoch, c.messageBudget())}
		c.gateways[in.Gateway], c.byProxy[g.proxy] = g, g
	}
	if !slices.Contains(c.settings.Start.Zones, in.Zone) {
		c.warn("bad_zone", in.Gateway, "zone %q is not one of %v", in.Zone, c.settings.Start.Zones)
		c.emit(CloseConnection{in.Conn, "unknown zone"})
		return nil
	}
	if g.connected && g.conn != in.Conn {
		c.warn("name_taken_over", in.Gateway, "a second connection under this name: the first one is closed")
		c.emit(CloseConnection{g.conn, "another connection under this name"})
		events = append(events, c.disconnectGateway(g)...)
	}
	g.conn, g.connected, g.zone, g.lastMessageAt, g.defaultTableOnly, g.weight = in.Conn, true, in.Zone, c.now, in.HasDefaultTableOnly, in.Weight
	g.reportSequence = 0
	if events = append(events, c.admitGateway(g)...); !g.joined && g.bound() {
		// It has to wait for being let in, and what has drained while it was away still stands in its files.
		g.inFlight.Invalidate()
		events = append(events, c.publish(g, routing.NoAckID)...)
	}
	return events
}

// messageBudget is what the rules allow of messages to one gateway; a file is written a little later than it was published.
func (c *Core) messageBudget() routing.Budget {
	return routing.Budget{MaxMessages: c.settings.Start.Rules.MessageLimit, Window: c.settings.Start.Rules.MessageWindow + messageWindowSlack}
}

// maxGateways bounds what names alone can cost.
const maxGateways = 60000

// admitGateway joins a linked gateway unless it has to wait.
func (c *Core) admitGateway(g *gateway) []policyapi.Event {
	if !g.connected || g.joined || c.now < g.admitAfter {
		return nil
	}
	g.joined, g.joinedAt = true, c.now
	g.tables = slices.Repeat([]policyapi.TableID{unboundTable}, len(c.settings.Start.Classes))
	g.inFlight.Connect()
	c.restoreGateway(g)
	g.checkAt = 0
	defer c.updateGateway(g)
	return []policyapi.Event{policyapi.ProxyConnected{Proxy: g.proxy, Zone: g.zone, HasDefaultTableOnly: g.defaultTableOnly, Weight: g.weight}}
}

// disconnectGateway ends a gateway's connection as far as the module goes; it keeps its files and goes on by them.
func (c *Core) disconnectGateway(g *gateway) []policyapi.Event {
	was := g.joined
	g.connected, g.joined = false, false
	c.sampler.GatewayDisconnected(string(g.name))
	g.inFlight.Disconnect()
	c.updateLinesInFlight(g)
	if was {
		return []policyapi.Event{policyapi.ProxyDisconnected{Proxy: g.proxy}}
	}
	return nil
}

func (c *Core) handleDisconnect(in GatewayDisconnected) []policyapi.Event {
	g := c.gateways[in.Gateway]
	if g == nil || g.conn != in.Conn || !g.connected {
		return nil // a connection that another one had replaced
	}
	return c.disconnectGateway(g)
}

// sender is the gateway that a message comes from, if its connection is the one that stands.
func (c *Core) sender(name Gateway, conn ConnID) *gateway {
	g := c.gateways[name]
	if g == nil || !g.connected || g.conn != conn {
		return nil
	}
	g.lastMessageAt = c.now
	return g
}

// checkGateways finds gateways that have fallen silent and those whose time to be let in again has come. One that
// reports but acknowledges nothing is put out as well: its unsaid lines would hold everyone's orders back. It comes
// in again later each time, so that it costs only itself.
//
// With thousands of gateways a look at each took most of a step: nobody is looked at before the first of them is due.
func (c *Core) checkGateways() []policyapi.Event {
	if c.now < c.gatewayCheckAt {
		return nil
	}
	var events []policyapi.Event
	for p := range policyapi.ProxyID(len(c.gateways)) {
		g := c.byProxy[p]
		waiting := g.inFlight.Unacknowledged()
		laterAt, later := g.inFlight.DueAt()
		switch {
		case !g.connected:
		case c.now-g.lastMessageAt > c.settings.SilenceTimeout:
			c.warn("silent", g.name, "no word for %.1f s: it counts as away", float64(c.now-g.lastMessageAt)/float64(second))
			c.emit(CloseConnection{g.conn, "silent"})
			events = append(events, c.disconnectGateway(g)...)
		case g.joined && len(waiting) > 0 && c.now-waiting[0].SentAt > c.ackTimeout():
			g.expulsions++
			g.admitAfter = c.now + min(second<<min(g.expulsions, 6), 60*second)
			c.warn("no_acknowledgement", g.name, "version %s not acknowledged for %.1f s: it counts as away for %.0f s",
				waiting[0].Version, float64(c.now-waiting[0].SentAt)/float64(second), float64(g.admitAfter-c.now)/float64(second))
			was := g.connected
			events = append(events, c.disconnectGateway(g)...)
			g.connected = was
		case !g.joined:
			if events = append(events, c.admitGateway(g)...); !g.joined && g.bound() && c.checkDue(g) {
				events = append(events, c.publish(g, routing.NoAckID)...)
			}
		case g.bound() && (g.inFlight.StartRetry(c.now) || c.checkDue(g) || later && c.now >= laterAt):
			events = append(events, c.publish(g, routing.NoAckID)...)
		}
	}
	c.gatewayCheckAt = c.now + maxCheckInterval
	for p := range policyapi.ProxyID(len(c.gateways)) {
		c.gatewayCheckAt = min(c.gatewayCheckAt, c.nextCheck(c.byProxy[p]))
	}
	c.gatewayCheckAt = max(c.gatewayCheckAt, c.now+minCheckInterval)
	return events
}

// Gateways are looked at so often at least and at most.
const (
	maxCheckInterval = 10 * second
	minCheckInterval = second / 1000
)

// never is a time that does not come.
const never micros = 1 << 62

// nextCheck is the first moment at which watchGateways has something to do about a gateway as it stands.
func (c *Core) nextCheck(g *gateway) micros {
	if !g.connected {
		return never
	}
	at := g.lastMessageAt + c.settings.SilenceTimeout + 1
	waiting := g.inFlight.Unacknowledged()
	switch {
	case !g.joined:
		if at = min(at, g.admitAfter); g.bound() && g.checkAt > 0 {
			at = min(at, g.checkAt)
		}
		return at
	case len(waiting) > 0:
		at = min(at, waiting[0].SentAt+c.ackTimeout()+1)
	}
	if g.bound() {
		if g.checkAt > 0 {
			at = min(at, g.checkAt)
		}
		if later, has := g.inFlight.DueAt(); has {
			at = min(at, later)
		}
		if retry, has := g.inFlight.RetryAt(); has {
			at = min(at, retry)
		}
	}
	return at
}

// updateGateway has a gateway looked at when it needs it; whatever brings that forward says so here.
func (c *Core) updateGateway(g *gateway) {
	c.updateLinesInFlight(g)
	c.gatewayCheckAt = min(c.gatewayCheckAt, c.nextCheck(g))
	if g.publishPending || g.checkAt > 0 || g.inFlight.Invalidated() {
		c.dirtyGateways[g.proxy] = true
	} else {
		delete(c.dirtyGateways, g.proxy)
	}
}

// updateLinesInFlight keeps the sum of lines on their way.
func (c *Core) updateLinesInFlight(g *gateway) {
	lines := 0.0
	for _, m := range g.inFlight.Unacknowledged() {
		lines += float64(m.Lines) + c.settings.Start.Channel.MessageOverhead
	}
	c.linesInFlight += lines - g.linesInFlight
	g.linesInFlight = lines
}

// availableLines is how many lines a message may have now: a coordinator counts what it has sent and sends no more than has been
// acknowledged. One that alone is more than all the room goes when nothing else is on its way.
func (c *Core) availableLines() int {
	most := c.settings.Start.Rules.QueueLimit
	if most <= 0 || c.linesInFlight < 1 {
		return math.MaxInt
	}
	return int(queueTarget*most - c.linesInFlight - c.settings.Start.Channel.MessageOverhead)
}

// queueTarget of the lines that may wait is used; what closes a line goes beyond it.
const queueTarget = 0.85

// ackTimeout is how long an acknowledgement may take: ten times the longest way there and back, and no less than the
// time after which a gateway counts as silent.
func (c *Core) ackTimeout() micros {
	return max(10*c.settings.Start.Channel.MaxLatency, c.settings.SilenceTimeout)
}

// checkDue tells whether it is time to hold a gateway's tables against the list. The module takes drained lines out by
// itself; what it has not reached by then, an old table or a gateway that is put out, is masked here.
func (c *Core) checkDue(g *gateway) bool { return g.checkAt > 0 && c.now >= g.checkAt }

// messageWindowSlack is left at the end of the messages' span: a file is written a little later than it was published.
const messageWindowSlack = second / 2

// publish brings a gateway to what it should hold, as its ledger says.
func (c *Core) publish(g *gateway, mark policyapi.AckID) []policyapi.Event {
	defer c.updateGateway(g)
	s := c.snapshot(g)
	g.checkAt = 0
	verdict, m := g.inFlight.Offer(c.now, s, mark, c.availableLines(), func() bool {
		return routing.IsUrgentChange(g.inFlight.Sent(), s, func(b policyapi.EndpointID) bool {
			return c.ejected[b] || c.endpoints.closed(b, c.settings.Start.Rules.SoftRemoval)
		})
	})
	if verdict != routing.OfferDeferred {
		g.publishPending = false
	}
	switch verdict {
	case routing.OfferAcknowledged:
		return []policyapi.Event{policyapi.Acknowledged{Proxy: g.proxy, AckID: m.AckID}}
	case routing.OfferSend:
		c.emit(Publish{Gateway: g.name, Version: m.Version, Nonce: m.Version, Snapshot: s, Changed: m.Changed, Sync: c.syncDocuments()})
	}
	return nil
}

// handleAck takes an acknowledgement in. Only what this process has published to this gateway and is still on its way
// counts; anything else (an earlier start's version at joining, a repeat, an invention) is passed over, and noted
// where it is no version a gateway could hold.
func (c *Core) handleAck(in DocumentAck) []policyapi.Event {
	g := c.sender(in.Gateway, in.Conn)
	if g == nil || in.Document < 0 || in.Document >= documentCount {
		return nil
	}
	defer c.updateGateway(g)
	if in.Error != "" {
		return c.handleRejection(g, in)
	}
	done, known := g.inFlight.Ack(c.now, int(in.Document), in.Version)
	if !known && strings.HasPrefix(in.Version, c.settings.Epoch+".") {
		c.warn("unknown_version", g.name, "acknowledged %s %s, which is not on its way to it", in.Document, in.Version)
	}
	var events []policyapi.Event
	for _, m := range done {
		g.expulsions = 0
		c.ackDelay += (c.now - m.SentAt - c.ackDelay) / 8
		if m.AckID >= 0 {
			events = append(events, policyapi.Acknowledged{Proxy: g.proxy, AckID: m.AckID, Delay: c.now - m.SentAt})
		}
	}
	if known && g.joined {
		if want, right := g.inFlight.VerifyChecksum(c.now, in.Checksum, in.ChecksumVersions); !right {
			c.warn("wrong_checksum", g.name, "it holds %x, not %x: the whole is sent again", in.Checksum, want)
		}
	}
	return events
}

// syncDocuments tells whether documents are brought to the disk before they are moved into place: never, unless the settings
// ask for it. A disk that others keep busy takes a second for each, and a sync that has begun can't be called off: on
// such a machine drains came eleven seconds late. While confirmations take more than
// a tenth of the grace, or half of the gateways wait for longer than that, documents are moved into place unsynced; once
// they take less than a fortieth, synced again.
func (c *Core) syncDocuments() bool {
	if !c.settings.SyncDocuments {
		return false
	}
	grace, waiting, joined := c.settings.Start.Rules.DrainGracePeriod, 0, 0
	for _, g := range c.gateways {
		if g.joined {
			if joined++; len(g.inFlight.Unacknowledged()) > 0 && c.now-g.inFlight.Unacknowledged()[0].SentAt > grace/10 {
				waiting++
			}
		}
	}
	late := c.ackDelay > grace/10 || 2*waiting > joined
	switch {
	case !c.syncSuspended && late:
		c.syncSuspended = true
		c.log(LogWarn, "slow_disk", "confirmations take %d ms, %d of %d gateways wait: files are not synced", c.ackDelay/1000, waiting, joined)
	case c.syncSuspended && !late && c.ackDelay < grace/40:
		c.syncSuspended = false
		c.log(LogInfo, "slow_disk", "confirmations take %d ms: files are synced again", c.ackDelay/1000)
	}
	return !c.syncSuspended
}

// handleRejection notes a refusal; the ledger has the whole sent again.
func (c *Core) handleRejection(g *gateway, in DocumentAck) []policyapi.Event {
	if again, known := g.inFlight.Reject(c.now, in.Nonce); known {
		c.warn("refused", g.name, "%s %s: %.200s: sent again in %.0f s", in.Document, in.Nonce, in.Error, float64(again)/float64(second))
	}
	return nil
}
