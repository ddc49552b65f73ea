package proxyproto

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"porthub/policyapi"
)

const (
	// microsecondsPerMillisecond converts the platform's times, which are in milliseconds.
	microsecondsPerMillisecond = 1000
	// maxTimeMilliseconds bounds every time in a message to about a thousand years, so that the conversion to microseconds can't
	// overflow.
	maxTimeMilliseconds = 4e13
	// maxMeasuredMilliseconds bounds a period or latency that a proxy or collector has measured. It is one hour: reports arrive
	// every second, delayed ones within minutes, and a longer period would outweigh all earlier reports.
	maxMeasuredMilliseconds = 3600 * 1000
	// maxLoggedBytes is the maximum number of bytes of a peer's text that an error quotes.
	maxLoggedBytes = 24
)

// messageReader reads a message's fields, which are alternating names and values. It retains the first error in err; values
// returned after an error are meaningless.
type messageReader struct {
	name  string
	words [][]byte
	err   *ProtocolError
}

// wrap returns the recorded error, wrapped together with a sentinel error.
func (m *messageReader) wrap(sentinel error) error { return fmt.Errorf("%w: %w", sentinel, m.err) }

// fail records an error in a field, unless an earlier error is recorded.
func (m *messageReader) fail(field, reason string) {
	if m.err == nil {
		m.err = &ProtocolError{Message: shorten(m.name), Field: field, Reason: reason}
	}
}

// failMessage records an error that concerns the complete message.
func (m *messageReader) failMessage(reason string) { m.fail("", reason) }

// text returns a field's value. The field must occur exactly once.
func (m *messageReader) text(field string) string {
	if len(m.words)%2 != 0 {
		m.fail(field, "the message has a field name without a value")
	}
	value := ""
	found := 0
	for i := 0; i+1 < len(m.words); i += 2 {
		if string(m.words[i]) == field {
			value = string(m.words[i+1])
			found++
		}
	}
	if found != 1 {
		m.fail(field, fmt.Sprintf("occurs %d times, want once", found))
	}
	return value
}

// has reports whether an optional field is present.
func (m *messageReader) has(field string) bool {
	for i := 0; i+1 < len(m.words); i += 2 {
		if string(m.words[i]) == field {
			return true
		}
	}
	return false
}

// number returns a decimal number from minimum to maximum.
func (m *messageReader) number(field string, minimum, maximum float64) float64 {
	text := m.text(field)
	v, ok := parseDecimal(text)
	switch {
	case !ok:
		m.fail(field, fmt.Sprintf("%q is not a number", shorten(text)))
	case v < minimum || v > maximum:
		m.fail(field, fmt.Sprintf("%g is not within %g to %g", v, minimum, maximum))
	}
	return v
}

// integer returns an integer from 0 to maximum.
func (m *messageReader) integer(field string, maximum int) int {
	text := m.text(field)
	v, err := strconv.ParseUint(text, 10, 31)
	switch {
	case err != nil:
		m.fail(field, fmt.Sprintf("%q is not a non-negative integer", shorten(text)))
	case int(v) > maximum:
		m.fail(field, fmt.Sprintf("%d is greater than %d", v, maximum))
	}
	return int(v)
}

// duration returns a duration that is sent in milliseconds, from 0 to maxMilliseconds.
func (m *messageReader) duration(field string, maxMilliseconds float64) policyapi.Microseconds {
	return millisecondsToMicroseconds(m.number(field, 0, maxMilliseconds))
}

// flag returns a field that is sent as 0 or 1.
func (m *messageReader) flag(field string) bool {
	text := m.text(field)
	if text != "0" && text != "1" {
		m.fail(field, fmt.Sprintf("%q is neither 0 nor 1", shorten(text)))
	}
	return text == "1"
}

func (m *messageReader) proxy(v *Validator) policyapi.ProxyID {
	return policyapi.ProxyID(m.integer("sidecar", v.proxyCount-1))
}

func (m *messageReader) zone(v *Validator) policyapi.Zone {
	zone := policyapi.Zone(m.text("az"))
	if !slices.Contains(v.zones, zone) {
		m.fail("az", fmt.Sprintf("%q is not a zone of the settings", shorten(string(zone))))
	}
	return zone
}

func (m *messageReader) class(v *Validator) policyapi.RequestClass {
	name := m.text("kind")
	class, has := v.classes[name]
	if !has {
		m.fail("kind", fmt.Sprintf("%q is not a request class of the settings", shorten(name)))
	}
	return class
}

func (m *messageReader) metrics(field string) policyapi.LoadMetrics {
	text := m.text(field)
	metrics, ok := parseLoadReport(text)
	if !ok {
		m.fail(field, fmt.Sprintf("%q is not a list of name:value pairs with non-negative values", shorten(text)))
	}
	return metrics
}

// shorten truncates a peer's text to the maxLoggedBytes that an error quotes.
func shorten(text string) string { return text[:min(len(text), maxLoggedBytes)] }

// parseDecimal parses a decimal number. It rejects the other forms that strconv.ParseFloat accepts, such as NaN, hexadecimal
// numbers and underscores.
func parseDecimal(text string) (float64, bool) {
	if text == "" || strings.Trim(text, "+-.0123456789eE") != "" {
		return 0, false
	}
	v, err := strconv.ParseFloat(text, 64)
	return v, err == nil
}

// millisecondsToMicroseconds converts one of the platform's times to the unit of the decision module.
func millisecondsToMicroseconds(milliseconds float64) policyapi.Microseconds {
	return policyapi.Microseconds(math.Round(milliseconds * microsecondsPerMillisecond))
}
