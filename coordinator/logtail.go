package coordinator

import (
	"slices"

	"porthub/policyapi"
)

// LoggedOverview is an overview with the log's last entries.
type LoggedOverview struct {
	Overview
	Log []LogRecord `json:"log"`
}

// LogRecord is an entry of the log with its time.
type LogRecord struct {
	At      policyapi.Microseconds `json:"at_us"`
	Level   string                 `json:"level"`
	Event   string                 `json:"event"`
	Text    string                 `json:"text"`
	Subject string                 `json:"of,omitempty"` // gateway or endpoint
}

// maxLogTail is how many entries of the log an overview has.
const maxLogTail = 200

// AppendLog adds an entry to the log's last records, dropping the oldest beyond maxLogTail. A tail that was handed out before
// does not change.
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
