package coordinator

import (
	"regexp"
	"strconv"
)

// LogField is one figure or name of a record.
type LogField struct {
	Key   string `cbor:"Key" json:"Key"`
	Value any    `cbor:"Value" json:"Value"` // string, float64 or bool
}

// policyLogFormats are the forms of the module's log lines: what the record is called and what its parts are.
var policyLogFormats = []struct {
	event string
	form  *regexp.Regexp
	keys  []string
}{
	{"levels", regexp.MustCompile(`^levels on: (true|false), ([\d.]+) reqs a second asked, ([\d.]+) can be done$`), []string{"on", "asked", "can"}},
	{"sick", regexp.MustCompile(`^(\S+) sick from (\S+): of about (\d+) tries in a row none was done$`), []string{"node", "zone", "tries"}},
	{"passed_over", regexp.MustCompile(`^sick marks of (\S+) passed over: (true|false), (\d+) of (\d+) reqs a second well$`),
		[]string{"zone", "on", "well", "of"}},
}

// parsePolicyLog reads a line of the module into a record. A line of another form is a record with its text alone.
func parsePolicyLog(text string) LogEntry {
	n := LogEntry{Level: LogInfo, Event: "mode", Text: text}
	for _, m := range policyLogFormats {
		parts := m.form.FindStringSubmatch(text)
		if parts == nil {
			continue
		}
		n.Event = m.event
		for i, key := range m.keys {
			var v any = parts[i+1]
			if f, err := strconv.ParseFloat(parts[i+1], 64); err == nil {
				v = f
			} else if b, err := strconv.ParseBool(parts[i+1]); err == nil {
				v = b
			}
			n.Fields = append(n.Fields, LogField{key, v})
		}
	}
	return n
}
