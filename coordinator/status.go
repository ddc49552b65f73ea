package coordinator

import (
	"maps"
	"slices"

	"porthub/degradation"
	"porthub/loadreport"
	"porthub/policyapi"
	"porthub/routing"
)

// GatewayStatus is how one gateway stands. Times are the core's, in microseconds.
type GatewayStatus struct {
	Gateway              Gateway                `json:"gateway"`
	Zone                 policyapi.Zone         `json:"zone"`
	Connected            bool                   `json:"joined"`
	Since                policyapi.Microseconds `json:"since_us"` // joined or, if it is away, last heard
	Version              string                 `json:"version"`  // last published
	Confirmed            [documentCount]string  `json:"confirmed"`
	ConfirmedAt          [documentCount]int64   `json:"confirmed_at_us"`
	Unacknowledged       int                    `json:"waiting"` // messages not acknowledged
	UnacknowledgedLines  int                    `json:"waiting_lines"`
	OldestUnacknowledged policyapi.Microseconds `json:"oldest_waiting_us"` // age of the first of them
	Published            int                    `json:"published"`
	Tables               []policyapi.TableID    `json:"tables"` // by request kind
	Snapshot             routing.Snapshot       `json:"snapshot"`
}

// Status is how a coordinator stands.
type Status struct {
	Now       policyapi.Microseconds `json:"now_us"`
	Steps     uint64                 `json:"steps"`
	Endpoints []policyapi.Endpoint   `json:"nodes"`
	Gateways  []GatewayStatus        `json:"gateways"`
	Solver    *SolverStatus          `json:"solver,omitempty"`
	Sampling  loadreport.Stats       `json:"intake"`
	Estimates []EndpointEstimate     `json:"heard"`
}

// EndpointEstimate is what reports say of a node now, with the error that each figure has in 19 of 20 cases.
type EndpointEstimate struct {
	Endpoint policyapi.EndpointID `json:"node"`
	loadreport.Estimate
}

// Now is the time of the last step.
func (c *Core) Now() policyapi.Microseconds { return c.now }

// Estimates tells what reports say of the nodes.
func (c *Core) Estimates() (loadreport.Stats, []EndpointEstimate) {
	var out []EndpointEstimate
	for _, b := range slices.Sorted(maps.Keys(c.endpoints.entries)) {
		if f, known := c.sampler.Estimate(c.now, b); known {
			out = append(out, EndpointEstimate{b, f})
		}
	}
	return c.sampler.Stats(), out
}

// ReportIntervalFactor is how much longer than the period gateways are asked to wait between reports.
func (c *Core) ReportIntervalFactor() int {
	if c.degradation == nil {
		return c.sampler.IntervalFactor()
	}
	m := c.degradation.controller
	return max(c.sampler.IntervalFactor(), m.Settings().Bounds(m.Level(degradation.FleetScope)).ReportIntervalFactor)
}

// Status tells how the core stands. It changes nothing.
func (c *Core) Status() Status {
	s := Status{Now: c.now, Steps: c.steps, Solver: c.solverStatus(), Sampling: c.sampler.Stats()}
	_, s.Estimates = c.Estimates()
	for _, b := range slices.Sorted(maps.Keys(c.endpoints.entries)) {
		s.Endpoints = append(s.Endpoints, c.endpoints.entries[b])
	}
	for _, name := range slices.Sorted(maps.Keys(c.gateways)) {
		g := c.gateways[name]
		one := GatewayStatus{Gateway: name, Zone: g.zone, Connected: g.joined, Since: g.lastMessageAt, Unacknowledged: len(g.inFlight.Unacknowledged()),
			Published: g.inFlight.MessageCount(), Tables: slices.Clone(g.tables), Snapshot: g.inFlight.Sent()}
		if g.joined {
			one.Since = g.joinedAt
		}
		for d := range documentCount {
			one.Confirmed[d], one.ConfirmedAt[d] = g.inFlight.Confirmed(int(d)).Version, int64(g.inFlight.Confirmed(int(d)).SentAt)
		}
		for i, m := range g.inFlight.Unacknowledged() {
			if one.UnacknowledgedLines += m.Lines; i == 0 {
				one.OldestUnacknowledged = c.now - m.SentAt
			}
			one.Version = m.Version
		}
		if one.Version == "" {
			one.Version = one.Confirmed[EndpointsDocument]
		}
		s.Gateways = append(s.Gateways, one)
	}
	return s
}
