package simwire

import (
	"encoding/base64"
	"fmt"
	"strconv"
	"strings"

	"porthub/policyapi"
)

// SyntaxError reports a line that violates the protocol.
type SyntaxError struct {
	Line    int    // counted from 1
	Message string // name of the message, or the quoted text of a last line without a line end
	Part    string // name of the part
	Reason  string
}

func (e *SyntaxError) Error() string {
	return fmt.Sprintf("line %d: %s: %s: %s", e.Line, e.Message, e.Part, e.Reason)
}

// absent is the text of a part that has no value.
const absent = "-"

// fields reads the parts of one line from left to right. It retains the first error, which close returns; values read
// after an error are meaningless.
type fields struct {
	line    int
	message string // the first part, the name of the message
	rest    string
	done    bool // all parts have been read
	err     *SyntaxError
}

// newFields returns the fields of a line and reads the name of the message.
func newFields(line int, text string) *fields {
	f := &fields{line: line, rest: text}
	f.message = f.text("message")
	return f
}

func (f *fields) fail(part, reason string) {
	if f.err == nil {
		f.err = &SyntaxError{f.line, f.message, part, reason}
	}
}

// text reads the next part.
func (f *fields) text(part string) string {
	if f.done {
		f.fail(part, "missing")
		return ""
	}
	head, rest, more := strings.Cut(f.rest, "\t")
	f.rest = rest
	f.done = !more
	return head
}

// last reads the rest of the line as one part, which may contain tabs.
func (f *fields) last(part string) string {
	if f.done {
		f.fail(part, "missing")
		return ""
	}
	f.done = true
	return f.rest
}

// integer reads a whole number and returns 0 if the part has no value.
func (f *fields) integer(part string) int64 {
	s := f.text(part)
	if s == absent {
		return 0
	}
	v, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		f.fail(part, fmt.Sprintf("%q is not a whole number", s))
	}
	return v
}

// seed reads 64 bits that are written as a signed or unsigned whole number.
func (f *fields) seed(part string) uint64 {
	s := f.text(part)
	if v, err := strconv.ParseUint(s, 10, 64); err == nil {
		return v
	}
	v, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		f.fail(part, fmt.Sprintf("%q is not a whole number", s))
	}
	return uint64(v)
}

// number reads a decimal number and returns 0 if the part has no value.
func (f *fields) number(part string) float64 {
	s := f.text(part)
	if s == absent {
		return 0
	}
	v, err := strconv.ParseFloat(s, 64)
	if err != nil {
		f.fail(part, fmt.Sprintf("%q is not a number", s))
	}
	return v
}

// flag reads 0 or 1.
func (f *fields) flag(part string) bool {
	s := f.text(part)
	if s != "0" && s != "1" {
		f.fail(part, fmt.Sprintf("%q is neither 0 nor 1", s))
	}
	return s == "1"
}

func (f *fields) micros(part string) policyapi.Microseconds {
	return policyapi.Microseconds(f.integer(part))
}

func (f *fields) count(part string) int { return int(f.integer(part)) }

func (f *fields) endpoint() policyapi.EndpointID { return policyapi.EndpointID(f.text("backend")) }

func (f *fields) proxy() policyapi.ProxyID { return policyapi.ProxyID(f.integer("agent")) }

func (f *fields) table() policyapi.TableID { return policyapi.TableID(f.integer("mapId")) }

func (f *fields) zone() policyapi.Zone { return policyapi.Zone(f.text("site")) }

// metrics reads name:value pairs separated by commas.
func (f *fields) metrics(part string) policyapi.LoadMetrics {
	s := f.text(part)
	if s == absent || s == "" {
		return nil
	}
	metrics := policyapi.LoadMetrics{}
	for pair := range strings.SplitSeq(s, ",") {
		name, value, ok := strings.Cut(pair, ":")
		v, err := strconv.ParseFloat(value, 64)
		if !ok || err != nil {
			f.fail(part, fmt.Sprintf("%q does not have the form name:value with a numeric value", pair))
			return metrics
		}
		metrics[name] = v
	}
	return metrics
}

// body reads bytes in base64.
func (f *fields) body(part string) []byte {
	s := f.text(part)
	if s == absent {
		return nil
	}
	b, err := base64.StdEncoding.DecodeString(s)
	if err != nil {
		f.fail(part, "invalid base64 encoding")
	}
	return b
}

// close checks that no parts are left and returns the first error of the line.
func (f *fields) close() error {
	if f.err == nil && !f.done {
		f.fail("end of line", "the line has more parts than the message defines")
	}
	if f.err != nil {
		return f.err
	}
	return nil
}
