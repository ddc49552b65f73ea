package policy

import (
	"maps"
	"slices"

	"porthub/policyapi"
)

// deliverySettings are the limits on what goes out to the proxies.
type deliverySettings struct {
	queueLimit       float64 // lines that may wait
	messageOverhead  float64 // lines that a message costs beside its own
	messageLimit     int     // messages to one proxy within messageWindow; 0: no limit
	messageWindow    micros
	reportPeriod     micros
	drainGracePeriod micros               // within which a withdrawn endpoint has to be out of all tables
	classSets        []policyapi.ClassSet // of the placements: a replica has a table for each, in this order
}

// channel brings what the proxies have nearer to the target state, within the limits on lines and messages.
type channel struct {
	mailbox
	deliverySettings
	out               *outbox
	reportBoundGroups func(message) // tells the planner which groups proxies are bound to

	target     targetState // the last one
	replicas   []*replica  // by the number of their first table
	streams    map[policyapi.ProxyID]*stream
	admissions map[policyapi.ClassSet]policyapi.SetAdmission // for all tables, as last ordered

	turns          turnState
	acks           ackLatencies
	lastAckID      policyapi.AckID
	departed       []pendingMessage               // to proxies that have disconnected since: they wait in the channel all the same
	inheritedSends map[policyapi.ProxyID][]micros // to streams that persist, by an instance that has failed
}

// turnState is what the channel remembers from turn to turn.
type turnState struct {
	deliveredAt micros            // when the last turn was
	linesSentAt micros            // when lines of tables or levels last went out
	retryAt     micros            // when pending removals are sent again; 0: there are none
	queued      float64           // lines that wait, while a turn goes on
	tablesFirst bool              // a table change had to wait for others, or for admission
	nextTable   policyapi.TableID // whose turn it is
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
		c.disconnect(event.Proxy) // the new stream may come before the old one's end
		c.streams[event.Proxy] = &stream{proxy: event.Proxy, connectedAt: now, sentAt: c.inheritedSends[event.Proxy]}
		delete(c.inheritedSends, event.Proxy)
	case policyapi.ProxyDisconnected:
		c.disconnect(event.Proxy)
	case policyapi.Acknowledged:
		if s := c.streams[event.Proxy]; s != nil {
			c.acknowledge(now, s, event.AckID)
		}
	}
}

// disconnect forgets a stream, but not what still waits for it in the channel.
func (c *channel) disconnect(id policyapi.ProxyID) {
	s := c.streams[id]
	if s == nil {
		return
	}
	c.departed = append(c.departed, s.unacknowledged...)
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

// takeOver takes over what a failed instance had sent: it waits in the channel all the same, and counts for the streams
// that persist.
func (c *channel) takeOver(failed *channel) {
	c.departed = slices.Clone(failed.departed)
	c.inheritedSends = map[policyapi.ProxyID][]micros{}
	for _, id := range slices.Sorted(maps.Keys(failed.streams)) {
		s := failed.streams[id]
		c.departed = append(c.departed, s.unacknowledged...)
		c.inheritedSends[id] = s.sentAt
	}
	c.acks = failed.acks
}
