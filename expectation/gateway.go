package expectation

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"porthub/coordinator"
	"porthub/policyapi"
	"porthub/routing"
)

// gateway is a simulated gateway.
type gateway struct {
	name   coordinator.Gateway
	zone   policyapi.Zone
	rates  []float64 // requests per second, by class
	link   gatewayLink
	tables gatewayTables
	totals []classTotals // by class, since the last report

	emptySince []policyapi.Microseconds // by class: when the table became empty although a warm endpoint is listed; 0: not the case
}

// gatewayLink is a gateway's connection to the coordinator.
type gatewayLink struct {
	conn           coordinator.ConnID
	connectedAt    policyapi.Microseconds
	disconnected   bool
	reportNumber   uint64
	published      routing.Snapshot // last published on this connection
	unacknowledged []sentMessage
	sentAt         []policyapi.Microseconds // times of all messages
}

// sentMessage is a publication that has not been acknowledged yet.
type sentMessage struct {
	version string
	lines   float64
}

// gatewayTables are the tables that a gateway has applied.
type gatewayTables struct {
	snapshot   routing.Snapshot
	appliedAt  policyapi.Microseconds
	open       [][]weightedEndpoint // by class: endpoints that get requests
	zoneCounts []int                // by class: number of zones with open endpoints
}

type weightedEndpoint struct {
	endpoint int // index in simulation.endpoints
	weight   float64
}

// classTotals are a gateway's counts for its next report.
type classTotals struct {
	arrived  float64
	rejected float64
	failures float64
	attempts map[int]*attemptTotals // by the index of the endpoint
}

type attemptTotals struct {
	attempts float64
	failures float64
}

func newGateway(index int, zone policyapi.Zone, classes int) *gateway {
	g := &gateway{
		name:       coordinator.Gateway(fmt.Sprintf("gw-%d", index)),
		zone:       zone,
		totals:     make([]classTotals, classes),
		emptySince: make([]policyapi.Microseconds, classes),
		tables: gatewayTables{
			open:       make([][]weightedEndpoint, classes),
			zoneCounts: make([]int, classes),
		},
	}
	for i := range g.totals {
		g.totals[i].attempts = map[int]*attemptTotals{}
	}
	return g
}

// connect opens a new connection for a gateway and announces the gateway to the core.
func (s *simulation) connect(g *gateway) {
	s.network.lastConn++
	g.link = gatewayLink{
		conn:           s.network.lastConn,
		connectedAt:    s.now,
		unacknowledged: g.link.unacknowledged,
		sentAt:         g.link.sentAt,
	}
	rate := 0.0
	for _, r := range g.rates {
		rate += r
	}
	s.inputs = append(s.inputs, coordinator.GatewayConnected{
		Gateway:             g.name,
		Conn:                g.link.conn,
		Zone:                g.zone,
		HasDefaultTableOnly: len(g.tables.snapshot.Clusters) == 0,
		Weight:              rate,
	})
}

// applyTables applies a snapshot to a gateway's tables.
func (s *simulation) applyTables(g *gateway, snapshot routing.Snapshot) {
	if s.alterTables != nil {
		snapshot.Clusters = slices.Clone(snapshot.Clusters)
		snapshot.Routes = slices.Clone(snapshot.Routes)
		s.alterTables(&snapshot)
	}
	g.tables.snapshot = snapshot
	g.tables.appliedAt = s.now
	for class, cluster := range snapshot.Clusters {
		g.tables.open[class], g.tables.zoneCounts[class] = s.openEndpoints(cluster, g.tables.open[class][:0])
	}
}

// openEndpoints appends the endpoints of a cluster that get requests to open, and returns the result with the number of their
// zones. The endpoints of a cluster are sorted by zone.
func (s *simulation) openEndpoints(cluster routing.Cluster, open []weightedEndpoint) ([]weightedEndpoint, int) {
	zones := 0
	var lastZone policyapi.Zone
	for _, e := range cluster.Endpoints {
		i, ok := s.endpointIndex[e.Endpoint]
		if !ok || e.Withheld || !(e.Weight > 0) {
			continue
		}
		open = append(open, weightedEndpoint{endpoint: i, weight: e.Weight})
		if e.Zone != lastZone {
			lastZone = e.Zone
			zones++
		}
	}
	return open, zones
}

// report sends the load reports that are due. Each gateway reports once per period, and the gateways' reports are spread over
// the period.
func (s *simulation) report() {
	ticksPerPeriod := max(1, int(s.settings.Start.Reports.Period/tick))
	tickNumber := int((s.now - startTime) / tick)
	for i, g := range s.gateways {
		if !g.link.disconnected && (tickNumber+i)%ticksPerPeriod == 0 && s.now != startTime {
			s.inputs = append(s.inputs, s.loadReport(g))
		}
	}
}

// loadReport returns a gateway's load report and resets its counts.
func (s *simulation) loadReport(g *gateway) coordinator.LoadReport {
	g.link.reportNumber++
	report := coordinator.LoadReport{
		Gateway:  g.name,
		Conn:     g.link.conn,
		Sequence: g.link.reportNumber,
		Interval: s.settings.Start.Reports.Period,
	}
	for class, settings := range s.settings.Start.Classes {
		totals := &g.totals[class]
		classReport := coordinator.ClassReport{
			Class:    settings.Name,
			Arrivals: int(math.Round(totals.arrived)),
			Rejected: int(math.Round(totals.rejected)),
			Failures: int(math.Round(totals.failures)),
		}
		for _, i := range slices.Sorted(maps.Keys(totals.attempts)) {
			classReport.Endpoints = append(classReport.Endpoints, s.endpoints[i].report(totals.attempts[i]))
		}
		report.Classes = append(report.Classes, classReport)
		clear(totals.attempts)
		*totals = classTotals{attempts: totals.attempts}
	}
	return report
}

// Parameters of the metrics that are reported for an endpoint. The mean latency is idleLatency divided by the free capacity.
const (
	attemptRounding  = 1e-9    // rounding error that is ignored when a sum of fractional attempts is rounded up
	idleLatency      = 160_000 // in microseconds, at a free capacity of 1
	fullCapacity     = 1.1     // the free capacity is this minus the utilization ...
	minFreeCapacity  = 0.2     // ... but at least this
	queueAtOverload  = 10      // queue length at twice the capacity
	utilizationLimit = 1       // highest reported utilization
)

func (e *endpoint) report(totals *attemptTotals) coordinator.EndpointReport {
	attempts := int(math.Ceil(totals.attempts - attemptRounding))
	busy := min(utilizationLimit, e.traffic.utilization)
	return coordinator.EndpointReport{
		Endpoint:    e.name,
		Attempts:    attempts,
		Failures:    min(attempts, int(math.Round(totals.failures))),
		MeanLatency: policyapi.Microseconds(idleLatency / max(minFreeCapacity, fullCapacity-busy)),
		Metrics:     policyapi.LoadMetrics{"busy": busy, "q": max(0, queueAtOverload*(e.traffic.utilization-1))},
	}
}
