package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// soakDiscovery emulates the discovery service: it serves a versioned list of hosts, either as a snapshot or as a watch that sends a line
// after each change. Its watches can be made to send nothing.
type soakDiscovery struct {
	mu      sync.Mutex // guards the fields below
	version int
	hosts   []string          // in the order of listing
	health  map[string]string // by host
	changed map[string]int    // version of the last change of each host
	silent  bool              // whether the watches send nothing
}

// listLine is a snapshot of the list, or a line of a watch, in the form that discovery sends.
type listLine struct {
	Version int         `json:"seq"`
	Whole   bool        `json:"whole"`
	Hosts   []listEntry `json:"hosts"`
}

type listEntry struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Zone   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMS int     `json:"born_ms"`
}

func newSoakDiscovery(hosts int) *soakDiscovery {
	d := &soakDiscovery{version: 7, health: map[string]string{}, changed: map[string]int{}}
	for i := range hosts {
		d.hosts = append(d.hosts, fmt.Sprintf("s-%d", i))
		d.health[d.hosts[i]] = "Ready"
	}
	return d
}

// listen serves the list at a new address until the test ends, and returns the address.
func (d *soakDiscovery) listen(t *testing.T) string {
	s := httptest.NewServer(http.HandlerFunc(d.serve))
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return strings.TrimPrefix(s.URL, "http://")
}

// setHealth sets the health of a host, as a new version of the list.
func (d *soakDiscovery) setHealth(host, health string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	d.health[host] = health
	d.changed[host] = d.version
}

// setSilent sets whether the watches send nothing, not even heartbeats.
func (d *soakDiscovery) setSilent(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = on
}

// changesSince returns the hosts that have changed after a version, or all hosts, and whether the watches are to send nothing.
func (d *soakDiscovery) changesSince(version int, whole bool) (line listLine, silent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	line = listLine{Version: d.version, Whole: whole, Hosts: []listEntry{}}
	for _, host := range d.hosts {
		if whole || d.changed[host] > version {
			line.Hosts = append(line.Hosts, listEntry{host, "127.0.0.1:1", "a", "m", 1, d.health[host], 1, 0})
		}
	}
	return line, d.silent
}

func (d *soakDiscovery) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("watch") == "" {
		line, _ := d.changesSince(0, true)
		_ = json.NewEncoder(w).Encode(line)
		return
	}
	version, _ := strconv.Atoi(r.URL.Query().Get("from"))
	heartbeat := time.Now()
	for first := true; r.Context().Err() == nil; first = false {
		line, silent := d.changesSince(version, false)
		if !silent && (first || line.Version > version) {
			_ = json.NewEncoder(w).Encode(line)
			version = line.Version
			heartbeat = time.Now()
		} else if !silent && time.Since(heartbeat) > time.Second {
			_, _ = w.Write([]byte("\n"))
			heartbeat = time.Now()
		}
		w.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
		case <-time.After(20 * time.Millisecond):
		}
	}
}
