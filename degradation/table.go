package degradation

import (
	"cmp"
	"hash/crc32"
	"math"
	"slices"

	"porthub/policyapi"
)

// minLocalFraction is the smallest fraction of the weight of warmed-up endpoints that must be in the gateway's zone for
// CrossZoneFactor to apply. With less, the zone has too few endpoints, and the limit would overload them.
const minLocalFraction = 0.5

// TableEndpoint is an endpoint in a gateway's table.
type TableEndpoint struct {
	Endpoint  policyapi.EndpointID
	Weight    float64
	Local     bool // in the gateway's zone
	Open      bool // the rules allow requests to it
	WarmingUp bool
}

// warm reports whether the endpoint is open and warmed up, so that it gets its full share of the traffic.
func (e TableEndpoint) warm() bool { return e.Open && !e.WarmingUp }

// LimitCrossZone returns a table with CrossZoneFactor applied to the weights of endpoints in other zones. The traffic share of
// endpoints that are warming up does not increase. The input table is not modified.
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
	if b.CrossZoneFactor >= 1 || total == 0 || local < minLocalFraction*total {
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

// LimitEndpoints returns a gateway's table with at most MaxEndpoints warmed-up endpoints; the others get a weight of 0. A hash
// selects different endpoints for each gateway, so that all gateways together still use all of them. Endpoints that are warming up
// stay and their traffic share does not increase; those that are not open stay, too. The input table is not modified.
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
	// The selection was already by weight. The selected endpoints get equal weights, otherwise weight would count twice.
	mean := 0.0
	for _, i := range warm[:b.MaxEndpoints] {
		mean += table[i].Weight / float64(b.MaxEndpoints)
	}
	for _, i := range warm[:b.MaxEndpoints] {
		limited[i].Weight = mean
	}
	return limitWarmingUp(table, limited)
}

// rendezvousRank returns the rank of an endpoint in weighted rendezvous hashing. The endpoints with the lowest ranks are selected;
// twice the weight makes an endpoint twice as likely to have the lowest rank.
func rendezvousRank(gateway string, e TableEndpoint) float64 {
	uniform := (float64(crc32.ChecksumIEEE([]byte(gateway+"\x00"+string(e.Endpoint)))) + 1) / (1 << 32)
	return -math.Log(uniform) / e.Weight
}

// limitWarmingUp limits the weights of endpoints that are warming up to their weights in before, scaled by the ratio of the warmed-up
// endpoints' weights in after and before, so that their traffic share does not increase. It modifies and returns after.
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
