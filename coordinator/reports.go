package coordinator

import (
	"math"

	"porthub/loadreport"
	"porthub/policyapi"
)

// reportState is what load reports go through on their way to the decision module.
type reportState struct {
	aggregate loadAggregate
	sampler   *loadreport.Sampler
	// The metrics by which endpoints state their utilization, a share of busy time, and the requests that wait there;
	// empty: they state none.
	utilizationMetric, queueMetric string
	delivered                      bool // the decision module has got a report
}

func newReportState(settings Settings) reportState {
	return reportState{
		aggregate: newLoadAggregate(),
		sampler: loadreport.New(loadreport.Settings{
			MaxLinesPerSecond: settings.MaxReportLines,
			Period:            settings.Start.Reports.Period,
			Seed:              settings.Start.Seed,
		}),
		utilizationMetric: metricName(settings.Start, 0),
		queueMetric:       metricName(settings.Start, 1),
	}
}

// demandSmoothing is the part of a new measurement in a gateway's demand.
const demandSmoothing = 0.5

// handleReport applies a load report: completely, or not at all.
func (c *Core) handleReport(r LoadReport) {
	g := c.sender(r.Gateway, r.Conn)
	if g == nil {
		return
	}
	if r.Sequence <= g.reportSequence {
		c.warn(eventReportDuplicate, g.name, "number %d came after %d: ignored", r.Sequence, g.reportSequence)
		return
	}
	if err := c.validateReport(r); err != nil {
		c.warn(eventReportInvalid, g.name, "%s: the report is rejected", err)
		return
	}
	first := g.reportSequence == 0
	g.reportSequence = r.Sequence
	if !g.joined {
		return
	}
	if period := c.settings.Start.Reports.Period; first && r.Interval > period {
		// The first report on a connection covers the time without one as well. The decision module counts by its rounds:
		// what came in four seconds would look like four times the traffic.
		r = r.scaled(float64(period) / float64(r.Interval))
		r.Interval = period
	}
	decision := c.decideSampling(g, r)
	if decision.TrustedFraction < 1 {
		r = r.scaled(decision.TrustedFraction)
	}
	for _, class := range r.Classes {
		c.addClassReport(g, class, r.Interval, decision)
	}
}

// decideSampling has the sampler decide how much of a report is used.
func (c *Core) decideSampling(g *gateway, r LoadReport) loadreport.SamplingDecision {
	lines := 0
	arrivals := 0
	for _, class := range r.Classes {
		lines += len(class.Endpoints)
		arrivals += class.Arrivals
	}
	decision := c.reports.sampler.Decide(c.now, string(g.name), lines, arrivals, r.Interval)
	if decision.TrustedFraction < 1 {
		c.warn(eventReportImplausible, g.name, "it states %d requests in %.1f s: %.3f of that is used", arrivals, seconds(r.Interval), decision.TrustedFraction)
	}
	return decision
}

// addClassReport adds a report's part for one class to the sums of this round.
func (c *Core) addClassReport(g *gateway, r ClassReport, interval microseconds, decision loadreport.SamplingDecision) {
	class, _ := c.classNamed(r.Class)
	if len(g.demand) == 0 {
		g.demand = make([]float64, len(c.settings.Start.Classes))
	}
	g.demand[class] += demandSmoothing * (float64(r.Arrivals)*float64(second)/float64(interval) - g.demand[class])
	c.reports.aggregate.addRequests(g.proxy, class, r, interval)
	for _, line := range r.Endpoints {
		if _, ok := c.endpoints.entries[line.Endpoint]; !ok || line.Attempts == 0 {
			continue // a gateway's default table may name endpoints that no list has
		}
		weight, taken := c.reports.sampler.Sample(decision, loadreport.EndpointLine{Endpoint: line.Endpoint, Attempts: line.Attempts, Failures: line.Failures})
		if taken {
			c.addEndpointReport(g.zone, class, line, interval, weight)
		}
	}
}

// addEndpointReport adds a line about an endpoint to the sums of this round, weighted for the lines that were not sampled.
func (c *Core) addEndpointReport(zone policyapi.Zone, class policyapi.RequestClass, line EndpointReport, interval microseconds, weight float64) {
	if utilization, stated := line.Metrics[c.reports.utilizationMetric]; stated {
		c.reports.sampler.AddMetrics(line.Endpoint, utilization, line.Metrics[c.reports.queueMetric])
	}
	c.membership.ReportTraffic(c.now, line.Endpoint, line.Attempts-line.Failures, line.Failures)
	if weight > 1 {
		line.Attempts = weighted(line.Attempts, weight)
		line.Failures = weighted(line.Failures, weight)
		line.InFlight = weighted(line.InFlight, weight)
	}
	if c.solver != nil {
		c.solver.addLoad(zone, class, line, interval)
	}
	c.reports.aggregate.addAttempts(zone, line, interval)
}

func weighted(count int, weight float64) int {
	return int(math.Round(float64(count) * weight))
}

// scaled is a report with a part of its counts, each rounded up so that small ones don't vanish.
func (r LoadReport) scaled(part float64) LoadReport {
	scale := func(n int) int { return int(math.Ceil(float64(n) * part)) }
	var classes []ClassReport
	for _, class := range r.Classes {
		class.Arrivals = scale(class.Arrivals)
		class.Rejected = scale(class.Rejected)
		class.Failures = scale(class.Failures)
		var endpoints []EndpointReport
		for _, line := range class.Endpoints {
			line.Attempts = scale(line.Attempts)
			line.Failures = min(line.Attempts, scale(line.Failures))
			endpoints = append(endpoints, line)
		}
		class.Endpoints = endpoints
		classes = append(classes, class)
	}
	r.Classes = classes
	return r
}

// A core has started so recently that many gateways may not have connected yet for gatewayArrivalTime (a gateway connects
// again within two seconds; those that don't are disconnected), or until gatewayArrivalShare of them have, the share by
// which the decision module takes a fleet for complete.
const (
	gatewayArrivalTime  = 10 * second
	gatewayArrivalShare = 0.95
)

// awaitingGateways tells whether many gateways have still to connect. Until then endpoints' own metrics are kept from the
// decision module: they show the load from all gateways while the counts are only of those connected, so every endpoint
// would look slow, and levels of service would be entered by mistake.
func (c *Core) awaitingGateways() bool {
	if c.now-c.startedAt > gatewayArrivalTime {
		return false
	}
	reporting := 0
	for _, g := range c.gateways.inOrder {
		if g.joined && c.now-g.joinedAt >= c.settings.Start.Reports.Period {
			reporting++
		}
	}
	return float64(reporting) < gatewayArrivalShare*float64(c.settings.Start.ProxyCount)
}

// noProxy is a proxy that never connects.
const noProxy policyapi.ProxyID = -1

// flushReports ends a round of reports: it returns what was reported since the last one, for the decision module, and closes
// the rounds of the sampler, the levels of service and the solver.
func (c *Core) flushReports() []policyapi.Event {
	for _, name := range c.reports.sampler.EndRound(c.now) {
		c.warn(eventReportsStopped, Gateway(name), "it is connected and has not reported for five periods: its traffic is estimated from the others'")
	}
	c.degradationRound()
	awaiting := c.awaitingGateways()
	if c.solver != nil {
		c.closeSolverRound(awaiting)
	}
	events := c.reports.aggregate.events(!awaiting)
	c.reports.aggregate = newLoadAggregate()
	if len(events) > 0 {
		c.reports.delivered = true
		return events
	}
	if c.reports.delivered {
		return nil
	}
	// Until the first report, an empty load of no proxy says that there was nothing to report. Without it the module takes its
	// first round for a gap of four periods, and every speed learned in it is a quarter of the true one: on a calm start a
	// tenth of all requests was rejected for ten seconds.
	return []policyapi.Event{policyapi.ProxyLoad{Proxy: noProxy, Period: c.settings.Start.Reports.Period}}
}
