package proxyproto

import (
	"errors"
	"slices"
	"testing"

	"porthub/policyapi"
)

// Name and health suffice to withdraw an endpoint; other unusable entries are named as far as they can be.
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
		t.Errorf("unreadable: %v, %t, %q", l.Unreadable, l.HasUnnamed, l.Dropped)
	}
}

// An entry that can't be used is dropped alone; a text that is no list is an error.
func TestReadEndpointListDropsInvalidEntries(t *testing.T) {
	const good = `{"host":"s-1","dial":"h:1","site":"a","health":"Terminating"}`
	l, err := ReadEndpointList([]byte(`{"seq":43,"whole":false,"hosts":[`+good+`,{"host":"s-2","site":"z","health":"Ready"},{"host":"s-3","site":"a","health":"Fine"},
		{"host":"","site":"a","health":"Ready"},{"host":"s,4","site":"a","health":"Ready"},{"host":"s-5","site":"a","health":"Ready","share":-1},
		{"host":"s-6","site":"a","health":"Ready","born_ms":1e300},{"host":7},{"host":"s-8","health":"Gone"},{"host":"s-9","dial":"nowhere","site":"b","health":"Ready"}]}`), testSettings.Zones)
	if err != nil || l.Update.Kind != policyapi.Delta || l.Update.Version != 43 || len(l.Update.Endpoints) != 3 || len(l.Dropped) != 7 ||
		l.Update.Endpoints[0].Status != policyapi.Draining || l.Update.Endpoints[1].Status != policyapi.Removed || len(l.HealthCheckAddresses) != 1 {
		t.Errorf("%+v, %v", l, err)
	}
	for _, text := range []string{"", "[]", "{}", `{"seq":1}`, `{"whole":true}`, `{"seq":-1,"whole":true}`, `{"seq":"x","whole":true}`, `{"seq":1,"whole":true,"hosts":7}`, "<html>"} {
		if _, err := ReadEndpointList([]byte(text), testSettings.Zones); !errors.Is(err, ErrNotAList) {
			t.Errorf("%q: %v", text, err)
		}
	}
}
