package coordinator

import "fmt"

// outbox collects the outputs of a step.
type outbox struct {
	outputs  []Output
	deferred []Output // emitted between steps by operators' commands; the next step returns them first
}

// begin replaces the outputs of the last step by the deferred ones.
func (o *outbox) begin() {
	o.outputs = o.deferred
	o.deferred = nil
}

func (o *outbox) emit(out Output) { o.outputs = append(o.outputs, out) }

func (o *outbox) log(level LogLevel, event, format string, args ...any) {
	o.emit(LogEntry{Level: level, Event: event, Text: fmt.Sprintf(format, args...)})
}

// logLater defers an entry to the outputs of the next step.
func (o *outbox) logLater(entry LogEntry) { o.deferred = append(o.deferred, entry) }
