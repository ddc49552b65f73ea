package policyapi

import "fmt"

// Event is something that a host reports to an instance. The set is closed.
type Event interface{ isEvent() }

// Start starts an instance, which has no tables, proxies or endpoints until further events arrive.
type Start struct {
	// Seed initializes the random numbers of the instance; it differs between instances.
	Seed uint64 `cbor:"Seed" json:"Seed"`
	// Self is the position of this instance among all InstanceCount instances.
	Self          PeerID `cbor:"Me" json:"Me"`
	InstanceCount int    `cbor:"Instances" json:"Instances"`
	// Zone is the zone in which the instance runs; Zones lists all zones.
	Zone      Zone            `cbor:"Zone" json:"Zone"`
	Zones     []Zone          `cbor:"Zones" json:"Zones"`
	Classes   []ClassSettings `cbor:"Kinds" json:"Kinds"`
	Rules     RuleSettings    `cbor:"Rules" json:"Rules"`
	Channel   ChannelSettings `cbor:"Channel" json:"Channel"`
	Reports   ReportSettings  `cbor:"Reports" json:"Reports"`
	Admission AdmissionMode   `cbor:"Levels" json:"Levels"`
	// ProxyCount is the number of proxies of all instances together.
	ProxyCount int `cbor:"Proxies" json:"Proxies"`
	// PollsList means that the host delivers the endpoint list only in response to WatchEndpoints or Resync.
	PollsList bool `cbor:"MustAsk" json:"MustAsk"`
	// EjectionThreshold is the number of consecutive failures after which a proxy stops using an endpoint on its own,
	// without an order; 0 means never.
	EjectionThreshold int `cbor:"EjectAfter" json:"EjectAfter"`
	// WeightsListed means that the endpoint list contains weights; otherwise Endpoint.Weight has no meaning.
	WeightsListed bool `cbor:"ListedWeight" json:"ListedWeight"`
}

// UpdateKind specifies how an EndpointUpdate relates to the previous list.
type UpdateKind int

// The values of UpdateKind.
const (
	Delta    UpdateKind = iota // only the endpoints that changed
	Snapshot                   // the complete list
	Cached                     // a complete list saved earlier, possibly out of date
	Failed                     // the list could not be read
)

// String returns the name of the kind in lower case.
func (k UpdateKind) String() string {
	switch k {
	case Delta:
		return "delta"
	case Snapshot:
		return "snapshot"
	case Cached:
		return "cached"
	case Failed:
		return "failed"
	default:
		return fmt.Sprintf("UpdateKind(%d)", int(k))
	}
}

// EndpointStatus is the state of an endpoint in the list.
type EndpointStatus int

// The values of EndpointStatus.
const (
	Ready    EndpointStatus = iota // may receive requests
	Draining                       // is shutting down gracefully
	Removed                        // no longer listed; occurs in deltas
)

// String returns the name of the status in lower case.
func (s EndpointStatus) String() string {
	switch s {
	case Ready:
		return "ready"
	case Draining:
		return "draining"
	case Removed:
		return "removed"
	default:
		return fmt.Sprintf("EndpointStatus(%d)", int(s))
	}
}

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	ID   EndpointID `cbor:"Backend" json:"Backend"`
	Zone Zone       `cbor:"Zone" json:"Zone"`
	// Weight is the listed capacity relative to other endpoints. See Start.WeightsListed.
	Weight float64 `cbor:"Weight" json:"Weight"`
	Pod    PodID   `cbor:"Pod" json:"Pod"`
	// StartedAt is when the process started; 0 means that it started long ago and has warmed up.
	StartedAt   Microseconds   `cbor:"Launched" json:"Launched"`
	MachineType MachineType    `cbor:"Machine" json:"Machine"`
	Status      EndpointStatus `cbor:"Status" json:"Status"`
}

// LoadMetrics are the figures that an endpoint reports about itself. The keys are the names of the load report protocol,
// such as "busy" (fraction of CPU in use), "q" (requests queued) and "rate" (requests served per second).
type LoadMetrics map[string]float64

// The events other than Start.
type (
	// EndpointUpdate is a change of the endpoint list, or the complete list.
	EndpointUpdate struct {
		Version   ListVersion `cbor:"Version" json:"Version"`
		Kind      UpdateKind  `cbor:"How" json:"How"`
		Endpoints []Endpoint  `cbor:"Entries" json:"Entries"`
	}
	// TimerFired reports that a timer set by SetTimer has expired.
	TimerFired struct {
		Token TimerToken `cbor:"Token" json:"Token"`
	}
	// HealthCheckResult is the result of a health check that CheckHealth requested.
	HealthCheckResult struct {
		Endpoint EndpointID   `cbor:"Backend" json:"Backend"`
		Healthy  bool         `cbor:"OK" json:"OK"`
		Code     string       `cbor:"Code" json:"Code"`
		Duration Microseconds `cbor:"Took" json:"Took"`
		Metrics  LoadMetrics  `cbor:"Loads" json:"Loads"`
	}
	// PeerMessage is a message that another instance sent with Broadcast.
	PeerMessage struct {
		From PeerID `cbor:"From" json:"From"`
		Body []byte `cbor:"Body" json:"Body"`
	}
	// ProxyConnected reports that a proxy's stream is established.
	ProxyConnected struct {
		Proxy ProxyID `cbor:"Proxy" json:"Proxy"`
		Zone  Zone    `cbor:"Zone" json:"Zone"`
		// HasDefaultTableOnly means that the proxy has only the table it started with.
		HasDefaultTableOnly bool `cbor:"Fresh" json:"Fresh"`
		// Weight is the proxy's expected demand in requests per second, until its reports replace it.
		Weight float64 `cbor:"Weight" json:"Weight"`
	}
	// ProxyDisconnected reports that a proxy's stream has ended.
	ProxyDisconnected struct {
		Proxy ProxyID `cbor:"Proxy" json:"Proxy"`
	}
	// EndpointLoad sums the attempts of the proxies of one zone at an endpoint during a period.
	EndpointLoad struct {
		Zone     Zone       `cbor:"Zone" json:"Zone"`
		Endpoint EndpointID `cbor:"Backend" json:"Backend"`
		Attempts int        `cbor:"Tries" json:"Tries"`
		Failures int        `cbor:"Errored" json:"Errored"`
		// MeanLatency is the mean over the successful attempts; 0 if there were none.
		MeanLatency Microseconds `cbor:"Answer" json:"Answer"`
		Period      Microseconds `cbor:"Period" json:"Period"`
		Metrics     LoadMetrics  `cbor:"Loads" json:"Loads"`
	}
	// EndpointClassLoad is the part of an EndpointLoad that belongs to one class. Hosts whose proxies do not report by
	// class deliver none.
	EndpointClassLoad struct {
		Zone        Zone         `cbor:"Zone" json:"Zone"`
		Endpoint    EndpointID   `cbor:"Backend" json:"Backend"`
		Class       RequestClass `cbor:"Kind" json:"Kind"`
		Attempts    int          `cbor:"Tries" json:"Tries"`
		Failures    int          `cbor:"Errored" json:"Errored"`
		MeanLatency Microseconds `cbor:"Answer" json:"Answer"`
		Period      Microseconds `cbor:"Period" json:"Period"`
	}
	// ProxyLoad sums the requests of one class that arrived at a proxy during a period.
	ProxyLoad struct {
		Proxy    ProxyID      `cbor:"Proxy" json:"Proxy"`
		Class    RequestClass `cbor:"Kind" json:"Kind"`
		Requests int          `cbor:"Reqs" json:"Reqs"`
		Failures int          `cbor:"Errored" json:"Errored"`
		Period   Microseconds `cbor:"Period" json:"Period"`
	}
	// Acknowledged reports that a proxy has applied the message with this AckID and all before it.
	Acknowledged struct {
		Proxy ProxyID      `cbor:"Proxy" json:"Proxy"`
		AckID AckID        `cbor:"Mark" json:"Mark"`
		Delay Microseconds `cbor:"Took" json:"Took"`
	}
	// SliceLoad sums the requests of one class that arrived for a slice of the key space. Like SliceAssigned and
	// SliceWeight, it occurs only in deployments that divide the keys into slices.
	SliceLoad struct {
		Table    TableID      `cbor:"Table" json:"Table"`
		Class    RequestClass `cbor:"Kind" json:"Kind"`
		Requests int          `cbor:"Reqs" json:"Reqs"`
		Failures int          `cbor:"Errored" json:"Errored"`
		Period   Microseconds `cbor:"Period" json:"Period"`
	}
	// SliceAssigned reports that a slice was assigned to this instance, or withdrawn from it.
	SliceAssigned struct {
		Assigned bool    `cbor:"On" json:"On"`
		Table    TableID `cbor:"Table" json:"Table"`
	}
	// SliceWeight reports the stored weight of an endpoint in a slice's table.
	SliceWeight struct {
		Endpoint EndpointID `cbor:"Backend" json:"Backend"`
		Table    TableID    `cbor:"Table" json:"Table"`
		Weight   float64    `cbor:"Weight" json:"Weight"`
	}
)

func (Start) isEvent()             {}
func (EndpointUpdate) isEvent()    {}
func (TimerFired) isEvent()        {}
func (HealthCheckResult) isEvent() {}
func (PeerMessage) isEvent()       {}
func (ProxyConnected) isEvent()    {}
func (ProxyDisconnected) isEvent() {}
func (EndpointLoad) isEvent()      {}
func (EndpointClassLoad) isEvent() {}
func (ProxyLoad) isEvent()         {}
func (Acknowledged) isEvent()      {}
func (SliceLoad) isEvent()         {}
func (SliceAssigned) isEvent()     {}
func (SliceWeight) isEvent()       {}
