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

// Scenario describes an emulated fleet, the faults that are injected into it and the checks of the result.
type Scenario struct {
	Name           string             `json:"name"`
	Description    string             `json:"about"`
	Seconds        int                `json:"seconds"`
	Zones          []string           `json:"zones"`
	EndpointCount  int                `json:"nodes"`
	EndpointCores  int                `json:"cores"`
	GatewayCount   int                `json:"gateways"`
	RequestRate    float64            `json:"reqs_per_s"`     // total of all gateways
	GatewaySpread  float64            `json:"gateway_spread"` // sigma of the gateways' log-normal request rates; 0: equal rates
	Classes        []Class            `json:"request_kinds"`
	Rules          config.Rules       `json:"rules"`
	ReportPeriod   config.Duration    `json:"report_period"`
	ListDelay      config.Duration    `json:"list_late"` // delay until a change appears in the endpoint list
	Retries        int                `json:"client_retries"`
	QueueLength    int                `json:"node_queue"`
	MaxConnections int                `json:"node_connections"`
	ReadChunk      int                `json:"read_chunk"` // bytes of a table file that gateways read at a time; 0: the whole file
	Registry       string             `json:"registry"`   // source of the endpoint list, file or eureka; empty: file
	Faults         []Fault            `json:"troubles"`
	Checks         []Check            `json:"checks"`
	Service        config.Degradation `json:"service"` // the coordinator's service levels
}

// Class is a request class of a scenario.
type Class struct {
	Name             string          `json:"name"`
	Share            float64         `json:"share"` // fraction of all requests
	Work             config.Duration `json:"work"`  // mean CPU time of a request
	Idempotency      string          `json:"repeat"`
	LatencyObjective config.Duration `json:"response_target"`
	ClientTimeout    config.Duration `json:"client_timeout"`
	PriorityWeight   float64         `json:"payoff"`
}

// idempotent reports whether requests of the class may be executed more than once.
func (c Class) idempotent() bool { return c.Idempotency == "replayable" }

// Fault schedules the injection of a fault. The meaning of Share, Size and Extra depends on the fault: see [DescribeFault].
type Fault struct {
	Name     string          `json:"what"`
	At       config.Duration `json:"at"` // since the start of the run
	Duration config.Duration `json:"for"`
	Share    float64         `json:"part"`
	Size     float64         `json:"size"`
	Extra    float64         `json:"extra"`
	Zone     string          `json:"zone"`
	Class    string          `json:"kind"`
}

// end returns the time at which the fault ends.
func (f Fault) end() time.Duration { return duration(f.At + f.Duration) }

// active reports whether the fault is active at the given time.
func (f Fault) active(at time.Duration) bool { return at >= duration(f.At) && at < f.end() }

// Check bounds a value of the result of a scenario.
type Check struct {
	// Name is the name of a checked value, such as service, or kind:CLASS for the service of a class.
	Name    string  `json:"name"`
	AtLeast float64 `json:"at_least"`
	AtMost  float64 `json:"at_most"` // applies if it is not 0, or if AtLeast is 0 or less
}

//go:embed scenarios/*.json
var builtIn embed.FS

// ErrInvalidScenario is returned for a scenario that can't be read or is not valid.
var ErrInvalidScenario = errors.New("invalid scenario")

// singleFaultPrefix begins the names of scenarios with a single fault.
const singleFaultPrefix = "only:"

// List returns the names and descriptions of the built-in scenarios.
func List() (names, descriptions []string) {
	entries, _ := builtIn.ReadDir("scenarios") // it can't fail, as the directory is embedded
	for _, entry := range entries {
		name := strings.TrimSuffix(entry.Name(), ".json")
		scenario, err := Load(name)
		if err != nil {
			continue
		}
		names = append(names, name)
		descriptions = append(descriptions, scenario.Description)
	}
	return names, descriptions
}

// defaultScenario returns the defaults of keys that a scenario file leaves out.
func defaultScenario() Scenario {
	return Scenario{
		Seconds:        60,
		Zones:          []string{"hala-a", "hala-b", "hala-c"},
		EndpointCount:  18,
		EndpointCores:  2,
		GatewayCount:   15,
		RequestRate:    140,
		GatewaySpread:  0.7,
		Rules:          config.Default().Rules,
		ReportPeriod:   1_000_000,
		ListDelay:      1_500_000,
		Retries:        1,
		QueueLength:    30,
		MaxConnections: 200,
		Classes: []Class{
			{Name: "schedule", Share: 0.39, Work: 160_000, Idempotency: "replayable", LatencyObjective: 750_000, ClientTimeout: 2_500_000, PriorityWeight: 1},
			{Name: "capacity", Share: 0.32, Work: 160_000, Idempotency: "replayable", LatencyObjective: 800_000, ClientTimeout: 2_500_000, PriorityWeight: 1},
			{Name: "save-sim", Share: 0.29, Work: 160_000, Idempotency: "non-replayable", LatencyObjective: 750_000, ClientTimeout: 2_000_000, PriorityWeight: 2},
		},
	}
}

// Load returns the scenario with the given name, which is that of a built-in scenario, only:FAULT for a short run with a
// single fault, or the path of a scenario file. Its errors wrap [ErrInvalidScenario].
func Load(name string) (Scenario, error) {
	if fault, isSingle := strings.CutPrefix(name, singleFaultPrefix); isSingle {
		return singleFault(name, fault)
	}
	scenario := defaultScenario()
	text, err := readScenario(name)
	if err != nil {
		return scenario, err
	}
	if err := config.Decode(name, text, &scenario); err != nil {
		return scenario, fmt.Errorf("%w: %w", ErrInvalidScenario, err)
	}
	if scenario.Name == "" {
		scenario.Name = name
	}
	return scenario, scenario.validate()
}

func readScenario(name string) ([]byte, error) {
	if text, err := builtIn.ReadFile(path.Join("scenarios", name+".json")); err == nil {
		return text, nil
	}
	text, err := os.ReadFile(name)
	if err != nil {
		names, _ := List()
		return nil, fmt.Errorf("%w: %q is neither a built-in scenario (%s) nor only:FAULT nor a readable file: %w",
			ErrInvalidScenario, name, strings.Join(names, ", "), err)
	}
	return text, nil
}

// singleFault returns a short scenario with one fault.
func singleFault(name, fault string) (Scenario, error) {
	scenario := defaultScenario()
	known, ok := faultTypes[fault]
	if !ok {
		return scenario, fmt.Errorf("%w: unknown fault %q: it must be one of %s",
			ErrInvalidScenario, fault, strings.Join(FaultNames(), ", "))
	}
	scenario.Name = name
	scenario.Seconds = 24
	scenario.Description = "a short run with a single fault"
	scheduled := known.defaults
	scheduled.Name = fault
	scheduled.At = 4_000_000
	scenario.Faults = []Fault{scheduled}
	if registryFault, ok := registryFaults[fault]; ok {
		scenario = registryFault.scenario(scenario, fault)
	}
	return scenario, nil
}

// validate returns an [ErrInvalidScenario] that describes the first invalid value.
func (s Scenario) validate() error {
	if !s.hasValidSize() {
		return s.invalid("seconds must be 3 to 3600, nodes and gateways 1 to 2000, cores and reqs_per_s above 0, "+
			"zones and request_kinds not empty: got %d seconds, %d nodes, %d gateways, %d cores, %g reqs_per_s, %d zones, %d request_kinds",
			s.Seconds, s.EndpointCount, s.GatewayCount, s.EndpointCores, s.RequestRate, len(s.Zones), len(s.Classes))
	}
	if s.Registry != "" && s.Registry != "file" && s.Registry != "eureka" {
		return s.invalid("registry is %q: it must be file or eureka", s.Registry)
	}
	for i, fault := range s.Faults {
		if err := s.validateFault(i, fault); err != nil {
			return err
		}
	}
	return nil
}

func (s Scenario) hasValidSize() bool {
	return s.Seconds >= 3 && s.Seconds <= 3600 &&
		s.EndpointCount >= 1 && s.EndpointCount <= 2000 &&
		s.GatewayCount >= 1 && s.GatewayCount <= 2000 &&
		s.EndpointCores >= 1 && s.RequestRate > 0 && len(s.Zones) > 0 && len(s.Classes) > 0
}

func (s Scenario) validateFault(i int, fault Fault) error {
	if _, known := faultTypes[fault.Name]; !known {
		return s.invalid("troubles[%d]: unknown fault %q: it must be one of %s",
			i, fault.Name, strings.Join(FaultNames(), ", "))
	}
	if fault.Zone != "" && !slices.Contains(s.Zones, fault.Zone) {
		return s.invalid("troubles[%d]: unknown zone %q: it must be one of %v", i, fault.Zone, s.Zones)
	}
	if fault.Class != "" && !slices.ContainsFunc(s.Classes, func(c Class) bool { return c.Name == fault.Class }) {
		return s.invalid("troubles[%d]: the scenario has no request class %q", i, fault.Class)
	}
	if fault.Share < 0 || fault.Share > 1 || fault.Size < 0 {
		return s.invalid("troubles[%d]: part must be 0 to 1 and size 0 or more: got %g and %g", i, fault.Share, fault.Size)
	}
	return nil
}

func (s Scenario) invalid(format string, args ...any) error {
	return fmt.Errorf("%w: %s: %s", ErrInvalidScenario, s.Name, fmt.Sprintf(format, args...))
}

// length returns the duration of the run.
func (s Scenario) length() time.Duration { return time.Duration(s.Seconds) * time.Second }

func duration(d config.Duration) time.Duration { return time.Duration(d) * time.Microsecond }

// Config returns the coordinator's configuration for the scenario, with all files below dir.
func (s Scenario) Config(dir, listen string, seed uint64) config.Config {
	const (
		listPollInterval  = 100_000   // microseconds
		minSilenceTimeout = 3_000_000 // microseconds
		maxSeedValue      = 1 << 31
	)
	c := config.Default()
	c.Coordinator = config.Coordinator{Zone: s.Zones[0], Instances: 1, Seed: int(seed % maxSeedValue)}
	c.Listen = listen
	c.StateDir = path.Join(dir, "state")
	c.Delivery.Files.Dir = tableDir(dir)
	c.Registry.File.Path = listPath(dir)
	c.Registry.File.PollInterval = listPollInterval
	c.Zones = s.Zones
	c.Rules = s.Rules
	c.Degradation = s.Service
	c.Reports.Period = s.ReportPeriod
	c.Gateways.ExpectedCount = s.GatewayCount
	c.Gateways.SilenceTimeout = max(minSilenceTimeout, 3*s.ReportPeriod)
	c.Channel.EndpointConnections = s.MaxConnections
	for _, class := range s.Classes {
		c.Classes = append(c.Classes, config.RequestClass{Name: class.Name, Idempotency: class.Idempotency, LatencyObjective: class.LatencyObjective,
			ClientTimeout: class.ClientTimeout, PriorityWeight: class.PriorityWeight, AllowedZones: []string{}})
	}
	return c
}

// tableDir returns the directory to which the coordinator writes the gateways' tables.
func tableDir(dir string) string { return path.Join(dir, "tables") }

// listPath returns the path of the endpoint list's file.
func listPath(dir string) string { return path.Join(dir, "nodes.json") }
