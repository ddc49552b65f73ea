package loadreport

import "porthub/policyapi"

// microsecondsPerSecond converts between microseconds and seconds.
const microsecondsPerSecond = 1e6

// A line signals a failing endpoint if all of its attempts have failed, or if at least minSignalFailures attempts and a
// fraction of at least minSignalFraction of them have.
const (
	minSignalFailures = 2
	minSignalFraction = 0.2
)

// Settings configure a Sampler.
type Settings struct {
	MaxLinesPerSecond float64                // maximum rate of accepted lines; 0 means no limit
	Period            policyapi.Microseconds // normal interval between the reports of a gateway
	Seed              uint64                 // seed of the hash that gives each gateway its phase in the rotation
}

// EndpointLine has the counts of a gateway's attempts at an endpoint for one request class.
type EndpointLine struct {
	Endpoint policyapi.EndpointID
	Attempts int
	Failures int
}

// SamplingDecision is the decision how the lines of one report are sampled.
type SamplingDecision struct {
	IncludeRoutine bool    // routine lines are accepted
	Weight         float64 // number of lines that an accepted routine line counts for
	// TrustedFraction is the fraction of the report's counts that is trusted. It is below 1 for a gateway that suddenly
	// reports many times its usual demand.
	TrustedFraction float64

	seconds float64 // interval that the report covers
}

// Stats holds counters since the start and figures of the last round.
type Stats struct {
	Reports           int64   `json:"reports"`
	Lines             int64   `json:"lines"` // received, accepted or not
	AcceptedLines     int64   `json:"taken"`
	HealthSignals     int64   `json:"news"`    // lines that were accepted as health signals
	CappedReports     int64   `json:"capped"`  // reports that were not fully trusted
	SampledFraction   float64 `json:"part"`    // current fraction of routine lines that is accepted
	Rounds            int64   `json:"rounds"`  // completed rounds
	SampledRounds     int64   `json:"sampled"` // completed rounds in which only a fraction of the routine lines was accepted
	Reporting         int     `json:"live"`    // connected gateways that report
	Silent            int     `json:"stopped"` // connected gateways that have not reported for silentPeriods
	ReportsPerGateway float64 `json:"heard"`   // reports of the last round divided by the number of connected gateways
}

// Sampler samples the lines of reports and estimates the load of endpoints from them, round by round. Its memory grows with
// the number of gateways and endpoints that it has seen. It is not safe for concurrent use.
type Sampler struct {
	settings       Settings
	fraction       float64 // fraction of routine lines that is accepted
	intervalFactor int     // number of periods between the reports of a gateway
	meanDemand     float64 // mean requests per second of a gateway in the last round
	gateways       map[string]*gateway
	endpoints      map[policyapi.EndpointID]*endpointRound
	roundNumber    uint64
	round          roundTotals
	stats          Stats
}

// roundTotals sums the reports of one round.
type roundTotals struct {
	startedAt      policyapi.Microseconds // 0 until the first report ever
	offeredLines   float64                // received lines, accepted or not
	healthSignals  float64                // lines accepted as health signals
	reports        int
	squaredReports float64 // sum over the gateways of the square of their number of reports
	coveredSeconds float64 // sum of the intervals that the reports cover
	trustedReports int     // reports that are fully trusted
	trustedDemand  float64 // sum of the demand in these reports, in requests per second
}

// New returns a Sampler that accepts all lines until more of them arrive than its settings allow.
func New(settings Settings) *Sampler {
	return &Sampler{
		settings:       settings,
		fraction:       1,
		intervalFactor: 1,
		gateways:       map[string]*gateway{},
		endpoints:      map[policyapi.EndpointID]*endpointRound{},
		roundNumber:    1,
		stats:          Stats{SampledFraction: 1},
	}
}

func (s *Sampler) gateway(name string) *gateway {
	g := s.gateways[name]
	if g == nil {
		g = newGateway(name, s.settings.Seed)
		s.gateways[name] = g
	}
	return g
}

// Decide decides how to sample a gateway's report. The report has the given number of lines, and the given number of requests
// arrived at the gateway in the interval that it covers.
func (s *Sampler) Decide(now policyapi.Microseconds, name string, lines, arrived int, interval policyapi.Microseconds) SamplingDecision {
	seconds := float64(max(1, interval)) / microsecondsPerSecond
	g := s.gateway(name)
	s.countReport(now, g, lines, seconds)

	rate := float64(arrived) / seconds
	trusted := g.trustedFraction(rate, surgeFactor*max(g.demand, s.meanDemand))
	if trusted < 1 {
		s.stats.CappedReports++
	}
	g.record(now, rate, trusted == 1)
	if trusted == 1 {
		s.round.trustedReports++
		s.round.trustedDemand += rate
	}
	return SamplingDecision{
		IncludeRoutine:  g.sampled(s.fraction),
		Weight:          1 / s.fraction,
		TrustedFraction: trusted,
		seconds:         seconds,
	}
}

func (s *Sampler) countReport(now policyapi.Microseconds, g *gateway, lines int, seconds float64) {
	if s.round.startedAt == 0 {
		s.round.startedAt = now
	}
	g.connected = true
	g.silent = false
	if g.round != s.roundNumber {
		g.round = s.roundNumber
		g.roundReports = 0
	}
	g.roundReports++
	s.round.squaredReports += 2*g.roundReports - 1
	s.round.coveredSeconds += seconds
	s.round.reports++
	s.round.offeredLines += float64(lines)
	s.stats.Reports++
	s.stats.Lines += int64(lines)
}

// IsHealthSignal reports whether a line signals a failing endpoint. Such lines are always accepted.
func IsHealthSignal(line EndpointLine) bool {
	if line.Failures >= minSignalFailures && float64(line.Failures) >= minSignalFraction*float64(line.Attempts) {
		return true
	}
	return line.Failures > 0 && line.Failures == line.Attempts
}

// Sample reports whether a line of a report is accepted, and how many lines it then counts for.
func (s *Sampler) Sample(decision SamplingDecision, line EndpointLine) (weight float64, accepted bool) {
	signal := IsHealthSignal(line)
	if !signal && !decision.IncludeRoutine {
		return 0, false
	}
	s.stats.AcceptedLines++
	if signal {
		weight = 1
		s.round.healthSignals++
		s.stats.HealthSignals++
	} else {
		weight = decision.Weight
	}
	e := s.endpoints[line.Endpoint]
	if e == nil {
		e = &endpointRound{}
		s.endpoints[line.Endpoint] = e
	}
	e.add(line, weight, decision)
	return weight, true
}

// AddMetrics adds the utilization and queue length that an endpoint reports about itself, from a line that was accepted.
func (s *Sampler) AddMetrics(id policyapi.EndpointID, utilization, queue float64) {
	if e := s.endpoints[id]; e != nil {
		e.utilization.add(utilization)
		e.queue.add(queue)
	}
}

// GatewayDisconnected records that a gateway has disconnected. Its next report marks it as connected again.
func (s *Sampler) GatewayDisconnected(name string) {
	if g := s.gateways[name]; g != nil {
		g.connected = false
	}
}

// RemoveEndpoint discards the estimate of an endpoint.
func (s *Sampler) RemoveEndpoint(id policyapi.EndpointID) { delete(s.endpoints, id) }

// IntervalFactor returns how many periods gateways should wait between reports, so that their lines can be accepted.
func (s *Sampler) IntervalFactor() int { return s.intervalFactor }

// Stats returns the counters.
func (s *Sampler) Stats() Stats { return s.stats }
