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

// maxClasses keeps a message within the protocol's 64 parts: a table and an admission level for each request class.
const maxClasses = MaxMessageParts / 2

// ConfigError is a configuration that can't be used.
type ConfigError struct {
	Key string // in the JSON object; empty: the complete text
	Err error
}

func (e *ConfigError) Error() string {
	if e.Key == "" {
		return e.Err.Error()
	}
	return e.Key + ": " + e.Err.Error()
}

func (e *ConfigError) Unwrap() error { return e.Err }

// configError returns a *ConfigError with a formatted text.
func configError(key, format string, args ...any) error {
	return &ConfigError{Key: key, Err: fmt.Errorf(format, args...)}
}

// Limits are what the processes of a coordinator may use together.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Config is a coordinator's configuration.
type Config struct {
	Name       string
	Listen     string // address:port
	Discovery  string // address:port
	Limits     Limits
	CachedList EndpointList // the last list of this coordinator's previous run
	Start      policyapi.Start
	Host       HostSettings
}

// HostSettings are figures of the settings that the decision module does not need but its host does.
type HostSettings struct {
	BatchInterval  policyapi.Microseconds // least time between two batches of events
	ConnectTimeout policyapi.Microseconds // how long a proxy, and therefore a health check, waits for a connection
}

// Keys of NODE_CONFIG's file.
type configJSONKeys struct {
	Name       string          `json:"name"`
	Listen     string          `json:"listen"`
	Discovery  string          `json:"discovery"`
	Seed       string          `json:"seed"`
	Limits     Limits          `json:"limits"`
	CachedList json.RawMessage `json:"known"`
	Settings   json.RawMessage `json:"settings"`
}

// Keys of the settings that the host needs; package simwire reads the others.
type hostSettingsJSON struct {
	BatchInterval policyapi.Microseconds `json:"resolution"`
	Capabilities  struct {
		ConnectTimeout policyapi.Microseconds `json:"connectTimeout"`
	} `json:"caps"`
}

// ChangedSettings returns the keys that differ in another configuration, except discovery's address. Seed and endpoint list are new
// in each configuration and are not compared.
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

// ReadConfig decodes the text of NODE_CONFIG's file. A missing name or address is taken from the environment variables NODE_NAME,
// NODE_LISTEN and NODE_DISCOVERY, which the function variable looks up. An error is a *ConfigError.
func ReadConfig(text []byte, variable func(string) string) (Config, error) {
	var in configJSONKeys
	if err := json.Unmarshal(text, &in); err != nil {
		return Config{}, configError("", "not the JSON of a configuration: %w", err)
	}
	c := Config{
		Name:      valueOrVariable(in.Name, "NODE_NAME", variable),
		Listen:    valueOrVariable(in.Listen, "NODE_LISTEN", variable),
		Discovery: valueOrVariable(in.Discovery, "NODE_DISCOVERY", variable),
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

func valueOrVariable(value, name string, variable func(string) string) string {
	if value == "" {
		return variable(name)
	}
	return value
}

// checkHost checks the addresses and limits.
func (c *Config) checkHost() error {
	if !isHostPort(c.Listen) {
		return configError("listen", "%q is not address:port", c.Listen)
	}
	if !isHostPort(c.Discovery) {
		return configError("discovery", "%q is not address:port", c.Discovery)
	}
	if c.Limits.Cores < 0 || c.Limits.MemoryMB < 0 || c.Limits.Sockets < 0 {
		return configError("limits", "below 0: %+v", c.Limits)
	}
	return nil
}

// readSettings decodes and checks the settings and the seed.
func (c *Config) readSettings(text json.RawMessage, seed string) error {
	if len(text) == 0 {
		return &ConfigError{Key: "settings", Err: errors.New("missing")}
	}
	settings, err := simwire.ParseSettings(text)
	if err != nil {
		return &ConfigError{Key: "settings", Err: err}
	}
	if n := len(settings.Classes); n == 0 || n > maxClasses {
		return configError("settings", "%d classes: 1 to %d fit into a message", n, maxClasses)
	}
	if len(settings.Zones) == 0 || settings.ProxyCount <= 0 {
		return configError("settings", "%d zones and %d proxies: at least one of each is needed", len(settings.Zones), settings.ProxyCount)
	}
	if seed != "" {
		parsed, err := strconv.ParseUint(seed, 16, 64)
		if err != nil {
			return configError("seed", "%q is not a hexadecimal number of 64 bits", seed)
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
