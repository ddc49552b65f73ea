package proxyserver

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"porthub/policy"
)

const (
	coordinatorCount      = 40
	proxiesPerCoordinator = 3
	testGracePeriod       = 3 * time.Second // as in testConfig
)

// tableClient is a proxy's stream and the table that the proxy has.
type tableClient struct {
	*client
	proxy int
	table map[string]bool
}

// apply applies a message to the table and acknowledges its ack id.
func (c *tableClient) apply(message string) {
	words := strings.Split(message, " ")
	fields := map[string]string{}
	for i := 1; i+1 < len(words); i += 2 {
		fields[words[i]] = words[i+1]
	}
	if fields["replace"] != "" {
		c.table = map[string]bool{}
	}
	for _, row := range strings.FieldsFunc(fields["rows"], func(r rune) bool { return r == ',' }) {
		id, weight, _ := strings.Cut(row, ":")
		c.table[id] = weight != "0"
	}
	if ackID := fields["stamp"]; ackID != "" {
		c.send(fmt.Sprintf("ACK sidecar %d version %s lag_ms 12.5", c.proxy, ackID))
	}
}

// waitForTable applies messages until isComplete returns true for the table.
func (c *tableClient) waitForTable(what string, isComplete func(table map[string]bool) bool) {
	c.t.Helper()
	for !isComplete(c.table) {
		message, err := c.receive()
		if err != nil {
			c.t.Fatalf("proxy %d: the stream ended before %s", c.proxy, what)
		}
		c.apply(message)
	}
}

// hasEndpoint reports whether a table has any endpoint.
func hasEndpoint(table map[string]bool) bool {
	for _, has := range table {
		if has {
			return true
		}
	}
	return false
}

// startFleet starts coordinatorCount coordinators that follow one discovery, each with proxiesPerCoordinator proxies with an old
// table.
func startFleet(t *testing.T, discovery *fakeDiscovery) (proxies []*tableClient) {
	for i := range coordinatorCount {
		cfg := testConfig(t, discovery.address(), 64)
		cfg.Start.Seed, cfg.Start.InstanceCount = uint64(i), coordinatorCount
		coordinator, err := New(cfg, zap.NewNop())
		if err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- coordinator.Run(ctx) }()
		t.Cleanup(func() {
			stop()
			<-ended
		})
		for p := range proxiesPerCoordinator {
			srv := &testServer{t: t, coordinator: coordinator}
			proxy := &tableClient{client: srv.dial(), proxy: i*proxiesPerCoordinator + p, table: map[string]bool{"old": true}}
			proxy.send(fmt.Sprintf("SUBSCRIBE sidecar %d az %s share 20 standing 0", proxy.proxy, []string{"a", "b"}[p%2]))
			proxies = append(proxies, proxy)
		}
	}
	return proxies
}

// Forty coordinators with three proxies each follow one discovery: the proxies' old tables are replaced, and a drain reaches
// every proxy within the grace period. The same holds for a drain and a removal after all watches have ended at the same time and
// the next calls were refused.
func TestDrainReachesAllProxiesOfManyCoordinators(t *testing.T) {
	discovery := newFakeDiscovery(t)
	discovery.calls = make(chan string, 100*coordinatorCount)
	proxies := startFleet(t, discovery)
	for range coordinatorCount {
		receive(t, "watch", discovery.calls)
	}
	discovery.send(listMessage(42, false, hostEntry("s-3", "Ready"), hostEntry("s-4", "Ready")))
	for _, proxy := range proxies {
		proxy.waitForTable("its first table", func(table map[string]bool) bool { return hasEndpoint(table) && !table["old"] })
	}
	listedAt := time.Now()
	discovery.send(listMessage(43, false, hostEntry("s-1", "Terminating")))
	for _, proxy := range proxies {
		proxy.waitForTable("the drain", func(table map[string]bool) bool { return hasEndpoint(table) && !table["s-1"] })
	}
	if took := time.Since(listedAt); took > testGracePeriod {
		t.Errorf("the drain reached the last proxy after %s, want at most %s", took, testGracePeriod)
	}
	discovery.mu.Lock()
	discovery.rejectNext = 2 * coordinatorCount
	discovery.mu.Unlock()
	discovery.send("")
	for refused := 0; refused < 2*coordinatorCount; {
		if receive(t, "call", discovery.calls) == "refused" {
			refused++
		}
	}
	for range coordinatorCount {
		if from := receive(t, "watch", discovery.calls); from != "43" {
			t.Fatalf("got a watch from version %q, want 43", from)
		}
	}
	listedAt = time.Now()
	discovery.send(listMessage(45, false, hostEntry("s-2", "Terminating"), hostEntry("s-3", "Gone")))
	for _, proxy := range proxies {
		proxy.waitForTable("drain and removal", func(table map[string]bool) bool { return !table["s-2"] && !table["s-3"] && table["s-4"] })
	}
	if took := time.Since(listedAt); took > testGracePeriod {
		t.Errorf("drain and removal reached the last proxy after %s, want at most %s", took, testGracePeriod)
	}
}

// When the last endpoints of a zone drain, and a class may use endpoints of its own zone only, the proxies are sent an empty table.
func TestLastEndpointsOfAZoneDrain(t *testing.T) {
	discovery := newManualDiscovery(t)
	srv := startServerAt(t, discovery.address(), 256, func(c *Coordinator) {
		c.cfg.Start.Classes[0].LocalZoneOnly = true
		c.module.instance = policy.New(c.cfg.Start)
	})
	watch := discovery.nextCall(t, "/discovery/hosts?watch=1&from=41")
	watch.accept(listMessage(42, false, hostEntry("s-3", "Ready")))
	proxy := &tableClient{client: srv.subscribe(1), proxy: 1, table: map[string]bool{}}
	proxy.waitForTable("its first table", func(table map[string]bool) bool { return table["s-1"] && table["s-3"] })
	watch.lines <- listMessage(43, false, hostEntry("s-1", "Terminating"), hostEntry("s-2", "Terminating"), hostEntry("s-3", "Gone"))
	proxy.waitForTable("the drain", func(table map[string]bool) bool { return !hasEndpoint(table) })
}

// A drain in an entry whose other fields are invalid still withdraws the endpoint from the tables.
func TestDrainWithUnusableFields(t *testing.T) {
	for name, entry := range map[string]string{
		"site": `{"host":"s-1","dial":"h:1","site":"nowhere","health":"Terminating","share":1,"born_ms":0}`,
		"born": `{"host":"s-1","dial":"h:1","site":"a","health":"Gone","share":1,"born_ms":-7}`,
		"type": `{"host":"s-1","dial":7,"site":["a"],"health":"Terminating","share":"much"}`,
	} {
		t.Run(name, func(t *testing.T) {
			discovery := newManualDiscovery(t)
			srv := startServerAt(t, discovery.address(), 256)
			watch := discovery.nextCall(t, "/discovery/hosts?watch=1&from=41")
			watch.accept(listMessage(42, false, hostEntry("s-3", "Ready")))
			proxy := srv.subscribe(1)
			proxy.receiveUntil(1, "s-3")
			watch.lines <- listMessage(43, false, entry)
			proxy.receiveUntil(1, "s-1:0")
		})
	}
}
