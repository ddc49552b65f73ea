package coordinator

import (
	"porthub/membership"
	"porthub/policyapi"
)

// Gateway is a gateway's name, the id of its node message in xDS.
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
	// EndpointUpdate is the content of the endpoint list's file, or the failure to read it (Kind Failed, with Error).
	EndpointUpdate struct {
		policyapi.EndpointUpdate
		Error string `cbor:"Why" json:"Why"`

		decided bool // by membership: a snapshot that need not go through it any more
	}
	// RegistryUpdate is a registry's answer, or its failure.
	RegistryUpdate struct{ membership.SourceUpdate }
	// GatewayConnected reports that a gateway has opened a connection and named itself.
	GatewayConnected struct {
		Gateway             Gateway        `cbor:"Gateway" json:"Gateway"`
		Conn                ConnID         `cbor:"Conn" json:"Conn"`
		Zone                policyapi.Zone `cbor:"Zone" json:"Zone"`
		HasDefaultTableOnly bool           `cbor:"Standing" json:"Standing"` // it has only its default table
		Weight              float64        `cbor:"Weight" json:"Weight"`     // usual requests per second; 0: not known
	}
	// GatewayDisconnected reports that a connection has ended.
	GatewayDisconnected struct {
		Gateway Gateway `cbor:"Gateway" json:"Gateway"`
		Conn    ConnID  `cbor:"Conn" json:"Conn"`
	}
	// DocumentAck is a gateway's response to a document: it has applied Version, or, if Error is not empty, it has rejected
	// the document with Nonce for that reason.
	DocumentAck struct {
		Gateway  Gateway  `cbor:"Gateway" json:"Gateway"`
		Conn     ConnID   `cbor:"Conn" json:"Conn"`
		Document Document `cbor:"Doc" json:"Doc"`
		Version  string   `cbor:"Version" json:"Version"`
		Nonce    string   `cbor:"Nonce" json:"Nonce"`
		Error    string   `cbor:"Error" json:"Error"`
		// Checksum is routing.Checksum of the snapshot that the gateway has; 0: not stated.
		Checksum uint64 `cbor:"Checksum" json:"Checksum"`
		// ChecksumVersions are the versions that the checksum is of; empty: not stated.
		ChecksumVersions [documentCount]string `cbor:"Held" json:"Held"`
	}
	// LoadReport sums up what a gateway did in the last interval.
	LoadReport struct {
		Gateway  Gateway                `cbor:"Gateway" json:"Gateway"`
		Conn     ConnID                 `cbor:"Conn" json:"Conn"`
		Sequence uint64                 `cbor:"Seq" json:"Seq"` // counts a gateway's reports; one that is not above the last is a duplicate or late
		Interval policyapi.Microseconds `cbor:"Interval" json:"Interval"`
		Classes  []ClassReport          `cbor:"Kinds" json:"Kinds"`
	}
	// HealthCheckResult is the result of a health check.
	HealthCheckResult struct{ policyapi.HealthCheckResult }
	// PeerRejected reports that peers were answered with an error, Count times since the last one of these.
	PeerRejected struct {
		From   string `cbor:"From" json:"From"`
		Reason string `cbor:"Why" json:"Why"`
		Count  int    `cbor:"Count" json:"Count"`
	}
	// PublishFailed reports that a document could not be delivered; the sender retries without an output of the core.
	PublishFailed struct {
		Gateway Gateway `cbor:"Gateway" json:"Gateway"`
		Reason  string  `cbor:"Why" json:"Why"`
	}
)

// ClassReport is a report's part for one request class. All counts are of requests or attempts in the interval.
type ClassReport struct {
	Class     string           `cbor:"Kind" json:"Kind"`
	Arrivals  int              `cbor:"Arrived" json:"Arrived"` // requests received, with clients' retries and rejected ones
	Rejected  int              `cbor:"Denied" json:"Denied"`   // by admission, or because no endpoint was left
	Failures  int              `cbor:"Errored" json:"Errored"` // admitted and not answered
	Endpoints []EndpointReport `cbor:"Endpoints" json:"Endpoints"`
}

// EndpointReport is what a gateway measured at one endpoint.
type EndpointReport struct {
	Endpoint    policyapi.EndpointID   `cbor:"Backend" json:"Backend"`
	Attempts    int                    `cbor:"Tries" json:"Tries"`     // completed ones
	Failures    int                    `cbor:"Errored" json:"Errored"` // of them: errors, rejections, timeouts, failed connects
	InFlight    int                    `cbor:"Active" json:"Active"`   // not completed yet
	MeanLatency policyapi.Microseconds `cbor:"Answer" json:"Answer"`
	Metrics     policyapi.LoadMetrics  `cbor:"Loads" json:"Loads"` // by the names of the report settings
}

// Document is one of the documents that a gateway gets.
type Document int

const (
	// EndpointsDocument has the clusters: which endpoints requests may go to, by weight.
	EndpointsDocument Document = iota
	// RoutesDocument has admission and retry policies.
	RoutesDocument
	documentCount
)

func (d Document) String() string { return [...]string{"endpoints", "routes"}[d] }
