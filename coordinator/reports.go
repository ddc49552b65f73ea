package coordinator

import (
	"math"

	"porthub/loadreport"
	"porthub/policyapi"
)

// reportState validates, samples and sums load reports before they go to the decision module.
type reportState struct {
	aggregate loadAggregate
	sampler   *loadreport.Sampler
	// The names of the metrics in which endpoints report their utilization, a fraction of busy time, and their queued
	// requests; empty: they report none.
	utilizationMetric, queueMetric string
	delivered                      bool // the decision module has received a report
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

// demandSmoothing is the weight of a new measurement in a gateway's smoothed demand, 0 to 1.
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
		// The first report on a connection also covers the time without one. The decision module counts by its rounds: the
		// requests of four seconds would look like four times the traffic.
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

// decideSampling lets the sampler decide how much of a report is used.
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

// scaled returns a report with its counts multiplied by a fraction, each rounded up so that small ones don't vanish.
func (r LoadReport) scaled(fraction float64) LoadReport {
	scale := func(n int) int { return int(math.Ceil(float64(n) * fraction)) }
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

// After a start, gateways are awaited for gatewayArrivalTime (a gateway connects again within two seconds; those that don't are
// disconnected), or until gatewayArrivalShare of them report. The decision module considers a fleet complete by the same share.
const (
	gatewayArrivalTime  = 10 * second
	gatewayArrivalShare = 0.95
)

// awaitingGateways reports whether many gateways have yet to connect. Until they have, endpoints' own metrics are withheld from
// the decision module: they show the load from all gateways while the counts cover only those connected, so every endpoint
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

// flushReports ends a round of reports: it returns the sums since the last one as events for the decision module, and closes
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
	// Until the first report, an empty load of no proxy shows the module that there was nothing to report. Without it the module
	// takes its first round for a gap of four periods and learns a quarter of each true speed from it: at a start under low load
	// a tenth of all requests was rejected for ten seconds.
	return []policyapi.Event{policyapi.ProxyLoad{Proxy: noProxy, Period: c.settings.Start.Reports.Period}}
}
