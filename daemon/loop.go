package daemon

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"sync"
	"time"

	"go.uber.org/zap"

	"porthub/coordinator"
	"porthub/loadreport"
	"porthub/policyapi"
)

// mailboxItem is one item of the mailbox: inputs for the core, or an operation to run on it.
type mailboxItem struct {
	arrivedAt time.Time // when the item was queued; zero if tracing is off
	inputs    []coordinator.Input
	query     func(*coordinator.Core) []byte // set instead of inputs: runs after the step and returns the response
	reply     func([]byte)                   // called after the step with the result of query, or nil
}

// urgentCapacity is the capacity of the mailbox's urgent lane, normalCapacity the minimum capacity of its normal lane.
const (
	urgentCapacity = 8192
	normalCapacity = 8192
)

// submit queues inputs that must not be lost. It retries until the mailbox's urgent lane accepts them.
func (d *Daemon) submit(inputs ...coordinator.Input) {
	d.mailbox.PutUrgent(mailboxItem{inputs: inputs})
}

// ErrCoreFailed reports that the core panicked.
var ErrCoreFailed = errors.New("the core failed")

// Run steps the core until the context is done. The goroutine that calls Run owns the core: no other one uses it. If the core
// panics, Run returns an error that wraps ErrCoreFailed and names the step; gateways continue with their files.
func (d *Daemon) Run(ctx context.Context) (err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var sources sync.WaitGroup
	defer sources.Wait() // registry clients deregister when the context is done
	defer cancel()       // runs before the wait above
	d.startSources(ctx, &sources)
	go d.state.run(ctx)
	defer d.close()
	var inputs []coordinator.Input
	defer func() {
		if p := recover(); p != nil {
			err = d.coreFailed(p, inputs)
		}
	}()
	d.log.Info("started", zap.String("listen", d.Addr()), zap.String("files", d.config.Delivery.Files.Dir))
	inputs = d.restore(d.clock.Now(), d.coreSettings)
	d.step(inputs)
	var items []mailboxItem
	for ctx.Err() == nil {
		items = d.mailbox.Next(ctx, items[:0], d.deadline)
		if ctx.Err() != nil {
			break
		}
		inputs = collectInputs(inputs[:0], items)
		began := time.Now()
		d.arrivedAt = firstArrival(items)
		d.step(inputs)
		d.reply(items)
		if delay := loadreport.BatchDelay(microsecondsSince(began)); delay > 0 {
			time.Sleep(duration(delay))
		}
	}
	return nil
}

// startSources starts the goroutines that read the endpoint list's file and the registries. They end when the context is done.
func (d *Daemon) startSources(ctx context.Context, sources *sync.WaitGroup) {
	if d.fileSource != nil {
		go d.fileSource.Run(ctx)
	}
	for _, registry := range d.registries {
		sources.Go(func() { registry.Run(ctx) })
	}
}

// coreFailed logs a panic of the core with the step and the types of the step's inputs, and returns it as an error.
func (d *Daemon) coreFailed(p any, inputs []coordinator.Input) error {
	types := make([]string, len(inputs))
	for i, in := range inputs {
		types[i] = fmt.Sprintf("%T", in)
	}
	d.log.Error("core failed", zap.Any("panic", p), zap.Uint64("step", d.core.Steps()), zap.Strings("inputs", types),
		zap.ByteString("stack", debug.Stack()))
	return fmt.Errorf("%w at step %d: %v", ErrCoreFailed, d.core.Steps(), p)
}

// deadline returns a channel that fires when the core's next step is due, or nil if the step is due already.
func (d *Daemon) deadline() <-chan time.Time {
	wait := d.core.NextDeadline() - d.clock.Now()
	if wait <= 0 {
		return nil
	}
	return d.clock.After(wait)
}

func collectInputs(inputs []coordinator.Input, items []mailboxItem) []coordinator.Input {
	for _, item := range items {
		inputs = append(inputs, item.inputs...)
	}
	return inputs
}

// firstArrival returns when the first of the items was queued, or zero if that is unknown.
func firstArrival(items []mailboxItem) (first time.Time) {
	for _, item := range items {
		if !item.arrivedAt.IsZero() && (first.IsZero() || item.arrivedAt.Before(first)) {
			first = item.arrivedAt
		}
	}
	return first
}

// reply runs the queries and calls the reply functions of a step's items.
func (d *Daemon) reply(items []mailboxItem) {
	for _, item := range items {
		var response []byte
		if item.query != nil {
			response = item.query(d.core)
		}
		if item.reply != nil {
			item.reply(response)
		}
	}
}

// step steps the core with the inputs, records the step and carries out the outputs.
func (d *Daemon) step(inputs []coordinator.Input) {
	now := d.clock.Now()
	began := time.Now()
	outputs := d.core.Step(now, inputs)
	_ = d.stepTimes.RecordValue(max(1, time.Since(began).Microseconds()))
	d.recorder.recordStep(now, inputs, d.core.Orders(), outputs)
	if d.tracer != nil {
		d.tracer.recordStep(d.arrivedAt, began, d.core, inputs, outputs)
	}
	listChanged := false
	for _, out := range outputs {
		d.execute(out)
		if _, saved := out.(coordinator.SaveList); saved {
			listChanged = true
		}
	}
	d.saveSnapshot(now, listChanged)
	d.reportIntervalFactor.Store(int64(d.core.ReportIntervalFactor()))
	if d.onStep != nil {
		d.onStep(now, inputs, d.core)
	}
}

// execute carries out one output of the core.
func (d *Daemon) execute(out coordinator.Output) {
	switch o := out.(type) {
	case coordinator.Publish:
		if d.server.polls(o.Gateway) {
			d.polls.Publish(o)
		} else {
			d.files.Publish(o)
		}
	case coordinator.CheckHealth:
		d.healthChecks.Check(o.Endpoint)
	case coordinator.WatchEndpoints:
		if d.fileSource != nil {
			d.fileSource.Watch(o.Enabled)
		}
	case coordinator.Resync:
		d.resync()
	case coordinator.SaveList:
		d.state.saveList(o.List)
	case coordinator.CloseConnection:
		d.server.closeConnection(o.Conn)
	case coordinator.LogEntry:
		d.logEntry(o)
	}
}

// resync requests the complete lists of all sources.
func (d *Daemon) resync() {
	if d.fileSource != nil {
		d.fileSource.Fetch()
	}
	for _, registry := range d.registries {
		registry.Fetch()
	}
}

// logEntry logs an entry of the core, and keeps it for overviews unless its level is debug.
func (d *Daemon) logEntry(entry coordinator.LogEntry) {
	if entry.Level > coordinator.LogDebug {
		d.logTail = coordinator.AppendLog(d.logTail, d.core.Now(), entry)
	}
	fields := []zap.Field{zap.String("text", entry.Text)}
	if entry.Gateway != "" {
		fields = append(fields, zap.String("gateway", string(entry.Gateway)))
	}
	if entry.Endpoint != "" {
		fields = append(fields, zap.String("endpoint", string(entry.Endpoint)))
	}
	if entry.Count > 1 {
		fields = append(fields, zap.Int("count", entry.Count))
	}
	for _, f := range entry.Fields {
		fields = append(fields, zap.Any(f.Key, f.Value))
	}
	switch entry.Level {
	case coordinator.LogWarn:
		d.log.Warn(entry.Event, fields...)
	case coordinator.LogInfo:
		d.log.Info(entry.Event, fields...)
	default:
		d.log.Debug(entry.Event, fields...)
	}
}

// duration converts a duration of the core or of the configuration, both of which are in microseconds.
func duration[T ~int64](d T) time.Duration { return time.Duration(d) * time.Microsecond }

func microsecondsSince(t time.Time) policyapi.Microseconds {
	return policyapi.Microseconds(time.Since(t).Microseconds())
}
