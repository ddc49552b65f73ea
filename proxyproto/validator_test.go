package proxyproto_test

import (
	"fmt"
	"slices"
	"testing"

	"porthub/policyapi"
	"porthub/proxyproto"
)

// The same lists make the Validator forget the same endpoints, in the same order. (Regression: endpoints that a snapshot lacks were
// queued in the order of a map, so that instances with the same inputs differed in which endpoints messages may name.)
func TestValidatorForgetsInOrder(t *testing.T) {
	var endpoints []policyapi.Endpoint
	for i := range 1100 { // more than the removed ones that are kept
		endpoints = append(endpoints, policyapi.Endpoint{ID: policyapi.EndpointID(fmt.Sprintf("s-%04d", i)), Zone: "a"})
	}
	var want []policyapi.EndpointID
	for range 1000 {
		v := proxyproto.NewValidator(policyapi.Start{Zones: []policyapi.Zone{"a"}})
		v.Apply(policyapi.EndpointUpdate{Kind: policyapi.Snapshot, Endpoints: endpoints})
		forgotten := v.Apply(policyapi.EndpointUpdate{Kind: policyapi.Snapshot})
		if want == nil {
			want = forgotten
		}
		if len(forgotten) == 0 || !slices.Equal(forgotten, want) {
			t.Fatalf("%d forgotten, first %v, and %v with the same lists", len(forgotten), forgotten[:3], want[:3])
		}
	}
}
