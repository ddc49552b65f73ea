package simwire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"

	"porthub/policyapi"
)

// bufferSize holds most batches and replies at once, in bytes.
const bufferSize = 1 << 20

// InstanceEvent is an event, or a crash, of one instance.
type InstanceEvent struct {
	To    policyapi.InstanceID
	Event policyapi.Event // nil if Crash
	// Crash orders the host to drop the instance; the module is not involved.
	Crash bool
}

// Batch contains the events that arrive at one time.
type Batch struct {
	Now    policyapi.Microseconds
	Events []InstanceEvent
}

// Reader reads batches.
type Reader struct {
	in   *bufio.Reader
	line int
	// classes are the names of each instance's request classes: load reports refer to a class by its name.
	classes map[policyapi.InstanceID]map[string]policyapi.RequestClass
}

// NewReader returns a Reader of in.
func NewReader(in io.Reader) *Reader {
	return &Reader{
		in:      bufio.NewReaderSize(in, bufferSize),
		classes: map[policyapi.InstanceID]map[string]policyapi.RequestClass{},
	}
}

// Read returns the next batch. The error is io.EOF at the end of the input between batches, a *SyntaxError for a batch
// that violates the protocol, or that of the underlying reader, wrapped. After an error other than io.EOF the Reader must
// not be used.
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
			return batch, r.endError("EOB", "input ends in mid-batch")
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

// next returns the fields of the next line, or io.EOF where the input ends between lines.
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
		return nil, fmt.Errorf("line %d: %w", r.line, err)
	}
	return newFields(r.line, strings.TrimSuffix(strings.TrimSuffix(text, "\n"), "\r")), nil
}

func (r *Reader) syntaxError(message, part, reason string) error {
	return &SyntaxError{r.line, message, part, reason}
}

// endError returns a syntax error on the line after the last, where a message is missing.
func (r *Reader) endError(message, reason string) error {
	r.line++
	return r.syntaxError(message, "message", reason)
}
