package proxyserver

import "porthub/policyapi"

// maxBacklog bounds the inputs that wait in the event loop after the owner's urgent lane has rejected one: connects, disconnects
// and acknowledgements. When it is exceeded the loop blocks, so that connections can't add more.
const maxBacklog = laneCapacity

// deliver sends a peer's event to the owner. Load reports are dropped while the owner's normal lane is full, which is the only case
// in which TryPut returns false here: the event loop is the lane's only producer. Other events are never dropped.
func (s *server) deliver(c *connection, event policyapi.Event) {
	switch event.(type) {
	case policyapi.EndpointLoad, policyapi.ProxyLoad:
		if s.exceedsLaneShare(c) || !s.mailbox.TryPut(input{connection: c, event: event}) {
			s.counters.lostReports.Add(1)
			return
		}
		c.queuedReports.Add(1)
	case policyapi.ProxyConnected:
		s.streams[c] = true
		s.enqueue(input{connection: c, event: event})
	default:
		s.enqueue(input{connection: c, event: event})
	}
}

// exceedsLaneShare reports whether the lane of reports is filling up and the connection has a large share of it: one peer that reports at
// full speed must not fill the places of others.
func (s *server) exceedsLaneShare(c *connection) bool {
	return s.mailbox.Len() > sharedLaneCapacity && c.queuedReports.Load() >= maxLaneShare
}

// enqueue sends the owner an input that must not be lost. If the urgent lane rejects it, because the lane is full or because
// another goroutine has taken the place, it and later inputs wait in the backlog and are sent later, in order; the event loop
// continues to answer PING, to close connections and to check timeouts.
func (s *server) enqueue(in input) {
	if len(s.backlog) == 0 && s.mailbox.TryPutUrgent(in) {
		return
	}
	s.backlog = append(s.backlog, in)
	s.flushBacklog()
	if len(s.backlog) > maxBacklog {
		s.mailbox.PutUrgent(s.backlog[0])
		s.backlog = s.backlog[1:]
	}
}

// flushBacklog sends the owner the backlog, up to the first input that its urgent lane rejects.
func (s *server) flushBacklog() {
	for len(s.backlog) > 0 && s.mailbox.TryPutUrgent(s.backlog[0]) {
		s.backlog[0] = input{}
		s.backlog = s.backlog[1:]
	}
	if len(s.backlog) == 0 {
		s.backlog = nil
	}
}
