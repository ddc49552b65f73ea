// Package routing says what a gateway holds: for each request kind a cluster of weighted lines and a route that tells
// how much is let in and when to try again. It is pure: values in, values out.
package routing

import (
	"cmp"
	"maps"
	"slices"

	"porthub/policyapi"
)

// ClusterEndpoint is one backend in a cluster. Weight is relative to the other lines of its cluster, without a unit, above 0.
type ClusterEndpoint struct {
	Endpoint policyapi.EndpointID `json:"backend"`
	Zone     policyapi.Zone       `json:"zone"`
	Weight   float64              `json:"weight"`
	Withheld bool                 `json:"withheld,omitempty"` // listed, but nothing new may be sent there
}

// Cluster is all lines of one request kind, by zone and backend.
type Cluster struct {
	Class     string            `json:"kind"`
	Endpoints []ClusterEndpoint `json:"lines"`
}

// Route tells what a gateway does with reqs of one kind.
type Route struct {
	Class string `json:"kind"`
	// Rate is reqs a second let in at this gateway; 0 lets nothing in, below 0 sets no limit.
	Rate float64 `json:"rate"`
	// Share is the part let in, 0 to 1; 1 lets all in. Only one of Rate and Share is in use at a site.
	Share float64 `json:"share"`
	// RetryPolicy is the order for second tries as control.Admit has it, 0 to 3.
	RetryPolicy int                    `json:"second_try"`
	Timeout     policyapi.Microseconds `json:"timeout_us"` // of all tries together
	// Fallback holds in place of Share and SecondTry while no coordinator is reached.
	Fallback Fallback `json:"fallback,omitzero"`
}

// Fallback is what a gateway does with a kind while it reaches no coordinator: After so long without a word, For so long; then
// its table holds again as it is. The zero Fallback is none.
type Fallback struct {
	After       policyapi.Microseconds `json:"after_us"`
	Duration    policyapi.Microseconds `json:"for_us"`
	Share       float64                `json:"share"` // part let in of what the table lets in
	RetryPolicy int                    `json:"second_try"`
}

// WithoutCoordinator is a route as it holds after so long without a word from a coordinator.
func (r Route) WithoutCoordinator(silent policyapi.Microseconds) Route {
	if f := r.Fallback; f.Duration > 0 && silent >= f.After && silent < f.After+f.Duration {
		r.Share *= f.Share
		if r.Rate > 0 {
			r.Rate *= f.Share
		}
		r.RetryPolicy = min(r.RetryPolicy, f.RetryPolicy)
	}
	return r
}

// Snapshot is all that one gateway is given. Its clusters and routes are in the order of the request kinds.
type Snapshot struct {
	Clusters []Cluster `json:"clusters"`
	Routes   []Route   `json:"routes"`
	Level    int       `json:"-"` // of service, by which it was made; not published
}

// UnlimitedRate is a level that turns nothing away.
const UnlimitedRate = -1

// Sort puts a cluster's lines into their one order: by zone, then by backend.
func (c *Cluster) Sort() {
	slices.SortFunc(c.Endpoints, order)
}

// Equal tells whether two clusters are the same to the letter; both are sorted.
func (c Cluster) Equal(o Cluster) bool {
	return c.Class == o.Class && (c.same(o) || slices.Equal(c.Endpoints, o.Endpoints))
}

// same tells whether two clusters share their lines: those of gateways on one table do.
func (c Cluster) same(o Cluster) bool {
	return len(c.Endpoints) == len(o.Endpoints) && (len(c.Endpoints) == 0 || &c.Endpoints[0] == &o.Endpoints[0])
}

// SameClusters tells whether two snapshots have the same clusters.
func (s Snapshot) SameClusters(o Snapshot) bool {
	return slices.EqualFunc(s.Clusters, o.Clusters, Cluster.Equal)
}

// SameRoutes tells whether two snapshots have the same routes.
func (s Snapshot) SameRoutes(o Snapshot) bool { return slices.Equal(s.Routes, o.Routes) }

// OpenEndpoints counts the lines of a kind to which something may be sent.
func (s Snapshot) OpenEndpoints(kind string) (n int) {
	for _, c := range s.Clusters {
		for _, l := range c.Endpoints {
			if c.Class == kind && !l.Withheld && l.Weight > 0 {
				n++
			}
		}
	}
	return n
}

// ChangeCost is how many lines differ between two snapshots: set anew, changed or gone, routes counted as a line each. It
// is what a message that brings a gateway from the one to the other holds besides its head.
func ChangeCost(from, to Snapshot) (lines int) {
	held := map[string]Cluster{}
	for _, c := range from.Clusters {
		held[c.Class] = c
	}
	for _, c := range to.Clusters {
		lines += c.cost(held[c.Class])
		delete(held, c.Class)
	}
	for _, c := range held {
		lines += len(c.Endpoints)
	}
	routes := map[string]Route{}
	for _, r := range from.Routes {
		routes[r.Class] = r
	}
	for _, r := range to.Routes {
		if old, has := routes[r.Class]; !has || old != r {
			lines++
		}
		delete(routes, r.Class)
	}
	return lines + len(routes)
}

// cost counts the lines that differ from another cluster's; both are sorted.
func (c Cluster) cost(o Cluster) (lines int) {
	if c.same(o) {
		return 0
	}
	i, j := 0, 0
	for i < len(c.Endpoints) && j < len(o.Endpoints) {
		switch order(c.Endpoints[i], o.Endpoints[j]) {
		case -1:
			i++
		case 1:
			j++
		default:
			if c.Endpoints[i] == o.Endpoints[j] {
				lines--
			}
			i, j = i+1, j+1
		}
		lines++
	}
	return lines + len(c.Endpoints) - i + len(o.Endpoints) - j
}

// order is the one order of lines: by zone, then by backend.
func order(a, b ClusterEndpoint) int {
	return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Endpoint, b.Endpoint))
}

// BuildCluster makes a cluster of a table's weights; what masked names is withheld. Backends that zone does not know are
// left out: nobody can tell where they are.
func BuildCluster(kind string, weights map[policyapi.EndpointID]float64, zone func(policyapi.EndpointID) (policyapi.Zone, bool),
	masked func(policyapi.EndpointID) bool) Cluster {
	c := Cluster{Class: kind}
	for _, b := range slices.Sorted(maps.Keys(weights)) {
		if z, known := zone(b); known && weights[b] > 0 {
			c.Endpoints = append(c.Endpoints, ClusterEndpoint{Endpoint: b, Zone: z, Weight: weights[b], Withheld: masked(b)})
		}
	}
	c.Sort()
	return c
}
