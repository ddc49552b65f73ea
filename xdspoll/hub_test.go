package xdspoll

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/proto"

	"porthub/coordinator"
	"porthub/policyapi"
	"porthub/routing"
	"porthub/xds"
)

// TestMain gives drawn courses the same draws in each run.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261201", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

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

func messageOf(t *Told) proto.Message {
	if t == nil {
		return nil
	}
	return t.Message()
}

type told struct {
	m   proto.Message
	err error
}

func ask(t *testing.T, h *Hub, r Request) (chan told, func()) {
	t.Helper()
	ch := make(chan told, 2)
	r.Answer = func(t *Told, err error) { ch <- told{messageOf(t), err} }
	cancel, ok := h.Poll(r)
	if !ok {
		t.Fatal("turned away")
	}
	return ch, cancel
}

func get(t *testing.T, ch chan told) told {
	t.Helper()
	select {
	case x := <-ch:
		return x
	case <-time.After(10 * time.Second):
		t.Fatal("no answer within 10 s")
		return told{}
	}
}

func TestWholeDocuments(t *testing.T) {
	h := NewHub(10, 3)
	r := Request{Gateway: "gw", Doc: coordinator.EndpointsDocument, Hold: time.Minute}
	ch, _ := ask(t, h, r)
	h.Publish(publication("other", 1, 1))
	h.Publish(publication("gw", 1, 1, 2))
	m := get(t, ch).m.(*discoveryv3.DiscoveryResponse)
	if m.VersionInfo != "e.1" || h.Stats().Held != 0 {
		t.Errorf("%v, %+v", m, h.Stats())
	}
	r.Version = "e.1"
	r.Hold = 20 * time.Millisecond
	ch, _ = ask(t, h, r)
	if x := get(t, ch); x.m != nil || x.err != nil {
		t.Errorf("nothing is new, and %v", x)
	}
	r.Hold = time.Minute
	ch, cancel := ask(t, h, r)
	cancel()
	h.Publish(publication("gw", 2, 1))
	select {
	case x := <-ch:
		t.Errorf("given up, and answered %v", x)
	case <-time.After(20 * time.Millisecond):
	}
	// RoutesDocument have not changed since the first: their poll is held.
	ch, _ = ask(t, h, Request{Gateway: "gw", Doc: coordinator.RoutesDocument, Version: "e.1", Hold: 20 * time.Millisecond})
	if x := get(t, ch); x.m != nil {
		t.Errorf("routes are told though they are the same: %v", x.m)
	}
}

// Whatever deltas a gateway misses, repeats or gets late, what it makes of them is what was published.
func TestDeltas(t *testing.T) {
	h := NewHub(10, 3)
	kinds := []string{"view"}
	var held routing.Snapshot
	nonce := ""
	take := func(lines map[string]string) told {
		ch, cancel := ask(t, h, Request{Gateway: "gw", Doc: coordinator.EndpointsDocument, Delta: true, Nonce: nonce, Lines: lines, Hold: time.Millisecond})
		defer cancel()
		return get(t, ch)
	}
	apply := func(x told) int {
		t.Helper()
		d, is := x.m.(*discoveryv3.DeltaDiscoveryResponse)
		if !is {
			t.Fatalf("no delta: %v", x)
		}
		clusters, err := xds.ApplyEndpointDelta(kinds, held, d)
		if err != nil {
			t.Fatal(err)
		}
		held.Clusters, nonce = clusters, d.Nonce
		return len(d.Resources) + len(d.RemovedResources)
	}
	same := func(p coordinator.Publish) {
		t.Helper()
		if !slices.EqualFunc(held.Clusters, p.Snapshot.Clusters, routing.Cluster.Equal) {
			t.Fatalf("holds %v, published %v", held.Clusters, p.Snapshot.Clusters)
		}
	}
	p := publication("gw", 1, 1, 2, 3, 4, 5, 6)
	h.Publish(p)
	if n := apply(take(nil)); n != 6 {
		t.Errorf("the first: %d lines", n)
	}
	same(p)
	p = publication("gw", 2, 1, 2, 3, 4, 5, 7)
	h.Publish(p)
	take(nil) // lost on the way
	p = publication("gw", 3, 1, 2, 3, 4, 7)
	h.Publish(p)
	if n := apply(take(nil)); n != 3 {
		t.Errorf("5 and 6 gone, 7 new: %d lines", n)
	}
	same(p)
	if x := take(nil); x.m != nil || x.err != nil {
		t.Errorf("nothing is new, and %v", x)
	}
	for n := 4; n < 12; n++ { // so many that what it stands on is let go
		p = publication("gw", n, 1, n)
		h.Publish(p)
	}
	if x := take(nil); !errors.Is(x.err, ErrBase) {
		t.Errorf("from what is let go: %v", x)
	}
	apply(take(xds.EndpointVersions(held)))
	same(p)
	// Another start of the coordinator knows nothing of the nonce, nor of lines that are gone.
	h = NewHub(10, 3)
	p = publication("gw", 1, 9)
	h.Publish(p)
	if x := take(nil); !errors.Is(x.err, ErrBase) {
		t.Errorf("another start's nonce: %v", x)
	}
	apply(take(xds.EndpointVersions(held)))
	same(p)
}

// Ten thousand held polls are woken at once and each is answered once; more than may be held are turned away.
func TestManyHeldPolls(t *testing.T) {
	const many = 10_000
	h := NewHub(many, 2)
	var answered sync.WaitGroup
	for i := range many {
		answered.Add(1)
		_, ok := h.Poll(Request{Gateway: coordinator.Gateway(fmt.Sprint("gw-", i)), Doc: coordinator.EndpointsDocument, Hold: time.Minute,
			Answer: func(m *Told, err error) {
				if m == nil || err != nil {
					t.Errorf("%v, %v", m, err)
				}
				answered.Done()
			}})
		if !ok {
			t.Fatal("turned away before the limit")
		}
	}
	if _, ok := h.Poll(Request{Gateway: "one more", Hold: time.Minute, Answer: func(*Told, error) {}}); ok || h.Stats().Full != 1 {
		t.Error("one more than may be is held")
	}
	for i := range many {
		h.Publish(publication(fmt.Sprint("gw-", i), 1, 1, 2))
	}
	answered.Wait()
	if s := h.Stats(); s.Held != 0 || s.Whole != many {
		t.Errorf("%+v", s)
	}
}

// What is published again, the same, is told again as a delta of nothing: its acknowledgement is waited for.
func TestPublishedAgain(t *testing.T) {
	h := NewHub(10, 3)
	h.Publish(publication("gw", 1, 1, 2))
	for n, doc := range []coordinator.Document{coordinator.EndpointsDocument, coordinator.RoutesDocument} {
		r := Request{Gateway: "gw", Doc: doc, Hold: time.Minute, Delta: true, Nonce: fmt.Sprintf("e.%d", 1+n)}
		ch, _ := ask(t, h, r)
		p := publication("gw", 2+n, 1, 2)
		p.Changed = [2]bool{n == 0, n == 1}
		h.Publish(p)
		m, is := get(t, ch).m.(*discoveryv3.DeltaDiscoveryResponse)
		if !is || len(m.Resources)+len(m.RemovedResources) > 0 || m.Nonce != p.Nonce {
			t.Errorf("%v: told %v", doc, m)
		}
	}
}

// RoutesDocument go one by one: only the kind whose level moved travels, and one that is gone is named.
func TestRouteDeltas(t *testing.T) {
	kinds := []string{"view", "save", "old"}
	publish := func(n int, rates ...float64) coordinator.Publish {
		p := publication("gw", n, 1)
		p.Changed, p.Snapshot.Routes = [2]bool{false, true}, nil
		for i, r := range rates {
			p.Snapshot.Routes = append(p.Snapshot.Routes, routing.Route{Class: kinds[i], Rate: r, Share: 1, Timeout: 1e6})
		}
		return p
	}
	h := NewHub(10, 3)
	h.Publish(publish(1, 10, routing.UnlimitedRate, 5))
	var held []routing.Route
	for n, want := range []struct{ set, gone, hold int }{{3, 0, 3}, {1, 0, 3}, {1, 1, 2}} {
		r := Request{Gateway: "gw", Doc: coordinator.RoutesDocument, Hold: time.Minute, Delta: true}
		if n > 0 {
			r.Nonce = fmt.Sprintf("e.%d", n)
			h.Publish([]coordinator.Publish{{}, publish(2, 20, routing.UnlimitedRate, 5), publish(3, 20, 0)}[n])
		}
		ch, _ := ask(t, h, r)
		m, is := get(t, ch).m.(*discoveryv3.DeltaDiscoveryResponse)
		if !is || len(m.Resources) != want.set || len(m.RemovedResources) != want.gone {
			t.Fatalf("step %d: told %v", n, m)
		}
		var err error
		if held, err = xds.ApplyRouteDelta(kinds, held, m); err != nil || len(held) != want.hold {
			t.Fatalf("step %d: holds %v, %v", n, held, err)
		}
	}
	if held[0].Rate != 20 || held[1].Rate != 0 || held[0].Timeout != 1e6 {
		t.Errorf("holds %+v", held)
	}
	if _, err := xds.ApplyRouteDelta(kinds[:1], nil, &discoveryv3.DeltaDiscoveryResponse{Resources: []*discoveryv3.Resource{{Name: "view"}}}); err == nil {
		t.Error("a resource of nothing is taken")
	}
}
