package daemon

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"os"
	"path/filepath"
	"runtime/debug"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"porthub/capture"
	"porthub/coordinator"
	"porthub/policyapi"
	"porthub/recovery"
	"porthub/xdsfile"
)

// What is kept for the next start, each whole and renamed: the list whenever it changes, and a snapshot of what the core
// knows every second. Which of it is believed is for package recovery to say.
const (
	listName     = "list.json"
	snapshotName = "snapshot.bin"
	captureName  = "capture"

	snapshotMagic    = "PHSNAP1\n"
	snapshotInterval = time.Second
)

type savedList struct {
	Version   policyapi.ListVersion `json:"version"`
	Endpoints []policyapi.Endpoint  `json:"entries"`
}

// Build names the running build.
func Build() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	version, revision, modified := info.Main.Version, "", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			revision = " " + s.Value[:min(12, len(s.Value))]
		case s.Key == "vcs.modified" && s.Value == "true":
			modified = " modified"
		}
	}
	return version + revision + modified
}

// ErrSnapshot is a snapshot that can't be read.
var ErrSnapshot = errors.New("snapshot")

// ReadSnapshot reads a snapshot of a state folder.
func ReadSnapshot(dir string) (s recovery.Snapshot, err error) {
	text, err := os.ReadFile(filepath.Join(dir, snapshotName))
	if err != nil {
		return s, err
	}
	head := len(snapshotMagic) + 8
	if len(text) < head || string(text[:len(snapshotMagic)]) != snapshotMagic {
		return s, fmt.Errorf("%w: %s is none, or was cut off", ErrSnapshot, snapshotName)
	}
	format, sum := binary.LittleEndian.Uint32(text[len(snapshotMagic):]), binary.LittleEndian.Uint32(text[len(snapshotMagic)+4:])
	if format != recovery.Format {
		return s, fmt.Errorf("%w: it has format %d, this build (%s) reads %d", ErrSnapshot, format, Build(), recovery.Format)
	}
	if crc32.Checksum(text[head:], crc32.MakeTable(crc32.Castagnoli)) != sum {
		return s, fmt.Errorf("%w: its checksum is wrong", ErrSnapshot)
	}
	if err := cbor.Unmarshal(text[head:], &s); err != nil {
		return s, fmt.Errorf("%w: %v", ErrSnapshot, err)
	}
	return s, nil
}

// writeSnapshot puts a snapshot in the place of the last one. It is not synced: a killed process loses nothing by that,
// and a power cut at most the snapshot.
func writeSnapshot(dir string, s recovery.Snapshot) error {
	body, err := cbor.Marshal(s)
	if err != nil {
		return err
	}
	text := binary.LittleEndian.AppendUint32([]byte(snapshotMagic), uint32(s.Format))
	text = binary.LittleEndian.AppendUint32(text, crc32.Checksum(body, crc32.MakeTable(crc32.Castagnoli)))
	return xdsfile.ReplaceFile(filepath.Join(dir, snapshotName), append(text, body...))
}

// restore reads what an earlier start has left and hands the core what is believed of it. It returns the first inputs.
func (d *Daemon) restore(now policyapi.Microseconds, set coordinator.Settings) []coordinator.Input {
	start := &capture.Start{Format: capture.Format, Build: set.Build, WallTime: int64(now), Settings: set}
	defer func() { d.capture(&capture.Record{Start: start}) }()
	if d.config.StateDir == "" {
		return nil
	}
	var inputs []coordinator.Input
	if l, err := readList(d.config.StateDir); err != nil {
		d.log.Warn("saved_list", zap.String("text", "can't be read: started without it"), zap.Error(err))
	} else if l != nil {
		inputs = append(inputs, coordinator.EndpointUpdate{EndpointUpdate: policyapi.EndpointUpdate{Version: l.Version, Kind: policyapi.Cached, Endpoints: l.Endpoints}})
	}
	if !d.config.Recovery.Enabled {
		return inputs
	}
	s, err := ReadSnapshot(d.config.StateDir)
	if errors.Is(err, fs.ErrNotExist) {
		return inputs
	}
	if err != nil {
		d.log.Warn("snapshot", zap.String("text", "started without it"), zap.Error(err))
		return inputs
	}
	var kinds []string
	for _, k := range set.Start.Classes {
		kinds = append(kinds, k.Name)
	}
	b := recovery.Restore(s, now, kinds, set.Start.Zones)
	if len(inputs) == 0 && len(b.Endpoints) > 0 {
		inputs = append(inputs, coordinator.EndpointUpdate{EndpointUpdate: policyapi.EndpointUpdate{Version: b.Version, Kind: policyapi.Cached, Endpoints: b.Endpoints}})
	}
	kept := b // the core ends belief as evidence comes; the record keeps it as it began
	kept.Discarded = slices.Clone(b.Discarded)
	start.Restored = &kept
	d.core.Restore(now, b)
	return inputs
}

func readList(dir string) (*savedList, error) {
	text, err := os.ReadFile(filepath.Join(dir, listName))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	var s savedList
	if err == nil {
		err = json.Unmarshal(text, &s)
	}
	if err != nil {
		return nil, err
	}
	return &s, nil
}

// save takes the place of what waits to be saved.
func (d *Daemon) save(v any) {
	for _, c := range []chan any{d.savedLists, d.savedSnapshots} {
		if _, list := v.(policyapi.EndpointUpdate); list != (c == d.savedLists) {
			continue
		}
		for {
			select {
			case c <- v:
				return
			default:
			}
			select {
			case <-c:
			default:
			}
		}
	}
}

// saveSnapshot has a snapshot written if the last one is old enough, or if there is a reason.
func (d *Daemon) saveSnapshot(now policyapi.Microseconds, reason bool) {
	if d.config.StateDir == "" || !reason && now-d.rememberedAt < policyapi.Microseconds(snapshotInterval.Microseconds()) {
		return
	}
	d.rememberedAt = now
	d.save(d.core.Snapshot())
}

// saveState writes what is to be saved until the context ends, and what waits then.
func (d *Daemon) saveState(ctx context.Context) {
	for {
		var v any
		select {
		case v = <-d.savedLists:
		case v = <-d.savedSnapshots:
		case <-ctx.Done():
			return
		}
		var err error
		switch v := v.(type) {
		case policyapi.EndpointUpdate:
			if d.config.StateDir == "" {
				continue
			}
			var text []byte
			if text, err = json.Marshal(savedList{v.Version, v.Endpoints}); err == nil {
				err = xdsfile.ReplaceFile(filepath.Join(d.config.StateDir, listName), text)
			}
		case recovery.Snapshot:
			err = writeSnapshot(d.config.StateDir, v)
		}
		if failed := err != nil; failed != d.saveFailing {
			if d.saveFailing = failed; failed {
				d.log.Warn("state", zap.String("text", "can't be kept: the next start goes without it"), zap.Error(err))
			} else {
				d.log.Info("state", zap.String("text", "is kept again"))
			}
		}
	}
}

// capture hands a record over to be written; it never waits.
func (d *Daemon) capture(r *capture.Record) {
	if d.writer != nil {
		d.writer.Append(r)
	}
}

// captureStep records a step.
func (d *Daemon) captureStep(now policyapi.Microseconds, inputs []coordinator.Input, outputs []coordinator.Output) {
	if d.writer == nil {
		return
	}
	step := &capture.Step{Now: now, Inputs: slices.Clone(inputs), Orders: d.core.Orders(), Digest: capture.Digest(outputs)}
	for _, o := range outputs {
		if n, is := o.(coordinator.LogEntry); is && n.Level > coordinator.LogDebug {
			step.Log = append(step.Log, n)
		}
	}
	d.capture(&capture.Record{Step: step})
	if s := d.writer.Stats(); s.Gaps != d.gaps || (s.LastError != "") != d.captureFailing {
		d.gaps, d.captureFailing = s.Gaps, s.LastError != ""
		d.log.Warn("capture", zap.String("text", "records are missing, or are being lost"), zap.Int64("gaps", s.Gaps), zap.Int64("lost", s.Lost),
			zap.String("why", s.LastError))
	}
}
