package policy

import (
	"maps"
	"slices"

	"porthub/policyapi"
)

// deliverySettings are the limits on the messages to the proxies.
type deliverySettings struct {
	queueLimit       float64 // lines that may wait in the channel
	messageOverhead  float64 // cost of a message in lines, in addition to the lines that it contains
	messageLimit     int     // most messages to one proxy within messageWindow; 0: no limit
	messageWindow    micros
	reportPeriod     micros
	linesPerSecond   float64              // throughput of the channel; 0: unknown
	maxLatency       micros               // of a message from the channel to the proxy
	drainGracePeriod micros               // time within which a withdrawn endpoint must be out of all tables
	classSets        []policyapi.ClassSet // by placement: a replica has one table for each, in this order
}

// channel moves the tables and levels of the proxies toward the target state, within the limits on lines and messages.
type channel struct {
	mailbox
	deliverySettings
	out               *outbox
	reportBoundGroups func(message) // sends the planner the groups that proxies are bound to

	target     targetState // the latest from the planner
	replicas   []*replica  // sorted by the number of their first table
	streams    map[policyapi.ProxyID]*stream
	admissions map[policyapi.ClassSet]policyapi.SetAdmission // levels for all tables, as last ordered

	turns          turnState
	acks           ackLatencies
	lastAckID      policyapi.AckID
	inherited      []pendingMessage               // messages of a failed instance that still occupy the queue
	inheritedSends map[policyapi.ProxyID][]micros // times of a failed instance's messages to streams that persist
}

// turnState is the channel's state that persists from turn to turn.
type turnState struct {
	deliveredAt micros            // when the last turn was
	linesSentAt micros            // when lines of tables or levels last went out
	retryAt     micros            // when pending changes are attempted again; 0: none are pending
	queued      float64           // lines in the queue, updated during a turn
	crowded     bool              // more new proxies wait than can get complete tables in time
	tablesFirst bool              // a table change had to wait: the next turn sends tables before levels
	nextTable   policyapi.TableID // where the next turn starts, so that all tables are served
}

func newChannel(out *outbox, s deliverySettings) *channel {
	return &channel{
		deliverySettings:  s,
		out:               out,
		reportBoundGroups: func(message) {},
		admissions:        map[policyapi.ClassSet]policyapi.SetAdmission{},
		streams:           map[policyapi.ProxyID]*stream{},
	}
}

func (c *channel) receive(now micros, m message) {
	switch m := m.(type) {
	case hostEvent:
		c.handleEvent(now, m.event)
	case targetState:
		c.target = m
		c.deliver(now)
	case retryDelivery:
		if c.turns.retryAt > 0 && now >= c.turns.retryAt {
			c.turns.retryAt = 0
			c.target.urgent = false
			c.deliver(now)
		}
	}
}

func (c *channel) handleEvent(now micros, event policyapi.Event) {
	switch event := event.(type) {
	case policyapi.ProxyConnected:
		c.disconnect(event.Proxy) // the new stream may be reported before the end of the old one
		c.streams[event.Proxy] = &stream{
			proxy:               event.Proxy,
			connectedAt:         now,
			hasDefaultTableOnly: event.HasDefaultTableOnly,
			sentAt:              c.inheritedSends[event.Proxy],
		}
		delete(c.inheritedSends, event.Proxy)
	case policyapi.ProxyDisconnected:
		c.disconnect(event.Proxy)
	case policyapi.Acknowledged:
		if s := c.streams[event.Proxy]; s != nil {
			c.acknowledge(now, s, event.AckID)
		}
	}
}

// disconnect drops a stream. The messages that wait for its proxy are dropped from the queue as well, so they are no longer
// counted: counting them would delay the orders to the proxies that stay connected.
func (c *channel) disconnect(id policyapi.ProxyID) {
	s := c.streams[id]
	if s == nil {
		return
	}
	s.unbind()
	delete(c.streams, id)
}

// acknowledge records that a proxy has applied a message and all before it.
func (c *channel) acknowledge(now micros, s *stream, id policyapi.AckID) {
	i := slices.IndexFunc(s.unacknowledged, func(m pendingMessage) bool { return m.ackID == id })
	if i < 0 {
		return
	}
	c.acks.record(now, now-s.unacknowledged[i].sentAt, c.reportPeriod)
	s.unacknowledged = slices.Delete(s.unacknowledged, 0, i+1)
}

// takeOver copies the record of the messages that a failed instance had sent: they still occupy the queue, and count
// against the message limits of the streams that persist.
func (c *channel) takeOver(failed *channel) {
	c.inherited = slices.Clone(failed.inherited)
	c.inheritedSends = map[policyapi.ProxyID][]micros{}
	for _, id := range slices.Sorted(maps.Keys(failed.streams)) {
		s := failed.streams[id]
		c.inherited = append(c.inherited, s.unacknowledged...)
		c.inheritedSends[id] = s.sentAt
	}
	c.acks = failed.acks
}
