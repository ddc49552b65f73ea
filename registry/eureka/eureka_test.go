package eureka_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	emulated "porthub/emulator/eureka"
	"porthub/membership"
	"porthub/registry/eureka"
)

// The same snapshot in both encodings, written for this test from the description of the REST operations. Some numbers are
// strings, as registries write them.
const (
	snapshotJSON = `{"applications": {"versions__delta": "7", "apps__hashcode": "DOWN_1_UP_1_", "application": [
		{"name": "CALC", "instance": [
			{"instanceId": "c-1", "hostName": "h1", "app": "CALC", "ipAddr": "127.0.0.1", "status": "UP", "overriddenStatus": "UNKNOWN",
			 "port": {"$": 9001, "@enabled": "true"}, "securePort": {"$": 443, "@enabled": "false"}, "countryId": 1,
			 "dataCenterInfo": {"@class": "com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo", "name": "MyOwn"},
			 "leaseInfo": {"renewalIntervalInSecs": 30, "durationInSecs": 90, "registrationTimestamp": 1700000000000,
			  "lastRenewalTimestamp": 1700000090000, "evictionTimestamp": 0, "serviceUpTimestamp": 1700000001000},
			 "metadata": {"zone": "a", "weight": "2", "pod": 3, "@class": "java.util.Collections$EmptyMap"}, "vipAddress": "calc",
			 "lastUpdatedTimestamp": "1700000002000", "lastDirtyTimestamp": "1700000000500", "actionType": "ADDED"},
			{"instanceId": "c-2", "hostName": "h2", "app": "CALC", "ipAddr": "127.0.0.2", "status": "DOWN", "overriddenstatus": "OUT_OF_SERVICE",
			 "port": {"$": "9002", "@enabled": "true"}, "metadata": {"zone": "b"}, "lastDirtyTimestamp": 1700000000600}]}]}}`
	snapshotXML = `<?xml version="1.0"?><applications><versions__delta>7</versions__delta><apps__hashcode>DOWN_1_UP_1_</apps__hashcode><application>
		<name>CALC</name><instance><instanceId>c-1</instanceId><hostName>h1</hostName><app>CALC</app><ipAddr>127.0.0.1</ipAddr><status>UP</status>
		<overriddenstatus>UNKNOWN</overriddenstatus><port enabled="true">9001</port><securePort enabled="false">443</securePort>
		<leaseInfo><durationInSecs>90</durationInSecs><lastRenewalTimestamp>1700000090000</lastRenewalTimestamp><serviceUpTimestamp>1700000001000</serviceUpTimestamp></leaseInfo>
		<metadata><zone>a</zone><weight>2</weight><pod>3</pod></metadata><lastDirtyTimestamp>1700000000500</lastDirtyTimestamp></instance>
		<instance><instanceId>c-2</instanceId><hostName>h2</hostName><app>CALC</app><ipAddr>127.0.0.2</ipAddr><status>DOWN</status>
		<overriddenstatus>OUT_OF_SERVICE</overriddenstatus><port enabled="true">9002</port><metadata><zone>b</zone></metadata><lastDirtyTimestamp>1700000000600</lastDirtyTimestamp></instance></application></applications>`
)

// metadataKeys maps each name of Options.MetadataKeys to the same key.
var metadataKeys = map[string]string{"zone": "zone", "weight": "weight", "pod": "pod", "machine": "machine"}

func TestParseBodies(t *testing.T) {
	options := eureka.Options{MetadataKeys: metadataKeys}
	want := []membership.Observation{
		{Endpoint: "127.0.0.1:9001", Instance: "c-1", Zone: "a", Weight: 2, Pod: 3, Status: membership.Up, StartedAt: 1700000001000_000, ChangedAt: 1700000000500_000,
			LeaseRenewedAt: 1700000090000_000, LeaseDuration: 90_000_000},
		{Endpoint: "127.0.0.2:9002", Instance: "c-2", Zone: "b", Weight: 1, Status: membership.OutOfService, ChangedAt: 1700000000600_000}}
	for name, body := range map[string]string{"JSON": snapshotJSON, "XML": snapshotXML} {
		applications, err := eureka.Parse([]byte(body))
		if err != nil {
			t.Fatalf("%s: Parse failed: %v", name, err)
		}
		if got := options.Observations(applications.Instances); !slices.Equal(got, want) {
			t.Errorf("%s: observations are %+v, want %+v", name, got, want)
		}
		if hash := eureka.StatusHash(applications.Instances); hash != applications.Hash {
			t.Errorf("%s: hash of the instances is %s, want the stated hash %s", name, hash, applications.Hash)
		}
	}
	for name, body := range map[string]string{
		"one application":        `{"application": {"name": "calc", "instance": {"instanceId": "x", "ipAddr": "127.0.0.1", "port": {"$": 1}, "status": "UP"}}}`,
		"object instead of list": `{"applications": {"application": {"name": "CALC", "instance": {"instanceId": "x", "status": "UP"}}}}`,
		"one application in XML": `<application><name>CALC</name><instance><instanceId>x</instanceId><status>UP</status></instance></application>`,
	} {
		if got, err := eureka.Parse([]byte(body)); err != nil || len(got.Instances) != 1 || got.Instances[0].App != "CALC" {
			t.Errorf("%s: Parse returned %+v, error %v; want one instance of application CALC", name, got, err)
		}
	}
	for name, body := range map[string]string{
		"empty":               "",
		"truncated JSON":      snapshotJSON[:len(snapshotJSON)/2],
		"truncated XML":       snapshotXML[:len(snapshotXML)/2],
		"HTML page":           "<html></html>",
		"other JSON object":   `{"error": "no"}`,
		"plain text":          "sorry",
		"instance without id": `{"applications": {"application": [{"name": "A", "instance": [{"status": "UP"}]}]}}`,
	} {
		if _, err := eureka.Parse([]byte(body)); !errors.Is(err, eureka.ErrInvalidResponse) {
			t.Errorf("%s: error is %v, want ErrInvalidResponse", name, err)
		}
	}
	emptyRegistry := `{"applications": {"versions__delta": "1", "apps__hashcode": "", "application": []}}`
	if got, err := eureka.Parse([]byte(emptyRegistry)); err != nil || len(got.Instances) != 0 {
		t.Errorf("empty registry: Parse returned %v, error %v; want no instances", got, err)
	}
}

func FuzzParse(f *testing.F) {
	for _, seed := range []string{snapshotJSON, snapshotXML, `{"applications":{"application":{"instance":""}}}`, `<applications><application/></applications>`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		applications, err := eureka.Parse(body)
		if err != nil && !errors.Is(err, eureka.ErrInvalidResponse) {
			t.Errorf("error is %v, want ErrInvalidResponse", err)
		}
		for _, observation := range (eureka.Options{MetadataKeys: metadataKeys}).Observations(applications.Instances) {
			if observation.Endpoint == "" || !(observation.Weight > 0) || observation.StartedAt < 0 {
				t.Errorf("invalid observation %+v", observation)
			}
		}
	})
}

// fixture is a registry with one or more peers, and a client that polls it.
type fixture struct {
	t        *testing.T
	registry *emulated.Registry
	peers    []*emulated.Peer
	client   *eureka.Client

	mu       sync.Mutex // guards the fields below
	last     membership.SourceUpdate
	updates  int      // successful ones
	failures []string // errors of failed updates
}

func newFixture(t *testing.T, peers int, change func(*eureka.Options)) *fixture {
	t.Helper()
	s := &fixture{t: t, registry: emulated.New()}
	options := eureka.Options{
		Name: "eureka", MetadataKeys: metadataKeys, Deltas: true,
		PollInterval: 20 * time.Millisecond, Timeout: 300 * time.Millisecond, MaxResponseBytes: 1 << 20,
	}
	for range peers {
		peer, err := s.registry.Listen()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(peer.Close)
		s.peers = append(s.peers, peer)
		options.Addresses = append(options.Addresses, peer.Addr)
	}
	if change != nil {
		change(&options)
	}
	s.client = eureka.New(options, func(update membership.SourceUpdate) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if update.Error != "" {
			s.failures = append(s.failures, update.Error)
			return
		}
		s.last = update
		s.updates++
	})
	return s
}

// run runs the client until the end of the test.
func (s *fixture) run() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); s.client.Run(ctx) }()
	s.t.Cleanup(func() { cancel(); <-done })
}

// put registers instance c-n with a status.
func (s *fixture) put(n int, status string) {
	s.registry.Put(emulated.Instance{
		App: "CALC", ID: fmt.Sprint("c-", n), IP: "127.0.0.1", Port: 9000 + n, Status: status,
		Metadata: map[string]string{"zone": "a", "vip": "calc"},
	})
}

// lastIs reports whether the last update has the given instances, each with its status.
func (s *fixture) lastIs(want string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var got []string
	for _, observation := range s.last.Observations {
		got = append(got, fmt.Sprintf("%s %s", observation.Instance, observation.Status))
	}
	return s.updates > 0 && strings.Join(got, ", ") == want
}

// waitFor waits until a condition holds.
func (s *fixture) waitFor(what string, ok func() bool) {
	s.t.Helper()
	for end := time.Now().Add(8 * time.Second); !ok(); time.Sleep(3 * time.Millisecond) {
		if time.Now().After(end) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.t.Fatalf("not within 8 s: %s; last update %+v, failures %v, stats %+v", what, s.last, s.failures, s.client.Stats())
		}
	}
}

// After the first snapshot, deltas are sufficient to follow changes. If a delta is lost or stale, the hash does not match and
// the client fetches a snapshot.
func TestDeltas(t *testing.T) {
	s := newFixture(t, 1, nil)
	s.put(1, "UP")
	s.put(2, "STARTING")
	s.run()
	s.waitFor("the first snapshot is delivered", func() bool { return s.lastIs("c-1 up, c-2 starting") })
	snapshots := s.client.Stats().Snapshots
	s.put(2, "UP")
	s.put(3, "UP")
	s.registry.Remove("CALC", "c-1")
	s.waitFor("the changes are delivered", func() bool { return s.lastIs("c-2 up, c-3 up") })
	if stats := s.client.Stats(); stats.Snapshots != snapshots || stats.Deltas == 0 || stats.HashMismatches != 0 {
		t.Errorf("stats are %+v, want deltas, no hash mismatch and no further snapshot", stats)
	}
	s.peers[0].SetFaults(emulated.Faults{StaleDelta: true})
	s.put(3, "OUT_OF_SERVICE")
	s.waitFor("a change that is missing from the deltas is delivered", func() bool { return s.lastIs("c-2 up, c-3 out of service") })
	if stats := s.client.Stats(); stats.HashMismatches == 0 {
		t.Errorf("stats are %+v, want a hash mismatch", stats)
	}
}

// During each fault the known state is kept and a failure is reported. The next valid response is applied.
func TestFaults(t *testing.T) {
	for name, faults := range map[string]emulated.Faults{
		"status 503":         {ErrorStatus: 503},
		"truncated response": {Truncated: true},
		"response too large": {PaddingBytes: 2 << 20},
		"timeout":            {Delay: 5 * time.Second},
		"wrong hash":         {WrongHash: true},
	} {
		s := newFixture(t, 1, nil)
		s.put(1, "UP")
		s.run()
		s.waitFor(name+": the first snapshot is delivered", func() bool { return s.lastIs("c-1 up") })
		s.peers[0].SetFaults(faults)
		s.waitFor(name+": the failure is reported", func() bool { s.mu.Lock(); defer s.mu.Unlock(); return len(s.failures) > 0 })
		s.put(2, "UP")
		if !s.lastIs("c-1 up") {
			t.Errorf("%s: the known state is not kept", name)
		}
		s.peers[0].SetFaults(emulated.Faults{})
		s.waitFor(name+": the state after the fault is delivered", func() bool { return s.lastIs("c-1 up, c-2 up") })
	}
}

// If a peer fails, the client changes to the next peer and reports no failure. If all peers fail, it reports the failure and
// polls less and less often.
func TestFailover(t *testing.T) {
	s := newFixture(t, 2, nil)
	s.put(1, "UP")
	s.peers[0].SetFaults(emulated.Faults{ErrorStatus: 500})
	s.run()
	s.waitFor("the response of the second peer is delivered", func() bool { return s.lastIs("c-1 up") })
	s.peers[0].SetFaults(emulated.Faults{})
	s.peers[1].Close()
	s.put(2, "UP")
	s.waitFor("the response of the first peer is delivered again", func() bool { return s.lastIs("c-1 up, c-2 up") })
	if len(s.failures) > 0 {
		t.Errorf("failures %v are reported, want none since one peer responds", s.failures)
	}
	down := newFixture(t, 1, func(o *eureka.Options) { o.PollInterval = 40 * time.Millisecond })
	down.peers[0].SetFaults(emulated.Faults{ErrorStatus: 503})
	down.run()
	time.Sleep(1200 * time.Millisecond)
	if n := down.client.Stats().Requests; n < 3 || n > 15 {
		t.Errorf("%d requests in 1.2 s with a poll interval of 40 ms, want 3 to 15", n)
	}
	down.put(1, "UP")
	down.peers[0].SetFaults(emulated.Faults{})
	down.waitFor("the state after the failure is delivered", func() bool { return down.lastIs("c-1 up") })
}

// Queries for one application or a vip address and responses in XML give the same state. A body that has not changed is not
// decoded again.
func TestQueries(t *testing.T) {
	for name, change := range map[string]func(*eureka.Options){
		"app": func(o *eureka.Options) { o.App, o.Deltas = "calc", false },
		"vip": func(o *eureka.Options) { o.VIP, o.Deltas = "calc", false },
		"xml": func(o *eureka.Options) { o.XML, o.Deltas = true, false },
	} {
		s := newFixture(t, 1, change)
		s.put(1, "UP")
		if name != "xml" {
			s.registry.Put(emulated.Instance{App: "OTHER", ID: "o-1", IP: "127.0.0.1", Port: 8000, Status: "UP"})
		}
		s.run()
		s.waitFor(name+": the first snapshot is delivered", func() bool { return s.lastIs("c-1 up") })
		s.waitFor(name+": unchanged snapshots are counted", func() bool { return s.client.Stats().Unchanged > 2 })
		s.registry.Remove("CALC", "c-1")
		s.waitFor(name+": the empty state is delivered", func() bool { s.mu.Lock(); defer s.mu.Unlock(); return len(s.last.Observations) == 0 && s.updates > 0 })
	}
}

// The client registers its own entry, renews it, registers it again if the registry has lost it, and removes it at the end. The
// entry is not delivered as an endpoint.
func TestRegistration(t *testing.T) {
	s := newFixture(t, 1, func(o *eureka.Options) {
		o.Zone = "a"
		o.Registration = &eureka.Registration{App: "porthub", ID: "p-1", Host: "h", IP: "127.0.0.1", Port: 7070, RenewInterval: 30 * time.Millisecond}
	})
	s.put(1, "UP")
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); s.client.Run(ctx) }()
	s.waitFor("the entry is registered", func() bool { return s.registry.Has("PORTHUB", "p-1") && s.lastIs("c-1 up") })
	s.registry.Remove("PORTHUB", "p-1")
	s.waitFor("the entry is registered again", func() bool { return s.registry.Has("PORTHUB", "p-1") })
	cancel()
	<-done
	if s.registry.Has("PORTHUB", "p-1") {
		t.Error("the entry is still registered after Run has returned")
	}
}

// The hash covers only the counts of statuses. A stale delta that restores a removed instance in its old state therefore has
// the right hash once another instance was added. It must not be applied: a restarted endpoint would skip its slow start.
func TestStaleDeltaRestoresNoInstance(t *testing.T) {
	instance := func(id string, changedAt int64, action string) eureka.Instance {
		return eureka.Instance{App: "CALC", ID: id, IP: "127.0.0.1", Port: 1, Status: "UP", DirtyAt: changedAt, ServiceUpAt: changedAt, Action: action}
	}
	var cache eureka.Cache
	cache.ApplySnapshot(eureka.Applications{Instances: []eureka.Instance{instance("a", 10, ""), instance("b", 10, "")}})
	cache.ApplySnapshot(eureka.Applications{Instances: []eureka.Instance{instance("b", 10, "")}}) // a was removed
	// Instance a has restarted. The stale delta still has its first registration.
	stale := eureka.Applications{Hash: "UP_2_", Instances: []eureka.Instance{instance("a", 10, "ADDED"), instance("b", 10, "ADDED")}}
	if cache.ApplyDelta(stale) {
		t.Fatal("the stale delta is applied")
	}
	cache.ApplySnapshot(eureka.Applications{Instances: []eureka.Instance{instance("a", 50, ""), instance("b", 10, "")}})
	if got := cache.Instances(); len(got) != 2 || got[0].ServiceUpAt != 50 {
		t.Errorf("instances are %+v, want two, the first in service since 50", got)
	}
	if !cache.ApplyDelta(eureka.Applications{Hash: "UP_1_", Instances: []eureka.Instance{instance("a", 50, "DELETED")}}) || len(cache.Instances()) != 1 {
		t.Error("the delta that removes an instance is not applied")
	}
	if !cache.ApplyDelta(eureka.Applications{Hash: "UP_2_", Instances: []eureka.Instance{instance("a", 90, "ADDED")}}) || cache.Instances()[0].ServiceUpAt != 90 {
		t.Error("the delta that adds the restarted instance is not applied")
	}
}
