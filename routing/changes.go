package routing

import "porthub/policyapi"

// ChangeCost returns the number of lines in a message that updates a gateway from one snapshot to another: one for each endpoint and
// each route that is added, changed or removed.
func ChangeCost(from, to Snapshot) (lines int) {
	return clusterChangeCost(from.Clusters, to.Clusters) + routeChangeCost(from.Routes, to.Routes)
}

// clusterChangeCost returns the number of endpoints that are added, changed or removed in all clusters.
func clusterChangeCost(from, to []Cluster) (lines int) {
	remaining := map[string]Cluster{}
	for _, c := range from {
		remaining[c.Class] = c
	}
	for _, c := range to {
		lines += c.changeCost(remaining[c.Class])
		delete(remaining, c.Class)
	}
	for _, c := range remaining {
		lines += len(c.Endpoints)
	}
	return lines
}

// routeChangeCost returns the number of routes that are added, changed or removed.
func routeChangeCost(from, to []Route) (lines int) {
	remaining := map[string]Route{}
	for _, r := range from {
		remaining[r.Class] = r
	}
	for _, r := range to {
		if previous, ok := remaining[r.Class]; !ok || previous != r {
			lines++
		}
		delete(remaining, r.Class)
	}
	return lines + len(remaining)
}

// changeCost returns the number of endpoints in which two sorted clusters differ.
func (c Cluster) changeCost(other Cluster) (lines int) {
	if c.sharesEndpoints(other) {
		return 0
	}
	i, j := 0, 0
	for i < len(c.Endpoints) && j < len(other.Endpoints) {
		order := compareEndpoints(c.Endpoints[i], other.Endpoints[j])
		if order != 0 || c.Endpoints[i] != other.Endpoints[j] {
			lines++
		}
		if order <= 0 {
			i++
		}
		if order >= 0 {
			j++
		}
	}
	return lines + len(c.Endpoints) - i + len(other.Endpoints) - j
}

// IsUrgentChange reports whether the rules limit the delay of a change. They do if from is empty, if an endpoint that gets requests
// in from gets none in to because it is closed, or if a class without an open endpoint in from has one in to.
func IsUrgentChange(from, to Snapshot, closed func(policyapi.EndpointID) bool) bool {
	if len(from.Clusters) == 0 {
		return true
	}
	open := map[string]map[policyapi.EndpointID]bool{}
	for _, c := range to.Clusters {
		open[c.Class] = c.openEndpoints()
	}
	for _, c := range from.Clusters {
		hadOpen := false
		for _, e := range c.Endpoints {
			if e.Withheld {
				continue
			}
			hadOpen = true
			if !open[c.Class][e.Endpoint] && closed(e.Endpoint) {
				return true
			}
		}
		if !hadOpen && len(open[c.Class]) > 0 {
			return true
		}
	}
	return false
}

// openEndpoints returns the set of endpoints of the cluster that are not withheld.
func (c Cluster) openEndpoints() map[policyapi.EndpointID]bool {
	open := map[policyapi.EndpointID]bool{}
	for _, e := range c.Endpoints {
		if !e.Withheld {
			open[e.Endpoint] = true
		}
	}
	return open
}
