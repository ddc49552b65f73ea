package daemon

import (
	"path/filepath"
	"slices"

	"go.uber.org/zap"

	"porthub/capture"
	"porthub/config"
	"porthub/coordinator"
	"porthub/policyapi"
)

// captureName is the name of the capture's directory in the state directory, unless another directory is configured.
const captureName = "capture"

// recorder records the core's inputs and the decision module's orders in a capture. It never waits for the disk. Only the
// goroutine that owns the core may use it.
type recorder struct {
	writer  *capture.Writer // nil if captures are off
	log     *zap.Logger
	gaps    int64 // number of gaps when last logged
	failing bool  // whether writes failed when last logged
}

func newRecorder(c config.Capture, stateDir string, log *zap.Logger) *recorder {
	r := &recorder{log: log}
	dir := c.Dir
	if dir == "" && stateDir != "" {
		dir = filepath.Join(stateDir, captureName)
	}
	if c.Enabled && dir != "" {
		r.writer = capture.NewWriter(dir, capture.Limits{MaxBytes: int64(c.MaxBytes), SegmentBytes: int64(c.SegmentBytes), SegmentAge: duration(c.MaxAge)})
	}
	return r
}

func (r *recorder) record(record *capture.Record) {
	if r.writer != nil {
		r.writer.Append(record)
	}
}

// command records an operator's command that the core has carried out.
func (r *recorder) command(command capture.Command) {
	r.record(&capture.Record{Command: &command})
}

func (r *recorder) recordStep(now policyapi.Microseconds, inputs []coordinator.Input, orders []policyapi.Order, outputs []coordinator.Output) {
	if r.writer == nil {
		return
	}
	step := &capture.Step{Now: now, Inputs: slices.Clone(inputs), Orders: orders, Digest: capture.Digest(outputs)}
	for _, out := range outputs {
		if entry, ok := out.(coordinator.LogEntry); ok && entry.Level > coordinator.LogDebug {
			step.Log = append(step.Log, entry)
		}
	}
	r.record(&capture.Record{Step: step})
	r.logLosses()
}

// logLosses logs once for each change in the number of gaps, and when writes begin to fail or succeed again.
func (r *recorder) logLosses() {
	stats := r.writer.Stats()
	failing := stats.LastError != ""
	if stats.Gaps == r.gaps && failing == r.failing {
		return
	}
	r.gaps = stats.Gaps
	r.failing = failing
	r.log.Warn("capture", zap.String("text", "records were lost, or can't be written"), zap.Int64("gaps", stats.Gaps), zap.Int64("lost", stats.Lost),
		zap.String("error", stats.LastError))
}

// stats returns the counts of the capture's writer, or nil if captures are off.
func (r *recorder) stats() *capture.Stats {
	if r.writer == nil {
		return nil
	}
	stats := r.writer.Stats()
	return &stats
}

// close records the end of the process and closes the capture.
func (r *recorder) close(steps uint64) {
	if r.writer == nil {
		return
	}
	r.record(&capture.Record{End: &capture.End{Steps: steps}})
	r.writer.Close()
}
