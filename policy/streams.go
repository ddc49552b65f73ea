package policy

import (
	"cmp"
	"slices"

	"porthub/policyapi"
)

// maxUnacknowledged is the number of unacknowledged messages of a stream that are retained: only a proxy that has
// stopped answering has more.
const maxUnacknowledged = 64

// stream is the channel's state of one connected proxy.
type stream struct {
	proxy          policyapi.ProxyID
	connectedAt    micros
	replica        *replica         // nil: not bound, the proxy uses its default table
	sentAt         []micros         // times of the messages in the message window
	unacknowledged []pendingMessage // the oldest first
	turnLines      float64          // lines of the present turn
}

// pendingMessage is a message that has not been acknowledged.
type pendingMessage struct {
	ackID  policyapi.AckID
	sentAt micros
	lines  float64
}

// addMessage counts the present turn's message.
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

// bind orders a proxy to use a replica's tables and charges the lines that this costs.
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
// for the queue. A proxy that has reached its message limit returns true: others need not wait for it.
func (c *channel) bindPlanned(s *stream) bool {
	r := c.replicaFor(c.target.proxyGroups[s.proxy])
	if c.messageLimitReached(s, s.replica == nil) {
		return true
	}
	if !c.bindingFits(r, bindShare) {
		return false
	}
	c.bind(s, r)
	return true
}

// bindingFits reports whether binding a proxy to a replica's tables keeps the queue below a share of its limit.
func (c *channel) bindingFits(r *replica, share float64) bool {
	return c.turns.queued+c.messageLines()+c.bindCost(r) < share*c.queueLimit
}

// replicaFor returns the replica of a group that a further proxy is to be bound to: the one with the fewest proxies, or a
// new one if a line to one proxy more would exceed replicaLineShare of the queue.
func (c *channel) replicaFor(group groupID) *replica {
	var least *replica
	for _, r := range c.replicas {
		if r.group == group && (least == nil || len(r.streams) < len(least.streams)) {
			least = r
		}
	}
	line := c.messageLines() + 1 // to one proxy
	if least == nil || float64(len(least.streams)+1)*line > max(replicaLineShare*c.queueLimit, line) {
		return c.addReplica(group)
	}
	return least
}

// newStreams returns the streams that are not bound yet.
func (c *channel) newStreams() []*stream {
	return slices.DeleteFunc(c.streamsToBind(), func(s *stream) bool { return s.replica != nil })
}

// misplacedStreams returns the streams that are bound to other tables than planned.
func (c *channel) misplacedStreams() []*stream {
	return slices.DeleteFunc(c.streamsToBind(), func(s *stream) bool { return s.replica == nil })
}

// streamsToBind returns the streams that are not bound as planned, in the order in which they connected.
func (c *channel) streamsToBind() (streams []*stream) {
	for _, s := range c.streams {
		group, planned := c.target.proxyGroups[s.proxy]
		if planned && (s.replica == nil || s.replica.group != group) {
			streams = append(streams, s)
		}
	}
	slices.SortFunc(streams, func(a, b *stream) int {
		return cmp.Or(cmp.Compare(a.connectedAt, b.connectedAt), cmp.Compare(a.proxy, b.proxy))
	})
	return streams
}
