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

// documents are what the control API takes and answers, each with every field set.
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

// The documents of the control API have the keys of the build before the renames.
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

// A snapshot that the build before the renames wrote is read to the same value.
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
		t.Errorf("%+v, %v, want %+v", got, err, want)
	}
}

// A list that the build before the renames saved is read to the same value.
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
		t.Errorf("%+v, %v, want %+v", got, err, want)
	}
}
