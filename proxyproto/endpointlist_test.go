package proxyproto

import (
	"slices"
	"testing"

	"porthub/policyapi"
)

// Host and health suffice to take an endpoint out; what else can't be read is named as far as it can be.
func TestReadEndpointListKeepsWithdrawals(t *testing.T) {
	l, err := ReadEndpointList([]byte(`{"seq":7,"whole":true,"hosts":[
		{"host":"s-1","site":"nowhere","health":"Terminating"},{"host":"s-2","health":"Gone","born_ms":-1},
		{"host":"s-3","site":7,"health":"Terminating","share":"much","block":[]},{"host":"s-4","site":"a","health":"Terminating","share":-1},
		{"host":"s-5","site":"nowhere","health":"Ready"},{"host":"s-6","site":"a","health":7},{"host":"s,7","health":"Terminating"},
		{"host":"s-8","site":"a","health":"Ready","share":1}]}`), []policyapi.Zone{"a"})
	if err != nil {
		t.Fatal(err)
	}
	withdrawn := map[policyapi.EndpointID]policyapi.EndpointStatus{}
	for _, e := range l.Update.Endpoints {
		if e.Status != policyapi.Ready {
			withdrawn[e.ID] = e.Status
		}
	}
	if len(withdrawn) != 4 || withdrawn["s-1"] != policyapi.Draining || withdrawn["s-2"] != policyapi.Removed || withdrawn["s-3"] != policyapi.Draining ||
		withdrawn["s-4"] != policyapi.Draining || len(l.Update.Endpoints) != 5 {
		t.Errorf("entries %+v", l.Update.Endpoints)
	}
	if !slices.Equal(l.Unreadable, []policyapi.EndpointID{"s-5", "s-6"}) || !l.HasUnnamed || len(l.Dropped) != 3 {
		t.Errorf("not read: %v, %t, %q", l.Unreadable, l.HasUnnamed, l.Dropped)
	}
}
