package coordinator

import (
	"maps"
	"slices"

	"porthub/control"
	"porthub/intake"
	"porthub/solver"
)

// Overview is how a coordinator stands, without any table: small enough to be asked for each second.
type Overview struct {
	Now      control.Microseconds `json:"now_us"`
	Began    control.Microseconds `json:"began_us"`
	Build    string               `json:"build"`
	Kinds    []string             `json:"kinds"`
	Nodes    []NodeOverview       `json:"nodes"`
	Gateways []GatewayOverview    `json:"gateways"`
	Traffic  []Traffic            `json:"traffic"`
	Levels   Levels               `json:"levels"`
	Solver   *SolverStatus        `json:"solver,omitempty"`
	Intake   intake.Stats         `json:"intake"`
	OnWay    float64              `json:"lines_on_way"`
	Limit    float64              `json:"lines_limit"`
	Pins     int                  `json:"pins"`
}

// NodeOverview is one node. Rates are a second, times the core's.
type NodeOverview struct {
	Node     control.EndpointID   `json:"node"`
	Zone     control.Zone         `json:"zone"`
	State    string               `json:"state"` // membership's
	Why      string               `json:"why"`
	Since    control.Microseconds `json:"since_us"`
	Warmth   float64              `json:"warmth"`
	Capacity float64              `json:"capacity"` // reqs; 0: not known
	Tries    float64              `json:"tries"`
	Errored  float64              `json:"errored"`
	Util     float64              `json:"util"`
	Queue    float64              `json:"queue"`
	Error    float64              `json:"tries_error"`
	Heard    control.Microseconds `json:"heard_us"` // when; 0: never
	Senders  int                  `json:"senders"`  // gateways with an open line to it
	Fails    []string             `json:"fails,omitempty"`
	Withheld bool                 `json:"withheld"` // by the module
}

// GatewayOverview is one gateway.
type GatewayOverview struct {
	Gateway Gateway              `json:"gateway"`
	Zone    control.Zone         `json:"zone"`
	Joined  bool                 `json:"joined"`
	Heard   control.Microseconds `json:"heard_us"`
	Version string               `json:"version"` // confirmed, of endpoints
	Waiting int                  `json:"waiting"`
	Oldest  control.Microseconds `json:"oldest_us"` // age of the first message on its way
	Usage   float64              `json:"usage"`     // reqs a second
	Lines   int                  `json:"lines"`     // open, of all kinds
	Level   string               `json:"level"`
}

// Traffic is what comes to the gateways of a zone of a kind, and what is let in.
type Traffic struct {
	Zone  control.Zone `json:"zone"`
	Kind  string       `json:"kind"`
	Asked float64      `json:"asked"`
	Let   float64      `json:"let"`
	Nodes int          `json:"nodes"` // that gateways of the zone may send to
}

// Overview tells it; it changes nothing. It looks at every line of every gateway's table once.
func (c *Core) Overview() Overview {
	o := Overview{Now: c.now, Began: c.began, Build: c.set.Build, Kinds: c.kindNames(), Levels: c.Levels(), Solver: c.solverStatus(), Intake: c.intake.Stats(),
		OnWay: c.onWay, Limit: c.set.Up.Rules.QueueLimit, Pins: len(c.book.Pins())}
	if o.Solver != nil {
		o.Solver.Nodes = nil
	}
	senders := map[control.EndpointID]int{}
	type reach struct {
		zone control.Zone
		kind int
	}
	open := map[reach]map[control.EndpointID]bool{}
	deals := c.deals()
	for _, name := range slices.Sorted(maps.Keys(c.gateways)) {
		g := c.gateways[name]
		one := GatewayOverview{Gateway: name, Zone: g.zone, Joined: g.joined, Heard: g.heardAt, Version: g.ledger.Confirmed(int(Endpoints)).Version,
			Waiting: len(g.ledger.Waiting()), Level: o.Levels.Levels[min(g.ledger.Level(), len(o.Levels.Levels)-1)]}
		if one.Waiting > 0 {
			one.Oldest = c.now - g.ledger.Waiting()[0].At
		}
		for _, u := range g.usage {
			one.Usage += u
		}
		mine := map[control.EndpointID]bool{}
		for k, cl := range g.ledger.Sent().Clusters {
			at := reach{g.zone, k}
			if open[at] == nil {
				open[at] = map[control.EndpointID]bool{}
			}
			for _, l := range cl.Lines {
				if !l.Withheld && l.Weight > 0 {
					one.Lines++
					mine[l.Backend], open[at][l.Backend] = true, true
				}
			}
		}
		for b := range mine {
			senders[b]++
		}
		o.Gateways = append(o.Gateways, one)
	}
	for _, z := range c.set.Up.Zones {
		for k, kind := range o.Kinds {
			o.Traffic = append(o.Traffic, Traffic{z, kind, deals[z][k].asked, deals[z][k].let, len(open[reach{z, k}])})
		}
	}
	capacity := c.capacities()
	for _, v := range c.members.Verdicts() {
		e, known := c.list.entries[v.Node]
		n := NodeOverview{Node: v.Node, Zone: v.Entry.Zone, State: v.Is, Why: v.Why, Since: v.Since, Senders: senders[v.Node], Capacity: capacity[v.Node],
			Withheld: c.withdrawn[v.Node]}
		if known {
			n.Warmth = c.warmth(e)
		}
		if f, heard := c.intake.View(c.now, v.Node); heard {
			n.Tries, n.Errored, n.Util, n.Queue, n.Error, n.Heard = f.Tries, f.Errored, f.Util, f.Queue, f.TriesError, f.At
		}
		for k, kind := range o.Kinds {
			if c.solving != nil && c.solving.judge.Verdict(v.Node, k) != solver.Serves {
				n.Fails = append(n.Fails, kind)
			}
		}
		o.Nodes = append(o.Nodes, n)
	}
	return o
}

// Moment is an overview with the log's last records.
type Moment struct {
	Overview
	Log []Record `json:"log"`
}

// Record is one record of the log.
type Record struct {
	At    control.Microseconds `json:"at_us"`
	Level string               `json:"level"`
	Event string               `json:"event"`
	Text  string               `json:"text"`
	Of    string               `json:"of,omitempty"` // gateway or node
}

// tailMost records of the log are kept for overviews.
const tailMost = 200

// Tail adds a note to the log's last records. What was handed out before stays as it was.
func Tail(tail []Record, now control.Microseconds, n Note) []Record {
	r := Record{At: now, Level: "info", Event: n.Event, Text: n.Text, Of: string(n.Gateway)}
	if n.Level == Warn {
		r.Level = "warn"
	}
	if n.Backend != "" {
		r.Of = string(n.Backend)
	}
	if len(tail) >= tailMost {
		tail = slices.Clone(tail[len(tail)-tailMost+1:])
	}
	return append(tail, r)
}
