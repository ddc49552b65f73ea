package policy

import (
	"maps"
	"slices"

	"porthub/policyapi"
)

// Shares of the queue up to which changes may fill it. Routine changes leave most of the queue to the changes that the rules
// require: withdrawn endpoints must be out of all tables within the grace period, including tables that are no longer
// planned but that a proxy is still bound to.
const (
	routineShare     = 0.25  // routine changes
	fullChangeShare  = 0.5   // the complete change of a table from which lines are removed
	bindShare        = 0.8   // the binding of a proxy
	withdrawalShare  = 0.9   // the removal of withdrawn endpoints
	replicaLineShare = 0.125 // a line to all proxies of a replica
)

const (
	// routineMessageDivisor divides the message limit: routine changes leave half of the messages to urgent ones.
	routineMessageDivisor = 2
	// urgentMessages divided by urgentMessagesOf is the fraction of the message limit that urgent changes may use.
	urgentMessages, urgentMessagesOf = 3, 4
	// urgentMessageReserve is the least number of messages in the window that urgent changes leave unused.
	urgentMessageReserve = 2
	// routineMessageInterval is the least interval of routine messages, as a multiple of that at which they would use all
	// of the message limit. With it they use half.
	routineMessageInterval = 2
	// urgentIntervalDivisor divides the interval of routine messages if a change is urgent.
	urgentIntervalDivisor = 2
	// removalIntervalDivisor and removalGraceDivisor divide the routine interval and the drain grace period. Removals wait
	// for the smaller of the quotients after another message.
	removalIntervalDivisor, removalGraceDivisor = 2, 4
	// retryGraceDivisor divides the drain grace period; the quotient bounds the interval between attempts to send pending
	// changes.
	retryGraceDivisor = 16
)

// turn is the time and the limits of one delivery.
type turn struct {
	now          micros
	routine      bool    // routine changes may be sent
	routineLimit float64 // lines in the queue up to which routine changes may fill it
	removals     bool    // removals may be sent
	removalDelay micros  // how long removals wait after another message
}

// deliver moves the proxies toward the target state, as far as the limits on the queue and on messages allow. Lines count as
// queued until they are acknowledged, regardless of the configured throughput, so that a slow channel is sent less.
func (c *channel) deliver(now micros) {
	c.turns.deliveredAt = now
	c.dropOverdue(now)
	c.turns.queued = c.queuedLines(now)
	t := c.newTurn(now)
	c.reconcileReplicas()
	pending := c.sendWithdrawals(t)
	// Levels can change with each report and would then leave no share of the queue to the tables: tables and levels
	// alternate.
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

// newTurn determines which changes may be sent now. Removals do not wait for the next routine turn and have messages
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

// sendTableChanges sends the changes of tables without removals, including the tables' own levels, within the routine limit.
// It reports whether any change has to wait because it does not fit, for example because half of the fleet changes at once.
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

// sendTableChange sends the change of one table, unless the change has removals, which sendWithdrawals sends. It returns
// false if the change has to wait.
func (c *channel) sendTableChange(t turn, r *replica, set int) (done bool) {
	change := r.tables[set].pending
	if len(change.withdrawn)+len(change.removed) > 0 || change.size() == 0 || len(r.streams) == 0 {
		return true
	}
	share := withdrawalShare
	if r.removedAt == t.now { // leaves a part of the queue for the next removal
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

// sendAdmission sends the changed levels that apply to all tables, within the routine limit.
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

// finishTurn requests acknowledgements of the turn's messages, records the messages and reports the bound groups.
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
