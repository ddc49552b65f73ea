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

// Faults are what a peer does wrong. The zero value does nothing wrong.
type Faults struct {
	Delay        time.Duration // before each response
	StaleDelta   bool          // deltas stay as they were when the fault began
	WrongHash    bool
	MissingShare float64       // this part of the instances is left out of full responses
	ErrorStatus  int           // status code instead of a response
	Truncated    bool          // bodies end in the middle
	PaddingBytes int64         // bytes added to each JSON response
	ClockSkew    time.Duration // of its clock
	Lag          time.Duration // full responses are as old as that
	Reregistered bool          // all instances were registered anew when the fault began
}

// hidesNothing reports whether a full response with these faults says what the registry has at its revision.
func (f Faults) hidesNothing() bool {
	return !f.WrongHash && f.MissingShare == 0 && !f.Truncated && f.PaddingBytes == 0
}

// Peer is a server of a registry. It is safe for concurrent use.
type Peer struct {
	Addr string // base URL
	// OnRevision is called before each response that says what the instances were at a revision, without a fault that
	// hides one. It must be set before the first request.
	OnRevision func(revision int)

	registry *Registry
	server   *http.Server

	mu          sync.Mutex // guards all below
	faults      Faults
	faultsSince time.Time
	calls       int
	bytes       int64
}

// Listen opens a peer of the registry on loopback. Its goroutine ends with Close.
func (r *Registry) Listen() (*Peer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Peer{Addr: "http://" + listener.Addr().String() + "/eureka", registry: r}
	p.server = &http.Server{Handler: http.HandlerFunc(p.handle), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = p.server.Serve(listener) }()
	return p, nil
}

// Close ends the peer.
func (p *Peer) Close() { _ = p.server.Close() }

// SetFaults sets what the peer does wrong from now on.
func (p *Peer) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.faultsSince = time.Now()
}

// Traffic returns how many requests the peer has had and how many bytes it has sent.
func (p *Peer) Traffic() (calls int, bytes int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls, p.bytes
}

// activeFaults are the faults of one response.
type activeFaults struct {
	Faults
	since time.Time
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

// handleRead answers the queries: all instances, the delta, those of an application or of a VIP address.
func (p *Peer) handleRead(w http.ResponseWriter, r *http.Request, path []string, faults activeFaults) {
	switch {
	case len(path) == 1 && path[0] == "apps":
		instances, revision := p.view(faults)
		p.announce(faults, revision)
		p.respondAll(w, r, faults, instances)
	case len(path) == 2 && path[0] == "apps" && path[1] == "delta":
		instances, revision := p.view(faults)
		if !faults.StaleDelta {
			p.announce(faults, revision)
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

// respondSome responds with the instances that match. Those of one application have a form of their own.
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

// announce calls OnRevision. It does so before the response: whoever acts on that must not be earlier.
func (p *Peer) announce(faults activeFaults, revision int) {
	if p.OnRevision != nil && faults.hidesNothing() {
		p.OnRevision(revision)
	}
}

// view is what the peer says of the instances, sorted by their ids.
func (p *Peer) view(faults activeFaults) (instances []Instance, revision int) {
	instances, revision = p.registry.stateBefore(faults.Lag)
	sort.Slice(instances, func(a, b int) bool { return instances[a].ID < instances[b].ID })
	if faults.MissingShare == 0 {
		return instances, revision
	}
	left := instances[:0]
	for n, i := range instances {
		if float64(n%10) >= 10*faults.MissingShare { // what is missing is spread over all
			left = append(left, i)
		}
	}
	return left, revision
}
