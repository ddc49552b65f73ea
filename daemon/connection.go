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
)

// Limits on the resources that one peer can use.
const (
	maxHeadBytes   = 16 << 10        // of a request's head: the request line and the headers
	maxBodyBytes   = 4 << 20         // of a request's body; a report on a thousand endpoints needs a tenth of this
	maxUnsentBytes = 1 << 20         // of responses that the peer has not read yet
	requestTimeout = 5 * time.Second // from the first byte of a request until it is complete
)

// connection is the state of one connection of a peer. Its event loop owns it: other goroutines use only id, gnetConn, the
// atomic fields and, once the connection is a gateway's link, polls.
type connection struct {
	id             coordinator.ConnID
	gnetConn       gnet.Conn
	addressCount   *atomic.Int64          // number of connections from the peer's address
	requestBeganAt time.Time              // when the incomplete request in the buffer began; zero if there is none
	requests       int                    // number of requests received
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
	if !ok {
		return gnet.Close
	}
	if c.OutboundBuffered() > maxUnsentBytes {
		return gnet.Close // the peer does not read its responses
	}
	for !conn.busy.Load() {
		if action, more := s.readRequest(c, conn); !more {
			return action
		}
	}
	if c.InboundBuffered() > maxHeadBytes+maxBodyBytes {
		return gnet.Close // the peer keeps sending without waiting for responses
	}
	return gnet.None
}

// readRequest reads and serves the connection's next request. more is false if no complete request is buffered or the
// connection must be closed.
func (s *server) readRequest(c gnet.Conn, conn *connection) (action gnet.Action, more bool) {
	buffered, err := c.Peek(-1)
	if err != nil || len(buffered) == 0 {
		conn.requestBeganAt = time.Time{}
		return gnet.None, false
	}
	if conn.requestBeganAt.IsZero() {
		conn.requestBeganAt = time.Now()
	}
	request, body, size, err := http1.ParseRequest(buffered, http1.Limits{Head: maxHeadBytes, Body: maxBodyBytes})
	if err != nil {
		return s.rejectMalformed(c, err), false
	}
	if size == 0 {
		return s.checkRequestTimeout(conn), false
	}
	if _, err := c.Discard(size); err != nil {
		return gnet.Close, false
	}
	conn.requestBeganAt = time.Time{}
	conn.requests++
	if limit := s.daemon.config.Limits.Requests; limit > 0 && conn.requests > limit {
		return s.rejectAndClose(c, http.StatusTooManyRequests, fmt.Sprintf("the limit is %d requests per connection: open another", limit)), false
	}
	s.serve(conn, request, body)
	return gnet.None, true
}

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
	conn.busy.Store(false)
	_ = conn.gnetConn.AsyncWrite(http1.EncodeResponse(status, contentType, body, false), func(c gnet.Conn, err error) error {
		if err == nil && c != nil && c.InboundBuffered() > 0 {
			return c.Wake(nil)
		}
		return nil
	})
}
