package routing

import (
	"fmt"

	"porthub/policyapi"
)

// OfferResult is the decision about a snapshot offered to a Delivery.
type OfferResult int

// The values of OfferResult.
const (
	OfferUnchanged    OfferResult = iota // the snapshot is the one sent last, and there is no AckID to report
	OfferAcknowledged                    // the snapshot is acknowledged already: report its AckID
	OfferPiggybacked                     // the snapshot is in flight: its AckID is reported with the last message in flight
	OfferDeferred                        // the snapshot may not be sent yet: offer the then current one at DueAt
	OfferSend                            // send the message now
)

// Offer decides whether a snapshot, the current configuration of a gateway, is sent now. It returns the message to send or to report
// as acknowledged. ackID is reported once the snapshot is acknowledged; the returned message has the newest AckID that was offered,
// which may be that of an earlier, deferred change. capacity is the number of lines that may be added to those in flight to all
// gateways. urgent reports whether the change is urgent, see IsUrgentChange; it is called only if messages or capacity are scarce.
// An urgent change does not wait for capacity unless it is the first snapshot of the connection.
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

// changedDocuments reports which documents of a snapshot must be sent.
func (d *Delivery) changedDocuments(snapshot Snapshot) [DocumentCount]bool {
	return [DocumentCount]bool{
		d.invalidated || !snapshot.SameClusters(d.sent),
		d.invalidated || !snapshot.SameRoutes(d.sent),
	}
}

// offerUnchanged returns the result for a snapshot that equals the last one sent, and ends a deferral. AckIDs only grow, so that the
// newer of the offered and the deferred one stands for both.
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

// deferUntil defers a change. Its AckID is reported with the next message, whose snapshot is at least as new.
func (d *Delivery) deferUntil(at policyapi.Microseconds, ackID policyapi.AckID) {
	d.deferred.pending = true
	d.deferred.until = at
	d.deferred.ackID = max(d.deferred.ackID, ackID)
}

func (d *Delivery) endDeferral() {
	d.deferred.pending = false
	d.deferred.ackID = NoAckID
}

// send adds a message to those in flight and returns it with its version and AckID.
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
