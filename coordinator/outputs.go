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
	// Publish requests the delivery of the changed documents to a gateway, endpoints before routes.
	Publish struct {
		Gateway  Gateway
		Version  string // of the documents in this message
		Nonce    string
		Snapshot routing.Snapshot
		Changed  [documentCount]bool
		// Sync requests that each file is synced to disk before it is moved into place. Readers see complete files either
		// way, but after a power failure an unsynced file may be empty; the gateway rejects it and it is sent again. Sync is
		// not set while the disk is so slow that drains would reach gateways late.
		Sync bool
	}
	// CheckHealth requests a health check of an endpoint.
	CheckHealth struct{ Endpoint policyapi.EndpointID }
	// WatchEndpoints starts or ends the watch of the endpoint list. Its results and failures arrive as inputs of type EndpointUpdate.
	WatchEndpoints struct{ Enabled bool }
	// Resync requests the complete endpoint list once.
	Resync struct{}
	// SaveList requests that the endpoint list be saved for the next start.
	SaveList struct{ List policyapi.EndpointUpdate }
	// CloseConnection requests that a connection be closed.
	CloseConnection struct {
		Conn   ConnID
		Reason string
	}
	// LogEntry is an entry of the log. Event is one of the names in logevents.go and package policylog; Text describes what
	// happened, with the values.
	LogEntry struct {
		Level    LogLevel             `cbor:"Level" json:"Level"`
		Event    string               `cbor:"Event" json:"Event"`
		Text     string               `cbor:"Text" json:"Text"`
		Gateway  Gateway              `cbor:"Gateway" json:"Gateway"`
		Endpoint policyapi.EndpointID `cbor:"Backend" json:"Backend"`
		// Count is the number of warnings of this event since its last entry; 0 for entries that are not counted.
		Count  int        `cbor:"Count" json:"Count"`
		Fields []LogField `cbor:"Fields" json:"Fields"`
	}
)

// LogField is a structured field of a log entry.
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
