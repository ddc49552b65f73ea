package config

// Coordinator identifies this instance among the coordinators of the fleet.
type Coordinator struct {
	Zone      string `json:"zone"`
	Index     int    `json:"index"`     // from 0
	Instances int    `json:"instances"` // number of coordinators
	Seed      int    `json:"seed"`      // seed of every pseudorandom sequence
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
	Sync    bool   `json:"sync"`    // fsync each file before it is renamed; suspended while the disk is slow
}

// PollDelivery configures xDS over HTTP long polls.
type PollDelivery struct {
	Enabled    bool     `json:"enabled"`
	MaxWait    Duration `json:"hold"`   // maximum time until a poll is answered
	MaxPending int      `json:"most"`   // maximum number of polls that wait for an answer
	DeltaBases int      `json:"deltas"` // number of publications kept for each gateway as bases of deltas
}

// Registry configures the sources of the endpoint list.
type Registry struct {
	File   FileRegistry     `json:"file"`   // authoritative; an empty path disables it
	Eureka []EurekaRegistry `json:"eureka"` // all are read; where they differ, the first has precedence
}

// FileRegistry is a Prometheus file_sd list.
type FileRegistry struct {
	Path         string   `json:"path"`
	PollInterval Duration `json:"poll"` // the file is checked this often even without a change notification
}

// EurekaRegistry is a registry with Eureka's REST operations.
type EurekaRegistry struct {
	Name             string   `json:"name"`      // name of the source in logs and in the output of porthub nodes
	Addresses        []string `json:"addresses"` // base URLs of its peers, such as http://127.0.0.1:8761/eureka
	App              string   `json:"app"`       // name of the only application to read; empty: all, or those of vip
	VIP              string   `json:"vip"`
	Deltas           bool     `json:"deltas"` // request deltas and verify them by the registry's hash
	XML              bool     `json:"xml"`
	PollInterval     Duration `json:"poll"`    // 0: 5 s
	Timeout          Duration `json:"timeout"` // a peer may be silent for this long during a request; 0: 2 s
	MaxResponseBytes int      `json:"most"`    // 0: 32 MiB

	// Keys of the metadata from which the fields of the endpoint list are read; empty: zone, weight, pod, machine.
	ZoneField    string `json:"zone_field"`
	WeightField  string `json:"weight_field"`
	PodField     string `json:"pod_field"`
	MachineField string `json:"machine_field"`

	Zone         string       `json:"zone"`  // zone of instances that have none
	UseHostnames bool         `json:"hosts"` // use hostName instead of ipAddr as the address of an endpoint
	Registration Registration `json:"register"`
}

// Registration is the coordinator's own entry in a registry.
type Registration struct {
	App           string   `json:"app"` // empty: the coordinator does not register
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
	DeduplicationScope string   `json:"repeat_scope"` // scope of the keys of uniqued classes: all, zone or pod
	LatencyObjective   Duration `json:"response_target"`
	ClientTimeout      Duration `json:"client_timeout"`
	PriorityWeight     float64  `json:"payoff"`
	AllowedZones       []string `json:"only_zones"` // empty: all
	LocalZoneOnly      bool     `json:"own_zone"`
}

// Rules configures the limits that every published table respects.
type Rules struct {
	EmptyTableLimit  Duration `json:"empty_for"`     // longest time that a table may be without an endpoint
	DrainGracePeriod Duration `json:"drain_grace"`   // after this time no request is sent to a draining endpoint
	WarmUp           Duration `json:"cold"`          // time after its start by which an endpoint is warmed up at the latest
	InitialCapacity  float64  `json:"cold_from"`     // fraction of the full capacity that an endpoint has at its start
	OverloadFactor   float64  `json:"cold_multiple"` // ratio of load to capacity at which an endpoint that warms up is overloaded
	OverloadWindow   Duration `json:"cold_window"`   // window over which that load is summed up
	RemovalIsDrain   bool     `json:"gone_binds"`    // an endpoint removed from the list has the grace period of a drain
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
	EndpointConnections int      `json:"connections"` // number of connections that the smallest endpoint accepts
}

// Reports configures the load reports of gateways.
type Reports struct {
	Period            Duration `json:"period"`
	MaxLinesPerSecond float64  `json:"lines_per_s"` // rate of report lines that the decision module plans for
	Metrics           []string `json:"loads"`       // load metrics in responses: util, queue, qps
	SamplingLimit     int      `json:"intake"`      // report lines processed per second; beyond it reports are sampled; 0: no limit
}

// Gateways configures the expected number of gateways and the timeouts that apply to them.
type Gateways struct {
	ExpectedCount     int      `json:"expected"`
	EjectionThreshold int      `json:"shun_after"`   // consecutive failures after which a gateway ejects an endpoint; 0: never
	SilenceTimeout    Duration `json:"silent_after"` // a gateway counts as disconnected after this time without a report or acknowledgement
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

// Limits bounds the connections and requests that peers may use.
type Limits struct {
	Connections int `json:"connections"` // connections from all addresses
	PerAddress  int `json:"per_address"` // connections from one address
	Requests    int `json:"requests"`    // requests on one connection; 0: no limit
	MemoryMB    int `json:"memory_mb"`   // memory of the process, in MiB; it bounds the bytes that are held for all peers together
}

// Capture configures the recording of the core's inputs and orders.
type Capture struct {
	Enabled      bool     `json:"enabled"`
	Dir          string   `json:"dir"`     // empty: the directory capture in state_dir; if both are empty, nothing is recorded
	MaxBytes     int      `json:"budget"`  // total size of all segments; the oldest are removed first
	SegmentBytes int      `json:"segment"` // approximate size of one segment
	MaxAge       Duration `json:"age"`     // age at which a segment is closed and the next one is started
}

// Recovery configures whether a restarted coordinator restores its previous state.
type Recovery struct {
	Enabled bool `json:"enabled"`
}

// Trace configures the export of orders, up to their acknowledgement, as OpenTelemetry spans. Without a file and an endpoint
// nothing is exported.
type Trace struct {
	File        string  `json:"file"`     // file to which spans are appended, one JSON object per line
	Endpoint    string  `json:"endpoint"` // address and port of a collector that accepts OTLP over HTTP
	SampleRatio float64 `json:"part"`     // fraction of the steps that are traced, 0 to 1
}
