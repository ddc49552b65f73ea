package proxyserver

import (
	"math"

	"go.uber.org/zap"

	"porthub/policyapi"
	"porthub/policylog"
)

// statusInterval is the time between two status lines in the log.
const statusInterval = 5 * second

// stats are the owner's counts since the last status line.
type stats struct {
	since        policyapi.Microseconds
	batches      int
	maxBatchTime policyapi.Microseconds
	messages     int
	lines        int
	bytes        int
}

// logStatus logs the status line once in each statusInterval. It contains the state of the decision module and the counts of the
// host.
func (c *Coordinator) logStatus(now policyapi.Microseconds) {
	if now-c.stats.since < statusInterval {
		return
	}
	counters := &c.server.counters
	state := c.module.instance.State()
	c.log.Info("status",
		zap.Int("proxies", state.Proxies),
		zap.Int("streams", len(c.streams)),
		zap.Int64("connections", counters.open.Load()),
		zap.Int("unacknowledged", state.UnacknowledgedMessages),
		zap.Int64("pending_acks", counters.pendingAcks.Load()),
		zap.Float64("queued_lines", state.QueuedLines),
		zap.Int64("unsent_bytes", counters.unsentBytes.Load()),

		zap.Int("endpoints", len(c.endpoints.endpoints)),
		zap.Int("ready", state.Ready),
		zap.Int("ejected", state.Ejected),
		zap.Int("warming_up", state.WarmingUp),
		zap.Int("capacity_limited", state.CapacityLimited),
		zap.Float64("demand", roundForLog(state.Demand)),
		zap.Float64("served", roundForLog(state.Served)),
		zap.Float64("capacity", roundForLog(state.Capacity)),
		zap.Float64("admitted_rate", roundForLog(state.AdmittedRate)),
		zap.Float64("fleet_speed", roundForLog(state.FleetSpeed)),
		zap.Int("queued_requests", state.QueuedRequests),
		zap.Int("endpoint_actors", state.EndpointActors),
		zap.Int("tables", state.Tables),
		zap.Int("limited_reports", state.LimitedReports),

		zap.Int64("list_version", int64(c.endpoints.version)),
		zap.Int("watches", len(c.watcher.watches)),
		zap.Int("messages", c.stats.messages),
		zap.Int("lines", c.stats.lines),
		zap.Int("bytes", c.stats.bytes),
		zap.Int("batches", c.stats.batches),
		zap.Int64("max_batch_us", int64(c.stats.maxBatchTime)),
		zap.Int("mailbox", c.mailbox.Len()),

		zap.Int64("rejected", counters.rejected.Load()),
		zap.Int64("malformed", counters.malformed.Load()),
		zap.Int64("lost_reports", counters.lostReports.Load()),
		zap.Int64("evicted", counters.evicted.Load()),
		zap.Int64("stalled", counters.stalled.Load()),
		zap.Int64("over_budget", counters.overBudget.Load()),
		zap.Int("received_bytes", c.server.received.Held()),
		zap.Int("resident_kb", residentKB()),
		zap.Int("descriptors", openDescriptors()))
	c.stats = stats{since: now}
}

// roundForLog rounds a value to two decimals.
func roundForLog(v float64) float64 { return math.Round(100*v) / 100 }

// logPolicy logs a line of the decision module with the line's event as the message and its values as fields.
func (c *Coordinator) logPolicy(line string) {
	entry := policylog.Parse(line)
	fields := []zap.Field{zap.String("text", entry.Text)}
	for _, field := range entry.Fields {
		fields = append(fields, zap.Any(field.Key, field.Value))
	}
	c.log.Info(entry.Event, fields...)
}
