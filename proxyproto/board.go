package proxyproto

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"porthub/policyapi"
	"porthub/resp"
)

// Publisher keeps what was ordered, tables by their content and streams by what they were sent, and turns what a reply orders
// into one message for each stream concerned.
type Publisher struct {
	kinds   []string
	tables  map[policyapi.TableID]*table
	all     map[policyapi.RequestClass]gate // levels for all tables
	away    map[policyapi.EndpointID]bool   // withdrawn
	streams map[policyapi.ProxyID]*stream
	shut    map[policyapi.ProxyID]map[policyapi.EndpointID]bool // what a proxy was told to shut out: over a change of streams it keeps them
	before  policyapi.AckID                                     // the last mark on the wire of an earlier board of this coordinator
	last    policyapi.AckID                                     // the module's last, and whether its numbers have come round
	round   bool
}

// gate is a level and the way to try again that goes with it.
type gate struct {
	level float64
	again int
}

type table struct {
	lines map[policyapi.EndpointID]float64
	gates map[policyapi.RequestClass]gate
}

// stream is what was sent on one: by kind the table and the level.
type stream struct {
	bound []*table                      // nil: it goes by what it brought along
	gates []*gate                       // nil: none was sent
	told  map[policyapi.EndpointID]bool // what it was told to shut out on this stream
}

// OutboundMessage is a message for one proxy.
type OutboundMessage struct {
	Proxy         policyapi.ProxyID
	Bytes         []byte
	Lines         int             // without its envelope
	HasWholeTable bool            // it lays a whole table
	AckID         policyapi.AckID // as on the wire
	RequestsAck   bool            // it bears the mark
}

// NewPublisher has no tables and no streams.
func NewPublisher(kinds []policyapi.ClassSettings) *Publisher {
	b := &Publisher{tables: map[policyapi.TableID]*table{}, all: map[policyapi.RequestClass]gate{}, away: map[policyapi.EndpointID]bool{},
		streams: map[policyapi.ProxyID]*stream{}, shut: map[policyapi.ProxyID]map[policyapi.EndpointID]bool{}}
	for _, k := range kinds {
		b.kinds = append(b.kinds, k.Name)
	}
	return b
}

// Restart is the board of a module that takes over from one that has failed: no tables, no streams. What proxies were told to
// shut out they keep, and marks go on where the others ended: an answer to one of those must not pass for one to these.
func (b *Publisher) Restart() *Publisher {
	fresh := NewPublisher(nil)
	fresh.kinds, fresh.shut, fresh.before = b.kinds, b.shut, b.onWire(b.last)
	return fresh
}

// marks is how many numbers the protocol has for them.
const marks = marksMost + 1

func (b *Publisher) onWire(m policyapi.AckID) policyapi.AckID { return (b.before + m) % marks }

// Acknowledge turns a mark on the wire into the module's; false if it is an earlier module's.
func (b *Publisher) Acknowledge(wire policyapi.AckID) (policyapi.AckID, bool) {
	m := (wire - b.before + marks) % marks
	return m, b.round || m > 0 && m <= b.last
}

// Connect takes a proxy's new stream in: nothing has been sent on it. One that holds nothing ordered shuts nothing out either.
func (b *Publisher) Connect(j policyapi.ProxyConnected) {
	b.streams[j.Proxy] = &stream{bound: make([]*table, len(b.kinds)), gates: make([]*gate, len(b.kinds)), told: map[policyapi.EndpointID]bool{}}
	if j.HasDefaultTableOnly {
		delete(b.shut, j.Proxy)
	}
}

// Disconnect ends a proxy's stream.
func (b *Publisher) Disconnect(p policyapi.ProxyID) { delete(b.streams, p) }

// ForgetEndpoints drops what is kept of backends that can't be named any more.
func (b *Publisher) ForgetEndpoints(gone []policyapi.EndpointID) {
	for _, id := range gone {
		delete(b.away, id)
		for _, shut := range b.shut {
			delete(shut, id)
		}
		for _, s := range b.streams {
			delete(s.told, id)
		}
	}
}

// turn is what one reply changes.
type turn struct {
	rows    map[*table]map[policyapi.EndpointID]bool // lines that were ordered, even to what they were
	cleared map[*table]bool
	anew    map[policyapi.ProxyID][]bool // kinds that were bound
	mark    policyapi.AckID
	asks    bool
	asksAll bool

	admitted []bool // by kind: a level was ordered for all tables
}

// Apply carries out a reply's orders, as far as they concern tables and streams, and returns the messages, by proxy.
func (b *Publisher) Apply(orders []policyapi.Order) []OutboundMessage {
	t := turn{rows: map[*table]map[policyapi.EndpointID]bool{}, cleared: map[*table]bool{}, anew: map[policyapi.ProxyID][]bool{},
		admitted: make([]bool, len(b.kinds))}
	touched := false
	for _, order := range orders {
		switch o := order.(type) {
		case policyapi.SetWeight:
			b.line(&t, o)
		case policyapi.ClearTable:
			tb := b.table(o.Table)
			clear(tb.lines)
			clear(tb.gates)
			t.cleared[tb] = true
			delete(t.rows, tb)
		case policyapi.BindProxy:
			b.bind(&t, o)
		case policyapi.EjectEndpoint:
			if b.away[o.Endpoint] = o.Ejected; !o.Ejected {
				delete(b.away, o.Endpoint)
			}
		case policyapi.SetAdmission:
			gates := b.all
			if o.Table != policyapi.AllTables {
				gates = b.table(o.Table).gates
			}
			for k := range b.kinds {
				if in(o.Classes, k) {
					gates[policyapi.RequestClass(k)] = gate{rounded(o.Level), int(o.RetryPolicy)}
					t.admitted[k] = t.admitted[k] || o.Table == policyapi.AllTables
				}
			}
		case policyapi.RequestAck:
			t.mark, t.asks, t.asksAll = o.AckID, true, o.AllProxies
			b.round, b.last = b.round || o.AckID < b.last, o.AckID
		default:
			continue
		}
		touched = true
	}
	if !touched {
		return nil
	}
	var posts []OutboundMessage
	for _, p := range slices.Sorted(maps.Keys(b.streams)) {
		if post := b.post(p, &t); len(post.Bytes) > 0 {
			posts = append(posts, post)
		}
	}
	return posts
}

func in(kinds policyapi.ClassSet, k int) bool { return kinds == 0 || kinds&(1<<k) != 0 }

func (b *Publisher) table(id policyapi.TableID) *table {
	tb := b.tables[id]
	if tb == nil {
		tb = &table{map[policyapi.EndpointID]float64{}, map[policyapi.RequestClass]gate{}}
		b.tables[id] = tb
	}
	return tb
}

func (b *Publisher) line(t *turn, o policyapi.SetWeight) {
	tb := b.table(o.Table)
	if tb.lines[o.Endpoint] = rounded(o.Weight); o.Weight == 0 {
		delete(tb.lines, o.Endpoint)
	}
	if t.rows[tb] == nil {
		t.rows[tb] = map[policyapi.EndpointID]bool{}
	}
	t.rows[tb][o.Endpoint] = true
}

func (b *Publisher) bind(t *turn, o policyapi.BindProxy) {
	s := b.streams[o.Proxy]
	if s == nil {
		return // it has left
	}
	if t.anew[o.Proxy] == nil {
		t.anew[o.Proxy] = make([]bool, len(b.kinds))
	}
	for k := range b.kinds {
		if in(o.Classes, k) {
			s.bound[k], t.anew[o.Proxy][k] = b.table(o.Table), true
		}
	}
}

// part is one part of a message.
type part struct {
	kinds   []int // empty: not of any classes
	replace bool
	rows    []string
	gate    *gate
}

// post makes a proxy's message: tables that are new to it whole, of others what was ordered, levels where they differ from
// what it was sent, withdrawals, the mark.
func (b *Publisher) post(p policyapi.ProxyID, t *turn) OutboundMessage {
	s, anew := b.streams[p], t.anew[p]
	if anew == nil {
		anew = make([]bool, len(b.kinds))
	}
	var parts []part
	done := make([]bool, len(b.kinds))
	for k, tb := range s.bound {
		if done[k] || tb == nil {
			continue
		}
		whole := anew[k] || t.cleared[tb]
		pt := part{replace: whole}
		for other := k; other < len(b.kinds); other++ {
			if s.bound[other] == tb && (anew[other] || t.cleared[tb]) == whole {
				pt.kinds, done[other] = append(pt.kinds, other), true
				if whole {
					s.gates[other] = nil // a table that is replaced forgets its levels
				}
			}
		}
		if whole {
			for _, id := range slices.Sorted(maps.Keys(tb.lines)) {
				pt.rows = append(pt.rows, row(id, tb.lines[id]))
			}
		} else {
			for _, id := range slices.Sorted(maps.Keys(t.rows[tb])) {
				pt.rows = append(pt.rows, row(id, tb.lines[id]))
			}
		}
		if whole || len(pt.rows) > 0 {
			parts = append(parts, pt)
		}
	}
	parts = b.gates(s, t, parts)
	drop, undrop := b.withdrawals(p, s)
	post := OutboundMessage{Proxy: p, AckID: b.onWire(t.mark)}
	if len(parts) == 0 && len(drop) == 0 && len(undrop) == 0 && !t.asksAll {
		return post
	}
	post.RequestsAck = t.asks
	b.write(&post, parts, drop, undrop)
	return post
}

// gates adds the levels that the stream was not sent: to a part of the same classes, else in parts of their own.
func (b *Publisher) gates(s *stream, t *turn, parts []part) []part {
	due := func(k int) *gate {
		if s.bound[k] == nil && !t.admitted[k] {
			return nil // what stands goes with its first table, and is counted with that
		}
		g := b.level(s, k)
		if g == nil || s.gates[k] != nil && *s.gates[k] == *g {
			return nil
		}
		return g
	}
	for k := range b.kinds {
		g := due(k)
		if g == nil {
			continue
		}
		pt := part{gate: g}
		for other := k; other < len(b.kinds); other++ {
			if o := due(other); o != nil && *o == *g {
				pt.kinds, s.gates[other] = append(pt.kinds, other), o
			}
		}
		same := func(p part) bool { return p.gate == nil && slices.Equal(p.kinds, pt.kinds) }
		if i := slices.IndexFunc(parts, same); i >= 0 {
			parts[i].gate = g
		} else {
			parts = append(parts, pt)
		}
	}
	return parts
}

// level is what holds for a kind on a stream: where the table and all tables have one, the lower with the table's own way
// to try again.
func (b *Publisher) level(s *stream, k int) *gate {
	g, has := b.all[policyapi.RequestClass(k)]
	if tb := s.bound[k]; tb != nil {
		if own, is := tb.gates[policyapi.RequestClass(k)]; is {
			if has {
				own.level = min(own.level, g.level)
			}
			g, has = own, true
		}
	}
	if !has {
		return nil
	}
	return &g
}

// withdrawals are what the proxy has to shut out, and to let back, beside what it was told: of what its tables have. One
// that goes by a table of its own may have any. A whole table lifts what others had it shut out (seen on the platform), so on
// a new stream all is told again, as the module counts it with a bind.
func (b *Publisher) withdrawals(p policyapi.ProxyID, s *stream) (drop, undrop []string) {
	for _, id := range slices.Sorted(maps.Keys(b.away)) {
		holds := func(tb *table) bool {
			if tb == nil {
				return true
			}
			_, has := tb.lines[id]
			return has
		}
		if !s.told[id] && slices.ContainsFunc(s.bound, holds) {
			if b.shut[p] == nil {
				b.shut[p] = map[policyapi.EndpointID]bool{}
			}
			b.shut[p][id], s.told[id] = true, true
			drop = append(drop, string(id))
		}
	}
	for _, id := range slices.Sorted(maps.Keys(b.shut[p])) {
		if !b.away[id] {
			delete(b.shut[p], id)
			delete(s.told, id)
			undrop = append(undrop, string(id))
		}
	}
	return drop, undrop
}

// rowsMost is how many rows go into one part: with names of 100 bytes a tenth of the protocol's largest message.
const rowsMost = 1000

func (b *Publisher) write(post *OutboundMessage, parts []part, drop, undrop []string) {
	for i := 0; i < len(parts); i++ {
		if pt := parts[i]; len(pt.rows) > rowsMost {
			rest := part{kinds: pt.kinds, rows: pt.rows[rowsMost:]}
			parts[i].rows = pt.rows[:rowsMost]
			parts = slices.Insert(parts, i+1, rest)
		}
	}
	if len(parts) == 0 {
		parts = append(parts, part{})
	}
	for i, pt := range parts {
		words := []string{"CONFIG"}
		add := func(name, value string, lines int) {
			words = append(words, name, value)
			post.Lines += lines
		}
		if len(pt.kinds) > 0 && len(pt.kinds) < len(b.kinds) {
			var names []string
			for _, k := range pt.kinds {
				names = append(names, b.kinds[k])
			}
			add("for", strings.Join(names, "+"), 0)
		}
		if pt.replace {
			add("replace", "1", 1)
			post.HasWholeTable = true
		}
		if len(pt.rows) > 0 {
			add("rows", strings.Join(pt.rows, ","), len(pt.rows))
		}
		if pt.gate != nil {
			add("gate", number(pt.gate.level), 1)
			add("again", strconv.Itoa(pt.gate.again), 0)
		}
		if i == len(parts)-1 {
			if len(drop) > 0 {
				add("drop", strings.Join(drop, ","), len(drop))
			}
			if len(undrop) > 0 {
				add("undrop", strings.Join(undrop, ","), len(undrop))
			}
			if post.RequestsAck {
				add("stamp", strconv.Itoa(int(post.AckID)), 1)
			}
		} else {
			add("part", "1", 0)
		}
		post.Bytes = resp.Append(post.Bytes, words...)
	}
}

func row(id policyapi.EndpointID, weight float64) string { return string(id) + ":" + number(weight) }

// rounded keeps six digits, as the bench's wire does: what is compared is what is sent.
func rounded(v float64) float64 {
	r, err := strconv.ParseFloat(strconv.FormatFloat(v, 'g', 6, 64), 64)
	if err != nil {
		return v
	}
	return r
}

func number(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }
