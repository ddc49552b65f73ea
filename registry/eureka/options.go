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
	Name             string   // of the source
	Addresses        []string // base URLs of the peers, such as http://127.0.0.1:8761/eureka; the client stays with one that responds
	App              string   // one application only; empty: all, or VIP
	VIP              string   // the instances of one vip address only
	Deltas           bool     // request deltas between snapshots; not with App or VIP
	XML              bool     // request XML
	PollInterval     time.Duration
	Timeout          time.Duration // of one request
	MaxResponseBytes int64
	// MetadataKeys maps zone, weight, pod and machine to the keys of the instances' metadata.
	MetadataKeys map[string]string
	Zone         string        // of instances without one
	UseHostnames bool          // endpoints are addressed by hostName in place of ipAddr
	Registration *Registration // nil: none
}

// Registration is the coordinator's own entry.
type Registration struct {
	App           string
	ID            string
	Host          string
	IP            string
	Port          int
	RenewInterval time.Duration
}

// withDefaults fills in what is left out.
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

// takesDeltas reports whether deltas can be requested: there are none of a part of the registry.
func (o Options) takesDeltas() bool { return o.Deltas && o.App == "" && o.VIP == "" }
