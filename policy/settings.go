package policy

import "porthub/policyapi"

type micros = policyapi.Microseconds

const second micros = 1_000_000

// minReportPeriod keeps intervals derived from the report period above zero.
const minReportPeriod = second / 10

// settings is the part of policyapi.Start that the actors use. It never changes.
type settings struct {
	zones            []policyapi.Zone
	classes          []policyapi.ClassSettings
	placements       []classPlacement
	rules            policyapi.RuleSettings
	admissionMode    policyapi.AdmissionMode
	instanceCount    int
	proxyCount       int // proxies of all instances together
	connectionLimit  int // connections that the smallest endpoints accept
	reportLineLimit  float64
	reportPeriod     micros
	latencyObjective micros // mean over the classes
	messageOverhead  float64
	linesPerSecond   float64 // throughput of the channel
	maxLatency       micros  // of a message from the channel to the proxy
	pollsList        bool
	seed             uint64
}

func newSettings(start policyapi.Start) *settings {
	s := &settings{
		zones:           start.Zones,
		classes:         start.Classes,
		placements:      placementsOf(start.Classes),
		rules:           start.Rules,
		admissionMode:   start.Admission,
		instanceCount:   max(1, start.InstanceCount),
		proxyCount:      start.ProxyCount,
		connectionLimit: start.Channel.EndpointConnections,
		reportLineLimit: start.Reports.MaxLinesPerSecond,
		reportPeriod:    max(start.Reports.Period, minReportPeriod),
		messageOverhead: start.Channel.MessageOverhead,
		linesPerSecond:  start.Channel.LinesPerSecond,
		maxLatency:      start.Channel.MaxLatency,
		pollsList:       start.PollsList,
		seed:            start.Seed,
	}
	for _, class := range start.Classes {
		s.latencyObjective += class.LatencyObjective / micros(len(start.Classes))
	}
	return s
}

// delivery returns the part of the settings that the channel uses.
func (s *settings) delivery() deliverySettings {
	d := deliverySettings{
		queueLimit:       s.rules.QueueLimit,
		messageOverhead:  s.messageOverhead,
		messageLimit:     s.rules.MessageLimit,
		messageWindow:    s.rules.MessageWindow,
		reportPeriod:     s.reportPeriod,
		drainGracePeriod: s.rules.DrainGracePeriod,
		linesPerSecond:   s.linesPerSecond,
		maxLatency:       s.maxLatency,
	}
	for _, placement := range s.placements {
		d.classSets = append(d.classSets, placement.classes)
	}
	return d
}
