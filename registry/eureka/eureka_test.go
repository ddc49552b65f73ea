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

// Bodies written by us from the published operations: both encodings, a list of one as an object, numbers as strings.
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

var fields = map[string]string{"zone": "zone", "weight": "weight", "pod": "pod", "machine": "machine"}

func TestParseBodies(t *testing.T) {
	o := eureka.Options{MetadataKeys: fields}
	want := []membership.Observation{
		{Endpoint: "127.0.0.1:9001", Instance: "c-1", Zone: "a", Weight: 2, Pod: 3, Status: membership.Up, StartedAt: 1700000001000_000, ChangedAt: 1700000000500_000,
			LeaseRenewedAt: 1700000090000_000, LeaseDuration: 90_000_000},
		{Endpoint: "127.0.0.2:9002", Instance: "c-2", Zone: "b", Weight: 1, Status: membership.OutOfService, ChangedAt: 1700000000600_000}}
	for name, body := range map[string]string{"JSON": snapshotJSON, "XML": snapshotXML} {
		a, err := eureka.Parse([]byte(body))
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if got := o.Observations(a.Instances); !slices.Equal(got, want) {
			t.Errorf("%s: %+v", name, got)
		}
		if h := eureka.StatusHash(a.Instances); h != a.Hash {
			t.Errorf("%s: hash %s, says %s", name, h, a.Hash)
		}
	}
	for name, body := range map[string]string{
		"one application":   `{"application": {"name": "calc", "instance": {"instanceId": "x", "ipAddr": "127.0.0.1", "port": {"$": 1}, "status": "UP"}}}`,
		"an object for one": `{"applications": {"application": {"name": "CALC", "instance": {"instanceId": "x", "status": "UP"}}}}`,
		"XML of one":        `<application><name>CALC</name><instance><instanceId>x</instanceId><status>UP</status></instance></application>`,
	} {
		if a, err := eureka.Parse([]byte(body)); err != nil || len(a.Instances) != 1 || a.Instances[0].App != "CALC" {
			t.Errorf("%s: %+v, %v", name, a, err)
		}
	}
	for name, body := range map[string]string{"empty": "", "cut off": snapshotJSON[:len(snapshotJSON)/2], "XML cut off": snapshotXML[:len(snapshotXML)/2], "a page": "<html></html>",
		"another object": `{"error": "no"}`, "text": "sorry", "nobody": `{"applications": {"application": [{"name": "A", "instance": [{"status": "UP"}]}]}}`} {
		if _, err := eureka.Parse([]byte(body)); !errors.Is(err, eureka.ErrInvalidResponse) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if a, err := eureka.Parse([]byte(`{"applications": {"versions__delta": "1", "apps__hashcode": "", "application": []}}`)); err != nil || len(a.Instances) != 0 {
		t.Errorf("an empty registry: %v, %v", a, err)
	}
}

func FuzzParse(f *testing.F) {
	for _, s := range []string{snapshotJSON, snapshotXML, `{"applications":{"application":{"instance":""}}}`, `<applications><application/></applications>`} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		a, err := eureka.Parse(body)
		if err != nil && !errors.Is(err, eureka.ErrInvalidResponse) {
			t.Errorf("%v", err)
		}
		for _, c := range (eureka.Options{MetadataKeys: fields}).Observations(a.Instances) {
			if c.Endpoint == "" || !(c.Weight > 0) || c.StartedAt < 0 {
				t.Errorf("%+v", c)
			}
		}
	})
}

// site is a registry with peers, and a client that follows it.
type site struct {
	t     *testing.T
	reg   *emulated.Registry
	peers []*emulated.Peer
	c     *eureka.Client

	mu      sync.Mutex
	last    membership.SourceUpdate
	answers int
	failed  []string
}

func newSite(t *testing.T, peers int, change func(*eureka.Options)) *site {
	t.Helper()
	s := &site{t: t, reg: emulated.New()}
	o := eureka.Options{Name: "eureka", MetadataKeys: fields, PollInterval: 20 * time.Millisecond, Timeout: 300 * time.Millisecond, Deltas: true, MaxResponseBytes: 1 << 20}
	for range peers {
		p, err := s.reg.Listen()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.Close)
		s.peers = append(s.peers, p)
		o.Addresses = append(o.Addresses, p.Addr)
	}
	if change != nil {
		change(&o)
	}
	s.c = eureka.New(o, func(a membership.SourceUpdate) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if a.Error != "" {
			s.failed = append(s.failed, a.Error)
			return
		}
		s.last = a
		s.answers++
	})
	return s
}

func (s *site) run() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); s.c.Run(ctx) }()
	s.t.Cleanup(func() { cancel(); <-done })
}

func (s *site) put(n int, status string) {
	s.reg.Put(emulated.Instance{App: "CALC", ID: fmt.Sprint("c-", n), IP: "127.0.0.1", Port: 9000 + n, Status: status, Metadata: map[string]string{"zone": "a", "vip": "calc"}})
}

func (s *site) has(want string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var got []string
	for _, c := range s.last.Observations {
		got = append(got, fmt.Sprintf("%s %s", c.Instance, c.Status))
	}
	return s.answers > 0 && strings.Join(got, ", ") == want
}

func (s *site) until(what string, ok func() bool) {
	s.t.Helper()
	for end := time.Now().Add(8 * time.Second); !ok(); time.Sleep(3 * time.Millisecond) {
		if time.Now().After(end) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.t.Fatalf("not within 8 s: %s; %+v, %v, %+v", what, s.last, s.failed, s.c.Stats())
		}
	}
}

// After a snapshot deltas suffice; a lost or stale delta has the wrong hash, and a snapshot is fetched.
func TestDeltas(t *testing.T) {
	s := newSite(t, 1, nil)
	s.put(1, "UP")
	s.put(2, "STARTING")
	s.run()
	s.until("the first", func() bool { return s.has("c-1 up, c-2 starting") })
	snapshots := s.c.Stats().Snapshots
	s.put(2, "UP")
	s.put(3, "UP")
	s.reg.Remove("CALC", "c-1")
	s.until("changes", func() bool { return s.has("c-2 up, c-3 up") })
	if st := s.c.Stats(); st.Snapshots != snapshots || st.Deltas == 0 || st.HashMismatches != 0 {
		t.Errorf("deltas suffice: %+v", st)
	}
	s.peers[0].SetFaults(emulated.Faults{StaleDelta: true})
	s.put(3, "OUT_OF_SERVICE")
	s.until("a change that the deltas lack", func() bool { return s.has("c-2 up, c-3 out of service") })
	if st := s.c.Stats(); st.HashMismatches == 0 {
		t.Errorf("%+v", st)
	}
}

// With each fault the known state stays, the failure is reported, and the next valid response is applied.
func TestFaults(t *testing.T) {
	for name, f := range map[string]emulated.Faults{"refuses": {ErrorStatus: 503}, "truncated": {Truncated: true}, "huge": {PaddingBytes: 2 << 20}, "slow": {Delay: 5 * time.Second},
		"wrong hash": {WrongHash: true}} {
		s := newSite(t, 1, nil)
		s.put(1, "UP")
		s.run()
		s.until("the first", func() bool { return s.has("c-1 up") })
		s.peers[0].SetFaults(f)
		s.until(name+": reported", func() bool { s.mu.Lock(); defer s.mu.Unlock(); return len(s.failed) > 0 })
		s.put(2, "UP")
		if !s.has("c-1 up") {
			t.Errorf("%s: the known state is lost", name)
		}
		s.peers[0].SetFaults(emulated.Faults{})
		s.until(name+": over", func() bool { return s.has("c-1 up, c-2 up") })
	}
}

// A failing peer is replaced by the next without a report; a registry that is down is reported, and polled less and less
// often.
func TestFailover(t *testing.T) {
	s := newSite(t, 2, nil)
	s.put(1, "UP")
	s.peers[0].SetFaults(emulated.Faults{ErrorStatus: 500})
	s.run()
	s.until("by the second peer", func() bool { return s.has("c-1 up") })
	s.peers[0].SetFaults(emulated.Faults{})
	s.peers[1].Close()
	s.put(2, "UP")
	s.until("by the first again", func() bool { return s.has("c-1 up, c-2 up") })
	if len(s.failed) > 0 {
		t.Errorf("a failure is reported though a peer answers: %v", s.failed)
	}
	down := newSite(t, 1, func(o *eureka.Options) { o.PollInterval = 40 * time.Millisecond })
	down.peers[0].SetFaults(emulated.Faults{ErrorStatus: 503})
	down.run()
	time.Sleep(1200 * time.Millisecond)
	if n := down.c.Stats().Requests; n < 3 || n > 15 {
		t.Errorf("%d requests in 1.2 s with a poll interval of 40 ms", n)
	}
	down.put(1, "UP")
	down.peers[0].SetFaults(emulated.Faults{})
	down.until("up at last", func() bool { return down.has("c-1 up") })
}

// One application, a vip address and XML give the same state; a body that did not change is not decoded again.
func TestQueries(t *testing.T) {
	for name, change := range map[string]func(*eureka.Options){"app": func(o *eureka.Options) { o.App, o.Deltas = "calc", false },
		"vip": func(o *eureka.Options) { o.VIP, o.Deltas = "calc", false }, "xml": func(o *eureka.Options) { o.XML, o.Deltas = true, false }} {
		s := newSite(t, 1, change)
		s.put(1, "UP")
		if name != "xml" {
			s.reg.Put(emulated.Instance{App: "OTHER", ID: "o-1", IP: "127.0.0.1", Port: 8000, Status: "UP"})
		}
		s.run()
		s.until(name, func() bool { return s.has("c-1 up") })
		s.until(name+" unchanged", func() bool { return s.c.Stats().Unchanged > 2 })
		s.reg.Remove("CALC", "c-1")
		s.until(name+" empty", func() bool { s.mu.Lock(); defer s.mu.Unlock(); return len(s.last.Observations) == 0 && s.answers > 0 })
	}
}

// The own entry is registered, renewed, registered again when the registry has lost it, and removed at the end; it is no
// endpoint.
func TestRegistration(t *testing.T) {
	s := newSite(t, 1, func(o *eureka.Options) {
		o.Zone = "a"
		o.Registration = &eureka.Registration{App: "porthub", ID: "p-1", Host: "h", IP: "127.0.0.1", Port: 7070, RenewInterval: 30 * time.Millisecond}
	})
	s.put(1, "UP")
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); s.c.Run(ctx) }()
	s.until("registered", func() bool { return s.reg.Has("PORTHUB", "p-1") && s.has("c-1 up") })
	s.reg.Remove("PORTHUB", "p-1")
	s.until("registered again", func() bool { return s.reg.Has("PORTHUB", "p-1") })
	cancel()
	<-done
	if s.reg.Has("PORTHUB", "p-1") {
		t.Error("the entry stays registered")
	}
}

// The hash covers only the counts of statuses: a stale delta that brings a removed instance back as it was has the right
// hash once another was added. It must not be applied: a restarted endpoint would count as warmed up.
func TestStaleDeltaRestoresNoInstance(t *testing.T) {
	inst := func(id string, dirty int64, action string) eureka.Instance {
		return eureka.Instance{App: "CALC", ID: id, IP: "127.0.0.1", Port: 1, Status: "UP", DirtyAt: dirty, ServiceUpAt: dirty, Action: action}
	}
	var h eureka.Cache
	h.ApplySnapshot(eureka.Applications{Instances: []eureka.Instance{inst("a", 10, ""), inst("b", 10, "")}})
	h.ApplySnapshot(eureka.Applications{Instances: []eureka.Instance{inst("b", 10, "")}}) // a was removed
	// It has restarted; the stale delta still has its first registration.
	stale := eureka.Applications{Hash: "UP_2_", Instances: []eureka.Instance{inst("a", 10, "ADDED"), inst("b", 10, "ADDED")}}
	if h.ApplyDelta(stale) {
		t.Fatal("the stale delta is applied")
	}
	h.ApplySnapshot(eureka.Applications{Instances: []eureka.Instance{inst("a", 50, ""), inst("b", 10, "")}})
	if got := h.Instances(); len(got) != 2 || got[0].ServiceUpAt != 50 {
		t.Errorf("%+v", got)
	}
	if !h.ApplyDelta(eureka.Applications{Hash: "UP_1_", Instances: []eureka.Instance{inst("a", 50, "DELETED")}}) || len(h.Instances()) != 1 {
		t.Error("a valid delta is rejected")
	}
	if !h.ApplyDelta(eureka.Applications{Hash: "UP_2_", Instances: []eureka.Instance{inst("a", 90, "ADDED")}}) || h.Instances()[0].ServiceUpAt != 90 {
		t.Error("a valid return is rejected")
	}
}
