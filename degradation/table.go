package degradation

import (
	"cmp"
	"hash/crc32"
	"math"
	"slices"

	"porthub/policyapi"
)

// minLocalPart is the part of the weight of warmed-up endpoints in the gateway's zone from which on CrossZoneFactor
// applies: with less the zone is short of endpoints, and the limit would overload those that it has.
const minLocalPart = 0.5

// TableEndpoint is an endpoint in a gateway's table.
type TableEndpoint struct {
	Endpoint  policyapi.EndpointID
	Weight    float64
	Local     bool // in the gateway's zone
	Open      bool // the rules allow it requests
	WarmingUp bool
}

// warm reports whether the endpoint is open and warmed up, so that its weight is a share of ordinary traffic.
func (e TableEndpoint) warm() bool { return e.Open && !e.WarmingUp }

// LimitCrossZone returns a table with CrossZoneFactor applied to the endpoints of other zones. The part of endpoints that
// are warming up does not grow. The table given is not changed.
func (b Bounds) LimitCrossZone(table []TableEndpoint) []TableEndpoint {
	local, total := 0.0, 0.0
	for _, e := range table {
		if !e.warm() {
			continue
		}
		total += e.Weight
		if e.Local {
			local += e.Weight
		}
	}
	if b.CrossZoneFactor >= 1 || total == 0 || local < minLocalPart*total {
		return table
	}
	limited := slices.Clone(table)
	for i := range limited {
		if !limited[i].Local {
			limited[i].Weight *= b.CrossZoneFactor
		}
	}
	return limitWarmingUp(table, limited)
}

// LimitEndpoints returns a gateway's table with at most MaxEndpoints warmed-up endpoints, each gateway with others by a
// hash, so that all gateways together still reach all of them. Endpoints that are warming up stay, their part does not
// grow, and those that are not open stay. The table given is not changed.
func (b Bounds) LimitEndpoints(gateway string, table []TableEndpoint) []TableEndpoint {
	var warm []int
	for i, e := range table {
		if e.warm() && e.Weight > 0 {
			warm = append(warm, i)
		}
	}
	if b.MaxEndpoints == 0 || len(warm) <= b.MaxEndpoints {
		return table
	}
	slices.SortStableFunc(warm, func(i, j int) int {
		return cmp.Compare(rendezvousRank(gateway, table[i]), rendezvousRank(gateway, table[j]))
	})
	limited := slices.Clone(table)
	for _, i := range warm[b.MaxEndpoints:] {
		limited[i].Weight = 0
	}
	// The choice was by weight already: those chosen get equal weights, else heavy ones would count twice.
	mean := 0.0
	for _, i := range warm[:b.MaxEndpoints] {
		mean += table[i].Weight / float64(b.MaxEndpoints)
	}
	for _, i := range warm[:b.MaxEndpoints] {
		limited[i].Weight = mean
	}
	return limitWarmingUp(table, limited)
}

// rendezvousRank returns the rank of an endpoint in weighted rendezvous hashing: the lowest ranks are chosen, and an
// endpoint of twice the weight is chosen twice as likely.
func rendezvousRank(gateway string, e TableEndpoint) float64 {
	uniform := (float64(crc32.ChecksumIEEE([]byte(gateway+"\x00"+string(e.Endpoint)))) + 1) / (1 << 32)
	return -math.Log(uniform) / e.Weight
}

// limitWarmingUp scales the weights of endpoints that are warming up as the sum of the warmed-up ones has changed, so that
// their part does not grow. It changes and returns after.
func limitWarmingUp(before, after []TableEndpoint) []TableEndpoint {
	warmBefore, warmAfter := 0.0, 0.0
	for i, e := range before {
		if e.warm() {
			warmBefore += e.Weight
			warmAfter += after[i].Weight
		}
	}
	for i, e := range before {
		if e.WarmingUp && warmBefore > 0 {
			after[i].Weight = min(after[i].Weight, e.Weight*warmAfter/warmBefore)
		}
	}
	return after
}
