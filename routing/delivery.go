package routing

import "porthub/policyapi"

const second policyapi.Microseconds = 1_000_000

// capacityRetry is the time after which a change that found no capacity in flight is offered again. It is about the time that
// acknowledgements take.
const capacityRetry = second / 8

// A full resync after a rejection or a wrong checksum waits for firstResync, which doubles with each further consecutive failure, at
// most maxResyncDoublings times and up to maxResync.
const (
	firstResync        = 2 * second
	maxResyncDoublings = 4
	maxResync          = 30 * second
)

// DocumentCount is the number of documents that a gateway gets. Document 0 holds the endpoints, document 1 the routes.
const DocumentCount = 2

// NoAckID is the AckID of a message whose acknowledgement is not reported.
const NoAckID policyapi.AckID = -1

// Message is a publication to a gateway.
type Message struct {
	Version      string                 `json:"version"` // version of the documents in the message, also its nonce
	Changed      [DocumentCount]bool    `json:"changed"` // the documents in the message
	Acknowledged [DocumentCount]bool    `json:"acked"`   // the documents that the gateway has acknowledged
	AckID        policyapi.AckID        `json:"mark"`    // reported once the message is acknowledged, or NoAckID
	SentAt       policyapi.Microseconds `json:"at_us"`   // in the result of Delivery.Confirmed, when it was acknowledged
	Lines        int                    `json:"lines"`   // number of changed endpoints and routes
	Level        int                    `json:"level"`   // degradation level of the snapshot
}

// complete reports whether all documents in the message are acknowledged.
func (m Message) complete() bool {
	for document := range DocumentCount {
		if m.Changed[document] && !m.Acknowledged[document] {
			return false
		}
	}
	return true
}

// Delivery tracks the delivery of snapshots to one gateway: which messages are acknowledged, which are in flight, and when the next
// one may be sent. It does no I/O and is not safe for concurrent use.
type Delivery struct {
	epoch   string // prefix of versions, different for each process
	limiter messageLimiter

	sent         Snapshot               // by the last message
	invalidated  bool                   // the state of the gateway is unknown: the next snapshot is sent completely
	inFlight     []Message              // oldest first
	acknowledged [DocumentCount]Message // last acknowledged message with each document
	lastVersions [DocumentCount]string  // version of the last message sent with each document
	messageCount int

	deferred           deferral
	resyncAt           policyapi.Microseconds // when a full resync is due; 0: none is scheduled
	rejections         int                    // consecutive rejections
	checksumMismatches int                    // consecutive checksum mismatches
}

// deferral is a change that may not be sent yet. It does not include the snapshot: the caller offers the then current one when the
// change is due.
type deferral struct {
	pending bool
	until   policyapi.Microseconds
	ackID   policyapi.AckID // newest deferred AckID, or NoAckID
}

// NewDelivery returns the Delivery of a gateway that has never connected. The versions of its messages begin with epoch.
func NewDelivery(epoch string, budget Budget) *Delivery {
	return &Delivery{epoch: epoch, limiter: messageLimiter{budget: budget}, deferred: deferral{ackID: NoAckID}}
}

// Connect starts a connection. The state of the gateway is unknown, so that the next snapshot is sent completely. Messages of earlier
// connections still count against the budget.
func (d *Delivery) Connect() {
	*d = Delivery{
		epoch:              d.epoch,
		limiter:            d.limiter,
		messageCount:       d.messageCount,
		acknowledged:       d.acknowledged,
		checksumMismatches: d.checksumMismatches,
		invalidated:        true,
		deferred:           deferral{ackID: NoAckID},
	}
}

// Disconnect ends the connection. Messages in flight are discarded, because they will not be acknowledged.
func (d *Delivery) Disconnect() { d.inFlight = nil }

// Invalidate records that the state of the gateway is unknown, so that the next snapshot is sent completely.
func (d *Delivery) Invalidate() { d.invalidated = true }

// Invalidated reports whether the next snapshot is sent completely.
func (d *Delivery) Invalidated() bool { return d.invalidated }

// Sent returns the last snapshot that was sent.
func (d *Delivery) Sent() Snapshot { return d.sent }

// Unacknowledged returns the messages in flight, oldest first.
func (d *Delivery) Unacknowledged() []Message { return d.inFlight }

// Confirmed returns the last acknowledged message with a document. Its SentAt is the time of the acknowledgement.
func (d *Delivery) Confirmed(document int) Message { return d.acknowledged[document] }

// Level returns the degradation level of the last snapshot sent or, while messages are in flight, the highest level of the last
// acknowledged documents.
func (d *Delivery) Level() int {
	if len(d.inFlight) == 0 {
		return d.sent.Level
	}
	return max(d.acknowledged[0].Level, d.acknowledged[1].Level)
}

// MessageCount returns the number of messages sent by this process.
func (d *Delivery) MessageCount() int { return d.messageCount }

// UsedMessages returns the number of messages in the window of the budget that ends now.
func (d *Delivery) UsedMessages(now policyapi.Microseconds) int { return d.limiter.used(now) }

// DueAt returns when a deferred change may be sent. ok is false if no change is deferred.
func (d *Delivery) DueAt() (at policyapi.Microseconds, ok bool) {
	return d.deferred.until, d.deferred.pending
}
