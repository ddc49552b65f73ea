package coordinator

import (
	"porthub/membership"
	"porthub/policyapi"
	"porthub/routing"
)

// Gateway is a gateway's name, its node id on the wire.
type Gateway string

// ConnID is one connection of a gateway. It is never used twice within a process.
type ConnID uint64

// Input is an observation that a Core is given in Step. The set is closed: it has the types of this file whose input
// method marks them, all of them passed by value, since captures record and restore them as values.
type Input interface{ input() }

func (EndpointUpdate) input()      {}
func (RegistryUpdate) input()      {}
func (GatewayConnected) input()    {}
func (GatewayDisconnected) input() {}
func (DocumentAck) input()         {}
func (LoadReport) input()          {}
func (HealthCheckResult) input()   {}
func (PeerRejected) input()        {}
func (PublishFailed) input()       {}

type (
	// EndpointUpdate is an answer of the node list, or its failure (How ListFailed, Why says what went wrong).
	EndpointUpdate struct {
		policyapi.EndpointUpdate
		Error string `cbor:"Why" json:"Why"`

		decided bool // by membership
	}
	// RegistryUpdate is a registry's answer, or its failure.
	RegistryUpdate struct{ membership.SourceUpdate }
	// GatewayConnected says that a gateway has opened a connection and named itself.
	GatewayConnected struct {
		Gateway             Gateway        `cbor:"Gateway" json:"Gateway"`
		Conn                ConnID         `cbor:"Conn" json:"Conn"`
		Zone                policyapi.Zone `cbor:"Zone" json:"Zone"`
		HasDefaultTableOnly bool           `cbor:"Standing" json:"Standing"` // it holds only its standing table
		Weight              float64        `cbor:"Weight" json:"Weight"`     // usual reqs a second; 0: not known
	}
	// GatewayDisconnected says that a connection has ended.
	GatewayDisconnected struct {
		Gateway Gateway `cbor:"Gateway" json:"Gateway"`
		Conn    ConnID  `cbor:"Conn" json:"Conn"`
	}
	// DocumentAck is a gateway's answer to a document: it holds Version now, or refused the one with Nonce (Error is not empty).
	DocumentAck struct {
		Gateway  Gateway  `cbor:"Gateway" json:"Gateway"`
		Conn     ConnID   `cbor:"Conn" json:"Conn"`
		Document Document `cbor:"Doc" json:"Doc"`
		Version  string   `cbor:"Version" json:"Version"`
		Nonce    string   `cbor:"Nonce" json:"Nonce"`
		Error    string   `cbor:"Error" json:"Error"`
		// Checksum is tables.Checksum of all that the gateway holds; 0: it does not say.
		Checksum uint64 `cbor:"Checksum" json:"Checksum"`
		// ChecksumVersions are the versions that the checksum is of; empty: it does not say.
		ChecksumVersions [documentCount]string `cbor:"Held" json:"Held"`
	}
	// LoadReport sums what a gateway did in the last interval.
	LoadReport struct {
		Gateway  Gateway                `cbor:"Gateway" json:"Gateway"`
		Conn     ConnID                 `cbor:"Conn" json:"Conn"`
		Sequence uint64                 `cbor:"Seq" json:"Seq"` // counts a gateway's reports; what is not above the last is a repeat or late
		Interval policyapi.Microseconds `cbor:"Interval" json:"Interval"`
		Classes  []ClassReport          `cbor:"Kinds" json:"Kinds"`
	}
	// HealthCheckResult is the finding of a probe.
	HealthCheckResult struct{ policyapi.HealthCheckResult }
	// PeerRejected says that peers were answered with an error, Count times since the last one of these.
	PeerRejected struct {
		From   string `cbor:"From" json:"From"`
		Reason string `cbor:"Why" json:"Why"`
		Count  int    `cbor:"Count" json:"Count"`
	}
	// PublishFailed says that a document could not be handed over; the front tries again by itself.
	PublishFailed struct {
		Gateway Gateway `cbor:"Gateway" json:"Gateway"`
		Reason  string  `cbor:"Why" json:"Why"`
	}
)

// ClassReport is a report's part for one request kind. All counts are of reqs or tries in the interval.
type ClassReport struct {
	Class     string           `cbor:"Kind" json:"Kind"`
	Arrivals  int              `cbor:"Arrived" json:"Arrived"` // reqs that came, with clients' repeats and denied ones
	Rejected  int              `cbor:"Denied" json:"Denied"`   // by the level or for want of a line
	Failures  int              `cbor:"Errored" json:"Errored"` // let in and not answered
	Endpoints []EndpointReport `cbor:"Endpoints" json:"Endpoints"`
}

// EndpointReport is what a gateway met at one backend.
type EndpointReport struct {
	Endpoint    policyapi.EndpointID   `cbor:"Backend" json:"Backend"`
	Attempts    int                    `cbor:"Tries" json:"Tries"`     // that ended
	Failures    int                    `cbor:"Errored" json:"Errored"` // of them: errors, refusals, time-outs, failed connects
	InFlight    int                    `cbor:"Active" json:"Active"`   // not ended yet
	MeanLatency policyapi.Microseconds `cbor:"Answer" json:"Answer"`
	Metrics     policyapi.LoadMetrics  `cbor:"Loads" json:"Loads"` // by the module's names
}

// Document is one of the documents that a gateway is given.
type Document int

const (
	EndpointsDocument Document = iota // clusters: who may be sent to
	RoutesDocument                    // levels and second tries
	documentCount
)

func (d Document) String() string { return [...]string{"endpoints", "routes"}[d] }

// Output is an action that a Core asks its caller for. The set is closed, as for Input, and all are passed by value.
type Output interface{ output() }

func (Publish) output()         {}
func (CheckHealth) output()     {}
func (WatchEndpoints) output()  {}
func (Resync) output()          {}
func (SaveList) output()        {}
func (CloseConnection) output() {}
func (LogEntry) output()        {}

type (
	// Publish brings a gateway the documents that have changed, endpoints before routes.
	Publish struct {
		Gateway  Gateway
		Version  string // of the documents in this message
		Nonce    string
		Snapshot routing.Snapshot
		Changed  [documentCount]bool
		// Sync: bring it to the disk before it is moved into place. Readers see whole files either way; after a power cut
		// an unsynced one may be empty, is refused and sent again. Left out while the disk is too slow for drains.
		Sync bool
	}
	// CheckHealth examines a backend.
	CheckHealth struct{ Endpoint policyapi.EndpointID }
	// WatchEndpoints asks the node list for its changes from now on; a List answers, also when it fails.
	WatchEndpoints struct{ Enabled bool }
	// Resync asks for the whole list once.
	Resync struct{}
	// SaveList asks to keep the list for the next start.
	SaveList struct{ List policyapi.EndpointUpdate }
	// CloseConnection closes a connection.
	CloseConnection struct {
		Conn   ConnID
		Reason string
	}
	// LogEntry is a record for staff. Event is a short fixed name, Text what happened with its figures.
	LogEntry struct {
		Level    LogLevel             `cbor:"Level" json:"Level"`
		Event    string               `cbor:"Event" json:"Event"`
		Text     string               `cbor:"Text" json:"Text"`
		Gateway  Gateway              `cbor:"Gateway" json:"Gateway"`
		Endpoint policyapi.EndpointID `cbor:"Backend" json:"Backend"`
		Count    int                  `cbor:"Count" json:"Count"` // of the same since the last such record
		Fields   []LogField           `cbor:"Fields" json:"Fields"`
	}
)

// LogLevel is how much staff should mind.
type LogLevel int

const (
	LogDebug LogLevel = iota
	LogInfo
	LogWarn
)
