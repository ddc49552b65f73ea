package coordinator

import (
	"strings"

	"porthub/policyapi"
)

// ackMonitor measures how long acknowledgements take, because long delays indicate a slow disk.
type ackMonitor struct {
	delay         microseconds // from a message to its acknowledgement, smoothed
	syncSuspended bool         // files are published without a sync
}

// delaySmoothing is the number of acknowledgements over which ackMonitor.delay is smoothed.
const delaySmoothing = 8

// Divisors of the drain grace period: acknowledgements that take more than a tenth of it are late, and once they take less than
// a fortieth, the disk counts as fast again.
const (
	lateAckDivisor = 10
	fastAckDivisor = 40
)

// ackTimeoutFactor is the multiple of the channel's longest latency that an acknowledgement may take.
const ackTimeoutFactor = 10

// ackTimeout returns how long an acknowledgement may take. It is at least the time after which a gateway counts as silent.
func (c *Core) ackTimeout() microseconds {
	return max(ackTimeoutFactor*c.settings.Start.Channel.MaxLatency, c.settings.SilenceTimeout)
}

// handleAck applies an acknowledgement of a version that is in flight to the gateway. Any other version is ignored, such as a
// duplicate, or the version of an earlier process that a gateway acknowledges on connecting; a version with the epoch of this
// process is logged as a warning.
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
		c.warn(eventUnknownVersion, g.name, "acknowledged %s version %s, which is not in flight", in.Document, in.Version)
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
			c.warn(eventChecksumMismatch, g.name, "checksum of the gateway's documents is %x, want %x: all documents are sent again", in.Checksum, want)
		}
	}
	return events
}

// handleRejection logs a rejected document and schedules all documents to be sent again after a backoff.
func (c *Core) handleRejection(g *gateway, in DocumentAck) {
	if retryIn, ok := g.delivery.Reject(c.now, in.Nonce); ok {
		c.warn(eventDocumentRejected, g.name, "%s document %s rejected: %.200s: all documents are sent again in %.0f s", in.Document, in.Nonce, in.Error, seconds(retryIn))
	}
}

// syncAllowed reports whether documents are synced to disk before they are moved into place, which the settings must enable. On a
// disk that other processes keep busy, a sync takes a second and can't be canceled once it has begun: drains reached gateways
// up to 11 s late. Syncs are therefore suspended when acknowledgements are late on average or late at more than half of the
// gateways, and resumed when they are fast again.
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
		c.outbox.log(LogWarn, eventSlowDisk, "acknowledgements take %d ms and are late at %d of %d gateways: file syncs are suspended", monitor.delay/1000, waiting, joined)
	case monitor.syncSuspended && !late && monitor.delay < grace/fastAckDivisor:
		monitor.syncSuspended = false
		c.outbox.log(LogInfo, eventSlowDisk, "acknowledgements take %d ms: file syncs are resumed", monitor.delay/1000)
	}
	return !monitor.syncSuspended
}
