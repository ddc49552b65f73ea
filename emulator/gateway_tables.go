package emulator

import (
	"porthub/client"
	"porthub/policyapi"
	"porthub/routing"
)

// minOwnZone is how many endpoints of its own zone a gateway needs for an initial table of that zone alone.
const minOwnZone = 3

// initialTable draws some endpoints of the list, of the gateway's own zone if it has enough.
func (g *Gateway) initialTable() routing.Snapshot {
	ready := withoutDraining(g.List())
	if g.UseAllEndpoints {
		return tableOf(g.Classes, ready)
	}
	var chosen []ListEntry
	for _, entry := range ready {
		if entry.Zone == g.Zone {
			chosen = append(chosen, entry)
		}
	}
	if len(chosen) < minOwnZone {
		chosen = ready
	}
	g.rng.Shuffle(len(chosen), func(i, j int) { chosen[i], chosen[j] = chosen[j], chosen[i] })
	return tableOf(g.Classes, chosen[:min(len(chosen), g.InitialTableSize)])
}

func withoutDraining(list []ListEntry) []ListEntry {
	var ready []ListEntry
	for _, entry := range list {
		if !entry.Draining {
			ready = append(ready, entry)
		}
	}
	return ready
}

// tableOf has the same endpoints for each class, and admits everything.
func tableOf(classes []string, list []ListEntry) routing.Snapshot {
	var table routing.Snapshot
	for _, class := range classes {
		cluster := routing.Cluster{Class: class}
		for _, entry := range list {
			cluster.Endpoints = append(cluster.Endpoints, clusterEndpoint(entry))
		}
		cluster.Sort()
		table.Clusters = append(table.Clusters, cluster)
		table.Routes = append(table.Routes, routing.Route{Class: class, Rate: routing.UnlimitedRate, Share: 1})
	}
	return table
}

func clusterEndpoint(entry ListEntry) routing.ClusterEndpoint {
	const minWeight = 1e-3 // an endpoint without a weight is still in the table
	return routing.ClusterEndpoint{Endpoint: policyapi.EndpointID(entry.Addr), Zone: policyapi.Zone(entry.Zone), Weight: max(entry.Weight, minWeight)}
}

// RefreshEndpoints passes the present list to a gateway that uses all endpoints.
func (g *Gateway) RefreshEndpoints() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.UseAllEndpoints || !g.running {
		return
	}
	g.tables.Snapshot = tableOf(g.Classes, withoutDraining(g.List()))
	now := g.world.Now()
	g.world.Log.TableApplied(now, now, g.Name, "", g.tables.Snapshot)
}

// applyUpdate uses a document that was read.
func (g *Gateway) applyUpdate(u client.Update) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if u.Err != nil {
		g.world.Log.IncompleteDocument()
	}
	g.tables.Apply(u)
	if u.Err != nil {
		return
	}
	if g.Corrupt != nil {
		g.Corrupt(&g.tables.Snapshot)
	}
	at := g.world.Now()
	written := u.Written.Sub(g.world.Start)
	g.world.Log.TableApplied(at, written, g.Name, u.Document.Version, g.tables.Snapshot)
}

// currentTables returns what the gateway has from the coordinator.
func (g *Gateway) currentTables() client.Tables {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tables
}
