package proxyserver

import "porthub/policyapi"

// maxBacklog bounds what the event loop keeps for the owner beside its lane: connects, disconnects and acknowledgements. Beyond it the
// loop waits, and no connection can bring more.
const maxBacklog = laneCapacity

// deliver hands a peer's event to the owner. Load reports may be lost where the owner is far behind; other events never are.
func (s *server) deliver(c *connection, event policyapi.Event) {
	switch event.(type) {
	case policyapi.EndpointLoad, policyapi.ProxyLoad:
		if !s.mailbox.TryPut(input{connection: c, event: event}) {
			s.counters.lostReports.Add(1)
		}
	case policyapi.ProxyConnected:
		s.streams[c] = true
		s.enqueue(input{connection: c, event: event})
	default:
		s.enqueue(input{connection: c, event: event})
	}
}

// enqueue hands the owner an input that must not be lost. While the owner's lane is full the loop goes on answering PING, closing
// connections and checking timeouts, and hands the backlog over later, in order.
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

// flushBacklog hands the backlog over, as far as the owner's lane has room.
func (s *server) flushBacklog() {
	for len(s.backlog) > 0 && s.mailbox.TryPutUrgent(s.backlog[0]) {
		s.backlog[0] = input{}
		s.backlog = s.backlog[1:]
	}
	if len(s.backlog) == 0 {
		s.backlog = nil
	}
}
