package proxyserver

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/panjf2000/gnet/v2"
	"go.uber.org/zap"

	"porthub/policyapi"
	"porthub/proxyproto"
	"porthub/resp"
)

// Bounds on what one connection may cost. The first two are the protocol's: who has not joined after a second may be closed,
// and a bad client is owed an end within three.
const (
	identificationTimeout = time.Second
	tickInterval          = 100 * time.Millisecond
	maxUnidentifiedBytes  = 4 << 10                        // bytes of a message before the joining: one has a hundred
	maxUnsentBytes        = 2 * proxyproto.MaxMessageBytes // what a peer has not taken: no order is larger than half of that
)

// reservedDescriptors are the descriptors that connections may not take: standard streams, listener, pollers, a watch and the one that
// follows it, a whole list, probes and their name look-ups, the log.
const reservedDescriptors = 16 + maxConcurrentHealthChecks

// server is the coordinator's address. Its state belongs to the event loop, but for the counters.
type server struct {
	gnet.BuiltinEventEngine
	n                 *Coordinator
	maxConnections    int // connections
	engine            gnet.Engine
	booted            chan struct{}
	ended             chan error
	loop              atomic.Pointer[gnet.EventLoop]
	validatorMu       sync.Mutex // of known: the owner follows the list
	validator         *proxyproto.Validator
	connections       int
	backlog           []input       // to the owner, while its lane is full
	unidentified      []*connection // by age; those that have joined or ended are passed over
	streams           map[*connection]bool
	malformedLoggedAt time.Time // when a spoilt message was logged last: all are counted
	counters          counters
}

// counters are read by the owner for its log.
type counters struct {
	open, rejected, malformed, lostReports, evicted, stalled atomic.Int64
	pendingAcks, unsentBytes                                 atomic.Int64 // without an answer; bytes that the sockets have not taken
}

// connection is one connection. Its peer belongs to the event loop, what the module holds of it to the owner.
type connection struct {
	conn            gnet.Conn
	session         proxyproto.Session
	acceptedAt      time.Time
	receivedAt      time.Time // when it last said something
	ackPendingSince time.Time // since when the oldest mark without an answer is, or was, the oldest
	closed          bool
	connected       policyapi.ProxyConnected // the owner's; Fresh until a table was laid
}

func listen(n *Coordinator, addr string, most int, known *proxyproto.Validator) (*server, error) {
	addr, err := reserveAddress(addr)
	if err != nil {
		return nil, fmt.Errorf("%w: listen on %w", ErrEnvironment, err)
	}
	s := &server{n: n, maxConnections: most, booted: make(chan struct{}), ended: make(chan error, 1), validator: known, streams: map[*connection]bool{}}
	go func() {
		// One at a time off the backlog, so that the bound on connections holds at each: with an acceptor of its own gnet
		// takes in all that wait before any handler is asked, and stops for good once descriptors run out.
		s.ended <- gnet.Run(s, "tcp://"+addr, gnet.WithNumEventLoop(1), gnet.WithReusePort(true), gnet.WithReuseAddr(true),
			gnet.WithTicker(true), gnet.WithTCPNoDelay(gnet.TCPNoDelay), gnet.WithLogger(n.log.Sugar()))
	}()
	select {
	case <-s.booted:
		n.addr = addr
		return s, nil
	case err := <-s.ended:
		return nil, fmt.Errorf("%w: listen on %s: %w", ErrEnvironment, addr, err)
	}
}

// reserveAddress finds out whether an address is free, and which port it has. gnet's one loop accepts by itself only where addresses may
// be shared, so it would not notice that somebody listens there already. What is claimed does not listen: who connects before
// gnet does is refused and comes again, and not taken and reset.
func reserveAddress(text string) (string, error) {
	addr, err := net.ResolveTCPAddr("tcp", text)
	if err != nil {
		return "", err
	}
	family, at := syscall.AF_INET, syscall.Sockaddr(&syscall.SockaddrInet4{Port: addr.Port})
	if ip := addr.IP.To4(); ip != nil {
		at = &syscall.SockaddrInet4{Port: addr.Port, Addr: [4]byte(ip)}
	} else if addr.IP != nil {
		family, at = syscall.AF_INET6, &syscall.SockaddrInet6{Port: addr.Port, Addr: [16]byte(addr.IP)}
	}
	fail := func(call string, err error) (string, error) {
		return "", fmt.Errorf("%s: %w", text, os.NewSyscallError(call, err))
	}
	fd, err := syscall.Socket(family, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return fail("socket", err)
	}
	defer syscall.Close(fd)
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return fail("setsockopt", err)
	}
	if err := syscall.Bind(fd, at); err != nil {
		return fail("bind", err)
	}
	if at, err = syscall.Getsockname(fd); err != nil {
		return fail("getsockname", err)
	}
	switch at := at.(type) {
	case *syscall.SockaddrInet4:
		addr.Port = at.Port
	case *syscall.SockaddrInet6:
		addr.Port = at.Port
	}
	return addr.String(), nil
}

func (s *server) OnBoot(engine gnet.Engine) gnet.Action {
	s.engine = engine
	close(s.booted)
	return gnet.None
}

// OnOpen takes a connection in. Where there are as many as may be, the oldest that has not joined goes, so that a proxy can
// join; where all have, one that has fallen silent goes, and else the new one is not taken: it counts as joined to none, and
// has others to go to.
func (s *server) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	loop := c.EventLoop()
	s.loop.CompareAndSwap(nil, &loop)
	l := &connection{conn: c, acceptedAt: time.Now()}
	c.SetContext(l)
	s.connections++
	s.counters.open.Store(int64(s.connections))
	s.unidentified = append(s.unidentified, l)
	for s.connections > s.maxConnections {
		s.counters.evicted.Add(1)
		if oldest := s.oldestUnidentified(); oldest != l {
			s.reject(oldest)
			continue
		}
		silent := s.longestSilent(l.acceptedAt)
		if silent == nil {
			return proxyproto.NackReply, gnet.Close
		}
		s.unidentified = append(s.unidentified, l)
		_ = loop.Close(silent.conn)
	}
	return nil, gnet.None
}

// oldestUnidentified takes the oldest that has not joined off the list; there is one, it has just come.
func (s *server) oldestUnidentified() *connection {
	for {
		l := s.unidentified[0]
		s.unidentified[0], s.unidentified = nil, s.unidentified[1:]
		if !l.closed && l.session.Role == proxyproto.Unidentified {
			return l
		}
	}
}

// silenceTimeout is when a stream that owes an answer has fallen silent for certain. Answers were seen to take eleven seconds where
// the channel is full, and a quiet proxy has no usage to tell meanwhile; the module too gives up what is a minute old.
const silenceTimeout = time.Minute

// longestSilent is the stream that has been silent for longest while it owes an answer: its proxy has left without a word, and it must
// not hold the place of one that comes. Nil if there is none.
func (s *server) longestSilent(now time.Time) (longest *connection) {
	for l := range s.streams {
		silent := l.session.PendingAcks() > 0 && now.Sub(l.receivedAt) > silenceTimeout && now.Sub(l.ackPendingSince) > silenceTimeout
		if silent && (longest == nil || l.receivedAt.Before(longest.receivedAt)) {
			longest = l
		}
	}
	return longest
}

// reject ends a connection from within the loop, but not from its own callbacks: those return gnet.Close.
func (s *server) reject(l *connection) {
	_, _ = l.conn.Write(proxyproto.NackReply)
	_ = l.conn.EventLoop().Close(l.conn)
}

func (s *server) OnClose(c gnet.Conn, _ error) gnet.Action {
	l, is := c.Context().(*connection)
	if !is {
		return gnet.None
	}
	l.closed = true
	s.connections--
	s.counters.open.Store(int64(s.connections))
	if l.session.Role == proxyproto.Stream {
		delete(s.streams, l)
		s.enqueue(input{connection: l, event: policyapi.ProxyDisconnected{Proxy: l.session.Proxy}})
	}
	return gnet.None
}

// OnTick looks for those that have not joined in time.
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

// updateCounters tells the owner what really waits on the sockets.
func (s *server) updateCounters() {
	marks, unsent := 0, 0
	for l := range s.streams {
		marks, unsent = marks+l.session.PendingAcks(), unsent+l.conn.OutboundBuffered()
	}
	s.counters.pendingAcks.Store(int64(marks))
	s.counters.unsentBytes.Store(int64(unsent))
}

func (s *server) closeLateUnidentified(now time.Time) {
	for len(s.unidentified) > 0 {
		l := s.unidentified[0]
		if !l.closed && l.session.Role == proxyproto.Unidentified {
			if now.Sub(l.acceptedAt) < identificationTimeout {
				return
			}
			s.counters.rejected.Add(1)
			s.reject(l)
		}
		s.unidentified[0] = nil
		s.unidentified = s.unidentified[1:]
	}
	s.unidentified = nil // the room that hundreds took
}

// OnTraffic takes all whole messages off a connection.
func (s *server) OnTraffic(c gnet.Conn) gnet.Action {
	l, is := c.Context().(*connection)
	if !is {
		return gnet.Close
	}
	buf, err := c.Peek(-1)
	if err != nil {
		return gnet.Close
	}
	l.receivedAt = time.Now()
	taken := 0
	defer func() {
		if taken > 0 { // to discard nothing is to discard all, for gnet: a message that comes in pieces would be lost
			_, _ = c.Discard(taken)
		}
	}()
	for taken < len(buf) {
		limits := proxyproto.IncomingLimits
		if l.session.Role == proxyproto.Unidentified {
			limits.Bytes = maxUnidentifiedBytes
		}
		words, size, err := resp.Take(buf[taken:], limits)
		if err != nil {
			return s.closeRejected(l, err)
		}
		if size == 0 {
			return gnet.None
		}
		taken += size
		s.validatorMu.Lock()
		in, answer, err := l.session.Receive(words, s.validator)
		s.validatorMu.Unlock()
		switch {
		case errors.Is(err, proxyproto.ErrRejected):
			return s.closeRejected(l, err)
		case err != nil:
			s.counters.malformed.Add(1)
			if now := time.Now(); now.Sub(s.malformedLoggedAt) > minLogInterval {
				s.malformedLoggedAt = now
				s.n.log.Info("a message is passed over", zap.Error(err), zap.String("message", resp.Text(words, 200)))
			}
		case len(answer) > 0:
			if _, err := c.Write(answer); err != nil || c.OutboundBuffered() > maxUnsentBytes {
				return gnet.Close
			}
		case in != nil:
			s.deliver(l, in)
		}
	}
	return gnet.None
}

// closeRejected ends a connection that can't be understood, or is not taken. What a stream has said can't be told apart any
// more, so it counts as left; a NACK would be no order.
func (s *server) closeRejected(l *connection, err error) gnet.Action {
	s.counters.rejected.Add(1)
	s.n.log.Debug("a connection is ended", zap.Error(err), zap.Int("proxy", int(l.session.Proxy)))
	if l.session.Role == proxyproto.Unidentified {
		_, _ = l.conn.Write(proxyproto.NackReply)
	}
	return gnet.Close
}

// deliver gives the owner what a peer said. Reports may be lost where it is far behind, never joinings, leaves and answers.
func (s *server) deliver(l *connection, in policyapi.Event) {
	switch in.(type) {
	case policyapi.EndpointLoad, policyapi.ProxyLoad:
		if !s.n.mailbox.TryPut(input{connection: l, event: in}) {
			s.counters.lostReports.Add(1)
		}
	case policyapi.ProxyConnected:
		s.streams[l] = true
		s.enqueue(input{connection: l, event: in})
	default:
		s.enqueue(input{connection: l, event: in})
	}
}

// maxBacklog bounds what the loop keeps for the owner beside its lane. All that goes there was said by connections, each a
// joining, a leave or an answer to a mark; beyond the bound the loop waits, and nobody can say more.
const maxBacklog = laneCapacity

// enqueue hands the owner what must not be lost. Where its lane is full the loop goes on, with signs of life, closes and
// time-outs, and hands the rest over later, in order.
func (s *server) enqueue(e input) {
	if len(s.backlog) == 0 && s.n.mailbox.TryPutUrgent(e) {
		return
	}
	s.backlog = append(s.backlog, e)
	s.flushBacklog()
	if len(s.backlog) > maxBacklog {
		s.n.mailbox.PutUrgent(s.backlog[0])
		s.backlog = s.backlog[1:]
	}
}

// flushBacklog hands the backlog over, as far as there is room.
func (s *server) flushBacklog() {
	for len(s.backlog) > 0 && s.n.mailbox.TryPutUrgent(s.backlog[0]) {
		s.backlog[0] = input{}
		s.backlog = s.backlog[1:]
	}
	if len(s.backlog) == 0 {
		s.backlog = nil
	}
}

// send writes a message to a stream; from any goroutine.
func (s *server) send(l *connection, p proxyproto.OutboundMessage) {
	_ = l.conn.AsyncWrite(p.Bytes, func(c gnet.Conn, err error) error {
		if err != nil || l.closed {
			return nil
		}
		if p.RequestsAck {
			if l.session.PendingAcks() == 0 {
				l.ackPendingSince = time.Now()
			}
			l.session.AckRequested(p.AckID)
		}
		if waits := c.OutboundBuffered(); waits > maxUnsentBytes {
			s.counters.stalled.Add(1)
			_ = l.conn.EventLoop().Close(l.conn) // it takes nothing: it has fallen silent
		}
		return nil
	})
}

// closeConnection closes a connection; from any goroutine.
func (s *server) closeConnection(l *connection) { _ = l.conn.Close() }

// applyList takes in what may be named from now on, and returns what can't be any more.
func (s *server) applyList(list policyapi.EndpointUpdate) []policyapi.EndpointID {
	s.validatorMu.Lock()
	defer s.validatorMu.Unlock()
	return s.validator.Apply(list)
}

// close ends all connections, with what their sockets still take, and waits until that is done: half a second at most, as
// SIGKILL may follow after 0.7 s. The engine's own Stop looks for its end each half second only.
func (s *server) close() {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	go func() { _ = s.engine.Stop(ctx) }()
	select {
	case <-s.ended:
	case <-ctx.Done():
	}
}
