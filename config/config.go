// Package config reads the settings of a coordinator: JSON with comments and trailing commas. Every finding names
// file, line and key, and says what would be right; all are found in one go.
package config

import (
	"errors"
	"fmt"
	"net"
	"net/url"
	"os"
	"slices"
	"strings"
	"time"

	"porthub/degradation"
	"porthub/policyapi"
)

// Duration is a length of time; in the file it is a string with a unit, such as "750ms", "2.5s" or "1m".
type Duration policyapi.Microseconds

// Config is the whole file. Defaults stand in Default.
type Config struct {
	Coordinator  Coordinator    `json:"coordinator"`
	Listen       string         `json:"listen"`    // address and port for gateways and tools; port 0 takes a free one
	StateDir     string         `json:"state_dir"` // where the last list is kept
	LogLevel     string         `json:"log_level"` // debug, info, warn or error
	Delivery     Delivery       `json:"front"`
	Registry     Registry       `json:"registry"`
	Zones        []string       `json:"zones"`
	Classes      []RequestClass `json:"request_kinds"`
	Rules        Rules          `json:"rules"`
	Channel      Channel        `json:"channel"`
	Reports      Reports        `json:"reports"`
	Gateways     Gateways       `json:"gateways"`
	HealthChecks HealthChecks   `json:"probes"`
	Admission    string         `json:"levels"` // rate, share or off
	Solver       Solver         `json:"solver"`
	Limits       Limits         `json:"limits"`
	Capture      Capture        `json:"capture"`
	Recovery     Recovery       `json:"recovery"`
	Degradation  Degradation    `json:"service"`
	Trace        Trace          `json:"trace"`
}

// Trace follows orders to their acknowledgement, as OpenTelemetry spans. With neither file nor endpoint it is off.
type Trace struct {
	File        string  `json:"file"`     // spans are added to it, one JSON object a line
	Endpoint    string  `json:"endpoint"` // address and port that takes OTLP over HTTP
	SampleRatio float64 `json:"part"`     // of the steps that are followed, 0 to 1
}

// Coordinator is this instance among its like.
type Coordinator struct {
	Zone      string `json:"zone"`
	Index     int    `json:"index"`     // from 0
	Instances int    `json:"instances"` // how many there are
	Seed      int    `json:"seed"`      // of all chance
}

// Delivery is how tables reach gateways.
type Delivery struct {
	Files FileDelivery `json:"files"`
	Poll  PollDelivery `json:"poll"`
}

// PollDelivery is xDS over HTTP, held open.
type PollDelivery struct {
	Enabled    bool     `json:"enabled"`
	MaxWait    Duration `json:"hold"`   // a poll is held at most so long
	MaxPending int      `json:"most"`   // polls held at once
	DeltaBases int      `json:"deltas"` // earlier publications of each gateway that a delta may start from
}

// FileDelivery is the xDS filesystem subscription.
type FileDelivery struct {
	Dir     string `json:"dir"`     // one folder a gateway below it
	Writers int    `json:"writers"` // files written at once
	Sync    bool   `json:"sync"`    // brought to the disk before they are moved into place, while the disk is quick
}

// Registry is where the node list comes from.
type Registry struct {
	File   FileRegistry     `json:"file"`   // its word binds; without a path there is none
	Eureka []EurekaRegistry `json:"eureka"` // side by side; the first is trusted most
}

// EurekaRegistry is a registry with Eureka's REST operations.
type EurekaRegistry struct {
	Name             string   `json:"name"`      // of the source, in logs and porthub nodes
	Addresses        []string `json:"addresses"` // base URLs of its peers, such as http://127.0.0.1:8761/eureka
	App              string   `json:"app"`       // one application; empty: all, or vip
	VIP              string   `json:"vip"`
	Deltas           bool     `json:"deltas"` // ask for deltas, reconciled by the registry's hash
	XML              bool     `json:"xml"`
	PollInterval     Duration `json:"poll"`    // 0: 5 s
	Timeout          Duration `json:"timeout"` // of a request; 0: 2 s
	MaxResponseBytes int      `json:"most"`    // bytes of an answer; 0: 32 MiB
	// Metadata that holds what the list needs; empty: zone, weight, pod, machine.
	ZoneField    string       `json:"zone_field"`
	WeightField  string       `json:"weight_field"`
	PodField     string       `json:"pod_field"`
	MachineField string       `json:"machine_field"`
	Zone         string       `json:"zone"`  // of instances that name none
	UseHostnames bool         `json:"hosts"` // nodes go by hostName, not ipAddr
	Registration Registration `json:"register"`
}

// Registration is the coordinator's own entry in a registry.
type Registration struct {
	App           string   `json:"app"` // empty: it does not register
	ID            string   `json:"id"`
	Host          string   `json:"host"`
	IP            string   `json:"ip"`
	Port          int      `json:"port"`
	RenewInterval Duration `json:"renew"` // 0: 30 s
}

// FileRegistry is a file_sd list.
type FileRegistry struct {
	Path         string   `json:"path"`
	PollInterval Duration `json:"poll"` // looked at this often even if no change was signalled
}

// RequestClass is one request kind.
type RequestClass struct {
	Name               string   `json:"name"`
	Idempotency        string   `json:"repeat"`       // replayable, uniqued or non-replayable
	DeduplicationScope string   `json:"repeat_scope"` // of uniqued kinds: all, zone or pod
	LatencyObjective   Duration `json:"response_target"`
	ClientTimeout      Duration `json:"client_timeout"`
	PriorityWeight     float64  `json:"payoff"`
	AllowedZones       []string `json:"only_zones"`
	LocalZoneOnly      bool     `json:"own_zone"`
}

// Rules are the figures of the five rules.
type Rules struct {
	EmptyTableLimit  Duration `json:"empty_for"`     // longest time without a line to pick
	DrainGracePeriod Duration `json:"drain_grace"`   // after a drain nothing is sent past this
	WarmUp           Duration `json:"cold"`          // warm at the latest this long after the start
	InitialCapacity  float64  `json:"cold_from"`     // part of its capacity at the start
	OverloadFactor   float64  `json:"cold_multiple"` // times what it can do that pushes a cold one over ...
	OverloadWindow   Duration `json:"cold_window"`   // ... if it lasts this long
	RemovalIsDrain   bool     `json:"gone_binds"`    // false: only a stated drain binds, being dropped from the list does not
	QueueLimit       float64  `json:"waiting_lines"` // lines on their way to all gateways together
	MessageLimit     int      `json:"messages"`      // to one gateway ...
	MessageWindow    Duration `json:"messages_in"`   // ... within this
}

// Channel tells how orders travel.
type Channel struct {
	LinesPerSecond      float64  `json:"lines_per_s"`
	MessageOverhead     float64  `json:"envelope"` // lines that a message costs besides its own
	Latency             Duration `json:"transit"`
	MaxLatency          Duration `json:"worst_transit"`
	EndpointConnections int      `json:"connections"` // that the smallest calc node accepts
}

// Reports tell how gateways report.
type Reports struct {
	Period            Duration `json:"period"`
	MaxLinesPerSecond float64  `json:"lines_per_s"` // at most so many are taken in
	Metrics           []string `json:"loads"`       // load figures in answers: util, queue, qps
	SamplingLimit     int      `json:"intake"`      // lines of reports that are taken in a second, the rest is sampled; 0: all
}

// Gateways tells what to expect of them.
type Gateways struct {
	ExpectedCount     int      `json:"expected"`
	EjectionThreshold int      `json:"shun_after"`   // own failures in a row after which one avoids a calc node; 0: never
	SilenceTimeout    Duration `json:"silent_after"` // without a report or an acknowledgement it counts as away
}

// MaxHealthChecks tells whether calc nodes may be probed.
type HealthChecks struct {
	Allowed     bool     `json:"allowed"`
	Path        string   `json:"path"`
	Timeout     Duration `json:"timeout"`
	Concurrency int      `json:"at_once"`
}

// Solver tells whether tables that break limits give way to the weight solver's.
type Solver struct {
	Enabled bool `json:"enabled"`
}

// Capture records what the core is told and orders.
type Capture struct {
	Enabled      bool     `json:"enabled"`
	Dir          string   `json:"dir"`     // empty: capture in the state folder; with neither there is none
	MaxBytes     int      `json:"budget"`  // bytes of all segments; the oldest go first
	SegmentBytes int      `json:"segment"` // bytes of one, about
	MaxAge       Duration `json:"age"`     // of one
}

// Recovery is what is believed after a restart.
type Recovery struct {
	Enabled bool `json:"enabled"`
}

// Degradation has the levels of reduced service, and what gateways do while they reach no coordinator.
type Degradation struct {
	Levels   []DegradationLevel `json:"levels"` // by severity, the least first; none: there are no levels
	Fallback Fallback           `json:"fallback"`
}

// DegradationLevel is one level: what it is entered and left by, and what it bounds.
type DegradationLevel struct {
	Name       string   `json:"name"`
	Enter      Triggers `json:"enter"` // at or above one of them; 0: it does not count
	Leave      Triggers `json:"leave"` // all of them at or below
	EnterDelay Duration `json:"enter_held"`
	LeaveDelay Duration `json:"leave_held"`

	Classes              []ClassBounds `json:"kinds"`          // those that it bounds
	RetryPolicy          int           `json:"second_try"`     // the most of the orders for second tries, of all kinds; 3: as it is
	CrossZoneFactor      float64       `json:"cross"`          // factor on lines to other zones; 1: as they are
	MaxEndpoints         int           `json:"lines"`          // of a kind in one gateway's table; 0: no bound
	MaxHealthChecks      float64       `json:"probes_per_s"`   // 0: no bound
	ReportIntervalFactor int           `json:"report_stretch"` // times the report period
}

// defaults are of a level that bounds nothing.
func (l *DegradationLevel) defaults() {
	l.EnterDelay, l.LeaveDelay, l.RetryPolicy, l.CrossZoneFactor, l.ReportIntervalFactor = 2_000_000, 15_000_000, 3, 1, 1
}

// TriggerCount are the figures that a level goes by; docs/levels.md says what each is.
type Triggers struct {
	Load        float64 `json:"load"`
	Lost        float64 `json:"lost"`
	Unreachable float64 `json:"unreachable"`
	Shed        float64 `json:"shed"`
	Behind      float64 `json:"behind"`
}

func (r Triggers) all() [degradation.TriggerCount]float64 {
	return [degradation.TriggerCount]float64{degradation.TriggerLoad: r.Load, degradation.TriggerLostCapacity: r.Lost, degradation.TriggerUnreachable: r.Unreachable, degradation.TriggerShedReports: r.Shed,
		degradation.TriggerBehind: r.Behind}
}

// ClassBounds are a level's for one request kind.
type ClassBounds struct {
	Name        string  `json:"name"`
	Share       float64 `json:"share"`      // of what is let in, in work, that it may use; 1: all
	RetryPolicy int     `json:"second_try"` // -1: as the level has it
}

func (k *ClassBounds) defaults() { k.Share, k.RetryPolicy = 1, -1 }

// Fallback is what a gateway does by the table that it holds while it reaches no coordinator.
type Fallback struct {
	Level    string   `json:"level"` // empty: it goes on as it is
	After    Duration `json:"after"` // without a word from a coordinator
	Duration Duration `json:"for"`   // afterwards its table holds again as it is
}

// DegradationSettings are the levels of service as package service has them, and the fallback.
func (c Config) DegradationSettings() (degradation.Settings, degradation.Fallback) {
	s := degradation.Settings{Period: policyapi.Microseconds(c.Reports.Period)}
	for _, z := range c.Zones {
		s.Zones = append(s.Zones, policyapi.Zone(z))
	}
	for _, k := range c.Classes {
		s.Classes = append(s.Classes, k.Name)
	}
	for _, l := range c.Degradation.Levels {
		one := degradation.Level{Name: l.Name, Enter: l.Enter.all(), Leave: l.Leave.all(), EnterDelay: policyapi.Microseconds(l.EnterDelay),
			LeaveDelay: policyapi.Microseconds(l.LeaveDelay), Bounds: degradation.Unbounded(len(c.Classes))}
		b := &one.Bounds
		b.CrossZoneFactor, b.MaxEndpoints, b.MaxHealthChecks, b.ReportIntervalFactor = l.CrossZoneFactor, l.MaxEndpoints, l.MaxHealthChecks, l.ReportIntervalFactor
		for k := range c.Classes {
			b.RetryPolicy[k] = l.RetryPolicy
			for _, kind := range l.Classes {
				if kind.Name == c.Classes[k].Name {
					if b.Share[k] = kind.Share; kind.RetryPolicy >= 0 {
						b.RetryPolicy[k] = kind.RetryPolicy
					}
				}
			}
		}
		s.Levels = append(s.Levels, one)
	}
	f := degradation.Fallback{After: policyapi.Microseconds(c.Degradation.Fallback.After), Duration: policyapi.Microseconds(c.Degradation.Fallback.Duration)}
	if c.Degradation.Fallback.Level != "" {
		f.Level, _ = s.LevelNamed(c.Degradation.Fallback.Level)
	}
	return s, f
}

// Limits bound what peers may cost.
type Limits struct {
	Connections int `json:"connections"` // in all
	PerAddress  int `json:"per_address"` // from one address
	Requests    int `json:"requests"`    // on one connection; 0: no limit
}

// Default has the value of every key that may be left out.
func Default() Config {
	const ms, s = 1000, 1_000_000
	return Config{
		Coordinator: Coordinator{Instances: 1, Seed: 1},
		Listen:      "127.0.0.1:0",
		LogLevel:    "info",
		Delivery:    Delivery{Files: FileDelivery{Writers: 4}, Poll: PollDelivery{Enabled: true, MaxWait: 25 * s, MaxPending: 20000, DeltaBases: 8}},
		Registry:    Registry{File: FileRegistry{PollInterval: 500 * ms}, Eureka: []EurekaRegistry{}},
		Rules: Rules{EmptyTableLimit: 5 * s, DrainGracePeriod: 3 * s, WarmUp: 17 * s, InitialCapacity: 0.16, OverloadFactor: 2.5,
			OverloadWindow: 2 * s, RemovalIsDrain: true, QueueLimit: 8000, MessageLimit: 20, MessageWindow: 10 * s},
		Channel: Channel{LinesPerSecond: 6000, MessageOverhead: 6, Latency: 100 * ms, MaxLatency: 500 * ms, EndpointConnections: 200},
		Reports: Reports{Period: 1 * s, MaxLinesPerSecond: 2000, SamplingLimit: 300_000, Metrics: []string{"util", "queue"}},
		Gateways: Gateways{ExpectedCount: 1, EjectionThreshold: 5,
			SilenceTimeout: 5 * s},
		HealthChecks: HealthChecks{Allowed: true, Path: "/healthz", Timeout: 250 * ms, Concurrency: 8},
		Trace:        Trace{SampleRatio: 1},
		Admission:    "rate",
		Solver:       Solver{Enabled: true},
		Limits:       Limits{Connections: 30000, PerAddress: 30000},
		Capture:      Capture{Enabled: true, MaxBytes: 1 << 30, SegmentBytes: 64 << 20, MaxAge: 3600 * s},
		Recovery:     Recovery{Enabled: true},
	}
}

// Finding is one thing that is wrong in a file.
type Finding struct {
	File, Key string
	Line      int // from 1
	Problem   string
	Remedy    string // what would be right
}

func (f Finding) String() string {
	return fmt.Sprintf("%s:%d: %s: %s, %s", f.File, f.Line, f.Key, f.Problem, f.Remedy)
}

// ValidationError is an error that holds everything found.
type ValidationError []Finding

func (f ValidationError) Error() string {
	lines := make([]string, len(f))
	for i, one := range f {
		lines[i] = one.String()
	}
	return strings.Join(lines, "\n")
}

// ErrUnreadable is a file that can't be opened.
var ErrUnreadable = errors.New("can't be read")

// TriggerLoad reads and checks a file. The error is Findings, or wraps ErrUnreadable.
func Load(path string) (Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("%s: %w: %v", path, ErrUnreadable, err)
	}
	return Parse(path, text)
}

// Parse reads and checks a text; the name of its file stands in findings. The error is Findings.
func Parse(file string, text []byte) (Config, error) {
	cfg := Default()
	d := decoder{file: file, text: text, lines: map[string]int{}}
	d.document(&cfg)
	if len(d.found) == 0 {
		d.check(cfg)
	}
	if len(d.found) > 0 {
		slices.SortStableFunc(d.found, func(a, b Finding) int { return a.Line - b.Line })
		return cfg, ValidationError(d.found)
	}
	return cfg, nil
}

// Decode reads any text of this form into a struct whose fields have json tags; the error is Findings. Keys that are
// not known, stand twice or have the wrong type are named by line; the struct's own values are the defaults.
func Decode(file string, text []byte, into any) error {
	d := decoder{file: file, text: text, lines: map[string]int{}}
	d.document(into)
	if len(d.found) > 0 {
		return ValidationError(d.found)
	}
	return nil
}

// check looks for values out of range and for contradictions.
func (d *decoder) check(c Config) {
	need := func(ok bool, key, wrong, right string) {
		if !ok {
			d.finding(d.lineOf(key), key, wrong, right)
		}
	}
	positive := func(key string, v float64) {
		need(v > 0, key, fmt.Sprintf("is %v", v), "it must be above 0")
	}
	host, _, err := net.SplitHostPort(c.Listen)
	need(err == nil, "listen", fmt.Sprintf("%q is no address and port", c.Listen), `such as "127.0.0.1:7070"`)
	if ip := net.ParseIP(host); err == nil {
		need(ip != nil && ip.IsLoopback(), "listen", fmt.Sprintf("%q is not on loopback", host),
			"there is no authentication yet: it must be 127.0.0.1 or ::1")
	}
	need(c.Delivery.Files.Dir != "", "front.files.dir", "is missing", "name the folder that gateways read")
	need(c.Registry.File.Path != "" || len(c.Registry.Eureka) > 0, "registry.file.path", "is missing", "name the node list, or a registry in registry.eureka")
	for i, e := range c.Registry.Eureka {
		key := func(k string) string { return fmt.Sprintf("registry.eureka[%d].%s", i, k) }
		same := slices.ContainsFunc(c.Registry.Eureka[:i], func(o EurekaRegistry) bool { return o.Name == e.Name })
		need(e.Name != "" && e.Name != "file" && e.Name != "operator" && e.Name != "gateways" && !same, key("name"), fmt.Sprintf("is %q", e.Name),
			"give each registry a name of its own; file, operator and gateways are taken")
		need(len(e.Addresses) > 0, key("addresses"), "is empty", "name its base URLs")
		for j, a := range e.Addresses {
			u, err := url.Parse(a)
			need(err == nil && u.Scheme == "http" && u.Host != "" && !strings.HasSuffix(a, "/"), key(fmt.Sprintf("addresses[%d]", j)),
				fmt.Sprintf("%q is no base URL", a), "such as http://127.0.0.1:8761/eureka, without a slash at its end")
		}
		need(e.App == "" || e.VIP == "", key("vip"), "stands beside app", "name one of them")
		need(!e.Deltas || e.App == "" && e.VIP == "", key("deltas"), "stands beside app or vip", "there are deltas of all applications only")
		need(e.Zone == "" || slices.Contains(c.Zones, e.Zone), key("zone"), fmt.Sprintf("%q is not one of zones", e.Zone), "name one of them")
		r := e.Registration
		need(r.App == "" || r.ID != "" && r.IP != "" && r.Port > 0 && r.Port < 65536, key("register"), "lacks id, ip or port", "an entry needs them")
	}
	need(len(c.Zones) > 0, "zones", "is empty", "name at least one zone")
	for i, z := range c.Zones {
		need(!slices.Contains(c.Zones[:i], z), fmt.Sprintf("zones[%d]", i), fmt.Sprintf("%q stands twice", z), "name each zone once")
	}
	need(slices.Contains(c.Zones, c.Coordinator.Zone), "coordinator.zone",
		fmt.Sprintf("%q is not one of zones", c.Coordinator.Zone), "name the zone that this coordinator stands in")
	need(c.Coordinator.Index >= 0 && c.Coordinator.Index < max(1, c.Coordinator.Instances), "coordinator.index",
		fmt.Sprintf("is %d of %d", c.Coordinator.Index, c.Coordinator.Instances), "it counts from 0 and stays under instances")
	need(len(c.Classes) > 0 && len(c.Classes) <= 64, "request_kinds", fmt.Sprintf("has %d", len(c.Classes)), "name 1 to 64")
	names := map[string]bool{}
	for i, k := range c.Classes {
		key := fmt.Sprintf("request_kinds[%d].", i)
		need(k.Name != "" && !names[k.Name], key+"name", fmt.Sprintf("%q is empty or stands twice", k.Name), "name each kind once")
		names[k.Name] = true
		need(slices.Contains([]string{"replayable", "uniqued", "non-replayable"}, k.Idempotency), key+"repeat",
			fmt.Sprintf("is %q", k.Idempotency), "it must be replayable, uniqued or non-replayable")
		if k.Idempotency == "uniqued" {
			need(slices.Contains([]string{"all", "zone", "pod"}, k.DeduplicationScope), key+"repeat_scope",
				fmt.Sprintf("is %q", k.DeduplicationScope), "of a uniqued kind it must be all, zone or pod")
		} else {
			need(k.DeduplicationScope == "", key+"repeat_scope", "is set", "only uniqued kinds have one")
		}
		positive(key+"response_target", float64(k.LatencyObjective))
		need(k.ClientTimeout >= k.LatencyObjective, key+"client_timeout", "is shorter than the response target",
			"clients wait at least as long as the target")
		positive(key+"payoff", k.PriorityWeight)
		for _, z := range k.AllowedZones {
			need(slices.Contains(c.Zones, z), key+"only_zones", fmt.Sprintf("%q is not one of zones", z), "name zones that exist")
		}
	}
	r := c.Rules
	positive("rules.empty_for", float64(r.EmptyTableLimit))
	positive("rules.drain_grace", float64(r.DrainGracePeriod))
	need(r.InitialCapacity > 0 && r.InitialCapacity <= 1, "rules.cold_from", fmt.Sprintf("is %v", r.InitialCapacity), "it must be above 0 and at most 1")
	need(r.OverloadFactor > 1, "rules.cold_multiple", fmt.Sprintf("is %v", r.OverloadFactor), "it must be above 1")
	positive("rules.cold_window", float64(r.OverloadWindow))
	positive("rules.messages_in", float64(r.MessageWindow))
	need(r.MessageLimit == 0 || r.MessageLimit >= 4, "rules.messages", fmt.Sprintf("is %d", r.MessageLimit),
		"it must be 4 or more, or 0 for no limit")
	need(r.QueueLimit >= 2*c.Channel.MessageOverhead*float64(c.Gateways.ExpectedCount), "rules.waiting_lines",
		fmt.Sprintf("%v is under two envelopes for each of %d gateways", r.QueueLimit, c.Gateways.ExpectedCount),
		"a change to all gateways must fit")
	positive("channel.lines_per_s", c.Channel.LinesPerSecond)
	need(c.Channel.MessageOverhead >= 0, "channel.envelope", "is below 0", "it must be 0 or more")
	need(c.Channel.MaxLatency >= c.Channel.Latency, "channel.worst_transit", "is shorter than transit", "it must be as long or longer")
	need(r.DrainGracePeriod > c.Channel.MaxLatency, "rules.drain_grace", "is not longer than channel.worst_transit",
		"an order must be able to arrive within the grace")
	positive("reports.period", float64(c.Reports.Period))
	positive("reports.lines_per_s", c.Reports.MaxLinesPerSecond)
	need(c.Gateways.ExpectedCount > 0, "gateways.expected", fmt.Sprintf("is %d", c.Gateways.ExpectedCount), "it must be 1 or more")
	need(c.Gateways.SilenceTimeout >= 2*c.Reports.Period, "gateways.silent_after", "is under two report periods",
		"one late report must not cut a gateway off")
	positive("probes.timeout", float64(c.HealthChecks.Timeout))
	need(c.HealthChecks.Concurrency > 0, "probes.at_once", fmt.Sprintf("is %d", c.HealthChecks.Concurrency), "it must be 1 or more")
	need(c.Delivery.Files.Writers > 0 && c.Delivery.Files.Writers <= 64, "front.files.writers",
		fmt.Sprintf("is %d", c.Delivery.Files.Writers), "it must be 1 to 64")
	need(c.Delivery.Poll.MaxPending > 0 && c.Delivery.Poll.DeltaBases > 0, "front.poll", fmt.Sprintf("most is %d, deltas %d", c.Delivery.Poll.MaxPending, c.Delivery.Poll.DeltaBases),
		"both must be 1 or more")
	need(c.Reports.SamplingLimit >= 0, "reports.intake", fmt.Sprintf("is %d", c.Reports.SamplingLimit), "lines a second, or 0 for all")
	need(c.Capture.SegmentBytes >= 4096 && c.Capture.MaxBytes >= 2*c.Capture.SegmentBytes && c.Capture.MaxAge > 0, "capture",
		fmt.Sprintf("budget is %d, segment %d, age %d us", c.Capture.MaxBytes, c.Capture.SegmentBytes, c.Capture.MaxAge),
		"a segment has at least 4096 bytes, the budget is at least two of them, and age is above 0")
	need(c.Limits.Connections > 0 && c.Limits.PerAddress > 0 && c.Limits.Requests >= 0, "limits",
		fmt.Sprintf("has %d connections, %d from an address, %d requests", c.Limits.Connections, c.Limits.PerAddress, c.Limits.Requests),
		"connections must be 1 or more, requests 0 or more")
	need(c.Trace.SampleRatio >= 0 && c.Trace.SampleRatio <= 1, "trace.part", fmt.Sprintf("is %v", c.Trace.SampleRatio), "0 to 1")
	if c.Trace.Endpoint != "" {
		host, _, err := net.SplitHostPort(c.Trace.Endpoint)
		ip := net.ParseIP(host)
		need(err == nil && ip != nil && ip.IsLoopback(), "trace.endpoint", fmt.Sprintf("%q is no loopback address and port", c.Trace.Endpoint),
			`such as "127.0.0.1:4318": spans go out without authentication`)
	}
	need(slices.Contains([]string{"rate", "share", "off"}, c.Admission), "levels", fmt.Sprintf("is %q", c.Admission), "it must be rate, share or off")
	need(slices.Contains([]string{"debug", "info", "warn", "error"}, c.LogLevel), "log_level",
		fmt.Sprintf("is %q", c.LogLevel), "it must be debug, info, warn or error")
	d.checkService(c, need)
	for i, l := range c.Reports.Metrics {
		need(slices.Contains([]string{"util", "queue", "qps"}, l), fmt.Sprintf("reports.loads[%d]", i),
			fmt.Sprintf("%q is not known", l), "it must be util, queue or qps")
	}
}

// checkService looks for levels that can't be left, swing or waste, as package service has it.
func (d *decoder) checkService(c Config, need func(ok bool, key, wrong, right string)) {
	set, fallback := c.DegradationSettings()
	for i, l := range c.Degradation.Levels {
		seen := map[string]bool{}
		for j, k := range l.Classes {
			key := fmt.Sprintf("service.levels[%d].kinds[%d].name", i, j)
			need(slices.Contains(set.Classes, k.Name) && !seen[k.Name], key, fmt.Sprintf("%q is no request kind or stands twice", k.Name),
				"name each of request_kinds once at most")
			seen[k.Name] = true
		}
		need(c.Admission != "off" || len(l.Classes) == 0, fmt.Sprintf("service.levels[%d].kinds", i), "bounds shares, and levels is off",
			"gateways turn nothing away with levels off: leave kinds out")
	}
	for _, f := range set.Check() {
		key := "service.levels"
		if f.Level >= 0 {
			key = fmt.Sprintf("service.levels[%d]", f.Level)
			if f.Key != "" {
				key += "." + f.Key
			}
		}
		d.finding(d.lineOf(key), key, f.Problem, f.Remedy)
	}
	f := c.Degradation.Fallback
	need(f.Level == "" || fallback.Level > 0, "service.fallback.level", fmt.Sprintf("%q is no level", f.Level), "name one of service.levels")
	need(f.Level == "" || f.Duration > 0 && f.After >= c.Gateways.SilenceTimeout, "service.fallback", fmt.Sprintf("begins after %d ms and lasts %d ms", f.After/1000, f.Duration/1000),
		"it must not begin before gateways.silent_after, and must end")
}

// Start is what the decision module is handed at its start.
func (c Config) Start() policyapi.Start {
	up := policyapi.Start{Seed: uint64(c.Coordinator.Seed), Self: policyapi.PeerID(c.Coordinator.Index), InstanceCount: max(1, c.Coordinator.Instances),
		Zone: policyapi.Zone(c.Coordinator.Zone), ProxyCount: c.Gateways.ExpectedCount, PollsList: true, EjectionThreshold: c.Gateways.EjectionThreshold,
		WeightsListed: true}
	for _, z := range c.Zones {
		up.Zones = append(up.Zones, policyapi.Zone(z))
	}
	for _, k := range c.Classes {
		kind := policyapi.ClassSettings{Name: k.Name, LatencyObjective: policyapi.Microseconds(k.LatencyObjective),
			ClientTimeout: policyapi.Microseconds(k.ClientTimeout), PriorityWeight: k.PriorityWeight, LocalZoneOnly: k.LocalZoneOnly}
		switch k.Idempotency {
		case "replayable":
			kind.Idempotency = policyapi.Idempotent
		case "uniqued":
			kind.Idempotency = policyapi.IdempotentWithKey
			if kind.DeduplicationScope = k.DeduplicationScope; k.DeduplicationScope == "pod" {
				kind.DeduplicationScope = "cell"
			}
		}
		for _, z := range k.AllowedZones {
			kind.AllowedZones = append(kind.AllowedZones, policyapi.Zone(z))
		}
		up.Classes = append(up.Classes, kind)
	}
	r := c.Rules
	up.Rules = policyapi.RuleSettings{EmptyTableLimit: policyapi.Microseconds(r.EmptyTableLimit), DrainGracePeriod: policyapi.Microseconds(r.DrainGracePeriod),
		WarmUp: policyapi.Microseconds(r.WarmUp), InitialCapacity: r.InitialCapacity, OverloadFactor: r.OverloadFactor, OverloadWindow: policyapi.Microseconds(r.OverloadWindow),
		SoftRemoval: !r.RemovalIsDrain, QueueLimit: r.QueueLimit, MessageLimit: r.MessageLimit, MessageWindow: policyapi.Microseconds(r.MessageWindow),
		HealthChecksAllowed: c.HealthChecks.Allowed}
	up.Channel = policyapi.ChannelSettings{LinesPerSecond: c.Channel.LinesPerSecond, MessageOverhead: c.Channel.MessageOverhead,
		Latency: policyapi.Microseconds(c.Channel.Latency), MaxLatency: policyapi.Microseconds(c.Channel.MaxLatency), EndpointConnections: c.Channel.EndpointConnections}
	up.Reports = policyapi.ReportSettings{Period: policyapi.Microseconds(c.Reports.Period), MaxLinesPerSecond: c.Reports.MaxLinesPerSecond, MetricsInReports: true}
	for _, l := range c.Reports.Metrics {
		up.Reports.MetricNames = append(up.Reports.MetricNames, MetricNames[l])
	}
	up.Admission = map[string]policyapi.AdmissionMode{"off": policyapi.AdmissionOff, "share": policyapi.AdmissionByShare, "rate": policyapi.AdmissionByRate}[c.Admission]
	return up
}

// MetricNames turns the load figures' names in answers into those that the module knows.
var MetricNames = map[string]string{"util": "busy", "queue": "q", "qps": "rate"}

// MarshalJSON writes a length of time as the file has it.
func (d Duration) MarshalJSON() ([]byte, error) {
	return []byte(`"` + (time.Duration(d) * time.Microsecond).String() + `"`), nil
}
