package membership

import "porthub/policyapi"

// Status is the status of an endpoint at a source.
type Status int

// The statuses of a source. Unknown is also the status of an endpoint that a source names with a status not listed here.
const (
	Up Status = iota
	Starting
	OutOfService // an operator has taken it out of service at the source: drain it
	Down         // the source's own health check fails
	Unknown
)

func (s Status) String() string {
	return [...]string{"up", "starting", "out of service", "down", "unknown"}[min(max(s, Up), Unknown)]
}

// Observation is what a source reports of one endpoint.
type Observation struct {
	Endpoint    policyapi.EndpointID   `json:"node"`
	Instance    string                 `json:"instance"` // its id at the source; another id is another process
	Zone        policyapi.Zone         `json:"zone"`
	Weight      float64                `json:"weight"`
	Pod         policyapi.PodID        `json:"pod"`
	MachineType policyapi.MachineType  `json:"machine"`
	Status      Status                 `json:"status"`
	StartedAt   policyapi.Microseconds `json:"launched_us"` // 0: not reported
	ChangedAt   policyapi.Microseconds `json:"changed_us"`  // when the source last saw it change; 0: not reported
	// LeaseRenewedAt is when its lease was last renewed, by the source's clock. 0: the source has no leases.
	LeaseRenewedAt policyapi.Microseconds `json:"renewed_us"`
	LeaseDuration  policyapi.Microseconds `json:"lease_us"`
	LeaseExpired   bool                   `json:"overdue"` // set by this package: expired for more than leaseGrace leases
}

// SourceUpdate is the result of one poll of a source: either all endpoints that it knows, or an error.
type SourceUpdate struct {
	Source       string        `json:"source"`
	Observations []Observation `json:"claims"`
	Error        string        `json:"failed"` // not empty: the poll failed, and earlier observations stay in force
}

// source is the state of one source.
type source struct {
	lastError string // of the last poll; empty if it succeeded
	// reported holds the valid observations of the last successful poll.
	reported    map[policyapi.EndpointID]Observation
	initialized bool // a poll has succeeded
}
