package client

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	loadv3 "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	"google.golang.org/protobuf/proto"

	"porthub/xds"
)

// Link is a gateway's connection to a coordinator, for acknowledgements and load reports. It is one persistent
// connection: the coordinator counts the gateway as connected while it is open. It is safe for concurrent use.
type Link struct {
	addr         string
	httpClient   *http.Client
	lastResponse atomic.Int64 // nanoseconds since 1970; 0: none yet

	// mu guards node and reportNumber, and keeps messages in order.
	mu           sync.Mutex
	node         xds.Node
	reportNumber uint64
}

// NewLink returns a link that connects with its first message.
func NewLink(o Options) *Link {
	timeout := o.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	return &Link{node: o.Node, addr: o.Coordinator, httpClient: o.httpClient(timeout, timeout)}
}

// post sends one message and decodes its response into response, unless that is nil. A response with status 400 or above
// is a RejectedError.
func (l *Link) post(ctx context.Context, path string, message, response proto.Message) error {
	body, statusCode, err := post(ctx, l.httpClient, l.addr, path, message)
	if err != nil {
		return err
	}
	l.lastResponse.Store(time.Now().UnixNano())
	if statusCode >= http.StatusBadRequest {
		return rejected(statusCode, body)
	}
	if response != nil && statusCode == http.StatusOK {
		return xds.Decode(body, response)
	}
	return nil
}

// Join announces the gateway to the coordinator, with the versions of its tables.
func (l *Link) Join(ctx context.Context, tables Tables) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.node.InitialTable = tables.EndpointVersion == ""
	endpoints := xds.NewAcknowledgement(l.node, xds.EndpointType, tables.EndpointVersion, "", "")
	if err := l.post(ctx, xds.EndpointPath, endpoints, nil); err != nil {
		return err
	}
	routes := xds.NewAcknowledgement(l.node, xds.RouteType, tables.RouteVersion, "", "")
	return l.post(ctx, xds.RoutePath, routes, nil)
}

// Acknowledge acknowledges an update that was applied to the tables, or rejects it if it is invalid.
func (l *Link) Acknowledge(ctx context.Context, u Update, tables Tables) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	tables.identify(&l.node)
	path, typeURL, version := xds.EndpointPath, xds.EndpointType, tables.EndpointVersion
	if u.Document.Type == xds.RouteType {
		path, typeURL, version = xds.RoutePath, xds.RouteType, tables.RouteVersion
	}
	rejection := ""
	if u.Err != nil {
		rejection = u.Err.Error()
	}
	return l.post(ctx, path, xds.NewAcknowledgement(l.node, typeURL, version, u.Document.Nonce, rejection), nil)
}

// Report sends what the gateway observed in an interval and returns how long the next interval should be.
func (l *Link) Report(ctx context.Context, interval time.Duration, classes []xds.ClassReport) (time.Duration, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reportNumber++
	node := l.node
	node.ReportNumber = l.reportNumber
	response := &loadv3.LoadStatsResponse{}
	if err := l.post(ctx, xds.LoadReportPath, xds.NewLoadReport(node, interval, classes), response); err != nil {
		return 0, err
	}
	return response.GetLoadReportingInterval().AsDuration(), nil
}

// LastResponse returns when the coordinator last responded, or the zero time. A gateway without a response for long
// applies its routes' fallback: see routing.Fallback.
func (l *Link) LastResponse() time.Time {
	if at := l.lastResponse.Load(); at > 0 {
		return time.Unix(0, at)
	}
	return time.Time{}
}

// Close closes the connection.
func (l *Link) Close() { l.httpClient.CloseIdleConnections() }
