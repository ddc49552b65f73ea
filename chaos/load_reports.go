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

// lightFleet is a fleet of lightweight endpoints and gateways, with the coordinator to which they report.
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
	drainTarget string          // endpoint whose drain is measured
	drainTimes  *emulator.Tally // from its draining entry in the list to a gateway's table without it

	mu             sync.Mutex // guards all below
	states         map[string]audit.EndpointState
	startedAt      map[string]time.Duration // negative: so early that the endpoint has warmed up
	changes        []time.Duration          // times at which a fault affected the fleet
	drainedAt      time.Duration            // 0: not drained yet
	hasDrainTarget []bool                   // by gateway: whether its table contains the drain target, not withheld
}

// RunLoadReports starts a coordinator and lightweight gateways that report to it while faults are injected: endpoints that fail for
// all gateways at the same time, drains, a mass restart of endpoints, a restart and a pause of the coordinator, gateways that
// stop reporting, and peers that send garbage or one byte per second. It returns an error if the run could not be carried out,
// for example because a file could not be written or a process could not be started. Violated rules and failed checks are part
// of the result instead.
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
	defer f.coordinator.terminate(syscall.SIGTERM)
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
		options:        o,
		scenario:       scenario,
		dir:            dir,
		log:            log,
		world:          emulator.NewWorld(log, warmUpRules(limits), o.Seed),
		tally:          emulator.NewLightTally(),
		drainTimes:     emulator.NewTally(),
		states:         map[string]audit.EndpointState{},
		startedAt:      map[string]time.Duration{},
		hasDrainTarget: make([]bool, o.Gateways),
	}
	f.coordinator = &coordinatorProcess{command: o.Command, dir: dir, world: f.world, log: log, output: output, config: configuration,
		cpuProfile: o.CPUProfile, cores: o.CoordinatorCores}
	f.populate()
	return f
}

// lightConfiguration returns the coordinator's configuration, with limits that depend on the number of gateways.
func lightConfiguration(o LoadReportOptions, scenario Scenario, dir string) config.Config {
	const linesPerGateway = 40
	c := scenario.Config(dir, "127.0.0.1:0", 1)
	c.Rules.QueueLimit = float64(linesPerGateway * o.Gateways)
	if o.GracePeriod > 0 {
		c.Rules.DrainGracePeriod = o.GracePeriod
		c.Rules.EmptyTableLimit = o.GracePeriod
	}
	connections := 2*o.Gateways + 200 // two for each gateway while it reconnects, and the hostile peers
	c.Limits.Connections = connections
	c.Limits.PerAddress = connections
	c.Gateways.SilenceTimeout = 10_000_000
	c.Reports.SamplingLimit = o.MaxLinesPerSecond
	c.HealthChecks.Allowed = false
	c.Capture.Enabled = false
	return c
}

// The dimensions of lightweight fleets.
const (
	lightRequestRate      = 8.0   // mean requests per second of a gateway
	lightCores            = 4.0   // CPU cores of an endpoint
	lightUtilization      = 0.5   // mean utilization of the endpoints
	lightInitialTableSize = 6     // endpoints in a gateway's initial table
	lightRateSigma        = 0.7   // of the gateways' log-normal request rates
	lightRateLogOffset    = 0.245 // lightRateSigma squared / 2, for a mean factor of 1
)

// populate creates the endpoints, and the gateways with their different request rates.
func (f *lightFleet) populate() {
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
	f.drainTarget = f.endpoints[f.options.Endpoints/4].Name
	rng := f.world.Rand("storm")
	for i := range f.options.Gateways {
		rate := lightRequestRate * math.Exp(lightRateSigma*rng.NormFloat64()-lightRateLogOffset)
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
			options.Classes = append(options.Classes,
				emulator.LightClass{Name: class.Name, Rate: rate * class.Share, Idempotent: class.idempotent()})
		}
		f.gateways = append(f.gateways, emulator.NewLightGateway(f.world, options, initial))
	}
}

// drawInitialTable draws a few endpoints of a zone. It starts with the first endpoints, which later ones replace at random.
func drawInitialTable(entries []emulator.ListEntry, zone string, rng *rand.Rand) []emulator.ListEntry {
	var table []emulator.ListEntry
	for _, entry := range entries {
		if entry.Zone != zone {
			continue
		}
		if len(table) < lightInitialTableSize {
			table = append(table, entry)
			continue
		}
		if rng.IntN(3) == 0 {
			table[rng.IntN(lightInitialTableSize)] = entry
		}
	}
	return table
}

// observeTable records the time from the drain to a gateway's first table without the drain target. A table that withholds the
// target counts as one without it.
func (f *lightFleet) observeTable(gateway int, s routing.Snapshot) {
	hasTarget := false
	for _, cluster := range s.Clusters {
		for _, endpoint := range cluster.Endpoints {
			hasTarget = hasTarget || !endpoint.Withheld && string(endpoint.Endpoint) == f.drainTarget
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.hasDrainTarget[gateway] && !hasTarget && f.drainedAt > 0 {
		f.drainTimes.RecordLatency(f.world.Now() - f.drainedAt)
	}
	f.hasDrainTarget[gateway] = hasTarget
}

// writeList writes the endpoint list, records it in the audit log and sets the endpoints' listed states.
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

// run runs the gateways and fills in the result. All goroutines have ended when it returns.
func (f *lightFleet) run(result *LoadReportResult) error {
	ctx, cancel := context.WithCancel(context.Background())
	var goroutines sync.WaitGroup
	defer goroutines.Wait()
	defer cancel()
	goroutines.Go(func() { f.updateEndpoints(ctx) })
	connectingSince := f.world.Now()
	for _, g := range f.gateways { // all connect at the same time
		goroutines.Go(func() { g.Run(ctx) })
	}
	if err := f.waitForReports(connectingSince); err != nil {
		return err
	}
	result.ConnectSeconds = (f.world.Now() - connectingSince).Seconds()
	const settleTime = 5 * time.Second // until the decision module's tables and the sampling rate have settled
	time.Sleep(settleTime)
	start := f.world.Now()
	if !f.options.NoFaults {
		f.startHostilePeers(ctx, &goroutines)
		goroutines.Go(func() { f.injectFaults(ctx, start, result) })
	}
	f.measure(start, result)
	stop := f.world.Now()
	cancel()
	f.coordinator.terminate(syscall.SIGTERM)
	cpu, peak := f.coordinator.usage()
	result.CPUSeconds = cpu.Seconds()
	result.PeakKiB = peak
	if err := f.coordinator.failure(); err != nil {
		return err
	}
	goroutines.Wait()
	result.Requests = f.tally.Attempts.Load() + f.tally.Rejected.Load()
	result.Service = 1 - float64(f.tally.Failures.Load()+f.tally.Rejected.Load())/float64(max(1, result.Requests))
	result.Steady.computeMeans()
	result.Overall.computeMeans()
	result.Rules = f.log.Evaluate(stop)
	result.Checks = result.runChecks()
	return nil
}

// updateEndpoints updates the endpoints' load periodically until the context ends.
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

// waitForReports waits until each gateway has had a report accepted.
func (f *lightFleet) waitForReports(since time.Duration) error {
	const limit = time.Minute
	for {
		reported := f.countGateways((*emulator.LightGateway).Reported)
		if reported == len(f.gateways) {
			return nil
		}
		if f.world.Now()-since > limit {
			return fmt.Errorf("after one minute %d of %d gateways have had a report accepted; gateways disconnected %d times",
				reported, len(f.gateways), f.tally.Disconnects.Load())
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (f *lightFleet) countGateways(matches func(*emulator.LightGateway) bool) int {
	n := 0
	for _, g := range f.gateways {
		if matches(g) {
			n++
		}
	}
	return n
}
