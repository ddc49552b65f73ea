package emulator

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"syscall"
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
			t.Fatal("pick returned no endpoint")
		}
		count[endpoint.Endpoint]++
	}
	if count["e0"] < 299 || count["e0"] > 301 || count["e0"]+count["e1"] != 400 {
		t.Errorf("endpoints were picked %v times, want 300 times e0 and 100 times e1", count)
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
		{"excluded endpoint is skipped", testCluster(1, 1), "view", "e0", "", "e1"},
		{"withheld endpoint is skipped", withheld, "view", "", "", "e1"},
		{"ejected endpoint is skipped", testCluster(9, 1), "view", "", "e0", "e1"},
		{"ejected endpoint is picked if there is no other", testCluster(9, 1), "view", "e1", "e0", "e0"},
		{"no endpoint of another class", testCluster(1), "save", "", "", ""},
		{"no endpoint if the only one is excluded", testCluster(1), "view", "e0", "", ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newBalancer()
			if test.ejected != "" {
				b.record(test.ejected, true, 2, time.Second)
				b.record(test.ejected, true, 2, time.Second)
			}
			got, ok := b.pick(test.clusters, test.class, test.excluded, 0, rand.New(rand.NewPCG(1, 1)))
			if ok != (test.want != "") || got.Endpoint != test.want {
				t.Errorf("picked %q, %t, want %q", got.Endpoint, ok, test.want)
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
		t.Error("the endpoint is ejected after failures that were not consecutive")
	}
	b.record("e", true, 2, time.Second)
	if !b.isEjected("e", 0) || b.isEjected("e", time.Second) {
		t.Error("the endpoint is not ejected for one second after two consecutive failures")
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
		t.Errorf("took %d tokens in 10 s at 8 per second, want 79 to 82", taken)
	}
	for i, want := range []bool{true, true, false} { // the bucket holds the tokens of a quarter of a second
		if got := b.take(8, time.Minute); got != want {
			t.Errorf("token %d after a long pause: %t, want %t", i+1, got, want)
		}
	}
}

func TestTallyCountsOnTimeLateAndLost(t *testing.T) {
	class := Class{Name: "view", LatencyObjective: time.Second, PriorityWeight: 2, LateShare: 0.25}
	tally := NewTally()
	key := ClassZone{Class: "view", Zone: "a"}
	tally.record(key, 0, class, true, time.Second)
	tally.record(key, 1500*time.Millisecond, class, true, 2*time.Second)
	tally.record(key, 2500*time.Millisecond, class, false, 0)
	byClassZone, total := tally.Totals()
	want := Totals{Requests: 3, OnTime: 1, Late: 1, Demanded: 6, Earned: 2.5}
	if total != want || byClassZone[key] != want {
		t.Errorf("total %+v, by class and zone %+v, want %+v for each", total, byClassZone, want)
	}
	if got := tally.WorstService(1); got != 0 {
		t.Errorf("service of the worst second is %v, want 0", got)
	}
	if got := tally.ServiceBetween(0, 2*time.Second); got != 0.625 {
		t.Errorf("service of the first two seconds is %v, want 0.625", got)
	}
	if got := tally.ServiceByWindow(2); len(got) != 2 || got[0] != 0.625 || got[1] != 0 {
		t.Errorf("service by windows of two seconds is %v, want 0.625 and 0", got)
	}
}

func TestPartitionBlocksBothWays(t *testing.T) {
	w := NewWorld(audit.NewLog(audit.Limits{}), WarmUpRules{}, 1)
	w.SetPartitioned("a", true)
	if !w.Blocked("a", "b") || !w.Blocked("b", "a") || w.Blocked("a", "a") || w.Blocked("b", "c") {
		t.Error("want zone a separated from all other zones, and no other zones separated")
	}
	w.SetPartitioned("a", false)
	if w.Blocked("a", "b") {
		t.Error("zone a is still separated after the end of the partition")
	}
}

// newTestFleet starts a gateway and the endpoints in its table.
func newTestFleet(t *testing.T, endpoints int) (*Gateway, []*Endpoint) {
	t.Helper()
	w := NewWorld(audit.NewLog(audit.Limits{}), WarmUpRules{}, 1)
	var list []ListEntry
	var started []*Endpoint
	for i := range endpoints {
		e, err := NewEndpoint(w, EndpointOptions{Name: fmt.Sprint(i), Zone: "a", Cores: 1, QueueLength: 4, MaxConnections: 10, Weight: 1})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(e.Kill)
		started = append(started, e)
		list = append(list, ListEntry{Addr: e.Addr, Zone: "a", Weight: 1})
	}
	g := NewGateway(w, GatewayOptions{Name: "gw", Zone: "a", Classes: []string{"view"}, UseAllEndpoints: true, List: func() []ListEntry { return list }})
	if err := g.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Kill)
	return g, started
}

// postRequest sends a request to the gateway and returns the status of the response.
func postRequest(t *testing.T, g *Gateway) int {
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
	failAll := func(e *Endpoint) {
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
		{"no retry allowed", policyapi.NoRetry, failAll, 1, http.StatusBadGateway},
		{"no retry of a request that may have been executed", policyapi.RetryIfNotExecuted, failAll, 1, http.StatusBadGateway},
		{"retry after a rejection", policyapi.RetryIfNotExecuted, kill, 2, http.StatusServiceUnavailable},
		{"one retry", policyapi.RetryOnce, failAll, 2, http.StatusBadGateway},
		{"two retries", policyapi.RetryTwice, failAll, 3, http.StatusBadGateway},
	} {
		t.Run(test.name, func(t *testing.T) {
			g, endpoints := newTestFleet(t, 3)
			for _, e := range endpoints {
				test.fault(e)
			}
			g.mu.Lock()
			g.tables.Snapshot.Routes[0].RetryPolicy = test.policy
			g.mu.Unlock()
			if status := postRequest(t, g); status != test.status {
				t.Errorf("status %d, want %d", status, test.status)
			}
			_, classes := g.collectReport()
			attempts := 0
			for _, e := range classes[0].Endpoints {
				attempts += e.Attempts
			}
			if attempts != test.attempts || classes[0].Arrived != 1 {
				t.Errorf("counted %d attempts for %d requests, want %d for 1", attempts, classes[0].Arrived, test.attempts)
			}
		})
	}
}

func TestEndpointRestartsAtItsAddressAndWarmsUp(t *testing.T) {
	g, endpoints := newTestFleet(t, 1)
	e := endpoints[0]
	e.world.Rules = WarmUpRules{WarmUp: time.Hour, InitialCapacity: 0.25, OverloadFactor: 1, OverloadWindow: time.Second}
	e.SetFault(func(f *Fault) { f.Hang = true })
	e.Kill()
	if running, startedAt := e.Running(); running || startedAt >= 0 {
		t.Errorf("after Kill, running is %t and the start time %v, want false and a negative time", running, startedAt)
	}
	if status := postRequest(t, g); status != http.StatusServiceUnavailable {
		t.Errorf("status %d from a killed endpoint, want 503", status)
	}
	if err := e.Restart(); err != nil {
		t.Fatal(err)
	}
	if status := postRequest(t, g); status != http.StatusOK {
		t.Errorf("status %d after the restart, want 200", status)
	}
	if capacity := e.capacity(e.startedAt); capacity != 0.25 {
		t.Errorf("capacity %v at the restart, want 0.25", capacity)
	}
	e.mu.Lock()
	e.addWork(e.startedAt, 10)
	collapsedByOne := e.collapsed
	e.addWork(e.startedAt, 10)
	e.addWork(e.startedAt, 0.1)
	collapsedBySum := e.collapsed
	e.mu.Unlock()
	if collapsedByOne || !collapsedBySum {
		t.Errorf("collapsed %t by one large request and %t by work above the overload limit, want false and true",
			collapsedByOne, collapsedBySum)
	}
}

// A killed endpoint refuses connections at once, also if it is killed before the goroutine that serves its listener has run: on one
// processor that goroutine does not run between the restart and the kill. Its listener stayed open until then, so that a connection
// was accepted and reset, as if a request could have been executed.
func TestKilledEndpointRefusesConnections(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	_, endpoints := newTestFleet(t, 1)
	e := endpoints[0]
	for range 50 {
		e.Kill()
		if err := e.Restart(); err != nil {
			t.Fatal(err)
		}
		e.Kill()
		conn, err := net.Dial("tcp", e.address.text)
		if err == nil {
			_ = conn.Close()
		}
		if !errors.Is(err, syscall.ECONNREFUSED) {
			t.Fatalf("error %v from a dial to a killed endpoint, want the connection refused", err)
		}
	}
}
