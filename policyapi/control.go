// Package policyapi is the interface of the decision module: the ids, what it is told (events), what it may order
// (orders) and the settings it is handed at its start. It holds no behaviour. The bench's wire and a later control
// service both speak in these terms.
package policyapi

// Microseconds is a time or a length of time in whole microseconds.
type Microseconds int64

// The ids. Each is opaque: the module compares and returns them, and reads nothing out of them.
type (
	InstanceID   string
	EndpointID   string
	Zone         string
	MachineType  string
	ProxyID      int
	TableID      int
	PodID        int
	PeerID       int
	TimerToken   int64
	AckID        int
	ListVersion  int64
	RequestClass int // position in the settings' list of request kinds
)

// ClassSet is a set of request kinds, bit k for kind k; 0 stands for all.
type ClassSet uint64

// AllTables stands in Admit for all joined proxies at once.
const AllTables TableID = 65535

// Idempotency tells whether a req may run again.
type Idempotency int

const (
	NotIdempotent     Idempotency = iota // must never run twice
	IdempotentWithKey                    // repeats are dropped within a scope and a window
	Idempotent                           // may run anywhere again
)

// ClassSettings describes one request kind.
type ClassSettings struct {
	Name               string       `cbor:"Name" json:"Name"`
	Idempotency        Idempotency  `cbor:"Repeat" json:"Repeat"`
	DeduplicationScope string       `cbor:"RepeatScope" json:"RepeatScope"` // of uniqued kinds: all, zone or cell
	LatencyObjective   Microseconds `cbor:"ResponseTarget" json:"ResponseTarget"`
	ClientTimeout      Microseconds `cbor:"ClientTimeout" json:"ClientTimeout"`
	PriorityWeight     float64      `cbor:"Payoff" json:"Payoff"`
	AllowedZones       []Zone       `cbor:"OnlyZones" json:"OnlyZones"` // empty: everywhere
	LocalZoneOnly      bool         `cbor:"OwnZone" json:"OwnZone"`     // only in the proxy's zone
}

// RuleSettings are the figures of the rules.
type RuleSettings struct {
	EmptyTableLimit     Microseconds `cbor:"EmptyFor" json:"EmptyFor"`
	DrainGracePeriod    Microseconds `cbor:"DrainGrace" json:"DrainGrace"`
	WarmUp              Microseconds `cbor:"Cold" json:"Cold"`
	InitialCapacity     float64      `cbor:"ColdFrom" json:"ColdFrom"`
	OverloadFactor      float64      `cbor:"TipMultiple" json:"TipMultiple"`
	OverloadWindow      Microseconds `cbor:"Fall" json:"Fall"`
	SoftRemoval         bool         `cbor:"SoftRemoval" json:"SoftRemoval"`
	PollInterval        Microseconds `cbor:"AskWithin" json:"AskWithin"`
	QueueLimit          float64      `cbor:"QueueCap" json:"QueueCap"`
	MessageLimit        int          `cbor:"MessageCap" json:"MessageCap"`
	MessageWindow       Microseconds `cbor:"MessageSpan" json:"MessageSpan"`
	HealthChecksAllowed bool         `cbor:"ProbeAllowed" json:"ProbeAllowed"`
	PeerMessagesAllowed bool         `cbor:"PeersAllowed" json:"PeersAllowed"`
}

// ChannelSettings tell how orders travel.
type ChannelSettings struct {
	LinesPerSecond      float64      `cbor:"LinesPerS" json:"LinesPerS"`
	MessageOverhead     float64      `cbor:"Envelope" json:"Envelope"`
	Latency             Microseconds `cbor:"Transit" json:"Transit"`
	MaxLatency          Microseconds `cbor:"WorstTransit" json:"WorstTransit"`
	EndpointConnections int          `cbor:"Sockets" json:"Sockets"` // connections that the smallest backends take today
}

// ReportSettings tell what reports come and how.
type ReportSettings struct {
	Period            Microseconds `cbor:"Period" json:"Period"`
	MaxLinesPerSecond float64      `cbor:"Intake" json:"Intake"`     // lines a second at most, the oldest first
	MetricsInReports  bool         `cbor:"InReport" json:"InReport"` // load figures ride on Heard
	MetricNames       []string     `cbor:"Fields" json:"Fields"`
}

// AdmissionMode tells what an admission level means.
type AdmissionMode int

const (
	AdmissionOff AdmissionMode = iota
	AdmissionByShare
	AdmissionByRate
)

// Event is something an instance is told.
type Event any

// Start starts an instance: it has no tables and no proxies yet.
type Start struct {
	Seed              uint64          `cbor:"Seed" json:"Seed"`
	Self              PeerID          `cbor:"Me" json:"Me"`
	InstanceCount     int             `cbor:"Instances" json:"Instances"`
	Zone              Zone            `cbor:"Zone" json:"Zone"`
	Zones             []Zone          `cbor:"Zones" json:"Zones"`
	Classes           []ClassSettings `cbor:"Kinds" json:"Kinds"`
	Rules             RuleSettings    `cbor:"Rules" json:"Rules"`
	Channel           ChannelSettings `cbor:"Channel" json:"Channel"`
	Reports           ReportSettings  `cbor:"Reports" json:"Reports"`
	Admission         AdmissionMode   `cbor:"Levels" json:"Levels"`
	ProxyCount        int             `cbor:"Proxies" json:"Proxies"`
	PollsList         bool            `cbor:"MustAsk" json:"MustAsk"` // the list answers only when asked
	EjectionThreshold int             `cbor:"EjectAfter" json:"EjectAfter"`
	WeightsListed     bool            `cbor:"ListedWeight" json:"ListedWeight"` // weights in the list mean something
}

// UpdateKind tells what a List brings.
type UpdateKind int

const (
	Delta UpdateKind = iota
	Snapshot
	Cached
	Failed
)

// EndpointStatus of a backend in the list.
type EndpointStatus int

const (
	Ready EndpointStatus = iota
	Draining
	Removed
)

// Endpoint is one backend in the list.
type Endpoint struct {
	ID          EndpointID     `cbor:"Backend" json:"Backend"`
	Zone        Zone           `cbor:"Zone" json:"Zone"`
	Weight      float64        `cbor:"Weight" json:"Weight"`
	Pod         PodID          `cbor:"Pod" json:"Pod"`
	StartedAt   Microseconds   `cbor:"Launched" json:"Launched"` // 0: long ago
	MachineType MachineType    `cbor:"Machine" json:"Machine"`
	Status      EndpointStatus `cbor:"Status" json:"Status"`
}

// LoadMetrics are a backend's own figures, by the names of the wire page.
type LoadMetrics map[string]float64

type (
	// EndpointUpdate is the list's view of the backends.
	EndpointUpdate struct {
		Version   ListVersion `cbor:"Version" json:"Version"`
		Kind      UpdateKind  `cbor:"How" json:"How"`
		Endpoints []Endpoint  `cbor:"Entries" json:"Entries"`
	}
	// TimerFired is a timer set by Sleep.
	TimerFired struct {
		Token TimerToken `cbor:"Token" json:"Token"`
	}
	// HealthCheckResult is the finding of a Probe.
	HealthCheckResult struct {
		Endpoint EndpointID   `cbor:"Backend" json:"Backend"`
		Healthy  bool         `cbor:"OK" json:"OK"`
		Code     string       `cbor:"Code" json:"Code"`
		Duration Microseconds `cbor:"Took" json:"Took"`
		Metrics  LoadMetrics  `cbor:"Loads" json:"Loads"`
	}
	// PeerMessage is another instance's message.
	PeerMessage struct {
		From PeerID `cbor:"From" json:"From"`
		Body []byte `cbor:"Body" json:"Body"`
	}
	// ProxyConnected says that a proxy's stream stands.
	ProxyConnected struct {
		Proxy               ProxyID `cbor:"Proxy" json:"Proxy"`
		Zone                Zone    `cbor:"Zone" json:"Zone"`
		HasDefaultTableOnly bool    `cbor:"Fresh" json:"Fresh"` // it holds only its standing table
		Weight              float64 `cbor:"Weight" json:"Weight"`
	}
	// ProxyDisconnected says that a proxy's stream broke.
	ProxyDisconnected struct {
		Proxy ProxyID `cbor:"Proxy" json:"Proxy"`
	}
	// EndpointLoad sums what the proxies of a zone met at a backend.
	EndpointLoad struct {
		Zone        Zone         `cbor:"Zone" json:"Zone"`
		Endpoint    EndpointID   `cbor:"Backend" json:"Backend"`
		Attempts    int          `cbor:"Tries" json:"Tries"`
		Failures    int          `cbor:"Errored" json:"Errored"`
		MeanLatency Microseconds `cbor:"Answer" json:"Answer"` // mean of the done ones; 0: none
		Period      Microseconds `cbor:"Period" json:"Period"`
		Metrics     LoadMetrics  `cbor:"Loads" json:"Loads"`
	}
	// EndpointClassLoad is the part of a Heard that is of one kind. Hosts that can't tell kinds apart, the bench among them,
	// give none.
	EndpointClassLoad struct {
		Zone        Zone         `cbor:"Zone" json:"Zone"`
		Endpoint    EndpointID   `cbor:"Backend" json:"Backend"`
		Class       RequestClass `cbor:"Kind" json:"Kind"`
		Attempts    int          `cbor:"Tries" json:"Tries"`
		Failures    int          `cbor:"Errored" json:"Errored"`
		MeanLatency Microseconds `cbor:"Answer" json:"Answer"`
		Period      Microseconds `cbor:"Period" json:"Period"`
	}
	// ProxyLoad sums the reqs of a kind that came to a proxy.
	ProxyLoad struct {
		Proxy    ProxyID      `cbor:"Proxy" json:"Proxy"`
		Class    RequestClass `cbor:"Kind" json:"Kind"`
		Requests int          `cbor:"Reqs" json:"Reqs"`
		Failures int          `cbor:"Errored" json:"Errored"`
		Period   Microseconds `cbor:"Period" json:"Period"`
	}
	// Acknowledged acknowledges a marked message and all before it.
	Acknowledged struct {
		Proxy ProxyID      `cbor:"Proxy" json:"Proxy"`
		AckID AckID        `cbor:"Mark" json:"Mark"`
		Delay Microseconds `cbor:"Took" json:"Took"`
	}
	// SliceLoad sums the reqs of a kind that came to a slice. Like Given and Held it belongs to sites with slices.
	SliceLoad struct {
		Table    TableID      `cbor:"Table" json:"Table"`
		Class    RequestClass `cbor:"Kind" json:"Kind"`
		Requests int          `cbor:"Reqs" json:"Reqs"`
		Failures int          `cbor:"Errored" json:"Errored"`
		Period   Microseconds `cbor:"Period" json:"Period"`
	}
	// SliceAssigned says that a slice is in this instance's charge, or no more.
	SliceAssigned struct {
		Assigned bool    `cbor:"On" json:"On"`
		Table    TableID `cbor:"Table" json:"Table"`
	}
	// SliceWeight is a line of a slice's table as the store has it.
	SliceWeight struct {
		Endpoint EndpointID `cbor:"Backend" json:"Backend"`
		Table    TableID    `cbor:"Table" json:"Table"`
		Weight   float64    `cbor:"Weight" json:"Weight"`
	}
)

// Order is something an instance wants done.
type Order any

type (
	// Log adds a line for staff.
	Log struct {
		Text string `cbor:"Text" json:"Text"`
	}
	// WatchEndpoints asks for the list's changes from now on.
	WatchEndpoints struct {
		Enabled bool `cbor:"On" json:"On"`
	}
	// Resync asks for the whole list once.
	Resync struct{}
	// SetTimer asks for a Ring.
	SetTimer struct {
		After Microseconds `cbor:"After" json:"After"`
		Token TimerToken   `cbor:"Token" json:"Token"`
	}
	// CheckHealth examines a backend.
	CheckHealth struct {
		Endpoint EndpointID `cbor:"Backend" json:"Backend"`
	}
	// Broadcast sends a short message to every peer.
	Broadcast struct {
		Body []byte `cbor:"Body" json:"Body"`
	}
	// SetWeight sets one line of a table; weight 0 removes it.
	SetWeight struct {
		Table    TableID    `cbor:"Table" json:"Table"`
		Endpoint EndpointID `cbor:"Backend" json:"Backend"`
		Weight   float64    `cbor:"Weight" json:"Weight"`
	}
	// ClearTable removes a table's lines and levels.
	ClearTable struct {
		Table TableID `cbor:"Table" json:"Table"`
	}
	// BindProxy puts a proxy on a table for some kinds.
	BindProxy struct {
		Proxy   ProxyID  `cbor:"Proxy" json:"Proxy"`
		Table   TableID  `cbor:"Table" json:"Table"`
		Classes ClassSet `cbor:"Kinds" json:"Kinds"`
	}
	// EjectEndpoint keeps all joined proxies from a backend, whatever tables they hold.
	EjectEndpoint struct {
		Endpoint EndpointID `cbor:"Backend" json:"Backend"`
		Ejected  bool       `cbor:"On" json:"On"`
	}
	// SetAdmission sets the level and the second tries of some kinds.
	SetAdmission struct {
		Table       TableID  `cbor:"Table" json:"Table"`
		Classes     ClassSet `cbor:"Kinds" json:"Kinds"`
		Level       float64  `cbor:"Level" json:"Level"`
		RetryPolicy int      `cbor:"SecondTry" json:"SecondTry"`
	}
	// RequestAck asks each proxy that this reply reaches to acknowledge.
	RequestAck struct {
		AckID      AckID `cbor:"Mark" json:"Mark"`
		AllProxies bool  `cbor:"All" json:"All"`
	}
)
