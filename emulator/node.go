package emulator

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"porthub/xds"
)

// The headers of a req on its way.
const (
	headerReq     = "x-req"        // its number
	headerTry     = "x-client-try" // the client's try, from 0
	headerWork    = "x-work-us"    // core time it takes at usual speed, microseconds
	headerGateway = "x-gateway"
	headerDenied  = "x-denied" // set on an answer: turned away unseen, so it never ran
)

// EndpointOptions are how large a calc node is.
type EndpointOptions struct {
	Name           string // for logs; its id is its address
	Zone           string
	Machine        string
	Pod            int
	Weight         float64
	Cores          int
	QueueLength    int // reqs that may wait
	MaxConnections int // connections accepted
}

// Endpoint is a calc node: an HTTP server with cores, a waiting room and a limit on connections. Its process can die and
// come back cold at the same address.
type Endpoint struct {
	EndpointOptions
	Addr  string
	world *World

	mu       sync.Mutex
	rng      *rand.Rand
	server   *http.Server
	up       bool
	fallen   bool
	launched time.Duration // since the world's start; below 0: long ago
	cold     bool
	cores    chan struct{}
	waiting  int
	running  int
	conns    int
	window   []piece
	windowed float64
	busyAt   time.Duration
	busy     float64 // smoothed busy share
	fault    Fault
	gate     chan struct{} // closed while the node does not stand still
	life     context.Context
	kill     context.CancelFunc
}

type piece struct {
	at   time.Duration
	work float64
}

// Fault is what ails a node now. The zero value ails nothing.
type Fault struct {
	Hang            bool    // takes reqs and answers none
	ResponseLoss    float64 // part of the answers that never come back
	FailClass       string  // this kind fails ...
	FailureRate     float64 // ... by this part, and the others don't
	FailWithError   bool    // by an error; else by silence
	Slowdown        float64 // works so many times slower; 0: as usual
	ConnectionShare float64 // part of its connections that it accepts; 0: all
}

// NewEndpoint starts a node that has been warm for long.
func NewEndpoint(w *World, o EndpointOptions) (*Endpoint, error) {
	n := &Endpoint{EndpointOptions: o, world: w, rng: w.Rand("node " + o.Name), launched: -time.Hour, gate: make(chan struct{})}
	close(n.gate)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n.Addr = l.Addr().String()
	n.serve(l)
	w.Log.EndpointStarted(w.Now(), n.Addr, o.Cores, false)
	return n, nil
}

func (n *Endpoint) serve(l net.Listener) {
	n.life, n.kill = context.WithCancel(context.Background())
	n.cores = make(chan struct{}, n.Cores)
	n.waiting, n.running, n.conns, n.window, n.windowed, n.busy = 0, 0, 0, nil, 0, 0
	n.up = true
	life := n.life
	mux := http.NewServeMux()
	mux.HandleFunc("/work", func(w http.ResponseWriter, r *http.Request) { n.work(life, w, r) })
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, r *http.Request) { n.health(life, w, r) })
	n.server = &http.Server{Handler: mux, ConnState: func(c net.Conn, s http.ConnState) {
		n.mu.Lock()
		defer n.mu.Unlock()
		switch s {
		case http.StateNew:
			n.conns++
			most := n.MaxConnections
			if n.fault.ConnectionShare > 0 {
				most = int(float64(most) * n.fault.ConnectionShare)
			}
			if n.conns > most {
				_ = c.Close()
			}
		case http.StateClosed, http.StateHijacked:
			n.conns--
		}
	}}
	go func(s *http.Server) { _ = s.Serve(l) }(n.server)
}

// SetFault changes what ails the node.
func (n *Endpoint) SetFault(change func(*Fault)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change(&n.fault)
}

// Pause makes the node stand still for a while.
func (n *Endpoint) Pause(d time.Duration) {
	n.mu.Lock()
	gate := make(chan struct{})
	n.gate = gate
	n.mu.Unlock()
	time.AfterFunc(d, func() { close(gate) })
}

// Kill ends the process at once: connections break, work is lost.
//
// The server is closed without the lock: Close waits for a connection that is just being taken in, and that wants the lock.
func (n *Endpoint) Kill() {
	n.mu.Lock()
	up, server := n.up, n.server
	if up {
		n.up = false
		n.kill()
	}
	n.mu.Unlock()
	if up {
		_ = server.Close()
	}
}

// Running tells whether the process runs, and when it was launched.
func (n *Endpoint) Running() (bool, time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.up, n.launched
}

// Restart starts the process again, cold, at the same address.
func (n *Endpoint) Restart() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.up {
		return nil
	}
	var l net.Listener
	var err error
	for range 50 {
		if l, err = net.Listen("tcp", n.Addr); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		return fmt.Errorf("node %s: %w", n.Addr, err)
	}
	n.launched, n.cold, n.fallen, n.fault = n.world.Now(), true, false, Fault{}
	n.world.Log.EndpointStarted(n.launched, n.Addr, n.Cores, true)
	n.serve(l)
	return nil
}

// warmth is the part of its capacity that the node has.
func (n *Endpoint) warmth(at time.Duration) float64 {
	if !n.cold || at-n.launched >= n.world.Rules.WarmUp {
		return 1
	}
	from := n.world.Rules.InitialCapacity
	return from + (1-from)*float64(at-n.launched)/float64(n.world.Rules.WarmUp)
}

// strain counts work that comes to a cold node; too much in a window and it falls over and stays down.
func (n *Endpoint) strain(at time.Duration, work float64) {
	if !n.cold || at-n.launched >= n.world.Rules.WarmUp {
		n.window, n.windowed = nil, 0
		return
	}
	n.window, n.windowed = append(n.window, piece{at, work}), n.windowed+work
	for at-n.window[0].at > n.world.Rules.OverloadWindow {
		n.windowed, n.window = n.windowed-n.window[0].work, n.window[1:]
	}
	can := n.warmth(at) * float64(n.Cores) * n.world.Rules.OverloadWindow.Seconds()
	if n.windowed > n.world.Rules.OverloadFactor*can+4*work {
		n.fallen = true
	}
}

func (n *Endpoint) silence(life context.Context, r *http.Request) {
	select {
	case <-life.Done():
	case <-r.Context().Done():
	}
}

func (n *Endpoint) standStill(life context.Context, r *http.Request) bool {
	n.mu.Lock()
	gate := n.gate
	n.mu.Unlock()
	select {
	case <-gate:
		return true
	case <-life.Done():
	case <-r.Context().Done():
	}
	return false
}

// load figures as the node sees them.
func (n *Endpoint) orca() string { return xds.Orca(min(1.2, n.busy), float64(n.waiting)) }

// account keeps the busy share, smoothed over half a second.
func (n *Endpoint) account(at time.Duration) {
	const over = 500 * time.Millisecond
	if gone := at - n.busyAt; gone > 0 {
		w := min(1, float64(gone)/float64(over))
		n.busy += w * (float64(n.running)/float64(n.Cores) - n.busy)
		n.busyAt = at
	}
}

func (n *Endpoint) work(life context.Context, w http.ResponseWriter, r *http.Request) {
	kind := r.Header.Get(xds.KindHeader)
	req, _ := strconv.ParseUint(r.Header.Get(headerReq), 10, 64)
	try, _ := strconv.Atoi(r.Header.Get(headerTry))
	us, _ := strconv.ParseInt(r.Header.Get(headerWork), 10, 64)
	work := time.Duration(us) * time.Microsecond
	now := n.world.Now()
	n.world.Log.WorkArrived(now, n.Addr, r.Header.Get(headerGateway), work.Seconds())
	n.mu.Lock()
	n.account(now)
	n.strain(now, work.Seconds())
	fault, lot := n.fault, n.rng.Float64()
	if n.fallen || n.waiting >= n.QueueLength {
		n.mu.Unlock()
		w.Header().Set(headerDenied, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if fault.Hang {
		n.mu.Unlock()
		n.silence(life, r)
		return
	}
	if fault.FailClass == kind && kind != "" && lot < fault.FailureRate {
		n.mu.Unlock()
		if !fault.FailWithError {
			n.silence(life, r)
			return
		}
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	n.waiting++
	cores := n.cores
	n.mu.Unlock()
	if !n.standStill(life, r) {
		n.leave()
		return
	}
	select { // a cancel drops what waits
	case cores <- struct{}{}:
	case <-life.Done():
		n.leave()
		return
	case <-r.Context().Done():
		n.leave()
		return
	}
	n.mu.Lock()
	n.account(n.world.Now())
	n.waiting--
	n.running++
	took := time.Duration(float64(work) / n.warmth(n.world.Now()) * max(1, n.fault.Slowdown))
	n.mu.Unlock()
	timer := time.NewTimer(took)
	defer timer.Stop()
	died := false
	select { // what runs goes on
	case <-timer.C:
	case <-life.Done():
		died = true
	}
	if !died {
		n.world.Log.RequestExecuted(kind, req, try)
	}
	<-cores
	n.mu.Lock()
	n.account(n.world.Now())
	n.running--
	orca := n.orca()
	lost := lot < n.fault.ResponseLoss
	n.mu.Unlock()
	if died {
		return
	}
	if lost {
		n.silence(life, r)
		return
	}
	if !n.standStill(life, r) {
		return
	}
	w.Header().Set(xds.OrcaHeader, orca)
	_, _ = w.Write([]byte("done\n"))
}

func (n *Endpoint) leave() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.waiting--
}

func (n *Endpoint) health(life context.Context, w http.ResponseWriter, r *http.Request) {
	n.mu.Lock()
	fallen, hang := n.fallen, n.fault.Hang
	n.account(n.world.Now())
	orca := n.orca()
	n.mu.Unlock()
	if hang || !n.standStill(life, r) {
		n.silence(life, r)
		return
	}
	if fallen {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set(xds.OrcaHeader, orca)
	_, _ = w.Write([]byte("well\n"))
}

// errDenied is an answer that proves that the req never ran.
var errDenied = errors.New("turned away unseen")
