package coordinator

import (
	"maps"
	"math"
	"slices"

	"porthub/degradation"
	"porthub/policyapi"
	"porthub/routing"
)

// limitCrossZone applies a level's limit on traffic between zones to a table's weights for the gateways of a zone.
func (c *Core) limitCrossZone(zone policyapi.Zone, weights map[policyapi.EndpointID]float64) map[policyapi.EndpointID]float64 {
	if c.degradation == nil {
		return weights
	}
	bounds, reduced := c.degradation.bounds(zone)
	if !reduced || bounds.CrossZoneFactor >= 1 {
		return weights
	}
	return openWeights(bounds.LimitCrossZone(c.tableEndpoints(zone, weights)))
}

// hasOwnTable reports whether a gateway's level limits its number of endpoints, so that its clusters are not shared.
func (c *Core) hasOwnTable(g *gateway) bool {
	if c.degradation == nil {
		return false
	}
	bounds, _ := c.degradation.bounds(g.zone)
	return bounds.MaxEndpoints > 0
}

// limitOwnEndpoints applies a level's limit on the number of endpoints to the weights of a gateway.
func (c *Core) limitOwnEndpoints(g *gateway, weights map[policyapi.EndpointID]float64) map[policyapi.EndpointID]float64 {
	bounds, reduced := c.degradation.bounds(g.zone)
	if !reduced {
		return weights
	}
	return openWeights(bounds.LimitEndpoints(string(g.name), c.tableEndpoints(g.zone, weights)))
}

// tableEndpoints converts a table for package degradation, in the order of endpoint IDs.
func (c *Core) tableEndpoints(zone policyapi.Zone, weights map[policyapi.EndpointID]float64) (endpoints []degradation.TableEndpoint) {
	for _, id := range slices.Sorted(maps.Keys(weights)) {
		entry, ok := c.endpoints.entries[id]
		endpoints = append(endpoints, degradation.TableEndpoint{
			Endpoint:  id,
			Weight:    weights[id],
			Local:     entry.Zone == zone,
			Open:      ok && entry.Status == policyapi.Ready && !c.tables.ejected[id],
			WarmingUp: ok && c.warmUpProgress(entry) < 1,
		})
	}
	return endpoints
}

// openWeights returns the weights above 0 of a table.
func openWeights(endpoints []degradation.TableEndpoint) map[policyapi.EndpointID]float64 {
	weights := map[policyapi.EndpointID]float64{}
	for _, e := range endpoints {
		if e.Weight > 0 {
			weights[e.Endpoint] = e.Weight
		}
	}
	return weights
}

// updateFallbackShares computes the share of each class that the gateways' fallback level would admit now.
func (c *Core) updateFallbackShares(allocations map[policyapi.Zone][]allocation) {
	d := c.degradation
	level := c.settings.Fallback.Level
	if level == 0 {
		return
	}
	bounds := d.controller.Settings().Bounds(level)
	for _, zone := range c.settings.Start.Zones {
		last := d.fallbackShares[zone]
		shares := make([]float64, len(c.settings.Start.Classes))
		changed := len(last) == 0
		for class, a := range c.allocate(allocations[zone], bounds) {
			shares[class] = degradation.AdmittedShare(a.allocated, a.demand)
			changed = changed || math.Abs(shares[class]-last[class]) > fallbackTolerance
		}
		if !changed {
			continue
		}
		d.fallbackShares[zone] = shares
		c.markPending(func(g *gateway) bool { return g.zone == zone })
	}
}

// fallback returns the part of a gateway's route that applies while it reaches no coordinator.
func (c *Core) fallback(g *gateway, class policyapi.RequestClass) routing.Fallback {
	fallback := c.settings.Fallback
	if c.degradation == nil || fallback.Level == 0 || len(c.degradation.fallbackShares[g.zone]) == 0 {
		return routing.Fallback{}
	}
	return routing.Fallback{
		After:       fallback.After,
		Duration:    fallback.Duration,
		Share:       c.degradation.fallbackShares[g.zone][class],
		RetryPolicy: c.degradation.controller.Settings().Bounds(fallback.Level).RetryPolicy[class],
	}
}
