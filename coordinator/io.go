package coordinator

import (
	"porthub/control"
	"porthub/membership"
	"porthub/tables"
)

// Gateway is a gateway's name, its node id on the wire.
type Gateway string

// Conn is one connection of a gateway. It is never used twice within a process.
type Conn uint64

// Input is something the core is told.
type Input any

type (
	// EndpointUpdate is an answer of the node list, or its failure (How ListFailed, Why says what went wrong).
	List struct {
		control.EndpointUpdate
		Why string `cbor:"Why" json:"Why"`

		decided bool // by membership
	}
	// Told is a registry's answer, or its failure.
	Told struct{ membership.Answer }
	// Join says that a gateway has opened a connection and named itself.
	Join struct {
		Gateway  Gateway      `cbor:"Gateway" json:"Gateway"`
		Conn     Conn         `cbor:"Conn" json:"Conn"`
		Zone     control.Zone `cbor:"Zone" json:"Zone"`
		Standing bool         `cbor:"Standing" json:"Standing"` // it holds only its standing table
		Weight   float64      `cbor:"Weight" json:"Weight"`     // usual reqs a second; 0: not known
	}
	// Leave says that a connection has ended.
	Leave struct {
		Gateway Gateway `cbor:"Gateway" json:"Gateway"`
		Conn    Conn    `cbor:"Conn" json:"Conn"`
	}
	// Ack is a gateway's answer to a document: it holds Version now, or refused the one with Nonce (Error is not empty).
	Ack struct {
		Gateway Gateway `cbor:"Gateway" json:"Gateway"`
		Conn    Conn    `cbor:"Conn" json:"Conn"`
		Doc     Doc     `cbor:"Doc" json:"Doc"`
		Version string  `cbor:"Version" json:"Version"`
		Nonce   string  `cbor:"Nonce" json:"Nonce"`
		Error   string  `cbor:"Error" json:"Error"`
		// Checksum is tables.Checksum of all that the gateway holds; 0: it does not say.
		Checksum uint64 `cbor:"Checksum" json:"Checksum"`
		// Held are the versions that the checksum is of; empty: it does not say.
		Held [docs]string `cbor:"Held" json:"Held"`
	}
	// Report sums what a gateway did in the last interval.
	Report struct {
		Gateway  Gateway              `cbor:"Gateway" json:"Gateway"`
		Conn     Conn                 `cbor:"Conn" json:"Conn"`
		Seq      uint64               `cbor:"Seq" json:"Seq"` // counts a gateway's reports; what is not above the last is a repeat or late
		Interval control.Microseconds `cbor:"Interval" json:"Interval"`
		Kinds    []KindReport         `cbor:"Kinds" json:"Kinds"`
	}
	// HealthCheckResult is the finding of a probe.
	Probed struct{ control.HealthCheckResult }
	// Refused says that peers were answered with an error, Count times since the last one of these.
	Refused struct {
		From  string `cbor:"From" json:"From"`
		Why   string `cbor:"Why" json:"Why"`
		Count int    `cbor:"Count" json:"Count"`
	}
	// Failed says that a document could not be handed over; the front tries again by itself.
	Failed struct {
		Gateway Gateway `cbor:"Gateway" json:"Gateway"`
		Why     string  `cbor:"Why" json:"Why"`
	}
)

// KindReport is a report's part for one request kind. All counts are of reqs or tries in the interval.
type KindReport struct {
	Kind      string           `cbor:"Kind" json:"Kind"`
	Arrived   int              `cbor:"Arrived" json:"Arrived"` // reqs that came, with clients' repeats and denied ones
	Denied    int              `cbor:"Denied" json:"Denied"`   // by the level or for want of a line
	Errored   int              `cbor:"Errored" json:"Errored"` // let in and not answered
	Endpoints []EndpointReport `cbor:"Endpoints" json:"Endpoints"`
}

// EndpointReport is what a gateway met at one backend.
type EndpointReport struct {
	Backend control.EndpointID   `cbor:"Backend" json:"Backend"`
	Tries   int                  `cbor:"Tries" json:"Tries"`     // that ended
	Errored int                  `cbor:"Errored" json:"Errored"` // of them: errors, refusals, time-outs, failed connects
	Active  int                  `cbor:"Active" json:"Active"`   // not ended yet
	Answer  control.Microseconds `cbor:"Answer" json:"Answer"`
	Loads   control.LoadMetrics  `cbor:"Loads" json:"Loads"` // by the module's names
}

// Doc is one of the documents that a gateway is given.
type Doc int

const (
	Endpoints Doc = iota // clusters: who may be sent to
	Routes               // levels and second tries
	docs
)

func (d Doc) String() string { return [...]string{"endpoints", "routes"}[d] }

// Output is something the core wants done.
type Output any

type (
	// Publish brings a gateway the documents that have changed, endpoints before routes.
	Publish struct {
		Gateway  Gateway
		Version  string // of the documents in this message
		Nonce    string
		Snapshot tables.Snapshot
		Changed  [docs]bool
		// Sync: bring it to the disk before it is moved into place. Readers see whole files either way; after a power cut
		// an unsynced one may be empty, is refused and sent again. Left out while the disk is too slow for drains.
		Sync bool
	}
	// Probe examines a backend.
	Probe struct{ Backend control.EndpointID }
	// Watch asks the node list for its changes from now on; a List answers, also when it fails.
	Watch struct{ On bool }
	// Fetch asks for the whole list once.
	Fetch struct{}
	// Save asks to keep the list for the next start.
	Save struct{ List control.EndpointUpdate }
	// Drop closes a connection.
	Drop struct {
		Conn Conn
		Why  string
	}
	// Note is a record for staff. Event is a short fixed name, Text what happened with its figures.
	Note struct {
		Level   NoteLevel          `cbor:"Level" json:"Level"`
		Event   string             `cbor:"Event" json:"Event"`
		Text    string             `cbor:"Text" json:"Text"`
		Gateway Gateway            `cbor:"Gateway" json:"Gateway"`
		Backend control.EndpointID `cbor:"Backend" json:"Backend"`
		Count   int                `cbor:"Count" json:"Count"` // of the same since the last such record
		Fields  []Field            `cbor:"Fields" json:"Fields"`
	}
)

// NoteLevel is how much staff should mind.
type NoteLevel int

const (
	Debug NoteLevel = iota
	Info
	Warn
)
