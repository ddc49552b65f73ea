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

// Options configure a Daemon. Log, Clock and OnStep may be nil.
type Options struct {
	Config config.Config
	Log    *zap.Logger
	Clock  clock.Clock
	// OnStep is called after each step with its time, its inputs and the core, by the goroutine that owns the core.
	OnStep func(now policyapi.Microseconds, inputs []coordinator.Input, core *coordinator.Core)
}

// Daemon is a coordinator process: the core, its listener, the sources of its inputs and the destinations of its outputs.
// New opens it and Run runs it.
type Daemon struct {
	config config.Config
	log    *zap.Logger
	clock  clock.Clock
	onStep func(policyapi.Microseconds, []coordinator.Input, *coordinator.Core)

	// Sources of the core's inputs and destinations of its outputs. All are safe for concurrent use.
	mailbox      *mailbox.Mailbox[mailboxItem]
	files        *xdsfile.Publisher
	polls        *xdspoll.Hub
	fileSource   *file.Source // nil if no endpoint list file is configured
	registries   []*eureka.Client
	healthChecks *healthcheck.Checker
	server       *server
	state        *stateStore
	// reportIntervalFactor is the interval between two load reports that is requested of gateways, in report periods.
	reportIntervalFactor atomic.Int64

	// The fields below are used only by the goroutine that runs Run.
	core         *coordinator.Core
	coreSettings coordinator.Settings
	recorder     *recorder
	tracer       *tracer                 // nil if tracing is off
	stepTimes    *hdrhistogram.Histogram // durations of core steps, in microseconds
	arrivedAt    time.Time               // when the first input of the current step arrived; zero if unknown
	snapshotAt   policyapi.Microseconds  // time of the last snapshot
	logTail      []coordinator.LogRecord // recent log entries, for overviews
	overview     overviewCache
}

// ErrEnvironment reports a failure of the machine that the daemon runs on, such as a port that is in use or a directory that
// can't be created.
var ErrEnvironment = errors.New("environment failure")

// The range and the precision of the histogram of step times.
const (
	maxStepTime    = 60_000_000 // microseconds: one minute
	stepTimeDigits = 2          // significant decimal digits
)

// New creates the daemon's directories and opens its listener. Addr returns the address that it listens on. Errors of New wrap
// ErrEnvironment.
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
	d.mailbox = newMailbox(o.Config)
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

// newMailbox creates the mailbox of the core. Its normal lane has room for one request of each connection. A connection has at
// most one request in flight, so polls and acknowledgements are never rejected because other gateways' requests fill the lane,
// only if another goroutine takes their place in it (see [mailbox.Mailbox.TryPut]). (With a capacity of 8,192 and ten thousand
// gateways, a step of half a second filled the lane, rejected gateways retried a second later, and drains took 171% of the grace
// period.) Reports are deferred well before that, by package loadreport.
func newMailbox(c config.Config) *mailbox.Mailbox[mailboxItem] {
	var stamp func(mailboxItem) mailboxItem
	if tracingEnabled(c.Trace) {
		stamp = func(item mailboxItem) mailboxItem {
			item.arrivedAt = time.Now()
			return item
		}
	}
	return mailbox.New(urgentCapacity, max(normalCapacity, c.Limits.Connections), stamp)
}

// connectSources creates the sources of inputs other than the gateways: the endpoint list file, registries and health checks.
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

// open opens the directory of the gateways' files, the tracer, the sources and, last, the listener.
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

// Addr returns the address that gateways and tools connect to.
func (d *Daemon) Addr() string { return d.server.addr }

// FileStats returns counts of the files written for gateways.
func (d *Daemon) FileStats() xdsfile.Stats { return d.files.Stats() }

// shutdownTimeout limits how long shutdown waits for files that are being written: the whole shutdown must end
// within a second.
const shutdownTimeout = 300 * time.Millisecond

// close closes what New opened, after the loop has ended.
func (d *Daemon) close() {
	d.server.close()
	d.healthChecks.Close()
	d.mailbox.Close()
	closed := make(chan struct{})
	go func() { // ends when the files are written or the process exits
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
	select { // a slow disk must not delay shutdown: the next start removes an unfinished file
	case <-closed:
	case <-time.After(shutdownTimeout):
	}
	d.log.Info("stopped", zap.Uint64("steps", d.core.Steps()))
}
