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
	rates  []float64 // requests a second, by class
	link   gatewayLink
	tables gatewayTables
	totals []classTotals // by class, since the last report

	emptySince []policyapi.Microseconds // by class: since when its table is empty while it must not be; 0: it is not
}

// gatewayLink is a gateway's connection to the coordinator.
type gatewayLink struct {
	conn           coordinator.ConnID
	connectedAt    policyapi.Microseconds
	disconnected   bool
	reportNumber   uint64
	published      routing.Snapshot // the last on this connection
	unacknowledged []sentMessage
	sentAt         []policyapi.Microseconds // of all messages
}

// sentMessage is a publication that is not acknowledged yet.
type sentMessage struct {
	version string
	lines   float64
}

// gatewayTables are the tables that a gateway applies.
type gatewayTables struct {
	snapshot   routing.Snapshot
	appliedAt  policyapi.Microseconds
	open       [][]weightedEndpoint // by class: the endpoints to which it sends
	zoneCounts []int                // by class: zones with open endpoints
}

type weightedEndpoint struct {
	endpoint int // index
	weight   float64
}

// classTotals are a gateway's counts for its next report.
type classTotals struct {
	arrived  float64
	rejected float64
	failures float64
	attempts map[int]*attemptTotals // by endpoint
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

// connect opens a gateway's connection anew.
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

// applyTables makes a gateway use a snapshot.
func (s *simulation) applyTables(g *gateway, snapshot routing.Snapshot) {
	if s.tamper != nil {
		snapshot.Clusters = slices.Clone(snapshot.Clusters)
		snapshot.Routes = slices.Clone(snapshot.Routes)
		s.tamper(&snapshot)
	}
	g.tables.snapshot = snapshot
	g.tables.appliedAt = s.now
	for class, cluster := range snapshot.Clusters {
		g.tables.open[class], g.tables.zoneCounts[class] = s.openEndpoints(cluster, g.tables.open[class][:0])
	}
}

// openEndpoints appends the endpoints of a cluster that take requests, and counts their zones; clusters are sorted by
// zone.
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

// report sends the load reports that are due: each gateway reports once a period, spread over it.
func (s *simulation) report() {
	ticksPerPeriod := max(1, int(s.settings.Start.Reports.Period/tick))
	tickNumber := int((s.now - startTime) / tick)
	for i, g := range s.gateways {
		if !g.link.disconnected && (tickNumber+i)%ticksPerPeriod == 0 && s.now != startTime {
			s.inputs = append(s.inputs, s.loadReport(g))
		}
	}
}

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
		one := coordinator.ClassReport{
			Class:    settings.Name,
			Arrivals: int(math.Round(totals.arrived)),
			Rejected: int(math.Round(totals.rejected)),
			Failures: int(math.Round(totals.failures)),
		}
		for _, i := range slices.Sorted(maps.Keys(totals.attempts)) {
			one.Endpoints = append(one.Endpoints, s.endpoints[i].report(totals.attempts[i]))
		}
		report.Classes = append(report.Classes, one)
		clear(totals.attempts)
		*totals = classTotals{attempts: totals.attempts}
	}
	return report
}

// How an endpoint's metrics follow from its utilization.
const (
	attemptRounding  = 1e-9    // sums of fractions of an attempt are rounded up, but for this error
	idleLatency      = 160_000 // microseconds, divided by the free capacity
	fullCapacity     = 1.1     // of which the free capacity is left ...
	minFreeCapacity  = 0.2     // ... this at least
	queueAtOverload  = 10      // queue length at twice the capacity
	utilizationLimit = 1
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
