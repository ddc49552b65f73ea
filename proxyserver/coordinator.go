package proxyserver

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"time"

	"go.uber.org/zap"

	"porthub/clock"
	"porthub/healthcheck"
	"porthub/inbound"
	"porthub/mailbox"
	"porthub/policyapi"
	"porthub/proxyproto"
)

// ErrEnvironment means that the coordinator can't run because of its environment, for example because its address is in use.
var ErrEnvironment = errors.New("environment failure")

const (
	// maxConcurrentHealthChecks bounds the descriptors that health checks use.
	maxConcurrentHealthChecks = 8
	// laneCapacity is the number of inputs that can wait for the owner in each lane of the mailbox. It holds the reports of one
	// second at ten times the expected rate.
	laneCapacity = 4096
	// sharedLaneCapacity is the number of waiting load reports up to which any connection may add one. Beyond it, only connections with
	// fewer than maxLaneShare waiting reports may.
	sharedLaneCapacity = laneCapacity * 3 / 4
	maxLaneShare       = laneCapacity / 8
	// reservedDescriptors is the number of descriptors that are not available to connections. They are used by the standard
	// streams, the listener, the pollers, the calls to discovery, health checks and their name look-ups, and the log.
	reservedDescriptors = 13 + maxConcurrentCalls + maxConcurrentHealthChecks
)

// Coordinator is a running coordinator.
type Coordinator struct {
	cfg     proxyproto.Config
	log     *zap.Logger
	clock   clock.Clock
	mailbox *mailbox.Mailbox[input]
	server  *server
	checker *healthcheck.Checker

	// The fields below are used by the owner only.
	module    *policyModule
	publisher *proxyproto.Publisher
	streams   map[policyapi.ProxyID]*connection
	endpoints *endpointStore
	watcher   *discoveryWatcher
	timers    timerQueue
	stats     stats
	inputs    []input // inputs of the current step; the slice is reused
}

// input is an item of the owner's mailbox: exactly one of event, discovery and config is set.
type input struct {
	connection *connection // connection of a peer's event; nil for other inputs
	event      policyapi.Event
	discovery  *discoveryEvent
	config     *proxyproto.Config // configuration to be reloaded
}

// New returns a coordinator that listens on its address; Run must be called to serve. If it can't listen, the error wraps
// ErrEnvironment.
func New(cfg proxyproto.Config, log *zap.Logger) (*Coordinator, error) {
	c := &Coordinator{
		cfg:       cfg,
		log:       log,
		clock:     clock.New(),
		mailbox:   mailbox.New[input](laneCapacity, laneCapacity, nil),
		publisher: proxyproto.NewPublisher(cfg.Start.Classes),
		streams:   map[policyapi.ProxyID]*connection{},
		endpoints: newEndpointStore(),
	}
	c.module = newPolicyModule(&c.cfg.Start, log, c.restartModule)
	c.watcher = newDiscoveryWatcher(&c.cfg, log, c.endpoints)
	c.watcher.applyList = c.applyList
	c.watcher.client = newDiscoveryClient(cfg.Start.Zones, func(e discoveryEvent) { c.mailbox.PutUrgent(input{discovery: &e}) })

	cached := c.cachedList()
	c.endpoints.apply(cached, cfg.CachedList.HealthCheckAddresses)
	validator := proxyproto.NewValidator(cfg.Start)
	validator.Apply(cached)
	c.checker = healthcheck.New(c.healthCheckOptions(), func(r policyapi.HealthCheckResult) { c.mailbox.PutUrgent(input{event: r}) })

	maxConnections := math.MaxInt
	if cfg.Limits.Sockets > 0 {
		maxConnections = max(1, cfg.Limits.Sockets-reservedDescriptors)
	}
	var err error
	c.server, err = listen(cfg.Listen, &server{
		mailbox:        c.mailbox,
		log:            log,
		maxConnections: maxConnections,
		received:       memoryBudget(cfg.Limits, receivedDivisor, minReceivedBytes),
		unsent:         memoryBudget(cfg.Limits, unsentDivisor, minUnsentBytes),
		validator:      validator,
	})
	return c, err
}

// memoryBudget returns a budget of a fraction of the memory limit.
func memoryBudget(limits proxyproto.Limits, divisor float64, minimum int) *inbound.Budget {
	fraction := min(limits.MemoryMB*bytesPerMB/divisor, math.MaxInt32)
	return inbound.NewBudget(max(minimum, int(fraction)))
}

// cachedList returns the endpoint list of the configuration as an update of kind Cached.
func (c *Coordinator) cachedList() policyapi.EndpointUpdate {
	cached := c.cfg.CachedList.Update
	cached.Kind = policyapi.Cached
	return cached
}

// Addr returns the address on which the coordinator listens.
func (c *Coordinator) Addr() string { return c.server.addr }

// healthCheckOptions returns the options for health checks. In deployments with load metrics, the response to a check contains a
// load report. A check times out after the connect timeout plus one report period, since a later result is out of date.
func (c *Coordinator) healthCheckOptions() healthcheck.Options {
	path := "/alive"
	if len(c.cfg.Start.Reports.MetricNames) > 0 {
		path = "/metrics/load"
	}
	return healthcheck.Options{
		MaxConcurrent: maxConcurrentHealthChecks,
		Timeout:       time.Duration(c.cfg.Host.ConnectTimeout+c.cfg.Start.Reports.Period) * time.Microsecond,
		URL: func(id policyapi.EndpointID) (string, bool) {
			address, has := c.endpoints.addresses.lookup(id)
			return "http://" + address + path, has
		},
		Metrics: func(response *http.Response) policyapi.LoadMetrics {
			var report map[string]any // ParseMetrics ignores values that are not numbers
			if json.NewDecoder(response.Body).Decode(&report) != nil {
				return nil
			}
			return proxyproto.ParseMetrics(report)
		},
	}
}

// Reload applies a new configuration. Only discovery's address can change while the coordinator runs; other differences are
// logged and ignored. Reload may be called from any goroutine.
func (c *Coordinator) Reload(cfg proxyproto.Config) { c.mailbox.PutUrgent(input{config: &cfg}) }

// Run serves until the context ends, then closes all connections and returns nil. It returns an error if the decision module panics
// twice within a short time, or if the listener ends; the latter error wraps ErrEnvironment.
func (c *Coordinator) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer c.mailbox.Close()
	defer c.checker.Close()
	defer c.server.close()
	if err := c.process(ctx, []policyapi.Event{c.cachedList()}); err != nil {
		return err
	}
	if !c.cfg.Start.PollsList { // the decision module does not request changes, but expects them
		c.watcher.follow(ctx)
	}
	for ctx.Err() == nil {
		if err := c.step(ctx); err != nil {
			return err
		}
		select {
		case err := <-c.server.ended:
			return fmt.Errorf("%w: the listener has ended: %w", ErrEnvironment, err)
		default:
		}
	}
	return nil
}

// reload applies a configuration that was passed to Reload.
func (c *Coordinator) reload(ctx context.Context, cfg proxyproto.Config) {
	if ignored := c.cfg.ChangedSettings(cfg); len(ignored) > 0 {
		c.log.Warn("configuration reloaded: these changes need a restart", zap.Strings("ignored", ignored))
	}
	if cfg.Discovery == c.watcher.address {
		c.log.Info("configuration reloaded: no change")
		return
	}
	c.log.Info("configuration reloaded", zap.String("discovery", cfg.Discovery))
	c.watcher.setAddress(ctx, cfg.Discovery)
}
