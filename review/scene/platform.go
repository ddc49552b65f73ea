//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// host is an entry of discovery's list.
type host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	Born   int64   `json:"born_ms"`
}

// discovery serves the list of backends, whole or as a watch.
type discovery struct {
	addr string

	mu      sync.Mutex // guards the fields below
	seq     int
	hosts   []host
	changed map[string]int // by host: the version of its last change
	told    time.Time      // when the last change was written to a watch
	wake    chan struct{}  // closed with each change
}

func newDiscovery(hosts []host) *discovery {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	need(err == nil, "discovery: %v", err)
	d := &discovery{addr: l.Addr().String(), seq: 1, hosts: hosts, changed: map[string]int{}, wake: make(chan struct{})}
	go func() { _ = http.Serve(l, d) }()
	return d
}

// text returns the list, or the entries that changed after a version.
func (d *discovery) text(from int, whole bool) (text []byte, seq int, wake chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	hosts := []host{}
	for _, h := range d.hosts {
		if whole || d.changed[h.Host] > from {
			hosts = append(hosts, h)
		}
	}
	text, _ = json.Marshal(map[string]any{"seq": d.seq, "whole": whole, "hosts": hosts})
	return append(text, '\n'), d.seq, d.wake
}

// ServeHTTP answers a call for the list, and writes a watch a line for each change and an empty one every 2 s.
func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("watch") == "" {
		text, _, _ := d.text(0, true)
		_, _ = w.Write(text)
		return
	}
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	text, seq, wake := d.text(from, from == 0)
	for {
		if _, err := w.Write(text); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		if len(text) > 1 {
			d.mu.Lock()
			d.told = time.Now()
			d.mu.Unlock()
		}
		text = []byte("\n")
		select {
		case <-r.Context().Done():
			return
		case <-time.After(2 * time.Second):
		case <-wake:
			text, seq, wake = d.text(seq, false)
		}
	}
}

// setHealth changes the state of some backends.
func (d *discovery) setHealth(health string, names ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seq++
	for i, h := range d.hosts {
		if slices.Contains(names, h.Host) {
			d.hosts[i].Health = health
			d.changed[h.Host] = d.seq
		}
	}
	close(d.wake)
	d.wake = make(chan struct{})
}

// message encodes a message of the protocol.
func message(words ...string) []byte {
	text := fmt.Sprintf("*%d\r\n", len(words))
	for _, w := range words {
		text += fmt.Sprintf("$%d\r\n%s\r\n", len(w), w)
	}
	return []byte(text)
}

// readMessage reads a message of the protocol.
func readMessage(r *bufio.Reader) (words []string, err error) {
	length := func(prefix byte) (int, error) {
		line, err := r.ReadString('\n')
		if err != nil {
			return 0, err
		}
		if line = strings.TrimSpace(line); line == "" || line[0] != prefix {
			return 0, fmt.Errorf("unreadable: %q", line)
		}
		return strconv.Atoi(line[1:])
	}
	n, err := length('*')
	for range n {
		size, err := length('$')
		if err != nil {
			return nil, err
		}
		text := make([]byte, size+2)
		if _, err := io.ReadFull(r, text); err != nil {
			return nil, err
		}
		words = append(words, string(text[:size]))
	}
	return words, err
}

// proxy is a proxy of the platform: it follows its tables and spreads requests by weight.
type proxy struct {
	p      *platform
	number int
	zone   string

	mu      sync.Mutex                    // guards the fields below
	tables  map[string]map[string]float64 // by class and backend
	dropped map[string]bool
	conn    net.Conn
	cut     bool // its first stream was cut off: redial dials
	joined  bool // the coordinator has sent it a message on its present stream
	refused int  // dials that the coordinator did not take
	counts  map[string]int
}

// platform is a small deployment of porthub node.
type platform struct {
	*scene
	addr      string
	node      *process
	discovery *discovery
	backends  map[string]*backend
	proxies   []*proxy
	client    *http.Client

	mu     sync.Mutex                // guards the fields below
	silent []net.Conn                // connections that stay open and silent
	tries  map[string]map[string]int // by zone and backend, since the last report
	failed map[string]map[string]int
}

// newPlatform starts discovery and the backends: per zone so many.
func newPlatform(s *scene, perZone, proxies int) *platform {
	p := &platform{scene: s, addr: freePort(), backends: map[string]*backend{}, tries: map[string]map[string]int{}, failed: map[string]map[string]int{},
		client: &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	var hosts []host
	for _, zone := range zones {
		p.tries[zone], p.failed[zone] = map[string]int{}, map[string]int{}
		for i := range perZone {
			b := newBackend(zone)
			name := fmt.Sprintf("s-%s%d", zone[5:], i)
			p.backends[name] = b
			hosts = append(hosts, host{name, b.addr, zone, "std-2c", i, "Ready", 1, 0})
		}
	}
	p.discovery = newDiscovery(hosts)
	for i := range proxies {
		p.proxies = append(p.proxies, &proxy{p: p, number: i, zone: zones[i%len(zones)]})
	}
	return p
}

// startNode starts the coordinator by the run line of the deploy file, with a limit on descriptors.
func (p *platform) startNode(sockets int) {
	known, _, _ := p.discovery.text(0, true)
	class := func(name, effect string, points float64) map[string]any {
		return map[string]any{"name": name, "effect": effect, "hardLimit": 2500000, "slo": 750000, "points": points, "keyScope": "all"}
	}
	config := p.writeJSON("node.json", map[string]any{
		"name": "n0", "listen": p.addr, "discovery": p.discovery.addr, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": sockets},
		"known":  json.RawMessage(known),
		"settings": map[string]any{
			"az": "hala-a", "localities": zones, "me": 0, "instances": 1, "discovery": "ask", "weights": "rough", "resolution": 4000,
			"caps": map[string]any{"probes": false, "peers": false, "connectTimeout": 250000},
			"domain": map[string]any{"dataPlaneSize": len(p.proxies), "emptyFor": 5300000, "envelope": 6.0, "ingestRate": 400.0, "levelKind": "rate", "linesPerS": 17000.0,
				"outlierAfter": 5, "period": 1000000, "queueCap": 34000.0, "reloadSpan": 10000000, "updateCap": 20, "socketsMin": 200.0, "transit": 200000, "worstTransit": 500000},
			"guarantees": map[string]any{"askWithin": 10000000, "cold": 17000000, "coldFrom": 0.16, "drainGrace": 3000000, "fall": 2000000, "tipMultiple": 2.5},
			"loadInfo":   map[string]any{"fields": []string{"busy", "q"}, "source": "inline"},
			"profiles":   []any{class("schedule", "repeatable", 1), class("save-sim", "once", 2)},
			"shapes":     []string{"std-2c"},
		},
	})
	p.node = p.start("node", fmt.Sprintf("ulimit -n %d; NODE_CONFIG=%s exec bin/porthub node", sockets, config))
	need(waitListening(p.addr, 10*time.Second), "the coordinator does not listen")
}

// run joins the coordinator and sends a request a second; it dials again 0.5 to 2 s after its stream has ended.
func (x *proxy) run() {
	x.tables, x.dropped, x.counts = map[string]map[string]float64{}, map[string]bool{}, map[string]int{}
	for _, class := range []string{"schedule", "save-sim"} {
		x.tables[class] = map[string]float64{}
		for name, b := range x.p.backends { // the table that it starts with: backends of its own zone
			if b.zone == x.zone {
				x.tables[class][name] = 1
			}
		}
	}
	go func() {
		for standing := "1"; ; standing = "0" {
			x.stream(standing)
			x.mu.Lock()
			cut := x.cut
			x.mu.Unlock()
			if cut {
				return
			}
			time.Sleep(500*time.Millisecond + time.Duration(rand.IntN(1500))*time.Millisecond)
		}
	}()
	time.Sleep(time.Duration(rand.IntN(1000)) * time.Millisecond)
	for ; ; time.Sleep(time.Second) {
		class := []string{"schedule", "save-sim"}[rand.IntN(2)]
		if name := x.pick(class); name != "" {
			x.send(class, name)
		}
		x.usage()
	}
}

// stream dials, joins, and applies the messages that come until the stream ends.
func (x *proxy) stream(standing string) {
	c, err := net.DialTimeout("tcp", x.p.addr, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	x.mu.Lock()
	x.conn, x.joined = c, false
	x.mu.Unlock()
	_, _ = c.Write(message("SUBSCRIBE", "sidecar", strconv.Itoa(x.number), "az", x.zone, "share", "1", "standing", standing))
	r := bufio.NewReader(c)
	for {
		words, err := readMessage(r)
		if err != nil || words[0] != "CONFIG" {
			x.mu.Lock()
			if x.conn == c && !x.joined {
				x.refused++
			}
			x.mu.Unlock()
			return
		}
		x.apply(c, words[1:])
	}
}

// apply applies one part of a message and answers its mark.
func (x *proxy) apply(c net.Conn, fields []string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.conn != c {
		return // the stream was cut off
	}
	x.joined = true
	value := map[string]string{}
	for i := 0; i+1 < len(fields); i += 2 {
		value[fields[i]] = fields[i+1]
	}
	named := []string{"schedule", "save-sim"}
	if value["for"] != "" {
		named = strings.Split(value["for"], "+")
	}
	for _, class := range named {
		if value["replace"] == "1" {
			x.tables[class] = map[string]float64{}
		}
		for row := range strings.SplitSeq(value["rows"], ",") {
			name, weight, ok := strings.Cut(row, ":")
			if !ok {
				continue
			}
			w, _ := strconv.ParseFloat(weight, 64)
			if x.tables[class][name] = w; w == 0 {
				delete(x.tables[class], name)
			}
		}
	}
	for name := range strings.SplitSeq(value["drop"], ",") {
		x.dropped[name] = true
	}
	for name := range strings.SplitSeq(value["undrop"], ",") {
		delete(x.dropped, name)
	}
	if stamp := value["stamp"]; stamp != "" {
		lag := 100 + rand.IntN(200)
		time.AfterFunc(time.Duration(lag)*time.Millisecond, func() {
			x.mu.Lock()
			defer x.mu.Unlock()
			if x.conn == c {
				_, _ = c.Write(message("ACK", "sidecar", strconv.Itoa(x.number), "version", stamp, "lag_ms", strconv.Itoa(lag)))
			}
		})
	}
}

// pick draws a backend of the class's table by weight.
func (x *proxy) pick(class string) string {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.counts[class]++
	total := 0.0
	for name, w := range x.tables[class] {
		if !x.dropped[name] {
			total += w
		}
	}
	draw := rand.Float64() * total
	for name, w := range x.tables[class] {
		if x.dropped[name] {
			continue
		}
		if draw -= w; draw <= 0 {
			return name
		}
	}
	return ""
}

// send sends one request to a backend.
func (x *proxy) send(class, name string) {
	sent := time.Now()
	request, _ := http.NewRequest(http.MethodPost, "http://"+x.p.backends[name].addr+"/work", nil)
	request.Header.Set("class", class)
	request.Header.Set("zone", x.zone)
	response, err := x.p.client.Do(request)
	result := "answered"
	if err != nil {
		result = "failed"
	} else {
		_ = response.Body.Close()
	}
	x.p.request(sent, fmt.Sprintf("proxy %d", x.number), class, name, result)
	x.p.mu.Lock()
	defer x.p.mu.Unlock()
	x.p.tries[x.zone][name]++
	if err != nil {
		x.p.failed[x.zone][name]++
	}
}

// usage reports the requests that came, on the stream.
func (x *proxy) usage() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.conn == nil || !x.joined {
		return
	}
	for class, n := range x.counts {
		_, _ = x.conn.Write(message("RATE", "sidecar", strconv.Itoa(x.number), "kind", class, "n", strconv.Itoa(n), "bad", "0", "window", "1000.0"))
	}
	x.counts = map[string]int{}
}

// cutOff leaves the proxy's stream open and silent; the proxy dials again when it has noticed, after a second.
func (x *proxy) cutOff() (silent net.Conn) {
	x.mu.Lock()
	silent, x.conn, x.joined, x.cut = x.conn, nil, false, true
	x.mu.Unlock()
	time.AfterFunc(time.Second, func() { go x.redial() })
	return silent
}

// redial joins on a new connection until it is taken.
func (x *proxy) redial() {
	for {
		x.stream("0")
		time.Sleep(500*time.Millisecond + time.Duration(rand.IntN(1500))*time.Millisecond)
	}
}

// collect passes the reports of a zone on each second, until cut is closed: then the connection stays open and silent.
func (p *platform) collect(zone string, cut chan struct{}) {
	for {
		c, err := net.DialTimeout("tcp", p.addr, time.Second)
		if err != nil {
			time.Sleep(time.Second)
			continue
		}
		_, _ = c.Write(message("SOURCE", "az", zone))
		for {
			select {
			case <-cut:
				p.mu.Lock()
				defer p.mu.Unlock()
				p.silent = append(p.silent, c) // kept, so that nothing closes it
				return
			case <-time.After(time.Second):
			}
			if _, err := c.Write(p.report(zone)); err != nil {
				_ = c.Close()
				break
			}
		}
	}
}

// report returns the LOAD messages of a zone.
func (p *platform) report(zone string) (text []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, n := range p.tries[zone] {
		text = append(text, message("LOAD", "az", zone, "host", name, "n", strconv.Itoa(n), "bad", strconv.Itoa(p.failed[zone][name]), "avg", "6.0", "window", "1000.0", "report", "busy:0.3,q:0")...)
	}
	p.tries[zone], p.failed[zone] = map[string]int{}, map[string]int{}
	return text
}

// joinedProxies returns how many proxies have been sent a message on their present stream.
func (p *platform) joinedProxies() (n int) {
	for _, x := range p.proxies {
		x.mu.Lock()
		if x.joined {
			n++
		}
		x.mu.Unlock()
	}
	return n
}
