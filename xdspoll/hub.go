// Package xdspoll hands gateways their tables by xDS over HTTP, held open until there is something new: the REST form
// (DiscoveryRequest and DiscoveryResponse) for whole documents, and the incremental form (DeltaDiscoveryRequest and
// DeltaDiscoveryResponse) for endpoints line by line, as LEDS has them. It keeps for each gateway its last publication
// and a few before, answers a poll that holds an older one at once, and holds one that is up to date. It decides
// nothing about what is published or when; that is the core's, as for files.
package xdspoll

import (
	"container/list"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"google.golang.org/protobuf/proto"

	"porthub/coordinator"
	"porthub/routing"
	"porthub/xds"
)

// Hub holds polls. It is safe for many goroutines.
type Hub struct {
	keep int // earlier publications of a gateway that deltas may start from
	most int // held polls

	shared *lru.Cache[string, *shares]

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
	changed [2]uint64                // which publication that was
	count   uint64                   // publications
	past    *list.List               // earlier snapshots by nonce, the newest last
	byNonce map[string]*list.Element // of past
	waiters map[*waiter]bool
}

type past struct {
	nonce    string
	number   uint64
	snapshot routing.Snapshot
}

type waiter struct {
	req   Request
	timer *time.Timer
	done  bool
}

// Request is one poll.
type Request struct {
	Gateway coordinator.Gateway
	Doc     coordinator.Document
	Version string        // held; empty: none
	Hold    time.Duration // at most so long
	// Delta asks for endpoints line by line, or routes one by one: since the publication with this nonce, or beside what
	// EndpointsDocument names by name and version.
	Delta bool
	Nonce string
	Lines map[string]string
	// Answer is called once, by any goroutine: nil when there is nothing new. ErrBase says that a delta can't be made:
	// the publication that the nonce names is not known, or not any more, and no lines were stated.
	Answer func(told *Told, err error)
}

// ErrBase is a delta asked for from what is not known here.
var ErrBase = errors.New("what the nonce names is not known here: state initial_resource_versions")

// NewHub holds so many polls at most, and keeps so many earlier publications of each gateway for deltas.
func NewHub(most, keep int) *Hub {
	shared, err := lru.New[string, *shares](sharesMost)
	if err != nil {
		panic(err) // only a size below 1 is an error
	}
	return &Hub{keep: keep, most: most, gateways: map[coordinator.Gateway]*standing{}, shared: shared}
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
	g.count++
	for d, changed := range p.Changed {
		if changed {
			g.version[d], g.changed[d] = p.Version, g.count
		}
	}
	g.last = p
	g.byNonce[p.Nonce] = g.past.PushBack(past{p.Nonce, g.count, p.Snapshot})
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

// news tells whether a poll would be told something. What was published again is told again, as a delta of nothing: the
// core waits for its acknowledgement. (A gateway that dialled anew and stood on the very same lines was never told, did
// not acknowledge, and was put out until something changed.)
func (h *Hub) news(g *standing, r Request) bool {
	v := g.version[r.Doc]
	if v == "" || !r.Delta {
		return v != "" && v != r.Version
	}
	e, known := g.byNonce[r.Nonce]
	return !known || e.Value.(past).number < g.changed[r.Doc]
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

// Told is what answers a poll: shared between the gateways that are told the same.
type Told struct {
	Version, Nonce string
	*xds.SharedResponse
}

// Message is the answer whole.
func (t *Told) Message() proto.Message { return t.SharedResponse.Message(t.Version, t.Nonce) }

// Body is the answer as it is sent.
func (t *Told) Body(binary bool) ([]byte, error) {
	if binary {
		return t.EncodeBinary(t.Version, t.Nonce)
	}
	return t.Encode(t.Version, t.Nonce)
}

// answer tells a poll what is in force.
func (h *Hub) answer(r Request) {
	h.mu.Lock()
	g := h.gateway(r.Gateway)
	told := &Told{Version: g.version[r.Doc], Nonce: g.last.Nonce}
	to := g.last.Snapshot
	var base *routing.Snapshot
	if e, has := g.byNonce[r.Nonce]; has && r.Nonce != "" {
		s := e.Value.(past).snapshot
		base = &s
	}
	h.mu.Unlock()
	var err error
	lines := 0
	switch {
	case r.Delta && base == nil && r.Nonce != "" && r.Lines == nil:
		r.Answer(nil, ErrBase)
		return
	case r.Delta && r.Doc == coordinator.RoutesDocument:
		held := r.Lines
		if base != nil {
			held = xds.RouteVersions(*base)
		}
		told.SharedResponse, err = xds.ShareRouteDelta(held, to)
		lines = linesOf(told, err)
	case r.Delta && base != nil:
		told.SharedResponse, err = h.same(base.Clusters, to.Clusters, func() (*xds.SharedResponse, error) { return xds.ShareEndpointDelta(xds.EndpointVersions(*base), to) })
		lines = linesOf(told, err)
	case r.Delta:
		told.SharedResponse, err = xds.ShareEndpointDelta(r.Lines, to)
		lines = linesOf(told, err)
	case r.Doc == coordinator.EndpointsDocument:
		told.SharedResponse, err = h.same(nil, to.Clusters, func() (*xds.SharedResponse, error) { return xds.ShareEndpointDocument(to.Clusters) })
		for _, c := range to.Clusters {
			lines += len(c.Endpoints)
		}
	default:
		told.SharedResponse, err = xds.ShareRouteDocument(to.Routes)
		lines = len(to.Routes)
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
	h.mu.Unlock()
	r.Answer(told, nil)
}

func linesOf(t *Told, err error) int {
	if err != nil {
		return 0
	}
	return t.ResourceCount()
}

// Sent counts the bytes of an answer.
func (h *Hub) Sent(bytes int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stats.Bytes += int64(bytes)
}

// shares is one made answer, and the clusters that it was made from: while it is kept, so are they, and no others can
// stand where they stand.
type shares struct {
	from, to []routing.Cluster
	once     sync.Once
	shared   *xds.SharedResponse
	err      error
}

// sharesMost bounds how many are kept: a fleet's groups, each by a few earlier states.
const sharesMost = 512

// same makes an answer once for all gateways that go from the same clusters to the same. The core hands gateways of one
// zone on one table the very same lines, so being the same is being in the same place.
func (h *Hub) same(from, to []routing.Cluster, make func() (*xds.SharedResponse, error)) (*xds.SharedResponse, error) {
	var key strings.Builder
	for _, clusters := range [][]routing.Cluster{from, to} {
		for _, c := range clusters {
			fmt.Fprintf(&key, "%p %d %s ", c.Endpoints, len(c.Endpoints), c.Class)
		}
		key.WriteByte('>')
	}
	s := &shares{from: from, to: to}
	if held, found, _ := h.shared.PeekOrAdd(key.String(), s); found {
		s = held
	}
	s.once.Do(func() { s.shared, s.err = make() })
	return s.shared, s.err
}
