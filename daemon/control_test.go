package daemon

import (
	"encoding/json"
	"net/http"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"porthub/capture"
	"porthub/coordinator"
	"porthub/membership"
	"porthub/policyapi"
	"porthub/xds"
)

// openCapture opens the daemon's capture at its beginning and closes it when the test ends.
func (r *testDaemon) openCapture() *capture.Reader {
	r.t.Helper()
	reader, err := capture.Open(filepath.Join(r.dir, "state", captureName))
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(reader.Close)
	return reader
}

// An operator's drain takes effect at once, survives a restart and ends with undrain. The capture records both commands and
// replays to the same decisions.
func TestDrainByOperator(t *testing.T) {
	r := startTestDaemon(t, nil)
	g := r.connectGateway("gw-1", "a")
	open := func(id policyapi.EndpointID) bool {
		g.sync(t, xds.ClassReport{Class: "view", Arrived: 1})
		return isOpen(g.state, id)
	}
	r.waitFor("tables with the endpoint", func() bool { return open("127.0.0.1:9001") })
	if a := r.post("/nodes/drain", EndpointRequest{Endpoint: "127.0.0.1:9001"}); a.Error == "" {
		t.Error("a drain without a reason succeeded, want an error")
	}
	if a := r.post("/nodes/drain", EndpointRequest{Endpoint: "127.0.0.1:9999", Reason: "x"}); a.Error == "" {
		t.Error("a drain of an unknown endpoint succeeded, want an error")
	}
	if a := r.post("/nodes/drain", EndpointRequest{Endpoint: "127.0.0.1:9001", Reason: "disk"}); a.Error != "" {
		t.Fatal(a.Error)
	}
	r.waitFor("tables without the endpoint", func() bool { return !open("127.0.0.1:9001") && open("127.0.0.1:9002") })
	r.waitFor("the drain in the snapshot", func() bool {
		s, err := ReadSnapshot(filepath.Join(r.dir, "state"))
		return err == nil && s.Drains["127.0.0.1:9001"] == "disk"
	})
	g.link.Close()
	r.stop()
	r.start(nil)
	g = r.connectGateway("gw-1", "a")
	r.waitFor("tables without the endpoint after the restart", func() bool { return !open("127.0.0.1:9001") && open("127.0.0.1:9002") })
	if i := slices.IndexFunc(r.endpointDecisions().Decisions, func(v membership.Decision) bool { return v.Endpoint == "127.0.0.1:9001" && v.StateName == "draining" }); i < 0 {
		t.Errorf("decisions after the restart are %+v, want 127.0.0.1:9001 draining", r.endpointDecisions())
	}
	if a := r.post("/nodes/undrain", EndpointRequest{Endpoint: "127.0.0.1:9001", Reason: "repaired"}); a.Error != "" {
		t.Fatal(a.Error)
	}
	r.waitFor("tables with the endpoint again", func() bool { return open("127.0.0.1:9001") })
	r.stop()
	r.stop = func() {}
	v, err := capture.Replay(r.openCapture(), Build(), nil)
	if err != nil || v.Mismatches > 0 || v.Starts != 2 || v.Orders < 5 || len(v.Gaps) > 0 {
		t.Errorf("replay: got %+v, error %v; want 2 starts, at least 5 orders, no mismatches and no gaps", v, err)
	}
	why, err := capture.Explain(r.openCapture(), "127.0.0.1:9001", 1<<62)
	if err != nil || !slices.ContainsFunc(why.Events, func(e capture.Event) bool { return e.Kind == "command" }) {
		t.Errorf("got explanation %+v, error %v; want an event of kind command", why, err)
	}
}

// However often it is requested, a new overview is made at most once a second. It lists the endpoints, the gateways and recent log
// entries.
func TestOverviewIsCached(t *testing.T) {
	r := startTestDaemon(t, nil)
	g := r.connectGateway("gw-1", "a")
	r.waitFor("a table", func() bool { g.sync(t); return g.state.EndpointVersion != "" })
	overview := func() coordinator.LoggedOverview {
		res, err := http.Get("http://" + r.daemon.Addr() + "/overview")
		if err != nil {
			t.Fatal(err)
		}
		defer res.Body.Close()
		var m coordinator.LoggedOverview
		if err := json.NewDecoder(res.Body).Decode(&m); err != nil {
			t.Fatal(err)
		}
		return m
	}
	r.waitFor("an overview with the gateway's lines", func() bool {
		m := overview()
		return len(m.Endpoints) == 3 && len(m.Gateways) == 1 && m.Gateways[0].OpenEndpoints > 0 && m.Endpoints[0].Senders == 1
	})
	began, seen := time.Now(), map[policyapi.Microseconds]bool{}
	for time.Since(began) < 500*time.Millisecond {
		seen[overview().Now] = true
	}
	if len(seen) > 2 {
		t.Errorf("got %d different overviews in half a second, want at most 2", len(seen))
	}
}
