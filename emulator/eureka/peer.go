package eureka

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// Faults are faults that are injected into a peer's responses. The zero value has none.
type Faults struct {
	Delay        time.Duration // delay before each response
	StaleDelta   bool          // deltas contain no changes made after the fault was set
	WrongHash    bool
	MissingShare float64       // fraction of the instances that is missing from responses other than deltas
	ErrorStatus  int           // status code of all responses; 0: no error
	Truncated    bool          // response bodies end in the middle
	PaddingBytes int64         // bytes that are added to each JSON response
	ClockSkew    time.Duration // offset of the peer's clock in JSON responses
	Lag          time.Duration // age of the state in responses other than deltas
	Reregistered bool          // JSON responses show all instances as registered when the fault was set
}

// preservesContent reports whether a response with these faults shows all instances of its revision correctly.
func (f Faults) preservesContent() bool {
	return !f.WrongHash && f.MissingShare == 0 && !f.Truncated && f.PaddingBytes == 0
}

// Peer is one of the servers of a registry. It is safe for concurrent use.
type Peer struct {
	Addr string // base URL
	// OnRevision is called before each response from which a client learns all instances of a revision. It must be set
	// before the first request.
	OnRevision func(revision int)

	registry *Registry
	server   *http.Server
	listener net.Listener

	mu          sync.Mutex // guards the fields below
	faults      Faults
	faultsSince time.Time
	calls       int
	bytes       int64
}

// Listen starts a peer of the registry on loopback. Close ends its goroutine.
func (r *Registry) Listen() (*Peer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Peer{Addr: "http://" + listener.Addr().String() + "/eureka", registry: r}
	p.server = &http.Server{Handler: http.HandlerFunc(p.handle), ReadHeaderTimeout: 5 * time.Second}
	p.listener = listener
	go func() { _ = p.server.Serve(listener) }()
	return p, nil
}

// Close closes the peer's listener and connections. The server alone closes the listener only once its goroutine has run.
func (p *Peer) Close() {
	_ = p.listener.Close()
	_ = p.server.Close()
}

// SetFaults replaces the injected faults.
func (p *Peer) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.faultsSince = time.Now()
}

// Traffic returns the number of requests that the peer received and the bytes that it sent in the bodies of query responses.
func (p *Peer) Traffic() (calls int, bytes int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls, p.bytes
}

// activeFaults are the faults that apply to one response.
type activeFaults struct {
	Faults
	since time.Time // when the faults were set
}

// countCall counts a request and returns the faults of its response.
func (p *Peer) countCall() activeFaults {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	return activeFaults{Faults: p.faults, since: p.faultsSince}
}

func (p *Peer) handle(w http.ResponseWriter, r *http.Request) {
	faults := p.countCall()
	if faults.Delay > 0 {
		select {
		case <-time.After(faults.Delay):
		case <-r.Context().Done():
			return
		}
	}
	if faults.ErrorStatus > 0 {
		http.Error(w, "refused", faults.ErrorStatus)
		return
	}
	path := strings.Split(strings.Trim(strings.TrimPrefix(r.URL.Path, "/eureka"), "/"), "/")
	if r.Method == http.MethodGet {
		p.handleRead(w, r, path, faults)
		return
	}
	p.handleWrite(w, r, path)
}

// handleRead serves the queries for all instances, for the delta, and for the instances of an application or a VIP address.
func (p *Peer) handleRead(w http.ResponseWriter, r *http.Request, path []string, faults activeFaults) {
	switch {
	case len(path) == 1 && path[0] == "apps":
		instances, revision := p.view(faults)
		p.notifyRevision(faults, revision)
		p.respondAll(w, r, faults, instances)
	case len(path) == 2 && path[0] == "apps" && path[1] == "delta":
		instances, revision := p.view(faults)
		if !faults.StaleDelta {
			p.notifyRevision(faults, revision)
		}
		p.respondDelta(w, faults, instances)
	case len(path) == 2 && path[0] == "apps":
		app := strings.ToUpper(path[1])
		p.respondSome(w, r, faults, true, func(i Instance) bool { return i.App == app })
	case len(path) == 2 && path[0] == "vips":
		p.respondSome(w, r, faults, false, func(i Instance) bool { return i.App == strings.ToUpper(path[1]) || i.Metadata["vip"] == path[1] })
	default:
		http.NotFound(w, r)
	}
}

// respondSome responds with the instances that match. A query for one application has a response format of its own.
func (p *Peer) respondSome(w http.ResponseWriter, r *http.Request, faults activeFaults, oneApp bool, matches func(Instance) bool) {
	var instances []Instance
	all, _ := p.view(faults)
	for _, i := range all {
		if matches(i) {
			instances = append(instances, i)
		}
	}
	switch {
	case len(instances) == 0:
		http.NotFound(w, r)
	case oneApp:
		p.respondApp(w, r, faults, instances)
	default:
		p.respondAll(w, r, faults, instances)
	}
}

// registration is the body of a request that registers an instance.
type registration struct {
	Instance struct {
		ID   string `json:"instanceId"`
		IP   string `json:"ipAddr"`
		Port struct {
			Number int `json:"$"`
		} `json:"port"`
	} `json:"instance"`
}

// handleWrite registers, renews and removes instances.
func (p *Peer) handleWrite(w http.ResponseWriter, r *http.Request, path []string) {
	switch {
	case r.Method == http.MethodPost && len(path) == 2 && path[0] == "apps":
		var body registration
		err := json.NewDecoder(io.LimitReader(r.Body, 1<<20)).Decode(&body)
		if err != nil || body.Instance.ID == "" {
			http.Error(w, "bad instance", http.StatusBadRequest)
			return
		}
		p.registry.Put(Instance{App: path[1], ID: body.Instance.ID, IP: body.Instance.IP, Port: body.Instance.Port.Number, Status: statusUp})
		w.WriteHeader(http.StatusNoContent)
	case r.Method == http.MethodPut && len(path) == 3 && path[0] == "apps":
		if !p.registry.renew(path[1], path[2]) {
			http.NotFound(w, r)
		}
	case r.Method == http.MethodDelete && len(path) == 3 && path[0] == "apps":
		p.registry.Remove(path[1], path[2])
	default:
		http.NotFound(w, r)
	}
}

// notifyRevision calls OnRevision. It is called before the response is sent, so that the call precedes any reaction to the
// response.
func (p *Peer) notifyRevision(faults activeFaults, revision int) {
	if p.OnRevision != nil && faults.preservesContent() {
		p.OnRevision(revision)
	}
}

// view returns the instances that the peer's responses show, sorted by id, and their revision.
func (p *Peer) view(faults activeFaults) (instances []Instance, revision int) {
	instances, revision = p.registry.stateBefore(faults.Lag)
	sort.Slice(instances, func(a, b int) bool { return instances[a].ID < instances[b].ID })
	if faults.MissingShare == 0 {
		return instances, revision
	}
	visible := instances[:0]
	for n, i := range instances {
		if float64(n%10) >= 10*faults.MissingShare { // spreads the missing instances over the list
			visible = append(visible, i)
		}
	}
	return visible, revision
}
