package config

import (
	"fmt"
	"os"
	"slices"
	"time"

	"porthub/policyapi"
)

// Duration is a length of time in microseconds. In the file it is a string with a unit, such as "750ms", "2.5s" or "1m".
type Duration policyapi.Microseconds

const (
	millisecond Duration = 1000
	second      Duration = 1000 * millisecond
	hour        Duration = 3600 * second
)

// MarshalJSON writes the duration in the form of the file.
func (d Duration) MarshalJSON() ([]byte, error) {
	return []byte(`"` + (time.Duration(d) * time.Microsecond).String() + `"`), nil
}

func (d Duration) microseconds() policyapi.Microseconds { return policyapi.Microseconds(d) }

// Config is the content of a configuration file. Default returns the values of keys that are left out.
type Config struct {
	Coordinator  Coordinator    `json:"coordinator"`
	Listen       string         `json:"listen"`    // address and port for gateways and tools; port 0 selects a free one
	StateDir     string         `json:"state_dir"` // directory of the saved endpoint list, pins, snapshots and captures
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

// Default returns a configuration in which every key that may be left out has its default value.
func Default() Config {
	return Config{
		Coordinator: Coordinator{Instances: 1, Seed: 1},
		Listen:      "127.0.0.1:0",
		LogLevel:    "info",
		Delivery: Delivery{
			Files: FileDelivery{Writers: 4},
			Poll:  PollDelivery{Enabled: true, MaxWait: 25 * second, MaxPending: 20000, DeltaBases: 8},
		},
		Registry: Registry{
			File:   FileRegistry{PollInterval: 500 * millisecond},
			Eureka: []EurekaRegistry{},
		},
		Rules: Rules{
			EmptyTableLimit:  5 * second,
			DrainGracePeriod: 3 * second,
			WarmUp:           17 * second,
			InitialCapacity:  0.16,
			OverloadFactor:   2.5,
			OverloadWindow:   2 * second,
			RemovalIsDrain:   true,
			QueueLimit:       8000,
			MessageLimit:     20,
			MessageWindow:    10 * second,
		},
		Channel: Channel{
			LinesPerSecond:      6000,
			MessageOverhead:     6,
			Latency:             100 * millisecond,
			MaxLatency:          500 * millisecond,
			EndpointConnections: 200,
		},
		Reports: Reports{
			Period:            1 * second,
			MaxLinesPerSecond: 2000,
			SamplingLimit:     300_000,
			Metrics:           []string{"util", "queue"},
		},
		Gateways:     Gateways{ExpectedCount: 1, EjectionThreshold: 5, SilenceTimeout: 5 * second},
		HealthChecks: HealthChecks{Allowed: true, Path: "/healthz", Timeout: 250 * millisecond, Concurrency: 8},
		Trace:        Trace{SampleRatio: 1},
		Admission:    "rate",
		Solver:       Solver{Enabled: true},
		Limits:       Limits{Connections: 30000, PerAddress: 30000, MemoryMB: 1024},
		Capture:      Capture{Enabled: true, MaxBytes: 1 << 30, SegmentBytes: 64 << 20, MaxAge: hour},
		Recovery:     Recovery{Enabled: true},
	}
}

// Load reads and validates a file. The error is a ValidationError, or wraps ErrUnreadable.
func Load(path string) (Config, error) {
	text, err := readFile(path)
	if err != nil {
		return Config{}, err
	}
	return Parse(path, text)
}

func readFile(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w: %w", path, ErrUnreadable, err)
	}
	return text, nil
}

// Parse reads and validates the text of a configuration file. The findings contain the file name given. The error is a
// ValidationError.
func Parse(file string, text []byte) (Config, error) {
	cfg := Default()
	d := newDecoder(file, text)
	d.document(&cfg)
	if len(d.findings) == 0 {
		validator{d: d, cfg: cfg}.validate()
	}
	slices.SortStableFunc(d.findings, func(a, b Finding) int { return a.Line - b.Line })
	return cfg, d.err()
}

// Decode reads JSON with comments and trailing commas into a struct whose fields have json tags. A field whose key is left
// out keeps its value. The error is a ValidationError that lists unknown keys, duplicate keys and values of the wrong type.
func Decode(file string, text []byte, into any) error {
	d := newDecoder(file, text)
	d.document(into)
	return d.err()
}
