package coordinator

import (
	"fmt"
	"maps"
	"slices"
)

// warningInterval is the least time between two warnings of one event name: invalid inputs can arrive by the thousand, and one
// entry that counts them is enough.
const warningInterval = 10 * second

// warningLog limits the rate of warnings by event name: the first is emitted by the step in which it occurs, then one in each
// interval, with the number since the last.
type warningLog map[string]*warningCount

type warningCount struct {
	count    int
	last     LogEntry
	loggedAt microseconds
}

func (w warningLog) add(entry LogEntry, count int) {
	one := w[entry.Event]
	if one == nil {
		one = &warningCount{loggedAt: -warningInterval}
		w[entry.Event] = one
	}
	one.count += count
	one.last = entry
}

// flush emits the warnings that are due, in the order of their event names.
func (w warningLog) flush(now microseconds, out *outbox) {
	for _, event := range slices.Sorted(maps.Keys(w)) {
		one := w[event]
		if one.count > 0 && (now-one.loggedAt >= warningInterval || one.loggedAt < 0) {
			one.last.Count = one.count
			out.emit(one.last)
			one.count = 0
			one.loggedAt = now
		}
	}
}

// warn records something that should not happen, about a gateway or, if that is empty, none.
func (c *Core) warn(event string, gateway Gateway, format string, args ...any) {
	c.warnings.add(LogEntry{Level: LogWarn, Event: event, Text: fmt.Sprintf(format, args...), Gateway: gateway}, 1)
}
