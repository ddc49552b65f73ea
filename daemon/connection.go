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
	maxUnsentBytes = 1 << 20         // of answers that a peer has not taken
	requestTimeout = 5 * time.Second // a request that has begun must be complete within this
)

// connection is one connection of a peer. Its event loop owns it, but for conn and the atomic fields.
type connection struct {
	id             coordinator.ConnID
	conn           gnet.Conn
	addressCount   *atomic.Int64 // connections of its address
	requestBeganAt time.Time     // when the request that is not complete yet began; zero: there is none
	requests       int           // that came on it
	busy           atomic.Bool   // a request is with the core, or a poll is held
	cancelPoll     atomic.Pointer[func()]

	gateway    coordinator.Gateway // empty until it has named itself
	polls      bool
	announced  bool      // the core knows that it is its gateway's link
	reportedAt time.Time // when its last report was accepted
}

// OnTraffic reads complete requests from a connection, one at a time: the next one is read once the last is answered.
func (s *server) OnTraffic(c gnet.Conn) gnet.Action {
	p, ok := c.Context().(*connection)
	if !ok {
		return gnet.Close
	}
	if c.OutboundBuffered() > maxUnsentBytes {
		return gnet.Close // it does not read its answers
	}
	for !p.busy.Load() {
		if action, more := s.readRequest(c, p); !more {
			return action
		}
	}
	if c.InboundBuffered() > maxHeadBytes+maxBodyBytes {
		return gnet.Close // it sends on without waiting for answers
	}
	return gnet.None
}

// readRequest reads and serves the connection's next request; more is false if there is none, or if it must be closed.
func (s *server) readRequest(c gnet.Conn, p *connection) (action gnet.Action, more bool) {
	buffered, err := c.Peek(-1)
	if err != nil || len(buffered) == 0 {
		p.requestBeganAt = time.Time{}
		return gnet.None, false
	}
	if p.requestBeganAt.IsZero() {
		p.requestBeganAt = time.Now()
	}
	request, body, size, err := http1.ParseRequest(buffered, http1.Limits{Head: maxHeadBytes, Body: maxBodyBytes})
	if err != nil {
		return s.rejectMalformed(c, err), false
	}
	if size == 0 {
		return s.checkRequestTimeout(p), false
	}
	if _, err := c.Discard(size); err != nil {
		return gnet.Close, false
	}
	p.requestBeganAt = time.Time{}
	p.requests++
	if limit := s.daemon.config.Limits.Requests; limit > 0 && p.requests > limit {
		return s.rejectAndClose(c, http.StatusTooManyRequests, fmt.Sprintf("a connection has %d requests: open another", limit)), false
	}
	s.serve(p, request, body)
	return gnet.None, true
}

// rejectMalformed answers a request that can't be read.
func (s *server) rejectMalformed(c gnet.Conn, err error) gnet.Action {
	var malformed *http1.Error
	if errors.As(err, &malformed) {
		return s.rejectAndClose(c, malformed.Code, malformed.Reason)
	}
	return s.rejectAndClose(c, http.StatusBadRequest, err.Error())
}

// checkRequestTimeout closes a connection whose request has not become complete in time.
func (s *server) checkRequestTimeout(p *connection) gnet.Action {
	if time.Since(p.requestBeganAt) > requestTimeout {
		s.countRejection("a request that does not end", p.conn.RemoteAddr().String())
		return gnet.Close
	}
	return gnet.None
}

// rejectAndClose answers with an error and closes: what follows on the connection can't be told apart.
func (s *server) rejectAndClose(c gnet.Conn, status int, reason string) gnet.Action {
	s.countRejection(c.RemoteAddr().String(), reason)
	_, _ = c.Write(http1.EncodeResponse(status, "text/plain", []byte(reason+"\n"), true))
	return gnet.Close
}

// answer sends a response and lets the connection's next request be read. It may be called by any goroutine.
func (s *server) answer(p *connection, status int, contentType string, body []byte) {
	p.busy.Store(false)
	_ = p.conn.AsyncWrite(http1.EncodeResponse(status, contentType, body, false), func(c gnet.Conn, err error) error {
		if err == nil && c != nil && c.InboundBuffered() > 0 {
			return c.Wake(nil)
		}
		return nil
	})
}
