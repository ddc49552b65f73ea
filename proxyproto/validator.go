package proxyproto

import (
	"slices"

	"porthub/policyapi"
)

// maxRemovedEndpoints is how many removed endpoints messages may still name: reports come seconds late. It bounds the memory where
// names are ever new, and is as many as any list of this protocol's messages would hold.
const maxRemovedEndpoints = 1024

// Validator knows the zones, request classes, proxies and endpoints that a coordinator's incoming messages may name. It is not safe
// for concurrent use.
type Validator struct {
	zones      []policyapi.Zone
	classes    map[string]policyapi.RequestClass
	proxyCount int
	maxLatency float64                       // milliseconds: no mean latency is longer
	endpoints  map[policyapi.EndpointID]bool // false: it was removed
	removed    []policyapi.EndpointID        // the oldest first
}

// NewValidator returns a Validator that knows what the settings name, and no endpoint.
func NewValidator(settings policyapi.Start) *Validator {
	v := &Validator{
		zones:      settings.Zones,
		classes:    map[string]policyapi.RequestClass{},
		proxyCount: settings.ProxyCount,
		endpoints:  map[policyapi.EndpointID]bool{},
	}
	for i, class := range settings.Classes {
		v.classes[class.Name] = policyapi.RequestClass(i)
		// A request that its client has given up does not count as done; the mean comes with noise, which stays below a factor of 2.
		v.maxLatency = max(v.maxLatency, 2*float64(class.ClientTimeout)/microsecondsPerMillisecond)
	}
	if v.maxLatency == 0 {
		v.maxLatency = maxMeasuredMilliseconds
	}
	return v
}

// Apply takes an endpoint update and returns the endpoints that messages may no longer name.
func (v *Validator) Apply(update policyapi.EndpointUpdate) (forgotten []policyapi.EndpointID) {
	listed := map[policyapi.EndpointID]bool{}
	for _, e := range update.Endpoints {
		if e.Status != policyapi.Removed {
			listed[e.ID] = true
			v.endpoints[e.ID] = true
		} else if v.endpoints[e.ID] {
			v.markRemoved(e.ID)
		}
	}
	if update.Kind == policyapi.Snapshot || update.Kind == policyapi.Cached {
		for id, present := range v.endpoints {
			if present && !listed[id] {
				v.markRemoved(id)
			}
		}
	}
	isBack := func(id policyapi.EndpointID) bool { return v.endpoints[id] }
	v.removed = slices.DeleteFunc(v.removed, isBack)
	for len(v.removed) > maxRemovedEndpoints {
		oldest := v.removed[0]
		v.removed = v.removed[1:]
		delete(v.endpoints, oldest)
		forgotten = append(forgotten, oldest)
	}
	return forgotten
}

func (v *Validator) markRemoved(id policyapi.EndpointID) {
	v.endpoints[id] = false
	v.removed = append(v.removed, id)
}

// IsKnown reports whether a message may name an endpoint.
func (v *Validator) IsKnown(id policyapi.EndpointID) bool {
	_, has := v.endpoints[id]
	return has
}
