package proxyserver

import (
	"fmt"
	"math"
	"os"

	"go.uber.org/zap"

	"porthub/policyapi"
)

// belief writes what the coordinator takes to be so, each few seconds, to be held against what passed.
func (n *Coordinator) belief(now policyapi.Microseconds) {
	if now-n.tally.at < beliefEvery {
		return
	}
	c, b := &n.server.counts, n.module.State()
	n.log.Info("belief", zap.Int("joined", b.Proxies), zap.Int("unsaid", b.UnacknowledgedMessages), zap.Int64("marks_open", c.marks.Load()),
		zap.Float64("lines_queued", b.QueuedLines), zap.Int64("bytes_unsent", c.unsent.Load()),
		zap.Int("ready", b.Ready), zap.Int("sick", b.Ejected), zap.Int("cold", b.WarmingUp), zap.Int("limited", b.CapacityLimited),
		zap.Float64("asked", round(b.Demand)), zap.Float64("served", round(b.Served)), zap.Float64("room", round(b.Capacity)),
		zap.Float64("let_in", round(b.AdmittedRate)), zap.Float64("pace", round(b.FleetSpeed)), zap.Int("reqs_waiting", b.QueuedRequests),
		zap.Int("actors", b.EndpointActors), zap.Int("tables", b.Tables), zap.Int("streams", len(n.links)), zap.Int64("connections", c.open.Load()), zap.Int("backends", len(n.list)),
		zap.Int64("version", int64(n.version)), zap.Int("watches", len(n.watches)),
		zap.Int("messages", n.tally.messages), zap.Int("lines", n.tally.lines), zap.Int("bytes", n.tally.bytes),
		zap.Int("batches", n.tally.batches), zap.Int64("slowest_us", int64(n.tally.slowest)), zap.Int("inbox", n.box.Len()),
		zap.Int64("refused", c.refused.Load()), zap.Int64("spoilt", c.spoilt.Load()), zap.Int64("lost", c.lost.Load()),
		zap.Int64("evicted", c.evicted.Load()), zap.Int64("stuck", c.stuck.Load()),
		zap.Int("resident_kb", resident()), zap.Int("descriptors", descriptors()))
	n.tally = tally{at: now}
}

// round keeps a line of the log short.
func round(v float64) float64 { return math.Round(100*v) / 100 }

// resident is the memory that the process has, in KiB; 0 where the system does not say.
func resident() int {
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

// descriptors is how many the process holds; 0 where the system does not say.
func descriptors() int {
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
