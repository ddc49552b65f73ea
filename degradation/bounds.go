package degradation

import (
	"cmp"
	"hash/crc32"
	"math"
	"slices"

	"porthub/policyapi"
)

// TableEndpoint is one line of a gateway's table as the bounds look at it.
type TableEndpoint struct {
	Endpoint  policyapi.EndpointID
	Weight    float64
	Local     bool // in the gateway's zone
	Open      bool
	WarmingUp bool
}

// homely: crossing is cut where at least this part of the warm weight stands in the own zone. With less the own zone is short of
// nodes, and cutting would push over what it has left.
const homely = 0.5

// LimitCrossZone applies a level's factor to the lines of other zones. Cold ones never get a larger part than before.
func (b Bounds) LimitCrossZone(lines []TableEndpoint) []TableEndpoint {
	own, warm := 0.0, 0.0
	for _, l := range lines {
		if l.Open && !l.WarmingUp {
			if warm += l.Weight; l.Local {
				own += l.Weight
			}
		}
	}
	if b.CrossZoneFactor >= 1 || warm == 0 || own < homely*warm {
		return lines
	}
	out := slices.Clone(lines)
	for i := range out {
		if !out[i].Local {
			out[i].Weight *= b.CrossZoneFactor
		}
	}
	return steady(lines, out)
}

// LimitEndpoints keeps so many open warm lines of a gateway's at most: each gateway others, by a hash, so that all together still reach
// all. Cold lines stay, with no larger part than before, and so does what is not open.
func (b Bounds) LimitEndpoints(gateway string, lines []TableEndpoint) []TableEndpoint {
	var warm []int
	for i, l := range lines {
		if l.Open && !l.WarmingUp && l.Weight > 0 {
			warm = append(warm, i)
		}
	}
	if b.MaxEndpoints == 0 || len(warm) <= b.MaxEndpoints {
		return lines
	}
	// Weighted rendezvous: a line of twice the weight is kept twice as likely, and of those kept the weights are as they were.
	rank := func(i int) float64 {
		u := (float64(crc32.ChecksumIEEE([]byte(gateway+"\x00"+string(lines[i].Endpoint)))) + 1) / (1 << 32)
		return -math.Log(u) / lines[i].Weight
	}
	slices.SortStableFunc(warm, func(i, j int) int { return cmp.Compare(rank(i), rank(j)) })
	out := slices.Clone(lines)
	for _, i := range warm[b.MaxEndpoints:] {
		out[i].Weight = 0
	}
	mean := 0.0 // chosen by weight already: alike among themselves, else the heavy would count twice
	for _, i := range warm[:b.MaxEndpoints] {
		mean += lines[i].Weight / float64(b.MaxEndpoints)
	}
	for _, i := range warm[:b.MaxEndpoints] {
		out[i].Weight = mean
	}
	return steady(lines, out)
}

// steady scales cold lines as the warm ones' sum has changed, so that their part beside them stays as it was.
func steady(before, after []TableEndpoint) []TableEndpoint {
	was, is := 0.0, 0.0
	for i, l := range before {
		if l.Open && !l.WarmingUp {
			was, is = was+l.Weight, is+after[i].Weight
		}
	}
	for i, l := range before {
		if l.WarmingUp && was > 0 {
			after[i].Weight = min(after[i].Weight, l.Weight*is/was)
		}
	}
	return after
}

// AdmittedShare is what of a kind's own traffic is let in: what Divide gives it of what it asks for, in steps of a twentieth, so that it
// does not change with each report.
func AdmittedShare(given, asked float64) float64 {
	if asked <= 0 || given >= asked*0.999 {
		return 1
	}
	return math.Max(1, math.Floor(given/asked*20)) / 20
}
