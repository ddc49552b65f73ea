package policy

import (
	"cmp"
	"math"
	"slices"

	"porthub/policyapi"
)

const (
	// minGroupSize is the least number of endpoints in a group.
	minGroupSize = 2
	// groupReportSeconds is the number of endpoints in a group for each second that it takes to report all pairs of a
	// proxy and an endpoint: load that is not reported yet must even out within a group.
	groupReportSeconds = 2
	// undividedZoneConnections divides the connection limit of an endpoint: zones are not divided if there are fewer
	// proxies than the quotient.
	undividedZoneConnections = 4
	// divisionGrowth is the factor by which the endpoint list must grow for the zones to be divided again, as after a
	// start with a short list.
	divisionGrowth = 2
	// largeProxyDemand and largeProxyShare are the multiple of the mean demand and the fraction of a group's capacity
	// above which a proxy uses the whole zone. It is assigned to a group again below keepZoneDemand or keepZoneShare,
	// which are lower so that it does not alternate.
	largeProxyDemand, largeProxyShare = 4, 0.5
	keepZoneDemand, keepZoneShare     = 2, 0.25
	// borrowThreshold is the fraction of its proportional share of the zone's capacity below which a group borrows
	// endpoints from its zone.
	borrowThreshold = 0.5
	// initialPrice is the initial price of the Flowtune paper.
	initialPrice = 1
)

// group consists of endpoints of a zone and the proxies that use them. It is the server group of the design.
type group struct {
	id        groupID
	zone      int // position in the settings' zones
	index     int // among the zone's groups; the last one, groupSet.perZone, is the whole zone
	capacity  float64
	available float64        // available capacity; like capacity, the sum over its usable endpoints
	load      float64        // total demand of its proxies
	proxies   []*proxyDemand // proxies assigned to it
	price     float64        // of a request per second; see solvePrice
}

// groupSet is the division of the zones into groups, with the assignment of endpoints and proxies to the groups, which
// refers to a group by its position in list.
type groupSet struct {
	list                []group // by zone: perZone groups and then the whole zone
	perZone             int
	endpointsAtDivision int
	next                groupID
	ofEndpoint          map[policyapi.EndpointID]int
	ofProxy             map[policyapi.ProxyID]int
	movedAt             map[policyapi.ProxyID]float64 // time by roundCounts.clock
	bound               map[groupID]bool              // groups whose tables proxies are bound to
	retired             []group                       // groups of earlier divisions, until no proxy is bound to their tables
}

func newGroupSet() groupSet {
	return groupSet{
		ofEndpoint: map[policyapi.EndpointID]int{},
		ofProxy:    map[policyapi.ProxyID]int{},
		movedAt:    map[policyapi.ProxyID]float64{},
	}
}

// isZoneWide reports whether a group spans its whole zone.
func (s *groupSet) isZoneWide(g group) bool { return g.index == s.perZone }

// zoneWide returns the position of the group that spans a whole zone.
func (s *groupSet) zoneWide(zone int) int { return (zone+1)*(s.perZone+1) - 1 }

// zoneGroup returns the group that spans a whole zone.
func (s *groupSet) zoneGroup(zone int) *group { return &s.list[s.zoneWide(zone)] }

// extremes returns the positions of the zone's groups with the least and the greatest value of a figure, without the
// zone-wide group.
func (s *groupSet) extremes(zone int, figure func(*group) float64) (least, greatest int) {
	first := zone * (s.perZone + 1)
	least, greatest = first, first
	for i := first; i < first+s.perZone; i++ {
		if figure(&s.list[i]) < figure(&s.list[least]) {
			least = i
		}
		if figure(&s.list[i]) > figure(&s.list[greatest]) {
			greatest = i
		}
	}
	return least, greatest
}

func groupCapacity(g *group) float64 { return g.capacity }

func groupUtilization(g *group) float64 { return g.load / max(g.available, epsilon) }

// divide creates new groups and retires the current ones.
func (s *groupSet) divide(zones, perZone int) {
	s.retired = append(s.retired, s.list...)
	s.list = nil
	s.perZone = perZone
	s.ofEndpoint = map[policyapi.EndpointID]int{}
	s.ofProxy = map[policyapi.ProxyID]int{}
	for z := range zones {
		for index := range perZone + 1 {
			s.list = append(s.list, group{id: s.next, zone: z, index: index, price: initialPrice})
			s.next++
		}
	}
}

// resetTotals clears the totals of the groups, which each plan computes from scratch.
func (s *groupSet) resetTotals() {
	for i, g := range s.list {
		s.list[i] = group{id: g.id, zone: g.zone, index: g.index, price: g.price}
	}
}

// dropRetired drops the retired groups that no proxy is bound to any more.
func (s *groupSet) dropRetired() {
	s.retired = slices.DeleteFunc(s.retired, func(g group) bool { return !s.bound[g.id] })
}

// divideZones divides the zones into groups, since a single table for a large zone costs lines, delay and connections.
// Zones are not divided if all proxies together use less than a quarter of an endpoint's connections. Otherwise groups are
// small, but the larger, the longer it takes to report all pairs of a proxy and an endpoint. The last group of a zone spans
// the whole zone and is for the few proxies far above the mean demand. It is not for every proxy that is too large for a
// group: a traffic shift or retries would move all of those there when connections are scarcest.
func (p *planner) divideZones(fleet []fleetEndpoint) {
	s := p.settings
	perZoneEndpoints := len(fleet) / max(1, len(s.zones)) // a deployment may name no zones
	pairs := float64(s.proxyCount*len(s.classes)/s.instanceCount + perZoneEndpoints)
	size := max(minGroupSize, int(math.Ceil(groupReportSeconds*pairs/max(1, s.reportLineLimit))))
	count := make([]int, len(s.zones))
	for _, e := range fleet {
		if e.zone >= 0 {
			count[e.zone]++
		}
	}
	perZone := len(fleet)
	for _, n := range count {
		if n > 0 {
			perZone = max(1, min(perZone, n/size))
		}
	}
	if undividedZoneConnections*s.proxyCount < s.connectionLimit {
		perZone = 1
	}
	p.groups.endpointsAtDivision = len(fleet)
	p.groups.divide(len(s.zones), max(1, perZone))
}

// assignGroups assigns the endpoints and, by their demand, the proxies to groups of their zone.
func (p *planner) assignGroups(fleet []fleetEndpoint, roundFinished bool) {
	if p.groups.list == nil || len(fleet) > divisionGrowth*p.groups.endpointsAtDivision {
		p.divideZones(fleet)
	}
	p.groups.resetTotals()
	p.assignEndpoints(fleet)
	p.assignProxies()
	for z := range p.settings.zones {
		p.rebalanceEndpoints(fleet, z)
		if roundFinished {
			p.rebalanceProxies(z)
		}
	}
}

// assignEndpoints adds the endpoints to their groups. It distributes new endpoints by pod, so that the failure of a pod
// affects few endpoints of each group.
func (p *planner) assignEndpoints(fleet []fleetEndpoint) {
	byPod := slices.Clone(fleet)
	slices.SortStableFunc(byPod, func(a, b fleetEndpoint) int { return cmp.Compare(a.entry.Pod, b.entry.Pod) })
	for _, e := range byPod {
		if e.zone < 0 {
			continue
		}
		if _, assigned := p.groups.ofEndpoint[e.id]; !assigned {
			p.groups.ofEndpoint[e.id], _ = p.groups.extremes(e.zone, groupCapacity)
		}
		if !p.isUsable(e, e.zone) {
			continue
		}
		for _, g := range []*group{&p.groups.list[p.groups.ofEndpoint[e.id]], p.groups.zoneGroup(e.zone)} {
			g.capacity += e.capacity
			g.available += e.available
		}
	}
}

// assignProxies adds the proxies to their groups, the largest first: those that have a group, and then the others, each to
// the group whose utilization with it is the lowest.
func (p *planner) assignProxies() {
	bySize := slices.Clone(p.proxies)
	slices.SortStableFunc(bySize, func(a, b *proxyDemand) int { return cmp.Compare(b.total, a.total) })
	mean := sum(p.zoneDemand) / float64(max(1, len(p.proxies)))
	for _, assigned := range []bool{true, false} {
		for _, proxy := range bySize {
			at, has := p.assignedGroup(proxy, mean)
			if has != assigned {
				continue
			}
			if !has {
				at, _ = p.groups.extremes(proxy.zone, func(g *group) float64 {
					return (g.load + proxy.total) / max(g.available, epsilon)
				})
			}
			g := &p.groups.list[at]
			g.load += proxy.total
			g.proxies = append(g.proxies, proxy)
			p.groups.ofProxy[proxy.proxy] = at
		}
	}
}

// assignedGroup returns the group that a proxy has to use, if any: the zone-wide one if the proxy is very large, otherwise
// the group that it is already assigned to.
func (p *planner) assignedGroup(proxy *proxyDemand, meanDemand float64) (at int, has bool) {
	at, has = p.groups.ofProxy[proxy.proxy]
	zoneWide := has && p.groups.isZoneWide(p.groups.list[at])
	ofGroup := proxy.total * float64(p.groups.perZone) / max(p.groups.zoneGroup(proxy.zone).available, epsilon)
	large := proxy.total > largeProxyDemand*meanDemand && ofGroup > largeProxyShare
	stays := zoneWide && proxy.total > keepZoneDemand*meanDemand && ofGroup > keepZoneShare
	if p.groups.perZone > 1 && (large || stays) {
		return p.groups.zoneWide(proxy.zone), true
	}
	return at, has && !zoneWide
}

// isMember reports whether an endpoint serves a group: an endpoint of the group, or of the group with the same index in
// another zone. A group that has far less capacity for its load than its zone, for example because all endpoints but one
// have failed or are warming up, borrows the endpoints of the zone, since the remaining one would be overloaded.
func (p *planner) isMember(e fleetEndpoint, g group) bool {
	if p.groups.isZoneWide(g) || p.groups.list[p.groups.ofEndpoint[e.id]].index == g.index {
		return true
	}
	short := g.available*p.zoneDemand[g.zone] < borrowThreshold*g.load*p.groups.zoneGroup(g.zone).available
	return short && e.zone == g.zone
}
