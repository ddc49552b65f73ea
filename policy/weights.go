package policy

import (
	"cmp"
	"math/bits"
	"slices"

	"porthub/policyapi"
)

const (
	// lowUtilization is the fleet's utilization above which zones spill over, and fullUtilization that at which the fleet
	// is treated as one zone.
	lowUtilization, fullUtilization = 0.6, 0.9
	// maxSpillover bounds the weight factor of endpoints in other zones relative to local ones.
	maxSpillover = 2
	// minLocalShare is the lower bound of the fraction of a zone's load that its own endpoints can take, which is a
	// divisor.
	minLocalShare = 1e-3
	// minTableWeight is the least weight of a line in a table that would be empty otherwise.
	minTableWeight = 0.01
	// minLineWeight is the weight up to which a line is omitted if other lines remain.
	minLineWeight = 0.02
	// minSharedWeight is the fraction of its weight that an endpoint keeps for unrestricted classes, however much load the
	// restricted classes bring.
	minSharedWeight = 0.2
)

// tableInputs is the data from which the tables of a plan are built.
type tableInputs struct {
	fleet          []fleetEndpoint
	spillover      []float64                        // by zone
	restrictedLoad map[policyapi.EndpointID]float64 // load of the restricted classes, whose tables are built first
}

// planTables plans the tables of all groups that proxies use or are still bound to.
func (p *planner) planTables(fleet []fleetEndpoint, target *targetState) {
	p.groups.dropRetired()
	in := &tableInputs{fleet, p.zoneSpillover(fleet), map[policyapi.EndpointID]float64{}}
	add := func(id groupID, placement classPlacement, g group) []tableLine {
		lines := p.buildTable(in, placement, g)
		target.tables[id] = append(target.tables[id], tablePlan{
			lines:            lines,
			subsetCandidates: p.warmedUp(lines),
			level:            p.warmUpAdmission(g, placement, lines),
		})
		return lines
	}
	for _, placement := range p.settings.placements {
		for i, g := range p.groups.list {
			if len(g.proxies) > 0 || p.groups.bound[g.id] { // all proxies of a bound group without proxies are about to move
				lines := add(g.id, placement, g)
				p.addLoad(in, i, placement, lines)
			}
		}
		for _, g := range p.groups.retired {
			add(g.id, placement, *p.groups.zoneGroup(g.zone))
		}
	}
}

// zoneSpillover returns, by zone, the weight factor of endpoints in other zones relative to local ones: 0 keeps all
// requests in their zone, and 1 treats the fleet as one zone. A zone of low utilization keeps its requests. It spills over
// as the utilization of the fleet rises, or as its own rises above that of the fleet: demand changes faster than orders
// reach the proxies, and other zones can take the load that is too much for one.
func (p *planner) zoneSpillover(fleet []fleetEndpoint) []float64 {
	available := make([]float64, len(p.settings.zones))
	load := slices.Clone(p.zoneDemand)
	for _, e := range fleet {
		if !e.ready || e.zone < 0 {
			continue
		}
		load[e.zone] += e.load.externalLoad
		if p.isUsable(e, e.zone) {
			available[e.zone] += e.available
		}
	}
	p.updateUtilization(sum(load), sum(available))
	utilization := p.fleet.utilization
	spillover := make([]float64, len(p.settings.zones))
	for z := range spillover {
		spillover[z] = min(1, max(0, (utilization-lowUtilization)/(fullUtilization-lowUtilization)))
		// At least so much spills over that the zone's utilization falls to that of the fleet, or to lowUtilization if that
		// is higher.
		local := max(lowUtilization, utilization) * available[z] / max(load[z], epsilon)
		elsewhere := sum(available) - available[z]
		if local < 1 && elsewhere > 0 {
			needed := available[z] * (1/max(local, minLocalShare) - 1) / elsewhere
			spillover[z] = max(spillover[z], min(maxSpillover, needed))
		}
	}
	return spillover
}

// updateUtilization computes the fleet's utilization, with and without the requests that admission rejects. Those load no
// endpoint, but clients send them again.
func (p *planner) updateUtilization(load, available float64) {
	p.fleet.utilization = load / max(available, epsilon)
	p.fleet.admittedUtilization = p.fleet.utilization
	if p.admittedRate > 0 {
		admitted := load - sum(p.zoneDemand) + p.admittedRate
		p.fleet.admittedUtilization *= min(1, admitted/max(load, epsilon))
	}
}

// buildTable returns the lines of a placement's table for a group. The weights are the available capacities of the endpoints
// relative to the fleet's mean, so that a line changes only if its endpoint or the spillover changes.
func (p *planner) buildTable(in *tableInputs, placement classPlacement, g group) []tableLine {
	zones := p.settings.zones
	servedLocally := g.capacity > 0 && placement.allows(zones[g.zone])
	var lines, all []tableLine
	for _, e := range in.fleet {
		if !p.mayServe(e, placement, g.zone) {
			continue
		}
		line := tableLine{e.id, max(minTableWeight, e.available/p.fleet.meanCapacity)}
		all = append(all, line)
		if !p.isMember(e, g) {
			continue
		}
		if !placement.restricted() { // an endpoint that also serves restricted classes gets less of the others
			taken := in.restrictedLoad[e.id] / max(e.available*p.fleet.utilization, epsilon)
			line.weight *= max(minSharedWeight, 1-taken)
		}
		if e.zone != g.zone && servedLocally {
			line.weight *= in.spillover[g.zone]
		}
		if p.isUsable(e, g.zone) && line.weight > minLineWeight {
			lines = append(lines, line)
		}
	}
	if len(lines) == 0 {
		lines = all // no proxy may have an empty table: any ready endpoint is better than none
	}
	return heaviest(lines, p.maxTableLines)
}

// warmedUp returns the lines of endpoints that are not in slow start.
func (p *planner) warmedUp(lines []tableLine) (warm []tableLine) {
	for _, line := range lines {
		if p.endpoints[line.endpoint].slowStartFactor >= 1 {
			warm = append(warm, line)
		}
	}
	return warm
}

// mayServe reports whether a placement's requests from a zone's proxies may go to an endpoint.
func (p *planner) mayServe(e fleetEndpoint, placement classPlacement, zone int) bool {
	return e.ready && e.zone >= 0 && (!placement.localZoneOnly || e.zone == zone) &&
		placement.allows(p.settings.zones[e.zone])
}

// addLoad adds the requests that a group's proxies will send according to a placement's table to the expected load of the
// endpoints.
func (p *planner) addLoad(in *tableInputs, at int, placement classPlacement, lines []tableLine) {
	weight, demand := 0.0, 0.0
	for _, line := range lines {
		weight += line.weight
	}
	for _, proxy := range p.groups.list[at].proxies {
		for class, rate := range proxy.rates {
			if placement.classes&(1<<class) != 0 {
				demand += rate
			}
		}
	}
	for _, line := range lines {
		p.endpointLoad[line.endpoint][at] += demand * line.weight / weight
		if placement.restricted() {
			in.restrictedLoad[line.endpoint] += demand * line.weight / weight
		}
	}
}

// warmUpAdmission returns the requests per second that each proxy of a group may admit of each class while a warming
// endpoint is in the group's table. A proxy's demand can rise a hundredfold before the first report of it arrives. As a
// group has few endpoints, such a rise overloads the warming ones, the more so the larger the fleet is relative to its
// groups. With all classes at this level, one proxy in addition to the present load brings a warming endpoint to
// slowStartMargin of the load at which it fails; the rest is reserved for random variation and for requests in flight.
// Zone-wide groups need no such limit.
func (p *planner) warmUpAdmission(g group, placement classPlacement, lines []tableLine) float64 {
	warming, carried := false, 0.0
	for _, line := range lines {
		warming = warming || p.endpoints[line.endpoint].slowStartFactor < 1
		carried += line.weight * p.fleet.meanCapacity
	}
	overload := p.settings.rules.OverloadFactor
	if !warming || p.groups.isZoneWide(g) || p.settings.admissionMode != policyapi.AdmissionByRate || overload <= 1 {
		return unlimitedLevel
	}
	classes := bits.OnesCount64(uint64(placement.classes))
	return carried * (overload - min(1, p.fleet.utilization)) / float64(classes)
}

// heaviest returns the lines of the greatest weights, at most limit of them but at least one.
func heaviest(lines []tableLine, limit int) []tableLine {
	if len(lines) <= max(1, limit) {
		return lines
	}
	slices.SortStableFunc(lines, func(a, b tableLine) int { return cmp.Compare(b.weight, a.weight) })
	return lines[:max(1, limit)]
}
