//go:build review

package main

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"porthub/client"
	"porthub/emulator/eureka"
	"porthub/xds"
)

const workTime = 160 * time.Millisecond

// node is a calc node.
type node struct {
	id, zone, addr string
	server         *http.Server

	mu        sync.Mutex
	removedAt time.Time // when its registration was cancelled; zero while it is registered
	toldAt    time.Time // when a response of the registry without it had been written to the coordinator

	sent, answered, late int
	second               int64   // the present second, with the requests that came in it
	arrivals, util       float64 // util is that of the second before
}

func newNode(id, zone string) (*node, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &node{id: id, zone: zone, addr: listener.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("/work", func(w http.ResponseWriter, _ *http.Request) {
		n.arrive()
		time.Sleep(workTime)
		w.WriteHeader(http.StatusOK)
	})
	n.server = &http.Server{Handler: mux}
	go func() { _ = n.server.Serve(listener) }()
	return n, nil
}

func (n *node) count(sent, answered, late int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sent += sent
	n.answered += answered
	n.late += late
}

// capacity is the number of requests a second at which a node counts as busy all the time.
const capacity = 12.5

// turn closes the present second if it is over.
func (n *node) turn() {
	if now := time.Now().Unix(); now != n.second {
		n.util = min(1, n.arrivals/capacity)
		n.arrivals = 0
		n.second = now
	}
}

func (n *node) arrive() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.turn()
	n.arrivals++
}

func (n *node) utilization() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.turn()
	return n.util
}

func (n *node) stop() { _ = n.server.Close() }

// told returns when the coordinator was told that the node has left, and false if it was not.
func (n *node) told() (time.Time, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.toldAt, !n.toldAt.IsZero()
}

// registry is the project's stand-in for Eureka behind a proxy that records when its responses were written.
type registry struct {
	f    *fleet
	addr string
	r    *eureka.Registry
}

func newRegistry(f *fleet) (*registry, error) {
	r := &registry{f: f, r: eureka.New()}
	peer, err := r.r.Listen()
	if err != nil {
		return nil, err
	}
	target, err := url.Parse(strings.TrimSuffix(peer.Addr, "/eureka"))
	if err != nil {
		return nil, err
	}
	forward := httputil.NewSingleHostReverseProxy(target)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r.addr = "http://" + listener.Addr().String() + "/eureka"
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		asked := time.Now()
		forward.ServeHTTP(w, request)
		if strings.HasPrefix(request.URL.Path, "/eureka/apps") && request.Method == http.MethodGet {
			r.written(asked)
		}
	})}
	go func() { _ = server.Serve(listener) }()
	return r, nil
}

// written notes that a response to a query made at a time was written: nodes that had left by then are told of.
func (r *registry) written(asked time.Time) {
	for _, n := range r.f.nodes {
		n.mu.Lock()
		if !n.removedAt.IsZero() && n.removedAt.Before(asked) && n.toldAt.IsZero() {
			n.toldAt = time.Now()
			r.f.note("a response of the registry without %s was written", n.id)
		}
		n.mu.Unlock()
	}
}

func (r *registry) put(n *node) {
	host, port, _ := net.SplitHostPort(n.addr)
	number, _ := strconv.Atoi(port)
	r.r.Put(eureka.Instance{App: "CALC", ID: n.id, IP: host, Port: number, Status: "UP", UpSince: time.Now().Add(-time.Hour),
		Metadata: map[string]string{"zone": n.zone, "weight": "1", "machine": "std-2c", "pod": "0"}})
}

// remove cancels a node's registration.
func (r *registry) remove(n *node) {
	n.mu.Lock()
	n.removedAt = time.Now()
	n.mu.Unlock()
	r.r.Remove("CALC", n.id)
	r.f.note("%s (%s) cancels its registration", n.id, n.addr)
}

// gateway is a plain gateway that reads its tables as files.
type gateway struct {
	f          *fleet
	name, zone string
	share      float64
	http       *http.Client

	mu       sync.Mutex
	tables   client.Tables
	joinedAt time.Time
	counts   map[string]map[string]*counts // by class and address
	arrived  map[string]int
	avoid    map[string]time.Time
	failures map[string]int
}

type counts struct {
	attempts, failures int
	took               time.Duration
}

func newGateway(f *fleet, name, zone string, share float64) *gateway {
	return &gateway{f: f, name: name, zone: zone, share: share, http: &http.Client{Timeout: time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16}},
		counts: map[string]map[string]*counts{}, arrived: map[string]int{}, avoid: map[string]time.Time{}, failures: map[string]int{}}
}

// run keeps a link to the coordinator, follows the files and sends requests.
func (g *gateway) run(ctx context.Context) {
	go g.requests(ctx)
	reader := client.NewReader(g.f.tables, g.name)
	for ctx.Err() == nil {
		link := client.NewLink(client.Options{Node: xds.Node{Name: g.name, Zone: g.zone, UsualRate: g.share}, Coordinator: g.f.listen, Timeout: 2 * time.Second})
		g.follow(ctx, link, reader)
		link.Close()
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration((0.5 + rand.Float64()) * float64(time.Second))):
		}
	}
}

// follow serves a link until it breaks.
func (g *gateway) follow(ctx context.Context, link *client.Link, reader *client.Reader) {
	g.mu.Lock()
	tables := g.tables
	g.mu.Unlock()
	if link.Join(ctx, tables) != nil {
		return
	}
	g.mu.Lock()
	g.joinedAt = time.Now()
	g.mu.Unlock()
	g.f.note("%s joined", g.name)
	next := time.Now().Add(time.Second)
	for ctx.Err() == nil {
		for _, update := range reader.Poll() {
			g.mu.Lock()
			g.tables.Apply(update)
			tables = g.tables
			g.mu.Unlock()
			if err := link.Acknowledge(ctx, update, tables); err != nil && !errors.Is(err, client.ErrRejected) {
				g.left(err)
				return
			}
		}
		if now := time.Now(); now.After(next) {
			next = now.Add(time.Second)
			if _, err := link.Report(ctx, time.Second, g.report()); errors.Is(err, client.ErrRejected) {
				g.f.note("%s: report rejected: %v", g.name, err)
			} else if err != nil {
				g.left(err)
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (g *gateway) left(err error) {
	g.mu.Lock()
	g.joinedAt = time.Time{}
	g.mu.Unlock()
	g.f.note("%s lost its link: %v", g.name, err)
}

// report returns and resets what the gateway met in the last period.
func (g *gateway) report() (reports []xds.ClassReport) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, class := range classes {
		report := xds.ClassReport{Class: class, Arrived: g.arrived[class]}
		for addr, c := range g.counts[class] {
			mean := time.Duration(0)
			if good := c.attempts - c.failures; good > 0 {
				mean = c.took / time.Duration(good)
			}
			report.Endpoints = append(report.Endpoints, xds.EndpointReport{Address: addr, Zone: g.f.zoneOf(addr), Attempts: c.attempts, Failures: c.failures,
				MeanLatency: mean, Metrics: map[string]float64{"util": g.f.node(addr).utilization(), "queue": 0}})
		}
		reports = append(reports, report)
	}
	g.counts = map[string]map[string]*counts{}
	g.arrived = map[string]int{}
	return reports
}

func (f *fleet) zoneOf(addr string) string {
	for _, n := range f.nodes {
		if n.addr == addr {
			return n.zone
		}
	}
	return ""
}

func (f *fleet) node(addr string) *node {
	for _, n := range f.nodes {
		if n.addr == addr {
			return n
		}
	}
	return nil
}

// pick chooses an endpoint of a class at random by weight.
func (g *gateway) pick(class string, now time.Time) string {
	for _, cluster := range g.tables.Snapshot.Clusters {
		if cluster.Class != class {
			continue
		}
		total := 0.0
		for _, e := range cluster.Endpoints {
			if !e.Withheld && now.After(g.avoid[string(e.Endpoint)]) {
				total += e.Weight
			}
		}
		at := rand.Float64() * total
		for _, e := range cluster.Endpoints {
			if e.Withheld || !now.After(g.avoid[string(e.Endpoint)]) {
				continue
			}
			if at -= e.Weight; at < 0 {
				return string(e.Endpoint)
			}
		}
	}
	return ""
}

func (g *gateway) requests(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(rand.ExpFloat64() / (g.share * g.f.trafficNow()) * float64(time.Second))):
		}
		class, now := classes[rand.IntN(len(classes))], time.Now()
		g.mu.Lock()
		g.arrived[class]++
		addr, joined := g.pick(class, now), g.joinedAt
		g.mu.Unlock()
		if addr == "" {
			continue
		}
		n := g.f.node(addr)
		if n == nil {
			continue
		}
		n.count(1, 0, 0)
		if !joined.IsZero() {
			if told, is := n.told(); is {
				if joined.After(told) {
					told = joined
				}
				if over := now.Sub(told); over > drainGrace+slack {
					n.count(0, 0, 1)
					g.f.breaks("%s sends a %s request to %s %d ms after the coordinator was told that it is gone", g.name, class, n.id, over.Milliseconds())
				}
			}
		}
		go g.send(ctx, class, n)
	}
}

func (g *gateway) send(ctx context.Context, class string, n *node) {
	addr := n.addr
	began := time.Now()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/work", nil)
	if err != nil {
		return
	}
	response, err := g.http.Do(request)
	if err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.counts[class] == nil {
		g.counts[class] = map[string]*counts{}
	}
	c := g.counts[class][addr]
	if c == nil {
		c = &counts{}
		g.counts[class][addr] = c
	}
	c.attempts++
	if err != nil {
		c.failures++
		if g.failures[addr]++; g.failures[addr] >= 5 {
			g.failures[addr] = 0
			g.avoid[addr] = time.Now().Add(5 * time.Second)
		}
		return
	}
	n.count(0, 1, 0)
	g.failures[addr] = 0
	c.took += time.Since(began)
}
