package config

import "porthub/policyapi"

// MetricNames maps the names of load metrics in responses to those of the decision module.
var MetricNames = map[string]string{"util": "busy", "queue": "q", "qps": "rate"}

var admissionModes = map[string]policyapi.AdmissionMode{
	"off":   policyapi.AdmissionOff,
	"share": policyapi.AdmissionByShare,
	"rate":  policyapi.AdmissionByRate,
}

// Start returns the event with which the decision module starts.
func (c Config) Start() policyapi.Start {
	start := policyapi.Start{
		Seed:              uint64(c.Coordinator.Seed),
		Self:              policyapi.PeerID(c.Coordinator.Index),
		InstanceCount:     max(1, c.Coordinator.Instances),
		Zone:              policyapi.Zone(c.Coordinator.Zone),
		ProxyCount:        c.Gateways.ExpectedCount,
		PollsList:         true,
		EjectionThreshold: c.Gateways.EjectionThreshold,
		WeightsListed:     true,
		Rules:             c.Rules.settings(c.HealthChecks.Allowed),
		Channel:           c.Channel.settings(),
		Reports:           c.Reports.settings(),
		Admission:         admissionModes[c.Admission],
	}
	for _, zone := range c.Zones {
		start.Zones = append(start.Zones, policyapi.Zone(zone))
	}
	for _, class := range c.Classes {
		start.Classes = append(start.Classes, class.settings())
	}
	return start
}

func (c RequestClass) settings() policyapi.ClassSettings {
	settings := policyapi.ClassSettings{
		Name:             c.Name,
		LatencyObjective: c.LatencyObjective.microseconds(),
		ClientTimeout:    c.ClientTimeout.microseconds(),
		PriorityWeight:   c.PriorityWeight,
		LocalZoneOnly:    c.LocalZoneOnly,
	}
	switch c.Idempotency {
	case "replayable":
		settings.Idempotency = policyapi.Idempotent
	case "uniqued":
		settings.Idempotency = policyapi.IdempotentWithKey
		settings.DeduplicationScope = c.DeduplicationScope
		if c.DeduplicationScope == "pod" {
			settings.DeduplicationScope = "cell" // the decision module's name for a pod
		}
	}
	for _, zone := range c.AllowedZones {
		settings.AllowedZones = append(settings.AllowedZones, policyapi.Zone(zone))
	}
	return settings
}

func (r Rules) settings(healthChecksAllowed bool) policyapi.RuleSettings {
	return policyapi.RuleSettings{
		EmptyTableLimit:     r.EmptyTableLimit.microseconds(),
		DrainGracePeriod:    r.DrainGracePeriod.microseconds(),
		WarmUp:              r.WarmUp.microseconds(),
		InitialCapacity:     r.InitialCapacity,
		OverloadFactor:      r.OverloadFactor,
		OverloadWindow:      r.OverloadWindow.microseconds(),
		SoftRemoval:         !r.RemovalIsDrain,
		QueueLimit:          r.QueueLimit,
		MessageLimit:        r.MessageLimit,
		MessageWindow:       r.MessageWindow.microseconds(),
		HealthChecksAllowed: healthChecksAllowed,
	}
}

func (c Channel) settings() policyapi.ChannelSettings {
	return policyapi.ChannelSettings{
		LinesPerSecond:      c.LinesPerSecond,
		MessageOverhead:     c.MessageOverhead,
		Latency:             c.Latency.microseconds(),
		MaxLatency:          c.MaxLatency.microseconds(),
		EndpointConnections: c.EndpointConnections,
	}
}

func (r Reports) settings() policyapi.ReportSettings {
	settings := policyapi.ReportSettings{
		Period:            r.Period.microseconds(),
		MaxLinesPerSecond: r.MaxLinesPerSecond,
		MetricsInReports:  true,
	}
	for _, metric := range r.Metrics {
		settings.MetricNames = append(settings.MetricNames, MetricNames[metric])
	}
	return settings
}
