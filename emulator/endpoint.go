package emulator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"porthub/xds"
)

// EndpointOptions configure an endpoint.
type EndpointOptions struct {
	Name           string // selects the sequence of random numbers; the endpoint is identified by its address
	Zone           string
	Machine        string
	Pod            int
	Weight         float64
	Cores          int
	QueueLength    int // maximum number of requests that wait for a core
	MaxConnections int
}

// Endpoint is an HTTP server with a number of cores, a queue and a connection limit. Its process can be killed and
// restarted at the same address; it then warms up. An Endpoint is safe for concurrent use.
type Endpoint struct {
	EndpointOptions
	Addr    string
	address *Address // stays reserved while the process is not running
	world   *World

	mu      sync.Mutex // guards the fields below
	rng     *rand.Rand
	fault   Fault
	resumed chan struct{} // closed unless the endpoint is paused

	// The process.
	server    *server
	kill      context.CancelFunc // aborts the process's handlers
	running   bool
	startedAt time.Duration // since the start of the run; negative if it was never restarted
	warmsUp   bool
	collapsed bool // set by an overload during warm-up; all requests are rejected until the next restart

	// The load.
	cores       chan struct{} // holds a token for each busy core
	queued      int
	executing   int
	connections int
	recent      recentWork
	utilization smoothedUtilization
}

// recentWork sums up the work that arrived within the overload window.
type recentWork struct {
	arrivals []workArrival
	total    float64 // in core seconds
}

type workArrival struct {
	at   time.Duration
	work float64 // in core seconds
}

// add adds work and removes arrivals that are older than the window.
func (r *recentWork) add(at time.Duration, work float64, window time.Duration) {
	r.arrivals = append(r.arrivals, workArrival{at: at, work: work})
	r.total += work
	for at-r.arrivals[0].at > window {
		r.total -= r.arrivals[0].work
		r.arrivals = r.arrivals[1:]
	}
}

// smoothedUtilization is the fraction of busy cores, smoothed over half a second.
type smoothedUtilization struct {
	value   float64
	updated time.Duration
}

func (u *smoothedUtilization) update(at time.Duration, busy float64) {
	const smoothing = 500 * time.Millisecond
	elapsed := at - u.updated
	if elapsed <= 0 {
		return
	}
	weight := min(1, float64(elapsed)/float64(smoothing))
	u.value += weight * (busy - u.value)
	u.updated = at
}

// NewEndpoint starts an endpoint that is already warmed up. Kill must be called to end it.
func NewEndpoint(w *World, o EndpointOptions) (*Endpoint, error) {
	e := &Endpoint{EndpointOptions: o, world: w, rng: w.Rand("node " + o.Name), startedAt: -time.Hour, resumed: make(chan struct{})}
	close(e.resumed)
	var err error
	if e.address, err = NewAddress(); err != nil {
		return nil, err
	}
	listener, err := e.address.Listen()
	if err != nil {
		return nil, err
	}
	e.Addr = e.address.String()
	e.serve(listener)
	w.Log.EndpointStarted(w.Now(), e.Addr, o.Cores, false)
	return e, nil
}

// serve starts the process on a listener. Its goroutine ends when Kill closes the server.
func (e *Endpoint) serve(listener net.Listener) {
	process, kill := context.WithCancel(context.Background())
	e.kill = kill
	e.cores = make(chan struct{}, e.Cores)
	e.queued = 0
	e.executing = 0
	e.connections = 0
	e.recent = recentWork{}
	e.utilization.value = 0
	e.running = true
	mux := http.NewServeMux()
	mux.HandleFunc("/work", func(w http.ResponseWriter, r *http.Request) { e.handleWork(process, w, r) })
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, r *http.Request) { e.handleHealthCheck(process, w, r) })
	e.server = startServer(listener, &http.Server{Handler: mux, ConnState: e.trackConnection})
}

// trackConnection counts connections and closes those beyond the limit.
func (e *Endpoint) trackConnection(c net.Conn, state http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch state {
	case http.StateNew:
		e.connections++
		limit := e.MaxConnections
		if e.fault.ConnectionShare > 0 {
			limit = int(float64(limit) * e.fault.ConnectionShare)
		}
		if e.connections > limit {
			_ = c.Close()
		}
	case http.StateClosed, http.StateHijacked:
		e.connections--
	}
}

// Kill ends the process at once: its connections are closed and its pending work is lost. New connections are refused, as
// the address stays reserved.
func (e *Endpoint) Kill() {
	e.mu.Lock()
	running := e.running
	server := e.server
	if running {
		e.running = false
		e.kill()
	}
	e.mu.Unlock()
	if running {
		// Close is called without the lock: it waits for a connection that is being accepted, and trackConnection takes
		// the lock.
		server.Close()
	}
}

// Running reports whether the process is running, and when it was started. The time is negative for an endpoint that has
// not been restarted.
func (e *Endpoint) Running() (running bool, startedAt time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running, e.startedAt
}

// Restart starts a killed process again at the same address, without faults. The endpoint then warms up. Restart has no
// effect on a running process.
func (e *Endpoint) Restart() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running {
		return nil
	}
	listener, err := e.address.Listen()
	if err != nil {
		return fmt.Errorf("restart endpoint %s: %w", e.Addr, err)
	}
	e.startedAt = e.world.Now()
	e.warmsUp = true
	e.collapsed = false
	e.fault = Fault{}
	e.world.Log.EndpointStarted(e.startedAt, e.Addr, e.Cores, true)
	e.serve(listener)
	return nil
}

// warmingUp reports whether the endpoint has not reached its full capacity yet.
func (e *Endpoint) warmingUp(at time.Duration) bool {
	return e.warmsUp && at-e.startedAt < e.world.Rules.WarmUp
}

// capacity returns the endpoint's capacity as a fraction of its full capacity.
func (e *Endpoint) capacity(at time.Duration) float64 {
	if !e.warmingUp(at) {
		return 1
	}
	return e.world.Rules.capacity(at - e.startedAt)
}

// addWork counts work that arrives during warm-up. The endpoint collapses if there is too much of it in the overload window.
func (e *Endpoint) addWork(at time.Duration, work float64) {
	if !e.warmingUp(at) {
		e.recent = recentWork{}
		return
	}
	rules := e.world.Rules
	e.recent.add(at, work, rules.OverloadWindow)
	windowCapacity := e.capacity(at) * float64(e.Cores) * rules.OverloadWindow.Seconds()
	if e.recent.total > rules.OverloadFactor*windowCapacity+4*work { // allows four more requests, as arrivals are random
		e.collapsed = true
	}
}

// updateUtilization updates the utilization for the time since the last change of executing. It must be called before each
// change.
func (e *Endpoint) updateUtilization(at time.Duration) {
	e.utilization.update(at, float64(e.executing)/float64(e.Cores))
}

// loadHeader returns the load report that the endpoint adds to its responses.
func (e *Endpoint) loadHeader() string {
	return xds.FormatORCA(min(1.2, e.utilization.value), float64(e.queued))
}
