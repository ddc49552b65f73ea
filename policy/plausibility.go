package policy

import (
	"math"

	"porthub/policyapi"
)

// A report can be wrong in a single field. What it says therefore counts only up to what the endpoint or the proxy can have done
// in view of what is known of it, so that one report can't outweigh all earlier ones. Reports are limited and not discarded: if
// the load or the speed has really risen by more, each further report raises the limit.
const (
	// maxSpeedChange is the multiple of its estimated capacity that an endpoint can serve: its speed may have been learned while
	// the fleet was slowest, and reported while it was fastest.
	maxSpeedChange = maxFleetSpeed / minFleetSpeed
	// maxSurge is the multiple of the known demand that a report can show.
	maxSurge = 20
	// minSurgeDemand is the demand, in requests per second, that maxSurge multiplies at least: a proxy may have been idle.
	minSurgeDemand = 1
	// countSlack is the number of requests that a report may contain by chance beyond its limit, as at endpoints that serve less
	// than one request per second.
	countSlack = 2
	// maxReportPeriods bounds the time that a report covers, in report periods. Reports cover several periods if the report lines
	// are limited.
	maxReportPeriods = 16
	// maxBusyShare bounds the busy share that an endpoint reports. It exceeds 1 by noise only.
	maxBusyShare = 2
)

// surgeLimit returns the requests per second up to which a report counts if the known demand is demand.
func surgeLimit(demand float64) float64 { return maxSurge * max(demand, minSurgeDemand) }

// maxServedRate returns the requests per second that an endpoint can have completed. As long as no speed has been learned, it may
// have served the demand of all instances alone.
func (p *planner) maxServedRate(id policyapi.EndpointID) float64 {
	capacity, planned := p.capacities[id]
	if !planned {
		return surgeLimit(sum(p.zoneDemand))
	}
	if !p.fleet.speedsLearned {
		capacity = max(capacity, float64(p.settings.instanceCount)*sum(p.zoneDemand))
	}
	return maxSpeedChange * capacity
}

// limitReport limits the attempts of a report to what is plausible: completed ones by the capacity of the endpoint, and failed
// ones by the demand in the zone, since an endpoint can fail any number of them.
func (p *planner) limitReport(report policyapi.EndpointLoad) policyapi.EndpointLoad {
	seconds := float64(min(report.Period, maxReportPeriods*p.settings.reportPeriod)) / float64(second)
	seconds = max(seconds, float64(p.settings.reportPeriod)/float64(second))
	completed := limitCount(report.Attempts-report.Failures, seconds*p.maxServedRate(report.Endpoint))
	failures := limitCount(report.Failures, seconds*surgeLimit(p.demandOf(report.Zone)))
	if completed+failures < report.Attempts {
		p.limitedReports++
		report.Attempts = completed + failures
		report.Failures = failures
	}
	return report
}

// demandOf returns the demand of a zone's proxies in requests per second.
func (p *planner) demandOf(zone policyapi.Zone) float64 {
	for z, name := range p.settings.zones {
		if name == zone {
			return p.zoneDemand[z]
		}
	}
	return 0
}

// limitCount returns a number of requests, or the limit and countSlack if it is greater.
func limitCount(count int, limit float64) int {
	return int(min(float64(count), math.Ceil(limit)+countSlack))
}

// limitRate returns a number of requests per second, or the limit if it is greater. The rate was counted over some seconds.
func limitRate(rate, limit, seconds float64) float64 { return min(rate, limit+countSlack/seconds) }

// limit limits the metrics to what is plausible for an endpoint that can serve at most maxRate requests per second.
func (m *reportedMetrics) limit(maxRate, seconds float64) {
	m.busy = min(m.busy, maxBusyShare)
	m.rate = limitRate(m.rate, maxRate, seconds)
}
