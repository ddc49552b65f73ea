package config

import (
	"fmt"
	"net/url"
	"slices"
	"strings"
)

// reservedSources are the names of the daemon's own sources of endpoint states, which no registry may have.
var reservedSources = []string{"", "file", "operator", "gateways"}

func (v validator) registries() {
	registries := v.cfg.Registry.Eureka
	v.require(v.cfg.Registry.File.Path != "" || len(registries) > 0, "registry.file.path", "is missing",
		"specify the endpoint list file, or a registry in registry.eureka")
	for i, registry := range registries {
		prefix := fmt.Sprintf("registry.eureka[%d].", i)
		duplicate := slices.ContainsFunc(registries[:i], func(o EurekaRegistry) bool { return o.Name == registry.Name })
		v.require(!slices.Contains(reservedSources, registry.Name) && !duplicate, prefix+"name", fmt.Sprintf("is %q", registry.Name),
			"give each registry a unique name; file, operator and gateways are reserved")
		v.registry(prefix, registry)
	}
}

func (v validator) registry(prefix string, registry EurekaRegistry) {
	v.require(len(registry.Addresses) > 0, prefix+"addresses", "is empty", "specify its base URLs")
	for j, address := range registry.Addresses {
		v.require(isBaseURL(address), fmt.Sprintf("%saddresses[%d]", prefix, j), fmt.Sprintf("%q is not a base URL", address),
			"such as http://127.0.0.1:8761/eureka, without a slash at its end")
	}
	v.require(registry.App == "" || registry.VIP == "", prefix+"vip", "is set together with app", "specify one of them")
	v.require(!registry.Deltas || registry.App == "" && registry.VIP == "", prefix+"deltas", "is set together with app or vip",
		"deltas are available for all applications only")
	v.require(registry.Zone == "" || slices.Contains(v.cfg.Zones, registry.Zone), prefix+"zone",
		fmt.Sprintf("%q is not one of zones", registry.Zone), "it must be one of zones")
	r := registry.Registration
	v.require(r.App == "" || r.ID != "" && r.IP != "" && r.Port > 0 && r.Port < 65536, prefix+"register",
		"lacks id, ip or port", "specify all three")
}

func isBaseURL(address string) bool {
	u, err := url.Parse(address)
	return err == nil && u.Scheme == "http" && u.Host != "" && !strings.HasSuffix(address, "/")
}
