package chaos

import (
	"fmt"
	"math/rand/v2"
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

// registry is a stand-in Eureka registry with two peers that the coordinator reads in place of the file. The audit takes a
// node to be draining or gone from the moment that a peer has first told so without a fault that hides it: nobody can know
// sooner.
type registry struct {
	reg   *eureka.Registry
	peers []*eureka.Peer

	mu      sync.Mutex
	pending []told // by revision, not told yet
	stands  map[string]eureka.Instance
	took    *hdrhistogram.Histogram // from a change to its being told, microseconds
}

type told struct {
	rev  int
	at   time.Time
	tell func()
}

const registryApp = "CALC"

func newRegistry() (*registry, error) {
	r := &registry{reg: eureka.New(), stands: map[string]eureka.Instance{}, took: hdrhistogram.New(1, 60_000_000, 3)}
	for range 2 {
		p, err := r.reg.Listen()
		if err != nil {
			return nil, err
		}
		p.OnRevision = r.good
		r.peers = append(r.peers, p)
	}
	return r, nil
}

func (r *registry) close() {
	for _, p := range r.peers {
		p.Close()
	}
}

// good tells the audit what has been told.
func (r *registry) good(rev int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.pending) > 0 && r.pending[0].rev <= rev {
		r.pending[0].tell()
		_ = r.took.RecordValue(max(1, time.Since(r.pending[0].at).Microseconds()))
		r.pending = r.pending[1:]
	}
}

// list brings the registry to what the list says; tell is called once it has been told.
func (r *registry) list(start time.Time, nodes []*emulator.Endpoint, listed map[string]*entry, tell func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range nodes {
		e := listed[n.Addr]
		host, port, _ := net.SplitHostPort(n.Addr)
		number, _ := strconv.Atoi(port)
		i := eureka.Instance{App: registryApp, ID: n.Addr, IP: host, Port: number, Status: "UP", UpSince: start.Add(e.launched),
			Metadata: map[string]string{"zone": n.Zone, "machine": n.Machine, "pod": strconv.Itoa(n.Pod), "weight": strconv.FormatFloat(n.Weight, 'g', -1, 64)}}
		if e.state == audit.Draining {
			i.Status = "OUT_OF_SERVICE"
		}
		was, has := r.stands[n.Addr]
		switch {
		case e.state == audit.Absent && has:
			r.reg.Remove(registryApp, n.Addr)
			delete(r.stands, n.Addr)
		case e.state != audit.Absent && (!has || was.Status != i.Status || !was.UpSince.Equal(i.UpSince)):
			r.reg.Put(i)
			r.stands[n.Addr] = i
		}
	}
	r.pending = append(r.pending, told{r.reg.Revision(), time.Now(), tell})
}

// source is the coordinator's configuration for it.
func (r *registry) source(c *config.Config) {
	e := config.EurekaRegistry{Name: "eureka", Deltas: true, PollInterval: 300_000, Timeout: 500_000, MaxResponseBytes: 1 << 20}
	for _, p := range r.peers {
		e.Addresses = append(e.Addresses, p.Addr)
	}
	c.Registry.File.Path, c.Registry.Eureka = "", []config.EurekaRegistry{e}
}

// asked sums what the registry saw.
func (r *registry) asked() (out RegistryTraffic) {
	for _, p := range r.peers {
		calls, bytes := p.Traffic()
		out.Calls, out.Bytes = out.Calls+calls, out.Bytes+bytes
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	out.PropagationTime = Latency{float64(r.took.ValueAtQuantile(50)) / 1000, float64(r.took.ValueAtQuantile(99)) / 1000}
	out.Changes = r.took.TotalCount()
	return out
}

// RegistryTraffic is what a registry saw of the coordinator.
type RegistryTraffic struct {
	Calls   int   `json:"calls"`
	Bytes   int64 `json:"bytes"`
	Changes int64 `json:"changes"`
	// PropagationTime is from a change at the registry until a peer has told it; from there on see latency_ms.
	PropagationTime Latency `json:"told_ms"`
}

// registryFaults are what goes wrong at the registry, by the names of troubles.
var registryFaults = map[string]struct {
	about  string
	first  eureka.Faults
	second *eureka.Faults // of the other peer; nil: the same
}{
	"registry_slow":     {"the registry takes 400 ms for each answer", eureka.Faults{Delay: 400 * time.Millisecond}, nil},
	"registry_late":     {"the registry takes longer than its client waits", eureka.Faults{Delay: 3 * time.Second}, nil},
	"registry_stale":    {"deltas stand still", eureka.Faults{StaleDelta: true}, nil},
	"registry_hash":     {"the registry's hash is wrong", eureka.Faults{WrongHash: true}, nil},
	"registry_half":     {"half of the fleet is missing from answers", eureka.Faults{MissingShare: 0.5}, nil},
	"registry_empty":    {"answers name nobody", eureka.Faults{MissingShare: 1}, nil},
	"registry_down":     {"the registry answers 503", eureka.Faults{ErrorStatus: 503}, nil},
	"registry_cut":      {"answers end in the middle", eureka.Faults{Truncated: true}, nil},
	"registry_huge":     {"answers are larger than may be", eureka.Faults{PaddingBytes: 2 << 20}, nil},
	"registry_skew":     {"the registry's clock is an hour ahead", eureka.Faults{ClockSkew: time.Hour}, nil},
	"registry_restart":  {"every instance is registered anew at once", eureka.Faults{Reregistered: true}, nil},
	"registry_failover": {"one peer answers 503, the other is 1.5 s behind", eureka.Faults{ErrorStatus: 503}, &eureka.Faults{Lag: 1500 * time.Millisecond}},
}

// registryTroubles adds them.
func registryTroubles() {
	for name, fault := range registryFaults {
		faultTypes[name] = faultType{fault.about, Fault{Duration: 10e6}, func(f *fleet, t Fault, _ *rand.Rand, _ []int) {
			if f.reg == nil {
				return
			}
			second := fault.first
			if fault.second != nil {
				second = *fault.second
			}
			f.reg.peers[0].SetFaults(fault.first)
			f.reg.peers[1].SetFaults(second)
			f.sleep(duration(t.Duration))
			for _, p := range f.reg.peers {
				p.SetFaults(eureka.Faults{})
			}
		}}
	}
}

// registryAlone is a short day for one of the registry's faults: nodes die and come back cold, and others drain, while it lasts.
func registryAlone(s *Scenario, name string) {
	s.Registry, s.Seconds = "eureka", 24
	s.Faults = []Fault{{Name: name, At: 5e6, Duration: 10e6}, {Name: "crash", At: 6e6, Duration: 5e6, Share: 0.12},
		{Name: "shrink", At: 9e6, Duration: 8e6, Size: 1.2, Extra: 3}}
	s.About = fmt.Sprintf("%s, while nodes die, come back and drain", registryFaults[name].about)
}
