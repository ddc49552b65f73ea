package expectation

import (
	"fmt"
	"strings"

	"porthub/policyapi"
)

// Failure describes an assertion that does not hold in a case.
type Failure struct {
	Name         string                 `cbor:"Name" json:"Name"` // name of the expectation
	Line         int                    `cbor:"Line" json:"Line"` // line of the assertion in its file
	Condition    string                 `cbor:"What" json:"What"`
	Case         int                    `cbor:"Case" json:"Case"`
	Seed         uint64                 `cbor:"Seed" json:"Seed"`
	Gateway      string                 `cbor:"Gateway" json:"Gateway"` // empty if it does not concern a single gateway
	Endpoint     string                 `cbor:"Node" json:"Node"`       // empty if it does not concern a single endpoint
	Class        string                 `cbor:"Kind" json:"Kind"`       // empty if it does not concern a single request class
	At           policyapi.Microseconds `cbor:"At" json:"At"`           // time since the start of the events
	Observed     string                 `cbor:"Figure" json:"Figure"`   // the observed value
	SmallestCase string                 `cbor:"Small" json:"Small"`     // smallest failing case that Shrink found; empty: none
}

func (f Failure) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s", f.Name, f.Condition)
	if f.Gateway != "" {
		fmt.Fprintf(&b, ": gateway %s", f.Gateway)
	}
	if f.Endpoint != "" {
		fmt.Fprintf(&b, ", endpoint %s", f.Endpoint)
	}
	if f.Class != "" {
		fmt.Fprintf(&b, ", class %s", f.Class)
	}
	fmt.Fprintf(&b, " at %.2f s: %s (case %d, seed %d)", seconds(f.At), f.Observed, f.Case, f.Seed)
	if f.SmallestCase != "" {
		fmt.Fprintf(&b, "; also fails with %s", f.SmallestCase)
	}
	return b.String()
}
