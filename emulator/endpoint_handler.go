package emulator

import (
	"context"
	"net/http"
	"time"

	"porthub/xds"
)

// reception is how an endpoint treats a request that arrives.
type reception int

const (
	queueRequest  reception = iota
	rejectRequest           // with a response before it runs
	ignoreRequest           // without a response
	failRequest             // with an error response
)

// handleWork executes a request on a core. The process ends the handler with it.
func (e *Endpoint) handleWork(process context.Context, w http.ResponseWriter, r *http.Request) {
	request := readWorkRequest(r)
	now := e.world.Now()
	e.world.Log.WorkArrived(now, e.Addr, request.gateway, request.work.Seconds())
	decision, draw, cores := e.receive(request, now)
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

// receive decides how a request is treated. The draw decides its later faults too.
func (e *Endpoint) receive(request workRequest, now time.Duration) (decision reception, draw float64, cores chan struct{}) {
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

// waitForCore takes a core; a request that is cancelled before is dropped.
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

// execute does the work of a request; a cancellation no longer stops it. It reports whether the process has lived long
// enough.
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

// beginExecution moves a request from the queue to its core and returns how long its work takes.
func (e *Endpoint) beginExecution(work time.Duration) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.updateUtilization(e.world.Now())
	e.queued--
	e.executing++
	return time.Duration(float64(work) / e.capacity(e.world.Now()) * max(1, e.fault.Slowdown))
}

// finish ends the execution of a request and returns the load to report, and whether the response is lost.
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

// waitWhilePaused waits out a pause and reports whether the request may continue.
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

// leaveUnanswered leaves a request without a response until the caller gives up or the process ends.
func leaveUnanswered(process context.Context, r *http.Request) {
	select {
	case <-process.Done():
	case <-r.Context().Done():
	}
}
