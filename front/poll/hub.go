// Package poll hands gateways their tables by xDS over HTTP, held open until there is something new: the REST form
// (DiscoveryRequest and DiscoveryResponse) for whole documents, and the incremental form (DeltaDiscoveryRequest and
// DeltaDiscoveryResponse) for endpoints line by line, as LEDS has them. It keeps for each gateway its last publication
// and a few before, answers a poll that holds an older one at once, and holds one that is up to date. It decides
// nothing about what is published or when; that is the core's, as for files.
package poll

import (
	"container/list"
	"errors"
	"sync"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/proto"

	"porthub/coordinator"
	"porthub/tables"
	"porthub/xds"
)

// Hub holds polls. It is safe for many goroutines.
type Hub struct {
	keep int // earlier publications of a gateway that deltas may start from
	most int // held polls

	mu       sync.Mutex
	gateways map[coordinator.Gateway]*standing
	held     int
	stats    Stats
}

// Stats counts what was answered since the start.
type Stats struct {
	Held   int   `json:"held"` // now
	Whole  int   `json:"whole"`
	Deltas int   `json:"deltas"`
	Quiet  int   `json:"quiet"` // answered that there is nothing new
	Lines  int   `json:"lines"` // in answers
	Bytes  int64 `json:"bytes"`
	Full   int   `json:"full"` // turned away: as many polls are held as may
}

// standing is what a gateway may be given.
type standing struct {
	last    coordinator.Publish
	version [2]string                // of the last change of each document
	past    *list.List               // earlier snapshots by nonce, the newest last
	byNonce map[string]*list.Element // of past
	waiters map[*waiter]bool
}

type past struct {
	nonce    string
	snapshot tables.Snapshot
}

type waiter struct {
	req   Request
	timer *time.Timer
	done  bool
}

// Request is one poll.
type Request struct {
	Gateway coordinator.Gateway
	Doc     coordinator.Doc
	Version string        // held; empty: none
	Hold    time.Duration // at most so long
	// Delta asks for endpoints line by line: since the publication with this nonce, or beside what Lines names by name
	// and version.
	Delta bool
	Nonce string
	Lines map[string]string
	// Answer is called once, by any goroutine: nil when there is nothing new. ErrBase says that a delta can't be made:
	// the publication that the nonce names is not known, or not any more, and no lines were stated.
	Answer func(m proto.Message, err error)
}

// ErrBase is a delta asked for from what is not known here.
var ErrBase = errors.New("what the nonce names is not known here: state initial_resource_versions")

// NewHub holds so many polls at most, and keeps so many earlier publications of each gateway for deltas.
func NewHub(most, keep int) *Hub {
	return &Hub{keep: keep, most: most, gateways: map[coordinator.Gateway]*standing{}}
}

// Stats returns the counts.
func (h *Hub) Stats() Stats {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.stats
	s.Held = h.held
	return s
}

func (h *Hub) gateway(name coordinator.Gateway) *standing {
	g := h.gateways[name]
	if g == nil {
		g = &standing{past: list.New(), byNonce: map[string]*list.Element{}, waiters: map[*waiter]bool{}}
		h.gateways[name] = g
	}
	return g
}

// Publish takes a publication and answers the polls that wait for it.
func (h *Hub) Publish(p coordinator.Publish) {
	h.mu.Lock()
	g := h.gateway(p.Gateway)
	for d, changed := range p.Changed {
		if changed {
			g.version[d] = p.Version
		}
	}
	g.last = p
	g.byNonce[p.Nonce] = g.past.PushBack(past{p.Nonce, p.Snapshot})
	for g.past.Len() > h.keep+1 {
		e := g.past.Front()
		delete(g.byNonce, e.Value.(past).nonce)
		g.past.Remove(e)
	}
	var due []*waiter
	for w := range g.waiters {
		if h.news(g, w.req) {
			due = append(due, w)
			h.end(g, w)
		}
	}
	h.mu.Unlock()
	for _, w := range due {
		go h.answer(w.req) // making and encoding answers is spread over all cores, not done by who decides
	}
}

// news tells whether a poll would be told something.
func (h *Hub) news(g *standing, r Request) bool {
	v := g.version[r.Doc]
	if v == "" || !r.Delta {
		return v != "" && v != r.Version
	}
	e, known := g.byNonce[r.Nonce]
	return !known || !e.Value.(past).snapshot.SameClusters(g.last.Snapshot)
}

// end takes a waiter off.
func (h *Hub) end(g *standing, w *waiter) {
	if !w.done {
		w.done = true
		w.timer.Stop()
		delete(g.waiters, w)
		h.held--
	}
}

// Poll answers at once if there is something new, else holds the poll until there is, its time is up, or the function
// that it returns is called. It is false if as many are held as may be: then nothing is answered.
func (h *Hub) Poll(r Request) (cancel func(), ok bool) {
	h.mu.Lock()
	g := h.gateway(r.Gateway)
	if h.news(g, r) {
		h.mu.Unlock()
		h.answer(r)
		return func() {}, true
	}
	if r.Hold <= 0 {
		h.stats.Quiet++
		h.mu.Unlock()
		r.Answer(nil, nil)
		return func() {}, true
	}
	if h.held >= h.most {
		h.stats.Full++
		h.mu.Unlock()
		return func() {}, false
	}
	w := &waiter{req: r}
	g.waiters[w] = true
	h.held++
	w.timer = time.AfterFunc(r.Hold, func() {
		h.mu.Lock()
		over := !w.done
		h.end(g, w)
		if over {
			h.stats.Quiet++
		}
		h.mu.Unlock()
		if over {
			r.Answer(nil, nil)
		}
	})
	h.mu.Unlock()
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.end(g, w)
	}, true
}

// answer tells a poll what is in force.
func (h *Hub) answer(r Request) {
	h.mu.Lock()
	g := h.gateway(r.Gateway)
	p, version := g.last, g.version[r.Doc]
	var base *tables.Snapshot
	if e, has := g.byNonce[r.Nonce]; has && r.Nonce != "" {
		s := e.Value.(past).snapshot
		base = &s
	}
	h.mu.Unlock()
	var m proto.Message
	var err error
	lines := 0
	switch {
	case r.Delta:
		var d *discoveryv3.DeltaDiscoveryResponse
		switch {
		case base == nil && r.Nonce != "" && r.Lines == nil:
			r.Answer(nil, ErrBase)
			return
		case base != nil:
			d, err = xds.Delta(version, p.Nonce, xds.LineVersions(*base), p.Snapshot)
		default:
			d, err = xds.Delta(version, p.Nonce, r.Lines, p.Snapshot)
		}
		if err == nil {
			lines = len(d.Resources) + len(d.RemovedResources)
		}
		m = d
	case r.Doc == coordinator.Endpoints:
		m, err = xds.Endpoints(version, p.Nonce, p.Snapshot.Clusters)
		for _, c := range p.Snapshot.Clusters {
			lines += len(c.Lines)
		}
	default:
		m, err = xds.RouteDocument(version, p.Nonce, p.Snapshot.Routes)
		lines = len(p.Snapshot.Routes)
	}
	if err != nil {
		r.Answer(nil, err)
		return
	}
	h.mu.Lock()
	if h.stats.Lines += lines; r.Delta {
		h.stats.Deltas++
	} else {
		h.stats.Whole++
	}
	h.stats.Bytes += int64(proto.Size(m))
	h.mu.Unlock()
	r.Answer(m, nil)
}
