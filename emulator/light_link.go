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

// lightLink is a lightweight gateway's connection to the coordinator. Only the goroutine of Run uses it.
type lightLink struct {
	gateway *LightGateway
	conn    net.Conn
	reader  *bufio.Reader

	nextReport        time.Time
	interval          time.Duration // between reports
	requestedInterval time.Duration // as last requested by the coordinator
}

// runConnection dials the coordinator, then polls, reports and counts requests until the connection or the context ends.
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

// runPeriod polls for both documents, sends a report if one is due, and counts requests for the rest of the period.
func (l *lightLink) runPeriod(ctx context.Context) error {
	g := l.gateway
	next := time.Now().Add(g.ReportPeriod)
	if g.versions[0] == "" {
		next = l.nextReport // a random end of the first period spreads the reports of gateways that connect at the same time
	}
	for document := range routing.DocumentCount {
		if err := l.poll(document); err != nil {
			return err
		}
	}
	if time.Until(l.nextReport) < g.ReportPeriod/8 && !g.reportingStopped.Load() {
		if err := l.report(); err != nil {
			return err
		}
	}
	// Requests are counted in steps throughout the period. If they were counted once, the requests of a second would
	// arrive at an endpoint at the same moment.
	const minWait = 10 * time.Millisecond
	remaining := min(time.Until(next), max(time.Until(l.nextReport), minWait))
	for remaining > 0 && ctx.Err() == nil {
		step := min(remaining, g.ReportPeriod/4)
		remaining -= step
		sleepContext(ctx, step)
		g.send()
	}
	return nil
}

// report sends a load report. If the coordinator rejects it, the next report includes its counts.
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

// reportAccepted counts an accepted report and applies the interval that the coordinator requests.
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
	response := &loadv3.LoadStatsResponse{}
	if err := xds.Decode(body, response); err != nil {
		return
	}
	l.interval = max(response.GetLoadReportingInterval().AsDuration(), g.ReportPeriod)
	l.requestedInterval = l.interval
}

// loadReport returns a report of the requests since the last accepted report.
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

// resetReport resets the counts. The next report begins where the accepted one ended.
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

// poll requests a document until the gateway has its latest version. Each request acknowledges the previous version.
func (l *lightLink) poll(document int) error {
	const maxVersions = 10 // per period; the remaining versions follow in the next one
	at := l.gateway.world.Now()
	for range maxVersions {
		more, err := l.pollOnce(document, at)
		if err != nil || !more {
			return err
		}
	}
	return nil
}

// pollOnce requests a document once. The result more reports whether a new version arrived. If this is the first response
// on the connection, the audit log records at as the time of the connection.
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

// routesDocument is the index of the routes in versions. The endpoints have index 0.
const routesDocument = 1

// apply applies a document to the table and records it in the audit log.
func (g *LightGateway) apply(document int, message *discoveryv3.DiscoveryResponse) error {
	received, err := xds.ParseResponse(message)
	if err != nil {
		return err
	}
	g.send() // counts the requests up to now by the previous table
	if document == routesDocument {
		g.table.Routes = received.Routes
	} else {
		g.table.Clusters = received.Clusters
	}
	if g.Corrupt != nil {
		g.Corrupt(&g.table)
	}
	if document == routesDocument {
		g.recordForbiddenRetries(g.table.Routes)
	}
	g.versions[document] = message.VersionInfo
	now := g.world.Now()
	g.world.Log.TableApplied(now, now, g.Name, message.VersionInfo, g.table)
	g.OnTable(g.table)
	return nil
}

// recordForbiddenRetries records a duplicate execution for each route that orders retries after any failure though its
// class is not idempotent.
func (g *LightGateway) recordForbiddenRetries(routes []routing.Route) {
	for i, route := range routes {
		if route.RetryPolicy < policyapi.RetryOnce || g.Classes[i].Idempotent {
			continue
		}
		request := g.rng.Uint64()
		g.world.Log.RequestExecuted(route.Class, request, 0)
		g.world.Log.RequestExecuted(route.Class, request, 0)
	}
}

// sendRequest sends a message and reads the response. It writes the HTTP request itself, without an http.Client, because
// thousands of gateways share the process.
func (l *lightLink) sendRequest(path string, message proto.Message) (body []byte, status int, err error) {
	payload, err := proto.Marshal(message)
	if err != nil {
		return nil, 0, err
	}
	_ = l.conn.SetDeadline(time.Now().Add(20 * time.Second))
	request := fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Type: application/x-protobuf\r\nContent-Length: %d\r\n\r\n", path, len(payload))
	if _, err := l.conn.Write(append(request, payload...)); err != nil {
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
