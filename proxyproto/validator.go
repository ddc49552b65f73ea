package proxyproto

import (
	"maps"
	"slices"

	"porthub/policyapi"
)

// maxRemovedEndpoints is the number of removed endpoints that messages may still name, since reports arrive seconds late. It
// bounds the memory in a fleet whose endpoints are replaced under new names.
const maxRemovedEndpoints = 1024

// maxLatencyNoise is the factor by which a mean latency can exceed the client timeout of its class. Requests that time out at the
// client do not count as completed, so that only noise raises the mean above the timeout, by less than this factor.
const maxLatencyNoise = 2

// Validator contains the zones, request classes, proxies and endpoints that a coordinator's incoming messages may name. It is not
// safe for concurrent use.
type Validator struct {
	zones      []policyapi.Zone
	classes    map[string]policyapi.RequestClass
	proxyCount int
	maxLatency float64                       // largest valid mean latency in milliseconds
	endpoints  map[policyapi.EndpointID]bool // true: listed; false: removed, but messages may still name it
	removed    []policyapi.EndpointID        // oldest first
}

// NewValidator returns a Validator for the zones, classes and proxies of the settings, without endpoints.
func NewValidator(settings policyapi.Start) *Validator {
	v := &Validator{
		zones:      settings.Zones,
		classes:    map[string]policyapi.RequestClass{},
		proxyCount: settings.ProxyCount,
		endpoints:  map[policyapi.EndpointID]bool{},
	}
	for i, class := range settings.Classes {
		v.classes[class.Name] = policyapi.RequestClass(i)
		v.maxLatency = max(v.maxLatency, maxLatencyNoise*float64(class.ClientTimeout)/microsecondsPerMillisecond)
	}
	if v.maxLatency == 0 {
		v.maxLatency = maxMeasuredMilliseconds
	}
	return v
}

// Apply applies an endpoint update and returns the endpoints that messages may no longer name.
func (v *Validator) Apply(update policyapi.EndpointUpdate) (expired []policyapi.EndpointID) {
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
		for _, id := range slices.Sorted(maps.Keys(v.endpoints)) { // sorted, so that the same lists always expire the same endpoints
			if v.endpoints[id] && !listed[id] {
				v.markRemoved(id)
			}
		}
	}
	isListed := func(id policyapi.EndpointID) bool { return v.endpoints[id] }
	v.removed = slices.DeleteFunc(v.removed, isListed)
	for len(v.removed) > maxRemovedEndpoints {
		oldest := v.removed[0]
		v.removed = v.removed[1:]
		delete(v.endpoints, oldest)
		expired = append(expired, oldest)
	}
	return expired
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
