package policy

import (
	"maps"
	"slices"
	"testing"

	"porthub/policyapi"
)

// zoneOf starts a coordinator whose first zone has so many endpoints and proxies, in small groups.
func zoneOf(t *testing.T, endpoints, proxies int, change func(*policyapi.Start)) (*host, []policyapi.EndpointID) {
	h := start(t, func(up *policyapi.Start) {
		up.ProxyCount, up.Channel.EndpointConnections = 40, 20
		if change != nil {
			change(up)
		}
	})
	var ids []policyapi.EndpointID
	for i := range endpoints {
		ids = append(ids, policyapi.EndpointID("a"+string(rune('A'+i))))
	}
	h.tell(policyapi.EndpointUpdate{Kind: policyapi.Snapshot, Endpoints: ready("a", ids...)})
	for p := range policyapi.ProxyID(proxies) {
		h.tell(policyapi.ProxyConnected{Proxy: p, Zone: "a", HasDefaultTableOnly: true, Weight: 20})
	}
	h.pass(3*second, nil)
	return h, ids
}

func (h *host) channel() *channel { return h.in.planner.channel }

func (h *host) drain(zone policyapi.Zone, ids ...policyapi.EndpointID) {
	entries := ready(zone, ids...)
	for i := range entries {
		entries[i].Status = policyapi.Draining
	}
	h.tell(policyapi.EndpointUpdate{Kind: policyapi.Delta, Endpoints: entries})
}

// offers tells whether a proxy's table for a kind has an endpoint, by what was ordered.
func (h *host) offers(p policyapi.ProxyID, kind int, id policyapi.EndpointID) bool {
	return h.tables[h.binds[p][kind]][id] > 0
}

// wait keeps so much of the queue taken: routine, moves and joinings do not go out.
func (h *host) wait(part float64) {
	h.channel().left = []pendingMessage{{at: h.now, lines: part * h.channel().queueCap}}
}

// A proxy is to move to another group and can't yet: the queue has no room for routine. Its old group has no proxies any more by the
// plan, and loses an endpoint all the same. (Before, a group that nobody was meant to use was not planned, and what it held not
// looked at.)
func TestTableThatIsToBeLeftLosesEndpoints(t *testing.T) {
	h, ids := zoneOf(t, 8, 1, nil)
	planner, old := h.in.planner, h.in.planner.homes[0]
	if planner.perZone < 2 {
		t.Fatalf("%d groups", planner.perZone)
	}
	h.wait(0.5)
	planner.homes[0] = (old + 1) % planner.perZone
	var mine policyapi.EndpointID
	for _, id := range ids {
		if h.offers(0, 0, id) {
			mine = id
		}
	}
	h.drain("a", mine)
	for range 10 {
		h.wait(0.5)
		h.pass(second/10, nil)
	}
	if planner.homes[0] == old || h.channel().streams[0].replica.group != planner.groups[old].id {
		t.Fatal("it was to be bound to the old group, and planned to another")
	}
	if h.offers(0, 0, mine) {
		t.Errorf("a second after the drain the proxy is still offered %s", mine)
	}
}

// The last endpoint that a kind may go to drains: its table is planned, and empty. (Before, that passed for a table that is not
// planned, and the proxies kept the endpoint for good.)
func TestTableWithoutAnEndpointIsEmptied(t *testing.T) {
	for name, limit := range map[string]func(*policyapi.ClassSettings){
		"own zone":   func(k *policyapi.ClassSettings) { k.LocalZoneOnly = true },
		"some zones": func(k *policyapi.ClassSettings) { k.AllowedZones = []policyapi.Zone{"a"} },
	} {
		t.Run(name, func(t *testing.T) {
			h, _ := zoneOf(t, 1, 1, func(up *policyapi.Start) { limit(&up.Classes[1]) })
			h.tell(policyapi.EndpointUpdate{Kind: policyapi.Delta, Endpoints: ready("b", "b1", "b2")})
			h.pass(second, nil)
			if !h.offers(0, 1, "aA") {
				t.Fatal("it is not offered what it may use")
			}
			h.drain("a", "aA")
			h.pass(second, nil)
			if h.offers(0, 1, "aA") || h.offers(0, 0, "aA") {
				t.Error("a second after the drain it is still offered")
			}
			if !h.offers(0, 0, "b1") {
				t.Error("the kind that may go everywhere has no endpoint")
			}
		})
	}
}

// The list has more than doubled and the groups are made anew, while the proxies are still bound to tables of the old ones: an
// endpoint of those drains.
func TestTablesOfOldGroupsLoseEndpoints(t *testing.T) {
	h, ids := zoneOf(t, 8, 6, nil)
	entries := ready("a", ids...)
	for i := range 30 {
		entries = append(entries, ready("b", policyapi.EndpointID("b"+string(rune('A'+i))))...)
	}
	before := map[policyapi.ProxyID]groupID{}
	for p, s := range h.channel().streams {
		before[p] = s.replica.group
	}
	h.wait(0.6)
	h.tell(policyapi.EndpointUpdate{Kind: policyapi.Snapshot, Endpoints: entries})
	h.drain("a", ids[:4]...)
	for range 10 {
		h.wait(0.6)
		h.pass(second/10, nil)
	}
	for p, s := range h.channel().streams {
		if s.replica.group != before[p] {
			t.Fatalf("proxy %d has moved: nothing is shown", p)
		}
		for _, id := range ids[:4] {
			if h.offers(p, 0, id) {
				t.Errorf("a second after the drain proxy %d is still offered %s", p, id)
			}
		}
	}
	h.channel().left = nil
	h.pass(30*second, nil)
	if n := len(h.in.planner.retired); n > 0 {
		t.Errorf("%d old groups are kept after half a minute", n)
	}
}

// So many proxies share a group's tables that a line to all of them does not fit into the queue at once: it goes out in pieces, as
// acknowledgements come. (Before, all or nothing.)
func TestLossToMoreProxiesThanTheQueueHolds(t *testing.T) {
	for _, c := range []struct{ proxies, lost int }{{3000, 1}, {3000, 3}, {400, 60}} {
		out := &outbox{}
		ch := newChannel(out, 6000, 6, 20, 10*second, second, 3*second)
		ch.masks = []policyapi.ClassSet{7}
		w := planOf(1, 100)
		for p := range policyapi.ProxyID(c.proxies) {
			ch.take(0, policyapi.ProxyConnected{Proxy: p})
			w.homes[p] = 0
		}
		at := micros(0)
		for ; ch.bound() < c.proxies; at += second / 10 {
			ch.sendPlan(at, w)
			ch.answerAll()
		}
		w.withdraw(0, c.lost, 1)
		at += second
		for step := 0; step == 0 || len(ch.losing(at)) > 0; step++ {
			ch.sendPlan(at, w)
			if waiting := ch.waiting(at); waiting > ch.queueCap {
				t.Fatalf("%+v: %.0f lines wait, of %.0f", c, waiting, ch.queueCap)
			}
			ch.answerAll()
			if at += second / 2; step > 100 {
				t.Fatalf("%+v: the loss does not go out", c)
			}
		}
		for _, r := range ch.replicas {
			if n := len(r.tables[0].lines); n != 100-c.lost {
				t.Errorf("%+v: a table has %d lines", c, n)
			}
		}
	}
}

// What drains does not wait behind what looks sick: where both do not fit, the drain goes.
func TestDrainGoesBeforeSickness(t *testing.T) {
	c, out, w := channelOf(t, 500)
	now := 200 * second
	drained := w.lines(0)[99].backend
	delete(w.ready, drained)
	w.tables[0] = []tablePlan{{lines: w.lines(0)[50:99], guard: everything}} // fifty are sick
	c.left = []pendingMessage{{at: now, lines: 0.8 * c.queueCap}}
	c.sendPlan(now, w)
	var lost []policyapi.EndpointID
	for _, order := range out.orders {
		if l, is := order.(policyapi.SetWeight); is && l.Weight == 0 {
			lost = append(lost, l.Endpoint)
		}
	}
	if !slices.Contains(lost, drained) || len(lost) > 10 {
		t.Errorf("%d lines are lost, among them the drained one: %t", len(lost), slices.Contains(lost, drained))
	}
}

// A proxy's tables take most of the queue, or more than all of it: it is bound all the same once nothing waits.
func TestTablesAsLargeAsTheQueue(t *testing.T) {
	for _, limit := range []float64{1000, 300, 120, 50} {
		h, _ := zoneOf(t, 60, 1, func(up *policyapi.Start) {
			up.Rules.QueueLimit, up.ProxyCount, up.Channel.EndpointConnections = limit, 1, 3000
		})
		if h.binds[0] == nil {
			t.Errorf("with %.0f lines in the queue the proxy keeps what it brought along", limit)
			continue
		}
		cost := h.channel().messageOverhead() + h.channel().bindCost(h.channel().streams[0].replica)
		if cost > limit {
			t.Errorf("its tables cost %.0f lines, of %.0f", cost, limit)
		}
	}
}

// Few messages may go to a proxy: a loss takes the last of them.
func TestLossWithFewMessages(t *testing.T) {
	for _, most := range []int{1, 2, 3, 4} {
		h, ids := zoneOf(t, 8, 1, func(up *policyapi.Start) { up.Rules.MessageLimit = most })
		h.pass(12*second, nil)
		var mine policyapi.EndpointID
		for _, id := range ids {
			if h.offers(0, 0, id) {
				mine = id
			}
		}
		h.drain("a", mine)
		h.pass(5*second/2, nil)
		if h.offers(0, 0, mine) {
			t.Errorf("with %d messages in the span the proxy is still offered %s", most, mine)
		}
		if h.most["messages"] > most {
			t.Errorf("%d messages went out, %d may", h.most["messages"], most)
		}
	}
}

// One proxy was sent all the messages that it may get: the others on its tables do not wait for it.
func TestLossDoesNotWaitForAProxyWithoutMessages(t *testing.T) {
	c, _, w := channelOf(t, 10)
	now := 200 * second
	c.streams[3].sent = slices.Repeat([]micros{now - second}, 20)
	w.withdraw(0, 1, 1)
	c.sendPlan(now, w)
	for p, s := range c.streams {
		if n := len(s.replica.tables[0].lines); (n == 100) != (p == 3) {
			t.Errorf("proxy %d has %d lines", p, n)
		}
	}
	c.answerAll()
	c.sendPlan(now+10*second, w)
	if n := len(c.streams[3].replica.tables[0].lines); n != 99 {
		t.Errorf("once it may get messages again it has %d lines", n)
	}
}

// After a start only a saved list is at hand, and no newer one comes: what it calls draining is out of all tables within the grace,
// also where a report's period is longer than that. An empty list that has come is believed, none is not.
func TestWhatProxiesBringAlongAfterAStart(t *testing.T) {
	saved := ready("a", "a1", "a2")
	saved[1].Status = policyapi.Draining
	for name, c := range map[string]struct {
		lists []policyapi.EndpointUpdate
		bound bool
		want  []policyapi.EndpointID
	}{
		"saved list":         {[]policyapi.EndpointUpdate{{Kind: policyapi.Cached, Endpoints: saved}}, true, []policyapi.EndpointID{"a1"}},
		"no list":            {[]policyapi.EndpointUpdate{{Kind: policyapi.Cached}}, false, nil},
		"a failure":          {[]policyapi.EndpointUpdate{{Kind: policyapi.Cached}, {Kind: policyapi.Failed}}, false, nil},
		"an empty list":      {[]policyapi.EndpointUpdate{{Kind: policyapi.Cached, Endpoints: saved}, {Kind: policyapi.Snapshot}}, true, nil},
		"empty from nothing": {[]policyapi.EndpointUpdate{{Kind: policyapi.Cached}, {Kind: policyapi.Snapshot}}, true, nil},
	} {
		t.Run(name, func(t *testing.T) {
			h := start(t, func(up *policyapi.Start) { up.Reports.Period = 5 * second })
			for _, list := range c.lists {
				h.tell(list)
			}
			h.tell(policyapi.ProxyConnected{Proxy: 0, Zone: "a"})
			h.pass(2*second, nil)
			if bound := h.binds[0] != nil; bound != c.bound {
				t.Fatalf("bound: %t", bound)
			}
			if !c.bound {
				return
			}
			if got := slices.Sorted(maps.Keys(h.tables[h.binds[0][0]])); !slices.Equal(got, c.want) {
				t.Errorf("it is offered %v, want %v", got, c.want)
			}
		})
	}
}

// The queue is full when a drain comes, and is free soon after: the loss does not wait for the next report, which is long in coming.
func TestLossIsTriedAgainBetweenReports(t *testing.T) {
	h, ids := zoneOf(t, 4, 2, func(up *policyapi.Start) { up.Reports.Period = 5 * second })
	h.pass(10*second, nil)
	h.wait(0.95)
	h.drain("a", ids[0])
	if !h.offers(0, 0, ids[0]) && !h.offers(1, 0, ids[0]) {
		t.Fatal("it went out through a full queue, or was not offered")
	}
	h.channel().left = nil
	h.pass(second, nil)
	if h.offers(0, 0, ids[0]) || h.offers(1, 0, ids[0]) {
		t.Error("a second later it is still offered")
	}
}

// An instance whose code has failed had filled the queue, and sent one proxy most of its messages: the one that takes its place
// keeps to the limits with that.
func TestLimitsOverAFailure(t *testing.T) {
	h, _ := zoneOf(t, 8, 2, nil)
	failed := h.in
	failed.planner.channel.streams[1].sent = slices.Repeat([]micros{h.now}, 20)
	failed.planner.channel.streams[0].unacknowledged = []pendingMessage{{at: h.now, lines: 1234}}
	h.in = New(policyapi.Start{Zones: []policyapi.Zone{"a"}, Classes: make([]policyapi.ClassSettings, 2), Reports: policyapi.ReportSettings{Period: second},
		Rules: policyapi.RuleSettings{QueueLimit: 5000, MessageLimit: 20, MessageWindow: 10 * second, DrainGracePeriod: 3 * second}})
	h.in.TakeOver(failed)
	if waiting := h.channel().waiting(h.now); waiting < 1234 {
		t.Errorf("%.0f lines wait, 1234 did", waiting)
	}
	h.tell(policyapi.EndpointUpdate{Kind: policyapi.Snapshot, Endpoints: ready("a", "a1")}, policyapi.ProxyConnected{Proxy: 0, Zone: "a"}, policyapi.ProxyConnected{Proxy: 1, Zone: "a"})
	h.pass(second, nil)
	if h.channel().streams[0].replica == nil || h.channel().streams[1].replica != nil {
		t.Error("the one with messages left is not bound, or the other is")
	}
}

// Messages are few, and one has just gone out: a loss waits for a quarter of the grace at most, however far apart messages should be.
func TestLossIsNotHeldForLong(t *testing.T) {
	c, _, w := channelOf(t, 10)
	c.most = 2 // in ten seconds
	now := 200 * second
	c.lastSent = now
	w.withdraw(0, 1, 1)
	c.sendPlan(now+testGrace/4, w)
	if n := len(c.replicas[0].tables[0].lines); n != 99 {
		t.Errorf("after a quarter of the grace the table has %d lines", n)
	}
}

// A proxy may get one more message: the loss that would take it waits for those that may follow, and goes while there is time.
func TestLastMessageTakesAllLosses(t *testing.T) {
	c, out, w := channelOf(t, 10)
	now := 200 * second
	for _, s := range c.streams {
		s.sent = slices.Repeat([]micros{now - second}, c.most-1)
	}
	for range 3 {
		w.withdraw(0, 1, 1)
		c.sendPlan(now, w)
		if out.losses() > 0 {
			t.Fatal("the first loss took the last message")
		}
		now += second
	}
	c.sendPlan(now+testGrace/2, w)
	if n := out.losses(); n != 3 {
		t.Errorf("%d losses went out with the last message, of 3", n)
	}
}

// Many proxies join at once and wait for room: what others are owed goes first, it takes less of it.
func TestDrainGoesBeforeJoinings(t *testing.T) {
	c, out, w := channelOf(t, 500)
	now := 200 * second
	for p := range policyapi.ProxyID(300) {
		c.take(now, policyapi.ProxyConnected{Proxy: 1000 + p})
		w.homes[1000+p] = 0
	}
	c.left = []pendingMessage{{at: now, lines: 0.75 * c.queueCap}}
	w.withdraw(0, 2, 1)
	c.sendPlan(now, w)
	if n := out.losses(); n != 2 {
		t.Errorf("%d losses went out of 2", n)
	}
	if bound := c.bound() - 500; bound > 0 {
		t.Errorf("%d were bound beside them, though the queue was full", bound)
	}
}
