package policy

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"

	"porthub/policyapi"
)

// A quiet fleet keeps its tries at home, every proxy has a line for every kind, and nothing is turned away.
func TestLowLoadStaysInLocalZone(t *testing.T) {
	h := newHost(t, nil)
	h.startFleet()
	h.advance(10*second, h.steadyReports(10, 0.3, 200_000))
	for p, home := range map[policyapi.ProxyID]policyapi.EndpointID{0: "a", 1: "b", 2: "c"} {
		for k, table := range h.binds[p] {
			lines := h.tables[table]
			if len(lines) != 2 || lines[home+"1"] == 0 || lines[home+"2"] == 0 {
				t.Errorf("proxy %d, kind %d: lines %v, want the two at home", p, k, lines)
			}
		}
	}
	if a := h.admissions[0]; a.Level < unlimitedLevel || a.RetryPolicy != 1 {
		t.Errorf("quiet fleet has level %+v", a)
	}
}

// A backend that answers nothing while its lines should bring tries loses its lines, and gets them back step by step
// once a probe goes well.
func TestUnresponsiveEndpointIsEjectedAndRecovers(t *testing.T) {
	h := newHost(t, nil)
	h.startFleet()
	h.advance(5*second, h.steadyReports(20, 0.4, 200_000))
	full := h.tables[0]["a1"]
	h.advance(5*second, h.steadyReports(20, 0.4, 200_000, "a1"))
	if w, has := h.tables[0]["a1"]; has {
		t.Fatalf("the silent backend still has weight %.2f", w)
	}
	h.advance(3*second, h.steadyReports(20, 0.4, 200_000, "a1"))
	if h.count["probe"] == 0 {
		t.Fatal("nobody probed it")
	}
	h.step(policyapi.HealthCheckResult{Endpoint: "a1", Healthy: true})
	h.advance(2*second, h.steadyReports(20, 0.4, 200_000))
	if w := h.tables[0]["a1"]; w == 0 || w > full/2 {
		t.Errorf("back with weight %.2f, want a small part of %.2f", w, full)
	}
	h.advance(20*second, h.steadyReports(20, 0.4, 200_000))
	if w := h.tables[0]["a1"]; w < 0.8*full {
		t.Errorf("long after it has weight %.2f, want about %.2f", w, full)
	}
}

// Most backends fall silent to one zone at once: the way there is at fault, and its tables must not be emptied.
func TestPanicThresholdKeepsLines(t *testing.T) {
	h := newHost(t, nil)
	h.startFleet()
	h.advance(12*second, h.steadyReports(60, 0.3, 400_000))
	if n := len(h.tables[h.binds[0][0]]); n < 6 {
		t.Fatalf("the full fleet is not open: %d lines", n)
	}
	h.advance(20*second, h.steadyReports(60, 0.3, 400_000, "a2", "b1", "b2", "c1", "c2"))
	for p, tables := range h.binds {
		if len(h.tables[tables[0]]) < 2 {
			t.Errorf("proxy %d is left with lines %v", p, h.tables[tables[0]])
		}
	}
}

// When all that is left has just started, it still gets lines.
func TestOnlyWarmingEndpointsLeft(t *testing.T) {
	h := newHost(t, nil)
	cold := readyEndpoints("a", "a1", "a2")
	cold[0].StartedAt, cold[1].StartedAt = h.now-second, h.now-second
	h.step(policyapi.EndpointUpdate{Kind: policyapi.Snapshot, Endpoints: cold}, policyapi.ProxyConnected{Proxy: 0, Zone: "b", Weight: 20})
	h.advance(second, nil)
	if lines := h.tables[h.binds[0][0]]; len(lines) != 2 {
		t.Errorf("lines %v", lines)
	}
}

// A backend that drains leaves all tables at once, and proxies that join later never get it.
func TestDrainingEndpointLeavesAllTables(t *testing.T) {
	h := newHost(t, nil)
	h.startFleet()
	h.advance(5*second, h.steadyReports(20, 0.8, 200_000))
	drain := readyEndpoints("a", "a1")
	drain[0].Status = policyapi.Draining
	h.step(policyapi.EndpointUpdate{Kind: policyapi.Delta, Endpoints: drain})
	h.advance(second, nil)
	h.step(policyapi.ProxyConnected{Proxy: 9, Zone: "a", HasDefaultTableOnly: true, Weight: 3})
	h.advance(second, h.steadyReports(20, 0.8, 200_000))
	for table, lines := range h.tables {
		if w, has := lines["a1"]; has {
			t.Errorf("table %d still has the draining backend at %.2f", table, w)
		}
	}
	if len(h.binds[9]) == 0 {
		t.Error("the late proxy was not bound")
	}
}

// A drain that comes too soon after other changes goes out with the next beat, not when the routine may.
func TestDrainDoesNotWaitForRoutineTurn(t *testing.T) {
	h := newHost(t, nil)
	h.startFleet()
	h.advance(5*second, h.steadyReports(20, 0.5, 200_000))
	h.advance(second/2, nil)
	other := readyEndpoints("b", "b2")
	other[0].Status = policyapi.Draining
	h.step(policyapi.EndpointUpdate{Kind: policyapi.Delta, Endpoints: other})
	h.now += second / 10
	drain := readyEndpoints("a", "a1")
	drain[0].Status = policyapi.Draining
	h.step(policyapi.EndpointUpdate{Kind: policyapi.Delta, Endpoints: drain})
	h.advance(second/2, h.steadyReports(20, 0.5, 200_000)) // the next beat falls in it
	for table, lines := range h.tables {
		if w, has := lines["a1"]; has {
			t.Errorf("table %d still has the draining backend at %.2f", table, w)
		}
	}
}

// A zone without backends gets lines elsewhere: a joined proxy always has one while any is listed ready.
func TestZoneWithoutEndpointsUsesOtherZones(t *testing.T) {
	h := newHost(t, nil)
	h.startFleet()
	h.advance(3*second, h.steadyReports(20, 0.4, 200_000))
	h.step(policyapi.EndpointUpdate{Kind: policyapi.Snapshot, Endpoints: append(readyEndpoints("b", "b1", "b2"), readyEndpoints("c", "c1")...)})
	h.advance(second, nil)
	if lines := h.tables[h.binds[0][0]]; len(lines) != 3 {
		t.Errorf("the proxy of the lost zone has lines %v", lines)
	}
}

// A backend that has just started gets a small line that grows, and none while all others are overloaded: second
// tries and what shuns the full ones would push it over whatever its weight.
func TestSlowStartOfNewEndpoint(t *testing.T) {
	h := newHost(t, nil)
	h.startFleet()
	h.advance(6*second, h.steadyReports(20, 0.5, 200_000))
	full := h.tables[0]["a1"]
	cold := readyEndpoints("a", "a1")
	cold[0].StartedAt = h.now - second
	h.step(policyapi.EndpointUpdate{Kind: policyapi.Delta, Endpoints: cold})
	h.advance(second, h.steadyReports(20, 0.5, 200_000))
	young := h.tables[0]["a1"]
	if young == 0 || young > 0.3*full {
		t.Errorf("new process has weight %.2f of %.2f", young, full)
	}
	h.advance(8*second, h.steadyReports(20, 0.5, 200_000))
	if w := h.tables[0]["a1"]; w < 1.5*young || w > 0.9*full {
		t.Errorf("half warm it has weight %.2f, from %.2f to %.2f", w, young, full)
	}
	h.failureRate = 0.7
	cold[0].StartedAt = h.now
	h.step(policyapi.EndpointUpdate{Kind: policyapi.Delta, Endpoints: cold})
	h.advance(5*second, h.steadyReports(60, 1, 1_500_000))
	if w := h.tables[0]["a1"]; w > 0 {
		t.Errorf("in the strain the cold backend has weight %.2f", w)
	}
}

// A coordinator that starts over binds nobody by its saved list, which may name the dead as well, until a newer one
// comes; if none does it goes by the saved one before long.
func TestRestartWaitsForNewerList(t *testing.T) {
	h := newHost(t, nil)
	h.step(policyapi.EndpointUpdate{Kind: policyapi.Cached, Endpoints: readyEndpoints("a", "a1", "a2")})
	h.step(policyapi.ProxyConnected{Proxy: 0, Zone: "a", Weight: 20})
	if len(h.binds) > 0 {
		t.Error("bound by the saved list")
	}
	h.step(policyapi.EndpointUpdate{Kind: policyapi.Snapshot, Endpoints: readyEndpoints("a", "a2")})
	if lines := h.tables[h.binds[0][0]]; len(lines) != 1 || lines["a2"] == 0 {
		t.Errorf("lines by the new list: %v", lines)
	}
	g := newHost(t, nil)
	g.step(policyapi.EndpointUpdate{Kind: policyapi.Cached, Endpoints: readyEndpoints("a", "a1")})
	g.step(policyapi.ProxyConnected{Proxy: 0, Zone: "a", Weight: 20})
	g.advance(3*second, nil)
	if len(g.binds) == 0 {
		t.Error("without a newer list nobody was ever bound")
	}
}

// The levels that proxies still hold stand until a coordinator that starts over knows how full the fleet is: in the
// midst of an overload it never opens them.
func TestRestartKeepsAdmissionLevels(t *testing.T) {
	h := newHost(t, nil)
	h.startFleet()
	h.failureRate = 0.3
	h.advance(8*second, h.steadyReports(60, 1, 1_500_000))
	if a, has := h.admissions[0]; !has || h.highest["level"] >= unlimitedLevel {
		t.Errorf("level %+v, the highest so far %d", a, h.highest["level"])
	}
}

// A list that must be asked for is asked for again when the call fails, later each time.
func TestFailedListIsPolledAgain(t *testing.T) {
	h := newHost(t, func(up *policyapi.Start) { up.PollsList = true })
	h.startFleet()
	for range 5 {
		h.step(policyapi.EndpointUpdate{Kind: policyapi.Failed})
		h.advance(4*second, nil)
	}
	if h.count["watch"] != 6 {
		t.Errorf("asked %d times, want once at the start and once after each failure", h.count["watch"])
	}
	if len(h.tables[0]) == 0 {
		t.Error("a failed call emptied the tables")
	}
}

// Overload turns the least payoff away first; when it has passed, everything is let in again before long, and at no
// time may a kind be tried twice on less than proof.
func TestOverloadShedsLowestPriorityAndRecovers(t *testing.T) {
	h := newHost(t, nil)
	h.startFleet()
	h.advance(12*second, h.steadyReports(40, 0.3, 200_000))
	h.failureRate = 0.3
	h.advance(8*second, h.steadyReports(120, 0.3, 1_500_000))
	if view, save := h.admissions[0], h.admissions[1]; view.Level >= unlimitedLevel || view.Level >= save.Level {
		t.Errorf("in overload the levels are %v for payoff 1 and %v for payoff 4", view.Level, save.Level)
	}
	h.failureRate = 0
	h.advance(12*second, h.steadyReports(40, 0.3, 200_000))
	if a := h.admissions[0]; a.Level < unlimitedLevel {
		t.Errorf("long after the overload the level is %v", a.Level)
	}
	h.advance(8*second, h.steadyReports(45, 0.3, 300_000))
	if a := h.admissions[0]; a.Level < unlimitedLevel {
		t.Errorf("what fitted before the overload is now held to %v", a.Level)
	}
	if h.highest["second try"] > 1 {
		t.Errorf("second try %d was ordered", h.highest["second try"])
	}
}

// A backend that says it is full while it answers as fast as ever must not bring levels down.
func TestFalseBusyReportKeepsLevels(t *testing.T) {
	h := newHost(t, nil)
	h.startFleet()
	h.advance(8*second, h.steadyReports(20, 0.5, 200_000))
	h.falselyFull = "a1"
	h.advance(8*second, h.steadyReports(20, 0.5, 200_000))
	if a := h.admissions[0]; a.Level < unlimitedLevel {
		t.Errorf("one false report brought the level to %v", a.Level)
	}
	h.falselyFull = ""
	h.advance(8*second, h.steadyReports(20, 0.5, 700_000))
	if a := h.admissions[0]; a.Level < unlimitedLevel {
		t.Errorf("dear reqs on idle backends brought the level to %v", a.Level)
	}
}

// What slows all backends alike is not one sick backend: weights and lines stay, none is taken out.
func TestFleetWideSlownessEjectsNobody(t *testing.T) {
	h := newHost(t, nil)
	h.startFleet()
	h.advance(8*second, h.steadyReports(20, 0.5, 200_000))
	h.advance(8*second, h.steadyReports(20, 0.8, 500_000))
	for p, home := range map[policyapi.ProxyID]policyapi.EndpointID{0: "a", 1: "b", 2: "c"} {
		if lines := h.tables[h.binds[p][0]]; lines[home+"1"] < 0.8 || lines[home+"2"] < 0.8 {
			t.Errorf("proxy %d has lines %v", p, lines)
		}
	}
}

// A few proxies that suddenly carry much of the traffic open their zone: its home lines would not hold them.
func TestBusyZoneSpillsOver(t *testing.T) {
	h := newHost(t, nil)
	h.startFleet()
	h.advance(8*second, h.steadyReports(20, 0.7, 200_000))
	h.extraRate = 60
	h.advance(8*second, h.steadyReports(20, 0.9, 400_000))
	if lines := h.tables[h.binds[0][0]]; len(lines) < 4 {
		t.Errorf("the busy zone has lines %v", lines)
	}
}

// A kind that only some zones may serve has tables of its own with no line outside of them.
func TestClassStaysInAllowedZones(t *testing.T) {
	h := newHost(t, func(up *policyapi.Start) { up.Classes[1].AllowedZones = []policyapi.Zone{"a", "b"} })
	h.startFleet()
	h.advance(8*second, h.steadyReports(60, 0.9, 400_000))
	for p := range policyapi.ProxyID(3) {
		lines := h.tables[h.binds[p][1]]
		if len(lines) == 0 || lines["c1"] > 0 || lines["c2"] > 0 {
			t.Errorf("proxy %d has lines %v for the kind", p, lines)
		}
	}
}

// However the fleet flaps, no proxy is written more messages than the limit in its span, and with no word of any
// message applied the queue stays under its limit.
func TestMessageAndQueueLimitsHold(t *testing.T) {
	h := newHost(t, func(up *policyapi.Start) { up.Rules.QueueLimit = 400 })
	h.neverAcknowledge = true
	h.startFleet()
	for i := range 300 {
		e := readyEndpoints("b", "b1")
		e[0].Status = policyapi.EndpointStatus(i % 2)
		h.step(policyapi.EndpointUpdate{Kind: policyapi.Delta, Endpoints: e})
		h.advance(second/10, h.steadyReports(10+i%50, 0.9, micros(200_000+i*3000)))
	}
	if h.highest["messages"] > 20 {
		t.Errorf("%d messages to one proxy in a span", h.highest["messages"])
	}
	if h.unacknowledgedLines > 400 {
		t.Errorf("%.0f lines written that nobody acknowledged, the limit is 400", h.unacknowledgedLines)
	}
}

// Late, doubled, contradictory and unknown events do no harm.
func TestUnexpectedEventsAreHarmless(t *testing.T) {
	h := newHost(t, nil)
	h.step(policyapi.EndpointLoad{Zone: "z", Endpoint: "x", Attempts: -3, Failures: 9}, policyapi.Acknowledged{Proxy: 7, AckID: 3})
	h.startFleet()
	odd := []policyapi.Event{
		policyapi.EndpointLoad{Zone: "a", Endpoint: "gone", Attempts: 5}, policyapi.EndpointLoad{Zone: "z", Endpoint: "a1", Attempts: 5},
		policyapi.ProxyLoad{Proxy: 77, Class: 1, Requests: 9}, policyapi.ProxyLoad{Proxy: 0, Class: -1, Requests: 9},
		policyapi.HealthCheckResult{Endpoint: "x", Healthy: true}, policyapi.ProxyDisconnected{Proxy: 77}, policyapi.ProxyDisconnected{Proxy: 2},
		policyapi.ProxyDisconnected{Proxy: 2}, policyapi.TimerFired{Token: 99}, policyapi.PeerMessage{From: 3, Body: []byte("?")},
		policyapi.Acknowledged{Proxy: 0, AckID: 9999}, policyapi.SliceAssigned{Assigned: true, Table: 3}, policyapi.SliceLoad{Table: 3},
		policyapi.EndpointLoad{Zone: "a", Endpoint: "a1", Attempts: 0, Failures: 4, Metrics: policyapi.LoadMetrics{"busy": -1, "odd": 3}},
		policyapi.EndpointUpdate{Kind: policyapi.Delta, Endpoints: []policyapi.Endpoint{{ID: "new", Zone: "z"},
			{ID: "a9", Status: policyapi.Removed}}},
		policyapi.ProxyConnected{Proxy: 1, Zone: "z"}, policyapi.ProxyConnected{Proxy: 1, Zone: "b", Weight: 5},
	}
	for range 20 {
		h.step(odd...)
		h.advance(second, h.steadyReports(20, 0.5, 200_000))
	}
	if lines := h.tables[h.binds[0][0]]; lines["a1"] == 0 || lines["a2"] == 0 {
		t.Errorf("the home lines are %v", lines)
	}
}

// One backend that answers far later than its kind, but still answers, is no sick one: it gets less, not nothing.
func TestSlowerThanMachineTypeGetsLessWeight(t *testing.T) {
	h := newHost(t, nil)
	h.startFleet()
	h.advance(8*second, h.steadyReports(20, 0.5, 200_000))
	full := h.tables[0]["a1"]
	h.slowEndpoint = "a1"
	h.advance(6*second, h.steadyReports(20, 0.5, 200_000))
	if w := h.tables[0]["a1"]; w == 0 || w > 0.7*full {
		t.Errorf("the slow one has weight %.2f of %.2f", w, full)
	}
	h.slowEndpoint = ""
	h.advance(10*second, h.steadyReports(20, 0.5, 200_000))
	if w := h.tables[0]["a1"]; w < 0.8*full {
		t.Errorf("recovered it has weight %.2f of %.2f", w, full)
	}
}

// When reports dry up, nothing is concluded from that: lines and levels stay.
func TestMissingReportsChangeNothing(t *testing.T) {
	h := newHost(t, nil)
	h.startFleet()
	h.advance(10*second, h.steadyReports(20, 0.4, 200_000))
	before := len(h.tables[0])
	h.advance(30*second, nil)
	if len(h.tables[0]) != before || h.admissions[0].Level < unlimitedLevel {
		t.Errorf("after 30 s without reports: lines %v, level %v", h.tables[0], h.admissions[0].Level)
	}
}

// A backend that only one zone's proxies can't reach leaves that zone's tables alone.
func TestEjectionFromOneZoneOnly(t *testing.T) {
	h := newHost(t, nil)
	h.startFleet()
	h.advance(12*second, h.steadyReports(60, 0.3, 400_000))
	say := h.steadyReports(60, 0.3, 400_000)
	h.advance(4*second, func() []policyapi.Event {
		return slices.DeleteFunc(say(), func(ev policyapi.Event) bool {
			heard, is := ev.(policyapi.EndpointLoad)
			return is && heard.Zone == "a" && heard.Endpoint == "b1"
		})
	})
	if h.tables[h.binds[0][0]]["b1"] > 0 || h.tables[h.binds[1][0]]["b1"] == 0 {
		t.Errorf("lines of zone a %v, of zone b %v", h.tables[h.binds[0][0]], h.tables[h.binds[1][0]])
	}
}

// A large fleet is packed: a proxy's table has a few lines of its zone, groups carry alike, and however many join at
// once, with no word of any message applied, the queue stays under its limit.
func TestLargeFleetIsPackedIntoGroups(t *testing.T) {
	for _, deaf := range []bool{true, false} {
		h := newHost(t, func(up *policyapi.Start) {
			up.ProxyCount, up.Channel.EndpointConnections, up.Rules.QueueLimit = 120, 200, 600
		})
		var events []policyapi.Event
		for i := range 120 {
			zone := policyapi.Zone("abc"[i%3 : i%3+1])
			if i < 36 {
				id := policyapi.EndpointID(zone) + policyapi.EndpointID(rune('A'+i))
				events = append(events, policyapi.EndpointUpdate{Endpoints: readyEndpoints(zone, id)})
			}
			events = append(events, policyapi.ProxyConnected{Proxy: policyapi.ProxyID(i), Zone: zone, Weight: 2})
		}
		h.neverAcknowledge = deaf
		h.step(events...)
		h.advance(9*second, nil)
		if h.unacknowledgedLines > 600 || (len(h.binds) < 120) != deaf {
			t.Errorf("deaf %t: %d of 120 proxies bound, %.0f lines queued", deaf, len(h.binds), h.unacknowledgedLines)
		}
		for p, tables := range h.binds {
			// of 36 backends three of a group, and those of its number in the two other zones
			if n := len(h.tables[tables[0]]); n < 2 || n > 9 {
				t.Errorf("proxy %d has %d lines", p, n)
			}
		}
	}
}

// Reports are capped: a backend that was not heard of is not silent while older lines still come, and is once they
// are through.
func TestUnreportedEndpointIsNotSilent(t *testing.T) {
	for _, intake := range []float64{8, 200} {
		h := newHost(t, func(up *policyapi.Start) { up.Reports.MaxLinesPerSecond = intake })
		h.startFleet()
		h.advance(5*second, h.steadyReports(20, 0.4, 200_000))
		say := h.steadyReports(20, 0.4, 200_000, "a1")
		h.advance(5*second, func() []policyapi.Event {
			events := say()
			for i, ev := range events {
				if heard, is := ev.(policyapi.EndpointLoad); is {
					heard.Period = 9 * second
					events[i] = heard
				}
			}
			return events
		})
		if _, has := h.tables[h.binds[0][0]]["a1"]; has != (intake < 20) {
			t.Errorf("with %.0f lines a second at most, the unheard backend has a line: %t", intake, has)
		}
	}
}

// Where gone does not bind, a list that calls a serving backend gone takes no line from it; where it binds, it does.
func TestListRemovesServingEndpoint(t *testing.T) {
	for _, soft := range []bool{true, false} {
		h := newHost(t, func(up *policyapi.Start) { up.Rules.SoftRemoval = soft })
		h.startFleet()
		h.advance(5*second, h.steadyReports(20, 0.4, 200_000))
		h.step(policyapi.EndpointUpdate{Kind: policyapi.Snapshot, Endpoints: readyEndpoints("a", "a2")})
		h.advance(5*second, h.steadyReports(20, 0.4, 200_000))
		if w := h.tables[h.binds[0][0]]["a1"]; (w > 0) != soft {
			t.Errorf("gone alone binds: %t, weight %.2f", !soft, w)
		}
		h.advance(20*second, h.steadyReports(20, 0.4, 200_000, "a1"))
		if w := h.tables[h.binds[0][0]]["a1"]; w > 0 {
			t.Errorf("it is truly gone and has weight %.2f", w)
		}
	}
}

// A group of which all but a cold backend are gone borrows from its zone: the cold one must not get all its load.
func TestWarmingEndpointIsNeverAlone(t *testing.T) {
	h := newHost(t, func(up *policyapi.Start) { up.ProxyCount, up.Channel.EndpointConnections = 12, 20 })
	var events []policyapi.Event
	for p, z := range []policyapi.Zone{"a", "b", "c"} {
		id := policyapi.EndpointID(z)
		events = append(events, policyapi.EndpointUpdate{Endpoints: readyEndpoints(z, id+"1", id+"2", id+"3", id+"4")},
			policyapi.ProxyConnected{Proxy: policyapi.ProxyID(p), Zone: z, Weight: 20})
	}
	h.step(events...)
	h.advance(10*second, h.steadyReports(20, 0.4, 200_000))
	held := slices.Sorted(maps.Keys(h.tables[h.binds[0][0]]))
	change := readyEndpoints("a", held...)
	change[0].StartedAt, change[1].Status = h.now, policyapi.Draining
	h.step(policyapi.EndpointUpdate{Kind: policyapi.Delta, Endpoints: change})
	lines := h.tables[h.binds[0][0]]
	if w, all := lines[held[0]], sum(slices.Collect(maps.Values(lines))); len(held) != 2 || w == 0 || w > 0.3*all {
		t.Errorf("held %v, then the cold one has %.2f of %.2f in %v", held, w, all, lines)
	}
}

// A coordinator that starts with a short, wrong list divides its zones anew once the true one is there.
func TestGroupsAfterShortFirstList(t *testing.T) {
	h := newHost(t, func(up *policyapi.Start) { up.ProxyCount, up.Channel.EndpointConnections = 12, 20 })
	h.startFleet()
	for i := range 8 {
		id := policyapi.EndpointID(rune('A' + i))
		h.step(policyapi.EndpointUpdate{Endpoints: append(append(readyEndpoints("a", "a"+id), readyEndpoints("b", "b"+id)...), readyEndpoints("c", "c"+id)...)})
	}
	h.advance(9*second, h.steadyReports(10, 0.3, 200_000))
	if lines := h.tables[h.binds[0][0]]; len(lines) < 2 || len(lines) > 5 {
		t.Errorf("of ten backends in its zone the proxy has %v", lines)
	}
}

// One proxy's traffic grows a hundredfold before anybody hears of it: what its narrow table lets in of all kinds
// leaves the cold backend in it under the multiple that it can bear, until it is warm.
func TestOneProxyCannotOverloadWarmingEndpoint(t *testing.T) {
	h := newHost(t, func(up *policyapi.Start) { up.ProxyCount, up.Channel.EndpointConnections = 12, 20 })
	h.startFleet()
	h.advance(10*second, h.steadyReports(20, 0.4, 200_000))
	h.step(policyapi.EndpointUpdate{Kind: policyapi.Delta, Endpoints: []policyapi.Endpoint{
		{ID: "a3", Zone: "a", Weight: 1, MachineType: "std", StartedAt: h.now - 3*second}}})
	h.advance(second, h.steadyReports(20, 0.4, 200_000))
	table := h.binds[0][0]
	lines, level := h.tables[table], h.tableLevel(table)
	part := lines["a3"] / sum(slices.Collect(maps.Values(lines)))
	if can := 25 * (0.2 + 0.8*3/16); part == 0 || level == 0 || 2*level*part > 2.5*can {
		t.Errorf("the cold one can do %.1f, may be sent %.2f of two kinds at %.1f", can, part, level)
	}
	h.advance(20*second, h.steadyReports(20, 0.4, 200_000))
	if level := h.tableLevel(table); level < unlimitedLevel {
		t.Errorf("all are warm, the table's level is %.1f", level)
	}
}

// admission is the level of a table's own.
func (h *host) tableLevel(table policyapi.TableID) float64 {
	c := h.instance.planner.channel
	for _, r := range c.replicas {
		if set := int(table - r.firstTable); set >= 0 && set < len(r.tables) {
			return r.tables[set].admission.Level
		}
	}
	h.t.Fatalf("there is no table %d", table)
	return 0
}

// What a rate lets through of reqs that come by chance is what a limiter with two seconds' worth of room, for one at least,
// lets through of a drawn course; it never is more than the lower of the two, and a rate that is far above passes all.
func TestAdmittedByTokenBucket(t *testing.T) {
	draw := rand.New(rand.NewPCG(1, 2))
	for _, c := range []struct{ usage, rate float64 }{{0.8, 0.45}, {0.8, 0.8}, {0.5, 5}, {3, 1}, {3, 3}, {10, 6}, {40, 35}} {
		const seconds = 4000
		places, room, in := max(1, 2*c.rate), 1.0, 0.0
		for at := 0.0; at < seconds; {
			gap := draw.ExpFloat64() / c.usage
			at += gap
			if room = min(places, room+gap*c.rate); room >= 1 {
				room, in = room-1, in+1
			}
		}
		got := admittedByTokenBucket(c.usage, c.rate)
		if drawn := in / seconds; math.Abs(got-drawn) > 0.15*drawn || got > min(c.usage, c.rate) {
			t.Errorf("usage %g, rate %g: %.3f passes, %.3f of a drawn course", c.usage, c.rate, got, drawn)
		}
	}
	if admittedByTokenBucket(0, 1) != 0 || admittedByTokenBucket(1, 0) != 0 || admittedByTokenBucket(2, 1e6) < 1.999 {
		t.Errorf("%g, %g, %g", admittedByTokenBucket(0, 1), admittedByTokenBucket(1, 0), admittedByTokenBucket(2, 1e6))
	}
}

// A proxy that has fallen silent without a word acknowledges nothing: what went to it does not hold the others' orders back.
func TestUnresponsiveProxyDelaysNobody(t *testing.T) {
	h := newHost(t, func(up *policyapi.Start) { up.Rules.QueueLimit = 150 })
	h.startFleet()
	h.advance(5*second, h.steadyReports(20, 0.5, 200_000))
	h.unacknowledging = []policyapi.ProxyID{2}
	other := append(readyEndpoints("c", "c2"), readyEndpoints("b", "b2")...)
	for i := range 30 {
		other[0].Status = []policyapi.EndpointStatus{policyapi.Draining, policyapi.Ready}[i%2]
		other[1].Status = other[0].Status
		h.step(policyapi.EndpointUpdate{Kind: policyapi.Delta, Endpoints: other})
		h.advance(3*second, h.steadyReports(20, 0.5, 200_000))
	}
	drain := readyEndpoints("a", "a1")
	drain[0].Status = policyapi.Draining
	h.step(policyapi.EndpointUpdate{Kind: policyapi.Delta, Endpoints: drain})
	h.advance(2*second, h.steadyReports(20, 0.5, 200_000))
	for p, tables := range h.binds {
		if _, has := h.tables[tables[0]]["a1"]; has {
			t.Errorf("proxy %d still has the draining backend", p)
		}
	}
	if s := h.instance.actors[3].(*channel).streams[2]; len(s.unacknowledged) > maxUnacknowledged || len(s.unacknowledged) < 10 {
		t.Errorf("%d messages to the silent proxy are kept", len(s.unacknowledged))
	}
}

// Backends under ever new ids: of those long gone nothing is kept, and one that comes back in time is known.
func TestRemovedEndpointsAreForgotten(t *testing.T) {
	h := newHost(t, nil)
	h.startFleet()
	for i := range 300 {
		id := policyapi.EndpointID(strconv.Itoa(i))
		h.step(policyapi.EndpointUpdate{Kind: policyapi.Delta, Endpoints: readyEndpoints("a", id)})
		h.advance(second, h.steadyReports(20, 0.5, 200_000))
		gone := readyEndpoints("a", id)
		gone[0].Status = policyapi.Removed
		h.step(policyapi.EndpointUpdate{Kind: policyapi.Delta, Endpoints: gone})
	}
	h.advance(second, h.steadyReports(20, 0.5, 200_000))
	in, most := h.instance, 6+int(endpointRetention/second)+3
	for what, n := range map[string]int{"actors": len(in.endpoints.actors), "order": len(in.endpoints.order), "left": len(in.endpoints.removedAt),
		"views": len(in.planner.endpoints), "member": len(in.planner.endpointGroup), "loads": len(in.planner.endpointLoad)} {
		if n > most {
			t.Errorf("%d %s are kept, %d expected", n, what, most)
		}
	}
	back := readyEndpoints("a", "299")
	h.step(policyapi.EndpointUpdate{Kind: policyapi.Delta, Endpoints: back})
	h.advance(2*endpointRetention, h.steadyReports(20, 0.5, 200_000))
	if in.endpoints.actors["299"] == nil || in.endpoints.actors["298"] != nil || len(in.endpoints.actors) != 7 {
		t.Errorf("%d actors", len(in.endpoints.actors))
	}
}
