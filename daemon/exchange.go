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

// Content types of requests and answers.
const (
	textType     = "text/plain; charset=utf-8"
	jsonType     = "application/json"
	protobufType = "application/x-protobuf"
)

// busyReason is the answer when the inbox is full.
const busyReason = "busy"

// exchange is one request and its answer.
type exchange struct {
	server     *server
	connection *connection
	request    *http.Request
	body       []byte
}

// serve answers one request, at once or after the core has taken its input.
func (s *server) serve(p *connection, request *http.Request, body []byte) {
	p.busy.Store(true)
	x := &exchange{server: s, connection: p, request: request, body: body}
	d := s.daemon
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
		x.query(d.inbox.TryPut, d.statusAnswer)
	case "GET /overview":
		x.query(d.inbox.TryPutUrgent, d.overviewAnswer)
	case "GET /intake":
		x.query(d.inbox.TryPutUrgent, d.samplingAnswer)
	default:
		x.serveOperation()
	}
}

func (x *exchange) answer(status int, contentType string, body []byte) {
	x.server.answer(x.connection, status, contentType, body)
}

// fail answers with an error.
func (x *exchange) fail(status int, reason string) {
	x.server.countRejection(x.request.Method+" "+x.request.URL.Path, reason)
	x.answer(status, textType, []byte(reason+"\n"))
}

// query has the loop that owns the core answer.
func (x *exchange) query(put func(mailboxItem) bool, run operation) {
	item := mailboxItem{query: run, reply: func(text []byte) { x.answer(http.StatusOK, jsonType, text) }}
	if !put(item) {
		x.fail(http.StatusServiceUnavailable, busyReason)
	}
}

// serveOperation has an operator's request carried out.
func (x *exchange) serveOperation() {
	d := x.server.daemon
	run, err := d.operation(x.request, x.body)
	if err != nil {
		status := http.StatusInternalServerError
		var invalid *requestError
		if errors.As(err, &invalid) {
			status = invalid.status
		}
		x.fail(status, err.Error())
		return
	}
	put := d.inbox.TryPut
	if x.request.Method == http.MethodPost { // an operator's command does not wait behind reports
		put = d.inbox.TryPutUrgent
	}
	x.query(put, run)
}

func (x *exchange) isProtobuf() bool {
	return strings.HasPrefix(x.request.Header.Get("Content-Type"), protobufType)
}

// read decodes the body, protobuf or its JSON form.
func (x *exchange) read(m proto.Message) error {
	if !x.isProtobuf() {
		return xds.Decode(x.body, m)
	}
	if err := proto.Unmarshal(x.body, m); err != nil {
		return fmt.Errorf("%w: %w", xds.ErrInvalidMessage, err)
	}
	return nil
}

// serveDiscovery takes a gateway's acknowledgement of a document, and its poll for the next one.
func (x *exchange) serveDiscovery(document coordinator.Document) {
	m := &discoveryv3.DiscoveryRequest{}
	var node xds.Node
	err := x.read(m)
	if err == nil {
		node, err = xds.ParseNode(m.Node)
	}
	if err != nil {
		x.fail(http.StatusBadRequest, err.Error())
		return
	}
	ack := coordinator.DocumentAck{Document: document, Version: m.VersionInfo, Nonce: m.ResponseNonce, Error: m.ErrorDetail.GetMessage()}
	x.submitAck(node, ack, func() {
		if !node.Polls {
			x.answer(http.StatusNotModified, "", nil)
			return
		}
		x.holdPoll(xdspoll.Request{Gateway: coordinator.Gateway(node.Name), Document: document, Version: m.VersionInfo, MaxWait: node.MaxWait})
	})
}

// serveDelta handles a poll for changes of single endpoints or routes.
func (x *exchange) serveDelta(document coordinator.Document, typeURL string) {
	m := &discoveryv3.DeltaDiscoveryRequest{}
	var node xds.Node
	err := x.read(m)
	if err == nil {
		node, err = xds.ParseNode(m.Node)
	}
	if err == nil && m.TypeUrl != typeURL {
		err = fmt.Errorf("%w: type_url %q: this path accepts %s", xds.ErrInvalidMessage, m.TypeUrl, typeURL)
	}
	if err != nil {
		x.fail(http.StatusBadRequest, err.Error())
		return
	}
	node.Polls = true
	ack := coordinator.DocumentAck{Document: document, Version: m.ResponseNonce, Nonce: m.ResponseNonce, Error: m.ErrorDetail.GetMessage()}
	x.submitAck(node, ack, func() {
		x.holdPoll(xdspoll.Request{Gateway: coordinator.Gateway(node.Name), Document: document, MaxWait: node.MaxWait, Delta: true, Nonce: m.ResponseNonce,
			Versions: m.InitialResourceVersions})
	})
}

// submitAck submits an acknowledgement with what the gateway states of itself.
func (x *exchange) submitAck(node xds.Node, ack coordinator.DocumentAck, done func()) {
	ack.Gateway = coordinator.Gateway(node.Name)
	ack.Checksum = node.Checksum
	ack.ChecksumVersions = node.Versions
	x.submit(node, func(link coordinator.ConnID) coordinator.Input {
		ack.Conn = link
		return ack
	}, done)
}

// holdPoll leaves a poll with the hub until there is something to deliver.
func (x *exchange) holdPoll(r xdspoll.Request) {
	hub := x.server.daemon.polls
	r.MaxWait = min(r.MaxWait, duration(x.server.daemon.config.Delivery.Poll.MaxWait))
	r.Respond = x.answerPoll
	cancel, ok := hub.Poll(r)
	if !ok {
		x.answer(http.StatusServiceUnavailable, textType, []byte("too many pending polls: retry later\n"))
		return
	}
	x.connection.cancelPoll.Store(&cancel)
}

// answerPoll answers a poll; the hub calls it, from any goroutine.
func (x *exchange) answerPoll(delivery *xdspoll.Response, err error) {
	if errors.Is(err, xdspoll.ErrUnknownBase) {
		x.answer(http.StatusConflict, textType, []byte(err.Error()+"\n"))
		return
	}
	if delivery == nil && err == nil {
		x.answer(http.StatusNotModified, "", nil)
		return
	}
	binary := x.isProtobuf()
	var body []byte
	if err == nil {
		body, err = delivery.Body(binary)
	}
	if err != nil {
		x.answer(http.StatusInternalServerError, textType, []byte(err.Error()+"\n"))
		return
	}
	x.server.daemon.polls.CountBytes(len(body))
	contentType := jsonType
	if binary {
		contentType = protobufType
	}
	x.answer(http.StatusOK, contentType, body)
}

// serveReport takes a load report. A gateway whose last report is young has to wait while the core is behind: the others' come
// first.
func (x *exchange) serveReport() {
	m := &loadv3.LoadStatsRequest{}
	var report coordinator.LoadReport
	var node xds.Node
	err := x.read(m)
	if err == nil {
		node, report, err = convertReport(m)
	}
	if err != nil {
		x.fail(http.StatusBadRequest, err.Error())
		return
	}
	s, p := x.server, x.connection
	period := policyapi.Microseconds(s.daemon.config.Reports.Period)
	if loadreport.ShouldDefer(s.daemon.inbox.Len(), normalCapacity, microsecondsSince(p.reportedAt), period) {
		s.deferredReports.Add(1)
		x.answer(http.StatusTooManyRequests, textType, []byte("the core is overloaded: report later\n"))
		return
	}
	p.reportedAt = time.Now()
	factor := policyapi.Microseconds(max(1, s.daemon.reportIntervalFactor.Load()))
	text, err := xds.Encode(xds.NewLoadReportResponse(period * factor))
	if err != nil {
		x.fail(http.StatusInternalServerError, err.Error())
		return
	}
	x.submit(node, func(link coordinator.ConnID) coordinator.Input {
		report.Conn = link
		return report
	}, func() { x.answer(http.StatusOK, jsonType, text) })
}

// convertReport converts a load report of the protocol to the core's.
func convertReport(m *loadv3.LoadStatsRequest) (xds.Node, coordinator.LoadReport, error) {
	node, interval, classes, err := xds.ParseLoadReport(m)
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
