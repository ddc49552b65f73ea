package chaos

import (
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"porthub/audit"
	"porthub/config"
	"porthub/emulator"
	"porthub/emulator/eureka"
)

// registryApp is the application name of all endpoints in the registry.
const registryApp = "CALC"

// eurekaRegistry is an emulated Eureka registry with two peers that replaces the list's file as the coordinator's source. The
// audit considers an endpoint draining or removed from the time when a peer first published the change, without a fault that
// hides it, because the coordinator cannot observe it earlier. It is safe for concurrent use.
type eurekaRegistry struct {
	registry *eureka.Registry
	peers    []*eureka.Peer

	mu          sync.Mutex // guards all below
	pending     []pendingList
	registered  map[string]eureka.Instance // by address
	propagation *hdrhistogram.Histogram    // from a change until a peer has published it, in microseconds
}

// pendingList is a version of the list that no peer has published yet.
type pendingList struct {
	revision int
	at       time.Time
	record   func() // records the list in the audit log
}

// RegistryTraffic summarizes the coordinator's requests to a registry.
type RegistryTraffic struct {
	Calls   int   `json:"calls"`
	Bytes   int64 `json:"bytes"`   // of response bodies
	Changes int64 `json:"changes"` // versions of the list that a peer has published
	// PropagationTime is the time from a change in the registry until a peer has published it. For the delivery time of
	// tables see latency_ms.
	PropagationTime Latency `json:"told_ms"`
}

func newEurekaRegistry() (*eurekaRegistry, error) {
	const (
		peerCount      = 2
		maxPropagation = 60_000_000 // microseconds
	)
	r := &eurekaRegistry{registry: eureka.New(), registered: map[string]eureka.Instance{},
		propagation: hdrhistogram.New(1, maxPropagation, 3)}
	for range peerCount {
		peer, err := r.registry.Listen()
		if err != nil {
			r.close()
			return nil, err
		}
		peer.OnRevision = r.recordRevision
		r.peers = append(r.peers, peer)
	}
	return r, nil
}

func (r *eurekaRegistry) close() {
	for _, peer := range r.peers {
		peer.Close()
	}
}

// recordRevision records the pending lists up to a revision that a peer has published.
func (r *eurekaRegistry) recordRevision(revision int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.pending) > 0 && r.pending[0].revision <= revision {
		list := r.pending[0]
		r.pending = r.pending[1:]
		list.record()
		_ = r.propagation.RecordValue(max(1, time.Since(list.at).Microseconds()))
	}
}

// update makes the registry's instances match the list. It calls record once a peer has published the list.
func (r *eurekaRegistry) update(worldStart time.Time, endpoints []*emulator.Endpoint, listed map[string]*listedEndpoint, record func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range endpoints {
		r.updateInstance(e, listed[e.Addr], worldStart)
	}
	r.pending = append(r.pending, pendingList{revision: r.registry.Revision(), at: time.Now(), record: record})
}

func (r *eurekaRegistry) updateInstance(e *emulator.Endpoint, listed *listedEndpoint, worldStart time.Time) {
	before, registered := r.registered[e.Addr]
	if listed.state == audit.Absent {
		if registered {
			r.registry.Remove(registryApp, e.Addr)
			delete(r.registered, e.Addr)
		}
		return
	}
	current := instanceOf(e, listed, worldStart)
	if !registered || before.Status != current.Status || !before.UpSince.Equal(current.UpSince) {
		r.registry.Put(current)
		r.registered[e.Addr] = current
	}
}

func instanceOf(e *emulator.Endpoint, listed *listedEndpoint, worldStart time.Time) eureka.Instance {
	host, port, _ := net.SplitHostPort(e.Addr) // a listener's address is always valid
	number, _ := strconv.Atoi(port)
	instance := eureka.Instance{App: registryApp, ID: e.Addr, IP: host, Port: number, Status: "UP", UpSince: worldStart.Add(listed.startedAt),
		Metadata: endpointLabels(e)}
	if listed.state == audit.Draining {
		instance.Status = "OUT_OF_SERVICE"
	}
	return instance
}

// configure makes the registry the coordinator's source of the endpoint list.
func (r *eurekaRegistry) configure(c *config.Config) {
	const maxResponse = 1 << 20 // bytes
	source := config.EurekaRegistry{Name: "eureka", Deltas: true, PollInterval: 300_000, Timeout: 500_000, MaxResponseBytes: maxResponse}
	for _, peer := range r.peers {
		source.Addresses = append(source.Addresses, peer.Addr)
	}
	c.Registry.File.Path = ""
	c.Registry.Eureka = []config.EurekaRegistry{source}
}

// traffic returns the totals of all peers.
func (r *eurekaRegistry) traffic() RegistryTraffic {
	var out RegistryTraffic
	for _, peer := range r.peers {
		calls, bytes := peer.Traffic()
		out.Calls += calls
		out.Bytes += bytes
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	out.PropagationTime = latencyOf(r.propagation)
	out.Changes = r.propagation.TotalCount()
	return out
}
