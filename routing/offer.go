package routing

import (
	"fmt"

	"porthub/policyapi"
)

// OfferResult is the decision about a snapshot offered to a Delivery.
type OfferResult int

// The results of Offer.
const (
	OfferUnchanged    OfferResult = iota // it was sent last
	OfferAcknowledged                    // it is acknowledged already, and so is its AckID
	OfferPiggybacked                     // it is in flight, and its AckID goes with the last message in flight
	OfferDeferred                        // it must wait; the caller offers the then current snapshot at DueAt
	OfferSend                            // send it now
)

// Offer decides whether the snapshot that a gateway should have from now on is sent, and returns the message to send or
// acknowledge. ackID is to be reported once the snapshot is acknowledged; the message returned has the newest one that
// was offered, which may be an earlier, deferred one. capacity is the number of lines that may be added to those in
// flight to all gateways. urgent reports whether rules wait for the change, see IsUrgentChange; it is called only if
// messages or capacity are short. An urgent change does not wait for capacity, unless it is the first one.
func (d *Delivery) Offer(now policyapi.Microseconds, snapshot Snapshot, ackID policyapi.AckID, capacity int, urgent func() bool) (OfferResult, Message) {
	m := Message{AckID: ackID, SentAt: now, Changed: d.changedDocuments(snapshot)}
	if m.Changed == ([DocumentCount]bool{}) {
		return d.offerUnchanged(m, snapshot)
	}
	sendAt := d.limiter.nextAt(now, urgent)
	if sendAt <= now {
		m.Lines = ChangeCost(d.sent, snapshot)
		first := len(d.sent.Clusters) == 0
		if m.Lines > capacity && (first || !urgent()) {
			sendAt = now + capacityRetry
		}
	}
	if sendAt > now {
		d.deferUntil(sendAt, ackID)
		return OfferDeferred, m
	}
	return OfferSend, d.send(m, snapshot)
}

func (d *Delivery) changedDocuments(snapshot Snapshot) [DocumentCount]bool {
	return [DocumentCount]bool{
		d.invalidated || !snapshot.SameClusters(d.sent),
		d.invalidated || !snapshot.SameRoutes(d.sent),
	}
}

// offerUnchanged ends a deferral. AckIDs only grow, so the newer of the offered and the deferred one covers both.
func (d *Delivery) offerUnchanged(m Message, snapshot Snapshot) (OfferResult, Message) {
	m.AckID = max(m.AckID, d.deferred.ackID)
	d.endDeferral()
	d.sent.Level = snapshot.Level
	if m.AckID < 0 {
		return OfferUnchanged, m
	}
	if last := len(d.inFlight) - 1; last >= 0 {
		d.inFlight[last].AckID = m.AckID
		return OfferPiggybacked, m
	}
	return OfferAcknowledged, m
}

// deferUntil defers a change. Its AckID goes with the next message, which has a snapshot at least as new.
func (d *Delivery) deferUntil(at policyapi.Microseconds, ackID policyapi.AckID) {
	d.deferred.pending = true
	d.deferred.until = at
	d.deferred.ackID = max(d.deferred.ackID, ackID)
}

func (d *Delivery) endDeferral() {
	d.deferred.pending = false
	d.deferred.ackID = NoAckID
}

// send puts a message in flight and returns it with its version.
func (d *Delivery) send(m Message, snapshot Snapshot) Message {
	m.AckID = max(m.AckID, d.deferred.ackID)
	d.endDeferral()
	d.invalidated = false
	d.messageCount++
	m.Version = fmt.Sprintf("%s.%d", d.epoch, d.messageCount)
	m.Level = snapshot.Level
	d.sent = snapshot
	for document := range DocumentCount {
		if m.Changed[document] {
			d.lastVersions[document] = m.Version
		}
	}
	d.limiter.sentAt = append(d.limiter.sentAt, m.SentAt)
	d.inFlight = append(d.inFlight, m)
	return m
}
