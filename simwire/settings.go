package simwire

import (
	"encoding/json"

	"porthub/policyapi"
)

// settings is the settings object with the keys of the protocol; other keys are ignored.
type settings struct {
	Zone          policyapi.Zone     `json:"az"`
	Zones         []policyapi.Zone   `json:"localities"`
	Self          policyapi.PeerID   `json:"me"`
	InstanceCount int                `json:"instances"`
	Discovery     string             `json:"discovery"`
	Weights       string             `json:"weights"`
	Permissions   permissions        `json:"caps"`
	Deployment    deploymentSettings `json:"domain"`
	Rules         ruleSettings       `json:"guarantees"`
	LoadInfo      loadInfoSettings   `json:"loadInfo"`
	Classes       []classSettings    `json:"profiles"`
}

type permissions struct {
	PeerMessages bool `json:"peers"`
	HealthChecks bool `json:"probes"`
}

// deploymentSettings describes a deployment. QueueLimit and MessageOverhead are in lines and rates are per second.
type deploymentSettings struct {
	LocalZoneOnly       []bool                 `json:"classOwnZone"` // by class
	ProxyCount          int                    `json:"dataPlaneSize"`
	EjectionThreshold   int                    `json:"outlierAfter"`
	MessageLimit        int                    `json:"updateCap"`
	EmptyTableLimit     policyapi.Microseconds `json:"emptyFor"`
	ReportPeriod        policyapi.Microseconds `json:"period"`
	MessageWindow       policyapi.Microseconds `json:"reloadSpan"`
	Latency             policyapi.Microseconds `json:"transit"`
	MaxLatency          policyapi.Microseconds `json:"worstTransit"`
	MessageOverhead     float64                `json:"envelope"`
	LinesPerSecond      float64                `json:"linesPerS"`
	ReportLineLimit     float64                `json:"ingestRate"`
	EndpointConnections float64                `json:"socketsMin"`
	QueueLimit          float64                `json:"queueCap"`
	AdmissionMode       string                 `json:"levelKind"`
}

type ruleSettings struct {
	PollInterval     policyapi.Microseconds `json:"askWithin"`
	WarmUp           policyapi.Microseconds `json:"cold"`
	DrainGracePeriod policyapi.Microseconds `json:"drainGrace"`
	OverloadWindow   policyapi.Microseconds `json:"fall"`
	InitialCapacity  float64                `json:"coldFrom"`
	OverloadFactor   float64                `json:"tipMultiple"`
	SoftRemoval      bool                   `json:"softRemoval"`
}

type loadInfoSettings struct {
	Metrics []string `json:"fields"`
	Source  string   `json:"source"`
}

type classSettings struct {
	Name               string                 `json:"name"`
	Effect             string                 `json:"effect"`
	DeduplicationScope string                 `json:"keyScope"`
	ClientTimeout      policyapi.Microseconds `json:"hardLimit"`
	LatencyObjective   policyapi.Microseconds `json:"slo"`
	PriorityWeight     float64                `json:"points"`
	AllowedZones       []policyapi.Zone       `json:"onlyZones"`
}

// ParseSettings decodes the settings object of an UP message. Unknown keys are ignored. The seed is not part of the object,
// so Start.Seed is 0. Errors are those of package encoding/json.
func ParseSettings(text []byte) (policyapi.Start, error) {
	var in settings
	if err := json.Unmarshal(text, &in); err != nil {
		return policyapi.Start{}, err
	}
	return policyapi.Start{
		Self:              in.Self,
		InstanceCount:     max(1, in.InstanceCount),
		Zone:              in.Zone,
		Zones:             in.Zones,
		Classes:           in.classes(),
		Rules:             in.rules(),
		Channel:           in.channel(),
		Reports:           in.reports(),
		Admission:         in.Deployment.admissionMode(),
		ProxyCount:        in.Deployment.ProxyCount,
		PollsList:         in.Discovery == "ask",
		EjectionThreshold: in.Deployment.EjectionThreshold,
		WeightsListed:     in.Weights != "off",
	}, nil
}

func (in *settings) rules() policyapi.RuleSettings {
	return policyapi.RuleSettings{
		EmptyTableLimit:     in.Deployment.EmptyTableLimit,
		DrainGracePeriod:    in.Rules.DrainGracePeriod,
		WarmUp:              in.Rules.WarmUp,
		InitialCapacity:     in.Rules.InitialCapacity,
		OverloadFactor:      in.Rules.OverloadFactor,
		OverloadWindow:      in.Rules.OverloadWindow,
		SoftRemoval:         in.Rules.SoftRemoval,
		PollInterval:        in.Rules.PollInterval,
		QueueLimit:          in.Deployment.QueueLimit,
		MessageLimit:        in.Deployment.MessageLimit,
		MessageWindow:       in.Deployment.MessageWindow,
		HealthChecksAllowed: in.Permissions.HealthChecks,
		PeerMessagesAllowed: in.Permissions.PeerMessages,
	}
}

func (in *settings) channel() policyapi.ChannelSettings {
	return policyapi.ChannelSettings{
		LinesPerSecond:      in.Deployment.LinesPerSecond,
		MessageOverhead:     in.Deployment.MessageOverhead,
		Latency:             in.Deployment.Latency,
		MaxLatency:          in.Deployment.MaxLatency,
		EndpointConnections: int(in.Deployment.EndpointConnections),
	}
}

func (in *settings) reports() policyapi.ReportSettings {
	return policyapi.ReportSettings{
		Period:            in.Deployment.ReportPeriod,
		MaxLinesPerSecond: in.Deployment.ReportLineLimit,
		MetricsInReports:  in.LoadInfo.Source == "inline",
		MetricNames:       in.LoadInfo.Metrics,
	}
}

func (s *deploymentSettings) admissionMode() policyapi.AdmissionMode {
	switch s.AdmissionMode {
	case "share":
		return policyapi.AdmissionByShare
	case "rate":
		return policyapi.AdmissionByRate
	default:
		return policyapi.AdmissionOff
	}
}

func (in *settings) classes() (classes []policyapi.ClassSettings) {
	for k, class := range in.Classes {
		classes = append(classes, policyapi.ClassSettings{
			Name:               class.Name,
			Idempotency:        class.idempotency(),
			DeduplicationScope: class.DeduplicationScope,
			LatencyObjective:   class.LatencyObjective,
			ClientTimeout:      class.ClientTimeout,
			PriorityWeight:     class.PriorityWeight,
			AllowedZones:       class.AllowedZones,
			LocalZoneOnly:      k < len(in.Deployment.LocalZoneOnly) && in.Deployment.LocalZoneOnly[k],
		})
	}
	return classes
}

func (s *classSettings) idempotency() policyapi.Idempotency {
	switch s.Effect {
	case "repeatable":
		return policyapi.Idempotent
	case "by_key":
		return policyapi.IdempotentWithKey
	default:
		return policyapi.NotIdempotent
	}
}
