package routing

import (
	"cmp"
	"maps"
	"slices"

	"porthub/policyapi"
)

// ClusterEndpoint is one endpoint of a cluster.
type ClusterEndpoint struct {
	Endpoint policyapi.EndpointID `json:"backend"`
	Zone     policyapi.Zone       `json:"zone"`
	Weight   float64              `json:"weight"`             // relative to the other weights of the cluster, above 0
	Withheld bool                 `json:"withheld,omitempty"` // listed, but gets no new requests
}

// Cluster holds the endpoints of one request class, ordered by zone and ID.
type Cluster struct {
	Class     string            `json:"kind"`
	Endpoints []ClusterEndpoint `json:"lines"`
}

// UnlimitedRate is the Route.Rate that means no limit.
const UnlimitedRate = -1

// Route defines how a gateway admits and retries the requests of one class.
type Route struct {
	Class string `json:"kind"`
	// Rate is the number of requests per second that this gateway admits. 0 admits none, a negative rate is no limit.
	Rate float64 `json:"rate"`
	// Share is the admitted fraction of requests, 0 to 1. A deployment uses either Rate or Share.
	Share float64 `json:"share"`
	// RetryPolicy is the retry policy of policyapi.SetAdmission, 0 to 3.
	RetryPolicy policyapi.RetryPolicy  `json:"second_try"`
	Timeout     policyapi.Microseconds `json:"timeout_us"` // for all attempts of a request together
	// Fallback applies while the gateway has no contact to a coordinator.
	Fallback Fallback `json:"fallback,omitzero"`
}

// Fallback limits a route while the gateway has no contact to a coordinator. It applies once the time without contact reaches After,
// for Duration; then the route applies unchanged again. The zero Fallback limits nothing.
type Fallback struct {
	After       policyapi.Microseconds `json:"after_us"`
	Duration    policyapi.Microseconds `json:"for_us"`
	Share       float64                `json:"share"`      // admitted fraction of what the route admits
	RetryPolicy policyapi.RetryPolicy  `json:"second_try"` // upper bound on the retry policy of the route
}

// activeAt reports whether the fallback applies after the given time without contact to a coordinator.
func (f Fallback) activeAt(elapsed policyapi.Microseconds) bool {
	return f.Duration > 0 && elapsed >= f.After && elapsed < f.After+f.Duration
}

// WithoutCoordinator returns the route as it applies after the given time without contact to a coordinator.
func (r Route) WithoutCoordinator(elapsed policyapi.Microseconds) Route {
	if !r.Fallback.activeAt(elapsed) {
		return r
	}
	r.Share *= r.Fallback.Share
	if r.Rate > 0 {
		r.Rate *= r.Fallback.Share
	}
	r.RetryPolicy = min(r.RetryPolicy, r.Fallback.RetryPolicy)
	return r
}

// Snapshot is the complete configuration of one gateway. Clusters and routes are in the order of the request classes.
type Snapshot struct {
	Clusters []Cluster `json:"clusters"`
	Routes   []Route   `json:"routes"`
	Level    int       `json:"-"` // degradation level that it was built for, not published
}

// BuildCluster returns the cluster of a class for the weights of a table. withheld reports whether an endpoint is withheld. Endpoints
// whose zone is unknown or whose weight is not above 0 are omitted.
func BuildCluster(class string, weights map[policyapi.EndpointID]float64, zone func(policyapi.EndpointID) (policyapi.Zone, bool),
	withheld func(policyapi.EndpointID) bool) Cluster {
	c := Cluster{Class: class}
	for _, id := range slices.Sorted(maps.Keys(weights)) {
		if z, ok := zone(id); ok && weights[id] > 0 {
			c.Endpoints = append(c.Endpoints, ClusterEndpoint{Endpoint: id, Zone: z, Weight: weights[id], Withheld: withheld(id)})
		}
	}
	c.Sort()
	return c
}

// Sort sorts the endpoints by zone and ID.
func (c Cluster) Sort() { slices.SortFunc(c.Endpoints, compareEndpoints) }

// compareEndpoints compares endpoints by zone and ID.
func compareEndpoints(a, b ClusterEndpoint) int {
	return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Endpoint, b.Endpoint))
}

// Equal reports whether two sorted clusters are equal.
func (c Cluster) Equal(other Cluster) bool {
	return c.Class == other.Class && (c.sharesEndpoints(other) || slices.Equal(c.Endpoints, other.Endpoints))
}

// sharesEndpoints reports whether two clusters share one array of endpoints, as the clusters of gateways with the same table do, or
// both have no endpoints.
func (c Cluster) sharesEndpoints(other Cluster) bool {
	if len(c.Endpoints) != len(other.Endpoints) {
		return false
	}
	return len(c.Endpoints) == 0 || &c.Endpoints[0] == &other.Endpoints[0]
}

// SameClusters reports whether two snapshots have equal clusters.
func (s Snapshot) SameClusters(other Snapshot) bool {
	return slices.EqualFunc(s.Clusters, other.Clusters, Cluster.Equal)
}

// SameRoutes reports whether two snapshots have equal routes.
func (s Snapshot) SameRoutes(other Snapshot) bool { return slices.Equal(s.Routes, other.Routes) }

// OpenEndpoints returns the number of endpoints that get new requests of a class.
func (s Snapshot) OpenEndpoints(class string) (count int) {
	for _, c := range s.Clusters {
		if c.Class != class {
			continue
		}
		for _, e := range c.Endpoints {
			if !e.Withheld && e.Weight > 0 {
				count++
			}
		}
	}
	return count
}
