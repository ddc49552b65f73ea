package policy

import (
	"maps"
	"slices"

	"porthub/policyapi"
)

// Shares of the queue up to which a change may fill it. Routine changes leave most of the queue to those that the rules
// require: withdrawn endpoints have to be out of all tables within the grace period, including tables that are no longer
// planned but that a proxy is still bound to.
const (
	routineShare     = 0.25  // routine changes
	fullChangeShare  = 0.5   // the whole change of a table that loses lines
	bindShare        = 0.8   // the binding of a proxy
	withdrawalShare  = 0.9   // the removal of withdrawn endpoints
	replicaLineShare = 0.125 // a line to all proxies that share a replica
)

const (
	// routineMessageDivisor leaves half of the messages to urgent changes.
	routineMessageDivisor = 2
	// urgentMessages of every urgentMessagesOf messages are the limit for urgent changes.
	urgentMessages, urgentMessagesOf = 3, 4
	// urgentMessageReserve is the number of messages to a proxy that urgent changes leave in the window.
	urgentMessageReserve = 2
	// routineMessageInterval spaces routine messages so that half of the limit suffices.
	routineMessageInterval = 2
	// urgentIntervalDivisor shortens the interval of routine messages for urgent changes.
	urgentIntervalDivisor = 2
	// removalIntervalDivisor and removalGraceDivisor bound how long removals wait after another message, by the routine
	// interval and the drain grace period.
	removalIntervalDivisor, removalGraceDivisor = 2, 4
	// retryGraceDivisor bounds the interval between attempts to send pending removals.
	retryGraceDivisor = 16
)

// turn is the time and the limits of one delivery.
type turn struct {
	now          micros
	routine      bool    // routine changes may go out
	routineLimit float64 // lines in the queue up to which they may
	removals     bool    // removals may go out
	removalDelay micros  // how long removals wait after another message
}

// deliver brings the proxies nearer to the target state, as far as the limits on queue and messages allow. Lines count as
// queued until they are acknowledged, whatever the configured throughput, so that a slow channel limits itself.
func (c *channel) deliver(now micros) {
	c.turns.deliveredAt = now
	c.dropOverdue(now)
	c.turns.queued = c.queuedLines(now)
	t := c.newTurn(now)
	c.reconcileReplicas()
	pending := c.sendWithdrawals(t)
	// Levels that change with each report would leave the tables no share of the queue: tables and levels alternate.
	if c.turns.tablesFirst {
		c.turns.tablesFirst = c.sendTableChanges(t)
		c.sendAdmission(t)
	} else {
		c.sendAdmission(t)
		c.turns.tablesFirst = c.sendTableChanges(t)
	}
	if t.routine && c.turns.queued < t.routineLimit {
		for _, s := range c.misplacedStreams() {
			c.bindPlanned(s)
		}
		c.widenSubsets(t)
	}
	c.finishTurn(now)
	if pending && now >= c.turns.retryAt {
		wait := max(minReportPeriod, min(t.removalDelay, c.drainGracePeriod/retryGraceDivisor))
		c.turns.retryAt = now + wait
		c.out.add(policyapi.SetTimer{After: wait, Token: retryToken})
	}
}

// newTurn decides which changes may be sent now. Removals do not wait for the next routine turn, and have messages
// reserved for them.
func (c *channel) newTurn(now micros) turn {
	sent := c.maxMessagesSent(now)
	interval := c.reportPeriod
	if c.messageLimit > 0 {
		interval = max(interval, routineMessageInterval*c.messageWindow/micros(c.messageLimit))
	}
	t := turn{now: now, removalDelay: min(interval/removalIntervalDivisor, c.drainGracePeriod/removalGraceDivisor)}
	limit := c.messageLimit / routineMessageDivisor
	if c.target.urgent {
		interval /= urgentIntervalDivisor
		limit = min(c.messageLimit*urgentMessages/urgentMessagesOf, c.messageLimit-urgentMessageReserve)
	}
	idle := now - c.turns.linesSentAt
	t.routine = idle >= interval && (c.messageLimit == 0 || sent < limit)
	if t.routine {
		t.routineLimit = c.routineLimit()
	}
	t.removals = idle >= t.removalDelay
	return t
}

// sendTableChanges sends the tables' changes besides removals, and the tables' own levels, within the routine limit. It
// reports whether any change does not fit and has to wait, as when half of the fleet changes at once.
func (c *channel) sendTableChanges(t turn) (waiting bool) {
	start, sets := c.turns.nextTable, len(c.classSets)
	first := slices.IndexFunc(c.replicas, func(r *replica) bool { return r.firstTable+policyapi.TableID(sets) > start })
	tables := len(c.replicas) * sets
	for i := range tables {
		at := (i + max(0, first)*sets + int(start)%sets) % tables
		if !c.sendTableChange(t, c.replicas[at/sets], at%sets) {
			waiting = true
		}
	}
	return waiting
}

// sendTableChange sends the change of one table, unless the table loses lines, which sendWithdrawals handles. It returns
// false if the change has to wait.
func (c *channel) sendTableChange(t turn, r *replica, set int) (done bool) {
	change := r.tables[set].pending
	if len(change.withdrawn)+len(change.removed) > 0 || change.size() == 0 || len(r.streams) == 0 {
		return true
	}
	share := withdrawalShare
	if r.removedAt == t.now { // leave a part of the queue for the next removal
		share = fullChangeShare
	}
	if c.turns.queued >= t.routineLimit || c.linesThatFit(r.streams, share*c.queueLimit) < change.size() {
		return false
	}
	c.turns.nextTable = r.table(set) + 1
	c.charge(t.now, r.streams, float64(change.size()))
	c.orderLines(r, set, change.updated)
	c.orderAdmission(r, set, change)
	return true
}

// sendAdmission sends the levels for all tables that have changed, within the routine limit.
func (c *channel) sendAdmission(t turn) {
	streams := c.allStreams()
	for _, a := range c.target.admissions {
		if c.turns.queued >= t.routineLimit || c.admissions[a.Classes] == a || c.linesThatFit(streams, withdrawalShare*c.queueLimit) <= 0 {
			continue
		}
		c.admissions[a.Classes] = a
		c.out.add(a)
		c.charge(t.now, streams, 1)
	}
}

// finishTurn requests acknowledgements of the turn's messages and counts them.
func (c *channel) finishTurn(now micros) {
	requested := false
	for _, id := range slices.Sorted(maps.Keys(c.streams)) {
		s := c.streams[id]
		if s.turnLines == 0 {
			continue
		}
		if !requested {
			requested = true
			c.lastAckID = (c.lastAckID + 1) % ackIDs
			c.out.add(policyapi.RequestAck{AckID: c.lastAckID})
		}
		s.addMessage(pendingMessage{c.lastAckID, now, s.turnLines + c.messageLines()})
	}
	groups := map[groupID]bool{}
	for _, r := range c.replicas {
		if len(r.streams) > 0 {
			groups[r.group] = true
		}
	}
	c.reportBoundGroups(boundGroups{groups})
}
