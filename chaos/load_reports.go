package chaos

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"

	"porthub/audit"
	"porthub/config"
	"porthub/emulator"
	"porthub/routing"
)

// lightFleet is a fleet of light endpoints and gateways with its coordinator.
type lightFleet struct {
	options     LoadReportOptions
	scenario    Scenario
	dir         string
	world       *emulator.World
	log         *audit.Log
	coordinator *coordinatorProcess
	endpoints   []*emulator.LightEndpoint
	gateways    []*emulator.LightGateway
	tally       *emulator.LightTally
	drained     string          // the endpoint whose draining is measured
	drainTimes  *emulator.Tally // from its draining to a gateway's table without it

	mu         sync.Mutex // guards all below
	states     map[string]audit.EndpointState
	startedAt  map[string]time.Duration // below 0: long ago
	changes    []time.Duration          // when something affected the fleet
	drainedAt  time.Duration            // 0: not yet
	hasDrained []bool                   // by gateway: whether its table has the drained endpoint
}

// RunLoadReports starts a coordinator and has light gateways report to it while faults are injected: endpoints that fail
// everywhere at once, drains, a mass restart, the coordinator's own restart, gateways that stop reporting, and peers that
// send garbage or a byte per second. An error means that the run could not be carried out (files, processes); violated rules
// and failed checks are in the result.
func RunLoadReports(o LoadReportOptions) (LoadReportResult, error) {
	result := LoadReportResult{Scenario: "intake", Seed: o.Seed, Gateways: o.Gateways, Endpoints: o.Endpoints,
		MaxLinesPerSecond: o.MaxLinesPerSecond, CoordinatorCores: o.CoordinatorCores}
	dir, output, remove, err := workDirWithLog(o.Dir, "porthub-intake-")
	if err != nil {
		return result, err
	}
	defer remove()
	f := newLightFleet(o, dir, output)
	if err := f.writeList(); err != nil {
		return result, err
	}
	if err := f.coordinator.start(); err != nil {
		return result, err
	}
	defer f.coordinator.end(syscall.SIGTERM)
	err = f.run(&result)
	return result, err
}

func newLightFleet(o LoadReportOptions, dir string, output *os.File) *lightFleet {
	scenario := defaultScenario()
	scenario.GatewayCount = o.Gateways
	scenario.EndpointCount = o.Endpoints
	configuration := lightConfiguration(o, scenario, dir)
	scenario.Rules = configuration.Rules
	limits := auditLimits(scenario)
	log := audit.NewLog(limits)
	f := &lightFleet{
		options:    o,
		scenario:   scenario,
		dir:        dir,
		log:        log,
		world:      emulator.NewWorld(log, warmUpRules(limits), o.Seed),
		tally:      emulator.NewLightTally(),
		drainTimes: emulator.NewTally(),
		states:     map[string]audit.EndpointState{},
		startedAt:  map[string]time.Duration{},
		hasDrained: make([]bool, o.Gateways),
	}
	f.coordinator = &coordinatorProcess{command: o.Command, dir: dir, world: f.world, log: log, output: output, config: configuration,
		profile: o.CPUProfile, cores: o.CoordinatorCores}
	f.build()
	return f
}

// lightConfiguration is the coordinator's configuration, with limits that suit the number of gateways.
func lightConfiguration(o LoadReportOptions, scenario Scenario, dir string) config.Config {
	const linesPerGateway = 40
	c := scenario.Config(dir, "127.0.0.1:0", 1)
	c.Rules.QueueLimit = float64(linesPerGateway * o.Gateways)
	if o.GracePeriod > 0 {
		c.Rules.DrainGracePeriod = o.GracePeriod
		c.Rules.EmptyTableLimit = o.GracePeriod
	}
	connections := 2*o.Gateways + 200 // all of them, twice while they reconnect, and the hostile peers
	c.Limits = config.Limits{Connections: connections, PerAddress: connections}
	c.Gateways.SilenceTimeout = 10_000_000
	c.Reports.SamplingLimit = o.MaxLinesPerSecond
	c.HealthChecks.Allowed = false
	c.Capture.Enabled = false
	return c
}

// The sizes of light fleets.
const (
	lightRequestRate   = 8.0 // mean requests per second of a gateway
	lightCores         = 4.0 // of an endpoint
	lightUtilization   = 0.5 // of the endpoints
	lightInitialTable  = 6   // endpoints
	lightSizeSigma     = 0.7 // of the gateways' log-normal sizes
	lightSizeLogOffset = 0.245
)

// build makes the endpoints, and gateways of different sizes.
func (f *lightFleet) build() {
	work := lightUtilization * lightCores * float64(f.options.Endpoints) / (lightRequestRate * float64(f.options.Gateways))
	zones := f.scenario.Zones
	byName := map[string]*emulator.LightEndpoint{}
	var entries []emulator.ListEntry
	for i := range f.options.Endpoints {
		e := emulator.NewLightEndpoint(f.world, fmt.Sprintf("127.0.0.1:%d", 1+i), zones[i%len(zones)], lightCores, work)
		f.endpoints = append(f.endpoints, e)
		byName[e.Name] = e
		f.states[e.Name] = audit.Ready
		f.startedAt[e.Name] = -time.Hour
		entries = append(entries, emulator.ListEntry{Addr: e.Name, Zone: e.Zone, Weight: lightCores})
	}
	f.drained = f.endpoints[f.options.Endpoints/4].Name
	rng := f.world.Rand("storm")
	for i := range f.options.Gateways {
		size := lightRequestRate * math.Exp(lightSizeSigma*rng.NormFloat64()-lightSizeLogOffset)
		zone := zones[i%len(zones)]
		initial := drawInitialTable(entries, zone, rng)
		options := emulator.LightGatewayOptions{
			Name:         fmt.Sprintf("gw-%d", i),
			Zone:         zone,
			Endpoints:    byName,
			Coordinator:  f.coordinator.address,
			ReportPeriod: duration(f.scenario.ReportPeriod),
			Tally:        f.tally,
			Corrupt:      f.corruption(i),
			OnTable:      func(s routing.Snapshot) { f.observeTable(i, s) },
		}
		for _, class := range f.scenario.Classes {
			options.Classes = append(options.Classes, emulator.LightClass{Name: class.Name, Rate: size * class.Share, Idempotent: class.idempotent()})
		}
		f.gateways = append(f.gateways, emulator.NewLightGateway(f.world, options, initial))
	}
}

// drawInitialTable draws a few endpoints of a zone: the first ones, some of which later ones replace.
func drawInitialTable(entries []emulator.ListEntry, zone string, rng *rand.Rand) []emulator.ListEntry {
	var table []emulator.ListEntry
	for _, entry := range entries {
		if entry.Zone != zone {
			continue
		}
		if len(table) < lightInitialTable {
			table = append(table, entry)
			continue
		}
		if rng.IntN(3) == 0 {
			table[rng.IntN(lightInitialTable)] = entry
		}
	}
	return table
}

// observeTable records when a gateway's table no longer has the drained endpoint.
func (f *lightFleet) observeTable(gateway int, s routing.Snapshot) {
	has := false
	for _, cluster := range s.Clusters {
		for _, endpoint := range cluster.Endpoints {
			has = has || !endpoint.Withheld && string(endpoint.Endpoint) == f.drained
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.hasDrained[gateway] && !has && f.drainedAt > 0 {
		f.drainTimes.RecordLatency(f.world.Now() - f.drainedAt)
	}
	f.hasDrained[gateway] = has
}

// writeList writes the endpoint list, and records it in the audit and at the endpoints.
func (f *lightFleet) writeList() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	audited := map[string]audit.ListedEndpoint{}
	var groups []targetGroup
	for _, e := range f.endpoints {
		state := f.states[e.Name]
		audited[e.Name] = audit.ListedEndpoint{State: state, StartedAt: f.startedAt[e.Name], Zone: e.Zone}
		if state == audit.Absent {
			continue
		}
		labels := map[string]string{labelZone: e.Zone, labelMachine: machineType, labelWeight: formatWeight(e.Cores),
			labelLaunched: launchedLabel(f.world.Start, f.startedAt[e.Name])}
		if state == audit.Draining {
			labels[labelStatus] = statusDraining
		}
		groups = append(groups, targetGroup{Targets: []string{e.Name}, Labels: labels})
	}
	if err := writeListFile(listPath(f.dir), groups); err != nil {
		return err
	}
	f.log.EndpointList(f.world.Now(), audited)
	for _, e := range f.endpoints {
		e.SetListed(audited[e.Name].State)
	}
	return nil
}

// run runs the gateways and fills the result. All goroutines have ended when it returns.
func (f *lightFleet) run(result *LoadReportResult) error {
	ctx, cancel := context.WithCancel(context.Background())
	var goroutines sync.WaitGroup
	defer goroutines.Wait()
	defer cancel()
	goroutines.Go(func() { f.updateEndpoints(ctx) })
	connectingSince := f.world.Now()
	for _, g := range f.gateways { // all at once
		goroutines.Go(func() { g.Run(ctx) })
	}
	if err := f.waitForReports(connectingSince); err != nil {
		return err
	}
	result.ConnectSeconds = (f.world.Now() - connectingSince).Seconds()
	const settling = 5 * time.Second // the decision module finds its tables, and sampling its part
	time.Sleep(settling)
	start := f.world.Now()
	if !f.options.NoFaults {
		f.startHostilePeers(ctx, &goroutines)
		goroutines.Go(func() { f.injectFaults(ctx, start, result) })
	}
	f.measure(start, result)
	stop := f.world.Now()
	cancel()
	f.coordinator.end(syscall.SIGTERM)
	cpu, peak := f.coordinator.usage()
	result.CPUSeconds = cpu.Seconds()
	result.PeakKiB = peak
	if err := f.coordinator.failure(); err != nil {
		return err
	}
	goroutines.Wait()
	result.Requests = f.tally.Attempts.Load() + f.tally.Rejected.Load()
	result.Service = 1 - float64(f.tally.Failures.Load()+f.tally.Rejected.Load())/float64(max(1, result.Requests))
	result.Steady.finish()
	result.Overall.finish()
	result.Rules = f.log.Evaluate(stop)
	result.Checks = result.runChecks()
	return nil
}

// updateEndpoints keeps the endpoints' load up to date until the context ends.
func (f *lightFleet) updateEndpoints(ctx context.Context) {
	const interval = 250 * time.Millisecond
	last := time.Now()
	for ctx.Err() == nil {
		time.Sleep(interval)
		elapsed := time.Since(last)
		last = time.Now()
		for _, e := range f.endpoints {
			e.Update(elapsed)
		}
	}
}

// waitForReports waits until a report of each gateway has been accepted.
func (f *lightFleet) waitForReports(since time.Duration) error {
	const limit = time.Minute
	for {
		reported := f.countGateways((*emulator.LightGateway).Reported)
		if reported == len(f.gateways) {
			return nil
		}
		if f.world.Now()-since > limit {
			return fmt.Errorf("after a minute %d of %d gateways have reported, links broke %d times", reported, len(f.gateways), f.tally.Disconnects.Load())
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (f *lightFleet) countGateways(is func(*emulator.LightGateway) bool) int {
	n := 0
	for _, g := range f.gateways {
		if is(g) {
			n++
		}
	}
	return n
}
