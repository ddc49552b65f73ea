package policy

import (
	"math"
	"slices"
)

const (
	// ackIDs is the number of acknowledgement IDs: the protocols carry them in 16 bits.
	ackIDs = 65536
	// messageExpiry is the age above which an unacknowledged message counts as delivered or lost in any case, even if no
	// proxy has acknowledged any message yet.
	messageExpiry = 60 * second
	// ackLatencyPeriods is the least number of report periods for which the latency of an acknowledgement counts.
	ackLatencyPeriods = 5
	// overduePeriods is the number of report periods, in addition to one and a half times the longest recent latency, after
	// which a message no longer counts as queued.
	overduePeriods = 2
	// overdueLatencyDivisor divides the longest latency; the quotient is the half in "one and a half times".
	overdueLatencyDivisor = 2
	// ackLines is the cost of the request to acknowledge a message, in lines.
	ackLines = 1
	// bindLines is the cost of a binding, in lines, in addition to the lines and levels of its table: one line by the
	// protocol, and one in reserve.
	bindLines = 2
	// ownLevelLines is the cost of a table's own level, in lines.
	ownLevelLines = 1
	// windowSlackDivisor divides the message window; the quotient is added to the window to allow for clock differences.
	windowSlackDivisor = 50
)

// ackLatencies tracks the longest latency of recent acknowledgements.
type ackLatencies struct {
	recent, previous micros // longest of the current period and of the previous one
	since            micros // when the current period began
	recorded         bool   // any acknowledgement has been recorded
}

// longest returns the longest recent latency.
func (a *ackLatencies) longest() micros { return max(a.recent, a.previous) }

// record records a latency.
func (a *ackLatencies) record(now, latency, reportPeriod micros) {
	if now-a.since > ackLatencyPeriods*reportPeriod {
		a.previous = a.recent
		a.recent = 0
		a.since = now
	}
	a.recent = max(a.recent, latency)
	a.recorded = true
}

// queuedLines estimates the number of lines in the channel as those of all unacknowledged messages. The acknowledgement of a
// later message to another proxy does not show that an earlier one has left the channel, since messages to different proxies
// can overtake each other by seconds: the messages that wait for a proxy that disconnects are dropped, and only later ones
// take their place. But a message that has been in flight for much longer than any that was acknowledged recently does not
// count: its proxy has stopped responding and will never acknowledge it. Regardless of the latencies, and if no message has
// been acknowledged yet, a message counts for messageExpiry at most.
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

// maxMessagesSent returns the most messages that any proxy was sent in the message window, and discards the times of older
// ones.
func (c *channel) maxMessagesSent(now micros) (messages int) {
	for _, s := range c.streams {
		s.sentAt = slices.DeleteFunc(s.sentAt, func(at micros) bool {
			return now-at > c.messageWindow+c.messageWindow/windowSlackDivisor
		})
		messages = max(messages, len(s.sentAt))
	}
	return messages
}

// messageLines returns the cost of a message, in lines, in addition to its table lines. It includes the levels that apply
// to all tables.
func (c *channel) messageLines() float64 {
	return c.messageOverhead + float64(len(c.admissions)) + ackLines
}

// bindCost returns the cost, in lines, of binding a proxy to a replica's tables.
func (c *channel) bindCost(r *replica) (lines float64) {
	for _, table := range r.tables {
		lines += float64(len(table.lines)+len(c.admissions)) + bindLines
		if table.hasAdmission {
			lines += ownLevelLines
		}
	}
	return lines
}

// charge adds lines to the current turn's message to each of some proxies, and to the queue.
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

// linesThatFit returns how many lines can be sent to each of some proxies without exceeding a limit of lines in the queue.
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

// maxTableLines returns the most lines that a table may have for all tables of a proxy to fit into the queue together.
func maxTableLines(queueLimit, messageOverhead float64, placements, classes int) int {
	perTable := (bindShare*queueLimit - messageOverhead - float64(classes) - ackLines) / float64(placements)
	return int(perTable) - classes - bindLines - ownLevelLines
}
