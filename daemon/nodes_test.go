package daemon

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"porthub/capture"
	"porthub/config"
	standin "porthub/emulator/eureka"
	"porthub/membership"
	"porthub/policyapi"
	"porthub/xds"
)

func (r *rig) post(path string, body any) (answer EndpointAnswer) {
	r.t.Helper()
	text, _ := json.Marshal(body)
	res, err := http.Post("http://"+r.d.Addr()+path, "application/json", bytes.NewReader(text))
	if err != nil {
		r.t.Fatal(err)
	}
	defer res.Body.Close()
	if err := json.NewDecoder(res.Body).Decode(&answer); err != nil {
		r.t.Fatal(err)
	}
	return answer
}

func (r *rig) verdicts() (n Endpoints) {
	r.t.Helper()
	res, err := http.Get("http://" + r.d.Addr() + "/nodes")
	if err != nil {
		r.t.Fatal(err)
	}
	defer res.Body.Close()
	if err := json.NewDecoder(res.Body).Decode(&n); err != nil {
		r.t.Fatal(err)
	}
	return n
}

// An operator's drain takes a node out at once, over a restart too, is in the capture, which replays, and ends with undrain.
func TestOperatorsDrain(t *testing.T) {
	r := newRig(t, nil)
	g := r.gateway("gw-1", "a")
	open := func(b policyapi.EndpointID) bool {
		g.turn(t, xds.ClassReport{Class: "view", Arrived: 1})
		for _, c := range g.held.Snapshot.Clusters {
			for _, l := range c.Endpoints {
				if l.Endpoint == b && !l.Withheld {
					return true
				}
			}
		}
		return false
	}
	r.until("lines", func() bool { return open("127.0.0.1:9001") })
	if a := r.post("/nodes/drain", EndpointRequest{Endpoint: "127.0.0.1:9001"}); a.Error == "" {
		t.Error("a drain without a reason")
	}
	if a := r.post("/nodes/drain", EndpointRequest{Endpoint: "127.0.0.1:9999", Reason: "x"}); a.Error == "" {
		t.Error("a node that nobody names")
	}
	if a := r.post("/nodes/drain", EndpointRequest{Endpoint: "127.0.0.1:9001", Reason: "disk"}); a.Error != "" {
		t.Fatal(a.Error)
	}
	r.until("the node out", func() bool { return !open("127.0.0.1:9001") && open("127.0.0.1:9002") })
	r.until("the drain kept", func() bool {
		s, err := ReadSnapshot(filepath.Join(r.dir, "state"))
		return err == nil && s.Drains["127.0.0.1:9001"] == "disk"
	})
	g.link.Close()
	r.stop()
	r.start(nil)
	g = r.gateway("gw-1", "a")
	r.until("tables without it", func() bool { return !open("127.0.0.1:9001") && open("127.0.0.1:9002") })
	if i := slices.IndexFunc(r.verdicts().Decisions, func(v membership.Decision) bool { return v.Endpoint == "127.0.0.1:9001" && v.StateName == "draining" }); i < 0 {
		t.Errorf("%+v", r.verdicts())
	}
	if a := r.post("/nodes/undrain", EndpointRequest{Endpoint: "127.0.0.1:9001", Reason: "mended"}); a.Error != "" {
		t.Fatal(a.Error)
	}
	r.until("the node back", func() bool { return open("127.0.0.1:9001") })
	r.stop()
	r.stop = func() {}
	c, err := capture.Open(filepath.Join(r.dir, "state", captureName))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	v, err := capture.Replay(c, Build(), nil)
	if err != nil || v.Mismatches > 0 || v.Starts != 2 || v.Orders < 5 || len(v.Gaps) > 0 {
		t.Errorf("%+v, %v", v, err)
	}
	x, err := capture.Open(filepath.Join(r.dir, "state", captureName))
	if err != nil {
		t.Fatal(err)
	}
	defer x.Close()
	why, err := capture.Explain(x, "127.0.0.1:9001", 1<<62)
	if err != nil || !slices.ContainsFunc(why.Events, func(e capture.Event) bool { return e.Kind == "command" }) {
		t.Errorf("the operator's word is not in the chain: %+v, %v", why, err)
	}
}

// A registry in place of the file: nodes come and drain by it, and the coordinator registers itself.
func TestRegistryInPlaceOfTheFile(t *testing.T) {
	reg := standin.New()
	peer, err := reg.Listen()
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	put := func(id string, port int, status string) {
		reg.Put(standin.Instance{App: "CALC", ID: id, IP: "127.0.0.1", Port: port, Status: status, Metadata: map[string]string{"zone": "a"}})
	}
	put("c-1", 9001, "UP")
	put("c-2", 9002, "UP")
	r := newRig(t, nil, func(c *config.Config) {
		c.Registry.File.Path = ""
		c.Registry.Eureka = []config.EurekaRegistry{{Name: "eureka", Addresses: []string{peer.Addr}, Deltas: true, PollInterval: 30_000, Zone: "a",
			Registration: config.Registration{App: "porthub", ID: "p-0", IP: "127.0.0.1", Port: 7070}}}
	})
	g := r.gateway("gw-1", "a")
	r.until("lines of both", func() bool { g.turn(t); return g.held.Snapshot.OpenEndpoints("view") == 2 })
	put("c-2", 9002, "OUT_OF_SERVICE")
	r.until("one drained", func() bool { g.turn(t); return g.held.Snapshot.OpenEndpoints("view") == 1 })
	r.until("our own entry", func() bool { return reg.Has("PORTHUB", "p-0") })
	if s := r.verdicts().Registries["eureka"]; s.Requests == 0 || s.Snapshots == 0 {
		t.Errorf("%+v", s)
	}
}

// A snapshot that is damaged, cut off or from another format is said and passed over; the list alone is enough to start.
func TestSnapshotThatCantBeRead(t *testing.T) {
	for name, spoil := range map[string]func([]byte) []byte{
		"cut off":        func(b []byte) []byte { return b[:10] },
		"flipped":        func(b []byte) []byte { b[len(b)-3] ^= 4; return b },
		"another format": func(b []byte) []byte { b[len(snapshotMagic)]++; return b },
		"empty":          func([]byte) []byte { return nil },
	} {
		r := newRig(t, nil)
		g := r.gateway("gw-1", "a")
		path := filepath.Join(r.dir, "state", snapshotName)
		r.until("a snapshot", func() bool {
			g.turn(t)
			_, err := os.Stat(path)
			return err == nil && g.held.Snapshot.OpenEndpoints("view") > 0
		})
		g.link.Close()
		r.stop()
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, spoil(text), 0o644); err != nil {
			t.Fatal(err)
		}
		if _, err := ReadSnapshot(filepath.Join(r.dir, "state")); !errors.Is(err, ErrSnapshot) {
			t.Errorf("%s: %v", name, err)
		}
		r.start(nil)
		again := r.gateway("gw-1", "a")
		r.until(name+": tables all the same", func() bool { again.turn(t); return again.held.Snapshot.OpenEndpoints("view") > 0 })
	}
}
