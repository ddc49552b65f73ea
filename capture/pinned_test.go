package capture

import (
	"bytes"
	"encoding/json"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"porthub/coordinator"
	"porthub/policyapi"
	"porthub/recovery"
	"porthub/testutil"
)

// filledRecords returns a record of each kind with every field set, so that the golden files contain every key.
func filledRecords(t *testing.T) map[string]*Record {
	t.Helper()
	return map[string]*Record{
		"start":   {Seq: 1, Start: ptr(testutil.Filled[Start](t))},
		"command": {Seq: 2, Command: ptr(testutil.Filled[Command](t))},
		"gap":     {Seq: 3, Gap: ptr(testutil.Filled[Gap](t))},
		"end":     {Seq: 4, End: ptr(testutil.Filled[End](t))},
		"step": {Seq: 5, Step: &Step{Now: 77, Digest: 78, Inputs: filledInputs(t), Orders: filledOrders(t),
			Log: []coordinator.LogEntry{testutil.Filled[coordinator.LogEntry](t)}}},
	}
}

func ptr[T any](v T) *T { return &v }

func filledInputs(t *testing.T) []coordinator.Input {
	t.Helper()
	return []coordinator.Input{
		testutil.Filled[coordinator.EndpointUpdate](t), testutil.Filled[coordinator.RegistryUpdate](t), testutil.Filled[coordinator.GatewayConnected](t),
		testutil.Filled[coordinator.GatewayDisconnected](t), testutil.Filled[coordinator.DocumentAck](t), testutil.Filled[coordinator.LoadReport](t),
		testutil.Filled[coordinator.HealthCheckResult](t), testutil.Filled[coordinator.PeerRejected](t), testutil.Filled[coordinator.PublishFailed](t),
	}
}

func filledOrders(t *testing.T) []policyapi.Order {
	t.Helper()
	return []policyapi.Order{
		testutil.Filled[policyapi.Log](t), testutil.Filled[policyapi.WatchEndpoints](t), policyapi.Resync{}, testutil.Filled[policyapi.SetTimer](t),
		testutil.Filled[policyapi.CheckHealth](t), testutil.Filled[policyapi.Broadcast](t), testutil.Filled[policyapi.SetWeight](t),
		testutil.Filled[policyapi.ClearTable](t), testutil.Filled[policyapi.BindProxy](t), testutil.Filled[policyapi.EjectEndpoint](t),
		testutil.Filled[policyapi.SetAdmission](t), testutil.Filled[policyapi.RequestAck](t),
	}
}

// The encoding of each kind of record stays the same when Go types and fields are renamed, and the golden files are read
// to the same values.
func TestRecordBytesArePinned(t *testing.T) {
	for name, record := range filledRecords(t) {
		t.Run(name, func(t *testing.T) {
			var got bytes.Buffer
			if err := record.encode(&got); err != nil {
				t.Fatal(err)
			}
			testutil.Golden(t, name+".cbor", got.Bytes())
			var back Record
			err := cbor.Unmarshal(testutil.ReadGolden(t, name+".cbor"), &back)
			if err != nil || !reflect.DeepEqual(&back, record) {
				t.Errorf("decoding the golden file: got %+v, error %v, want %+v", back, err, record)
			}
			diagnosed, err := cbor.Diagnose(got.Bytes())
			if err != nil {
				t.Fatal(err)
			}
			testutil.Golden(t, name+".diag", []byte(diagnosed+"\n"))
		})
	}
}

// The JSON keys that `porthub capture export` prints stay the same when Go types and fields are renamed.
func TestExportedKeysArePinned(t *testing.T) {
	records := filledRecords(t)
	for _, name := range slices.Sorted(maps.Keys(records)) {
		text, err := json.MarshalIndent(records[name].Export(), "", "  ")
		if err != nil {
			t.Fatal(err)
		}
		testutil.Golden(t, name+".json", append(text, '\n'))
	}
}

// The golden records contain every type of input and order that a record can have.
func TestEveryRecordedTypeIsPinned(t *testing.T) {
	shown := map[reflect.Type]bool{}
	for _, v := range filledInputs(t) {
		shown[reflect.TypeOf(v)] = true
	}
	for _, v := range filledOrders(t) {
		shown[reflect.TypeOf(v)] = true
	}
	for of, name := range recordNames {
		if !shown[of] {
			t.Errorf("%s (%s) is missing in the golden records", name, of)
		}
	}
}

// All fields of stored and exported types have explicit keys, so that a rename of a Go field does not change the format.
func TestRecordedTypesNameTheirKeys(t *testing.T) {
	recorded := slices.Collect(maps.Keys(recordNames))
	for _, v := range []any{Start{}, Command{}, Gap{}, End{}, coordinator.LogEntry{}} {
		recorded = append(recorded, reflect.TypeOf(v))
	}
	testutil.RequireKeys(t, "cbor", recorded...)
	testutil.RequireKeys(t, "cbor", reflect.TypeFor[recovery.Snapshot]())
	testutil.RequireKeys(t, "json", recorded...)
	testutil.RequireKeys(t, "json", reflect.TypeFor[ReplayResult](), reflect.TypeFor[Explanation](), reflect.TypeFor[Stats]())
}

// The events of the decision module have explicit keys too. Captures do not contain them, but a replay passes them to the
// decision module.
func TestEventsNameTheirKeys(t *testing.T) {
	for _, v := range []any{policyapi.Start{}, policyapi.EndpointUpdate{}, policyapi.TimerFired{}, policyapi.HealthCheckResult{}, policyapi.PeerMessage{}, policyapi.ProxyConnected{}, policyapi.ProxyDisconnected{}, policyapi.EndpointLoad{},
		policyapi.EndpointClassLoad{}, policyapi.ProxyLoad{}, policyapi.Acknowledged{}, policyapi.SliceLoad{}, policyapi.SliceAssigned{}, policyapi.SliceWeight{}} {
		testutil.RequireKeys(t, "cbor", reflect.TypeOf(v))
		testutil.RequireKeys(t, "json", reflect.TypeOf(v))
	}
}

// The JSON keys that replay, explain and capture status print stay the same when Go types and fields are renamed.
func TestPrintedKeysArePinned(t *testing.T) {
	for name, v := range map[string]any{"verdict": testutil.Filled[ReplayResult](t), "explanation": testutil.Filled[Explanation](t), "stats": testutil.Filled[Stats](t)} {
		text, err := json.MarshalIndent(v, "", "  ")
		if err != nil {
			t.Fatal(err)
		}
		testutil.Golden(t, name+".json", append(text, '\n'))
	}
}

// pinnedCapture is a capture of three starts that an earlier build wrote, before Go types and fields were renamed.
var pinnedCapture = filepath.Join("testdata", "pinned")

// plainText returns a record as `porthub capture export` prints it, with the keys of maps sorted.
func plainText(t *testing.T, r *Record) []byte {
	t.Helper()
	text, err := json.Marshal(r.Export())
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// A capture that an earlier build wrote is read to the same records and replays to the same orders.
func TestPinnedCaptureReplays(t *testing.T) {
	const starts, steps = 3, 120
	if testutil.Updating() {
		if err := os.RemoveAll(pinnedCapture); err != nil {
			t.Fatal(err)
		}
		for start := range starts {
			w := NewWriter(pinnedCapture, Limits{})
			runScenario(uint64(start+50), "pinned", steps, func(r *Record) { w.Append(r) })
			w.Close()
		}
	}
	records, reader := readAll(t, pinnedCapture)
	var want []*Record
	for start := range starts {
		seq := uint64(0)
		runScenario(uint64(start+50), "pinned", steps, func(r *Record) { seq++; r.Seq = seq; want = append(want, r) })
	}
	if len(reader.Damages) > 0 || len(records) != len(want) {
		t.Fatalf("got %d records, want %d without damages; damages %v", len(records), len(want), reader.Damages)
	}
	for i := range want {
		if got, want := plainText(t, records[i]), plainText(t, want[i]); !bytes.Equal(got, want) {
			t.Fatalf("record %d: got\n%s\nwant\n%s", i, got, want)
		}
	}
	result := replayCapture(t, pinnedCapture)
	if result.Mismatches > 0 || result.Steps != starts*steps || result.Orders < 100 || result.Incomplete() {
		t.Errorf("got %+v, want all steps of 3 starts, at least 100 orders, no mismatches and no missing records", result)
	}
}
