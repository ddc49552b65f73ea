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

// maxClasses keeps a message within the protocol's 64 parts: a table and a level for each kind.
const maxClasses = MaxOrderParts / 2

// Limits are what the processes of a coordinator may use together.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Config is what a coordinator is told at its start.
type Config struct {
	Name       string
	Listen     string
	Discovery  string
	Limits     Limits
	CachedList EndpointList // as this coordinator last had it
	Start      policyapi.Start
	Host       HostSettings
}

// HostSettings are figures of the settings that the module does not need but its host does.
type HostSettings struct {
	BatchInterval  policyapi.Microseconds // batches come no more often
	ConnectTimeout policyapi.Microseconds // how long a proxy waits for a connection, and so does a probe
}

// ChangedSettings names what else than discovery's address is not the same in another configuration. Seed and list are new with
// each.
func (c Config) ChangedSettings(other Config) (names []string) {
	seedless := func(up policyapi.Start) policyapi.Start {
		up.Seed = 0
		return up
	}
	for _, f := range []struct {
		name string
		same bool
	}{{"name", c.Name == other.Name}, {"listen", c.Listen == other.Listen}, {"limits", c.Limits == other.Limits},
		{"settings", reflect.DeepEqual(seedless(c.Start), seedless(other.Start)) && c.Host == other.Host}} {
		if !f.same {
			names = append(names, f.name)
		}
	}
	return names
}

// isHostPort tells whether a text is address:port, as far as can be told without the network.
func isHostPort(text string) bool {
	i := strings.LastIndexByte(text, ':')
	if i < 0 {
		return false
	}
	port, err := strconv.ParseUint(text[i+1:], 10, 16)
	return err == nil && (port > 0 || i > 0)
}

// ReadConfig reads NODE_CONFIG's text. What it does not say of the addresses and the name, the variables do.
func ReadConfig(text []byte, variable func(string) string) (Config, error) {
	var in struct {
		Name, Listen, Discovery, Seed string
		Limits                        Limits
		Known                         json.RawMessage
		Settings                      json.RawMessage
	}
	if err := json.Unmarshal(text, &in); err != nil {
		return Config{}, fmt.Errorf("not the JSON of a configuration: %w", err)
	}
	or := func(value, name string) string {
		if value == "" {
			return variable(name)
		}
		return value
	}
	c := Config{Name: or(in.Name, "NODE_NAME"), Listen: or(in.Listen, "NODE_LISTEN"), Discovery: or(in.Discovery, "NODE_DISCOVERY"),
		Limits: in.Limits}
	for name, address := range map[string]string{"listen": c.Listen, "discovery": c.Discovery} {
		if !isHostPort(address) {
			return c, fmt.Errorf("%s: %q is not address:port", name, address)
		}
	}
	if in.Limits.Cores < 0 || in.Limits.MemoryMB < 0 || in.Limits.Sockets < 0 {
		return c, fmt.Errorf("limits: below 0: %+v", in.Limits)
	}
	if len(in.Settings) == 0 {
		return c, errors.New("settings: missing")
	}
	up, err := simwire.Settings(in.Settings)
	if err != nil {
		return c, fmt.Errorf("settings: %w", err)
	}
	if len(up.Classes) == 0 || len(up.Classes) > maxClasses {
		return c, fmt.Errorf("settings: %d classes: 1 to %d go into a message", len(up.Classes), maxClasses)
	}
	if len(up.Zones) == 0 || up.ProxyCount <= 0 {
		return c, fmt.Errorf("settings: %d zones and %d proxies: some are needed", len(up.Zones), up.ProxyCount)
	}
	if in.Seed != "" {
		if up.Seed, err = strconv.ParseUint(in.Seed, 16, 64); err != nil {
			return c, fmt.Errorf("seed: %q is not a hexadecimal number of 64 bits", in.Seed)
		}
	}
	c.Start = up
	var hints struct {
		Resolution policyapi.Microseconds
		Caps       struct{ ConnectTimeout policyapi.Microseconds }
	}
	if err := json.Unmarshal(in.Settings, &hints); err != nil {
		return c, fmt.Errorf("settings: %w", err)
	}
	c.Host = HostSettings{BatchInterval: hints.Resolution, ConnectTimeout: hints.Caps.ConnectTimeout}
	if len(in.Known) > 0 && string(in.Known) != "null" {
		if c.CachedList, err = ReadEndpointList(in.Known, up.Zones); err != nil {
			return c, fmt.Errorf("known: %w", err)
		}
	}
	return c, nil
}
