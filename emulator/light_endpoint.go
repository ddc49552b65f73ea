package emulator

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"porthub/audit"
)

// LightEndpoint counts the attempts of lightweight gateways without receiving requests. Work that exceeds the time of its cores
// is queued. It is safe for concurrent use.
type LightEndpoint struct {
	Name, Zone string
	Cores      float64

	world          *World
	workPerRequest float64      // in core seconds
	listed         atomic.Int32 // an audit.EndpointState
	failing        atomic.Bool

	attempts            atomic.Int64 // since the start of the run
	pendingWork         atomic.Int64 // work that arrived since the last Update, in microseconds of core time
	utilization         atomic.Int64 // in millionths
	queuedMilliRequests atomic.Int64 // queue length in thousandths of a request

	mu        sync.Mutex // guards the fields below
	warmsUp   bool
	startedAt time.Duration // since the start of the run; negative if it was never restarted
	backlog   float64       // queued work in core seconds
	history   []loadSample
}

// loadSample is an endpoint's load at a time.
type loadSample struct {
	at          time.Duration
	attempts    float64 // since the start of the run
	utilization float64
	queue       float64 // requests
}

// NewLightEndpoint returns a warmed-up endpoint. Each of its requests takes workPerRequest core seconds.
func NewLightEndpoint(w *World, name, zone string, cores, workPerRequest float64) *LightEndpoint {
	e := &LightEndpoint{Name: name, Zone: zone, Cores: cores, world: w, workPerRequest: workPerRequest, startedAt: -time.Hour}
	e.listed.Store(int32(audit.Ready))
	w.Log.EndpointStarted(w.Now(), name, int(cores), false)
	return e
}

// SetListed sets the state that the endpoint list has for the endpoint.
func (e *LightEndpoint) SetListed(s audit.EndpointState) { e.listed.Store(int32(s)) }

// SetFailing makes the endpoint fail all attempts, or recover.
func (e *LightEndpoint) SetFailing(on bool) { e.failing.Store(on) }

// Restart restarts the endpoint, which then warms up, and returns the time of the restart.
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

// capacity returns the endpoint's capacity as a fraction of its full capacity.
func (e *LightEndpoint) capacity(now time.Duration) float64 {
	if !e.warmingUp(now) {
		return 1
	}
	return e.world.Rules.capacity(now - e.startedAt)
}

// Update processes queued work for the elapsed time since the last update and records a load sample.
func (e *LightEndpoint) Update(elapsed time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.world.Now()
	processable := e.Cores * e.capacity(now) * elapsed.Seconds()
	arrived := float64(e.pendingWork.Swap(0)) / 1e6
	e.backlog = max(0, e.backlog+arrived-processable)
	busy := min(1, (arrived+e.backlog)/processable)
	e.utilization.Store(int64(1e6 * (0.5*busy + 0.5*float64(e.utilization.Load())/1e6)))
	e.queuedMilliRequests.Store(int64(1000 * e.backlog / e.workPerRequest))
	e.backlog = min(e.backlog, e.Cores) // work that would wait for more than a second is rejected
	utilization, queue := e.Load()
	e.history = append(e.history, loadSample{at: now, attempts: float64(e.attempts.Load()), utilization: utilization, queue: queue})
}

// AttemptRate returns the number of attempts per second that arrived between two times.
func (e *LightEndpoint) AttemptRate(from, to time.Duration) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return (e.attemptsAt(to) - e.attemptsAt(from)) / (to - from).Seconds()
}

// attemptsAt returns the number of attempts up to a time, interpolated between samples.
func (e *LightEndpoint) attemptsAt(at time.Duration) float64 {
	i, _ := slices.BinarySearchFunc(e.history, at, func(s loadSample, at time.Duration) int { return cmp.Compare(s.at, at) })
	if i == 0 || i == len(e.history) {
		return float64(e.attempts.Load())
	}
	before := e.history[i-1]
	after := e.history[i]
	return before.attempts + (after.attempts-before.attempts)*float64(at-before.at)/float64(after.at-before.at)
}

// MeanLoad returns the mean of the load samples between two times, or the last sample before them if there are none.
func (e *LightEndpoint) MeanLoad(from, to time.Duration) (utilization, queue float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	count := 0.0
	for _, sample := range slices.Backward(e.history) {
		if sample.at < from && count > 0 { // includes at least one sample
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

// Load returns the utilization and the number of queued requests at the last update.
func (e *LightEndpoint) Load() (utilization, queue float64) {
	return float64(e.utilization.Load()) / 1e6, float64(e.queuedMilliRequests.Load()) / 1000
}

// receive counts attempts of a gateway and returns how many of them fail.
func (e *LightEndpoint) receive(gateway string, attempts int) (failed int) {
	e.attempts.Add(int64(attempts))
	e.pendingWork.Add(int64(float64(attempts) * e.workPerRequest * 1e6))
	now := e.world.Now()
	if audit.EndpointState(e.listed.Load()) != audit.Ready {
		e.world.Log.RequestSent(now, gateway, e.Name)
	}
	e.mu.Lock()
	warmingUp := e.warmingUp(now)
	e.mu.Unlock()
	if warmingUp {
		for range attempts {
			e.world.Log.WorkArrived(now, e.Name, gateway, e.workPerRequest)
		}
	}
	if e.failing.Load() {
		return attempts
	}
	if e.queuedMilliRequests.Load() > int64(1000*e.Cores/e.workPerRequest) { // the queue holds more than a second's work
		return attempts / 2
	}
	return 0
}
