package policy

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"porthub/policyapi"
)

// newZoneHost returns a host whose first zone has some endpoints and proxies, divided into small groups.
func newZoneHost(t *testing.T, endpoints, proxies int, change func(*policyapi.Start)) (*host, []policyapi.EndpointID) {
	t.Helper()
	h := newHost(t, func(start *policyapi.Start) {
		start.ProxyCount, start.Channel.EndpointConnections = 40, 20
		if change != nil {
			change(start)
		}
	})
	var ids []policyapi.EndpointID
	for i := range endpoints {
		ids = append(ids, policyapi.EndpointID("a"+string(rune('A'+i))))
	}
	h.step(policyapi.EndpointUpdate{Kind: policyapi.Snapshot, Endpoints: readyEndpoints("a", ids...)})
	for p := range policyapi.ProxyID(proxies) {
		h.step(policyapi.ProxyConnected{Proxy: p, Zone: "a", HasDefaultTableOnly: true, Weight: 20})
	}
	h.advance(3*second, nil)
	return h, ids
}

func (h *host) channel() *channel { return h.instance.channel }

// drainEndpoints lists endpoints as draining.
func (h *host) drainEndpoints(zone policyapi.Zone, ids ...policyapi.EndpointID) {
	entries := readyEndpoints(zone, ids...)
	for i := range entries {
		entries[i].Status = policyapi.Draining
	}
	h.step(policyapi.EndpointUpdate{Kind: policyapi.Delta, Endpoints: entries})
}

// offers reports whether a proxy's table for a class contains an endpoint according to the orders.
func (h *host) offers(p policyapi.ProxyID, class int, id policyapi.EndpointID) bool {
	return h.tables[h.binds[p][class]][id] > 0
}

// fillQueue fills a share of the queue, so that routine changes, moves and new proxies have to wait.
func (h *host) fillQueue(share float64) {
	h.channel().inherited = []pendingMessage{{sentAt: h.now, lines: share * h.channel().queueLimit}}
}

// A proxy is planned to move to another group but cannot yet, because the queue is too full for routine changes. An endpoint
// that drains must still leave the table of its previous group, to which no proxy is assigned any more. This guards against
// a regression: a group without assigned proxies was not planned, and its tables were not compared.
func TestTableOfPreviousGroupLosesEndpoints(t *testing.T) {
	h, ids := newZoneHost(t, 8, 1, nil)
	groups, old := &h.instance.planner.groups, h.instance.planner.groups.ofProxy[0]
	if groups.perZone < 2 {
		t.Fatalf("%d groups in each zone, want at least 2", groups.perZone)
	}
	h.fillQueue(0.5)
	groups.ofProxy[0] = (old + 1) % groups.perZone
	var offered policyapi.EndpointID
	for _, id := range ids {
		if h.offers(0, 0, id) {
			offered = id
		}
	}
	h.drainEndpoints("a", offered)
	for range 10 {
		h.fillQueue(0.5)
		h.advance(second/10, nil)
	}
	if groups.ofProxy[0] == old || h.channel().streams[0].replica.group != groups.list[old].id {
		t.Fatal("the proxy is not bound to its previous group any more, or is not assigned to another one, as the test needs")
	}
	if h.offers(0, 0, offered) {
		t.Errorf("a second after the drain the proxy is still offered %s", offered)
	}
}

// If the last endpoint that a class may go to drains, the table of the class is planned as empty. This guards against a
// regression: the empty plan was mistaken for a table that is not planned, and the endpoint was never removed.
func TestTableWithoutEndpointIsEmptied(t *testing.T) {
	for name, limit := range map[string]func(*policyapi.ClassSettings){
		"local zone": func(c *policyapi.ClassSettings) { c.LocalZoneOnly = true },
		"some zones": func(c *policyapi.ClassSettings) { c.AllowedZones = []policyapi.Zone{"a"} },
	} {
		t.Run(name, func(t *testing.T) {
			h, _ := newZoneHost(t, 1, 1, func(start *policyapi.Start) { limit(&start.Classes[1]) })
			h.step(policyapi.EndpointUpdate{Kind: policyapi.Delta, Endpoints: readyEndpoints("b", "b1", "b2")})
			h.advance(second, nil)
			if !h.offers(0, 1, "aA") {
				t.Fatal("the restricted class is not offered aA, its only endpoint")
			}
			h.drainEndpoints("a", "aA")
			h.advance(second, nil)
			if h.offers(0, 1, "aA") || h.offers(0, 0, "aA") {
				t.Error("a second after the drain aA is still offered")
			}
			if !h.offers(0, 0, "b1") {
				t.Error("the unrestricted class is not offered b1")
			}
		})
	}
}

// The endpoint list has more than doubled, so the zones are divided again, while the proxies are still bound to the tables of
// retired groups. Endpoints that drain must leave those tables.
func TestTablesOfRetiredGroupsLoseEndpoints(t *testing.T) {
	h, ids := newZoneHost(t, 8, 6, nil)
	entries := readyEndpoints("a", ids...)
	for i := range 30 {
		entries = append(entries, readyEndpoints("b", policyapi.EndpointID("b"+string(rune('A'+i))))...)
	}
	before := map[policyapi.ProxyID]groupID{}
	for p, s := range h.channel().streams {
		before[p] = s.replica.group
	}
	h.fillQueue(0.6)
	h.step(policyapi.EndpointUpdate{Kind: policyapi.Snapshot, Endpoints: entries})
	h.drainEndpoints("a", ids[:4]...)
	for range 10 {
		h.fillQueue(0.6)
		h.advance(second/10, nil)
	}
	for p, s := range h.channel().streams {
		if s.replica.group != before[p] {
			t.Fatalf("proxy %d has moved to another group, but the test needs it in its first one", p)
		}
		for _, id := range ids[:4] {
			if h.offers(p, 0, id) {
				t.Errorf("a second after the drain proxy %d is still offered %s", p, id)
			}
		}
	}
	h.channel().inherited = nil
	h.advance(30*second, nil)
	if n := len(h.instance.planner.groups.retired); n > 0 {
		t.Errorf("%d retired groups are retained after half a minute, want none", n)
	}
}

// If so many proxies share a group's tables that a line to all of them does not fit into the queue, it is sent to a part of
// them at a time, as acknowledgements arrive. This guards against a regression: it was sent to all of them or to none.
func TestRemovalToMoreProxiesThanQueueHolds(t *testing.T) {
	for _, c := range []struct{ proxies, removed int }{{3000, 1}, {3000, 3}, {400, 60}} {
		t.Run(fmt.Sprintf("%d proxies, %d endpoints", c.proxies, c.removed), func(t *testing.T) {
			ch, _ := newTestChannel(deliverySettings{queueLimit: 6000, messageLimit: 20, drainGracePeriod: 3 * second})
			plan := newPlan(1, 100)
			for p := range policyapi.ProxyID(c.proxies) {
				ch.handleEvent(0, policyapi.ProxyConnected{Proxy: p})
				plan.proxyGroups[p] = 0
			}
			at := micros(0)
			for ; ch.boundCount() < c.proxies; at += second / 10 {
				ch.deliverPlan(at, plan)
				ch.acknowledgeAll()
			}
			plan.withdrawEndpoints(0, c.removed, 1)
			at += second
			for step := 0; step == 0 || len(ch.replicasWithRemovals(at)) > 0; step++ {
				ch.deliverPlan(at, plan)
				if waiting := ch.queuedLines(at); waiting > ch.queueLimit {
					t.Fatalf("%+v: %.0f lines wait, more than the limit of %.0f", c, waiting, ch.queueLimit)
				}
				ch.acknowledgeAll()
				if at += second / 2; step > 100 {
					t.Fatalf("%+v: the removal is not complete after 100 turns", c)
				}
			}
			for _, r := range ch.replicas {
				if n := len(r.tables[0].lines); n != 100-c.removed {
					t.Errorf("%+v: a table has %d lines, want those of the remaining endpoints", c, n)
				}
			}
		})
	}
}

// The removal of a draining endpoint does not wait for the removals of ejected ones: if only a part fits, it is sent first.
func TestDrainGoesBeforeEjection(t *testing.T) {
	c, out, plan := newBoundChannel(t, 500)
	now := 200 * second
	drained := plan.lines(0)[99].endpoint
	delete(plan.ready, drained)
	plan.tables[0] = []tablePlan{{lines: plan.lines(0)[50:99], level: unlimitedLevel}} // fifty are ejected
	c.inherited = []pendingMessage{{sentAt: now, lines: 0.8 * c.queueLimit}}
	c.deliverPlan(now, plan)
	var removed []policyapi.EndpointID
	for _, order := range out.orders {
		if l, is := order.(policyapi.SetWeight); is && l.Weight == 0 {
			removed = append(removed, l.Endpoint)
		}
	}
	if !slices.Contains(removed, drained) || len(removed) > 10 {
		t.Errorf("%d lines are removed, want 10 at most; the draining endpoint is among them: %t, want true",
			len(removed), slices.Contains(removed, drained))
	}
}

// A proxy whose tables take most of the queue, or would take more than all of it, is still bound once the queue is empty.
func TestTablesAsLargeAsQueue(t *testing.T) {
	for _, limit := range []float64{1000, 300, 120, 50} {
		t.Run(fmt.Sprintf("queue limit %.0f", limit), func(t *testing.T) {
			h, _ := newZoneHost(t, 60, 1, func(start *policyapi.Start) {
				start.Rules.QueueLimit, start.ProxyCount, start.Channel.EndpointConnections = limit, 1, 3000
			})
			if h.binds[0] == nil {
				t.Errorf("with a queue limit of %.0f lines the proxy is not bound", limit)
				return
			}
			cost := h.channel().messageLines() + h.channel().bindCost(h.channel().streams[0].replica)
			if cost > limit {
				t.Errorf("the binding costs %.0f lines, more than the limit of %.0f", cost, limit)
			}
		})
	}
}

// If the message limit is low, a removal may use a proxy's last message.
func TestRemovalWithFewMessages(t *testing.T) {
	for _, limit := range []int{1, 2, 3, 4} {
		t.Run(fmt.Sprintf("limit %d", limit), func(t *testing.T) {
			h, ids := newZoneHost(t, 8, 1, func(start *policyapi.Start) { start.Rules.MessageLimit = limit })
			h.advance(12*second, nil)
			var offered policyapi.EndpointID
			for _, id := range ids {
				if h.offers(0, 0, id) {
					offered = id
				}
			}
			h.drainEndpoints("a", offered)
			h.advance(5*second/2, nil)
			if h.offers(0, 0, offered) {
				t.Errorf("with a limit of %d messages the proxy is still offered the draining %s", limit, offered)
			}
			if h.highest["messages"] > limit {
				t.Errorf("%d messages were sent in a window, want %d at most", h.highest["messages"], limit)
			}
		})
	}
}

// If a proxy has reached its message limit, removals for the other proxies with the same tables do not wait for it.
func TestRemovalDoesNotWaitForLimitedProxy(t *testing.T) {
	c, _, plan := newBoundChannel(t, 10)
	now := 200 * second
	c.streams[3].sentAt = slices.Repeat([]micros{now - second}, 20)
	plan.withdrawEndpoints(0, 1, 1)
	c.deliverPlan(now, plan)
	for p, s := range c.streams {
		if n := len(s.replica.tables[0].lines); (n == 100) != (p == 3) {
			t.Errorf("proxy %d has %d lines, want 100 for proxy 3, which is at its limit, and 99 for the others", p, n)
		}
	}
	c.acknowledgeAll()
	c.deliverPlan(now+10*second, plan)
	if n := len(c.streams[3].replica.tables[0].lines); n != 99 {
		t.Errorf("once proxy 3 may get messages again it has %d lines, want 99", n)
	}
}

// If only a cached list is available after a start, the endpoints that it contains as draining are out of all tables within
// the grace period, even if the report period is longer. An empty list that has arrived is used, but a missing list is
// not taken for an empty one.
func TestCachedListAfterStart(t *testing.T) {
	cached := readyEndpoints("a", "a1", "a2")
	cached[1].Status = policyapi.Draining
	for name, c := range map[string]struct {
		lists []policyapi.EndpointUpdate
		bound bool
		want  []policyapi.EndpointID
	}{
		"cached list":        {[]policyapi.EndpointUpdate{{Kind: policyapi.Cached, Endpoints: cached}}, true, []policyapi.EndpointID{"a1"}},
		"no list":            {[]policyapi.EndpointUpdate{{Kind: policyapi.Cached}}, false, nil},
		"a failed poll":      {[]policyapi.EndpointUpdate{{Kind: policyapi.Cached}, {Kind: policyapi.Failed}}, false, nil},
		"an empty list":      {[]policyapi.EndpointUpdate{{Kind: policyapi.Cached, Endpoints: cached}, {Kind: policyapi.Snapshot}}, true, nil},
		"an empty list only": {[]policyapi.EndpointUpdate{{Kind: policyapi.Cached}, {Kind: policyapi.Snapshot}}, true, nil},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHost(t, func(start *policyapi.Start) { start.Reports.Period = 5 * second })
			for _, list := range c.lists {
				h.step(list)
			}
			h.step(policyapi.ProxyConnected{Proxy: 0, Zone: "a"})
			h.advance(2*second, nil)
			if bound := h.binds[0] != nil; bound != c.bound {
				t.Fatalf("the proxy is bound: %t, want %t", bound, c.bound)
			}
			if !c.bound {
				return
			}
			if got := slices.Sorted(maps.Keys(h.tables[h.binds[0][0]])); !slices.Equal(got, c.want) {
				t.Errorf("the proxy is offered %v, want %v", got, c.want)
			}
		})
	}
}

// If the queue is full at the time of a drain and free soon afterward, the removal does not wait for the next report, which
// comes seconds later.
func TestRemovalIsRetriedBetweenReports(t *testing.T) {
	h, ids := newZoneHost(t, 4, 2, func(start *policyapi.Start) { start.Reports.Period = 5 * second })
	h.advance(10*second, nil)
	h.fillQueue(0.95)
	h.drainEndpoints("a", ids[0])
	if !h.offers(0, 0, ids[0]) && !h.offers(1, 0, ids[0]) {
		t.Fatal("the endpoint was removed through a full queue, or was never offered")
	}
	h.channel().inherited = nil
	h.advance(second, nil)
	if h.offers(0, 0, ids[0]) || h.offers(1, 0, ids[0]) {
		t.Error("a second after the queue was emptied the endpoint is still offered")
	}
}

// The successor of a failed instance counts what that instance had sent against the limits: its lines in the queue, and the
// messages of a proxy that had reached its message limit.
func TestLimitsHoldAcrossTakeOver(t *testing.T) {
	h, _ := newZoneHost(t, 8, 2, nil)
	failed := h.instance
	failed.channel.streams[1].sentAt = slices.Repeat([]micros{h.now}, 20)
	failed.channel.streams[0].unacknowledged = []pendingMessage{{sentAt: h.now, lines: 1234}}
	h.instance = New(policyapi.Start{Zones: []policyapi.Zone{"a"}, Classes: make([]policyapi.ClassSettings, 2), Reports: policyapi.ReportSettings{Period: second},
		Rules: policyapi.RuleSettings{QueueLimit: 5000, MessageLimit: 20, MessageWindow: 10 * second, DrainGracePeriod: 3 * second}})
	h.instance.TakeOver(failed)
	if waiting := h.channel().queuedLines(h.now); waiting < 1234 {
		t.Errorf("%.0f lines wait, want at least the 1234 of the failed instance", waiting)
	}
	h.step(policyapi.EndpointUpdate{Kind: policyapi.Snapshot, Endpoints: readyEndpoints("a", "a1")}, policyapi.ProxyConnected{Proxy: 0, Zone: "a"}, policyapi.ProxyConnected{Proxy: 1, Zone: "a"})
	h.advance(second, nil)
	if h.channel().streams[0].replica == nil || h.channel().streams[1].replica != nil {
		t.Error("proxy 0, which has messages left, is not bound, or proxy 1, which has none, is bound")
	}
}

// If a message has just been sent and the message limit is low, a removal waits for a quarter of the grace period at most,
// regardless of the routine interval.
func TestRemovalIsNotDelayedForLong(t *testing.T) {
	c, _, plan := newBoundChannel(t, 10)
	c.messageLimit = 2 // within ten seconds
	now := 200 * second
	c.turns.linesSentAt = now
	plan.withdrawEndpoints(0, 1, 1)
	c.deliverPlan(now+testGrace/4, plan)
	if n := len(c.replicas[0].tables[0].lines); n != 99 {
		t.Errorf("after a quarter of the grace period the table has %d lines, want 99", n)
	}
}

// If a proxy may get only one more message, a removal that would use it waits, so that others can be sent with it, but for no
// longer than half of the grace period.
func TestLastMessageCarriesAllRemovals(t *testing.T) {
	c, out, plan := newBoundChannel(t, 10)
	now := 200 * second
	for _, s := range c.streams {
		s.sentAt = slices.Repeat([]micros{now - second}, c.messageLimit-1)
	}
	for range 3 {
		plan.withdrawEndpoints(0, 1, 1)
		c.deliverPlan(now, plan)
		if out.removals() > 0 {
			t.Fatal("a removal used the last message before half of the grace period had passed")
		}
		now += second
	}
	c.deliverPlan(now+testGrace/2, plan)
	if n := out.removals(); n != 3 {
		t.Errorf("the last message has %d removals, want 3", n)
	}
}

// If many proxies connect at the same time and have to wait for the queue, removals of withdrawn endpoints at other proxies are
// sent first, since they take less of the queue.
func TestDrainGoesBeforeNewProxies(t *testing.T) {
	c, out, plan := newBoundChannel(t, 500)
	now := 200 * second
	for p := range policyapi.ProxyID(300) {
		c.handleEvent(now, policyapi.ProxyConnected{Proxy: 1000 + p})
		plan.proxyGroups[1000+p] = 0
	}
	c.inherited = []pendingMessage{{sentAt: now, lines: 0.75 * c.queueLimit}}
	plan.withdrawEndpoints(0, 2, 1)
	c.deliverPlan(now, plan)
	if n := out.removals(); n != 2 {
		t.Errorf("%d removals were sent, want 2", n)
	}
	if bound := c.boundCount() - 500; bound > 0 {
		t.Errorf("%d new proxies were bound although the queue was full", bound)
	}
}
