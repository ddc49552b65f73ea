// Package client is the library for gateways and tools: it reads the tables that a coordinator hands out as files,
// says what it holds, reports what it met, and asks a coordinator how things stand.
//
// A gateway makes a Reader for its folder and a Link to the coordinator. It follows the Reader, applies each update to
// what it Holds, acknowledges it on the Link, and reports once a period:
//
//	reader := client.NewReader("/run/porthub/tables", "gw-7")
//	link := client.NewLink(client.Options{Node: xds.Node{Name: "gw-7", Zone: "hala-a"}, Coordinator: "127.0.0.1:7070"})
//	go reader.Follow(ctx, 100*time.Millisecond, func(updates []client.Update) {
//		for _, u := range updates {
//			held.Apply(u)
//			_ = link.Answer(ctx, u, held)
//		}
//	})
//
// If the Link breaks the gateway goes on by what it holds.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	loadv3 "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	"google.golang.org/protobuf/proto"

	"porthub/coordinator"
	"porthub/routing"
	"porthub/xds"
)

// Options are what a Link is made of.
type Options struct {
	Node        xds.Node
	Coordinator string        // address:port
	Timeout     time.Duration // of one message and its answer; 0: 2 s
	// Dial takes the place of the plain dialer; for tests that cut the way.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Link is a gateway's connection to a coordinator. It is one kept connection: that it stands is what the coordinator
// takes as joined. It is safe for several goroutines.
type Link struct {
	mu     sync.Mutex
	node   xds.Node
	addr   string
	http   *http.Client
	report uint64
	heard  atomic.Int64 // the last answer, nanoseconds since 1970; 0: none
}

// NewLink prepares a link; it connects with the first message.
func NewLink(o Options) *Link {
	if o.Timeout == 0 {
		o.Timeout = 2 * time.Second
	}
	dial := o.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: o.Timeout}).DialContext
	}
	return &Link{node: o.Node, addr: o.Coordinator, http: &http.Client{Timeout: o.Timeout, Transport: &http.Transport{
		DialContext: dial, MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Hour, DisableCompression: true}}}
}

// ErrRejected is an answer of the coordinator that says no; the message changed nothing.
var ErrRejected = errors.New("refused")

// post sends one message and waits for its answer.
func (l *Link) post(ctx context.Context, path string, m proto.Message, into proto.Message) error {
	body, code, err := post(ctx, l.http, l.addr, path, m)
	if err != nil {
		return err
	}
	l.heard.Store(time.Now().UnixNano())
	if code >= 400 {
		return fmt.Errorf("%w: %d: %s", ErrRejected, code, bytes.TrimSpace(body))
	}
	if into != nil && code == http.StatusOK {
		return xds.Decode(body, into)
	}
	return nil
}

// Join names the gateway to the coordinator by saying which versions it holds.
func (l *Link) Join(ctx context.Context, held Tables) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.node.InitialTable = held.EndpointVersion == ""
	if err := l.post(ctx, xds.EndpointPath, xds.NewAcknowledgement(l.node, xds.EndpointType, held.EndpointVersion, "", ""), nil); err != nil {
		return err
	}
	return l.post(ctx, xds.RoutePath, xds.NewAcknowledgement(l.node, xds.RouteType, held.RouteVersion, "", ""), nil)
}

// NewAcknowledgement acknowledges an update after it was applied, or refuses it.
func (l *Link) Acknowledge(ctx context.Context, u Update, held Tables) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.node.InitialTable = held.EndpointVersion == ""
	if l.node.Checksum = 0; held.EndpointVersion != "" && held.RouteVersion != "" {
		l.node.Checksum, l.node.Versions = routing.Checksum(held.Snapshot), [routing.DocumentCount]string{held.EndpointVersion, held.RouteVersion}
	}
	path, kind, version := xds.EndpointPath, xds.EndpointType, held.EndpointVersion
	if u.Document.Type == xds.RouteType {
		path, kind, version = xds.RoutePath, xds.RouteType, held.RouteVersion
	}
	why := ""
	if u.Err != nil {
		why = u.Err.Error()
	}
	return l.post(ctx, path, xds.NewAcknowledgement(l.node, kind, version, u.Document.Nonce, why), nil)
}

// ReportNumber sends what was met in an interval and returns how long the next one should be.
func (l *Link) Report(ctx context.Context, interval time.Duration, kinds []xds.ClassReport) (time.Duration, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report++
	node := l.node
	node.ReportNumber = l.report
	answer := &loadv3.LoadStatsResponse{}
	if err := l.post(ctx, xds.LoadReportPath, xds.NewLoadReport(node, interval, kinds), answer); err != nil {
		return 0, err
	}
	return answer.GetLoadReportingInterval().AsDuration(), nil
}

// LastResponse is when the coordinator answered last; zero: never. A gateway that has heard nothing for long goes by its routes'
// fallback: tables.Route.Away.
func (l *Link) LastResponse() time.Time {
	if at := l.heard.Load(); at > 0 {
		return time.Unix(0, at)
	}
	return time.Time{}
}

// Close ends the connection.
func (l *Link) Close() { l.http.CloseIdleConnections() }

// Status asks a coordinator how things stand.
func Status(ctx context.Context, addr string) (coordinator.Status, error) {
	var s coordinator.Status
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/tables", nil)
	if err != nil {
		return s, err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return s, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return s, fmt.Errorf("%w: %s", ErrRejected, res.Status)
	}
	if err := json.NewDecoder(res.Body).Decode(&s); err != nil {
		return s, fmt.Errorf("the coordinator's answer: %w", err)
	}
	return s, nil
}
