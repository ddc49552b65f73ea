package emulator

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"porthub/client"
	"porthub/routing"
)

// GatewayOptions are how a gateway is set up.
type GatewayOptions struct {
	Name, Zone   string
	Classes      []string
	TableDir     string
	ReportPeriod time.Duration
	Weight       float64
	// Coordinator returns the address to dial, empty while there is none. Nil: the gateway has no coordinator at all.
	Coordinator func() string
	// List returns the endpoint list. It is read only for the initial table.
	List             func() []ListEntry
	InitialTableSize int  // endpoints of the initial table at most
	UseAllEndpoints  bool // a baseline: one table of all listed endpoints, immediately and permanently
	EjectAfter       int  // consecutive failures after which an endpoint is passed over; 0: never
	EjectionTime     time.Duration
	Polls            bool          // it polls for its tables, by deltas; otherwise it reads files
	ReadChunk        int           // bytes that a slow reader reads at a time; 0: the file at once
	ReadPause        time.Duration // between two chunks
}

// ListEntry is an endpoint of the list.
type ListEntry struct {
	Addr, Zone string
	Weight     float64
	Draining   bool
}

// Gateway is a plain proxy: it looks up its table, admits what the route's rate allows, picks an endpoint by weighted
// round robin and forwards. Its process can be killed and started again. It is safe for concurrent use.
type Gateway struct {
	GatewayOptions
	Addr    string
	address *Address // held while the process is dead, too; nil until the first start
	world   *World
	http    *http.Client

	// Corrupt changes each table before it is used, and AlwaysRetry makes the gateway retry what must not be retried:
	// so that tests can check that the audit detects it. Both must be set before Start.
	Corrupt     func(*routing.Snapshot)
	AlwaysRetry bool

	mu       sync.Mutex // guards all below
	rng      *rand.Rand
	running  bool
	isolated bool // it can't reach a coordinator
	ackFault ackFault
	server   *http.Server
	conns    map[net.Conn]bool // to the coordinator
	stop     context.CancelFunc

	tables      client.Tables
	lastContact time.Time // when the coordinator last responded
	balancer    balancer
	buckets     map[string]*tokenBucket // by class
	stats       reportStats

	goroutines sync.WaitGroup // of the running process; Kill waits for them
}

// ackFault is a fault of a gateway's acknowledgements.
type ackFault struct {
	withhold bool
	delay    time.Duration
}

// NewGateway prepares a gateway; Start starts it.
func NewGateway(w *World, o GatewayOptions) *Gateway {
	transport := &http.Transport{
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     15 * time.Second,
		DialContext:         (&net.Dialer{Timeout: 250 * time.Millisecond}).DialContext,
		DisableCompression:  true,
	}
	return &Gateway{GatewayOptions: o, world: w, rng: w.Rand("gateway " + o.Name), conns: map[net.Conn]bool{}, http: &http.Client{Transport: transport}}
}

// Start starts the process with an initial table from the list. Kill must be called to end its goroutines.
func (g *Gateway) Start() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.address == nil {
		address, err := NewAddress()
		if err != nil {
			return err
		}
		g.address = address
	}
	listener, err := g.address.Listen()
	if err != nil {
		return err
	}
	g.Addr = g.address.String()
	g.running = true
	g.tables = client.Tables{Snapshot: g.initialTable()}
	g.balancer = newBalancer()
	g.buckets = map[string]*tokenBucket{}
	g.stats = newReportStats()
	mux := http.NewServeMux()
	mux.HandleFunc("/", g.handle)
	server := &http.Server{Handler: mux}
	g.server = server
	go func() { _ = server.Serve(listener) }() // ends when Kill closes the server
	now := g.world.Now()
	g.world.Log.TableApplied(now, now, g.Name, "", g.tables.Snapshot)
	ctx, stop := context.WithCancel(context.Background())
	g.stop = stop
	if g.Coordinator != nil {
		g.goroutines.Go(func() { g.follow(ctx) })
	}
	return nil
}

// Kill ends the process: all that it has is lost, except for its files.
func (g *Gateway) Kill() {
	if !g.closeAll() {
		return
	}
	g.goroutines.Wait()
	g.world.Log.GatewayConnected(g.world.Now(), g.Name, false)
}

// closeAll closes everything that the process has open; it returns false if it does not run.
func (g *Gateway) closeAll() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.running {
		return false
	}
	g.running = false
	g.stop()
	_ = g.server.Close()
	g.closeConnections()
	return true
}

func (g *Gateway) closeConnections() {
	for c := range g.conns {
		_ = c.Close()
	}
}

// SetIsolated cuts the gateway off from the coordinator, or connects it again.
func (g *Gateway) SetIsolated(on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.isolated = on
	if on {
		g.closeConnections()
	}
}

// SetAckFault makes the gateway acknowledge nothing, or only after a delay.
func (g *Gateway) SetAckFault(withhold bool, delay time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ackFault = ackFault{withhold: withhold, delay: delay}
}

// randomFloat draws from the gateway's source.
func (g *Gateway) randomFloat() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rng.Float64()
}
