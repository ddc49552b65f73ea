package coordinator

import (
	"slices"

	"porthub/policyapi"
)

// LoggedOverview is an overview with the most recent log entries.
type LoggedOverview struct {
	Overview
	Log []LogRecord `json:"log"`
}

// LogRecord is a log entry with its time.
type LogRecord struct {
	At      policyapi.Microseconds `json:"at_us"`
	Level   string                 `json:"level"`
	Event   string                 `json:"event"`
	Text    string                 `json:"text"`
	Subject string                 `json:"of,omitempty"` // gateway or endpoint
}

// maxLogTail is the maximum number of log entries in an overview.
const maxLogTail = 200

// AppendLog appends an entry to the most recent records and drops the oldest ones beyond maxLogTail. Slices that it has
// returned before keep their contents.
func AppendLog(tail []LogRecord, now policyapi.Microseconds, entry LogEntry) []LogRecord {
	record := LogRecord{At: now, Level: "info", Event: entry.Event, Text: entry.Text, Subject: string(entry.Gateway)}
	if entry.Level == LogWarn {
		record.Level = "warn"
	}
	if entry.Endpoint != "" {
		record.Subject = string(entry.Endpoint)
	}
	if len(tail) >= maxLogTail {
		tail = slices.Clone(tail[len(tail)-maxLogTail+1:])
	}
	return append(tail, record)
}
