package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	loadv3 "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	"github.com/panjf2000/gnet/v2"
	"github.com/puzpuzpuz/xsync/v4"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"porthub/coordinator"
	"porthub/http1"
	"porthub/loadreport"
	"porthub/policyapi"
	"porthub/xds"
	"porthub/xdspoll"
)

// Bounds on what one peer may cost.
const (
	maxHeadBytes   = 16 << 10        // bytes of a request's head
	maxBodyBytes   = 4 << 20         // bytes of its body: a report on a thousand nodes takes a tenth
	maxUnsentBytes = 1 << 20         // answers that a peer has not taken
	requestTimeout = 5 * time.Second // a request that has begun is whole within this
)

// server speaks HTTP/1.1 on gnet's event loops.
type server struct {
	gnet.BuiltinEventEngine
	daemon      *Daemon
	addr        string
	engine      gnet.Engine
	booted      chan struct{}
	lastID      atomic.Uint64
	connections *xsync.Map[coordinator.ConnID, *connection]
	// links has each gateway's connection that counts as its link. One that polls may have more: they carry polls alone.
	links                *xsync.Map[coordinator.Gateway, *connection]
	stopped              chan error
	byAddress            *xsync.Map[string, *atomic.Int64] // connections by address
	deferredReports      atomic.Int64                      // reports that were told to come later
	rejected             atomic.Int64                      // since the core was told
	rejectionsReportedAt atomic.Int64                      // when, nanoseconds
}

// countRejection counts an error that a peer was answered with, and tells the core once a second at most: one that sends garbage
// at full speed must not fill the inbox.
func (s *server) countRejection(from, why string) {
	s.rejected.Add(1)
	now, last := time.Now().UnixNano(), s.rejectionsReportedAt.Load()
	if now-last < int64(time.Second) || !s.rejectionsReportedAt.CompareAndSwap(last, now) {
		return
	}
	n := int(s.rejected.Swap(0))
	s.daemon.inbox.TryPut(mailboxItem{inputs: []coordinator.Input{coordinator.PeerRejected{From: from, Reason: why, Count: n}}})
}

// connection is one connection. Only its event loop touches it, but for out.
type connection struct {
	id             coordinator.ConnID
	conn           gnet.Conn
	gateway        coordinator.Gateway // empty until it has named itself
	requestBeganAt time.Time           // when the request that is not whole yet began
	busy           atomic.Bool         // a request is with the core, or a poll is held
	addressCount   *atomic.Int64       // connections of its address
	polls          bool
	announced      bool // the core has been told that it is its gateway's link
	// requests that came on it
	requests   int
	reportedAt time.Time          // when its last report was taken
	linkID     coordinator.ConnID // the gateway's main connection; its own if it is that
	cancelPoll atomic.Pointer[func()]
}

func listen(d *Daemon, addr string) (*server, error) {
	s := &server{daemon: d, booted: make(chan struct{}), connections: xsync.NewMap[coordinator.ConnID, *connection](), byAddress: xsync.NewMap[string, *atomic.Int64](),
		links: xsync.NewMap[coordinator.Gateway, *connection](), stopped: make(chan error, 1)}
	go func() {
		s.stopped <- gnet.Run(s, "tcp://"+addr, gnet.WithMulticore(true), gnet.WithTicker(true), gnet.WithReuseAddr(true), gnet.WithReadBufferCap(64<<10),
			gnet.WithLogger(zap.NewNop().Sugar()))
	}()
	select {
	case <-s.booted:
	case err := <-s.stopped:
		return nil, fmt.Errorf("listen on %s: %w", addr, err)
	case <-time.After(10 * time.Second):
		return nil, fmt.Errorf("listen on %s: not up after 10 s", addr)
	}
	if s.addr == "" {
		return nil, fmt.Errorf("listen on %s: the bound address is not known", addr)
	}
	return s, nil
}

// OnBoot finds out which port was bound.
func (s *server) OnBoot(engine gnet.Engine) gnet.Action {
	s.engine = engine
	if fd, err := engine.Dup(); err == nil {
		f := os.NewFile(uintptr(fd), "listener")
		if l, err := net.FileListener(f); err == nil {
			s.addr = l.Addr().String()
			_ = l.Close()
		}
		_ = f.Close()
	}
	close(s.booted)
	return gnet.None
}

// OnOpen takes a connection in.
func (s *server) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	host, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		return nil, gnet.Close
	}
	from, _ := s.byAddress.LoadOrCompute(host, func() (*atomic.Int64, bool) { return &atomic.Int64{}, false })
	if s.connections.Size() >= s.daemon.config.Limits.Connections || from.Load() >= int64(s.daemon.config.Limits.PerAddress) {
		s.countRejection(host, "as many connections stand as may")
		return http1.EncodeResponse(http.StatusServiceUnavailable, "text/plain", []byte("as many connections stand as may\n"), true), gnet.Close
	}
	from.Add(1)
	p := &connection{id: coordinator.ConnID(s.lastID.Add(1)), conn: c, addressCount: from}
	c.SetContext(p)
	s.connections.Store(p.id, p)
	return nil, gnet.None
}

// OnClose is a leave if the connection had a name. If the inbox is full the core finds the silence by itself.
func (s *server) OnClose(c gnet.Conn, _ error) gnet.Action {
	p, is := c.Context().(*connection)
	if !is {
		return gnet.None
	}
	s.connections.Delete(p.id)
	p.addressCount.Add(-1)
	if cancel := p.cancelPoll.Load(); cancel != nil {
		(*cancel)()
	}
	if p.announced {
		s.removeLink(p.gateway, p)
		s.daemon.inbox.TryPut(mailboxItem{inputs: []coordinator.Input{coordinator.GatewayDisconnected{Gateway: p.gateway, Conn: p.id}}})
	}
	return gnet.None
}

// OnTick closes connections whose request has not become whole in time.
func (s *server) OnTick() (time.Duration, gnet.Action) {
	s.connections.Range(func(_ coordinator.ConnID, p *connection) bool {
		_ = p.conn.Wake(nil) // its own loop looks at partAt
		return true
	})
	return requestTimeout / 2, gnet.None
}

// OnTraffic takes whole requests from a connection, one at a time: the next one is read once the last is answered.
func (s *server) OnTraffic(c gnet.Conn) gnet.Action {
	p, is := c.Context().(*connection)
	if !is {
		return gnet.Close
	}
	if c.OutboundBuffered() > maxUnsentBytes {
		return gnet.Close // it takes no answers
	}
	for !p.busy.Load() {
		buf, err := c.Peek(-1)
		if err != nil || len(buf) == 0 {
			p.requestBeganAt = time.Time{}
			return gnet.None
		}
		if p.requestBeganAt.IsZero() {
			p.requestBeganAt = time.Now()
		}
		req, body, whole, err := http1.ParseRequest(buf, http1.Limits{Head: maxHeadBytes, Body: maxBodyBytes})
		if err != nil {
			code, why := http.StatusBadRequest, err.Error()
			if e, is := err.(*http1.Error); is {
				code, why = e.Code, e.Reason
			}
			return s.rejectAndClose(c, code, why)
		}
		if whole == 0 {
			return s.checkRequestTimeout(p)
		}
		if _, err := c.Discard(whole); err != nil {
			return gnet.Close
		}
		p.requestBeganAt = time.Time{}
		if p.requests++; s.daemon.config.Limits.Requests > 0 && p.requests > s.daemon.config.Limits.Requests {
			return s.rejectAndClose(c, http.StatusTooManyRequests, fmt.Sprintf("a connection has %d requests: open another", s.daemon.config.Limits.Requests))
		}
		s.serve(p, req, body)
	}
	if c.InboundBuffered() > maxHeadBytes+maxBodyBytes {
		return gnet.Close // it sends on without waiting for answers
	}
	return gnet.None
}

func (s *server) checkRequestTimeout(p *connection) gnet.Action {
	if time.Since(p.requestBeganAt) > requestTimeout {
		s.countRejection("a request that does not end", p.conn.RemoteAddr().String())
		return gnet.Close
	}
	return gnet.None
}

// rejectAndClose answers with an error and closes: what follows on the connection can't be told apart.
func (s *server) rejectAndClose(c gnet.Conn, code int, why string) gnet.Action {
	s.countRejection(c.RemoteAddr().String(), why)
	_, _ = c.Write(http1.EncodeResponse(code, "text/plain", []byte(why+"\n"), true))
	return gnet.Close
}

// answer sends a response and lets the connection's next request be read.
func (s *server) answer(p *connection, code int, kind string, body []byte) {
	p.busy.Store(false)
	_ = p.conn.AsyncWrite(http1.EncodeResponse(code, kind, body, false), func(c gnet.Conn, err error) error {
		if err == nil && c != nil && c.InboundBuffered() > 0 {
			return c.Wake(nil)
		}
		return nil
	})
}

const (
	textType = "text/plain; charset=utf-8"
	jsonType = "application/json"
)

// serve answers one request, at once or after the core has taken its input.
func (s *server) serve(p *connection, req *http.Request, body []byte) {
	p.busy.Store(true)
	fail := func(code int, why string) {
		s.countRejection(req.Method+" "+req.URL.Path, why)
		s.answer(p, code, textType, []byte(why+"\n"))
	}
	read := func(m proto.Message) error {
		if strings.HasPrefix(req.Header.Get("Content-Type"), "application/x-protobuf") {
			if err := proto.Unmarshal(body, m); err != nil {
				return fmt.Errorf("%w: %v", xds.ErrInvalidMessage, err)
			}
			return nil
		}
		return xds.Decode(body, m)
	}
	switch {
	case req.Method == http.MethodPost && (req.URL.Path == xds.EndpointPath || req.URL.Path == xds.RoutePath):
		m := &discoveryv3.DiscoveryRequest{}
		err := read(m)
		var node xds.Node
		if err == nil {
			node, err = xds.ParseNode(m.Node)
		}
		if err != nil {
			fail(http.StatusBadRequest, err.Error())
			return
		}
		doc := coordinator.EndpointsDocument
		if req.URL.Path == xds.RoutePath {
			doc = coordinator.RoutesDocument
		}
		ack := coordinator.DocumentAck{Gateway: coordinator.Gateway(node.Name), Document: doc, Version: m.VersionInfo,
			Nonce: m.ResponseNonce, Error: m.ErrorDetail.GetMessage(), Checksum: node.Checksum, ChecksumVersions: node.Versions}
		s.submit(p, node, &ack, func([]byte) {
			if !node.Polls {
				s.answer(p, http.StatusNotModified, "", nil)
				return
			}
			s.holdPoll(p, req, xdspoll.Request{Gateway: ack.Gateway, Document: doc, Version: m.VersionInfo, MaxWait: node.MaxWait})
		}, fail)
	case req.Method == http.MethodPost && req.URL.Path == xds.EndpointDeltaPath:
		s.serveDelta(p, req, coordinator.EndpointsDocument, xds.LbEndpointType, read, fail)
	case req.Method == http.MethodPost && req.URL.Path == xds.RouteDeltaPath:
		s.serveDelta(p, req, coordinator.RoutesDocument, xds.RouteType, read, fail)
	case req.Method == http.MethodPost && req.URL.Path == xds.LoadReportPath:
		m := &loadv3.LoadStatsRequest{}
		err := read(m)
		var report coordinator.LoadReport
		var node xds.Node
		if err == nil {
			node, report, err = convertReport(m)
		}
		if err != nil {
			fail(http.StatusBadRequest, err.Error())
			return
		}
		// A gateway whose last report is young waits while the core is behind: the others' come first.
		if loadreport.ShouldDefer(s.daemon.inbox.Len(), normalCapacity, policyapi.Microseconds(time.Since(p.reportedAt).Microseconds()), policyapi.Microseconds(s.daemon.config.Reports.Period)) {
			s.deferredReports.Add(1)
			s.answer(p, http.StatusTooManyRequests, textType, []byte("the core is behind: report later\n"))
			return
		}
		p.reportedAt = time.Now()
		text, err := xds.Encode(xds.NewLoadReportResponse(policyapi.Microseconds(s.daemon.config.Reports.Period) * policyapi.Microseconds(max(1, s.daemon.reportIntervalFactor.Load()))))
		if err != nil {
			fail(http.StatusInternalServerError, err.Error())
			return
		}
		s.submit(p, node, &report, func([]byte) { s.answer(p, http.StatusOK, jsonType, text) }, fail)
	case req.Method == http.MethodGet && req.URL.Path == "/tables":
		if !s.daemon.inbox.TryPut(mailboxItem{query: s.daemon.statusAnswer, reply: func(text []byte) { s.answer(p, http.StatusOK, jsonType, text) }}) {
			fail(http.StatusServiceUnavailable, "busy")
		}
	case req.Method == http.MethodGet && req.URL.Path == "/overview":
		if !s.daemon.inbox.TryPutUrgent(mailboxItem{query: s.daemon.overviewAnswer, reply: func(text []byte) { s.answer(p, http.StatusOK, jsonType, text) }}) {
			fail(http.StatusServiceUnavailable, "busy")
		}
	case req.Method == http.MethodGet && req.URL.Path == "/intake":
		if !s.daemon.inbox.TryPutUrgent(mailboxItem{query: s.daemon.samplingAnswer, reply: func(text []byte) { s.answer(p, http.StatusOK, jsonType, text) }}) {
			fail(http.StatusServiceUnavailable, "busy")
		}
	case strings.HasPrefix(req.URL.Path, "/tables/"), req.URL.Path == "/nodes", req.URL.Path == "/levels", strings.HasPrefix(req.URL.Path, "/levels/"), strings.HasPrefix(req.URL.Path, "/nodes/"):
		operate, code, err := s.daemon.operation(req, body)
		if err != nil {
			fail(code, err.Error())
			return
		}
		put := s.daemon.inbox.TryPut
		if req.Method == http.MethodPost { // an operator's word does not wait behind reports
			put = s.daemon.inbox.TryPutUrgent
		}
		if !put(mailboxItem{query: operate, reply: func(text []byte) { s.answer(p, http.StatusOK, jsonType, text) }}) {
			fail(http.StatusServiceUnavailable, "busy")
		}
	default:
		fail(http.StatusNotFound, fmt.Sprintf("nothing answers %s %s", req.Method, req.URL.Path))
	}
}

// submit gives the core what a gateway said, after its join if these are its first words. A connection keeps the name it
// began with. One that polls may have several connections: the first that stands is its link.
func (s *server) submit(p *connection, node xds.Node, in any, done func([]byte), fail func(int, string)) {
	name := coordinator.Gateway(node.Name)
	if p.gateway != "" && p.gateway != name {
		fail(http.StatusConflict, fmt.Sprintf("this connection is %s's", p.gateway))
		return
	}
	if node.Polls && !s.daemon.config.Delivery.Poll.Enabled {
		fail(http.StatusNotImplemented, "polling is off: front.poll.enabled")
		return
	}
	if p.gateway == "" {
		p.polls = node.Polls
	}
	// Which connection is the gateway's link is settled in one go: two polls of one gateway may come at once, on two
	// loops, and must not each take the other's place.
	conflict := false
	main, _ := s.links.Compute(name, func(m *connection, stands bool) (*connection, xsync.ComputeOp) {
		switch {
		case !stands || m == p:
			return p, xsync.UpdateOp
		case m.polls != p.polls:
			conflict = true
			return m, xsync.CancelOp
		case m.polls:
			return m, xsync.CancelOp
		default: // a later link of a gateway that reads files
			return p, xsync.UpdateOp
		}
	})
	if conflict {
		fail(http.StatusConflict, fmt.Sprintf("%s has a link by the other front: one name, one gateway", name))
		return
	}
	var inputs []coordinator.Input
	if main == p && !p.announced {
		inputs = append(inputs, coordinator.GatewayConnected{Gateway: name, Conn: p.id, Zone: policyapi.Zone(node.Zone), HasDefaultTableOnly: node.InitialTable,
			Weight: node.UsualRate})
	}
	link := main.id
	switch in := in.(type) {
	case *coordinator.DocumentAck:
		in.Conn = link
		inputs = append(inputs, *in)
	case *coordinator.LoadReport:
		in.Conn = link
		inputs = append(inputs, *in)
	}
	if !s.daemon.inbox.TryPut(mailboxItem{inputs: inputs, reply: done}) {
		if main == p && !p.announced {
			s.removeLink(name, p)
		}
		fail(http.StatusServiceUnavailable, "busy")
		return
	}
	p.announced = p.announced || main == p
	p.gateway, p.linkID = name, link
}

// removeLink takes a connection out of being its gateway's link, if it is that.
func (s *server) removeLink(name coordinator.Gateway, p *connection) {
	s.links.Compute(name, func(m *connection, has bool) (*connection, xsync.ComputeOp) {
		if has && m == p {
			return nil, xsync.DeleteOp
		}
		return m, xsync.CancelOp
	})
}

// polls tells whether a gateway's link is one that polls.
func (s *server) polls(g coordinator.Gateway) bool {
	p, has := s.links.Load(g)
	return has && p.polls
}

// holdPoll leaves a poll with the hub until there is something to tell.
func (s *server) holdPoll(p *connection, req *http.Request, r xdspoll.Request) {
	r.MaxWait = min(r.MaxWait, time.Duration(s.daemon.config.Delivery.Poll.MaxWait)*time.Microsecond)
	binary := strings.HasPrefix(req.Header.Get("Content-Type"), "application/x-protobuf")
	kind := jsonType
	if binary {
		kind = "application/x-protobuf"
	}
	r.Respond = func(told *xdspoll.Response, err error) {
		if errors.Is(err, xdspoll.ErrUnknownBase) {
			s.answer(p, http.StatusConflict, textType, []byte(err.Error()+"\n"))
			return
		}
		if told == nil && err == nil {
			s.answer(p, http.StatusNotModified, "", nil)
			return
		}
		var body []byte
		if err == nil {
			body, err = told.Body(binary)
		}
		if err != nil {
			s.answer(p, http.StatusInternalServerError, textType, []byte(err.Error()+"\n"))
			return
		}
		s.daemon.polls.CountBytes(len(body))
		s.answer(p, http.StatusOK, kind, body)
	}
	cancel, ok := s.daemon.polls.Poll(r)
	if !ok {
		s.answer(p, http.StatusServiceUnavailable, textType, []byte("as many polls are held as may\n"))
		return
	}
	p.cancelPoll.Store(&cancel)
}

// serveDelta takes a poll for endpoints line by line, or routes one by one.
func (s *server) serveDelta(p *connection, req *http.Request, doc coordinator.Document, kind string, read func(proto.Message) error, fail func(int, string)) {
	m := &discoveryv3.DeltaDiscoveryRequest{}
	err := read(m)
	var node xds.Node
	if err == nil {
		node, err = xds.ParseNode(m.Node)
	}
	if err == nil && m.TypeUrl != kind {
		err = fmt.Errorf("%w: type_url %q: %s is told here", xds.ErrInvalidMessage, m.TypeUrl, kind)
	}
	if err != nil {
		fail(http.StatusBadRequest, err.Error())
		return
	}
	node.Polls = true
	ack := coordinator.DocumentAck{Gateway: coordinator.Gateway(node.Name), Document: doc, Version: m.ResponseNonce, Nonce: m.ResponseNonce,
		Error: m.ErrorDetail.GetMessage(), Checksum: node.Checksum, ChecksumVersions: node.Versions}
	s.submit(p, node, &ack, func([]byte) {
		s.holdPoll(p, req, xdspoll.Request{Gateway: ack.Gateway, Document: doc, MaxWait: node.MaxWait, Delta: true, Nonce: m.ResponseNonce,
			Versions: m.InitialResourceVersions})
	}, fail)
}

func convertReport(m *loadv3.LoadStatsRequest) (xds.Node, coordinator.LoadReport, error) {
	node, interval, kinds, err := xds.ParseLoadReport(m)
	if err != nil {
		return node, coordinator.LoadReport{}, err
	}
	r := coordinator.LoadReport{Gateway: coordinator.Gateway(node.Name), Sequence: node.ReportNumber, Interval: policyapi.Microseconds(interval.Microseconds())}
	for _, k := range kinds {
		kind := coordinator.ClassReport{Class: k.Class, Arrivals: k.Arrived, Rejected: k.Rejected, Failures: k.Failures}
		for _, e := range k.Endpoints {
			kind.Endpoints = append(kind.Endpoints, coordinator.EndpointReport{Endpoint: policyapi.EndpointID(e.Address), Attempts: e.Attempts,
				Failures: e.Failures, InFlight: e.InFlight, MeanLatency: policyapi.Microseconds(e.MeanLatency.Microseconds()), Metrics: loadMetrics(e.Metrics)})
		}
		r.Classes = append(r.Classes, kind)
	}
	return node, r, nil
}

// closeConnection closes a connection.
func (s *server) closeConnection(id coordinator.ConnID) {
	if p, has := s.connections.Load(id); has {
		_ = p.conn.Close()
	}
}

func (s *server) close() {
	ctx, cancel := context.WithTimeout(context.Background(), 700*time.Millisecond)
	defer cancel()
	_ = s.engine.Stop(ctx)
}
