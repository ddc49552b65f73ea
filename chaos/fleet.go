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

// tableSource is how a fleet's gateways get their tables. Its values are the names of baselines in results.
type tableSource string

const (
	byCoordinator tableSource = "porthub"
	initialTables tableSource = "standing tables only"
	allEndpoints  tableSource = "one table of all nodes"
)

// fleet is an emulated fleet in a world of its own.
type fleet struct {
	scenario Scenario
	source   tableSource
	dir      string
	world    *emulator.World
	log      *audit.Log
	tally    *emulator.Tally
	requests atomic.Uint64 // numbers the requests of all clients
	rng      *rand.Rand

	endpoints   []*emulator.Endpoint
	gateways    []*emulator.Gateway
	weights     []float64 // of the gateways, mean 1
	clients     []*emulator.Client
	affected    [][]int // gateways that fault i affects, if it affects any
	coordinator *coordinatorProcess
	registry    *eurekaRegistry // in place of the list's file; nil: the file

	pending sync.WaitGroup // changes that are still to happen
	ended   chan struct{}  // closed at the end of the run

	mu         sync.Mutex // guards all below
	listed     map[string]*listedEndpoint
	listFrozen bool // a fault spoils the list's file
}

// listedEndpoint is an endpoint's entry in the endpoint list.
type listedEndpoint struct {
	state     audit.EndpointState
	startedAt time.Duration // below 0: long ago
}

// auditLimits are the limits of a scenario's rules.
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

// warmUpRules are how the endpoints of a fleet with these limits warm up.
func warmUpRules(limits audit.Limits) emulator.WarmUpRules {
	return emulator.WarmUpRules{WarmUp: limits.WarmUp, InitialCapacity: limits.InitialCapacity, OverloadFactor: limits.OverloadFactor,
		OverloadWindow: limits.OverloadWindow}
}

// newFleet starts the endpoints of a fleet. Its caller must call stop, also after an error of a later step.
func newFleet(s Scenario, source tableSource, dir string, seed uint64) (*fleet, error) {
	limits := auditLimits(s)
	limits.WithoutCoordinator = source != byCoordinator
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
	if s.Registry == "eureka" && source == byCoordinator {
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
		f.affected = append(f.affected, f.chooseGateways(fault, f.world.Rand(fmt.Sprint("struck ", i))))
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
	f.weights = gatewayWeights(s, f.rng)
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
		if f.source == byCoordinator {
			options.Coordinator = f.address
		}
		f.gateways = append(f.gateways, emulator.NewGateway(f.world, options))
	}
}

// gatewayWeights draws the sizes of the gateways, with a mean of 1.
func gatewayWeights(s Scenario, rng *rand.Rand) []float64 {
	weights := make([]float64, s.GatewayCount)
	total := 0.0
	for i := range weights {
		weights[i] = math.Exp(s.GatewaySpread*rng.NormFloat64() - s.GatewaySpread*s.GatewaySpread/2)
		total += weights[i]
	}
	for i := range weights {
		weights[i] *= float64(s.GatewayCount) / total
	}
	return weights
}

// rate is a gateway's usual requests per second.
func (f *fleet) rate(i int) float64 {
	return f.weights[i] * f.scenario.RequestRate / float64(f.scenario.GatewayCount)
}

// start starts the gateways and prepares the clients, which begin with run.
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
	const lateShare = 0.15 // what a late response is still worth
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
			LateShare:        lateShare,
			Idempotent:       class.idempotent(),
		})
	}
	return options
}

// run has clients send and faults injected until the end of the scenario. It returns when all goroutines have ended.
func (f *fleet) run() {
	var faults sync.WaitGroup
	for i, fault := range f.scenario.Faults {
		faults.Go(func() {
			f.sleep(duration(fault.At) - f.world.Now())
			if inject := faultTypes[fault.Name].inject; inject != nil {
				inject(injection{Fault: fault, fleet: f, rng: f.world.Rand(fmt.Sprint("trouble ", i)), gateways: f.affected[i]})
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

// stop ends gateways, endpoints and the registry.
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

// sleep waits for a length of time or the end of the run; it reports whether the run continues.
func (f *fleet) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-f.ended:
		return false
	}
}

// address returns where the coordinator listens; empty if there is none.
func (f *fleet) address() string {
	if f.coordinator == nil {
		return ""
	}
	return f.coordinator.address()
}
