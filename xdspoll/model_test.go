package xdspoll

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"pgregory.net/rapid"

	"porthub/coordinator"
	"porthub/policyapi"
	"porthub/routing"
	"porthub/xds"
)

// model is one coordinator's versions and hub, and two gateways that poll for deltas: a small state machine whose steps
// are taken in every order to a stated depth.
type model struct {
	t       interface{ Errorf(string, ...any) }
	spoil   bool // the gateways pass over lines that are gone
	hub     *Hub
	book    *routing.VersionStore
	now     policyapi.Microseconds
	current routing.Weights
	closed  map[policyapi.EndpointID]bool
	pin     int
	epoch   int
	n       int
	last    routing.Snapshot
	gws     [2]*polled
	failed  bool
}

// polled is a gateway: what it holds, and the answer that is on its way to it.
type polled struct {
	held   routing.Snapshot
	nonce  string
	fresh  bool
	answer *told
	after  map[policyapi.EndpointID]bool // what was closed when the answer was made
}

var modelKinds = []string{"view"}

func newModel(t interface{ Errorf(string, ...any) }, spoil bool) *model {
	m := &model{t: t, spoil: spoil, hub: NewHub(10, 1), book: routing.NewVersionStore(8, 1e9), closed: map[policyapi.EndpointID]bool{},
		current: routing.Weights{"127.0.0.1:1": 1, "127.0.0.1:2": 1}}
	for i := range m.gws {
		m.gws[i] = &polled{fresh: true}
	}
	m.publish()
	return m
}

// publish brings what is in force to both gateways' polls.
func (m *model) publish() {
	m.now++
	m.n++
	m.book.Put(m.now, 1, m.current, nil)
	w, _, _ := m.book.Effective(1, 0, "a", m.current, func(b policyapi.EndpointID) routing.EndpointEligibility {
		return routing.EndpointEligibility{Closed: m.closed[b], Weight: m.current[b]}
	})
	c := routing.BuildCluster("view", w, func(policyapi.EndpointID) (policyapi.Zone, bool) { return "a", true },
		func(b policyapi.EndpointID) bool { return m.closed[b] })
	m.last = routing.Snapshot{Clusters: []routing.Cluster{c}}
	v := fmt.Sprintf("%d.%d", m.epoch, m.n)
	for i := range m.gws {
		m.hub.Publish(coordinator.Publish{Gateway: coordinator.Gateway(fmt.Sprint(i)), Version: v, Nonce: v, Snapshot: m.last,
			Changed: [2]bool{true, true}})
	}
}

// steps are all that can happen; a step that makes no sense now changes nothing.
var steps = []struct {
	name string
	do   func(m *model)
}{
	{"change", func(m *model) {
		m.current = maps.Clone(m.current)
		m.current[policyapi.EndpointID(fmt.Sprintf("127.0.0.1:%d", 3+m.n%3))] = float64(1 + m.n%2)
		m.publish()
	}},
	{"drain", func(m *model) {
		m.closed = maps.Clone(m.closed)
		m.closed["127.0.0.1:1"] = true
		m.current = maps.Clone(m.current)
		delete(m.current, "127.0.0.1:1")
		m.publish()
	}},
	{"roll back", func(m *model) {
		if p, err := m.book.Pin(m.now, routing.Pin{Scope: routing.Scope{Table: 1}, Version: 1, Reason: "model"}); err == nil {
			m.pin = p.ID
			m.publish()
		}
	}},
	{"let go", func(m *model) {
		if _, err := m.book.Unpin(m.pin); err == nil {
			m.publish()
		}
	}},
	{"restart", func(m *model) {
		m.epoch++
		m.hub, m.n = NewHub(10, 1), 0
		m.publish()
	}},
	{"ask 0", func(m *model) { m.ask(0) }},
	{"ask 1", func(m *model) { m.ask(1) }},
	{"deliver 0", func(m *model) { m.deliver(0) }},
	{"deliver 1", func(m *model) { m.deliver(1) }},
	{"lose 0", func(m *model) { m.gws[0].answer = nil }},
}

// ask polls; an earlier answer that has not come is given up, as a client does whose time is up.
func (m *model) ask(i int) {
	g := m.gws[i]
	r := Request{Gateway: coordinator.Gateway(fmt.Sprint(i)), Doc: coordinator.EndpointsDocument, Delta: true, Nonce: g.nonce}
	if g.fresh {
		r.Lines = xds.EndpointVersions(g.held)
	}
	r.Answer = func(t *Told, err error) { g.answer = &told{messageOf(t), err} }
	m.hub.Poll(r)
	g.after = m.closed
}

func (m *model) deliver(i int) {
	g := m.gws[i]
	if g.answer == nil {
		return
	}
	a := g.answer
	g.answer = nil
	if errors.Is(a.err, ErrBase) {
		g.fresh = true
		return
	}
	d, is := a.m.(*discoveryv3.DeltaDiscoveryResponse)
	if !is {
		return
	}
	if m.spoil {
		d = &discoveryv3.DeltaDiscoveryResponse{Nonce: d.Nonce, Resources: d.Resources}
	}
	clusters, err := xds.ApplyEndpointDelta(modelKinds, g.held, d)
	if err != nil {
		m.fail("gateway %d: %v", i, err)
		return
	}
	g.held.Clusters, g.nonce, g.fresh = clusters, d.Nonce, false
	for _, l := range clusters[0].Endpoints {
		if g.after[l.Endpoint] && !l.Withheld {
			m.fail("gateway %d holds %s, which was closed when its answer was made", i, l.Endpoint)
		}
	}
}

func (m *model) fail(format string, args ...any) {
	m.failed = true
	if !m.spoil {
		m.t.Errorf(format, args...)
	}
}

// settle lets everything arrive, and holds what the gateways have against what was published last.
func (m *model) settle() {
	for i, g := range m.gws {
		for range 4 {
			m.ask(i)
			m.deliver(i)
		}
		if !slices.EqualFunc(g.held.Clusters, m.last.Clusters, routing.Cluster.Equal) {
			m.fail("gateway %d holds %v, published was %v", i, g.held.Clusters, m.last.Clusters)
		}
	}
}

const depth = 5

// Every order of steps to the stated depth converges and never shows a line that the rules forbid.
func TestEveryOrderOfSteps(t *testing.T) {
	search := func(spoil bool) (sequences, failures int) {
		var path [depth]int
		for {
			m := newModel(t, spoil)
			for _, s := range path {
				steps[s].do(m)
			}
			m.settle()
			if sequences++; m.failed {
				if failures++; !spoil {
					var names []string
					for _, s := range path {
						names = append(names, steps[s].name)
					}
					t.Fatalf("after %v", names)
				}
			}
			i := depth - 1
			for ; i >= 0; i-- {
				if path[i]++; path[i] < len(steps) {
					break
				}
				path[i] = 0
			}
			if i < 0 || spoil && failures > 0 {
				return sequences, failures
			}
		}
	}
	n, _ := search(false)
	if n != 100_000 {
		t.Errorf("%d sequences", n)
	}
	if _, failures := search(true); failures == 0 {
		t.Error("gateways that pass over lines that are gone are not found")
	}
}

// Long courses drawn at random do as well.
func TestLongCourses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, false)
		for _, s := range rapid.SliceOfN(rapid.IntRange(0, len(steps)-1), 10, 60).Draw(t, "steps") {
			steps[s].do(m)
		}
		m.settle()
	})
}
