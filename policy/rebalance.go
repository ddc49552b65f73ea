package policy

import (
	"math"
	"slices"
)

const (
	// endpointMovesPerPlan is the most endpoints of a zone that change their group in one plan.
	endpointMovesPerPlan = 3
	// maxEndpointImbalance is the multiple of the poorest group's capacity that the richest may have.
	maxEndpointImbalance = 2
	// maxMovedCapacity is the fraction of the difference in capacity below which a moved endpoint's capacity must be, so
	// that the move reduces the difference.
	maxMovedCapacity = 0.7
	// proxiesPerMove is the number of connected proxies for which one more proxy may be moved in a round.
	proxiesPerMove = 50
	// rebindInterval is the least number of seconds between two moves of a proxy, since each move costs connections.
	rebindInterval = 15
	// maxMovedDemand bounds the demand of a moved proxy, as a multiple of the demand that would balance the two groups.
	maxMovedDemand = 1.5
	// minFullUtilization is the utilization below which no proxy is moved out of a group.
	minFullUtilization = 0.9
	// maxProxyImbalance is the multiple of the least group utilization that the greatest may have.
	maxProxyImbalance = 1.25
)

// rebalanceEndpoints moves endpoints from a zone's group of the greatest capacity to the one of the least, if drains or
// failures have made them unequal.
func (p *planner) rebalanceEndpoints(fleet []fleetEndpoint, zone int) {
	for range endpointMovesPerPlan {
		poorest, richest := p.groups.extremes(zone, groupCapacity)
		from, to := &p.groups.list[richest], &p.groups.list[poorest]
		i := slices.IndexFunc(fleet, func(e fleetEndpoint) bool {
			return e.zone == zone && p.groups.ofEndpoint[e.id] == richest && p.isUsable(e, zone) &&
				e.capacity < maxMovedCapacity*(from.capacity-to.capacity)
		})
		if i < 0 || from.capacity < maxEndpointImbalance*to.capacity {
			return
		}
		p.groups.ofEndpoint[fleet[i].id] = poorest
		to.capacity += fleet[i].capacity
		from.capacity -= fleet[i].capacity
	}
}

// rebalanceProxies moves proxies from a zone's group of the highest utilization to the one of the lowest. Moves are rare:
// the utilizations must differ by much, the higher one must be at least minFullUtilization, and the proxy must not have been
// moved for rebindInterval.
func (p *planner) rebalanceProxies(zone int) {
	for range 1 + len(p.proxies)/proxiesPerMove {
		emptiest, fullest := p.groups.extremes(zone, groupUtilization)
		from, to := &p.groups.list[fullest], &p.groups.list[emptiest]
		best := p.proxyToMove(from, to)
		balanced := from.load*to.available < maxProxyImbalance*to.load*from.available
		if best < 0 || from.load < minFullUtilization*from.available || balanced {
			return
		}
		proxy := from.proxies[best]
		p.groups.ofProxy[proxy.proxy] = emptiest
		p.groups.movedAt[proxy.proxy] = p.round.clock
		to.proxies = append(to.proxies, proxy)
		from.load -= proxy.total
		to.load += proxy.total
		from.proxies = slices.Delete(from.proxies, best, best+1)
	}
}

// proxyToMove returns the position of the proxy whose move balances two groups best, or -1 if there is none.
func (p *planner) proxyToMove(from, to *group) int {
	best := -1
	gap := (from.load*to.available - to.load*from.available) / max(from.available+to.available, epsilon)
	for i, proxy := range from.proxies {
		if proxy.total >= maxMovedDemand*gap || p.round.clock-p.groups.movedAt[proxy.proxy] < rebindInterval {
			continue
		}
		if best < 0 || math.Abs(proxy.total-gap) < math.Abs(from.proxies[best].total-gap) {
			best = i
		}
	}
	return best
}
