package coordinator

import (
	"math"

	"porthub/loadreport"
	"porthub/policyapi"
)

// reportState is the state for validating, sampling and summing load reports before they are passed to the decision module.
type reportState struct {
	aggregate loadAggregate
	sampler   *loadreport.Sampler
	// The names of the metrics in which endpoints report their utilization, a fraction of busy time, and the number of their
	// queued requests; empty if they report none.
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

// handleReport applies a load report, or rejects it as a whole.
func (c *Core) handleReport(r LoadReport) {
	g := c.sender(r.Gateway, r.Conn)
	if g == nil {
		return
	}
	if r.Sequence <= g.reportSequence {
		c.warn(eventReportDuplicate, g.name, "report %d ignored: it arrived after report %d", r.Sequence, g.reportSequence)
		return
	}
	if err := c.validateReport(r); err != nil {
		c.warn(eventReportInvalid, g.name, "report rejected: %s", err)
		return
	}
	first := g.reportSequence == 0
	g.reportSequence = r.Sequence
	if !g.joined {
		return
	}
	if period := c.settings.Start.Reports.Period; first && r.Interval > period {
		// The first report on a connection also covers the time before it. The decision module counts requests by its own
		// rounds, so the requests of four seconds would look like four times the traffic.
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

// decideSampling returns the sampler's decision on how much of a report is used.
func (c *Core) decideSampling(g *gateway, r LoadReport) loadreport.SamplingDecision {
	lines := 0
	arrivals := 0
	for _, class := range r.Classes {
		lines += len(class.Endpoints)
		arrivals += class.Arrivals
	}
	decision := c.reports.sampler.Decide(c.now, string(g.name), lines, arrivals, r.Interval)
	if decision.TrustedFraction < 1 {
		c.warn(eventReportImplausible, g.name, "implausible count of %d requests in %.1f s: the counts of the report are multiplied by %.3f", arrivals, seconds(r.Interval), decision.TrustedFraction)
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
			continue // a gateway's default table may name endpoints that are in no list
		}
		weight, accepted := c.reports.sampler.Sample(decision, loadreport.EndpointLine{Endpoint: line.Endpoint, Attempts: line.Attempts, Failures: line.Failures})
		if accepted {
			c.addEndpointReport(g.zone, class, line, interval, weight)
		}
	}
}

// addEndpointReport adds a line about an endpoint to the sums of this round. Its weight makes up for lines that were not sampled.
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

// scaled returns a report with its counts multiplied by a fraction and rounded up, so that small counts do not become 0.
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

// After a start, the core waits for gateways until gatewayArrivalShare of them report, and for gatewayArrivalTime at most: a
// gateway connects again within two seconds unless it is down. The decision module considers a fleet complete by the same share.
const (
	gatewayArrivalTime  = 10 * second
	gatewayArrivalShare = 0.95
)

// awaitingGateways reports whether, soon after a start, many gateways have yet to connect. Until they have, endpoints' own metrics
// are withheld from the decision module: the metrics include the load from all gateways while the counts cover only the connected
// ones, so every endpoint would look slow, and levels of service would be entered by mistake.
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

// noProxy is the ID of a proxy that does not exist.
const noProxy policyapi.ProxyID = -1

// flushReports ends a round of reports: it returns the sums of the round as events for the decision module, and ends the round
// of the sampler, the levels of service and the solver.
func (c *Core) flushReports() []policyapi.Event {
	for _, name := range c.reports.sampler.EndRound(c.now) {
		c.warn(eventReportsStopped, Gateway(name), "connected without a report for five periods: its traffic is estimated from that of other gateways")
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
	// Until the first report, an empty load of noProxy indicates to the module that there was nothing to report. Without it, the
	// module treats its first round as a gap of four periods and learns a quarter of each endpoint's true speed: after a start
	// under low load, a tenth of all requests was rejected for ten seconds.
	return []policyapi.Event{policyapi.ProxyLoad{Proxy: noProxy, Period: c.settings.Start.Reports.Period}}
}
