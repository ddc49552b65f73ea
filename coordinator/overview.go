package coordinator

import (
	"maps"
	"slices"

	"porthub/loadreport"
	"porthub/policyapi"
	"porthub/solver"
)

// Overview is how a coordinator stands, without any table: small enough to be asked for each second.
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

// EndpointOverview is one node. Rates are a second, times the core's.
type EndpointOverview struct {
	Endpoint       policyapi.EndpointID   `json:"node"`
	Zone           policyapi.Zone         `json:"zone"`
	State          string                 `json:"state"` // membership's
	Reason         string                 `json:"why"`
	Since          policyapi.Microseconds `json:"since_us"`
	WarmUpProgress float64                `json:"warmth"`
	Capacity       float64                `json:"capacity"` // reqs; 0: not known
	Attempts       float64                `json:"tries"`
	Failures       float64                `json:"errored"`
	Utilization    float64                `json:"util"`
	Queue          float64                `json:"queue"`
	AttemptsError  float64                `json:"tries_error"`
	LastReport     policyapi.Microseconds `json:"heard_us"` // when; 0: never
	Senders        int                    `json:"senders"`  // gateways with an open line to it
	FailingClasses []string               `json:"fails,omitempty"`
	Withheld       bool                   `json:"withheld"` // by the module
}

// GatewayOverview is one gateway.
type GatewayOverview struct {
	Gateway              Gateway                `json:"gateway"`
	Zone                 policyapi.Zone         `json:"zone"`
	Connected            bool                   `json:"joined"`
	LastReport           policyapi.Microseconds `json:"heard_us"`
	Version              string                 `json:"version"` // confirmed, of endpoints
	Unacknowledged       int                    `json:"waiting"`
	OldestUnacknowledged policyapi.Microseconds `json:"oldest_us"` // age of the first message on its way
	Demand               float64                `json:"usage"`     // reqs a second
	OpenEndpoints        int                    `json:"lines"`     // open, of all kinds
	Level                string                 `json:"level"`
}

// Traffic is what comes to the gateways of a zone of a kind, and what is let in.
type Traffic struct {
	Zone      policyapi.Zone `json:"zone"`
	Class     string         `json:"kind"`
	Demand    float64        `json:"asked"`
	Admitted  float64        `json:"let"`
	Endpoints int            `json:"nodes"` // that gateways of the zone may send to
}

// Overview tells it; it changes nothing. It looks at every line of every gateway's table once.
func (c *Core) Overview() Overview {
	o := Overview{Now: c.now, StartedAt: c.startedAt, Build: c.settings.Build, Classes: c.classNames(), Levels: c.Degradation(), Solver: c.solverStatus(), Sampling: c.sampler.Stats(),
		LinesInFlight: c.linesInFlight, LineLimit: c.settings.Start.Rules.QueueLimit, Pins: len(c.versions.Pins())}
	if o.Solver != nil {
		o.Solver.Explanations = nil
	}
	senders := map[policyapi.EndpointID]int{}
	type reach struct {
		zone policyapi.Zone
		kind int
	}
	open := map[reach]map[policyapi.EndpointID]bool{}
	deals := c.zoneAllocations()
	for _, name := range slices.Sorted(maps.Keys(c.gateways)) {
		g := c.gateways[name]
		one := GatewayOverview{Gateway: name, Zone: g.zone, Connected: g.joined, LastReport: g.lastMessageAt, Version: g.inFlight.Confirmed(int(EndpointsDocument)).Version,
			Unacknowledged: len(g.inFlight.Unacknowledged()), Level: o.Levels.Levels[min(g.inFlight.Level(), len(o.Levels.Levels)-1)]}
		if one.Unacknowledged > 0 {
			one.OldestUnacknowledged = c.now - g.inFlight.Unacknowledged()[0].SentAt
		}
		for _, u := range g.demand {
			one.Demand += u
		}
		mine := map[policyapi.EndpointID]bool{}
		for k, cl := range g.inFlight.Sent().Clusters {
			at := reach{g.zone, k}
			if open[at] == nil {
				open[at] = map[policyapi.EndpointID]bool{}
			}
			for _, l := range cl.Endpoints {
				if !l.Withheld && l.Weight > 0 {
					one.OpenEndpoints++
					mine[l.Endpoint], open[at][l.Endpoint] = true, true
				}
			}
		}
		for b := range mine {
			senders[b]++
		}
		o.Gateways = append(o.Gateways, one)
	}
	for _, z := range c.settings.Start.Zones {
		for k, kind := range o.Classes {
			o.Traffic = append(o.Traffic, Traffic{z, kind, deals[z][k].demand, deals[z][k].admitted, len(open[reach{z, k}])})
		}
	}
	capacity := c.capacities()
	for _, v := range c.members.Decisions() {
		e, known := c.endpoints.entries[v.Endpoint]
		n := EndpointOverview{Endpoint: v.Endpoint, Zone: v.Listed.Zone, State: v.StateName, Reason: v.Reason, Since: v.Since, Senders: senders[v.Endpoint], Capacity: capacity[v.Endpoint],
			Withheld: c.ejected[v.Endpoint]}
		if known {
			n.WarmUpProgress = c.warmUpProgress(e)
		}
		if f, heard := c.sampler.Estimate(c.now, v.Endpoint); heard {
			n.Attempts, n.Failures, n.Utilization, n.Queue, n.AttemptsError, n.LastReport = f.Attempts, f.Failures, f.Utilization, f.Queue, f.AttemptsError, f.At
		}
		for k, kind := range o.Classes {
			if c.solver != nil && c.solver.health.Status(v.Endpoint, k) != solver.ClassHealthy {
				n.FailingClasses = append(n.FailingClasses, kind)
			}
		}
		o.Endpoints = append(o.Endpoints, n)
	}
	return o
}

// LoggedOverview is an overview with the log's last records.
type LoggedOverview struct {
	Overview
	Log []LogRecord `json:"log"`
}

// LogRecord is one record of the log.
type LogRecord struct {
	At      policyapi.Microseconds `json:"at_us"`
	Level   string                 `json:"level"`
	Event   string                 `json:"event"`
	Text    string                 `json:"text"`
	Subject string                 `json:"of,omitempty"` // gateway or node
}

// maxLogTail records of the log are kept for overviews.
const maxLogTail = 200

// AppendLog adds a note to the log's last records. What was handed out before stays as it was.
func AppendLog(tail []LogRecord, now policyapi.Microseconds, n LogEntry) []LogRecord {
	r := LogRecord{At: now, Level: "info", Event: n.Event, Text: n.Text, Subject: string(n.Gateway)}
	if n.Level == LogWarn {
		r.Level = "warn"
	}
	if n.Endpoint != "" {
		r.Subject = string(n.Endpoint)
	}
	if len(tail) >= maxLogTail {
		tail = slices.Clone(tail[len(tail)-maxLogTail+1:])
	}
	return append(tail, r)
}
