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
	coordinators   = 40
	proxiesOfEach  = 3
	graceOfTheRigs = 3 * time.Second // as rigConfig has it
)

// holder is a proxy's stream with what its table holds.
type holder struct {
	*client
	proxy int
	held  map[string]bool
}

// apply applies an order and acknowledges its mark.
func (h *holder) apply(message string) {
	words := strings.Split(message, " ")
	fields := map[string]string{}
	for i := 1; i+1 < len(words); i += 2 {
		fields[words[i]] = words[i+1]
	}
	if fields["replace"] != "" {
		h.held = map[string]bool{}
	}
	for _, row := range strings.FieldsFunc(fields["rows"], func(r rune) bool { return r == ',' }) {
		id, weight, _ := strings.Cut(row, ":")
		h.held[id] = weight != "0"
	}
	if mark := fields["stamp"]; mark != "" {
		h.say(fmt.Sprintf("ACK sidecar %d version %s lag_ms 12.5", h.proxy, mark))
	}
}

// until reads orders until the table is as wanted.
func (h *holder) until(what string, right func(held map[string]bool) bool) {
	h.t.Helper()
	for !right(h.held) {
		message, err := h.next()
		if err != nil {
			h.t.Fatalf("proxy %d: the stream has ended before %s", h.proxy, what)
		}
		h.apply(message)
	}
}

// some tells whether a table has an endpoint.
func some(held map[string]bool) bool {
	for _, has := range held {
		if has {
			return true
		}
	}
	return false
}

// fleet starts many coordinators before one discovery, each with a few proxies that bring an old table along.
func fleet(t *testing.T, lists *lists) (holders []*holder) {
	for i := range coordinators {
		cfg := rigConfig(t, lists.address(), 64)
		cfg.Start.Seed, cfg.Start.InstanceCount = uint64(i), coordinators
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
		for p := range proxiesOfEach {
			r := &rig{t: t, n: n}
			h := &holder{client: r.dial(), proxy: i*proxiesOfEach + p, held: map[string]bool{"old": true}}
			h.say(fmt.Sprintf("SUBSCRIBE sidecar %d az %s share 20 standing 0", h.proxy, []string{"a", "b"}[p%2]))
			holders = append(holders, h)
		}
	}
	return holders
}

// Forty coordinators with three proxies each follow one discovery: what they brought along is replaced, a drain reaches every proxy
// within the grace; then all watches end at once, the calls that follow are refused, and endpoints drain and go meanwhile.
func TestDrainReachesAllProxiesOfManyCoordinators(t *testing.T) {
	lists := newLists(t)
	lists.came = make(chan string, 100*coordinators)
	holders := fleet(t, lists)
	for range coordinators {
		wait(t, "watch", lists.came)
	}
	lists.tell(list(42, false, host("s-3", "Ready"), host("s-4", "Ready")))
	for _, h := range holders {
		h.until("its first table", func(held map[string]bool) bool { return some(held) && !held["old"] })
	}
	told := time.Now()
	lists.tell(list(43, false, host("s-1", "Terminating")))
	for _, h := range holders {
		h.until("the drain", func(held map[string]bool) bool { return some(held) && !held["s-1"] })
	}
	if took := time.Since(told); took > graceOfTheRigs {
		t.Errorf("the drain reached the last proxy after %s", took)
	}
	lists.mu.Lock()
	lists.refuse = 2 * coordinators
	lists.mu.Unlock()
	lists.tell("")
	for refused := 0; refused < 2*coordinators; {
		if wait(t, "call", lists.came) == "refused" {
			refused++
		}
	}
	for range coordinators {
		if from := wait(t, "watch", lists.came); from != "43" {
			t.Fatalf("changes are asked for from %q", from)
		}
	}
	told = time.Now()
	lists.tell(list(45, false, host("s-2", "Terminating"), host("s-3", "Gone")))
	for _, h := range holders {
		h.until("drain and removal", func(held map[string]bool) bool { return !held["s-2"] && !held["s-3"] && held["s-4"] })
	}
	if took := time.Since(told); took > graceOfTheRigs {
		t.Errorf("they reached the last proxy after %s", took)
	}
}

// The last endpoints of a zone drain, and the class keeps to the zone: its table is emptied, on the socket too.
func TestLastEndpointsOfAZoneDrain(t *testing.T) {
	h := newHeld(t)
	r := startAt(t, h.address(), 256, func(n *Coordinator) {
		n.cfg.Start.Classes[0].LocalZoneOnly = true
		n.module = policy.New(n.cfg.Start)
	})
	watch := h.next(t, "/discovery/hosts?watch=1&from=41")
	watch.says(list(42, false, host("s-3", "Ready")))
	proxy := &holder{client: r.join(1), proxy: 1, held: map[string]bool{}}
	proxy.until("its first table", func(held map[string]bool) bool { return held["s-1"] && held["s-3"] })
	watch.lines <- list(43, false, host("s-1", "Terminating"), host("s-2", "Terminating"), host("s-3", "Gone"))
	proxy.until("the drain", func(held map[string]bool) bool { return !some(held) })
}
