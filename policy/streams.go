package policy

import (
	"cmp"
	"maps"
	"slices"

	"porthub/policyapi"
)

// maxUnacknowledged is the number of unacknowledged messages of a stream that are retained. Only a proxy that has stopped
// responding has more.
const maxUnacknowledged = 64

// stream is the channel's state of one connected proxy.
type stream struct {
	proxy               policyapi.ProxyID
	connectedAt         micros
	replica             *replica         // nil: not bound to any, the proxy uses the table that it connected with
	hasDefaultTableOnly bool             // the proxy connected with only its default table
	sentAt              []micros         // when the messages in the message window were sent
	unacknowledged      []pendingMessage // oldest first
	turnLines           float64          // lines of the current turn
}

// pendingMessage is a message that has not been acknowledged.
type pendingMessage struct {
	ackID  policyapi.AckID
	sentAt micros
	lines  float64
}

// addMessage records the message of the current turn.
func (s *stream) addMessage(m pendingMessage) {
	if len(s.unacknowledged) >= maxUnacknowledged {
		s.unacknowledged = slices.Delete(s.unacknowledged, 0, 1)
	}
	s.unacknowledged = append(s.unacknowledged, m)
	s.sentAt = append(s.sentAt, m.sentAt)
	s.turnLines = 0
}

func (s *stream) unbind() {
	if s.replica == nil {
		return
	}
	s.replica.streams = slices.DeleteFunc(s.replica.streams, func(other *stream) bool { return other == s })
	s.replica = nil
}

// bind orders a proxy to use a replica's tables and adds the cost to the queue.
func (c *channel) bind(s *stream, r *replica) {
	cost := c.bindCost(r)
	if s.turnLines == 0 {
		c.turns.queued += c.messageLines()
	}
	s.turnLines += cost
	c.turns.queued += cost
	s.unbind()
	s.replica = r
	r.streams = append(r.streams, s)
	for set, classes := range c.classSets {
		c.out.add(policyapi.BindProxy{Proxy: s.proxy, Table: r.table(set), Classes: classes})
	}
}

// bindPlanned binds a proxy to its planned tables if they fit into the queue. It returns false if the binding has to wait
// for the queue. For a proxy that has reached its message limit it returns true, since other proxies need not wait for it.
func (c *channel) bindPlanned(s *stream) bool {
	if c.messageLimitReached(s, s.replica == nil) {
		return true
	}
	limit := c.requiredLimit(c.turns.deliveredAt, s.connectedAt, 1, bindShare)
	if c.turns.queued+c.messageLines() >= limit {
		return false
	}
	r := c.replicaForBinding(s)
	if !c.bindingFits(r, limit) {
		return false
	}
	c.bind(s, r)
	return true
}

// replicaForBinding returns the replica to bind a proxy to. In a crowd, new proxies get subset tables first: complete tables
// for all of them would take the channel longer than a quarter of the drain grace period, in any order.
func (c *channel) replicaForBinding(s *stream) *replica {
	group := c.target.proxyGroups[s.proxy]
	if s.replica == nil && !s.hasDefaultTableOnly && c.turns.crowded {
		return c.subsetReplicaFor(group)
	}
	return c.replicaFor(group)
}

// bindingFits reports whether binding a proxy to a replica's tables keeps the queue below a limit. A binding that is larger
// than a window fits if the queue is empty.
func (c *channel) bindingFits(r *replica, limit float64) bool {
	if c.turns.queued == 0 {
		limit = bindShare * c.queueLimit
	}
	return c.turns.queued+c.messageLines()+c.bindCost(r) < limit
}

// replicaFor returns the complete replica of a group to bind another proxy to: the one with the fewest proxies, or a new one
// if that is full.
func (c *channel) replicaFor(group groupID) *replica {
	var least *replica
	for _, r := range c.replicas {
		if r.group == group && r.subset == 0 && (least == nil || len(r.streams) < len(least.streams)) {
			least = r
		}
	}
	if least == nil || c.isFull(least) {
		return c.addReplica(group, 0)
	}
	return least
}

// isFull reports whether a line to all proxies of a replica would take too much of the queue with one more proxy.
func (c *channel) isFull(r *replica) bool {
	line := c.messageLines() + 1 // to one proxy
	limit := min(replicaLineShare*c.queueLimit, replicaWindowShare*c.windowLines())
	return float64(len(r.streams)+1)*line > max(limit, line)
}

// allStreams returns the streams sorted by proxy, so that sums over them are always rounded alike.
func (c *channel) allStreams() (streams []*stream) {
	for _, id := range slices.Sorted(maps.Keys(c.streams)) {
		streams = append(streams, c.streams[id])
	}
	return streams
}

// newStreams returns the streams that are not bound yet, in the order in which they connected.
func (c *channel) newStreams() []*stream {
	return c.selectStreams(func(s *stream, _ groupID) bool { return s.replica == nil })
}

// misplacedStreams returns the streams that are bound to tables of another group than planned, in the order in which they
// connected.
func (c *channel) misplacedStreams() []*stream {
	return c.selectStreams(func(s *stream, group groupID) bool { return s.replica != nil && s.replica.group != group })
}

// selectStreams returns the selected streams of planned proxies in the order in which they connected.
func (c *channel) selectStreams(selected func(*stream, groupID) bool) (streams []*stream) {
	for _, s := range c.streams {
		group, planned := c.target.proxyGroups[s.proxy]
		if planned && selected(s, group) {
			streams = append(streams, s)
		}
	}
	slices.SortFunc(streams, func(a, b *stream) int {
		return cmp.Or(cmp.Compare(a.connectedAt, b.connectedAt), cmp.Compare(a.proxy, b.proxy))
	})
	return streams
}
