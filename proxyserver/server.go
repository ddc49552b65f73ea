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
	joinWithin   = time.Second
	tick         = 100 * time.Millisecond
	strangerMost = 4 << 10                        // bytes of a message before the joining: one has a hundred
	unsentMost   = 2 * proxyproto.MaxMessageBytes // what a peer has not taken: no order is larger than half of that
)

// reserved are the descriptors that connections may not take: standard streams, listener, pollers, a watch and the one that
// follows it, a whole list, probes and their name look-ups, the log.
const reserved = 16 + probesAtOnce

// server is the coordinator's address. Its state belongs to the event loop, but for the counters.
type server struct {
	gnet.BuiltinEventEngine
	n         *Coordinator
	most      int // connections
	engine    gnet.Engine
	booted    chan struct{}
	ended     chan error
	loop      atomic.Pointer[gnet.EventLoop]
	naming    sync.Mutex // of known: the owner follows the list
	known     *proxyproto.Validator
	open      int
	backlog   []event // to the owner, while its lane is full
	strangers []*link // by age; those that have joined or ended are passed over
	streams   map[*link]bool
	saidAt    time.Time // when a spoilt message was logged last: all are counted
	counts    counts
}

// counts are read by the owner for its log.
type counts struct {
	open, refused, spoilt, lost, evicted, stuck atomic.Int64
	marks, unsent                               atomic.Int64 // without an answer; bytes that the sockets have not taken
}

// link is one connection. Its peer belongs to the event loop, what the module holds of it to the owner.
type link struct {
	conn   gnet.Conn
	peer   proxyproto.Session
	since  time.Time
	heard  time.Time // when it last said something
	asked  time.Time // since when the oldest mark without an answer is, or was, the oldest
	ended  bool
	joined policyapi.ProxyConnected // the owner's; Fresh until a table was laid
}

func listen(n *Coordinator, addr string, most int, known *proxyproto.Validator) (*server, error) {
	addr, err := reserveAddress(addr)
	if err != nil {
		return nil, fmt.Errorf("%w: listen on %w", ErrEnvironment, err)
	}
	s := &server{n: n, most: most, booted: make(chan struct{}), ended: make(chan error, 1), known: known, streams: map[*link]bool{}}
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
	l := &link{conn: c, since: time.Now()}
	c.SetContext(l)
	s.open++
	s.counts.open.Store(int64(s.open))
	s.strangers = append(s.strangers, l)
	for s.open > s.most {
		s.counts.evicted.Add(1)
		if oldest := s.stranger(); oldest != l {
			s.refuse(oldest)
			continue
		}
		silent := s.longestSilent(l.since)
		if silent == nil {
			return proxyproto.NackReply, gnet.Close
		}
		s.strangers = append(s.strangers, l)
		_ = loop.Close(silent.conn)
	}
	return nil, gnet.None
}

// stranger takes the oldest that has not joined off the list; there is one, it has just come.
func (s *server) stranger() *link {
	for {
		l := s.strangers[0]
		s.strangers[0], s.strangers = nil, s.strangers[1:]
		if !l.ended && l.peer.Role == proxyproto.Unidentified {
			return l
		}
	}
}

// silentAfter is when a stream that owes an answer has fallen silent for certain. Answers were seen to take eleven seconds where
// the channel is full, and a quiet proxy has no usage to tell meanwhile; the module too gives up what is a minute old.
const silentAfter = time.Minute

// longestSilent is the stream that has been silent for longest while it owes an answer: its proxy has left without a word, and it must
// not hold the place of one that comes. Nil if there is none.
func (s *server) longestSilent(now time.Time) (longest *link) {
	for l := range s.streams {
		silent := l.peer.PendingAcks() > 0 && now.Sub(l.heard) > silentAfter && now.Sub(l.asked) > silentAfter
		if silent && (longest == nil || l.heard.Before(longest.heard)) {
			longest = l
		}
	}
	return longest
}

// refuse ends a connection from within the loop, but not from its own callbacks: those return gnet.Close.
func (s *server) refuse(l *link) {
	_, _ = l.conn.Write(proxyproto.NackReply)
	_ = l.conn.EventLoop().Close(l.conn)
}

func (s *server) OnClose(c gnet.Conn, _ error) gnet.Action {
	l, is := c.Context().(*link)
	if !is {
		return gnet.None
	}
	l.ended = true
	s.open--
	s.counts.open.Store(int64(s.open))
	if l.peer.Role == proxyproto.Stream {
		delete(s.streams, l)
		s.enqueue(event{link: l, in: policyapi.ProxyDisconnected{Proxy: l.peer.Proxy}})
	}
	return gnet.None
}

// OnTick looks for those that have not joined in time.
func (s *server) OnTick() (time.Duration, gnet.Action) {
	if loop := s.loop.Load(); loop != nil {
		_ = (*loop).Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
			s.flushBacklog()
			s.closeLateStrangers(time.Now())
			s.count()
			return nil
		}))
	}
	return tick, gnet.None
}

// count tells the owner what really waits on the sockets.
func (s *server) count() {
	marks, unsent := 0, 0
	for l := range s.streams {
		marks, unsent = marks+l.peer.PendingAcks(), unsent+l.conn.OutboundBuffered()
	}
	s.counts.marks.Store(int64(marks))
	s.counts.unsent.Store(int64(unsent))
}

func (s *server) closeLateStrangers(now time.Time) {
	for len(s.strangers) > 0 {
		l := s.strangers[0]
		if !l.ended && l.peer.Role == proxyproto.Unidentified {
			if now.Sub(l.since) < joinWithin {
				return
			}
			s.counts.refused.Add(1)
			s.refuse(l)
		}
		s.strangers[0] = nil
		s.strangers = s.strangers[1:]
	}
	s.strangers = nil // the room that hundreds took
}

// OnTraffic takes all whole messages off a connection.
func (s *server) OnTraffic(c gnet.Conn) gnet.Action {
	l, is := c.Context().(*link)
	if !is {
		return gnet.Close
	}
	buf, err := c.Peek(-1)
	if err != nil {
		return gnet.Close
	}
	l.heard = time.Now()
	taken := 0
	defer func() {
		if taken > 0 { // to discard nothing is to discard all, for gnet: a message that comes in pieces would be lost
			_, _ = c.Discard(taken)
		}
	}()
	for taken < len(buf) {
		limits := proxyproto.IncomingLimits
		if l.peer.Role == proxyproto.Unidentified {
			limits.Bytes = strangerMost
		}
		words, size, err := resp.Take(buf[taken:], limits)
		if err != nil {
			return s.unreadable(l, err)
		}
		if size == 0 {
			return gnet.None
		}
		taken += size
		s.naming.Lock()
		in, answer, err := l.peer.Receive(words, s.known)
		s.naming.Unlock()
		switch {
		case errors.Is(err, proxyproto.ErrRejected):
			return s.unreadable(l, err)
		case err != nil:
			s.counts.spoilt.Add(1)
			if now := time.Now(); now.Sub(s.saidAt) > logEvery {
				s.saidAt = now
				s.n.log.Info("a message is passed over", zap.Error(err), zap.String("message", resp.Text(words, 200)))
			}
		case len(answer) > 0:
			if _, err := c.Write(answer); err != nil || c.OutboundBuffered() > unsentMost {
				return gnet.Close
			}
		case in != nil:
			s.deliver(l, in)
		}
	}
	return gnet.None
}

// unreadable ends a connection that can't be understood, or is not taken. What a stream has said can't be told apart any
// more, so it counts as left; a NACK would be no order.
func (s *server) unreadable(l *link, err error) gnet.Action {
	s.counts.refused.Add(1)
	s.n.log.Debug("a connection is ended", zap.Error(err), zap.Int("proxy", int(l.peer.Proxy)))
	if l.peer.Role == proxyproto.Unidentified {
		_, _ = l.conn.Write(proxyproto.NackReply)
	}
	return gnet.Close
}

// deliver gives the owner what a peer said. Reports may be lost where it is far behind, never joinings, leaves and answers.
func (s *server) deliver(l *link, in policyapi.Event) {
	switch in.(type) {
	case policyapi.EndpointLoad, policyapi.ProxyLoad:
		if !s.n.box.TryPut(event{link: l, in: in}) {
			s.counts.lost.Add(1)
		}
	case policyapi.ProxyConnected:
		s.streams[l] = true
		s.enqueue(event{link: l, in: in})
	default:
		s.enqueue(event{link: l, in: in})
	}
}

// backlogMost bounds what the loop keeps for the owner beside its lane. All that goes there was said by connections, each a
// joining, a leave or an answer to a mark; beyond the bound the loop waits, and nobody can say more.
const backlogMost = lane

// enqueue hands the owner what must not be lost. Where its lane is full the loop goes on, with signs of life, closes and
// time-outs, and hands the rest over later, in order.
func (s *server) enqueue(e event) {
	if len(s.backlog) == 0 && s.n.box.TryPutUrgent(e) {
		return
	}
	s.backlog = append(s.backlog, e)
	s.flushBacklog()
	if len(s.backlog) > backlogMost {
		s.n.box.PutUrgent(s.backlog[0])
		s.backlog = s.backlog[1:]
	}
}

// flushBacklog hands the backlog over, as far as there is room.
func (s *server) flushBacklog() {
	for len(s.backlog) > 0 && s.n.box.TryPutUrgent(s.backlog[0]) {
		s.backlog[0] = event{}
		s.backlog = s.backlog[1:]
	}
	if len(s.backlog) == 0 {
		s.backlog = nil
	}
}

// post writes a message to a stream; from any goroutine.
func (s *server) post(l *link, p proxyproto.OutboundMessage) {
	_ = l.conn.AsyncWrite(p.Bytes, func(c gnet.Conn, err error) error {
		if err != nil || l.ended {
			return nil
		}
		if p.RequestsAck {
			if l.peer.PendingAcks() == 0 {
				l.asked = time.Now()
			}
			l.peer.AckRequested(p.AckID)
		}
		if waits := c.OutboundBuffered(); waits > unsentMost {
			s.counts.stuck.Add(1)
			_ = l.conn.EventLoop().Close(l.conn) // it takes nothing: it has fallen silent
		}
		return nil
	})
}

// end closes a connection; from any goroutine.
func (s *server) end(l *link) { _ = l.conn.Close() }

// follow takes in what may be named from now on, and returns what can't be any more.
func (s *server) follow(list policyapi.EndpointUpdate) []policyapi.EndpointID {
	s.naming.Lock()
	defer s.naming.Unlock()
	return s.known.Apply(list)
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
