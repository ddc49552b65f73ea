package chaos

import (
	"embed"
	"errors"
	"fmt"
	"os"
	"path"
	"slices"
	"strings"
	"time"

	"porthub/config"
)

// Scenario is a fleet and what befalls it.
type Scenario struct {
	Name           string             `json:"name"`
	About          string             `json:"about"`
	Seconds        int                `json:"seconds"`
	Zones          []string           `json:"zones"`
	EndpointCount  int                `json:"nodes"`
	EndpointCores  int                `json:"cores"` // of a node
	GatewayCount   int                `json:"gateways"`
	RequestRate    float64            `json:"reqs_per_s"`
	GatewaySpread  float64            `json:"gateway_spread"` // of the gateways' sizes: 0 all alike
	Classes        []Class            `json:"request_kinds"`
	Rules          config.Rules       `json:"rules"`
	ReportPeriod   config.Duration    `json:"report_period"`
	ListDelay      config.Duration    `json:"list_late"` // the node list tells so long after the truth
	Retries        int                `json:"client_retries"`
	QueueLength    int                `json:"node_queue"`
	MaxConnections int                `json:"node_connections"`
	ReadChunk      int                `json:"read_chunk"` // gateways read files by so many bytes; 0: at once
	Registry       string             `json:"registry"`   // file or eureka
	Faults         []Fault            `json:"troubles"`
	Checks         []Check            `json:"checks"`
	Service        config.Degradation `json:"service"` // the coordinator's levels of reduced service
}

// Class is a request kind of a scenario.
type Class struct {
	Name             string          `json:"name"`
	Share            float64         `json:"share"`
	Work             config.Duration `json:"work"` // mean core time
	Repeat           string          `json:"repeat"`
	LatencyObjective config.Duration `json:"response_target"`
	ClientTimeout    config.Duration `json:"client_timeout"`
	PriorityWeight   float64         `json:"payoff"`
}

// Fault is one thing that goes wrong. What Part, Size and Extra mean is said in the table of troubles.
type Fault struct {
	Name     string          `json:"what"`
	At       config.Duration `json:"at"`
	Duration config.Duration `json:"for"`
	Share    float64         `json:"part"`
	Size     float64         `json:"size"`
	Extra    float64         `json:"extra"`
	Zone     string          `json:"zone"`
	Class    string          `json:"kind"`
}

// Check is a figure that a scenario has to reach.
type Check struct {
	Name    string  `json:"name"` // service, worst_10s, kind:NAME, partial_reads, orders_p99_ms, stop_ms, converged_s, level_changes, over_standing
	AtLeast float64 `json:"at_least"`
	AtMost  float64 `json:"at_most"` // in use where above 0 or where AtLeast is 0
}

//go:embed scenarios/*.json
var builtIn embed.FS

// ErrScenario is a scenario that can't be read.
var ErrScenario = errors.New("scenario")

// List names the built-in scenarios with what they are about.
func List() (names, about []string) {
	entries, _ := builtIn.ReadDir("scenarios")
	for _, e := range entries {
		name := strings.TrimSuffix(e.Name(), ".json")
		s, err := Load(name)
		if err != nil {
			continue
		}
		names, about = append(names, name), append(about, s.About)
	}
	return names, about
}

func defaultScenario() Scenario {
	return Scenario{Seconds: 60, Zones: []string{"hala-a", "hala-b", "hala-c"}, EndpointCount: 18, EndpointCores: 2, GatewayCount: 15, RequestRate: 140, GatewaySpread: 0.7,
		Classes: []Class{
			{"schedule", 0.39, 160_000, "replayable", 750_000, 2_500_000, 1},
			{"capacity", 0.32, 160_000, "replayable", 800_000, 2_500_000, 1},
			{"save-sim", 0.29, 160_000, "non-replayable", 750_000, 2_000_000, 2}},
		Rules: config.Default().Rules, ReportPeriod: 1_000_000, ListDelay: 1_500_000, Retries: 1, QueueLength: 30, MaxConnections: 200}
}

// Load reads a scenario: a built-in one by its name, only:TROUBLE for that trouble alone in the middle of a short run,
// or a file.
func Load(name string) (Scenario, error) {
	s := defaultScenario()
	if what, alone := strings.CutPrefix(name, "only:"); alone {
		t, known := faultTypes[what]
		if !known {
			return s, fmt.Errorf("%w: there is no trouble %q, but %s", ErrScenario, what, strings.Join(FaultNames(), ", "))
		}
		s.Name, s.Seconds, s.About = name, 24, "that trouble alone"
		one := t.usual
		one.Name, one.At = what, 4_000_000
		s.Faults = []Fault{one}
		if _, is := registryFaults[what]; is {
			registryAlone(&s, what)
		}
		return s, nil
	}
	text, err := builtIn.ReadFile(path.Join("scenarios", name+".json"))
	if err != nil {
		if text, err = os.ReadFile(name); err != nil {
			names, _ := List()
			return s, fmt.Errorf("%w: %q is no built-in one (%s), no only:TROUBLE and no file: %v", ErrScenario, name,
				strings.Join(names, ", "), err)
		}
	}
	if err := config.Decode(name, text, &s); err != nil {
		return s, fmt.Errorf("%w: %w", ErrScenario, err)
	}
	if s.Name == "" {
		s.Name = name
	}
	return s, s.validate()
}

func (s Scenario) validate() error {
	bad := func(format string, args ...any) error {
		return fmt.Errorf("%w: %s: %s", ErrScenario, s.Name, fmt.Sprintf(format, args...))
	}
	if s.Seconds < 3 || s.Seconds > 3600 || s.EndpointCount < 1 || s.EndpointCount > 2000 || s.GatewayCount < 1 || s.GatewayCount > 2000 || s.EndpointCores < 1 ||
		s.RequestRate <= 0 || len(s.Zones) == 0 || len(s.Classes) == 0 {
		return bad("it needs 3 to 3600 seconds, 1 to 2000 nodes and gateways, cores, reqs, zones and kinds")
	}
	if s.Registry != "" && s.Registry != "file" && s.Registry != "eureka" {
		return bad("registry is %q: it must be file or eureka", s.Registry)
	}
	for i, t := range s.Faults {
		if _, known := faultTypes[t.Name]; !known {
			return bad("troubles[%d]: there is no %q, but %s", i, t.Name, strings.Join(FaultNames(), ", "))
		}
		if t.Zone != "" && !slices.Contains(s.Zones, t.Zone) {
			return bad("troubles[%d]: %q is not one of %v", i, t.Zone, s.Zones)
		}
		if t.Class != "" && !slices.ContainsFunc(s.Classes, func(k Class) bool { return k.Name == t.Class }) {
			return bad("troubles[%d]: there is no request kind %q", i, t.Class)
		}
		if t.Share < 0 || t.Share > 1 || t.Size < 0 {
			return bad("troubles[%d]: part must be 0 to 1 and size 0 or more", i)
		}
	}
	return nil
}

func duration(d config.Duration) time.Duration { return time.Duration(d) * time.Microsecond }

// Config is the coordinator's configuration for the scenario.
func (s Scenario) Config(dir, listen string, seed uint64) config.Config {
	c := config.Default()
	c.Coordinator = config.Coordinator{Zone: s.Zones[0], Instances: 1, Seed: int(seed % (1 << 31))}
	c.Listen, c.StateDir = listen, path.Join(dir, "state")
	c.Delivery.Files.Dir, c.Registry.File.Path = path.Join(dir, "tables"), path.Join(dir, "nodes.json")
	c.Registry.File.PollInterval = 100_000
	c.Zones, c.Rules, c.Degradation = s.Zones, s.Rules, s.Service
	c.Reports.Period = s.ReportPeriod
	c.Gateways.ExpectedCount, c.Gateways.SilenceTimeout = s.GatewayCount, max(3_000_000, 3*s.ReportPeriod)
	c.Channel.EndpointConnections = s.MaxConnections
	for _, k := range s.Classes {
		c.Classes = append(c.Classes, config.RequestClass{Name: k.Name, Idempotency: k.Repeat, LatencyObjective: k.LatencyObjective, ClientTimeout: k.ClientTimeout,
			PriorityWeight: k.PriorityWeight, AllowedZones: []string{}})
	}
	return c
}
