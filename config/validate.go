package config

import (
	"fmt"
	"net"
	"slices"
)

const (
	maxClasses      = 64   // a class set is a 64-bit mask
	maxWriters      = 64   // more concurrent writes are no faster on any disk
	minSegmentBytes = 4096 // a segment holds at least one block

	// minMemoryMB leaves room for the program and for decoding the largest requests, which takes many times their size; maxMemoryMB
	// keeps numbers of bytes within their type.
	minMemoryMB = 256
	maxMemoryMB = 1 << 20
	// minMessageLimit allows the messages of a drain to a gateway in addition to its regular updates.
	minMessageLimit = 4
)

// validator reports values out of range and contradictions in a configuration that was decoded without findings.
type validator struct {
	d   *decoder
	cfg Config
}

// validate runs all checks. Findings for the same line are in the order of the checks.
func (v validator) validate() {
	v.listen()
	v.require(v.cfg.Delivery.Files.Dir != "", "front.files.dir", "is missing", "specify the directory that gateways read")
	v.registries()
	v.zones()
	v.coordinator()
	v.classes()
	v.rules()
	v.channel()
	v.reports()
	v.gateways()
	v.healthChecks()
	v.delivery()
	v.storage()
	v.limits()
	v.trace()
	v.enumerations()
	v.degradation()
	for i, metric := range v.cfg.Reports.Metrics {
		v.oneOf(fmt.Sprintf("reports.loads[%d]", i), metric, []string{"util", "queue", "qps"},
			fmt.Sprintf("%q is not known", metric), "it must be util, queue or qps")
	}
}

func (v validator) require(ok bool, key, problem, remedy string) {
	if !ok {
		v.d.report(v.d.lineOf(key), key, problem, remedy)
	}
}

func (v validator) oneOf(key, value string, allowed []string, problem, remedy string) {
	v.require(slices.Contains(allowed, value), key, problem, remedy)
}

func (v validator) positive(key string, value float64) {
	v.require(value > 0, key, fmt.Sprintf("is %v", value), "it must be above 0")
}

func (v validator) listen() {
	host, _, err := net.SplitHostPort(v.cfg.Listen)
	if err != nil {
		v.require(false, "listen", fmt.Sprintf("%q is not an address with a port", v.cfg.Listen), `such as "127.0.0.1:7070"`)
		return
	}
	v.require(isLoopback(host), "listen", fmt.Sprintf("%q is not on loopback", host),
		"there is no authentication yet: it must be 127.0.0.1 or ::1")
}

func isLoopback(host string) bool {
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}

func (v validator) zones() {
	zones := v.cfg.Zones
	v.require(len(zones) > 0, "zones", "is empty", "name at least one zone")
	for i, zone := range zones {
		v.require(!slices.Contains(zones[:i], zone), fmt.Sprintf("zones[%d]", i),
			fmt.Sprintf("%q appears twice", zone), "name each zone once")
	}
}

func (v validator) coordinator() {
	c := v.cfg.Coordinator
	v.oneOf("coordinator.zone", c.Zone, v.cfg.Zones, fmt.Sprintf("%q is not one of zones", c.Zone),
		"name the zone of this coordinator")
	v.require(c.Index >= 0 && c.Index < max(1, c.Instances), "coordinator.index",
		fmt.Sprintf("is %d with %d instances", c.Index, c.Instances), "it must be 0 or more and below instances")
}

func (v validator) classes() {
	classes := v.cfg.Classes
	v.require(len(classes) > 0 && len(classes) <= maxClasses, "request_kinds", fmt.Sprintf("has %d classes", len(classes)), "there must be 1 to 64")
	names := map[string]bool{}
	for i, class := range classes {
		key := fmt.Sprintf("request_kinds[%d].", i)
		v.require(class.Name != "" && !names[class.Name], key+"name",
			fmt.Sprintf("%q is empty or appears twice", class.Name), "specify each class once, with a name")
		names[class.Name] = true
		v.class(key, class)
	}
}

func (v validator) class(key string, class RequestClass) {
	v.oneOf(key+"repeat", class.Idempotency, []string{"replayable", "uniqued", "non-replayable"},
		fmt.Sprintf("is %q", class.Idempotency), "it must be replayable, uniqued or non-replayable")
	if class.Idempotency == "uniqued" {
		v.oneOf(key+"repeat_scope", class.DeduplicationScope, []string{"all", "zone", "pod"},
			fmt.Sprintf("is %q", class.DeduplicationScope), "for a uniqued class it must be all, zone or pod")
	} else {
		v.require(class.DeduplicationScope == "", key+"repeat_scope", "is set", "only uniqued classes may have one")
	}
	v.positive(key+"response_target", float64(class.LatencyObjective))
	v.require(class.ClientTimeout >= class.LatencyObjective, key+"client_timeout", "is shorter than the response target",
		"it must be at least response_target")
	v.positive(key+"payoff", class.PriorityWeight)
	for _, zone := range class.AllowedZones {
		v.oneOf(key+"only_zones", zone, v.cfg.Zones, fmt.Sprintf("%q is not one of zones", zone), "it must be one of zones")
	}
}

func (v validator) rules() {
	r := v.cfg.Rules
	v.positive("rules.empty_for", float64(r.EmptyTableLimit))
	v.positive("rules.drain_grace", float64(r.DrainGracePeriod))
	v.require(r.InitialCapacity > 0 && r.InitialCapacity <= 1, "rules.cold_from",
		fmt.Sprintf("is %v", r.InitialCapacity), "it must be above 0 and at most 1")
	v.require(r.OverloadFactor > 1, "rules.cold_multiple", fmt.Sprintf("is %v", r.OverloadFactor), "it must be above 1")
	v.positive("rules.cold_window", float64(r.OverloadWindow))
	v.positive("rules.messages_in", float64(r.MessageWindow))
	v.require(r.MessageLimit == 0 || r.MessageLimit >= minMessageLimit, "rules.messages",
		fmt.Sprintf("is %d", r.MessageLimit), "it must be 4 or more, or 0 for no limit")
	expected := v.cfg.Gateways.ExpectedCount
	v.require(r.QueueLimit >= 2*v.cfg.Channel.MessageOverhead*float64(expected), "rules.waiting_lines",
		fmt.Sprintf("%v is below two message overheads (channel.envelope) for each of %d gateways", r.QueueLimit, expected), "a message to each gateway must fit")
}

func (v validator) channel() {
	c := v.cfg.Channel
	v.positive("channel.lines_per_s", c.LinesPerSecond)
	v.require(c.MessageOverhead >= 0, "channel.envelope", "is below 0", "it must be 0 or more")
	v.require(c.MaxLatency >= c.Latency, "channel.worst_transit", "is shorter than transit", "it must be as long or longer")
	v.require(v.cfg.Rules.DrainGracePeriod > c.MaxLatency, "rules.drain_grace", "is not longer than channel.worst_transit",
		"an order must be able to arrive within the grace period")
}

func (v validator) reports() {
	v.positive("reports.period", float64(v.cfg.Reports.Period))
	v.positive("reports.lines_per_s", v.cfg.Reports.MaxLinesPerSecond)
}

func (v validator) gateways() {
	g := v.cfg.Gateways
	v.require(g.ExpectedCount > 0, "gateways.expected", fmt.Sprintf("is %d", g.ExpectedCount), "it must be 1 or more")
	v.require(g.SilenceTimeout >= 2*v.cfg.Reports.Period, "gateways.silent_after", "is below two report periods",
		"one late report must not count a gateway as disconnected")
}

func (v validator) healthChecks() {
	h := v.cfg.HealthChecks
	v.positive("probes.timeout", float64(h.Timeout))
	v.require(h.Concurrency > 0, "probes.at_once", fmt.Sprintf("is %d", h.Concurrency), "it must be 1 or more")
}

func (v validator) delivery() {
	d := v.cfg.Delivery
	v.require(d.Files.Writers > 0 && d.Files.Writers <= maxWriters, "front.files.writers",
		fmt.Sprintf("is %d", d.Files.Writers), "it must be 1 to 64")
	v.require(d.Poll.MaxPending > 0 && d.Poll.DeltaBases > 0, "front.poll",
		fmt.Sprintf("most is %d, deltas %d", d.Poll.MaxPending, d.Poll.DeltaBases), "both must be 1 or more")
}

func (v validator) storage() {
	limit := v.cfg.Reports.SamplingLimit
	v.require(limit >= 0, "reports.intake", fmt.Sprintf("is %d", limit), "it must be lines per second, or 0 for no limit")
	c := v.cfg.Capture
	v.require(c.SegmentBytes >= minSegmentBytes && c.MaxBytes >= 2*c.SegmentBytes && c.MaxAge > 0, "capture",
		fmt.Sprintf("budget is %d, segment %d, age %d us", c.MaxBytes, c.SegmentBytes, c.MaxAge),
		"a segment has at least 4096 bytes, the budget is at least two of them, and age is above 0")
}

func (v validator) limits() {
	l := v.cfg.Limits
	v.require(l.Connections > 0 && l.PerAddress > 0 && l.Requests >= 0, "limits",
		fmt.Sprintf("has %d connections, %d from an address, %d requests", l.Connections, l.PerAddress, l.Requests),
		"connections must be 1 or more, requests 0 or more")
	v.require(l.MemoryMB >= minMemoryMB && l.MemoryMB <= maxMemoryMB, "limits.memory_mb", fmt.Sprintf("is %d", l.MemoryMB),
		fmt.Sprintf("it must be %d to %d", minMemoryMB, maxMemoryMB))
}

func (v validator) trace() {
	t := v.cfg.Trace
	v.require(t.SampleRatio >= 0 && t.SampleRatio <= 1, "trace.part", fmt.Sprintf("is %v", t.SampleRatio), "it must be 0 to 1")
	if t.Endpoint == "" {
		return
	}
	host, _, err := net.SplitHostPort(t.Endpoint)
	v.require(err == nil && isLoopback(host), "trace.endpoint", fmt.Sprintf("%q is not a loopback address with a port", t.Endpoint),
		`such as "127.0.0.1:4318": spans are sent without authentication`)
}

func (v validator) enumerations() {
	v.oneOf("levels", v.cfg.Admission, []string{"rate", "share", "off"}, fmt.Sprintf("is %q", v.cfg.Admission),
		"it must be rate, share or off")
	v.oneOf("log_level", v.cfg.LogLevel, []string{"debug", "info", "warn", "error"}, fmt.Sprintf("is %q", v.cfg.LogLevel),
		"it must be debug, info, warn or error")
}
