package membership

import "porthub/policyapi"

// Status is the status of an endpoint that a source reports.
type Status int

// The statuses that a source can report. Unknown also stands for any other status.
const (
	Up Status = iota
	Starting
	OutOfService // an operator has taken the endpoint out of service at the source; it is drained
	Down         // the health check of the source fails
	Unknown
)

func (s Status) String() string {
	return [...]string{"up", "starting", "out of service", "down", "unknown"}[min(max(s, Up), Unknown)]
}

// Observation is the report of a source about one endpoint.
type Observation struct {
	Endpoint    policyapi.EndpointID   `json:"node"`
	Instance    string                 `json:"instance"` // id of the process at the source; a new id means a new process
	Zone        policyapi.Zone         `json:"zone"`
	Weight      float64                `json:"weight"`
	Pod         policyapi.PodID        `json:"pod"`
	MachineType policyapi.MachineType  `json:"machine"`
	Status      Status                 `json:"status"`
	StartedAt   policyapi.Microseconds `json:"launched_us"` // 0 if not reported
	ChangedAt   policyapi.Microseconds `json:"changed_us"`  // time of the last change at the source; 0 if not reported
	// LeaseRenewedAt is the time of the last lease renewal by the clock of the source, 0 if the source has no leases.
	LeaseRenewedAt policyapi.Microseconds `json:"renewed_us"`
	LeaseDuration  policyapi.Microseconds `json:"lease_us"`
	LeaseExpired   bool                   `json:"overdue"` // set by Apply: not renewed for more than leaseGrace lease durations
}

// SourceUpdate is the result of one poll of a source: either observations of all endpoints that the source lists, or an error.
type SourceUpdate struct {
	Source       string        `json:"source"`
	Observations []Observation `json:"claims"`
	// Deregistered has endpoints that the source does not list because they have canceled their registration, for as long as the
	// source shows that. Endpoints that it has lost, or whose lease has expired, are not among them.
	Deregistered []policyapi.EndpointID `json:"deregistered,omitempty"`
	Error        string                 `json:"failed"` // set if the poll failed; earlier observations then stay in force
}

// source is the state of one source.
type source struct {
	lastError string // error of the last poll; empty if the poll succeeded
	// reported has the valid observations of the last successful poll.
	reported    map[policyapi.EndpointID]Observation
	initialized bool // at least one poll has succeeded
}
