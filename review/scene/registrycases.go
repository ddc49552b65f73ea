//go:build review

package main

import (
	"net/http"
	"syscall"
	"time"

	"porthub/emulator/eureka"
)

// drainGrace is rules.drain_grace of the deployment, and slack what the check allows beyond it for delivery to the gateways' files
// and requests on their way.
const (
	drainGrace = 3 * time.Second
	slack      = time.Second
)

// restart ends the coordinator with SIGTERM, as for a planned restart, and starts it again.
func (d *deployment) restart() {
	d.note("SIGTERM to the coordinator: planned restart")
	d.serve.signal(syscall.SIGTERM)
	need(d.serve.ended(5*time.Second), "the coordinator does not end")
	d.startServe()
}

// countAfter observes a backend from the end of the drain grace period on and reports whether it got no request.
func (d *deployment) countAfter(b *backend, told time.Time, observe time.Duration) bool {
	from := told.Add(drainGrace + slack)
	to := from.Add(observe)
	time.Sleep(time.Until(to))
	n := b.between(from, to)
	d.note("requests that arrived at %s from %.0f s to %.0f s after it was drained: %d", b.addr, (drainGrace + slack).Seconds(), (drainGrace + slack + observe).Seconds(), n)
	for _, g := range d.gateways {
		d.note("table of %s: %s", g.name, g.lines())
	}
	return n == 0
}

// drainRegistryDown: the registry does not answer while the coordinator restarts, and an operator drains an endpoint meanwhile.
func drainRegistryDown(s *scene) bool {
	d := newDeployment(s)
	registry, peer := newRegistry()
	for _, b := range d.backends {
		register(registry, b, "UP")
	}
	d.configure(map[string]any{"file": map[string]any{"path": ""}, "eureka": []any{eurekaSource("eureka", peer)}})
	d.startServe()
	d.startGateways(20)
	target := d.backends[0]
	need(d.waitTables(target.addr, 20*time.Second), "the gateways have no tables")
	time.Sleep(3 * time.Second)
	if s.trouble {
		d.note("from now on the registry responds with 503")
		peer.SetFaults(eureka.Faults{ErrorStatus: http.StatusServiceUnavailable})
	}
	d.restart()
	need(d.waitTables(target.addr, 20*time.Second), "the gateways do not join again")
	time.Sleep(4 * time.Second)
	before := target.between(time.Now().Add(-2*time.Second), time.Now())
	d.note("requests that arrived at %s in the last 2 s before the drain: %d", target.addr, before)
	need(d.run("bin/porthub drain "+target.addr+" --reason disk --addr "+d.addr) == 0, "the drain was not accepted")
	told := time.Now()
	held := d.countAfter(target, told, 10*time.Second)
	d.run("bin/porthub nodes --addr " + d.addr)
	return held
}

// secondSource: one of two sources does not answer while the coordinator restarts; it had an endpoint out of service.
func secondSource(s *scene) bool {
	d := newDeployment(s)
	registry, peer := newRegistry()
	target := d.backends[0]
	var list []entry
	for _, b := range d.backends {
		register(registry, b, "UP")
		list = append(list, entry{Targets: []string{b.addr}, Labels: map[string]string{"zone": b.zone}})
	}
	d.configure(map[string]any{"file": map[string]any{"path": d.writeJSON("nodes.json", list), "poll": "500ms"}, "eureka": []any{eurekaSource("eureka", peer)}})
	d.startServe()
	d.startGateways(20)
	need(d.waitTables(target.addr, 20*time.Second), "the gateways have no tables")
	time.Sleep(2 * time.Second)
	register(registry, target, "OUT_OF_SERVICE")
	told := time.Now().Add(6 * time.Second) // polled each 5 to 5.5 s
	d.note("%s is OUT_OF_SERVICE at the registry", target.addr)
	time.Sleep(time.Until(told.Add(drainGrace + slack)))
	d.run("bin/porthub nodes --addr " + d.addr)
	settled := time.Now()
	time.Sleep(2 * time.Second)
	need(target.between(settled, time.Now()) == 0, "the endpoint was not drained before the restart")
	if s.trouble {
		d.note("from now on the registry responds with 503")
		peer.SetFaults(eureka.Faults{ErrorStatus: http.StatusServiceUnavailable})
		time.Sleep(5 * time.Second)
		n := target.between(settled, time.Now())
		d.note("requests at %s while the registry fails, before the restart: %d", target.addr, n)
	}
	d.restart()
	from := time.Now().Add(drainGrace + slack) // no sooner than if the coordinator had been told of the drain once more
	time.Sleep(time.Until(from.Add(10 * time.Second)))
	n := target.between(from, time.Now())
	d.note("requests that arrived at %s from %.0f s to %.0f s after the restart: %d", target.addr, (drainGrace + slack).Seconds(), (drainGrace+slack).Seconds()+10, n)
	d.run("bin/porthub nodes --addr " + d.addr)
	return n == 0
}
