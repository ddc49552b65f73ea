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
	classes         []string
	tables          map[policyapi.TableID]*table
	globalAdmission map[policyapi.RequestClass]admission // levels for all tables
	ejected         map[policyapi.EndpointID]bool        // withdrawn
	streams         map[policyapi.ProxyID]*stream
	proxyEjections  map[policyapi.ProxyID]map[policyapi.EndpointID]bool // what a proxy was told to shut out: over a change of streams it keeps them
	ackBase         policyapi.AckID                                     // the last mark on the wire of an earlier board of this coordinator
	lastAckID       policyapi.AckID                                     // the module's last, and whether its numbers have come round
	ackIDsWrapped   bool
}

// admission is a level and the way to try again that goes with it.
type admission struct {
	level       float64
	retryPolicy int
}

type table struct {
	weights    map[policyapi.EndpointID]float64
	admissions map[policyapi.RequestClass]admission
}

// stream is what was sent on one: by kind the table and the level.
type stream struct {
	tables         []*table                      // nil: it goes by what it brought along
	sentAdmissions []*admission                  // nil: none was sent
	ejected        map[policyapi.EndpointID]bool // what it was told to shut out on this stream
}

// OutboundMessage is a message for one proxy.
type OutboundMessage struct {
	Proxy            policyapi.ProxyID
	Bytes            []byte
	Lines            int             // without its envelope
	HasCompleteTable bool            // it lays a whole table
	AckID            policyapi.AckID // as on the wire
	RequestsAck      bool            // it bears the mark
}

// NewPublisher has no tables and no streams.
func NewPublisher(kinds []policyapi.ClassSettings) *Publisher {
	b := &Publisher{tables: map[policyapi.TableID]*table{}, globalAdmission: map[policyapi.RequestClass]admission{}, ejected: map[policyapi.EndpointID]bool{},
		streams: map[policyapi.ProxyID]*stream{}, proxyEjections: map[policyapi.ProxyID]map[policyapi.EndpointID]bool{}}
	for _, k := range kinds {
		b.classes = append(b.classes, k.Name)
	}
	return b
}

// Restart is the board of a module that takes over from one that has failed: no tables, no streams. What proxies were told to
// proxyEjections out they keep, and marks go on where the others ended: an answer to one of those must not pass for one to these.
func (b *Publisher) Restart() *Publisher {
	fresh := NewPublisher(nil)
	fresh.classes, fresh.proxyEjections, fresh.ackBase = b.classes, b.proxyEjections, b.onWire(b.lastAckID)
	return fresh
}

// ackIDCount is how many numbers the protocol has for them.
const ackIDCount = maxAckID + 1

func (b *Publisher) onWire(m policyapi.AckID) policyapi.AckID { return (b.ackBase + m) % ackIDCount }

// Acknowledge turns a mark on the wire into the module's; false if it is an earlier module's.
func (b *Publisher) Acknowledge(wire policyapi.AckID) (policyapi.AckID, bool) {
	m := (wire - b.ackBase + ackIDCount) % ackIDCount
	return m, b.ackIDsWrapped || m > 0 && m <= b.lastAckID
}

// Connect takes a proxy's new stream in: nothing has been sent on it. One that holds nothing ordered shuts nothing out either.
func (b *Publisher) Connect(j policyapi.ProxyConnected) {
	b.streams[j.Proxy] = &stream{tables: make([]*table, len(b.classes)), sentAdmissions: make([]*admission, len(b.classes)), ejected: map[policyapi.EndpointID]bool{}}
	if j.HasDefaultTableOnly {
		delete(b.proxyEjections, j.Proxy)
	}
}

// Disconnect ends a proxy's stream.
func (b *Publisher) Disconnect(p policyapi.ProxyID) { delete(b.streams, p) }

// ForgetEndpoints drops what is kept of backends that can't be named any more.
func (b *Publisher) ForgetEndpoints(gone []policyapi.EndpointID) {
	for _, id := range gone {
		delete(b.ejected, id)
		for _, shut := range b.proxyEjections {
			delete(shut, id)
		}
		for _, s := range b.streams {
			delete(s.ejected, id)
		}
	}
}

// changeSet is what one reply changes.
type changeSet struct {
	changedWeights map[*table]map[policyapi.EndpointID]bool // lines that were ordered, even to what they were
	cleared        map[*table]bool
	rebound        map[policyapi.ProxyID][]bool // kinds that were bound
	ackID          policyapi.AckID
	requestsAck    bool
	ackFromAll     bool

	globalAdmissionChanged []bool // by kind: a level was ordered for all tables
}

// Apply carries out a reply's orders, as far as they concern tables and streams, and returns the messages, by proxy.
func (b *Publisher) Apply(orders []policyapi.Order) []OutboundMessage {
	t := changeSet{changedWeights: map[*table]map[policyapi.EndpointID]bool{}, cleared: map[*table]bool{}, rebound: map[policyapi.ProxyID][]bool{},
		globalAdmissionChanged: make([]bool, len(b.classes))}
	touched := false
	for _, order := range orders {
		switch o := order.(type) {
		case policyapi.SetWeight:
			b.line(&t, o)
		case policyapi.ClearTable:
			tb := b.table(o.Table)
			clear(tb.weights)
			clear(tb.admissions)
			t.cleared[tb] = true
			delete(t.changedWeights, tb)
		case policyapi.BindProxy:
			b.bind(&t, o)
		case policyapi.EjectEndpoint:
			if b.ejected[o.Endpoint] = o.Ejected; !o.Ejected {
				delete(b.ejected, o.Endpoint)
			}
		case policyapi.SetAdmission:
			gates := b.globalAdmission
			if o.Table != policyapi.AllTables {
				gates = b.table(o.Table).admissions
			}
			for k := range b.classes {
				if classSetHas(o.Classes, k) {
					gates[policyapi.RequestClass(k)] = admission{roundToWire(o.Level), o.RetryPolicy}
					t.globalAdmissionChanged[k] = t.globalAdmissionChanged[k] || o.Table == policyapi.AllTables
				}
			}
		case policyapi.RequestAck:
			t.ackID, t.requestsAck, t.ackFromAll = o.AckID, true, o.AllProxies
			b.ackIDsWrapped, b.lastAckID = b.ackIDsWrapped || o.AckID < b.lastAckID, o.AckID
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

func classSetHas(kinds policyapi.ClassSet, k int) bool { return kinds == 0 || kinds&(1<<k) != 0 }

func (b *Publisher) table(id policyapi.TableID) *table {
	tb := b.tables[id]
	if tb == nil {
		tb = &table{map[policyapi.EndpointID]float64{}, map[policyapi.RequestClass]admission{}}
		b.tables[id] = tb
	}
	return tb
}

func (b *Publisher) line(t *changeSet, o policyapi.SetWeight) {
	tb := b.table(o.Table)
	if tb.weights[o.Endpoint] = roundToWire(o.Weight); o.Weight == 0 {
		delete(tb.weights, o.Endpoint)
	}
	if t.changedWeights[tb] == nil {
		t.changedWeights[tb] = map[policyapi.EndpointID]bool{}
	}
	t.changedWeights[tb][o.Endpoint] = true
}

func (b *Publisher) bind(t *changeSet, o policyapi.BindProxy) {
	s := b.streams[o.Proxy]
	if s == nil {
		return // it has left
	}
	if t.rebound[o.Proxy] == nil {
		t.rebound[o.Proxy] = make([]bool, len(b.classes))
	}
	for k := range b.classes {
		if classSetHas(o.Classes, k) {
			s.tables[k], t.rebound[o.Proxy][k] = b.table(o.Table), true
		}
	}
}

// messagePart is one part of a message.
type messagePart struct {
	classes   []int // empty: not of any classes
	replace   bool
	rows      []string
	admission *admission
}

// post makes a proxy's message: tables that are new to it whole, of others what was ordered, levels where they differ from
// what it was sent, withdrawals, the mark.
func (b *Publisher) post(p policyapi.ProxyID, t *changeSet) OutboundMessage {
	s, anew := b.streams[p], t.rebound[p]
	if anew == nil {
		anew = make([]bool, len(b.classes))
	}
	var parts []messagePart
	done := make([]bool, len(b.classes))
	for k, tb := range s.tables {
		if done[k] || tb == nil {
			continue
		}
		whole := anew[k] || t.cleared[tb]
		pt := messagePart{replace: whole}
		for other := k; other < len(b.classes); other++ {
			if s.tables[other] == tb && (anew[other] || t.cleared[tb]) == whole {
				pt.classes, done[other] = append(pt.classes, other), true
				if whole {
					s.sentAdmissions[other] = nil // a table that is replaced forgets its levels
				}
			}
		}
		if whole {
			for _, id := range slices.Sorted(maps.Keys(tb.weights)) {
				pt.rows = append(pt.rows, formatRow(id, tb.weights[id]))
			}
		} else {
			for _, id := range slices.Sorted(maps.Keys(t.changedWeights[tb])) {
				pt.rows = append(pt.rows, formatRow(id, tb.weights[id]))
			}
		}
		if whole || len(pt.rows) > 0 {
			parts = append(parts, pt)
		}
	}
	parts = b.gates(s, t, parts)
	drop, undrop := b.withdrawals(p, s)
	post := OutboundMessage{Proxy: p, AckID: b.onWire(t.ackID)}
	if len(parts) == 0 && len(drop) == 0 && len(undrop) == 0 && !t.ackFromAll {
		return post
	}
	post.RequestsAck = t.requestsAck
	b.write(&post, parts, drop, undrop)
	return post
}

// admissions adds the levels that the stream was not sent: to a part of the same classes, else in parts of their own.
func (b *Publisher) gates(s *stream, t *changeSet, parts []messagePart) []messagePart {
	due := func(k int) *admission {
		if s.tables[k] == nil && !t.globalAdmissionChanged[k] {
			return nil // what stands goes with its first table, and is counted with that
		}
		g := b.level(s, k)
		if g == nil || s.sentAdmissions[k] != nil && *s.sentAdmissions[k] == *g {
			return nil
		}
		return g
	}
	for k := range b.classes {
		g := due(k)
		if g == nil {
			continue
		}
		pt := messagePart{admission: g}
		for other := k; other < len(b.classes); other++ {
			if o := due(other); o != nil && *o == *g {
				pt.classes, s.sentAdmissions[other] = append(pt.classes, other), o
			}
		}
		same := func(p messagePart) bool { return p.admission == nil && slices.Equal(p.classes, pt.classes) }
		if i := slices.IndexFunc(parts, same); i >= 0 {
			parts[i].admission = g
		} else {
			parts = append(parts, pt)
		}
	}
	return parts
}

// level is what holds for a kind on a stream: where the table and all tables have one, the lower with the table's own way
// to try again.
func (b *Publisher) level(s *stream, k int) *admission {
	g, has := b.globalAdmission[policyapi.RequestClass(k)]
	if tb := s.tables[k]; tb != nil {
		if own, is := tb.admissions[policyapi.RequestClass(k)]; is {
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
	for _, id := range slices.Sorted(maps.Keys(b.ejected)) {
		holds := func(tb *table) bool {
			if tb == nil {
				return true
			}
			_, has := tb.weights[id]
			return has
		}
		if !s.ejected[id] && slices.ContainsFunc(s.tables, holds) {
			if b.proxyEjections[p] == nil {
				b.proxyEjections[p] = map[policyapi.EndpointID]bool{}
			}
			b.proxyEjections[p][id], s.ejected[id] = true, true
			drop = append(drop, string(id))
		}
	}
	for _, id := range slices.Sorted(maps.Keys(b.proxyEjections[p])) {
		if !b.ejected[id] {
			delete(b.proxyEjections[p], id)
			delete(s.ejected, id)
			undrop = append(undrop, string(id))
		}
	}
	return drop, undrop
}

// maxRowsPerPart is how many rows go into one part: with names of 100 bytes a tenth of the protocol's largest message.
const maxRowsPerPart = 1000

func (b *Publisher) write(post *OutboundMessage, parts []messagePart, drop, undrop []string) {
	for i := 0; i < len(parts); i++ {
		if pt := parts[i]; len(pt.rows) > maxRowsPerPart {
			rest := messagePart{classes: pt.classes, rows: pt.rows[maxRowsPerPart:]}
			parts[i].rows = pt.rows[:maxRowsPerPart]
			parts = slices.Insert(parts, i+1, rest)
		}
	}
	if len(parts) == 0 {
		parts = append(parts, messagePart{})
	}
	for i, pt := range parts {
		words := []string{"CONFIG"}
		add := func(name, value string, lines int) {
			words = append(words, name, value)
			post.Lines += lines
		}
		if len(pt.classes) > 0 && len(pt.classes) < len(b.classes) {
			var names []string
			for _, k := range pt.classes {
				names = append(names, b.classes[k])
			}
			add("for", strings.Join(names, "+"), 0)
		}
		if pt.replace {
			add("replace", "1", 1)
			post.HasCompleteTable = true
		}
		if len(pt.rows) > 0 {
			add("rows", strings.Join(pt.rows, ","), len(pt.rows))
		}
		if pt.admission != nil {
			add("gate", formatNumber(pt.admission.level), 1)
			add("again", strconv.Itoa(pt.admission.retryPolicy), 0)
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

func formatRow(id policyapi.EndpointID, weight float64) string {
	return string(id) + ":" + formatNumber(weight)
}

// roundToWire keeps six digits, as the bench's wire does: what is compared is what is sent.
func roundToWire(v float64) float64 {
	r, err := strconv.ParseFloat(strconv.FormatFloat(v, 'g', 6, 64), 64)
	if err != nil {
		return v
	}
	return r
}

func formatNumber(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }
