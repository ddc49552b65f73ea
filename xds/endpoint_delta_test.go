package xds_test

import (
	"slices"
	"testing"

	"porthub/routing"
	"porthub/xds"
)

// Removed resources are sorted by name, so that the same change always gives the same message. They used to be in the
// random order of a map.
func TestEndpointDeltaRemovesInOrder(t *testing.T) {
	from := map[string]string{}
	for _, name := range []string{"view/a", "view/b", "view/c", "save/a", "save/b", "save/c", "save/d"} {
		from[name] = "1"
	}
	for range 1000 {
		delta, err := xds.NewEndpointDelta("2", "nonce", from, routing.Snapshot{})
		if err != nil {
			t.Fatal(err)
		}
		if !slices.IsSorted(delta.RemovedResources) || len(delta.RemovedResources) != len(from) {
			t.Fatalf("removed %v, want all resources, sorted by name", delta.RemovedResources)
		}
	}
}
