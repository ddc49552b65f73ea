package chaos

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"porthub/audit"
	"porthub/capture"
	"porthub/client"
	"porthub/config"
	"porthub/daemon"
	"porthub/emulator"
	"porthub/policyapi"
	"porthub/routing"
	"porthub/xdspoll"
)

// Options are how a drill is run.
type Options struct {
	Seed       uint64
	Command    []string // the command that serves, usually porthub itself
	Front      string   // files, poll or both: then gateways take turns
	BreakRule  string
	Baselines  bool
	NoSolver   bool      // tables pass as the module wants them
	NoRecovery bool      // a start believes nothing of the time before but the list
	Levels     string    // named: as the scenario has them; plain: the module's admission alone; off: nothing is turned away
	Progress   io.Writer // a line a second; nil: none
	Dir        string    // kept if given; else a folder of its own, removed at the end
}

// Result is what came of a drill.
type Result struct {
	Scenario         string                   `json:"scenario"`
	Seed             uint64                   `json:"seed"`
	Requests         int                      `json:"requests"`
	Service          float64                  `json:"service"`
	Worst10s         float64                  `json:"worst_10s"`
	Rules            map[string]audit.Verdict `json:"rules"`
	DeliveryTime     Latency                  `json:"latency_ms"` // from a file's writing to its taking effect
	ResponseTime     Latency                  `json:"answers_ms"` // of what was answered, retries included
	DocumentsRead    int                      `json:"reads"`
	IncompleteReads  int                      `json:"partial_reads"`
	Written          Written                  `json:"written"`
	CPU              float64                  `json:"cpu_s"` // of the coordinator's processes
	PeakKiB          int64                    `json:"peak_kib"`
	StopMilliseconds float64                  `json:"stop_ms"` // from SIGTERM to the end
	ConvergedSeconds float64                  `json:"converged_s,omitempty"`
	Restarts         []Restart                `json:"restarts,omitempty"`
	Registry         *RegistryTraffic         `json:"registry,omitempty"`
	Baselines        map[string]Baseline      `json:"baselines"`
	Checks           []CheckResult            `json:"checks"`
	Cells            map[string]float64       `json:"cells"`   // service by kind@zone
	Classes          map[string]float64       `json:"kinds"`   // service by kind
	By5s             []float64                `json:"by_5s"`   // service of each 5 s
	PeakLoadRatio    float64                  `json:"busiest"` // node over the mean, by work that came
	// LevelChanges counts how often the level of service changed in the scope in which it did most.
	LevelChanges int `json:"level_changes"`
}

// Restart is one restart of the coordinator. Times are in seconds.
type Restart struct {
	At         float64 `json:"at_s"` // of the kill
	Down       float64 `json:"down_s"`
	FirstTable float64 `json:"first_table_s"` // from its start until a gateway holds a table of it
	AllTables  float64 `json:"all_tables_s"`  // until all do; 0: never
	Service    float64 `json:"service_10s"`   // of the reqs of the 10 s after the kill
}

// DeliveryTime is in milliseconds.
type Latency struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
}

// Written is what the coordinator did since its last start, by its own count; nothing is judged by it.
type Written struct {
	Messages int              `json:"messages"`
	Files    int              `json:"files"`
	Bytes    int64            `json:"bytes"`
	Polls    xdspoll.Stats    `json:"polls"`
	Steps    daemon.Latencies `json:"step_us"`
	Capture  capture.Stats    `json:"capture"`
}

// Baseline is how another way of filling tables fared on the same seed.
type Baseline struct {
	Service  float64                  `json:"service"`
	Worst10s float64                  `json:"worst_10s"`
	Rules    map[string]audit.Verdict `json:"rules"`
	By5s     []float64                `json:"by_5s"`
}

// CheckResult is how a check came out.
type CheckResult struct {
	Name   string  `json:"name"`
	OK     bool    `json:"ok"`
	Figure float64 `json:"figure"`
}

// Passed tells whether all rules were kept and all checks are ok.
func (r Result) Passed() bool {
	for _, v := range r.Rules {
		if !v.Satisfied {
			return false
		}
	}
	for _, c := range r.Checks {
		if !c.OK {
			return false
		}
	}
	return true
}

// Run stages a scenario. An error is the machine's; what broke stands in the result.
func Run(s Scenario, o Options) (Result, error) {
	res := Result{Scenario: s.Name, Seed: o.Seed, Baselines: map[string]Baseline{}, Cells: map[string]float64{}, Classes: map[string]float64{}}
	dir := o.Dir
	if dir == "" {
		made, err := os.MkdirTemp(scratch(), "porthub-drill-")
		if err != nil {
			return res, err
		}
		defer os.RemoveAll(made)
		dir = made
	}
	modes := []mode{byCoordinator}
	if o.Baselines {
		modes = append(modes, standingOnly, oneTable)
	}
	var fleets []*fleet
	for i, m := range modes {
		at := filepath.Join(dir, fmt.Sprintf("fleet-%d", i))
		if err := os.MkdirAll(at, 0o755); err != nil {
			return res, err
		}
		f, err := newFleet(s, m, at, o.Seed)
		if err != nil {
			return res, err
		}
		defer f.stop()
		fleets = append(fleets, f)
	}
	main := fleets[0]
	if err := main.writeList(); err != nil {
		return res, err
	}
	logs, err := os.Create(filepath.Join(dir, "coordinator.log"))
	if err != nil {
		return res, err
	}
	defer logs.Close()
	coord := &coordinatorProcess{f: main, cfg: s.Config(main.dir, "127.0.0.1:0", o.Seed), exe: o.Command, logs: logs}
	switch o.Levels {
	case "plain":
		coord.cfg.Degradation = config.Degradation{}
	case "off":
		coord.cfg.Degradation, coord.cfg.Admission = config.Degradation{}, "off"
	}
	coord.cfg.Solver.Enabled, coord.cfg.Recovery.Enabled = !o.NoSolver, !o.NoRecovery
	if main.reg != nil {
		main.reg.source(&coord.cfg)
	}
	main.coord = coord
	for i, g := range main.gateways {
		g.Polls = o.Front == "poll" || o.Front == "both" && i%2 == 1
	}
	spoiler(main, o.BreakRule)
	if err := coord.start(); err != nil {
		return res, err
	}
	defer coord.kill()
	for _, f := range fleets {
		if err := f.start(); err != nil {
			return res, err
		}
	}
	done := make(chan struct{})
	go progress(main, o.Progress, done)
	var all sync.WaitGroup
	for _, f := range fleets {
		all.Add(1)
		go func() { defer all.Done(); f.run() }()
	}
	all.Wait()
	close(done)
	end := main.world.Now()
	if coord.err != nil {
		return res, coord.err
	}
	for _, c := range s.Checks {
		if c.Name == "converged_s" {
			res.ConvergedSeconds = converged(main)
		}
	}
	res.Written = written(main)
	res.Rules = main.log.Evaluate(end)
	res.StopMilliseconds = float64(coord.end(syscall.SIGTERM).Microseconds()) / 1000
	res.CPU, res.PeakKiB = coord.cpu.Seconds(), coord.peak
	res.LevelChanges = levelChanges(logs.Name())
	cells, sum := main.tally.Sums()
	res.Requests, res.Service, res.Worst10s = sum.Requests, sum.Service(), main.tally.WorstService(10)
	res.PeakLoadRatio = main.log.PeakLoadRatio()
	res.By5s = main.tally.ServiceByWindow(5)
	if main.reg != nil {
		asked := main.reg.asked()
		res.Registry = &asked
	}
	for _, r := range main.log.Restarts() {
		one := Restart{At: r.Down.Seconds(), Down: (r.Up - r.Down).Seconds(), Service: main.tally.ServiceBetween(r.Down, r.Down+10*time.Second)}
		if r.FirstTable > 0 {
			one.FirstTable = (r.FirstTable - r.Up).Seconds()
		}
		if r.AllTables > 0 {
			one.AllTables = (r.AllTables - r.Up).Seconds()
		}
		res.Restarts = append(res.Restarts, one)
	}
	kinds := map[string]emulator.Sum{}
	for c, s := range cells {
		res.Cells[c.Class+"@"+c.Zone] = s.Service()
		kinds[c.Class] = kinds[c.Class].Add(s)
	}
	for k, s := range kinds {
		res.Classes[k] = s.Service()
	}
	orders, answers := main.log.DeliveryLatency(), main.tally.Latencies()
	res.DeliveryTime = Latency{float64(orders.ValueAtQuantile(50)) / 1000, float64(orders.ValueAtQuantile(99)) / 1000}
	res.ResponseTime = Latency{float64(answers.ValueAtQuantile(50)) / 1000, float64(answers.ValueAtQuantile(99)) / 1000}
	res.DocumentsRead, res.IncompleteReads = main.log.DocumentCounts()
	for _, f := range fleets[1:] {
		_, sum := f.tally.Sums()
		res.Baselines[string(f.mode)] = Baseline{sum.Service(), f.tally.WorstService(10), f.log.Evaluate(f.world.Now()), f.tally.ServiceByWindow(5)}
	}
	res.Checks = checks(s, res, cells)
	return res, nil
}

// levelChanges counts the records of changed levels in a coordinator's log, by scope.
func levelChanges(path string) (most int) {
	text, err := os.ReadFile(path)
	if err != nil {
		return 0
	}
	by := map[string]int{}
	for _, line := range strings.Split(string(text), "\n") {
		var r struct {
			Msg  string `json:"msg"`
			Zone string `json:"zone"`
		}
		if json.Unmarshal([]byte(line), &r) == nil && r.Msg == "service_level" {
			by[r.Zone]++
			most = max(most, by[r.Zone])
		}
	}
	return most
}

// converged is how many seconds after the last req every joined gateway holds what it was last given; 10 if it takes
// longer.
func converged(f *fleet) float64 {
	began := time.Now()
	for time.Since(began) < 10*time.Second {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		s, err := client.Status(ctx, f.address())
		cancel()
		all := err == nil && len(s.Gateways) == len(f.gateways)
		for _, g := range s.Gateways {
			all = all && g.Connected && g.Unacknowledged == 0
		}
		if all {
			return time.Since(began).Seconds()
		}
		time.Sleep(20 * time.Millisecond)
	}
	return 10
}

// scratch is where a drill's files stand: in memory if the machine has such a folder, as operators' tables do. A disk
// that others keep busy would be judged in place of the coordinator; --keep puts them elsewhere.
func scratch() string {
	const memory = "/dev/shm"
	if probe, err := os.MkdirTemp(memory, "porthub-probe-"); err == nil {
		_ = os.Remove(probe)
		return memory
	}
	return ""
}

// written asks the coordinator what it has written since its last start, and how long its steps took.
func written(f *fleet) (w Written) {
	res, err := (&http.Client{Timeout: 5 * time.Second}).Get("http://" + f.address() + "/tables")
	if err != nil {
		return w
	}
	defer res.Body.Close()
	var s daemon.Status
	if json.NewDecoder(res.Body).Decode(&s) != nil {
		return w
	}
	for _, g := range s.Gateways {
		w.Messages += g.Published
	}
	w.Files, w.Bytes, w.Polls, w.Steps = s.FileDelivery.Files, s.FileDelivery.Bytes, s.PollDelivery, s.StepTimes
	if s.Capture != nil {
		w.Capture = *s.Capture
	}
	return w
}

func checks(s Scenario, r Result, cells map[emulator.Cell]emulator.Sum) (out []CheckResult) {
	all := append([]Check{{Name: "partial_reads"}}, s.Checks...)
	for _, c := range all {
		o := CheckResult{Name: c.Name}
		switch kind, byKind := strings.CutPrefix(c.Name, "kind:"); {
		case byKind:
			var asked, got float64
			for cell, sum := range cells {
				if cell.Class == kind {
					asked, got = asked+sum.Demanded, got+sum.Earned
				}
			}
			o.Figure = got / max(asked, 1e-9)
		case c.Name == "service":
			o.Figure = r.Service
		case c.Name == "worst_10s":
			o.Figure = r.Worst10s
		case c.Name == "partial_reads":
			o.Figure = float64(r.IncompleteReads)
		case c.Name == "orders_p99_ms":
			o.Figure = r.DeliveryTime.P99
		case c.Name == "converged_s":
			o.Figure = r.ConvergedSeconds
		case c.Name == "stop_ms":
			o.Figure = r.StopMilliseconds
		case c.Name == "level_changes": // of the scope that changed most; no more than the settings allow
			o.Figure = float64(r.LevelChanges)
			set, _ := s.Config("", "127.0.0.1:0", 1).DegradationSettings()
			c.AtMost = float64(set.MaxChanges(policyapi.Microseconds(s.Seconds+10) * 1_000_000))
		case c.Name == "over_standing":
			b, has := r.Baselines[string(standingOnly)]
			if !has {
				continue
			}
			o.Figure = r.Service - b.Service
		}
		o.OK = o.Figure >= c.AtLeast && (c.AtMost == 0 && c.AtLeast > 0 || o.Figure <= c.AtMost)
		out = append(out, o)
	}
	return out
}

func progress(f *fleet, w io.Writer, done chan struct{}) {
	if w == nil {
		return
	}
	for {
		select {
		case <-done:
			fmt.Fprintln(w)
			return
		case <-time.After(time.Second):
		}
		now, up := f.world.Now(), 0
		for _, n := range f.nodes {
			if on, _ := n.Running(); on {
				up++
			}
		}
		var going []string
		for _, t := range f.s.Faults {
			if now >= duration(t.At) && now < duration(t.At+t.Duration) {
				going = append(going, t.Name)
			}
		}
		_, sum := f.tally.Sums()
		fmt.Fprintf(w, "\r%3.0f of %d s  %6d reqs  service %.3f  nodes up %d of %d  %-50s", now.Seconds(), f.s.Seconds, sum.Requests, sum.Service(),
			up, len(f.nodes), strings.Join(going, " "))
	}
}

// spoiler spoils one thing on the way so that the audit must find that rule broken.
func spoiler(f *fleet, rule string) {
	half := f.length() / 3
	switch rule {
	case audit.EmptyTable: // one gateway loses all lines of a kind on the way
		f.gateways[0].Corrupt = func(s *routing.Snapshot) {
			if f.world.Now() > half/2 {
				s.Clusters = append([]routing.Cluster(nil), s.Clusters...)
				s.Clusters[0].Endpoints = nil
			}
		}
	case audit.DuplicateEffect: // all gateways repeat whatever has failed
		for _, g := range f.gateways {
			g.AlwaysRetry = true
		}
	case audit.Drain: // one gateway keeps every line that it ever had
		had := map[string]map[string]routing.ClusterEndpoint{}
		f.gateways[0].Corrupt = func(s *routing.Snapshot) {
			s.Clusters = append([]routing.Cluster(nil), s.Clusters...)
			for i, c := range s.Clusters {
				if had[c.Class] == nil {
					had[c.Class] = map[string]routing.ClusterEndpoint{}
				}
				for _, l := range c.Endpoints {
					l.Withheld = false
					had[c.Class][string(l.Endpoint)] = l
				}
				kept := routing.Cluster{Class: c.Class}
				for _, l := range had[c.Class] {
					kept.Endpoints = append(kept.Endpoints, l)
				}
				kept.Sort()
				s.Clusters[i] = kept
			}
		}
	case audit.WarmUp: // all gateways send nearly everything to what has just come back
		for _, g := range f.gateways {
			g.Corrupt = func(s *routing.Snapshot) {
				s.Clusters = append([]routing.Cluster(nil), s.Clusters...)
				for i, c := range s.Clusters {
					c.Endpoints = append([]routing.ClusterEndpoint(nil), c.Endpoints...)
					for j, l := range c.Endpoints {
						for _, n := range f.nodes {
							if up, launched := n.Running(); n.Addr == string(l.Endpoint) && up && launched >= 0 {
								c.Endpoints[j].Weight = 1000
							}
						}
					}
					s.Clusters[i] = c
				}
			}
		}
	case audit.Queue: // somebody rewrites a gateway's file over and over, each time as a new message
		go func() {
			path := filepath.Join(f.dir, "tables", f.gateways[0].Name, "eds.json")
			for n := 100_000; f.world.Now() < f.length(); n++ {
				if f.world.Now() > half {
					if text, err := os.ReadFile(path); err == nil {
						epoch, _, _ := strings.Cut(between(string(text), `"version_info":"`, `"`), ".")
						next := replaceBetween(string(text), `"version_info":"`, `"`, fmt.Sprintf("%s.%d", epoch, n))
						if os.WriteFile(path+".spoilt", []byte(next), 0o644) == nil {
							_ = os.Rename(path+".spoilt", path)
						}
					}
				}
				time.Sleep(200 * time.Millisecond)
			}
		}()
	}
}

// span finds what stands between two marks; spaces after the first's colon are passed over.
func spanOf(text, from, to string) (int, int) {
	i := strings.Index(text, from)
	if i < 0 {
		loose := strings.Replace(from, `":"`, `": "`, 1)
		if i = strings.Index(text, loose); i < 0 {
			return 0, 0
		}
		from = loose
	}
	i += len(from)
	j := strings.Index(text[i:], to)
	if j < 0 {
		return 0, 0
	}
	return i, i + j
}

func between(text, from, to string) string {
	i, j := spanOf(text, from, to)
	return text[i:j]
}

func replaceBetween(text, from, to, with string) string {
	i, j := spanOf(text, from, to)
	return text[:i] + with + text[j:]
}
