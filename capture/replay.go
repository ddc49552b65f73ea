package capture

import (
	"fmt"
	"reflect"
	"slices"

	"porthub/coordinator"
	"porthub/policyapi"
)

// ReplayResult is the outcome of a replay.
type ReplayResult struct {
	Starts          int       `json:"starts"`
	Steps           int       `json:"steps"`
	Orders          int       `json:"orders"`
	PublishingSteps int       `json:"messages"` // compared steps that published something
	Mismatches      int       `json:"differing_steps"`
	Skipped         int       `json:"skipped_steps"` // steps after a gap, until the next start; they are not compared
	Gaps            []Gap     `json:"gaps,omitempty"`
	FirstMismatch   *Mismatch `json:"first,omitempty"`
	Builds          []string  `json:"builds"` // builds that wrote the capture
	Build           string    `json:"build"`  // build that replayed the capture
	Damages         []Damage  `json:"damages,omitempty"`
	Unfinished      int       `json:"starts_without_an_end"` // starts of processes that were killed or are still running
	Bytes           int64     `json:"bytes"`
}

// Mismatch is a step whose replay differs from the record.
type Mismatch struct {
	Start    string                 `json:"start"` // epoch of the core
	Seq      uint64                 `json:"record"`
	Now      policyapi.Microseconds `json:"now_us"`
	Order    int                    `json:"order"` // position of the first different order; -1 if only the publications differ
	Recorded string                 `json:"recorded"`
	Replayed string                 `json:"replayed"`
	Inputs   []string               `json:"inputs"`
}

// maxInputText is the number of bytes of each input that a mismatch shows: the endpoint list of a large fleet would hide the
// rest.
const maxInputText = 400

// SameBuild reports whether the whole capture was written by the build that replayed it.
func (v ReplayResult) SameBuild() bool {
	return !slices.ContainsFunc(v.Builds, func(b string) bool { return b != v.Build })
}

// Incomplete reports whether records are missing that had been written completely.
func (v ReplayResult) Incomplete() bool {
	return slices.ContainsFunc(v.Damages, func(d Damage) bool { return !d.Truncated })
}

// Watcher is called after each record with the core and its outputs for the record; core is nil while its state is unknown.
// Replay ends when the watcher returns false.
type Watcher func(r *Record, core *coordinator.Core, outputs []coordinator.Output) (more bool)

// Replay runs a capture through the core of this build and compares the orders one by one. After a gap the state of the
// core is unknown: nothing is compared until the next start. The watcher may be nil. If Replay returns an
// error, the counts of the result cover the records before it.
func Replay(r *Reader, build string, watch Watcher) (ReplayResult, error) {
	replay := replayer{result: ReplayResult{Build: build}}
	for record, err := range r.All() {
		if err != nil {
			return replay.result, err
		}
		outputs := replay.apply(record)
		if watch != nil && !watch(record, replay.core, outputs) {
			break
		}
	}
	if replay.running {
		replay.result.Unfinished++
	}
	replay.result.Damages = r.Damages
	replay.result.Bytes = r.Bytes
	return replay.result, nil
}

// replayer is the state of a replay.
type replayer struct {
	result  ReplayResult
	core    *coordinator.Core // nil while its state is unknown
	running bool              // the recorded process has started and has not ended
	epoch   string
}

// apply applies a record to the core and returns the outputs of its step.
func (p *replayer) apply(record *Record) []coordinator.Output {
	switch {
	case record.Start != nil:
		p.start(record.Start)
	case record.Gap != nil:
		p.result.Gaps = append(p.result.Gaps, *record.Gap)
		p.core = nil
	case record.End != nil:
		p.running = false
	case p.core == nil:
		if record.Step != nil {
			p.result.Skipped++
		}
	case record.Command != nil:
		applyCommand(p.core, *record.Command)
	case record.Step != nil:
		return p.step(record)
	}
	return nil
}

func (p *replayer) start(start *Start) {
	if p.running {
		p.result.Unfinished++
	}
	p.running = true
	p.epoch = start.Settings.Epoch
	p.result.Starts++
	if !slices.Contains(p.result.Builds, start.Build) {
		p.result.Builds = append(p.result.Builds, start.Build)
	}
	p.core = coordinator.New(start.Settings)
	if start.Restored != nil {
		p.core.Restore(policyapi.Microseconds(start.WallTime), *start.Restored)
	}
}

func (p *replayer) step(record *Record) []coordinator.Output {
	p.result.Steps++
	p.result.Orders += len(record.Step.Orders)
	if record.Step.Digest != 0 {
		p.result.PublishingSteps++
	}
	outputs := p.core.Step(record.Step.Now, record.Step.Inputs)
	mismatch := compareStep(record, p.core.Orders(), Digest(outputs))
	if mismatch == nil {
		return outputs
	}
	p.result.Mismatches++
	if p.result.FirstMismatch == nil {
		mismatch.Start = p.epoch
		p.result.FirstMismatch = mismatch
	}
	return outputs
}

// applyCommand repeats an operator's command. Only commands that succeeded are recorded, so errors are ignored.
func applyCommand(core *coordinator.Core, c Command) {
	switch {
	case c.Pin != nil:
		_, _ = core.Pin(*c.Pin)
	case c.Drain != "":
		_ = core.DrainEndpoint(c.Drain, c.Reason)
	case c.SetOverride != nil:
		_, _ = core.SetLevelOverride(*c.SetOverride)
	case c.ClearOverride != 0:
		_, _ = core.ClearLevelOverride(c.ClearOverride, c.Reason)
	case c.Undrain != "":
		_ = core.UndrainEndpoint(c.Undrain, c.Reason)
	default:
		_, _ = core.Unpin(c.Unpin, c.Reason)
	}
}

// compareStep compares the replayed orders and publications with those of the record. It returns nil if they are the same.
func compareStep(record *Record, replayed []policyapi.Order, digest uint64) *Mismatch {
	recorded := record.Step.Orders
	mismatch := &Mismatch{Seq: record.Seq, Now: record.Step.Now, Order: -1}
	i, differ := firstDifference(recorded, replayed)
	switch {
	case differ:
		mismatch.Order = i
		mismatch.Recorded = orderText(recorded, i)
		mismatch.Replayed = orderText(replayed, i)
	case digest != record.Step.Digest:
		mismatch.Recorded = fmt.Sprintf("publications with digest %x", record.Step.Digest)
		mismatch.Replayed = fmt.Sprintf("publications with digest %x", digest)
	default:
		return nil
	}
	for _, input := range record.Step.Inputs {
		text := fmt.Sprintf("%T %+v", input, input)
		mismatch.Inputs = append(mismatch.Inputs, text[:min(len(text), maxInputText)])
	}
	return mismatch
}

// firstDifference returns the position of the first order that differs between two lists.
func firstDifference(a, b []policyapi.Order) (position int, differ bool) {
	for i := range max(len(a), len(b)) {
		if i >= len(a) || i >= len(b) || !reflect.DeepEqual(a[i], b[i]) {
			return i, true
		}
	}
	return 0, false
}

func orderText(orders []policyapi.Order, i int) string {
	if i >= len(orders) {
		return fmt.Sprintf("no order: the step has only %d orders", len(orders))
	}
	return fmt.Sprintf("%T %+v", orders[i], orders[i])
}
