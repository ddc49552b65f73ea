package emulator

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"porthub/audit"
	"porthub/policyapi"
	"porthub/routing"
	"porthub/xds"
)

func testCluster(weights ...float64) []routing.Cluster {
	cluster := routing.Cluster{Class: "view"}
	for i, weight := range weights {
		cluster.Endpoints = append(cluster.Endpoints, routing.ClusterEndpoint{Endpoint: policyapi.EndpointID(fmt.Sprint("e", i)), Weight: weight})
	}
	return []routing.Cluster{cluster}
}

func TestBalancerFollowsWeights(t *testing.T) {
	b := newBalancer()
	rng := rand.New(rand.NewPCG(1, 1))
	count := map[policyapi.EndpointID]int{}
	for range 400 {
		endpoint, ok := b.pick(testCluster(3, 1), "view", "", 0, rng)
		if !ok {
			t.Fatal("no endpoint")
		}
		count[endpoint.Endpoint]++
	}
	if count["e0"] < 299 || count["e0"] > 301 || count["e0"]+count["e1"] != 400 {
		t.Errorf("%v, want 300 and 100", count)
	}
}

func TestBalancerPick(t *testing.T) {
	withheld := testCluster(1, 1)
	withheld[0].Endpoints[0].Withheld = true
	for _, test := range []struct {
		name     string
		clusters []routing.Cluster
		class    string
		excluded string
		ejected  string
		want     policyapi.EndpointID // empty: none
	}{
		{"not the excluded one", testCluster(1, 1), "view", "e0", "", "e1"},
		{"not the withheld one", withheld, "view", "", "", "e1"},
		{"not the ejected one", testCluster(9, 1), "view", "", "e0", "e1"},
		{"the ejected one if there is no other", testCluster(9, 1), "view", "e1", "e0", "e0"},
		{"none of another class", testCluster(1), "save", "", "", ""},
		{"none but the excluded one", testCluster(1), "view", "e0", "", ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newBalancer()
			if test.ejected != "" {
				b.record(test.ejected, true, 2, time.Second)
				b.record(test.ejected, true, 2, time.Second)
			}
			got, ok := b.pick(test.clusters, test.class, test.excluded, 0, rand.New(rand.NewPCG(1, 1)))
			if ok != (test.want != "") || got.Endpoint != test.want {
				t.Errorf("%q, %t, want %q", got.Endpoint, ok, test.want)
			}
		})
	}
}

func TestEjection(t *testing.T) {
	b := newBalancer()
	b.record("e", true, 2, time.Second)
	b.record("e", false, 2, time.Second)
	b.record("e", true, 2, time.Second)
	if b.isEjected("e", 0) {
		t.Error("ejected though its failures were not consecutive")
	}
	b.record("e", true, 2, time.Second)
	if !b.isEjected("e", 0) || b.isEjected("e", time.Second) {
		t.Error("want an ejection after two failures, for a second")
	}
}

func TestTokenBucket(t *testing.T) {
	b := &tokenBucket{tokens: 1}
	taken := 0
	for at := time.Duration(0); at < 10*time.Second; at += 10 * time.Millisecond {
		if b.take(8, at) {
			taken++
		}
	}
	if taken < 79 || taken > 82 {
		t.Errorf("%d requests in 10 s at 8 per second", taken)
	}
	for i, want := range []bool{true, true, false} { // those of a quarter of a second
		if got := b.take(8, time.Minute); got != want {
			t.Errorf("token %d after a long pause: %t, want %t", i+1, got, want)
		}
	}
}

func TestTallyCountsOnTimeLateAndLost(t *testing.T) {
	class := Class{Name: "view", LatencyObjective: time.Second, PriorityWeight: 2, LateShare: 0.25}
	tally := NewTally()
	cell := ClassZone{Class: "view", Zone: "a"}
	tally.record(cell, 0, class, true, time.Second)
	tally.record(cell, 1500*time.Millisecond, class, true, 2*time.Second)
	tally.record(cell, 2500*time.Millisecond, class, false, 0)
	cells, total := tally.Totals()
	want := Totals{Requests: 3, OnTime: 1, Late: 1, Demanded: 6, Earned: 2.5}
	if total != want || cells[cell] != want {
		t.Errorf("%+v, %+v, want %+v", total, cells, want)
	}
	if got := tally.WorstService(1); got != 0 {
		t.Errorf("worst second %v, want 0", got)
	}
	if got := tally.ServiceBetween(0, 2*time.Second); got != 0.625 {
		t.Errorf("service of the first two seconds %v, want 0.625", got)
	}
	if got := tally.ServiceByWindow(2); len(got) != 2 || got[0] != 0.625 || got[1] != 0 {
		t.Errorf("service by two seconds %v, want 0.625 and 0", got)
	}
}

func TestPartitionBlocksBothWays(t *testing.T) {
	w := NewWorld(audit.NewLog(audit.Limits{}), WarmUpRules{}, 1)
	w.SetPartitioned("a", true)
	if !w.Blocked("a", "b") || !w.Blocked("b", "a") || w.Blocked("a", "a") || w.Blocked("b", "c") {
		t.Error("want a cut off from all others, and nothing else")
	}
	w.SetPartitioned("a", false)
	if w.Blocked("a", "b") {
		t.Error("want a connected again")
	}
}

// testFleet is a gateway with endpoints that it sends to.
func testFleet(t *testing.T, endpoints int) (*Gateway, []*Endpoint) {
	t.Helper()
	w := NewWorld(audit.NewLog(audit.Limits{}), WarmUpRules{}, 1)
	var list []ListEntry
	var out []*Endpoint
	for i := range endpoints {
		e, err := NewEndpoint(w, EndpointOptions{Name: fmt.Sprint(i), Zone: "a", Cores: 1, QueueLength: 4, MaxConnections: 10, Weight: 1})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(e.Kill)
		out = append(out, e)
		list = append(list, ListEntry{Addr: e.Addr, Zone: "a", Weight: 1})
	}
	g := NewGateway(w, GatewayOptions{Name: "gw", Zone: "a", Classes: []string{"view"}, UseAllEndpoints: true, List: func() []ListEntry { return list }})
	if err := g.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Kill)
	return g, out
}

// request sends a request to the gateway and returns its status.
func request(t *testing.T, g *Gateway) int {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+g.Addr+"/", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set(xds.ClassHeader, "view")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func TestGatewayAttemptsAsItsRouteAllows(t *testing.T) {
	fails := func(e *Endpoint) {
		e.SetFault(func(f *Fault) {
			f.FailClass = "view"
			f.FailureRate = 1
			f.FailWithError = true
		})
	}
	kill := func(e *Endpoint) { e.Kill() }
	for _, test := range []struct {
		name     string
		policy   policyapi.RetryPolicy
		fault    func(*Endpoint)
		attempts int
		status   int
	}{
		{"healthy", policyapi.RetryTwice, func(*Endpoint) {}, 1, http.StatusOK},
		{"no retry", policyapi.NoRetry, fails, 1, http.StatusBadGateway},
		{"failure that may have been executed", policyapi.RetryIfNotExecuted, fails, 1, http.StatusBadGateway},
		{"rejection", policyapi.RetryIfNotExecuted, kill, 2, http.StatusServiceUnavailable},
		{"one retry", policyapi.RetryOnce, fails, 2, http.StatusBadGateway},
		{"two retries", policyapi.RetryTwice, fails, 3, http.StatusBadGateway},
	} {
		t.Run(test.name, func(t *testing.T) {
			g, endpoints := testFleet(t, 3)
			for _, e := range endpoints {
				test.fault(e)
			}
			g.mu.Lock()
			g.tables.Snapshot.Routes[0].RetryPolicy = test.policy
			g.mu.Unlock()
			if status := request(t, g); status != test.status {
				t.Errorf("status %d, want %d", status, test.status)
			}
			_, classes := g.collectReport()
			attempts := 0
			for _, e := range classes[0].Endpoints {
				attempts += e.Attempts
			}
			if attempts != test.attempts || classes[0].Arrived != 1 {
				t.Errorf("%d attempts for %d requests, want %d for 1", attempts, classes[0].Arrived, test.attempts)
			}
		})
	}
}

func TestEndpointRestartsAtItsAddressAndWarmsUp(t *testing.T) {
	g, endpoints := testFleet(t, 1)
	e := endpoints[0]
	e.world.Rules = WarmUpRules{WarmUp: time.Hour, InitialCapacity: 0.25, OverloadFactor: 1, OverloadWindow: time.Second}
	e.SetFault(func(f *Fault) { f.Hang = true })
	e.Kill()
	if running, startedAt := e.Running(); running || startedAt >= 0 {
		t.Errorf("running %t since %v after Kill", running, startedAt)
	}
	if status := request(t, g); status != http.StatusServiceUnavailable {
		t.Errorf("status %d of a killed endpoint", status)
	}
	if err := e.Restart(); err != nil {
		t.Fatal(err)
	}
	if status := request(t, g); status != http.StatusOK {
		t.Errorf("status %d after the restart", status)
	}
	if capacity := e.capacity(e.startedAt); capacity != 0.25 {
		t.Errorf("capacity %v at the start, want 0.25", capacity)
	}
	e.mu.Lock()
	e.addWork(e.startedAt, 10)
	collapsed := e.collapsed
	e.addWork(e.startedAt, 10)
	e.addWork(e.startedAt, 0.1)
	afterwards := e.collapsed
	e.mu.Unlock()
	if collapsed || !afterwards {
		t.Errorf("collapsed %t by one large request, %t by more work than it withstands", collapsed, afterwards)
	}
}
