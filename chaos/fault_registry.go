package chaos

import (
	"fmt"
	"net/http"
	"time"

	"porthub/emulator/eureka"
)

// registryFault is a fault of the registry's two peers.
type registryFault struct {
	description string
	first       eureka.Faults
	second      *eureka.Faults // of the second peer; nil: the same as the first
}

// registryFaults holds the registry's faults by name.
var registryFaults = map[string]registryFault{
	"registry_slow":    {"the registry delays each response by 400 ms", eureka.Faults{Delay: 400 * time.Millisecond}, nil},
	"registry_late":    {"the registry responds after 3 s, which exceeds the client's timeout", eureka.Faults{Delay: 3 * time.Second}, nil},
	"registry_stale":   {"the registry's deltas contain no new changes", eureka.Faults{StaleDelta: true}, nil},
	"registry_hash":    {"the registry's hash code is wrong", eureka.Faults{WrongHash: true}, nil},
	"registry_half":    {"half of the endpoints are missing from the registry's full responses", eureka.Faults{MissingShare: 0.5}, nil},
	"registry_empty":   {"the registry's full responses contain no endpoint", eureka.Faults{MissingShare: 1}, nil},
	"registry_down":    {"the registry responds with 503", eureka.Faults{ErrorStatus: http.StatusServiceUnavailable}, nil},
	"registry_cut":     {"the registry's responses are truncated", eureka.Faults{Truncated: true}, nil},
	"registry_huge":    {"the registry's responses are padded by 2 MiB and exceed the size limit", eureka.Faults{PaddingBytes: 2 << 20}, nil},
	"registry_skew":    {"the registry's clock is an hour ahead", eureka.Faults{ClockSkew: time.Hour}, nil},
	"registry_restart": {"the registry shows all instances as registered when the fault began", eureka.Faults{Reregistered: true}, nil},
	"registry_failover": {"one peer responds with 503, the other lags 1.5 s behind",
		eureka.Faults{ErrorStatus: http.StatusServiceUnavailable}, &eureka.Faults{Lag: 1500 * time.Millisecond}},
}

// inject injects the faults into the peers and removes them when the fault ends. It does nothing if the fleet has no registry.
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

// scenario returns a short run with the fault, during which endpoints crash, are restarted and drain.
func (r registryFault) scenario(base Scenario, name string) Scenario {
	base.Registry = "eureka"
	base.Seconds = 24
	base.Faults = []Fault{
		{Name: name, At: 5e6, Duration: 10e6},
		{Name: "crash", At: 6e6, Duration: 5e6, Share: 0.12},
		{Name: "shrink", At: 9e6, Duration: 8e6, Size: 1.2, Extra: 3},
	}
	base.Description = fmt.Sprintf("%s, while endpoints crash, are restarted and drain", r.description)
	return base
}
