package coordinator

import (
	"strings"

	"porthub/policyapi"
)

// ackMonitor observes how long acknowledgements take, as a sign of a slow disk.
type ackMonitor struct {
	delay         microseconds // from a message to its acknowledgement, smoothed over delaySmoothing messages
	syncSuspended bool         // files go out without a sync
}

// delaySmoothing is how many acknowledgements ackMonitor.delay is smoothed over.
const delaySmoothing = 8

// Fractions of the drain grace period, as divisors: above a tenth an acknowledgement is late, below a fortieth the disk is
// fast again.
const (
	lateAckDivisor = 10
	fastAckDivisor = 40
)

// ackTimeoutFactor is the multiple of the channel's longest latency that an acknowledgement may take.
const ackTimeoutFactor = 10

// ackTimeout is how long an acknowledgement may take. It is at least the time after which a gateway counts as silent.
func (c *Core) ackTimeout() microseconds {
	return max(ackTimeoutFactor*c.settings.Start.Channel.MaxLatency, c.settings.SilenceTimeout)
}

// handleAck applies an acknowledgement. Only a version that this process has published to this gateway and that is still in
// flight counts. Anything else (a version of an earlier process on connecting, a duplicate) is ignored, with a warning if
// this process may have published the version.
func (c *Core) handleAck(in DocumentAck) []policyapi.Event {
	g := c.sender(in.Gateway, in.Conn)
	if g == nil || in.Document < 0 || in.Document >= documentCount {
		return nil
	}
	defer c.updateGateway(g)
	if in.Error != "" {
		c.handleRejection(g, in)
		return nil
	}
	acknowledged, ok := g.delivery.Ack(c.now, int(in.Document), in.Version)
	if !ok && strings.HasPrefix(in.Version, c.settings.Epoch+".") {
		c.warn(eventUnknownVersion, g.name, "acknowledged %s %s, which is not in flight to it", in.Document, in.Version)
	}
	var events []policyapi.Event
	for _, message := range acknowledged {
		g.expulsions = 0
		delay := c.now - message.SentAt
		c.acks.delay += (delay - c.acks.delay) / delaySmoothing
		if message.AckID >= 0 {
			events = append(events, policyapi.Acknowledged{Proxy: g.proxy, AckID: message.AckID, Delay: delay})
		}
	}
	if ok && g.joined {
		if want, matches := g.delivery.VerifyChecksum(c.now, in.Checksum, in.ChecksumVersions); !matches {
			c.warn(eventChecksumMismatch, g.name, "its checksum is %x, not %x: its documents are sent again", in.Checksum, want)
		}
	}
	return events
}

// handleRejection logs a rejected document; it is sent again, complete, after a backoff.
func (c *Core) handleRejection(g *gateway, in DocumentAck) {
	if retryIn, ok := g.delivery.Reject(c.now, in.Nonce); ok {
		c.warn(eventDocumentRejected, g.name, "%s %s: %.200s: sent again in %.0f s", in.Document, in.Nonce, in.Error, seconds(retryIn))
	}
}

// syncAllowed reports whether documents are synced to disk before they are moved into place: never, unless the settings
// enable it. On a disk that other processes keep busy a sync takes a second and can't be cancelled once it has begun; drains
// came up to eleven seconds late. Syncs are therefore suspended while acknowledgements are late or half of the gateways wait
// for one, until acknowledgements are fast again.
func (c *Core) syncAllowed() bool {
	if !c.settings.SyncDocuments {
		return false
	}
	grace := c.settings.Start.Rules.DrainGracePeriod
	joined := 0
	waiting := 0
	for _, g := range c.gateways.inOrder {
		if !g.joined {
			continue
		}
		joined++
		if oldest, has := g.oldestUnacknowledged(); has && c.now-oldest.SentAt > grace/lateAckDivisor {
			waiting++
		}
	}
	monitor := &c.acks
	late := monitor.delay > grace/lateAckDivisor || 2*waiting > joined
	switch {
	case !monitor.syncSuspended && late:
		monitor.syncSuspended = true
		c.outbox.log(LogWarn, eventSlowDisk, "acknowledgements take %d ms, %d of %d gateways wait: files are not synced", monitor.delay/1000, waiting, joined)
	case monitor.syncSuspended && !late && monitor.delay < grace/fastAckDivisor:
		monitor.syncSuspended = false
		c.outbox.log(LogInfo, eventSlowDisk, "acknowledgements take %d ms: files are synced again", monitor.delay/1000)
	}
	return !monitor.syncSuspended
}
