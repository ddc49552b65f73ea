package proxyproto_test

import (
	"fmt"
	"slices"
	"testing"

	"porthub/policyapi"
	"porthub/proxyproto"
)

// With the same lists, a Validator always expires the same endpoints in the same order. Regression: endpoints that a snapshot
// lacks were queued in the iteration order of a map, so that instances with the same inputs differed in which endpoints messages
// may name.
func TestValidatorExpiresEndpointsInOrder(t *testing.T) {
	var endpoints []policyapi.Endpoint
	for i := range 1100 { // more than maxRemovedEndpoints
		endpoints = append(endpoints, policyapi.Endpoint{ID: policyapi.EndpointID(fmt.Sprintf("s-%04d", i)), Zone: "a"})
	}
	var want []policyapi.EndpointID
	for range 1000 {
		v := proxyproto.NewValidator(policyapi.Start{Zones: []policyapi.Zone{"a"}})
		v.Apply(policyapi.EndpointUpdate{Kind: policyapi.Snapshot, Endpoints: endpoints})
		expired := v.Apply(policyapi.EndpointUpdate{Kind: policyapi.Snapshot})
		if want == nil {
			want = expired
		}
		if len(expired) == 0 || !slices.Equal(expired, want) {
			t.Fatalf("got %d expired endpoints, first %v, want %v as with the same lists before", len(expired), expired[:3], want[:3])
		}
	}
}
