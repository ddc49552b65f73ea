package chaos

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"porthub/audit"
	"porthub/emulator"
)

// mode is how a fleet's gateways get their tables.
type mode string

const (
	byCoordinator mode = "porthub"
	standingOnly  mode = "standing tables only"
	oneTable      mode = "one table of all nodes"
)

// fleet is one set of stand-ins in one world.
type fleet struct {
	s     Scenario
	mode  mode
	dir   string
	world *emulator.World
	log   *audit.Log
	tally *emulator.Tally
	reqs  atomic.Uint64

	nodes    []*emulator.Endpoint
	gateways []*emulator.Gateway
	weights  []float64 // of the gateways, mean 1
	clients  []*emulator.Client
	rng      *rand.Rand
	struck   [][]int // gateways that trouble i strikes, where it strikes some

	mu     sync.Mutex
	listed map[string]*entry
	reg    *registry // in place of the file; nil: the file
	frozen bool      // the list's source is broken
	coord  *coordinatorProcess
	pauses sync.WaitGroup
	ended  chan struct{}
}

// entry is what the list says of a node.
type entry struct {
	node     *emulator.Endpoint
	state    audit.EndpointState
	launched time.Duration
}

func limits(s Scenario) audit.Limits {
	r := s.Rules
	l := audit.Limits{EmptyTableLimit: duration(r.EmptyTableLimit), DrainGracePeriod: duration(r.DrainGracePeriod), WarmUp: duration(r.WarmUp), InitialCapacity: r.InitialCapacity,
		OverloadFactor: r.OverloadFactor, OverloadWindow: duration(r.OverloadWindow), DrainAppliesToRemoved: r.RemovalIsDrain, QueueLimit: r.QueueLimit,
		MessageOverhead: 6, MessageLimit: r.MessageLimit, MessageWindow: duration(r.MessageWindow)}
	for _, k := range s.Classes {
		l.Classes = append(l.Classes, audit.Class{Name: k.Name, Idempotent: k.Repeat == "replayable"})
	}
	return l
}

func newFleet(s Scenario, m mode, dir string, seed uint64) (*fleet, error) {
	l := limits(s)
	l.WithoutCoordinator = m != byCoordinator
	log := audit.NewLog(l)
	f := &fleet{s: s, mode: m, dir: dir, log: log, tally: emulator.NewTally(), listed: map[string]*entry{}, ended: make(chan struct{})}
	f.world = emulator.NewWorld(log, emulator.WarmUpRules{WarmUp: duration(s.Rules.WarmUp), InitialCapacity: s.Rules.InitialCapacity,
		OverloadFactor: s.Rules.OverloadFactor, OverloadWindow: duration(s.Rules.OverloadWindow)}, seed)
	f.rng = f.world.Rand("fleet")
	if s.Registry == "eureka" && m == byCoordinator {
		var err error
		if f.reg, err = newRegistry(); err != nil {
			return nil, err
		}
	}
	for i := range s.EndpointCount {
		n, err := emulator.NewEndpoint(f.world, emulator.EndpointOptions{Name: fmt.Sprintf("node-%d", i), Zone: s.Zones[i%len(s.Zones)], Machine: "std",
			Pod: i / 3, Weight: float64(s.EndpointCores), Cores: s.EndpointCores, QueueLength: s.QueueLength, MaxConnections: s.MaxConnections})
		if err != nil {
			return nil, err
		}
		f.nodes = append(f.nodes, n)
		f.listed[n.Addr] = &entry{node: n, state: audit.Ready, launched: -time.Hour}
	}
	total := 0.0
	for range s.GatewayCount {
		w := math.Exp(s.GatewaySpread*f.rng.NormFloat64() - s.GatewaySpread*s.GatewaySpread/2)
		f.weights = append(f.weights, w)
		total += w
	}
	var kinds []string
	for _, k := range s.Classes {
		kinds = append(kinds, k.Name)
	}
	for i := range s.GatewayCount {
		f.weights[i] *= float64(s.GatewayCount) / total
		o := emulator.GatewayOptions{Name: fmt.Sprintf("gw-%d", i), Zone: s.Zones[i%len(s.Zones)], Classes: kinds, TableDir: filepath.Join(dir, "tables"),
			List: f.entries, InitialTableSize: 6, EjectAfter: 5, EjectionTime: 5 * time.Second, ReportPeriod: duration(s.ReportPeriod), Weight: f.rate(i),
			UseAllEndpoints: m == oneTable, ReadChunk: s.ReadChunk, ReadPause: time.Millisecond}
		if m == byCoordinator {
			o.Coordinator = f.address
		}
		f.gateways = append(f.gateways, emulator.NewGateway(f.world, o))
	}
	for i := range s.Faults {
		f.struck = append(f.struck, f.chooseGateways(s.Faults[i], f.world.Rand(fmt.Sprint("struck ", i))))
	}
	return f, nil
}

// rate is a gateway's usual reqs a second.
func (f *fleet) rate(i int) float64 {
	return f.weights[i] * f.s.RequestRate / float64(f.s.GatewayCount)
}

// start opens the gateways; clients begin with run.
func (f *fleet) start() error {
	if err := f.writeList(); err != nil {
		return err
	}
	for _, g := range f.gateways {
		if err := g.Start(); err != nil {
			return err
		}
	}
	for i, g := range f.gateways {
		c := emulator.ClientOptions{Name: g.Name, Gateway: g, RequestRate: f.rate(i), Retries: f.s.Retries, AttemptTimeoutShare: 0.7, Backoff: 50 * time.Millisecond,
			TrafficFactor: func(at time.Duration) float64 { return f.factor(i, at) }, WorkFactor: f.dear}
		for at := time.Duration(0); at < f.length(); at += 100 * time.Millisecond {
			c.MaxTrafficFactor = max(c.MaxTrafficFactor, f.factor(i, at))
		}
		for _, k := range f.s.Classes {
			c.Classes = append(c.Classes, emulator.Class{Name: k.Name, Share: k.Share, Work: duration(k.Work), LatencyObjective: duration(k.LatencyObjective),
				ClientTimeout: duration(k.ClientTimeout), PriorityWeight: k.PriorityWeight, LateShare: 0.15, Idempotent: k.Repeat == "replayable"})
		}
		f.clients = append(f.clients, emulator.NewClient(f.world, c, f.tally, &f.reqs))
	}
	return nil
}

func (f *fleet) length() time.Duration { return time.Duration(f.s.Seconds) * time.Second }

// run lets clients ask and troubles strike until the end.
func (f *fleet) run() {
	var all sync.WaitGroup
	for i, t := range f.s.Faults {
		all.Add(1)
		go func() {
			defer all.Done()
			f.sleepUntil(duration(t.At))
			faultTypes[t.Name].strike(f, t, f.world.Rand(fmt.Sprint("trouble ", i)), f.struck[i])
		}()
	}
	var asking sync.WaitGroup
	for _, c := range f.clients {
		asking.Add(1)
		go func() { defer asking.Done(); c.Run(f.length()) }()
	}
	asking.Wait()
	close(f.ended)
	all.Wait()
}

// stop ends gateways and nodes.
func (f *fleet) stop() {
	for _, g := range f.gateways {
		g.Kill()
	}
	for _, n := range f.nodes {
		n.Kill()
	}
	if f.reg != nil {
		f.reg.close()
	}
}

// sleep waits for a length of time or the end of the run; it tells whether the run goes on.
func (f *fleet) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-f.ended:
		return false
	}
}

func (f *fleet) sleepUntil(at time.Duration) bool { return f.sleep(at - f.world.Now()) }

func (f *fleet) address() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.coord == nil {
		return ""
	}
	return f.coord.addr
}

// entries is the list as it stands.
func (f *fleet) entries() []emulator.ListEntry {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []emulator.ListEntry
	for _, n := range f.nodes {
		if e := f.listed[n.Addr]; e.state != audit.Absent {
			out = append(out, emulator.ListEntry{Addr: n.Addr, Zone: n.Zone, Weight: n.Weight, Draining: e.state == audit.Draining})
		}
	}
	return out
}

// tellList changes what the list says of a node, late as lists are.
func (f *fleet) tellList(n *emulator.Endpoint, state audit.EndpointState, after time.Duration) {
	_, launched := n.Running()
	f.pauses.Add(1)
	time.AfterFunc(after, func() {
		defer f.pauses.Done()
		f.mu.Lock()
		e := f.listed[n.Addr]
		e.state, e.launched = state, launched
		f.mu.Unlock()
		_ = f.writeList()
		if f.mode == oneTable {
			for _, g := range f.gateways {
				g.RefreshEndpoints()
			}
		}
	})
}

// writeList writes the node list in file_sd form, whole and renamed, and tells the audit.
func (f *fleet) writeList() error {
	type group struct {
		Targets []string          `json:"targets"`
		Labels  map[string]string `json:"labels"`
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.frozen && f.reg == nil {
		return nil
	}
	var groups []group
	listed := map[string]audit.ListedEndpoint{}
	for _, n := range f.nodes {
		e := f.listed[n.Addr]
		listed[n.Addr] = audit.ListedEndpoint{State: e.state, StartedAt: e.launched, Zone: n.Zone}
		if e.state == audit.Absent {
			continue
		}
		labels := map[string]string{"zone": n.Zone, "machine": n.Machine, "pod": strconv.Itoa(n.Pod),
			"weight": strconv.FormatFloat(n.Weight, 'g', -1, 64), "launched": "0"}
		if e.state == audit.Draining {
			labels["status"] = "draining"
		}
		if e.launched >= 0 {
			labels["launched"] = strconv.FormatInt(f.world.Start.Add(e.launched).UnixMicro(), 10)
		}
		groups = append(groups, group{[]string{n.Addr}, labels})
	}
	if f.reg != nil {
		f.reg.list(f.world.Start, f.nodes, f.listed, func() { f.log.EndpointList(f.world.Now(), listed) })
		return nil
	}
	text, err := json.Marshal(groups)
	if err != nil {
		return err
	}
	if groups == nil {
		text = []byte("[]")
	}
	path := filepath.Join(f.dir, "nodes.json")
	if err := os.WriteFile(path+".new", text, 0o644); err != nil {
		return err
	}
	if err := os.Rename(path+".new", path); err != nil {
		return err
	}
	f.log.EndpointList(f.world.Now(), listed)
	return nil
}
