package loadreport

import (
	"hash/crc32"
	"math"

	"porthub/policyapi"
)

const (
	// surgeFactor is the multiple of its usual demand, and of the fleet's mean, from which on a gateway's report is not
	// trusted: one process has far more likely miscounted than grown so within a second.
	surgeFactor = 20.0
	// surgeReports is the number of reports in a row that establish a surge, and the number of reports from which on a
	// gateway's usual demand is known.
	surgeReports = 3
	// demandSmoothing is the weight of a new report in a gateway's usual demand.
	demandSmoothing = 0.5
	// silentPeriods is the number of periods without a report after which a gateway counts as silent; with fewer, a
	// fleet that loses a third of its reports would look smaller.
	silentPeriods = 5
)

// gateway is the sampler's state of one gateway.
type gateway struct {
	phase        float64 // its place in the rotation, 0 to 1
	demand       float64 // usual requests per second, smoothed
	reports      int     // since it was first seen
	lastReport   policyapi.Microseconds
	surges       int     // untrusted reports in a row
	round        uint64  // of its last report
	roundReports float64 // in that round
	connected    bool
	silent       bool // it has stopped reporting, and EndRound has returned it
}

// newGateway returns a gateway with its place in the rotation: a hash, since gateways with consecutive names must not be
// sampled one after the other.
func newGateway(name string, seed uint64) *gateway {
	var seedBytes [8]byte
	for i := range seedBytes {
		seedBytes[i] = byte(seed >> (8 * i))
	}
	sum := crc32.Update(crc32.ChecksumIEEE(seedBytes[:]), crc32.IEEETable, []byte(name))
	return &gateway{phase: float64(mix(sum)) / (1 << 32)}
}

// mix is a finalizer of an integer hash: it spreads sums that differ in few bits.
func mix(x uint32) uint32 {
	x ^= x >> 16
	x *= 0x7feb352d
	x ^= x >> 15
	x *= 0x846ca68b
	return x ^ x>>16
}

// trust returns the part of a report's counts to trust: less than all if the gateway suddenly reports a rate, in requests
// per second, above the limit.
func (g *gateway) trust(rate, limit float64) (fraction float64) {
	surge := g.reports >= surgeReports && limit > 0 && rate > limit && g.surges < surgeReports
	if surge {
		g.surges++
		return limit / rate
	}
	if rate <= limit {
		g.surges = 0
	}
	return 1
}

// record updates the usual demand by a report.
func (g *gateway) record(now policyapi.Microseconds, rate float64, trusted bool) {
	g.reports++
	if g.reports == 1 {
		g.demand = rate
	}
	if trusted {
		g.demand += demandSmoothing * (rate - g.demand)
	}
	g.lastReport = now
}

// sampled reports whether routine lines of the current report are taken, of which a fraction is. The rotation goes by the
// gateway's own reports and not by rounds: one that reports each fourth round would always come to the same place.
func (g *gateway) sampled(fraction float64) bool {
	_, place := math.Modf(g.phase + float64(g.reports)*fraction)
	return fraction >= 1 || place < fraction
}
