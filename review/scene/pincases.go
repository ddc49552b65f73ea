//go:build review

package main

import "time"

// fileList writes the endpoint list's file with some of the backends, all of them started long ago, and returns its path.
func (d *deployment) fileList(backends ...*backend) string {
	var list []entry
	for _, b := range backends {
		list = append(list, entry{Targets: []string{b.addr}, Labels: map[string]string{"zone": b.zone, "launched": "1"}})
	}
	return d.writeJSON("nodes.json", list)
}

// pinFleet pins the fleet's tables to what is in force.
func (d *deployment) pinFleet() {
	need(d.run("bin/porthub tables pin --fleet --reason noon --addr "+d.addr) == 0, "the pin was not accepted")
}

// noteTables notes the tables and pins of the coordinator and what the gateways have.
func (d *deployment) noteTables() {
	d.run("bin/porthub tables list --addr " + d.addr)
	for _, g := range d.gateways {
		d.note("table of %s in %s: %s", g.name, g.zone, g.lines())
	}
}

// pinClassChange: while the fleet's tables are pinned, the coordinator is restarted with a configuration that keeps one class to the
// gateway's own zone.
func pinClassChange(s *scene) bool {
	d := newDeployment(s)
	registry := map[string]any{"file": map[string]any{"path": d.fileList(d.backends...), "poll": "500ms"}}
	if !s.trouble {
		d.ownZone = "save-sim" // from the start
	}
	d.configure(registry)
	d.startServe()
	d.startGateways(20)
	need(d.waitTables("", 20*time.Second), "the gateways have no tables")
	time.Sleep(6 * time.Second)
	d.pinFleet()
	time.Sleep(3 * time.Second)
	d.noteTables()
	if s.trouble {
		d.ownZone = "save-sim"
		d.configure(registry)
		d.note("new configuration: save-sim keeps to the gateway's own zone (own_zone)")
	}
	d.restart()
	time.Sleep(8 * time.Second)
	from := time.Now()
	time.Sleep(10 * time.Second)
	wrong := 0
	for _, b := range d.backends {
		all, foreign := b.ofClass("save-sim", from, time.Now())
		d.note("save-sim at %s in %s from 8 s to 18 s after the restart: %d, from gateways of other zones: %d", b.addr, b.zone, all, foreign)
		wrong += foreign
	}
	d.noteTables()
	return wrong == 0
}

// pinGrowth: the fleet grows from two endpoints to twelve after the coordinator's start; its tables are pinned then, and the
// coordinator is restarted.
func pinGrowth(s *scene) bool {
	d := newDeployment(s)
	for _, zone := range zones {
		d.backends = append(d.backends, newBackend(zone), newBackend(zone))
	}
	steps := []int{2, 6, 12}
	if !s.trouble {
		steps = []int{12, 12, 12}
	}
	path := d.fileList(d.backends[:steps[0]]...)
	d.configure(map[string]any{"file": map[string]any{"path": path, "poll": "500ms"}})
	d.startServe()
	d.startGateways(20)
	need(d.waitTables("", 20*time.Second), "the gateways have no tables")
	for _, n := range steps {
		d.fileList(d.backends[:n]...)
		d.note("the list names %d endpoints", n)
		time.Sleep(8 * time.Second)
	}
	d.pinFleet()
	time.Sleep(3 * time.Second)
	d.noteTables()
	pinned := d.served(8 * time.Second)
	need(pinned == len(d.backends), "only %d endpoints get requests under the pin, before the restart", pinned)
	d.restart()
	time.Sleep(8 * time.Second)
	after := d.served(12 * time.Second)
	d.noteTables()
	return after == pinned
}

// served returns the number of backends at which requests arrive during a time.
func (d *deployment) served(during time.Duration) (n int) {
	from := time.Now()
	time.Sleep(during)
	for _, b := range d.backends {
		requests := b.between(from, time.Now())
		d.note("requests at %s in %s in %.0f s: %d", b.addr, b.zone, during.Seconds(), requests)
		if requests > 0 {
			n++
		}
	}
	return n
}

// pinKill: the coordinator is killed half a second after it accepted an operator's pin.
func pinKill(s *scene) bool {
	d := newDeployment(s)
	d.configure(map[string]any{"file": map[string]any{"path": d.fileList(d.backends...), "poll": "500ms"}})
	d.startServe()
	d.startGateways(20)
	need(d.waitTables("", 20*time.Second), "the gateways have no tables")
	time.Sleep(5 * time.Second)
	need(d.run("bin/porthub tables pin --fleet --reason noon --addr "+d.addr) == 0, "the pin was not accepted")
	if s.trouble {
		time.Sleep(300 * time.Millisecond)
		d.note("SIGKILL to the coordinator")
		d.serve.kill()
		d.startServe()
	} else {
		time.Sleep(3 * time.Second)
		d.restart()
	}
	time.Sleep(3 * time.Second)
	code := d.run("bin/porthub tables list --addr " + d.addr + " | grep -c noon")
	return code == 0
}
