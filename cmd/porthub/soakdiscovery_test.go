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

// soakDiscovery is a stand-in for discovery: a list with versions, whole or as a watch with a line for each change. It can fall silent.
type soakDiscovery struct {
	mu      sync.Mutex // guards all below
	version int
	hosts   []string // in the order of listing
	health  map[string]string
	changed map[string]int // the version of a host's last change
	silent  bool
}

// listLine is a line of the list, as discovery writes it.
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

// listen serves at a new address until the test ends.
func (d *soakDiscovery) listen(t *testing.T) string {
	s := httptest.NewServer(http.HandlerFunc(d.serve))
	t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return strings.TrimPrefix(s.URL, "http://")
}

// setHealth changes a host.
func (d *soakDiscovery) setHealth(host, health string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	d.health[host] = health
	d.changed[host] = d.version
}

// setSilent makes the watches send nothing, or go on.
func (d *soakDiscovery) setSilent(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = on
}

// changesSince returns a line with what has changed after a version, and whether lines are sent now.
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
