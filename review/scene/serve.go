//go:build review

package main

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"strconv"
	"time"

	"porthub/emulator/eureka"
)

var zones = []string{"hala-a", "hala-b", "hala-c"}

var classes = []string{"schedule", "capacity", "save-sim"}

// deployment is a small deployment of porthub serve: two backends and one gateway in each of three zones.
type deployment struct {
	*scene
	addr     string
	config   string
	serve    *process
	backends []*backend
	gateways []*gateway
	stop     context.CancelFunc
	// ownZone is the class that is kept to the gateway's zone; empty: none.
	ownZone string
	// limits is the section of that name; nil: as by default. descriptors is what the process may hold; 0: as this process may.
	limits      map[string]any
	descriptors int
}

// entry is a group of a file_sd list.
type entry struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// newDeployment writes the configuration and starts the backends. registry is the section of the endpoint list's sources.
func newDeployment(s *scene) *deployment {
	d := &deployment{scene: s, addr: freePort()}
	for _, zone := range zones {
		d.backends = append(d.backends, newBackend(zone), newBackend(zone))
	}
	return d
}

// configure writes the configuration with the sources of the endpoint list.
func (d *deployment) configure(registry map[string]any) {
	kinds := []map[string]any{
		{"name": "schedule", "repeat": "replayable", "response_target": "750ms", "client_timeout": "2.5s", "payoff": 1},
		{"name": "capacity", "repeat": "replayable", "response_target": "800ms", "client_timeout": "2.5s", "payoff": 1},
		{"name": "save-sim", "repeat": "non-replayable", "response_target": "750ms", "client_timeout": "2s", "payoff": 2},
	}
	for _, kind := range kinds {
		if kind["name"] == d.ownZone {
			kind["own_zone"] = true
		}
	}
	settings := map[string]any{
		"coordinator":   map[string]any{"zone": "hala-a", "index": 0, "instances": 1, "seed": 1},
		"listen":        d.addr,
		"state_dir":     filepath.Join(d.dir, "state"),
		"front":         map[string]any{"files": map[string]any{"dir": filepath.Join(d.dir, "tables"), "writers": 4}},
		"registry":      registry,
		"zones":         zones,
		"request_kinds": kinds,
		"gateways":      map[string]any{"expected": 3, "shun_after": 5, "silent_after": "5s"},
		"levels":        "rate",
	}
	if d.limits != nil {
		settings["limits"] = d.limits
	}
	d.config = d.writeJSON("porthub.json", settings)
	need(d.run("bin/porthub check -c "+d.config) == 0, "the configuration has faults")
}

// startServe starts the coordinator and waits until it listens.
func (d *deployment) startServe() {
	command := "exec bin/porthub serve -c " + d.config
	if d.descriptors > 0 {
		command = fmt.Sprintf("ulimit -n %d; %s", d.descriptors, command)
	}
	d.serve = d.start("serve", command)
	need(waitListening(d.addr, 10*time.Second), "the coordinator does not listen")
	d.note("the coordinator listens at %s", d.addr)
}

// startGateways starts one gateway in each zone.
func (d *deployment) startGateways(rate float64) {
	ctx, stop := context.WithCancel(context.Background())
	d.stop = stop
	for i, zone := range zones {
		g := &gateway{scene: d.scene, name: "gw-" + strconv.Itoa(i+1), zone: zone, coordinator: d.addr, tableDir: filepath.Join(d.dir, "tables"), classes: classes, rate: rate}
		d.gateways = append(d.gateways, g)
		go g.run(ctx)
	}
}

// waitTables waits until each gateway has joined and has tables, and at least one of them has a line for addr.
func (d *deployment) waitTables(addr string, within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready, named := 0, addr == ""
		for _, g := range d.gateways {
			g.mu.Lock()
			joined := g.joined
			g.mu.Unlock()
			if joined && len(g.current().Snapshot.Clusters) > 0 {
				ready++
			}
			named = named || g.has(addr)
		}
		if ready == len(d.gateways) && named {
			return true
		}
	}
	return false
}

// newRegistry returns a registry and its peer on loopback.
func newRegistry() (*eureka.Registry, *eureka.Peer) {
	r := eureka.New()
	peer, err := r.Listen()
	need(err == nil, "registry: %v", err)
	return r, peer
}

// register registers a backend that has been up for an hour.
func register(r *eureka.Registry, b *backend, status string) {
	host, port, _ := net.SplitHostPort(b.addr)
	number, _ := strconv.Atoi(port)
	r.Put(eureka.Instance{App: "CALC", ID: b.addr, IP: host, Port: number, Status: status, Metadata: map[string]string{"zone": b.zone}, UpSince: time.Now().Add(-time.Hour)})
}

// eurekaSource returns the configuration of a registry.
func eurekaSource(name string, peer *eureka.Peer) map[string]any {
	return map[string]any{"name": name, "addresses": []string{peer.Addr}, "app": "", "deltas": true, "poll": "5s", "timeout": "2s"}
}
