package routing

import (
	"testing"

	"pgregory.net/rapid"

	"porthub/policyapi"
)

// snapshotWith returns a snapshot of one class with the endpoints a, b, c and so on, which have the given weights. An endpoint with a
// negative weight is withheld, one with a weight of 0 is omitted.
func snapshotWith(weights ...float64) Snapshot {
	c := Cluster{Class: "view"}
	for i, w := range weights {
		if w != 0 {
			c.Endpoints = append(c.Endpoints, ClusterEndpoint{
				Endpoint: policyapi.EndpointID(rune('a' + i)), Zone: "z", Weight: max(w, -w), Withheld: w < 0,
			})
		}
	}
	return Snapshot{Clusters: []Cluster{c}, Routes: []Route{{Class: "view", Rate: UnlimitedRate, Share: 1}}}
}

const unlimitedCapacity = 1 << 30

func notUrgent() bool { return false }
func isUrgent() bool  { return true }

// A burst of routine changes leaves messages for urgent ones such as drains. The first urgent message reports the AckID of the last
// deferred change, and a change that exceeds the budget is sent when it is due.
func TestUrgentChangeAfterBurst(t *testing.T) {
	delivery := NewDelivery("e", Budget{MaxMessages: 20, Window: 10 * second})
	delivery.Connect()
	now, sent, offered := second, 0, 1.0
	for ; now < 6*second; now += second / 20 {
		ackID := policyapi.AckID(int(offered))
		if result, _ := delivery.Offer(now, snapshotWith(offered, 1), ackID, unlimitedCapacity, notUrgent); result == OfferSend {
			sent++
		}
		offered++
	}
	if sent != 16 {
		t.Errorf("%d routine messages sent in five seconds, want 16", sent)
	}
	lastAckID := policyapi.AckID(int(offered - 1))
	result, m := delivery.Offer(now, snapshotWith(-offered, 1), NoAckID, unlimitedCapacity, isUrgent)
	if result != OfferSend || m.AckID != lastAckID {
		t.Errorf("Offer of a drain = %v, %+v; want %v with AckID %d", result, m, OfferSend, lastAckID)
	}
	for i := range 6 {
		result, _ := delivery.Offer(now, snapshotWith(-offered, float64(2+i)), NoAckID, unlimitedCapacity, isUrgent)
		if want := i < 3; (result == OfferSend) != want {
			t.Errorf("Offer of urgent change %d after the drain = %v, want it sent: %t", i+1, result, want)
		}
	}
	at, deferred := delivery.DueAt()
	if !deferred || at <= now {
		t.Fatalf("DueAt = %d, %t; want a time after %d and true", at, deferred, now)
	}
	if result, _ := delivery.Offer(at, snapshotWith(-offered, 7), NoAckID, unlimitedCapacity, isUrgent); result != OfferSend {
		t.Errorf("Offer of the deferred change when it is due = %v, want %v", result, OfferSend)
	}
}

// deliveryModel calls a Delivery with drawn inputs and checks its invariants after each result.
type deliveryModel struct {
	t        *rapid.T
	delivery *Delivery
	now      policyapi.Microseconds

	sentAt       []policyapi.Microseconds
	urgentSentAt []policyapi.Microseconds // times in sentAt of urgent changes
	requested    policyapi.AckID          // last AckID offered
	reported     policyapi.AckID          // newest AckID acknowledged
}

// The budget of a deliveryModel, and the messages of it that are reserved for urgent changes.
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

// inWindow returns how many of the times are in the window that ends now.
func (m *deliveryModel) inWindow(times []policyapi.Microseconds) (n int) {
	for _, at := range times {
		if m.now-at <= modelWindow {
			n++
		}
	}
	return n
}

// offer offers a snapshot. It fails if a window has more messages than the budget, or if an urgent change is deferred although urgent
// changes have not used the reserve.
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
			m.t.Fatalf("an urgent change is deferred with %d urgent messages in the window, %d in all; want it sent while fewer than %d are urgent",
				urgentSent, m.inWindow(m.sentAt), modelUrgentReserve)
		}
	}
	if n := m.inWindow(m.sentAt); n > modelMaxMessages {
		m.t.Fatalf("%d messages in a window, want at most %d", n, modelMaxMessages)
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
			m.t.Fatalf("Ack of a message in flight, %s, returns ok = false", inFlight[len(inFlight)-1].Version)
		}
		for _, message := range complete {
			m.reported = max(m.reported, message.AckID)
		}
	}
}

// drawnStep advances the time and offers a snapshot, or acknowledges or rejects a message. number becomes the AckID of an offer.
func (m *deliveryModel) drawnStep(number int) {
	m.now += policyapi.Microseconds(rapid.Int64Range(0, int64(second)).Draw(m.t, "elapsed"))
	urgent := rapid.IntRange(0, 9).Draw(m.t, "urgent") == 0
	switch rapid.IntRange(0, 5).Draw(m.t, "action") {
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
		m.delivery.Ack(m.now, 0, "e.9999") // a version that was never sent
	}
	if m.delivery.StartRetry(m.now) && !m.delivery.Invalidated() {
		m.t.Fatal("Invalidated = false after StartRetry returned true, want true")
	}
}

// However snapshots are offered, acknowledged and rejected, no window has more messages than its budget, no AckID is lost, and an
// urgent change is deferred only if urgent ones have used their reserve.
func TestDeliveryInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newDeliveryModel(t)
		for number := range rapid.IntRange(1, 120).Draw(t, "steps") {
			m.drawnStep(number)
		}
		// Once the window has passed and all messages are acknowledged, the last AckID must have been reported.
		for range 4 {
			m.now += modelWindow + second
			m.offer(m.delivery.Sent(), NoAckID, false)
			m.acknowledgeLast()
		}
		if m.reported != m.requested {
			t.Fatalf("newest reported AckID = %d, want the last one offered, %d", m.reported, m.requested)
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
				t.Errorf("IsUrgentChange = %t, want %t", got, c.want)
			}
		})
	}
}

// Wrong checksums and rejections cause a full resync, each after a longer time. A correct checksum causes none.
func TestResyncBackoff(t *testing.T) {
	delivery := NewDelivery("e", Budget{})
	delivery.Connect()
	now, snapshot := second, snapshotWith(1, 2)
	if result, _ := delivery.Offer(now, snapshot, NoAckID, unlimitedCapacity, notUrgent); result != OfferSend {
		t.Fatalf("Offer after Connect = %v, want %v", result, OfferSend)
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
			t.Fatal("VerifyChecksum of a wrong checksum returns ok = true, want false")
		}
		from := now
		for !delivery.StartRetry(now) {
			now += second / 4
		}
		wait := now - from
		if wait <= lastWait {
			t.Errorf("resync %d after %d us, want more than the %d us of the one before", i, wait, lastWait)
		}
		lastWait = wait
		result, m := delivery.Offer(now, snapshot, NoAckID, unlimitedCapacity, notUrgent)
		if result != OfferSend || m.Changed != [DocumentCount]bool{true, true} {
			t.Fatalf("Offer of the same snapshot when a resync is due = %v, %+v; want %v with all documents", result, m, OfferSend)
		}
		acknowledge()
	}
	if _, ok := delivery.VerifyChecksum(now, Checksum(snapshot), [DocumentCount]string{}); !ok || delivery.StartRetry(now+60*second) {
		t.Errorf("VerifyChecksum of the correct checksum: ok = %t, want true, and no resync within 60 s", ok)
	}
	if result, _ := delivery.Offer(now, snapshot, NoAckID, unlimitedCapacity, notUrgent); result != OfferUnchanged {
		t.Errorf("Offer of an unchanged snapshot = %v, want %v", result, OfferUnchanged)
	}
	delivery.Offer(now, snapshotWith(3), NoAckID, unlimitedCapacity, notUrgent)
	if _, known := delivery.Reject(now, "other.1"); known {
		t.Error("Reject of a message that was never sent returns ok = true, want false")
	}
	if backoff, known := delivery.Reject(now, delivery.Unacknowledged()[0].Version); !known || backoff != 2*second {
		t.Errorf("Reject of a message in flight = %d us, %t; want %d us, true", backoff, known, 2*second)
	}
}

// Without capacity for lines in flight, routine changes and the first snapshot of a connection are deferred with their AckID. Other
// urgent changes are sent.
func TestNoCapacityInFlight(t *testing.T) {
	delivery := NewDelivery("e", Budget{MaxMessages: 20, Window: 10 * second})
	delivery.Connect()
	now := second
	if result, _ := delivery.Offer(now, snapshotWith(1, 2), 5, 1, isUrgent); result != OfferDeferred {
		t.Errorf("Offer of the first snapshot without capacity = %v, want %v", result, OfferDeferred)
	}
	at, deferred := delivery.DueAt()
	result, m := delivery.Offer(at, snapshotWith(1, 2), NoAckID, unlimitedCapacity, notUrgent)
	if !deferred || result != OfferSend || m.AckID != 5 {
		t.Errorf("Offer of the first snapshot with capacity = %v, %+v, deferred before: %t; want %v with AckID 5, true",
			result, m, deferred, OfferSend)
	}
	if result, _ := delivery.Offer(at, snapshotWith(1, 3), 6, 0, notUrgent); result != OfferDeferred {
		t.Errorf("Offer of a routine change without capacity = %v, want %v", result, OfferDeferred)
	}
	if result, m := delivery.Offer(at, snapshotWith(1, 4), NoAckID, 0, isUrgent); result != OfferSend || m.AckID != 6 {
		t.Errorf("Offer of an urgent change without capacity = %v, %+v; want %v with AckID 6", result, m, OfferSend)
	}
}
