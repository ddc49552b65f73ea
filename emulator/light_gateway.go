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

// LightClass is a request class of a lightweight gateway.
type LightClass struct {
	Name       string
	Rate       float64 // arriving requests per second
	Idempotent bool
}

// LightGatewayOptions configure a lightweight gateway.
type LightGatewayOptions struct {
	Name, Zone   string
	Classes      []LightClass
	Endpoints    map[string]*LightEndpoint
	Coordinator  func() string // returns the coordinator's address; empty: none
	ReportPeriod time.Duration
	Tally        *LightTally
	// Corrupt changes each table before it is used, to check that the audit detects the violation. It may be nil.
	Corrupt func(*routing.Snapshot)
	// OnTable is called with each table when it is put to use.
	OnTable func(routing.Snapshot)
}

// LightTally sums up the outcomes of all lightweight gateways of a run. It is safe for concurrent use.
type LightTally struct {
	Attempts, Failures, Rejected atomic.Int64 // attempts at endpoints, failed attempts, and requests that were not admitted
	Reports                      atomic.Int64 // load reports that were accepted
	Deferred                     atomic.Int64 // load reports that were rejected
	LateResponses                atomic.Int64 // responses that arrived more than a report period after their report
	Throttled                    atomic.Int64 // accepted reports for which the coordinator had requested a longer interval
	Disconnects                  atomic.Int64

	responseTimes *Tally
}

// NewLightTally returns an empty tally.
func NewLightTally() *LightTally { return &LightTally{responseTimes: NewTally()} }

// ResponseTimes returns the tally of the times from sending a report to its response.
func (t *LightTally) ResponseTimes() *Tally { return t.responseTimes }

// LightGateway polls for its tables each period, acknowledges them and reports its load. It does not send requests, but
// counts them at lightweight endpoints.
type LightGateway struct {
	LightGatewayOptions
	world *World

	reportingStopped atomic.Bool
	connected        atomic.Bool
	reported         atomic.Bool

	// Only the goroutine of Run uses the fields below.
	rng         *rand.Rand
	table       routing.Snapshot
	versions    [routing.DocumentCount]string
	traffic     []lightTraffic // by class
	sentUntil   time.Duration  // time up to which requests have been counted
	lastContact time.Duration  // time of the coordinator's last response
	reports     lightReports
}

// lightTraffic holds a gateway's counts of a class for its next report.
type lightTraffic struct {
	arrived, rejected, failed int
	endpoints                 map[string]*xds.EndpointReport
	fraction                  float64 // remainder of the arrivals, below one request
}

// lightReports tracks the load reports of a gateway.
type lightReports struct {
	since  time.Duration // start of the next report's interval
	number uint64        // number of the last report
}

// NewLightGateway returns a gateway with a table of the initial endpoints. Run runs it.
func NewLightGateway(w *World, o LightGatewayOptions, initial []ListEntry) *LightGateway {
	g := &LightGateway{LightGatewayOptions: o, world: w, rng: w.Rand("light " + o.Name)}
	var classes []string
	for _, class := range o.Classes {
		classes = append(classes, class.Name)
		g.traffic = append(g.traffic, lightTraffic{endpoints: map[string]*xds.EndpointReport{}, fraction: g.rng.Float64()})
	}
	g.table = uniformTable(classes, initial)
	now := w.Now()
	w.Log.TableApplied(now, now, o.Name, "", g.table)
	g.sentUntil = now
	g.reports.since = now
	return g
}

// StopReporting stops the load reports. The gateway stays connected.
func (g *LightGateway) StopReporting() { g.reportingStopped.Store(true) }

// Connected reports whether the gateway is connected to the coordinator.
func (g *LightGateway) Connected() bool { return g.connected.Load() }

// Reported reports whether the coordinator has accepted a load report of the gateway.
func (g *LightGateway) Reported() bool { return g.reported.Load() }

// Run runs the gateway until the context ends. It reconnects with a randomized exponential backoff.
func (g *LightGateway) Run(ctx context.Context) {
	const (
		minBackoff      = 100 * time.Millisecond
		maxBackoff      = 2 * time.Second
		stableAfter     = 2 * time.Second // a connection that lasts longer resets the backoff
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

// send counts the requests since the last call, by the table that was in use during that time.
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

// admit returns how many of the requests that arrived within the elapsed seconds the route admits.
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

// distribute sends requests of a class to the endpoints in proportion to their weights. A random start position decides
// which endpoints get the requests that remain after rounding down.
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
	failed := attempts // all attempts at an unknown endpoint fail
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

// totalRate returns the arriving requests per second of all classes.
func (g *LightGateway) totalRate() float64 {
	sum := 0.0
	for _, class := range g.Classes {
		sum += class.Rate
	}
	return sum
}
