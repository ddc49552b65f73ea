package emulator

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	loadv3 "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	"google.golang.org/protobuf/proto"

	"porthub/policyapi"
	"porthub/routing"
	"porthub/xds"
)

// lightLink is a light gateway's connection to the coordinator. It belongs to the goroutine of Run.
type lightLink struct {
	gateway *LightGateway
	conn    net.Conn
	reader  *bufio.Reader

	nextReport        time.Time
	interval          time.Duration // until the report after the next
	requestedInterval time.Duration // interval that the coordinator requested
}

// runConnection dials the coordinator, then polls, reports and sends until the connection or the context ends.
func (g *LightGateway) runConnection(ctx context.Context, addr string) error {
	conn, err := (&net.Dialer{Timeout: 5 * time.Second}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	link := &lightLink{gateway: g, conn: conn, reader: bufio.NewReaderSize(conn, 4096), interval: g.ReportPeriod, requestedInterval: g.ReportPeriod}
	link.nextReport = time.Now().Add(time.Duration(g.rng.Float64() * float64(g.ReportPeriod)))
	for ctx.Err() == nil {
		if err := link.runPeriod(ctx); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// runPeriod polls for both documents, reports if that is due, and sends for the rest of the period.
func (l *lightLink) runPeriod(ctx context.Context) error {
	g := l.gateway
	next := time.Now().Add(g.ReportPeriod)
	if g.versions[0] == "" {
		next = l.nextReport // spreads the reports of gateways that connect at once, from the first one on
	}
	for document := range routing.DocumentCount {
		if err := l.poll(document); err != nil {
			return err
		}
	}
	if time.Until(l.nextReport) < g.ReportPeriod/8 && !g.muted.Load() {
		if err := l.report(); err != nil {
			return err
		}
	}
	// Requests are sent all the time: counted at once, those of a second would arrive at an endpoint at one moment.
	const shortest = 10 * time.Millisecond
	until := min(time.Until(next), max(time.Until(l.nextReport), shortest))
	for until > 0 && ctx.Err() == nil {
		step := min(until, g.ReportPeriod/4)
		until -= step
		sleepContext(ctx, step)
		g.send()
	}
	return nil
}

// report sends a load report. If the coordinator rejects it, its counts go into the next one.
func (l *lightLink) report() error {
	g := l.gateway
	message := g.loadReport()
	start := time.Now()
	body, status, err := l.sendRequest(xds.LoadReportPath, message)
	if err != nil {
		return err
	}
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		g.Tally.Deferred.Add(1)
	case http.StatusOK:
		g.resetReport()
		g.reported.Store(true)
		l.reportAccepted(time.Since(start), body)
	}
	l.nextReport = time.Now().Add(l.interval)
	return nil
}

// reportAccepted counts an accepted report and takes the interval that the coordinator requests.
func (l *lightLink) reportAccepted(responseTime time.Duration, body []byte) {
	g := l.gateway
	g.Tally.Reports.Add(1)
	g.Tally.responseTimes.RecordLatency(responseTime)
	if responseTime > g.ReportPeriod {
		g.Tally.LateResponses.Add(1)
	}
	if l.requestedInterval > g.ReportPeriod {
		g.Tally.Throttled.Add(1)
	}
	answer := &loadv3.LoadStatsResponse{}
	if err := xds.Decode(body, answer); err != nil {
		return
	}
	l.interval = max(answer.GetLoadReportingInterval().AsDuration(), g.ReportPeriod)
	l.requestedInterval = l.interval
}

// loadReport reports what was sent since the last accepted report.
func (g *LightGateway) loadReport() *loadv3.LoadStatsRequest {
	g.send()
	interval := g.sentUntil - g.reports.since
	classes := make([]xds.ClassReport, len(g.Classes))
	for i, class := range g.Classes {
		traffic := &g.traffic[i]
		classes[i] = xds.ClassReport{Class: class.Name, Arrived: traffic.arrived, Rejected: traffic.rejected, Failures: traffic.failed}
		for _, endpoint := range traffic.endpoints {
			classes[i].Endpoints = append(classes[i].Endpoints, *endpoint)
		}
	}
	g.reports.number++
	return xds.NewLoadReport(xds.Node{Name: g.Name, Zone: g.Zone, ReportNumber: g.reports.number, Polls: true}, interval, classes)
}

// resetReport begins the next report where the accepted one ended.
func (g *LightGateway) resetReport() {
	g.reports.since = g.sentUntil
	for i := range g.traffic {
		traffic := &g.traffic[i]
		traffic.arrived = 0
		traffic.rejected = 0
		traffic.failed = 0
		clear(traffic.endpoints)
	}
}

// poll requests a document until the gateway has the last version. A request acknowledges the version before.
func (l *lightLink) poll(document int) error {
	const maxVersions = 10 // at once; the rest with the next period
	at := l.gateway.world.Now()
	for range maxVersions {
		more, err := l.pollOnce(document, at)
		if err != nil || !more {
			return err
		}
	}
	return nil
}

// pollOnce requests a document once; more reports whether it was a new version. At is when the connection is taken to
// have been made.
func (l *lightLink) pollOnce(document int, at time.Duration) (more bool, err error) {
	g := l.gateway
	path, resourceType := xds.EndpointPath, xds.EndpointType
	if document == routesDocument {
		path, resourceType = xds.RoutePath, xds.RouteType
	}
	node := xds.Node{Name: g.Name, Zone: g.Zone, UsualRate: g.totalRate(), Polls: true}
	body, status, err := l.sendRequest(path, xds.NewAcknowledgement(node, resourceType, g.versions[document], "", ""))
	if err != nil {
		return false, err
	}
	if status != http.StatusOK && status != http.StatusNotModified {
		return false, nil // the coordinator is busy
	}
	if g.connected.CompareAndSwap(false, true) {
		g.world.Log.GatewayConnected(at, g.Name, true)
	}
	if g.versions[document] != "" {
		g.world.Log.VersionAcknowledged(g.world.Now(), g.Name, g.versions[document])
	}
	if status == http.StatusNotModified {
		return false, nil
	}
	message := &discoveryv3.DiscoveryResponse{}
	if err := proto.Unmarshal(body, message); err != nil {
		return false, err
	}
	if message.VersionInfo == g.versions[document] {
		return false, nil
	}
	return true, g.apply(document, message)
}

// routesDocument is the position of the routes among the documents; the endpoints are before them.
const routesDocument = 1

// apply uses a document from now on.
func (g *LightGateway) apply(document int, message *discoveryv3.DiscoveryResponse) error {
	received, err := xds.ParseResponse(message)
	if err != nil {
		return err
	}
	g.send() // by the table until now
	if document == routesDocument {
		g.table.Routes = received.Routes
	} else {
		g.table.Clusters = received.Clusters
	}
	if g.Corrupt != nil {
		g.Corrupt(&g.table)
	}
	if document == routesDocument {
		g.auditRetries(g.table.Routes)
	}
	g.versions[document] = message.VersionInfo
	now := g.world.Now()
	g.world.Log.TableApplied(now, now, g.Name, message.VersionInfo, g.table)
	g.OnTable(g.table)
	return nil
}

// auditRetries counts an order to retry what must not be executed twice as a request that was.
func (g *LightGateway) auditRetries(routes []routing.Route) {
	for i, route := range routes {
		if route.RetryPolicy < policyapi.RetryOnce || g.Classes[i].Idempotent {
			continue
		}
		request := g.rng.Uint64()
		g.world.Log.RequestExecuted(route.Class, request, 0)
		g.world.Log.RequestExecuted(route.Class, request, 0)
	}
}

// sendRequest sends a message and reads the response. It writes HTTP by hand: thousands of gateways share the process.
func (l *lightLink) sendRequest(path string, message proto.Message) (body []byte, status int, err error) {
	text, err := proto.Marshal(message)
	if err != nil {
		return nil, 0, err
	}
	_ = l.conn.SetDeadline(time.Now().Add(20 * time.Second))
	request := fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Type: application/x-protobuf\r\nContent-Length: %d\r\n\r\n", path, len(text))
	if _, err := l.conn.Write(append(request, text...)); err != nil {
		return nil, 0, err
	}
	response, err := http.ReadResponse(l.reader, nil)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err = io.ReadAll(response.Body)
	l.gateway.lastContact = l.gateway.world.Now()
	return body, response.StatusCode, err
}
