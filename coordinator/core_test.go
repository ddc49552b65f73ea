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

// host feeds a core its time and plays the gateways: those that answer acknowledge at once.
type host struct {
	t       *testing.T
	core    *Core
	now     micros
	mute    map[Gateway]bool
	conns   map[Gateway]ConnID
	held    map[Gateway]Publish
	sent    map[Gateway]int
	notes   map[string]int
	dropped []ConnID
	watches int
	next    ConnID
	seq     uint64
}

func newHost(t *testing.T, change func(*Settings)) *host {
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
	h := &host{t: t, core: New(set), now: 1000 * second, mute: map[Gateway]bool{}, conns: map[Gateway]ConnID{}, held: map[Gateway]Publish{},
		sent: map[Gateway]int{}, notes: map[string]int{}}
	h.tell()
	return h
}

// tell steps the core, and once more with the acknowledgements of what it has published.
func (h *host) tell(inputs ...Input) {
	for {
		var acks []Input
		for _, out := range h.core.Step(h.now, inputs) {
			switch o := out.(type) {
			case Publish:
				h.held[o.Gateway] = o
				h.sent[o.Gateway]++
				for d := range documentCount {
					if o.Changed[d] && !h.mute[o.Gateway] {
						acks = append(acks, DocumentAck{Gateway: o.Gateway, Conn: h.conns[o.Gateway], Document: d, Version: o.Version, Nonce: o.Nonce})
					}
				}
			case LogEntry:
				h.notes[o.Event] += max(1, o.Count)
			case CloseConnection:
				h.dropped = append(h.dropped, o.Conn)
			case WatchEndpoints:
				h.watches++
			}
		}
		if inputs = acks; len(acks) == 0 {
			return
		}
	}
}

// pass lets time go by; each second the gateways named report a calm second.
func (h *host) pass(d micros, gateways ...Gateway) {
	for end := h.now + d; h.now < end; {
		h.now = min(end, max(h.now+1, h.core.NextDeadline()))
		var inputs []Input
		if h.now%second == 0 {
			for _, g := range gateways {
				inputs = append(inputs, h.report(g))
			}
		}
		h.tell(inputs...)
	}
}

func (h *host) report(g Gateway) LoadReport {
	h.seq++
	r := LoadReport{Gateway: g, Conn: h.conns[g], Sequence: h.seq, Interval: second}
	for _, k := range []string{"view", "save"} {
		kind := ClassReport{Class: k, Arrivals: 10}
		for _, c := range h.held[g].Snapshot.Clusters {
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

func (h *host) join(g Gateway, zone policyapi.Zone) {
	h.next++
	h.conns[g] = h.next
	h.tell(GatewayConnected{Gateway: g, Conn: h.next, Zone: zone, HasDefaultTableOnly: true, Weight: 20})
}

func entries(zone policyapi.Zone, names ...policyapi.EndpointID) (out []policyapi.Endpoint) {
	for _, n := range names {
		out = append(out, policyapi.Endpoint{ID: n, Zone: zone, Weight: 2, MachineType: "std"})
	}
	return out
}

func (h *host) list(e ...policyapi.Endpoint) {
	h.tell(EndpointUpdate{EndpointUpdate: policyapi.EndpointUpdate{Version: 1, Kind: policyapi.Snapshot, Endpoints: e}})
}

// fleet has four nodes and two gateways in two zones, with tables.
func (h *host) fleet() {
	h.list(append(entries("a", "a1:1", "a2:1"), entries("b", "b1:1", "b2:1")...)...)
	h.join("g1", "a")
	h.join("g2", "b")
	h.pass(4*second, "g1", "g2")
}

// open names what a gateway may send a kind to.
func (h *host) open(g Gateway, kind string) (names []policyapi.EndpointID) {
	for _, c := range h.held[g].Snapshot.Clusters {
		for _, l := range c.Endpoints {
			if c.Class == kind && !l.Withheld {
				names = append(names, l.Endpoint)
			}
		}
	}
	return names
}

func TestGatewaysGetTables(t *testing.T) {
	h := newHost(t, nil)
	h.fleet()
	for _, g := range []Gateway{"g1", "g2"} {
		for _, kind := range []string{"view", "save"} {
			if len(h.open(g, kind)) < 2 {
				t.Errorf("%s has %v for %s", g, h.open(g, kind), kind)
			}
		}
	}
	before := h.sent["g1"]
	h.pass(10*second, "g1", "g2")
	if n := h.sent["g1"] - before; n > 3 {
		t.Errorf("%d messages while nothing changed", n)
	}
	for _, g := range h.core.Status().Gateways {
		if !g.Connected || g.Unacknowledged != 0 || g.Confirmed[EndpointsDocument] == "" || g.Confirmed[RoutesDocument] == "" {
			t.Errorf("%+v", g)
		}
	}
}

// A drain takes every line at once, in documents too whose table the module does not lay out any more.
func TestDrainMasksEveryDocument(t *testing.T) {
	h := newHost(t, nil)
	h.fleet()
	e := append(entries("a", "a1:1", "a2:1"), entries("b", "b1:1", "b2:1")...)
	e[0].Status = policyapi.Draining
	g := h.core.gateways["g2"]
	stale := policyapi.TableID(4000) // as if the module had moved on and the bind were still on its way
	h.core.lines[stale] = map[policyapi.EndpointID]float64{"a1:1": 1, "b1:1": 1}
	g.binds = slices.Repeat([]policyapi.TableID{stale}, 2)
	h.list(e...)
	h.pass(second, "g1", "g2")
	for _, g := range []Gateway{"g1", "g2"} {
		if slices.Contains(h.open(g, "view"), "a1:1") || len(h.open(g, "view")) == 0 {
			t.Errorf("%s may send to %v", g, h.open(g, "view"))
		}
	}
}

// The last nodes that a kind may go to drain: its table is empty, and no document offers them any more.
func TestLastNodesOfAKindDrain(t *testing.T) {
	h := newHost(t, func(s *Settings) { s.Start.Classes[1].LocalZoneOnly = true })
	h.fleet()
	if open := h.open("g1", "save"); !slices.Contains(open, "a1:1") || slices.Contains(open, "b1:1") {
		t.Fatalf("g1 may send to %v", open)
	}
	e := append(entries("a", "a1:1", "a2:1"), entries("b", "b1:1", "b2:1")...)
	e[0].Status, e[1].Status = policyapi.Draining, policyapi.Draining
	h.list(e...)
	h.pass(second, "g1", "g2")
	if open := h.open("g1", "save"); len(open) > 0 {
		t.Errorf("g1 may send what keeps to its zone to %v", open)
	}
	if open := h.open("g1", "view"); len(open) == 0 || slices.Contains(open, "a1:1") {
		t.Errorf("g1 may send the rest to %v", open)
	}
}

// A gateway that reports but acknowledges nothing is put out, later each time, and the other one is served meanwhile.
func TestGatewayThatNeverAcknowledges(t *testing.T) {
	h := newHost(t, nil)
	h.fleet()
	h.mute["g2"] = true
	h.core.gateways["g2"].ledger.Invalidate()
	h.list(entries("a", "a1:1", "a2:1")...)
	h.pass(5*second, "g1", "g2")
	if g := h.core.gateways["g2"]; g.joined || !g.linked || h.notes["no_acknowledgement"] != 1 {
		t.Fatalf("joined %t, linked %t, notes %v", g.joined, g.linked, h.notes)
	}
	before := h.sent["g1"]
	h.list(append(entries("a", "a1:1"), entries("b", "b1:1")...)...)
	h.pass(3*second, "g1", "g2")
	if h.sent["g1"] == before || slices.Contains(h.open("g1", "view"), "a2:1") {
		t.Errorf("the other one waits: %v", h.open("g1", "view"))
	}
	if slices.Contains(h.open("g2", "view"), "a2:1") {
		t.Errorf("what was dropped stays open to the one that is put out: %v", h.open("g2", "view"))
	}
	sent := h.sent["g2"]
	h.pass(60*second, "g1", "g2")
	if n := h.sent["g2"] - sent; n == 0 || n > 15 {
		t.Errorf("tried %d times in a minute", n)
	}
	h.mute["g2"] = false
	h.pass(60*second, "g1", "g2")
	if !h.core.gateways["g2"].joined || slices.Contains(h.open("g2", "view"), "b2:1") {
		t.Errorf("it acknowledges again and has %v", h.open("g2", "view"))
	}
}

func TestAcknowledgements(t *testing.T) {
	h := newHost(t, nil)
	h.fleet()
	h.mute["g1"] = true
	h.list(entries("a", "a1:1")...)
	g := h.core.gateways["g1"]
	waiting := len(g.ledger.Unacknowledged())
	if waiting == 0 {
		t.Fatal("nothing is on its way")
	}
	m := g.ledger.Unacknowledged()[0]
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
		if h.tell(ack); len(g.ledger.Unacknowledged()) != waiting {
			t.Errorf("%s: %d on their way, %d before", name, len(g.ledger.Unacknowledged()), waiting)
		}
	}
	if h.notes["unknown_version"] == 0 {
		t.Error("a version that was never sent passes unnoted")
	}
	// A refusal is answered by the whole, once, after a while.
	before := h.sent["g1"]
	h.tell(DocumentAck{Gateway: "g1", Conn: h.conns["g1"], Version: "e.1", Nonce: m.Version, Error: "unexpected end"})
	if h.sent["g1"] != before {
		t.Error("sent again at once")
	}
	h.mute["g1"] = false
	h.pass(3*second, "g1", "g2")
	if h.sent["g1"] == before || len(g.ledger.Unacknowledged()) != 0 || h.notes["refused"] != 1 {
		t.Errorf("sent %d times, %d on their way, %v", h.sent["g1"]-before, len(g.ledger.Unacknowledged()), h.notes)
	}
}

// Two connections under one name are one gateway: the later stands, the earlier's end is no leave.
func TestOneNameTwice(t *testing.T) {
	h := newHost(t, nil)
	h.fleet()
	old := h.conns["g1"]
	h.join("g1", "a")
	if !slices.Contains(h.dropped, old) {
		t.Error("the first connection stays open")
	}
	h.tell(GatewayDisconnected{Gateway: "g1", Conn: old})
	if g := h.core.gateways["g1"]; !g.joined || g.conn != h.conns["g1"] {
		t.Errorf("joined %t on %d", g.joined, g.conn)
	}
	h.tell(GatewayDisconnected{Gateway: "g1", Conn: h.conns["g1"]})
	if h.core.gateways["g1"].joined {
		t.Error("its own end is no leave")
	}
}

func TestSilentGatewayCountsAsAway(t *testing.T) {
	h := newHost(t, nil)
	h.fleet()
	h.pass(5*second, "g1")
	if h.core.gateways["g2"].joined || !h.core.gateways["g1"].joined || h.notes["silent"] != 1 {
		t.Errorf("notes %v", h.notes)
	}
}

// What is wrong with a report costs the whole report and is noted; nothing of it reaches the module.
func TestBadReports(t *testing.T) {
	good := func(h *host) LoadReport { return h.report("g1") }
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
		h := newHost(t, nil)
		h.fleet()
		r := good(h)
		spoil(&r)
		h.tell(r)
		if len(h.core.sums.usage) != 0 || h.notes["report_bad"]+h.notes["report_repeated"] != 1 {
			t.Errorf("%s: taken in, %v", name, h.notes)
		}
		if h.tell(good(h)); len(h.core.sums.usage) == 0 {
			t.Errorf("%s: the next good one is not taken", name)
		}
	}
}

func TestLists(t *testing.T) {
	h := newHost(t, nil)
	h.fleet()
	watches := h.watches
	h.list()
	if h.core.list.ready() != 4 || h.notes["list_empty"] != 1 {
		t.Errorf("an empty list: %d ready, %v", h.core.list.ready(), h.notes)
	}
	h.tell(EndpointUpdate{EndpointUpdate: policyapi.EndpointUpdate{Kind: policyapi.Failed}, Error: "half written"})
	h.pass(4*second, "g1", "g2")
	if h.core.list.ready() != 4 || h.watches == watches {
		t.Errorf("a failed list: %d ready, asked again: %t", h.core.list.ready(), h.watches > watches)
	}
	e := append(entries("a", "a1:1", "a2:1", "a3:1", "a1:1"), entries("x", "x1:1")...)
	e[1].StartedAt = h.now + 3600*second
	h.list(e...)
	for node, launched := range map[policyapi.EndpointID]micros{"a1:1": 0, "a2:1": h.now, "a3:1": h.now} {
		if got := h.core.list.entries[node]; got.Status != policyapi.Ready || got.StartedAt != launched {
			t.Errorf("%s: status %d, launched %d, want %d", node, got.Status, got.StartedAt, launched)
		}
	}
	if h.notes["list_twice"] != 1 || h.notes["list_zone"] != 1 || h.core.list.ready() != 3 {
		t.Errorf("%d ready, %v", h.core.list.ready(), h.notes)
	}
	h.now += second
	h.list(e...) // the clock ahead of ours says the same: it is no new start
	if got := h.core.list.entries["a2:1"].StartedAt; got != h.now-second {
		t.Errorf("a start ahead of our clock moves along: %d at %d", got, h.now)
	}
}

// A clock that steps back undoes nothing and stops nothing.
func TestClockSteps(t *testing.T) {
	h := newHost(t, nil)
	h.fleet()
	at := h.core.now
	h.now -= 3600 * second
	h.tell(h.report("g1"))
	if h.core.now != at {
		t.Errorf("the core went back by %d", at-h.core.now)
	}
	h.now = at
	h.pass(3*second, "g1", "g2")
	if !h.core.gateways["g1"].joined || !h.core.gateways["g2"].joined {
		t.Error("gateways lost by a step of the clock")
	}
}

// The same inputs at the same times give the same outputs, to the letter.
func TestSameInputsSameOutputs(t *testing.T) {
	run := func() []Output {
		h := newHost(t, nil)
		var all []Output
		for i := range 12 {
			h.list(append(entries("a", "a1:1", "a2:1"), entries("b", "b1:1", policyapi.EndpointID(fmt.Sprintf("b%d:1", i%3+2)))...)...)
			for _, g := range []Gateway{"g1", "g2", "g3"} {
				if i == 0 {
					h.join(g, "a")
				}
				h.tell(h.report(g))
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
	h := newHost(t, nil)
	h.fleet()
	var at []micros
	before := h.sent["g1"]
	for i := range 300 {
		e := append(entries("a", "a1:1", "a2:1", "a3:1"), entries("b", "b1:1", "b2:1")...)
		e[i%4].Status = policyapi.Draining
		h.list(e...)
		for ; before < h.sent["g1"]; before++ {
			at = append(at, h.now)
		}
		h.pass(100_000, "g1", "g2")
		for ; before < h.sent["g1"]; before++ {
			at = append(at, h.now)
		}
	}
	for i := range at {
		if n := i + 1 - slices.IndexFunc(at, func(x micros) bool { return at[i]-x <= 10*second }); n > 20 {
			t.Fatalf("%d messages within 10 s", n)
		}
	}
	if len(at) < 20 {
		t.Errorf("only %d messages in 30 s: the limit was not tried", len(at))
	}
	h.list(append(entries("a", "a1:1"), entries("b", "b1:1", "b2:1")...)...)
	h.pass(12*second, "g1", "g2")
	if open := h.open("g1", "view"); slices.Contains(open, "a2:1") || slices.Contains(open, "a3:1") || len(open) == 0 {
		t.Errorf("it holds %v in the end", open)
	}
}

// Documents go out unsynced. Where the settings ask for a sync it is left out while confirmations are late, as on a
// disk that others keep busy, and comes back after.
func TestSlowDisk(t *testing.T) {
	h := newHost(t, nil)
	if h.fleet(); h.held["g1"].Sync {
		t.Error("synced, and nobody asked for it")
	}
	h = newHost(t, func(s *Settings) { s.SyncDocuments = true })
	h.fleet()
	if !h.held["g1"].Sync {
		t.Error("calm, and not synced")
	}
	h.mute["g1"], h.mute["g2"] = true, true
	drained := func(i int) []policyapi.Endpoint {
		e := append(entries("a", "a1:1", "a2:1"), entries("b", "b1:1", "b2:1")...)
		e[i%4].Status = policyapi.Draining
		return e
	}
	for i := range 2 {
		h.list(drained(i)...)
		h.pass(second, "g1", "g2")
	}
	if h.held["g1"].Sync || h.notes["slow_disk"] != 1 {
		t.Errorf("late, and synced; %v", h.notes)
	}
	h.mute["g1"], h.mute["g2"] = false, false
	for i := range 30 {
		h.list(drained(i)...)
		h.pass(2*second, "g1", "g2")
	}
	if !h.held["g1"].Sync {
		t.Error("swift again, and still not synced")
	}
}

// Each form of the module's lines becomes a record with its figures.
func TestModeLines(t *testing.T) {
	for text, want := range map[string]LogEntry{
		"levels on: true, 479.2 reqs a second asked, 428.3 can be done": {Event: "levels", Fields: []LogField{{"on", true}, {"asked", 479.2}, {"can", 428.3}}},
		"1.2.3.4:5 sick from a: of about 13 tries in a row none was done": {Event: "sick",
			Fields: []LogField{{"node", "1.2.3.4:5"}, {"zone", "a"}, {"tries", 13.0}}},
		"sick marks of b passed over: false, 3 of 9 reqs a second well": {Event: "passed_over",
			Fields: []LogField{{"zone", "b"}, {"on", false}, {"well", 3.0}, {"of", 9.0}}},
		"something new": {Event: "mode"},
	} {
		if got := mode(text); got.Event != want.Event || !reflect.DeepEqual(got.Fields, want.Fields) || got.Text != text {
			t.Errorf("%+v", got)
		}
	}
}

// Complaints come once a period, with their number.
func TestComplaintsAreHeldBack(t *testing.T) {
	h := newHost(t, nil)
	h.fleet()
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
	h := newHost(t, nil)
	h.fleet()
	h.pass(10*second, "g1", "g2")
	before := h.open("g1", "view")
	pin, err := h.core.Pin(routing.Pin{Scope: routing.Scope{Table: routing.AnyTable}, Reason: "a quiet night"})
	if err != nil {
		t.Fatal(err)
	}
	h.list(append(entries("a", "a1:1", "a2:1", "a3:1"), entries("b", "b1:1", "b2:1")...)...)
	h.pass(30*second, "g1", "g2")
	if got := h.open("g1", "view"); !slices.Equal(got, before) || h.notes["pinned"] != 1 {
		t.Errorf("pinned at %v, holds %v", before, got)
	}
	e := append(entries("a", "a1:1", "a2:1", "a3:1"), entries("b", "b1:1", "b2:1")...)
	e[0].Status = policyapi.Draining
	h.list(e...)
	h.pass(2*second, "g1", "g2")
	for _, g := range []Gateway{"g1", "g2"} {
		if got := h.open(g, "view"); slices.Contains(got, "a1:1") || len(got) == 0 {
			t.Errorf("%s may send to %v", g, got)
		}
	}
	if h.notes["pin_overruled"] == 0 {
		t.Error("staff are not told that the rules overrule the pin")
	}
	if _, err := h.core.Unpin(pin.ID, "day"); err != nil {
		t.Fatal(err)
	}
	h.pass(5*second, "g1", "g2")
	if got := h.open("g1", "view"); !slices.Contains(got, "a3:1") {
		t.Errorf("unpinned, and still %v", got)
	}
}

// A gateway that holds something else than it should, by its own checksum, is sent the whole again, later each time.
func TestWrongChecksum(t *testing.T) {
	h := newHost(t, nil)
	h.fleet()
	g := h.core.gateways["g1"]
	say := func(sum uint64) {
		h.tell(DocumentAck{Gateway: "g1", Conn: h.conns["g1"], Version: g.ledger.Confirmed(int(EndpointsDocument)).Version, Checksum: sum})
	}
	before := h.sent["g1"]
	if say(routing.Checksum(h.held["g1"].Snapshot)); h.notes["wrong_checksum"] != 0 {
		t.Error("the right checksum voids belief")
	}
	say(12345)
	h.pass(3*second, "g1", "g2")
	if h.sent["g1"] != before+1 || h.notes["wrong_checksum"] != 1 {
		t.Errorf("sent %d times, %v", h.sent["g1"]-before, h.notes)
	}
	for range 200 {
		say(12345)
		h.pass(100_000, "g1", "g2")
	}
	if n := h.sent["g1"] - before; n > 6 {
		t.Errorf("sent %d times in 20 s to one that never holds it", n)
	}
}

// A word about what is held that is overtaken by a later one on another connection is of an earlier state: it voids nothing.
func TestOvertakenChecksum(t *testing.T) {
	h := newHost(t, nil)
	h.fleet()
	h.pass(5*second, "g1", "g2")
	g := h.core.gateways["g1"]
	before := h.sent["g1"]
	say := func(held [documentCount]string) {
		h.tell(DocumentAck{Gateway: "g1", Conn: h.conns["g1"], Version: g.ledger.Confirmed(int(EndpointsDocument)).Version, Checksum: 12345, ChecksumVersions: held})
	}
	if say([documentCount]string{g.ledger.Confirmed(int(EndpointsDocument)).Version, "e.0"}); h.notes["wrong_checksum"] != 0 || h.sent["g1"] != before {
		t.Errorf("overtaken: %v", h.notes)
	}
	if say([documentCount]string{g.ledger.Confirmed(int(EndpointsDocument)).Version, g.ledger.Confirmed(int(RoutesDocument)).Version}); h.notes["wrong_checksum"] != 1 {
		t.Errorf("of what it holds now: %v", h.notes)
	}
}

// What the weight solver has in place of the module's tables has versions too: a pin made while it acts holds what it had.
func TestPinHoldsTheSolversTables(t *testing.T) {
	h := newHost(t, func(s *Settings) { s.Start.ProxyCount = 2 })
	h.fleet()
	h.pass(5*second, "g1", "g2")
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
			h.tell(in...)
		}
	}
	pass(12)
	if slices.Contains(h.open("g1", "save"), "a1:1") || !slices.Contains(h.open("g1", "view"), "a1:1") {
		t.Fatalf("the solver does not act: save by %v", h.open("g1", "save"))
	}
	table := h.core.gateways["g1"].binds[1]
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
			w[i] = h.weight("g1", "save", b)
		}
		return w
	}
	before := weights()
	h.restart(second, "g1", "g2") // the pin survives with what it holds
	failing = false
	if pass(20); weights() != before || h.weight("g1", "save", "a1:1") > 0 {
		t.Errorf("pinned at %v, and save goes by %v", before, weights())
	}
	if _, err := h.core.Unpin(pin.ID, "day"); err != nil {
		t.Fatal(err)
	}
	pass(20)
	if !slices.Contains(h.open("g1", "save"), "a1:1") {
		t.Errorf("unpinned, and save goes to %v alone", h.open("g1", "save"))
	}
}
