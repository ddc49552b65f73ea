//go:build review

// Command platform plays the operators' platform on loopback addresses: discovery, backends, proxies and collectors, by the
// published protocol. It starts coordinators by the deploy file's run line and judges the rules from what proxies send and receive.
package main

import (
	"fmt"
	"net"
	"os"
	"sync"
	"time"
)

// Figures of the protocol page and of the settings that the coordinators are given.
const (
	countsAsTold = 6 * time.Second        // what discovery has to tell counts as told after this
	slack        = 300 * time.Millisecond // the limits of the rules are longer by this
	startSlack   = time.Second            // and begin no sooner than this after the coordinator first answered
	drainGrace   = 3 * time.Second
	emptyFor     = 5300 * time.Millisecond
	linesPerS    = 5900.0
	queueCap     = 5900.0
	envelope     = 6.0
	updateCap    = 20
	reloadSpan   = 10 * time.Second
	reportPeriod = time.Second
	coldFor      = 17 * time.Second
)

var (
	zones   = []string{"hala-a", "hala-b", "hala-c"}
	classes = []string{"schedule", "capacity", "save-sim"}
)

// world is what the parts of the platform share: the record and what has to be ended.
type world struct {
	began  time.Time
	mu     sync.Mutex
	record *os.File
	conns  []net.Conn
	broken []string
	rules  map[string]int
}

func newWorld(record string) (*world, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	return &world{began: time.Now(), record: file, rules: map[string]int{}}, nil
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// breaks notes that a rule was broken. The first twenty of each rule are noted in full.
func (w *world) breaks(rule, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.mu.Lock()
	w.rules[rule]++
	n := w.rules[rule]
	w.broken = append(w.broken, rule)
	w.mu.Unlock()
	if n <= 20 {
		w.note("BROKEN %s: %s", rule, text)
	}
}

func (w *world) own(conn net.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conns = append(w.conns, conn)
}
