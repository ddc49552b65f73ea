// Package audit judges the five rules by what passed over the sockets and through the files: what gateways sent, what
// arrived and took effect at calc nodes, which files gateways read and acknowledged, and what the node list said. It
// never asks the coordinator.
package audit

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"porthub/routing"
)

// Limits are the figures of the rules and of the request kinds.
type Limits struct {
	EmptyTableLimit, DrainGracePeriod time.Duration
	WarmUp                            time.Duration
	InitialCapacity                   float64
	OverloadFactor                    float64
	OverloadWindow                    time.Duration
	DrainAppliesToRemoved             bool
	QueueLimit                        float64
	MessageOverhead                   float64
	MessageLimit                      int
	MessageWindow                     time.Duration
	Classes                           []Class
	WithoutCoordinator                bool // tables come without a coordinator: what a gateway holds it knows
}

// Class is one request kind. A non-replayable one must not take effect twice by repeats of one client try.
type Class struct {
	Name       string
	Idempotent bool // may run anywhere again
	Zones      []string
}

// Rule names, as scripts have them.
const (
	EmptyTable      = "bare"
	DuplicateEffect = "repeat"
	Drain           = "drain"
	WarmUp          = "cold"
	Queue           = "queue"
)

// Rules lists their names in order.
var Rules = []string{EmptyTable, DuplicateEffect, Drain, WarmUp, Queue}

// Verdict is how one rule was kept. Nearest is the part of its limit that was used at the worst moment.
type Verdict struct {
	Satisfied bool    `json:"kept"`
	PeakUsage float64 `json:"nearest"`
	Detail    string  `json:"where,omitempty"`
}

// EndpointState is what the node list says of a node.
type EndpointState int

const (
	Absent EndpointState = iota
	Ready
	Draining
)

// Log takes down what passes. Times are since the run's start. It is safe for many goroutines.
type Log struct {
	mu      sync.Mutex
	limits  Limits
	sent    []send
	effects map[effectKey]int
	twice   []effectKey
	nodes   map[string]*nodeLog
	gws     map[string]*gatewayLog
	lists   []listed
	ups     []span // coordinator
	orders  *hdrhistogram.Histogram
	partial int
	reads   int
}

type span struct{ from, to time.Duration } // to 0: still

type send struct {
	at       time.Duration
	gw, node string
}

type effectKey struct {
	req  uint64
	try  int
	kind string
}

type nodeLog struct {
	zone    string
	cores   float64
	starts  []time.Duration
	arrived []arrival
}

type arrival struct {
	at   time.Duration
	work float64 // core seconds
	gw   string
}

type gatewayLog struct {
	joined []span
	reads  []read
	held   routing.Snapshot
	acks   []ack
}

type read struct {
	at, written time.Duration
	epoch       string
	number      int
	lines       int
	open        map[string]int
}

type ack struct {
	at     time.Duration
	epoch  string
	number int
}

type listed struct {
	at     time.Duration
	states map[string]EndpointState
	warm   map[string]time.Duration // launched, by the list; below 0: long ago
	zones  map[string]string
}

// NewLog starts a log.
func NewLog(limits Limits) *Log {
	return &Log{limits: limits, effects: map[effectKey]int{}, nodes: map[string]*nodeLog{}, gws: map[string]*gatewayLog{},
		orders: hdrhistogram.New(1, 60_000_000, 3)}
}

func (l *Log) node(name string) *nodeLog {
	n := l.nodes[name]
	if n == nil {
		n = &nodeLog{}
		l.nodes[name] = n
	}
	return n
}

func (l *Log) gateway(name string) *gatewayLog {
	g := l.gws[name]
	if g == nil {
		g = &gatewayLog{}
		l.gws[name] = g
	}
	return g
}

// EndpointStarted says that a node's process began; cold tells whether it has to warm up.
func (l *Log) EndpointStarted(at time.Duration, node, zone string, cores int, cold bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.node(node)
	n.zone, n.cores = zone, float64(cores)
	if cold {
		n.starts = append(n.starts, at)
	}
}

// WorkArrived says that work came to a node from a gateway, in core seconds.
func (l *Log) WorkArrived(at time.Duration, node, gw string, work float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.node(node)
	n.arrived = append(n.arrived, arrival{at, work, gw})
}

// RequestExecuted says that a req has run at a node: the client's try number tells the client's repeats from the gateway's.
func (l *Log) RequestExecuted(kind string, req uint64, clientTry int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := effectKey{req, clientTry, kind}
	if l.effects[k]++; l.effects[k] == 2 {
		l.twice = append(l.twice, k)
	}
}

// RequestSent says that a gateway sent something to a node.
func (l *Log) RequestSent(at time.Duration, gw, node string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent = append(l.sent, send{at, gw, node})
}

// GatewayConnected says that a gateway's link to the coordinator stands or broke.
func (l *Log) GatewayConnected(at time.Duration, gw string, on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.gateway(gw)
	g.joined = toggle(g.joined, at, on)
}

// CoordinatorRunning says that its process came up or died.
func (l *Log) CoordinatorRunning(at time.Duration, on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ups = toggle(l.ups, at, on)
}

func toggle(spans []span, at time.Duration, on bool) []span {
	open := len(spans) > 0 && spans[len(spans)-1].to == 0
	switch {
	case on && !open:
		return append(spans, span{from: at})
	case !on && open:
		spans[len(spans)-1].to = at
	}
	return spans
}

// TableApplied says what a gateway has from now on; version and written are the file's, number the message's place.
func (l *Log) TableApplied(at, written time.Duration, gw, version string, s routing.Snapshot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	g := l.gateway(gw)
	r := read{at: at, written: written, open: map[string]int{}}
	r.epoch, r.number = parse(version)
	before := g.held
	if n := len(g.reads); n == 0 || g.reads[n-1].epoch != r.epoch {
		before = routing.Snapshot{} // a start's first message tells all lines, and none that go
	}
	r.lines = routing.ChangeCost(before, s)
	for _, k := range l.limits.Classes {
		r.open[k.Name] = s.OpenEndpoints(k.Name)
	}
	l.reads++
	g.held = s
	g.reads = append(g.reads, r)
	if version != "" && at > written+time.Millisecond/10 { // of a poll's answer it is not known when it was written
		_ = l.orders.RecordValue(max(1, (at - written).Microseconds()))
	}
}

// Restart is one start of the coordinator after its first.
type Restart struct {
	Down, Up time.Duration
	// FirstTable and All are when the first and the last gateway held a table of this start; 0: none, or not all before its end.
	FirstTable, AllTables time.Duration
}

// Restarts lists them.
func (l *Log) Restarts() (out []Restart) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := 1; i < len(l.ups); i++ {
		r := Restart{Down: l.ups[i-1].to, Up: l.ups[i].from}
		all := true
		for _, g := range l.gws {
			first := time.Duration(0)
			before := "" // the version that it held when this start began
			for _, read := range g.reads {
				if read.at < r.Up {
					before = read.epoch
				} else if read.epoch != "" && read.epoch != before && (l.ups[i].to == 0 || read.at < l.ups[i].to) {
					first = read.at
					break
				}
			}
			if first == 0 {
				all = false
				continue
			}
			if r.FirstTable == 0 || first < r.FirstTable {
				r.FirstTable = first
			}
			r.AllTables = max(r.AllTables, first)
		}
		if !all {
			r.AllTables = 0
		}
		out = append(out, r)
	}
	return out
}

// IncompleteDocument says that a gateway read a text that was no whole document.
func (l *Log) IncompleteDocument() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.partial++
}

// VersionAcknowledged says that a gateway has acknowledged a version.
func (l *Log) VersionAcknowledged(at time.Duration, gw, version string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	epoch, n := parse(version)
	l.gateway(gw).acks = append(l.gateway(gw).acks, ack{at, epoch, n})
}

func parse(version string) (epoch string, number int) {
	epoch, text, _ := strings.Cut(version, ".")
	number, _ = strconv.Atoi(text)
	return epoch, number
}

// EndpointList says what the node list held from now on. A launched time below 0 is long ago.
func (l *Log) EndpointList(at time.Duration, states map[string]EndpointState, launched map[string]time.Duration, zones map[string]string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lists = append(l.lists, listed{at, states, launched, zones})
}

// DeliveryLatency are the times from a file's writing to its taking effect at the gateway, in microseconds.
func (l *Log) DeliveryLatency() *hdrhistogram.Histogram {
	l.mu.Lock()
	defer l.mu.Unlock()
	return hdrhistogram.Import(l.orders.Export())
}

// DocumentCounts tells how many documents were read whole and how many were not.
func (l *Log) DocumentCounts() (whole, partial int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reads, l.partial
}

// PeakLoadRatio is the work that came to the busiest node in its busiest second, over the mean of all nodes that run and all
// seconds.
func (l *Log) PeakLoadRatio() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	most, all, seconds := 0.0, 0.0, 0.0
	for _, n := range l.nodes {
		by := map[int]float64{}
		for _, a := range n.arrived {
			by[int(a.at/time.Second)] += a.work
		}
		for _, w := range by {
			most, all, seconds = max(most, w), all+w, seconds+1
		}
	}
	return most / max(all/max(seconds, 1), 1e-9)
}

// Evaluate tells how the rules were kept up to the given time.
func (l *Log) Evaluate(end time.Duration) map[string]Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	return map[string]Verdict{EmptyTable: l.bare(end), DuplicateEffect: l.repeat(), Drain: l.drain(end), WarmUp: l.cold(end), Queue: l.queue(end)}
}

func verdict(nearest float64, where string) Verdict {
	return Verdict{Satisfied: nearest <= 1, PeakUsage: nearest, Detail: where}
}

// during intersects two sets of spans.
func during(a, b []span, end time.Duration) (both []span) {
	for _, x := range a {
		for _, y := range b {
			s := span{max(x.from, y.from), min(until(x, end), until(y, end))}
			if s.from < s.to {
				both = append(both, s)
			}
		}
	}
	return both
}

func until(s span, end time.Duration) time.Duration {
	if s.to == 0 {
		return end
	}
	return s.to
}

// bare: a joined gateway must not go long without a line for a kind while a warm ready node is listed.
func (l *Log) bare(end time.Duration) Verdict {
	worst, where := 0.0, ""
	for _, name := range slices.Sorted(maps.Keys(l.gws)) {
		g := l.gws[name]
		for _, up := range during(g.joined, l.ups, end) {
			for _, k := range l.limits.Classes {
				var since time.Duration = -1
				// The state changes where a file is read or the list changes.
				check := func(at time.Duration) {
					empty := g.open(k.Name, at) == 0 && l.served(k, at)
					if empty && since < 0 {
						since = at
					}
					if since >= 0 {
						if used := float64(at-since) / float64(l.limits.EmptyTableLimit); used > worst {
							worst, where = used, name+" had no line for "+k.Name+" from "+since.Round(time.Millisecond).String()
						}
					}
					if !empty {
						since = -1
					}
				}
				check(up.from)
				var times []time.Duration
				for _, r := range g.reads {
					times = append(times, r.at)
				}
				for _, li := range l.lists {
					times = append(times, li.at)
				}
				slices.Sort(times)
				for _, at := range times {
					if at > up.from && at < up.to {
						check(at)
					}
				}
				check(up.to)
			}
		}
	}
	return verdict(worst, where)
}

// open counts a gateway's lines for a kind at a time; -1 before it held anything we know of.
func (g *gatewayLog) open(kind string, at time.Duration) int {
	n := -1
	for _, r := range g.reads {
		if r.at > at {
			break
		}
		n = r.open[kind]
	}
	return n
}

// served tells whether the list shows a warm ready node that is open to a kind.
func (l *Log) served(k Class, at time.Duration) bool {
	li := l.list(at)
	if li == nil {
		return false
	}
	for node, state := range li.states {
		if state == Ready && at-li.warm[node] >= l.limits.WarmUp &&
			(len(k.Zones) == 0 || slices.Contains(k.Zones, li.zones[node])) {
			return true
		}
	}
	return false
}

func (l *Log) list(at time.Duration) *listed {
	var last *listed
	for i := range l.lists {
		if l.lists[i].at <= at {
			last = &l.lists[i]
		}
	}
	return last
}

// repeat: what gateways repeat by themselves must not take effect twice.
func (l *Log) repeat() Verdict {
	for _, e := range l.twice {
		for _, k := range l.limits.Classes {
			if k.Name == e.kind && !k.Idempotent {
				return Verdict{Satisfied: false, PeakUsage: float64(l.effects[e]), Detail: "a " + e.kind + " ran " +
					strconv.Itoa(l.effects[e]) + " times on one client try"}
			}
		}
	}
	return Verdict{Satisfied: true}
}

// drain: nothing is sent to a draining or gone node past the grace. It runs from the list's word, the coordinator's
// start or the gateway's joining, whichever is latest.
func (l *Log) drain(end time.Duration) Verdict {
	worst, where := 0.0, ""
	since := map[string]time.Duration{} // closed since, by node, as the list goes on
	type change struct {
		at     time.Duration
		node   string
		closed bool
	}
	var changes []change
	known := map[string]EndpointState{}
	for _, li := range l.lists {
		for node := range union(known, li.states) {
			was, is := known[node], li.states[node]
			closed := func(s EndpointState) bool { return s == Draining || s == Absent && l.limits.DrainAppliesToRemoved }
			if _, ever := known[node]; (ever || is != Absent) && (closed(is) != closed(was) || !ever && closed(is)) {
				changes = append(changes, change{li.at, node, closed(is)})
			}
			known[node] = is
		}
	}
	sends := slices.Clone(l.sent)
	slices.SortStableFunc(sends, func(a, b send) int { return cmp.Compare(a.at, b.at) })
	joined := map[string][]span{}
	for name, g := range l.gws {
		joined[name] = during(g.joined, l.ups, end)
	}
	i := 0
	for _, s := range sends {
		for ; i < len(changes) && changes[i].at <= s.at; i++ {
			if changes[i].closed {
				since[changes[i].node] = changes[i].at
			} else {
				delete(since, changes[i].node)
			}
		}
		told, closed := since[s.node]
		if !closed {
			continue
		}
		for _, up := range joined[s.gw] {
			if s.at < up.from || s.at >= up.to {
				continue
			}
			late := s.at - max(told, up.from)
			if used := float64(late) / float64(l.limits.DrainGracePeriod); used > worst {
				worst, where = used, s.gw+" sent to "+s.node+" "+late.Round(time.Millisecond).String()+" after it was told, at "+s.at.Round(time.Millisecond).String()+", joined at "+up.from.Round(time.Millisecond).String()
			}
		}
	}
	return verdict(worst, where)
}

func union(a, b map[string]EndpointState) map[string]bool {
	all := map[string]bool{}
	for k := range a {
		all[k] = true
	}
	for k := range b {
		all[k] = true
	}
	return all
}

// cold: within any window the work that comes to a cold node stays under the multiple of what it can do; two reqs'
// work is left for chance. It counts where two thirds of the work came from gateways that knew: whose last file was
// written after the list had named the start, or whose coordinator had known of it for the grace. What the others
// send, nobody could have told them; what the knowing send alone must stay under the limit too.
func (l *Log) cold(end time.Duration) Verdict {
	worst, where := 0.0, ""
	for _, name := range slices.Sorted(maps.Keys(l.nodes)) {
		n := l.nodes[name]
		mean := 0.0
		for i, a := range n.arrived {
			mean += (a.work - mean) / float64(i+1)
		}
		for _, start := range n.starts {
			told := l.told(name, start)
			var window []arrival
			var knew []bool
			sum, knowing := 0.0, 0.0
			for _, a := range n.arrived {
				if a.at < start || a.at-start >= l.limits.WarmUp {
					continue
				}
				k := told >= 0 && l.knows(l.gws[a.gw], told, a.at, end)
				if window, knew, sum = append(window, a), append(knew, k), sum+a.work; k {
					knowing += a.work
				}
				for a.at-window[0].at > l.limits.OverloadWindow {
					if sum -= window[0].work; knew[0] {
						knowing -= window[0].work
					}
					window, knew = window[1:], knew[1:]
				}
				warmth := l.limits.InitialCapacity + (1-l.limits.InitialCapacity)*float64(a.at-start)/float64(l.limits.WarmUp)
				can := l.limits.OverloadFactor * warmth * n.cores * l.limits.OverloadWindow.Seconds()
				counted := knowing
				if knowing >= 2*sum/3 {
					counted = sum
				}
				if used := counted / (can + 2*mean); used > worst {
					worst = used
					where = name + " " + (a.at - start).Round(time.Millisecond).String() + " after its start: " +
						strconv.FormatFloat(sum, 'f', 2, 64) + " of " + strconv.FormatFloat(can, 'f', 2, 64) + " core seconds, " +
						strconv.FormatFloat(knowing, 'f', 2, 64) + " knowingly"
				}
			}
		}
	}
	return verdict(worst, where)
}

// told is when the list first named a node with a start that is not older than the given one; -1: never.
func (l *Log) told(node string, start time.Duration) time.Duration {
	for _, li := range l.lists {
		if li.at >= start && li.states[node] == Ready && li.warm[node] >= start {
			return li.at
		}
	}
	return -1
}

// knows tells whether what a gateway sends at a time is sent knowing of what the list told.
func (l *Log) knows(g *gatewayLog, told, at, end time.Duration) bool {
	if g == nil {
		return false
	}
	for _, up := range during(g.joined, l.ups, end) {
		if at >= up.from && at < up.to && at-max(told, up.from) > l.limits.DrainGracePeriod {
			return true
		}
	}
	last := time.Duration(-1)
	for _, r := range g.reads {
		if r.at > at {
			break
		}
		if r.epoch != "" || l.limits.WithoutCoordinator {
			last = r.written
		}
	}
	return last > told
}

// queue: messages to one gateway in a span, and lines on their way to all.
func (l *Log) queue(end time.Duration) Verdict {
	worst, where := 0.0, ""
	type step struct {
		at    time.Duration
		gw    string
		lines float64 // above 0: written, -1: acknowledged up to number, -2: link broke
		n     int
		epoch string
	}
	var steps []step
	for _, name := range slices.Sorted(maps.Keys(l.gws)) {
		g := l.gws[name]
		seen := map[string]bool{}
		for i, r := range g.reads {
			if r.epoch == "" {
				continue
			}
			key := r.epoch + "." + strconv.Itoa(r.number)
			if head := l.limits.MessageOverhead; !seen[key] {
				steps = append(steps, step{r.written, name, float64(r.lines) + head, r.number, r.epoch})
				seen[key] = true
			} else {
				steps = append(steps, step{r.written, name, float64(r.lines), r.number, r.epoch})
			}
			if l.limits.MessageLimit == 0 {
				continue
			}
			// Numbers count a gateway's messages, so that those are counted too that were overtaken before it read them.
			first, before := r.number, false
			for j := i; j >= 0 && g.reads[j].epoch == r.epoch; j-- {
				if first = min(first, g.reads[j].number); r.written-g.reads[j].written > l.limits.MessageWindow {
					first, before = max(first, g.reads[j].number), true
					break
				}
			}
			count := r.number - first
			if !before {
				count++
			}
			if used := float64(count) / float64(l.limits.MessageLimit); used > worst {
				worst, where = used, name+" was sent "+strconv.Itoa(count)+" messages by "+r.written.Round(time.Millisecond).String()
			}
		}
		for _, a := range g.acks {
			steps = append(steps, step{a.at, name, -1, a.number, a.epoch})
		}
		for _, s := range g.joined {
			if s.to > 0 {
				steps = append(steps, step{s.to, name, -2, 0, ""})
			}
		}
	}
	slices.SortStableFunc(steps, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	type posted struct {
		n     int
		epoch string
		lines float64
	}
	waiting, sum := map[string][]posted{}, 0.0
	for _, s := range steps {
		switch {
		case s.lines >= 0:
			waiting[s.gw], sum = append(waiting[s.gw], posted{s.n, s.epoch, s.lines}), sum+s.lines
			if used := sum / l.limits.QueueLimit; used > worst {
				worst, where = used, strconv.FormatFloat(sum, 'f', 0, 64)+" lines on their way at "+s.at.Round(time.Millisecond).String()
			}
		default:
			waiting[s.gw] = slices.DeleteFunc(waiting[s.gw], func(p posted) bool {
				gone := s.lines == -2 || p.epoch != s.epoch || p.n <= s.n
				if gone {
					sum -= p.lines
				}
				return gone
			})
		}
	}
	return verdict(worst, where)
}
