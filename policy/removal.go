package policy

import (
	"cmp"
	"math"
	"slices"
)

// removalMessageReserve is the number of messages in the window that are left to removals.
const removalMessageReserve = 2

// lastMessageGraceDivisor divides the drain grace period: removals that would use the last message that a proxy may get wait
// for the quotient at most.
const lastMessageGraceDivisor = 2

// sendWithdrawals sends the changes that the rules require, which may use most of the queue: first the removals of withdrawn
// endpoints, starting with the tables where they have been pending for the longest time, and then the bindings of new
// proxies, which cost three times the lines. Other removals follow. It reports whether any required change has to wait.
func (c *channel) sendWithdrawals(t turn) (pending bool) {
	withRemovals := c.replicasWithRemovals(t.now)
	for _, r := range withRemovals {
		if r.withdrawalSince > 0 && !c.sendRemovals(t, r) {
			pending = true
		}
	}
	c.turns.crowded = c.isCrowded()
	for _, s := range c.newStreams() {
		if !c.bindPlanned(s) {
			pending = true
		}
	}
	for _, r := range withRemovals {
		if r.withdrawalSince == 0 {
			c.sendRemovals(t, r)
		}
	}
	return pending
}

// replicasWithRemovals returns the replicas in which any table has a line to be removed. Those that have contained a
// withdrawn endpoint for the longest time come first, and those without one last.
func (c *channel) replicasWithRemovals(now micros) (replicas []*replica) {
	for _, r := range c.replicas {
		removed, withdrawn := false, false
		for _, table := range r.tables {
			withdrawn = withdrawn || len(table.pending.withdrawn) > 0
			removed = removed || len(table.pending.withdrawn)+len(table.pending.removed) > 0
		}
		if !withdrawn {
			r.withdrawalSince = 0
		} else if r.withdrawalSince == 0 {
			r.withdrawalSince = now
		}
		if removed {
			replicas = append(replicas, r)
		}
	}
	slices.SortStableFunc(replicas, func(a, b *replica) int {
		return cmp.Compare(cmp.Or(a.withdrawalSince, math.MaxInt64), cmp.Or(b.withdrawalSince, math.MaxInt64))
	})
	return replicas
}

// sendRemovals sends the removals of a replica's tables. It reports whether all withdrawn endpoints have been removed.
func (c *channel) sendRemovals(t turn, r *replica) (done bool) {
	if !t.removals || c.reservesLastMessage(t.now, r) {
		return false
	}
	if c.anyStreamLimited(r) {
		c.reassign(r)
		return false
	}
	done = true
	for set := range r.tables {
		if !c.sendTableRemovals(t.now, r, set) {
			done = false
		}
	}
	return done
}

// sendTableRemovals sends the removals of one table: the complete change if it fits into a part of the queue, otherwise
// as many removals as fit. It reports whether all withdrawn endpoints have been removed.
func (c *channel) sendTableRemovals(now micros, r *replica, set int) (done bool) {
	change := r.tables[set].pending
	removals := slices.Concat(change.withdrawn, change.removed)
	if len(removals) == 0 {
		return true
	}
	r.removedAt = now
	limit := c.requiredLimit(now, cmp.Or(r.withdrawalSince, now), removalWindows, withdrawalShare)
	fullLimit := min(limit, fullChangeShare*c.queueLimit) // updates are not urgent and leave a part of the queue for the next removal
	if change.replaces {
		fullLimit = limit
	}
	if c.linesThatFit(r.streams, fullLimit) >= change.size() {
		c.charge(now, r.streams, float64(change.size()))
		c.orderAdmission(r, set, change)
		c.orderLines(r, set, slices.Concat(removals, change.updated))
		return true
	}
	fit := min(len(removals), c.linesThatFit(r.streams, limit))
	if fit <= 0 {
		return false
	}
	c.charge(now, r.streams, float64(fit))
	c.orderLines(r, set, removals[:fit])
	return fit >= len(change.withdrawn)
}

// reservesLastMessage reports whether the removals of a replica wait so that others can be sent with them, because they
// would use the last message that one of its proxies may get. They wait for half of the drain grace period at most, less
// the longest latency of acknowledgements.
func (c *channel) reservesLastMessage(now micros, r *replica) bool {
	if r.withdrawalSince == 0 || now >= r.withdrawalSince+c.drainGracePeriod/lastMessageGraceDivisor-c.acks.longest() {
		return false
	}
	return slices.ContainsFunc(r.streams, func(s *stream) bool {
		return c.messageLimit > 0 && len(s.sentAt) == c.messageLimit-1
	})
}

// messageLimitReached reports whether a stream has reached its message limit. Reserved messages, which are those for removals
// and for the first binding, may use the full limit; others leave removalMessageReserve of it.
func (c *channel) messageLimitReached(s *stream, reserved bool) bool {
	limit := c.messageLimit
	if !reserved {
		limit -= removalMessageReserve
	}
	return c.messageLimit > 0 && len(s.sentAt) >= limit
}

// anyStreamLimited reports whether any stream of a replica has reached its message limit.
func (c *channel) anyStreamLimited(r *replica) bool {
	return slices.ContainsFunc(r.streams, func(s *stream) bool { return c.messageLimitReached(s, r.withdrawalSince > 0) })
}

// reassign binds the streams of a replica that may still get a message to a new replica of the same tables. Otherwise the
// streams at their message limit would delay the removals for all.
func (c *channel) reassign(r *replica) {
	const reserved = true // the binding replaces removals
	var newReplica *replica
	for _, s := range slices.Clone(r.streams) {
		if r.withdrawalSince == 0 || c.messageLimitReached(s, reserved) || !c.bindingFits(r, withdrawalShare*c.queueLimit) {
			continue
		}
		if newReplica == nil {
			newReplica = c.addReplica(r.group, r.subset)
		}
		c.bind(s, newReplica)
	}
}
