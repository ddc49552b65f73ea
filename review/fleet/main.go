//go:build review

// Command fleet plays a small deployment of the daemon on loopback addresses: a registry with Eureka's operations (the project's own
// stand-in), calc nodes, and gateways that read their tables as files, by the project's client library. It starts `porthub serve` as
// a process of its own and judges the rules from what gateways send.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	drainGrace = 3 * time.Second
	slack      = 300 * time.Millisecond
	poll       = time.Second
)

var (
	zones   = []string{"hala-a", "hala-b", "hala-c"}
	classes = []string{"schedule", "capacity", "save-sim"}
)

// fleet is the whole deployment.
type fleet struct {
	began    time.Time
	dir      string
	program  string
	listen   string
	tables   string
	nodes    []*node
	gateways []*gateway
	registry *registry

	mu      sync.Mutex
	record  *os.File
	broken  int
	traffic float64 // part of the usual traffic
	command *exec.Cmd
	ended   chan struct{}
}

func (f *fleet) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, _ = fmt.Fprintf(f.record, "%8.3f %s\n", time.Since(f.began).Seconds(), fmt.Sprintf(format, args...))
}

// breaks notes that the rule was broken; the first forty times in full.
func (f *fleet) breaks(format string, args ...any) {
	f.mu.Lock()
	f.broken++
	n := f.broken
	f.mu.Unlock()
	if n <= 40 {
		f.note("BROKEN "+format, args...)
	}
}

func main() {
	scenario := flag.String("scenario", "", "shrink or rollback")
	record := flag.String("record", "record.txt", "file to write the record to")
	root := flag.String("root", ".", "root of the repository")
	flag.Parse()
	os.Exit(run(*scenario, *record, *root, os.Getenv("TROUBLE") != "0"))
}

func run(name, record, root string, trouble bool) (code int) {
	play, has := scenarios[name]
	if !has {
		fmt.Fprintf(os.Stderr, "no scenario %q\n", name)
		return 2
	}
	f, err := newFleet(record, root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = os.RemoveAll(f.dir) }()
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		cancel()
		f.stop(syscall.SIGKILL)
		_ = os.RemoveAll(f.dir)
		os.Exit(2)
	}()
	f.note("scenario %s trouble=%v nodes=%d gateways=%d", name, trouble, len(f.nodes), len(f.gateways))
	err = f.start()
	for try := 0; err != nil && try < 3; try++ { // another process may have taken the address meanwhile
		if f.listen, err = freeAddress(); err == nil {
			err = f.writeConfig()
		}
		if err == nil {
			err = f.start()
		}
	}
	if err == nil {
		for _, g := range f.gateways {
			go g.run(ctx)
		}
		err = play(f, trouble)
	}
	cancel()
	f.stop(syscall.SIGTERM)
	for _, n := range f.nodes {
		n.stop()
		f.note("sent to %s: %d, answered: %d, sent too late: %d", n.id, n.sent, n.answered, n.late)
	}
	if err != nil {
		f.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if f.broken > 0 {
		f.note("RESULT broken %d times", f.broken)
		fmt.Printf("broken %d times\n", f.broken)
		return 1
	}
	f.note("RESULT held")
	fmt.Println("held")
	return 0
}

func newFleet(record, root string) (*fleet, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "fleet")
	if err != nil {
		return nil, err
	}
	program, err := filepath.Abs(filepath.Join(root, "bin", "porthub"))
	if err != nil {
		return nil, err
	}
	listen, err := freeAddress()
	if err != nil {
		return nil, err
	}
	f := &fleet{began: time.Now(), dir: dir, program: program, listen: listen, tables: filepath.Join(dir, "tables"), record: file, traffic: 1}
	if f.registry, err = newRegistry(f); err != nil {
		return nil, err
	}
	for i := range 18 {
		n, err := newNode(fmt.Sprintf("calc-%02d", i), zones[i%len(zones)])
		if err != nil {
			return nil, err
		}
		f.nodes = append(f.nodes, n)
		f.registry.put(n)
	}
	for i := range 15 {
		share := 6.0
		if i%5 == 0 {
			share = 16
		}
		f.gateways = append(f.gateways, newGateway(f, fmt.Sprintf("gw-%02d", i), zones[i%len(zones)], share))
	}
	return f, f.writeConfig()
}

// writeConfig writes the configuration: the example's figures, with the registry in place of the file.
func (f *fleet) writeConfig() error {
	kind := func(name, repeat, target, timeout string, payoff int) map[string]any {
		return map[string]any{"name": name, "repeat": repeat, "response_target": target, "client_timeout": timeout, "payoff": payoff}
	}
	text, err := json.MarshalIndent(map[string]any{
		"coordinator": map[string]any{"zone": "hala-a", "index": 0, "instances": 1, "seed": 1},
		"listen":      f.listen,
		"state_dir":   filepath.Join(f.dir, "state"),
		"log_level":   "info",
		"front":       map[string]any{"files": map[string]any{"dir": f.tables, "writers": 4, "sync": false}},
		"registry": map[string]any{"eureka": []any{map[string]any{"name": "eureka", "addresses": []string{f.registry.addr}, "deltas": true,
			"poll": poll.String(), "timeout": "2s", "zone_field": "zone", "weight_field": "weight", "pod_field": "pod", "machine_field": "machine"}}},
		"zones": zones,
		"request_kinds": []any{kind("schedule", "replayable", "750ms", "2.5s", 1), kind("capacity", "replayable", "800ms", "2.5s", 1),
			kind("save-sim", "non-replayable", "750ms", "2s", 2)},
		"rules": map[string]any{"empty_for": "5.3s", "drain_grace": drainGrace.String(), "cold": "17s", "cold_from": 0.16, "cold_multiple": 2.5, "cold_window": "2s",
			"gone_binds": true, "waiting_lines": 5900, "messages": 20, "messages_in": "10s"},
		"channel":  map[string]any{"lines_per_s": 5900, "envelope": 6, "transit": "312ms", "worst_transit": "780ms", "connections": 211},
		"reports":  map[string]any{"period": "1s", "lines_per_s": 200, "loads": []string{"util", "queue"}},
		"gateways": map[string]any{"expected": 15, "shun_after": 5, "silent_after": "5s"},
		"probes":   map[string]any{"allowed": true, "path": "/healthz", "timeout": "250ms"},
		"levels":   "rate",
		"solver":   map[string]any{"enabled": true},
	}, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(f.config(), text, 0o644)
}

func (f *fleet) config() string { return filepath.Join(f.dir, "porthub.json") }

// start starts the daemon and waits until it answers.
func (f *fleet) start() error {
	log, err := os.OpenFile(filepath.Join(f.dir, "porthub.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	command := exec.Command(f.program, "serve", "-c", f.config())
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(ended)
	}()
	f.mu.Lock()
	f.command, f.ended = command, ended
	f.mu.Unlock()
	f.note("porthub serve started pid=%d listen=%s", command.Process.Pid, f.listen)
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		select {
		case <-ended:
			text, _ := os.ReadFile(filepath.Join(f.dir, "porthub.log"))
			return fmt.Errorf("porthub serve ended: %s", text)
		default:
		}
		conn, err := net.DialTimeout("tcp", f.listen, time.Second)
		if err == nil {
			_ = conn.Close()
			return nil
		}
	}
	text, _ := os.ReadFile(filepath.Join(f.dir, "porthub.log"))
	return fmt.Errorf("porthub serve does not answer: %s", text)
}

// stop ends the daemon and waits for its end.
func (f *fleet) stop(signal syscall.Signal) {
	f.mu.Lock()
	command, ended := f.command, f.ended
	f.mu.Unlock()
	if command == nil {
		return
	}
	_ = command.Process.Signal(signal)
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		_ = command.Process.Kill()
		<-ended
	}
	f.note("porthub serve ended by %s", signal)
}

func (f *fleet) sleepUntil(seconds float64) {
	time.Sleep(time.Until(f.began.Add(time.Duration(seconds * float64(time.Second)))))
}

// porthub runs a command of the program and returns its output.
func (f *fleet) porthub(args ...string) (string, error) {
	out, err := exec.Command(f.program, args...).CombinedOutput()
	f.note("porthub %v: error=%v output=%q", args, err, out)
	return string(out), err
}

func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// fall lowers the traffic by a part of the usual one.
func (f *fleet) fall(part float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.traffic -= part
}

func (f *fleet) trafficNow() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.traffic
}
