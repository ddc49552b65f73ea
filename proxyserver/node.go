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
	probesAtOnce = 8           // each holds a descriptor
	lane         = 4096        // what may wait for the owner, in each lane: a second's reports of ten times what may come
	logEvery     = time.Second // the least time between lines that peers cause
	beliefEvery  = 5 * policyapi.Microseconds(1_000_000)
)

// event is what the owner is told.
type event struct {
	link      *link
	in        policyapi.Event
	discovery *discoveryEvent
	fresh     *proxyproto.Config // a new configuration is in force
}

// Coordinator is a running coordinator.
type Coordinator struct {
	cfg    proxyproto.Config
	log    *zap.Logger
	clock  clock.Clock
	box    *mailbox.Mailbox[event]
	server *server
	probes *healthcheck.Checker
	addr   string

	// Of the goroutine that owns the module.
	module       *policy.Instance
	events       []event // of a step; the room is used again
	board        *proxyproto.Publisher
	links        map[policyapi.ProxyID]*link
	list         map[policyapi.EndpointID]policyapi.Endpoint
	dial         map[policyapi.EndpointID]string
	dials        chan map[policyapi.EndpointID]string
	version      policyapi.ListVersion
	timers       timers
	timersSet    int
	discovery    *discovery
	watches      map[int]*watch
	whole        context.CancelFunc // of the call for the whole list; nil while none is waited for
	wholeCall    int
	wholeListDue bool                                            // the host itself wants the whole list, and asks until it comes
	rewound      bool                                            // discovery's numbers have gone back: a whole list counts whatever its number
	refused      int                                             // calls in a row that failed
	random       *rand.Rand                                      // spreads calls, so that many coordinators do not call in step
	withdrawn    map[policyapi.EndpointID]policyapi.Microseconds // endpoints told as draining or gone, by when they had been started
	asked        bool                                            // the module has asked for changes and was not told of a failure since
	lastCall     int
	address      string // discovery's
	failedAt     policyapi.Microseconds
	tally        tally
}

// tally is for the owner's log.
type tally struct {
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
	n := &Coordinator{cfg: cfg, log: log, clock: clock.New(), box: mailbox.New[event](lane, lane, nil), board: proxyproto.NewPublisher(cfg.Start.Classes),
		links: map[policyapi.ProxyID]*link{}, list: map[policyapi.EndpointID]policyapi.Endpoint{}, dial: map[policyapi.EndpointID]string{},
		watches: map[int]*watch{}, address: cfg.Discovery, module: policy.New(cfg.Start), random: seeded(cfg.Start.Seed),
		withdrawn: map[policyapi.EndpointID]policyapi.Microseconds{}}
	n.discovery = newDiscovery(cfg.Start.Zones, func(in discoveryEvent) { n.box.PutUrgent(event{discovery: &in}) })
	known := proxyproto.NewValidator(cfg.Start)
	saved := cfg.CachedList.Update
	saved.Kind = policyapi.Cached
	n.remember(saved, cfg.CachedList.HealthCheckAddresses)
	n.version = saved.Version
	known.Apply(saved)
	n.dials = make(chan map[policyapi.EndpointID]string, 1)
	n.dials <- n.dial
	n.probes = healthcheck.New(n.probing(), func(p policyapi.HealthCheckResult) { n.box.PutUrgent(event{in: p}) })
	most := math.MaxInt
	if cfg.Limits.Sockets > 0 {
		most = max(1, cfg.Limits.Sockets-reserved)
	}
	var err error
	n.server, err = listen(n, cfg.Listen, most, known)
	return n, err
}

// seeded is the source of pauses' spread.
func seeded(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0)) }

// Addr is where it listens.
func (n *Coordinator) Addr() string { return n.addr }

// probing are the options of probes: where the deployment has reports they come with the sign of life. A probe may take as long
// as a connection may, and then as long as reports are apart: what comes later is no news.
func (n *Coordinator) probing() healthcheck.Options {
	path := "/alive"
	if len(n.cfg.Start.Reports.MetricNames) > 0 {
		path = "/metrics/load"
	}
	return healthcheck.Options{MaxConcurrent: probesAtOnce, Timeout: time.Duration(n.cfg.Host.ConnectTimeout+n.cfg.Start.Reports.Period) * time.Microsecond,
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
func (n *Coordinator) Reload(cfg proxyproto.Config) { n.box.PutUrgent(event{fresh: &cfg}) }

// Run goes on until the context ends.
func (n *Coordinator) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer n.box.Close()
	defer n.probes.Close()
	defer n.server.close()
	saved := n.cfg.CachedList.Update
	saved.Kind = policyapi.Cached
	if err := n.turn(ctx, []policyapi.Event{saved}); err != nil {
		return err
	}
	if !n.cfg.Start.PollsList { // changes come unprompted: the host sees to it that they do
		n.asked = true
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
	n.events = n.box.Next(ctx, n.events[:0], n.wait)
	var batch []policyapi.Event
	for _, e := range n.events {
		batch = n.take(ctx, batch, e)
	}
	now := n.clock.Now()
	for len(n.timers) > 0 && n.timers[0].at <= now {
		batch = append(batch, policyapi.TimerFired{Token: heap.Pop(&n.timers).(timer).token})
	}
	if len(batch) > 0 {
		if err := n.turn(ctx, batch); err != nil {
			return err
		}
	}
	n.belief(now)
	if rest := time.Duration(n.cfg.Host.BatchInterval)*time.Microsecond - time.Since(began); rest > 0 {
		time.Sleep(rest)
	}
	return nil
}

// wait is the time until the next timer, or until the next line of the log.
func (n *Coordinator) wait() <-chan time.Time {
	now := n.clock.Now()
	until := beliefEvery
	if len(n.timers) > 0 {
		until = min(until, n.timers[0].at-now)
	}
	if until <= 0 {
		return nil
	}
	return n.clock.After(until)
}

// take turns what has come in into the module's events.
func (n *Coordinator) take(ctx context.Context, batch []policyapi.Event, e event) []policyapi.Event {
	switch in := e.in.(type) {
	case policyapi.ProxyConnected:
		if old := n.links[in.Proxy]; old != nil {
			// It has come anew before its old stream was seen to end.
			batch = append(batch, policyapi.ProxyDisconnected{Proxy: in.Proxy})
			n.server.end(old)
		}
		n.links[in.Proxy], e.link.joined = e.link, in
		n.board.Connect(in)
		return append(batch, in)
	case policyapi.ProxyDisconnected:
		if n.links[in.Proxy] != e.link {
			return batch // the old one of two
		}
		delete(n.links, in.Proxy)
		n.board.Disconnect(in.Proxy)
		return append(batch, in)
	case policyapi.Acknowledged:
		mark, ours := n.board.Acknowledge(in.AckID)
		if n.links[in.Proxy] != e.link || !ours {
			return batch // of a stream that was replaced, or to a module that has failed
		}
		in.AckID = mark
		return append(batch, in)
	case nil:
		if e.fresh != nil {
			n.reload(ctx, *e.fresh)
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
	before := maps.Clone(n.list)
	if list.Kind != policyapi.Delta {
		clear(n.list)
	}
	for _, e := range list.Endpoints {
		if n.list[e.ID] = e; e.Status == policyapi.Removed {
			delete(n.list, e.ID)
		}
		if delete(n.withdrawn, e.ID); e.Status != policyapi.Ready {
			n.withdrawn[e.ID] = max(e.StartedAt, before[e.ID].StartedAt)
		}
	}
	for id, e := range before {
		if _, listed := n.list[id]; !listed {
			n.withdrawn[id] = max(n.withdrawn[id], e.StartedAt)
		}
	}
	all := map[policyapi.EndpointID]string{}
	for b := range n.list {
		if at := dial[b]; at != "" {
			all[b] = at
		} else if at := n.dial[b]; at != "" {
			all[b] = at
		}
	}
	n.dial = all
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
	if n.asked {
		n.startWatch(ctx, 0)
	}
	if n.whole != nil {
		n.startWhole(ctx, 0)
	}
}

// turn lets the module decide and carries out what it orders.
func (n *Coordinator) turn(ctx context.Context, batch []policyapi.Event) error {
	now := n.clock.Now()
	orders, err := n.decide(now, batch)
	if err != nil {
		return err
	}
	n.tally.batches++
	n.tally.slowest = max(n.tally.slowest, n.clock.Now()-now)
	for _, order := range orders {
		switch o := order.(type) {
		case policyapi.Log:
			n.log.Info(o.Text)
		case policyapi.SetTimer:
			n.timersSet++
			heap.Push(&n.timers, timer{now + max(1, o.After), n.timersSet, o.Token})
		case policyapi.WatchEndpoints:
			if !o.Enabled {
				n.endWatches()
				n.asked = false
			} else if !n.asked {
				n.asked = true
				n.startWatch(ctx, 0)
			}
		case policyapi.Resync:
			n.startWhole(ctx, 0)
		case policyapi.CheckHealth:
			n.probes.Check(o.Endpoint)
		}
	}
	for _, post := range n.board.Apply(orders) {
		if l := n.links[post.Proxy]; l != nil {
			n.tally.messages, n.tally.lines, n.tally.bytes = n.tally.messages+1, n.tally.lines+post.Lines, n.tally.bytes+len(post.Bytes)
			l.joined.HasDefaultTableOnly = l.joined.HasDefaultTableOnly && !post.HasCompleteTable
			n.server.post(l, post)
		}
	}
	return nil
}

// againWithin is how soon after a failure of the module another one ends the program: the first answer to a list and to all
// proxies has then been tried twice.
const againWithin = 10 * policyapi.Microseconds(1_000_000)

// decide gives the module a batch. If its code fails, the streams are not to be lost with it: a fresh one takes over, as after a
// restart, with the list at hand and those who are joined.
func (n *Coordinator) decide(now policyapi.Microseconds, batch []policyapi.Event) (orders []policyapi.Order, err error) {
	defer func() {
		if p := recover(); p != nil {
			n.log.Error("the decision module has failed", zap.Any("panic", p), zap.Any("batch", batch), zap.ByteString("stack", debug.Stack()))
			if n.failedAt > 0 && now-n.failedAt < againWithin {
				err = fmt.Errorf("the decision module failed twice within %d s: %v", againWithin/1_000_000, p)
				return
			}
			n.failedAt = now
			orders, err = n.decide(now, n.startOver())
		}
	}()
	return n.module.Step(now, batch), nil
}

// startOver makes a fresh module and returns what it is to be told first.
func (n *Coordinator) startOver() []policyapi.Event {
	failed := n.module
	n.module, n.timers = policy.New(n.cfg.Start), nil
	if failed != nil {
		n.module.TakeOver(failed)
	}
	if n.cfg.Start.PollsList { // it asks again; where it need not, the watch that stands goes on
		n.asked = false
		n.endWatches()
	}
	n.endWhole()
	n.board = n.board.Restart()
	list := policyapi.EndpointUpdate{Version: n.version, Kind: policyapi.Cached}
	for _, b := range slices.Sorted(maps.Keys(n.list)) {
		list.Endpoints = append(list.Endpoints, n.list[b])
	}
	batch := []policyapi.Event{list}
	for _, p := range slices.Sorted(maps.Keys(n.links)) {
		j := n.links[p].joined
		n.board.Connect(j)
		batch = append(batch, j)
	}
	return batch
}
