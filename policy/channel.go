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
	mailbox
	out                         *outbox
	reportBoundGroups           func(message) // tells the planner which groups proxies are bound to
	queueLimit, perMessageLines float64
	messageLimit                int // messages to one proxy in the span; 0: no limit
	messageWindow, period       micros
	drainGracePeriod            micros               // within which a withdrawn endpoint has to be out of all tables
	masks                       []policyapi.ClassSet // of the kind sets: a replica has a table for each, in this order
	replicas                    []*replica           // by the number of their first table
	admissions                  map[policyapi.ClassSet]policyapi.SetAdmission
	streams                     map[policyapi.ProxyID]*stream
	plan                        targetState // the last one
	lastAckID                   policyapi.AckID
	ackLatencies                [2]micros // how long acknowledgements took to come, at most
	ackLatenciesSince           micros    // since when the first of them stands
	answered                    bool      // something has been acknowledged
	routineSentAt, deliveredAt  micros    // lines of tables or levels; anything
	turnQueue                   float64   // lines that wait, while a turn goes on
	tablesFirst                 bool      // a table had to wait for others, or for levels
	nextTable                   policyapi.TableID
	departed                    []pendingMessage               // to proxies that have left since: they wait in the channel all the same
	retryAt                     micros                         // when it will be tried again; 0: it need not
	inheritedSends              map[policyapi.ProxyID][]micros // to streams that stand, by an instance that has failed
}

// replica is one copy of a group's tables. The proxies of a large group are spread over several, so that a line to all that
// share a copy takes no more than a part of the queue.
type replica struct {
	group           groupID
	firstTable      policyapi.TableID
	tables          []tableState // by set of kinds
	streams         []*stream    // that are bound to it, by proxy
	withdrawalSince micros       // since when a withdrawn endpoint stands in it; 0: none does
	removedAt       micros       // when lines were last taken out
}

// table is the number of the table for a set of kinds.
func (r *replica) table(set int) policyapi.TableID { return r.firstTable + policyapi.TableID(set) }

// tableState is what a table was last ordered to hold.
type tableState struct {
	lines        map[policyapi.EndpointID]float64
	admission    policyapi.SetAdmission // its own level
	hasAdmission bool                   // it was ordered
	pending      tableChange            // by which it differs from the plan
}

// stream is what the channel knows of one proxy.
type stream struct {
	proxy          policyapi.ProxyID
	connectedAt    micros
	replica        *replica         // nil: not bound, the proxy goes by what it brought along
	sentAt         []micros         // times of the messages in the span
	unacknowledged []pendingMessage // messages that it has not acknowledged
	turnLines      float64          // lines of this turn
}

type pendingMessage struct {
	ackID  policyapi.AckID
	sentAt micros
	lines  float64
}

func newChannel(out *outbox, queueCap, envelope float64, most int, span, period, grace micros) *channel {
	return &channel{out: out, reportBoundGroups: func(message) {}, queueLimit: queueCap, perMessageLines: envelope, messageLimit: most, messageWindow: span, period: period, drainGracePeriod: grace,
		admissions: map[policyapi.ClassSet]policyapi.SetAdmission{}, streams: map[policyapi.ProxyID]*stream{}}
}

func (c *channel) receive(now micros, n message) {
	switch n := n.(type) {
	case policyapi.ProxyConnected:
		c.disconnect(n.Proxy)
		c.streams[n.Proxy] = &stream{proxy: n.Proxy, connectedAt: now, sentAt: c.inheritedSends[n.Proxy]}
		delete(c.inheritedSends, n.Proxy)
	case policyapi.ProxyDisconnected:
		c.disconnect(n.Proxy)
	case policyapi.Acknowledged:
		if s := c.streams[n.Proxy]; s != nil {
			if i := slices.IndexFunc(s.unacknowledged, func(m pendingMessage) bool { return m.ackID == n.AckID }); i >= 0 {
				c.recordAckLatency(now, now-s.unacknowledged[i].sentAt)
				s.unacknowledged = slices.Delete(s.unacknowledged, 0, i+1)
			}
		}
	case targetState:
		c.plan = n
		c.deliver(now)
	case retryDelivery:
		if c.retryAt > 0 && now >= c.retryAt {
			c.retryAt, c.plan.urgent = 0, false
			c.deliver(now)
		}
	}
}

// takeOver makes known what an instance that has failed had sent: it waits in the channel all the same, and counts for the
// streams that stand.
func (c *channel) takeOver(failed *channel) {
	c.departed, c.inheritedSends = slices.Clone(failed.departed), map[policyapi.ProxyID][]micros{}
	for _, p := range slices.Sorted(maps.Keys(failed.streams)) {
		s := failed.streams[p]
		c.departed, c.inheritedSends[p] = append(c.departed, s.unacknowledged...), s.sentAt
	}
	c.ackLatencies, c.ackLatenciesSince, c.answered = failed.ackLatencies, failed.ackLatenciesSince, failed.answered
}

// disconnect forgets a stream, but not what still waits for it in the channel.
func (c *channel) disconnect(p policyapi.ProxyID) {
	if s := c.streams[p]; s != nil {
		c.departed = append(c.departed, s.unacknowledged...)
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
	if s.turnLines == 0 {
		c.turnQueue += c.messageOverhead()
	}
	s.turnLines, c.turnQueue = s.turnLines+cost, c.turnQueue+cost
	c.unbind(s)
	s.replica = r
	r.streams = append(r.streams, s)
	for set, mask := range c.masks {
		c.out.add(policyapi.BindProxy{Proxy: s.proxy, Table: r.table(set), Classes: mask})
	}
}

// messageOverhead is what a message costs besides its own lines; the levels go with each.
func (c *channel) messageOverhead() float64 {
	return c.perMessageLines + float64(len(c.admissions)) + 1
}

// bindCost is what it costs to bind a proxy to a replica's tables.
func (c *channel) bindCost(r *replica) (cost float64) {
	for _, t := range r.tables {
		cost += float64(len(t.lines)+len(c.admissions)) + 2
		if t.hasAdmission {
			cost++
		}
	}
	return cost
}

// firstExtraTable is the first table number of further copies. A group's first copy has its tables where the group's name says, as long as
// that is below: they keep their numbers over restarts.
const firstExtraTable policyapi.TableID = 1 << 15

// addReplica makes a copy of a group's tables; it costs nothing until somebody is bound to it.
func (c *channel) addReplica(group groupID) *replica {
	r := &replica{group: group, firstTable: policyapi.TableID(int(group) * len(c.masks)), tables: make([]tableState, len(c.masks))}
	for set := range r.tables {
		r.tables[set].lines = map[policyapi.EndpointID]float64{}
	}
	at, taken := c.replicaPosition(r.firstTable)
	if taken || r.firstTable >= firstExtraTable {
		r.firstTable = firstExtraTable
		for at, taken = c.replicaPosition(r.firstTable); taken; at, taken = c.replicaPosition(r.firstTable) {
			r.firstTable += policyapi.TableID(len(c.masks))
		}
	}
	c.replicas = slices.Insert(c.replicas, at, r)
	c.syncReplica(r)
	return r
}

// replicaPosition is where a replica with a table number stands, or would stand.
func (c *channel) replicaPosition(first policyapi.TableID) (at int, taken bool) {
	return slices.BinarySearchFunc(c.replicas, first, func(r *replica, first policyapi.TableID) int { return cmp.Compare(r.firstTable, first) })
}

// syncReplica brings the tables of a replica that nobody is bound to up to date.
func (c *channel) syncReplica(r *replica) {
	for set := range r.tables {
		change := c.diffTable(r, set)
		c.orderAdmission(r, set, change)
		c.orderLines(r, set, slices.Concat(change.withdrawn, change.removed, change.updated))
	}
}

// reconcileReplicas drops the replicas that nobody needs and sees to it that each planned group has one; those that nobody is bound to
// are always up to date.
func (c *channel) reconcileReplicas() {
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
			c.syncReplica(r)
			continue
		}
		for set := range r.tables {
			r.tables[set].pending = c.diffTable(r, set)
		}
	}
}

// orderLines sends lines of one of a replica's tables to all that are bound to it.
func (c *channel) orderLines(r *replica, set int, lines []tableLine) {
	held := r.tables[set].lines
	for _, l := range lines {
		if held[l.endpoint] = l.weight; l.weight == 0 {
			delete(held, l.endpoint)
		}
		c.out.add(policyapi.SetWeight{Table: r.table(set), Endpoint: l.endpoint, Weight: l.weight})
	}
	r.tables[set].pending = c.diffTable(r, set)
}

// orderAdmission sends a table's own level, if it is to change.
func (c *channel) orderAdmission(r *replica, set int, change tableChange) {
	if change.admissionChanged {
		r.tables[set].admission, r.tables[set].hasAdmission = change.admission, true
		c.out.add(change.admission)
	}
}

// charge counts lines for proxies.
func (c *channel) charge(now micros, streams []*stream, lines float64) {
	for _, s := range streams {
		if s.turnLines == 0 {
			c.turnQueue += c.messageOverhead()
		}
		s.turnLines, c.turnQueue, c.routineSentAt = s.turnLines+lines, c.turnQueue+lines, now
	}
}

// linesThatFit tells how many lines to each of some proxies leave no more than a part of the queue taken.
func (c *channel) linesThatFit(streams []*stream, part float64) int {
	if len(streams) == 0 {
		return math.MaxInt
	}
	room := part*c.queueLimit - c.turnQueue
	for _, s := range streams {
		if s.turnLines == 0 {
			room -= c.messageOverhead()
		}
	}
	return int(max(0, room/float64(len(streams))))
}

// maxMessagesSent looks at the messages of the span: the most that one proxy was sent.
func (c *channel) maxMessagesSent(now micros) (messages int) {
	for _, s := range c.streams {
		s.sentAt = slices.DeleteFunc(s.sentAt, func(at micros) bool { return now-at > c.messageWindow+c.messageWindow/50 })
		messages = max(messages, len(s.sentAt))
	}
	return messages
}

// finishTurn marks the turn's messages, so that they are acknowledged, and counts them.
func (c *channel) finishTurn(now micros) {
	marked := false
	for _, p := range slices.Sorted(maps.Keys(c.streams)) {
		s := c.streams[p]
		if s.turnLines == 0 {
			continue
		}
		if !marked {
			c.lastAckID, marked = (c.lastAckID+1)%65536, true
			c.out.add(policyapi.RequestAck{AckID: c.lastAckID})
		}
		if len(s.unacknowledged) >= maxUnacknowledged {
			s.unacknowledged = slices.Delete(s.unacknowledged, 0, 1)
		}
		s.unacknowledged = append(s.unacknowledged, pendingMessage{c.lastAckID, now, s.turnLines + c.messageOverhead()})
		s.sentAt, s.turnLines = append(s.sentAt, now), 0
	}
	groups := map[groupID]bool{}
	for _, r := range c.replicas {
		if len(r.streams) > 0 {
			groups[r.group] = true
		}
	}
	c.reportBoundGroups(boundGroups{groups})
}

// replicasWithRemovals are the replicas of which a table loses a line, those first that have owed that for longest.
func (c *channel) replicasWithRemovals(now micros) (replicas []*replica) {
	for _, r := range c.replicas {
		lost, owed := false, false
		for _, t := range r.tables {
			owed = owed || len(t.pending.withdrawn) > 0
			lost = lost || len(t.pending.withdrawn)+len(t.pending.removed) > 0
		}
		if !owed {
			r.withdrawalSince = 0
		} else if r.withdrawalSince == 0 {
			r.withdrawalSince = now
		}
		if lost {
			replicas = append(replicas, r)
		}
	}
	slices.SortStableFunc(replicas, func(a, b *replica) int {
		return cmp.Compare(cmp.Or(a.withdrawalSince, math.MaxInt64), cmp.Or(b.withdrawalSince, math.MaxInt64))
	})
	return replicas
}

// anyStreamLimited tells whether one of a replica's proxies may get no more messages now.
func (c *channel) anyStreamLimited(r *replica) bool {
	return slices.ContainsFunc(r.streams, func(s *stream) bool { return c.messageLimitReached(s, r.withdrawalSince > 0) })
}

// newStreams are the streams that have joined and are not bound yet.
func (c *channel) newStreams() []*stream {
	return slices.DeleteFunc(c.streamsToBind(), func(s *stream) bool { return s.replica != nil })
}

// misplacedStreams are the streams that are bound to other tables than planned.
func (c *channel) misplacedStreams() []*stream {
	return slices.DeleteFunc(c.streamsToBind(), func(s *stream) bool { return s.replica == nil })
}

// streamsToBind are the streams that are not bound as planned, those that joined first in front.
func (c *channel) streamsToBind() (streams []*stream) {
	for _, s := range c.streams {
		if group, has := c.plan.proxyGroups[s.proxy]; has && (s.replica == nil || s.replica.group != group) {
			streams = append(streams, s)
		}
	}
	slices.SortFunc(streams, func(a, b *stream) int {
		return cmp.Or(cmp.Compare(a.connectedAt, b.connectedAt), cmp.Compare(a.proxy, b.proxy))
	})
	return streams
}

// tableChange is what a table has to change by to be as planned.
type tableChange struct {
	withdrawn        []tableLine // what the rules want: endpoints that are withdrawn, and the first line of a table that would be empty
	removed          []tableLine // other lines that go
	updated          []tableLine // lines that come, or have another weight
	admission        policyapi.SetAdmission
	admissionChanged bool
	replaces         bool // no line that the table holds stays
}

// size is how many lines the whole change has.
func (t tableChange) size() int {
	n := len(t.withdrawn) + len(t.removed) + len(t.updated)
	if t.admissionChanged {
		n++
	}
	return n
}

// queuedLines is how many lines may still wait in the channel, by what has been acknowledged. Messages to different proxies may
// overtake each other, by seconds; but what has been on its way for much longer than any that was acknowledged lately waits no
// more: its proxy has fallen silent, or has left, and never says so. Nor does what is a minute old, if nobody ever answers.
func (c *channel) queuedLines(now micros) (lines float64) {
	over := func(m pendingMessage) bool {
		return c.answered && now-m.sentAt > c.ackLatency()+c.ackLatency()/2+2*c.period || now-m.sentAt > endpointRetention
	}
	c.departed = slices.DeleteFunc(c.departed, over)
	for _, m := range c.departed {
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

// ackLatency is how long acknowledgements took to come lately, at most.
func (c *channel) ackLatency() micros { return max(c.ackLatencies[0], c.ackLatencies[1]) }

// recordAckLatency notes how long an acknowledgement took to come; the longest of the last five reports' time counts, and that of the five
// before.
func (c *channel) recordAckLatency(now, lag micros) {
	if now-c.ackLatenciesSince > 5*c.period {
		c.ackLatencies[0], c.ackLatencies[1], c.ackLatenciesSince = 0, c.ackLatencies[0], now
	}
	c.ackLatencies[0], c.answered = max(c.ackLatencies[0], lag), true
}
