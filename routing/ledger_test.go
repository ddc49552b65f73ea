package routing

import (
	"testing"

	"pgregory.net/rapid"

	"porthub/policyapi"
)

func held(weights ...float64) Snapshot {
	c := Cluster{Class: "view"}
	for i, w := range weights {
		if w != 0 {
			c.Endpoints = append(c.Endpoints, ClusterEndpoint{Endpoint: policyapi.EndpointID(rune('a' + i)), Zone: "z", Weight: max(w, -w), Withheld: w < 0})
		}
	}
	return Snapshot{Clusters: []Cluster{c}, Routes: []Route{{Class: "view", Rate: UnlimitedRate, Share: 1}}}
}

const plenty = 1 << 30 // of room

func no() bool  { return false }
func yes() bool { return true }

// Routine changes as fast as they come must leave room for a drain, and the last of them goes out when it may, with the
// mark that waits for it.
func TestDrainAfterABurst(t *testing.T) {
	l := NewDelivery("e", Budget{MaxMessages: 20, Window: 10 * second})
	l.Connect()
	now, sent, offered := second, 0, 1.0
	for ; now < 6*second; now += second / 20 {
		if v, _ := l.Offer(now, held(offered, 1), policyapi.AckID(int(offered)), plenty, no); v == OfferSend {
			sent++
		}
		offered++
	}
	if sent != 16 {
		t.Errorf("%d routine messages in five seconds, want 16", sent)
	}
	if v, m := l.Offer(now, held(-offered, 1), NoAckID, plenty, yes); v != OfferSend || m.AckID != policyapi.AckID(int(offered-1)) {
		t.Errorf("a drain: %v, %+v", v, m)
	}
	for i := range 6 {
		v, _ := l.Offer(now, held(-offered, float64(2+i)), NoAckID, plenty, yes)
		if want := i < 3; (v == OfferSend) != want {
			t.Errorf("urgent one %d after it: %v", i+1, v)
		}
	}
	at, later := l.DueAt()
	if !later || at <= now {
		t.Fatalf("what had to wait is due at %d, %t", at, later)
	}
	if v, _ := l.Offer(at, held(-offered, 7), NoAckID, plenty, yes); v != OfferSend {
		t.Errorf("and does not go then: %v", v)
	}
}

// However states are offered, lost, confirmed and refused, no span has more messages than it may, no mark is lost, and an
// urgent change waits only if the span is used up by urgent ones.
func TestLedgerAlways(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const most, span = 10, 10 * second
		l := NewDelivery("e", Budget{MaxMessages: most, Window: span})
		l.Connect()
		now := second
		var times, urgents []policyapi.Microseconds
		asked, told := NoAckID, NoAckID
		within := func(at []policyapi.Microseconds) (n int) {
			for _, x := range at {
				if now-x <= span {
					n++
				}
			}
			return n
		}
		note := func(v OfferResult, m Message, urgent bool) {
			switch v {
			case OfferAcknowledged:
				told = max(told, m.AckID)
			case OfferSend:
				times = append(times, now)
				if urgent {
					urgents = append(urgents, now)
				}
			case OfferDeferred:
				if urgent && within(urgents) < most/5 {
					t.Fatalf("an urgent change waits after %d urgent ones, %d in all", within(urgents), within(times))
				}
			}
			if n := within(times); n > most {
				t.Fatalf("%d messages in a span", n)
			}
		}
		for i := range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += policyapi.Microseconds(rapid.Int64Range(0, int64(second)).Draw(t, "gap"))
			urgent := rapid.IntRange(0, 9).Draw(t, "urgent") == 0
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1, 2:
				asked = policyapi.AckID(i)
				v, m := l.Offer(now, held(float64(rapid.IntRange(1, 4).Draw(t, "weight"))), asked, plenty, func() bool { return urgent })
				note(v, m, urgent)
			case 3:
				if w := l.Unacknowledged(); len(w) > 0 {
					for d := range DocumentCount {
						done, known := l.Ack(now, d, w[len(w)-1].Version)
						if !known {
							t.Fatal("what is on its way is not known")
						}
						for _, m := range done {
							told = max(told, m.AckID)
						}
						if len(l.Unacknowledged()) == 0 {
							break
						}
					}
				}
			case 4:
				if w := l.Unacknowledged(); len(w) > 0 {
					l.Reject(now, w[0].Version)
				}
			case 5:
				l.Ack(now, 0, "e.9999")
			}
			if l.StartRetry(now) && !l.Invalidated() {
				t.Fatal("a retry that sends nothing")
			}
		}
		// The end: time passes and all that is sent is confirmed; the last mark asked for has been told.
		for range 4 {
			now += span + second
			v, m := l.Offer(now, l.Sent(), NoAckID, plenty, no)
			note(v, m, false)
			if w := l.Unacknowledged(); len(w) > 0 {
				for d := range DocumentCount {
					done, _ := l.Ack(now, d, w[len(w)-1].Version)
					for _, m := range done {
						told = max(told, m.AckID)
					}
					if len(l.Unacknowledged()) == 0 {
						break
					}
				}
			}
		}
		if told != asked {
			t.Fatalf("mark %d was asked for, %d told", asked, told)
		}
	})
}

// What is urgent: an open line that a closed backend loses, a kind that gets its first open line.
func TestCloses(t *testing.T) {
	closed := func(b policyapi.EndpointID) bool { return b == "a" }
	for name, c := range map[string]struct {
		from, to Snapshot
		want     bool
	}{
		"a closed one is withheld":    {held(1, 1), held(-1, 1), true},
		"a closed one loses its line": {held(1, 1), held(0, 1), true},
		"an open one loses its line":  {held(1, 1, 1), held(1, 0, 1), false},
		"it was withheld before":      {held(-1, 1), held(0, 1), false},
		"a weight":                    {held(1, 1), held(1, 2), false},
		"the first open line":         {held(-1), held(-1, 1), true},
		"from nothing":                {Snapshot{}, held(1), true},
	} {
		if got := IsUrgentChange(c.from, c.to, closed); got != c.want {
			t.Errorf("%s: %t", name, got)
		}
	}
}

// Checksums and refusals: the whole goes out again, later each time, and once what it holds is right nothing does.
func TestBeliefIsVoid(t *testing.T) {
	l := NewDelivery("e", Budget{})
	l.Connect()
	now, s := second, held(1, 2)
	if v, _ := l.Offer(now, s, NoAckID, plenty, no); v != OfferSend {
		t.Fatalf("after a join: %v", v)
	}
	confirm := func() {
		for d := range DocumentCount {
			l.Ack(now, d, l.Unacknowledged()[0].Version)
			if len(l.Unacknowledged()) == 0 {
				break
			}
		}
	}
	confirm()
	last := policyapi.Microseconds(0)
	for i := range 4 {
		if _, right := l.VerifyChecksum(now, Checksum(s)+1, [DocumentCount]string{}); right {
			t.Fatal("a wrong checksum passes")
		}
		began := now
		for !l.StartRetry(now) {
			now += second / 4
		}
		if wait := now - began; wait <= last {
			t.Errorf("time %d: sent again after %d us, not later than the last", i, wait)
		} else {
			last = wait
		}
		if v, m := l.Offer(now, s, NoAckID, plenty, no); v != OfferSend || m.Changed != [DocumentCount]bool{true, true} {
			t.Fatalf("void: %v %+v", v, m)
		}
		confirm()
	}
	if _, right := l.VerifyChecksum(now, Checksum(s), [DocumentCount]string{}); !right || l.StartRetry(now+60*second) {
		t.Error("the right one does not pass, or is sent again")
	}
	if v, _ := l.Offer(now, s, NoAckID, plenty, no); v != OfferUnchanged {
		t.Errorf("nothing has changed: %v", v)
	}
	l.Offer(now, held(3), NoAckID, plenty, no)
	if _, known := l.Reject(now, "other.1"); known {
		t.Error("a refusal of what was never sent counts")
	}
	if again, known := l.Reject(now, l.Unacknowledged()[0].Version); !known || again != 2*second {
		t.Errorf("a refusal: %d, %t", again, known)
	}
}

// Where the lines on their way to all gateways leave no room a routine change and a first table wait, with their mark; what
// closes a line does not.
func TestNoRoom(t *testing.T) {
	l := NewDelivery("e", Budget{MaxMessages: 20, Window: 10 * second})
	l.Connect()
	now := second
	if v, _ := l.Offer(now, held(1, 2), 5, 1, yes); v != OfferDeferred {
		t.Errorf("a first table: %v", v)
	}
	at, later := l.DueAt()
	if v, m := l.Offer(at, held(1, 2), NoAckID, plenty, no); !later || v != OfferSend || m.AckID != 5 {
		t.Errorf("with room: %v, %+v", v, m)
	}
	if v, _ := l.Offer(at, held(1, 3), 6, 0, no); v != OfferDeferred {
		t.Errorf("routine: %v", v)
	}
	if v, m := l.Offer(at, held(1, 4), NoAckID, 0, yes); v != OfferSend || m.AckID != 6 {
		t.Errorf("urgent: %v, %+v", v, m)
	}
}
