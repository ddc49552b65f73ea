package chaos

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"porthub/audit"
	"porthub/emulator"
)

// tableSource is the origin of the tables of a fleet's gateways. Its values are the names of baselines in results.
type tableSource string

const (
	coordinatorTables tableSource = "porthub"
	initialTables     tableSource = "standing tables only"
	allEndpoints      tableSource = "one table of all nodes"
)

// fleet is an emulated fleet with its clients. Each fleet of a run has its own world.
type fleet struct {
	scenario Scenario
	source   tableSource
	dir      string
	world    *emulator.World
	log      *audit.Log
	tally    *emulator.Tally
	requests atomic.Uint64 // counter for request numbers, shared by all clients
	rng      *rand.Rand

	endpoints        []*emulator.Endpoint
	gateways         []*emulator.Gateway
	relativeRates    []float64 // request rates of the gateways as multiples of their mean
	clients          []*emulator.Client
	affectedGateways [][]int // by fault: the gateways that it affects, if it affects gateways
	coordinator      *coordinatorProcess
	registry         *eurekaRegistry // source of the endpoint list; nil: the list's file

	pending sync.WaitGroup // scheduled list changes and gateway restarts
	ended   chan struct{}  // closed when all clients have finished

	mu         sync.Mutex // guards all below
	listed     map[string]*listedEndpoint
	listFrozen bool // while a fault corrupts the list's file, which must not be rewritten
}

// listedEndpoint is an endpoint's entry in the endpoint list.
type listedEndpoint struct {
	state     audit.EndpointState
	startedAt time.Duration // negative: so early that the endpoint has warmed up
}

// auditLimits returns the limits by which the audit evaluates a scenario's rules.
func auditLimits(s Scenario) audit.Limits {
	const messageOverhead = 6 // lines
	limits := audit.Limits{
		EmptyTableLimit:       duration(s.Rules.EmptyTableLimit),
		DrainGracePeriod:      duration(s.Rules.DrainGracePeriod),
		DrainAppliesToRemoved: s.Rules.RemovalIsDrain,
		WarmUp:                duration(s.Rules.WarmUp),
		InitialCapacity:       s.Rules.InitialCapacity,
		OverloadFactor:        s.Rules.OverloadFactor,
		OverloadWindow:        duration(s.Rules.OverloadWindow),
		QueueLimit:            s.Rules.QueueLimit,
		MessageOverhead:       messageOverhead,
		MessageLimit:          s.Rules.MessageLimit,
		MessageWindow:         duration(s.Rules.MessageWindow),
	}
	for _, class := range s.Classes {
		limits.Classes = append(limits.Classes, audit.Class{Name: class.Name, Idempotent: class.idempotent()})
	}
	return limits
}

// warmUpRules returns the warm-up rules of the endpoints of a fleet with these limits.
func warmUpRules(limits audit.Limits) emulator.WarmUpRules {
	return emulator.WarmUpRules{WarmUp: limits.WarmUp, InitialCapacity: limits.InitialCapacity, OverloadFactor: limits.OverloadFactor,
		OverloadWindow: limits.OverloadWindow}
}

// newFleet starts the endpoints of a fleet and prepares its gateways. After success the caller must call stop, even if a
// later step fails.
func newFleet(s Scenario, source tableSource, dir string, seed uint64) (*fleet, error) {
	limits := auditLimits(s)
	limits.WithoutCoordinator = source != coordinatorTables
	log := audit.NewLog(limits)
	f := &fleet{
		scenario: s,
		source:   source,
		dir:      dir,
		log:      log,
		world:    emulator.NewWorld(log, warmUpRules(limits), seed),
		tally:    emulator.NewTally(),
		listed:   map[string]*listedEndpoint{},
		ended:    make(chan struct{}),
	}
	f.rng = f.world.Rand("fleet")
	if s.Registry == "eureka" && source == coordinatorTables {
		registry, err := newEurekaRegistry()
		if err != nil {
			return nil, err
		}
		f.registry = registry
	}
	if err := f.startEndpoints(); err != nil {
		f.stop()
		return nil, err
	}
	f.prepareGateways()
	for i, fault := range s.Faults {
		f.affectedGateways = append(f.affectedGateways, f.chooseGateways(fault, f.world.Rand(fmt.Sprint("struck ", i))))
	}
	return f, nil
}

func (f *fleet) startEndpoints() error {
	const endpointsPerPod = 3
	s := f.scenario
	for i := range s.EndpointCount {
		endpoint, err := emulator.NewEndpoint(f.world, emulator.EndpointOptions{
			Name:           fmt.Sprintf("node-%d", i),
			Zone:           s.Zones[i%len(s.Zones)],
			Machine:        machineType,
			Pod:            i / endpointsPerPod,
			Weight:         float64(s.EndpointCores),
			Cores:          s.EndpointCores,
			QueueLength:    s.QueueLength,
			MaxConnections: s.MaxConnections,
		})
		if err != nil {
			return err
		}
		f.endpoints = append(f.endpoints, endpoint)
		f.listed[endpoint.Addr] = &listedEndpoint{state: audit.Ready, startedAt: -time.Hour}
	}
	return nil
}

func (f *fleet) prepareGateways() {
	s := f.scenario
	f.relativeRates = drawRelativeRates(s, f.rng)
	var classes []string
	for _, class := range s.Classes {
		classes = append(classes, class.Name)
	}
	for i := range s.GatewayCount {
		options := emulator.GatewayOptions{
			Name:             fmt.Sprintf("gw-%d", i),
			Zone:             s.Zones[i%len(s.Zones)],
			Classes:          classes,
			TableDir:         tableDir(f.dir),
			List:             f.listEntries,
			InitialTableSize: 6,
			EjectAfter:       5,
			EjectionTime:     5 * time.Second,
			ReportPeriod:     duration(s.ReportPeriod),
			Weight:           f.rate(i),
			UseAllEndpoints:  f.source == allEndpoints,
			ReadChunk:        s.ReadChunk,
			ReadPause:        time.Millisecond,
		}
		if f.source == coordinatorTables {
			options.Coordinator = f.address
		}
		f.gateways = append(f.gateways, emulator.NewGateway(f.world, options))
	}
}

// drawRelativeRates draws the gateways' relative request rates from a log-normal distribution and scales them to a mean of 1.
func drawRelativeRates(s Scenario, rng *rand.Rand) []float64 {
	rates := make([]float64, s.GatewayCount)
	total := 0.0
	for i := range rates {
		rates[i] = math.Exp(s.GatewaySpread*rng.NormFloat64() - s.GatewaySpread*s.GatewaySpread/2)
		total += rates[i]
	}
	for i := range rates {
		rates[i] *= float64(s.GatewayCount) / total
	}
	return rates
}

// rate returns a gateway's requests per second without faults.
func (f *fleet) rate(i int) float64 {
	return f.relativeRates[i] * f.scenario.RequestRate / float64(f.scenario.GatewayCount)
}

// start starts the gateways and prepares the clients, which send requests once run is called.
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
		f.clients = append(f.clients, emulator.NewClient(f.world, f.clientOptions(i, g), f.tally, &f.requests))
	}
	return nil
}

func (f *fleet) clientOptions(i int, g *emulator.Gateway) emulator.ClientOptions {
	const lateResponseShare = 0.15 // value of a response after its latency objective, as a fraction of the priority weight
	options := emulator.ClientOptions{
		Name:                g.Name,
		Gateway:             g,
		RequestRate:         f.rate(i),
		Retries:             f.scenario.Retries,
		AttemptTimeoutShare: 0.7,
		Backoff:             50 * time.Millisecond,
		TrafficFactor:       func(at time.Duration) float64 { return f.trafficFactor(i, at) },
		WorkFactor:          f.workFactor,
	}
	for at := time.Duration(0); at < f.scenario.length(); at += 100 * time.Millisecond {
		options.MaxTrafficFactor = max(options.MaxTrafficFactor, f.trafficFactor(i, at))
	}
	for _, class := range f.scenario.Classes {
		options.Classes = append(options.Classes, emulator.Class{
			Name:             class.Name,
			Share:            class.Share,
			Work:             duration(class.Work),
			LatencyObjective: duration(class.LatencyObjective),
			ClientTimeout:    duration(class.ClientTimeout),
			PriorityWeight:   class.PriorityWeight,
			LateShare:        lateResponseShare,
			Idempotent:       class.idempotent(),
		})
	}
	return options
}

// run sends the clients' requests and injects the faults until the end of the scenario. It returns when all clients and faults
// have ended.
func (f *fleet) run() {
	var faults sync.WaitGroup
	for i, fault := range f.scenario.Faults {
		faults.Go(func() {
			f.sleep(duration(fault.At) - f.world.Now())
			if inject := faultTypes[fault.Name].inject; inject != nil {
				inject(injection{Fault: fault, fleet: f, rng: f.world.Rand(fmt.Sprint("trouble ", i)), gateways: f.affectedGateways[i]})
			}
		})
	}
	var clients sync.WaitGroup
	for _, client := range f.clients {
		clients.Go(func() { client.Run(f.scenario.length()) })
	}
	clients.Wait()
	close(f.ended)
	faults.Wait()
}

// stop terminates the gateways, the endpoints and the registry.
func (f *fleet) stop() {
	for _, g := range f.gateways {
		g.Kill()
	}
	for _, e := range f.endpoints {
		e.Kill()
	}
	if f.registry != nil {
		f.registry.close()
	}
}

// sleep waits until d has elapsed or the run ends, and reports whether the run continues.
func (f *fleet) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-f.ended:
		return false
	}
}

// address returns the coordinator's address; empty if the fleet has no coordinator.
func (f *fleet) address() string {
	if f.coordinator == nil {
		return ""
	}
	return f.coordinator.address()
}
