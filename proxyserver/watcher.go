package proxyserver

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"porthub/policyapi"
	"porthub/proxyproto"
)

const (
	// minBackoff and maxBackoff bound the delay between a failed call and the next one, without its jitter. The longest delay and
	// the time that a call can take leave time for another call within the 6 s after which a change counts as delivered.
	minBackoff = time.Second
	maxBackoff = 1500 * time.Millisecond
	// maxBackoffDoublings bounds the shift of minBackoff, so that it can't overflow. The delay reaches maxBackoff earlier.
	maxBackoffDoublings = 4
	// overdueJitter spreads the calls of many coordinators that miss a line of the same discovery at the same time.
	overdueJitter = 750 * time.Millisecond
)

// discoveryWatcher follows discovery: it maintains a watch while changes are wanted, requests snapshots, and turns the results of
// its calls into events for the decision module. It is used by the owner only.
type discoveryWatcher struct {
	log       *zap.Logger
	client    *discoveryClient
	endpoints *endpointStore
	// If settings.PollsList is set, the decision module requests changes and receives an event for each failure. Otherwise the
	// watcher follows discovery from the start and retries without being requested to.
	settings *policyapi.Start
	random   *rand.Rand // source of the jitter that keeps many coordinators from calling at the same time
	// applyList applies a list and returns the update for the decision module.
	applyList func(proxyproto.EndpointList) policyapi.EndpointUpdate

	address             string // address of discovery, host:port
	enabled             bool   // changes are wanted, and no failure has been reported to the decision module since
	lastCall            int    // number of the last call
	consecutiveFailures int    // calls that have failed since the last successful one
	patience            patience
	watches             map[int]*watch
	snapshotCall        snapshotCall
	snapshotDue         bool // the watcher needs a snapshot and requests it until it arrives
	versionReset        bool // discovery's versions went back: the next snapshot is accepted with any version
}

// watch is a call for changes. It is open once its response has begun.
type watch struct {
	cancel  context.CancelFunc
	address string
	from    policyapi.ListVersion // the call requests the changes after this version
	open    bool                  // the response has begun
	overdue bool                  // no line has arrived for lineTimeout
	// receiving is set while some of a line has arrived that the owner has not been sent. The goroutine of the call sets it.
	receiving *atomic.Bool
}

// snapshotCall is the call for a snapshot.
type snapshotCall struct {
	cancel context.CancelFunc // nil if no call is pending
	number int
}

func newDiscoveryWatcher(cfg *proxyproto.Config, log *zap.Logger, endpoints *endpointStore) *discoveryWatcher {
	return &discoveryWatcher{
		log:       log,
		endpoints: endpoints,
		settings:  &cfg.Start,
		random:    newRandom(cfg.Start.Seed),
		address:   cfg.Discovery,
		patience:  newPatience(time.Duration(cfg.Start.Rules.DrainGracePeriod) * time.Microsecond),
		watches:   map[int]*watch{},
	}
}

// newRandom returns the source of the jitter.
func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0)) }

// enable starts a watch unless changes are wanted already.
func (w *discoveryWatcher) enable(ctx context.Context) {
	if !w.enabled {
		w.follow(ctx)
	}
}

// follow starts a watch. From now on changes are wanted.
func (w *discoveryWatcher) follow(ctx context.Context) {
	w.enabled = true
	w.startWatch(ctx, 0)
}

// disable ends all watches.
func (w *discoveryWatcher) disable() {
	w.cancelWatches()
	w.enabled = false
}

// reset cancels the requests of a decision module that has failed. If the module does not request changes, the open watch
// continues. A snapshot that the watcher needs stays requested, since the new decision module does not request it.
func (w *discoveryWatcher) reset() {
	if w.settings.PollsList {
		w.disable()
	}
	if !w.snapshotDue && !w.versionReset {
		w.cancelSnapshot()
	}
}

// setAddress changes the address of discovery and repeats pending calls there.
func (w *discoveryWatcher) setAddress(ctx context.Context, address string) {
	w.address = address
	if w.enabled {
		w.startWatch(ctx, 0)
	}
	if w.snapshotCall.isPending() {
		w.requestSnapshot(ctx, 0)
	}
}

// startWatch requests, after a delay, the changes since the version that was applied last. An open watch continues until the new
// one is open. A watch without a response is canceled, since its address or version may be out of date. If there are maxWatches,
// the oldest one makes room.
func (w *discoveryWatcher) startWatch(ctx context.Context, delay time.Duration) {
	for number, old := range w.watches {
		if !old.open {
			w.cancelWatch(number)
		}
	}
	if len(w.watches) >= maxWatches {
		w.cancelWatch(w.oldestWatch())
	}
	w.lastCall++
	request := watchRequest{
		address:   w.address,
		from:      w.endpoints.version,
		number:    w.lastCall,
		lineLimit: w.patience.current,
		receiving: &atomic.Bool{},
	}
	ctx, cancel := context.WithCancel(ctx)
	w.watches[request.number] = &watch{cancel: cancel, address: request.address, from: request.from, receiving: request.receiving}
	go w.client.call(ctx, request.number, delay, func(ctx context.Context) error {
		return w.client.watchChanges(ctx, request)
	})
}

// cancelWatch ends a watch. Its further results are ignored.
func (w *discoveryWatcher) cancelWatch(number int) {
	w.watches[number].cancel()
	delete(w.watches, number)
}

func (w *discoveryWatcher) cancelWatches() {
	for number := range w.watches {
		w.cancelWatch(number)
	}
}

// newestWatch returns the number of the watch that was started last, or false if there is none.
func (w *discoveryWatcher) newestWatch() (number int, has bool) {
	for n := range w.watches {
		number = max(number, n)
	}
	return number, number > 0 // calls are numbered from 1 on
}

// oldestWatch returns the number of the watch that was started first. There must be one.
func (w *discoveryWatcher) oldestWatch() int { return slices.Min(slices.Collect(maps.Keys(w.watches))) }

// requestSnapshot requests a snapshot after a delay. It replaces a pending request.
func (w *discoveryWatcher) requestSnapshot(ctx context.Context, delay time.Duration) {
	w.cancelSnapshot()
	w.lastCall++
	number := w.lastCall
	address := w.address
	ctx, cancel := context.WithCancel(ctx)
	w.snapshotCall = snapshotCall{cancel: cancel, number: number}
	limit := w.patience.current
	go w.client.call(ctx, number, delay, func(ctx context.Context) error {
		return w.client.fetchSnapshot(ctx, address, number, limit)
	})
}

func (w *discoveryWatcher) cancelSnapshot() {
	if w.snapshotCall.isPending() {
		w.snapshotCall.cancel()
		w.snapshotCall.cancel = nil
	}
}

func (c *snapshotCall) isPending() bool { return c.cancel != nil }

// backoff counts a failed call and returns the delay before the next one. The delay grows with each consecutive failure up to
// maxBackoff, and has a jitter.
func (w *discoveryWatcher) backoff() time.Duration {
	w.consecutiveFailures++
	delay := min(maxBackoff, minBackoff<<min(w.consecutiveFailures-1, maxBackoffDoublings))
	return delay/2 + w.jitter(delay)
}

// jitter draws a delay below a bound.
func (w *discoveryWatcher) jitter(bound time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(bound)))
}
