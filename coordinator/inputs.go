package coordinator

import (
	"porthub/membership"
	"porthub/policyapi"
)

// Gateway is the name of a gateway: the id of its node message in xDS.
type Gateway string

// ConnID identifies a connection of a gateway. IDs are never reused within a process.
type ConnID uint64

// Input is an observation that is passed to Core.Step. The set is closed: it consists of the types in this file that have an
// input method. All are passed by value, because captures record and restore them as values.
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
	// EndpointUpdate is the content of the endpoint list file or, with Kind Failed, the Error that prevented reading it.
	EndpointUpdate struct {
		policyapi.EndpointUpdate
		Error string `cbor:"Why" json:"Why"`

		decided bool // the list is a result of package membership and is not passed to it again
	}
	// RegistryUpdate is the result of a poll of a registry: its endpoints, or an error.
	RegistryUpdate struct{ membership.SourceUpdate }
	// GatewayConnected reports that a gateway has opened a connection and identified itself.
	GatewayConnected struct {
		Gateway             Gateway        `cbor:"Gateway" json:"Gateway"`
		Conn                ConnID         `cbor:"Conn" json:"Conn"`
		Zone                policyapi.Zone `cbor:"Zone" json:"Zone"`
		HasDefaultTableOnly bool           `cbor:"Standing" json:"Standing"` // it has no table but its default one
		Weight              float64        `cbor:"Weight" json:"Weight"`     // usual requests per second; 0 if unknown
	}
	// GatewayDisconnected reports that a connection has ended.
	GatewayDisconnected struct {
		Gateway Gateway `cbor:"Gateway" json:"Gateway"`
		Conn    ConnID  `cbor:"Conn" json:"Conn"`
	}
	// DocumentAck is a gateway's response to a document. If Error is empty, the gateway has applied Version. Otherwise it has
	// rejected the document with Nonce, for the reason in Error.
	DocumentAck struct {
		Gateway  Gateway  `cbor:"Gateway" json:"Gateway"`
		Conn     ConnID   `cbor:"Conn" json:"Conn"`
		Document Document `cbor:"Doc" json:"Doc"`
		Version  string   `cbor:"Version" json:"Version"`
		Nonce    string   `cbor:"Nonce" json:"Nonce"`
		Error    string   `cbor:"Error" json:"Error"`
		// Checksum is routing.Checksum of the snapshot that the gateway has; 0 if the gateway does not report it.
		Checksum uint64 `cbor:"Checksum" json:"Checksum"`
		// ChecksumVersions are the versions of the documents that Checksum covers; empty if the gateway does not report them.
		ChecksumVersions [documentCount]string `cbor:"Held" json:"Held"`
	}
	// LoadReport summarizes the requests that a gateway handled in an interval.
	LoadReport struct {
		Gateway Gateway `cbor:"Gateway" json:"Gateway"`
		Conn    ConnID  `cbor:"Conn" json:"Conn"`
		// Sequence numbers a gateway's reports. A report whose number is not above the last one is a duplicate or late.
		Sequence uint64                 `cbor:"Seq" json:"Seq"`
		Interval policyapi.Microseconds `cbor:"Interval" json:"Interval"`
		Classes  []ClassReport          `cbor:"Kinds" json:"Kinds"`
	}
	// HealthCheckResult is the result of a health check.
	HealthCheckResult struct{ policyapi.HealthCheckResult }
	// PeerRejected reports that requests or connections of peers were rejected, Count of them since the last PeerRejected. From
	// and Reason describe the latest one: From is the method and path of its request, or the peer's address if there was no
	// complete request.
	PeerRejected struct {
		From   string `cbor:"From" json:"From"`
		Reason string `cbor:"Why" json:"Why"`
		Count  int    `cbor:"Count" json:"Count"`
	}
	// PublishFailed reports that a document could not be written for a gateway. The caller retries without a further Publish.
	PublishFailed struct {
		Gateway Gateway `cbor:"Gateway" json:"Gateway"`
		Reason  string  `cbor:"Why" json:"Why"`
	}
)

// ClassReport is the part of a load report for one request class. All counts are for the report's interval.
type ClassReport struct {
	Class     string           `cbor:"Kind" json:"Kind"`
	Arrivals  int              `cbor:"Arrived" json:"Arrived"` // requests received, including clients' retries and rejected requests
	Rejected  int              `cbor:"Denied" json:"Denied"`   // requests rejected by admission control or for lack of an endpoint
	Failures  int              `cbor:"Errored" json:"Errored"` // requests admitted but not answered
	Endpoints []EndpointReport `cbor:"Endpoints" json:"Endpoints"`
}

// EndpointReport is what a gateway measured at one endpoint.
type EndpointReport struct {
	Endpoint policyapi.EndpointID `cbor:"Backend" json:"Backend"`
	Attempts int                  `cbor:"Tries" json:"Tries"` // completed attempts
	// Failures are completed attempts that failed: errors, rejections, timeouts and failed connects.
	Failures    int                    `cbor:"Errored" json:"Errored"`
	InFlight    int                    `cbor:"Active" json:"Active"` // attempts not yet completed
	MeanLatency policyapi.Microseconds `cbor:"Answer" json:"Answer"`
	Metrics     policyapi.LoadMetrics  `cbor:"Loads" json:"Loads"` // by the metric names in the report settings
}

// Document identifies one of the documents that are published to a gateway.
type Document int

const (
	// EndpointsDocument contains the clusters: the endpoints of each request class and their weights.
	EndpointsDocument Document = iota
	// RoutesDocument contains the admission rates and retry policies.
	RoutesDocument
	// documentCount is the number of documents.
	documentCount
)

func (d Document) String() string { return [...]string{"endpoints", "routes"}[d] }
