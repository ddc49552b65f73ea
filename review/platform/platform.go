//go:build review

package main

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// platform is the whole deployment.
type platform struct {
	w            *world
	d            *discovery
	coordinators []*coordinator
	backends     map[string]*backend
	order        []string
	proxies      []*proxy

	mu       sync.Mutex
	tallies  map[tallyKey]*tally
	spoil    string // the next report on this backend has a field that is out of range
	sends    map[string]int
	answered map[string]int
	late     map[string]int
	peak     float64               // the most that a cold backend was knowingly sent, in budgets
	recent   map[string][]coldSend // by cold backend: what was sent within fallWindow
}

// coldSend is a request that was sent to a cold backend.
type coldSend struct {
	at      time.Time
	knowing bool // by a proxy whose orders took account of the start
}

type tallyKey struct{ coordinator, zone, host string }

// tally is what the proxies of a zone met at a backend.
type tally struct {
	n, bad int
	took   time.Duration
}

// layout is the size of a deployment. Traffic of 1 is 156 requests a second from 15 proxies.
type layout struct {
	coordinators, backends, proxies int
	traffic                         float64
}

func newPlatform(w *world, l layout, dir, run string) (*platform, error) {
	p := &platform{w: w, d: newDiscovery(w), backends: map[string]*backend{}, tallies: map[tallyKey]*tally{},
		sends: map[string]int{}, answered: map[string]int{}, late: map[string]int{}, recent: map[string][]coldSend{}}
	for i := range l.backends {
		if err := p.addBackend(fmt.Sprintf("s-%08x", 0x5be20000+i), zones[i%len(zones)], i/len(zones)/3, time.Time{}); err != nil {
			return nil, err
		}
	}
	for i := range l.coordinators {
		c, err := newCoordinator(w, p.d, i, l.coordinators, l.proxies, dir, run)
		if err != nil {
			return nil, err
		}
		p.coordinators = append(p.coordinators, c)
	}
	for i := range l.proxies {
		share := 8.0 * l.traffic
		if i%5 == 0 {
			share = 20 * l.traffic
		}
		p.proxies = append(p.proxies, newProxy(p, i, zones[i%len(zones)], share))
	}
	return p, nil
}

// addBackend starts a backend and lists it as ready. started is the time of its start; zero: long ago.
func (p *platform) addBackend(id, zone string, block int, started time.Time) error {
	b, err := newBackend(id, zone)
	if err != nil {
		return err
	}
	b.startedAt = started
	bornMs := int64(0)
	if !started.IsZero() {
		bornMs = started.UnixMilli()
	}
	p.mu.Lock()
	p.backends[id] = b
	p.order = append(p.order, id)
	p.mu.Unlock()
	p.d.set(hostEntry{Host: id, Dial: b.addr, Site: zone, Class: "std-2c", Block: block, Health: "Ready", Share: 1, BornMs: bornMs})
	return nil
}

// start starts the coordinators, and then the proxies and collectors.
func (p *platform) start(ctx context.Context) error {
	for i, c := range p.coordinators {
		if err := c.writeConfig(p.d.whole(), fmt.Sprintf("8c1f30d27a5be9%02x", i)); err != nil {
			return err
		}
		err := c.start()
		for try := 0; err != nil && try < 3; try++ { // another process may have taken the address meanwhile
			c.stop(true)
			if c.addr, err = freeAddress(); err != nil {
				return err
			}
			if err = c.writeConfig(p.d.whole(), fmt.Sprintf("8c1f30d27a5be9%02x", i)); err == nil {
				err = c.start()
			}
		}
		if err != nil {
			return err
		}
	}
	for _, x := range p.proxies {
		go x.connect(ctx)
		go x.requests(ctx)
		go x.report(ctx)
	}
	for _, c := range p.coordinators {
		for _, zone := range zones {
			go p.collect(ctx, c, zone)
		}
	}
	return nil
}

// reportDelay is how late a collector passes on its sums.
const reportDelay = 600 * time.Millisecond

// collect is the collector of a zone: each period it passes on what the joined proxies met in it.
func (p *platform) collect(ctx context.Context, c *coordinator, zone string) {
	batches := make(chan [][]byte, 16)
	go p.pass(ctx, c, zone, batches)
	began := time.Now()
	ticker := time.NewTicker(reportPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		window := time.Since(began)
		began = time.Now()
		messages := p.reports(c, zone, window)
		time.AfterFunc(reportDelay, func() {
			select {
			case batches <- messages:
			case <-ctx.Done():
			}
		})
	}
}

// pass connects the collector and writes its reports.
func (p *platform) pass(ctx context.Context, c *coordinator, zone string, batches chan [][]byte) {
	var conn net.Conn
	for {
		var messages [][]byte
		select {
		case <-ctx.Done():
			return
		case messages = <-batches:
		}
		if conn == nil {
			made, err := net.DialTimeout("tcp", c.addr, time.Second)
			if err != nil {
				continue
			}
			p.w.own(made)
			conn = made
			messages = append([][]byte{respMessage("SOURCE", "az", zone)}, messages...)
		}
		for _, m := range messages {
			if _, err := conn.Write(m); err != nil {
				_ = conn.Close()
				conn = nil
				break
			}
		}
	}
}

// reports returns and resets what the proxies of a zone met at each backend.
func (p *platform) reports(c *coordinator, zone string, window time.Duration) (messages [][]byte) {
	for _, host := range p.hosts() {
		key := tallyKey{c.name, zone, host}
		p.mu.Lock()
		t := p.tallies[key]
		delete(p.tallies, key)
		p.mu.Unlock()
		if t == nil || t.n == 0 {
			continue
		}
		avg := 0.0
		if good := t.n - t.bad; good > 0 {
			avg = float64(t.took.Microseconds()) / 1000 / float64(good)
		}
		words := []string{"LOAD", "az", zone, "host", host, "n", strconv.Itoa(t.n), "bad", strconv.Itoa(t.bad), "avg", fmt.Sprintf("%.1f", avg),
			"window", fmt.Sprintf("%.1f", float64(window.Microseconds())/1000)}
		if t.bad < t.n {
			util, queue := p.backend(host).load()
			words = append(words, "report", fmt.Sprintf("util:%.2f,queue:%.0f", util, queue))
		}
		if p.spoils(host) {
			words[6] = spoiltTries
			p.w.note("collector of %s sends a spoilt report: %s", zone, strings.Join(words, " "))
		}
		messages = append(messages, respMessage(words...))
	}
	return messages
}

// spoiltTries is the number of tries in a spoilt report.
const spoiltTries = "2000000000"

// spoils reports whether the next report on a backend is to be spoilt, and resets that.
func (p *platform) spoils(host string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	spoil := p.spoil == host
	if spoil {
		p.spoil = ""
	}
	return spoil
}

func (p *platform) count(c *coordinator, zone, host string, failed bool, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := tallyKey{c.name, zone, host}
	t := p.tallies[key]
	if t == nil {
		t = &tally{}
		p.tallies[key] = t
	}
	t.n++
	if failed {
		t.bad++
	} else {
		t.took += took
	}
}

// countAnswer counts a request that a backend has answered.
func (p *platform) countAnswer(host string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answered[host]++
}

// spoilNext spoils the next report on a backend.
func (p *platform) spoilNext(host string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.spoil = host
}

// backend returns a backend by its id, or nil if there is none.
func (p *platform) backend(id string) *backend {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.backends[id]
}

// hosts returns the ids of all backends that were ever listed.
func (p *platform) hosts() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.order...)
}

// hasWarm reports whether the list shows a backend as ready that is no longer cold.
func (p *platform) hasWarm(now time.Time) bool {
	p.d.mu.Lock()
	defer p.d.mu.Unlock()
	for _, e := range p.d.entries {
		if e.Health == "Ready" && now.Sub(time.UnixMilli(e.BornMs)) > coldFor {
			return true
		}
	}
	return false
}

// judgeSend judges the rule on drains at the moment at which a proxy sends.
func (p *platform) judgeSend(x *proxy, s *stream, host, class string, now time.Time) {
	p.mu.Lock()
	p.sends[host]++
	p.mu.Unlock()
	if s == nil || s.isClosed() {
		return // not joined: the rule does not bind
	}
	answered, does := s.c.answeredAt()
	if !does {
		return
	}
	told, is := p.d.toldAt(s.c.name, host)
	if !is {
		return
	}
	begins := told
	for _, at := range []time.Time{s.joinedAt, answered.Add(startSlack)} {
		if at.After(begins) {
			begins = at
		}
	}
	if over := now.Sub(begins); over > drainGrace+slack {
		p.mu.Lock()
		p.late[host]++
		p.mu.Unlock()
		p.w.breaks("drain", "proxy %d, joined to %s, sends a %s request to %s %d ms after %s counts as told", x.id, s.c.name, class, host, over.Milliseconds(), s.c.name)
	}
}

// judgeCold judges the rule on cold backends at the moment at which a proxy sends.
func (p *platform) judgeCold(s *stream, ordered time.Time, host string, now time.Time) {
	e := p.d.entry(host)
	age := now.Sub(time.UnixMilli(e.BornMs))
	if e.BornMs == 0 || age > coldFor || age < 0 {
		return
	}
	knowing := false
	if s != nil {
		if known, has := p.d.knowsStart(s.c.name, host); has {
			knowing = ordered.After(known) || now.Sub(known) > drainGrace+slack
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	sends := append(p.recent[host], coldSend{now, knowing})
	for len(sends) > 0 && now.Sub(sends[0].at) > fallWindow {
		sends = sends[1:]
	}
	p.recent[host] = sends
	knew := 0
	for _, send := range sends {
		if send.knowing {
			knew++
		}
	}
	share := coldFrom + (1-coldFrom)*age.Seconds()/coldFor.Seconds() // at the end of the window, when it is highest
	budget := overload * share * capacity * fallWindow.Seconds()
	if 3*knew >= 2*len(sends) {
		p.peak = max(p.peak, float64(len(sends))/budget)
	}
	if n := len(sends); float64(n) > 1.3*budget+2 && 3*knew >= 2*n {
		p.w.breaks("cold", "%s, started %s ago, was sent %d requests within %s, %d of them knowingly; its budget is %.0f", host, age, n, fallWindow, knew, budget)
	}
}

func (p *platform) stop() {
	for _, c := range p.coordinators {
		c.stop(false)
	}
	for _, b := range p.backends {
		b.stop()
	}
}
