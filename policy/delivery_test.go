package policy

import (
	"testing"

	"porthub/policyapi"
)

// If the queue is nearly full when a drain changes all other lines as well, the removals are sent immediately, without the
// other changes, which would not fit. These follow when they fit into the queue.
func TestRemovalIsSentWithNearlyFullQueue(t *testing.T) {
	c, out, plan := newBoundChannel(t, 500)
	now := 200 * second
	c.inherited = []pendingMessage{{sentAt: now, lines: 0.8 * c.queueLimit}} // too much for routine changes and new proxies
	plan.urgent = true
	plan.withdrawEndpoints(0, 3, 2)
	c.deliverPlan(now, plan)
	if lines, removed := len(out.orders)-1, out.removals(); removed != 3 || lines != 3 {
		t.Fatalf("%d lines are removed and %d ordered, want only the %d of draining endpoints", removed, lines, 3)
	}
	if waiting := c.queuedLines(c.turns.deliveredAt); waiting > 0.95*c.queueLimit {
		t.Errorf("%.0f lines wait, want at most 0.95 of %.0f", waiting, c.queueLimit)
	}
	c.inherited, out.orders = nil, nil
	c.acknowledgeAll()
	c.deliverPlan(now+2*second, plan)
	if lines := len(out.orders) - 1; lines != 97 {
		t.Errorf("%d of 97 other lines follow, want all", lines)
	}
}

// Levels that change with each report are sent only while the queue is short, and no faster than proxies acknowledge them, so
// that most of the queue stays free for urgent changes.
func TestAdmissionLeavesQueueSpace(t *testing.T) {
	c, _, plan := newBoundChannel(t, 500)
	plan.urgent = true // lists change all the time
	for round := range 20 {
		plan.admissions = []policyapi.SetAdmission{{Table: policyapi.AllTables, Classes: 7, Level: 10 + float64(round), RetryPolicy: 1}}
		c.deliverPlan(micros(300+round)*second, plan)
	}
	if waiting := c.queuedLines(c.turns.deliveredAt); waiting == 0 || waiting > 0.5*c.queueLimit {
		t.Errorf("%.0f lines wait, want some, but at most half of %.0f", waiting, c.queueLimit)
	}
}

// If proxies disconnect with messages in flight, the channel drops those messages, and they no longer count as queued. The
// messages to the other proxies count in full until they are acknowledged, even if later messages to other proxies have
// overtaken them.
func TestLinesOfDisconnectedProxiesLeaveQueue(t *testing.T) {
	c, _, plan := newBoundChannel(t, 100)
	for i := range plan.lines(0) {
		plan.lines(0)[i].weight = 3
	}
	now := 200 * second
	c.deliverPlan(now, plan)
	before := c.queuedLines(now)
	if before < 100*100 {
		t.Fatalf("%.0f lines wait, want at least those of a hundred proxies", before)
	}
	for p := range 60 {
		c.handleEvent(now, policyapi.ProxyDisconnected{Proxy: policyapi.ProxyID(p)})
	}
	for p := 60; p < 80; p++ { // the new stream is reported before the end of the old one
		c.handleEvent(now, policyapi.ProxyConnected{Proxy: policyapi.ProxyID(p)})
	}
	if after := c.queuedLines(now); after != before/5 {
		t.Errorf("%.0f lines waited, and %.0f after four of five streams have ended, want a fifth", before, after)
	}
	now += 2 * second
	plan.lines(0)[0].weight = 9
	c.deliverPlan(now, plan)
	first := plan.lines(0)[0].endpoint // its new weight was sent to the new streams
	bound := 0
	for p := policyapi.ProxyID(60); p < 80; p++ {
		if s := c.streams[p]; s.replica != nil && s.replica.tables[0].lines[first] == 9 {
			bound++
		}
	}
	if bound != 20 {
		t.Errorf("%d of 20 new streams are bound to the new table, want all", bound)
	}
	waiting := c.queuedLines(now)
	now += second
	for p := policyapi.ProxyID(60); p < 80; p++ { // these acknowledgements overtake those of the other proxies
		s := c.streams[p]
		waiting -= s.unacknowledged[0].lines
		c.handleEvent(now, policyapi.Acknowledged{Proxy: p, AckID: s.unacknowledged[0].ackID})
	}
	if after := c.queuedLines(now); after != waiting || waiting < before/5 {
		t.Errorf("%.0f lines wait, want the %.0f of the proxies that have not acknowledged", after, waiting)
	}
	now += 3 * second
	for p := policyapi.ProxyID(80); p < 100; p++ {
		s := c.streams[p]
		c.handleEvent(now, policyapi.Acknowledged{Proxy: p, AckID: s.unacknowledged[len(s.unacknowledged)-1].ackID})
	}
	if after := c.queuedLines(now); after != 0 {
		t.Errorf("%.0f lines wait after all proxies have acknowledged, want none", after)
	}
}

// If no proxy ever acknowledges, sent lines do not count as queued forever, and more proxies are bound. Once the proxies have
// disconnected, no lines count as queued.
func TestNoAcknowledgements(t *testing.T) {
	c, _ := newTestChannel(deliverySettings{queueLimit: 1000, drainGracePeriod: testGrace})
	plan := newPlan(1, 100)
	for p := range 20 {
		c.handleEvent(0, policyapi.ProxyConnected{Proxy: policyapi.ProxyID(p)})
		plan.proxyGroups[policyapi.ProxyID(p)] = 0
	}
	c.deliverPlan(0, plan)
	c.deliverPlan(30*second, plan)
	bound := c.boundCount()
	if bound == 0 || bound == 20 {
		t.Fatalf("%d of 20 proxies are bound, want some but not all", bound)
	}
	c.deliverPlan(61*second, plan)
	if after := c.boundCount(); after <= bound {
		t.Errorf("%d proxies are bound after a minute, want more than the %d from before", after, bound)
	}
	for p := range 20 {
		c.handleEvent(61*second, policyapi.ProxyDisconnected{Proxy: policyapi.ProxyID(p)})
	}
	if waiting := c.queuedLines(61 * second); waiting != 0 {
		t.Errorf("%.0f lines count as queued although no proxy is connected", waiting)
	}
}

// Tables whose changes have to wait take turns, so that no table is starved by another one that changes all the time.
func TestTableChangesTakeTurns(t *testing.T) {
	c, out := newTestChannel(deliverySettings{queueLimit: 60000, drainGracePeriod: testGrace})
	const tables = 4
	plan := newPlan(tables, 60)
	for p := range 800 {
		c.handleEvent(0, policyapi.ProxyConnected{Proxy: policyapi.ProxyID(p)})
		plan.proxyGroups[policyapi.ProxyID(p)] = groupID(p % tables)
	}
	for at := micros(0); c.boundCount() < 800; at += second / 10 {
		c.deliverPlan(at, plan)
		c.acknowledgeAll()
	}
	sent := map[policyapi.TableID]int{}
	for round := range 12 {
		for i := range tables {
			for b := range plan.lines(groupID(i)) {
				plan.lines(groupID(i))[b].weight *= 1.5
			}
		}
		out.orders = nil
		c.deliverPlan(micros(100+round)*second, plan)
		for _, order := range out.orders {
			if l, is := order.(policyapi.SetWeight); is {
				sent[l.Table]++
			}
		}
		c.acknowledgeAll()
	}
	for i := range tables {
		if sent[policyapi.TableID(i)] < 60 {
			t.Errorf("lines sent by table: %v, want at least 60 for each", sent)
		}
	}
}

// If the levels for all proxies change with each report while the tables change as well, neither starves the other.
func TestAdmissionAndTablesTakeTurns(t *testing.T) {
	c, out, plan := newBoundChannel(t, 800)
	levels, lines := 0, 0
	for round := range 20 {
		plan.admissions = []policyapi.SetAdmission{{Table: policyapi.AllTables, Classes: 7, Level: 10 + float64(round), RetryPolicy: 1}}
		for b := range plan.lines(0)[:20] {
			plan.lines(0)[b].weight *= 1.5
		}
		out.orders = nil
		now := micros(300+round) * second
		c.inherited = []pendingMessage{{sentAt: now, lines: 0.2 * c.queueLimit}} // only one of the two fits
		c.deliverPlan(now, plan)
		for _, order := range out.orders {
			switch order.(type) {
			case policyapi.SetAdmission:
				levels++
			case policyapi.SetWeight:
				lines++
			}
		}
		c.acknowledgeAll()
	}
	if levels < 8 || lines < 8*20 {
		t.Errorf("%d levels and %d lines were sent in 20 turns, want at least 8 and 160", levels, lines)
	}
}

// A drain that changes all other lines as well takes at most half of the queue, so that the next drain fits into it as well and
// both are sent within the grace period.
func TestRemovalLeavesQueueForNext(t *testing.T) {
	c, out, plan := newBoundChannel(t, 500)
	for drain := range 2 {
		plan.withdrawEndpoints(0, 3, 2)
		plan.urgent, out.orders = true, nil
		c.deliverPlan(micros(200+2*drain)*second, plan)
		if removed := out.removals(); removed != 3 {
			t.Errorf("drain %d: %d lines are removed, want 3", drain, removed)
		}
		if waiting := c.queuedLines(c.turns.deliveredAt); waiting > 0.5*c.queueLimit {
			t.Errorf("drain %d: %.0f lines wait, want at most half of %.0f", drain, waiting, c.queueLimit)
		}
	}
}
