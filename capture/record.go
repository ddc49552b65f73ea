package capture

import (
	"porthub/coordinator"
	"porthub/degradation"
	"porthub/policyapi"
	"porthub/recovery"
	"porthub/routing"
)

// Format is the version of the format that is written. Records of a newer one are not read.
const Format = 1

// Record is one record of a capture. Exactly one of its pointers is set.
type Record struct {
	Seq     uint64   `cbor:"seq"` // counts from 1 in each start of the process
	Start   *Start   `cbor:"start,omitempty"`
	Step    *Step    `cbor:"step,omitempty"`
	Command *Command `cbor:"command,omitempty"`
	Gap     *Gap     `cbor:"gap,omitempty"`
	End     *End     `cbor:"end,omitempty"`
}

// Start is the first record of a process.
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

// Command is an operator's command between two steps. One of its parts is set; Reason goes with any of them.
type Command struct {
	Pin     *routing.Pin         `cbor:"pin,omitempty" json:"Pin"`
	Unpin   int                  `cbor:"unpin,omitempty" json:"Unpin"` // the number of the pin to remove
	Drain   policyapi.EndpointID `cbor:"drain,omitempty" json:"Drain"`
	Undrain policyapi.EndpointID `cbor:"undrain,omitempty" json:"Undrain"`
	Reason  string               `cbor:"reason,omitempty" json:"Reason"`
	// SetOverride overrides a service level; ClearOverride is the number of the override to remove.
	SetOverride   *degradation.Override `cbor:"say,omitempty" json:"Say"`
	ClearOverride int                   `cbor:"unsay,omitempty" json:"Unsay"`
}

// Gap takes the place of missing records: the inputs of that time are unknown.
type Gap struct {
	From   uint64 `cbor:"from" json:"From"`
	To     uint64 `cbor:"to" json:"To"` // 0 if unknown: up to the next record
	Reason string `cbor:"why" json:"Why"`
}

// End is the last record of a process that shut down by itself.
type End struct {
	Steps uint64 `cbor:"steps" json:"Steps"`
}
