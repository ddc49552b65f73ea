package daemon

import (
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"

	"porthub/coordinator"
	"porthub/http1"
	"porthub/inbound"
)

// Limits on the resources that one peer can use.
const (
	maxHeadBytes   = 16 << 10        // of a request's head: the request line and the headers
	maxBodyBytes   = 4 << 20         // of a request's body; a report on a thousand endpoints needs a tenth of this
	maxHeadFields  = 128             // of a request; a parsed field takes many times its bytes
	maxUnsentBytes = 1 << 20         // of responses that the peer has not read yet
	requestTimeout = 5 * time.Second // from the first byte of a request until it is complete

	// maxPipelinedBytes bounds what a peer sends before the previous request is answered, beyond what one read returns.
	maxPipelinedBytes = 2 * readBufferBytes
	// maxTurnBytes is how much of a connection's requests is served before other connections are. It is more than one read returns, so
	// that requests do not accumulate.
	maxTurnBytes = 2 * readBufferBytes
	// maxFailures is the number of requests within failurePeriod that may fail before the connection is closed.
	maxFailures   = 100
	failurePeriod = time.Second
	// maxReasonBytes bounds the text of an error, which may quote the request.
	maxReasonBytes = 512
)

// Limits on the resources that all peers can use together, as fractions of limits.memory_mb.
const (
	receivedDivisor = 16 // incomplete requests, and requests sent before the previous one was answered
	requestsDivisor = 32 // bodies of requests that are being processed, which take several times their size while they are decoded
	unsentDivisor   = 4  // responses that peers have not read yet
	bytesPerMB      = 1 << 20
	// smallRequestBytes is the size of a body that is always accepted: acknowledgements, commands and the reports of small gateways
	// are not delayed by large requests.
	smallRequestBytes = 16 << 10
)

// requestLimits are the limits of one request.
var requestLimits = http1.Limits{Head: maxHeadBytes, Body: maxBodyBytes, Fields: maxHeadFields}

// connection is the state of one connection of a peer. Its event loop owns it: other goroutines use only id, gnetConn, the
// atomic fields and, once the connection is a gateway's link, polls.
type connection struct {
	id             coordinator.ConnID
	gnetConn       gnet.Conn
	host           string           // the peer's address without the port
	addressCount   *atomic.Int64    // number of connections from the peer's address
	received       *inbound.Buffer  // bytes that are not read as requests yet
	unsent         *inbound.Account // bytes of responses that the peer has not read yet
	parser         http1.Parser     // of the incomplete request
	bodyBytes      atomic.Int64     // of the request that is being processed
	closed         atomic.Bool
	requestBeganAt time.Time // when the incomplete request in the buffer began; zero if there is none
	requests       int       // number of requests received
	failures       failureLimit
	busy           atomic.Bool            // a response is pending: the next request is not read yet
	cancelPoll     atomic.Pointer[func()] // cancels the last poll; nil if there was none

	gateway    coordinator.Gateway // empty until a gateway's message is accepted
	polls      bool                // the gateway polls for its tables instead of reading files
	announced  bool                // GatewayConnected for this connection was queued for the core
	reportedAt time.Time           // when the last load report was accepted
}

// OnTraffic reads and serves the complete requests of a connection, one at a time: a request is read only after the previous
// one was answered.
func (s *server) OnTraffic(c gnet.Conn) gnet.Action {
	conn, ok := c.Context().(*connection)
	if !ok || conn.received.Evicted() || conn.unsent.Evicted() {
		return gnet.Close
	}
	chunk, err := c.Next(-1)
	if err != nil {
		return gnet.Close
	}
	now := time.Now()
	s.updateUnsent(conn, now)
	if c.OutboundBuffered() > maxUnsentBytes {
		return gnet.Close // the peer does not read its responses
	}
	taken, action := s.readRequests(conn, now, conn.received.Add(now, chunk))
	conn.received.Consume(now, taken)
	if conn.busy.Load() && conn.received.Len() > maxPipelinedBytes {
		s.countRejection(conn.host, "requests are sent without waiting for responses")
		return gnet.Close
	}
	return action
}

// readRequests reads and serves the requests at the front of a buffer, and returns their total size.
func (s *server) readRequests(conn *connection, now time.Time, buffer []byte) (taken int, action gnet.Action) {
	for taken < maxTurnBytes {
		if conn.busy.Load() || conn.closed.Load() || conn.failures.isExceeded {
			return taken, gnet.None
		}
		size, action := s.readRequest(conn, now, buffer[taken:])
		if size == 0 {
			return taken, action
		}
		taken += size
	}
	if taken < len(buffer) {
		_ = conn.gnetConn.Wake(nil) // continues after other connections
	}
	return taken, gnet.None
}

// readRequest reads and serves the request at the front of a buffer, and returns its size. The size is 0 if the request is incomplete or
// the connection must be closed.
func (s *server) readRequest(conn *connection, now time.Time, buffer []byte) (size int, action gnet.Action) {
	if len(buffer) == 0 {
		conn.requestBeganAt = time.Time{}
		return 0, gnet.None
	}
	if conn.requestBeganAt.IsZero() {
		conn.requestBeganAt = now
	}
	request, body, size, err := conn.parser.ParseRequest(buffer, requestLimits)
	if err != nil {
		return 0, s.rejectMalformed(conn.gnetConn, err)
	}
	if size == 0 {
		return 0, s.checkRequestTimeout(conn)
	}
	conn.requestBeganAt = time.Time{}
	conn.requests++
	if limit := s.daemon.config.Limits.Requests; limit > 0 && conn.requests > limit {
		return 0, s.rejectAndClose(conn.gnetConn, http.StatusTooManyRequests, fmt.Sprintf("the limit is %d requests per connection: open another", limit))
	}
	s.serve(conn, request, body)
	return size, gnet.None
}

// updateUnsent counts the bytes of responses that the peer has not read yet.
func (s *server) updateUnsent(conn *connection, now time.Time) {
	conn.unsent.Set(now, conn.gnetConn.OutboundBuffered())
}

// admitBody counts the body of a request that is to be processed. It returns false if the bodies of all requests that are being processed
// would exceed their limit.
func (s *server) admitBody(conn *connection, size int) bool {
	total := s.bodyBytes.Add(int64(size))
	conn.bodyBytes.Store(int64(size))
	if size <= smallRequestBytes || total <= s.maxBodyBytes {
		return true
	}
	s.releaseBody(conn)
	return false
}

// releaseBody ends the count of the request that is being processed.
func (s *server) releaseBody(conn *connection) { s.bodyBytes.Add(-conn.bodyBytes.Swap(0)) }

// rejectMalformed rejects a request that can't be parsed and closes the connection.
func (s *server) rejectMalformed(c gnet.Conn, err error) gnet.Action {
	var malformed *http1.Error
	if errors.As(err, &malformed) {
		return s.rejectAndClose(c, malformed.Code, malformed.Reason)
	}
	return s.rejectAndClose(c, http.StatusBadRequest, err.Error())
}

// checkRequestTimeout closes a connection whose request is still incomplete after requestTimeout.
func (s *server) checkRequestTimeout(conn *connection) gnet.Action {
	if time.Since(conn.requestBeganAt) > requestTimeout {
		s.countRejection(conn.gnetConn.RemoteAddr().String(), "incomplete request")
		return gnet.Close
	}
	return gnet.None
}

// rejectAndClose responds with an error and closes the connection: after a malformed request it is unknown where the next one
// begins.
func (s *server) rejectAndClose(c gnet.Conn, status int, reason string) gnet.Action {
	s.countRejection(c.RemoteAddr().String(), reason)
	_, _ = c.Write(http1.EncodeResponse(status, "text/plain", []byte(reason+"\n"), true))
	return gnet.Close
}

// respond sends a response and allows the connection's next request to be read. It may be called by any goroutine.
func (s *server) respond(conn *connection, status int, contentType string, body []byte) {
	s.releaseBody(conn)
	conn.busy.Store(false)
	_ = conn.gnetConn.AsyncWrite(http1.EncodeResponse(status, contentType, body, false), func(c gnet.Conn, err error) error {
		if conn.closed.Load() {
			return err
		}
		s.updateUnsent(conn, time.Now())
		if conn.received.Len() > 0 {
			return c.Wake(nil)
		}
		return nil
	})
}
