package tables

import (
	"fmt"
	"slices"

	"porthub/control"
)

const second control.Microseconds = 1_000_000

// roomAgain is when what found no room is offered again: acknowledgements take about so long.
const roomAgain = second / 8

// Docs is how many documents a gateway is given: endpoints, then routes.
const Docs = 2

// Budget bounds the messages to one gateway.
type Budget struct {
	Most int                  // in any span; 0: no bound
	Span control.Microseconds // with what is left at its end, since a message arrives a little later than it was published
}

// reserve is how many messages of a span are left to changes that rules wait for: without it a burst of routine changes
// could use up all of them, and a drain would wait until the span has passed.
func (b Budget) reserve() int { return b.Most / 5 }

// pace is the least time between routine messages once half of the span's are used.
func (b Budget) pace() control.Microseconds { return b.Span / control.Microseconds(max(1, 2*b.Most)) }

// Message is one publication on its way.
type Message struct {
	Version string               `json:"version"` // of the documents in it; also its nonce
	Changed [Docs]bool           `json:"changed"`
	Acked   [Docs]bool           `json:"acked"`
	Mark    control.AckID        `json:"mark"` // that goes with it; -1: none
	At      control.Microseconds `json:"at_us"`
	Lines   int                  `json:"lines"`
	Level   int                  `json:"level"` // of service, by which it was made
}

func (m Message) done() bool {
	for d := range Docs {
		if m.Changed[d] && !m.Acked[d] {
			return false
		}
	}
	return true
}

// NoMark stands for no mark.
const NoMark control.AckID = -1

// Ledger is what one gateway is believed to hold (confirmed, on its way, or not known) and what it may be sent now. It is
// pure: time is handed in.
type Ledger struct {
	epoch  string // names this start: versions of two starts never look alike
	budget Budget

	sent      Snapshot // by the last message
	void      bool     // belief is void: the whole goes out even if nothing changed
	waiting   []Message
	confirmed [Docs]Message
	changed   [Docs]string // version of the last message with a document in it
	count     int          // messages in this start

	times   []control.Microseconds // of messages within the span
	later   bool                   // something had to wait, until laterAt
	laterAt control.Microseconds
	owed    control.AckID // mark of what had to wait
	retryAt control.Microseconds
	refused int // in a row
	wrong   int // checksums in a row that were not what it should hold
}

// NewLedger is the ledger of a gateway that nothing is known of.
func NewLedger(epoch string, b Budget) *Ledger { return &Ledger{epoch: epoch, budget: b, owed: NoMark} }

// Join begins a connection: what the gateway holds is not known. What it was sent before still counts against the limit.
func (l *Ledger) Join() {
	*l = Ledger{epoch: l.epoch, budget: l.budget, count: l.count, times: l.times, confirmed: l.confirmed, wrong: l.wrong, void: true, owed: NoMark}
}

// Part ends it: what is on its way will not be confirmed.
func (l *Ledger) Part() { l.waiting = nil }

// Void says that what the gateway holds is not known any more.
func (l *Ledger) Void() { l.void = true }

// Voided tells whether the whole has to go out.
func (l *Ledger) Voided() bool { return l.void }

// Sent is what the gateway holds once all on its way has come.
func (l *Ledger) Sent() Snapshot { return l.sent }

// Waiting are the messages on their way, the oldest first.
func (l *Ledger) Waiting() []Message { return l.waiting }

// Confirmed is the last acknowledged message of a document; At is when it was acknowledged.
func (l *Ledger) Confirmed(doc int) Message { return l.confirmed[doc] }

// Level is the level of service that the gateway is known to hold: that of the last message but those on their way.
func (l *Ledger) Level() int {
	if len(l.waiting) == 0 {
		return l.sent.Level
	}
	return max(l.confirmed[0].Level, l.confirmed[1].Level)
}

// Count is how many messages there were in this start.
func (l *Ledger) Count() int { return l.count }

// Verdict is what becomes of a state offered.
type Verdict int

const (
	Nothing Verdict = iota // it is what was sent last
	Applied                // the same, and its mark is done at once
	Rides                  // the same, and its mark goes with the last message on its way
	Later                  // it has to wait; what is offered then goes in its place
	Send                   // it goes out now
)

// Offer says what a gateway is to hold from now on, with the mark that asks for its acknowledgement. Room is how many lines
// may be added to those on their way to all gateways. Urgent is asked where messages are getting few, or the room is too
// small: what closes a line does not wait for it, a first table does. The mark of Applied may be one that had to wait.
func (l *Ledger) Offer(now control.Microseconds, s Snapshot, mark control.AckID, room int, urgent func() bool) (Verdict, Message) {
	m := Message{Mark: mark, At: now, Changed: [Docs]bool{l.void || !s.SameClusters(l.sent), l.void || !s.SameRoutes(l.sent)}}
	if m.Changed == ([Docs]bool{}) {
		// Marks only grow: the newer one stands for the older, and an older one that waits must not take its place.
		m.Mark, l.owed, l.later = max(mark, l.owed), NoMark, false
		l.sent.Level = s.Level
		switch n := len(l.waiting); {
		case m.Mark < 0:
			return Nothing, m
		case n > 0:
			l.waiting[n-1].Mark = m.Mark
			return Rides, m
		}
		return Applied, m
	}
	at := l.mayAt(now, urgent)
	if at <= now {
		if m.Lines = Cost(l.sent, s); m.Lines > room && (len(l.sent.Clusters) == 0 || !urgent()) {
			at = now + roomAgain
		}
	}
	if at > now {
		// What it is to hold goes out whole with the next message that may. The mark goes with it, so that whoever waits for
		// it takes this one to be on its way.
		if l.later, l.laterAt = true, at; mark >= 0 {
			l.owed = max(l.owed, mark)
		}
		return Later, m
	}
	m.Mark = max(mark, l.owed)
	l.later, l.owed, l.void = false, NoMark, false
	l.count++
	m.Version = fmt.Sprintf("%s.%d", l.epoch, l.count)
	l.sent, m.Level = s, s.Level
	for d := range Docs {
		if m.Changed[d] {
			l.changed[d] = m.Version
		}
	}
	l.times = append(l.times, now)
	l.waiting = append(l.waiting, m)
	return Send, m
}

// mayAt is when the next message may go; now, or before, if it may at once. Urgent ones may as long as the span has
// any left; routine ones leave a few to them, and once half are used they keep a pace, so that the few left don't go in
// one burst.
func (l *Ledger) mayAt(now control.Microseconds, urgent func() bool) control.Microseconds {
	used := l.Used(now)
	b := l.budget
	if b.Most == 0 || used < b.Most/2 {
		return now
	}
	most := b.Most
	paced := now
	if !urgent() {
		most -= b.reserve()
		paced = l.times[len(l.times)-1] + b.pace()
	}
	if used < most {
		return paced
	}
	return max(paced, l.times[used-most]+b.Span+1)
}

// Used is how many messages the span has had.
func (l *Ledger) Used(now control.Microseconds) int {
	l.times = slices.DeleteFunc(l.times, func(at control.Microseconds) bool { return now-at > l.budget.Span })
	return len(l.times)
}

// DueAt is when something that had to wait may go, and whether there is any.
func (l *Ledger) DueAt() (control.Microseconds, bool) { return l.laterAt, l.later }

// RetryAt is when the whole goes out again, and whether it is to.
func (l *Ledger) RetryAt() (control.Microseconds, bool) { return l.retryAt, l.retryAt > 0 }

// Ack takes an acknowledgement of a document in and returns the messages that are done by it. Only what this start has
// sent on this connection and is still on its way counts; known is false for all else.
func (l *Ledger) Ack(now control.Microseconds, doc int, version string) (done []Message, known bool) {
	at := slices.IndexFunc(l.waiting, func(m Message) bool { return m.Version == version })
	if at < 0 {
		return nil, version == l.confirmed[doc].Version
	}
	// A document that was replaced before it was read is held in its later form: earlier ones count as read.
	for i := range l.waiting[:at+1] {
		l.waiting[i].Acked[doc] = true
	}
	l.confirmed[doc] = l.waiting[at]
	l.confirmed[doc].At = now
	for len(l.waiting) > 0 && l.waiting[0].done() {
		done = append(done, l.waiting[0])
		l.waiting, l.refused = l.waiting[1:], 0
	}
	return done, true
}

// Refuse takes a refusal in: the whole is sent again, later each time, since the gateway may have read at a bad moment
// and what it holds meanwhile is its last good one. It is false for what is not on its way.
func (l *Ledger) Refuse(now control.Microseconds, nonce string) (again control.Microseconds, known bool) {
	if !slices.ContainsFunc(l.waiting, func(m Message) bool { return m.Version == nonce }) {
		return 0, false
	}
	l.refused++
	again = min(2*second<<min(l.refused-1, 4), 30*second)
	l.retryAt = now + again
	return again, true
}

// Check holds what a gateway says it has against what it should have, once nothing is on its way. Where they differ
// belief is void, and the whole is sent, later each time. Of are the versions that the checksum is of, if the gateway
// says: words that were overtaken on the way are of an earlier state and prove nothing. (A gateway with several
// connections was taken to hold something else because its last word on the one came after a later word on the other.)
func (l *Ledger) Check(now control.Microseconds, sum uint64, of [Docs]string) (want uint64, right bool) {
	overtaken := of != [Docs]string{} && of != l.changed
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

// Retry tells whether the time has come to send the whole again; it tells so once.
func (l *Ledger) Retry(now control.Microseconds) bool {
	if l.retryAt == 0 || now < l.retryAt {
		return false
	}
	l.retryAt, l.void = 0, true
	return true
}

// Closes tells whether going from one state to another is urgent: a line that is open in the one is not in the other
// because its backend is closed, or a kind that had none open has one.
func Closes(from, to Snapshot, closed func(control.EndpointID) bool) bool {
	open := map[string]map[control.EndpointID]bool{}
	for _, c := range to.Clusters {
		open[c.Kind] = map[control.EndpointID]bool{}
		for _, l := range c.Lines {
			if !l.Withheld {
				open[c.Kind][l.Backend] = true
			}
		}
	}
	for _, c := range from.Clusters {
		had := false
		for _, l := range c.Lines {
			had = had || !l.Withheld
			if !l.Withheld && !open[c.Kind][l.Backend] && closed(l.Backend) {
				return true
			}
		}
		if !had && len(open[c.Kind]) > 0 {
			return true
		}
	}
	return len(from.Clusters) == 0
}
