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
	// groupReportSeconds is the number of endpoints in a group for each second that the reports of all pairs of proxy
	// and endpoint take: the load that is not reported yet must even out within a group.
	groupReportSeconds = 2
	// undividedZoneConnections is the divisor of an endpoint's connection limit: zones are not divided while there are
	// fewer proxies than the quotient.
	undividedZoneConnections = 4
	// divisionGrowth is the growth of the endpoint list from which the zones are divided again, as after a start with a
	// short list.
	divisionGrowth = 2
	// largeProxyDemand and largeProxyShare are the multiple of the mean demand and the fraction of a group's capacity
	// above which a proxy uses the whole zone; keepZoneDemand and keepZoneShare are those below which it gets a group
	// again, lower so that it does not alternate.
	largeProxyDemand, largeProxyShare = 4, 0.5
	keepZoneDemand, keepZoneShare     = 2, 0.25
	// borrowThreshold is the fraction of its due capacity below which a group borrows from its zone.
	borrowThreshold = 0.5
	// initialPrice is where the paper starts the prices.
	initialPrice = 1
)

// group is a group of a zone's endpoints and the proxies that use them: the design's server group.
type group struct {
	id        groupID
	zone      int // position in the settings' zones
	index     int // among the zone's groups; the last one, groupSet.perZone, is the whole zone
	capacity  float64
	available float64        // capacity, both of its usable endpoints
	load      float64        // demand of its proxies
	proxies   []*proxyDemand // those bound to it
	price     float64        // of a request per second; see solvePrice
}

// groupSet is the division of the zones into groups, and who belongs to which. Endpoints and proxies refer to a group by
// its position in list.
type groupSet struct {
	list                []group // by zone: perZone groups and then the whole zone
	perZone             int
	endpointsAtDivision int
	next                groupID
	ofEndpoint          map[policyapi.EndpointID]int
	ofProxy             map[policyapi.ProxyID]int
	movedAt             map[policyapi.ProxyID]float64 // on roundCounts.clock
	bound               map[groupID]bool              // groups whose tables proxies are bound to
	retired             []group                       // of earlier divisions, while proxies are bound to their tables
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

// extremes returns the positions of the zone's groups, without the zone-wide one, of which a figure is least and
// greatest.
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

// divide creates new groups and retires the present ones.
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

// resetTotals clears the sums of the groups, which each plan computes from scratch.
func (s *groupSet) resetTotals() {
	for i, g := range s.list {
		s.list[i] = group{id: g.id, zone: g.zone, index: g.index, price: g.price}
	}
}

// dropRetired forgets the retired groups that no proxy is bound to any more.
func (s *groupSet) dropRetired() {
	s.retired = slices.DeleteFunc(s.retired, func(g group) bool { return !s.bound[g.id] })
}

// divideZones divides the zones into groups: one table for all of a large zone costs lines, delay and connections. A
// zone is not divided where all proxies together use less than a quarter of an endpoint's connections; otherwise groups
// are small, and larger the longer the reports of all pairs take. A zone's last group spans all of it and is for the few
// proxies far above the mean demand. It is not for all that are too large for a group: a traffic shift or retries would
// move them all there when connections are scarcest.
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

// assignGroups packs endpoints and, by demand, proxies onto groups of their zone.
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

// assignEndpoints adds the endpoints to their groups. New ones are distributed by pod, so that the failure of a pod
// affects few endpoints of a group.
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

// assignProxies adds the proxies to their groups, the largest first: those that have a group, then the others, each to
// the group that it leaves least utilized.
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

// assignedGroup returns the group that a proxy belongs to without a choice: its zone if it is very large, else the group
// that it has.
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

// isMember reports whether an endpoint serves a group: one of its own, or of the group with its index in another zone. A
// group left with far less capacity for its load than its zone has, say with all endpoints but one failed or warming up,
// borrows from the zone, since the remaining one would be overloaded.
func (p *planner) isMember(e fleetEndpoint, g group) bool {
	if p.groups.isZoneWide(g) || p.groups.list[p.groups.ofEndpoint[e.id]].index == g.index {
		return true
	}
	short := g.available*p.zoneDemand[g.zone] < borrowThreshold*g.load*p.groups.zoneGroup(g.zone).available
	return short && e.zone == g.zone
}
