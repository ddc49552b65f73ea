//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"porthub/client"
	"porthub/xds"
)

// backend is a server that answers each request and records when it arrived.
type backend struct {
	addr, zone string

	mu       sync.Mutex // guards arrivals
	arrivals []arrival
}

// arrival is a request that arrived, with its class and the zone of its gateway.
type arrival struct {
	at          time.Time
	class, zone string
}

// newBackend starts a backend on a loopback address.
func newBackend(zone string) *backend {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	need(err == nil, "listen: %v", err)
	b := &backend{addr: l.Addr().String(), zone: zone}
	go func() { _ = http.Serve(l, b) }()
	return b
}

// ServeHTTP answers a request after 5 ms of work; health checks are not counted.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/work" {
		b.mu.Lock()
		b.arrivals = append(b.arrivals, arrival{time.Now(), r.Header.Get("class"), r.Header.Get("zone")})
		b.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
	}
	_, _ = io.WriteString(w, "done\n")
}

// between returns the number of requests that arrived in a period.
func (b *backend) between(from, to time.Time) (n int) {
	for _, class := range classes {
		all, _ := b.ofClass(class, from, to)
		n += all
	}
	return n
}

// ofClass returns the number of requests of a class that arrived in a period, and how many came from gateways of other zones.
func (b *backend) ofClass(class string, from, to time.Time) (all, foreign int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, a := range b.arrivals {
		if a.class != class || !a.at.After(from) || a.at.After(to) {
			continue
		}
		all++
		if a.zone != b.zone {
			foreign++
		}
	}
	return all, foreign
}

// gateway is a plain gateway: it reads its table files, acknowledges and reports by package client, and sends requests by weight.
type gateway struct {
	scene                             *scene
	name, zone, coordinator, tableDir string
	classes                           []string
	rate                              float64 // requests a second

	mu     sync.Mutex // guards the fields below
	tables client.Tables
	counts map[string]map[string]*count // by class and address
	joined bool
	silent bool // it sends no acknowledgements
	unsent int  // requests for which the table had no line
	sent   int
	// arrived and rejected count the requests of each class since the last report; rejected for a rate or for want of a line.
	arrived, rejected map[string]int
	buckets           map[string]*bucket // by class
}

type count struct{ attempts, failures int }

// bucket is the token bucket of a class's admission rate: it holds two seconds of it, and one request at least.
type bucket struct {
	tokens float64
	at     time.Time
}

// admits applies a route's share and rate to one request. The caller holds the gateway's lock.
func (g *gateway) admits(class string) bool {
	for _, route := range g.tables.Snapshot.Routes {
		if route.Class != class {
			continue
		}
		if rand.Float64() >= route.Share {
			return false
		}
		if route.Rate < 0 {
			return true
		}
		now, size := time.Now(), max(1, 2*route.Rate)
		b := g.buckets[class]
		if b == nil {
			b = &bucket{size, now}
			g.buckets[class] = b
		}
		b.tokens = min(size, b.tokens+route.Rate*now.Sub(b.at).Seconds())
		b.at = now
		if b.tokens < 1 {
			return false
		}
		b.tokens--
		return true
	}
	return true
}

// run serves until the context ends. The gateway goes on by its tables while it has no coordinator.
func (g *gateway) run(ctx context.Context) {
	g.counts, g.arrived, g.rejected, g.buckets = map[string]map[string]*count{}, map[string]int{}, map[string]int{}, map[string]*bucket{}
	updates := make(chan client.Update, 64)
	go func() {
		reader := client.NewReader(g.tableDir, g.name)
		for ; ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
			for _, u := range reader.Poll() {
				g.mu.Lock()
				g.tables.Apply(u)
				g.mu.Unlock()
				select {
				case updates <- u:
				default:
				}
			}
		}
	}()
	go g.link(ctx, updates)
	transport := &http.Client{Timeout: 2 * time.Second}
	for ctx.Err() == nil {
		time.Sleep(time.Duration(rand.ExpFloat64() / g.rate * float64(time.Second)))
		class := g.classes[rand.IntN(len(g.classes))]
		if addr, reason := g.pick(class); addr != "" {
			go g.send(transport, class, addr)
		} else {
			g.scene.request(time.Now(), g.name, class, "nobody", reason)
		}
	}
}

// pick draws a line of the class's table by weight, or says why it rejects the request. An endpoint that is withheld gets nothing.
func (g *gateway) pick(class string) (addr, reason string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.arrived[class]++
	if !g.admits(class) {
		g.rejected[class]++
		return "", "not admitted"
	}
	for _, cluster := range g.tables.Snapshot.Clusters {
		if cluster.Class != class {
			continue
		}
		total := 0.0
		for _, e := range cluster.Endpoints {
			if !e.Withheld {
				total += e.Weight
			}
		}
		draw := rand.Float64() * total
		for _, e := range cluster.Endpoints {
			if e.Withheld {
				continue
			}
			if draw -= e.Weight; draw <= 0 {
				g.sent++
				return string(e.Endpoint), ""
			}
		}
	}
	g.unsent++
	g.rejected[class]++
	return "", "no line to pick"
}

// send sends one request and counts its result.
func (g *gateway) send(c *http.Client, class, addr string) {
	sent := time.Now()
	request, _ := http.NewRequest(http.MethodPost, "http://"+addr+"/work", nil)
	request.Header.Set("class", class)
	request.Header.Set("zone", g.zone)
	response, err := c.Do(request)
	if err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	failed := err != nil || response.StatusCode != http.StatusOK
	result := "answered"
	if failed {
		result = "failed"
	}
	g.scene.request(sent, g.name, class, addr, result)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.counts[class] == nil {
		g.counts[class] = map[string]*count{}
	}
	n := g.counts[class][addr]
	if n == nil {
		n = &count{}
		g.counts[class][addr] = n
	}
	n.attempts++
	if failed {
		n.failures++
	}
}

// link keeps the connection to the coordinator: it joins, acknowledges each update, and reports each second.
func (g *gateway) link(ctx context.Context, updates chan client.Update) {
	for ; ctx.Err() == nil; time.Sleep(500 * time.Millisecond) {
		l := client.NewLink(client.Options{Node: xds.Node{Name: g.name, Zone: g.zone, UsualRate: g.rate}, Coordinator: g.coordinator})
		if l.Join(ctx, g.current()) == nil {
			g.setJoined(true)
			g.exchange(ctx, l, updates)
			g.setJoined(false)
		}
		l.Close()
	}
}

func (g *gateway) exchange(ctx context.Context, l *client.Link, updates chan client.Update) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		var err error
		select {
		case <-ctx.Done():
			return
		case u := <-updates:
			err = g.acknowledge(ctx, l, u)
		case <-ticker.C:
			_, err = l.Report(ctx, time.Second, g.report())
		}
		if _, rejected := err.(*client.RejectedError); err != nil && !rejected {
			return
		}
	}
}

// acknowledge acknowledges an update, again after a second while the coordinator is busy.
func (g *gateway) acknowledge(ctx context.Context, l *client.Link, u client.Update) error {
	for {
		g.mu.Lock()
		silent := g.silent
		g.mu.Unlock()
		if silent {
			return nil
		}
		err := l.Acknowledge(ctx, u, g.current())
		if rejected, is := err.(*client.RejectedError); !is || rejected.StatusCode != http.StatusServiceUnavailable {
			return err
		}
		time.Sleep(time.Second)
	}
}

// setSilent makes the gateway withhold its acknowledgements.
func (g *gateway) setSilent(silent bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.silent = silent
}

// counted returns the requests that were sent and those for which there was no line.
func (g *gateway) counted() (sent, unsent int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.sent, g.unsent
}

// report returns the counts since the last report.
func (g *gateway) report() (classes []xds.ClassReport) {
	g.mu.Lock()
	defer g.mu.Unlock()
	zones := map[string]string{}
	for _, cluster := range g.tables.Snapshot.Clusters {
		for _, e := range cluster.Endpoints {
			zones[string(e.Endpoint)] = string(e.Zone)
		}
	}
	for _, class := range g.classes {
		r := xds.ClassReport{Class: class, Arrived: g.arrived[class], Rejected: g.rejected[class]}
		for addr, n := range g.counts[class] {
			r.Failures += n.failures
			r.Endpoints = append(r.Endpoints, xds.EndpointReport{Address: addr, Zone: zones[addr], Attempts: n.attempts, Failures: n.failures,
				MeanLatency: 6 * time.Millisecond, Metrics: map[string]float64{"util": 0.2, "queue": 0}, MetricSamples: n.attempts})
		}
		classes = append(classes, r)
	}
	g.counts, g.arrived, g.rejected = map[string]map[string]*count{}, map[string]int{}, map[string]int{}
	return classes
}

func (g *gateway) current() client.Tables {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tables
}

func (g *gateway) setJoined(joined bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.joined = joined
}

// lines returns the open lines of the gateway's tables, by class.
func (g *gateway) lines() (text string) {
	for _, cluster := range g.current().Snapshot.Clusters {
		text += cluster.Class + ":"
		for _, e := range cluster.Endpoints {
			if !e.Withheld {
				text += fmt.Sprintf(" %s=%.3g", e.Endpoint, e.Weight)
			}
		}
		text += "; "
	}
	return text
}

// has reports whether the gateway's tables have an open line for an endpoint.
func (g *gateway) has(addr string) bool {
	for _, cluster := range g.current().Snapshot.Clusters {
		for _, e := range cluster.Endpoints {
			if string(e.Endpoint) == addr && !e.Withheld {
				return true
			}
		}
	}
	return false
}

// open returns the number of open lines of a class.
func (g *gateway) open(class string) int { return g.current().Snapshot.OpenEndpoints(class) }

func (g *gateway) isJoined() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.joined
}
