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

// Bounds on what one peer may cost.
const (
	maxHeadBytes   = 16 << 10        // of a request's head
	maxBodyBytes   = 4 << 20         // of its body: a report on a thousand endpoints takes a tenth
	maxUnsentBytes = 1 << 20         // of responses that a peer has not read
	requestTimeout = 5 * time.Second // a request that has begun must be complete within this
)

// connection is one connection of a peer. Its event loop owns it, but for conn and the atomic fields.
type connection struct {
	id             coordinator.ConnID
	gnetConn       gnet.Conn
	addressCount   *atomic.Int64 // connections of its address
	requestBeganAt time.Time     // when the request that is not complete yet began; zero: there is none
	requests       int           // that came on it
	busy           atomic.Bool   // a request is with the core, or a poll is waiting
	cancelPoll     atomic.Pointer[func()]

	gateway    coordinator.Gateway // empty until it has named itself
	polls      bool
	announced  bool      // the core has been informed that it is its gateway's link
	reportedAt time.Time // when its last report was accepted
}

// OnTraffic reads complete requests from a connection, one at a time: the next one is read once the last has its response.
func (s *server) OnTraffic(c gnet.Conn) gnet.Action {
	conn, ok := c.Context().(*connection)
	if !ok {
		return gnet.Close
	}
	if c.OutboundBuffered() > maxUnsentBytes {
		return gnet.Close // it does not read its responses
	}
	for !conn.busy.Load() {
		if action, more := s.readRequest(c, conn); !more {
			return action
		}
	}
	if c.InboundBuffered() > maxHeadBytes+maxBodyBytes {
		return gnet.Close // it goes on sending without waiting for responses
	}
	return gnet.None
}

// readRequest reads and serves the connection's next request; more is false if there is none, or if it must be closed.
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

// checkRequestTimeout closes a connection whose request has not become complete in time.
func (s *server) checkRequestTimeout(conn *connection) gnet.Action {
	if time.Since(conn.requestBeganAt) > requestTimeout {
		s.countRejection(conn.gnetConn.RemoteAddr().String(), "incomplete request")
		return gnet.Close
	}
	return gnet.None
}

// rejectAndClose responds with an error and closes the connection: the boundaries of later requests on the connection are unknown.
func (s *server) rejectAndClose(c gnet.Conn, status int, reason string) gnet.Action {
	s.countRejection(c.RemoteAddr().String(), reason)
	_, _ = c.Write(http1.EncodeResponse(status, "text/plain", []byte(reason+"\n"), true))
	return gnet.Close
}

// respond sends a response and lets the connection's next request be read. It may be called by any goroutine.
func (s *server) respond(conn *connection, status int, contentType string, body []byte) {
	conn.busy.Store(false)
	_ = conn.gnetConn.AsyncWrite(http1.EncodeResponse(status, contentType, body, false), func(c gnet.Conn, err error) error {
		if err == nil && c != nil && c.InboundBuffered() > 0 {
			return c.Wake(nil)
		}
		return nil
	})
}
