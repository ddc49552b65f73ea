package chaos

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"porthub/config"
	"porthub/emulator"
)

// Options configure a run of a scenario.
type Options struct {
	Seed       uint64
	Command    []string  // coordinator command, to which the arguments of serve are appended; usually porthub itself
	Delivery   string    // delivery of tables to gateways: files, poll, or both, which alternates by gateway
	BreakRule  string    // rule to violate deliberately, which the audit must report; empty: none
	Baselines  bool      // also run the baselines
	NoSolver   bool      // publish the decision module's tables without the weight solver
	NoRecovery bool      // a restarted coordinator restores only the endpoint list
	Levels     string    // service levels; named: the scenario's, plain: only the decision module's admission control, off: neither
	Progress   io.Writer // receives a status line each second; nil: none
	Dir        string    // working directory, which is kept; empty: a new directory that is removed at the end
}

// Run runs a scenario. It returns an error if the run could not be carried out, for example because a file could not be
// written or a process could not be started. Violated rules and failed checks are part of the result instead.
func Run(s Scenario, o Options) (Result, error) {
	result := Result{Scenario: s.Name, Seed: o.Seed, Baselines: map[string]Baseline{}, ServiceByClassZone: map[string]float64{},
		ServiceByClass: map[string]float64{}}
	dir, remove, err := workDir(o.Dir, "porthub-drill-")
	if err != nil {
		return result, err
	}
	defer remove()
	r := &run{scenario: s, options: o, dir: dir}
	defer r.stop()
	if err := r.prepare(); err != nil {
		return result, err
	}
	if err := r.start(); err != nil {
		return result, err
	}
	end := r.runFleets()
	if err := r.coordinator.failure(); err != nil {
		return result, err
	}
	r.collect(&result, end)
	return result, nil
}

// workDir returns the requested directory or, if none is requested, a new one that the function remove removes.
func workDir(requested, prefix string) (dir string, remove func(), err error) {
	if requested != "" {
		return requested, func() {}, nil
	}
	dir, err = os.MkdirTemp(scratchDir(), prefix)
	return dir, func() { _ = os.RemoveAll(dir) }, err
}

// workDirWithLog returns a directory as [workDir] does, and a new file in it for the coordinator's output. The function remove
// also closes the file.
func workDirWithLog(requested, prefix string) (dir string, output *os.File, remove func(), err error) {
	dir, removeDir, err := workDir(requested, prefix)
	if err != nil {
		return "", nil, nil, err
	}
	output, err = os.Create(filepath.Join(dir, "coordinator.log"))
	if err != nil {
		removeDir()
		return "", nil, nil, err
	}
	return dir, output, func() {
		_ = output.Close()
		removeDir()
	}, nil
}

// scratchDir returns the parent of working directories: /dev/shm if it is writable, as operators keep tables in memory too, or
// an empty string for the default directory of temporary files. On a disk that other processes keep busy, a run would measure
// the disk instead of the coordinator.
func scratchDir() string {
	const sharedMemory = "/dev/shm"
	probeDir, err := os.MkdirTemp(sharedMemory, "porthub-probe-")
	if err != nil {
		return ""
	}
	_ = os.Remove(probeDir)
	return sharedMemory
}

// run is a run of a scenario, with the coordinator's fleet and those of the baselines.
type run struct {
	scenario    Scenario
	options     Options
	dir         string
	fleets      []*fleet // the first is the coordinator's
	coordinator *coordinatorProcess
	output      *os.File // the coordinator's output
}

func (r *run) fleet() *fleet { return r.fleets[0] }

// prepare starts the endpoints of the fleets and prepares the coordinator. The caller must call stop, even after an error.
func (r *run) prepare() error {
	sources := []tableSource{coordinatorTables}
	if r.options.Baselines {
		sources = append(sources, initialTables, allEndpoints)
	}
	for i, source := range sources {
		dir := filepath.Join(r.dir, fmt.Sprintf("fleet-%d", i))
		if err := os.MkdirAll(dir, 0o755); err != nil {
			return err
		}
		f, err := newFleet(r.scenario, source, dir, r.options.Seed)
		if err != nil {
			return err
		}
		r.fleets = append(r.fleets, f)
	}
	if err := r.fleet().writeList(); err != nil {
		return err
	}
	output, err := os.Create(filepath.Join(r.dir, "coordinator.log"))
	if err != nil {
		return err
	}
	r.output = output
	f := r.fleet()
	r.coordinator = &coordinatorProcess{command: r.options.Command, dir: f.dir, world: f.world, log: f.log, output: output, config: r.configuration()}
	f.coordinator = r.coordinator
	for i, g := range f.gateways {
		g.Polls = r.options.Delivery == "poll" || r.options.Delivery == "both" && i%2 == 1
	}
	f.breakRule(r.options.BreakRule)
	return nil
}

func (r *run) configuration() config.Config {
	c := r.scenario.Config(r.fleet().dir, "127.0.0.1:0", r.options.Seed)
	switch r.options.Levels {
	case "plain":
		c.Degradation = config.Degradation{}
	case "off":
		c.Degradation = config.Degradation{}
		c.Admission = "off"
	}
	c.Solver.Enabled = !r.options.NoSolver
	c.Recovery.Enabled = !r.options.NoRecovery
	if registry := r.fleet().registry; registry != nil {
		registry.configure(&c)
	}
	return c
}

// start starts the coordinator and the gateways.
func (r *run) start() error {
	if err := r.coordinator.start(); err != nil {
		return err
	}
	for _, f := range r.fleets {
		if err := f.start(); err != nil {
			return err
		}
	}
	return nil
}

// runFleets runs the fleets until the scenario has ended and returns the time of its end.
func (r *run) runFleets() time.Duration {
	done := make(chan struct{})
	var progress sync.WaitGroup
	if r.options.Progress != nil {
		progress.Go(func() { showProgress(r.fleet(), r.options.Progress, done) })
	}
	var fleets sync.WaitGroup
	for _, f := range r.fleets {
		fleets.Go(f.run)
	}
	fleets.Wait()
	close(done)
	progress.Wait()
	return r.fleet().world.Now()
}

// stop terminates everything that prepare and start have started.
func (r *run) stop() {
	if r.coordinator != nil {
		r.coordinator.kill()
	}
	if r.output != nil {
		_ = r.output.Close()
	}
	for _, f := range r.fleets {
		f.stop()
	}
}

// collect fills in the result and terminates the coordinator.
func (r *run) collect(result *Result, end time.Duration) {
	f := r.fleet()
	for _, check := range r.scenario.Checks {
		if check.Name == checkConverged {
			result.ConvergedSeconds = waitForConvergence(f)
		}
	}
	result.Coordinator = readCoordinatorStats(f)
	result.Rules = f.log.Evaluate(end)
	result.StopMilliseconds = milliseconds(r.coordinator.terminate(syscall.SIGTERM))
	cpu, peak := r.coordinator.usage()
	result.CPUSeconds = cpu.Seconds()
	result.PeakKiB = peak
	result.LevelChanges = countLevelChanges(r.output.Name())
	if f.registry != nil {
		traffic := f.registry.traffic()
		result.Registry = &traffic
	}
	result.Restarts = collectRestarts(f)
	result.DeliveryTime = latencyOf(f.log.DeliveryLatency())
	result.DocumentsRead, result.IncompleteReads = f.log.DocumentCounts()
	result.PeakLoadRatio = f.log.PeakLoadRatio()
	totals := addTally(result, f.tally)
	for _, baseline := range r.fleets[1:] {
		_, sum := baseline.tally.Totals()
		result.Baselines[string(baseline.source)] = Baseline{
			Service:         sum.Service(),
			WorstService10s: baseline.tally.WorstService(10),
			Rules:           baseline.log.Evaluate(baseline.world.Now()),
			ServiceBy5s:     baseline.tally.ServiceByWindow(5),
		}
	}
	result.Checks = runChecks(r.scenario, *result, totals)
}

// addTally adds the outcomes of the requests to a result and returns them by class and zone.
func addTally(r *Result, tally *emulator.Tally) map[emulator.ClassZone]emulator.Totals {
	totals, overall := tally.Totals()
	r.Requests = overall.Requests
	r.Service = overall.Service()
	r.WorstService10s = tally.WorstService(10)
	r.ServiceBy5s = tally.ServiceByWindow(5)
	r.ResponseTime = latencyOf(tally.Latencies())
	classes := map[string]emulator.Totals{}
	for key, total := range totals {
		r.ServiceByClassZone[key.Class+"@"+key.Zone] = total.Service()
		classes[key.Class] = classes[key.Class].Add(total)
	}
	for class, sum := range classes {
		r.ServiceByClass[class] = sum.Service()
	}
	return totals
}

func collectRestarts(f *fleet) []Restart {
	var out []Restart
	for _, restart := range f.log.Restarts() {
		r := Restart{
			At:      restart.Down.Seconds(),
			Down:    (restart.Up - restart.Down).Seconds(),
			Service: f.tally.ServiceBetween(restart.Down, restart.Down+10*time.Second),
		}
		if restart.FirstTable > 0 {
			r.FirstTable = (restart.FirstTable - restart.Up).Seconds()
		}
		if restart.AllTables > 0 {
			r.AllTables = (restart.AllTables - restart.Up).Seconds()
		}
		out = append(out, r)
	}
	return out
}
