package emulator

import (
	"context"
	"net/http"
	"time"

	"porthub/xds"
)

// requestDecision is how an endpoint handles an incoming request.
type requestDecision int

const (
	queueRequest  requestDecision = iota
	rejectRequest                 // respond that it was rejected before execution
	ignoreRequest                 // send no response
	failRequest                   // respond with an error
)

// handleWork executes a request on a core. The end of the context process aborts the handler.
func (e *Endpoint) handleWork(process context.Context, w http.ResponseWriter, r *http.Request) {
	request := readWorkRequest(r)
	now := e.world.Now()
	e.world.Log.WorkArrived(now, e.Addr, request.gateway, request.work.Seconds())
	decision, draw, cores := e.decideRequest(request, now)
	switch decision {
	case rejectRequest:
		reject(w)
		return
	case ignoreRequest:
		leaveUnanswered(process, r)
		return
	case failRequest:
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if !e.waitForCore(process, r, cores) {
		e.leaveQueue()
		return
	}
	completed := e.execute(process, request)
	<-cores
	load, lost := e.finish(draw)
	if !completed {
		return
	}
	if lost {
		leaveUnanswered(process, r)
		return
	}
	if !e.waitWhilePaused(process, r) {
		return
	}
	w.Header().Set(xds.ORCAHeader, load)
	_, _ = w.Write([]byte("done\n"))
}

// decideRequest decides how a request is handled. The random number draw also determines whether its response is lost
// later.
func (e *Endpoint) decideRequest(request workRequest, now time.Duration) (decision requestDecision, draw float64, cores chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.updateUtilization(now)
	e.addWork(now, request.work.Seconds())
	draw = e.rng.Float64()
	fault := e.fault
	switch {
	case e.collapsed || e.queued >= e.QueueLength:
		return rejectRequest, draw, nil
	case fault.Hang:
		return ignoreRequest, draw, nil
	case fault.FailClass == request.class && request.class != "" && draw < fault.FailureRate:
		if fault.FailWithError {
			return failRequest, draw, nil
		}
		return ignoreRequest, draw, nil
	}
	e.queued++
	return queueRequest, draw, e.cores
}

// waitForCore waits for a free core and takes it. It returns false if the request is canceled or the process ends first.
func (e *Endpoint) waitForCore(process context.Context, r *http.Request, cores chan struct{}) bool {
	if !e.waitWhilePaused(process, r) {
		return false
	}
	select {
	case cores <- struct{}{}:
		return true
	case <-process.Done():
		return false
	case <-r.Context().Done():
		return false
	}
}

func (e *Endpoint) leaveQueue() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queued--
}

// execute executes a request, which a cancellation no longer aborts. It returns false if the process ended before the
// execution was completed.
func (e *Endpoint) execute(process context.Context, request workRequest) bool {
	timer := time.NewTimer(e.beginExecution(request.work))
	defer timer.Stop()
	select {
	case <-timer.C:
		e.world.Log.RequestExecuted(request.class, request.number, request.clientAttempt)
		return true
	case <-process.Done():
		return false
	}
}

// beginExecution moves a request from the queue to its core and returns the duration of the execution.
func (e *Endpoint) beginExecution(work time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.updateUtilization(e.world.Now())
	e.queued--
	e.executing++
	return time.Duration(float64(work) / e.capacity(e.world.Now()) * max(1, e.fault.Slowdown))
}

// finish ends the execution of a request. It returns the load to report, and whether an injected fault drops the response.
func (e *Endpoint) finish(draw float64) (load string, lost bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.updateUtilization(e.world.Now())
	e.executing--
	return e.loadHeader(), draw < e.fault.ResponseLoss
}

func (e *Endpoint) handleHealthCheck(process context.Context, w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	collapsed := e.collapsed
	hangs := e.fault.Hang
	e.updateUtilization(e.world.Now())
	load := e.loadHeader()
	e.mu.Unlock()
	if hangs || !e.waitWhilePaused(process, r) {
		leaveUnanswered(process, r)
		return
	}
	if collapsed {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set(xds.ORCAHeader, load)
	_, _ = w.Write([]byte("well\n"))
}

// waitWhilePaused waits until the endpoint is not paused. It returns false if the request is canceled or the process ends
// first.
func (e *Endpoint) waitWhilePaused(process context.Context, r *http.Request) bool {
	e.mu.Lock()
	resumed := e.resumed
	e.mu.Unlock()
	select {
	case <-resumed:
		return true
	case <-process.Done():
	case <-r.Context().Done():
	}
	return false
}

// leaveUnanswered blocks without a response until the request is canceled or the process ends.
func leaveUnanswered(process context.Context, r *http.Request) {
	select {
	case <-process.Done():
	case <-r.Context().Done():
	}
}
