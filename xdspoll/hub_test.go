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

// TestMain runs the property tests with fixed random draws.
func TestMain(m *testing.M) { testutil.RunWithFixedSeed(m, 300) }

// publication returns the nth publication to a gateway, with endpoints on the given ports. Only the first one changes the
// routes.
func publication(gateway string, n int, ports ...int) coordinator.Publish {
	cluster := routing.Cluster{Class: "view"}
	for _, port := range ports {
		cluster.Endpoints = append(cluster.Endpoints,
			routing.ClusterEndpoint{Endpoint: policyapi.EndpointID(fmt.Sprintf("127.0.0.1:%d", port)), Zone: "a", Weight: 1})
	}
	cluster.Sort()
	version := fmt.Sprintf("e.%d", n)
	return coordinator.Publish{Gateway: coordinator.Gateway(gateway), Version: version, Nonce: version, Snapshot: routing.Snapshot{Clusters: []routing.Cluster{cluster},
		Routes: []routing.Route{{Class: "view", Rate: routing.UnlimitedRate, Share: 1}}}, Changed: [2]bool{true, n == 1}}
}

// messageOf returns the message of a response, or nil if there is nothing new.
func messageOf(r *Response) proto.Message {
	if r == nil {
		return nil
	}
	return r.Message()
}

// response holds what a Hub passed to Respond.
type response struct {
	message proto.Message
	err     error
}

// startPoll starts a poll and returns the channel that receives the response, and the function that cancels the poll.
func startPoll(t *testing.T, h *Hub, request Request) (chan response, func()) {
	t.Helper()
	responses := make(chan response, 2)
	request.Respond = func(r *Response, err error) { responses <- response{messageOf(r), err} }
	cancel, ok := h.Poll(request)
	if !ok {
		t.Fatal("the poll was rejected, want a response or a pending poll")
	}
	return responses, cancel
}

// receive waits for a response.
func receive(t *testing.T, responses chan response) response {
	t.Helper()
	select {
	case r := <-responses:
		return r
	case <-time.After(10 * time.Second):
		t.Fatal("no response within 10 s")
		return response{}
	}
}

func TestDocumentPolls(t *testing.T) {
	hub := NewHub(10, 3)
	request := Request{Gateway: "gw", Document: coordinator.EndpointsDocument, MaxWait: time.Minute}
	responses, _ := startPoll(t, hub, request)
	hub.Publish(publication("other", 1, 1))
	hub.Publish(publication("gw", 1, 1, 2))
	message := receive(t, responses).message.(*discoveryv3.DiscoveryResponse)
	if message.VersionInfo != "e.1" || hub.Stats().Pending != 0 {
		t.Errorf("received %v, stats %+v; want version e.1 and no pending polls", message, hub.Stats())
	}
	request.Version = "e.1"
	request.MaxWait = 20 * time.Millisecond
	responses, _ = startPoll(t, hub, request)
	if r := receive(t, responses); r.message != nil || r.err != nil {
		t.Errorf("received %v for an unchanged document, want an empty response", r)
	}
	request.MaxWait = time.Minute
	responses, cancel := startPoll(t, hub, request)
	cancel()
	hub.Publish(publication("gw", 2, 1))
	select {
	case r := <-responses:
		t.Errorf("received %v for a canceled poll, want no response", r)
	case <-time.After(20 * time.Millisecond):
	}
	// Routes have not changed since the first publication, so the poll for them gets an empty response.
	responses, _ = startPoll(t, hub, Request{Gateway: "gw", Document: coordinator.RoutesDocument, Version: "e.1", MaxWait: 20 * time.Millisecond})
	if r := receive(t, responses); r.message != nil {
		t.Errorf("received %v for unchanged routes, want an empty response", r.message)
	}
}

// deltaGateway simulates a gateway that polls for deltas of its endpoints.
type deltaGateway struct {
	t      *testing.T
	hub    *Hub
	tables routing.Snapshot
	nonce  string
}

// poll polls with the gateway's nonce and the given resource versions, and returns the response.
func (g *deltaGateway) poll(versions map[string]string) response {
	g.t.Helper()
	responses, cancel := startPoll(g.t, g.hub, Request{Gateway: "gw", Document: coordinator.EndpointsDocument, Delta: true, Nonce: g.nonce,
		Versions: versions, MaxWait: time.Millisecond})
	defer cancel()
	return receive(g.t, responses)
}

// apply applies a response, which must be a delta, and returns the number of resources in it.
func (g *deltaGateway) apply(r response) int {
	g.t.Helper()
	delta, ok := r.message.(*discoveryv3.DeltaDiscoveryResponse)
	if !ok {
		g.t.Fatalf("received %v, want a delta", r)
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
		g.t.Fatalf("the gateway has clusters %v, want the published %v", g.tables.Clusters, p.Snapshot.Clusters)
	}
}

// Deltas lead to the published clusters even if the gateway misses a response, the base of a delta is no longer kept, or the
// coordinator was restarted.
func TestEndpointDeltas(t *testing.T) {
	g := &deltaGateway{t: t, hub: NewHub(10, 3)}
	p := publication("gw", 1, 1, 2, 3, 4, 5, 6)
	g.hub.Publish(p)
	if n := g.apply(g.poll(nil)); n != 6 {
		t.Errorf("%d endpoints in the first delta, want 6", n)
	}
	g.requirePublished(p)
	g.hub.Publish(publication("gw", 2, 1, 2, 3, 4, 5, 7))
	g.poll(nil) // the response is lost
	p = publication("gw", 3, 1, 2, 3, 4, 7)
	g.hub.Publish(p)
	if n := g.apply(g.poll(nil)); n != 3 {
		t.Errorf("%d endpoints in the delta, want 3: 5 and 6 removed and 7 added", n)
	}
	g.requirePublished(p)
	if r := g.poll(nil); r.message != nil || r.err != nil {
		t.Errorf("received %v for an unchanged document, want an empty response", r)
	}
	for n := 4; n < 12; n++ { // more publications than are kept as bases
		p = publication("gw", n, 1, n)
		g.hub.Publish(p)
	}
	if r := g.poll(nil); !errors.Is(r.err, ErrUnknownBase) {
		t.Errorf("received %v for a base that is no longer kept, want ErrUnknownBase", r)
	}
	g.apply(g.poll(xds.EndpointVersions(g.tables)))
	g.requirePublished(p)
	// A restarted coordinator has neither the nonce nor the endpoints that were removed.
	g.hub = NewHub(10, 3)
	p = publication("gw", 1, 9)
	g.hub.Publish(p)
	if r := g.poll(nil); !errors.Is(r.err, ErrUnknownBase) {
		t.Errorf("received %v for the nonce of an earlier process, want ErrUnknownBase", r)
	}
	g.apply(g.poll(xds.EndpointVersions(g.tables)))
	g.requirePublished(p)
}

// Ten thousand pending polls are answered together, each of them once. A poll over the limit is rejected.
func TestManyPendingPolls(t *testing.T) {
	const polls = 10_000
	hub := NewHub(polls, 2)
	var pending sync.WaitGroup
	for i := range polls {
		pending.Add(1)
		_, ok := hub.Poll(Request{Gateway: coordinator.Gateway(fmt.Sprint("gw-", i)), Document: coordinator.EndpointsDocument, MaxWait: time.Minute,
			Respond: func(r *Response, err error) {
				if r == nil || err != nil {
					t.Errorf("received %v, error %v; want a document", r, err)
				}
				pending.Done()
			}})
		if !ok {
			t.Fatal("a poll within the limit was rejected")
		}
	}
	if _, ok := hub.Poll(Request{Gateway: "one more", MaxWait: time.Minute, Respond: func(*Response, error) {}}); ok || hub.Stats().Rejected != 1 {
		t.Error("a poll over the limit was not rejected, or not counted as rejected")
	}
	for i := range polls {
		hub.Publish(publication(fmt.Sprint("gw-", i), 1, 1, 2))
	}
	pending.Wait()
	if stats := hub.Stats(); stats.Pending != 0 || stats.Documents != polls {
		t.Errorf("stats %+v, want 10000 documents and no pending polls", stats)
	}
}

// A publication without any difference is sent as an empty delta, because the core waits for its acknowledgement.
func TestUnchangedPublicationIsAnEmptyDelta(t *testing.T) {
	hub := NewHub(10, 3)
	hub.Publish(publication("gw", 1, 1, 2))
	for n, document := range []coordinator.Document{coordinator.EndpointsDocument, coordinator.RoutesDocument} {
		request := Request{Gateway: "gw", Document: document, MaxWait: time.Minute, Delta: true, Nonce: fmt.Sprintf("e.%d", 1+n)}
		responses, _ := startPoll(t, hub, request)
		p := publication("gw", 2+n, 1, 2)
		p.Changed = [2]bool{n == 0, n == 1}
		hub.Publish(p)
		delta, ok := receive(t, responses).message.(*discoveryv3.DeltaDiscoveryResponse)
		if !ok || len(delta.Resources)+len(delta.RemovedResources) > 0 || delta.Nonce != p.Nonce {
			t.Errorf("document %v: received %v, want an empty delta with the nonce of the publication", document, delta)
		}
	}
}

// A delta of routes has only the routes that changed and the names of those that were removed.
func TestRouteDeltas(t *testing.T) {
	classes := []string{"view", "save", "old"}
	routePublication := func(n int, rates ...float64) coordinator.Publish {
		p := publication("gw", n, 1)
		p.Changed, p.Snapshot.Routes = [2]bool{false, true}, nil
		for i, rate := range rates {
			p.Snapshot.Routes = append(p.Snapshot.Routes, routing.Route{Class: classes[i], Rate: rate, Share: 1, Timeout: 1e6})
		}
		return p
	}
	hub := NewHub(10, 3)
	hub.Publish(routePublication(1, 10, routing.UnlimitedRate, 5))
	var routes []routing.Route
	for n, want := range []struct{ set, removed, total int }{{3, 0, 3}, {1, 0, 3}, {1, 1, 2}} {
		request := Request{Gateway: "gw", Document: coordinator.RoutesDocument, MaxWait: time.Minute, Delta: true}
		if n > 0 {
			request.Nonce = fmt.Sprintf("e.%d", n)
			hub.Publish([]coordinator.Publish{{}, routePublication(2, 20, routing.UnlimitedRate, 5), routePublication(3, 20, 0)}[n])
		}
		responses, _ := startPoll(t, hub, request)
		delta, ok := receive(t, responses).message.(*discoveryv3.DeltaDiscoveryResponse)
		if !ok || len(delta.Resources) != want.set || len(delta.RemovedResources) != want.removed {
			t.Fatalf("step %d: received %v, want %d set and %d removed routes", n, delta, want.set, want.removed)
		}
		var err error
		if routes, err = xds.ApplyRouteDelta(classes, routes, delta); err != nil || len(routes) != want.total {
			t.Fatalf("step %d: the gateway has routes %v, error %v; want %d routes", n, routes, err, want.total)
		}
	}
	if routes[0].Rate != 20 || routes[1].Rate != 0 || routes[0].Timeout != 1e6 {
		t.Errorf("the gateway has routes %+v, want rates 20 and 0 and the timeout of 1 s", routes)
	}
	if _, err := xds.ApplyRouteDelta(classes[:1], nil, &discoveryv3.DeltaDiscoveryResponse{Resources: []*discoveryv3.Resource{{Name: "view"}}}); err == nil {
		t.Error("a delta with an empty resource was applied, want an error")
	}
}

// Polls under ever new names leave nothing behind once they are answered or canceled, unless something was published for the gateway.
func TestPollsUnderNewNamesLeaveNoState(t *testing.T) {
	hub := NewHub(10, 1)
	for n := range 100 {
		name := coordinator.Gateway(fmt.Sprint("gw-", n))
		request := Request{Gateway: name, Document: coordinator.EndpointsDocument, MaxWait: time.Hour, Respond: func(*Response, error) {}}
		cancel, ok := hub.Poll(request)
		if !ok {
			t.Fatalf("poll %d is rejected", n)
		}
		cancel()
		request.MaxWait = 0
		hub.Poll(request)
	}
	if len(hub.gateways) != 0 || hub.Stats().Pending != 0 {
		t.Errorf("the hub keeps the state of %d gateways and %d pending polls, want none", len(hub.gateways), hub.Stats().Pending)
	}
}
