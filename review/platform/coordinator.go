//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// coordinator is one real coordinator, started by the deploy file's run line.
type coordinator struct {
	w         *world
	d         *discovery
	name      string
	index     int
	of        int
	proxies   int
	addr      string
	discovery string
	dir       string
	run       string
	channel   *channel

	mu        sync.Mutex
	command   *exec.Cmd
	ended     chan struct{}
	answered  time.Time // when it first answered after its start; zero while it does not
	stopping  bool
	exitState string
}

// runLine returns the run line of the deploy file.
func runLine(root string) (string, error) {
	file, err := os.Open(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	defer func() { _ = file.Close() }()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if rest, is := strings.CutPrefix(lines.Text(), "run = "); is {
			return strings.Trim(rest, `"`), nil
		}
	}
	return "", fmt.Errorf("deploy/balancer.toml has no run line")
}

func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

func newCoordinator(w *world, d *discovery, index, of, proxies int, dir, run string) (*coordinator, error) {
	addr, err := freeAddress()
	if err != nil {
		return nil, err
	}
	c := &coordinator{w: w, d: d, name: fmt.Sprintf("n%d", index), index: index, of: of, proxies: proxies, addr: addr, dir: dir, run: run}
	c.channel = newChannel(w, c.name)
	return c, c.listenDiscovery()
}

// listenDiscovery gives the coordinator an address of discovery of its own.
func (c *coordinator) listenDiscovery() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	c.discovery = listener.Addr().String()
	go c.d.serve(c.name, listener)
	return nil
}

func (c *coordinator) configFile() string { return filepath.Join(c.dir, c.name+".json") }

func (c *coordinator) settings() map[string]any {
	profile := func(name, effect string, slo, limit int, points, late float64) map[string]any {
		return map[string]any{"dedupWindow": 5000000, "effect": effect, "hardLimit": limit, "keyScope": "all", "lateWorth": late,
			"name": name, "points": points, "slo": slo}
	}
	return map[string]any{
		"az":            zones[c.index%len(zones)],
		"caps":          map[string]any{"connIdle": 15000000, "connectTimeout": 250000, "cpuUsPerS": 400000, "peers": false, "probes": true, "streamsPerConn": 100},
		"discovery":     "ask",
		"instances":     c.of,
		"me":            c.index,
		"localities":    zones,
		"shapes":        []string{"std-2c"},
		"resolution":    4000,
		"weights":       "rough",
		"valueBy":       "request",
		"loadInfo":      map[string]any{"fields": []string{"busy", "q"}, "source": "inline"},
		"scoringMix":    map[string]any{"whole": 0.5, "worstClass": 0.1, "worstTenant": 0.0, "worstWindow": 0.4},
		"guarantees":    map[string]any{"askWithin": 10000000, "cold": coldFor.Microseconds(), "coldFrom": 0.16, "drainGrace": drainGrace.Microseconds(), "fall": 2000000, "tipMultiple": 2.5},
		"kindOfService": "control",
		"domain": map[string]any{"baseMode": 0, "byZone": true, "classOwnZone": []bool{false, false, false}, "dataPlaneSize": c.proxies, "emptyFor": emptyFor.Microseconds(),
			"envelope": envelope, "firstWait": 1.2, "hold": 300000, "inFlightMax": 2020000, "ingestRate": 200.0, "levelKind": "rate", "linesPerS": linesPerS,
			"mutating": []bool{false, false, true}, "outlierAfter": 5, "partitionsN": 0, "period": reportPeriod.Microseconds(), "pick": "round", "pushPrice": 0.04,
			"queueCap": queueCap, "reloadSpan": reloadSpan.Microseconds(), "shiftFee": 0.01, "socketsMin": 211.0, "soleOwner": false, "standing": 6, "tenure": 2500000,
			"transit": 312000, "updateCap": updateCap, "warmKeys": true, "worstTransit": 780000},
		"profiles": []any{profile("schedule", "repeatable", 750000, 2500000, 1, 0.1), profile("capacity", "repeatable", 800000, 2500000, 1, 0.2),
			profile("save-sim", "once", 750000, 2000000, 2, 0.2)},
	}
}

// writeConfig writes the configuration file, with a list of backends as the coordinator last had it.
func (c *coordinator) writeConfig(known hostList, seed string) error {
	text, err := json.MarshalIndent(map[string]any{
		"name": c.name, "listen": c.addr, "discovery": c.discovery, "seed": seed,
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 256},
		"known":    known,
		"settings": c.settings(),
	}, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(c.configFile()+".new", text, 0o644); err != nil {
		return err
	}
	return os.Rename(c.configFile()+".new", c.configFile())
}

// start starts the process and waits until it answers PING.
func (c *coordinator) start() error {
	logFile, err := os.OpenFile(filepath.Join(c.dir, c.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	command := exec.Command("/bin/sh", "-c", c.run)
	command.Env = append(os.Environ(), "NODE_NAME="+c.name, "NODE_LISTEN="+c.addr, "NODE_DISCOVERY="+c.discovery, "NODE_CONFIG="+c.configFile(), "TMPDIR="+c.dir)
	command.Stdout, command.Stderr = logFile, logFile
	if err := command.Start(); err != nil {
		return err
	}
	c.channel.reset()
	ended := make(chan struct{})
	c.mu.Lock()
	c.command, c.ended, c.stopping, c.answered = command, ended, false, time.Time{}
	c.mu.Unlock()
	c.w.note("coordinator %s started pid=%d listen=%s discovery=%s", c.name, command.Process.Pid, c.addr, c.discovery)
	go func() {
		err := command.Wait()
		_ = logFile.Close()
		c.mu.Lock()
		stopping, answered := c.stopping, !c.answered.IsZero()
		c.answered = time.Time{}
		c.mu.Unlock()
		c.w.note("coordinator %s ended: %v", c.name, err)
		if !stopping && answered {
			c.w.breaks("crash", "coordinator %s ended by itself: %v", c.name, err)
		}
		close(ended)
	}()
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		select {
		case <-ended:
			return fmt.Errorf("%s ended before it answered", c.name)
		default:
		}
		if c.ping() {
			c.mu.Lock()
			c.answered = time.Now()
			c.mu.Unlock()
			c.w.note("coordinator %s answered", c.name)
			return nil
		}
	}
	return fmt.Errorf("%s did not answer", c.name)
}

func (c *coordinator) ping() bool {
	conn, err := net.DialTimeout("tcp", c.addr, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := conn.Write(respMessage("PING")); err != nil {
		return false
	}
	words, err := readResp(bufio.NewReader(conn))
	return err == nil && len(words) == 1 && words[0] == "PONG"
}

// answeredAt returns when the coordinator first answered, or false if it does not.
func (c *coordinator) answeredAt() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answered, !c.answered.IsZero()
}

func (c *coordinator) signal(s syscall.Signal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.command != nil && c.command.Process != nil {
		_ = c.command.Process.Signal(s)
	}
}

// stop ends the process: by SIGTERM and then SIGKILL, or by SIGKILL alone.
func (c *coordinator) stop(kill bool) {
	c.mu.Lock()
	ended := c.ended
	c.stopping = true
	c.answered = time.Time{}
	c.mu.Unlock()
	if ended == nil {
		return
	}
	if !kill {
		c.signal(syscall.SIGTERM)
		select {
		case <-ended:
			return
		case <-time.After(time.Second):
		}
	}
	c.signal(syscall.SIGKILL)
	<-ended
}
