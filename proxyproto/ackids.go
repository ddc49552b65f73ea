package proxyproto

import "porthub/policyapi"

const (
	// maxAckID is the largest ack id of the protocol.
	maxAckID = 65535
	// ackIDCount is the number of ack ids on the wire, where they wrap around.
	ackIDCount = maxAckID + 1
)

// ackSequence converts between the ack ids of one decision module and those on the wire. The ids on the wire continue when another
// module replaces a failed one.
type ackSequence struct {
	base    policyapi.AckID // the last id on the wire of the previous module
	last    policyapi.AckID // the last id of this module
	wrapped bool            // this module's ids have wrapped around
}

// issue records an ack id that the module has issued.
func (a *ackSequence) issue(id policyapi.AckID) {
	a.wrapped = a.wrapped || id < a.last
	a.last = id
}

// toWire returns the id on the wire of one of the module's ids.
func (a *ackSequence) toWire(id policyapi.AckID) policyapi.AckID { return (a.base + id) % ackIDCount }

// fromWire returns the module's id of an id on the wire. It returns false if an earlier module issued the id.
func (a *ackSequence) fromWire(wire policyapi.AckID) (policyapi.AckID, bool) {
	id := (wire - a.base + ackIDCount) % ackIDCount
	return id, a.wrapped || id > 0 && id <= a.last
}

// restart returns the sequence of the module that replaces this one.
func (a *ackSequence) restart() ackSequence { return ackSequence{base: a.toWire(a.last)} }
