package proxyproto

import "porthub/policyapi"

const (
	// maxAckID is the largest ack id of the protocol.
	maxAckID = 65535
	// ackIDCount is the number of ack ids on the wire, where they wrap around.
	ackIDCount = maxAckID + 1
)

// ackSequence converts the ack ids of one decision module to those on the wire, which continue when another module replaces it.
type ackSequence struct {
	base    policyapi.AckID // the last id on the wire of the previous module
	last    policyapi.AckID // the last id of this module
	wrapped bool            // this module's ids have wrapped around
}

// issue records an id that the module uses.
func (a *ackSequence) issue(id policyapi.AckID) {
	a.wrapped = a.wrapped || id < a.last
	a.last = id
}

func (a *ackSequence) toWire(id policyapi.AckID) policyapi.AckID { return (a.base + id) % ackIDCount }

// fromWire returns the module's id; false if an earlier module issued it.
func (a *ackSequence) fromWire(wire policyapi.AckID) (policyapi.AckID, bool) {
	id := (wire - a.base + ackIDCount) % ackIDCount
	return id, a.wrapped || id > 0 && id <= a.last
}

// restart returns the sequence of the next module.
func (a *ackSequence) restart() ackSequence { return ackSequence{base: a.toWire(a.last)} }
