package config

// Coordinator identifies this instance among the coordinators of the fleet.
type Coordinator struct {
	Zone      string `json:"zone"`
	Index     int    `json:"index"`     // from 0
	Instances int    `json:"instances"` // number of coordinators
	Seed      int    `json:"seed"`      // of every pseudorandom sequence
}

// Delivery configures how routing tables reach gateways.
type Delivery struct {
	Files FileDelivery `json:"files"`
	Poll  PollDelivery `json:"poll"`
}

// FileDelivery configures xDS filesystem subscriptions.
type FileDelivery struct {
	Dir     string `json:"dir"`     // holds one directory for each gateway
	Writers int    `json:"writers"` // files written concurrently
	Sync    bool   `json:"sync"`    // fsync before the rename, as long as the disk is fast
}

// PollDelivery configures xDS over HTTP long polls.
type PollDelivery struct {
	Enabled    bool     `json:"enabled"`
	MaxWait    Duration `json:"hold"`   // longest time that a poll stays unanswered
	MaxPending int      `json:"most"`   // polls that wait for an answer at once
	DeltaBases int      `json:"deltas"` // publications kept for each gateway from which a delta may start
}

// Registry configures the sources of the endpoint list.
type Registry struct {
	File   FileRegistry     `json:"file"`   // authoritative; without a path there is none
	Eureka []EurekaRegistry `json:"eureka"` // read side by side; the first has precedence
}

// FileRegistry is a Prometheus file_sd list.
type FileRegistry struct {
	Path         string   `json:"path"`
	PollInterval Duration `json:"poll"` // the file is checked this often even without a change notification
}

// EurekaRegistry is a registry with Eureka's REST operations.
type EurekaRegistry struct {
	Name             string   `json:"name"`      // of the source, in logs and porthub nodes
	Addresses        []string `json:"addresses"` // base URLs of its peers, such as http://127.0.0.1:8761/eureka
	App              string   `json:"app"`       // one application; empty: all, or vip
	VIP              string   `json:"vip"`
	Deltas           bool     `json:"deltas"` // request deltas and compare the registry's hash
	XML              bool     `json:"xml"`
	PollInterval     Duration `json:"poll"`    // 0: 5 s
	Timeout          Duration `json:"timeout"` // of a request; 0: 2 s
	MaxResponseBytes int      `json:"most"`    // 0: 32 MiB

	// Metadata keys with what the endpoint list needs; empty: zone, weight, pod, machine.
	ZoneField    string `json:"zone_field"`
	WeightField  string `json:"weight_field"`
	PodField     string `json:"pod_field"`
	MachineField string `json:"machine_field"`

	Zone         string       `json:"zone"`  // of instances without one
	UseHostnames bool         `json:"hosts"` // endpoints are addressed by hostName in place of ipAddr
	Registration Registration `json:"register"`
}

// Registration is the coordinator's own entry in a registry.
type Registration struct {
	App           string   `json:"app"` // empty: it does not register
	ID            string   `json:"id"`
	Host          string   `json:"host"`
	IP            string   `json:"ip"`
	Port          int      `json:"port"`
	RenewInterval Duration `json:"renew"` // 0: 30 s
}

// RequestClass is one class of requests, with its objectives and its limits on retries and zones.
type RequestClass struct {
	Name               string   `json:"name"`
	Idempotency        string   `json:"repeat"`       // replayable, uniqued or non-replayable
	DeduplicationScope string   `json:"repeat_scope"` // of uniqued classes: all, zone or pod
	LatencyObjective   Duration `json:"response_target"`
	ClientTimeout      Duration `json:"client_timeout"`
	PriorityWeight     float64  `json:"payoff"`
	AllowedZones       []string `json:"only_zones"` // empty: all
	LocalZoneOnly      bool     `json:"own_zone"`
}

// Rules are the limits that every published table obeys.
type Rules struct {
	EmptyTableLimit  Duration `json:"empty_for"`     // longest time without an endpoint to pick
	DrainGracePeriod Duration `json:"drain_grace"`   // after it nothing is sent to a draining endpoint
	WarmUp           Duration `json:"cold"`          // an endpoint is warmed up at the latest this long after its start
	InitialCapacity  float64  `json:"cold_from"`     // fraction of its capacity that an endpoint has at its start
	OverloadFactor   float64  `json:"cold_multiple"` // load over capacity that overloads a warming endpoint ...
	OverloadWindow   Duration `json:"cold_window"`   // ... if it lasts this long
	RemovalIsDrain   bool     `json:"gone_binds"`    // removal from the list has the grace period of a drain
	QueueLimit       float64  `json:"waiting_lines"` // lines in flight to all gateways together
	MessageLimit     int      `json:"messages"`      // messages to one gateway within the window; 0: no limit
	MessageWindow    Duration `json:"messages_in"`
}

// Channel describes the transport between coordinator and gateways.
type Channel struct {
	LinesPerSecond      float64  `json:"lines_per_s"`
	MessageOverhead     float64  `json:"envelope"` // cost of a message besides its lines, in lines
	Latency             Duration `json:"transit"`
	MaxLatency          Duration `json:"worst_transit"`
	EndpointConnections int      `json:"connections"` // that the smallest endpoint accepts
}

// Reports configures the load reports of gateways.
type Reports struct {
	Period            Duration `json:"period"`
	MaxLinesPerSecond float64  `json:"lines_per_s"` // that the decision module plans for
	Metrics           []string `json:"loads"`       // load metrics in responses: util, queue, qps
	SamplingLimit     int      `json:"intake"`      // report lines processed each second, the rest is sampled; 0: all
}

// Gateways is what to expect of gateways.
type Gateways struct {
	ExpectedCount     int      `json:"expected"`
	EjectionThreshold int      `json:"shun_after"`   // consecutive failures after which a gateway ejects an endpoint; 0: never
	SilenceTimeout    Duration `json:"silent_after"` // without a report or acknowledgement a gateway counts as disconnected
}

// HealthChecks configures active health checks of endpoints.
type HealthChecks struct {
	Allowed     bool     `json:"allowed"`
	Path        string   `json:"path"`
	Timeout     Duration `json:"timeout"`
	Concurrency int      `json:"at_once"`
}

// Solver configures whether the weight solver replaces tables that break limits.
type Solver struct {
	Enabled bool `json:"enabled"`
}

// Limits bound what peers may cost.
type Limits struct {
	Connections int `json:"connections"` // in total
	PerAddress  int `json:"per_address"` // connections from one address
	Requests    int `json:"requests"`    // on one connection; 0: no limit
}

// Capture configures the record of the core's events and orders.
type Capture struct {
	Enabled      bool     `json:"enabled"`
	Dir          string   `json:"dir"`     // empty: capture below state_dir; with neither nothing is recorded
	MaxBytes     int      `json:"budget"`  // of all segments; the oldest are removed first
	SegmentBytes int      `json:"segment"` // of one segment, about
	MaxAge       Duration `json:"age"`     // of a segment
}

// Recovery configures whether state from before a restart is restored.
type Recovery struct {
	Enabled bool `json:"enabled"`
}

// Trace exports orders up to their acknowledgement as OpenTelemetry spans. Without file and endpoint it is off.
type Trace struct {
	File        string  `json:"file"`     // spans are appended, one JSON object a line
	Endpoint    string  `json:"endpoint"` // address and port that accepts OTLP over HTTP
	SampleRatio float64 `json:"part"`     // of the steps that are traced, 0 to 1
}
