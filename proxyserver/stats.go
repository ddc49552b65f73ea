package proxyserver

import (
	"fmt"
	"math"
	"os"

	"go.uber.org/zap"

	"porthub/policyapi"
)

// logStatus writes what the coordinator takes to be so, each few seconds, to be held against what passed.
func (n *Coordinator) logStatus(now policyapi.Microseconds) {
	if now-n.stats.at < statusInterval {
		return
	}
	c, b := &n.server.counters, n.module.State()
	n.log.Info("belief", zap.Int("joined", b.Proxies), zap.Int("unsaid", b.UnacknowledgedMessages), zap.Int64("marks_open", c.pendingAcks.Load()),
		zap.Float64("lines_queued", b.QueuedLines), zap.Int64("bytes_unsent", c.unsentBytes.Load()),
		zap.Int("ready", b.Ready), zap.Int("sick", b.Ejected), zap.Int("cold", b.WarmingUp), zap.Int("limited", b.CapacityLimited),
		zap.Float64("asked", roundForLog(b.Demand)), zap.Float64("served", roundForLog(b.Served)), zap.Float64("room", roundForLog(b.Capacity)),
		zap.Float64("let_in", roundForLog(b.AdmittedRate)), zap.Float64("pace", roundForLog(b.FleetSpeed)), zap.Int("reqs_waiting", b.QueuedRequests),
		zap.Int("actors", b.EndpointActors), zap.Int("tables", b.Tables), zap.Int("streams", len(n.streams)), zap.Int64("connections", c.open.Load()), zap.Int("backends", len(n.endpoints)),
		zap.Int64("version", int64(n.version)), zap.Int("watches", len(n.watches)),
		zap.Int("messages", n.stats.messages), zap.Int("lines", n.stats.lines), zap.Int("bytes", n.stats.bytes),
		zap.Int("batches", n.stats.batches), zap.Int64("slowest_us", int64(n.stats.slowest)), zap.Int("inbox", n.mailbox.Len()),
		zap.Int64("refused", c.rejected.Load()), zap.Int64("spoilt", c.malformed.Load()), zap.Int64("lost", c.lostReports.Load()),
		zap.Int64("evicted", c.evicted.Load()), zap.Int64("stuck", c.stalled.Load()),
		zap.Int("resident_kb", residentKB()), zap.Int("descriptors", openDescriptors()))
	n.stats = Stats{at: now}
}

// roundForLog keeps a line of the log short.
func roundForLog(v float64) float64 { return math.Round(100*v) / 100 }

// residentKB is the memory that the process has, in KiB; 0 where the system does not say.
func residentKB() int {
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	var size, pages int
	if _, err := fmt.Sscan(string(text), &size, &pages); err != nil {
		return 0
	}
	return pages * os.Getpagesize() / 1024
}

// openDescriptors is how many the process holds; 0 where the system does not say.
func openDescriptors() int {
	dir, err := os.Open("/proc/self/fd")
	if err != nil {
		return 0
	}
	defer dir.Close()
	names, err := dir.Readdirnames(-1)
	if err != nil {
		return 0
	}
	return len(names)
}
