package proxyserver

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"go.uber.org/zap"

	"porthub/inbound"
	"porthub/mailbox"
	"porthub/policyapi"
	"porthub/proxyproto"
	"porthub/resp"
)

const (
	// identificationTimeout is the time within which the protocol requires a connection to identify itself.
	identificationTimeout = time.Second
	// tickInterval is how often the event loop checks timeouts. The protocol requires that an invalid client is closed within three
	// seconds.
	tickInterval = 100 * time.Millisecond
	// maxUnidentifiedBytes bounds the first message of a connection. A valid one has about a hundred bytes.
	maxUnidentifiedBytes = 4 << 10
	// maxUnsentBytes bounds the bytes that a peer has not accepted yet. No message is larger than half of it.
	maxUnsentBytes = 2 * proxyproto.MaxMessageBytes
	// receivedDivisor and unsentDivisor define the fractions of the memory limit that the incomplete messages of all peers, and the bytes
	// that all peers have not accepted yet, may take. minReceivedBytes and minUnsentBytes are the least values, also without a memory limit.
	receivedDivisor  = 16
	unsentDivisor    = 8
	minReceivedBytes = 4 * proxyproto.MaxMessageBytes
	minUnsentBytes   = 4 * proxyproto.MaxMessageBytes
	bytesPerMB       = 1 << 20
	// minLogInterval is the minimum time between two log lines that peers can cause.
	minLogInterval = time.Second
	// maxLoggedMessage is the maximum number of bytes of a peer's message that are logged.
	maxLoggedMessage = 200
	// shutdownTimeout bounds the time for closing all connections, since SIGKILL may follow SIGTERM after 0.7 s.
	shutdownTimeout = 500 * time.Millisecond
)

// server is the event loop that serves the coordinator's address. Fields without a note on their use are used by the loop only.
type server struct {
	gnet.BuiltinEventEngine
	addr           string                         // fixed once the server listens
	mailbox        *mailbox.Mailbox[input]        // mailbox of the owner
	log            *zap.Logger                    // used by any goroutine
	maxConnections int                            // fixed
	received       *inbound.Budget                // bytes of incomplete messages; fixed
	unsent         *inbound.Budget                // bytes that peers have not accepted yet; fixed
	engine         gnet.Engine                    // set before booted is closed
	booted         chan struct{}                  // closed once the server listens
	ended          chan error                     // receives the result of the event loop
	loop           atomic.Pointer[gnet.EventLoop] // set with the first connection

	validatorMu sync.Mutex // guards validator, to which the owner applies endpoint lists
	validator   *proxyproto.Validator

	connections       int
	unidentified      []*connection // oldest first; may include connections that are identified or closed by now
	streams           map[*connection]bool
	unsentConnections map[*connection]bool // connections whose peers have not accepted all bytes
	replies           []byte               // to messages of the chunk that is being processed
	backlog           []input              // inputs for the owner that its urgent lane has not accepted yet
	malformedLoggedAt time.Time

	counters counters
}

// counters are written by the event loop and read by the owner for the status line.
type counters struct {
	open        atomic.Int64 // open connections
	rejected    atomic.Int64 // rejected connections
	evicted     atomic.Int64 // connections closed in favor of a new one
	overBudget  atomic.Int64 // connections closed because the bytes held for all peers exceeded a limit
	stalled     atomic.Int64 // connections closed because the peer did not read
	malformed   atomic.Int64 // malformed messages that were ignored
	lostReports atomic.Int64 // load reports dropped because the owner's lane was full
	pendingAcks atomic.Int64 // pending acknowledgements of all streams
	unsentBytes atomic.Int64 // bytes that the sockets have not accepted yet
}

// OnBoot records the engine. From then on, connections are accepted.
func (s *server) OnBoot(engine gnet.Engine) gnet.Action {
	s.engine = engine
	close(s.booted)
	return gnet.None
}

// OnTick checks timeouts. gnet calls it in a separate goroutine, so it passes the work to the event loop.
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

// updateCounters counts the pending acknowledgements of all streams and the unsent bytes of all connections.
func (s *server) updateCounters() {
	pendingAcks := 0
	for c := range s.streams {
		pendingAcks += c.session.PendingAcks()
	}
	for c := range s.unsentConnections {
		s.updateUnsent(c)
	}
	s.counters.pendingAcks.Store(int64(pendingAcks))
	s.counters.unsentBytes.Store(int64(s.unsent.Held()))
}

// updateUnsent counts the bytes that a peer has not accepted yet.
func (s *server) updateUnsent(c *connection) {
	if c.closed {
		return
	}
	unsent := c.conn.OutboundBuffered()
	if unsent == c.unsent.Bytes() {
		return
	}
	c.unsent.Set(time.Now(), unsent)
	if unsent > 0 {
		s.unsentConnections[c] = true
	} else {
		delete(s.unsentConnections, c)
	}
}

// OnTraffic reads all complete messages from a connection.
func (s *server) OnTraffic(conn gnet.Conn) gnet.Action {
	c, is := conn.Context().(*connection)
	if !is || c.received.Evicted() || c.unsent.Evicted() {
		return gnet.Close
	}
	chunk, err := conn.Next(-1)
	if err != nil {
		return gnet.Close
	}
	c.receivedAt = time.Now()
	taken, action := s.receive(c, c.received.Add(c.receivedAt, chunk))
	c.received.Consume(c.receivedAt, taken)
	if s.writeReplies(c) == gnet.Close {
		return gnet.Close
	}
	return action
}

// writeReplies writes the replies to the messages that have been received. They are written together, since the buffer of unsent bytes
// takes many times the memory of a small reply.
func (s *server) writeReplies(c *connection) gnet.Action {
	if len(s.replies) == 0 {
		return gnet.None
	}
	_, err := c.conn.Write(s.replies)
	s.replies = s.replies[:0]
	if err != nil || c.conn.OutboundBuffered() > maxUnsentBytes {
		return gnet.Close
	}
	s.updateUnsent(c)
	return gnet.None
}

// receive processes the complete messages at the front of a buffer and returns their total size.
func (s *server) receive(c *connection, buf []byte) (taken int, action gnet.Action) {
	for taken < len(buf) {
		limits := proxyproto.IncomingLimits
		if c.session.Role == proxyproto.Unidentified {
			limits.Bytes = maxUnidentifiedBytes
		}
		words, size, err := c.parser.Parse(buf[taken:], limits)
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
		s.replies = append(s.replies, reply...)
	case event != nil:
		s.deliver(c, event)
	}
	return gnet.None
}

// ignoreMalformed counts a malformed message and logs it, unless another one was logged within minLogInterval.
func (s *server) ignoreMalformed(words [][]byte, err error) {
	s.counters.malformed.Add(1)
	now := time.Now()
	if now.Sub(s.malformedLoggedAt) <= minLogInterval {
		return
	}
	s.malformedLoggedAt = now
	s.log.Info("malformed message ignored", zap.Error(err), zap.String("message", resp.Text(words, maxLoggedMessage)))
}

// closeRejected closes a connection that is rejected or whose bytes are not valid messages. After invalid bytes on a stream the
// boundaries of its messages are unknown, and its proxy counts as disconnected. NACK is sent to unidentified peers only, since
// the protocol does not have it on streams.
func (s *server) closeRejected(c *connection, err error) gnet.Action {
	s.counters.rejected.Add(1)
	s.log.Debug("connection closed", zap.Error(err), zap.Int("proxy", int(c.session.Proxy)))
	if c.session.Role == proxyproto.Unidentified {
		s.replies = append(s.replies, proxyproto.NackReply...)
	}
	return gnet.Close
}

// send writes a message to a stream. It may be called from any goroutine.
func (s *server) send(c *connection, message proxyproto.OutboundMessage) {
	// The callback runs on the event loop once the message has been written or the write has failed.
	_ = c.conn.AsyncWrite(message.Bytes, func(conn gnet.Conn, err error) error {
		if err != nil {
			// gnet has closed the connection, before or because of this write, and OnClose reports it to the owner. The proxy did
			// not get the message, so no acknowledgement is pending. gnet ignores the callback's result.
			return err
		}
		s.sent(c, conn, message)
		return nil
	})
}

// sent records that a message was written, and closes the connection if more than maxUnsentBytes are unsent.
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
		return
	}
	s.updateUnsent(c)
}

// closeConnection closes a connection. It may be called from any goroutine.
func (s *server) closeConnection(c *connection) { _ = c.conn.Close() }

// applyList updates the endpoints that messages may name, and returns the endpoints that they may no longer name. It may be
// called from any goroutine.
func (s *server) applyList(update policyapi.EndpointUpdate) []policyapi.EndpointID {
	s.validatorMu.Lock()
	defer s.validatorMu.Unlock()
	return s.validator.Apply(update)
}

// close writes as much as the sockets accept without blocking, closes all connections and waits for the end of the event loop, for
// at most shutdownTimeout. It does not wait for gnet's Stop, which polls for the end only every half second.
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
