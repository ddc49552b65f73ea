package capture

import (
	"porthub/coordinator"
	"porthub/degradation"
	"porthub/policyapi"
	"porthub/recovery"
	"porthub/routing"
)

// Format is the version of the record format that this build writes. Records of a newer format can't be read.
const Format = 1

// Record is one record of a capture. Exactly one of its pointers is set.
type Record struct {
	Seq     uint64   `cbor:"seq"` // number of the record, from 1 in each process
	Start   *Start   `cbor:"start,omitempty"`
	Step    *Step    `cbor:"step,omitempty"`
	Command *Command `cbor:"command,omitempty"`
	Gap     *Gap     `cbor:"gap,omitempty"`
	End     *End     `cbor:"end,omitempty"`
}

// Start is the first record of a process, with what determines the initial state of its core.
type Start struct {
	Format   int                  `cbor:"format" json:"Format"`
	Build    string               `cbor:"build" json:"Build"`  // another build may decide differently
	WallTime int64                `cbor:"wall_us" json:"Wall"` // microseconds since 1970
	Settings coordinator.Settings `cbor:"settings" json:"Settings"`
	// Restored is the state of the previous process that the core was given; nil if there was none.
	Restored *recovery.State `cbor:"recalled,omitempty" json:"Recalled"`
}

// Step is one step of the core: its inputs, the orders of the decision module, and a digest of what was published.
type Step struct {
	Now    policyapi.Microseconds
	Inputs []coordinator.Input
	Orders []policyapi.Order
	Digest uint64 // see [Digest]; 0 if nothing was published
	Log    []coordinator.LogEntry
}

// Command is an operator's command between two steps. Exactly one field is set apart from Reason.
type Command struct {
	Pin     *routing.Pin         `cbor:"pin,omitempty" json:"Pin"`
	Unpin   int                  `cbor:"unpin,omitempty" json:"Unpin"` // number of the pin to remove
	Drain   policyapi.EndpointID `cbor:"drain,omitempty" json:"Drain"`
	Undrain policyapi.EndpointID `cbor:"undrain,omitempty" json:"Undrain"`
	Reason  string               `cbor:"reason,omitempty" json:"Reason"`
	// SetOverride overrides a service level; ClearOverride is the number of the override to remove.
	SetOverride   *degradation.Override `cbor:"say,omitempty" json:"Say"`
	ClearOverride int                   `cbor:"unsay,omitempty" json:"Unsay"`
}

// Gap takes the place of missing records. The inputs and commands in them are unknown.
type Gap struct {
	From   uint64 `cbor:"from" json:"From"` // number of the first missing record
	To     uint64 `cbor:"to" json:"To"`     // number of the last missing record; 0 if unknown: the gap extends to the next record
	Reason string `cbor:"why" json:"Why"`
}

// End is the last record of a process that was not killed.
type End struct {
	Steps uint64 `cbor:"steps" json:"Steps"`
}
