package daemon

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"porthub/coordinator"
	"porthub/policyapi"
	"porthub/recovery"
	"porthub/testutil"
)

// documents returns the request and response types of the control API, each with every field set.
func documents(t *testing.T) map[string]any {
	t.Helper()
	return map[string]any{
		"tables": testutil.Filled[Status](t), "versions": testutil.Filled[Versions](t), "pin-request": testutil.Filled[PinRequest](t),
		"unpin-request": testutil.Filled[UnpinRequest](t), "pin-answer": testutil.Filled[PinResponse](t), "nodes": testutil.Filled[Endpoints](t),
		"node-request": testutil.Filled[EndpointRequest](t), "node-answer": testutil.Filled[EndpointResponse](t), "intake": testutil.Filled[SamplingStatus](t),
		"level-request": testutil.Filled[LevelRequest](t), "unsay-request": testutil.Filled[ClearLevelRequest](t),
		"level-answer": testutil.Filled[LevelResponse](t), "levels": testutil.Filled[coordinator.DegradationStatus](t),
		"overview": testutil.Filled[coordinator.LoggedOverview](t),
	}
}

// The JSON keys of the control API stay the same when Go types and fields are renamed: operators' tools depend on them.
func TestControlAPIKeysArePinned(t *testing.T) {
	for name, document := range documents(t) {
		t.Run(name, func(t *testing.T) {
			testutil.RequireKeys(t, "json", reflect.TypeOf(document))
			text, err := json.MarshalIndent(document, "", "  ")
			if err != nil {
				t.Fatal(err)
			}
			testutil.Golden(t, filepath.Join("api", name+".json"), append(text, '\n'))
		})
	}
}

// A snapshot that an earlier build wrote, before Go fields were renamed, is read to the same value, and is written as the same
// bytes.
func TestPinnedSnapshotReads(t *testing.T) {
	testutil.RequireKeys(t, "cbor", reflect.TypeFor[recovery.Snapshot]())
	want := testutil.Filled[recovery.Snapshot](t)
	want.Format = recovery.Format
	dir := t.TempDir()
	if err := writeSnapshot(dir, want); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(filepath.Join(dir, snapshotName))
	if err != nil {
		t.Fatal(err)
	}
	testutil.Golden(t, snapshotName, text)
	got, err := ReadSnapshot(filepath.Join("testdata", "golden"))
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, error %v, want %+v", got, err, want)
	}
}

// An endpoint list that an earlier build saved, before Go fields were renamed, is read to the same value, and is written as the
// same bytes.
func TestPinnedListReads(t *testing.T) {
	testutil.RequireKeys(t, "json", reflect.TypeFor[savedList]())
	want := savedList{Version: 7, Endpoints: []policyapi.Endpoint{testutil.Filled[policyapi.Endpoint](t)}}
	text, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	testutil.Golden(t, listName, text)
	got, err := readList(filepath.Join("testdata", "golden"))
	if err != nil || !reflect.DeepEqual(*got, want) {
		t.Errorf("got %+v, error %v, want %+v", got, err, want)
	}
}
