//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// stream is a proxy's connection to a coordinator.
type stream struct {
	c        *coordinator
	conn     net.Conn
	joinedAt time.Time
	sentAt   []time.Time // when messages came, within reloadSpan

	lastArrival time.Time    // used by the channel
	arrivals    chan arrival // messages on their way, in order

	mu     sync.Mutex
	closed bool
}

// arrival is a message that arrives at a time.
type arrival struct {
	at    time.Time
	apply func()
}

// deliver applies the messages that arrive, one after the other.
func (s *stream) deliver(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-s.arrivals:
			time.Sleep(time.Until(a.at))
			a.apply()
		}
	}
}

func (s *stream) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

func (s *stream) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	_ = s.conn.Close()
}

func (s *stream) write(words ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		_, _ = s.conn.Write(respMessage(words...))
	}
}

// tableOf is the table of one class.
type tableOf struct {
	rows  map[string]float64
	due   map[string]float64 // when a line is due, on the table's own clock
	clock float64
}

// proxy is a plain proxy: it follows its tables.
type proxy struct {
	w        *world
	p        *platform
	id       int
	zone     string
	share    float64
	client   *http.Client
	standing bool

	mu        sync.Mutex
	stream    *stream
	tables    map[string]*tableOf
	dropped   map[string]bool
	levels    map[string]float64
	failures  map[string]int
	avoid     map[string]time.Time
	emptyFrom map[string]time.Time
	rates     map[string][2]int // by class: requests and failures of the period
	tokens    map[string]float64
	tokensAt  map[string]time.Time
	orderedAt time.Time // when the last message that was applied was sent
}

func newProxy(p *platform, id int, zone string, share float64) *proxy {
	x := &proxy{w: p.w, p: p, id: id, zone: zone, share: share,
		client: &http.Client{Timeout: time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16, DisableCompression: true}},
		avoid:  map[string]time.Time{}, emptyFrom: map[string]time.Time{}, rates: map[string][2]int{}, tokens: map[string]float64{},
		tokensAt: map[string]time.Time{}, failures: map[string]int{}}
	x.begin()
	return x
}

// begin gives the proxy what it has at its start: up to six listed backends of its zone.
func (x *proxy) begin() {
	x.standing = true
	x.tables, x.dropped, x.levels = map[string]*tableOf{}, map[string]bool{}, map[string]float64{}
	var own, other []string
	for _, e := range x.p.d.whole().Hosts {
		if e.Site == x.zone && e.Health == "Ready" {
			own = append(own, e.Host)
		} else if e.Health == "Ready" {
			other = append(other, e.Host)
		}
	}
	if len(own) < 3 {
		own = append(own, other...)
	}
	rand.Shuffle(len(own), func(i, j int) { own[i], own[j] = own[j], own[i] })
	for _, class := range classes {
		x.tables[class] = &tableOf{rows: map[string]float64{}, due: map[string]float64{}}
		for _, host := range own[:min(6, len(own))] {
			x.tables[class].rows[host] = 1
		}
	}
}

// connect keeps a stream to a coordinator: its home if that answers, else another.
func (x *proxy) connect(ctx context.Context) {
	home := x.id % len(x.p.coordinators)
	for try := 0; ctx.Err() == nil; try++ {
		c := x.p.coordinators[(home+try)%len(x.p.coordinators)]
		if x.join(ctx, c) {
			try = -1
		}
		wait := time.Duration((0.5 + 1.5*rand.Float64()) * float64(time.Second))
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// join serves a stream until it ends, and returns false if it could not be made.
func (x *proxy) join(ctx context.Context, c *coordinator) bool {
	conn, err := net.DialTimeout("tcp", c.addr, time.Second)
	if err != nil {
		return false
	}
	x.w.own(conn)
	s := &stream{c: c, conn: conn, joinedAt: time.Now(), arrivals: make(chan arrival, 4096)}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go s.deliver(ctx)
	x.mu.Lock()
	x.stream = s
	standing := "0"
	if x.standing {
		standing = "1"
	}
	x.mu.Unlock()
	s.write("SUBSCRIBE", "sidecar", strconv.Itoa(x.id), "az", x.zone, "share", fmt.Sprintf("%.1f", x.share), "standing", standing)
	x.w.note("proxy %d joins %s standing=%s", x.id, c.name, standing)
	err = x.read(s)
	s.close()
	x.mu.Lock()
	if x.stream == s {
		x.stream = nil
	}
	clear(x.emptyFrom)
	x.mu.Unlock()
	x.w.note("proxy %d stream to %s ended: %v", x.id, c.name, err)
	return true
}

// part is one part of an order.
type part struct{ fields map[string]string }

func (x *proxy) read(s *stream) error {
	r := bufio.NewReader(s.conn)
	var parts []part
	for {
		words, err := readResp(r)
		if err != nil {
			return err
		}
		if words[0] == "NACK" {
			return fmt.Errorf("NACK")
		}
		if words[0] != "CONFIG" || len(words)%2 != 1 {
			return fmt.Errorf("unreadable order %q", words)
		}
		fields := map[string]string{}
		for i := 1; i+1 < len(words); i += 2 {
			fields[words[i]] = words[i+1]
		}
		parts = append(parts, part{fields})
		if fields["part"] == "1" {
			continue
		}
		if err := x.take(s, parts); err != nil {
			return err
		}
		parts = nil
	}
}

// order is a checked message.
type order struct {
	classes []string
	replace bool
	rows    map[string]float64
	level   float64
	hasGate bool
	drop    []string
	undrop  []string
}

// take checks a message, counts its lines and puts it into the channel.
func (x *proxy) take(s *stream, parts []part) error {
	now := time.Now()
	s.sentAt = append(s.sentAt, now)
	for len(s.sentAt) > 0 && now.Sub(s.sentAt[0]) > reloadSpan {
		s.sentAt = s.sentAt[1:]
	}
	if len(s.sentAt) > updateCap {
		x.w.breaks("messages", "proxy %d got %d messages of %s within %s", x.id, len(s.sentAt), s.c.name, reloadSpan)
	}
	var orders []order
	lines, stamp := 0, ""
	for _, p := range parts {
		o := order{classes: classes, rows: map[string]float64{}}
		for field, value := range p.fields {
			switch field {
			case "for":
				o.classes = strings.Split(value, "+")
			case "replace":
				o.replace = value == "1"
				lines++
			case "rows":
				for _, row := range strings.Split(value, ",") {
					i := strings.LastIndexByte(row, ':')
					if i < 0 {
						return fmt.Errorf("row %q", row)
					}
					weight, err := strconv.ParseFloat(row[i+1:], 64)
					if err != nil || !(weight >= 0) || x.p.backend(row[:i]) == nil {
						return fmt.Errorf("row %q", row)
					}
					o.rows[row[:i]] = weight
					lines++
				}
			case "gate":
				level, err := strconv.ParseFloat(value, 64)
				if err != nil || !(level >= 0) {
					return fmt.Errorf("gate %q", value)
				}
				o.level, o.hasGate = level, true
				lines++
			case "again", "part":
			case "drop":
				o.drop = strings.Split(value, ",")
				lines += len(o.drop)
			case "undrop":
				o.undrop = strings.Split(value, ",")
				lines += len(o.undrop)
			case "stamp":
				stamp = value
				lines++
			default:
				return fmt.Errorf("field %q", field)
			}
		}
		orders = append(orders, o)
	}
	s.c.channel.enter(s, lines, func() { x.apply(s, orders, stamp, now) })
	return nil
}

// apply applies a message that has arrived, and answers its mark.
func (x *proxy) apply(s *stream, orders []order, stamp string, sent time.Time) {
	if s.isClosed() {
		return
	}
	x.mu.Lock()
	if x.stream != s {
		x.mu.Unlock()
		return
	}
	var changes []string
	for _, o := range orders {
		for _, class := range o.classes {
			t := x.tables[class]
			if o.replace {
				t.rows, t.due, t.clock = map[string]float64{}, map[string]float64{}, 0
				delete(x.levels, class)
				x.standing = false
			}
			for host, weight := range o.rows {
				if t.rows[host] != weight {
					delete(t.due, host)
				}
				if weight == 0 {
					delete(t.rows, host)
				} else {
					t.rows[host] = weight
				}
			}
			if o.hasGate {
				x.levels[class] = o.level
			}
		}
		for _, host := range o.drop {
			x.dropped[host] = true
		}
		for _, host := range o.undrop {
			delete(x.dropped, host)
		}
		changes = append(changes, fmt.Sprintf("for=%v replace=%v rows=%v", o.classes, o.replace, o.rows))
	}
	x.orderedAt = sent
	x.checkEmpty(time.Now())
	x.mu.Unlock()
	x.w.note("proxy %d applied a message of %s: %s", x.id, s.c.name, strings.Join(changes, "; "))
	if stamp != "" {
		s.write("ACK", "sidecar", strconv.Itoa(x.id), "version", stamp, "lag_ms", fmt.Sprintf("%.1f", float64(time.Since(sent).Microseconds())/1000))
	}
}

// checkEmpty judges the first rule: no joined proxy is without a line to pick while a warm, open backend is listed as ready.
func (x *proxy) checkEmpty(now time.Time) {
	s := x.stream
	if s == nil || s.isClosed() {
		clear(x.emptyFrom)
		return
	}
	answered, does := s.c.answeredAt()
	if !does {
		clear(x.emptyFrom)
		return
	}
	for _, class := range classes {
		lines := 0
		for host := range x.tables[class].rows {
			if !x.dropped[host] {
				lines++
			}
		}
		from, empty := x.emptyFrom[class]
		switch {
		case lines > 0 || !x.p.hasWarm(now):
			delete(x.emptyFrom, class)
		case !empty:
			x.emptyFrom[class] = now
			x.w.note("proxy %d has no line to pick for %s", x.id, class)
		case now.Sub(from) > emptyFor+slack && now.Sub(answered) > emptyFor+slack+startSlack && now.Sub(s.joinedAt) > emptyFor+slack:
			x.w.breaks("empty", "proxy %d has no line to pick for %s since %s", x.id, class, now.Sub(from))
			x.emptyFrom[class] = now
		}
	}
}

// pick chooses a backend evenly by weight: each line is due again after a time that is the inverse of its weight. A line that is new
// begins at a random point of that time.
func (x *proxy) pick(class string, now time.Time) string {
	t := x.tables[class]
	best := ""
	for host, weight := range t.rows {
		if _, has := t.due[host]; !has {
			t.due[host] = t.clock + rand.Float64()/weight
		}
		if x.dropped[host] || now.Before(x.avoid[host]) {
			continue
		}
		t.due[host] = max(t.due[host], t.clock) // an avoided line does not catch up
		if best == "" || t.due[host] < t.due[best] {
			best = host
		}
	}
	if best != "" {
		t.clock = t.due[best]
		t.due[best] += 1 / t.rows[best]
	}
	return best
}

// requests sends the proxy's requests.
func (x *proxy) requests(ctx context.Context) {
	for {
		wait := time.Duration(rand.ExpFloat64() / x.share * float64(time.Second))
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		class := classes[rand.IntN(len(classes))]
		now := time.Now()
		x.mu.Lock()
		x.checkEmpty(now)
		counts := x.rates[class]
		counts[0]++
		x.rates[class] = counts
		host := ""
		if x.admits(class, now) {
			host = x.pick(class, now)
		}
		s, ordered := x.stream, x.orderedAt
		x.mu.Unlock()
		if host == "" {
			continue
		}
		x.p.judgeSend(x, s, host, class, now)
		x.p.judgeCold(s, ordered, host, now)
		go x.send(ctx, s, class, host)
	}
}

// admits takes a token of the class's level.
func (x *proxy) admits(class string, now time.Time) bool {
	level, has := x.levels[class]
	if !has || level >= 1e5 {
		return true
	}
	full := max(1, 2*level)
	x.tokens[class] = min(full, x.tokens[class]+level*now.Sub(x.tokensAt[class]).Seconds())
	x.tokensAt[class] = now
	if x.tokens[class] < 1 {
		return false
	}
	x.tokens[class]--
	return true
}

func (x *proxy) send(ctx context.Context, s *stream, class, host string) {
	began := time.Now()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+x.p.backend(host).addr+"/work", nil)
	if err != nil {
		return
	}
	response, err := x.client.Do(request)
	if err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	took := time.Since(began)
	failed := err != nil || response.StatusCode != http.StatusOK
	x.mu.Lock()
	if failed {
		x.failures[host]++
		if x.failures[host] >= 5 {
			x.failures[host] = 0
			x.avoid[host] = time.Now().Add(5 * time.Second)
		}
		counts := x.rates[class]
		counts[1]++
		x.rates[class] = counts
	} else {
		x.failures[host] = 0
	}
	x.mu.Unlock()
	if !failed {
		x.p.countAnswer(host)
	}
	if s != nil {
		x.p.count(s.c, x.zone, host, failed, took)
	}
}

// report sends the proxy's usage each period.
func (x *proxy) report(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(reportPeriod):
		}
		x.mu.Lock()
		s, rates := x.stream, x.rates
		x.rates = map[string][2]int{}
		x.checkEmpty(time.Now())
		x.mu.Unlock()
		if s == nil {
			continue
		}
		for _, class := range classes {
			if n := rates[class]; n[0] > 0 {
				s.write("RATE", "sidecar", strconv.Itoa(x.id), "kind", class, "n", strconv.Itoa(n[0]), "bad", strconv.Itoa(n[1]), "window", "1000.0")
			}
		}
	}
}
