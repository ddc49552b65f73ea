// Package eureka is a small registry that speaks Eureka's REST operations on loopback, with faults on demand. It is a
// stand-in for drills and tests: it shares no code with the client that it tests.
package eureka

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// Faults are what a registry does wrong. The zero value does nothing wrong.
type Faults struct {
	Delay        time.Duration // before each answer
	StaleDelta   bool          // deltas stay as they were when it began
	WrongHash    bool
	MissingShare float64       // this part of the instances is left out of whole answers and deltas
	ErrorStatus  int           // status code instead of an answer
	Truncated    bool          // bodies end in the middle
	PaddingBytes int64         // bytes of filling in whole answers
	ClockSkew    time.Duration // of its clock
	Lag          time.Duration // answers are as old as that
	Reregistered bool          // all instances were registered anew, just now
}

// Registry holds instances. Peers share one with different faults.
type Registry struct {
	mu     sync.Mutex
	insts  map[string]*Instance
	recent []change
	past   []snapshot
	rev    int // counts changes
	now    func() time.Time
}

// Instance is one instance as it is registered.
type Instance struct {
	App, ID, IP                      string
	Port                             int
	Status                           string
	Metadata                         map[string]string
	LastChange, UpSince, LastRenewal time.Time
}

type change struct {
	at     time.Time
	action string
	inst   Instance
}

type snapshot struct {
	at    time.Time
	rev   int
	insts []Instance
}

// deltaFor is how long a change stays in deltas.
const deltaFor = 180 * time.Second

// New makes an empty registry.
func New() *Registry { return &Registry{insts: map[string]*Instance{}, now: time.Now} }

func (r *Registry) changed(action string, i Instance) {
	r.recent = append(r.recent, change{r.now(), action, i})
	r.rev++
	s := snapshot{at: r.now(), rev: r.rev}
	for _, i := range r.insts {
		s.insts = append(s.insts, *i)
	}
	if r.past = append(r.past, s); len(r.past) > 400 {
		r.past = r.past[100:]
	}
}

// Put registers an instance or changes its status.
func (r *Registry) Put(i Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	old := r.insts[i.App+"/"+i.ID]
	action := "ADDED"
	if old != nil {
		action = "MODIFIED"
		if i.UpSince.IsZero() {
			i.UpSince = old.UpSince
		}
	}
	if i.Status == "UP" && i.UpSince.IsZero() {
		i.UpSince = now
	}
	i.LastChange, i.LastRenewal = now, now
	r.insts[i.App+"/"+i.ID] = &i
	r.changed(action, i)
}

// Remove takes an instance out.
func (r *Registry) Remove(app, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if i := r.insts[app+"/"+id]; i != nil {
		delete(r.insts, app+"/"+id)
		r.changed("DELETED", *i)
	}
}

// Has tells whether an instance is registered.
func (r *Registry) Has(app, id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.insts[app+"/"+id] != nil
}

// Peer is a listening registry.
type Peer struct {
	Addr string // base URL

	reg    *Registry
	server *http.Server
	mu     sync.Mutex
	faults Faults
	since  time.Time
	Calls  int
	Bytes  int64
	// OnRevision is called after each answer that tells the instances as they were at a revision, without a fault that hides one.
	OnRevision func(revision int)
}

// Listen opens a peer of the registry on loopback.
func (r *Registry) Listen() (*Peer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Peer{Addr: "http://" + l.Addr().String() + "/eureka", reg: r}
	p.server = &http.Server{Handler: http.HandlerFunc(p.serve), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = p.server.Serve(l) }()
	return p, nil
}

// Close ends it.
func (p *Peer) Close() { _ = p.server.Close() }

// SetFaults sets what it does wrong from now on.
func (p *Peer) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults, p.since = f, time.Now()
}

// Traffic tells what it was asked.
func (p *Peer) Traffic() (calls int, bytes int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.Calls, p.Bytes
}

func (p *Peer) serve(w http.ResponseWriter, req *http.Request) {
	p.mu.Lock()
	f, since := p.faults, p.since
	p.Calls++
	p.mu.Unlock()
	if f.Delay > 0 {
		select {
		case <-time.After(f.Delay):
		case <-req.Context().Done():
			return
		}
	}
	if f.ErrorStatus > 0 {
		http.Error(w, "refused", f.ErrorStatus)
		return
	}
	path := strings.Trim(strings.TrimPrefix(req.URL.Path, "/eureka"), "/")
	parts := strings.Split(path, "/")
	switch {
	case req.Method == http.MethodGet && path == "apps":
		insts, rev := p.view(f)
		p.good(f, rev) // before: what is done by the answer must not come before its being told
		p.answer(w, req, f, insts, "", true)
	case req.Method == http.MethodGet && path == "apps/delta":
		insts, rev := p.view(f)
		if !f.StaleDelta {
			p.good(f, rev)
		}
		p.answer(w, req, f, insts, p.deltas(f, since), true)
	case req.Method == http.MethodGet && len(parts) == 2 && (parts[0] == "apps" || parts[0] == "vips"):
		var of []Instance
		insts, _ := p.view(f)
		for _, i := range insts {
			if i.App == strings.ToUpper(parts[1]) || parts[0] == "vips" && i.Metadata["vip"] == parts[1] {
				of = append(of, i)
			}
		}
		if len(of) == 0 {
			http.NotFound(w, req)
			return
		}
		p.answer(w, req, f, of, "", parts[0] == "vips")
	case req.Method == http.MethodPost && len(parts) == 2 && parts[0] == "apps":
		var body struct {
			Instance struct {
				ID   string `json:"instanceId"`
				IP   string `json:"ipAddr"`
				Port struct {
					N int `json:"$"`
				} `json:"port"`
			} `json:"instance"`
		}
		if json.NewDecoder(io.LimitReader(req.Body, 1<<20)).Decode(&body) != nil || body.Instance.ID == "" {
			http.Error(w, "bad instance", http.StatusBadRequest)
			return
		}
		p.reg.Put(Instance{App: parts[1], ID: body.Instance.ID, IP: body.Instance.IP, Port: body.Instance.Port.N, Status: "UP"})
		w.WriteHeader(http.StatusNoContent)
	case req.Method == http.MethodPut && len(parts) == 3 && parts[0] == "apps":
		if !p.reg.renew(parts[1], parts[2]) {
			http.NotFound(w, req)
		}
	case req.Method == http.MethodDelete && len(parts) == 3 && parts[0] == "apps":
		p.reg.Remove(parts[1], parts[2])
	default:
		http.NotFound(w, req)
	}
}

func (r *Registry) renew(app, id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := r.insts[app+"/"+id]
	if i != nil {
		i.LastRenewal = r.now()
	}
	return i != nil
}

// good tells that a revision has been told whole.
func (p *Peer) good(f Faults, rev int) {
	if p.OnRevision != nil && !f.WrongHash && f.MissingShare == 0 && !f.Truncated && f.PaddingBytes == 0 {
		p.OnRevision(rev)
	}
}

// Revision counts the changes so far.
func (r *Registry) Revision() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rev
}

// view is what a peer has of the instances, with its faults.
func (p *Peer) view(f Faults) (out []Instance, rev int) {
	p.reg.mu.Lock()
	defer p.reg.mu.Unlock()
	rev = p.reg.rev
	for _, i := range p.reg.insts {
		out = append(out, *i)
	}
	if f.Lag > 0 {
		out, rev = nil, 0
		for _, s := range p.reg.past {
			if p.reg.now().Sub(s.at) >= f.Lag {
				out, rev = append([]Instance(nil), s.insts...), s.rev
			}
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].ID < out[b].ID })
	if f.MissingShare > 0 {
		left := out[:0]
		for n, i := range out {
			if float64(n%10) >= 10*f.MissingShare { // spread over all
				left = append(left, i)
			}
		}
		out = left
	}
	return out, rev
}

// deltas are the changes of late, as JSON members, or stale ones.
func (p *Peer) deltas(f Faults, since time.Time) string {
	p.reg.mu.Lock()
	defer p.reg.mu.Unlock()
	var parts []string
	for _, c := range p.reg.recent {
		if p.reg.now().Sub(c.at) > deltaFor || f.StaleDelta && c.at.After(since) {
			continue
		}
		parts = append(parts, fmt.Sprintf(`{"name": %q, "instance": [%s]}`, c.inst.App, p.member(f, c.inst, c.action)))
	}
	return "[" + strings.Join(parts, ",") + "]"
}

func (p *Peer) member(f Faults, i Instance, action string) string {
	ms := func(t time.Time) int64 {
		if t.IsZero() {
			return 0
		}
		return t.Add(f.ClockSkew).UnixMilli()
	}
	up := i.UpSince
	if f.Reregistered {
		up = p.since
	}
	m := map[string]any{"instanceId": i.ID, "hostName": i.IP, "app": i.App, "ipAddr": i.IP, "status": i.Status, "overriddenStatus": "UNKNOWN",
		"port": map[string]any{"$": i.Port, "@enabled": "true"}, "metadata": i.Metadata, "lastDirtyTimestamp": fmt.Sprint(ms(i.LastChange)),
		"lastUpdatedTimestamp": fmt.Sprint(ms(i.LastChange)), "leaseInfo": map[string]any{"renewalIntervalInSecs": 30, "durationInSecs": 90,
			"registrationTimestamp": ms(up), "lastRenewalTimestamp": ms(i.LastRenewal), "evictionTimestamp": 0, "serviceUpTimestamp": ms(up)}}
	if action != "" {
		m["actionType"] = action
	}
	text, _ := json.Marshal(m)
	return string(text)
}

func (p *Peer) answer(w http.ResponseWriter, req *http.Request, f Faults, insts []Instance, delta string, all bool) {
	counts := map[string]int{}
	for _, i := range insts {
		counts[i.Status]++
	}
	var names []string
	for s := range counts {
		names = append(names, s)
	}
	sort.Strings(names)
	hash := ""
	for _, s := range names {
		hash += fmt.Sprintf("%s_%d_", s, counts[s])
	}
	if f.WrongHash {
		hash = "UP_99999_"
	}
	if strings.Contains(req.Header.Get("Accept"), "xml") && delta == "" {
		p.xml(w, f, insts, hash)
		return
	}
	apps := map[string][]string{}
	for _, i := range insts {
		apps[i.App] = append(apps[i.App], p.member(f, i, ""))
	}
	var parts []string
	names = names[:0]
	for a := range apps {
		names = append(names, a)
	}
	sort.Strings(names)
	for _, a := range names {
		parts = append(parts, fmt.Sprintf(`{"name": %q, "instance": [%s]}`, a, strings.Join(apps[a], ",")))
	}
	list := "[" + strings.Join(parts, ",") + "]"
	if delta != "" {
		list = delta
	}
	text := fmt.Sprintf(`{"applications": {"versions__delta": "1", "apps__hashcode": %q, "application": %s}}`, hash, list)
	if !all && len(parts) == 1 {
		text = fmt.Sprintf(`{"application": %s}`, parts[0])
	}
	if f.PaddingBytes > 0 {
		text = text[:len(text)-1] + `, "filling": "` + strings.Repeat("x", int(f.PaddingBytes)) + `"}`
	}
	p.write(w, f, "application/json", text)
}

func (p *Peer) xml(w http.ResponseWriter, f Faults, insts []Instance, hash string) {
	var b strings.Builder
	fmt.Fprintf(&b, "<applications><versions__delta>1</versions__delta><apps__hashcode>%s</apps__hashcode>", hash)
	for _, i := range insts {
		fmt.Fprintf(&b, `<application><name>%s</name><instance><instanceId>%s</instanceId><hostName>%s</hostName><app>%s</app><ipAddr>%s</ipAddr><status>%s</status><port enabled="true">%d</port><leaseInfo><durationInSecs>90</durationInSecs><lastRenewalTimestamp>%d</lastRenewalTimestamp><serviceUpTimestamp>%d</serviceUpTimestamp></leaseInfo><metadata>`,
			i.App, i.ID, i.IP, i.App, i.IP, i.Status, i.Port, i.LastRenewal.UnixMilli(), i.UpSince.UnixMilli())
		for k, v := range i.Metadata {
			fmt.Fprintf(&b, "<%s>%s</%s>", k, v, k)
		}
		fmt.Fprintf(&b, "</metadata><lastDirtyTimestamp>%d</lastDirtyTimestamp></instance></application>", i.LastChange.UnixMilli())
	}
	b.WriteString("</applications>")
	p.write(w, f, "application/xml", b.String())
}

func (p *Peer) write(w http.ResponseWriter, f Faults, kind, text string) {
	w.Header().Set("Content-Type", kind)
	if f.Truncated {
		w.Header().Set("Content-Length", fmt.Sprint(len(text)))
		text = text[:len(text)/2]
	}
	n, _ := io.WriteString(w, text)
	p.mu.Lock()
	p.Bytes += int64(n)
	p.mu.Unlock()
	if f.Truncated {
		panic(http.ErrAbortHandler)
	}
}

// DropDeltas drops all changes from deltas, as if they were long ago.
func (r *Registry) DropDeltas() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recent = nil
}
