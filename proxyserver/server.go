package proxyserver

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"go.uber.org/zap"

	"porthub/mailbox"
	"porthub/policyapi"
	"porthub/proxyproto"
	"porthub/resp"
)

const (
	// identificationTimeout is how long a connection may stay unidentified, by the protocol.
	identificationTimeout = time.Second
	// tickInterval is how often the event loop checks timeouts. An invalid client is owed its end within three seconds.
	tickInterval = 100 * time.Millisecond
	// maxUnidentifiedBytes bounds the first message of a connection: one has a hundred bytes.
	maxUnidentifiedBytes = 4 << 10
	// maxUnsentBytes bounds what a peer has not taken: no message is larger than half of that.
	maxUnsentBytes = 2 * proxyproto.MaxMessageBytes
	// minLogInterval is the least time between log lines that peers cause.
	minLogInterval = time.Second
	// maxLoggedMessage is how much of a peer's message is logged.
	maxLoggedMessage = 200
	// shutdownTimeout leaves time before SIGKILL, which may follow SIGTERM after 0.7 s.
	shutdownTimeout = 500 * time.Millisecond
)

// server is the event loop of the coordinator's address. Fields without a comment belong to the loop.
type server struct {
	gnet.BuiltinEventEngine
	addr           string                         // fixed once it listens
	mailbox        *mailbox.Mailbox[input]        // the owner's
	log            *zap.Logger                    // of any goroutine
	maxConnections int                            // fixed
	engine         gnet.Engine                    // set before booted is closed
	booted         chan struct{}                  // closed once it listens
	ended          chan error                     // has the loop's result
	loop           atomic.Pointer[gnet.EventLoop] // set with the first connection

	validatorMu sync.Mutex // guards validator: the owner applies endpoint lists
	validator   *proxyproto.Validator

	connections       int
	unidentified      []*connection // by age; also some that are identified or closed by now
	streams           map[*connection]bool
	backlog           []input // for the owner, while its lane is full
	malformedLoggedAt time.Time

	counters counters
}

// counters are written by the event loop and read by the owner, for the status line.
type counters struct {
	open        atomic.Int64 // connections
	rejected    atomic.Int64 // connections
	evicted     atomic.Int64 // connections closed to make place
	stalled     atomic.Int64 // connections closed because the peer took nothing
	malformed   atomic.Int64 // messages
	lostReports atomic.Int64
	pendingAcks atomic.Int64 // of all streams
	unsentBytes atomic.Int64 // that the sockets have not taken
}

// OnBoot records the engine; connections are accepted from now on.
func (s *server) OnBoot(engine gnet.Engine) gnet.Action {
	s.engine = engine
	close(s.booted)
	return gnet.None
}

// OnTick checks timeouts. It runs in a goroutine of gnet's and hands the work to the event loop.
func (s *server) OnTick() (time.Duration, gnet.Action) {
	if loop := s.loop.Load(); loop != nil {
		_ = (*loop).Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
			s.flushBacklog()
			s.closeLateUnidentified(time.Now())
			s.updateCounters()
			return nil
		}))
	}
	return tickInterval, gnet.None
}

// updateCounters counts what waits on the sockets.
func (s *server) updateCounters() {
	pendingAcks := 0
	unsentBytes := 0
	for c := range s.streams {
		pendingAcks += c.session.PendingAcks()
		unsentBytes += c.conn.OutboundBuffered()
	}
	s.counters.pendingAcks.Store(int64(pendingAcks))
	s.counters.unsentBytes.Store(int64(unsentBytes))
}

// OnTraffic takes all complete messages off a connection.
func (s *server) OnTraffic(conn gnet.Conn) gnet.Action {
	c, is := conn.Context().(*connection)
	if !is {
		return gnet.Close
	}
	buf, err := conn.Peek(-1)
	if err != nil {
		return gnet.Close
	}
	c.receivedAt = time.Now()
	taken, action := s.receive(c, buf)
	if taken > 0 { // gnet takes 0 for all: a message that comes in pieces would be lost
		_, _ = conn.Discard(taken)
	}
	return action
}

// receive takes the complete messages at the front of a buffer and returns their size.
func (s *server) receive(c *connection, buf []byte) (taken int, action gnet.Action) {
	for taken < len(buf) {
		limits := proxyproto.IncomingLimits
		if c.session.Role == proxyproto.Unidentified {
			limits.Bytes = maxUnidentifiedBytes
		}
		words, size, err := resp.Parse(buf[taken:], limits)
		if err != nil {
			return taken, s.closeRejected(c, err)
		}
		if size == 0 {
			return taken, gnet.None
		}
		taken += size
		if s.receiveMessage(c, words) == gnet.Close {
			return taken, gnet.Close
		}
	}
	return taken, gnet.None
}

func (s *server) receiveMessage(c *connection, words [][]byte) gnet.Action {
	s.validatorMu.Lock()
	event, reply, err := c.session.Receive(words, s.validator)
	s.validatorMu.Unlock()
	switch {
	case errors.Is(err, proxyproto.ErrRejected):
		return s.closeRejected(c, err)
	case err != nil:
		s.ignoreMalformed(words, err)
	case len(reply) > 0:
		if _, err := c.conn.Write(reply); err != nil || c.conn.OutboundBuffered() > maxUnsentBytes {
			return gnet.Close
		}
	case event != nil:
		s.deliver(c, event)
	}
	return gnet.None
}

// ignoreMalformed counts a malformed message and logs it, unless another one was logged just before.
func (s *server) ignoreMalformed(words [][]byte, err error) {
	s.counters.malformed.Add(1)
	now := time.Now()
	if now.Sub(s.malformedLoggedAt) <= minLogInterval {
		return
	}
	s.malformedLoggedAt = now
	s.log.Info("malformed message ignored", zap.Error(err), zap.String("message", resp.Text(words, maxLoggedMessage)))
}

// closeRejected closes a connection that can't be understood, or is rejected. Messages on a stream can't be told apart any more, so its
// proxy counts as disconnected; it is sent no NACK, which is no order.
func (s *server) closeRejected(c *connection, err error) gnet.Action {
	s.counters.rejected.Add(1)
	s.log.Debug("connection closed", zap.Error(err), zap.Int("proxy", int(c.session.Proxy)))
	if c.session.Role == proxyproto.Unidentified {
		_, _ = c.conn.Write(proxyproto.NackReply)
	}
	return gnet.Close
}

// send writes a message to a stream. It may be called from any goroutine.
func (s *server) send(c *connection, message proxyproto.OutboundMessage) {
	// The callback runs on the event loop once the message has been written, or could not be.
	_ = c.conn.AsyncWrite(message.Bytes, func(conn gnet.Conn, err error) error {
		if err != nil {
			// gnet has closed the connection, before or because of this write: OnClose tells the owner. The proxy is not asked to
			// acknowledge what it did not get. gnet ignores what the callback returns.
			return err
		}
		s.sent(c, conn, message)
		return nil
	})
}

// sent records a message that was written, and closes the connection if the peer takes nothing.
func (s *server) sent(c *connection, conn gnet.Conn, message proxyproto.OutboundMessage) {
	if c.closed {
		return
	}
	if message.RequestsAck {
		if c.session.PendingAcks() == 0 {
			c.ackPendingSince = time.Now()
		}
		c.session.AckRequested(message.AckID)
	}
	if conn.OutboundBuffered() > maxUnsentBytes {
		s.counters.stalled.Add(1)
		_ = c.conn.EventLoop().Close(c.conn)
	}
}

// closeConnection closes a connection. It may be called from any goroutine.
func (s *server) closeConnection(c *connection) { _ = c.conn.Close() }

// applyList updates which endpoints messages may name, and returns those that they may no longer name. It may be called from any
// goroutine.
func (s *server) applyList(update policyapi.EndpointUpdate) []policyapi.EndpointID {
	s.validatorMu.Lock()
	defer s.validatorMu.Unlock()
	return s.validator.Apply(update)
}

// close writes what the sockets take at once, closes all connections and waits for the event loop's end, within shutdownTimeout. It is
// not bound to gnet's Stop, which looks for the end each half second only.
func (s *server) close() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	go func() { _ = s.engine.Stop(ctx) }() // ends with ctx at the latest
	select {
	case err := <-s.ended:
		s.log.Debug("event loop ended", zap.Error(err))
	case <-ctx.Done():
	}
}
