package client

import (
	"context"
	"fmt"
	"net/http"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"

	"porthub/coordinator"
	"porthub/routing"
	"porthub/xds"
)

const (
	pollDialTimeout = 2 * time.Second
	// pollMargin is the time that a poll may take in addition to its maximum wait.
	pollMargin     = 10 * time.Second
	minPollBackoff = 100 * time.Millisecond
	maxPollBackoff = 2 * time.Second
)

// Poller gets a gateway's tables by long polls, to which the coordinator responds when there is something new. Endpoints and
// routes are polled over a connection each. Load reports are sent over a Link. Each document must be polled by one goroutine
// only.
type Poller struct {
	// Deltas requests only the endpoints and routes that changed, instead of complete documents. It is true for a new Poller
	// and must not be changed while the Poller is polling.
	Deltas bool

	node      xds.Node
	addr      string
	classes   []string
	documents [routing.DocumentCount]polledDocument
}

// polledDocument is the state of polling one document. It is used only by the goroutine that polls the document.
type polledDocument struct {
	httpClient   *http.Client
	snapshot     routing.Snapshot // result of all deltas applied
	nonce        string           // nonce of the last delta applied
	sendVersions bool             // send the versions of all resources, since the coordinator does not know the nonce
}

// resourceNames holds the paths and type URLs of a document.
type resourceNames struct {
	path      string
	typeURL   string
	deltaPath string
	deltaType string
}

var namesByDocument = [routing.DocumentCount]resourceNames{
	coordinator.EndpointsDocument: {xds.EndpointPath, xds.EndpointType, xds.EndpointDeltaPath, xds.LbEndpointType},
	coordinator.RoutesDocument:    {xds.RoutePath, xds.RouteType, xds.RouteDeltaPath, xds.RouteType},
}

// NewPoller returns a poller for the tables of the given request classes. Each poll waits for at most maxWait.
func NewPoller(o Options, classes []string, maxWait time.Duration) *Poller {
	p := &Poller{node: o.Node, addr: o.Coordinator, classes: classes, Deltas: true}
	p.node.Polls = true
	p.node.MaxWait = maxWait
	for i := range p.documents {
		p.documents[i] = polledDocument{httpClient: o.httpClient(pollDialTimeout, maxWait+pollMargin), sendVersions: true}
	}
	return p
}

// Close closes the connections.
func (p *Poller) Close() {
	for i := range p.documents {
		p.documents[i].httpClient.CloseIdleConnections()
	}
}

// Follow polls for one document until the context ends and calls handle with each update. The function tables returns
// the gateway's current tables. After a failure Follow waits before it polls again, twice as long after each consecutive
// failure, up to 2 s.
func (p *Poller) Follow(ctx context.Context, document coordinator.Document, tables func() Tables, handle func(Update)) {
	backoff := minPollBackoff
	for ctx.Err() == nil {
		update, ok, err := p.poll(ctx, document, tables())
		if err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(backoff):
			}
			backoff = min(2*backoff, maxPollBackoff)
			continue
		}
		backoff = minPollBackoff
		if ok {
			handle(update)
		}
	}
}

// poll sends one poll. It returns false if there is nothing new.
func (p *Poller) poll(ctx context.Context, document coordinator.Document, tables Tables) (update Update, ok bool, err error) {
	if p.Deltas {
		return p.pollDelta(ctx, document)
	}
	start := time.Now()
	names := namesByDocument[document]
	version := tables.EndpointVersion
	if document == coordinator.RoutesDocument {
		version = tables.RouteVersion
	}
	request := xds.NewAcknowledgement(p.node, names.typeURL, version, "", "")
	body, statusCode, err := post(ctx, p.documents[document].httpClient, p.addr, names.path, request)
	if err != nil {
		return Update{}, false, err
	}
	if changed, err := isChanged(statusCode, body); !changed {
		return Update{}, false, err
	}
	update = Update{Source: names.path, Size: len(body)}
	update.Document, update.Err = xds.ParseDocument(body)
	update.Written = time.Now()
	update.Elapsed = time.Since(start)
	return update, true, nil
}

// pollDelta sends one poll for a delta and applies the delta. It returns false if there is nothing new.
func (p *Poller) pollDelta(ctx context.Context, document coordinator.Document) (update Update, ok bool, err error) {
	names := namesByDocument[document]
	state := &p.documents[document]
	body, statusCode, err := post(ctx, state.httpClient, p.addr, names.deltaPath, p.deltaRequest(document))
	if err != nil {
		return Update{}, false, err
	}
	if statusCode == http.StatusConflict && !state.sendVersions {
		state.sendVersions = true // the coordinator does not know the nonce
		return Update{}, false, nil
	}
	if changed, err := isChanged(statusCode, body); !changed {
		return Update{}, false, err
	}
	delta := &discoveryv3.DeltaDiscoveryResponse{}
	if err := xds.Decode(body, delta); err != nil {
		return Update{}, false, err
	}
	if err := p.applyDelta(document, delta); err != nil {
		state.sendVersions = true
		return Update{}, false, err
	}
	update = Update{
		Source:  names.deltaPath,
		Written: time.Now(),
		Size:    len(body),
		Document: xds.Document{
			Type:     names.typeURL,
			Version:  delta.SystemVersionInfo,
			Nonce:    delta.Nonce,
			Clusters: state.snapshot.Clusters,
			Routes:   state.snapshot.Routes,
		},
	}
	return update, true, nil
}

// isChanged reports whether a poll's response contains a document or a delta. The error is a [RejectedError].
func isChanged(statusCode int, body []byte) (bool, error) {
	switch statusCode {
	case http.StatusOK:
		return true, nil
	case http.StatusNotModified:
		return false, nil
	default:
		return false, newRejectedError(statusCode, body)
	}
}

// deltaRequest returns the request for the changes of a document since the last delta applied.
func (p *Poller) deltaRequest(document coordinator.Document) *discoveryv3.DeltaDiscoveryRequest {
	state := &p.documents[document]
	request := &discoveryv3.DeltaDiscoveryRequest{
		Node:          xds.NewAcknowledgement(p.node, "", "", "", "").Node,
		TypeUrl:       namesByDocument[document].deltaType,
		ResponseNonce: state.nonce,
	}
	if !state.sendVersions {
		return request
	}
	// The nonce may be that of an earlier coordinator process, which the current one does not know.
	request.ResponseNonce = ""
	request.InitialResourceVersions = xds.EndpointVersions(state.snapshot)
	if document == coordinator.RoutesDocument {
		request.InitialResourceVersions = xds.RouteVersions(state.snapshot)
	}
	return request
}

// applyDelta applies a delta to the state of a document. If any part of the delta is invalid, it returns an error and leaves
// the state unchanged.
func (p *Poller) applyDelta(document coordinator.Document, delta *discoveryv3.DeltaDiscoveryResponse) error {
	state := &p.documents[document]
	next := state.snapshot
	var err error
	if document == coordinator.RoutesDocument {
		next.Routes, err = xds.ApplyRouteDelta(p.classes, next.Routes, delta)
	} else {
		next.Clusters, err = xds.ApplyEndpointDelta(p.classes, next, delta)
	}
	if err != nil {
		return fmt.Errorf("apply delta %s: %w", delta.Nonce, err)
	}
	state.snapshot = next
	state.nonce = delta.Nonce
	state.sendVersions = false
	return nil
}
