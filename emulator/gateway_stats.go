package emulator

import (
	"maps"
	"slices"
	"time"

	"porthub/xds"
)

// reportStats holds a gateway's counts for its next load report.
type reportStats struct {
	since   time.Time
	classes map[string]*classStats
}

type classStats struct {
	arrived, rejected, failed int
	endpoints                 map[string]*endpointStats
}

type endpointStats struct {
	zone                       string
	attempts, failed, inFlight int
	latency                    time.Duration      // sum over the successful attempts
	load                       map[string]float64 // as last reported by the endpoint
	loadReports                int
}

func newReportStats() reportStats {
	return reportStats{since: time.Now(), classes: map[string]*classStats{}}
}

func (s *reportStats) class(name string) *classStats {
	class := s.classes[name]
	if class == nil {
		class = &classStats{endpoints: map[string]*endpointStats{}}
		s.classes[name] = class
	}
	return class
}

func (s *classStats) endpoint(addr, zone string) *endpointStats {
	endpoint := s.endpoints[addr]
	if endpoint == nil {
		endpoint = &endpointStats{zone: zone}
		s.endpoints[addr] = endpoint
	}
	return endpoint
}

// collectReport returns the counts since the last report and starts a new interval.
func (g *Gateway) collectReport() (interval time.Duration, classes []xds.ClassReport) {
	g.mu.Lock()
	defer g.mu.Unlock()
	interval = time.Since(g.stats.since)
	g.stats.since = time.Now()
	for _, name := range g.Classes {
		stats := g.stats.classes[name]
		if stats == nil {
			classes = append(classes, xds.ClassReport{Class: name})
			continue
		}
		classes = append(classes, stats.collect(name))
	}
	return interval, classes
}

// collect returns the counts and resets them, except for the requests in flight.
func (s *classStats) collect(name string) xds.ClassReport {
	report := xds.ClassReport{Class: name, Arrived: s.arrived, Rejected: s.rejected, Failures: s.failed}
	for _, addr := range slices.Sorted(maps.Keys(s.endpoints)) {
		endpoint := s.endpoints[addr]
		report.Endpoints = append(report.Endpoints, endpoint.report(addr))
		*endpoint = endpointStats{zone: endpoint.zone, inFlight: endpoint.inFlight}
	}
	s.arrived = 0
	s.rejected = 0
	s.failed = 0
	return report
}

func (s *endpointStats) report(addr string) xds.EndpointReport {
	report := xds.EndpointReport{Address: addr, Zone: s.zone, Attempts: s.attempts, Failures: s.failed, InFlight: s.inFlight, Metrics: s.load, MetricSamples: s.loadReports}
	if succeeded := s.attempts - s.failed; succeeded > 0 {
		report.MeanLatency = s.latency / time.Duration(succeeded)
	}
	return report
}
