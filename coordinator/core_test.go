package coordinator

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"strings"
	"testing"

	"porthub/policyapi"
	"porthub/routing"
)

// harness feeds a core its time and plays the gateways: those that answer acknowledge at once.
type harness struct {
	t             *testing.T
	core          *Core
	now           microseconds
	unresponsive  map[Gateway]bool
	conns         map[Gateway]ConnID
	published     map[Gateway]Publish
	publishCount  map[Gateway]int
	logged        map[string]int
	closed        []ConnID
	watchRequests int
	nextConn      ConnID
	sequence      uint64
}

func newHarness(t *testing.T, change func(*Settings)) *harness {
	set := Settings{Epoch: "e", SilenceTimeout: 3 * second, SolverEnabled: true, Start: policyapi.Start{Seed: 1, InstanceCount: 1, Zone: "a", Zones: []policyapi.Zone{"a", "b"},
		Classes: []policyapi.ClassSettings{{Name: "view", Idempotency: policyapi.Idempotent, LatencyObjective: 750_000, ClientTimeout: 2_500_000, PriorityWeight: 1},
			{Name: "save", LatencyObjective: 750_000, ClientTimeout: 2_000_000, PriorityWeight: 2}},
		Rules: policyapi.RuleSettings{EmptyTableLimit: 5 * second, DrainGracePeriod: 3 * second, WarmUp: 17 * second, InitialCapacity: 0.16, OverloadFactor: 2.5,
			OverloadWindow: 2 * second, QueueLimit: 4000, MessageLimit: 20, MessageWindow: 10 * second},
		Channel:   policyapi.ChannelSettings{LinesPerSecond: 6000, MessageOverhead: 6, Latency: 100_000, MaxLatency: 300_000, EndpointConnections: 200},
		Reports:   policyapi.ReportSettings{Period: second, MaxLinesPerSecond: 1000, MetricsInReports: true, MetricNames: []string{"busy", "q"}},
		Admission: policyapi.AdmissionByRate, ProxyCount: 3, PollsList: true}}
	if change != nil {
		change(&set)
	}
	h := &harness{t: t, core: New(set), now: 1000 * second, unresponsive: map[Gateway]bool{}, conns: map[Gateway]ConnID{}, published: map[Gateway]Publish{},
		publishCount: map[Gateway]int{}, logged: map[string]int{}}
	h.step()
	return h
}

// step steps the core, and once more with the acknowledgements of what it has published.
func (h *harness) step(inputs ...Input) {
	for {
		var acks []Input
		for _, out := range h.core.Step(h.now, inputs) {
			switch o := out.(type) {
			case Publish:
				h.published[o.Gateway] = o
				h.publishCount[o.Gateway]++
				for d := range documentCount {
					if o.Changed[d] && !h.unresponsive[o.Gateway] {
						acks = append(acks, DocumentAck{Gateway: o.Gateway, Conn: h.conns[o.Gateway], Document: d, Version: o.Version, Nonce: o.Nonce})
					}
				}
			case LogEntry:
				h.logged[o.Event] += max(1, o.Count)
			case CloseConnection:
				h.closed = append(h.closed, o.Conn)
			case WatchEndpoints:
				h.watchRequests++
			}
		}
		if inputs = acks; len(acks) == 0 {
			return
		}
	}
}

// advance lets time go by; each second the gateways named report a calm second.
func (h *harness) advance(d microseconds, gateways ...Gateway) {
	for end := h.now + d; h.now < end; {
		h.now = min(end, max(h.now+1, h.core.NextDeadline()))
		var inputs []Input
		if h.now%second == 0 {
			for _, g := range gateways {
				inputs = append(inputs, h.report(g))
			}
		}
		h.step(inputs...)
	}
}

func (h *harness) report(g Gateway) LoadReport {
	h.sequence++
	r := LoadReport{Gateway: g, Conn: h.conns[g], Sequence: h.sequence, Interval: second}
	for _, k := range []string{"view", "save"} {
		kind := ClassReport{Class: k, Arrivals: 10}
		for _, c := range h.published[g].Snapshot.Clusters {
			if c.Class != k {
				continue
			}
			for _, l := range c.Endpoints {
				kind.Endpoints = append(kind.Endpoints, EndpointReport{Endpoint: l.Endpoint, Attempts: 4, MeanLatency: 160_000,
					Metrics: policyapi.LoadMetrics{"busy": 0.4, "q": 0}})
			}
		}
		r.Classes = append(r.Classes, kind)
	}
	return r
}

func (h *harness) connect(g Gateway, zone policyapi.Zone) {
	h.nextConn++
	h.conns[g] = h.nextConn
	h.step(GatewayConnected{Gateway: g, Conn: h.nextConn, Zone: zone, HasDefaultTableOnly: true, Weight: 20})
}

func readyEndpoints(zone policyapi.Zone, names ...policyapi.EndpointID) (out []policyapi.Endpoint) {
	for _, n := range names {
		out = append(out, policyapi.Endpoint{ID: n, Zone: zone, Weight: 2, MachineType: "std"})
	}
	return out
}

func (h *harness) setEndpoints(e ...policyapi.Endpoint) {
	h.step(EndpointUpdate{EndpointUpdate: policyapi.EndpointUpdate{Version: 1, Kind: policyapi.Snapshot, Endpoints: e}})
}

// startFleet has four nodes and two gateways in two zones, with tables.
func (h *harness) startFleet() {
	h.setEndpoints(append(readyEndpoints("a", "a1:1", "a2:1"), readyEndpoints("b", "b1:1", "b2:1")...)...)
	h.connect("g1", "a")
	h.connect("g2", "b")
	h.advance(4*second, "g1", "g2")
}

// openEndpoints names what a gateway may send a kind to.
func (h *harness) openEndpoints(g Gateway, kind string) (names []policyapi.EndpointID) {
	for _, c := range h.published[g].Snapshot.Clusters {
		for _, l := range c.Endpoints {
			if c.Class == kind && !l.Withheld {
				names = append(names, l.Endpoint)
			}
		}
	}
	return names
}

func TestGatewaysGetTables(t *testing.T) {
	h := newHarness(t, nil)
	h.startFleet()
	for _, g := range []Gateway{"g1", "g2"} {
		for _, kind := range []string{"view", "save"} {
			if len(h.openEndpoints(g, kind)) < 2 {
				t.Errorf("%s has %v for %s", g, h.openEndpoints(g, kind), kind)
			}
		}
	}
	before := h.publishCount["g1"]
	h.advance(10*second, "g1", "g2")
	if n := h.publishCount["g1"] - before; n > 3 {
		t.Errorf("%d messages while nothing changed", n)
	}
	for _, g := range h.core.Status().Gateways {
		if !g.Connected || g.Unacknowledged != 0 || g.Confirmed[EndpointsDocument] == "" || g.Confirmed[RoutesDocument] == "" {
			t.Errorf("%+v", g)
		}
	}
}

// A drain takes every line at once, in documents too whose table the module does not lay out any more.
func TestDrainingEndpointIsWithheldInEveryDocument(t *testing.T) {
	h := newHarness(t, nil)
	h.startFleet()
	e := append(readyEndpoints("a", "a1:1", "a2:1"), readyEndpoints("b", "b1:1", "b2:1")...)
	e[0].Status = policyapi.Draining
	g := h.core.gateways.byName["g2"]
	stale := policyapi.TableID(4000) // as if the module had moved on and the bind were still on its way
	h.core.tables.weights[stale] = map[policyapi.EndpointID]float64{"a1:1": 1, "b1:1": 1}
	g.tables = slices.Repeat([]policyapi.TableID{stale}, 2)
	h.setEndpoints(e...)
	h.advance(second, "g1", "g2")
	for _, g := range []Gateway{"g1", "g2"} {
		if slices.Contains(h.openEndpoints(g, "view"), "a1:1") || len(h.openEndpoints(g, "view")) == 0 {
			t.Errorf("%s may send to %v", g, h.openEndpoints(g, "view"))
		}
	}
}

// The last nodes that a kind may go to drain: its table is empty, and no document offers them any more.
func TestLastEndpointsOfAClassDrain(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.Start.Classes[1].LocalZoneOnly = true })
	h.startFleet()
	if open := h.openEndpoints("g1", "save"); !slices.Contains(open, "a1:1") || slices.Contains(open, "b1:1") {
		t.Fatalf("g1 may send to %v", open)
	}
	e := append(readyEndpoints("a", "a1:1", "a2:1"), readyEndpoints("b", "b1:1", "b2:1")...)
	e[0].Status, e[1].Status = policyapi.Draining, policyapi.Draining
	h.setEndpoints(e...)
	h.advance(second, "g1", "g2")
	if open := h.openEndpoints("g1", "save"); len(open) > 0 {
		t.Errorf("g1 may send what keeps to its zone to %v", open)
	}
	if open := h.openEndpoints("g1", "view"); len(open) == 0 || slices.Contains(open, "a1:1") {
		t.Errorf("g1 may send the rest to %v", open)
	}
}

// A gateway that reports but acknowledges nothing is put out, later each time, and the other one is served meanwhile.
func TestUnacknowledgingGatewayIsExpelledWithBackoff(t *testing.T) {
	h := newHarness(t, nil)
	h.startFleet()
	h.unresponsive["g2"] = true
	h.core.gateways.byName["g2"].delivery.Invalidate()
	h.setEndpoints(readyEndpoints("a", "a1:1", "a2:1")...)
	h.advance(5*second, "g1", "g2")
	if g := h.core.gateways.byName["g2"]; g.joined || !g.connected || h.logged["ack_timeout"] != 1 {
		t.Fatalf("joined %t, linked %t, notes %v", g.joined, g.connected, h.logged)
	}
	before := h.publishCount["g1"]
	h.setEndpoints(append(readyEndpoints("a", "a1:1"), readyEndpoints("b", "b1:1")...)...)
	h.advance(3*second, "g1", "g2")
	if h.publishCount["g1"] == before || slices.Contains(h.openEndpoints("g1", "view"), "a2:1") {
		t.Errorf("the other one waits: %v", h.openEndpoints("g1", "view"))
	}
	if slices.Contains(h.openEndpoints("g2", "view"), "a2:1") {
		t.Errorf("what was dropped stays open to the one that is put out: %v", h.openEndpoints("g2", "view"))
	}
	sent := h.publishCount["g2"]
	h.advance(60*second, "g1", "g2")
	if n := h.publishCount["g2"] - sent; n == 0 || n > 15 {
		t.Errorf("tried %d times in a minute", n)
	}
	h.unresponsive["g2"] = false
	h.advance(60*second, "g1", "g2")
	if !h.core.gateways.byName["g2"].joined || slices.Contains(h.openEndpoints("g2", "view"), "b2:1") {
		t.Errorf("it acknowledges again and has %v", h.openEndpoints("g2", "view"))
	}
}

func TestAcknowledgements(t *testing.T) {
	h := newHarness(t, nil)
	h.startFleet()
	h.unresponsive["g1"] = true
	h.setEndpoints(readyEndpoints("a", "a1:1")...)
	g := h.core.gateways.byName["g1"]
	waiting := len(g.delivery.Unacknowledged())
	if waiting == 0 {
		t.Fatal("nothing is on its way")
	}
	m := g.delivery.Unacknowledged()[0]
	for name, ack := range map[string]DocumentAck{
		"never sent":         {Version: "e.999", Nonce: "e.999"},
		"another start's":    {Version: "x.1", Nonce: "x.1"},
		"an earlier one":     {Version: "e.1", Nonce: "e.1"},
		"on another link":    {Version: m.Version, Nonce: m.Version, Conn: 99},
		"no such document":   {Version: m.Version, Nonce: m.Version, Document: 7},
		"refusal of nothing": {Version: "e.1", Nonce: "e.1", Error: "no"},
	} {
		ack.Gateway = "g1"
		if ack.Conn == 0 {
			ack.Conn = h.conns["g1"]
		}
		if h.step(ack); len(g.delivery.Unacknowledged()) != waiting {
			t.Errorf("%s: %d on their way, %d before", name, len(g.delivery.Unacknowledged()), waiting)
		}
	}
	if h.logged["unknown_version"] == 0 {
		t.Error("a version that was never sent passes unnoted")
	}
	// A refusal is answered by the whole, once, after a while.
	before := h.publishCount["g1"]
	h.step(DocumentAck{Gateway: "g1", Conn: h.conns["g1"], Version: "e.1", Nonce: m.Version, Error: "unexpected end"})
	if h.publishCount["g1"] != before {
		t.Error("sent again at once")
	}
	h.unresponsive["g1"] = false
	h.advance(3*second, "g1", "g2")
	if h.publishCount["g1"] == before || len(g.delivery.Unacknowledged()) != 0 || h.logged["document_rejected"] != 1 {
		t.Errorf("sent %d times, %d on their way, %v", h.publishCount["g1"]-before, len(g.delivery.Unacknowledged()), h.logged)
	}
}

// Two connections under one name are one gateway: the later stands, the earlier's end is no leave.
func TestSecondConnectionReplacesTheFirst(t *testing.T) {
	h := newHarness(t, nil)
	h.startFleet()
	old := h.conns["g1"]
	h.connect("g1", "a")
	if !slices.Contains(h.closed, old) {
		t.Error("the first connection stays open")
	}
	h.step(GatewayDisconnected{Gateway: "g1", Conn: old})
	if g := h.core.gateways.byName["g1"]; !g.joined || g.conn != h.conns["g1"] {
		t.Errorf("joined %t on %d", g.joined, g.conn)
	}
	h.step(GatewayDisconnected{Gateway: "g1", Conn: h.conns["g1"]})
	if h.core.gateways.byName["g1"].joined {
		t.Error("its own end is no leave")
	}
}

func TestSilentGatewayIsDisconnected(t *testing.T) {
	h := newHarness(t, nil)
	h.startFleet()
	h.advance(5*second, "g1")
	if h.core.gateways.byName["g2"].joined || !h.core.gateways.byName["g1"].joined || h.logged["gateway_silent"] != 1 {
		t.Errorf("notes %v", h.logged)
	}
}

// What is wrong with a report costs the whole report and is noted; nothing of it reaches the module.
func TestInvalidReportsAreRejected(t *testing.T) {
	good := func(h *harness) LoadReport { return h.report("g1") }
	for name, spoil := range map[string]func(*LoadReport){
		"repeated":        func(r *LoadReport) { r.Sequence = 1 },
		"no interval":     func(r *LoadReport) { r.Interval = 0 },
		"a long one":      func(r *LoadReport) { r.Interval = 1000 * second },
		"unknown kind":    func(r *LoadReport) { r.Classes[0].Class = "other" },
		"a kind twice":    func(r *LoadReport) { r.Classes[1].Class = "view" },
		"below zero":      func(r *LoadReport) { r.Classes[0].Arrivals = -1 },
		"more than tried": func(r *LoadReport) { r.Classes[0].Endpoints[0].Failures = 5 },
		"not a number":    func(r *LoadReport) { r.Classes[0].Endpoints[0].Metrics = policyapi.LoadMetrics{"busy": math.NaN()} },
		"a huge load":     func(r *LoadReport) { r.Classes[0].Endpoints[0].Metrics = policyapi.LoadMetrics{"busy": math.Inf(1)} },
		"a huge count":    func(r *LoadReport) { r.Classes[0].Arrivals = math.MaxInt },
	} {
		h := newHarness(t, nil)
		h.startFleet()
		r := good(h)
		spoil(&r)
		h.step(r)
		if len(h.core.reports.aggregate.proxies) != 0 || h.logged["report_invalid"]+h.logged["report_duplicate"] != 1 {
			t.Errorf("%s: taken in, %v", name, h.logged)
		}
		if h.step(good(h)); len(h.core.reports.aggregate.proxies) == 0 {
			t.Errorf("%s: the next good one is not taken", name)
		}
	}
}

func TestEndpointUpdates(t *testing.T) {
	h := newHarness(t, nil)
	h.startFleet()
	watches := h.watchRequests
	h.setEndpoints()
	if h.core.endpoints.readyCount() != 4 || h.logged["endpoint_list_empty"] != 1 {
		t.Errorf("an empty list: %d ready, %v", h.core.endpoints.readyCount(), h.logged)
	}
	h.step(EndpointUpdate{EndpointUpdate: policyapi.EndpointUpdate{Kind: policyapi.Failed}, Error: "half written"})
	h.advance(4*second, "g1", "g2")
	if h.core.endpoints.readyCount() != 4 || h.watchRequests == watches {
		t.Errorf("a failed list: %d ready, asked again: %t", h.core.endpoints.readyCount(), h.watchRequests > watches)
	}
	e := append(readyEndpoints("a", "a1:1", "a2:1", "a3:1", "a1:1"), readyEndpoints("x", "x1:1")...)
	e[1].StartedAt = h.now + 3600*second
	h.setEndpoints(e...)
	for node, launched := range map[policyapi.EndpointID]microseconds{"a1:1": 0, "a2:1": h.now, "a3:1": h.now} {
		if got := h.core.endpoints.entries[node]; got.Status != policyapi.Ready || got.StartedAt != launched {
			t.Errorf("%s: status %d, launched %d, want %d", node, got.Status, got.StartedAt, launched)
		}
	}
	if h.logged["endpoint_duplicate"] != 1 || h.logged["endpoint_unknown_zone"] != 1 || h.core.endpoints.readyCount() != 3 {
		t.Errorf("%d ready, %v", h.core.endpoints.readyCount(), h.logged)
	}
	h.now += second
	h.setEndpoints(e...) // the clock ahead of ours says the same: it is no new start
	if got := h.core.endpoints.entries["a2:1"].StartedAt; got != h.now-second {
		t.Errorf("a start ahead of our clock moves along: %d at %d", got, h.now)
	}
}

// A clock that steps back undoes nothing and stops nothing.
func TestClockSteppingBack(t *testing.T) {
	h := newHarness(t, nil)
	h.startFleet()
	at := h.core.now
	h.now -= 3600 * second
	h.step(h.report("g1"))
	if h.core.now != at {
		t.Errorf("the core went back by %d", at-h.core.now)
	}
	h.now = at
	h.advance(3*second, "g1", "g2")
	if !h.core.gateways.byName["g1"].joined || !h.core.gateways.byName["g2"].joined {
		t.Error("gateways lost by a step of the clock")
	}
}

// The same inputs at the same times give the same outputs, to the letter.
func TestSameInputsSameOutputs(t *testing.T) {
	run := func() []Output {
		h := newHarness(t, nil)
		var all []Output
		for i := range 12 {
			h.setEndpoints(append(readyEndpoints("a", "a1:1", "a2:1"), readyEndpoints("b", "b1:1", policyapi.EndpointID(fmt.Sprintf("b%d:1", i%3+2)))...)...)
			for _, g := range []Gateway{"g1", "g2", "g3"} {
				if i == 0 {
					h.connect(g, "a")
				}
				h.step(h.report(g))
			}
			h.now += second
			all = append(all, h.core.Step(h.now, nil)...)
		}
		return all
	}
	if a, b := run(), run(); !reflect.DeepEqual(a, b) || len(a) == 0 {
		t.Errorf("%d and %d outputs differ", len(a), len(b))
	}
}

// However fast the list changes, no gateway is sent more messages than the limit, and in the end it holds what it
// should.
func TestMessagesStayUnderTheLimit(t *testing.T) {
	h := newHarness(t, nil)
	h.startFleet()
	var at []microseconds
	before := h.publishCount["g1"]
	for i := range 300 {
		e := append(readyEndpoints("a", "a1:1", "a2:1", "a3:1"), readyEndpoints("b", "b1:1", "b2:1")...)
		e[i%4].Status = policyapi.Draining
		h.setEndpoints(e...)
		for ; before < h.publishCount["g1"]; before++ {
			at = append(at, h.now)
		}
		h.advance(100_000, "g1", "g2")
		for ; before < h.publishCount["g1"]; before++ {
			at = append(at, h.now)
		}
	}
	for i := range at {
		if n := i + 1 - slices.IndexFunc(at, func(x microseconds) bool { return at[i]-x <= 10*second }); n > 20 {
			t.Fatalf("%d messages within 10 s", n)
		}
	}
	if len(at) < 20 {
		t.Errorf("only %d messages in 30 s: the limit was not tried", len(at))
	}
	h.setEndpoints(append(readyEndpoints("a", "a1:1"), readyEndpoints("b", "b1:1", "b2:1")...)...)
	h.advance(12*second, "g1", "g2")
	if open := h.openEndpoints("g1", "view"); slices.Contains(open, "a2:1") || slices.Contains(open, "a3:1") || len(open) == 0 {
		t.Errorf("it holds %v in the end", open)
	}
}

// Documents go out unsynced. Where the settings ask for a sync it is left out while confirmations are late, as on a
// disk that others keep busy, and comes back after.
func TestSyncIsSuspendedWhileAcksAreLate(t *testing.T) {
	h := newHarness(t, nil)
	if h.startFleet(); h.published["g1"].Sync {
		t.Error("synced, and nobody asked for it")
	}
	h = newHarness(t, func(s *Settings) { s.SyncDocuments = true })
	h.startFleet()
	if !h.published["g1"].Sync {
		t.Error("calm, and not synced")
	}
	h.unresponsive["g1"], h.unresponsive["g2"] = true, true
	drained := func(i int) []policyapi.Endpoint {
		e := append(readyEndpoints("a", "a1:1", "a2:1"), readyEndpoints("b", "b1:1", "b2:1")...)
		e[i%4].Status = policyapi.Draining
		return e
	}
	for i := range 2 {
		h.setEndpoints(drained(i)...)
		h.advance(second, "g1", "g2")
	}
	if h.published["g1"].Sync || h.logged["slow_disk"] != 1 {
		t.Errorf("late, and synced; %v", h.logged)
	}
	h.unresponsive["g1"], h.unresponsive["g2"] = false, false
	for i := range 30 {
		h.setEndpoints(drained(i)...)
		h.advance(2*second, "g1", "g2")
	}
	if !h.published["g1"].Sync {
		t.Error("swift again, and still not synced")
	}
}

// Each form of the module's lines becomes a record with its figures.
func TestPolicyLogLines(t *testing.T) {
	for text, want := range map[string]LogEntry{
		"levels on: true, 479.2 reqs a second asked, 428.3 can be done": {Event: "admission",
			Fields: []LogField{{"limited", true}, {"demand", 479.2}, {"capacity", 428.3}}},
		"1.2.3.4:5 sick from a: of about 13 tries in a row none was done": {Event: "endpoint_ejected",
			Fields: []LogField{{"endpoint", "1.2.3.4:5"}, {"zone", "a"}, {"attempts", 13.0}}},
		"sick marks of b passed over: false, 3 of 9 reqs a second well": {Event: "panic_threshold",
			Fields: []LogField{{"zone", "b"}, {"active", false}, {"healthy", 3.0}, {"total", 9.0}}},
		"something new": {Event: "policy"},
	} {
		if got := parsePolicyLog(text); got.Event != want.Event || !reflect.DeepEqual(got.Fields, want.Fields) || got.Text != text {
			t.Errorf("%+v", got)
		}
	}
}

// Complaints come once a period, with their number.
func TestWarningsAreRateLimited(t *testing.T) {
	h := newHarness(t, nil)
	h.startFleet()
	records := 0
	for range 100 {
		for _, out := range h.core.Step(h.now, []Input{LoadReport{Gateway: "g1", Conn: h.conns["g1"]}}) {
			if n, is := out.(LogEntry); is && strings.HasPrefix(n.Event, "report") {
				records++
			}
		}
		h.now += 50_000
	}
	if records != 1 {
		t.Errorf("%d records in 5 s", records)
	}
}

// A pinned table stands though the module moves on; a drain takes its line out all the same, and after the pin all is
// as the module has it.
func TestPinnedTables(t *testing.T) {
	h := newHarness(t, nil)
	h.startFleet()
	h.advance(10*second, "g1", "g2")
	before := h.openEndpoints("g1", "view")
	pin, err := h.core.Pin(routing.Pin{Scope: routing.Scope{Table: routing.AnyTable}, Reason: "a quiet night"})
	if err != nil {
		t.Fatal(err)
	}
	h.setEndpoints(append(readyEndpoints("a", "a1:1", "a2:1", "a3:1"), readyEndpoints("b", "b1:1", "b2:1")...)...)
	h.advance(30*second, "g1", "g2")
	if got := h.openEndpoints("g1", "view"); !slices.Equal(got, before) || h.logged["pinned"] != 1 {
		t.Errorf("pinned at %v, holds %v", before, got)
	}
	e := append(readyEndpoints("a", "a1:1", "a2:1", "a3:1"), readyEndpoints("b", "b1:1", "b2:1")...)
	e[0].Status = policyapi.Draining
	h.setEndpoints(e...)
	h.advance(2*second, "g1", "g2")
	for _, g := range []Gateway{"g1", "g2"} {
		if got := h.openEndpoints(g, "view"); slices.Contains(got, "a1:1") || len(got) == 0 {
			t.Errorf("%s may send to %v", g, got)
		}
	}
	if h.logged["pin_overruled"] == 0 {
		t.Error("staff are not told that the rules overrule the pin")
	}
	if _, err := h.core.Unpin(pin.ID, "day"); err != nil {
		t.Fatal(err)
	}
	h.advance(5*second, "g1", "g2")
	if got := h.openEndpoints("g1", "view"); !slices.Contains(got, "a3:1") {
		t.Errorf("unpinned, and still %v", got)
	}
}

// A gateway that holds something else than it should, by its own checksum, is sent the whole again, later each time.
func TestWrongChecksum(t *testing.T) {
	h := newHarness(t, nil)
	h.startFleet()
	g := h.core.gateways.byName["g1"]
	say := func(sum uint64) {
		h.step(DocumentAck{Gateway: "g1", Conn: h.conns["g1"], Version: g.delivery.Confirmed(int(EndpointsDocument)).Version, Checksum: sum})
	}
	before := h.publishCount["g1"]
	if say(routing.Checksum(h.published["g1"].Snapshot)); h.logged["checksum_mismatch"] != 0 {
		t.Error("the right checksum voids belief")
	}
	say(12345)
	h.advance(3*second, "g1", "g2")
	if h.publishCount["g1"] != before+1 || h.logged["checksum_mismatch"] != 1 {
		t.Errorf("sent %d times, %v", h.publishCount["g1"]-before, h.logged)
	}
	for range 200 {
		say(12345)
		h.advance(100_000, "g1", "g2")
	}
	if n := h.publishCount["g1"] - before; n > 6 {
		t.Errorf("sent %d times in 20 s to one that never holds it", n)
	}
}

// A word about what is held that is overtaken by a later one on another connection is of an earlier state: it voids nothing.
func TestChecksumOfEarlierVersionsIsIgnored(t *testing.T) {
	h := newHarness(t, nil)
	h.startFleet()
	h.advance(5*second, "g1", "g2")
	g := h.core.gateways.byName["g1"]
	before := h.publishCount["g1"]
	say := func(held [documentCount]string) {
		h.step(DocumentAck{Gateway: "g1", Conn: h.conns["g1"], Version: g.delivery.Confirmed(int(EndpointsDocument)).Version, Checksum: 12345, ChecksumVersions: held})
	}
	if say([documentCount]string{g.delivery.Confirmed(int(EndpointsDocument)).Version, "e.0"}); h.logged["checksum_mismatch"] != 0 || h.publishCount["g1"] != before {
		t.Errorf("overtaken: %v", h.logged)
	}
	if say([documentCount]string{g.delivery.Confirmed(int(EndpointsDocument)).Version, g.delivery.Confirmed(int(RoutesDocument)).Version}); h.logged["checksum_mismatch"] != 1 {
		t.Errorf("of what it holds now: %v", h.logged)
	}
}

// What the weight solver has in place of the module's tables has versions too: a pin made while it acts holds what it had.
func TestPinHoldsSolverTables(t *testing.T) {
	h := newHarness(t, func(s *Settings) { s.Start.ProxyCount = 2 })
	h.startFleet()
	h.advance(5*second, "g1", "g2")
	failing := true
	pass := func(seconds int) {
		for range seconds {
			h.now += second
			var in []Input
			for _, g := range []Gateway{"g1", "g2"} {
				r := h.report(g)
				for k := range r.Classes {
					for e := range r.Classes[k].Endpoints {
						if one := &r.Classes[k].Endpoints[e]; failing && r.Classes[k].Class == "save" && one.Endpoint == "a1:1" {
							one.Attempts, one.Failures = 8, 8
						}
					}
				}
				in = append(in, r)
			}
			h.step(in...)
		}
	}
	pass(12)
	if slices.Contains(h.openEndpoints("g1", "save"), "a1:1") || !slices.Contains(h.openEndpoints("g1", "view"), "a1:1") {
		t.Fatalf("the solver does not act: save by %v", h.openEndpoints("g1", "save"))
	}
	table := h.core.gateways.byName["g1"].tables[1]
	versions := h.core.Versions().Versions(table)
	last := versions[len(versions)-1]
	if _, has := last.ForClass(1).Weights()["a1:1"]; has || last.ForClass(0).Weights()["a1:1"] == 0 {
		t.Errorf("the last version has for save %v", last.ForClass(1).Weights())
	}
	pin, err := h.core.Pin(routing.Pin{Scope: routing.Scope{Table: routing.AnyTable}, Reason: "it is known to fail"})
	if err != nil {
		t.Fatal(err)
	}
	weights := func() (w [3]float64) {
		for i, b := range []policyapi.EndpointID{"a2:1", "b1:1", "b2:1"} {
			w[i] = h.endpointShare("g1", "save", b)
		}
		return w
	}
	before := weights()
	h.restart(second, "g1", "g2") // the pin survives with what it holds
	failing = false
	if pass(20); weights() != before || h.endpointShare("g1", "save", "a1:1") > 0 {
		t.Errorf("pinned at %v, and save goes by %v", before, weights())
	}
	if _, err := h.core.Unpin(pin.ID, "day"); err != nil {
		t.Fatal(err)
	}
	pass(20)
	if !slices.Contains(h.openEndpoints("g1", "save"), "a1:1") {
		t.Errorf("unpinned, and save goes to %v alone", h.openEndpoints("g1", "save"))
	}
}
