package proxyproto

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"porthub/policyapi"
)

// readEntries reads a snapshot with the given entries, for the zones a and b.
func readEntries(t *testing.T, entries ...string) EndpointList {
	t.Helper()
	text := fmt.Sprintf(`{"seq":7,"whole":true,"hosts":[%s]}`, strings.Join(entries, ","))
	list, err := ReadEndpointList([]byte(text), testSettings.Zones)
	if err != nil {
		t.Fatal(err)
	}
	return list
}

// An entry with a name and a health value withdraws its endpoint even if other fields are invalid.
func TestReadEndpointListKeepsWithdrawals(t *testing.T) {
	for _, c := range []struct {
		name, entry string
		want        policyapi.Endpoint
	}{
		{"unknown site", `{"host":"s-1","site":"nowhere","health":"Terminating"}`, policyapi.Endpoint{ID: "s-1", Status: policyapi.Draining}},
		{"start before 1970", `{"host":"s-2","health":"Gone","born_ms":-1}`, policyapi.Endpoint{ID: "s-2", Status: policyapi.Removed}},
		{"fields of other types", `{"host":"s-3","site":7,"health":"Terminating","share":"much","block":[]}`,
			policyapi.Endpoint{ID: "s-3", Status: policyapi.Draining}},
		{"negative share", `{"host":"s-4","site":"a","health":"Terminating","share":-1}`, policyapi.Endpoint{ID: "s-4", Status: policyapi.Draining}},
		{"valid", `{"host":"s-5","site":"a","health":"Terminating"}`, policyapi.Endpoint{ID: "s-5", Zone: "a", Status: policyapi.Draining}},
		{"removed without a site", `{"host":"s-6","health":"Gone"}`, policyapi.Endpoint{ID: "s-6", Status: policyapi.Removed}},
	} {
		t.Run(c.name, func(t *testing.T) {
			list := readEntries(t, c.entry)
			if !slices.Equal(list.Update.Endpoints, []policyapi.Endpoint{c.want}) || len(list.Dropped) != 0 || list.HasUnnamed {
				t.Errorf("got list %+v, want only endpoint %+v", list, c.want)
			}
		})
	}
}

// An invalid entry is dropped, the others are kept, and the entry's endpoint is reported if its name can be read.
func TestReadEndpointListDropsInvalidEntries(t *testing.T) {
	const valid = `{"host":"s-0","dial":"h:1","site":"a","health":"Ready","share":1}`
	for _, c := range []struct {
		name, entry string
		unreadable  []policyapi.EndpointID // none: the entry has no name that messages can carry
	}{
		{"unknown site", `{"host":"s-1","site":"nowhere","health":"Ready"}`, []policyapi.EndpointID{"s-1"}},
		{"unknown health", `{"host":"s-2","site":"a","health":"Fine"}`, []policyapi.EndpointID{"s-2"}},
		{"health of another type", `{"host":"s-3","site":"a","health":7}`, []policyapi.EndpointID{"s-3"}},
		{"negative share", `{"host":"s-4","site":"a","health":"Ready","share":-1}`, []policyapi.EndpointID{"s-4"}},
		{"start in the far future", `{"host":"s-5","site":"a","health":"Ready","born_ms":1e300}`, []policyapi.EndpointID{"s-5"}},
		{"empty name", `{"host":"","site":"a","health":"Ready"}`, nil},
		{"name with a comma", `{"host":"s,6","site":"a","health":"Ready"}`, nil},
		{"draining, name with a comma", `{"host":"s,7","health":"Terminating"}`, nil},
		{"name of another type", `{"host":7}`, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			list := readEntries(t, valid, c.entry)
			if len(list.Update.Endpoints) != 1 || list.Update.Endpoints[0].ID != "s-0" || list.HealthCheckAddresses["s-0"] != "h:1" {
				t.Errorf("got list %+v, want only s-0 at h:1", list)
			}
			if len(list.Dropped) != 1 || !slices.Equal(list.Unreadable, c.unreadable) || list.HasUnnamed != (c.unreadable == nil) {
				t.Errorf("got dropped %v, unreadable %v, unnamed %t; want one dropped entry, unreadable %v, unnamed %t",
					list.Dropped, list.Unreadable, list.HasUnnamed, c.unreadable, c.unreadable == nil)
			}
		})
	}
}

// With several invalid entries among valid ones, the endpoints and the unreadable names keep the order of the list.
func TestReadEndpointListKeepsTheOrderOfEntries(t *testing.T) {
	list := readEntries(t,
		`{"host":"s-1","site":"nowhere","health":"Terminating"}`,
		`{"host":"s-2","site":"nowhere","health":"Ready"}`,
		`{"host":"s-3","site":"a","health":7}`,
		`{"host":"s,4","health":"Terminating"}`,
		`{"host":"s-5","site":"a","health":"Ready","share":1}`)
	var ids []policyapi.EndpointID
	for _, e := range list.Update.Endpoints {
		ids = append(ids, e.ID)
	}
	if !slices.Equal(ids, []policyapi.EndpointID{"s-1", "s-5"}) {
		t.Errorf("got endpoints %v, want s-1 and s-5", ids)
	}
	if !slices.Equal(list.Unreadable, []policyapi.EndpointID{"s-2", "s-3"}) || !list.HasUnnamed || len(list.Dropped) != 3 {
		t.Errorf("got unreadable %v, unnamed %t, dropped %v; want s-2 and s-3, an unnamed entry, three dropped entries",
			list.Unreadable, list.HasUnnamed, list.Dropped)
	}
}

// A list has its version and kind, invalid addresses are left out, and keys of a later version are ignored.
func TestReadEndpointList(t *testing.T) {
	list, err := ReadEndpointList([]byte(`{"seq":43,"whole":false,"later":[1],"hosts":[
		{"host":"s-1","dial":"h:1","site":"a","class":"m2","block":3,"health":"Terminating","share":1.5,"born_ms":2.5,"later":{}},
		{"host":"s-8","health":"Gone"},
		{"host":"s-9","dial":"nowhere","site":"b","health":"Ready"}]}`), testSettings.Zones)
	if err != nil {
		t.Fatal(err)
	}
	if list.Update.Kind != policyapi.Delta || list.Update.Version != 43 || len(list.Dropped) != 0 {
		t.Errorf("got list %+v, want a delta of version 43 without dropped entries", list)
	}
	want := []policyapi.Endpoint{
		{ID: "s-1", Zone: "a", Weight: 1.5, Pod: 3, StartedAt: 2500, MachineType: "m2", Status: policyapi.Draining},
		{ID: "s-8", Status: policyapi.Removed},
		{ID: "s-9", Zone: "b", Status: policyapi.Ready},
	}
	if !slices.Equal(list.Update.Endpoints, want) {
		t.Errorf("got endpoints %+v, want %+v", list.Update.Endpoints, want)
	}
	if len(list.HealthCheckAddresses) != 1 || list.HealthCheckAddresses["s-1"] != "h:1" {
		t.Errorf("got addresses %v, want only s-1 at h:1", list.HealthCheckAddresses)
	}
}

func TestReadEndpointListRejectsOtherTexts(t *testing.T) {
	for _, text := range []string{
		"", "[]", "{}", "<html>",
		`{"seq":1}`, `{"whole":true}`,
		`{"seq":-1,"whole":true}`, `{"seq":"x","whole":true}`,
		`{"seq":1,"whole":true,"hosts":7}`,
	} {
		if _, err := ReadEndpointList([]byte(text), testSettings.Zones); !errors.Is(err, ErrNotAList) {
			t.Errorf("%q: got error %v, want ErrNotAList", text, err)
		}
	}
}
