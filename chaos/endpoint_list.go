package chaos

import (
	"encoding/json"
	"os"
	"strconv"
	"time"

	"porthub/audit"
	"porthub/emulator"
)

// targetGroup is an entry of the endpoint list in the Prometheus file_sd format.
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

	statusDraining  = "draining"
	machineType     = "std"
	launchedLongAgo = "0" // start time of an endpoint that has warmed up
)

// launchedLabel returns the label of a start time, in microseconds since 1970. A negative start time stands for an endpoint
// that has warmed up.
func launchedLabel(worldStart time.Time, startedAt time.Duration) string {
	if startedAt < 0 {
		return launchedLongAgo
	}
	return strconv.FormatInt(worldStart.Add(startedAt).UnixMicro(), 10)
}

func formatWeight(weight float64) string { return strconv.FormatFloat(weight, 'g', -1, 64) }

// writeListFile replaces the list's file atomically, so that readers never see an incomplete list.
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

// endpointLabels returns the labels of an endpoint that do not change.
func endpointLabels(e *emulator.Endpoint) map[string]string {
	return map[string]string{
		labelZone:    e.Zone,
		labelMachine: e.Machine,
		labelPod:     strconv.Itoa(e.Pod),
		labelWeight:  formatWeight(e.Weight),
	}
}

// listEntries returns the entries of the current endpoint list.
func (f *fleet) listEntries() []emulator.ListEntry {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []emulator.ListEntry
	for _, e := range f.endpoints {
		listed := f.listed[e.Addr]
		if listed.state == audit.Absent {
			continue
		}
		out = append(out, emulator.ListEntry{Addr: e.Addr, Zone: e.Zone, Weight: e.Weight, Draining: listed.state == audit.Draining})
	}
	return out
}

// setListed changes an endpoint's entry in the list after a delay.
func (f *fleet) setListed(e *emulator.Endpoint, state audit.EndpointState, delay time.Duration) {
	_, startedAt := e.Running()
	f.pending.Add(1)
	time.AfterFunc(delay, func() {
		defer f.pending.Done()
		f.mu.Lock()
		f.listed[e.Addr].state = state
		f.listed[e.Addr].startedAt = startedAt
		f.mu.Unlock()
		_ = f.writeList() // after an error the previous list stays in place, as in production
		if f.source == allEndpoints {
			for _, g := range f.gateways {
				g.RefreshEndpoints()
			}
		}
	})
}

// writeList writes the endpoint list to its file or registry, and records it in the audit log: a file at once, a registry when
// a peer has published the list.
func (f *fleet) writeList() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.listFrozen && f.registry == nil {
		return nil
	}
	audited := map[string]audit.ListedEndpoint{}
	var groups []targetGroup
	for _, e := range f.endpoints {
		listed := f.listed[e.Addr]
		audited[e.Addr] = audit.ListedEndpoint{State: listed.state, StartedAt: listed.startedAt, Zone: e.Zone}
		if listed.state != audit.Absent {
			groups = append(groups, f.targetGroup(e, listed))
		}
	}
	record := func() { f.log.EndpointList(f.world.Now(), audited) }
	if f.registry != nil {
		f.registry.update(f.world.Start, f.endpoints, f.listed, record)
		return nil
	}
	if err := writeListFile(listPath(f.dir), groups); err != nil {
		return err
	}
	record()
	return nil
}

func (f *fleet) targetGroup(e *emulator.Endpoint, listed *listedEndpoint) targetGroup {
	labels := endpointLabels(e)
	labels[labelLaunched] = launchedLabel(f.world.Start, listed.startedAt)
	if listed.state == audit.Draining {
		labels[labelStatus] = statusDraining
	}
	return targetGroup{Targets: []string{e.Addr}, Labels: labels}
}
