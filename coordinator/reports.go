package coordinator

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"

	"porthub/loadreport"
	"porthub/policyapi"
)

// aggregate is what the gateways have reported since the module was last told.
type loadAggregate struct {
	endpoints map[endpointKey]*endpointSum
	proxies   map[proxyKey]*policyapi.ProxyLoad
}

type endpointKey struct {
	zone     policyapi.Zone
	endpoint policyapi.EndpointID
}

type proxyKey struct {
	proxy policyapi.ProxyID
	class policyapi.RequestClass
}

type endpointSum struct {
	attempts, failures int
	latencySum         float64 // sum over the done ones, microseconds
	period             micros
	metrics            policyapi.LoadMetrics
	metricsAnswers     int // tries of the report whose loads are kept
}

func (s *loadAggregate) reset() {
	s.endpoints, s.proxies = map[endpointKey]*endpointSum{}, map[proxyKey]*policyapi.ProxyLoad{}
}

// most bounds on what one report may claim; a gateway is one process.
const (
	maxReportInterval = 120 * second
	maxReportCount    = 10_000_000
)

// handleReport takes a report in: whole, or not at all.
func (c *Core) handleReport(r LoadReport) {
	g := c.sender(r.Gateway, r.Conn)
	if g == nil {
		return
	}
	if r.Sequence <= g.reportSequence {
		c.warn("report_repeated", g.name, "number %d came after %d: passed over", r.Sequence, g.reportSequence)
		return
	}
	if err := c.validateReport(r); err != nil {
		c.warn("report_bad", g.name, "%s: nothing of it is taken", err)
		return
	}
	first := g.reportSequence == 0
	g.reportSequence = r.Sequence
	if !g.joined {
		return
	}
	if period := c.settings.Start.Reports.Period; first && r.Interval > period {
		// The first report on a connection tells of the time without one as well. The module counts by its rounds: what
		// came in four seconds would look like four times the traffic.
		r = r.scaled(float64(period) / float64(r.Interval))
		r.Interval = period
	}
	lines, arrived := 0, 0
	for _, k := range r.Classes {
		lines, arrived = lines+len(k.Endpoints), arrived+k.Arrivals
	}
	verdict := c.sampler.Decide(c.now, string(g.name), lines, arrived, r.Interval)
	if verdict.TrustedFraction < 1 {
		c.warn("report_sudden", g.name, "%d reqs came to it in %.1f s by its word: %.3f of that is believed", arrived, float64(r.Interval)/float64(second),
			verdict.TrustedFraction)
		r = r.scaled(verdict.TrustedFraction)
	}
	for _, k := range r.Classes {
		kind := c.classes[k.Class]
		u := c.aggregate.proxies[proxyKey{g.proxy, kind}]
		if u == nil {
			u = &policyapi.ProxyLoad{Proxy: g.proxy, Class: kind}
			c.aggregate.proxies[proxyKey{g.proxy, kind}] = u
		}
		if len(g.demand) == 0 {
			g.demand = make([]float64, len(c.settings.Start.Classes))
		}
		g.demand[kind] += 0.5 * (float64(k.Arrivals)*float64(second)/float64(r.Interval) - g.demand[kind])
		u.Requests, u.Failures, u.Period = u.Requests+k.Arrivals, u.Failures+k.Failures, u.Period+r.Interval
		for _, e := range k.Endpoints {
			if _, known := c.endpoints.entries[e.Endpoint]; !known || e.Attempts == 0 {
				continue // its standing table may name what we were never told of
			}
			stands, taken := c.sampler.Sample(verdict, loadreport.EndpointLine{Endpoint: e.Endpoint, Attempts: e.Attempts, Failures: e.Failures})
			if !taken {
				continue
			}
			if util, told := e.Metrics[c.utilizationMetric]; told {
				c.sampler.AddMetrics(e.Endpoint, util, e.Metrics[c.queueMetric])
			}
			c.members.ReportTraffic(c.now, e.Endpoint, e.Attempts-e.Failures, e.Failures)
			if stands > 1 { // it stands for others that were not taken
				e.Attempts, e.Failures = int(math.Round(float64(e.Attempts)*stands)), int(math.Round(float64(e.Failures)*stands))
				e.InFlight = int(math.Round(float64(e.InFlight) * stands))
			}
			if c.solver != nil {
				c.solver.addLoad(g.zone, kind, e, r.Interval)
			}
			key := endpointKey{g.zone, e.Endpoint}
			h := c.aggregate.endpoints[key]
			if h == nil {
				h = &endpointSum{}
				c.aggregate.endpoints[key] = h
			}
			h.attempts, h.failures, h.period = h.attempts+e.Attempts, h.failures+e.Failures, max(h.period, r.Interval)
			h.latencySum += float64(e.Attempts-e.Failures) * float64(e.MeanLatency)
			if e.Metrics != nil && e.Attempts-e.Failures >= h.metricsAnswers { // of several, the one that more answers bear out
				h.metrics, h.metricsAnswers = e.Metrics, e.Attempts-e.Failures
			}
		}
	}
}

// scaled is a report of the part given of its counts, each rounded so that small ones don't vanish.
func (r LoadReport) scaled(part float64) LoadReport {
	scale := func(n int) int { return int(math.Ceil(float64(n) * part)) }
	kinds := r.Classes
	r.Classes = nil
	for _, k := range kinds {
		k.Arrivals, k.Rejected, k.Failures = scale(k.Arrivals), scale(k.Rejected), scale(k.Failures)
		endpoints := k.Endpoints
		k.Endpoints = nil
		for _, e := range endpoints {
			e.Attempts = scale(e.Attempts)
			e.Failures = min(e.Attempts, scale(e.Failures))
			k.Endpoints = append(k.Endpoints, e)
		}
		r.Classes = append(r.Classes, k)
	}
	return r
}

// awaitingGateways tells whether a start is so fresh that many gateways have not joined yet. Until then nodes' own figures
// are kept from the module: they tell of the load from all gateways and the counts only of those that have joined, so
// that every node would look slow, and levels come on by mistake.
func (c *Core) awaitingGateways() bool {
	if c.now-c.startedAt > gatewayArrivalTime {
		return false
	}
	joined := 0
	for _, g := range c.gateways {
		if g.joined && c.now-g.joinedAt >= c.settings.Start.Reports.Period {
			joined++
		}
	}
	return float64(joined) < gatewayArrivalShare*float64(c.settings.Start.ProxyCount)
}

const (
	gatewayArrivalTime  = 10 * second // a gateway dials again within two seconds; those that don't come are away
	gatewayArrivalShare = 0.95        // as the module has it for what may be away
)

// validateReport checks a report's figures.
func (c *Core) validateReport(r LoadReport) error {
	if r.Interval <= 0 || r.Interval > maxReportInterval {
		return fmt.Errorf("interval of %.1f s is not between 0 and 120 s", float64(r.Interval)/float64(second))
	}
	seen := map[string]bool{}
	for _, k := range r.Classes {
		if _, known := c.classes[k.Class]; !known || seen[k.Class] {
			return fmt.Errorf("cluster %q is no request kind or stands twice", k.Class)
		}
		seen[k.Class] = true
		for _, n := range []int{k.Arrivals, k.Rejected, k.Failures} {
			if n < 0 || n > maxReportCount {
				return fmt.Errorf("cluster %q counts %d reqs", k.Class, n)
			}
		}
		for _, e := range k.Endpoints {
			if e.Attempts < 0 || e.Attempts > maxReportCount || e.Failures < 0 || e.Failures > e.Attempts || e.MeanLatency < 0 || e.MeanLatency > maxReportInterval {
				return fmt.Errorf("cluster %q, %s: %d tries, %d errored, mean answer %d us", k.Class, e.Endpoint, e.Attempts,
					e.Failures, e.MeanLatency)
			}
			for name, v := range e.Metrics {
				if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 || v > 1e9 {
					return fmt.Errorf("cluster %q, %s: load %q is %v", k.Class, e.Endpoint, name, v)
				}
			}
		}
	}
	return nil
}

// flushReports tells the module what was reported since the last time, in one order whatever the order of the reports.
func (c *Core) flushReports() (events []policyapi.Event) {
	keys := slices.SortedFunc(maps.Keys(c.aggregate.endpoints), func(a, b endpointKey) int {
		return cmp.Or(cmp.Compare(a.zone, b.zone), cmp.Compare(a.endpoint, b.endpoint))
	})
	for _, name := range c.sampler.EndRound(c.now) {
		c.warn("stopped_reporting", Gateway(name), "its link stands, and it has not reported for five periods: its traffic is guessed from the others'")
	}
	c.degradationRound()
	gathering := c.awaitingGateways()
	if c.solver != nil {
		c.closeSolverRound(gathering)
	}
	for _, k := range keys {
		h := c.aggregate.endpoints[k]
		if gathering {
			h.metrics = nil
		}
		heard := policyapi.EndpointLoad{Zone: k.zone, Endpoint: k.endpoint, Attempts: h.attempts, Failures: h.failures, Period: h.period, Metrics: h.metrics}
		if done := h.attempts - h.failures; done > 0 {
			heard.MeanLatency = micros(h.latencySum / float64(done))
		}
		events = append(events, heard)
	}
	users := slices.SortedFunc(maps.Keys(c.aggregate.proxies), func(a, b proxyKey) int {
		return cmp.Or(cmp.Compare(a.proxy, b.proxy), cmp.Compare(a.class, b.class))
	})
	for _, k := range users {
		events = append(events, *c.aggregate.proxies[k])
	}
	c.aggregate.reset()
	if len(events) > 0 {
		c.reportDelivered = true
	} else if !c.reportDelivered {
		// Until the first report comes, an empty line about nobody says that nothing was to be heard. Without it the
		// module takes its first round for a gap of four periods, and every speed learned in it is a quarter of the true
		// one: on a calm start a tenth of all reqs was turned away for ten seconds.
		events = append(events, policyapi.ProxyLoad{Proxy: noProxy, Period: c.settings.Start.Reports.Period})
	}
	return events
}

// noProxy is a proxy that never joins.
const noProxy policyapi.ProxyID = -1

// rateLimitedWarning holds back complaints of one sort: one record a period says how many there were.
type rateLimitedWarning struct {
	count    int
	last     LogEntry
	loggedAt micros // of the last record
}

const warningInterval = 10 * second

// warn notes something that should not be: the first at once, then one record a period with how many there were.
func (c *Core) warn(event string, g Gateway, format string, args ...any) {
	n := c.warnings[event]
	if n == nil {
		n = &rateLimitedWarning{loggedAt: -warningInterval}
		c.warnings[event] = n
	}
	n.count++
	n.last = LogEntry{Level: LogWarn, Event: event, Text: fmt.Sprintf(format, args...), Gateway: g}
}

func (c *Core) flushWarnings() {
	for _, event := range slices.Sorted(maps.Keys(c.warnings)) {
		if n := c.warnings[event]; n.count > 0 && (c.now-n.loggedAt >= warningInterval || n.loggedAt < 0) {
			n.last.Count = n.count
			c.emit(n.last)
			n.count, n.loggedAt = 0, c.now
		}
	}
}
