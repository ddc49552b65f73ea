package routing

import (
	"slices"

	"porthub/policyapi"
)

// Ack records that a gateway has acknowledged a version of a document and returns the messages that are complete by it.
// Only messages in flight count: ok is false for any other version but the one last acknowledged.
func (d *Delivery) Ack(now policyapi.Microseconds, document int, version string) (complete []Message, ok bool) {
	index := slices.IndexFunc(d.inFlight, func(m Message) bool { return m.Version == version })
	if index < 0 {
		return nil, version == d.acknowledged[document].Version
	}
	// A gateway may skip versions that a later one has replaced: they count as acknowledged, too.
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

// Reject records that a gateway has rejected a message and returns after which time everything is sent again, longer with
// each rejection: the gateway may have read at a bad moment, and it goes on using the last version that it accepted.
// ok is false for a message that is not in flight.
func (d *Delivery) Reject(now policyapi.Microseconds, nonce string) (backoff policyapi.Microseconds, ok bool) {
	if !slices.ContainsFunc(d.inFlight, func(m Message) bool { return m.Version == nonce }) {
		return 0, false
	}
	d.rejections++
	backoff = resyncBackoff(d.rejections)
	d.resyncAt = now + backoff
	return backoff, true
}

// VerifyChecksum compares the checksum that a gateway reports with the one that it should have, once nothing is in flight.
// If they differ, ok is false and everything is sent again, after a longer time with each mismatch. versions are those of
// the documents that the checksum covers, empty if the gateway does not report them: a checksum of earlier documents
// arrives late, over another connection of the gateway, and proves nothing.
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

// resyncBackoff returns the time before everything is sent again after a number of failures in a row, from 1 on.
func resyncBackoff(failures int) policyapi.Microseconds {
	return min(firstResync<<min(failures-1, maxResyncDoublings), maxResync)
}

// RetryAt returns when everything is sent again; ok is false if nothing asks for it.
func (d *Delivery) RetryAt() (at policyapi.Microseconds, ok bool) { return d.resyncAt, d.resyncAt > 0 }

// StartRetry reports whether the time has come to send everything again, and if so invalidates what the gateway has.
func (d *Delivery) StartRetry(now policyapi.Microseconds) bool {
	if d.resyncAt == 0 || now < d.resyncAt {
		return false
	}
	d.resyncAt = 0
	d.invalidated = true
	return true
}
