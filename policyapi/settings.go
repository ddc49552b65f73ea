package policyapi

import "fmt"

// Idempotency specifies whether a request that may have been executed may be sent again.
type Idempotency int

// The values of Idempotency. The zero value is the safe one.
const (
	NotIdempotent     Idempotency = iota // must never be executed twice
	IdempotentWithKey                    // a request whose key repeats within a scope and a time window is dropped
	Idempotent                           // may be executed again anywhere
)

// String returns the name of the value in lower-case words.
func (i Idempotency) String() string {
	switch i {
	case NotIdempotent:
		return "not idempotent"
	case IdempotentWithKey:
		return "idempotent with key"
	case Idempotent:
		return "idempotent"
	default:
		return fmt.Sprintf("Idempotency(%d)", int(i))
	}
}

// ClassSettings describes one request class.
type ClassSettings struct {
	Name        string      `cbor:"Name" json:"Name"`
	Idempotency Idempotency `cbor:"Repeat" json:"Repeat"`
	// DeduplicationScope is where repeated keys are recognized: "all", "zone" or "cell". It matters for
	// IdempotentWithKey only.
	DeduplicationScope string `cbor:"RepeatScope" json:"RepeatScope"`
	// LatencyObjective is the response time within which a request has its full value.
	LatencyObjective Microseconds `cbor:"ResponseTarget" json:"ResponseTarget"`
	// ClientTimeout is how long a client waits in total, including retries.
	ClientTimeout Microseconds `cbor:"ClientTimeout" json:"ClientTimeout"`
	// PriorityWeight is the value of one request, relative to other classes; under overload the classes with the lowest
	// weight are shed first.
	PriorityWeight float64 `cbor:"Payoff" json:"Payoff"`
	// AllowedZones are the zones whose endpoints may serve the class; empty allows all.
	AllowedZones []Zone `cbor:"OnlyZones" json:"OnlyZones"`
	// LocalZoneOnly restricts the class to endpoints in the zone of the proxy.
	LocalZoneOnly bool `cbor:"OwnZone" json:"OwnZone"`
}

// RuleSettings are the limits that the operators set for an instance's orders.
type RuleSettings struct {
	// EmptyTableLimit is the longest time for which a proxy may have no endpoint to send requests to.
	EmptyTableLimit Microseconds `cbor:"EmptyFor" json:"EmptyFor"`
	// DrainGracePeriod is the time within which a draining or removed endpoint must be out of all tables.
	DrainGracePeriod Microseconds `cbor:"DrainGrace" json:"DrainGrace"`
	// WarmUp is the longest time from an endpoint's start until it has its full capacity.
	WarmUp Microseconds `cbor:"Cold" json:"Cold"`
	// InitialCapacity is the fraction of its full capacity, 0 to 1, that an endpoint has at its start.
	InitialCapacity float64 `cbor:"ColdFrom" json:"ColdFrom"`
	// OverloadFactor is the multiple of its present capacity at which a warming endpoint fails.
	OverloadFactor float64 `cbor:"TipMultiple" json:"TipMultiple"`
	// OverloadWindow is how long the overload has to last until the endpoint fails.
	OverloadWindow Microseconds `cbor:"Fall" json:"Fall"`
	// SoftRemoval restricts DrainGracePeriod to endpoints that were listed as draining.
	SoftRemoval bool `cbor:"SoftRemoval" json:"SoftRemoval"`
	// PollInterval is the longest time between two polls of the endpoint list by an instance without a watch.
	PollInterval Microseconds `cbor:"AskWithin" json:"AskWithin"`
	// QueueLimit is the number of lines that may wait in the channel to the proxies.
	QueueLimit float64 `cbor:"QueueCap" json:"QueueCap"`
	// MessageLimit is the most messages to one proxy within MessageWindow; 0 means no limit.
	MessageLimit int `cbor:"MessageCap" json:"MessageCap"`
	// MessageWindow is the period to which MessageLimit applies.
	MessageWindow Microseconds `cbor:"MessageSpan" json:"MessageSpan"`
	// HealthChecksAllowed permits CheckHealth.
	HealthChecksAllowed bool `cbor:"ProbeAllowed" json:"ProbeAllowed"`
	// PeerMessagesAllowed permits Broadcast.
	PeerMessagesAllowed bool `cbor:"PeersAllowed" json:"PeersAllowed"`
}

// ChannelSettings describe the channel that carries orders to the proxies. A line is the unit of a table change.
type ChannelSettings struct {
	// LinesPerSecond is the usual throughput.
	LinesPerSecond float64 `cbor:"LinesPerS" json:"LinesPerS"`
	// MessageOverhead is the cost of a message in lines, in addition to the lines that it contains.
	MessageOverhead float64 `cbor:"Envelope" json:"Envelope"`
	// Latency is the mean time from the channel to the proxy.
	Latency Microseconds `cbor:"Transit" json:"Transit"`
	// MaxLatency is the longest time from the channel to the proxy.
	MaxLatency Microseconds `cbor:"WorstTransit" json:"WorstTransit"`
	// EndpointConnections is the number of connections that the smallest endpoints accept.
	EndpointConnections int `cbor:"Sockets" json:"Sockets"`
}

// ReportSettings describe the load reports that an instance receives.
type ReportSettings struct {
	// Period is the interval at which reports are gathered.
	Period Microseconds `cbor:"Period" json:"Period"`
	// MaxLinesPerSecond is the most report lines delivered per second; the oldest are delivered first.
	MaxLinesPerSecond float64 `cbor:"Intake" json:"Intake"`
	// MetricsInReports means that EndpointLoad carries LoadMetrics.
	MetricsInReports bool `cbor:"InReport" json:"InReport"`
	// MetricNames are the names that may occur in LoadMetrics.
	MetricNames []string `cbor:"Fields" json:"Fields"`
}

// AdmissionMode specifies the meaning of SetAdmission.Level in a deployment.
type AdmissionMode int

// The values of AdmissionMode.
const (
	AdmissionOff     AdmissionMode = iota // levels are ignored; retry policies apply
	AdmissionByShare                      // a fraction of the requests; 1 or more admits all
	AdmissionByRate                       // requests per second at each proxy, for each class of the set
)

// String returns the name of the mode as configuration files spell it.
func (m AdmissionMode) String() string {
	switch m {
	case AdmissionOff:
		return "off"
	case AdmissionByShare:
		return "share"
	case AdmissionByRate:
		return "rate"
	default:
		return fmt.Sprintf("AdmissionMode(%d)", int(m))
	}
}
