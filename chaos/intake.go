package chaos

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"porthub/audit"
	"porthub/config"
	"porthub/daemon"
	"porthub/emulator"
	"porthub/policyapi"
	"porthub/routing"
)

// LoadReportOptions say what a storm of reports is staged with.
type LoadReportOptions struct {
	Command           []string // as in Options
	Seed              uint64
	Gateways          int
	Endpoints         int
	MaxLinesPerSecond int // lines of reports that are taken in a second; 0: all
	Seconds           int
	CoordinatorCores  int             // cores of the coordinator; 0: all
	NoFaults          bool            // nothing befalls the fleet
	BreakRule         string          // bare, drain, repeat or cold: what gateways read is spoilt
	Profile           string          // file for the coordinator's CPU profile; empty: none
	Dir               string          // kept if given
	GracePeriod       config.Duration // for drains; 0: as in other drills
}

// LoadReportResult is what came of it.
type LoadReportResult struct {
	Scenario          string                   `json:"scenario"`
	Seed              uint64                   `json:"seed"`
	Gateways          int                      `json:"gateways"`
	Endpoints         int                      `json:"nodes"`
	MaxLinesPerSecond int                      `json:"bound_lines_per_s"` // 0: none
	CoordinatorCores  int                      `json:"coordinator_procs"` // 0: all cores
	Requests          int64                    `json:"requests"`          // counted at light nodes, none of them sent
	Service           float64                  `json:"service"`           // done of all that came
	Rules             map[string]audit.Verdict `json:"rules"`
	Checks            []CheckResult            `json:"checks"`

	ConnectSeconds   float64   `json:"joined_s"` // until every gateway's first report was taken
	ReconnectSeconds []float64 `json:"again_s"`  // the same with the link, after each start of the coordinator
	Reports          float64   `json:"reports_per_s"`
	Lines            float64   `json:"lines_per_s"`
	LinesAccepted    float64   `json:"lines_taken_per_s"`
	AnswerTime       Latency   `json:"answer_ms"` // from a report's sending to its answer
	DrainTime        Latency   `json:"drain_ms"`  // from a drain's standing in the list to a gateway's holding the table without it
	LateAnswers      int64     `json:"late"`      // answers that took longer than a period
	Deferred         int64     `json:"deferred"`  // 429 and 503
	Throttled        int64     `json:"longer"`    // reports after a longer interval that was asked for
	Disconnects      int64     `json:"broke"`     // links
	// View compares what the coordinator says of nodes with what they had, while nothing had changed for some seconds, and at all times.
	Steady  View `json:"view_steady"`
	Overall View `json:"view_always"`

	MaxMailbox int              `json:"inbox_most"`
	Steps      daemon.Latencies `json:"step_us"`
	CPU        float64          `json:"cpu_s"`
	PeakKiB    int64            `json:"peak_kib"`
}

// View is how well the coordinator's view of nodes agrees with what they had: tries a second, and their own util and queue.
type View struct {
	Cases       int       `json:"cases"`
	Attempts    Agreement `json:"tries"`
	Utilization Agreement `json:"util"`
	Queue       Agreement `json:"queue"`
	Unseen      float64   `json:"unseen"` // share of nodes that nothing was known of
}

// Agreement is the share of cases within the stated error and a twentieth, the mean error, and the mean of what was stated; of
// util and queue absolute, of tries relative.
type Agreement struct {
	Within      float64 `json:"within"`
	MeanError   float64 `json:"mean_error"`
	StatedError float64 `json:"stated"`
}

func (a *Agreement) add(got, want, stated, scale float64) {
	off := math.Abs(got - want)
	if off <= stated+0.05*max(math.Abs(want), scale) {
		a.Within++
	}
	a.MeanError += off / scale
	a.StatedError += stated / scale
}

func (a *Agreement) finish(cases float64) {
	if cases > 0 {
		a.Within, a.MeanError, a.StatedError = a.Within/cases, a.MeanError/cases, a.StatedError/cases
	}
}

func (v *View) finish() {
	v.Attempts.finish(float64(v.Cases))
	v.Utilization.finish(float64(v.Cases))
	v.Queue.finish(float64(v.Cases))
	v.Unseen /= float64(max(1, v.Cases))
}

// OnTable tells whether all rules were kept and all checks are ok.
func (r LoadReportResult) Passed() bool { return Result{Rules: r.Rules, Checks: r.Checks}.Passed() }

// storm is one run of light stand-ins.
type storm struct {
	o        LoadReportOptions
	s        Scenario
	f        *fleet // what a coordinator's process needs of one
	coord    *coordinatorProcess
	nodes    []*emulator.LightEndpoint
	gateways []*emulator.LightGateway
	tally    *emulator.LightTally
	states   map[string]audit.EndpointState
	launched map[string]time.Duration
	changed  []time.Duration // when something befell the fleet
	drained  string          // a node
	drainAt  time.Duration
	holds    []bool // by gateway: whether a node is open there that is drained later
	told     *emulator.Tally
}

// RunLoadReports starts a coordinator and has light gateways report to it while a storm passes: nodes that fail everywhere at once,
// drains, a mass restart, the coordinator's own restart, gateways that stop reporting, peers that send garbage or a byte a second.
func RunLoadReports(o LoadReportOptions) (res LoadReportResult, err error) {
	res = LoadReportResult{Scenario: "intake", Seed: o.Seed, Gateways: o.Gateways, Endpoints: o.Endpoints, MaxLinesPerSecond: o.MaxLinesPerSecond, CoordinatorCores: o.CoordinatorCores}
	t := &storm{o: o, s: defaultScenario(), told: emulator.NewTally(), holds: make([]bool, o.Gateways), tally: emulator.NewLightTally(), states: map[string]audit.EndpointState{}, launched: map[string]time.Duration{}}
	dir := o.Dir
	if dir == "" {
		if dir, err = os.MkdirTemp(scratch(), "porthub-intake-"); err != nil {
			return res, err
		}
		defer os.RemoveAll(dir)
	}
	t.s.GatewayCount, t.s.EndpointCount = o.Gateways, o.Endpoints
	cfg := t.s.Config(dir, "127.0.0.1:0", 1)
	cfg.Rules.QueueLimit = float64(40 * o.Gateways)
	if o.GracePeriod > 0 {
		cfg.Rules.DrainGracePeriod, cfg.Rules.EmptyTableLimit = o.GracePeriod, o.GracePeriod
	}
	t.s.Rules = cfg.Rules
	l := limits(t.s)
	t.f = &fleet{s: t.s, dir: dir, log: audit.NewLog(l)}
	t.f.world = emulator.NewWorld(t.f.log, emulator.WarmUpRules{WarmUp: l.WarmUp, InitialCapacity: l.InitialCapacity, OverloadFactor: l.OverloadFactor, OverloadWindow: l.OverloadWindow}, o.Seed)
	logs, err := os.Create(filepath.Join(dir, "coordinator.log"))
	if err != nil {
		return res, err
	}
	defer logs.Close()
	cfg.Limits = config.Limits{Connections: 2*o.Gateways + 200, PerAddress: 2*o.Gateways + 200}
	cfg.Gateways.SilenceTimeout = 10_000_000
	cfg.Reports.SamplingLimit, cfg.HealthChecks.Allowed, cfg.Capture.Enabled = o.MaxLinesPerSecond, false, false
	if o.CoordinatorCores > 0 {
		_ = os.Setenv("GOMAXPROCS", fmt.Sprint(o.CoordinatorCores)) // of the coordinator, which inherits it
		defer os.Unsetenv("GOMAXPROCS")
	}
	t.build()
	if err := t.list(); err != nil {
		return res, err
	}
	t.coord = &coordinatorProcess{f: t.f, cfg: cfg, exe: o.Command, logs: logs, profile: o.Profile}
	if err := t.coord.start(); err != nil {
		return res, err
	}
	defer t.coord.end(syscall.SIGTERM)
	return res, t.run(&res)
}

// build makes nodes at half of what they can do, and gateways of sizes that differ.
func (t *storm) build() {
	const each, cores = 8.0, 4.0 // reqs a second that come to a gateway; a node's cores
	work := 0.5 * cores * float64(t.o.Endpoints) / (each * float64(t.o.Gateways))
	byName := map[string]*emulator.LightEndpoint{}
	var entries []emulator.ListEntry
	for i := range t.o.Endpoints {
		n := emulator.NewLightEndpoint(t.f.world, fmt.Sprintf("127.0.0.1:%d", 1+i), t.s.Zones[i%len(t.s.Zones)], cores, work)
		t.nodes, byName[n.Name] = append(t.nodes, n), n
		t.states[n.Name], t.launched[n.Name] = audit.Ready, -time.Hour
		entries = append(entries, emulator.ListEntry{Addr: n.Name, Zone: n.Zone, Weight: cores})
	}
	t.drained = t.nodes[t.o.Endpoints/4].Name
	rng := t.f.world.Rand("storm")
	for i := range t.o.Gateways {
		size := each * math.Exp(0.7*rng.NormFloat64()-0.245)
		zone := t.s.Zones[i%len(t.s.Zones)]
		var standing []emulator.ListEntry
		for _, e := range entries {
			if e.Zone == zone && (len(standing) < 6 || rng.IntN(3) == 0) {
				if len(standing) == 6 {
					standing[rng.IntN(6)] = e
				} else {
					standing = append(standing, e)
				}
			}
		}
		opts := emulator.LightGatewayOptions{Name: fmt.Sprintf("gw-%d", i), Zone: zone, Endpoints: byName, Coordinator: t.address, ReportPeriod: duration(t.s.ReportPeriod),
			Tally: t.tally, Corrupt: t.spoil(i), OnTable: func(s routing.Snapshot) { t.holding(i, s) }}
		for _, k := range t.s.Classes {
			opts.Classes = append(opts.Classes, emulator.LightClass{Name: k.Name, Rate: size * k.Share, Idempotent: k.Repeat == "replayable"})
		}
		t.gateways = append(t.gateways, emulator.NewLightGateway(t.f.world, opts, standing))
	}
}

// holding notes when a gateway is rid of the drained node.
func (t *storm) holding(i int, s routing.Snapshot) {
	open := false
	for _, c := range s.Clusters {
		for _, l := range c.Endpoints {
			open = open || !l.Withheld && string(l.Endpoint) == t.drained
		}
	}
	t.f.mu.Lock()
	defer t.f.mu.Unlock()
	if t.holds[i] && !open && t.drainAt > 0 {
		t.told.RecordLatency(t.f.world.Now() - t.drainAt)
	}
	t.holds[i] = open
}

// spoil breaks a rule on the way to one gateway, for the audit's own test.
func (t *storm) spoil(i int) func(*routing.Snapshot) {
	if i != 0 && (t.o.BreakRule == audit.EmptyTable || t.o.BreakRule == audit.DuplicateEffect) || t.o.BreakRule == "" {
		return nil
	}
	ever := map[string]routing.ClusterEndpoint{}
	return func(s *routing.Snapshot) {
		switch t.o.BreakRule {
		case audit.EmptyTable:
			s.Clusters = append([]routing.Cluster(nil), s.Clusters...)
			s.Clusters[0].Endpoints = nil
		case audit.DuplicateEffect:
			s.Routes = append([]routing.Route(nil), s.Routes...)
			for k := range s.Routes {
				s.Routes[k].RetryPolicy = 3
			}
		case audit.Drain: // it keeps every line that it ever had
			for k := range s.Clusters {
				s.Clusters[k].Endpoints = append([]routing.ClusterEndpoint(nil), s.Clusters[k].Endpoints...)
				for _, l := range s.Clusters[k].Endpoints {
					l.Withheld = false
					ever[fmt.Sprint(k, l.Endpoint)] = l
				}
				s.Clusters[k].Endpoints = s.Clusters[k].Endpoints[:0]
				for _, l := range ever {
					s.Clusters[k].Endpoints = append(s.Clusters[k].Endpoints, l)
				}
			}
		case audit.WarmUp: // what has just started gets everything
			t.f.mu.Lock()
			defer t.f.mu.Unlock()
			for _, n := range t.nodes {
				if t.launched[n.Name] > 0 {
					for k := range s.Clusters {
						s.Clusters[k].Endpoints = []routing.ClusterEndpoint{{Endpoint: policyapi.EndpointID(n.Name), Zone: policyapi.Zone(n.Zone), Weight: 1}}
					}
				}
			}
		}
	}
}

func (t *storm) address() string {
	t.f.mu.Lock()
	defer t.f.mu.Unlock()
	return t.coord.addr
}

// list writes the node list and tells the audit.
func (t *storm) list() error {
	type group struct {
		Targets []string          `json:"targets"`
		Labels  map[string]string `json:"labels"`
	}
	var groups []group
	listed := map[string]audit.ListedEndpoint{}
	for _, n := range t.nodes {
		listed[n.Name] = audit.ListedEndpoint{State: t.states[n.Name], StartedAt: t.launched[n.Name], Zone: n.Zone}
		labels := map[string]string{"zone": n.Zone, "machine": "std", "weight": "4", "launched": "0"}
		switch t.states[n.Name] {
		case audit.Absent:
			continue
		case audit.Draining:
			labels["status"] = "draining"
		}
		if at := t.launched[n.Name]; at >= 0 {
			labels["launched"] = strconv.FormatInt(t.f.world.Start.Add(at).UnixMicro(), 10)
		}
		groups = append(groups, group{[]string{n.Name}, labels})
	}
	text, err := json.Marshal(groups)
	if err != nil {
		return err
	}
	path := filepath.Join(t.f.dir, "nodes.json")
	if err := os.WriteFile(path+".new", text, 0o644); err != nil {
		return err
	}
	if err := os.Rename(path+".new", path); err != nil {
		return err
	}
	t.f.log.EndpointList(t.f.world.Now(), listed)
	for _, n := range t.nodes {
		n.SetListed(listed[n.Name].State)
	}
	return nil
}

func (t *storm) run(res *LoadReportResult) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var all sync.WaitGroup
	defer all.Wait()
	defer cancel()
	run := func(do func()) { all.Add(1); go func() { defer all.Done(); do() }() }
	const look = 250 * time.Millisecond
	run(func() {
		for last := time.Now(); ctx.Err() == nil; {
			time.Sleep(look)
			passed := time.Since(last)
			last = time.Now()
			for _, n := range t.nodes {
				n.Update(passed)
			}
		}
	})
	began := t.f.world.Now()
	for _, g := range t.gateways { // all at once
		run(func() { g.Run(ctx) })
	}
	for ; t.count((*emulator.LightGateway).Reported) < len(t.gateways); time.Sleep(20 * time.Millisecond) {
		if t.f.world.Now()-began > time.Minute {
			return fmt.Errorf("after a minute %d of %d gateways have reported, links broke %d times", t.count((*emulator.LightGateway).Reported),
				len(t.gateways), t.tally.Disconnects.Load())
		}
	}
	res.ConnectSeconds = (t.f.world.Now() - began).Seconds()
	time.Sleep(5 * time.Second) // the module has its rounds, the part is found
	start := t.f.world.Now()
	end := start + time.Duration(t.o.Seconds)*time.Second
	if !t.o.NoFaults {
		t.peers(ctx, run)
		run(func() { t.troubles(ctx, start, res) })
	}
	var first, last daemon.SamplingStatus
	_ = heard(t.address(), &first)
	sentFrom := t.tally.Reports.Load()
	offered, taken := int64(0), int64(0)
	last = first
	for t.f.world.Now() < end {
		time.Sleep(time.Second)
		before := last
		if err := heard(t.address(), &last); err != nil {
			continue // it is down, or behind
		}
		if last.Sampling.Reports >= before.Sampling.Reports {
			offered, taken = offered+last.Sampling.Lines-before.Sampling.Lines, taken+last.Sampling.Taken-before.Sampling.Taken
		}
		res.MaxMailbox = max(res.MaxMailbox, last.Inbox)
		t.compare(last, res)
	}
	span := (t.f.world.Now() - start).Seconds()
	res.Reports, res.Lines, res.LinesAccepted = float64(t.tally.Reports.Load()-sentFrom)/span, float64(offered)/span, float64(taken)/span
	times := t.tally.AnswerTimes().Latencies()
	res.AnswerTime = Latency{float64(times.ValueAtQuantile(50)) / 1000, float64(times.ValueAtQuantile(99)) / 1000}
	res.LateAnswers, res.Deferred, res.Disconnects, res.Throttled = t.tally.LateAnswers.Load(), t.tally.Deferred.Load(), t.tally.Disconnects.Load(), t.tally.Throttled.Load()
	res.Steps = last.StepTimes
	told := t.told.Latencies()
	res.DrainTime = Latency{float64(told.ValueAtQuantile(50)) / 1000, float64(told.ValueAtQuantile(99)) / 1000}
	stop := t.f.world.Now()
	cancel()
	t.coord.end(syscall.SIGTERM)
	res.CPU, res.PeakKiB = t.coord.cpu.Seconds(), t.coord.peak
	if t.coord.err != nil {
		return t.coord.err
	}
	all.Wait()
	res.Requests = t.tally.Attempts.Load() + t.tally.Rejected.Load()
	res.Service = 1 - float64(t.tally.Failures.Load()+t.tally.Rejected.Load())/float64(max(1, res.Requests))
	res.Steady.finish()
	res.Overall.finish()
	res.Rules = t.f.log.Evaluate(stop)
	res.Checks = []CheckResult{{"tries_within", res.Steady.Attempts.Within >= 0.9, res.Steady.Attempts.Within}, {"util_within", res.Steady.Utilization.Within >= 0.9, res.Steady.Utilization.Within},
		{"queue_within", res.Steady.Queue.Within >= 0.9, res.Steady.Queue.Within}, {"joined_s", res.ConnectSeconds <= 30, res.ConnectSeconds}}
	for i, s := range res.ReconnectSeconds {
		res.Checks = append(res.Checks, CheckResult{fmt.Sprintf("again_%d_s", i+1), s >= 0 && s <= 30, s})
	}
	return nil
}

func (t *storm) count(is func(*emulator.LightGateway) bool) (n int) {
	for _, g := range t.gateways {
		if is(g) {
			n++
		}
	}
	return n
}

// troubles strikes one after the other; the times are parts of the run.
func (t *storm) troubles(ctx context.Context, start time.Duration, res *LoadReportResult) {
	length := time.Duration(t.o.Seconds) * time.Second
	at := func(part float64) bool {
		select {
		case <-ctx.Done():
		case <-time.After(start + time.Duration(part*float64(length)) - t.f.world.Now()):
		}
		t.note()
		return ctx.Err() == nil
	}
	ready := func(from, n int) (some []*emulator.LightEndpoint) { // spread over the zones
		for i := from; len(some) < n && i < len(t.nodes); i++ {
			if t.states[t.nodes[i].Name] == audit.Ready {
				some = append(some, t.nodes[i])
			}
		}
		return some
	}
	failing := ready(0, max(1, t.o.Endpoints/33))
	if !at(0.12) {
		return
	}
	for _, n := range failing { // every gateway that sends there reports it at once
		n.SetFailing(true)
	}
	if !at(0.24) {
		return
	}
	for _, n := range failing {
		n.SetFailing(false)
	}
	if !at(0.36) {
		return
	}
	drained := ready(t.o.Endpoints/4, 2)
	for _, n := range drained {
		t.set(n, audit.Draining)
	}
	_ = t.list()
	t.f.mu.Lock()
	t.drainAt = t.f.world.Now()
	t.f.mu.Unlock()
	if !at(0.46) {
		return
	}
	restarted := ready(t.o.Endpoints/2, max(1, t.o.Endpoints/10))
	for _, n := range restarted {
		n.SetFailing(true)
	}
	time.Sleep(700 * time.Millisecond)
	for _, n := range restarted {
		at := n.Restart()
		t.f.mu.Lock()
		t.launched[n.Name] = at
		t.f.mu.Unlock()
		n.SetFailing(false)
	}
	time.Sleep(time.Second) // the list is late
	_ = t.list()
	if !at(0.6) {
		return
	}
	t.coord.kill()
	time.Sleep(2 * time.Second)
	if err := t.coord.start(); err != nil {
		return
	}
	back := t.f.world.Now()
	time.Sleep(500 * time.Millisecond)
	for ctx.Err() == nil && t.count((*emulator.LightGateway).Connected) < len(t.gateways) {
		time.Sleep(20 * time.Millisecond)
	}
	if again := (t.f.world.Now() - back).Seconds(); ctx.Err() == nil {
		res.ReconnectSeconds = append(res.ReconnectSeconds, again)
	} else {
		res.ReconnectSeconds = append(res.ReconnectSeconds, -1)
	}
	t.note()
	if !at(0.8) {
		return
	}
	for i := range len(t.gateways) / 20 {
		t.gateways[20*i].StopReporting()
	}
	if !at(0.88) {
		return
	}
	// All its cores stand still, as in a long collection.
	_ = syscall.Kill(t.coord.cmd.Process.Pid, syscall.SIGSTOP)
	time.Sleep(500 * time.Millisecond)
	_ = syscall.Kill(t.coord.cmd.Process.Pid, syscall.SIGCONT)
	t.note()
}

func (t *storm) note() {
	t.f.mu.Lock()
	defer t.f.mu.Unlock()
	t.changed = append(t.changed, t.f.world.Now())
}

// peers are two that send garbage as fast as it is taken and twenty that send a byte a second.
func (t *storm) peers(ctx context.Context, run func(func())) {
	forever := func(do func(net.Conn) error) func() {
		return func() {
			for ctx.Err() == nil {
				if c, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", t.address()); err == nil {
					stop := context.AfterFunc(ctx, func() { _ = c.Close() })
					for err = do(c); err == nil && ctx.Err() == nil; err = do(c) {
					}
					stop()
					_ = c.Close()
				}
				time.Sleep(20 * time.Millisecond)
			}
		}
	}
	garbage := make([]byte, 4096)
	rng := t.f.world.Rand("garbage")
	for i := range garbage {
		garbage[i] = byte(rng.Uint32())
	}
	for range 2 {
		run(forever(func(c net.Conn) error { _, err := c.Write(garbage); return err }))
	}
	for range 20 {
		run(forever(func(c net.Conn) error {
			_, err := c.Write([]byte("P"))
			select {
			case <-ctx.Done():
			case <-time.After(time.Second):
			}
			return err
		}))
	}
}

// compare holds what the coordinator says of the nodes against what they had.
func (t *storm) compare(h daemon.SamplingStatus, res *LoadReportResult) {
	now := t.f.world.Now()
	t.f.mu.Lock()
	steady := true
	for _, at := range t.changed {
		steady = steady && now-at > 6*time.Second
	}
	t.f.mu.Unlock()
	known := map[string]int{}
	for i, n := range h.Endpoints {
		known[string(n.Endpoint)] = i
	}
	views := []*View{&res.Overall}
	if steady {
		views = append(views, &res.Steady)
	}
	period := duration(t.s.ReportPeriod)
	for _, n := range t.nodes {
		if t.state(n) == audit.Draining {
			continue
		}
		i, has := known[n.Name]
		for _, v := range views {
			v.Cases++
			if !has {
				v.Unseen++
				continue
			}
			got := h.Endpoints[i]
			heardAt := now - time.Duration(h.Now-got.At)*time.Microsecond // a report is of the period before it
			want := n.AttemptRate(heardAt-3*period/2, heardAt-period/2)
			util, queue := n.MeanLoad(heardAt-period, heardAt)
			v.Attempts.add(got.Attempts, want, got.AttemptsError, max(want, 1))
			v.Utilization.add(got.Utilization, util, got.UtilizationError, 1)
			v.Queue.add(got.Queue, queue, got.QueueError, 10)
		}
	}
}

func (t *storm) set(n *emulator.LightEndpoint, s audit.EndpointState) {
	t.f.mu.Lock()
	defer t.f.mu.Unlock()
	t.states[n.Name] = s
}

func (t *storm) state(n *emulator.LightEndpoint) audit.EndpointState {
	t.f.mu.Lock()
	defer t.f.mu.Unlock()
	return t.states[n.Name]
}

// heard asks a coordinator what it has heard. While it is behind, what was known stands.
func heard(addr string, into *daemon.SamplingStatus) error {
	res, err := (&http.Client{Timeout: 5 * time.Second}).Get("http://" + addr + "/intake")
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, res.Body)
		return fmt.Errorf("%s", res.Status)
	}
	var fresh daemon.SamplingStatus
	if err := json.NewDecoder(res.Body).Decode(&fresh); err != nil {
		return err
	}
	*into = fresh
	return nil
}
