package emulator

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	loadv3 "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	"google.golang.org/protobuf/proto"

	"porthub/audit"
	"porthub/policyapi"
	"porthub/routing"
	"porthub/xds"
)

// Light stand-ins are many in one process: a gateway has one connection to the coordinator and no listener, and what it would
// send by the tables that it holds is counted at the nodes without a request each. Tables, acknowledgements and
// reports pass over sockets as for any gateway.

// LightEndpoint counts what is sent to it. Its queue is what came beyond its cores' time.
type LightEndpoint struct {
	Name, Zone string
	Cores      float64

	world   *World
	listed  atomic.Int32 // audit.ListState
	failing atomic.Bool
	tries   atomic.Int64
	work    atomic.Int64 // microseconds, since the last look
	util    atomic.Int64 // millionths
	queue   atomic.Int64 // thousandths

	mu      sync.Mutex
	cold    bool
	started time.Duration
	behind  float64 // core seconds
	mean    float64 // core seconds of a req
	seen    []sample
}

type sample struct {
	at          time.Duration
	tries       float64 // since the start
	util, queue float64
}

// NewLightEndpoint makes a warm node.
func NewLightEndpoint(w *World, name, zone string, cores, work float64) *LightEndpoint {
	n := &LightEndpoint{Name: name, Zone: zone, Cores: cores, world: w, mean: work, started: -time.Hour}
	n.listed.Store(int32(audit.Ready))
	w.Log.EndpointStarted(w.Now(), name, int(cores), false)
	return n
}

// SetListed says what the node list has of it.
func (n *LightEndpoint) SetListed(s audit.EndpointState) { n.listed.Store(int32(s)) }

// SetFailing makes it fail whatever it is sent, or serve again.
func (n *LightEndpoint) SetFailing(on bool) { n.failing.Store(on) }

// Restart begins its process anew: it is cold. It returns when that was.
func (n *LightEndpoint) Restart() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cold, n.started, n.behind = true, n.world.Now(), 0
	n.world.Log.EndpointStarted(n.started, n.Name, int(n.Cores), true)
	return n.started
}

// warmth is the part of its capacity that it has.
func (n *LightEndpoint) warmth(now time.Duration) float64 {
	r := n.world.Rules
	if since := now - n.started; n.cold && since < r.WarmUp {
		return r.InitialCapacity + (1-r.InitialCapacity)*float64(since)/float64(r.WarmUp)
	}
	return 1
}

// Update brings its figures up to date; the time since the last look is given.
func (n *LightEndpoint) Update(passed time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.world.Now()
	can := n.Cores * n.warmth(now) * passed.Seconds()
	came := float64(n.work.Swap(0)) / 1e6
	n.behind = max(0, n.behind+came-can)
	busy := min(1, (came+n.behind)/can)
	n.util.Store(int64(1e6 * (0.5*busy + 0.5*float64(n.util.Load())/1e6)))
	n.queue.Store(int64(1000 * n.behind / n.mean))
	n.behind = min(n.behind, n.Cores) // what waits for longer is refused
	util, queue := n.Load()
	n.seen = append(n.seen, sample{now, float64(n.tries.Load()), util, queue})
}

// AttemptRate is how many tries a second came to it between two moments.
func (n *LightEndpoint) AttemptRate(from, to time.Duration) float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	at := func(t time.Duration) float64 {
		i, _ := slices.BinarySearchFunc(n.seen, t, func(s sample, t time.Duration) int { return cmp.Compare(s.at, t) })
		if i == 0 || i == len(n.seen) {
			return float64(n.tries.Load())
		}
		a, b := n.seen[i-1], n.seen[i]
		return a.tries + (b.tries-a.tries)*float64(t-a.at)/float64(b.at-a.at)
	}
	return (at(to) - at(from)) / (to - from).Seconds()
}

// MeanLoad is the mean of its own figures between two moments.
func (n *LightEndpoint) MeanLoad(from, to time.Duration) (util, queue float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0.0
	for _, s := range slices.Backward(n.seen) {
		if s.at < from && count > 0 {
			break
		}
		if s.at <= to {
			util, queue, count = util+s.util, queue+s.queue, count+1
		}
	}
	return util / max(1, count), queue / max(1, count)
}

// Load tells its own figures.
func (n *LightEndpoint) Load() (util, queue float64) {
	return float64(n.util.Load()) / 1e6, float64(n.queue.Load()) / 1000
}

// take counts tries from a gateway and tells how many of them failed.
func (n *LightEndpoint) take(gw string, tries int) (failed int) {
	n.tries.Add(int64(tries))
	n.work.Add(int64(float64(tries) * n.mean * 1e6))
	now := n.world.Now()
	if audit.EndpointState(n.listed.Load()) != audit.Ready {
		n.world.Log.RequestSent(now, gw, n.Name)
	}
	n.mu.Lock()
	cold := n.cold && now-n.started < n.world.Rules.WarmUp
	n.mu.Unlock()
	if cold {
		for range tries {
			n.world.Log.WorkArrived(now, n.Name, gw, n.mean)
		}
	}
	if n.failing.Load() {
		return tries
	}
	if n.queue.Load() > int64(1000*n.Cores/n.mean) {
		return tries / 2
	}
	return 0
}

// LightClass is a request kind of a light gateway.
type LightClass struct {
	Name       string
	Rate       float64 // reqs a second that come to it
	Idempotent bool    // may run anywhere again
}

// LightGatewayOptions are what a light gateway is made of.
type LightGatewayOptions struct {
	Name, Zone   string
	Classes      []LightClass
	Endpoints    map[string]*LightEndpoint
	Coordinator  func() string // address; empty: none
	ReportPeriod time.Duration
	Binary       bool
	// Corrupt changes what was read before it is held; for the audit's own test.
	Corrupt func(*routing.Snapshot)
	// TableApplied is told what it holds from now on.
	OnTable func(routing.Snapshot)
	Tally   *LightTally
}

// LightTally sums what all light gateways of a run met.
type LightTally struct {
	Attempts, Failures, Rejected                atomic.Int64
	Reports, Deferred, LateAnswers, Disconnects atomic.Int64
	Throttled                                   atomic.Int64 // reports after a longer interval that was asked for

	took *Tally
}

// NewLightTally starts one.
func NewLightTally() *LightTally { return &LightTally{took: NewTally()} }

// RecordLatency are the times from a report's sending to its answer.
func (t *LightTally) AnswerTimes() *Tally { return t.took }

// LightGateway polls for its tables each period, acknowledges, sends and reports.
type LightGateway struct {
	LightGatewayOptions
	world  *World
	rng    *rand.Rand
	client *bufio.Reader
	conn   net.Conn

	held     routing.Snapshot
	versions [routing.DocumentCount]string
	sums     []map[string]*xds.Endpoint // by kind
	arrived  []int
	denied   []int
	errored  []int
	carry    []float64
	sentAt   time.Duration // up to when sending has been counted
	since    time.Duration // of the report
	heardAt  time.Duration // the coordinator's last word
	number   uint64
	mute     atomic.Bool
	joined   atomic.Bool
	reported atomic.Bool
}

// NewLightGateway prepares one with a standing table.
func NewLightGateway(w *World, o LightGatewayOptions, standing []ListEntry) *LightGateway {
	g := &LightGateway{LightGatewayOptions: o, world: w, rng: w.Rand("light " + o.Name), arrived: make([]int, len(o.Classes)), denied: make([]int, len(o.Classes)),
		errored: make([]int, len(o.Classes))}
	var kinds []string
	for range o.Classes {
		g.sums = append(g.sums, map[string]*xds.Endpoint{})
	}
	for _, k := range o.Classes {
		kinds = append(kinds, k.Name)
		g.carry = append(g.carry, g.rng.Float64())
	}
	g.held = snapshot(kinds, standing)
	now := w.Now()
	w.Log.TableApplied(now, now, o.Name, "", g.held)
	g.sentAt, g.since = now, now
	return g
}

// StopReporting makes it report nothing any more, while its link stands.
func (g *LightGateway) StopReporting() { g.mute.Store(true) }

// GatewayConnected tells whether its link stands.
func (g *LightGateway) Connected() bool { return g.joined.Load() }

// Reported tells whether a report of it has been taken.
func (g *LightGateway) Reported() bool { return g.reported.Load() }

// send counts what it has sent since the last time by the table that it has held all the while.
func (g *LightGateway) send() {
	now := g.world.Now()
	passed := (now - g.sentAt).Seconds()
	g.sentAt = now
	for k, kind := range g.Classes {
		came := kind.Rate*passed + g.carry[k]
		reqs := int(came)
		g.carry[k] = came - float64(reqs)
		g.arrived[k] += reqs
		route := g.held.Routes[k]
		if g.heardAt > 0 {
			route = route.WithoutCoordinator(policyapi.Microseconds((now - g.heardAt).Microseconds()))
		}
		let := int(float64(reqs)*route.Share + g.rng.Float64())
		if route.Rate >= 0 {
			let = min(let, int(route.Rate*passed+g.rng.Float64()))
		}
		let = min(let, reqs)
		g.denied[k] += reqs - let
		g.Tally.Rejected.Add(int64(reqs - let))
		total := 0.0
		for _, l := range g.held.Clusters[k].Endpoints {
			if !l.Withheld {
				total += l.Weight
			}
		}
		if total == 0 {
			g.errored[k] += let
			continue
		}
		at, left := g.rng.Float64(), let // each line gets its share; the lot decides which ones get the odd reqs
		for _, l := range g.held.Clusters[k].Endpoints {
			if l.Withheld || left == 0 {
				continue
			}
			at += float64(let) * l.Weight / total
			n := min(left, int(at))
			at -= float64(n)
			if left -= n; n > 0 {
				g.sendTo(k, string(l.Endpoint), string(l.Zone), n)
			}
		}
	}
}

func (g *LightGateway) sendTo(k int, name, zone string, tries int) {
	node := g.Endpoints[name]
	failed := tries
	e := g.sums[k][name]
	if e == nil {
		e = &xds.Endpoint{Backend: name, Zone: zone, Answer: 160 * time.Millisecond}
		g.sums[k][name] = e
	}
	if node != nil {
		failed = node.take(g.Name, tries)
		util, queue := node.Load()
		e.Loads, e.Loaded = map[string]float64{"util": util, "queue": queue}, e.Loaded+tries-failed
	}
	e.Tries, e.Errored = e.Tries+tries, e.Errored+failed
	g.errored[k] += failed
	g.Tally.Attempts.Add(int64(tries))
	g.Tally.Failures.Add(int64(failed))
}

// report makes the report on what was sent since the last one.
func (g *LightGateway) report() (*loadv3.LoadStatsRequest, func()) {
	g.send()
	interval := g.sentAt - g.since
	kinds := make([]xds.Kind, len(g.Classes))
	for k, kind := range g.Classes {
		kinds[k] = xds.Kind{Name: kind.Name, Arrived: g.arrived[k], Denied: g.denied[k], Errored: g.errored[k]}
		for _, e := range g.sums[k] {
			kinds[k].Endpoints = append(kinds[k].Endpoints, *e)
		}
	}
	g.number++
	m := xds.Load(xds.Node{Name: g.Name, Zone: g.Zone, Report: g.number, Polls: true}, interval, kinds)
	return m, func() { // taken: the next one begins where this one ended
		g.since = g.sentAt
		for k := range g.Classes {
			g.arrived[k], g.denied[k], g.errored[k] = 0, 0, 0
			clear(g.sums[k])
		}
	}
}

// Run goes on until the context ends; a broken link is dialled anew.
func (g *LightGateway) Run(ctx context.Context) {
	pause := 100 * time.Millisecond
	for ctx.Err() == nil {
		began := time.Now()
		if addr := g.Coordinator(); addr != "" {
			if err := g.link(ctx, addr); err != nil && ctx.Err() == nil {
				g.Tally.Disconnects.Add(1)
			}
		}
		if g.joined.CompareAndSwap(true, false) {
			g.world.Log.GatewayConnected(g.world.Now(), g.Name, false)
		}
		if time.Since(began) > 2*time.Second {
			pause = 100 * time.Millisecond
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(float64(pause) * (0.5 + g.rng.Float64()))):
		}
		pause = min(2*pause, 2*time.Second)
	}
}

func (g *LightGateway) link(ctx context.Context, addr string) error {
	conn, err := (&net.Dialer{Timeout: 5 * time.Second}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	g.conn, g.client = conn, bufio.NewReaderSize(conn, 4096)
	nextReport := time.Now().Add(time.Duration(g.rng.Float64() * float64(g.ReportPeriod)))
	interval, asked := g.ReportPeriod, g.ReportPeriod
	for ctx.Err() == nil {
		next := time.Now().Add(g.ReportPeriod)
		if len(g.versions[0]) == 0 {
			next = nextReport // the reports of gateways that joined at once are spread from the first one on
		}
		for doc := range routing.DocumentCount {
			if err := g.ask(doc); err != nil {
				return err
			}
		}
		if time.Until(nextReport) < g.ReportPeriod/8 && !g.mute.Load() {
			m, taken := g.report()
			began := time.Now()
			body, code, err := g.post(xds.LoadPath, m)
			if err != nil {
				return err
			}
			if code == http.StatusTooManyRequests || code == http.StatusServiceUnavailable {
				g.Tally.Deferred.Add(1) // what it would have told goes with the next one
			} else if code == http.StatusOK {
				taken()
				g.reported.Store(true)
				g.Tally.Reports.Add(1)
				if g.Tally.took.RecordLatency(time.Since(began)); time.Since(began) > g.ReportPeriod {
					g.Tally.LateAnswers.Add(1)
				}
				if asked > g.ReportPeriod {
					g.Tally.Throttled.Add(1)
				}
				answer := &loadv3.LoadStatsResponse{}
				if err := xds.Decode(body, answer); err == nil {
					if interval = answer.GetLoadReportingInterval().AsDuration(); interval < g.ReportPeriod {
						interval = g.ReportPeriod
					}
					asked = interval
				}
			}
			nextReport = time.Now().Add(interval)
		}
		// It sends all the time: counted in one go, a second's reqs would come to a node at one moment.
		for until := min(time.Until(next), max(time.Until(nextReport), 10*time.Millisecond)); until > 0 && ctx.Err() == nil; {
			step := min(until, g.ReportPeriod/4)
			until -= step
			select {
			case <-ctx.Done():
			case <-time.After(step):
			}
			g.send()
		}
	}
	return ctx.Err()
}

// ask asks for a document until what it holds is the last, which acknowledges it.
func (g *LightGateway) ask(doc int) error {
	path, kind := xds.EndpointPath, xds.EndpointType
	if doc == 1 {
		path, kind = xds.RoutePath, xds.RouteType
	}
	at := g.world.Now()
	for range 10 {
		body, code, err := g.post(path, xds.Acknowledge(xds.Node{Name: g.Name, Zone: g.Zone, Weight: g.rate(), Polls: true}, kind, g.versions[doc], "", ""))
		if err != nil {
			return err
		}
		if code != http.StatusOK && code != http.StatusNotModified {
			return nil // busy: with the next period
		}
		if g.joined.CompareAndSwap(false, true) {
			g.world.Log.GatewayConnected(at, g.Name, true)
		}
		if g.versions[doc] != "" {
			g.world.Log.VersionAcknowledged(g.world.Now(), g.Name, g.versions[doc])
		}
		if code == http.StatusNotModified {
			return nil
		}
		m := &discoveryv3.DiscoveryResponse{}
		if err := proto.Unmarshal(body, m); err != nil {
			return err
		}
		if m.VersionInfo == g.versions[doc] {
			return nil
		}
		d, err := xds.ReadResponse(m)
		if err != nil {
			return err
		}
		g.send() // by what it held until now
		if doc == 0 {
			g.held.Clusters = d.Clusters
		} else {
			g.held.Routes = d.Routes
		}
		if g.Corrupt != nil {
			g.Corrupt(&g.held)
		}
		if doc == 1 {
			g.judge(g.held.Routes)
		}
		g.versions[doc] = m.VersionInfo
		now := g.world.Now()
		g.world.Log.TableApplied(now, now, g.Name, m.VersionInfo, g.held)
		g.OnTable(g.held)
	}
	return nil
}

// judge counts an order to repeat what must not run twice as a repeat that did.
func (g *LightGateway) judge(routes []routing.Route) {
	for k, r := range routes {
		if r.RetryPolicy > 1 && !g.Classes[k].Idempotent {
			id := g.rng.Uint64()
			g.world.Log.RequestExecuted(r.Class, id, 0)
			g.world.Log.RequestExecuted(r.Class, id, 0)
		}
	}
}

func (g *LightGateway) rate() (sum float64) {
	for _, k := range g.Classes {
		sum += k.Rate
	}
	return sum
}

// post sends one message in binary and reads the answer.
func (g *LightGateway) post(path string, m proto.Message) (body []byte, code int, err error) {
	text, err := proto.Marshal(m)
	if err != nil {
		return nil, 0, err
	}
	_ = g.conn.SetDeadline(time.Now().Add(20 * time.Second))
	head := fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Type: application/x-protobuf\r\nContent-Length: %d\r\n\r\n", path, len(text))
	if _, err := g.conn.Write(append(head, text...)); err != nil {
		return nil, 0, err
	}
	res, err := http.ReadResponse(g.client, nil)
	if err != nil {
		return nil, 0, err
	}
	defer res.Body.Close()
	body, err = io.ReadAll(res.Body)
	g.heardAt = g.world.Now()
	return body, res.StatusCode, err
}
