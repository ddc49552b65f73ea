package proxyproto

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"porthub/policyapi"
	"porthub/resp"
)

// The protocol's bounds on messages: bytes of one, parts of one order, words that a message with all its fields may have
// (none has over twenty; a few more are passed over, as a later version's).
const (
	MaxMessageBytes = 1 << 20
	MaxOrderParts   = 64
	MaxMessageWords = 64
)

// IncomingLimits bound what comes in.
var IncomingLimits = resp.Limits{Bytes: MaxMessageBytes, Words: MaxMessageWords}

// PongReply answers PING, Nack tells a peer that it is not taken.
var (
	PongReply = resp.Append(nil, "PONG")
	NackReply = resp.Append(nil, "NACK")
)

// MetricNames turns the load figures' names on the platform into those that the module knows. The protocol's page has names of
// its own, settings and reports come with the module's: either is taken.
var MetricNames = map[string]string{"inflight": "rif", "util": "busy", "queue": "q", "qps": "rate", "eps": "fail_rate", "latency_ms": "lat_ms",
	"rif": "rif", "busy": "busy", "q": "q", "rate": "rate", "fail_rate": "fail_rate", "lat_ms": "lat_ms"}

// Role is what a connection has made itself known as.
type Role int

const (
	Unidentified Role = iota
	Collector
	Stream
)

// Validator is what messages may name: how it stands for one coordinator.
type Validator struct {
	zones      []policyapi.Zone
	classes    map[string]policyapi.RequestClass
	proxyCount int
	maxLatency float64                       // milliseconds: no mean of done tries is longer
	endpoints  map[policyapi.EndpointID]bool // false: it has gone
	removed    []policyapi.EndpointID        // the oldest first
}

// maxRemovedEndpoints is how many backends that have gone may still be named: reports come late, by seconds. It bounds what is kept
// under ever new names, and is as many as any list of this protocol's messages would hold.
const maxRemovedEndpoints = 1024

// NewValidator knows what the settings name and no backend.
func NewValidator(up policyapi.Start) *Validator {
	k := &Validator{zones: up.Zones, classes: map[string]policyapi.RequestClass{}, proxyCount: up.ProxyCount, endpoints: map[policyapi.EndpointID]bool{}}
	for i, kind := range up.Classes {
		k.classes[kind.Name] = policyapi.RequestClass(i)
		// What a client waits for no longer is not done; the mean comes with noise, which doubles nothing.
		k.maxLatency = max(k.maxLatency, 2*float64(kind.ClientTimeout)/microsecondsPerMillisecond)
	}
	if k.maxLatency == 0 {
		k.maxLatency = maxMeasuredMilliseconds
	}
	return k
}

// Apply takes in a list. It returns the backends that can't be named any more.
func (k *Validator) Apply(list policyapi.EndpointUpdate) (forgotten []policyapi.EndpointID) {
	in := map[policyapi.EndpointID]bool{}
	for _, e := range list.Endpoints {
		if e.Status != policyapi.Removed {
			in[e.ID] = true
			k.endpoints[e.ID] = true
		} else if k.endpoints[e.ID] {
			k.markRemoved(e.ID)
		}
	}
	if list.Kind == policyapi.Snapshot || list.Kind == policyapi.Cached {
		for b, here := range k.endpoints {
			if here && !in[b] {
				k.markRemoved(b)
			}
		}
	}
	k.removed = slices.DeleteFunc(k.removed, func(b policyapi.EndpointID) bool { return k.endpoints[b] }) // back
	for len(k.removed) > maxRemovedEndpoints {
		forgotten = append(forgotten, k.removed[0])
		delete(k.endpoints, k.removed[0])
		k.removed = k.removed[1:]
	}
	return forgotten
}

func (k *Validator) markRemoved(b policyapi.EndpointID) {
	k.endpoints[b] = false
	k.removed = append(k.removed, b)
}

// IsKnown tells whether a message may name a backend.
func (k *Validator) IsKnown(b policyapi.EndpointID) bool {
	_, has := k.endpoints[b]
	return has
}

// ErrMalformed is a message that can't be used, while what is around it can.
var ErrMalformed = errors.New("spoilt")

// ErrRejected is a peer that is not taken: it is answered with Nack and its connection ends.
var ErrRejected = errors.New("refused")

// Session is what is known of one connection.
type Session struct {
	Role        Role
	Zone        policyapi.Zone    // of a collector or stream
	Proxy       policyapi.ProxyID // of a stream
	pendingAcks []policyapi.AckID
}

// maxPendingAcks bounds the marks without an answer: a proxy that answers is a few behind, one that has fallen silent has any
// number. The module itself keeps fewer.
const maxPendingAcks = 256

// AckRequested notes that a mark went out on this stream; an answer may name only those.
func (p *Session) AckRequested(m policyapi.AckID) {
	if len(p.pendingAcks) >= maxPendingAcks {
		p.pendingAcks = slices.Delete(p.pendingAcks, 0, 1)
	}
	p.pendingAcks = append(p.pendingAcks, m)
}

// PendingAcks is how many marks have no answer yet.
func (p *Session) PendingAcks() int { return len(p.pendingAcks) }

// Receive takes one message. What it says is an event, or nil if it needs none; the answer, if there is one, goes back. A
// message that is spoilt or from a peer that is not to be taken is an error, and changes nothing.
func (p *Session) Receive(words [][]byte, k *Validator) (event policyapi.Event, answer []byte, err error) {
	m := message{kind: string(words[0]), words: words[1:]}
	if m.kind == "PING" {
		return nil, PongReply, nil
	}
	switch {
	case p.Role == Unidentified && m.kind == "SOURCE":
		zone := m.zone(k)
		if m.err != nil {
			return nil, nil, fmt.Errorf("%w: %w", ErrRejected, m.err)
		}
		p.Role, p.Zone = Collector, zone
		return nil, nil, nil
	case p.Role == Unidentified && m.kind == "SUBSCRIBE":
		j := policyapi.ProxyConnected{Proxy: m.proxy(k), Zone: m.zone(k), Weight: m.number("share", 0, math.MaxInt32), HasDefaultTableOnly: m.flag("standing")}
		if m.err != nil {
			return nil, nil, fmt.Errorf("%w: %w", ErrRejected, m.err)
		}
		p.Role, p.Zone, p.Proxy = Stream, j.Zone, j.Proxy
		return j, nil, nil
	case p.Role == Unidentified:
		return nil, nil, fmt.Errorf("%w: %q before a joining", ErrRejected, shorten(m.kind))
	case m.kind == "LOAD" && p.Role == Collector:
		event = m.load(k)
	case m.kind == "RATE":
		u := policyapi.ProxyLoad{Proxy: m.proxy(k), Class: m.reqKind(k), Requests: m.whole("n", math.MaxInt32), Period: m.time("window", maxMeasuredMilliseconds)}
		// Of reqs that came before the window some fail in it: there may be more of those than came.
		if u.Failures = m.whole("bad", math.MaxInt32); u.Period <= 0 {
			m.fail("window", "is 0")
		}
		if p.Role == Stream && u.Proxy != p.Proxy {
			m.fail("sidecar", "is another's")
		}
		event = u
	case m.kind == "ACK" && p.Role == Stream:
		a := policyapi.Acknowledged{Proxy: m.proxy(k), AckID: policyapi.AckID(m.whole("version", maxAckID)), Delay: m.time("lag_ms", maxMeasuredMilliseconds)}
		if a.Proxy != p.Proxy {
			m.fail("sidecar", "is another's")
		}
		i := slices.Index(p.pendingAcks, a.AckID)
		if i < 0 {
			m.fail("version", "was not sent, or has been answered")
		}
		if m.err == nil {
			p.pendingAcks = slices.Delete(p.pendingAcks, 0, i+1)
		}
		event = a
	default:
		m.fail("kind", fmt.Sprintf("%q is not for this connection", shorten(m.kind)))
	}
	if m.err != nil {
		return nil, nil, fmt.Errorf("%w: %w", ErrMalformed, m.err)
	}
	return event, nil, nil
}

// maxAckID is the protocol's largest mark, and the largest number of a proxy.
const maxAckID = 65535

// shorten keeps what a peer has written short in a log.
func shorten(text string) string { return text[:min(len(text), 24)] }

// message reads names and values; the first complaint sticks.
type message struct {
	kind  string
	words [][]byte
	err   error
}

func (m *message) fail(name, why string) {
	if m.err == nil {
		m.err = fmt.Errorf("%s: %s: %s", shorten(m.kind), name, why)
	}
}

// text is a field's value; it has to be there once.
func (m *message) text(name string) string {
	value, found := "", 0
	if len(m.words)%2 != 0 {
		m.fail(name, "a name without a value stands in the message")
	}
	for i := 0; i+1 < len(m.words); i += 2 {
		if string(m.words[i]) == name {
			value, found = string(m.words[i+1]), found+1
		}
	}
	if found != 1 {
		m.fail(name, fmt.Sprintf("is there %d times", found))
	}
	return value
}

func (m *message) has(name string) bool {
	for i := 0; i+1 < len(m.words); i += 2 {
		if string(m.words[i]) == name {
			return true
		}
	}
	return false
}

// parseDecimal reads a plain decimal number: what else the language takes for one (NaN, hexadecimals, underscores) is none here.
func parseDecimal(text string) (float64, bool) {
	if text == "" || strings.Trim(text, "+-.0123456789eE") != "" {
		return 0, false
	}
	v, err := strconv.ParseFloat(text, 64)
	return v, err == nil
}

func (m *message) number(name string, least, most float64) float64 {
	text := m.text(name)
	v, ok := parseDecimal(text)
	if !ok {
		m.fail(name, fmt.Sprintf("%q is not a number", shorten(text)))
	} else if v < least || v > most {
		m.fail(name, fmt.Sprintf("%g is not within %g to %g", v, least, most))
	}
	return v
}

func (m *message) whole(name string, most int) int {
	text := m.text(name)
	v, err := strconv.ParseUint(text, 10, 31)
	if err != nil {
		m.fail(name, fmt.Sprintf("%q is not a whole number from 0 on", shorten(text)))
	} else if int(v) > most {
		m.fail(name, fmt.Sprintf("%d is over %d", v, most))
	}
	return int(v)
}

// maxMeasuredMilliseconds bounds what a proxy or a collector can have measured, in milliseconds: an hour. Reports are gathered by the second
// and those that pile up follow within minutes; a figure beyond would stand for all that was heard before it.
const maxMeasuredMilliseconds = 3600 * 1000

func (m *message) time(name string, most float64) policyapi.Microseconds {
	return millisecondsToMicroseconds(m.number(name, 0, most))
}

func (m *message) flag(name string) bool {
	text := m.text(name)
	if text != "0" && text != "1" {
		m.fail(name, fmt.Sprintf("%q is neither 0 nor 1", shorten(text)))
	}
	return text == "1"
}

func (m *message) proxy(k *Validator) policyapi.ProxyID {
	return policyapi.ProxyID(m.whole("sidecar", k.proxyCount-1))
}

func (m *message) zone(k *Validator) policyapi.Zone {
	z := policyapi.Zone(m.text("az"))
	if !slices.Contains(k.zones, z) {
		m.fail("az", fmt.Sprintf("%q is not known", shorten(string(z))))
	}
	return z
}

func (m *message) reqKind(k *Validator) policyapi.RequestClass {
	name := m.text("kind")
	kind, has := k.classes[name]
	if !has {
		m.fail("kind", fmt.Sprintf("%q is not known", shorten(name)))
	}
	return kind
}

func (m *message) load(k *Validator) policyapi.EndpointLoad {
	h := policyapi.EndpointLoad{Zone: m.zone(k), Endpoint: policyapi.EndpointID(m.text("host")), Attempts: m.whole("n", math.MaxInt32), Period: m.time("window", maxMeasuredMilliseconds)}
	if h.Failures = m.whole("bad", h.Attempts); h.Period <= 0 {
		m.fail("window", "is 0")
	}
	if !k.IsKnown(h.Endpoint) {
		m.fail("host", fmt.Sprintf("%q was not listed", shorten(string(h.Endpoint))))
	}
	if h.Failures < h.Attempts || m.has("avg") {
		h.MeanLatency = m.time("avg", k.maxLatency) // where all failed there is nothing to average
	}
	if m.has("report") {
		text := m.text("report")
		var ok bool
		if h.Metrics, ok = parseLoadReport(text); !ok {
			m.fail("report", fmt.Sprintf("%q is not name:figure, each from 0 on", shorten(text)))
		}
	}
	return h
}

// parseLoadReport reads a load report: a part of what it says can't be told from a spoilt whole.
func parseLoadReport(text string) (policyapi.LoadMetrics, bool) {
	if text == "" || text == "-" {
		return nil, true
	}
	out := policyapi.LoadMetrics{}
	for pair := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(pair, ":")
		v, ok := parseDecimal(value)
		if !ok || v < 0 || v > math.MaxInt32 || name == "" {
			return nil, false
		}
		if known, has := MetricNames[name]; has {
			out[known] = v
		}
	}
	return out, true
}

// LoadMetrics turns a load report that came as figures by name.
func ParseMetrics(figures map[string]any) policyapi.LoadMetrics {
	out := policyapi.LoadMetrics{}
	for name, figure := range figures {
		v, is := figure.(float64)
		if known, has := MetricNames[name]; is && has && v >= 0 && v <= math.MaxInt32 {
			out[known] = v
		}
	}
	return out
}
