package coordinator

import (
	"maps"
	"slices"

	"porthub/control"
	"porthub/intake"
	"porthub/service"
	"porthub/tables"
)

// GatewayStatus is how one gateway stands. Times are the core's, in microseconds.
type GatewayStatus struct {
	Gateway   Gateway              `json:"gateway"`
	Zone      control.Zone         `json:"zone"`
	Joined    bool                 `json:"joined"`
	Since     control.Microseconds `json:"since_us"` // joined or, if it is away, last heard
	Version   string               `json:"version"`  // last published
	Confirmed [docs]string         `json:"confirmed"`
	At        [docs]int64          `json:"confirmed_at_us"`
	Waiting   int                  `json:"waiting"` // messages not acknowledged
	Lines     int                  `json:"waiting_lines"`
	Oldest    control.Microseconds `json:"oldest_waiting_us"` // age of the first of them
	Published int                  `json:"published"`
	Tables    []control.TableID    `json:"tables"` // by request kind
	Snapshot  tables.Snapshot      `json:"snapshot"`
}

// Status is how a coordinator stands.
type Status struct {
	Now      control.Microseconds `json:"now_us"`
	Steps    uint64               `json:"steps"`
	Nodes    []control.Endpoint   `json:"nodes"`
	Gateways []GatewayStatus      `json:"gateways"`
	Solver   *SolverStatus        `json:"solver,omitempty"`
	Intake   intake.Stats         `json:"intake"`
	Heard    []NodeHeard          `json:"heard"`
}

// NodeHeard is what reports say of a node now, with the error that each figure has in 19 of 20 cases.
type NodeHeard struct {
	Backend control.EndpointID `json:"node"`
	intake.Figures
}

// Now is the time of the last step.
func (c *Core) Now() control.Microseconds { return c.now }

// Heard tells what reports say of the nodes.
func (c *Core) Heard() (intake.Stats, []NodeHeard) {
	var out []NodeHeard
	for _, b := range slices.Sorted(maps.Keys(c.list.entries)) {
		if f, known := c.intake.View(c.now, b); known {
			out = append(out, NodeHeard{b, f})
		}
	}
	return c.intake.Stats(), out
}

// Stretch is how much longer than the period gateways are asked to wait between reports.
func (c *Core) Stretch() int {
	if c.leveling == nil {
		return c.intake.Stretch()
	}
	m := c.leveling.machine
	return max(c.intake.Stretch(), m.Settings().Bounds(m.At(service.Fleet)).Stretch)
}

// Status tells how the core stands. It changes nothing.
func (c *Core) Status() Status {
	s := Status{Now: c.now, Steps: c.steps, Solver: c.solverStatus(), Intake: c.intake.Stats()}
	_, s.Heard = c.Heard()
	for _, b := range slices.Sorted(maps.Keys(c.list.entries)) {
		s.Nodes = append(s.Nodes, c.list.entries[b])
	}
	for _, name := range slices.Sorted(maps.Keys(c.gateways)) {
		g := c.gateways[name]
		one := GatewayStatus{Gateway: name, Zone: g.zone, Joined: g.joined, Since: g.heardAt, Waiting: len(g.ledger.Waiting()),
			Published: g.ledger.Count(), Tables: slices.Clone(g.binds), Snapshot: g.ledger.Sent()}
		if g.joined {
			one.Since = g.joinedAt
		}
		for d := range docs {
			one.Confirmed[d], one.At[d] = g.ledger.Confirmed(int(d)).Version, int64(g.ledger.Confirmed(int(d)).At)
		}
		for i, m := range g.ledger.Waiting() {
			if one.Lines += m.Lines; i == 0 {
				one.Oldest = c.now - m.At
			}
			one.Version = m.Version
		}
		if one.Version == "" {
			one.Version = one.Confirmed[Endpoints]
		}
		s.Gateways = append(s.Gateways, one)
	}
	return s
}
