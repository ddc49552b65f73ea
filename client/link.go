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
	lastResponse atomic.Int64 // Unix time in nanoseconds; 0 before the first response

	// mu guards node and reportNumber, and keeps messages in order.
	mu           sync.Mutex
	node         xds.Node
	reportNumber uint64
}

// NewLink returns a link that connects when it sends its first message.
func NewLink(o Options) *Link {
	timeout := o.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	return &Link{node: o.Node, addr: o.Coordinator, httpClient: o.httpClient(timeout, timeout)}
}

// post sends one message and decodes the response into response, unless response is nil. It returns a RejectedError for a
// status of 400 or above.
func (l *Link) post(ctx context.Context, path string, message, response proto.Message) error {
	body, statusCode, err := post(ctx, l.httpClient, l.addr, path, message)
	if err != nil {
		return err
	}
	l.lastResponse.Store(time.Now().UnixNano())
	if statusCode >= http.StatusBadRequest {
		return newRejectedError(statusCode, body)
	}
	if response != nil && statusCode == http.StatusOK {
		return xds.Decode(body, response)
	}
	return nil
}

// Join registers the gateway with the coordinator and sends the versions of its tables.
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

// Acknowledge acknowledges an update that was applied to the tables, or rejects the update if it is invalid.
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

// LastResponse returns the time of the coordinator's last response, rejections included, or the zero time if there was none.
// A gateway that has had no response for a while applies the fallback of its routes: see routing.Fallback.
func (l *Link) LastResponse() time.Time {
	if at := l.lastResponse.Load(); at > 0 {
		return time.Unix(0, at)
	}
	return time.Time{}
}

// Close closes the connection.
func (l *Link) Close() { l.httpClient.CloseIdleConnections() }
