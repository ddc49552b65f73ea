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

// sums is what the gateways have reported since the module was last told.
type sums struct {
	heard map[heardKey]*heardSum
	usage map[usageKey]*policyapi.ProxyLoad
}

type heardKey struct {
	zone    policyapi.Zone
	backend policyapi.EndpointID
}

type usageKey struct {
	proxy policyapi.ProxyID
	kind  policyapi.RequestClass
}

type heardSum struct {
	tries, errored int
	answer         float64 // sum over the done ones, microseconds
	period         micros
	loads          policyapi.LoadMetrics
	loadsOf        int // tries of the report whose loads are kept
}

func (s *sums) reset() {
	s.heard, s.usage = map[heardKey]*heardSum{}, map[usageKey]*policyapi.ProxyLoad{}
}

// most bounds on what one report may claim; a gateway is one process.
const (
	mostInterval = 120 * second
	mostReqs     = 10_000_000
)

// report takes a report in: whole, or not at all.
func (c *Core) report(r LoadReport) {
	g := c.speaker(r.Gateway, r.Conn)
	if g == nil {
		return
	}
	if r.Sequence <= g.seq {
		c.complain("report_repeated", g.name, "number %d came after %d: passed over", r.Sequence, g.seq)
		return
	}
	if err := c.sound(r); err != nil {
		c.complain("report_bad", g.name, "%s: nothing of it is taken", err)
		return
	}
	first := g.seq == 0
	g.seq = r.Sequence
	if !g.joined {
		return
	}
	if period := c.set.Start.Reports.Period; first && r.Interval > period {
		// The first report on a connection tells of the time without one as well. The module counts by its rounds: what
		// came in four seconds would look like four times the traffic.
		r = r.scaled(float64(period) / float64(r.Interval))
		r.Interval = period
	}
	lines, arrived := 0, 0
	for _, k := range r.Classes {
		lines, arrived = lines+len(k.Endpoints), arrived+k.Arrivals
	}
	verdict := c.intake.Decide(c.now, string(g.name), lines, arrived, r.Interval)
	if verdict.TrustedFraction < 1 {
		c.complain("report_sudden", g.name, "%d reqs came to it in %.1f s by its word: %.3f of that is believed", arrived, float64(r.Interval)/float64(second),
			verdict.TrustedFraction)
		r = r.scaled(verdict.TrustedFraction)
	}
	for _, k := range r.Classes {
		kind := c.kinds[k.Class]
		u := c.sums.usage[usageKey{g.proxy, kind}]
		if u == nil {
			u = &policyapi.ProxyLoad{Proxy: g.proxy, Class: kind}
			c.sums.usage[usageKey{g.proxy, kind}] = u
		}
		if len(g.usage) == 0 {
			g.usage = make([]float64, len(c.set.Start.Classes))
		}
		g.usage[kind] += 0.5 * (float64(k.Arrivals)*float64(second)/float64(r.Interval) - g.usage[kind])
		u.Requests, u.Failures, u.Period = u.Requests+k.Arrivals, u.Failures+k.Failures, u.Period+r.Interval
		for _, e := range k.Endpoints {
			if _, known := c.list.entries[e.Endpoint]; !known || e.Attempts == 0 {
				continue // its standing table may name what we were never told of
			}
			stands, taken := c.intake.Sample(verdict, loadreport.EndpointLine{Endpoint: e.Endpoint, Attempts: e.Attempts, Failures: e.Failures})
			if !taken {
				continue
			}
			if util, told := e.Metrics[c.busy]; told {
				c.intake.AddMetrics(e.Endpoint, util, e.Metrics[c.queued])
			}
			c.members.ReportTraffic(c.now, e.Endpoint, e.Attempts-e.Failures, e.Failures)
			if stands > 1 { // it stands for others that were not taken
				e.Attempts, e.Failures = int(math.Round(float64(e.Attempts)*stands)), int(math.Round(float64(e.Failures)*stands))
				e.InFlight = int(math.Round(float64(e.InFlight) * stands))
			}
			if c.solving != nil {
				c.solving.hear(g.zone, kind, e, r.Interval)
			}
			key := heardKey{g.zone, e.Endpoint}
			h := c.sums.heard[key]
			if h == nil {
				h = &heardSum{}
				c.sums.heard[key] = h
			}
			h.tries, h.errored, h.period = h.tries+e.Attempts, h.errored+e.Failures, max(h.period, r.Interval)
			h.answer += float64(e.Attempts-e.Failures) * float64(e.MeanLatency)
			if e.Metrics != nil && e.Attempts-e.Failures >= h.loadsOf { // of several, the one that more answers bear out
				h.loads, h.loadsOf = e.Metrics, e.Attempts-e.Failures
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

// gathering tells whether a start is so fresh that many gateways have not joined yet. Until then nodes' own figures
// are kept from the module: they tell of the load from all gateways and the counts only of those that have joined, so
// that every node would look slow, and levels come on by mistake.
func (c *Core) gathering() bool {
	if c.now-c.began > gatherFor {
		return false
	}
	joined := 0
	for _, g := range c.gateways {
		if g.joined && c.now-g.joinedAt >= c.set.Start.Reports.Period {
			joined++
		}
	}
	return float64(joined) < gathered*float64(c.set.Start.ProxyCount)
}

const (
	gatherFor = 10 * second // a gateway dials again within two seconds; those that don't come are away
	gathered  = 0.95        // as the module has it for what may be away
)

// sound checks a report's figures.
func (c *Core) sound(r LoadReport) error {
	if r.Interval <= 0 || r.Interval > mostInterval {
		return fmt.Errorf("interval of %.1f s is not between 0 and 120 s", float64(r.Interval)/float64(second))
	}
	seen := map[string]bool{}
	for _, k := range r.Classes {
		if _, known := c.kinds[k.Class]; !known || seen[k.Class] {
			return fmt.Errorf("cluster %q is no request kind or stands twice", k.Class)
		}
		seen[k.Class] = true
		for _, n := range []int{k.Arrivals, k.Rejected, k.Failures} {
			if n < 0 || n > mostReqs {
				return fmt.Errorf("cluster %q counts %d reqs", k.Class, n)
			}
		}
		for _, e := range k.Endpoints {
			if e.Attempts < 0 || e.Attempts > mostReqs || e.Failures < 0 || e.Failures > e.Attempts || e.MeanLatency < 0 || e.MeanLatency > mostInterval {
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

// flush tells the module what was reported since the last time, in one order whatever the order of the reports.
func (c *Core) flush() (events []policyapi.Event) {
	keys := slices.SortedFunc(maps.Keys(c.sums.heard), func(a, b heardKey) int {
		return cmp.Or(cmp.Compare(a.zone, b.zone), cmp.Compare(a.backend, b.backend))
	})
	for _, name := range c.intake.EndRound(c.now) {
		c.complain("stopped_reporting", Gateway(name), "its link stands, and it has not reported for five periods: its traffic is guessed from the others'")
	}
	c.levelRound()
	gathering := c.gathering()
	if c.solving != nil {
		c.closeRound(gathering)
	}
	for _, k := range keys {
		h := c.sums.heard[k]
		if gathering {
			h.loads = nil
		}
		heard := policyapi.EndpointLoad{Zone: k.zone, Endpoint: k.backend, Attempts: h.tries, Failures: h.errored, Period: h.period, Metrics: h.loads}
		if done := h.tries - h.errored; done > 0 {
			heard.MeanLatency = micros(h.answer / float64(done))
		}
		events = append(events, heard)
	}
	users := slices.SortedFunc(maps.Keys(c.sums.usage), func(a, b usageKey) int {
		return cmp.Or(cmp.Compare(a.proxy, b.proxy), cmp.Compare(a.kind, b.kind))
	})
	for _, k := range users {
		events = append(events, *c.sums.usage[k])
	}
	c.sums.reset()
	if len(events) > 0 {
		c.reported = true
	} else if !c.reported {
		// Until the first report comes, an empty line about nobody says that nothing was to be heard. Without it the
		// module takes its first round for a gap of four periods, and every speed learned in it is a quarter of the true
		// one: on a calm start a tenth of all reqs was turned away for ten seconds.
		events = append(events, policyapi.ProxyLoad{Proxy: nobody, Period: c.set.Start.Reports.Period})
	}
	return events
}

// nobody is a proxy that never joins.
const nobody policyapi.ProxyID = -1

// count holds back complaints of one sort: one record a period says how many there were.
type count struct {
	n    int
	last LogEntry
	at   micros // of the last record
}

const complainEvery = 10 * second

// complain notes something that should not be: the first at once, then one record a period with how many there were.
func (c *Core) complain(event string, g Gateway, format string, args ...any) {
	n := c.counts[event]
	if n == nil {
		n = &count{at: -complainEvery}
		c.counts[event] = n
	}
	n.n++
	n.last = LogEntry{Level: LogWarn, Event: event, Text: fmt.Sprintf(format, args...), Gateway: g}
}

func (c *Core) tellCounts() {
	for _, event := range slices.Sorted(maps.Keys(c.counts)) {
		if n := c.counts[event]; n.n > 0 && (c.now-n.at >= complainEvery || n.at < 0) {
			n.last.Count = n.n
			c.out(n.last)
			n.n, n.at = 0, c.now
		}
	}
}
