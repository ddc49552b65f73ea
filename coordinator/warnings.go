package coordinator

import (
	"fmt"
	"maps"
	"slices"
)

// warningInterval is the minimum time between two warnings with the same event name: invalid inputs can arrive by the thousand,
// and one entry with their number is enough.
const warningInterval = 10 * second

// warningLog limits the rate of warnings of each event name. The first warning is emitted in the step in which it occurs, later
// ones at most once per warningInterval, with their number since the last entry.
type warningLog map[string]*warningCount

type warningCount struct {
	count    int // since the last entry
	last     LogEntry
	loggedAt microseconds
}

func (w warningLog) add(entry LogEntry, count int) {
	warning := w[entry.Event]
	if warning == nil {
		warning = &warningCount{loggedAt: -warningInterval}
		w[entry.Event] = warning
	}
	warning.count += count
	warning.last = entry
}

// flush emits the warnings that are due, in the order of their event names.
func (w warningLog) flush(now microseconds, out *outbox) {
	for _, event := range slices.Sorted(maps.Keys(w)) {
		warning := w[event]
		if warning.count > 0 && (now-warning.loggedAt >= warningInterval || warning.loggedAt < 0) {
			warning.last.Count = warning.count
			out.emit(warning.last)
			warning.count = 0
			warning.loggedAt = now
		}
	}
}

// warn records a warning about a gateway, or about no gateway in particular if the name is empty.
func (c *Core) warn(event string, gateway Gateway, format string, args ...any) {
	c.warnings.add(LogEntry{Level: LogWarn, Event: event, Text: fmt.Sprintf(format, args...), Gateway: gateway}, 1)
}
