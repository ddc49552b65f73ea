package capture

import (
	"errors"
	"fmt"
	"io"
	"reflect"
	"slices"

	"porthub/coordinator"
	"porthub/policyapi"
)

// ReplayResult is what came of a replay.
type ReplayResult struct {
	Starts          int       `json:"starts"`
	Steps           int       `json:"steps"`
	Orders          int       `json:"orders"`
	PublishingSteps int       `json:"messages"` // steps whose publications were compared
	Mismatches      int       `json:"differing_steps"`
	Skipped         int       `json:"skipped_steps"` // after a gap, until the next start
	Gaps            []Gap     `json:"gaps,omitempty"`
	FirstMismatch   *Mismatch `json:"first,omitempty"`
	Builds          []string  `json:"builds"` // that wrote it
	Build           string    `json:"build"`  // that replays
	Damages         []Damage  `json:"damages,omitempty"`
	Unfinished      int       `json:"starts_without_an_end"` // killed, or still running
	Bytes           int64     `json:"bytes"`
}

// Mismatch is where a replay departs from the record.
type Mismatch struct {
	Start    string                 `json:"start"` // epoch
	Seq      uint64                 `json:"record"`
	Now      policyapi.Microseconds `json:"now_us"`
	Order    int                    `json:"order"` // position; -1: the orders agree and what was published does not
	Recorded string                 `json:"recorded"`
	Replayed string                 `json:"replayed"`
	Inputs   []string               `json:"inputs"`
}

// SameBuild tells whether all of it was written by the build that replays it.
func (v ReplayResult) SameBuild() bool {
	return !slices.ContainsFunc(v.Builds, func(b string) bool { return b != v.Build })
}

// Incomplete tells whether records are missing that were once taken.
func (v ReplayResult) Incomplete() bool {
	return slices.ContainsFunc(v.Damages, func(d Damage) bool { return !d.Torn })
}

// Watcher sees each record and the core after it; core is nil where the state is not known.
type Watcher func(r *Record, core *coordinator.Core, outputs []coordinator.Output) (more bool)

// Replay runs a capture through the library and compares the orders one by one. Where records are missing the state is not
// known until the next start; nothing is compared until then.
func Replay(r *Reader, build string, watch Watcher) (v ReplayResult, err error) {
	v.Build = build
	var core *coordinator.Core
	open, epoch := false, ""
	for {
		rec, err := r.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return v, err
		}
		var outputs []coordinator.Output
		switch {
		case rec.Start != nil:
			if open {
				v.Unfinished++
			}
			s := rec.Start
			v.Starts++
			open, epoch = true, s.Settings.Epoch
			if !slices.Contains(v.Builds, s.Build) {
				v.Builds = append(v.Builds, s.Build)
			}
			core = coordinator.New(s.Settings)
			if s.Restored != nil {
				core.Restore(policyapi.Microseconds(s.WallTime), *s.Restored)
			}
		case rec.Gap != nil:
			v.Gaps = append(v.Gaps, *rec.Gap)
			core = nil
		case rec.End != nil:
			open = false
		case core == nil:
			if rec.Step != nil {
				v.Skipped++
			}
		case rec.Command != nil:
			command(core, *rec.Command)
		case rec.Step != nil:
			v.Steps++
			outputs = core.Step(rec.Step.Now, rec.Step.Inputs)
			v.Orders += len(rec.Step.Orders)
			if rec.Step.Digest != 0 {
				v.PublishingSteps++
			}
			if first := compare(rec, core.Orders(), Digest(outputs)); first != nil {
				if v.Mismatches++; v.FirstMismatch == nil {
					first.Start = epoch
					v.FirstMismatch = first
				}
			}
		}
		if watch != nil && !watch(rec, core, outputs) {
			break
		}
	}
	if open {
		v.Unfinished++
	}
	v.Damages, v.Bytes = r.Damages, r.Bytes
	return v, nil
}

// command gives an operator's word again; it held when it was given.
func command(core *coordinator.Core, c Command) {
	switch {
	case c.Pin != nil:
		_, _ = core.Pin(*c.Pin)
	case c.Drain != "":
		_ = core.DrainNode(c.Drain, c.Reason)
	case c.SetOverride != nil:
		_, _ = core.SetLevelOverride(*c.SetOverride)
	case c.ClearOverride != 0:
		_, _ = core.ClearLevelOverride(c.ClearOverride, c.Reason)
	case c.Undrain != "":
		_ = core.UndrainNode(c.Undrain, c.Reason)
	default:
		_, _ = core.Unpin(c.Unpin, c.Reason)
	}
}

func compare(rec *Record, got []policyapi.Order, digest uint64) *Mismatch {
	want := rec.Step.Orders
	first := &Mismatch{Seq: rec.Seq, Now: rec.Step.Now, Order: -1}
	switch at := differ(want, got); {
	case at >= 0:
		first.Order, first.Recorded, first.Replayed = at, show(want, at), show(got, at)
	case digest != rec.Step.Digest:
		first.Recorded, first.Replayed = fmt.Sprintf("publications %x", rec.Step.Digest), fmt.Sprintf("publications %x", digest)
	default:
		return nil
	}
	for _, in := range rec.Step.Inputs {
		text := fmt.Sprintf("%T %+v", in, in)
		first.Inputs = append(first.Inputs, text[:min(len(text), 400)])
	}
	return first
}

// differ is the position of the first order that is not the same; -1: there is none.
func differ(a, b []policyapi.Order) int {
	for i := range max(len(a), len(b)) {
		if i >= len(a) || i >= len(b) || !reflect.DeepEqual(a[i], b[i]) {
			return i
		}
	}
	return -1
}

func show(orders []policyapi.Order, i int) string {
	if i >= len(orders) {
		return fmt.Sprintf("nothing: %d orders in all", len(orders))
	}
	return fmt.Sprintf("%T %+v", orders[i], orders[i])
}
