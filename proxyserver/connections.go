package proxyserver

import (
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"

	"porthub/inbound"
	"porthub/policyapi"
	"porthub/proxyproto"
	"porthub/resp"
)

// silenceTimeout is the time after which a stream counts as silent if an acknowledgement is pending and nothing has been
// received. Acknowledgements can take eleven seconds while the channel is full, and a proxy without requests has no load to
// report in that time. The decision module also expires messages after a minute.
const silenceTimeout = time.Minute

// connection is a peer's connection. The event loop owns its fields, except for connected and for conn, whose
// AsyncWrite and Close may be called by any goroutine.
type connection struct {
	conn            gnet.Conn
	session         proxyproto.Session
	parser          resp.Parser
	received        *inbound.Buffer
	unsent          *inbound.Account
	acceptedAt      time.Time
	receivedAt      time.Time    // when bytes last arrived
	ackPendingSince time.Time    // start of the present or last period with a pending acknowledgement
	queuedReports   atomic.Int64 // load reports that wait for the owner; used by the event loop and the owner
	closed          bool

	// connected is the event that connected the stream. Only the owner uses it, and resets HasDefaultTableOnly once a table is
	// sent.
	connected policyapi.ProxyConnected
}

// isSilent reports whether an acknowledgement has been pending, and nothing has been received, for more than silenceTimeout.
func (c *connection) isSilent(now time.Time) bool {
	return c.session.PendingAcks() > 0 && now.Sub(c.receivedAt) > silenceTimeout && now.Sub(c.ackPendingSince) > silenceTimeout
}

// OnOpen accepts a connection. Beyond maxConnections, the oldest unidentified connection is closed, so that clients that do not
// identify themselves can't keep a proxy from connecting. If all other connections are identified, the longest silent stream is
// closed. If there is none, the new connection is rejected, and its proxy can connect to another coordinator.
func (s *server) OnOpen(conn gnet.Conn) ([]byte, gnet.Action) {
	loop := conn.EventLoop()
	s.loop.CompareAndSwap(nil, &loop)
	c := &connection{conn: conn, acceptedAt: time.Now()}
	c.received = s.received.NewBuffer(func() { s.closeOverBudget(c) })
	c.unsent = s.unsent.NewAccount(func() { s.closeOverBudget(c) })
	conn.SetContext(c)
	s.connections++
	s.counters.open.Store(int64(s.connections))
	s.unidentified = append(s.unidentified, c)
	for s.connections > s.maxConnections {
		s.counters.evicted.Add(1)
		if oldest := s.popOldestUnidentified(); oldest != c {
			s.reject(oldest)
			continue
		}
		silent := s.longestSilent(c.acceptedAt)
		if silent == nil {
			return proxyproto.NackReply, gnet.Close
		}
		s.unidentified = append(s.unidentified, c)
		_ = loop.Close(silent.conn)
	}
	return nil, gnet.None
}

// closeOverBudget closes a connection that has held many bytes for long, so that the bytes of all peers stay within the limit.
func (s *server) closeOverBudget(c *connection) {
	s.counters.overBudget.Add(1)
	s.closeConnection(c)
}

// OnClose reports the end of a stream to the owner.
func (s *server) OnClose(conn gnet.Conn, _ error) gnet.Action {
	c, is := conn.Context().(*connection)
	if !is {
		return gnet.None
	}
	c.closed = true
	c.received.Close()
	c.unsent.Close()
	delete(s.unsentConnections, c)
	s.connections--
	s.counters.open.Store(int64(s.connections))
	if c.session.Role == proxyproto.Stream {
		delete(s.streams, c)
		s.enqueue(input{connection: c, event: policyapi.ProxyDisconnected{Proxy: c.session.Proxy}})
	}
	return gnet.None
}

// popOldestUnidentified removes the oldest unidentified connection from the queue and returns it. There must be one.
func (s *server) popOldestUnidentified() *connection {
	for {
		c := s.unidentified[0]
		s.popUnidentified()
		if !c.closed && c.session.Role == proxyproto.Unidentified {
			return c
		}
	}
}

func (s *server) popUnidentified() {
	s.unidentified[0] = nil
	s.unidentified = s.unidentified[1:]
}

// closeLateUnidentified rejects connections that have not identified themselves within identificationTimeout.
func (s *server) closeLateUnidentified(now time.Time) {
	for len(s.unidentified) > 0 {
		c := s.unidentified[0]
		if !c.closed && c.session.Role == proxyproto.Unidentified {
			if now.Sub(c.acceptedAt) < identificationTimeout {
				return
			}
			s.counters.rejected.Add(1)
			s.reject(c)
		}
		s.popUnidentified()
	}
	s.unidentified = nil // releases the memory of a burst of connections
}

// longestSilent returns the silent stream from which nothing has been received for the longest time, or nil if there is none. Its
// proxy is assumed to have disappeared without closing the connection, so that another proxy can take its place.
func (s *server) longestSilent(now time.Time) (longest *connection) {
	for c := range s.streams {
		if c.isSilent(now) && (longest == nil || c.receivedAt.Before(longest.receivedAt)) {
			longest = c
		}
	}
	return longest
}

// reject sends NACK and closes a connection. It must be called on the event loop, but not in a callback of the same connection:
// such a callback returns gnet.Close.
func (s *server) reject(c *connection) {
	_, _ = c.conn.Write(proxyproto.NackReply)
	_ = c.conn.EventLoop().Close(c.conn)
}
