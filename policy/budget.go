package policy

import (
	"math"
	"slices"
)

const (
	// ackIDs is the number of acknowledgement IDs: the protocols carry them in 16 bits.
	ackIDs = 65536
	// messageExpiry is the age at which an unacknowledged message counts as delivered or lost at the latest, even if no
	// proxy has ever acknowledged anything.
	messageExpiry = 60 * second
	// ackLatencyPeriods are the report periods for which an acknowledgement's latency counts, at least.
	ackLatencyPeriods = 5
	// overduePeriods are the report periods, in addition to one and a half times the longest latency seen, after which a
	// message no longer counts as queued.
	overduePeriods = 2
	// overdueLatencyDivisor makes the half of "one and a half times".
	overdueLatencyDivisor = 2
	// ackLines is the cost of the request to acknowledge a message, in lines.
	ackLines = 1
	// bindLines is the cost of a binding besides the lines and levels of its table: one line by the protocol, and one in
	// reserve.
	bindLines = 2
	// ownLevelLines is the cost of a table's own level.
	ownLevelLines = 1
	// windowSlackDivisor is the part of the message window that is added to it, for clocks that differ.
	windowSlackDivisor = 50
)

// ackLatencies are the longest latencies of acknowledgements seen lately.
type ackLatencies struct {
	recent, previous micros // of the present period and the one before
	since            micros // when the present period began
	recorded         bool   // something has been acknowledged
}

// longest is the longest latency seen lately.
func (a *ackLatencies) longest() micros { return max(a.recent, a.previous) }

// record takes a latency into account.
func (a *ackLatencies) record(now, latency, reportPeriod micros) {
	if now-a.since > ackLatencyPeriods*reportPeriod {
		a.previous = a.recent
		a.recent = 0
		a.since = now
	}
	a.recent = max(a.recent, latency)
	a.recorded = true
}

// queuedLines estimates the lines in the channel from the acknowledgements. Messages to different proxies can overtake
// each other by seconds: what waits for a proxy that disconnects is dropped, and only later messages take its place. But
// one that has been in flight for much longer than any that was acknowledged lately no longer counts: its proxy has
// stopped responding and will never acknowledge it. Whatever the latencies, and where nothing was ever acknowledged, a
// message counts for messageExpiry at most.
func (c *channel) queuedLines(now micros) (lines float64) {
	add := func(messages []pendingMessage) {
		for _, m := range messages {
			if !c.isOverdue(now, m) {
				lines += m.lines
			}
		}
	}
	add(c.inherited)
	for _, s := range c.allStreams() {
		add(s.unacknowledged)
	}
	return lines
}

// isOverdue reports whether a message has been in flight for too long to count as queued.
func (c *channel) isOverdue(now micros, m pendingMessage) bool {
	age, longest := now-m.sentAt, c.acks.longest()
	return c.acks.recorded && age > longest+longest/overdueLatencyDivisor+overduePeriods*c.reportPeriod || age > messageExpiry
}

// dropOverdue drops the overdue messages of a failed instance.
func (c *channel) dropOverdue(now micros) {
	c.inherited = slices.DeleteFunc(c.inherited, func(m pendingMessage) bool { return c.isOverdue(now, m) })
}

// maxMessagesSent returns the most messages that one proxy was sent in the message window, and forgets older ones.
func (c *channel) maxMessagesSent(now micros) (messages int) {
	for _, s := range c.streams {
		s.sentAt = slices.DeleteFunc(s.sentAt, func(at micros) bool {
			return now-at > c.messageWindow+c.messageWindow/windowSlackDivisor
		})
		messages = max(messages, len(s.sentAt))
	}
	return messages
}

// messageLines is the cost of a message besides its own lines; it includes the levels for all tables.
func (c *channel) messageLines() float64 {
	return c.messageOverhead + float64(len(c.admissions)) + ackLines
}

// bindCost is what it costs to bind a proxy to a replica's tables.
func (c *channel) bindCost(r *replica) (lines float64) {
	for _, table := range r.tables {
		lines += float64(len(table.lines)+len(c.admissions)) + bindLines
		if table.hasAdmission {
			lines += ownLevelLines
		}
	}
	return lines
}

// charge counts lines to each of some proxies.
func (c *channel) charge(now micros, streams []*stream, lines float64) {
	for _, s := range streams {
		if s.turnLines == 0 {
			c.turns.queued += c.messageLines()
		}
		s.turnLines += lines
		c.turns.queued += lines
		c.turns.linesSentAt = now
	}
}

// linesThatFit returns how many lines can be sent to each of some proxies with no more lines than a limit in the queue.
func (c *channel) linesThatFit(streams []*stream, limit float64) int {
	if len(streams) == 0 {
		return math.MaxInt
	}
	free := limit - c.turns.queued
	for _, s := range streams {
		if s.turnLines == 0 {
			free -= c.messageLines()
		}
	}
	return int(max(0, free/float64(len(streams))))
}

// maxTableLines is the number of lines that a table may have so that all of a proxy's tables fit into the queue
// together.
func maxTableLines(queueLimit, messageOverhead float64, placements, classes int) int {
	perTable := (bindShare*queueLimit - messageOverhead - float64(classes) - ackLines) / float64(placements)
	return int(perTable) - classes - bindLines - ownLevelLines
}
