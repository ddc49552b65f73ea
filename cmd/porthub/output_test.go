package main

import (
	"bytes"
	"path/filepath"
	"reflect"
	"testing"

	"porthub/chaos"
	"porthub/coordinator"
	"porthub/daemon"
	"porthub/expectation"
	"porthub/solver"
	"porthub/solver/fleets"
	"porthub/testutil"
)

// printedDocuments returns the documents that commands print as JSON, each with every field set, by the name of its golden file.
func printedDocuments(t *testing.T) map[string]any {
	t.Helper()
	failure := testutil.Filled[expectation.Failure](t)
	return map[string]any{
		"tables": []coordinator.GatewayStatus{testutil.Filled[coordinator.GatewayStatus](t)}, "levels": testutil.Filled[coordinator.DegradationStatus](t),
		"nodes": testutil.Filled[daemon.Endpoints](t), "solve": testutil.Filled[solver.Solution](t), "solve-random": testutil.Filled[fleets.Measurement](t),
		"solve-scale": []fleets.ScaleMeasurement{testutil.Filled[fleets.ScaleMeasurement](t)}, "drill": testutil.Filled[chaos.Result](t),
		"drill-polls": testutil.Filled[chaos.PollResult](t), "drill-intake": testutil.Filled[chaos.LoadReportResult](t),
		"expect": []expectationResult{{File: "file", Name: "name", Line: 1, Cases: 2, Duration: 3, Failures: []expectation.Failure{failure}}},
	}
}

// The keys of the JSON documents that commands print do not change when a Go field is renamed: scripts depend on them.
func TestPrintedKeysArePinned(t *testing.T) {
	for name, document := range printedDocuments(t) {
		t.Run(name, func(t *testing.T) {
			testutil.RequireKeys(t, "json", reflect.TypeOf(document))
			var got bytes.Buffer
			if err := printJSON(&got, document); err != nil {
				t.Fatal(err)
			}
			testutil.Golden(t, name+".json", got.Bytes())
		})
	}
}

// The commands that read captures print the same output as before for a capture that an earlier build wrote.
func TestCaptureCommandsArePinned(t *testing.T) {
	dir := filepath.Join("..", "..", "capture", "testdata", "pinned")
	for name, args := range map[string][]string{
		"capture-status": {"capture", "status", dir, "--output", "json"},
		"capture-export": {"capture", "export", dir},
	} {
		t.Run(name, func(t *testing.T) {
			command, got := root(), &bytes.Buffer{}
			command.SetArgs(args)
			command.SetOut(got)
			if err := command.Execute(); err != nil {
				t.Fatal(err)
			}
			text := got.Bytes()
			if name == "capture-export" { // the records of the first start suffice
				text = bytes.Join(bytes.SplitAfter(text, []byte("\n"))[:40], nil)
			}
			testutil.Golden(t, name+".json", text)
		})
	}
}
