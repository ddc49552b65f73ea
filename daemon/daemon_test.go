package daemon

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"porthub/config"
	"porthub/coordinator"
	eurekaemulator "porthub/emulator/eureka"
	"porthub/policyapi"
	"porthub/xds"
)

// A gateway connects, reads its files, acknowledges them, reports load, and gets tables without an endpoint that is draining.
// Nothing is written while nothing changes, and the gateway is disconnected when its connection ends.
func TestListToAcknowledgementAndDrain(t *testing.T) {
	r := startTestDaemon(t, nil)
	g := r.connectGateway("gw-1", "a")
	r.waitFor("tables that the gateway has acknowledged", func() bool {
		g.sync(t, xds.ClassReport{Class: "view", Arrived: 3, Endpoints: []xds.EndpointReport{
			{Address: "127.0.0.1:9001", Zone: "a", Attempts: 3, MeanLatency: 150 * time.Millisecond, Metrics: map[string]float64{"util": 0.4}, MetricSamples: 3}}})
		s := r.status("gw-1")
		return g.state.Snapshot.OpenEndpoints("view") >= 2 && g.state.Snapshot.OpenEndpoints("save") >= 2 && s.Unacknowledged == 0 && s.Confirmed[0] == g.state.EndpointVersion
	})
	r.write("nodes.json", strings.Replace(threeEndpoints, `"127.0.0.1:9001", `, "", 1)[:1]+
		`{"targets": ["127.0.0.1:9001"], "labels": {"zone": "a", "status": "draining"}},`+strings.Replace(threeEndpoints, `"127.0.0.1:9001", `, "", 1)[1:])
	r.waitFor("tables without the drained endpoint", func() bool {
		g.sync(t, xds.ClassReport{Class: "view", Arrived: 1})
		for _, c := range g.state.Snapshot.Clusters {
			for _, l := range c.Endpoints {
				if l.Endpoint == "127.0.0.1:9001" && !l.Withheld {
					return false
				}
			}
		}
		return true
	})
	before := r.daemon.FileStats()
	for range 8 {
		g.sync(t, xds.ClassReport{Class: "view", Arrived: 1})
		time.Sleep(20 * time.Millisecond)
	}
	if after := r.daemon.FileStats(); after.Files > before.Files+4 {
		t.Errorf("%d files were written while nothing changed, want at most 4", after.Files-before.Files)
	}
	if err := g.link.Join(context.Background(), g.state); err != nil {
		t.Error(err)
	}
	g.link.Close()
	r.waitFor("the gateway to be disconnected after its connection ended", func() bool { return !r.status("gw-1").Connected })
}

// The inputs of a scenario that ran through the daemon, with real files and connections on loopback, give the same orders, one by
// one, when they are passed to a core that is used as a library, without the daemon.
func TestSameOrdersThroughLibraryAndDaemon(t *testing.T) {
	clock := &manualClock{now: 1_000_000_000_000, waiters: map[chan time.Time]policyapi.Microseconds{}}
	r := startTestDaemon(t, clock)
	first := clock.Now()
	count := func() int { r.mu.Lock(); defer r.mu.Unlock(); return len(r.steps) }
	r.waitFor("the endpoint list", func() bool { return len(r.endpoints()) == 3 })
	a, b := r.connectGateway("gw-1", "a"), r.connectGateway("gw-2", "b")
	for round := range 12 {
		steps := count()
		clock.advanceTo(first + policyapi.Microseconds(round+1)*250_000)
		r.waitFor("a step", func() bool { return count() > steps })
		time.Sleep(15 * time.Millisecond) // for the files
		load := map[string]float64{"util": 0.5, "queue": 1}
		if round == 6 {
			r.write("nodes.json", strings.Replace(threeEndpoints, `"127.0.0.1:9001", `, "", 1))
		}
		for i, g := range []*testGateway{a, b} {
			g.sync(t, xds.ClassReport{Class: "view", Arrived: 10 + round + i, Endpoints: []xds.EndpointReport{
				{Address: "127.0.0.1:9002", Zone: "a", Attempts: 5, Failures: round % 2, MeanLatency: 160 * time.Millisecond, Metrics: load, MetricSamples: 5},
				{Address: "127.0.0.1:9003", Zone: "b", Attempts: 6, MeanLatency: 170 * time.Millisecond, Metrics: load, MetricSamples: 6}}})
		}
	}
	r.stop()
	r.stop = func() {}
	core := coordinator.New(coordinator.Settings{Start: r.config.Start(), Epoch: "library", SilenceTimeout: policyapi.Microseconds(r.config.Gateways.SilenceTimeout), SolverEnabled: true})
	orders, tables := 0, 0
	for i, s := range r.steps {
		// A version begins with the epoch of its start: the acknowledgement must name the version of this core.
		inputs := make([]coordinator.Input, len(s.inputs))
		for j, in := range s.inputs {
			if ack, is := in.(coordinator.DocumentAck); is {
				ack.Version = "library" + ack.Version[max(0, strings.LastIndex(ack.Version, ".")):]
				in = ack
			}
			inputs[j] = in
		}
		core.Step(s.now, inputs)
		if len(s.orders) != len(core.Orders()) {
			t.Fatalf("step %d at %d: got orders %v from the daemon, want %v as from the library", i, s.now, s.orders, core.Orders())
		}
		for j, o := range core.Orders() {
			if !reflect.DeepEqual(o, s.orders[j]) {
				t.Fatalf("step %d, order %d: got %#v from the daemon, want %#v as from the library", i, j, s.orders[j], o)
			}
			orders++
			if _, is := o.(policyapi.SetWeight); is {
				tables++
			}
		}
	}
	if orders < 30 || tables < 6 {
		t.Errorf("the scenario gave %d orders, %d of them weights; want at least 30 and 6", orders, tables)
	}
}

// A restarted coordinator uses the saved endpoint list at once, even if the list's file is gone. The gateway keeps its files
// meanwhile and then gets tables of the new start. An unfinished file that a killed writer left is removed.
func TestRestartServesTheSavedList(t *testing.T) {
	r := startTestDaemon(t, nil)
	g := r.connectGateway("gw-1", "a")
	r.waitFor("tables", func() bool {
		g.sync(t)
		return g.state.Snapshot.OpenEndpoints("view") == 3 || g.state.Snapshot.OpenEndpoints("view") == 2
	})
	r.waitFor("the saved endpoint list", func() bool { _, err := os.Stat(filepath.Join(r.dir, "state", listName)); return err == nil })
	old := g.state.EndpointVersion
	g.link.Close()
	r.stop()
	if err := os.Remove(filepath.Join(r.dir, "nodes.json")); err != nil {
		t.Fatal(err)
	}
	leftover := filepath.Join(r.dir, "tables", "gw-1", ".eds.json123456")
	if err := os.WriteFile(leftover, []byte(`{"version_info": "ha`), 0o600); err != nil {
		t.Fatal(err)
	}
	r.start(nil)
	if _, err := os.Stat(leftover); !os.IsNotExist(err) {
		t.Errorf("the unfinished file of a killed writer was not removed: %v", err)
	}
	r.waitFor("the endpoint list of the last start", func() bool { return len(r.endpoints()) == 3 })
	again := r.connectGateway("gw-1", "a")
	r.waitFor("tables of this start", func() bool {
		again.sync(t)
		return again.state.EndpointVersion != old && again.state.Snapshot.OpenEndpoints("view") > 0 && again.state.Rejected == 0
	})
}

// A snapshot that is damaged, truncated or of another format is ignored, and reading it returns ErrInvalidSnapshot. The saved
// list alone is enough to start.
func TestUnreadableSnapshotIsIgnored(t *testing.T) {
	for name, damage := range map[string]func([]byte) []byte{
		"truncated":      func(b []byte) []byte { return b[:10] },
		"flipped bit":    func(b []byte) []byte { b[len(b)-3] ^= 4; return b },
		"another format": func(b []byte) []byte { b[len(snapshotMagic)]++; return b },
		"empty":          func([]byte) []byte { return nil },
	} {
		t.Run(name, func(t *testing.T) {
			r := startTestDaemon(t, nil)
			g := r.connectGateway("gw-1", "a")
			path := filepath.Join(r.dir, "state", snapshotName)
			r.waitFor("a snapshot", func() bool {
				g.sync(t)
				_, err := os.Stat(path)
				return err == nil && g.state.Snapshot.OpenEndpoints("view") > 0
			})
			g.link.Close()
			r.stop()
			text, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(path, damage(text), 0o644); err != nil {
				t.Fatal(err)
			}
			if _, err := ReadSnapshot(filepath.Join(r.dir, "state")); !errors.Is(err, ErrInvalidSnapshot) {
				t.Errorf("ReadSnapshot: %v, want ErrInvalidSnapshot", err)
			}
			r.start(nil)
			again := r.connectGateway("gw-1", "a")
			r.waitFor("tables after the restart", func() bool { again.sync(t); return again.state.Snapshot.OpenEndpoints("view") > 0 })
		})
	}
}

// With a registry in place of the endpoint list's file, endpoints are listed and drained as the registry reports, and the
// coordinator registers itself.
func TestRegistryWithoutAFile(t *testing.T) {
	reg := eurekaemulator.New()
	peer, err := reg.Listen()
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	put := func(id string, port int, status string) {
		reg.Put(eurekaemulator.Instance{App: "CALC", ID: id, IP: "127.0.0.1", Port: port, Status: status, Metadata: map[string]string{"zone": "a"}})
	}
	put("c-1", 9001, "UP")
	put("c-2", 9002, "UP")
	r := startTestDaemon(t, nil, func(c *config.Config) {
		c.Registry.File.Path = ""
		c.Registry.Eureka = []config.EurekaRegistry{{Name: "eureka", Addresses: []string{peer.Addr}, Deltas: true, PollInterval: 30_000, Zone: "a",
			Registration: config.Registration{App: "porthub", ID: "p-0", IP: "127.0.0.1", Port: 7070}}}
	})
	g := r.connectGateway("gw-1", "a")
	r.waitFor("tables with both endpoints", func() bool { g.sync(t); return g.state.Snapshot.OpenEndpoints("view") == 2 })
	put("c-2", 9002, "OUT_OF_SERVICE")
	r.waitFor("tables with one endpoint", func() bool { g.sync(t); return g.state.Snapshot.OpenEndpoints("view") == 1 })
	r.waitFor("the coordinator's own registration", func() bool { return reg.Has("PORTHUB", "p-0") })
	if s := r.endpointDecisions().Registries["eureka"]; s.Requests == 0 || s.Snapshots == 0 {
		t.Errorf("registry statistics are %+v, want at least one request and one snapshot", s)
	}
}
