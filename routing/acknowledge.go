package routing

import (
	"slices"

	"porthub/policyapi"
)

// Ack records that a gateway has acknowledged a version of a document. It returns the messages that this completes, which are then
// no longer in flight. ok is false if the version is neither that of a message in flight nor the last acknowledged one.
func (d *Delivery) Ack(now policyapi.Microseconds, document int, version string) (complete []Message, ok bool) {
	index := slices.IndexFunc(d.inFlight, func(m Message) bool { return m.Version == version })
	if index < 0 {
		return nil, version == d.acknowledged[document].Version
	}
	// A gateway may skip versions that a later one has replaced. They count as acknowledged, too.
	for i := range d.inFlight[:index+1] {
		d.inFlight[i].Acknowledged[document] = true
	}
	d.acknowledged[document] = d.inFlight[index]
	d.acknowledged[document].SentAt = now
	for len(d.inFlight) > 0 && d.inFlight[0].complete() {
		complete = append(complete, d.inFlight[0])
		d.inFlight = d.inFlight[1:]
		d.rejections = 0
	}
	return complete, true
}

// Reject records that a gateway has rejected a message, and returns the time until a full resync, which grows with each consecutive
// rejection. A resync can succeed because the gateway may have failed to read the message for a temporary reason. Until then, the
// gateway continues to use the last version that it accepted. ok is false if the message is not in flight.
func (d *Delivery) Reject(now policyapi.Microseconds, nonce string) (backoff policyapi.Microseconds, ok bool) {
	if !slices.ContainsFunc(d.inFlight, func(m Message) bool { return m.Version == nonce }) {
		return 0, false
	}
	d.rejections++
	backoff = resyncBackoff(d.rejections)
	d.resyncAt = now + backoff
	return backoff, true
}

// VerifyChecksum compares the checksum that a gateway reports with the expected one, unless messages are in flight or a full resync
// is scheduled. If they differ, ok is false and a full resync is scheduled, after a longer time with each consecutive mismatch.
// versions are the versions of the documents that the checksum covers, empty if the gateway does not report them. A checksum of
// earlier versions is ignored: it arrives late over another connection of the gateway.
func (d *Delivery) VerifyChecksum(now policyapi.Microseconds, sum uint64, versions [DocumentCount]string) (want uint64, ok bool) {
	outdated := versions != [DocumentCount]string{} && versions != d.lastVersions
	if sum == 0 || outdated || len(d.inFlight) > 0 || d.resyncAt > 0 || len(d.sent.Clusters) == 0 {
		return sum, true
	}
	want = Checksum(d.sent)
	if sum == want {
		d.checksumMismatches = 0
		return want, true
	}
	d.checksumMismatches++
	d.resyncAt = now + resyncBackoff(d.checksumMismatches)
	return want, false
}

// resyncBackoff returns the time until a full resync after a number of consecutive failures, which is at least 1.
func resyncBackoff(failures int) policyapi.Microseconds {
	return min(firstResync<<min(failures-1, maxResyncDoublings), maxResync)
}

// RetryAt returns when the next full resync is due. ok is false if none is scheduled.
func (d *Delivery) RetryAt() (at policyapi.Microseconds, ok bool) { return d.resyncAt, d.resyncAt > 0 }

// StartRetry reports whether a full resync is due. If it is, the next snapshot is sent completely.
func (d *Delivery) StartRetry(now policyapi.Microseconds) bool {
	if d.resyncAt == 0 || now < d.resyncAt {
		return false
	}
	d.resyncAt = 0
	d.invalidated = true
	return true
}
