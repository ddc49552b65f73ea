package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/puzpuzpuz/xsync/v4"
	"go.uber.org/zap"

	"porthub/coordinator"
	"porthub/http1"
	"porthub/inbound"
)

// Limits on how long the listener may take to start and to stop.
const (
	listenTimeout = 10 * time.Second
	stopTimeout   = 700 * time.Millisecond
)

// readBufferBytes is the maximum number of bytes that one read of a connection returns. The event loop reads from its other connections
// before it reads from the same one again.
const readBufferBytes = 16 << 10

// rejectionInterval is the minimum time between two reports of rejections to the core.
const rejectionInterval = time.Second

// server serves HTTP/1.1 on gnet's event loops. Their goroutines start in listen and end in close. Each connection is served by
// one event loop.
type server struct {
	gnet.BuiltinEventEngine
	daemon  *Daemon
	addr    string // the bound address; empty if unknown
	engine  gnet.Engine
	booted  chan struct{} // closed when the listener is open
	stopped chan error    // gets the error that gnet.Run returned

	lastID      atomic.Uint64 // ID of the last connection
	connections *xsync.Map[coordinator.ConnID, *connection]
	byAddress   *xsync.Map[string, *atomic.Int64] // number of open connections by remote host
	// links holds the connection that is each gateway's link. A gateway that polls may have further connections, which carry
	// only polls: their end does not disconnect it.
	links *xsync.Map[coordinator.Gateway, *connection]

	received     *inbound.Budget // bytes that are not read as requests yet; fixed
	unsent       *inbound.Budget // bytes of responses that peers have not read yet; fixed
	maxBodyBytes int64           // bodies of requests that are being processed; fixed
	bodyBytes    atomic.Int64

	deferredReports      atomic.Int64 // load reports that were deferred with 429
	rejected             atomic.Int64 // error responses since the last PeerRejected
	rejectionsReportedAt atomic.Int64 // time of the last PeerRejected, in nanoseconds since 1970
}

func listen(d *Daemon, addr string) (*server, error) {
	s := &server{
		daemon:      d,
		booted:      make(chan struct{}),
		stopped:     make(chan error, 1),
		connections: xsync.NewMap[coordinator.ConnID, *connection](),
		byAddress:   xsync.NewMap[string, *atomic.Int64](),
		links:       xsync.NewMap[coordinator.Gateway, *connection](),
	}
	memory := d.config.Limits.MemoryMB * bytesPerMB
	s.received = inbound.NewBudget(memory / receivedDivisor)
	s.unsent = inbound.NewBudget(memory / unsentDivisor)
	s.maxBodyBytes = max(maxBodyBytes, int64(memory/requestsDivisor))
	go func() { // ends when close stops the engine
		s.stopped <- gnet.Run(s, "tcp://"+addr, gnet.WithMulticore(true), gnet.WithTicker(true), gnet.WithReuseAddr(true),
			gnet.WithReadBufferCap(readBufferBytes), gnet.WithLogger(zap.NewNop().Sugar()))
	}()
	select {
	case <-s.booted:
	case err := <-s.stopped:
		return nil, fmt.Errorf("listen on %s: %w", addr, err)
	case <-time.After(listenTimeout):
		return nil, fmt.Errorf("listen on %s: not listening after %s", addr, listenTimeout)
	}
	if s.addr == "" {
		return nil, fmt.Errorf("listen on %s: %w", addr, errAddressUnknown)
	}
	return s, nil
}

var errAddressUnknown = errors.New("the bound address is unknown")

func (s *server) close() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	_ = s.engine.Stop(ctx)
}

// OnBoot determines the address that was bound: the port may have been chosen by the system.
func (s *server) OnBoot(engine gnet.Engine) gnet.Action {
	s.engine = engine
	if fd, err := engine.Dup(); err == nil {
		s.addr = listenerAddress(fd)
	}
	close(s.booted)
	return gnet.None
}

// listenerAddress returns the address of a listener's file descriptor and closes the descriptor. It returns an empty string if
// the address is unknown.
func listenerAddress(fd int) string {
	f := os.NewFile(uintptr(fd), "listener")
	defer func() { _ = f.Close() }()
	l, err := net.FileListener(f)
	if err != nil {
		return ""
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// OnOpen accepts a connection unless there are too many in total or from its address.
func (s *server) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	host, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		return nil, gnet.Close
	}
	addressCount, _ := s.byAddress.LoadOrCompute(host, func() (*atomic.Int64, bool) { return &atomic.Int64{}, false })
	limits := s.daemon.config.Limits
	if s.connections.Size() >= limits.Connections || addressCount.Load() >= int64(limits.PerAddress) {
		const reason = "too many connections"
		s.countRejection(host, reason)
		return http1.EncodeResponse(http.StatusServiceUnavailable, "text/plain", []byte(reason+"\n"), true), gnet.Close
	}
	addressCount.Add(1)
	conn := &connection{id: coordinator.ConnID(s.lastID.Add(1)), gnetConn: c, host: host, addressCount: addressCount}
	conn.received = s.received.NewBuffer(func() { s.closeOverBudget(conn) })
	conn.unsent = s.unsent.NewAccount(func() { s.closeOverBudget(conn) })
	c.SetContext(conn)
	s.connections.Store(conn.id, conn)
	return nil, gnet.None
}

// OnClose releases a connection and, if it was a gateway's link, disconnects the gateway. If the mailbox rejects that input,
// it is dropped and the core detects that the gateway is silent.
func (s *server) OnClose(c gnet.Conn, _ error) gnet.Action {
	conn, ok := c.Context().(*connection)
	if !ok {
		return gnet.None
	}
	conn.closed.Store(true)
	conn.received.Close()
	conn.unsent.Close()
	s.releaseBody(conn)
	s.connections.Delete(conn.id)
	conn.addressCount.Add(-1)
	if cancel := conn.cancelPoll.Load(); cancel != nil {
		(*cancel)()
	}
	if conn.announced {
		s.removeLink(conn.gateway, conn)
		s.offerInput(coordinator.GatewayDisconnected{Gateway: conn.gateway, Conn: conn.id})
	}
	return gnet.None
}

// OnTick wakes all connections, so that those with a request that is incomplete after requestTimeout are closed.
func (s *server) OnTick() (time.Duration, gnet.Action) {
	s.connections.Range(func(_ coordinator.ConnID, conn *connection) bool {
		_ = conn.gnetConn.Wake(nil) // the connection's event loop checks requestBeganAt
		return true
	})
	return requestTimeout / 2, gnet.None
}

// closeOverBudget closes a connection that has held many bytes for long, so that the bytes of all peers stay within the limit.
func (s *server) closeOverBudget(conn *connection) {
	s.countRejection(conn.host, "too many bytes are held for all peers together")
	_ = conn.gnetConn.Close()
}

// closeConnection closes a connection, if it is still open.
func (s *server) closeConnection(id coordinator.ConnID) {
	if conn, ok := s.connections.Load(id); ok {
		_ = conn.gnetConn.Close()
	}
}

// offerInput queues an input for the core, or drops it if the mailbox rejects it.
func (s *server) offerInput(in coordinator.Input) {
	s.daemon.mailbox.TryPut(mailboxItem{inputs: []coordinator.Input{in}})
}

// countRejection counts an error response to a peer, and reports the count to the core at most once per rejectionInterval: a
// peer that sends malformed requests at full speed must not fill the mailbox.
func (s *server) countRejection(from, reason string) {
	s.rejected.Add(1)
	now := time.Now().UnixNano()
	last := s.rejectionsReportedAt.Load()
	if now-last < int64(rejectionInterval) || !s.rejectionsReportedAt.CompareAndSwap(last, now) {
		return
	}
	s.offerInput(coordinator.PeerRejected{From: from, Reason: reason, Count: int(s.rejected.Swap(0))})
}
