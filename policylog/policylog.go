package policylog

import (
	"fmt"
	"regexp"
	"strconv"

	"porthub/policyapi"
)

// Events of the decision module. On-call staff search logs for them: a change needs a line in CHANGELOG.md.
const (
	EventAdmission       = "admission"        // admission becomes limited or is no longer limited
	EventEndpointEjected = "endpoint_ejected" // outlier detection took an endpoint out of a zone's tables
	EventPanicThreshold  = "panic_threshold"  // the ejections from a zone start or stop being ignored
	EventOther           = "policy"           // a line in an unknown format
)

// Admission returns the line that reports whether admission is limited from now on. Demand and capacity are in requests
// per second.
func Admission(limited bool, demand, capacity float64) string {
	return fmt.Sprintf("levels on: %t, %.1f reqs a second asked, %.1f can be done", limited, demand, capacity)
}

// EndpointEjected returns the line that reports that an endpoint is ejected from a zone's tables, after a number of
// consecutive attempts that failed or were expected but not reported.
func EndpointEjected(endpoint policyapi.EndpointID, zone policyapi.Zone, attempts float64) string {
	return fmt.Sprintf("%s sick from %s: of about %.0f tries in a row none was done", endpoint, zone, attempts)
}

// PanicThreshold returns the line that reports whether a zone's ejections are ignored from now on. Healthy is the capacity
// of the endpoints that are not ejected and total that of all endpoints, in requests per second.
func PanicThreshold(zone policyapi.Zone, active bool, healthy, total float64) string {
	return fmt.Sprintf("sick marks of %s passed over: %t, %.0f of %.0f reqs a second well", zone, active, healthy, total)
}

// Field is a figure or a name in a log line. Its value is a float64, a bool or a string.
type Field struct {
	Key   string
	Value any
}

// Entry is a log line in standard terms.
type Entry struct {
	Event  string // one of the events above
	Text   string // the message for operators
	Fields []Field
}

// lineFormat specifies how the lines of one event are parsed: the keys of their parts and the message for operators.
type lineFormat struct {
	event    string
	line     *regexp.Regexp
	keys     []string
	sentence func(parts []string) string
}

var lineFormats = []lineFormat{
	{
		event: EventAdmission,
		line:  regexp.MustCompile(`^levels on: (true|false), ([\d.]+) reqs a second asked, ([\d.]+) can be done$`),
		keys:  []string{"limited", "demand", "capacity"},
		sentence: func(parts []string) string {
			if parts[0] == "true" {
				return fmt.Sprintf("admission is limited: demand %s requests/s, capacity %s requests/s", parts[1], parts[2])
			}
			return fmt.Sprintf("admission is no longer limited: demand %s requests/s, capacity %s requests/s", parts[1], parts[2])
		},
	},
	{
		event: EventEndpointEjected,
		line:  regexp.MustCompile(`^(\S+) sick from (\S+): of about (\d+) tries in a row none was done$`),
		keys:  []string{"endpoint", "zone", "attempts"},
		sentence: func(parts []string) string {
			return fmt.Sprintf("endpoint %s ejected from zone %s: about %s consecutive attempts failed", parts[0], parts[1], parts[2])
		},
	},
	{
		event: EventPanicThreshold,
		line:  regexp.MustCompile(`^sick marks of (\S+) passed over: (true|false), (\d+) of (\d+) reqs a second well$`),
		keys:  []string{"zone", "active", "healthy", "total"},
		sentence: func(parts []string) string {
			if parts[1] == "true" {
				return fmt.Sprintf("ejections from zone %s ignored: only %s of %s requests/s look healthy", parts[0], parts[2], parts[3])
			}
			return fmt.Sprintf("ejections from zone %s in force again: %s of %s requests/s look healthy", parts[0], parts[2], parts[3])
		},
	},
}

// Parse parses a line of the decision module. A line in an unknown format becomes an EventOther with the line as its text.
func Parse(line string) Entry {
	for _, f := range lineFormats {
		match := f.line.FindStringSubmatch(line)
		if match == nil {
			continue
		}
		parts := match[1:]
		entry := Entry{Event: f.event, Text: f.sentence(parts)}
		for i, key := range f.keys {
			entry.Fields = append(entry.Fields, Field{key, parseValue(parts[i])})
		}
		return entry
	}
	return Entry{Event: EventOther, Text: line}
}

// parseValue returns a number as a float64, a text that strconv.ParseBool accepts as a bool, and any other text unchanged.
func parseValue(text string) any {
	if number, err := strconv.ParseFloat(text, 64); err == nil {
		return number
	}
	if truth, err := strconv.ParseBool(text); err == nil {
		return truth
	}
	return text
}
