package coordinator

import (
	"porthub/loadreport"
	"porthub/membership"
	"porthub/policyapi"
	"porthub/routing"
)

// Overview is the state of a coordinator without any table: small enough to be polled each second.
type Overview struct {
	Now           policyapi.Microseconds `json:"now_us"`
	StartedAt     policyapi.Microseconds `json:"began_us"`
	Build         string                 `json:"build"`
	Classes       []string               `json:"kinds"`
	Endpoints     []EndpointOverview     `json:"nodes"`
	Gateways      []GatewayOverview      `json:"gateways"`
	Traffic       []Traffic              `json:"traffic"`
	Levels        DegradationStatus      `json:"levels"`
	Solver        *SolverStatus          `json:"solver,omitempty"`
	Sampling      loadreport.Stats       `json:"intake"`
	LinesInFlight float64                `json:"lines_on_way"`
	LineLimit     float64                `json:"lines_limit"`
	Pins          int                    `json:"pins"`
}

// EndpointOverview is the state of one endpoint. Rates are per second; times are the core's, in microseconds.
type EndpointOverview struct {
	Endpoint       policyapi.EndpointID   `json:"node"`
	Zone           policyapi.Zone         `json:"zone"`
	State          string                 `json:"state"` // name of its membership.State
	Reason         string                 `json:"why"`
	Since          policyapi.Microseconds `json:"since_us"`
	WarmUpProgress float64                `json:"warmth"`
	Capacity       float64                `json:"capacity"` // requests per second; 0 if unknown
	Attempts       float64                `json:"tries"`
	Failures       float64                `json:"errored"`
	Utilization    float64                `json:"util"`
	Queue          float64                `json:"queue"`
	AttemptsError  float64                `json:"tries_error"`
	LastReport     policyapi.Microseconds `json:"heard_us"` // 0 if there is none
	Senders        int                    `json:"senders"`  // gateways that may send to it
	FailingClasses []string               `json:"fails,omitempty"`
	Withheld       bool                   `json:"withheld"` // ejected by the decision module
}

// GatewayOverview is the state of one gateway.
type GatewayOverview struct {
	Gateway              Gateway                `json:"gateway"`
	Zone                 policyapi.Zone         `json:"zone"`
	Connected            bool                   `json:"joined"`
	LastMessageAt        policyapi.Microseconds `json:"heard_us"`
	Version              string                 `json:"version"` // last confirmed version of the endpoints document
	Unacknowledged       int                    `json:"waiting"`
	OldestUnacknowledged policyapi.Microseconds `json:"oldest_us"` // age of the oldest message in flight
	Demand               float64                `json:"usage"`     // requests per second
	OpenEndpoints        int                    `json:"lines"`     // endpoints that it may send to, summed over the classes
	Level                string                 `json:"level"`
}

// Traffic is the demand on the gateways of a zone for a class, and what is admitted of it, in requests per second.
type Traffic struct {
	Zone      policyapi.Zone `json:"zone"`
	Class     string         `json:"kind"`
	Demand    float64        `json:"asked"`
	Admitted  float64        `json:"let"`
	Endpoints int            `json:"nodes"` // endpoints that gateways of the zone may send to
}

// Overview returns the state of the coordinator without tables. It does not change that state. Its cost is linear in the lines of
// all gateways' tables.
func (c *Core) Overview() Overview {
	o := Overview{
		Now:           c.now,
		StartedAt:     c.startedAt,
		Build:         c.settings.Build,
		Classes:       c.classNames(),
		Levels:        c.Degradation(),
		Solver:        c.solverStatus(),
		Sampling:      c.reports.sampler.Stats(),
		LinesInFlight: c.gateways.linesInFlight,
		LineLimit:     c.settings.Start.Rules.QueueLimit,
		Pins:          len(c.versions.Pins()),
	}
	if o.Solver != nil {
		o.Solver.Endpoints = nil
	}
	reachable := newReachability()
	for _, g := range c.gateways.sorted() {
		gateway := c.gatewayOverview(g, o.Levels.Levels)
		gateway.OpenEndpoints = reachable.add(g.zone, g.delivery.Sent().Clusters)
		o.Gateways = append(o.Gateways, gateway)
	}
	allocations := c.zoneAllocations()
	for _, zone := range c.settings.Start.Zones {
		for class, name := range o.Classes {
			sum := allocations[zone][class]
			o.Traffic = append(o.Traffic, Traffic{Zone: zone, Class: name, Demand: sum.demand, Admitted: sum.admitted, Endpoints: reachable.endpoints(zone, class)})
		}
	}
	capacity := c.capacities()
	for _, decision := range c.membership.Decisions() {
		endpoint := c.endpointOverview(decision)
		endpoint.Capacity = capacity[decision.Endpoint]
		endpoint.Senders = reachable.senders[decision.Endpoint]
		o.Endpoints = append(o.Endpoints, endpoint)
	}
	return o
}

func (c *Core) gatewayOverview(g *gateway, levels []string) GatewayOverview {
	o := GatewayOverview{
		Gateway:        g.name,
		Zone:           g.zone,
		Connected:      g.joined,
		LastMessageAt:  g.lastMessageAt,
		Version:        g.delivery.Confirmed(int(EndpointsDocument)).Version,
		Unacknowledged: len(g.delivery.Unacknowledged()),
		Level:          levels[min(g.delivery.Level(), len(levels)-1)],
	}
	if oldest, waiting := g.oldestUnacknowledged(); waiting {
		o.OldestUnacknowledged = c.now - oldest.SentAt
	}
	for _, demand := range g.demand {
		o.Demand += demand
	}
	return o
}

func (c *Core) endpointOverview(decision membership.Decision) EndpointOverview {
	id := decision.Endpoint
	o := EndpointOverview{
		Endpoint: id,
		Zone:     decision.Listed.Zone,
		State:    decision.StateName,
		Reason:   decision.Reason,
		Since:    decision.Since,
		Withheld: c.tables.ejected[id],
	}
	if entry, ok := c.endpoints.entries[id]; ok {
		o.WarmUpProgress = c.warmUpProgress(entry)
	}
	if estimate, reported := c.reports.sampler.Estimate(c.now, id); reported {
		o.Attempts = estimate.Attempts
		o.Failures = estimate.Failures
		o.Utilization = estimate.Utilization
		o.Queue = estimate.Queue
		o.AttemptsError = estimate.AttemptsError
		o.LastReport = estimate.At
	}
	for class, settings := range c.settings.Start.Classes {
		if !c.classHealthy(id, class) {
			o.FailingClasses = append(o.FailingClasses, settings.Name)
		}
	}
	return o
}

// reachability counts which endpoints gateways may send to.
type reachability struct {
	senders map[policyapi.EndpointID]int                // number of gateways that may send to an endpoint
	open    map[zoneClass]map[policyapi.EndpointID]bool // endpoints that gateways of a zone may send a class to
}

type zoneClass struct {
	zone  policyapi.Zone
	class int
}

func newReachability() *reachability {
	return &reachability{senders: map[policyapi.EndpointID]int{}, open: map[zoneClass]map[policyapi.EndpointID]bool{}}
}

// add counts the endpoints in a gateway's clusters and returns how many of them it may send to, summed over the classes.
func (r *reachability) add(zone policyapi.Zone, clusters []routing.Cluster) (open int) {
	reachable := map[policyapi.EndpointID]bool{}
	for class, cluster := range clusters {
		key := zoneClass{zone, class}
		if r.open[key] == nil {
			r.open[key] = map[policyapi.EndpointID]bool{}
		}
		for _, e := range cluster.Endpoints {
			if e.Withheld || e.Weight <= 0 {
				continue
			}
			open++
			reachable[e.Endpoint] = true
			r.open[key][e.Endpoint] = true
		}
	}
	for id := range reachable {
		r.senders[id]++
	}
	return open
}

// endpoints returns how many endpoints the gateways of a zone may send a class to.
func (r *reachability) endpoints(zone policyapi.Zone, class int) int {
	return len(r.open[zoneClass{zone, class}])
}
