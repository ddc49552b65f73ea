package routing

import (
	"fmt"
	"slices"

	"porthub/policyapi"
)

const second policyapi.Microseconds = 1_000_000

// roomAgain is when what found no room is offered again: acknowledgements take about so long.
const roomAgain = second / 8

// DocumentCount is how many documents a gateway is given: endpoints, then routes.
const DocumentCount = 2

// Budget bounds the messages to one gateway.
type Budget struct {
	MaxMessages int                    // in any span; 0: no bound
	Window      policyapi.Microseconds // with what is left at its end, since a message arrives a little later than it was published
}

// reserve is how many messages of a span are left to changes that rules wait for: without it a burst of routine changes
// could use up all of them, and a drain would wait until the span has passed.
func (b Budget) reserve() int { return b.MaxMessages / 5 }

// pace is the least time between routine messages once half of the span's are used.
func (b Budget) pace() policyapi.Microseconds {
	return b.Window / policyapi.Microseconds(max(1, 2*b.MaxMessages))
}

// Message is one publication on its way.
type Message struct {
	Version      string                 `json:"version"` // of the documents in it; also its nonce
	Changed      [DocumentCount]bool    `json:"changed"`
	Acknowledged [DocumentCount]bool    `json:"acked"`
	AckID        policyapi.AckID        `json:"mark"` // that goes with it; -1: none
	SentAt       policyapi.Microseconds `json:"at_us"`
	Lines        int                    `json:"lines"`
	Level        int                    `json:"level"` // of service, by which it was made
}

func (m Message) done() bool {
	for d := range DocumentCount {
		if m.Changed[d] && !m.Acknowledged[d] {
			return false
		}
	}
	return true
}

// NoAckID stands for no mark.
const NoAckID policyapi.AckID = -1

// Delivery is what one gateway is believed to hold (confirmed, on its way, or not known) and what it may be sent now. It is
// pure: time is handed in.
type Delivery struct {
	epoch  string // names this start: versions of two starts never look alike
	budget Budget

	sent      Snapshot // by the last message
	void      bool     // belief is void: the whole goes out even if nothing changed
	waiting   []Message
	confirmed [DocumentCount]Message
	changed   [DocumentCount]string // version of the last message with a document in it
	count     int                   // messages in this start

	times   []policyapi.Microseconds // of messages within the span
	later   bool                     // something had to wait, until laterAt
	laterAt policyapi.Microseconds
	owed    policyapi.AckID // mark of what had to wait
	retryAt policyapi.Microseconds
	refused int // in a row
	wrong   int // checksums in a row that were not what it should hold
}

// NewDelivery is the ledger of a gateway that nothing is known of.
func NewDelivery(epoch string, b Budget) *Delivery {
	return &Delivery{epoch: epoch, budget: b, owed: NoAckID}
}

// Connect begins a connection: what the gateway holds is not known. What it was sent before still counts against the limit.
func (l *Delivery) Connect() {
	*l = Delivery{epoch: l.epoch, budget: l.budget, count: l.count, times: l.times, confirmed: l.confirmed, wrong: l.wrong, void: true, owed: NoAckID}
}

// Disconnect ends it: what is on its way will not be confirmed.
func (l *Delivery) Disconnect() { l.waiting = nil }

// Invalidate says that what the gateway holds is not known any more.
func (l *Delivery) Invalidate() { l.void = true }

// Invalidated tells whether the whole has to go out.
func (l *Delivery) Invalidated() bool { return l.void }

// Sent is what the gateway holds once all on its way has come.
func (l *Delivery) Sent() Snapshot { return l.sent }

// Unacknowledged are the messages on their way, the oldest first.
func (l *Delivery) Unacknowledged() []Message { return l.waiting }

// Confirmed is the last acknowledged message of a document; At is when it was acknowledged.
func (l *Delivery) Confirmed(doc int) Message { return l.confirmed[doc] }

// Level is the level of service that the gateway is known to hold: that of the last message but those on their way.
func (l *Delivery) Level() int {
	if len(l.waiting) == 0 {
		return l.sent.Level
	}
	return max(l.confirmed[0].Level, l.confirmed[1].Level)
}

// MessageCount is how many messages there were in this start.
func (l *Delivery) MessageCount() int { return l.count }

// OfferResult is what becomes of a state offered.
type OfferResult int

const (
	OfferUnchanged    OfferResult = iota // it is what was sent last
	OfferAcknowledged                    // the same, and its mark is done at once
	OfferPiggybacked                     // the same, and its mark goes with the last message on its way
	OfferDeferred                        // it has to wait; what is offered then goes in its place
	OfferSend                            // it goes out now
)

// Offer says what a gateway is to hold from now on, with the mark that asks for its acknowledgement. Room is how many lines
// may be added to those on their way to all gateways. Urgent is asked where messages are getting few, or the room is too
// small: what closes a line does not wait for it, a first table does. The mark of Applied may be one that had to wait.
func (l *Delivery) Offer(now policyapi.Microseconds, s Snapshot, mark policyapi.AckID, room int, urgent func() bool) (OfferResult, Message) {
	m := Message{AckID: mark, SentAt: now, Changed: [DocumentCount]bool{l.void || !s.SameClusters(l.sent), l.void || !s.SameRoutes(l.sent)}}
	if m.Changed == ([DocumentCount]bool{}) {
		// Marks only grow: the newer one stands for the older, and an older one that waits must not take its place.
		m.AckID, l.owed, l.later = max(mark, l.owed), NoAckID, false
		l.sent.Level = s.Level
		switch n := len(l.waiting); {
		case m.AckID < 0:
			return OfferUnchanged, m
		case n > 0:
			l.waiting[n-1].AckID = m.AckID
			return OfferPiggybacked, m
		}
		return OfferAcknowledged, m
	}
	at := l.mayAt(now, urgent)
	if at <= now {
		if m.Lines = ChangeCost(l.sent, s); m.Lines > room && (len(l.sent.Clusters) == 0 || !urgent()) {
			at = now + roomAgain
		}
	}
	if at > now {
		// What it is to hold goes out whole with the next message that may. The mark goes with it, so that whoever waits for
		// it takes this one to be on its way.
		if l.later, l.laterAt = true, at; mark >= 0 {
			l.owed = max(l.owed, mark)
		}
		return OfferDeferred, m
	}
	m.AckID = max(mark, l.owed)
	l.later, l.owed, l.void = false, NoAckID, false
	l.count++
	m.Version = fmt.Sprintf("%s.%d", l.epoch, l.count)
	l.sent, m.Level = s, s.Level
	for d := range DocumentCount {
		if m.Changed[d] {
			l.changed[d] = m.Version
		}
	}
	l.times = append(l.times, now)
	l.waiting = append(l.waiting, m)
	return OfferSend, m
}

// mayAt is when the next message may go; now, or before, if it may at once. Urgent ones may as long as the span has
// any left; routine ones leave a few to them, and once half are used they keep a pace, so that the few left don't go in
// one burst.
func (l *Delivery) mayAt(now policyapi.Microseconds, urgent func() bool) policyapi.Microseconds {
	used := l.UsedMessages(now)
	b := l.budget
	if b.MaxMessages == 0 || used < b.MaxMessages/2 {
		return now
	}
	most := b.MaxMessages
	paced := now
	if !urgent() {
		most -= b.reserve()
		paced = l.times[len(l.times)-1] + b.pace()
	}
	if used < most {
		return paced
	}
	return max(paced, l.times[used-most]+b.Window+1)
}

// UsedMessages is how many messages the span has had.
func (l *Delivery) UsedMessages(now policyapi.Microseconds) int {
	l.times = slices.DeleteFunc(l.times, func(at policyapi.Microseconds) bool { return now-at > l.budget.Window })
	return len(l.times)
}

// DueAt is when something that had to wait may go, and whether there is any.
func (l *Delivery) DueAt() (policyapi.Microseconds, bool) { return l.laterAt, l.later }

// RetryAt is when the whole goes out again, and whether it is to.
func (l *Delivery) RetryAt() (policyapi.Microseconds, bool) { return l.retryAt, l.retryAt > 0 }

// Ack takes an acknowledgement of a document in and returns the messages that are done by it. Only what this start has
// sent on this connection and is still on its way counts; known is false for all else.
func (l *Delivery) Ack(now policyapi.Microseconds, doc int, version string) (done []Message, known bool) {
	at := slices.IndexFunc(l.waiting, func(m Message) bool { return m.Version == version })
	if at < 0 {
		return nil, version == l.confirmed[doc].Version
	}
	// A document that was replaced before it was read is held in its later form: earlier ones count as read.
	for i := range l.waiting[:at+1] {
		l.waiting[i].Acknowledged[doc] = true
	}
	l.confirmed[doc] = l.waiting[at]
	l.confirmed[doc].SentAt = now
	for len(l.waiting) > 0 && l.waiting[0].done() {
		done = append(done, l.waiting[0])
		l.waiting, l.refused = l.waiting[1:], 0
	}
	return done, true
}

// Reject takes a refusal in: the whole is sent again, later each time, since the gateway may have read at a bad moment
// and what it holds meanwhile is its last good one. It is false for what is not on its way.
func (l *Delivery) Reject(now policyapi.Microseconds, nonce string) (again policyapi.Microseconds, known bool) {
	if !slices.ContainsFunc(l.waiting, func(m Message) bool { return m.Version == nonce }) {
		return 0, false
	}
	l.refused++
	again = min(2*second<<min(l.refused-1, 4), 30*second)
	l.retryAt = now + again
	return again, true
}

// VerifyChecksum holds what a gateway says it has against what it should have, once nothing is on its way. Where they differ
// belief is void, and the whole is sent, later each time. Of are the versions that the checksum is of, if the gateway
// says: words that were overtaken on the way are of an earlier state and prove nothing. (A gateway with several
// connections was taken to hold something else because its last word on the one came after a later word on the other.)
func (l *Delivery) VerifyChecksum(now policyapi.Microseconds, sum uint64, of [DocumentCount]string) (want uint64, right bool) {
	overtaken := of != [DocumentCount]string{} && of != l.changed
	if sum == 0 || overtaken || len(l.waiting) > 0 || l.retryAt > 0 || len(l.sent.Clusters) == 0 {
		return sum, true
	}
	if want = Checksum(l.sent); sum == want {
		l.wrong = 0
		return want, true
	}
	l.wrong++
	l.retryAt = now + min(second<<min(l.wrong, 5), 30*second)
	return want, false
}

// StartRetry tells whether the time has come to send the whole again; it tells so once.
func (l *Delivery) StartRetry(now policyapi.Microseconds) bool {
	if l.retryAt == 0 || now < l.retryAt {
		return false
	}
	l.retryAt, l.void = 0, true
	return true
}

// IsUrgentChange tells whether going from one state to another is urgent: a line that is open in the one is not in the other
// because its backend is closed, or a kind that had none open has one.
func IsUrgentChange(from, to Snapshot, closed func(policyapi.EndpointID) bool) bool {
	open := map[string]map[policyapi.EndpointID]bool{}
	for _, c := range to.Clusters {
		open[c.Class] = map[policyapi.EndpointID]bool{}
		for _, l := range c.Endpoints {
			if !l.Withheld {
				open[c.Class][l.Endpoint] = true
			}
		}
	}
	for _, c := range from.Clusters {
		had := false
		for _, l := range c.Endpoints {
			had = had || !l.Withheld
			if !l.Withheld && !open[c.Class][l.Endpoint] && closed(l.Endpoint) {
				return true
			}
		}
		if !had && len(open[c.Class]) > 0 {
			return true
		}
	}
	return len(from.Clusters) == 0
}
