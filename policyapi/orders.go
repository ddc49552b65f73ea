package policyapi

import "fmt"

// Order is an action that an instance requests from its host. The set is closed. The host carries out the orders of a
// reply in sequence.
type Order interface{ isOrder() }

// RetryPolicy specifies when a proxy may send a request again after a failed attempt, always to another endpoint. The
// values are those of the protocols; a higher value permits more retries.
type RetryPolicy int

// The values of RetryPolicy.
const (
	NoRetry            RetryPolicy = iota // never
	RetryIfNotExecuted                    // once, if the first attempt was provably not executed; safe for every class
	RetryOnce                             // once, after any failure
	RetryTwice                            // twice, after any failure
)

// String returns a short name of the policy.
func (p RetryPolicy) String() string {
	switch p {
	case NoRetry:
		return "no retry"
	case RetryIfNotExecuted:
		return "retry if not executed"
	case RetryOnce:
		return "retry once"
	case RetryTwice:
		return "retry twice"
	default:
		return fmt.Sprintf("RetryPolicy(%d)", int(p))
	}
}

// The orders.
type (
	// Log adds a line to the log for operators.
	Log struct {
		Text string `cbor:"Text" json:"Text"`
	}
	// WatchEndpoints subscribes to changes of the endpoint list, or ends the subscription.
	WatchEndpoints struct {
		Enabled bool `cbor:"On" json:"On"`
	}
	// Resync requests the complete endpoint list once.
	Resync struct{}
	// SetTimer requests a TimerFired after a delay.
	SetTimer struct {
		After Microseconds `cbor:"After" json:"After"`
		Token TimerToken   `cbor:"Token" json:"Token"`
	}
	// CheckHealth requests a health check of an endpoint; the host reports its HealthCheckResult.
	CheckHealth struct {
		Endpoint EndpointID `cbor:"Backend" json:"Backend"`
	}
	// Broadcast sends a message to every peer.
	Broadcast struct {
		Body []byte `cbor:"Body" json:"Body"`
	}
	// SetWeight sets the weight of an endpoint in a table; weight 0 removes it.
	SetWeight struct {
		Table    TableID    `cbor:"Table" json:"Table"`
		Endpoint EndpointID `cbor:"Backend" json:"Backend"`
		Weight   float64    `cbor:"Weight" json:"Weight"`
	}
	// ClearTable removes all weights and admission levels of a table.
	ClearTable struct {
		Table TableID `cbor:"Table" json:"Table"`
	}
	// BindProxy makes a proxy use a table for some classes.
	BindProxy struct {
		Proxy   ProxyID  `cbor:"Proxy" json:"Proxy"`
		Table   TableID  `cbor:"Table" json:"Table"`
		Classes ClassSet `cbor:"Kinds" json:"Kinds"`
	}
	// EjectEndpoint makes all connected proxies stop using an endpoint although it is in their tables, or lets them use
	// it again.
	EjectEndpoint struct {
		Endpoint EndpointID `cbor:"Backend" json:"Backend"`
		Ejected  bool       `cbor:"On" json:"On"`
	}
	// SetAdmission sets how many requests of some classes the proxies of a table admit, and when they retry. If both
	// AllTables and a proxy's own table have a level, the lower level and the retry policy of its own table apply.
	SetAdmission struct {
		Table   TableID  `cbor:"Table" json:"Table"`
		Classes ClassSet `cbor:"Kinds" json:"Kinds"`
		// Level is a share or a rate, depending on the AdmissionMode.
		Level       float64     `cbor:"Level" json:"Level"`
		RetryPolicy RetryPolicy `cbor:"SecondTry" json:"SecondTry"`
	}
	// RequestAck requests an Acknowledged from each proxy that a message of this reply reaches.
	RequestAck struct {
		AckID AckID `cbor:"Mark" json:"Mark"`
		// AllProxies extends the request to the proxies that no other order of the reply reaches: they are sent a message
		// that contains only the request.
		AllProxies bool `cbor:"All" json:"All"`
	}
)

func (Log) isOrder()            {}
func (WatchEndpoints) isOrder() {}
func (Resync) isOrder()         {}
func (SetTimer) isOrder()       {}
func (CheckHealth) isOrder()    {}
func (Broadcast) isOrder()      {}
func (SetWeight) isOrder()      {}
func (ClearTable) isOrder()     {}
func (BindProxy) isOrder()      {}
func (EjectEndpoint) isOrder()  {}
func (SetAdmission) isOrder()   {}
func (RequestAck) isOrder()     {}
