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
	t              interface{ Errorf(string, ...any) }
	ignoreRemovals bool // the gateways ignore removed endpoints
	hub            *Hub
	versions       *routing.VersionStore
	now            policyapi.Microseconds
	current        routing.Weights
	closed         map[policyapi.EndpointID]bool
	pin            int
	epoch          int
	publications   int
	last           routing.Snapshot
	gateways       [2]*polledGateway
	failed         bool
}

// polledGateway is a gateway: its tables, and the response in flight to it.
type polledGateway struct {
	tables     routing.Snapshot
	nonce      string
	stateAll   bool
	inFlight   *response
	closedThen map[policyapi.EndpointID]bool // the closed endpoints when the response was built
}

var modelClasses = []string{"view"}

func newModel(t interface{ Errorf(string, ...any) }, ignoreRemovals bool) *model {
	m := &model{t: t, ignoreRemovals: ignoreRemovals, hub: NewHub(10, 1), versions: routing.NewVersionStore(8, 1e9), closed: map[policyapi.EndpointID]bool{},
		current: routing.Weights{"127.0.0.1:1": 1, "127.0.0.1:2": 1}}
	for i := range m.gateways {
		m.gateways[i] = &polledGateway{stateAll: true}
	}
	m.publish()
	return m
}

// publish sends the effective tables to both gateways.
func (m *model) publish() {
	m.now++
	m.publications++
	m.versions.Put(m.now, 1, m.current, nil)
	w, _, _ := m.versions.Effective(1, 0, "a", m.current, func(b policyapi.EndpointID) routing.EndpointEligibility {
		return routing.EndpointEligibility{Closed: m.closed[b], Weight: m.current[b]}
	})
	c := routing.BuildCluster("view", w, func(policyapi.EndpointID) (policyapi.Zone, bool) { return "a", true },
		func(b policyapi.EndpointID) bool { return m.closed[b] })
	m.last = routing.Snapshot{Clusters: []routing.Cluster{c}}
	v := fmt.Sprintf("%d.%d", m.epoch, m.publications)
	for i := range m.gateways {
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
		m.current[policyapi.EndpointID(fmt.Sprintf("127.0.0.1:%d", 3+m.publications%3))] = float64(1 + m.publications%2)
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
		if p, err := m.versions.Pin(m.now, routing.Pin{Scope: routing.Scope{Table: 1}, Version: 1, Reason: "model"}); err == nil {
			m.pin = p.ID
			m.publish()
		}
	}},
	{"unpin", func(m *model) {
		if _, err := m.versions.Unpin(m.pin); err == nil {
			m.publish()
		}
	}},
	{"restart", func(m *model) {
		m.epoch++
		m.hub, m.publications = NewHub(10, 1), 0
		m.publish()
	}},
	{"poll 0", func(m *model) { m.poll(0) }},
	{"poll 1", func(m *model) { m.poll(1) }},
	{"deliver 0", func(m *model) { m.deliver(0) }},
	{"deliver 1", func(m *model) { m.deliver(1) }},
	{"lose 0", func(m *model) { m.gateways[0].inFlight = nil }},
}

// poll polls; an earlier answer that has not come is given up, as a client does whose time is up.
func (m *model) poll(i int) {
	g := m.gateways[i]
	r := Request{Gateway: coordinator.Gateway(fmt.Sprint(i)), Document: coordinator.EndpointsDocument, Delta: true, Nonce: g.nonce}
	if g.stateAll {
		r.Versions = xds.EndpointVersions(g.tables)
	}
	r.Respond = func(t *Response, err error) { g.inFlight = &response{messageOf(t), err} }
	m.hub.Poll(r)
	g.closedThen = m.closed
}

func (m *model) deliver(i int) {
	g := m.gateways[i]
	if g.inFlight == nil {
		return
	}
	a := g.inFlight
	g.inFlight = nil
	if errors.Is(a.err, ErrUnknownBase) {
		g.stateAll = true
		return
	}
	d, ok := a.m.(*discoveryv3.DeltaDiscoveryResponse)
	if !ok {
		return
	}
	if m.ignoreRemovals {
		d = &discoveryv3.DeltaDiscoveryResponse{Nonce: d.Nonce, Resources: d.Resources}
	}
	clusters, err := xds.ApplyEndpointDelta(modelClasses, g.tables, d)
	if err != nil {
		m.fail("gateway %d: %v", i, err)
		return
	}
	g.tables.Clusters, g.nonce, g.stateAll = clusters, d.Nonce, false
	for _, l := range clusters[0].Endpoints {
		if g.closedThen[l.Endpoint] && !l.Withheld {
			m.fail("gateway %d sends to %s, which was closed when its response was built", i, l.Endpoint)
		}
	}
}

func (m *model) fail(format string, args ...any) {
	m.failed = true
	if !m.ignoreRemovals {
		m.t.Errorf(format, args...)
	}
}

// settle delivers everything, and compares what the gateways have with the last publication.
func (m *model) settle() {
	for i, g := range m.gateways {
		for range 4 {
			m.poll(i)
			m.deliver(i)
		}
		if !slices.EqualFunc(g.tables.Clusters, m.last.Clusters, routing.Cluster.Equal) {
			m.fail("gateway %d has %v, published was %v", i, g.tables.Clusters, m.last.Clusters)
		}
	}
}

const depth = 5

// Every order of steps to the stated depth converges and never shows an endpoint that the rules forbid.
func TestEveryOrderOfSteps(t *testing.T) {
	search := func(ignoreRemovals bool) (sequences, failures int) {
		var path [depth]int
		for {
			m := newModel(t, ignoreRemovals)
			for _, s := range path {
				steps[s].do(m)
			}
			m.settle()
			if sequences++; m.failed {
				if failures++; !ignoreRemovals {
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
			if i < 0 || ignoreRemovals && failures > 0 {
				return sequences, failures
			}
		}
	}
	n, _ := search(false)
	if n != 100_000 {
		t.Errorf("%d sequences", n)
	}
	if _, failures := search(true); failures == 0 {
		t.Error("gateways that ignore removed endpoints are not found")
	}
}

// Long random courses converge as well.
func TestLongRandomCourses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, false)
		for _, s := range rapid.SliceOfN(rapid.IntRange(0, len(steps)-1), 10, 60).Draw(t, "steps") {
			steps[s].do(m)
		}
		m.settle()
	})
}
