package coordinator

import "porthub/policylog"

// policyLogEntry converts a log line of the decision module to a log entry with the line's values as fields.
func policyLogEntry(line string) LogEntry {
	parsed := policylog.Parse(line)
	entry := LogEntry{Level: LogInfo, Event: parsed.Event, Text: parsed.Text}
	for _, field := range parsed.Fields {
		entry.Fields = append(entry.Fields, LogField{field.Key, field.Value})
	}
	return entry
}
