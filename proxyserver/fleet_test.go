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
	testGracePeriod       = 3 * time.Second // as rigConfig has it
)

// tableClient is a proxy's stream with what its table holds.
type tableClient struct {
	*client
	proxy int
	table map[string]bool
}

// apply applies an order and acknowledges its mark.
func (h *tableClient) apply(message string) {
	words := strings.Split(message, " ")
	fields := map[string]string{}
	for i := 1; i+1 < len(words); i += 2 {
		fields[words[i]] = words[i+1]
	}
	if fields["replace"] != "" {
		h.table = map[string]bool{}
	}
	for _, row := range strings.FieldsFunc(fields["rows"], func(r rune) bool { return r == ',' }) {
		id, weight, _ := strings.Cut(row, ":")
		h.table[id] = weight != "0"
	}
	if mark := fields["stamp"]; mark != "" {
		h.send(fmt.Sprintf("ACK sidecar %d version %s lag_ms 12.5", h.proxy, mark))
	}
}

// waitForTable reads orders until the table is as wanted.
func (h *tableClient) waitForTable(what string, right func(held map[string]bool) bool) {
	h.t.Helper()
	for !right(h.table) {
		message, err := h.receive()
		if err != nil {
			h.t.Fatalf("proxy %d: the stream has ended before %s", h.proxy, what)
		}
		h.apply(message)
	}
}

// hasEndpoint tells whether a table has an endpoint.
func hasEndpoint(held map[string]bool) bool {
	for _, has := range held {
		if has {
			return true
		}
	}
	return false
}

// startFleet starts many coordinators before one discovery, each with a few proxies that bring an old table along.
func startFleet(t *testing.T, lists *fakeDiscovery) (holders []*tableClient) {
	for i := range coordinatorCount {
		cfg := testConfig(t, lists.address(), 64)
		cfg.Start.Seed, cfg.Start.InstanceCount = uint64(i), coordinatorCount
		n, err := New(cfg, zap.NewNop())
		if err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- n.Run(ctx) }()
		t.Cleanup(func() {
			stop()
			<-ended
		})
		for p := range proxiesPerCoordinator {
			r := &testServer{t: t, coordinator: n}
			h := &tableClient{client: r.dial(), proxy: i*proxiesPerCoordinator + p, table: map[string]bool{"old": true}}
			h.send(fmt.Sprintf("SUBSCRIBE sidecar %d az %s share 20 standing 0", h.proxy, []string{"a", "b"}[p%2]))
			holders = append(holders, h)
		}
	}
	return holders
}

// Forty coordinators with three proxies each follow one discovery: what they brought along is replaced, a drain reaches every proxy
// within the grace; then all watches end at once, the calls that follow are refused, and endpoints drain and go meanwhile.
func TestDrainReachesAllProxiesOfManyCoordinators(t *testing.T) {
	lists := newFakeDiscovery(t)
	lists.calls = make(chan string, 100*coordinatorCount)
	holders := startFleet(t, lists)
	for range coordinatorCount {
		receive(t, "watch", lists.calls)
	}
	lists.send(listMessage(42, false, hostEntry("s-3", "Ready"), hostEntry("s-4", "Ready")))
	for _, h := range holders {
		h.waitForTable("its first table", func(held map[string]bool) bool { return hasEndpoint(held) && !held["old"] })
	}
	told := time.Now()
	lists.send(listMessage(43, false, hostEntry("s-1", "Terminating")))
	for _, h := range holders {
		h.waitForTable("the drain", func(held map[string]bool) bool { return hasEndpoint(held) && !held["s-1"] })
	}
	if took := time.Since(told); took > testGracePeriod {
		t.Errorf("the drain reached the last proxy after %s", took)
	}
	lists.mu.Lock()
	lists.rejectNext = 2 * coordinatorCount
	lists.mu.Unlock()
	lists.send("")
	for refused := 0; refused < 2*coordinatorCount; {
		if receive(t, "call", lists.calls) == "refused" {
			refused++
		}
	}
	for range coordinatorCount {
		if from := receive(t, "watch", lists.calls); from != "43" {
			t.Fatalf("changes are asked for from %q", from)
		}
	}
	told = time.Now()
	lists.send(listMessage(45, false, hostEntry("s-2", "Terminating"), hostEntry("s-3", "Gone")))
	for _, h := range holders {
		h.waitForTable("drain and removal", func(held map[string]bool) bool { return !held["s-2"] && !held["s-3"] && held["s-4"] })
	}
	if took := time.Since(told); took > testGracePeriod {
		t.Errorf("they reached the last proxy after %s", took)
	}
}

// The last endpoints of a zone drain, and the class keeps to the zone: its table is emptied, on the socket too.
func TestLastEndpointsOfAZoneDrain(t *testing.T) {
	h := newManualDiscovery(t)
	r := startServerAt(t, h.address(), 256, func(n *Coordinator) {
		n.cfg.Start.Classes[0].LocalZoneOnly = true
		n.module.instance = policy.New(n.cfg.Start)
	})
	watch := h.nextCall(t, "/discovery/hosts?watch=1&from=41")
	watch.accept(listMessage(42, false, hostEntry("s-3", "Ready")))
	proxy := &tableClient{client: r.subscribe(1), proxy: 1, table: map[string]bool{}}
	proxy.waitForTable("its first table", func(held map[string]bool) bool { return held["s-1"] && held["s-3"] })
	watch.lines <- listMessage(43, false, hostEntry("s-1", "Terminating"), hostEntry("s-2", "Terminating"), hostEntry("s-3", "Gone"))
	proxy.waitForTable("the drain", func(held map[string]bool) bool { return !hasEndpoint(held) })
}

// An entry tells of a drain and has other fields that can't be used: the endpoint is out of the tables all the same.
func TestDrainWithUnusableFields(t *testing.T) {
	for name, entry := range map[string]string{
		"site": `{"host":"s-1","dial":"h:1","site":"nowhere","health":"Terminating","share":1,"born_ms":0}`,
		"born": `{"host":"s-1","dial":"h:1","site":"a","health":"Gone","share":1,"born_ms":-7}`,
		"type": `{"host":"s-1","dial":7,"site":["a"],"health":"Terminating","share":"much"}`,
	} {
		t.Run(name, func(t *testing.T) {
			h := newManualDiscovery(t)
			r := startServerAt(t, h.address(), 256)
			watch := h.nextCall(t, "/discovery/hosts?watch=1&from=41")
			watch.accept(listMessage(42, false, hostEntry("s-3", "Ready")))
			c := r.subscribe(1)
			c.receiveUntil(1, "s-3")
			watch.lines <- listMessage(43, false, entry)
			c.receiveUntil(1, "s-1:0")
		})
	}
}
