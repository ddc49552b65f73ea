package simwire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"

	"porthub/policyapi"
)

// bufferSize is the size of a reader's or writer's buffer in bytes. Most batches and replies fit into it.
const bufferSize = 1 << 20

// InstanceEvent is an event, or a crash, of one instance.
type InstanceEvent struct {
	To    policyapi.InstanceID
	Event policyapi.Event // nil if Crash
	// Crash means that the host must drop the instance; the decision module receives no event.
	Crash bool
}

// Batch contains the events that arrive at the same time.
type Batch struct {
	Now    policyapi.Microseconds
	Events []InstanceEvent
}

// Reader reads batches of events.
type Reader struct {
	in   *bufio.Reader
	line int
	// classes contains each instance's request classes by name: load reports refer to a class by its name.
	classes map[policyapi.InstanceID]map[string]policyapi.RequestClass
}

// NewReader returns a Reader that reads from in.
func NewReader(in io.Reader) *Reader {
	return &Reader{
		in:      bufio.NewReaderSize(in, bufferSize),
		classes: map[policyapi.InstanceID]map[string]policyapi.RequestClass{},
	}
}

// Read returns the next batch. The error is io.EOF if the input ends between batches, a *SyntaxError if a batch violates
// the protocol, and otherwise wraps that of the underlying reader. After an error other than io.EOF the Reader must not be
// used.
func (r *Reader) Read() (Batch, error) {
	f, err := r.next()
	if err != nil {
		return Batch{}, err
	}
	if f.message != "TURN" {
		return Batch{}, r.syntaxError(f.message, "message", "expected TURN")
	}
	batch := Batch{Now: f.micros("time")}
	if err := f.close(); err != nil {
		return batch, err
	}
	for {
		f, err := r.next()
		if errors.Is(err, io.EOF) {
			return batch, r.endError("EOB", "input ends within a batch")
		}
		if err != nil {
			return batch, err
		}
		if f.message == "EOB" {
			return batch, f.close()
		}
		event, err := r.event(f)
		if err != nil {
			return batch, err
		}
		batch.Events = append(batch.Events, event)
	}
}

// next returns the fields of the next line, or io.EOF if the input ends between lines.
func (r *Reader) next() (*fields, error) {
	text, err := r.in.ReadString('\n')
	if errors.Is(err, io.EOF) && text == "" {
		return nil, io.EOF
	}
	r.line++
	if errors.Is(err, io.EOF) {
		return nil, r.syntaxError(fmt.Sprintf("%q", text), "end of line", "missing")
	}
	if err != nil {
		return nil, fmt.Errorf("read line %d: %w", r.line, err)
	}
	return newFields(r.line, strings.TrimSuffix(strings.TrimSuffix(text, "\n"), "\r")), nil
}

func (r *Reader) syntaxError(message, part, reason string) error {
	return &SyntaxError{r.line, message, part, reason}
}

// endError returns a syntax error that reports that a message is missing after the last line.
func (r *Reader) endError(message, reason string) error {
	r.line++
	return r.syntaxError(message, "message", reason)
}
