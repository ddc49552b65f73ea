package proxyproto

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"porthub/policyapi"
	"porthub/resp"
)

// Limits of the protocol.
const (
	// MaxMessageBytes is the maximum size of a message.
	MaxMessageBytes = 1 << 20
	// MaxMessageParts is how many parts one message to a proxy may have.
	MaxMessageParts = 64
	// MaxMessageWords bounds the words of an incoming message. No message of this version of the protocol has more than twenty; a
	// later version may add fields, which are ignored.
	MaxMessageWords = 64
)

// IncomingLimits are the limits of incoming messages.
var IncomingLimits = resp.Limits{Bytes: MaxMessageBytes, Words: MaxMessageWords}

var (
	// PongReply is the reply to PING.
	PongReply = resp.Append(nil, "PONG")
	// NackReply informs a peer that its connection is rejected.
	NackReply = resp.Append(nil, "NACK")
)

// ErrMalformed means that a message is invalid and is ignored; its connection stays open.
var ErrMalformed = errors.New("malformed message")

// ErrRejected means that a peer's connection is rejected: the peer is sent NackReply and its connection is closed.
var ErrRejected = errors.New("connection rejected")

// ProtocolError describes an invalid message. It is wrapped together with ErrMalformed or ErrRejected.
type ProtocolError struct {
	Message string // the message's name, shortened
	Field   string // empty if the error concerns the complete message
	Reason  string
}

func (e *ProtocolError) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("%q: %s", e.Message, e.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", e.Message, e.Field, e.Reason)
}

// Role is the role of a connection's peer, as identified by its first message.
type Role int

const (
	// Unidentified is the role of a connection that has not identified itself yet.
	Unidentified Role = iota
	// Collector is the role of a peer that forwards load reports.
	Collector
	// Stream is the role of a proxy, which receives its tables on the connection.
	Stream
)

func (r Role) String() string {
	switch r {
	case Unidentified:
		return "unidentified"
	case Collector:
		return "collector"
	case Stream:
		return "stream"
	default:
		return fmt.Sprintf("Role(%d)", int(r))
	}
}

// maxPendingAcks bounds the unacknowledged ack ids of a stream. A responsive proxy has only a few, but those of a proxy that has
// stopped responding would accumulate. The decision module retains fewer.
const maxPendingAcks = 256

// Session is the protocol state of one connection. It is not safe for concurrent use.
type Session struct {
	Role        Role
	Zone        policyapi.Zone    // zone of the collector or proxy
	Proxy       policyapi.ProxyID // proxy of a stream
	pendingAcks []policyapi.AckID // ack ids on the wire, oldest first
}

// AckRequested records that an ack id, as on the wire, was sent on this stream: the proxy can acknowledge only recorded ones.
func (s *Session) AckRequested(id policyapi.AckID) {
	if len(s.pendingAcks) >= maxPendingAcks {
		s.pendingAcks = slices.Delete(s.pendingAcks, 0, 1)
	}
	s.pendingAcks = append(s.pendingAcks, id)
}

// PendingAcks returns the number of unacknowledged ack ids.
func (s *Session) PendingAcks() int { return len(s.pendingAcks) }

// Receive processes one message of at least one word. It returns the event that the message reports and the reply to be written;
// each is nil if there is none. An error wraps ErrMalformed or ErrRejected together with a *ProtocolError, and leaves the session
// unchanged.
func (s *Session) Receive(words [][]byte, v *Validator) (event policyapi.Event, reply []byte, err error) {
	m := messageReader{name: string(words[0]), words: words[1:]}
	if m.name == "PING" {
		return nil, PongReply, nil
	}
	if s.Role == Unidentified {
		event, err = s.identify(&m, v)
	} else {
		event, err = s.receiveIdentified(&m, v)
	}
	return event, nil, err
}

// identify processes the first message of a connection, which determines its role.
func (s *Session) identify(m *messageReader, v *Validator) (policyapi.Event, error) {
	switch m.name {
	case "SOURCE":
		zone := m.zone(v)
		if m.err != nil {
			return nil, m.wrap(ErrRejected)
		}
		s.Role = Collector
		s.Zone = zone
		return nil, nil
	case "SUBSCRIBE":
		connected := m.subscription(v)
		if m.err != nil {
			return nil, m.wrap(ErrRejected)
		}
		s.Role = Stream
		s.Zone = connected.Zone
		s.Proxy = connected.Proxy
		return connected, nil
	default:
		m.failMessage("the first message must be SOURCE or SUBSCRIBE")
		return nil, m.wrap(ErrRejected)
	}
}

// receiveIdentified processes a message of a collector or a proxy.
func (s *Session) receiveIdentified(m *messageReader, v *Validator) (event policyapi.Event, err error) {
	switch {
	case m.name == "LOAD" && s.Role == Collector:
		event = m.endpointLoad(v)
	case m.name == "RATE":
		load := m.proxyLoad(v)
		if s.Role == Stream && load.Proxy != s.Proxy {
			m.fail("sidecar", "is not the proxy of this stream")
		}
		event = load
	case m.name == "ACK" && s.Role == Stream:
		event = s.acknowledge(m, v)
	default:
		m.failMessage(fmt.Sprintf("is not expected from a %s", s.Role))
	}
	if m.err != nil {
		return nil, m.wrap(ErrMalformed)
	}
	return event, nil
}

// acknowledge processes an acknowledgement, which covers all ack ids up to its own.
func (s *Session) acknowledge(m *messageReader, v *Validator) policyapi.Acknowledged {
	ack := policyapi.Acknowledged{
		Proxy: m.proxy(v),
		AckID: policyapi.AckID(m.integer("version", maxAckID)),
		Delay: m.duration("lag_ms", maxMeasuredMilliseconds),
	}
	if ack.Proxy != s.Proxy {
		m.fail("sidecar", "is not the proxy of this stream")
	}
	i := slices.Index(s.pendingAcks, ack.AckID)
	if i < 0 {
		m.fail("version", "was not sent on this stream, or is already acknowledged")
	}
	if m.err == nil {
		s.pendingAcks = slices.Delete(s.pendingAcks, 0, i+1)
	}
	return ack
}

func (m *messageReader) subscription(v *Validator) policyapi.ProxyConnected {
	return policyapi.ProxyConnected{
		Proxy:               m.proxy(v),
		Zone:                m.zone(v),
		Weight:              m.number("share", 0, math.MaxInt32),
		HasDefaultTableOnly: m.flag("standing"),
	}
}

func (m *messageReader) proxyLoad(v *Validator) policyapi.ProxyLoad {
	load := policyapi.ProxyLoad{
		Proxy:    m.proxy(v),
		Class:    m.class(v),
		Requests: m.integer("n", math.MaxInt32),
		Period:   m.duration("window", maxMeasuredMilliseconds),
	}
	// Requests that arrived before the window can fail within it: there can be more failures than requests.
	load.Failures = m.integer("bad", math.MaxInt32)
	if load.Period <= 0 {
		m.fail("window", "must be greater than 0")
	}
	return load
}

func (m *messageReader) endpointLoad(v *Validator) policyapi.EndpointLoad {
	load := policyapi.EndpointLoad{
		Zone:     m.zone(v),
		Endpoint: policyapi.EndpointID(m.text("host")),
		Attempts: m.integer("n", math.MaxInt32),
		Period:   m.duration("window", maxMeasuredMilliseconds),
	}
	load.Failures = m.integer("bad", load.Attempts)
	if load.Period <= 0 {
		m.fail("window", "must be greater than 0")
	}
	if !v.IsKnown(load.Endpoint) {
		m.fail("host", fmt.Sprintf("%q is not in the endpoint list", shorten(string(load.Endpoint))))
	}
	// If all attempts failed there is no latency to average, and avg is optional.
	if load.Failures < load.Attempts || m.has("avg") {
		load.MeanLatency = m.duration("avg", v.maxLatency)
	}
	if m.has("report") {
		load.Metrics = m.metrics("report")
	}
	return load
}
