package daemon

import (
	"errors"
	"io/fs"
	"slices"

	"go.uber.org/zap"

	"porthub/capture"
	"porthub/coordinator"
	"porthub/policyapi"
	"porthub/recovery"
)

// restore restores the state that the previous process saved, as far as it is still valid, and returns the inputs of the first
// step. It records the start and the restored state in the capture.
func (d *Daemon) restore(now policyapi.Microseconds, settings coordinator.Settings) []coordinator.Input {
	start := &capture.Start{Format: capture.Format, Build: settings.Build, WallTime: int64(now), Settings: settings}
	defer func() { d.recorder.record(&capture.Record{Start: start}) }()
	if d.config.StateDir == "" {
		return nil
	}
	inputs := d.restoreList()
	if !d.config.Recovery.Enabled {
		return inputs
	}
	snapshot, err := ReadSnapshot(d.config.StateDir)
	if errors.Is(err, fs.ErrNotExist) {
		return inputs
	}
	if err != nil {
		d.log.Warn("snapshot", zap.String("text", "the snapshot can't be read: starting without it"), zap.Error(err))
		return inputs
	}
	var classes []string
	for _, class := range settings.Start.Classes {
		classes = append(classes, class.Name)
	}
	state := recovery.Restore(snapshot, now, classes, settings.Start.Zones)
	if len(inputs) == 0 && len(state.Endpoints) > 0 {
		inputs = append(inputs, cachedList(state.Version, state.Endpoints))
	}
	recorded := state // the core may change the state later; the capture records it as restored
	recorded.Discarded = slices.Clone(state.Discarded)
	start.Restored = &recorded
	d.core.Restore(now, state)
	return inputs
}

// restoreList returns the saved endpoint list as an input, if there is one.
func (d *Daemon) restoreList() []coordinator.Input {
	list, err := readList(d.config.StateDir)
	if err != nil {
		d.log.Warn("saved_list", zap.String("text", "the saved endpoint list can't be read: starting without it"), zap.Error(err))
		return nil
	}
	if list == nil {
		return nil
	}
	return []coordinator.Input{cachedList(list.Version, list.Endpoints)}
}

func cachedList(version policyapi.ListVersion, endpoints []policyapi.Endpoint) coordinator.EndpointUpdate {
	return coordinator.EndpointUpdate{EndpointUpdate: policyapi.EndpointUpdate{Version: version, Kind: policyapi.Cached, Endpoints: endpoints}}
}
