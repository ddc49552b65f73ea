package routing

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
)

// WeightScale is the weight in published documents that corresponds to a ClusterEndpoint.Weight of 1.
const WeightScale = 10_000

// maxPublishedWeight is the largest weight in published documents.
const maxPublishedWeight = 1 << 31

// Published documents have shares in units of 1/shareScale and the times of a fallback in milliseconds. Checksums are computed from
// values in these units, so that gateways compute the same ones.
const (
	shareScale                 = 1e4
	microsecondsPerMillisecond = 1000
)

// publishedWeight returns a weight as it is published: scaled by WeightScale, rounded, and from 1 to maxPublishedWeight.
func publishedWeight(w float64) uint64 {
	return uint64(min(max(1, math.Round(w*WeightScale)), maxPublishedWeight))
}

// publishedShare returns a share as it is published, in units of 1/shareScale.
func publishedShare(share float64) uint64 { return uint64(math.Round(share * shareScale)) }

// checksumRecord is the encoding of one record of a snapshot: texts end with a zero byte, numbers are 64-bit little-endian.
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

// Checksum returns the checksum of a published snapshot: the sum of the hashes of all clusters, endpoints, routes and fallbacks, so
// that their order does not matter. A gateway can compute it from the documents that it has received.
func Checksum(s Snapshot) uint64 {
	sum := uint64(0)
	var buffer checksumRecord // reused for all records, because checksums are computed often
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
		// A rate is published as tokens per interval, and the rate that a gateway reads from it may differ by up to 1 %. The
		// checksum therefore covers only whether there is a rate.
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
