package emulator

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"porthub/policyapi"
	"porthub/routing"
	"porthub/xds"
)

// LightClass is a request class of a light gateway.
type LightClass struct {
	Name       string
	Rate       float64 // requests per second that arrive
	Idempotent bool
}

// LightGatewayOptions are how a light gateway is set up.
type LightGatewayOptions struct {
	Name, Zone   string
	Classes      []LightClass
	Endpoints    map[string]*LightEndpoint
	Coordinator  func() string // returns its address; empty: there is none
	ReportPeriod time.Duration
	Tally        *LightTally
	// Corrupt changes each table before it is used, so that the audit can be seen to find it. It may be nil.
	Corrupt func(*routing.Snapshot)
	// OnTable is called with each table that is used from then on.
	OnTable func(routing.Snapshot)
}

// LightTally sums up the outcomes of all light gateways of a run. It is safe for concurrent use.
type LightTally struct {
	Attempts, Failures, Rejected atomic.Int64 // attempts at endpoints; requests that were not admitted
	Reports                      atomic.Int64 // that were accepted
	Deferred                     atomic.Int64 // reports that were rejected
	LateResponses                atomic.Int64 // to reports, after more than a period
	Throttled                    atomic.Int64 // reports after a longer interval that the coordinator requested
	Disconnects                  atomic.Int64

	responseTimes *Tally
}

// NewLightTally returns an empty tally.
func NewLightTally() *LightTally { return &LightTally{responseTimes: NewTally()} }

// ResponseTimes are the times from sending a report to its response.
func (t *LightTally) ResponseTimes() *Tally { return t.responseTimes }

// LightGateway polls for its tables each period, acknowledges, reports, and counts at light endpoints what it would send.
type LightGateway struct {
	LightGatewayOptions
	world *World

	muted     atomic.Bool
	connected atomic.Bool
	reported  atomic.Bool

	// All below belongs to the goroutine of Run.
	rng         *rand.Rand
	table       routing.Snapshot
	versions    [routing.DocumentCount]string
	traffic     []lightTraffic // by class
	sentUntil   time.Duration  // up to when requests have been counted
	lastContact time.Duration  // when the coordinator last responded
	reports     lightReports
}

// lightTraffic is what a gateway counts of a class for its next report.
type lightTraffic struct {
	arrived, rejected, failed int
	endpoints                 map[string]*xds.EndpointReport
	fraction                  float64 // of a request that has arrived
}

// lightReports numbers reports and records where the next one begins.
type lightReports struct {
	since  time.Duration
	number uint64
}

// NewLightGateway prepares a gateway with an initial table.
func NewLightGateway(w *World, o LightGatewayOptions, initial []ListEntry) *LightGateway {
	g := &LightGateway{LightGatewayOptions: o, world: w, rng: w.Rand("light " + o.Name)}
	var classes []string
	for _, class := range o.Classes {
		classes = append(classes, class.Name)
		g.traffic = append(g.traffic, lightTraffic{endpoints: map[string]*xds.EndpointReport{}, fraction: g.rng.Float64()})
	}
	g.table = tableOf(classes, initial)
	now := w.Now()
	w.Log.TableApplied(now, now, o.Name, "", g.table)
	g.sentUntil = now
	g.reports.since = now
	return g
}

// StopReporting stops its reports; it stays connected.
func (g *LightGateway) StopReporting() { g.muted.Store(true) }

// Connected reports whether it is connected to the coordinator.
func (g *LightGateway) Connected() bool { return g.connected.Load() }

// Reported reports whether a load report of it has been accepted.
func (g *LightGateway) Reported() bool { return g.reported.Load() }

// Run goes on until the context ends; a broken connection is dialled again after a pause.
func (g *LightGateway) Run(ctx context.Context) {
	const (
		minBackoff      = 100 * time.Millisecond
		maxBackoff      = 2 * time.Second
		stableAfter     = 2 * time.Second // a connection that lasted so long resets the backoff
		randomizedShare = 0.5
	)
	backoff := minBackoff
	for ctx.Err() == nil {
		start := time.Now()
		if addr := g.Coordinator(); addr != "" {
			if err := g.runConnection(ctx, addr); err != nil && ctx.Err() == nil {
				g.Tally.Disconnects.Add(1)
			}
		}
		if g.connected.CompareAndSwap(true, false) {
			g.world.Log.GatewayConnected(g.world.Now(), g.Name, false)
		}
		if time.Since(start) > stableAfter {
			backoff = minBackoff
		}
		sleepContext(ctx, time.Duration(float64(backoff)*(randomizedShare+g.rng.Float64())))
		backoff = min(2*backoff, maxBackoff)
	}
}

func sleepContext(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// send counts what it has sent since the last time, by the table that it has had all the while.
func (g *LightGateway) send() {
	now := g.world.Now()
	elapsed := (now - g.sentUntil).Seconds()
	g.sentUntil = now
	for i, class := range g.Classes {
		traffic := &g.traffic[i]
		arrived := class.Rate*elapsed + traffic.fraction
		requests := int(arrived)
		traffic.fraction = arrived - float64(requests)
		traffic.arrived += requests
		admitted := g.admit(g.table.Routes[i], requests, elapsed, now)
		traffic.rejected += requests - admitted
		g.Tally.Rejected.Add(int64(requests - admitted))
		g.distribute(i, admitted)
	}
}

// admit returns how many of the requests that arrived within a time its route admits.
func (g *LightGateway) admit(route routing.Route, requests int, elapsed float64, now time.Duration) int {
	if g.lastContact > 0 {
		route = route.WithoutCoordinator(policyapi.Microseconds((now - g.lastContact).Microseconds()))
	}
	admitted := int(float64(requests)*route.Share + g.rng.Float64())
	if route.Rate >= 0 {
		admitted = min(admitted, int(route.Rate*elapsed+g.rng.Float64()))
	}
	return min(admitted, requests)
}

// distribute sends requests of a class to the endpoints by their weights. A draw decides which endpoints get what is left
// of whole numbers.
func (g *LightGateway) distribute(class, requests int) {
	endpoints := g.table.Clusters[class].Endpoints
	total := 0.0
	for _, endpoint := range endpoints {
		if !endpoint.Withheld {
			total += endpoint.Weight
		}
	}
	if total == 0 {
		g.traffic[class].failed += requests
		return
	}
	position := g.rng.Float64()
	left := requests
	for _, endpoint := range endpoints {
		if endpoint.Withheld || left == 0 {
			continue
		}
		position += float64(requests) * endpoint.Weight / total
		n := min(left, int(position))
		position -= float64(n)
		left -= n
		if n > 0 {
			g.sendTo(class, endpoint, n)
		}
	}
}

func (g *LightGateway) sendTo(class int, to routing.ClusterEndpoint, attempts int) {
	const reportedLatency = 160 * time.Millisecond
	name := string(to.Endpoint)
	traffic := &g.traffic[class]
	stats := traffic.endpoints[name]
	if stats == nil {
		stats = &xds.EndpointReport{Address: name, Zone: string(to.Zone), MeanLatency: reportedLatency}
		traffic.endpoints[name] = stats
	}
	failed := attempts // at an endpoint that is not there
	if endpoint := g.Endpoints[name]; endpoint != nil {
		failed = endpoint.receive(g.Name, attempts)
		utilization, queue := endpoint.Load()
		stats.Metrics = map[string]float64{"util": utilization, "queue": queue}
		stats.MetricSamples += attempts - failed
	}
	stats.Attempts += attempts
	stats.Failures += failed
	traffic.failed += failed
	g.Tally.Attempts.Add(int64(attempts))
	g.Tally.Failures.Add(int64(failed))
}

// totalRate is the requests per second of all classes.
func (g *LightGateway) totalRate() float64 {
	sum := 0.0
	for _, class := range g.Classes {
		sum += class.Rate
	}
	return sum
}
