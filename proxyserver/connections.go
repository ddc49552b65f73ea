package proxyserver

import (
	"time"

	"github.com/panjf2000/gnet/v2"

	"porthub/policyapi"
	"porthub/proxyproto"
)

// silenceTimeout is when a stream that owes an acknowledgement counts as dead. Acknowledgements were seen to take eleven seconds where
// the channel is full, and a proxy without requests has no load to report meanwhile; the decision module too gives up what is a minute
// old.
const silenceTimeout = time.Minute

// connection is a peer's connection. It belongs to the event loop, but for the field connected.
type connection struct {
	conn            gnet.Conn
	session         proxyproto.Session
	acceptedAt      time.Time
	receivedAt      time.Time // when bytes last came
	ackPendingSince time.Time // since when an acknowledgement is, or was, owed
	closed          bool

	// connected belongs to the owner: the event that connected the stream. HasDefaultTableOnly holds until a table was sent.
	connected policyapi.ProxyConnected
}

// isSilent reports whether a stream owes an acknowledgement and nothing has come from it for silenceTimeout.
func (c *connection) isSilent(now time.Time) bool {
	return c.session.PendingAcks() > 0 && now.Sub(c.receivedAt) > silenceTimeout && now.Sub(c.ackPendingSince) > silenceTimeout
}

// OnOpen accepts a connection. Beyond the limit the oldest unidentified connection is closed, so that a proxy can always connect. If
// all are identified, a silent stream is closed; without one the new connection is rejected: its proxy counts as connected to none and
// has other coordinators to go to.
func (s *server) OnOpen(conn gnet.Conn) ([]byte, gnet.Action) {
	loop := conn.EventLoop()
	s.loop.CompareAndSwap(nil, &loop)
	c := &connection{conn: conn, acceptedAt: time.Now()}
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

// OnClose tells the owner of a stream's end.
func (s *server) OnClose(conn gnet.Conn, _ error) gnet.Action {
	c, is := conn.Context().(*connection)
	if !is {
		return gnet.None
	}
	c.closed = true
	s.connections--
	s.counters.open.Store(int64(s.connections))
	if c.session.Role == proxyproto.Stream {
		delete(s.streams, c)
		s.enqueue(input{connection: c, event: policyapi.ProxyDisconnected{Proxy: c.session.Proxy}})
	}
	return gnet.None
}

// popOldestUnidentified removes the oldest unidentified connection from the queue. There must be one.
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

// closeLateUnidentified rejects connections that have not identified themselves in time.
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
	s.unidentified = nil // releases what hundreds of connections took
}

// longestSilent returns the silent stream from which nothing has come for longest, nil if there is none. Its proxy is gone without an
// end of the connection, and must not take the place of another.
func (s *server) longestSilent(now time.Time) (longest *connection) {
	for c := range s.streams {
		if c.isSilent(now) && (longest == nil || c.receivedAt.Before(longest.receivedAt)) {
			longest = c
		}
	}
	return longest
}

// reject closes a connection from within the event loop, but not from its own callbacks: those return gnet.Close.
func (s *server) reject(c *connection) {
	_, _ = c.conn.Write(proxyproto.NackReply)
	_ = c.conn.EventLoop().Close(c.conn)
}
