package routing

import "porthub/policyapi"

const second policyapi.Microseconds = 1_000_000

// capacityRetry is when a change that found no capacity in flight is offered again: acknowledgements take about so long.
const capacityRetry = second / 8

// A full resync after a rejection or a wrong checksum waits firstResync, doubled for each further failure in a row, at
// most maxResyncDoublings times and up to maxResync.
const (
	firstResync        = 2 * second
	maxResyncDoublings = 4
	maxResync          = 30 * second
)

// DocumentCount is the number of documents that a gateway gets: document 0 is the endpoints, 1 the routes.
const DocumentCount = 2

// NoAckID is the AckID of a message whose acknowledgement need not be reported.
const NoAckID policyapi.AckID = -1

// Message is a publication to a gateway.
type Message struct {
	Version      string                 `json:"version"` // of the documents in it; also its nonce
	Changed      [DocumentCount]bool    `json:"changed"`
	Acknowledged [DocumentCount]bool    `json:"acked"`
	AckID        policyapi.AckID        `json:"mark"`  // to be reported once it is acknowledged, or NoAckID
	SentAt       policyapi.Microseconds `json:"at_us"` // in Delivery.Confirmed: when it was acknowledged
	Lines        int                    `json:"lines"` // changed endpoints and routes
	Level        int                    `json:"level"` // degradation level at which it was built
}

// complete reports whether all documents of the message are acknowledged.
func (m Message) complete() bool {
	for document := range DocumentCount {
		if m.Changed[document] && !m.Acknowledged[document] {
			return false
		}
	}
	return true
}

// Delivery tracks the delivery of snapshots to one gateway: what it has acknowledged, what is in flight, and what may be
// sent when. It is pure and not safe for concurrent use.
type Delivery struct {
	epoch   string // of this process: makes its versions differ from those of any other process
	limiter messageLimiter

	sent         Snapshot // by the last message
	invalidated  bool     // what the gateway has is unknown: the next snapshot is sent completely
	inFlight     []Message
	acknowledged [DocumentCount]Message
	lastVersions [DocumentCount]string // of the last message with each document
	messageCount int

	deferred           deferral
	resyncAt           policyapi.Microseconds // 0: none is due
	rejections         int                    // in a row
	checksumMismatches int                    // in a row
}

// deferral is a change that could not be sent yet. The snapshot is not stored: the caller offers one again when it is due.
type deferral struct {
	pending bool
	until   policyapi.Microseconds
	ackID   policyapi.AckID // the newest that was deferred, or NoAckID
}

// NewDelivery returns the state of a gateway that has never connected. The versions of messages begin with epoch.
func NewDelivery(epoch string, budget Budget) *Delivery {
	return &Delivery{epoch: epoch, limiter: messageLimiter{budget: budget}, deferred: deferral{ackID: NoAckID}}
}

// Connect starts a connection: what the gateway has is unknown. Messages of earlier connections count against the budget.
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

// Disconnect ends the connection: what is in flight will not be acknowledged.
func (d *Delivery) Disconnect() { d.inFlight = nil }

// Invalidate records that what the gateway has is unknown: the next snapshot is sent completely.
func (d *Delivery) Invalidate() { d.invalidated = true }

// Invalidated reports whether the next snapshot is sent completely.
func (d *Delivery) Invalidated() bool { return d.invalidated }

// Sent returns the last snapshot that was sent.
func (d *Delivery) Sent() Snapshot { return d.sent }

// Unacknowledged returns the messages in flight, the oldest first.
func (d *Delivery) Unacknowledged() []Message { return d.inFlight }

// Confirmed returns the last acknowledged message with a document. Its SentAt is when it was acknowledged.
func (d *Delivery) Confirmed(document int) Message { return d.acknowledged[document] }

// Level returns the degradation level of the last snapshot that is not in flight.
func (d *Delivery) Level() int {
	if len(d.inFlight) == 0 {
		return d.sent.Level
	}
	return max(d.acknowledged[0].Level, d.acknowledged[1].Level)
}

// MessageCount returns the number of messages sent by this process.
func (d *Delivery) MessageCount() int { return d.messageCount }

// UsedMessages returns the number of messages in the budget's window that ends now.
func (d *Delivery) UsedMessages(now policyapi.Microseconds) int { return d.limiter.used(now) }

// DueAt returns when a deferred change may be sent; ok is false if none is deferred.
func (d *Delivery) DueAt() (at policyapi.Microseconds, ok bool) {
	return d.deferred.until, d.deferred.pending
}
