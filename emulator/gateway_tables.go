package emulator

import (
	"porthub/client"
	"porthub/policyapi"
	"porthub/routing"
)

// minOwnZoneEndpoints is the smallest number of endpoints in a gateway's own zone for which its initial table is restricted to
// that zone.
const minOwnZoneEndpoints = 3

// initialTable returns a table of randomly selected endpoints, from the gateway's own zone if that has enough. With
// UseAllEndpoints it contains all endpoints that are not draining.
func (g *Gateway) initialTable() routing.Snapshot {
	ready := withoutDraining(g.List())
	if g.UseAllEndpoints {
		return uniformTable(g.Classes, ready)
	}
	var chosen []ListEntry
	for _, entry := range ready {
		if entry.Zone == g.Zone {
			chosen = append(chosen, entry)
		}
	}
	if len(chosen) < minOwnZoneEndpoints {
		chosen = ready
	}
	g.rng.Shuffle(len(chosen), func(i, j int) { chosen[i], chosen[j] = chosen[j], chosen[i] })
	return uniformTable(g.Classes, chosen[:min(len(chosen), g.InitialTableSize)])
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

// uniformTable returns a table with the same endpoints for each class and without admission limits.
func uniformTable(classes []string, list []ListEntry) routing.Snapshot {
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
	const minWeight = 1e-3 // keeps an endpoint without a weight in the table
	return routing.ClusterEndpoint{Endpoint: policyapi.EndpointID(entry.Addr), Zone: policyapi.Zone(entry.Zone), Weight: max(entry.Weight, minWeight)}
}

// RefreshEndpoints applies the current list if the gateway is running with UseAllEndpoints.
func (g *Gateway) RefreshEndpoints() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.UseAllEndpoints || !g.running {
		return
	}
	g.tables.Snapshot = uniformTable(g.Classes, withoutDraining(g.List()))
	now := g.world.Now()
	g.world.Log.TableApplied(now, now, g.Name, "", g.tables.Snapshot)
}

// applyUpdate applies a received document to the tables and records it in the audit log.
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

// currentTables returns the gateway's tables.
func (g *Gateway) currentTables() client.Tables {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tables
}
