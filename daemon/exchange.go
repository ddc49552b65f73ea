package daemon

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	loadv3 "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	"google.golang.org/protobuf/proto"

	"porthub/coordinator"
	"porthub/loadreport"
	"porthub/policyapi"
	"porthub/xds"
	"porthub/xdspoll"
)

// Content types of requests and responses.
const (
	textType     = "text/plain; charset=utf-8"
	jsonType     = "application/json"
	protobufType = "application/x-protobuf"
)

// busyReason is the text of the response to a request that the mailbox rejects: the request's lane is full, or another goroutine
// has taken its place in the lane (see TryPut of package mailbox).
const busyReason = "busy"

// exchange is one request and its response.
type exchange struct {
	server     *server
	connection *connection
	request    *http.Request
	body       []byte // valid only until serve returns
}

// serve handles one request. The response is sent at once, after the core has processed the input or, for a poll, when the hub
// has something to deliver or the poll's wait is over.
func (s *server) serve(conn *connection, request *http.Request, body []byte) {
	conn.busy.Store(true)
	x := &exchange{server: s, connection: conn, request: request, body: body}
	if !s.admitBody(conn, len(body)) {
		x.fail(http.StatusServiceUnavailable, busyReason)
		return
	}
	daemon := s.daemon
	switch request.Method + " " + request.URL.Path {
	case "POST " + xds.EndpointPath:
		x.serveDiscovery(coordinator.EndpointsDocument)
	case "POST " + xds.RoutePath:
		x.serveDiscovery(coordinator.RoutesDocument)
	case "POST " + xds.EndpointDeltaPath:
		x.serveDelta(coordinator.EndpointsDocument, xds.LbEndpointType)
	case "POST " + xds.RouteDeltaPath:
		x.serveDelta(coordinator.RoutesDocument, xds.RouteType)
	case "POST " + xds.LoadReportPath:
		x.serveReport()
	case "GET /tables":
		x.query(daemon.mailbox.TryPut, daemon.statusResponse)
	case "GET /overview":
		x.query(daemon.mailbox.TryPutUrgent, daemon.overviewResponse)
	case "GET /intake":
		x.query(daemon.mailbox.TryPutUrgent, daemon.samplingResponse)
	default:
		x.serveOperation()
	}
}

func (x *exchange) respond(status int, contentType string, body []byte) {
	x.server.respond(x.connection, status, contentType, body)
}

// fail responds with an error and counts a rejection. It must be called by the connection's event loop. A connection whose requests fail
// too often, for reasons of the client, is closed after the response.
func (x *exchange) fail(status int, reason string) {
	reason = truncate(reason, maxReasonBytes)
	x.server.countRejection(x.request.Method+" "+x.request.URL.Path, reason)
	x.respond(status, textType, []byte(reason+"\n"))
	if status >= http.StatusInternalServerError {
		return
	}
	if x.connection.failures.record(time.Now()); x.connection.failures.isExceeded {
		_ = x.connection.gnetConn.Close()
	}
}

// truncate returns at most the first bytes of a text, without a part of a character at the end.
func truncate(text string, maxBytes int) string {
	if len(text) <= maxBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxBytes], "")
}

// query queues an operation with enqueue and responds with its result. If the connection ends before that, the operation is not carried
// out: its client has not been told that it was, and may have sent it again.
func (x *exchange) query(enqueue func(mailboxItem) bool, run operation) {
	runUnlessClosed := func(core *coordinator.Core) []byte {
		if x.connection.closed.Load() {
			return nil
		}
		return run(core)
	}
	item := mailboxItem{query: runUnlessClosed, reply: func(text []byte) { x.respond(http.StatusOK, jsonType, text) }}
	if !enqueue(item) {
		x.fail(http.StatusServiceUnavailable, busyReason)
	}
}

// serveOperation handles an operator's request of the control API.
func (x *exchange) serveOperation() {
	daemon := x.server.daemon
	run, err := daemon.operation(x.request, x.body)
	if err != nil {
		status := http.StatusInternalServerError
		var invalid *requestError
		if errors.As(err, &invalid) {
			status = invalid.status
		}
		x.fail(status, err.Error())
		return
	}
	enqueue := daemon.mailbox.TryPut
	if x.request.Method == http.MethodPost { // an operator's command must not wait behind reports
		enqueue = daemon.mailbox.TryPutUrgent
	}
	x.query(enqueue, run)
}

func (x *exchange) isProtobuf() bool {
	return strings.HasPrefix(x.request.Header.Get("Content-Type"), protobufType)
}

// read decodes the body, which is protobuf or its JSON form according to the content type.
func (x *exchange) read(message proto.Message) error {
	if !x.isProtobuf() {
		return xds.Decode(x.body, message)
	}
	if err := proto.Unmarshal(x.body, message); err != nil {
		return fmt.Errorf("%w: %w", xds.ErrInvalidMessage, err)
	}
	return nil
}

// serveDiscovery handles a gateway's acknowledgement of a document and, if the gateway polls, its poll for the next version.
func (x *exchange) serveDiscovery(document coordinator.Document) {
	message := &discoveryv3.DiscoveryRequest{}
	var node xds.Node
	err := x.read(message)
	if err == nil {
		node, err = xds.ParseNode(message.Node)
	}
	if err != nil {
		x.fail(http.StatusBadRequest, err.Error())
		return
	}
	ack := coordinator.DocumentAck{Document: document, Version: message.VersionInfo, Nonce: message.ResponseNonce, Error: message.ErrorDetail.GetMessage()}
	x.submitAck(node, ack, func() {
		if !node.Polls {
			x.respond(http.StatusNotModified, "", nil)
			return
		}
		x.queuePoll(xdspoll.Request{Gateway: coordinator.Gateway(node.Name), Document: document, Version: message.VersionInfo, MaxWait: node.MaxWait})
	})
}

// serveDelta handles a poll for the endpoints or routes that have changed, with the acknowledgement of the previous response.
func (x *exchange) serveDelta(document coordinator.Document, typeURL string) {
	message := &discoveryv3.DeltaDiscoveryRequest{}
	var node xds.Node
	err := x.read(message)
	if err == nil {
		node, err = xds.ParseNode(message.Node)
	}
	if err == nil && message.TypeUrl != typeURL {
		err = fmt.Errorf("%w: type_url %q: this path accepts %s", xds.ErrInvalidMessage, message.TypeUrl, typeURL)
	}
	if err != nil {
		x.fail(http.StatusBadRequest, err.Error())
		return
	}
	node.Polls = true
	ack := coordinator.DocumentAck{Document: document, Version: message.ResponseNonce, Nonce: message.ResponseNonce, Error: message.ErrorDetail.GetMessage()}
	x.submitAck(node, ack, func() {
		x.queuePoll(xdspoll.Request{Gateway: coordinator.Gateway(node.Name), Document: document, MaxWait: node.MaxWait, Delta: true, Nonce: message.ResponseNonce,
			Versions: message.InitialResourceVersions})
	})
}

// submitAck submits an acknowledgement, with the checksum of the gateway's tables and the versions that it covers. It calls done
// once the core has processed it.
func (x *exchange) submitAck(node xds.Node, ack coordinator.DocumentAck, done func()) {
	ack.Gateway = coordinator.Gateway(node.Name)
	ack.Checksum = node.Checksum
	ack.ChecksumVersions = node.Versions
	x.submit(node, func(link coordinator.ConnID) coordinator.Input {
		ack.Conn = link
		return ack
	}, done)
}

// queuePoll registers a poll with the hub, which responds when there is something to deliver or the poll's wait is over.
func (x *exchange) queuePoll(request xdspoll.Request) {
	hub := x.server.daemon.polls
	request.MaxWait = min(request.MaxWait, duration(x.server.daemon.config.Delivery.Poll.MaxWait))
	request.Respond = x.respondToPoll
	cancel, ok := hub.Poll(request)
	if !ok {
		x.respond(http.StatusServiceUnavailable, textType, []byte("too many pending polls: retry later\n"))
		return
	}
	x.connection.cancelPoll.Store(&cancel)
	if x.connection.closed.Load() { // OnClose may have run before cancelPoll was set
		cancel()
	}
}

// respondToPoll responds to a poll. The hub calls it, from any goroutine, with a nil delivery and no error if nothing is new.
func (x *exchange) respondToPoll(delivery *xdspoll.Response, err error) {
	if errors.Is(err, xdspoll.ErrUnknownBase) {
		x.respond(http.StatusConflict, textType, []byte(err.Error()+"\n"))
		return
	}
	if delivery == nil && err == nil {
		x.respond(http.StatusNotModified, "", nil)
		return
	}
	binary := x.isProtobuf()
	var body []byte
	if err == nil {
		body, err = delivery.Body(binary)
	}
	if err != nil {
		x.respond(http.StatusInternalServerError, textType, []byte(err.Error()+"\n"))
		return
	}
	x.server.daemon.polls.CountBytes(len(body))
	contentType := jsonType
	if binary {
		contentType = protobufType
	}
	x.respond(http.StatusOK, contentType, body)
}

// serveReport handles a load report. While the core is behind, reports of a gateway whose last one is recent are deferred, so
// that other gateways' reports are accepted first.
func (x *exchange) serveReport() {
	message := &loadv3.LoadStatsRequest{}
	var report coordinator.LoadReport
	var node xds.Node
	err := x.read(message)
	if err == nil {
		node, report, err = convertReport(message)
	}
	if err != nil {
		x.fail(http.StatusBadRequest, err.Error())
		return
	}
	server, conn := x.server, x.connection
	period := policyapi.Microseconds(server.daemon.config.Reports.Period)
	if loadreport.ShouldDefer(server.daemon.mailbox.Len(), normalCapacity, microsecondsSince(conn.reportedAt), period) {
		server.deferredReports.Add(1)
		x.respond(http.StatusTooManyRequests, textType, []byte("the core is overloaded: report later\n"))
		return
	}
	conn.reportedAt = time.Now()
	factor := policyapi.Microseconds(max(1, server.daemon.reportIntervalFactor.Load()))
	text, err := xds.Encode(xds.NewLoadReportResponse(period * factor))
	if err != nil {
		x.fail(http.StatusInternalServerError, err.Error())
		return
	}
	x.submit(node, func(link coordinator.ConnID) coordinator.Input {
		report.Conn = link
		return report
	}, func() { x.respond(http.StatusOK, jsonType, text) })
}

// convertReport converts an xDS load report to the core's input.
func convertReport(message *loadv3.LoadStatsRequest) (xds.Node, coordinator.LoadReport, error) {
	node, interval, classes, err := xds.ParseLoadReport(message)
	if err != nil {
		return node, coordinator.LoadReport{}, err
	}
	report := coordinator.LoadReport{
		Gateway:  coordinator.Gateway(node.Name),
		Sequence: node.ReportNumber,
		Interval: policyapi.Microseconds(interval.Microseconds()),
	}
	for _, c := range classes {
		class := coordinator.ClassReport{Class: c.Class, Arrivals: c.Arrived, Rejected: c.Rejected, Failures: c.Failures}
		for _, e := range c.Endpoints {
			class.Endpoints = append(class.Endpoints, coordinator.EndpointReport{
				Endpoint:    policyapi.EndpointID(e.Address),
				Attempts:    e.Attempts,
				Failures:    e.Failures,
				InFlight:    e.InFlight,
				MeanLatency: policyapi.Microseconds(e.MeanLatency.Microseconds()),
				Metrics:     loadMetrics(e.Metrics),
			})
		}
		report.Classes = append(report.Classes, class)
	}
	return node, report, nil
}
