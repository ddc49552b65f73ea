package xdspoll

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"porthub/coordinator"
)

// Hub responds to the polls of all gateways. It is safe for concurrent use.
type Hub struct {
	deltaBases int                              // number of earlier publications of each gateway that deltas can start from
	maxPending int                              // maximum number of pending polls
	responses  *lru.Cache[string, *sharedEntry] // by sharedKey

	mu       sync.Mutex // guards the fields below and all gateway states
	gateways map[coordinator.Gateway]*gatewayState
	pending  int // number of pending polls
	stats    Stats
}

// Stats counts responses since the start.
type Stats struct {
	Pending   int   `json:"held"`   // polls that are pending now
	Documents int   `json:"whole"`  // responses with a complete document
	Deltas    int   `json:"deltas"` // responses with a delta
	Unchanged int   `json:"quiet"`  // responses without content, because nothing changed
	Resources int   `json:"lines"`  // endpoints and routes in responses, including removed ones
	Bytes     int64 `json:"bytes"`  // size of responses
	Rejected  int   `json:"full"`   // polls rejected because too many were pending
}

// NewHub returns a hub that allows up to maxPending pending polls and keeps deltaBases earlier publications of each
// gateway as bases for deltas.
func NewHub(maxPending, deltaBases int) *Hub {
	responses, err := lru.New[string, *sharedEntry](maxSharedEntries)
	if err != nil {
		panic(err) // lru.New fails only for a size below 1
	}
	return &Hub{
		deltaBases: deltaBases,
		maxPending: maxPending,
		gateways:   map[coordinator.Gateway]*gatewayState{},
		responses:  responses,
	}
}

// Stats returns the current counts.
func (h *Hub) Stats() Stats {
	h.mu.Lock()
	defer h.mu.Unlock()
	stats := h.stats
	stats.Pending = h.pending
	return stats
}

// CountBytes counts the bytes of a response that was sent.
func (h *Hub) CountBytes(bytes int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stats.Bytes += int64(bytes)
}

// gateway returns a gateway's state, which it creates if there is none. The caller holds the mutex.
func (h *Hub) gateway(name coordinator.Gateway) *gatewayState {
	g := h.gateways[name]
	if g == nil {
		g = newGatewayState()
		h.gateways[name] = g
	}
	return g
}

// Publish records a publication and responds to the polls that are waiting for it. Each response is built and sent by a
// goroutine of its own, which ends with the response: the work is spread over all cores and does not delay the caller.
func (h *Hub) Publish(p coordinator.Publish) {
	for _, w := range h.publish(p) {
		go h.respond(w.request)
	}
}

// publish records a publication, and removes and returns the pending polls that it answers.
func (h *Hub) publish(p coordinator.Publish) (due []*waiter) {
	h.mu.Lock()
	defer h.mu.Unlock()
	g := h.gateway(p.Gateway)
	g.publish(p, h.deltaBases)
	for w := range g.waiters {
		if g.hasUpdate(w.request) {
			due = append(due, w)
			h.remove(g, w)
		}
	}
	return due
}

// remove removes a poll from the pending ones, and reports whether it was still pending. A gateway that nothing was published for is
// forgotten with its last poll: clients may poll under ever new names. The caller holds the mutex.
func (h *Hub) remove(gateway *gatewayState, w *waiter) bool {
	if w.done {
		return false
	}
	w.done = true
	w.timer.Stop()
	delete(gateway.waiters, w)
	h.pending--
	if len(gateway.waiters) == 0 && gateway.count == 0 {
		delete(h.gateways, w.request.Gateway)
	}
	return true
}

// pollResult is how a new poll is handled.
type pollResult int

const (
	pollAnswered  pollResult = iota // the response has something new
	pollUnchanged                   // the response is empty: there is nothing new and the poll does not wait
	pollPending                     // the poll waits for something new
	pollRejected                    // too many polls are pending
)

// Poll responds at once if there is something new. Otherwise the poll is pending until something new is published or MaxWait
// has passed. cancel removes a poll that is still pending, which then gets no response. If too many polls are pending already,
// Poll returns false and does not respond.
func (h *Hub) Poll(r Request) (cancel func(), ok bool) {
	result, cancel := h.admit(r)
	switch result {
	case pollAnswered:
		h.respond(r)
	case pollUnchanged:
		r.Respond(nil, nil)
	}
	return cancel, result != pollRejected
}

// admit determines how a poll is handled, and adds it to the pending polls if it has to wait.
func (h *Hub) admit(request Request) (result pollResult, cancel func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	gateway := h.gateways[request.Gateway]
	switch {
	case gateway != nil && gateway.hasUpdate(request):
		return pollAnswered, func() {}
	case request.MaxWait <= 0:
		h.stats.Unchanged++
		return pollUnchanged, func() {}
	case h.pending >= h.maxPending:
		h.stats.Rejected++
		return pollRejected, func() {}
	}
	gateway = h.gateway(request.Gateway)
	waiting := &waiter{request: request}
	gateway.waiters[waiting] = true
	h.pending++
	waiting.timer = time.AfterFunc(request.MaxWait, func() { h.expire(gateway, waiting) })
	return pollPending, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.remove(gateway, waiting)
	}
}

// expire responds to a poll whose MaxWait has passed.
func (h *Hub) expire(gateway *gatewayState, w *waiter) {
	h.mu.Lock()
	removed := h.remove(gateway, w)
	if removed {
		h.stats.Unchanged++
	}
	h.mu.Unlock()
	if removed {
		w.request.Respond(nil, nil)
	}
}
