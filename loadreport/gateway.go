package loadreport

import (
	"hash/crc32"
	"math"

	"porthub/policyapi"
)

const (
	// surgeFactor is the multiple of both the gateway's usual demand and the fleet's mean above which a report is not fully
	// trusted: a process is far more likely to have miscounted than to have grown that much within a second.
	surgeFactor = 20.0
	// surgeReports is the number of consecutive untrusted reports after which a surge is considered real. It is also the
	// number of reports after which the usual demand of a gateway is known.
	surgeReports = 3
	// demandSmoothing is the weight of a new report in the smoothed demand of a gateway.
	demandSmoothing = 0.5
	// silentPeriods is the number of periods without a report after which a gateway counts as silent. With fewer, a
	// fleet that loses a third of its reports would appear to be smaller.
	silentPeriods = 5
)

// gateway is the sampler's state of one gateway.
type gateway struct {
	phase        float64 // position in the rotation, from 0 to 1
	demand       float64 // usual requests per second, smoothed
	reports      int     // number of reports since the gateway was first seen
	lastReport   policyapi.Microseconds
	surges       int     // consecutive reports that were not fully trusted
	round        uint64  // round of the last report
	roundReports float64 // number of reports in that round
	connected    bool
	silent       bool // it has stopped reporting, and EndRound has returned its name
}

// newGateway returns a gateway with its phase in the rotation. The phase is a hash, so that gateways with consecutive names
// are not sampled one after the other.
func newGateway(name string, seed uint64) *gateway {
	var seedBytes [8]byte
	for i := range seedBytes {
		seedBytes[i] = byte(seed >> (8 * i))
	}
	sum := crc32.Update(crc32.ChecksumIEEE(seedBytes[:]), crc32.IEEETable, []byte(name))
	return &gateway{phase: float64(mix(sum)) / (1 << 32)}
}

// mix is the finalizer of an integer hash. It spreads checksums that differ in few bits over the whole range.
func mix(x uint32) uint32 {
	x ^= x >> 16
	x *= 0x7feb352d
	x ^= x >> 15
	x *= 0x846ca68b
	return x ^ x>>16
}

// trustedFraction returns the fraction of a report's counts that is trusted. It is below 1 if the gateway suddenly reports a
// rate, in requests per second, above the limit.
func (g *gateway) trustedFraction(rate, limit float64) (fraction float64) {
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

// record counts a report and, if the report is fully trusted, updates the usual demand by its rate.
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

// sampled reports whether the routine lines of the current report are accepted, given the fraction of all routine lines that
// is accepted. The rotation advances with the gateway's own reports and not with rounds: otherwise a gateway that reports in every fourth
// round would always be at the same position.
func (g *gateway) sampled(fraction float64) bool {
	_, position := math.Modf(g.phase + float64(g.reports)*fraction)
	return fraction >= 1 || position < fraction
}
