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

// GatewayOptions configure a gateway.
type GatewayOptions struct {
	Name, Zone   string
	Classes      []string
	TableDir     string
	ReportPeriod time.Duration
	Weight       float64 // usual requests per second, as announced to the coordinator
	// Coordinator returns the address to dial, or an empty string while there is none. If it is nil, the gateway never
	// connects to a coordinator.
	Coordinator func() string
	// List returns the endpoint list. It is used for the initial table, and by RefreshEndpoints.
	List             func() []ListEntry
	InitialTableSize int  // maximum number of endpoints in the initial table
	UseAllEndpoints  bool // baseline: the table has all listed endpoints that are not draining
	EjectAfter       int  // consecutive failures after which an endpoint is ejected; 0: never
	EjectionTime     time.Duration
	Polls            bool          // polls for its tables, by deltas; otherwise reads files
	ReadChunk        int           // bytes that a slow reader reads at a time; 0: the whole file
	ReadPause        time.Duration // pause between two chunks
}

// ListEntry is an entry of the endpoint list.
type ListEntry struct {
	Addr, Zone string
	Weight     float64
	Draining   bool
}

// Gateway is a simple proxy. For each request it looks up the route, applies its admission rate, selects an endpoint by
// weighted round robin and forwards the request. Its process can be killed and started again. A Gateway is safe for
// concurrent use.
type Gateway struct {
	GatewayOptions
	Addr    string
	address *Address // stays reserved while the process is not running; nil until the first start
	world   *World
	http    *http.Client

	// Corrupt changes each table before it is used, and AlwaysRetry makes the gateway retry requests that must not be
	// retried. They let tests check that the audit detects such violations. Both must be set before Start.
	Corrupt     func(*routing.Snapshot)
	AlwaysRetry bool

	mu       sync.Mutex // guards the fields below
	rng      *rand.Rand
	running  bool
	isolated bool // cannot reach a coordinator
	ackFault ackFault
	server   *server
	conns    map[net.Conn]bool // open connections to the coordinator
	stop     context.CancelFunc

	tables      client.Tables
	lastContact time.Time // when the coordinator last responded
	balancer    balancer
	buckets     map[string]*tokenBucket // by class
	stats       reportStats

	goroutines sync.WaitGroup // goroutines of the running process, for which Kill waits
}

// ackFault is a fault that is injected into a gateway's acknowledgements.
type ackFault struct {
	withhold bool
	delay    time.Duration
}

// NewGateway returns a gateway that is not started yet.
func NewGateway(w *World, o GatewayOptions) *Gateway {
	transport := &http.Transport{
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     15 * time.Second,
		DialContext:         (&net.Dialer{Timeout: 250 * time.Millisecond}).DialContext,
		DisableCompression:  true,
	}
	return &Gateway{GatewayOptions: o, world: w, rng: w.Rand("gateway " + o.Name), conns: map[net.Conn]bool{}, http: &http.Client{Transport: transport}}
}

// Start starts the process with an initial table that is drawn from the list. Kill must be called to end its goroutines.
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
	g.server = startServer(listener, &http.Server{Handler: mux}) // ends when Kill closes it
	now := g.world.Now()
	g.world.Log.TableApplied(now, now, g.Name, "", g.tables.Snapshot)
	ctx, stop := context.WithCancel(context.Background())
	g.stop = stop
	if g.Coordinator != nil {
		g.goroutines.Go(func() { g.runLink(ctx) })
	}
	return nil
}

// Kill ends the process and waits for its goroutines. The state of the process is lost, except for its files.
func (g *Gateway) Kill() {
	if !g.closeAll() {
		return
	}
	g.goroutines.Wait()
	g.world.Log.GatewayConnected(g.world.Now(), g.Name, false)
}

// closeAll closes the server and all connections. It returns false if the process is not running.
func (g *Gateway) closeAll() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.running {
		return false
	}
	g.running = false
	g.stop()
	g.server.Close()
	g.closeConnections()
	return true
}

func (g *Gateway) closeConnections() {
	for c := range g.conns {
		_ = c.Close()
	}
}

// SetIsolated isolates the gateway from the coordinator, or lets it connect again.
func (g *Gateway) SetIsolated(on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.isolated = on
	if on {
		g.closeConnections()
	}
}

// SetAckFault makes the gateway withhold all acknowledgements, or send them only after a delay.
func (g *Gateway) SetAckFault(withhold bool, delay time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ackFault = ackFault{withhold: withhold, delay: delay}
}

// randomFloat returns a random number from 0 to 1.
func (g *Gateway) randomFloat() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rng.Float64()
}
