package policy

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"porthub/policyapi"
)

// This file has the channel's state and its mechanics: which proxy is bound to which tables, what the tables hold, and how much
// waits on the way. What goes out, and when, is decided in choice.go.

// channel brings what the proxies hold nearer to the plan, within the limits on lines and messages.
type channel struct {
	inbox
	out                *outbox
	tellHeld           func(note) // tells the planner which groups proxies are bound to
	queueCap, envelope float64
	most               int // messages to one proxy in the span; 0: no limit
	span, period       micros
	grace              micros               // within which a withdrawn endpoint has to be out of all tables
	masks              []policyapi.ClassSet // of the kind sets: a replica has a table for each, in this order
	replicas           []*replica           // by the number of their first table
	admits             map[policyapi.ClassSet]policyapi.SetAdmission
	streams            map[policyapi.ProxyID]*stream
	plan               targetState // the last one
	mark               policyapi.AckID
	lags               [2]micros // how long acknowledgements took to come, at most
	lagsAt             micros    // since when the first of them stands
	answered           bool      // something has been acknowledged
	lastSent, lastAt   micros    // lines of tables or levels; anything
	queued             float64   // lines that wait, while a turn goes on
	held               bool      // a table had to wait for others, or for levels
	turn               policyapi.TableID
	left               []pendingMessage               // to proxies that have left since: they wait in the channel all the same
	retryAt            micros                         // when it will be tried again; 0: it need not
	sentBefore         map[policyapi.ProxyID][]micros // to streams that stand, by an instance that has failed
}

// replica is one copy of a group's tables. The proxies of a large group are spread over several, so that a line to all that
// share a copy takes no more than a part of the queue.
type replica struct {
	group   groupID
	first   policyapi.TableID
	tables  []heldTable // by set of kinds
	streams []*stream   // that are bound to it, by proxy
	owed    micros      // since when a withdrawn endpoint stands in it; 0: none does
	lostAt  micros      // when lines were last taken out
}

// table is the number of the table for a set of kinds.
func (r *replica) table(set int) policyapi.TableID { return r.first + policyapi.TableID(set) }

// heldTable is what a table was last ordered to hold.
type heldTable struct {
	lines   map[policyapi.EndpointID]float64
	guard   policyapi.SetAdmission // its own level
	guarded bool                   // it was ordered
	change  tableChange            // by which it differs from the plan
}

// stream is what the channel knows of one proxy.
type stream struct {
	proxy          policyapi.ProxyID
	joined         micros
	replica        *replica         // nil: not bound, the proxy goes by what it brought along
	sent           []micros         // times of the messages in the span
	unacknowledged []pendingMessage // messages that it has not acknowledged
	cost           float64          // lines of this turn
}

type pendingMessage struct {
	mark  policyapi.AckID
	at    micros
	lines float64
}

func newChannel(out *outbox, queueCap, envelope float64, most int, span, period, grace micros) *channel {
	return &channel{out: out, tellHeld: func(note) {}, queueCap: queueCap, envelope: envelope, most: most, span: span, period: period, grace: grace,
		admits: map[policyapi.ClassSet]policyapi.SetAdmission{}, streams: map[policyapi.ProxyID]*stream{}}
}

func (c *channel) take(now micros, n note) {
	switch n := n.(type) {
	case policyapi.ProxyConnected:
		c.leave(n.Proxy)
		c.streams[n.Proxy] = &stream{proxy: n.Proxy, joined: now, sent: c.sentBefore[n.Proxy]}
		delete(c.sentBefore, n.Proxy)
	case policyapi.ProxyDisconnected:
		c.leave(n.Proxy)
	case policyapi.Acknowledged:
		if s := c.streams[n.Proxy]; s != nil {
			if i := slices.IndexFunc(s.unacknowledged, func(m pendingMessage) bool { return m.mark == n.AckID }); i >= 0 {
				c.lagged(now, now-s.unacknowledged[i].at)
				s.unacknowledged = slices.Delete(s.unacknowledged, 0, i+1)
			}
		}
	case targetState:
		c.plan = n
		c.send(now)
	case retry:
		if c.retryAt > 0 && now >= c.retryAt {
			c.retryAt, c.plan.urgent = 0, false
			c.send(now)
		}
	}
}

// takeOver makes known what an instance that has failed had sent: it waits in the channel all the same, and counts for the
// streams that stand.
func (c *channel) takeOver(failed *channel) {
	c.left, c.sentBefore = slices.Clone(failed.left), map[policyapi.ProxyID][]micros{}
	for _, p := range slices.Sorted(maps.Keys(failed.streams)) {
		s := failed.streams[p]
		c.left, c.sentBefore[p] = append(c.left, s.unacknowledged...), s.sent
	}
	c.lags, c.lagsAt, c.answered = failed.lags, failed.lagsAt, failed.answered
}

// leave forgets a stream, but not what still waits for it in the channel.
func (c *channel) leave(p policyapi.ProxyID) {
	if s := c.streams[p]; s != nil {
		c.left = append(c.left, s.unacknowledged...)
		c.unbind(s)
		delete(c.streams, p)
	}
}

func (c *channel) unbind(s *stream) {
	if s.replica != nil {
		s.replica.streams = slices.DeleteFunc(s.replica.streams, func(other *stream) bool { return other == s })
		s.replica = nil
	}
}

// bind orders a proxy onto a replica and counts what that costs.
func (c *channel) bind(s *stream, r *replica) {
	cost := c.bindCost(r)
	if s.cost == 0 {
		c.queued += c.messageOverhead()
	}
	s.cost, c.queued = s.cost+cost, c.queued+cost
	c.unbind(s)
	s.replica = r
	r.streams = append(r.streams, s)
	for set, mask := range c.masks {
		c.out.add(policyapi.BindProxy{Proxy: s.proxy, Table: r.table(set), Classes: mask})
	}
}

// messageOverhead is what a message costs besides its own lines; the levels go with each.
func (c *channel) messageOverhead() float64 { return c.envelope + float64(len(c.admits)) + 1 }

// bindCost is what it costs to bind a proxy to a replica's tables.
func (c *channel) bindCost(r *replica) (cost float64) {
	for _, t := range r.tables {
		cost += float64(len(t.lines)+len(c.admits)) + 2
		if t.guarded {
			cost++
		}
	}
	return cost
}

// copiesFrom is the first table number of further copies. A group's first copy has its tables where the group's name says, as long as
// that is below: they keep their numbers over restarts.
const copiesFrom policyapi.TableID = 1 << 15

// addReplica makes a copy of a group's tables; it costs nothing until somebody is bound to it.
func (c *channel) addReplica(group groupID) *replica {
	r := &replica{group: group, first: policyapi.TableID(int(group) * len(c.masks)), tables: make([]heldTable, len(c.masks))}
	for set := range r.tables {
		r.tables[set].lines = map[policyapi.EndpointID]float64{}
	}
	at, taken := c.place(r.first)
	if taken || r.first >= copiesFrom {
		r.first = copiesFrom
		for at, taken = c.place(r.first); taken; at, taken = c.place(r.first) {
			r.first += policyapi.TableID(len(c.masks))
		}
	}
	c.replicas = slices.Insert(c.replicas, at, r)
	c.fill(r)
	return r
}

// place is where a replica with a table number stands, or would stand.
func (c *channel) place(first policyapi.TableID) (at int, taken bool) {
	return slices.BinarySearchFunc(c.replicas, first, func(r *replica, first policyapi.TableID) int { return cmp.Compare(r.first, first) })
}

// fill brings the tables of a replica that nobody is bound to up to date.
func (c *channel) fill(r *replica) {
	for set := range r.tables {
		change := c.differs(r, set)
		c.orderGuard(r, set, change)
		c.order(r, set, slices.Concat(change.owed, change.lost, change.rest))
	}
}

// followPlan drops the replicas that nobody needs and sees to it that each planned group has one; those that nobody is bound to
// are always up to date.
func (c *channel) followPlan() {
	kept := map[groupID]bool{}
	for _, r := range c.replicas {
		kept[r.group] = kept[r.group] || len(r.streams) > 0
	}
	c.replicas = slices.DeleteFunc(c.replicas, func(r *replica) bool {
		_, planned := c.plan.tables[r.group]
		if len(r.streams) > 0 || planned && !kept[r.group] {
			kept[r.group] = true
			return false
		}
		for set := range r.tables {
			c.out.add(policyapi.ClearTable{Table: r.table(set)})
		}
		return true
	})
	for _, group := range slices.Sorted(maps.Keys(c.plan.tables)) {
		if !kept[group] {
			c.addReplica(group)
		}
	}
	for _, r := range c.replicas {
		if len(r.streams) == 0 {
			c.fill(r)
			continue
		}
		for set := range r.tables {
			r.tables[set].change = c.differs(r, set)
		}
	}
}

// order sends lines of one of a replica's tables to all that are bound to it.
func (c *channel) order(r *replica, set int, lines []line) {
	held := r.tables[set].lines
	for _, l := range lines {
		if held[l.backend] = l.weight; l.weight == 0 {
			delete(held, l.backend)
		}
		c.out.add(policyapi.SetWeight{Table: r.table(set), Endpoint: l.backend, Weight: l.weight})
	}
	r.tables[set].change = c.differs(r, set)
}

// orderGuard sends a table's own level, if it is to change.
func (c *channel) orderGuard(r *replica, set int, change tableChange) {
	if change.guardMoves {
		r.tables[set].guard, r.tables[set].guarded = change.guard, true
		c.out.add(change.guard)
	}
}

// charge counts lines for proxies.
func (c *channel) charge(now micros, streams []*stream, lines float64) {
	for _, s := range streams {
		if s.cost == 0 {
			c.queued += c.messageOverhead()
		}
		s.cost, c.queued, c.lastSent = s.cost+lines, c.queued+lines, now
	}
}

// fits tells how many lines to each of some proxies leave no more than a part of the queue taken.
func (c *channel) fits(streams []*stream, part float64) int {
	if len(streams) == 0 {
		return math.MaxInt
	}
	room := part*c.queueCap - c.queued
	for _, s := range streams {
		if s.cost == 0 {
			room -= c.messageOverhead()
		}
	}
	return int(max(0, room/float64(len(streams))))
}

// count looks at the messages of the span: the most that one proxy was sent.
func (c *channel) count(now micros) (messages int) {
	for _, s := range c.streams {
		s.sent = slices.DeleteFunc(s.sent, func(at micros) bool { return now-at > c.span+c.span/50 })
		messages = max(messages, len(s.sent))
	}
	return messages
}

// finish marks the turn's messages, so that they are acknowledged, and counts them.
func (c *channel) finish(now micros) {
	marked := false
	for _, p := range slices.Sorted(maps.Keys(c.streams)) {
		s := c.streams[p]
		if s.cost == 0 {
			continue
		}
		if !marked {
			c.mark, marked = (c.mark+1)%65536, true
			c.out.add(policyapi.RequestAck{AckID: c.mark})
		}
		if len(s.unacknowledged) >= unacknowledgedMost {
			s.unacknowledged = slices.Delete(s.unacknowledged, 0, 1)
		}
		s.unacknowledged = append(s.unacknowledged, pendingMessage{c.mark, now, s.cost + c.messageOverhead()})
		s.sent, s.cost = append(s.sent, now), 0
	}
	groups := map[groupID]bool{}
	for _, r := range c.replicas {
		if len(r.streams) > 0 {
			groups[r.group] = true
		}
	}
	c.tellHeld(heldGroups{groups})
}

// losing are the replicas of which a table loses a line, those first that have owed that for longest.
func (c *channel) losing(now micros) (replicas []*replica) {
	for _, r := range c.replicas {
		lost, owed := false, false
		for _, t := range r.tables {
			owed = owed || len(t.change.owed) > 0
			lost = lost || len(t.change.owed)+len(t.change.lost) > 0
		}
		if !owed {
			r.owed = 0
		} else if r.owed == 0 {
			r.owed = now
		}
		if lost {
			replicas = append(replicas, r)
		}
	}
	slices.SortStableFunc(replicas, func(a, b *replica) int {
		return cmp.Compare(cmp.Or(a.owed, math.MaxInt64), cmp.Or(b.owed, math.MaxInt64))
	})
	return replicas
}

// anySated tells whether one of a replica's proxies may get no more messages now.
func (c *channel) anySated(r *replica) bool {
	return slices.ContainsFunc(r.streams, func(s *stream) bool { return c.messagesUsedUp(s, r.owed > 0) })
}

// joins are the streams that have joined and are not bound yet.
func (c *channel) joins() []*stream {
	return slices.DeleteFunc(c.unbound(), func(s *stream) bool { return s.replica != nil })
}

// moves are the streams that are bound to other tables than planned.
func (c *channel) moves() []*stream {
	return slices.DeleteFunc(c.unbound(), func(s *stream) bool { return s.replica == nil })
}

// unbound are the streams that are not bound as planned, those that joined first in front.
func (c *channel) unbound() (streams []*stream) {
	for _, s := range c.streams {
		if group, has := c.plan.homes[s.proxy]; has && (s.replica == nil || s.replica.group != group) {
			streams = append(streams, s)
		}
	}
	slices.SortFunc(streams, func(a, b *stream) int {
		return cmp.Or(cmp.Compare(a.joined, b.joined), cmp.Compare(a.proxy, b.proxy))
	})
	return streams
}

// tableChange is what a table has to change by to be as planned.
type tableChange struct {
	owed       []line // what the rules want: endpoints that are withdrawn, and the first line of a table that would be empty
	lost       []line // other lines that go
	rest       []line // lines that come, or have another weight
	guard      policyapi.SetAdmission
	guardMoves bool
	replaces   bool // no line that the table holds stays
}

// size is how many lines the whole change has.
func (t tableChange) size() int {
	n := len(t.owed) + len(t.lost) + len(t.rest)
	if t.guardMoves {
		n++
	}
	return n
}

// waiting is how many lines may still wait in the channel, by what has been acknowledged. Messages to different proxies may
// overtake each other, by seconds; but what has been on its way for much longer than any that was acknowledged lately waits no
// more: its proxy has fallen silent, or has left, and never says so. Nor does what is a minute old, if nobody ever answers.
func (c *channel) waiting(now micros) (lines float64) {
	over := func(m pendingMessage) bool {
		return c.answered && now-m.at > c.lag()+c.lag()/2+2*c.period || now-m.at > forgotten
	}
	c.left = slices.DeleteFunc(c.left, over)
	for _, m := range c.left {
		lines += m.lines
	}
	for _, s := range c.streams {
		for _, m := range s.unacknowledged {
			if !over(m) {
				lines += m.lines
			}
		}
	}
	return lines
}

// lag is how long acknowledgements took to come lately, at most.
func (c *channel) lag() micros { return max(c.lags[0], c.lags[1]) }

// lagged notes how long an acknowledgement took to come; the longest of the last five reports' time counts, and that of the five
// before.
func (c *channel) lagged(now, lag micros) {
	if now-c.lagsAt > 5*c.period {
		c.lags[0], c.lags[1], c.lagsAt = 0, c.lags[0], now
	}
	c.lags[0], c.answered = max(c.lags[0], lag), true
}
