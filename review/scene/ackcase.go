//go:build review

package main

import "time"

// emptyFor is rules.empty_for of the deployment.
const emptyFor = 5 * time.Second

// lostAcks: one gateway goes on reading its tables, reporting and sending, and its acknowledgements do not arrive.
func lostAcks(s *scene) bool {
	d := newDeployment(s)
	registry, peer := newRegistry()
	for _, b := range d.backends {
		register(registry, b, "UP")
	}
	d.configure(map[string]any{"file": map[string]any{"path": ""}, "eureka": []any{eurekaSource("eureka", peer)}})
	d.startServe()
	d.startGateways(20)
	need(d.waitTables("", 20*time.Second), "the gateways have no tables")
	time.Sleep(5 * time.Second)
	g := d.gateways[2]
	if s.trouble {
		d.note("from now on %s acknowledges nothing; it goes on reading, reporting and sending", g.name)
		g.setSilent(true)
	}
	sent, unsent := g.counted()
	longest, since := time.Duration(0), time.Time{}
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end) && longest <= emptyFor+2*time.Second; time.Sleep(20 * time.Millisecond) {
		empty := g.isJoined() && (g.open("schedule") == 0 || g.open("capacity") == 0 || g.open("save-sim") == 0)
		switch {
		case empty && since.IsZero():
			since = time.Now()
			d.note("table of %s (connected): %s", g.name, g.lines())
		case !empty && !since.IsZero():
			d.note("table of %s after %.1f s: %s", g.name, time.Since(since).Seconds(), g.lines())
			since = time.Time{}
		}
		if !since.IsZero() {
			longest = max(longest, time.Since(since))
		}
	}
	d.run("bin/porthub nodes --addr " + d.addr)
	d.run("bin/porthub tables --addr " + d.addr)
	sentAfter, unsentAfter := g.counted()
	d.note("requests at %s: %d sent to an endpoint, %d without a line to pick", g.name, sentAfter-sent, unsentAfter-unsent)
	d.note("longest time without a line to pick at %s: %.1f s; allowed: %.0f s", g.name, longest.Seconds(), emptyFor.Seconds())
	return longest <= emptyFor
}
