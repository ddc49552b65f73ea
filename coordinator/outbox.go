package coordinator

import "fmt"

// outbox collects the outputs of a step.
type outbox struct {
	outputs  []Output
	deferred []Output // emitted between steps, by an operator's command: the next step returns them first
}

// begin starts a step.
func (o *outbox) begin() {
	o.outputs = o.deferred
	o.deferred = nil
}

func (o *outbox) emit(out Output) { o.outputs = append(o.outputs, out) }

func (o *outbox) log(level LogLevel, event, format string, args ...any) {
	o.emit(LogEntry{Level: level, Event: event, Text: fmt.Sprintf(format, args...)})
}

// logLater has the next step return an entry.
func (o *outbox) logLater(entry LogEntry) { o.deferred = append(o.deferred, entry) }
