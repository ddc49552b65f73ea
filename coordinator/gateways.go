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
	name   Gateway
	proxy  policyapi.ProxyID
	zone   policyapi.Zone
	conn   ConnID
	linked bool // a connection stands
	joined bool // the module counts it as joined
	binds  []policyapi.TableID

	seq      uint64 // of its last report
	heardAt  micros // last word of any kind
	joinedAt micros
	ledger   *routing.Delivery // what it holds, and what it may be sent

	usage []float64       // by kind: reqs a second that came to it, half way to the new value with each report
	caps  map[int]float64 // rates that were told lately: by kind what the solver's admission came to, then what a level's did
	owed  bool            // something has changed that has not gone out
	onWay float64         // lines on their way to it
	// checkAt is when what it holds is held against the list, 0: nothing has changed there.
	checkAt micros

	expelled int    // times it was put out for not acknowledging
	letInAt  micros // not joined again before
	fresh    bool
	weight   float64
}

const unbound policyapi.TableID = -1

func (g *gateway) bound() bool { return len(g.binds) > 0 && !slices.Contains(g.binds, unbound) }

// join takes a gateway in. One that connects twice under one name is one gateway: the later connection stands and
// the earlier is closed, since the later one knows best that the earlier is dead.
func (c *Core) join(in GatewayConnected) []policyapi.Event {
	var events []policyapi.Event
	g := c.gateways[in.Gateway]
	defer func() {
		if g != nil {
			c.watch(g)
		}
	}()
	if g == nil {
		if len(c.gateways) >= mostGateways {
			c.complain("too_many_gateways", in.Gateway, "there are %d already", len(c.gateways))
			c.out(CloseConnection{in.Conn, "too many gateways"})
			return nil
		}
		g = &gateway{name: in.Gateway, proxy: policyapi.ProxyID(len(c.gateways)), ledger: routing.NewDelivery(c.set.Epoch, c.budget())}
		c.gateways[in.Gateway], c.byProxy[g.proxy] = g, g
	}
	if !slices.Contains(c.set.Start.Zones, in.Zone) {
		c.complain("bad_zone", in.Gateway, "zone %q is not one of %v", in.Zone, c.set.Start.Zones)
		c.out(CloseConnection{in.Conn, "unknown zone"})
		return nil
	}
	if g.linked && g.conn != in.Conn {
		c.complain("name_taken_over", in.Gateway, "a second connection under this name: the first one is closed")
		c.out(CloseConnection{g.conn, "another connection under this name"})
		events = append(events, c.part(g)...)
	}
	g.conn, g.linked, g.zone, g.heardAt, g.fresh, g.weight = in.Conn, true, in.Zone, c.now, in.HasDefaultTableOnly, in.Weight
	g.seq = 0
	if events = append(events, c.letIn(g)...); !g.joined && g.bound() {
		// It has to wait for being let in, and what has drained while it was away still stands in its files.
		g.ledger.Invalidate()
		events = append(events, c.publish(g, routing.NoAckID)...)
	}
	return events
}

// budget is what the rules allow of messages to one gateway; a file is written a little later than it was published.
func (c *Core) budget() routing.Budget {
	return routing.Budget{MaxMessages: c.set.Start.Rules.MessageLimit, Window: c.set.Start.Rules.MessageWindow + spanSlack}
}

// mostGateways bounds what names alone can cost.
const mostGateways = 60000

// letIn joins a linked gateway unless it has to wait.
func (c *Core) letIn(g *gateway) []policyapi.Event {
	if !g.linked || g.joined || c.now < g.letInAt {
		return nil
	}
	g.joined, g.joinedAt = true, c.now
	g.binds = slices.Repeat([]policyapi.TableID{unbound}, len(c.set.Start.Classes))
	g.ledger.Connect()
	c.recalled(g)
	g.checkAt = 0
	defer c.watch(g)
	return []policyapi.Event{policyapi.ProxyConnected{Proxy: g.proxy, Zone: g.zone, HasDefaultTableOnly: g.fresh, Weight: g.weight}}
}

// part ends a gateway's connection as far as the module goes; it keeps its files and goes on by them.
func (c *Core) part(g *gateway) []policyapi.Event {
	was := g.joined
	g.linked, g.joined = false, false
	c.intake.GatewayDisconnected(string(g.name))
	g.ledger.Disconnect()
	c.weigh(g)
	if was {
		return []policyapi.Event{policyapi.ProxyDisconnected{Proxy: g.proxy}}
	}
	return nil
}

func (c *Core) leave(in GatewayDisconnected) []policyapi.Event {
	g := c.gateways[in.Gateway]
	if g == nil || g.conn != in.Conn || !g.linked {
		return nil // a connection that another one had replaced
	}
	return c.part(g)
}

// speaker is the gateway that a message comes from, if its connection is the one that stands.
func (c *Core) speaker(name Gateway, conn ConnID) *gateway {
	g := c.gateways[name]
	if g == nil || !g.linked || g.conn != conn {
		return nil
	}
	g.heardAt = c.now
	return g
}

// watchGateways finds gateways that have fallen silent and those whose time to be let in again has come. One that
// reports but acknowledges nothing is put out as well: its unsaid lines would hold everyone's orders back. It comes
// in again later each time, so that it costs only itself.
//
// With thousands of gateways a look at each took most of a step: nobody is looked at before the first of them is due.
func (c *Core) watchGateways() []policyapi.Event {
	if c.now < c.watchAt {
		return nil
	}
	var events []policyapi.Event
	for p := range policyapi.ProxyID(len(c.gateways)) {
		g := c.byProxy[p]
		waiting := g.ledger.Unacknowledged()
		laterAt, later := g.ledger.DueAt()
		switch {
		case !g.linked:
		case c.now-g.heardAt > c.set.SilenceTimeout:
			c.complain("silent", g.name, "no word for %.1f s: it counts as away", float64(c.now-g.heardAt)/float64(second))
			c.out(CloseConnection{g.conn, "silent"})
			events = append(events, c.part(g)...)
		case g.joined && len(waiting) > 0 && c.now-waiting[0].SentAt > c.ackWithin():
			g.expelled++
			g.letInAt = c.now + min(second<<min(g.expelled, 6), 60*second)
			c.complain("no_acknowledgement", g.name, "version %s not acknowledged for %.1f s: it counts as away for %.0f s",
				waiting[0].Version, float64(c.now-waiting[0].SentAt)/float64(second), float64(g.letInAt-c.now)/float64(second))
			was := g.linked
			events = append(events, c.part(g)...)
			g.linked = was
		case !g.joined:
			if events = append(events, c.letIn(g)...); !g.joined && g.bound() && c.checkDue(g) {
				events = append(events, c.publish(g, routing.NoAckID)...)
			}
		case g.bound() && (g.ledger.StartRetry(c.now) || c.checkDue(g) || later && c.now >= laterAt):
			events = append(events, c.publish(g, routing.NoAckID)...)
		}
	}
	c.watchAt = c.now + watchMost
	for p := range policyapi.ProxyID(len(c.gateways)) {
		c.watchAt = min(c.watchAt, c.attention(c.byProxy[p]))
	}
	c.watchAt = max(c.watchAt, c.now+watchLeast)
	return events
}

// Gateways are looked at so often at least and at most.
const (
	watchMost  = 10 * second
	watchLeast = second / 1000
)

// never is a time that does not come.
const never micros = 1 << 62

// attention is the first moment at which watchGateways has something to do about a gateway as it stands.
func (c *Core) attention(g *gateway) micros {
	if !g.linked {
		return never
	}
	at := g.heardAt + c.set.SilenceTimeout + 1
	waiting := g.ledger.Unacknowledged()
	switch {
	case !g.joined:
		if at = min(at, g.letInAt); g.bound() && g.checkAt > 0 {
			at = min(at, g.checkAt)
		}
		return at
	case len(waiting) > 0:
		at = min(at, waiting[0].SentAt+c.ackWithin()+1)
	}
	if g.bound() {
		if g.checkAt > 0 {
			at = min(at, g.checkAt)
		}
		if later, has := g.ledger.DueAt(); has {
			at = min(at, later)
		}
		if retry, has := g.ledger.RetryAt(); has {
			at = min(at, retry)
		}
	}
	return at
}

// watch has a gateway looked at when it needs it; whatever brings that forward says so here.
func (c *Core) watch(g *gateway) {
	c.weigh(g)
	c.watchAt = min(c.watchAt, c.attention(g))
	if g.owed || g.checkAt > 0 || g.ledger.Invalidated() {
		c.restless[g.proxy] = true
	} else {
		delete(c.restless, g.proxy)
	}
}

// weigh keeps the sum of lines on their way.
func (c *Core) weigh(g *gateway) {
	lines := 0.0
	for _, m := range g.ledger.Unacknowledged() {
		lines += float64(m.Lines) + c.set.Start.Channel.MessageOverhead
	}
	c.onWay += lines - g.onWay
	g.onWay = lines
}

// room is how many lines a message may have now: a coordinator counts what it has sent and sends no more than has been
// acknowledged. One that alone is more than all the room goes when nothing else is on its way.
func (c *Core) room() int {
	most := c.set.Start.Rules.QueueLimit
	if most <= 0 || c.onWay < 1 {
		return math.MaxInt
	}
	return int(fullPart*most - c.onWay - c.set.Start.Channel.MessageOverhead)
}

// fullPart of the lines that may wait is used; what closes a line goes beyond it.
const fullPart = 0.85

// ackWithin is how long an acknowledgement may take: ten times the longest way there and back, and no less than the
// time after which a gateway counts as silent.
func (c *Core) ackWithin() micros {
	return max(10*c.set.Start.Channel.MaxLatency, c.set.SilenceTimeout)
}

// checkDue tells whether it is time to hold a gateway's tables against the list. The module takes drained lines out by
// itself; what it has not reached by then, an old table or a gateway that is put out, is masked here.
func (c *Core) checkDue(g *gateway) bool { return g.checkAt > 0 && c.now >= g.checkAt }

// spanSlack is left at the end of the messages' span: a file is written a little later than it was published.
const spanSlack = second / 2

// publish brings a gateway to what it should hold, as its ledger says.
func (c *Core) publish(g *gateway, mark policyapi.AckID) []policyapi.Event {
	defer c.watch(g)
	s := c.snapshot(g)
	g.checkAt = 0
	verdict, m := g.ledger.Offer(c.now, s, mark, c.room(), func() bool {
		return routing.IsUrgentChange(g.ledger.Sent(), s, func(b policyapi.EndpointID) bool {
			return c.withdrawn[b] || c.list.closed(b, c.set.Start.Rules.SoftRemoval)
		})
	})
	if verdict != routing.OfferDeferred {
		g.owed = false
	}
	switch verdict {
	case routing.OfferAcknowledged:
		return []policyapi.Event{policyapi.Acknowledged{Proxy: g.proxy, AckID: m.AckID}}
	case routing.OfferSend:
		c.out(Publish{Gateway: g.name, Version: m.Version, Nonce: m.Version, Snapshot: s, Changed: m.Changed, Sync: c.synced()})
	}
	return nil
}

// ack takes an acknowledgement in. Only what this process has published to this gateway and is still on its way
// counts; anything else (an earlier start's version at joining, a repeat, an invention) is passed over, and noted
// where it is no version a gateway could hold.
func (c *Core) ack(in DocumentAck) []policyapi.Event {
	g := c.speaker(in.Gateway, in.Conn)
	if g == nil || in.Document < 0 || in.Document >= documentCount {
		return nil
	}
	defer c.watch(g)
	if in.Error != "" {
		return c.refused(g, in)
	}
	done, known := g.ledger.Ack(c.now, int(in.Document), in.Version)
	if !known && strings.HasPrefix(in.Version, c.set.Epoch+".") {
		c.complain("unknown_version", g.name, "acknowledged %s %s, which is not on its way to it", in.Document, in.Version)
	}
	var events []policyapi.Event
	for _, m := range done {
		g.expelled = 0
		c.lag += (c.now - m.SentAt - c.lag) / 8
		if m.AckID >= 0 {
			events = append(events, policyapi.Acknowledged{Proxy: g.proxy, AckID: m.AckID, Delay: c.now - m.SentAt})
		}
	}
	if known && g.joined {
		if want, right := g.ledger.VerifyChecksum(c.now, in.Checksum, in.ChecksumVersions); !right {
			c.complain("wrong_checksum", g.name, "it holds %x, not %x: the whole is sent again", in.Checksum, want)
		}
	}
	return events
}

// synced tells whether documents are brought to the disk before they are moved into place: never, unless the settings
// ask for it. A disk that others keep busy takes a second for each, and a sync that has begun can't be called off: on
// such a machine drains came eleven seconds late. While confirmations take more than
// a tenth of the grace, or half of the gateways wait for longer than that, documents are moved into place unsynced; once
// they take less than a fortieth, synced again.
func (c *Core) synced() bool {
	if !c.set.SyncDocuments {
		return false
	}
	grace, waiting, joined := c.set.Start.Rules.DrainGracePeriod, 0, 0
	for _, g := range c.gateways {
		if g.joined {
			if joined++; len(g.ledger.Unacknowledged()) > 0 && c.now-g.ledger.Unacknowledged()[0].SentAt > grace/10 {
				waiting++
			}
		}
	}
	late := c.lag > grace/10 || 2*waiting > joined
	switch {
	case !c.unsynced && late:
		c.unsynced = true
		c.note(LogWarn, "slow_disk", "confirmations take %d ms, %d of %d gateways wait: files are not synced", c.lag/1000, waiting, joined)
	case c.unsynced && !late && c.lag < grace/40:
		c.unsynced = false
		c.note(LogInfo, "slow_disk", "confirmations take %d ms: files are synced again", c.lag/1000)
	}
	return !c.unsynced
}

// refused notes a refusal; the ledger has the whole sent again.
func (c *Core) refused(g *gateway, in DocumentAck) []policyapi.Event {
	if again, known := g.ledger.Reject(c.now, in.Nonce); known {
		c.complain("refused", g.name, "%s %s: %.200s: sent again in %.0f s", in.Document, in.Nonce, in.Error, float64(again)/float64(second))
	}
	return nil
}
