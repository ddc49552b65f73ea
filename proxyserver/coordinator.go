package proxyserver

import (
	"container/heap"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"slices"
	"time"

	"go.uber.org/zap"

	"porthub/clock"
	"porthub/healthcheck"
	"porthub/mailbox"
	"porthub/policy"
	"porthub/policyapi"
	"porthub/proxyproto"
)

// ErrEnvironment is a failure of the machine around the coordinator: an address that is taken.
var ErrEnvironment = errors.New("environment")

const (
	maxConcurrentHealthChecks = 8           // each holds a descriptor
	laneCapacity              = 4096        // what may wait for the owner, in each lane: a second's reports of ten times what may come
	minLogInterval            = time.Second // the least time between lines that peers cause
	statusInterval            = 5 * policyapi.Microseconds(1_000_000)
)

// input is what the owner is told.
type input struct {
	connection *connection
	event      policyapi.Event
	discovery  *discoveryEvent
	config     *proxyproto.Config // a new configuration is in force
}

// Coordinator is a running coordinator.
type Coordinator struct {
	cfg     proxyproto.Config
	log     *zap.Logger
	clock   clock.Clock
	mailbox *mailbox.Mailbox[input]
	server  *server
	checker *healthcheck.Checker
	addr    string

	// Of the goroutine that owns the module.
	module              *policy.Instance
	inputs              []input // of a step; the room is used again
	publisher           *proxyproto.Publisher
	streams             map[policyapi.ProxyID]*connection
	endpoints           map[policyapi.EndpointID]policyapi.Endpoint
	addresses           map[policyapi.EndpointID]string
	dials               chan map[policyapi.EndpointID]string
	version             policyapi.ListVersion
	timers              timers
	timersSet           int
	discovery           *discoveryClient
	watches             map[int]*watch
	cancelSnapshot      context.CancelFunc // of the call for the whole list; nil while none is waited for
	snapshotCall        int
	snapshotDue         bool                                            // the host itself wants the whole list, and asks until it comes
	versionReset        bool                                            // discovery's numbers have gone back: a whole list counts whatever its number
	consecutiveFailures int                                             // calls in a row that failed
	random              *rand.Rand                                      // spreads calls, so that many coordinators do not call in step
	withdrawn           map[policyapi.EndpointID]policyapi.Microseconds // endpoints told as draining or gone, by when they had been started
	enabled             bool                                            // the module has asked for changes and was not told of a failure since
	lastCall            int
	address             string // discovery's
	failedAt            policyapi.Microseconds
	stats               Stats
}

// stats is for the owner's log.
type Stats struct {
	batches, messages, lines, bytes int
	slowest                         policyapi.Microseconds
	at                              policyapi.Microseconds
}

// timers are what the module waits for, by time and then in the order in which they were set.
type timer struct {
	at    policyapi.Microseconds
	order int
	token policyapi.TimerToken
}
type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].order < t[j].order
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// New takes up a configuration and listens. Addr tells where.
func New(cfg proxyproto.Config, log *zap.Logger) (*Coordinator, error) {
	n := &Coordinator{cfg: cfg, log: log, clock: clock.New(), mailbox: mailbox.New[input](laneCapacity, laneCapacity, nil), publisher: proxyproto.NewPublisher(cfg.Start.Classes),
		streams: map[policyapi.ProxyID]*connection{}, endpoints: map[policyapi.EndpointID]policyapi.Endpoint{}, addresses: map[policyapi.EndpointID]string{},
		watches: map[int]*watch{}, address: cfg.Discovery, module: policy.New(cfg.Start), random: newRandom(cfg.Start.Seed),
		withdrawn: map[policyapi.EndpointID]policyapi.Microseconds{}}
	n.discovery = newDiscoveryClient(cfg.Start.Zones, func(in discoveryEvent) { n.mailbox.PutUrgent(input{discovery: &in}) })
	known := proxyproto.NewValidator(cfg.Start)
	saved := cfg.CachedList.Update
	saved.Kind = policyapi.Cached
	n.remember(saved, cfg.CachedList.HealthCheckAddresses)
	n.version = saved.Version
	known.Apply(saved)
	n.dials = make(chan map[policyapi.EndpointID]string, 1)
	n.dials <- n.addresses
	n.checker = healthcheck.New(n.healthCheckOptions(), func(p policyapi.HealthCheckResult) { n.mailbox.PutUrgent(input{event: p}) })
	most := math.MaxInt
	if cfg.Limits.Sockets > 0 {
		most = max(1, cfg.Limits.Sockets-reservedDescriptors)
	}
	var err error
	n.server, err = listen(n, cfg.Listen, most, known)
	return n, err
}

// newRandom is the source of pauses' spread.
func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0)) }

// Addr is where it listens.
func (n *Coordinator) Addr() string { return n.addr }

// healthCheckOptions are the options of probes: where the deployment has reports they come with the sign of life. A probe may take as long
// as a connection may, and then as long as reports are apart: what comes later is no news.
func (n *Coordinator) healthCheckOptions() healthcheck.Options {
	path := "/alive"
	if len(n.cfg.Start.Reports.MetricNames) > 0 {
		path = "/metrics/load"
	}
	return healthcheck.Options{MaxConcurrent: maxConcurrentHealthChecks, Timeout: time.Duration(n.cfg.Host.ConnectTimeout+n.cfg.Start.Reports.Period) * time.Microsecond,
		URL: func(b policyapi.EndpointID) (string, bool) {
			dial := <-n.dials
			n.dials <- dial
			address, has := dial[b]
			return "http://" + address + path, has
		},
		Metrics: func(res *http.Response) policyapi.LoadMetrics {
			var figures map[string]any // what is no figure is passed over
			if json.NewDecoder(res.Body).Decode(&figures) != nil {
				return nil
			}
			return proxyproto.ParseMetrics(figures)
		}}
}

// Reload puts a new configuration in force: of what it says only discovery's address can change while it runs.
func (n *Coordinator) Reload(cfg proxyproto.Config) { n.mailbox.PutUrgent(input{config: &cfg}) }

// Run goes on until the context ends.
func (n *Coordinator) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer n.mailbox.Close()
	defer n.checker.Close()
	defer n.server.close()
	saved := n.cfg.CachedList.Update
	saved.Kind = policyapi.Cached
	if err := n.process(ctx, []policyapi.Event{saved}); err != nil {
		return err
	}
	if !n.cfg.Start.PollsList { // changes come unprompted: the host sees to it that they do
		n.enabled = true
		n.startWatch(ctx, 0)
	}
	for ctx.Err() == nil {
		if err := n.step(ctx); err != nil {
			return err
		}
		select {
		case err := <-n.server.ended:
			return fmt.Errorf("%w: the listener has ended: %w", ErrEnvironment, err)
		default:
		}
	}
	return nil
}

// step waits for what comes in, or for a timer, and lets the module decide on it. It takes as long as batches are apart at least.
func (n *Coordinator) step(ctx context.Context) error {
	began := time.Now()
	n.inputs = n.mailbox.Next(ctx, n.inputs[:0], n.wait)
	var batch []policyapi.Event
	for _, e := range n.inputs {
		batch = n.accept(ctx, batch, e)
	}
	now := n.clock.Now()
	for len(n.timers) > 0 && n.timers[0].at <= now {
		batch = append(batch, policyapi.TimerFired{Token: heap.Pop(&n.timers).(timer).token})
	}
	if len(batch) > 0 {
		if err := n.process(ctx, batch); err != nil {
			return err
		}
	}
	n.logStatus(now)
	if rest := time.Duration(n.cfg.Host.BatchInterval)*time.Microsecond - time.Since(began); rest > 0 {
		time.Sleep(rest)
	}
	return nil
}

// wait is the time until the next timer, or until the next line of the log.
func (n *Coordinator) wait() <-chan time.Time {
	now := n.clock.Now()
	until := statusInterval
	if len(n.timers) > 0 {
		until = min(until, n.timers[0].at-now)
	}
	if until <= 0 {
		return nil
	}
	return n.clock.After(until)
}

// accept turns what has come in into the module's events.
func (n *Coordinator) accept(ctx context.Context, batch []policyapi.Event, e input) []policyapi.Event {
	switch in := e.event.(type) {
	case policyapi.ProxyConnected:
		if old := n.streams[in.Proxy]; old != nil {
			// It has come anew before its old stream was seen to end.
			batch = append(batch, policyapi.ProxyDisconnected{Proxy: in.Proxy})
			n.server.closeConnection(old)
		}
		n.streams[in.Proxy], e.connection.connected = e.connection, in
		n.publisher.Connect(in)
		return append(batch, in)
	case policyapi.ProxyDisconnected:
		if n.streams[in.Proxy] != e.connection {
			return batch // the old one of two
		}
		delete(n.streams, in.Proxy)
		n.publisher.Disconnect(in.Proxy)
		return append(batch, in)
	case policyapi.Acknowledged:
		mark, ours := n.publisher.Acknowledge(in.AckID)
		if n.streams[in.Proxy] != e.connection || !ours {
			return batch // of a stream that was replaced, or to a module that has failed
		}
		in.AckID = mark
		return append(batch, in)
	case nil:
		if e.config != nil {
			n.reload(ctx, *e.config)
		} else if e.discovery != nil {
			return n.handleDiscovery(ctx, batch, *e.discovery)
		}
		return batch
	default:
		return append(batch, in)
	}
}

// remember keeps the list at hand and where backends answer.
func (n *Coordinator) remember(list policyapi.EndpointUpdate, dial map[policyapi.EndpointID]string) {
	before := maps.Clone(n.endpoints)
	if list.Kind != policyapi.Delta {
		clear(n.endpoints)
	}
	for _, e := range list.Endpoints {
		if n.endpoints[e.ID] = e; e.Status == policyapi.Removed {
			delete(n.endpoints, e.ID)
		}
		if delete(n.withdrawn, e.ID); e.Status != policyapi.Ready {
			n.withdrawn[e.ID] = max(e.StartedAt, before[e.ID].StartedAt)
		}
	}
	for id, e := range before {
		if _, listed := n.endpoints[id]; !listed {
			n.withdrawn[id] = max(n.withdrawn[id], e.StartedAt)
		}
	}
	all := map[policyapi.EndpointID]string{}
	for b := range n.endpoints {
		if at := dial[b]; at != "" {
			all[b] = at
		} else if at := n.addresses[b]; at != "" {
			all[b] = at
		}
	}
	n.addresses = all
	if n.dials != nil {
		<-n.dials
		n.dials <- all
	}
}

// reload puts a new configuration in force. Calls that wait for an answer of the old address are made anew at the new one.
func (n *Coordinator) reload(ctx context.Context, cfg proxyproto.Config) {
	if ignored := n.cfg.ChangedSettings(cfg); len(ignored) > 0 {
		n.log.Warn("configuration read anew: what else differs needs a restart", zap.Strings("ignored", ignored))
	}
	if cfg.Discovery == n.address {
		n.log.Info("configuration read anew: nothing that can change has")
		return
	}
	n.log.Info("configuration read anew", zap.String("discovery", cfg.Discovery))
	n.address = cfg.Discovery
	if n.enabled {
		n.startWatch(ctx, 0)
	}
	if n.cancelSnapshot != nil {
		n.requestSnapshot(ctx, 0)
	}
}

// process lets the module decide and carries out what it orders.
func (n *Coordinator) process(ctx context.Context, batch []policyapi.Event) error {
	now := n.clock.Now()
	orders, err := n.decide(now, batch)
	if err != nil {
		return err
	}
	n.stats.batches++
	n.stats.slowest = max(n.stats.slowest, n.clock.Now()-now)
	for _, order := range orders {
		switch o := order.(type) {
		case policyapi.Log:
			n.log.Info(o.Text)
		case policyapi.SetTimer:
			n.timersSet++
			heap.Push(&n.timers, timer{now + max(1, o.After), n.timersSet, o.Token})
		case policyapi.WatchEndpoints:
			if !o.Enabled {
				n.cancelWatches()
				n.enabled = false
			} else if !n.enabled {
				n.enabled = true
				n.startWatch(ctx, 0)
			}
		case policyapi.Resync:
			n.requestSnapshot(ctx, 0)
		case policyapi.CheckHealth:
			n.checker.Check(o.Endpoint)
		}
	}
	for _, post := range n.publisher.Apply(orders) {
		if l := n.streams[post.Proxy]; l != nil {
			n.stats.messages, n.stats.lines, n.stats.bytes = n.stats.messages+1, n.stats.lines+post.Lines, n.stats.bytes+len(post.Bytes)
			l.connected.HasDefaultTableOnly = l.connected.HasDefaultTableOnly && !post.HasCompleteTable
			n.server.send(l, post)
		}
	}
	return nil
}

// moduleFailureWindow is how soon after a failure of the module another one ends the program: the first answer to a list and to all
// proxies has then been tried twice.
const moduleFailureWindow = 10 * policyapi.Microseconds(1_000_000)

// decide gives the module a batch. If its code fails, the streams are not to be lost with it: a fresh one takes over, as after a
// restart, with the list at hand and those who are joined.
func (n *Coordinator) decide(now policyapi.Microseconds, batch []policyapi.Event) (orders []policyapi.Order, err error) {
	defer func() {
		if p := recover(); p != nil {
			n.log.Error("the decision module has failed", zap.Any("panic", p), zap.Any("batch", batch), zap.ByteString("stack", debug.Stack()))
			if n.failedAt > 0 && now-n.failedAt < moduleFailureWindow {
				err = fmt.Errorf("the decision module failed twice within %d s: %v", moduleFailureWindow/1_000_000, p)
				return
			}
			n.failedAt = now
			orders, err = n.decide(now, n.restartModule())
		}
	}()
	return n.module.Step(now, batch), nil
}

// restartModule makes a fresh module and returns what it is to be told first.
func (n *Coordinator) restartModule() []policyapi.Event {
	failed := n.module
	n.module, n.timers = policy.New(n.cfg.Start), nil
	if failed != nil {
		n.module.TakeOver(failed)
	}
	if n.cfg.Start.PollsList { // it asks again; where it need not, the watch that stands goes on
		n.enabled = false
		n.cancelWatches()
	}
	n.cancelSnapshotCall()
	n.publisher = n.publisher.Restart()
	list := policyapi.EndpointUpdate{Version: n.version, Kind: policyapi.Cached}
	for _, b := range slices.Sorted(maps.Keys(n.endpoints)) {
		list.Endpoints = append(list.Endpoints, n.endpoints[b])
	}
	batch := []policyapi.Event{list}
	for _, p := range slices.Sorted(maps.Keys(n.streams)) {
		j := n.streams[p].connected
		n.publisher.Connect(j)
		batch = append(batch, j)
	}
	return batch
}
