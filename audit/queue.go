package audit

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"
)

// evaluateQueue checks that the number of messages to a gateway within a window and the number of lines in flight to all
// gateways stay within their limits.
func (l *Log) evaluateQueue() Verdict {
	worst := &peak{}
	var events []queueEvent
	for _, name := range slices.Sorted(maps.Keys(l.gateways)) {
		g := l.gateways[name]
		l.checkMessageRate(worst, name, g)
		events = append(events, l.queueEvents(name, g)...)
	}
	slices.SortStableFunc(events, func(a, b queueEvent) int { return cmp.Compare(a.at, b.at) })
	queue := lineQueue{byGateway: map[string][]queuedMessage{}}
	for _, event := range events {
		queue.apply(event)
		if event.kind != messageWritten {
			continue
		}
		worst.raise(queue.lines/l.limits.QueueLimit, func() string {
			return strconv.FormatFloat(queue.lines, 'f', 0, 64) + " lines in flight at " + formatDuration(event.at)
		})
	}
	return worst.verdict()
}

// checkMessageRate checks the number of messages to a gateway in the window that ends with each message.
func (l *Log) checkMessageRate(worst *peak, name string, g *gatewayLog) {
	if l.limits.MessageLimit == 0 {
		return
	}
	for i, table := range g.tables {
		if table.version.epoch == "" {
			continue
		}
		count := messagesBefore(g.tables[:i+1], l.limits.MessageWindow)
		worst.raise(float64(count)/float64(l.limits.MessageLimit), func() string {
			return name + " was sent " + strconv.Itoa(count) + " messages in the window up to " + formatDuration(table.written)
		})
	}
}

// messagesBefore returns the number of messages in the window that ends with the last table. It is computed from the version
// numbers, which count the messages to a gateway, so that it includes messages that were replaced by newer ones before the
// gateway read them.
func messagesBefore(tables []appliedTable, window time.Duration) int {
	last := tables[len(tables)-1]
	first := last.version.number
	for _, table := range slices.Backward(tables) {
		if table.version.epoch != last.version.epoch {
			break
		}
		first = min(first, table.version.number)
		if last.written-table.written > window {
			return last.version.number - max(first, table.version.number)
		}
	}
	return last.version.number - first + 1 // the first message is within the window
}

type queueEventKind int

const (
	messageWritten queueEventKind = iota
	messageAcknowledged
	gatewayDisconnected
)

// queueEvent is an event that changes the number of lines in flight to a gateway.
type queueEvent struct {
	at      time.Duration
	kind    queueEventKind
	gateway string
	version version
	lines   float64 // lines of a written message, with its overhead
}

// queueEvents returns the messages, acknowledgements and disconnections of a gateway.
func (l *Log) queueEvents(name string, g *gatewayLog) []queueEvent {
	var events []queueEvent
	seen := map[version]bool{}
	for _, table := range g.tables {
		if table.version.epoch == "" {
			continue
		}
		lines := float64(table.lines)
		if !seen[table.version] { // the overhead counts once per message, however often it is read
			seen[table.version] = true
			lines += l.limits.MessageOverhead
		}
		events = append(events, queueEvent{at: table.written, kind: messageWritten, gateway: name, version: table.version, lines: lines})
	}
	for _, ack := range g.acks {
		events = append(events, queueEvent{at: ack.at, kind: messageAcknowledged, gateway: name, version: ack.version})
	}
	for _, connection := range g.connected {
		if !connection.open {
			events = append(events, queueEvent{at: connection.to, kind: gatewayDisconnected, gateway: name})
		}
	}
	return events
}

// lineQueue holds the messages that have not been acknowledged.
type lineQueue struct {
	byGateway map[string][]queuedMessage
	lines     float64 // total of all messages
}

type queuedMessage struct {
	version version
	lines   float64
}

func (q *lineQueue) apply(event queueEvent) {
	if event.kind == messageWritten {
		q.byGateway[event.gateway] = append(q.byGateway[event.gateway], queuedMessage{version: event.version, lines: event.lines})
		q.lines += event.lines
		return
	}
	q.byGateway[event.gateway] = slices.DeleteFunc(q.byGateway[event.gateway], func(m queuedMessage) bool {
		if !event.removes(m) {
			return false
		}
		q.lines -= m.lines
		return true
	})
}

// removes reports whether an acknowledgement or a disconnection removes a message from the lines in flight. An
// acknowledgement also covers earlier messages and those of other epochs.
func (e queueEvent) removes(m queuedMessage) bool {
	return e.kind == gatewayDisconnected || m.version.epoch != e.version.epoch || m.version.number <= e.version.number
}
