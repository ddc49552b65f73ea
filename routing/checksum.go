package routing

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
)

// WeightScale is the weight in published documents of a Weight of 1.
const WeightScale = 10_000

// maxPublishedWeight is the largest weight in published documents.
const maxPublishedWeight = 1 << 31

// Gateways get shares in units of 1/shareScale and the times of a fallback in milliseconds: checksums are computed from
// the same units.
const (
	shareScale                 = 1e4
	microsecondsPerMillisecond = 1000
)

// publishedWeight returns a weight as published documents have it, a whole number.
func publishedWeight(w float64) uint64 {
	return uint64(min(max(1, math.Round(w*WeightScale)), maxPublishedWeight))
}

func publishedShare(share float64) uint64 { return uint64(math.Round(share * shareScale)) }

// checksumRecord is the encoding of one record of a snapshot: texts end with a zero byte, numbers are little-endian.
type checksumRecord []byte

func (r checksumRecord) text(s string) checksumRecord { return append(append(r, s...), 0) }

func (r checksumRecord) number(n uint64) checksumRecord {
	return binary.LittleEndian.AppendUint64(r, n)
}

func (r checksumRecord) flag(set bool) checksumRecord {
	if set {
		return r.number(1)
	}
	return r.number(0)
}

func (r checksumRecord) sum() uint64 { return xxhash.Sum64(r) }

// Checksum returns the checksum of a snapshot as published: the sum over all clusters, endpoints and routes, so that their
// order does not count. A gateway can compute it from what it has received.
func Checksum(s Snapshot) uint64 {
	sum := uint64(0)
	var buffer checksumRecord // reused: the checksum of every gateway is computed often
	for _, c := range s.Clusters {
		buffer = buffer[:0].text("cluster").text(c.Class)
		sum += buffer.sum()
		for _, e := range c.Endpoints {
			buffer = buffer[:0].text("line").text(c.Class).text(string(e.Zone)).text(string(e.Endpoint)).
				number(publishedWeight(e.Weight)).flag(e.Withheld)
			sum += buffer.sum()
		}
	}
	for _, r := range s.Routes {
		// A rate is published as tokens per interval and read back with up to a hundredth of error: only whether there is
		// one counts.
		buffer = buffer[:0].text("route").text(r.Class).flag(r.Rate >= 0).number(publishedShare(r.Share)).
			number(uint64(r.RetryPolicy)).number(uint64(r.Timeout))
		sum += buffer.sum()
		if f := r.Fallback; f.Duration > 0 {
			buffer = buffer[:0].text("fallback").text(r.Class).number(uint64(f.After / microsecondsPerMillisecond)).
				number(uint64(f.Duration / microsecondsPerMillisecond)).number(publishedShare(f.Share)).number(uint64(f.RetryPolicy))
			sum += buffer.sum()
		}
	}
	return sum
}
