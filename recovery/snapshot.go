package recovery

import (
	"porthub/degradation"
	"porthub/policyapi"
	"porthub/routing"
	"porthub/solver"
)

// Format is the version of the snapshot format that this build writes and reads.
const Format = 1

// Snapshot is the state of a coordinator at one moment. It does not contain what the decision module has learned:
// after a restart the module always starts from its initial state.
type Snapshot struct {
	Format int                    `cbor:"format" json:"Format"`
	Build  string                 `cbor:"build" json:"Build"`
	Epoch  string                 `cbor:"epoch" json:"Epoch"` // epoch of the process that wrote the snapshot
	At     policyapi.Microseconds `cbor:"at_us" json:"At"`
	Steps  uint64                 `cbor:"steps" json:"Steps"` // steps of the core since its start

	Version   policyapi.ListVersion           `cbor:"list_version" json:"Version"`
	Endpoints []policyapi.Endpoint            `cbor:"nodes" json:"Nodes"` // including draining ones
	Ejections []solver.Ejection               `cbor:"marks,omitempty" json:"Marks"`
	Gateways  []Gateway                       `cbor:"gateways,omitempty" json:"Gateways"`
	Pins      []routing.PinnedVersion         `cbor:"pins,omitempty" json:"Pins"`
	Drains    map[policyapi.EndpointID]string `cbor:"drains,omitempty" json:"Drains"` // operators' drains with their reasons
	Levels    degradation.Snapshot            `cbor:"levels" json:"Levels"`
	Classes   []string                        `cbor:"kinds" json:"Kinds"` // names of the request classes, by index
	Zones     []policyapi.Zone                `cbor:"zones" json:"Zones"` // in the order by which tables are numbered
}

// Gateway is the state of one gateway in a snapshot.
type Gateway struct {
	Name          string                 `cbor:"name" json:"Name"`
	Zone          policyapi.Zone         `cbor:"zone" json:"Zone"`
	LastMessageAt policyapi.Microseconds `cbor:"heard_us" json:"Heard"`
	Weight        float64                `cbor:"weight" json:"Weight"`
	Demand        []float64              `cbor:"usage,omitempty" json:"Usage"` // requests per second by request class
	Version       string                 `cbor:"version" json:"Version"`       // last version that it acknowledged
}
