package proxyproto

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"porthub/policyapi"
	"porthub/simwire"
)

// maxClasses is the largest number of request classes. A message to a proxy may need two of its MaxMessageParts parts for each
// class: one for a table and one for an admission level.
const maxClasses = MaxMessageParts / 2

// ConfigError describes an invalid configuration.
type ConfigError struct {
	Key string // key in the JSON object; empty if the error concerns the complete text
	Err error
}

func (e *ConfigError) Error() string {
	if e.Key == "" {
		return e.Err.Error()
	}
	return e.Key + ": " + e.Err.Error()
}

func (e *ConfigError) Unwrap() error { return e.Err }

// configError returns a *ConfigError for a key, with a formatted error.
func configError(key, format string, args ...any) error {
	return &ConfigError{Key: key, Err: fmt.Errorf(format, args...)}
}

// Limits are the resources that all processes of a coordinator may use together.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Config is the configuration of a coordinator.
type Config struct {
	Name       string
	Listen     string // address:port
	Discovery  string // address:port
	Limits     Limits
	CachedList EndpointList // the last endpoint list of the coordinator's previous run
	Start      policyapi.Start
	Host       HostSettings
}

// HostSettings are the settings that the host of the decision module needs and the module itself does not.
type HostSettings struct {
	BatchInterval  policyapi.Microseconds // minimum time between two batches of events
	ConnectTimeout policyapi.Microseconds // how long a proxy, and therefore a health check, waits for a connection
}

// configJSONKeys has the keys of the JSON object in NODE_CONFIG's file.
type configJSONKeys struct {
	Name       string          `json:"name"`
	Listen     string          `json:"listen"`
	Discovery  string          `json:"discovery"`
	Seed       string          `json:"seed"`
	Limits     Limits          `json:"limits"`
	CachedList json.RawMessage `json:"known"`
	Settings   json.RawMessage `json:"settings"`
}

// hostSettingsJSON has the keys of the settings that the host needs; package simwire reads the others.
type hostSettingsJSON struct {
	BatchInterval policyapi.Microseconds `json:"resolution"`
	Capabilities  struct {
		ConnectTimeout policyapi.Microseconds `json:"connectTimeout"`
	} `json:"caps"`
}

// ChangedSettings returns the keys whose values differ in another configuration, except discovery's address. The seed and the
// endpoint list are new in each configuration and are not compared.
func (c *Config) ChangedSettings(other Config) (names []string) {
	if c.Name != other.Name {
		names = append(names, "name")
	}
	if c.Listen != other.Listen {
		names = append(names, "listen")
	}
	if c.Limits != other.Limits {
		names = append(names, "limits")
	}
	if !reflect.DeepEqual(withoutSeed(c.Start), withoutSeed(other.Start)) || c.Host != other.Host {
		names = append(names, "settings")
	}
	return names
}

func withoutSeed(settings policyapi.Start) policyapi.Start {
	settings.Seed = 0
	return settings
}

// isHostPort reports whether a text has the form address:port, without looking up the address.
func isHostPort(text string) bool {
	i := strings.LastIndexByte(text, ':')
	if i < 0 {
		return false
	}
	port, err := strconv.ParseUint(text[i+1:], 10, 16)
	return err == nil && (port > 0 || i > 0)
}

// ReadConfig decodes the content of NODE_CONFIG's file. A missing name or address is taken from the environment variables
// NODE_NAME, NODE_LISTEN and NODE_DISCOVERY, which getenv looks up. Errors have the type *ConfigError.
func ReadConfig(text []byte, getenv func(string) string) (Config, error) {
	var in configJSONKeys
	if err := json.Unmarshal(text, &in); err != nil {
		return Config{}, configError("", "invalid JSON configuration: %w", err)
	}
	c := Config{
		Name:      valueOrEnv(in.Name, "NODE_NAME", getenv),
		Listen:    valueOrEnv(in.Listen, "NODE_LISTEN", getenv),
		Discovery: valueOrEnv(in.Discovery, "NODE_DISCOVERY", getenv),
		Limits:    in.Limits,
	}
	if err := c.checkHost(); err != nil {
		return c, err
	}
	if err := c.readSettings(in.Settings, in.Seed); err != nil {
		return c, err
	}
	if len(in.CachedList) > 0 && string(in.CachedList) != "null" {
		list, err := ReadEndpointList(in.CachedList, c.Start.Zones)
		if err != nil {
			return c, &ConfigError{Key: "known", Err: err}
		}
		c.CachedList = list
	}
	return c, nil
}

func valueOrEnv(value, name string, getenv func(string) string) string {
	if value == "" {
		return getenv(name)
	}
	return value
}

// checkHost validates the addresses and limits.
func (c *Config) checkHost() error {
	if !isHostPort(c.Listen) {
		return configError("listen", "%q does not have the form address:port", c.Listen)
	}
	if !isHostPort(c.Discovery) {
		return configError("discovery", "%q does not have the form address:port", c.Discovery)
	}
	if c.Limits.Cores < 0 || c.Limits.MemoryMB < 0 || c.Limits.Sockets < 0 {
		return configError("limits", "must not be negative: %+v", c.Limits)
	}
	return nil
}

// readSettings decodes and validates the settings and the seed.
func (c *Config) readSettings(text json.RawMessage, seed string) error {
	if len(text) == 0 {
		return &ConfigError{Key: "settings", Err: errors.New("required key is missing")}
	}
	settings, err := simwire.ParseSettings(text)
	if err != nil {
		return &ConfigError{Key: "settings", Err: err}
	}
	if n := len(settings.Classes); n == 0 || n > maxClasses {
		return configError("settings", "%d request classes, want 1 to %d so that all fit into one message", n, maxClasses)
	}
	if len(settings.Zones) == 0 || settings.ProxyCount <= 0 {
		return configError("settings", "%d zones and %d proxies, want at least one of each", len(settings.Zones), settings.ProxyCount)
	}
	if seed != "" {
		parsed, err := strconv.ParseUint(seed, 16, 64)
		if err != nil {
			return configError("seed", "%q is not a 64-bit hexadecimal number", seed)
		}
		settings.Seed = parsed
	}
	c.Start = settings
	var host hostSettingsJSON
	if err := json.Unmarshal(text, &host); err != nil {
		return &ConfigError{Key: "settings", Err: err}
	}
	c.Host = HostSettings{BatchInterval: host.BatchInterval, ConnectTimeout: host.Capabilities.ConnectTimeout}
	return nil
}
