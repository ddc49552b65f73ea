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
	// maxTimeMilliseconds bounds every time in a message: over a thousand years none was measured, and below it the conversion to
	// microseconds can't overflow.
	maxTimeMilliseconds = 4e13
	// maxMeasuredMilliseconds bounds what a proxy or collector can have measured: an hour. Reports come each second, and those
	// that pile up follow within minutes; a longer period would outweigh all reports before it.
	maxMeasuredMilliseconds = 3600 * 1000
	// maxLoggedBytes is how much of a peer's text goes into an error.
	maxLoggedBytes = 24
)

// messageReader reads a message's fields: names and values taking turns. The first error sticks; methods return a value in any case.
type messageReader struct {
	name  string
	words [][]byte
	err   *ProtocolError
}

// wrap returns the error of the message under a sentinel.
func (m *messageReader) wrap(sentinel error) error { return fmt.Errorf("%w: %w", sentinel, m.err) }

// fail records what is wrong with a field.
func (m *messageReader) fail(field, reason string) {
	if m.err == nil {
		m.err = &ProtocolError{Message: shorten(m.name), Field: field, Reason: reason}
	}
}

// failMessage records what is wrong with the message as a whole.
func (m *messageReader) failMessage(reason string) { m.fail("", reason) }

// text returns a field's value. The field must be there exactly once.
func (m *messageReader) text(field string) string {
	if len(m.words)%2 != 0 {
		m.fail(field, "the message has a name without a value")
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
		m.fail(field, fmt.Sprintf("is there %d times, must be once", found))
	}
	return value
}

// has reports whether an optional field is there.
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
	if !ok {
		m.fail(field, fmt.Sprintf("%q is not a number", shorten(text)))
	} else if v < minimum || v > maximum {
		m.fail(field, fmt.Sprintf("%g is not within %g to %g", v, minimum, maximum))
	}
	return v
}

// integer returns a whole number from 0 to maximum.
func (m *messageReader) integer(field string, maximum int) int {
	text := m.text(field)
	v, err := strconv.ParseUint(text, 10, 31)
	if err != nil {
		m.fail(field, fmt.Sprintf("%q is not a whole number from 0 on", shorten(text)))
	} else if int(v) > maximum {
		m.fail(field, fmt.Sprintf("%d is over %d", v, maximum))
	}
	return int(v)
}

// duration returns a time of at most so many milliseconds.
func (m *messageReader) duration(field string, maxMilliseconds float64) policyapi.Microseconds {
	return millisecondsToMicroseconds(m.number(field, 0, maxMilliseconds))
}

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
		m.fail("az", fmt.Sprintf("%q is not in the settings", shorten(string(zone))))
	}
	return zone
}

func (m *messageReader) class(v *Validator) policyapi.RequestClass {
	name := m.text("kind")
	class, has := v.classes[name]
	if !has {
		m.fail("kind", fmt.Sprintf("%q is not in the settings", shorten(name)))
	}
	return class
}

func (m *messageReader) metrics(field string) policyapi.LoadMetrics {
	text := m.text(field)
	metrics, ok := parseLoadReport(text)
	if !ok {
		m.fail(field, fmt.Sprintf("%q is not a list of name:figure with figures from 0 on", shorten(text)))
	}
	return metrics
}

// shorten limits what a peer has written for an error's text.
func shorten(text string) string { return text[:min(len(text), maxLoggedBytes)] }

// parseDecimal parses a plain decimal number. The other forms that Go accepts (NaN, hexadecimals, underscores) are none here.
func parseDecimal(text string) (float64, bool) {
	if text == "" || strings.Trim(text, "+-.0123456789eE") != "" {
		return 0, false
	}
	v, err := strconv.ParseFloat(text, 64)
	return v, err == nil
}

// millisecondsToMicroseconds converts a time of the platform.
func millisecondsToMicroseconds(milliseconds float64) policyapi.Microseconds {
	return policyapi.Microseconds(math.Round(milliseconds * microsecondsPerMillisecond))
}
