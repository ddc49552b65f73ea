package config

import (
	"fmt"
	"net/url"
	"slices"
	"strings"
)

// reservedSources are the names that the daemon gives to its own sources of endpoint states.
var reservedSources = []string{"", "file", "operator", "gateways"}

func (v validator) registries() {
	registries := v.cfg.Registry.Eureka
	v.require(v.cfg.Registry.File.Path != "" || len(registries) > 0, "registry.file.path", "is missing",
		"name the node list, or a registry in registry.eureka")
	for i, registry := range registries {
		prefix := fmt.Sprintf("registry.eureka[%d].", i)
		duplicate := slices.ContainsFunc(registries[:i], func(o EurekaRegistry) bool { return o.Name == registry.Name })
		v.require(!slices.Contains(reservedSources, registry.Name) && !duplicate, prefix+"name", fmt.Sprintf("is %q", registry.Name),
			"give each registry a name of its own; file, operator and gateways are taken")
		v.registry(prefix, registry)
	}
}

func (v validator) registry(prefix string, registry EurekaRegistry) {
	v.require(len(registry.Addresses) > 0, prefix+"addresses", "is empty", "name its base URLs")
	for j, address := range registry.Addresses {
		v.require(isBaseURL(address), fmt.Sprintf("%saddresses[%d]", prefix, j), fmt.Sprintf("%q is no base URL", address),
			"such as http://127.0.0.1:8761/eureka, without a slash at its end")
	}
	v.require(registry.App == "" || registry.VIP == "", prefix+"vip", "is set together with app", "name one of them")
	v.require(!registry.Deltas || registry.App == "" && registry.VIP == "", prefix+"deltas", "is set together with app or vip",
		"there are deltas of all applications only")
	v.require(registry.Zone == "" || slices.Contains(v.cfg.Zones, registry.Zone), prefix+"zone",
		fmt.Sprintf("%q is not one of zones", registry.Zone), "name one of them")
	r := registry.Registration
	v.require(r.App == "" || r.ID != "" && r.IP != "" && r.Port > 0 && r.Port < 65536, prefix+"register",
		"lacks id, ip or port", "an entry needs them")
}

func isBaseURL(address string) bool {
	u, err := url.Parse(address)
	return err == nil && u.Scheme == "http" && u.Host != "" && !strings.HasSuffix(address, "/")
}
