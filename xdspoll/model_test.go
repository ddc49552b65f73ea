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

// model is a state machine that consists of the versions and the hub of one coordinator, and two gateways that poll for
// deltas. The tests run its steps in various orders.
type model struct {
	t              interface{ Errorf(string, ...any) }
	ignoreRemovals bool // the gateways ignore removed endpoints, a fault that the model must detect
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

// polledGateway is the state of a gateway, and the response that is on its way to it.
type polledGateway struct {
	tables       routing.Snapshot
	nonce        string
	sendVersions bool
	inFlight     *response
	closedAtPoll map[policyapi.EndpointID]bool // the closed endpoints when the response was built
}

var modelClasses = []string{"view"}

func newModel(t interface{ Errorf(string, ...any) }, ignoreRemovals bool) *model {
	m := &model{t: t, ignoreRemovals: ignoreRemovals, hub: NewHub(10, 1), versions: routing.NewVersionStore(8, 1e9),
		closed: map[policyapi.EndpointID]bool{}, current: routing.Weights{"127.0.0.1:1": 1, "127.0.0.1:2": 1}}
	for i := range m.gateways {
		m.gateways[i] = &polledGateway{sendVersions: true}
	}
	m.publish()
	return m
}

// publish publishes the effective tables to both gateways.
func (m *model) publish() {
	m.now++
	m.publications++
	m.versions.Put(m.now, 1, m.current, nil)
	weights, _, _ := m.versions.Effective(1, 0, "a", m.current, func(endpoint policyapi.EndpointID) routing.EndpointEligibility {
		return routing.EndpointEligibility{Closed: m.closed[endpoint], Weight: m.current[endpoint]}
	})
	cluster := routing.BuildCluster("view", weights, func(policyapi.EndpointID) (policyapi.Zone, bool) { return "a", true },
		func(endpoint policyapi.EndpointID) bool { return m.closed[endpoint] })
	m.last = routing.Snapshot{Clusters: []routing.Cluster{cluster}}
	version := fmt.Sprintf("%d.%d", m.epoch, m.publications)
	for i := range m.gateways {
		m.hub.Publish(coordinator.Publish{Gateway: coordinator.Gateway(fmt.Sprint(i)), Version: version, Nonce: version, Snapshot: m.last,
			Changed: [2]bool{true, true}})
	}
}

// steps are the possible steps of the model. A step that is not possible in the current state changes nothing.
var steps = []struct {
	name string
	run  func(m *model)
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

// poll makes gateway i poll. A response that is still on its way is discarded, as by a client whose request timed out.
func (m *model) poll(i int) {
	g := m.gateways[i]
	request := Request{Gateway: coordinator.Gateway(fmt.Sprint(i)), Document: coordinator.EndpointsDocument, Delta: true, Nonce: g.nonce}
	if g.sendVersions {
		request.Versions = xds.EndpointVersions(g.tables)
	}
	request.Respond = func(r *Response, err error) { g.inFlight = &response{messageOf(r), err} }
	m.hub.Poll(request)
	g.closedAtPoll = m.closed
}

// deliver delivers the response on its way to gateway i, which applies it. It fails the test if the gateway then sends
// requests to an endpoint that was closed when the response was built.
func (m *model) deliver(i int) {
	g := m.gateways[i]
	if g.inFlight == nil {
		return
	}
	received := g.inFlight
	g.inFlight = nil
	if errors.Is(received.err, ErrUnknownBase) {
		g.sendVersions = true
		return
	}
	delta, ok := received.message.(*discoveryv3.DeltaDiscoveryResponse)
	if !ok {
		return
	}
	if m.ignoreRemovals {
		delta = &discoveryv3.DeltaDiscoveryResponse{Nonce: delta.Nonce, Resources: delta.Resources}
	}
	clusters, err := xds.ApplyEndpointDelta(modelClasses, g.tables, delta)
	if err != nil {
		m.fail("gateway %d could not apply a delta: %v", i, err)
		return
	}
	g.tables.Clusters, g.nonce, g.sendVersions = clusters, delta.Nonce, false
	for _, endpoint := range clusters[0].Endpoints {
		if g.closedAtPoll[endpoint.Endpoint] && !endpoint.Withheld {
			m.fail("gateway %d sends requests to %s, which was closed when the response was built", i, endpoint.Endpoint)
		}
	}
}

// fail records a failure, and fails the test unless failures are expected because gateways ignore removed endpoints.
func (m *model) fail(format string, args ...any) {
	m.failed = true
	if !m.ignoreRemovals {
		m.t.Errorf(format, args...)
	}
}

// settle delivers all responses, and compares the gateways' tables with the last publication.
func (m *model) settle() {
	for i, g := range m.gateways {
		for range 4 {
			m.poll(i)
			m.deliver(i)
		}
		if !slices.EqualFunc(g.tables.Clusters, m.last.Clusters, routing.Cluster.Equal) {
			m.fail("gateway %d has clusters %v, want the published %v", i, g.tables.Clusters, m.last.Clusters)
		}
	}
}

// sequenceLength is the number of steps in each sequence of TestEveryOrderOfSteps.
const sequenceLength = 5

// After every sequence of five steps, the gateways converge to the published tables, and they never send requests to an
// endpoint that was closed when the response was built. The search finds gateways that ignore removed endpoints.
func TestEveryOrderOfSteps(t *testing.T) {
	search := func(ignoreRemovals bool) (sequences, failures int) {
		var sequence [sequenceLength]int
		for {
			m := newModel(t, ignoreRemovals)
			for _, step := range sequence {
				steps[step].run(m)
			}
			m.settle()
			if sequences++; m.failed {
				if failures++; !ignoreRemovals {
					var names []string
					for _, step := range sequence {
						names = append(names, steps[step].name)
					}
					t.Fatalf("failed after the steps %v", names)
				}
			}
			i := sequenceLength - 1
			for ; i >= 0; i-- {
				if sequence[i]++; sequence[i] < len(steps) {
					break
				}
				sequence[i] = 0
			}
			if i < 0 || ignoreRemovals && failures > 0 {
				return sequences, failures
			}
		}
	}
	sequences, _ := search(false)
	if sequences != 100_000 {
		t.Errorf("%d sequences were run, want 100000", sequences)
	}
	if _, failures := search(true); failures == 0 {
		t.Error("gateways that ignore removed endpoints led to no failure, want at least one")
	}
}

// The gateways converge to the published tables after long random sequences of steps as well.
func TestLongRandomSequences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, false)
		for _, step := range rapid.SliceOfN(rapid.IntRange(0, len(steps)-1), 10, 60).Draw(t, "steps") {
			steps[step].run(m)
		}
		m.settle()
	})
}
