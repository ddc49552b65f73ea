package chaos

import (
	"encoding/json"
	"os"
	"strconv"
	"time"

	"porthub/emulator"
)

// targetGroup is an entry of the endpoint list in the form of file_sd.
type targetGroup struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// The labels of the endpoint list.
const (
	labelZone     = "zone"
	labelMachine  = "machine"
	labelPod      = "pod"
	labelWeight   = "weight"
	labelStatus   = "status"
	labelLaunched = "launched"

	statusDraining = "draining"
	machineType    = "std"
	launchedLong   = "0" // long ago
)

// launchedLabel is a start as the list has it: microseconds since 1970. A start below 0 is long ago.
func launchedLabel(worldStart time.Time, startedAt time.Duration) string {
	if startedAt < 0 {
		return launchedLong
	}
	return strconv.FormatInt(worldStart.Add(startedAt).UnixMicro(), 10)
}

func formatWeight(weight float64) string { return strconv.FormatFloat(weight, 'g', -1, 64) }

// writeListFile replaces the list's file at once: readers never see a part of it.
func writeListFile(path string, groups []targetGroup) error {
	if groups == nil {
		groups = []targetGroup{}
	}
	text, err := json.Marshal(groups)
	if err != nil {
		return err
	}
	if err := os.WriteFile(path+".new", text, 0o644); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// endpointLabels are the labels of an endpoint that never change.
func endpointLabels(e *emulator.Endpoint) map[string]string {
	return map[string]string{
		labelZone:    e.Zone,
		labelMachine: e.Machine,
		labelPod:     strconv.Itoa(e.Pod),
		labelWeight:  formatWeight(e.Weight),
	}
}
