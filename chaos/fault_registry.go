package chaos

import (
	"fmt"
	"net/http"
	"time"

	"porthub/emulator/eureka"
)

// registryFault is a fault of the registry, by its peers.
type registryFault struct {
	about  string
	first  eureka.Faults
	second *eureka.Faults // of the other peer; nil: the same
}

// registryFaults are the faults of the registry by their names.
var registryFaults = map[string]registryFault{
	"registry_slow":     {"the registry takes 400 ms for each response", eureka.Faults{Delay: 400 * time.Millisecond}, nil},
	"registry_late":     {"the registry takes longer than its client waits", eureka.Faults{Delay: 3 * time.Second}, nil},
	"registry_stale":    {"deltas stand still", eureka.Faults{StaleDelta: true}, nil},
	"registry_hash":     {"the registry's hash is wrong", eureka.Faults{WrongHash: true}, nil},
	"registry_half":     {"half of the fleet is missing from responses", eureka.Faults{MissingShare: 0.5}, nil},
	"registry_empty":    {"responses name no endpoint", eureka.Faults{MissingShare: 1}, nil},
	"registry_down":     {"the registry answers 503", eureka.Faults{ErrorStatus: http.StatusServiceUnavailable}, nil},
	"registry_cut":      {"responses end in the middle", eureka.Faults{Truncated: true}, nil},
	"registry_huge":     {"responses are larger than allowed", eureka.Faults{PaddingBytes: 2 << 20}, nil},
	"registry_skew":     {"the registry's clock is an hour ahead", eureka.Faults{ClockSkew: time.Hour}, nil},
	"registry_restart":  {"every instance is registered again at once", eureka.Faults{Reregistered: true}, nil},
	"registry_failover": {"one peer answers 503, the other is 1.5 s behind", eureka.Faults{ErrorStatus: http.StatusServiceUnavailable}, &eureka.Faults{Lag: 1500 * time.Millisecond}},
}

// inject injects the faults into the peers for their duration. A fleet whose list is a file is not affected.
func (r registryFault) inject(in injection) {
	registry := in.fleet.registry
	if registry == nil {
		return
	}
	second := r.first
	if r.second != nil {
		second = *r.second
	}
	registry.peers[0].SetFaults(r.first)
	registry.peers[1].SetFaults(second)
	in.fleet.sleep(duration(in.Duration))
	for _, peer := range registry.peers {
		peer.SetFaults(eureka.Faults{})
	}
}

// scenario is a short run with the fault in which endpoints crash, return and drain while it lasts.
func (r registryFault) scenario(base Scenario, name string) Scenario {
	base.Registry = "eureka"
	base.Seconds = 24
	base.Faults = []Fault{
		{Name: name, At: 5e6, Duration: 10e6},
		{Name: "crash", At: 6e6, Duration: 5e6, Share: 0.12},
		{Name: "shrink", At: 9e6, Duration: 8e6, Size: 1.2, Extra: 3},
	}
	base.Description = fmt.Sprintf("%s, while endpoints crash, are restarted and drain", r.about)
	return base
}
