package coordinator

import (
	"maps"
	"slices"

	"porthub/degradation"
	"porthub/loadreport"
	"porthub/policyapi"
	"porthub/routing"
)

// GatewayStatus is the state of one gateway. Times are the core's, in microseconds.
type GatewayStatus struct {
	Gateway              Gateway                `json:"gateway"`
	Zone                 policyapi.Zone         `json:"zone"`
	Connected            bool                   `json:"joined"`
	Since                policyapi.Microseconds `json:"since_us"` // time of joining or, if it is disconnected, of its last message
	Version              string                 `json:"version"`  // last published version
	Confirmed            [documentCount]string  `json:"confirmed"`
	ConfirmedAt          [documentCount]int64   `json:"confirmed_at_us"`
	Unacknowledged       int                    `json:"waiting"` // messages in flight
	UnacknowledgedLines  int                    `json:"waiting_lines"`
	OldestUnacknowledged policyapi.Microseconds `json:"oldest_waiting_us"` // age of the oldest message in flight
	Published            int                    `json:"published"`
	Tables               []policyapi.TableID    `json:"tables"` // by request class
	Snapshot             routing.Snapshot       `json:"snapshot"`
}

// Status is the state of a coordinator with all tables.
type Status struct {
	Now       policyapi.Microseconds `json:"now_us"`
	Steps     uint64                 `json:"steps"`
	Endpoints []policyapi.Endpoint   `json:"nodes"`
	Gateways  []GatewayStatus        `json:"gateways"`
	Solver    *SolverStatus          `json:"solver,omitempty"`
	Sampling  loadreport.Stats       `json:"intake"`
	Estimates []EndpointEstimate     `json:"heard"`
}

// EndpointEstimate is the load of an endpoint as estimated from reports. Its error fields bound the errors in 19 of 20 cases.
type EndpointEstimate struct {
	Endpoint policyapi.EndpointID `json:"node"`
	loadreport.Estimate
}

// Estimates returns the statistics of report sampling, and the estimated loads of endpoints in the order of their IDs.
func (c *Core) Estimates() (loadreport.Stats, []EndpointEstimate) {
	var estimates []EndpointEstimate
	for _, id := range slices.Sorted(maps.Keys(c.endpoints.entries)) {
		if estimate, ok := c.reports.sampler.Estimate(c.now, id); ok {
			estimates = append(estimates, EndpointEstimate{id, estimate})
		}
	}
	return c.reports.sampler.Stats(), estimates
}

// ReportIntervalFactor returns the number of report periods that gateways should wait between two reports.
func (c *Core) ReportIntervalFactor() int {
	factor := c.reports.sampler.IntervalFactor()
	if c.degradation == nil {
		return factor
	}
	bounds, _ := c.degradation.bounds(degradation.FleetScope)
	return max(factor, bounds.ReportIntervalFactor)
}

// Status returns the state of the coordinator with all tables. It does not change that state.
func (c *Core) Status() Status {
	s := Status{
		Now:       c.now,
		Steps:     c.steps,
		Endpoints: []policyapi.Endpoint{}, // never null in JSON
		Gateways:  []GatewayStatus{},
		Solver:    c.solverStatus(),
	}
	s.Sampling, s.Estimates = c.Estimates()
	for _, id := range slices.Sorted(maps.Keys(c.endpoints.entries)) {
		s.Endpoints = append(s.Endpoints, c.endpoints.entries[id])
	}
	for _, g := range c.gateways.sorted() {
		s.Gateways = append(s.Gateways, c.gatewayStatus(g))
	}
	return s
}

func (c *Core) gatewayStatus(g *gateway) GatewayStatus {
	messages := g.delivery.Unacknowledged()
	status := GatewayStatus{
		Gateway:        g.name,
		Zone:           g.zone,
		Connected:      g.joined,
		Since:          g.lastMessageAt,
		Unacknowledged: len(messages),
		Published:      g.delivery.MessageCount(),
		Tables:         slices.Clone(g.tables),
		Snapshot:       g.delivery.Sent(),
	}
	if g.joined {
		status.Since = g.joinedAt
	}
	for document := range documentCount {
		confirmed := g.delivery.Confirmed(int(document))
		status.Confirmed[document] = confirmed.Version
		status.ConfirmedAt[document] = int64(confirmed.SentAt)
	}
	for _, message := range messages {
		status.UnacknowledgedLines += message.Lines
		status.Version = message.Version
	}
	if oldest, waiting := g.oldestUnacknowledged(); waiting {
		status.OldestUnacknowledged = c.now - oldest.SentAt
	}
	if status.Version == "" {
		status.Version = status.Confirmed[EndpointsDocument]
	}
	return status
}
