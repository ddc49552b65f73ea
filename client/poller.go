package client

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/proto"

	"porthub/routing"
	"porthub/xds"
)

// Poller gets a gateway's tables by polls that the coordinator holds until there is something new. Endpoints and routes
// are polled on a connection each; the Link beside it reports. It is for one goroutine a document.
type Poller struct {
	node  xds.Node
	addr  string
	kinds []string
	http  [2]*http.Client
	// Deltas asks for endpoints line by line and for routes one by one; else whole documents come.
	Deltas bool
	hold   time.Duration

	// What is held by deltas, by document; each is touched by its goroutine alone.
	held  [routing.DocumentCount]routing.Snapshot
	nonce [routing.DocumentCount]string // of the last delta that was taken
	fresh [routing.DocumentCount]bool   // what is held must be stated: the coordinator does not know it
}

// NewPoller polls for a gateway's tables, of the request kinds given; each poll is held for so long at most.
func NewPoller(o Options, kinds []string, hold time.Duration) *Poller {
	dial := o.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: 2 * time.Second}).DialContext
	}
	p := &Poller{node: o.Node, addr: o.Coordinator, kinds: kinds, Deltas: true, hold: hold, fresh: [routing.DocumentCount]bool{true, true}}
	p.node.Polls, p.node.MaxWait = true, hold
	for i := range p.http {
		p.http[i] = &http.Client{Timeout: hold + 10*time.Second, Transport: &http.Transport{DialContext: dial, MaxConnsPerHost: 1,
			MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Hour, DisableCompression: true}}
	}
	return p
}

// Close ends the connections.
func (p *Poller) Close() {
	for _, h := range p.http {
		h.CloseIdleConnections()
	}
}

// Follow polls for one document until the context ends: each is given what has come; held is what the gateway holds
// now. After a failure it waits, twice as long each time, to two seconds.
func (p *Poller) Follow(ctx context.Context, routes bool, held func() Tables, each func(Update)) {
	pause := 100 * time.Millisecond
	for ctx.Err() == nil {
		u, news, err := p.poll(ctx, routes, held())
		if err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(pause):
			}
			pause = min(2*pause, 2*time.Second)
			continue
		}
		pause = 100 * time.Millisecond
		if news {
			each(u)
		}
	}
}

func (p *Poller) poll(ctx context.Context, routes bool, held Tables) (u Update, news bool, err error) {
	began := time.Now()
	doc, path, kind, version := 0, xds.EndpointPath, xds.EndpointType, held.EndpointVersion
	if routes {
		doc, path, kind, version = 1, xds.RoutePath, xds.RouteType, held.RouteVersion
	}
	var m proto.Message = xds.NewAcknowledgement(p.node, kind, version, "", "")
	if p.Deltas {
		d := &discoveryv3.DeltaDiscoveryRequest{Node: xds.NewAcknowledgement(p.node, "", "", "", "").Node, TypeUrl: xds.LbEndpointType, ResponseNonce: p.nonce[doc]}
		if path = xds.EndpointDeltaPath; routes {
			path, d.TypeUrl = xds.RouteDeltaPath, xds.RouteType
		}
		if p.fresh[doc] {
			d.ResponseNonce = "" // an earlier coordinator's says nothing, and what is held is stated in full
			d.InitialResourceVersions = xds.EndpointVersions(p.held[doc])
			if routes {
				d.InitialResourceVersions = xds.RouteVersions(p.held[doc])
			}
		}
		m = d
	}
	body, code, err := post(ctx, p.http[doc], p.addr, path, m)
	switch {
	case err != nil:
		return u, false, err
	case code == http.StatusNotModified:
		return u, false, nil
	case code == http.StatusConflict && p.Deltas && !p.fresh[doc]:
		p.fresh[doc] = true // it does not know what we hold: say so, one by one
		return u, false, nil
	case code != http.StatusOK:
		return u, false, fmt.Errorf("%w: %d: %s", ErrRejected, code, bytes.TrimSpace(body))
	}
	u = Update{Source: path, Written: began, Size: len(body)}
	if !p.Deltas {
		u.Document, u.Err = xds.ParseDocument(body)
		u.Written, u.Elapsed = time.Now(), time.Since(began)
		return u, true, nil
	}
	d := &discoveryv3.DeltaDiscoveryResponse{}
	if err := xds.Decode(body, d); err != nil {
		return u, false, err
	}
	next := p.held[doc]
	if routes {
		next.Routes, err = xds.ApplyRouteDelta(p.kinds, next.Routes, d)
	} else {
		next.Clusters, err = xds.ApplyEndpointDelta(p.kinds, next, d)
	}
	if err != nil {
		p.fresh[doc] = true
		return u, false, err
	}
	p.held[doc], p.nonce[doc], p.fresh[doc] = next, d.Nonce, false
	u.Document = xds.Document{Type: kind, Version: d.SystemVersionInfo, Nonce: d.Nonce, Clusters: next.Clusters, Routes: next.Routes}
	u.Written = time.Now()
	return u, true, nil
}

// post sends one message and returns the answer's body and code.
func post(ctx context.Context, h *http.Client, addr, path string, m proto.Message) ([]byte, int, error) {
	text, err := xds.Encode(m)
	if err != nil {
		return nil, 0, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(text))
	if err != nil {
		return nil, 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := h.Do(req)
	if err != nil {
		return nil, 0, err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, answerMost+1))
	if err == nil && len(body) > answerMost {
		err = errors.New("the answer is too large")
	}
	return body, res.StatusCode, err
}

const answerMost = 64 << 20
