package daemon

import (
	"errors"
	"fmt"
	"os"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"go.uber.org/zap"

	"porthub/clock"
	"porthub/config"
	"porthub/coordinator"
	"porthub/healthcheck"
	"porthub/mailbox"
	"porthub/membership"
	"porthub/policyapi"
	"porthub/registry/eureka"
	"porthub/registry/file"
	"porthub/xdsfile"
	"porthub/xdspoll"
)

// Options are what a daemon is made of. Log, Clock and OnStep may be left out.
type Options struct {
	Config config.Config
	Log    *zap.Logger
	Clock  clock.Clock
	// OnStep is called after each step, by the goroutine that owns the core: with the time, the inputs and the core.
	OnStep func(now policyapi.Microseconds, inputs []coordinator.Input, core *coordinator.Core)
}

// Daemon is a running coordinator.
type Daemon struct {
	config config.Config
	log    *zap.Logger
	clock  clock.Clock
	onStep func(policyapi.Microseconds, []coordinator.Input, *coordinator.Core)

	// What the core is given and what carries its outputs out; each is safe for use by other goroutines.
	mailbox      *mailbox.Mailbox[mailboxItem]
	files        *xdsfile.Publisher
	polls        *xdspoll.Hub
	fileSource   *file.Source // nil: there is no file
	registries   []*eureka.Client
	healthChecks *healthcheck.Checker
	server       *server
	state        *stateStore
	// reportIntervalFactor is how many report periods gateways are requested to wait between two reports.
	reportIntervalFactor atomic.Int64

	// What follows is of the goroutine that runs Run.
	core         *coordinator.Core
	coreSettings coordinator.Settings
	recorder     *recorder
	tracer       *tracer                 // nil: off
	stepTimes    *hdrhistogram.Histogram // of the core, microseconds
	arrivedAt    time.Time               // when the first input of this step came; zero: not known
	snapshotAt   policyapi.Microseconds  // of the last snapshot
	logTail      []coordinator.LogRecord
	overview     overviewCache
}

// ErrEnvironment is a failure of the machine around the daemon: a port that is taken, a folder that can't be made.
var ErrEnvironment = errors.New("environment")

// The step times' histogram: up to a minute, with two significant digits.
const (
	maxStepTime    = 60_000_000 // microseconds
	stepTimeDigits = 2
)

// New opens the daemon's folders and its listener; Addr is where it listens. Its error wraps ErrEnvironment.
func New(o Options) (*Daemon, error) {
	d := &Daemon{config: o.Config, log: o.Log, clock: o.Clock, onStep: o.OnStep, stepTimes: hdrhistogram.New(1, maxStepTime, stepTimeDigits)}
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
	d.mailbox = newInbox(o.Config)
	d.state = newStateStore(d.config.StateDir, d.log)
	d.coreSettings = coreSettings(o.Config, d.clock.Now())
	d.core = coordinator.New(d.coreSettings)
	d.recorder = newRecorder(o.Config.Capture, d.config.StateDir, d.log)
	d.polls = xdspoll.NewHub(o.Config.Delivery.Poll.MaxPending, o.Config.Delivery.Poll.DeltaBases)
	if err := d.open(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrEnvironment, err)
	}
	return d, nil
}

// newInbox makes the mailbox of the core. Its normal lane has a place for a request of each connection: none has two in
// flight, so none that polls or acknowledges is rejected for what others have sent. (At ten thousand gateways a step of half a
// second filled 8,192 places, and those that found none came a second later: drains were at 171% of the grace period.)
// Reports are deferred long before, by package loadreport.
func newInbox(c config.Config) *mailbox.Mailbox[mailboxItem] {
	var stamp func(mailboxItem) mailboxItem
	if tracingEnabled(c.Trace) {
		stamp = func(item mailboxItem) mailboxItem {
			item.arrivedAt = time.Now()
			return item
		}
	}
	return mailbox.New(urgentCapacity, max(normalCapacity, c.Limits.Connections), stamp)
}

// connectSources creates the sources of inputs other than the gateways.
func (d *Daemon) connectSources() {
	if path := d.config.Registry.File.Path; path != "" {
		version := policyapi.ListVersion(0)
		d.fileSource = file.New(path, duration(d.config.Registry.File.PollInterval), func(endpoints []policyapi.Endpoint, err error) {
			version++
			list := coordinator.EndpointUpdate{EndpointUpdate: policyapi.EndpointUpdate{Version: version, Kind: policyapi.Snapshot, Endpoints: endpoints}}
			if err != nil {
				list.Kind = policyapi.Failed
				list.Error = err.Error()
			}
			d.submit(list)
		})
	}
	for _, registry := range d.config.Registry.Eureka {
		d.registries = append(d.registries, eureka.New(eurekaOptions(registry), func(update membership.SourceUpdate) {
			d.submit(coordinator.RegistryUpdate{SourceUpdate: update})
		}))
	}
	d.healthChecks = healthcheck.New(healthCheckOptions(d.config.HealthChecks), func(result policyapi.HealthCheckResult) {
		d.submit(coordinator.HealthCheckResult{HealthCheckResult: result})
	})
}

// open opens the folder of the gateways' files, tracing, the sources and, last, the listener.
func (d *Daemon) open() (err error) {
	files := d.config.Delivery.Files
	d.files, err = xdsfile.Open(files.Dir, files.Writers, func(gateway coordinator.Gateway, err error) {
		d.submit(coordinator.PublishFailed{Gateway: gateway, Reason: err.Error()})
	})
	if err != nil {
		return err
	}
	if d.tracer, err = newTracer(d.config.Trace); err != nil {
		d.files.Close()
		return err
	}
	d.connectSources()
	if d.server, err = listen(d, d.config.Listen); err != nil {
		d.files.Close()
		return err
	}
	return nil
}

// Addr is the address that gateways and tools connect to.
func (d *Daemon) Addr() string { return d.server.addr }

// FileStats counts what was written for gateways that read files.
func (d *Daemon) FileStats() xdsfile.Stats { return d.files.Stats() }

// shutdownTimeout is how long the end waits for files that are being written; a second is all there is for an end.
const shutdownTimeout = 300 * time.Millisecond

// close ends what New has opened, after the loop.
func (d *Daemon) close() {
	d.server.close()
	d.healthChecks.Close()
	d.mailbox.Close()
	closed := make(chan struct{})
	go func() { // ends once the files are written, or with the process
		defer close(closed)
		d.recorder.close(d.core.Steps())
		if d.tracer != nil {
			d.tracer.close(shutdownTimeout / 2)
		}
		if d.config.StateDir != "" {
			_ = writeSnapshot(d.config.StateDir, d.core.Snapshot())
		}
		d.files.Close()
	}()
	select { // a slow disk must not hold up the end: an unfinished file is removed at the next start
	case <-closed:
	case <-time.After(shutdownTimeout):
	}
	d.log.Info("stopped", zap.Uint64("steps", d.core.Steps()))
}
