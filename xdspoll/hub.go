package xdspoll

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"porthub/coordinator"
)

// Hub responds to polls. It is safe for concurrent use.
type Hub struct {
	deltaBases int // earlier publications of a gateway that deltas may start from
	maxPending int
	responses  *lru.Cache[string, *sharedEntry]

	mu       sync.Mutex // guards what follows, and all gateway states
	gateways map[coordinator.Gateway]*gatewayState
	pending  int // polls that wait
	stats    Stats
}

// Stats counts responses since the start.
type Stats struct {
	Pending   int   `json:"held"` // polls that wait now
	Documents int   `json:"whole"`
	Deltas    int   `json:"deltas"`
	Unchanged int   `json:"quiet"` // responses that there is nothing new
	Resources int   `json:"lines"` // in responses
	Bytes     int64 `json:"bytes"`
	Rejected  int   `json:"full"` // polls over the limit
}

// NewHub returns a hub that lets maxPending polls wait at once and keeps deltaBases earlier publications of each gateway
// for deltas.
func NewHub(maxPending, deltaBases int) *Hub {
	responses, err := lru.New[string, *sharedEntry](maxSharedEntries)
	if err != nil {
		panic(err) // only for a size below 1
	}
	return &Hub{
		deltaBases: deltaBases,
		maxPending: maxPending,
		gateways:   map[coordinator.Gateway]*gatewayState{},
		responses:  responses,
	}
}

// Stats returns the counts.
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

// gateway returns a gateway's state. The caller holds the mutex.
func (h *Hub) gateway(name coordinator.Gateway) *gatewayState {
	g := h.gateways[name]
	if g == nil {
		g = newGatewayState()
		h.gateways[name] = g
	}
	return g
}

// Publish records a publication and responds to the polls that wait for it, each by a goroutine of its own that ends with its
// response: building and encoding is spread over all cores and does not hold up the caller.
func (h *Hub) Publish(p coordinator.Publish) {
	for _, w := range h.publish(p) {
		go h.respond(w.request)
	}
}

// publish returns the polls that are due a response.
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

// remove removes a waiting poll, and reports whether it was still waiting. The caller holds the mutex.
func (h *Hub) remove(gateway *gatewayState, w *waiter) bool {
	if w.answered {
		return false
	}
	w.answered = true
	w.timer.Stop()
	delete(gateway.waiters, w)
	h.pending--
	return true
}

// pollResult is what is done about a new poll.
type pollResult int

const (
	pollAnswered  pollResult = iota // there is something new
	pollUnchanged                   // there is nothing new and the poll does not wait
	pollWaiting
	pollRejected // too many wait
)

// Poll responds at once if there is something new. Otherwise the poll waits for it, until MaxWait has passed or cancel is called;
// after that it gets no response. Poll reports false, and does not respond, if too many polls wait already.
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

func (h *Hub) admit(request Request) (result pollResult, cancel func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	gateway := h.gateway(request.Gateway)
	switch {
	case gateway.hasUpdate(request):
		return pollAnswered, func() {}
	case request.MaxWait <= 0:
		h.stats.Unchanged++
		return pollUnchanged, func() {}
	case h.pending >= h.maxPending:
		h.stats.Rejected++
		return pollRejected, func() {}
	}
	waiting := &waiter{request: request}
	gateway.waiters[waiting] = true
	h.pending++
	waiting.timer = time.AfterFunc(request.MaxWait, func() { h.expire(gateway, waiting) })
	return pollWaiting, func() {
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
