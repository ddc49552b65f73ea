package emulator

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"porthub/audit"
)

// LightEndpoint counts the attempts of light gateways without a request for each. What arrives beyond the time of its
// cores waits in a queue. It is safe for concurrent use.
type LightEndpoint struct {
	Name, Zone string
	Cores      float64

	world   *World
	work    float64      // core seconds of a request
	listed  atomic.Int32 // audit.EndpointState
	failing atomic.Bool

	attempts     atomic.Int64 // since the start of the run
	pendingWork  atomic.Int64 // microseconds of core time, since the last Update
	utilization  atomic.Int64 // millionths
	queuedMillis atomic.Int64 // thousandths of a request

	mu        sync.Mutex // guards all below
	warmsUp   bool
	startedAt time.Duration // since the world's start; below 0: long ago
	backlog   float64       // core seconds
	history   []loadSample
}

// loadSample is an endpoint's load at a time.
type loadSample struct {
	at          time.Duration
	attempts    float64 // since the start of the run
	utilization float64
	queue       float64 // requests
}

// NewLightEndpoint returns a warmed-up endpoint whose requests take so many core seconds each.
func NewLightEndpoint(w *World, name, zone string, cores, work float64) *LightEndpoint {
	e := &LightEndpoint{Name: name, Zone: zone, Cores: cores, world: w, work: work, startedAt: -time.Hour}
	e.listed.Store(int32(audit.Ready))
	w.Log.EndpointStarted(w.Now(), name, int(cores), false)
	return e
}

// SetListed sets its state in the endpoint list.
func (e *LightEndpoint) SetListed(s audit.EndpointState) { e.listed.Store(int32(s)) }

// SetFailing makes it fail all attempts, or serve again.
func (e *LightEndpoint) SetFailing(on bool) { e.failing.Store(on) }

// Restart starts its process again, which has to warm up, and returns when that was.
func (e *LightEndpoint) Restart() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.warmsUp = true
	e.startedAt = e.world.Now()
	e.backlog = 0
	e.world.Log.EndpointStarted(e.startedAt, e.Name, int(e.Cores), true)
	return e.startedAt
}

func (e *LightEndpoint) warmingUp(now time.Duration) bool {
	return e.warmsUp && now-e.startedAt < e.world.Rules.WarmUp
}

// capacity is the part of its full capacity that it has.
func (e *LightEndpoint) capacity(now time.Duration) float64 {
	if !e.warmingUp(now) {
		return 1
	}
	return e.world.Rules.capacity(now - e.startedAt)
}

// Update brings its load up to date; elapsed is the time since the last update.
func (e *LightEndpoint) Update(elapsed time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.world.Now()
	canDo := e.Cores * e.capacity(now) * elapsed.Seconds()
	arrived := float64(e.pendingWork.Swap(0)) / 1e6
	e.backlog = max(0, e.backlog+arrived-canDo)
	busy := min(1, (arrived+e.backlog)/canDo)
	e.utilization.Store(int64(1e6 * (0.5*busy + 0.5*float64(e.utilization.Load())/1e6)))
	e.queuedMillis.Store(int64(1000 * e.backlog / e.work))
	e.backlog = min(e.backlog, e.Cores) // what would wait for longer than a second is rejected
	utilization, queue := e.Load()
	e.history = append(e.history, loadSample{at: now, attempts: float64(e.attempts.Load()), utilization: utilization, queue: queue})
}

// AttemptRate is how many attempts per second arrived between two times.
func (e *LightEndpoint) AttemptRate(from, to time.Duration) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return (e.attemptsAt(to) - e.attemptsAt(from)) / (to - from).Seconds()
}

// attemptsAt interpolates between samples.
func (e *LightEndpoint) attemptsAt(at time.Duration) float64 {
	i, _ := slices.BinarySearchFunc(e.history, at, func(s loadSample, at time.Duration) int { return cmp.Compare(s.at, at) })
	if i == 0 || i == len(e.history) {
		return float64(e.attempts.Load())
	}
	before := e.history[i-1]
	after := e.history[i]
	return before.attempts + (after.attempts-before.attempts)*float64(at-before.at)/float64(after.at-before.at)
}

// MeanLoad is its mean load between two times.
func (e *LightEndpoint) MeanLoad(from, to time.Duration) (utilization, queue float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	count := 0.0
	for _, sample := range slices.Backward(e.history) {
		if sample.at < from && count > 0 { // at least one sample counts
			break
		}
		if sample.at <= to {
			utilization += sample.utilization
			queue += sample.queue
			count++
		}
	}
	return utilization / max(1, count), queue / max(1, count)
}

// Load is its load at the last update: its utilization, and the requests in its queue.
func (e *LightEndpoint) Load() (utilization, queue float64) {
	return float64(e.utilization.Load()) / 1e6, float64(e.queuedMillis.Load()) / 1000
}

// receive counts attempts of a gateway and returns how many of them failed.
func (e *LightEndpoint) receive(gateway string, attempts int) (failed int) {
	e.attempts.Add(int64(attempts))
	e.pendingWork.Add(int64(float64(attempts) * e.work * 1e6))
	now := e.world.Now()
	if audit.EndpointState(e.listed.Load()) != audit.Ready {
		e.world.Log.RequestSent(now, gateway, e.Name)
	}
	e.mu.Lock()
	warmingUp := e.warmingUp(now)
	e.mu.Unlock()
	if warmingUp {
		for range attempts {
			e.world.Log.WorkArrived(now, e.Name, gateway, e.work)
		}
	}
	if e.failing.Load() {
		return attempts
	}
	if e.queuedMillis.Load() > int64(1000*e.Cores/e.work) { // more than a second's work is queued
		return attempts / 2
	}
	return 0
}
