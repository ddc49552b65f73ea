package coordinator

import (
	"regexp"
	"strconv"
)

// policyLogFormats are the forms of the decision module's log lines: the event that each is logged as, and the keys of its
// figures.
var policyLogFormats = []struct {
	event string
	form  *regexp.Regexp
	keys  []string
}{
	{
		event: eventAdmission,
		form:  regexp.MustCompile(`^levels on: (true|false), ([\d.]+) reqs a second asked, ([\d.]+) can be done$`),
		keys:  []string{"limited", "demand", "capacity"},
	},
	{
		event: eventEndpointEjected,
		form:  regexp.MustCompile(`^(\S+) sick from (\S+): of about (\d+) tries in a row none was done$`),
		keys:  []string{"endpoint", "zone", "attempts"},
	},
	{
		event: eventPanicThreshold,
		form:  regexp.MustCompile(`^sick marks of (\S+) passed over: (true|false), (\d+) of (\d+) reqs a second well$`),
		keys:  []string{"zone", "active", "healthy", "total"},
	},
}

// parsePolicyLog makes a log line of the decision module an entry with its figures as fields. A line of no known form is an
// entry with its text alone.
func parsePolicyLog(text string) LogEntry {
	entry := LogEntry{Level: LogInfo, Event: eventPolicy, Text: text}
	for _, format := range policyLogFormats {
		parts := format.form.FindStringSubmatch(text)
		if parts == nil {
			continue
		}
		entry.Event = format.event
		for i, key := range format.keys {
			entry.Fields = append(entry.Fields, LogField{key, parseLogValue(parts[i+1])})
		}
	}
	return entry
}

// parseLogValue is a number or a truth value if the text is one, or else the text.
func parseLogValue(text string) any {
	if number, err := strconv.ParseFloat(text, 64); err == nil {
		return number
	}
	if truth, err := strconv.ParseBool(text); err == nil {
		return truth
	}
	return text
}
