package xdspoll

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/proto"

	"porthub/coordinator"
	"porthub/policyapi"
	"porthub/routing"
	"porthub/testutil"
	"porthub/xds"
)

// TestMain fixes the draws of property tests.
func TestMain(m *testing.M) { testutil.RunWithFixedSeed(m, 300) }

func publication(gw string, n int, lines ...int) coordinator.Publish {
	c := routing.Cluster{Class: "view"}
	for _, i := range lines {
		c.Endpoints = append(c.Endpoints, routing.ClusterEndpoint{Endpoint: policyapi.EndpointID(fmt.Sprintf("127.0.0.1:%d", i)), Zone: "a", Weight: 1})
	}
	c.Sort()
	v := fmt.Sprintf("e.%d", n)
	return coordinator.Publish{Gateway: coordinator.Gateway(gw), Version: v, Nonce: v, Snapshot: routing.Snapshot{Clusters: []routing.Cluster{c},
		Routes: []routing.Route{{Class: "view", Rate: routing.UnlimitedRate, Share: 1}}}, Changed: [2]bool{true, n == 1}}
}

func messageOf(t *Response) proto.Message {
	if t == nil {
		return nil
	}
	return t.Message()
}

type response struct {
	m   proto.Message
	err error
}

func startPoll(t *testing.T, h *Hub, r Request) (chan response, func()) {
	t.Helper()
	ch := make(chan response, 2)
	r.Respond = func(t *Response, err error) { ch <- response{messageOf(t), err} }
	cancel, ok := h.Poll(r)
	if !ok {
		t.Fatal("rejected")
	}
	return ch, cancel
}

func receive(t *testing.T, ch chan response) response {
	t.Helper()
	select {
	case x := <-ch:
		return x
	case <-time.After(10 * time.Second):
		t.Fatal("no answer within 10 s")
		return response{}
	}
}

func TestDocumentPolls(t *testing.T) {
	h := NewHub(10, 3)
	r := Request{Gateway: "gw", Document: coordinator.EndpointsDocument, MaxWait: time.Minute}
	ch, _ := startPoll(t, h, r)
	h.Publish(publication("other", 1, 1))
	h.Publish(publication("gw", 1, 1, 2))
	m := receive(t, ch).m.(*discoveryv3.DiscoveryResponse)
	if m.VersionInfo != "e.1" || h.Stats().Pending != 0 {
		t.Errorf("%v, %+v", m, h.Stats())
	}
	r.Version = "e.1"
	r.MaxWait = 20 * time.Millisecond
	ch, _ = startPoll(t, h, r)
	if x := receive(t, ch); x.m != nil || x.err != nil {
		t.Errorf("%v for an unchanged document", x)
	}
	r.MaxWait = time.Minute
	ch, cancel := startPoll(t, h, r)
	cancel()
	h.Publish(publication("gw", 2, 1))
	select {
	case x := <-ch:
		t.Errorf("cancelled, and answered with %v", x)
	case <-time.After(20 * time.Millisecond):
	}
	// Routes have not changed since the first publication: their poll waits.
	ch, _ = startPoll(t, h, Request{Gateway: "gw", Document: coordinator.RoutesDocument, Version: "e.1", MaxWait: 20 * time.Millisecond})
	if x := receive(t, ch); x.m != nil {
		t.Errorf("%v for unchanged routes", x.m)
	}
}

// deltaGateway is a gateway that polls for deltas of its endpoints.
type deltaGateway struct {
	t      *testing.T
	hub    *Hub
	tables routing.Snapshot
	nonce  string
}

// poll polls with the gateway's nonce, or with the versions that it has.
func (g *deltaGateway) poll(versions map[string]string) response {
	g.t.Helper()
	ch, cancel := startPoll(g.t, g.hub, Request{Gateway: "gw", Document: coordinator.EndpointsDocument, Delta: true, Nonce: g.nonce,
		Versions: versions, MaxWait: time.Millisecond})
	defer cancel()
	return receive(g.t, ch)
}

// apply applies a response, which must be a delta, and returns the number of resources in it.
func (g *deltaGateway) apply(x response) int {
	g.t.Helper()
	delta, ok := x.m.(*discoveryv3.DeltaDiscoveryResponse)
	if !ok {
		g.t.Fatalf("no delta: %v", x)
	}
	clusters, err := xds.ApplyEndpointDelta([]string{"view"}, g.tables, delta)
	if err != nil {
		g.t.Fatal(err)
	}
	g.tables.Clusters = clusters
	g.nonce = delta.Nonce
	return len(delta.Resources) + len(delta.RemovedResources)
}

// requirePublished fails the test unless the gateway has the tables of a publication.
func (g *deltaGateway) requirePublished(p coordinator.Publish) {
	g.t.Helper()
	if !slices.EqualFunc(g.tables.Clusters, p.Snapshot.Clusters, routing.Cluster.Equal) {
		g.t.Fatalf("applied %v, published %v", g.tables.Clusters, p.Snapshot.Clusters)
	}
}

// Whatever deltas a gateway misses, repeats or gets late, they lead to what was published.
func TestEndpointDeltas(t *testing.T) {
	g := &deltaGateway{t: t, hub: NewHub(10, 3)}
	p := publication("gw", 1, 1, 2, 3, 4, 5, 6)
	g.hub.Publish(p)
	if n := g.apply(g.poll(nil)); n != 6 {
		t.Errorf("%d endpoints in the first delta", n)
	}
	g.requirePublished(p)
	g.hub.Publish(publication("gw", 2, 1, 2, 3, 4, 5, 7))
	g.poll(nil) // the response is lost
	p = publication("gw", 3, 1, 2, 3, 4, 7)
	g.hub.Publish(p)
	if n := g.apply(g.poll(nil)); n != 3 {
		t.Errorf("%d endpoints with 5 and 6 removed and 7 added", n)
	}
	g.requirePublished(p)
	if x := g.poll(nil); x.m != nil || x.err != nil {
		t.Errorf("%v for an unchanged document", x)
	}
	for n := 4; n < 12; n++ { // so many that its base is dropped
		p = publication("gw", n, 1, n)
		g.hub.Publish(p)
	}
	if x := g.poll(nil); !errors.Is(x.err, ErrUnknownBase) {
		t.Errorf("from a base that was dropped: %v", x)
	}
	g.apply(g.poll(xds.EndpointVersions(g.tables)))
	g.requirePublished(p)
	// A restarted coordinator knows neither the nonce nor removed endpoints.
	g.hub = NewHub(10, 3)
	p = publication("gw", 1, 9)
	g.hub.Publish(p)
	if x := g.poll(nil); !errors.Is(x.err, ErrUnknownBase) {
		t.Errorf("from the nonce of an earlier process: %v", x)
	}
	g.apply(g.poll(xds.EndpointVersions(g.tables)))
	g.requirePublished(p)
}

// Ten thousand waiting polls are answered at once, each one time; a poll over the limit is rejected.
func TestManyPendingPolls(t *testing.T) {
	const many = 10_000
	h := NewHub(many, 2)
	var answered sync.WaitGroup
	for i := range many {
		answered.Add(1)
		_, ok := h.Poll(Request{Gateway: coordinator.Gateway(fmt.Sprint("gw-", i)), Document: coordinator.EndpointsDocument, MaxWait: time.Minute,
			Respond: func(m *Response, err error) {
				if m == nil || err != nil {
					t.Errorf("%v, %v", m, err)
				}
				answered.Done()
			}})
		if !ok {
			t.Fatal("rejected before the limit")
		}
	}
	if _, ok := h.Poll(Request{Gateway: "one more", MaxWait: time.Minute, Respond: func(*Response, error) {}}); ok || h.Stats().Rejected != 1 {
		t.Error("a poll over the limit waits")
	}
	for i := range many {
		h.Publish(publication(fmt.Sprint("gw-", i), 1, 1, 2))
	}
	answered.Wait()
	if s := h.Stats(); s.Pending != 0 || s.Documents != many {
		t.Errorf("%+v", s)
	}
}

// What is published again without a difference is sent as an empty delta: the core waits for its acknowledgement.
func TestUnchangedPublicationIsAnEmptyDelta(t *testing.T) {
	h := NewHub(10, 3)
	h.Publish(publication("gw", 1, 1, 2))
	for n, doc := range []coordinator.Document{coordinator.EndpointsDocument, coordinator.RoutesDocument} {
		r := Request{Gateway: "gw", Document: doc, MaxWait: time.Minute, Delta: true, Nonce: fmt.Sprintf("e.%d", 1+n)}
		ch, _ := startPoll(t, h, r)
		p := publication("gw", 2+n, 1, 2)
		p.Changed = [2]bool{n == 0, n == 1}
		h.Publish(p)
		m, ok := receive(t, ch).m.(*discoveryv3.DeltaDiscoveryResponse)
		if !ok || len(m.Resources)+len(m.RemovedResources) > 0 || m.Nonce != p.Nonce {
			t.Errorf("%v: received %v", doc, m)
		}
	}
}

// Only the route that changed is sent, and one that was removed is named.
func TestRouteDeltas(t *testing.T) {
	classes := []string{"view", "save", "old"}
	publish := func(n int, rates ...float64) coordinator.Publish {
		p := publication("gw", n, 1)
		p.Changed, p.Snapshot.Routes = [2]bool{false, true}, nil
		for i, r := range rates {
			p.Snapshot.Routes = append(p.Snapshot.Routes, routing.Route{Class: classes[i], Rate: r, Share: 1, Timeout: 1e6})
		}
		return p
	}
	h := NewHub(10, 3)
	h.Publish(publish(1, 10, routing.UnlimitedRate, 5))
	var routes []routing.Route
	for n, want := range []struct{ set, removed, total int }{{3, 0, 3}, {1, 0, 3}, {1, 1, 2}} {
		r := Request{Gateway: "gw", Document: coordinator.RoutesDocument, MaxWait: time.Minute, Delta: true}
		if n > 0 {
			r.Nonce = fmt.Sprintf("e.%d", n)
			h.Publish([]coordinator.Publish{{}, publish(2, 20, routing.UnlimitedRate, 5), publish(3, 20, 0)}[n])
		}
		ch, _ := startPoll(t, h, r)
		m, ok := receive(t, ch).m.(*discoveryv3.DeltaDiscoveryResponse)
		if !ok || len(m.Resources) != want.set || len(m.RemovedResources) != want.removed {
			t.Fatalf("step %d: received %v", n, m)
		}
		var err error
		if routes, err = xds.ApplyRouteDelta(classes, routes, m); err != nil || len(routes) != want.total {
			t.Fatalf("step %d: applied %v, %v", n, routes, err)
		}
	}
	if routes[0].Rate != 20 || routes[1].Rate != 0 || routes[0].Timeout != 1e6 {
		t.Errorf("applied %+v", routes)
	}
	if _, err := xds.ApplyRouteDelta(classes[:1], nil, &discoveryv3.DeltaDiscoveryResponse{Resources: []*discoveryv3.Resource{{Name: "view"}}}); err == nil {
		t.Error("an empty resource is applied")
	}
}
