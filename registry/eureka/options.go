package eureka

import "time"

const (
	defaultPollInterval     = 5 * time.Second
	defaultTimeout          = 2 * time.Second
	defaultMaxResponseBytes = 32 << 20
	defaultRenewInterval    = 30 * time.Second
)

// Options configure a Client.
type Options struct {
	Name string // name of the source in updates
	// Addresses has the base URLs of the peers, such as http://127.0.0.1:8761/eureka. The client changes the peer only after
	// a failure.
	Addresses    []string
	App          string // read only the instances of this application, if not empty
	VIP          string // read only the instances of this vip address, if not empty and App is empty
	Deltas       bool   // request deltas between snapshots; ignored with App or VIP
	XML          bool   // request XML instead of JSON
	PollInterval time.Duration
	// Timeout is how long a peer may be silent during a call, and how long a call may take if other peers are faster.
	Timeout          time.Duration
	MaxResponseBytes int64
	// MetadataKeys maps zone, weight, pod and machine to the keys that they have in the metadata of instances.
	MetadataKeys map[string]string
	Zone         string        // zone of instances whose metadata has none
	UseHostnames bool          // address endpoints by hostName instead of ipAddr
	Registration *Registration // the coordinator's own registration; nil if it does not register
}

// Registration is the coordinator's own registration at the registry.
type Registration struct {
	App           string
	ID            string
	Host          string
	IP            string
	Port          int
	RenewInterval time.Duration
}

// withDefaults returns the options with defaults in place of zero values.
func (o Options) withDefaults() Options {
	if o.PollInterval <= 0 {
		o.PollInterval = defaultPollInterval
	}
	if o.Timeout <= 0 {
		o.Timeout = defaultTimeout
	}
	if o.MaxResponseBytes <= 0 {
		o.MaxResponseBytes = defaultMaxResponseBytes
	}
	if o.Registration != nil && o.Registration.RenewInterval <= 0 {
		o.Registration.RenewInterval = defaultRenewInterval
	}
	return o
}

// usesDeltas reports whether the client requests deltas. A registry has them only for all applications together.
func (o Options) usesDeltas() bool { return o.Deltas && o.App == "" && o.VIP == "" }
