package policy

import (
	"testing"

	"porthub/policyapi"
)

// testGrace is a grace period that a full queue of these tests drains within.
const testGrace = 11 * second

// newPlan plans so many groups, each of so many endpoints of the same weight.
func newPlan(groups, endpoints int) targetState {
	w := targetState{tables: map[groupID][]tablePlan{}, proxyGroups: map[policyapi.ProxyID]groupID{}, ready: map[policyapi.EndpointID]bool{}}
	for b := range endpoints {
		w.ready[policyapi.EndpointID(rune('A'+b))] = true
	}
	for g := range groupID(groups) {
		w.tables[g] = []tablePlan{{level: unlimitedLevel}}
		for b := range endpoints {
			w.tables[g][0].lines = append(w.tables[g][0].lines, tableLine{policyapi.EndpointID(rune('A' + b)), 1})
		}
	}
	return w
}

// lines are those of a group's only table.
func (w targetState) lines(g groupID) []tableLine { return w.tables[g][0].lines }

// withdrawEndpoints takes the first endpoints out of a group's table: they drain. The others get another weight.
func (w targetState) withdrawEndpoints(g groupID, endpoints int, weight float64) {
	for _, l := range w.lines(g)[:endpoints] {
		delete(w.ready, l.endpoint)
	}
	var rest []tableLine
	for _, l := range w.lines(g)[endpoints:] {
		rest = append(rest, tableLine{l.endpoint, weight * l.weight})
	}
	w.tables[g] = []tablePlan{{lines: rest, level: unlimitedLevel}}
}

func (c *channel) deliverPlan(now micros, w targetState) { c.receive(now, w) }

// newBoundChannel is a channel with so many proxies bound to the table of a hundred endpoints, all acknowledged.
func newBoundChannel(t *testing.T, proxies int) (*channel, *outbox, targetState) {
	out := &outbox{}
	c := newChannel(out, 60000, 6, 20, 10*second, second, testGrace)
	c.masks = []policyapi.ClassSet{7}
	w := newPlan(1, 100)
	for p := range proxies {
		c.receive(0, policyapi.ProxyConnected{Proxy: policyapi.ProxyID(p)})
		w.proxyGroups[policyapi.ProxyID(p)] = 0
	}
	for at := micros(0); c.boundCount() < proxies; at += second / 10 {
		c.deliverPlan(at, w)
		c.acknowledgeAll()
		if at > 100*second {
			t.Fatal("they are not bound")
		}
	}
	out.orders = nil
	return c, out, w
}

func (c *channel) boundCount() (n int) {
	for _, s := range c.streams {
		if s.replica != nil {
			n++
		}
	}
	return n
}

func (c *channel) acknowledgeAll() {
	for p, s := range c.streams {
		for len(s.unacknowledged) > 0 {
			c.receive(0, policyapi.Acknowledged{Proxy: p, AckID: s.unacknowledged[len(s.unacknowledged)-1].ackID})
		}
	}
}

func (o *outbox) removals() (n int) {
	for _, order := range o.orders {
		if l, is := order.(policyapi.SetWeight); is && l.Weight == 0 {
			n++
		}
	}
	return n
}

// The queue is nearly full, and a drain comes that changes all other lines as well: the loss goes out alone, at once, though the
// whole change would not fit. The rest follows when there is room.
func TestRemovalGoesOutThroughFullQueue(t *testing.T) {
	c, out, w := newBoundChannel(t, 500)
	now := 200 * second
	c.departed = []pendingMessage{{sentAt: now, lines: 0.8 * c.queueLimit}} // more than routine, and more than joins, would wait for
	w.urgent = true
	w.withdrawEndpoints(0, 3, 2)
	c.deliverPlan(now, w)
	if lines, lost := len(out.orders)-1, out.removals(); lost != 3 || lines != 3 {
		t.Fatalf("%d lines are lost, %d ordered, of %d that drain", lost, lines, 3)
	}
	if waiting := c.queuedLines(c.deliveredAt); waiting > 0.95*c.queueLimit {
		t.Errorf("%.0f lines wait, %.0f may", waiting, c.queueLimit)
	}
	c.departed, out.orders = nil, nil
	c.acknowledgeAll()
	c.deliverPlan(now+2*second, w)
	if lines := len(out.orders) - 1; lines != 97 {
		t.Errorf("%d of 97 other lines follow", lines)
	}
}

// Levels that move with each report go out as long as little waits, and no faster than proxies acknowledge them: the queue
// stays open for what must not wait.
func TestAdmissionLeavesQueueOpen(t *testing.T) {
	c, _, w := newBoundChannel(t, 500)
	w.urgent = true // lists change all the time
	for beat := range 20 {
		w.admissions = []policyapi.SetAdmission{{Table: policyapi.AllTables, Classes: 7, Level: 10 + float64(beat), RetryPolicy: 1}}
		c.deliverPlan(micros(300+beat)*second, w)
	}
	if waiting := c.queuedLines(c.deliveredAt); waiting == 0 || waiting > 0.5*c.queueLimit {
		t.Errorf("%.0f lines wait, of %.0f", waiting, c.queueLimit)
	}
}

// Proxies leave with messages on the way to them: those lines wait in the channel all the same, though messages to others have
// overtaken them, until they have been on their way for much longer than any that is acknowledged.
func TestLinesOfDisconnectedProxiesStayQueued(t *testing.T) {
	c, _, w := newBoundChannel(t, 100)
	for i := range w.lines(0) {
		w.lines(0)[i].weight = 3
	}
	now := 200 * second
	c.deliverPlan(now, w)
	before := c.queuedLines(now)
	if before < 100*100 {
		t.Fatalf("%.0f lines wait", before)
	}
	for p := range 60 {
		c.receive(now, policyapi.ProxyDisconnected{Proxy: policyapi.ProxyID(p)})
	}
	for p := 60; p < 80; p++ { // the new stream before the old one's end
		c.receive(now, policyapi.ProxyConnected{Proxy: policyapi.ProxyID(p)})
	}
	if after := c.queuedLines(now); after != before {
		t.Errorf("%.0f lines waited, %.0f once most have left", before, after)
	}
	now += 2 * second
	w.lines(0)[0].weight = 9
	c.deliverPlan(now, w)
	gone := 0.0
	for _, m := range c.departed {
		gone += m.lines
	}
	now += 4 * second // the queue is that long: all that are there answer
	for p, s := range c.streams {
		c.receive(now, policyapi.Acknowledged{Proxy: p, AckID: s.unacknowledged[len(s.unacknowledged)-1].ackID})
	}
	if after := c.queuedLines(now); after != gone || gone != 0.8*before {
		t.Errorf("%.0f lines wait when all that are there have acknowledged, %.0f went to those who have left", after, gone)
	}
	if after := c.queuedLines(now + 10*second); after != 0 {
		t.Errorf("%.0f lines wait for ever", after)
	}
}

// Nobody ever answers: what went out does not wait for ever, and who joins later is bound.
func TestNoAcknowledgements(t *testing.T) {
	out := &outbox{}
	c := newChannel(out, 1000, 6, 0, 10*second, second, testGrace)
	c.masks = []policyapi.ClassSet{7}
	w := newPlan(1, 100)
	for p := range 20 {
		c.receive(0, policyapi.ProxyConnected{Proxy: policyapi.ProxyID(p)})
		w.proxyGroups[policyapi.ProxyID(p)] = 0
	}
	c.deliverPlan(0, w)
	c.deliverPlan(30*second, w)
	bound := c.boundCount()
	if bound == 0 || bound == 20 {
		t.Fatalf("%d are bound", bound)
	}
	for p := range bound { // they leave, and answer no more
		c.receive(31*second, policyapi.ProxyDisconnected{Proxy: policyapi.ProxyID(p)})
	}
	c.deliverPlan(61*second, w)
	if len(c.departed) > 0 || c.boundCount() == 0 {
		t.Errorf("%d messages to those who left are kept, %d are bound", len(c.departed), c.boundCount())
	}
}

// Tables whose change has to wait take turns: none waits for ever behind another that changes all the time.
func TestTableChangesTakeTurns(t *testing.T) {
	out := &outbox{}
	c := newChannel(out, 60000, 6, 0, 10*second, second, testGrace)
	c.masks = []policyapi.ClassSet{7}
	const tables = 4
	w := newPlan(tables, 60)
	for p := range 800 {
		c.receive(0, policyapi.ProxyConnected{Proxy: policyapi.ProxyID(p)})
		w.proxyGroups[policyapi.ProxyID(p)] = groupID(p % tables)
	}
	for at := micros(0); c.boundCount() < 800; at += second / 10 {
		c.deliverPlan(at, w)
		c.acknowledgeAll()
	}
	sent := map[policyapi.TableID]int{}
	for beat := range 12 {
		for i := range tables {
			for b := range w.lines(groupID(i)) {
				w.lines(groupID(i))[b].weight *= 1.5
			}
		}
		out.orders = nil
		c.deliverPlan(micros(100+beat)*second, w)
		for _, order := range out.orders {
			if l, is := order.(policyapi.SetWeight); is {
				sent[l.Table]++
			}
		}
		c.acknowledgeAll()
	}
	for i := range tables {
		if sent[policyapi.TableID(i)] < 60 {
			t.Errorf("by table %v lines went out", sent)
		}
	}
}

// Levels that move with each report to all proxies, and tables that change meanwhile: neither keeps the other from going out.
func TestAdmissionAndTablesTakeTurns(t *testing.T) {
	c, out, w := newBoundChannel(t, 800)
	levels, lines := 0, 0
	for beat := range 20 {
		w.admissions = []policyapi.SetAdmission{{Table: policyapi.AllTables, Classes: 7, Level: 10 + float64(beat), RetryPolicy: 1}}
		for b := range w.lines(0)[:20] {
			w.lines(0)[b].weight *= 1.5
		}
		out.orders = nil
		now := micros(300+beat) * second
		c.departed = []pendingMessage{{sentAt: now, lines: 0.2 * c.queueLimit}} // there is room for one of the two
		c.deliverPlan(now, w)
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
		t.Errorf("%d levels and %d lines went out in 20 turns", levels, lines)
	}
}

// A drain that changes all other lines as well takes no more than half of the queue: the next drain finds room, and what is before
// it leaves within the grace.
func TestRemovalLeavesQueueForNext(t *testing.T) {
	c, out, w := newBoundChannel(t, 500)
	for drain := range 2 {
		w.withdrawEndpoints(0, 3, 2)
		w.urgent, out.orders = true, nil
		c.deliverPlan(micros(200+2*drain)*second, w)
		if lost := out.removals(); lost != 3 {
			t.Errorf("drain %d: %d lines are lost of 3", drain, lost)
		}
		if waiting := c.queuedLines(c.deliveredAt); waiting > 0.5*c.queueLimit {
			t.Errorf("drain %d: %.0f lines wait, of %.0f", drain, waiting, c.queueLimit)
		}
	}
}
