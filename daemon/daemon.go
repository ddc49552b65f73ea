package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"go.uber.org/zap"

	"porthub/capture"
	"porthub/clock"
	"porthub/config"
	"porthub/coordinator"
	"porthub/healthcheck"
	"porthub/loadreport"
	"porthub/mailbox"
	"porthub/membership"
	"porthub/policyapi"
	"porthub/registry/eureka"
	"porthub/registry/file"
	"porthub/xdsfile"
	"porthub/xdspoll"
)

// Options are what a daemon is made of. Clock and Tap may be left out.
type Options struct {
	Config config.Config
	Log    *zap.Logger
	Clock  clock.Clock
	// Tap is called after each step, by the goroutine that owns the core: with the time, the inputs and the core.
	Tap func(now policyapi.Microseconds, inputs []coordinator.Input, core *coordinator.Core)
}

// Daemon is a running coordinator.
type Daemon struct {
	config config.Config
	log    *zap.Logger
	clock  clock.Clock
	onStep func(policyapi.Microseconds, []coordinator.Input, *coordinator.Core)

	core           *coordinator.Core
	inbox          *mailbox.Mailbox[mailboxItem]
	files          *xdsfile.Publisher
	polls          *xdspoll.Hub
	fileSource     *file.Source // nil: there is no file
	registries     []*eureka.Client
	healthChecks   *healthcheck.Checker
	server         *server
	savedLists     chan any // lists
	savedSnapshots chan any // snapshots
	coreSettings   coordinator.Settings
	writer         *capture.Writer         // nil: no capture
	stepTimes      *hdrhistogram.Histogram // steps of the core, microseconds; of the loop's goroutine

	reportIntervalFactor atomic.Int64            // how much longer than a period reports may wait
	tracer               *tracer                 // nil: off
	logTail              []coordinator.LogRecord // of the log; of the loop's goroutine
	overview             []byte                  // the last one that was made, and when the next may be
	overviewAt           time.Time
	arrivedAt            time.Time // when the first input of this step came; zero: not known
	rememberedAt         policyapi.Microseconds
	saveFailing          bool // of the goroutine that saves
	captureFailing       bool
	gaps                 int64
}

// Status is how a running coordinator stands, as GET /tables answers.
type Status struct {
	coordinator.Status
	FileDelivery xdsfile.Stats `json:"front"`
	PollDelivery xdspoll.Stats `json:"poll"`
	StepTimes    Latencies     `json:"step_us"` // of the core
	// Capture counts what was recorded; nil: it is off.
	Capture *capture.Stats `json:"capture,omitempty"`
}

// Latencies are of a histogram, in microseconds.
type Latencies struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P99   int64 `json:"p99"`
	Max   int64 `json:"most"`
}

func (d *Daemon) statusAnswer(c *coordinator.Core) []byte {
	s := Status{c.Status(), d.files.Stats(), d.polls.Stats(), Latencies{d.stepTimes.TotalCount(), d.stepTimes.ValueAtQuantile(50), d.stepTimes.ValueAtQuantile(99),
		d.stepTimes.Max()}, nil}
	if d.writer != nil {
		stats := d.writer.Stats()
		s.Capture = &stats
	}
	text, err := json.Marshal(s)
	if err != nil {
		return fmt.Appendf(nil, `{"error": %q}`, err)
	}
	return text
}

// mailboxItem is what the loop takes in at a time.
type mailboxItem struct {
	arrivedAt time.Time // when it was put in; zero where tracing is off
	inputs    []coordinator.Input
	query     func(*coordinator.Core) []byte // instead of inputs: answered from the core's state
	reply     func([]byte)                   // called after the step; what query returned, or nil
}

// urgentCapacity bounds the inbox's urgent lane, plainLength is the least bound of the plain one.
const (
	urgentCapacity = 8192
	normalCapacity = 8192
)

// submit hands the core inputs that must not be lost.
func (d *Daemon) submit(inputs ...coordinator.Input) { d.inbox.PutUrgent(mailboxItem{inputs: inputs}) }

// ErrEnvironment is a failure of the machine around the daemon: a port that is taken, a folder that can't be made.
var ErrEnvironment = errors.New("environment")

// New opens the daemon's folders and its listener. Addr tells where it listens.
func New(o Options) (*Daemon, error) {
	d := &Daemon{config: o.Config, log: o.Log, clock: o.Clock, onStep: o.Tap,
		savedLists: make(chan any, 1), savedSnapshots: make(chan any, 1), stepTimes: hdrhistogram.New(1, 60_000_000, 2)}
	var stamp func(mailboxItem) mailboxItem
	if (o.Config.Trace != config.Trace{SampleRatio: o.Config.Trace.SampleRatio}) {
		stamp = func(e mailboxItem) mailboxItem { e.arrivedAt = time.Now(); return e }
	}
	// Room in the plain lane for a request of each connection: none has two on its way, so that none that polls or
	// acknowledges is turned away for what others have sent. (At ten thousand gateways a step of half a second filled 8,192
	// places, and those that found none came a second later: drains were at 171% of the grace.) Reports are put off long
	// before, by package intake.
	d.inbox = mailbox.New(urgentCapacity, max(normalCapacity, o.Config.Limits.Connections), stamp)
	if d.clock == nil {
		d.clock = clock.New()
	}
	if d.log == nil {
		d.log = zap.NewNop()
	}
	if d.config.StateDir != "" {
		if err := os.MkdirAll(d.config.StateDir, 0o755); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrEnvironment, err)
		}
	}
	now := d.clock.Now()
	var names []string
	for _, e := range o.Config.Registry.Eureka {
		names = append(names, e.Name)
	}
	d.coreSettings = coordinator.Settings{Build: Build(), MaxReportLines: float64(o.Config.Reports.SamplingLimit), Sources: names, Start: o.Config.Start(), Epoch: strconv.FormatInt(int64(now), 36),
		SilenceTimeout: policyapi.Microseconds(o.Config.Gateways.SilenceTimeout), SolverEnabled: o.Config.Solver.Enabled,
		SyncDocuments: o.Config.Delivery.Files.Sync}
	d.coreSettings.Degradation, d.coreSettings.Fallback = o.Config.DegradationSettings()
	d.core = coordinator.New(d.coreSettings)
	if dir := o.Config.Capture.Dir; o.Config.Capture.Enabled && (dir != "" || d.config.StateDir != "") {
		if dir == "" {
			dir = filepath.Join(d.config.StateDir, captureName)
		}
		d.writer = capture.NewWriter(dir, capture.Limits{MaxBytes: int64(o.Config.Capture.MaxBytes), SegmentBytes: int64(o.Config.Capture.SegmentBytes),
			SegmentAge: time.Duration(o.Config.Capture.MaxAge) * time.Microsecond})
	}
	front, err := xdsfile.Open(o.Config.Delivery.Files.Dir, o.Config.Delivery.Files.Writers, func(g coordinator.Gateway, err error) {
		d.submit(coordinator.PublishFailed{Gateway: g, Reason: err.Error()})
	})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrEnvironment, err)
	}
	d.files = front
	d.polls = xdspoll.NewHub(o.Config.Delivery.Poll.MaxPending, o.Config.Delivery.Poll.DeltaBases)
	if d.tracer, err = newTracer(o.Config.Trace); err != nil {
		front.Close()
		return nil, fmt.Errorf("%w: %w", ErrEnvironment, err)
	}
	version := policyapi.ListVersion(0)
	if o.Config.Registry.File.Path != "" {
		d.fileSource = file.New(o.Config.Registry.File.Path, time.Duration(o.Config.Registry.File.PollInterval)*time.Microsecond,
			func(entries []policyapi.Endpoint, err error) {
				version++
				list := coordinator.EndpointUpdate{EndpointUpdate: policyapi.EndpointUpdate{Version: version, Kind: policyapi.Snapshot, Endpoints: entries}}
				if err != nil {
					list.Kind, list.Error = policyapi.Failed, err.Error()
				}
				d.submit(list)
			})
	}
	for _, e := range o.Config.Registry.Eureka {
		d.registries = append(d.registries, eureka.New(eurekaOptions(e), func(a membership.SourceUpdate) { d.submit(coordinator.RegistryUpdate{SourceUpdate: a}) }))
	}
	d.healthChecks = healthcheck.New(healthCheckOptions(o.Config.HealthChecks), func(p policyapi.HealthCheckResult) { d.submit(coordinator.HealthCheckResult{HealthCheckResult: p}) })
	if d.server, err = listen(d, o.Config.Listen); err != nil {
		front.Close()
		return nil, fmt.Errorf("%w: %w", ErrEnvironment, err)
	}
	return d, nil
}

// Addr is the address that gateways and tools connect to.
func (d *Daemon) Addr() string { return d.server.addr }

// FileDelivery tells what the file front has written.
func (d *Daemon) Front() xdsfile.Stats { return d.files.Stats() }

// Run steps the core until the context ends. A panic of the core ends it with an error that says where the input
// stood; gateways go on by their files.
func (d *Daemon) Run(ctx context.Context) (err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var sources sync.WaitGroup
	defer sources.Wait() // a registry's entry is taken out at the end
	defer cancel()
	if d.fileSource != nil {
		go d.fileSource.Run(ctx)
	}
	for _, e := range d.registries {
		sources.Add(1)
		go func() { defer sources.Done(); e.Run(ctx) }()
	}
	go d.saveState(ctx)
	defer d.close()
	var inputs []coordinator.Input
	defer func() {
		if p := recover(); p != nil {
			kinds := make([]string, len(inputs))
			for i, in := range inputs {
				kinds[i] = fmt.Sprintf("%T", in)
			}
			d.log.Error("core failed", zap.Any("panic", p), zap.Uint64("step", d.core.Steps()), zap.Strings("inputs", kinds),
				zap.ByteString("stack", debug.Stack()))
			err = fmt.Errorf("the core failed at step %d: %v", d.core.Steps(), p)
		}
	}()
	d.log.Info("started", zap.String("listen", d.Addr()), zap.String("files", d.config.Delivery.Files.Dir))
	inputs = d.restore(d.clock.Now(), d.coreSettings)
	d.step(inputs)
	var events []mailboxItem
	for ctx.Err() == nil {
		events = d.inbox.Next(ctx, events[:0], func() <-chan time.Time {
			if wait := d.core.NextDeadline() - d.clock.Now(); wait > 0 {
				return d.clock.After(wait)
			}
			return nil
		})
		if ctx.Err() != nil {
			break
		}
		inputs = inputs[:0]
		for _, e := range events {
			inputs = append(inputs, e.inputs...)
		}
		began := time.Now()
		d.arrivedAt = time.Time{}
		for _, e := range events {
			if !e.arrivedAt.IsZero() && (d.arrivedAt.IsZero() || e.arrivedAt.Before(d.arrivedAt)) {
				d.arrivedAt = e.arrivedAt
			}
		}
		d.step(inputs)
		for _, e := range events {
			var answer []byte
			if e.query != nil {
				answer = e.query(d.core)
			}
			if e.reply != nil {
				e.reply(answer)
			}
		}
		if wait := loadreport.BatchDelay(policyapi.Microseconds(time.Since(began).Microseconds())); wait > 0 {
			time.Sleep(time.Duration(wait) * time.Microsecond)
		}
	}
	return nil
}

// step hands inputs to the core and carries out what comes of it.
func (d *Daemon) step(inputs []coordinator.Input) {
	now, began := d.clock.Now(), time.Now()
	outputs := d.core.Step(now, inputs)
	_ = d.stepTimes.RecordValue(max(1, time.Since(began).Microseconds()))
	d.captureStep(now, inputs, outputs)
	if d.tracer != nil {
		d.tracer.step(d.arrivedAt, began, d.core, inputs, outputs)
	}
	urgent := false
	for _, out := range outputs {
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
			if d.fileSource != nil {
				d.fileSource.Fetch()
			}
			for _, e := range d.registries {
				e.Fetch()
			}
		case coordinator.SaveList:
			d.save(o.List)
			urgent = true
		case coordinator.CloseConnection:
			d.server.closeConnection(o.Conn)
		case coordinator.LogEntry:
			d.logEntry(o)
		}
	}
	d.saveSnapshot(now, urgent)
	d.reportIntervalFactor.Store(int64(d.core.ReportIntervalFactor()))
	if d.onStep != nil {
		d.onStep(now, inputs, d.core)
	}
}

// logEntry writes a note as one log record with its fields.
func (d *Daemon) logEntry(n coordinator.LogEntry) {
	if n.Level > coordinator.LogDebug {
		d.logTail = coordinator.AppendLog(d.logTail, d.core.Now(), n)
	}
	fields := []zap.Field{zap.String("text", n.Text)}
	if n.Gateway != "" {
		fields = append(fields, zap.String("gateway", string(n.Gateway)))
	}
	if n.Endpoint != "" {
		fields = append(fields, zap.String("node", string(n.Endpoint)))
	}
	if n.Count > 1 {
		fields = append(fields, zap.Int("count", n.Count))
	}
	for _, f := range n.Fields {
		fields = append(fields, zap.Any(f.Key, f.Value))
	}
	switch n.Level {
	case coordinator.LogWarn:
		d.log.Warn(n.Event, fields...)
	case coordinator.LogInfo:
		d.log.Info(n.Event, fields...)
	default:
		d.log.Debug(n.Event, fields...)
	}
}

func (d *Daemon) close() {
	d.server.close()
	d.healthChecks.Close()
	d.inbox.Close()
	closed := make(chan struct{})
	go func() {
		if d.writer != nil {
			d.capture(&capture.Record{End: &capture.End{Steps: d.core.Steps()}})
			d.writer.Close()
		}
		if d.tracer != nil {
			d.tracer.close(shutdownTimeout / 2)
		}
		if d.config.StateDir != "" {
			_ = writeSnapshot(d.config.StateDir, d.core.Snapshot())
		}
		d.files.Close()
		close(closed)
	}()
	select { // a slow disk must not hold up the end: an unfinished file is swept at the next start
	case <-closed:
	case <-time.After(shutdownTimeout):
	}
	d.log.Info("stopped", zap.Uint64("steps", d.core.Steps()))
}

// shutdownTimeout is how long the end waits for files that are being written; a second is all there is for an end.
const shutdownTimeout = 300 * time.Millisecond
