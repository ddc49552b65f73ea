package emulator

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"porthub/client"
	"porthub/policyapi"
	"porthub/routing"
	"porthub/xds"
)

// GatewayOptions are how a gateway is set up.
type GatewayOptions struct {
	Name, Zone string
	Classes    []string
	TableDir   string
	// Coordinator tells the address to dial, empty while there is none. Nil: the gateway has no coordinator at all.
	Coordinator func() string
	// List tells what the node list holds; it is read at the start only, for the standing table.
	List             func() []ListEntry
	InitialTableSize int // lines of the standing table at most
	EjectAfter       int
	EjectionTime     time.Duration
	ReportPeriod     time.Duration // of reports
	Weight           float64
	UseAllEndpoints  bool // baseline: one table of all listed nodes, at once and for ever
	Polls            bool // it polls for its tables, by deltas; else it reads files
	ReadChunk        int  // a slow reader reads so many bytes at a time
	ReadPause        time.Duration
}

// ListEntry is a node in the list.
type ListEntry struct {
	Addr, Zone string
	Weight     float64
	Draining   bool
}

// Gateway is a plain proxy: it looks up a table, lets in what its level allows, picks a line evenly by weight and sends.
type Gateway struct {
	GatewayOptions
	Addr  string
	world *World
	http  *http.Client

	mu     sync.Mutex
	rng    *rand.Rand
	up     bool
	heard  time.Time // the coordinator's last word
	server *http.Server
	held   client.Held
	picks  map[string]map[string]float64 // by kind and node: smooth weighted round robin
	shuns  map[string]*shun
	bucket map[string]*bucket
	sums   map[string]*kindSums
	since  time.Time // of the report
	away   bool      // no way to a coordinator
	mute   bool      // acknowledges nothing
	late   time.Duration
	conns  map[net.Conn]bool
	stop   context.CancelFunc
	ended  sync.WaitGroup

	// Corrupt changes what was read before it is held; SpoilRetry makes it repeat what it must not. For --break-rule.
	Corrupt     func(*routing.Snapshot)
	AlwaysRetry bool
}

type shun struct {
	failures int
	until    time.Duration
}

type bucket struct {
	tokens float64
	at     time.Duration
}

type kindSums struct {
	arrived, denied, errored int
	nodes                    map[string]*nodeSums
}

type nodeSums struct {
	zone                   string
	tries, errored, active int
	took                   time.Duration
	loads                  map[string]float64
	loaded                 int
}

// NewGateway prepares a gateway; Start begins.
func NewGateway(w *World, o GatewayOptions) *Gateway {
	g := &Gateway{GatewayOptions: o, world: w, rng: w.Rand("gateway " + o.Name), conns: map[net.Conn]bool{}}
	g.http = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 15 * time.Second,
		DialContext: (&net.Dialer{Timeout: 250 * time.Millisecond}).DialContext, DisableCompression: true}}
	return g
}

// Start begins with a standing table drawn from the list.
func (g *Gateway) Start() error {
	l, err := net.Listen("tcp", cmp.Or(g.Addr, "127.0.0.1:0"))
	if err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Addr, g.up = l.Addr().String(), true
	g.held = client.Held{Snapshot: g.standing()}
	g.picks, g.shuns, g.bucket = map[string]map[string]float64{}, map[string]*shun{}, map[string]*bucket{}
	g.sums, g.since = map[string]*kindSums{}, time.Now()
	mux := http.NewServeMux()
	mux.HandleFunc("/", g.serve)
	g.server = &http.Server{Handler: mux}
	go func(s *http.Server) { _ = s.Serve(l) }(g.server)
	now := g.world.Now()
	g.world.Log.TableApplied(now, now, g.Name, "", g.held.Snapshot)
	ctx, stop := context.WithCancel(context.Background())
	g.stop = stop
	if g.Coordinator != nil {
		g.ended.Add(1)
		go func() { defer g.ended.Done(); g.follow(ctx) }()
	}
	return nil
}

// Kill ends the process: what it held is lost, but for its files.
func (g *Gateway) Kill() {
	g.mu.Lock()
	if !g.up {
		g.mu.Unlock()
		return
	}
	g.up = false
	g.stop()
	_ = g.server.Close()
	for c := range g.conns {
		_ = c.Close()
	}
	g.mu.Unlock()
	g.ended.Wait()
	now := g.world.Now()
	g.world.Log.GatewayConnected(now, g.Name, false)
}

// WithoutCoordinator takes the way to the coordinator from the gateway, or gives it back.
func (g *Gateway) SetIsolated(on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.away = on
	if on {
		for c := range g.conns {
			_ = c.Close()
		}
	}
}

// SetAckFault makes the gateway acknowledge nothing, or late.
func (g *Gateway) SetAckFault(on bool, late time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.mute, g.late = on, late
}

// standing draws the first table: some listed nodes, of the gateway's own zone if three are there.
func (g *Gateway) standing() routing.Snapshot {
	var own, all []ListEntry
	for _, e := range g.List() {
		if e.Draining {
			continue
		}
		if all = append(all, e); e.Zone == g.Zone {
			own = append(own, e)
		}
	}
	if len(own) < 3 {
		own = all
	}
	if g.UseAllEndpoints {
		own = all
	} else {
		g.rng.Shuffle(len(own), func(i, j int) { own[i], own[j] = own[j], own[i] })
		own = own[:min(len(own), g.InitialTableSize)]
	}
	return snapshot(g.Classes, own)
}

func snapshot(kinds []string, list []ListEntry) (s routing.Snapshot) {
	for _, k := range kinds {
		c := routing.Cluster{Class: k}
		for _, e := range list {
			c.Endpoints = append(c.Endpoints, line(e))
		}
		c.Sort()
		s.Clusters = append(s.Clusters, c)
		s.Routes = append(s.Routes, routing.Route{Class: k, Rate: routing.UnlimitedRate, Share: 1})
	}
	return s
}

// RefreshEndpoints gives an Everyone gateway the list anew.
func (g *Gateway) RefreshEndpoints() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.UseAllEndpoints && g.up {
		var open []ListEntry
		for _, e := range g.List() {
			if !e.Draining {
				open = append(open, e)
			}
		}
		g.held.Snapshot = snapshot(g.Classes, open)
		now := g.world.Now()
		g.world.Log.TableApplied(now, now, g.Name, "", g.held.Snapshot)
	}
}

// follow keeps the link and the files: joins, reads, acknowledges, reports.
func (g *Gateway) follow(ctx context.Context) {
	var owed queue
	if !g.Polls {
		g.ended.Add(1)
		go func() { defer g.ended.Done(); g.read(ctx, &owed) }()
	}
	var link *client.Link
	stopPolls := func() {}
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		g.mu.Lock()
		away := g.away
		g.mu.Unlock()
		if away {
			return nil, errors.New("no way to the coordinator")
		}
		c, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, network, addr)
		if err == nil {
			g.mu.Lock()
			defer g.mu.Unlock()
			if g.away || !g.up {
				_ = c.Close()
				return nil, errors.New("no way to the coordinator")
			}
			t := &tracked{Conn: c, closed: func(c net.Conn) {
				g.mu.Lock()
				defer g.mu.Unlock()
				delete(g.conns, c)
			}}
			g.conns[t] = true
			return t, nil
		}
		return nil, err
	}
	joined := false
	broke := func() {
		if joined {
			joined = false
			g.world.Log.GatewayConnected(g.world.Now(), g.Name, false)
		}
		stopPolls()
		if link != nil {
			link.Close()
			link = nil
		}
	}
	defer broke()
	pause := time.Duration(0)
	nextDial := time.Now()
	nextReport := time.Now().Add(g.ReportPeriod)
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if link == nil && time.Now().After(nextDial) {
			if addr := g.Coordinator(); addr != "" {
				link = client.NewLink(client.Options{Node: xds.Node{Name: g.Name, Zone: g.Zone, Weight: g.Weight, Polls: g.Polls}, Coordinator: addr,
					Timeout: 2 * time.Second, Dial: dial})
				// The grace of what it was told of starts with its joining: taken from before, so on the strict side.
				at := g.world.Now()
				g.mu.Lock()
				held := g.held
				g.mu.Unlock()
				if err := link.Join(ctx, held); err != nil {
					broke()
				} else {
					joined, pause = true, 0
					g.world.Log.GatewayConnected(at, g.Name, true)
					if g.Polls {
						stopPolls = g.poll(ctx, addr, dial, &owed)
					}
				}
			}
			if link == nil {
				pause = min(2*time.Second, max(200*time.Millisecond, 2*pause))
				nextDial = time.Now().Add(time.Duration(float64(pause) * (0.5 + g.lot())))
			}
		}
		if link == nil {
			owed.clear()
			continue
		}
		g.mu.Lock()
		g.heard = link.Heard()
		mute, late := g.mute, g.late
		g.mu.Unlock()
		for link != nil {
			u, is := owed.first()
			if !is || mute || time.Since(u.Written) < late {
				break
			}
			owed.pop()
			g.mu.Lock()
			held := g.held
			g.mu.Unlock()
			if err := link.Answer(ctx, u, held); err != nil && !errors.Is(err, client.ErrRefused) {
				broke()
			} else if u.Err == nil {
				g.world.Log.VersionAcknowledged(g.world.Now(), g.Name, u.Doc.Version)
			}
		}
		if link != nil && time.Now().After(nextReport) {
			nextReport = nextReport.Add(g.ReportPeriod)
			if time.Now().After(nextReport) {
				nextReport = time.Now().Add(g.ReportPeriod)
			}
			interval, kinds := g.collect()
			if _, err := link.Report(ctx, interval, kinds); err != nil && !errors.Is(err, client.ErrRefused) {
				broke()
			}
		}
	}
}

// read keeps to the files, whatever the link does: a coordinator that hangs must not keep a gateway from its tables.
func (g *Gateway) read(ctx context.Context, owed *queue) {
	reader := client.NewReader(g.TableDir, g.Name)
	reader.Chunk, reader.Pause = g.ReadChunk, g.ReadPause
	reader.Look() // an earlier process's files are not this one's tables before the coordinator has written anew
	for ctx.Err() == nil {
		for _, u := range reader.Look() {
			g.take(u)
			owed.push(u)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// poll keeps two polls open as long as the link stands; what comes is in force at once, as files are.
func (g *Gateway) poll(ctx context.Context, addr string, dial func(context.Context, string, string) (net.Conn, error), owed *queue) func() {
	ctx, stop := context.WithCancel(ctx)
	p := client.NewPoller(client.Options{Node: xds.Node{Name: g.Name, Zone: g.Zone, Weight: g.Weight}, Coordinator: addr, Dial: dial},
		g.Classes, 5*time.Second)
	held := func() client.Held { g.mu.Lock(); defer g.mu.Unlock(); return g.held }
	var polls sync.WaitGroup
	for _, routes := range []bool{false, true} {
		polls.Add(1)
		go func() {
			defer polls.Done()
			p.Follow(ctx, routes, held, func(u client.Update) { g.take(u); owed.push(u) })
		}()
	}
	return func() { stop(); polls.Wait(); p.Close() }
}

// queue is what is still to be acknowledged.
type queue struct {
	mu   sync.Mutex
	list []client.Update
}

func (q *queue) push(u client.Update) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.list = append(q.list, u)
}

func (q *queue) first() (client.Update, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.list) == 0 {
		return client.Update{}, false
	}
	return q.list[0], true
}

func (q *queue) pop() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.list) > 0 {
		q.list = q.list[1:]
	}
}

func (q *queue) clear() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.list = nil
}

type tracked struct {
	net.Conn
	once   sync.Once
	closed func(net.Conn)
}

func (t *tracked) Close() error {
	err := t.Conn.Close()
	t.once.Do(func() { go t.closed(t) })
	return err
}

func (g *Gateway) lot() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rng.Float64()
}

// take puts a read document in force.
func (g *Gateway) take(u client.Update) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if u.Err != nil {
		g.world.Log.IncompleteDocument()
	}
	if g.held.Apply(u); u.Err != nil {
		return
	}
	if g.Corrupt != nil {
		g.Corrupt(&g.held.Snapshot)
	}
	at, written := g.world.Now(), u.Written.Sub(g.world.Start)
	g.world.Log.TableApplied(at, written, g.Name, u.Doc.Version, g.held.Snapshot)
}

// collect closes the report's interval.
func (g *Gateway) collect() (time.Duration, []xds.Kind) {
	g.mu.Lock()
	defer g.mu.Unlock()
	interval := time.Since(g.since)
	g.since = time.Now()
	var kinds []xds.Kind
	for _, k := range g.Classes {
		s := g.sums[k]
		if s == nil {
			kinds = append(kinds, xds.Kind{Name: k})
			continue
		}
		one := xds.Kind{Name: k, Arrived: s.arrived, Denied: s.denied, Errored: s.errored}
		for _, addr := range slices.Sorted(maps.Keys(s.nodes)) {
			n := s.nodes[addr]
			e := xds.Endpoint{Backend: addr, Zone: n.zone, Tries: n.tries, Errored: n.errored, Active: n.active, Loads: n.loads, Loaded: n.loaded}
			if done := n.tries - n.errored; done > 0 {
				e.Answer = n.took / time.Duration(done)
			}
			one.Endpoints = append(one.Endpoints, e)
			*n = nodeSums{zone: n.zone, active: n.active}
		}
		s.arrived, s.denied, s.errored = 0, 0, 0
		kinds = append(kinds, one)
	}
	return interval, kinds
}

func (g *Gateway) kind(name string) *kindSums {
	s := g.sums[name]
	if s == nil {
		s = &kindSums{nodes: map[string]*nodeSums{}}
		g.sums[name] = s
	}
	return s
}

// admit takes a token of the kind's level.
func (g *Gateway) admit(r routing.Route) bool {
	if r.Share < 1 && g.rng.Float64() >= r.Share {
		return false
	}
	if r.Rate < 0 {
		return true
	}
	b, now := g.bucket[r.Class], g.world.Now()
	if b == nil {
		b = &bucket{tokens: 1, at: now}
		g.bucket[r.Class] = b
	}
	b.tokens = min(max(1, r.Rate/4), b.tokens+r.Rate*(now-b.at).Seconds())
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (g *Gateway) route(kind string) routing.Route {
	for _, r := range g.held.Snapshot.Routes {
		if r.Class == kind {
			if !g.heard.IsZero() {
				r = r.WithoutCoordinator(policyapi.Microseconds(time.Since(g.heard).Microseconds()))
			}
			return r
		}
	}
	return routing.Route{Class: kind, Rate: routing.UnlimitedRate, Share: 1}
}

// pick chooses a line evenly by weight, other than the one given, and not one that it shuns if there is another.
func (g *Gateway) pick(kind, not string) (routing.ClusterEndpoint, bool) {
	var best, shunned *routing.ClusterEndpoint
	now := g.world.Now()
	current := g.picks[kind]
	if current == nil {
		current = map[string]float64{}
		g.picks[kind] = current
	}
	total := 0.0
	for i := range g.held.Snapshot.Clusters {
		c := &g.held.Snapshot.Clusters[i]
		if c.Class != kind {
			continue
		}
		for j := range c.Endpoints {
			l := &c.Endpoints[j]
			if l.Withheld || string(l.Endpoint) == not {
				continue
			}
			if s := g.shuns[string(l.Endpoint)]; s != nil && s.until > now {
				shunned = l
				continue
			}
			if _, known := current[string(l.Endpoint)]; !known { // not all at the same line first
				current[string(l.Endpoint)] = g.rng.Float64() * l.Weight
			}
			current[string(l.Endpoint)] += l.Weight
			total += l.Weight
			if best == nil || current[string(l.Endpoint)] > current[string(best.Endpoint)] {
				best = l
			}
		}
	}
	if best == nil {
		if best = shunned; best == nil {
			return routing.ClusterEndpoint{}, false
		}
		return *best, true
	}
	current[string(best.Endpoint)] -= total
	return *best, true
}

// serve takes one req from a client through to an answer.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	kind := r.Header.Get(xds.KindHeader)
	g.mu.Lock()
	s := g.kind(kind)
	s.arrived++
	route := g.route(kind)
	if !g.admit(route) {
		s.denied++
		g.mu.Unlock()
		deny(w)
		return
	}
	tries := 1
	switch second := route.RetryPolicy; {
	case g.AlwaysRetry:
		tries = 3
	case second == 3:
		tries = 3
	case second > 0:
		tries = 2
	}
	g.mu.Unlock()
	not := ""
	var err error
	for try := range tries {
		g.mu.Lock()
		line, has := g.pick(kind, not)
		g.mu.Unlock()
		if !has {
			if try == 0 {
				g.mu.Lock()
				s.denied++
				g.mu.Unlock()
				deny(w)
				return
			}
			break
		}
		not = string(line.Endpoint)
		ctx := r.Context()
		cancel := context.CancelFunc(func() {})
		if try < tries-1 && (route.RetryPolicy >= 2 || g.AlwaysRetry) {
			ctx, cancel = context.WithTimeout(ctx, 600*time.Millisecond)
		}
		err = g.send(ctx, kind, line, r)
		cancel()
		if err == nil {
			_, _ = io.WriteString(w, "done\n")
			return
		}
		if r.Context().Err() != nil || route.RetryPolicy == 1 && !errors.Is(err, errDenied) && !g.AlwaysRetry {
			break
		}
	}
	g.mu.Lock()
	s.errored++
	g.mu.Unlock()
	if errors.Is(err, errDenied) {
		deny(w)
		return
	}
	w.WriteHeader(http.StatusBadGateway)
}

func deny(w http.ResponseWriter) {
	w.Header().Set(headerDenied, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// send tries one node. The error wraps errDenied where it is proven that nothing ran.
func (g *Gateway) send(ctx context.Context, kind string, l routing.ClusterEndpoint, r *http.Request) error {
	addr := string(l.Endpoint)
	start := time.Now()
	g.world.Log.RequestSent(g.world.Now(), g.Name, addr)
	g.mu.Lock()
	n := g.kind(kind).nodes[addr]
	if n == nil {
		n = &nodeSums{zone: string(l.Zone)}
		g.kind(kind).nodes[addr] = n
	}
	n.active++
	g.mu.Unlock()
	loads, err := g.exchange(ctx, addr, string(l.Zone), r)
	g.mu.Lock()
	defer g.mu.Unlock()
	n.active--
	n.tries++
	sh := g.shuns[addr]
	if sh == nil {
		sh = &shun{}
		g.shuns[addr] = sh
	}
	if err != nil {
		n.errored++
		if sh.failures++; g.EjectAfter > 0 && sh.failures >= g.EjectAfter {
			sh.failures, sh.until = 0, g.world.Now()+g.EjectionTime
		}
		return err
	}
	sh.failures = 0
	n.took += time.Since(start)
	if loads != nil {
		n.loads, n.loaded = loads, n.loaded+1
	}
	return nil
}

func (g *Gateway) exchange(ctx context.Context, addr, zone string, r *http.Request) (map[string]float64, error) {
	if g.world.Blocked(g.Zone, zone) { // nothing comes back, not even a refusal
		<-ctx.Done()
		return nil, ctx.Err()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/work", nil)
	if err != nil {
		return nil, err
	}
	for _, h := range []string{xds.KindHeader, headerReq, headerTry, headerWork} {
		req.Header.Set(h, r.Header.Get(h))
	}
	req.Header.Set(headerGateway, g.Name)
	res, err := g.http.Do(req)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			return nil, fmt.Errorf("%w: %v", errDenied, err)
		}
		return nil, err
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	if g.world.Blocked(g.Zone, zone) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	switch {
	case err != nil:
		return nil, err
	case res.Header.Get(headerDenied) != "":
		return nil, errDenied
	case res.StatusCode != http.StatusOK:
		return nil, errors.New("answered " + strconv.Itoa(res.StatusCode))
	}
	return xds.ReadOrca(res.Header.Get(xds.OrcaHeader)), nil
}

func line(e ListEntry) routing.ClusterEndpoint {
	return routing.ClusterEndpoint{Endpoint: policyapi.EndpointID(e.Addr), Zone: policyapi.Zone(e.Zone), Weight: max(e.Weight, 1e-3)}
}
