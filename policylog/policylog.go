package policylog

import (
	"fmt"
	"regexp"
	"strconv"

	"porthub/policyapi"
)

// Events of the decision module. On-call staff search by them: a change needs a line in CHANGELOG.md.
const (
	EventAdmission       = "admission"        // admission begins or ends to be limited
	EventEndpointEjected = "endpoint_ejected" // outlier detection took an endpoint out of a zone's tables
	EventPanicThreshold  = "panic_threshold"  // a zone's ejections begin or end to be ignored
	EventOther           = "policy"           // a line of no known form
)

// Admission returns the line for an admission that begins or ends to be limited. Demand and capacity are in requests
// per second.
func Admission(limited bool, demand, capacity float64) string {
	return fmt.Sprintf("levels on: %t, %.1f reqs a second asked, %.1f can be done", limited, demand, capacity)
}

// EndpointEjected returns the line for an endpoint that is ejected from a zone's tables after a number of attempts in a
// row that failed or did not come.
func EndpointEjected(endpoint policyapi.EndpointID, zone policyapi.Zone, attempts float64) string {
	return fmt.Sprintf("%s sick from %s: of about %.0f tries in a row none was done", endpoint, zone, attempts)
}

// PanicThreshold returns the line for a zone whose ejections begin or end to be ignored. Healthy and total are the
// capacity of the endpoints that are not ejected and of all, in requests per second.
func PanicThreshold(zone policyapi.Zone, active bool, healthy, total float64) string {
	return fmt.Sprintf("sick marks of %s passed over: %t, %.0f of %.0f reqs a second well", zone, active, healthy, total)
}

// Field is a figure or a name of a log line. Its value is a float64, a bool or a string.
type Field struct {
	Key   string
	Value any
}

// Entry is a log line in standard terms.
type Entry struct {
	Event  string // one of the events above
	Text   string // a sentence
	Fields []Field
}

// form is how lines of one event are parsed: the keys of their parts, and the sentence for people.
type form struct {
	event    string
	line     *regexp.Regexp
	keys     []string
	sentence func(parts []string) string
}

var forms = []form{
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

// Parse parses a line of the decision module. A line of no known form becomes an EventOther with the line as its text.
func Parse(line string) Entry {
	for _, f := range forms {
		match := f.line.FindStringSubmatch(line)
		if match == nil {
			continue
		}
		parts := match[1:]
		entry := Entry{Event: f.event, Text: f.sentence(parts)}
		for i, key := range f.keys {
			entry.Fields = append(entry.Fields, Field{key, value(parts[i])})
		}
		return entry
	}
	return Entry{Event: EventOther, Text: line}
}

// value returns a number as a float64, true and false as a bool, and any other text unchanged.
func value(text string) any {
	if number, err := strconv.ParseFloat(text, 64); err == nil {
		return number
	}
	if truth, err := strconv.ParseBool(text); err == nil {
		return truth
	}
	return text
}
