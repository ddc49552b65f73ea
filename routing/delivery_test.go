package routing

import (
	"testing"

	"pgregory.net/rapid"

	"porthub/policyapi"
)

// snapshotWith returns a snapshot of one class with endpoints a, b, c ... of the weights given; below 0 is withheld and 0 is
// left out.
func snapshotWith(weights ...float64) Snapshot {
	c := Cluster{Class: "view"}
	for i, w := range weights {
		if w != 0 {
			c.Endpoints = append(c.Endpoints, ClusterEndpoint{Endpoint: policyapi.EndpointID(rune('a' + i)), Zone: "z", Weight: max(w, -w), Withheld: w < 0})
		}
	}
	return Snapshot{Clusters: []Cluster{c}, Routes: []Route{{Class: "view", Rate: UnlimitedRate, Share: 1}}}
}

const unlimitedCapacity = 1 << 30

func notUrgent() bool { return false }
func isUrgent() bool  { return true }

// Routine changes in a burst leave messages for a drain, and the last of them is sent when it may, with its AckID.
func TestUrgentChangeAfterBurst(t *testing.T) {
	delivery := NewDelivery("e", Budget{MaxMessages: 20, Window: 10 * second})
	delivery.Connect()
	now, sent, offered := second, 0, 1.0
	for ; now < 6*second; now += second / 20 {
		if result, _ := delivery.Offer(now, snapshotWith(offered, 1), policyapi.AckID(int(offered)), unlimitedCapacity, notUrgent); result == OfferSend {
			sent++
		}
		offered++
	}
	if sent != 16 {
		t.Errorf("%d routine messages in five seconds, want 16", sent)
	}
	if result, m := delivery.Offer(now, snapshotWith(-offered, 1), NoAckID, unlimitedCapacity, isUrgent); result != OfferSend || m.AckID != policyapi.AckID(int(offered-1)) {
		t.Errorf("a drain: %v, %+v", result, m)
	}
	for i := range 6 {
		result, _ := delivery.Offer(now, snapshotWith(-offered, float64(2+i)), NoAckID, unlimitedCapacity, isUrgent)
		if want := i < 3; (result == OfferSend) != want {
			t.Errorf("urgent one %d after it: %v", i+1, result)
		}
	}
	at, deferred := delivery.DueAt()
	if !deferred || at <= now {
		t.Fatalf("the deferred change is due at %d, %t", at, deferred)
	}
	if result, _ := delivery.Offer(at, snapshotWith(-offered, 7), NoAckID, unlimitedCapacity, isUrgent); result != OfferSend {
		t.Errorf("and is not sent then: %v", result)
	}
}

// deliveryModel drives a Delivery and checks its invariants after each result.
type deliveryModel struct {
	t        *rapid.T
	delivery *Delivery
	now      policyapi.Microseconds

	sentAt       []policyapi.Microseconds
	urgentSentAt []policyapi.Microseconds // of the urgent ones among them
	requested    policyapi.AckID          // the last one offered
	reported     policyapi.AckID          // the newest one acknowledged
}

// The budget of a deliveryModel, and the part of it that is reserved for urgent changes.
const (
	modelMaxMessages   = 10
	modelWindow        = 10 * second
	modelUrgentReserve = modelMaxMessages / 5
)

func newDeliveryModel(t *rapid.T) *deliveryModel {
	m := &deliveryModel{
		t:         t,
		delivery:  NewDelivery("e", Budget{MaxMessages: modelMaxMessages, Window: modelWindow}),
		now:       second,
		requested: NoAckID,
		reported:  NoAckID,
	}
	m.delivery.Connect()
	return m
}

// inWindow counts the times that are in the window that ends now.
func (m *deliveryModel) inWindow(times []policyapi.Microseconds) (n int) {
	for _, at := range times {
		if m.now-at <= modelWindow {
			n++
		}
	}
	return n
}

// offer offers a snapshot and checks that no window has too many messages and that an urgent change waits only for urgent ones.
func (m *deliveryModel) offer(snapshot Snapshot, ackID policyapi.AckID, urgent bool) {
	result, message := m.delivery.Offer(m.now, snapshot, ackID, unlimitedCapacity, func() bool { return urgent })
	switch result {
	case OfferAcknowledged:
		m.reported = max(m.reported, message.AckID)
	case OfferSend:
		m.sentAt = append(m.sentAt, m.now)
		if urgent {
			m.urgentSentAt = append(m.urgentSentAt, m.now)
		}
	case OfferDeferred:
		if urgentSent := m.inWindow(m.urgentSentAt); urgent && urgentSent < modelUrgentReserve {
			m.t.Fatalf("an urgent change is deferred after %d urgent ones, %d in all", urgentSent, m.inWindow(m.sentAt))
		}
	}
	if n := m.inWindow(m.sentAt); n > modelMaxMessages {
		m.t.Fatalf("%d messages in a window", n)
	}
}

// acknowledgeLast acknowledges all documents of the last message in flight, if there is one.
func (m *deliveryModel) acknowledgeLast() {
	for document := range DocumentCount {
		inFlight := m.delivery.Unacknowledged()
		if len(inFlight) == 0 {
			return
		}
		complete, known := m.delivery.Ack(m.now, document, inFlight[len(inFlight)-1].Version)
		if !known {
			m.t.Fatal("a message in flight is not known")
		}
		for _, message := range complete {
			m.reported = max(m.reported, message.AckID)
		}
	}
}

// drawnStep lets some time pass and offers, acknowledges or rejects something; number becomes the AckID of an offer.
func (m *deliveryModel) drawnStep(number int) {
	m.now += policyapi.Microseconds(rapid.Int64Range(0, int64(second)).Draw(m.t, "gap"))
	urgent := rapid.IntRange(0, 9).Draw(m.t, "urgent") == 0
	switch rapid.IntRange(0, 5).Draw(m.t, "what") {
	case 0, 1, 2:
		m.requested = policyapi.AckID(number)
		m.offer(snapshotWith(float64(rapid.IntRange(1, 4).Draw(m.t, "weight"))), m.requested, urgent)
	case 3:
		m.acknowledgeLast()
	case 4:
		if inFlight := m.delivery.Unacknowledged(); len(inFlight) > 0 {
			m.delivery.Reject(m.now, inFlight[0].Version)
		}
	case 5:
		m.delivery.Ack(m.now, 0, "e.9999")
	}
	if m.delivery.StartRetry(m.now) && !m.delivery.Invalidated() {
		m.t.Fatal("a retry that does not invalidate")
	}
}

// However snapshots are offered, acknowledged and rejected, no window has more messages than its budget, no AckID is lost,
// and an urgent change waits only if urgent ones have used up the window.
func TestDeliveryInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newDeliveryModel(t)
		for number := range rapid.IntRange(1, 120).Draw(t, "steps") {
			m.drawnStep(number)
		}
		// In the end time passes and everything is acknowledged: the last AckID has been reported.
		for range 4 {
			m.now += modelWindow + second
			m.offer(m.delivery.Sent(), NoAckID, false)
			m.acknowledgeLast()
		}
		if m.reported != m.requested {
			t.Fatalf("AckID %d was requested, %d reported", m.requested, m.reported)
		}
	})
}

func TestIsUrgentChange(t *testing.T) {
	closed := func(id policyapi.EndpointID) bool { return id == "a" }
	for name, c := range map[string]struct {
		from, to Snapshot
		want     bool
	}{
		"closed endpoint is withheld":  {snapshotWith(1, 1), snapshotWith(-1, 1), true},
		"closed endpoint is removed":   {snapshotWith(1, 1), snapshotWith(0, 1), true},
		"other endpoint is removed":    {snapshotWith(1, 1, 1), snapshotWith(1, 0, 1), false},
		"endpoint was withheld before": {snapshotWith(-1, 1), snapshotWith(0, 1), false},
		"weight changes":               {snapshotWith(1, 1), snapshotWith(1, 2), false},
		"first open endpoint":          {snapshotWith(-1), snapshotWith(-1, 1), true},
		"first snapshot":               {Snapshot{}, snapshotWith(1), true},
	} {
		t.Run(name, func(t *testing.T) {
			if got := IsUrgentChange(c.from, c.to, closed); got != c.want {
				t.Errorf("urgent: %t, want %t", got, c.want)
			}
		})
	}
}

// After wrong checksums and rejections everything is sent again, later each time, and after a right one nothing is.
func TestResyncBackoff(t *testing.T) {
	delivery := NewDelivery("e", Budget{})
	delivery.Connect()
	now, snapshot := second, snapshotWith(1, 2)
	if result, _ := delivery.Offer(now, snapshot, NoAckID, unlimitedCapacity, notUrgent); result != OfferSend {
		t.Fatalf("after a connect: %v", result)
	}
	acknowledge := func() {
		for document := range DocumentCount {
			delivery.Ack(now, document, delivery.Unacknowledged()[0].Version)
			if len(delivery.Unacknowledged()) == 0 {
				break
			}
		}
	}
	acknowledge()
	lastWait := policyapi.Microseconds(0)
	for i := range 4 {
		if _, ok := delivery.VerifyChecksum(now, Checksum(snapshot)+1, [DocumentCount]string{}); ok {
			t.Fatal("a wrong checksum is accepted")
		}
		from := now
		for !delivery.StartRetry(now) {
			now += second / 4
		}
		wait := now - from
		if wait <= lastWait {
			t.Errorf("resync %d: after %d us, not later than the one before", i, wait)
		}
		lastWait = wait
		if result, m := delivery.Offer(now, snapshot, NoAckID, unlimitedCapacity, notUrgent); result != OfferSend || m.Changed != [DocumentCount]bool{true, true} {
			t.Fatalf("invalidated: %v %+v", result, m)
		}
		acknowledge()
	}
	if _, ok := delivery.VerifyChecksum(now, Checksum(snapshot), [DocumentCount]string{}); !ok || delivery.StartRetry(now+60*second) {
		t.Error("the right checksum is not accepted, or everything is sent again")
	}
	if result, _ := delivery.Offer(now, snapshot, NoAckID, unlimitedCapacity, notUrgent); result != OfferUnchanged {
		t.Errorf("nothing has changed: %v", result)
	}
	delivery.Offer(now, snapshotWith(3), NoAckID, unlimitedCapacity, notUrgent)
	if _, known := delivery.Reject(now, "other.1"); known {
		t.Error("a rejection of an unknown message counts")
	}
	if backoff, known := delivery.Reject(now, delivery.Unacknowledged()[0].Version); !known || backoff != 2*second {
		t.Errorf("a rejection: %d, %t", backoff, known)
	}
}

// Without capacity for lines in flight a routine change and a first snapshot are deferred with their AckID; an urgent
// change is not.
func TestNoCapacityInFlight(t *testing.T) {
	delivery := NewDelivery("e", Budget{MaxMessages: 20, Window: 10 * second})
	delivery.Connect()
	now := second
	if result, _ := delivery.Offer(now, snapshotWith(1, 2), 5, 1, isUrgent); result != OfferDeferred {
		t.Errorf("a first snapshot: %v", result)
	}
	at, deferred := delivery.DueAt()
	if result, m := delivery.Offer(at, snapshotWith(1, 2), NoAckID, unlimitedCapacity, notUrgent); !deferred || result != OfferSend || m.AckID != 5 {
		t.Errorf("with capacity: %v, %+v", result, m)
	}
	if result, _ := delivery.Offer(at, snapshotWith(1, 3), 6, 0, notUrgent); result != OfferDeferred {
		t.Errorf("routine: %v", result)
	}
	if result, m := delivery.Offer(at, snapshotWith(1, 4), NoAckID, 0, isUrgent); result != OfferSend || m.AckID != 6 {
		t.Errorf("urgent: %v, %+v", result, m)
	}
}
