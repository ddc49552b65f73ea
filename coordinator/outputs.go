package coordinator

import (
	"porthub/policyapi"
	"porthub/routing"
)

// Output is an action that a Core requests from its caller. The set is closed, as for Input, and all are passed by value.
type Output interface{ output() }

func (Publish) output()         {}
func (CheckHealth) output()     {}
func (WatchEndpoints) output()  {}
func (Resync) output()          {}
func (SaveList) output()        {}
func (CloseConnection) output() {}
func (LogEntry) output()        {}

type (
	// Publish delivers to a gateway the documents that have changed, endpoints before routes.
	Publish struct {
		Gateway  Gateway
		Version  string // of the documents in this message
		Nonce    string
		Snapshot routing.Snapshot
		Changed  [documentCount]bool
		// Sync asks to sync each file to disk before it is moved into place. Readers see complete files either way; after
		// a power cut an unsynced one may be empty, is rejected and sent again. Not set while the disk is too slow for drains.
		Sync bool
	}
	// CheckHealth requests a health check of an endpoint.
	CheckHealth struct{ Endpoint policyapi.EndpointID }
	// WatchEndpoints starts or ends the watch of the endpoint list; an EndpointUpdate answers, also when it fails.
	WatchEndpoints struct{ Enabled bool }
	// Resync requests the complete endpoint list once.
	Resync struct{}
	// SaveList requests that the endpoint list is saved for the next start.
	SaveList struct{ List policyapi.EndpointUpdate }
	// CloseConnection closes a connection.
	CloseConnection struct {
		Conn   ConnID
		Reason string
	}
	// LogEntry is an entry of the log. Event is a short fixed name (logevents.go), Text what happened with its figures.
	LogEntry struct {
		Level    LogLevel             `cbor:"Level" json:"Level"`
		Event    string               `cbor:"Event" json:"Event"`
		Text     string               `cbor:"Text" json:"Text"`
		Gateway  Gateway              `cbor:"Gateway" json:"Gateway"`
		Endpoint policyapi.EndpointID `cbor:"Backend" json:"Backend"`
		Count    int                  `cbor:"Count" json:"Count"` // of the same event since the last such entry; 0: this one alone
		Fields   []LogField           `cbor:"Fields" json:"Fields"`
	}
)

// LogField is one figure or name of a log entry.
type LogField struct {
	Key   string `cbor:"Key" json:"Key"`
	Value any    `cbor:"Value" json:"Value"` // string, float64 or bool
}

// LogLevel is the severity of a log entry.
type LogLevel int

// The severities of log entries.
const (
	LogDebug LogLevel = iota
	LogInfo
	LogWarn
)
