package coordinator

import (
	"porthub/policyapi"
	"porthub/routing"
)

// clusterCache caches the clusters of tables within a step. Gateways of a zone with the same table share them: with thousands
// of gateways, building each cluster again would take most of a step.
type clusterCache map[clusterKey]tableCluster

type clusterKey struct {
	table policyapi.TableID
	class policyapi.RequestClass
	zone  policyapi.Zone
}

// tableCluster is a table's cluster for a class, as it is published to the gateways of a zone.
type tableCluster struct {
	cluster       routing.Cluster
	weights       map[policyapi.EndpointID]float64
	admittedShare float64 // part of the demand that the solver admits; 1 is all of it
}

// snapshot returns the snapshot that a gateway should have: the module's orders with the solver, pins and levels applied.
func (c *Core) snapshot(g *gateway) routing.Snapshot {
	var s routing.Snapshot
	if c.degradation != nil {
		s.Level = c.degradation.controller.Level(g.zone)
	}
	for k := range c.settings.Start.Classes {
		class := policyapi.RequestClass(k)
		table := c.tableCluster(g, class)
		cluster := table.cluster
		if c.hasOwnTable(g) {
			cluster = c.buildCluster(class, c.limitOwnEndpoints(g, table.weights))
		}
		s.Clusters = append(s.Clusters, cluster)
		s.Routes = append(s.Routes, c.route(g, class, table.admittedShare))
	}
	return s
}

// tableCluster returns the cluster of a gateway's table for a class, which all gateways of its zone with that table share.
func (c *Core) tableCluster(g *gateway, class policyapi.RequestClass) tableCluster {
	key := clusterKey{g.tables[class], class, g.zone}
	if cached, has := c.clusters[key]; has {
		return cached
	}
	weights, admittedShare, active := c.solverWeights(key.table, int(class))
	if !active {
		weights = c.tables.weights[key.table]
	}
	weights = c.effectiveWeights(g, key.table, int(class), weights)
	weights = c.limitCrossZone(g.zone, weights)
	built := tableCluster{cluster: c.buildCluster(class, weights), weights: weights, admittedShare: admittedShare}
	c.clusters[key] = built
	return built
}

// buildCluster returns a cluster in which every closed endpoint is withheld, even if the module's table has a weight for it: a
// table that the module no longer updates may still be bound to some gateway.
func (c *Core) buildCluster(class policyapi.RequestClass, weights map[policyapi.EndpointID]float64) routing.Cluster {
	return routing.BuildCluster(c.ClassName(class), weights, c.endpoints.zoneOf, c.isClosed)
}

// route returns a gateway's admission and retry policy for a class.
func (c *Core) route(g *gateway, class policyapi.RequestClass, admittedShare float64) routing.Route {
	admission := c.applyLevelBounds(g, class, c.policyAdmission(g, class))
	settings := c.settings.Start.Classes[class]
	r := routing.Route{
		Class:       settings.Name,
		Rate:        admission.effectiveRate(),
		Share:       admission.share,
		RetryPolicy: admission.retryPolicy,
		Timeout:     settings.ClientTimeout,
		Fallback:    c.fallback(g, class),
	}
	if c.settings.Start.Admission == policyapi.AdmissionByRate {
		r.Rate = g.solverRate(int(class), admittedShare, r.Rate)
	}
	return r
}
