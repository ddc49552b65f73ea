package coordinator

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"porthub/degradation"
	"porthub/loadreport"
	"porthub/membership"
	"porthub/policy"
	"porthub/policyapi"
	"porthub/recovery"
	"porthub/routing"
)

type micros = policyapi.Microseconds

const second micros = 1_000_000

// Settings are what a core is handed at its start.
type Settings struct {
	Start          policyapi.Start      `cbor:"Up" json:"Up"`
	Epoch          string               `cbor:"Epoch" json:"Epoch"`             // names this start; versions of two starts never look alike
	SilenceTimeout micros               `cbor:"SilentAfter" json:"SilentAfter"` // without a word for so long a gateway counts as away
	AllowEmptyList bool                 `cbor:"AllowEmpty" json:"AllowEmpty"`   // an empty list after one that was not is believed
	SolverEnabled  bool                 `cbor:"Solver" json:"Solver"`           // tables that break limits give way to the solver's
	MaxReportLines float64              `cbor:"Intake" json:"Intake"`           // lines of reports that are taken in a second; 0: all
	Sources        []string             `cbor:"Sources" json:"Sources"`         // registries beside the file, the most trusted first
	Build          string               `cbor:"Build" json:"Build"`             // names the build, for snapshots and captures
	SyncDocuments  bool                 `cbor:"Sync" json:"Sync"`               // documents are synced while the disk is quick enough for it
	Degradation    degradation.Settings `cbor:"Service" json:"Service"`         // levels of reduced service; without any there are none
	Fallback       degradation.Fallback `cbor:"Fallback" json:"Fallback"`
}

// Core is one coordinator's state. Its zero value does not work: use New.
type Core struct {
	set     Settings
	module  *policy.Instance
	now     micros
	began   micros // time of the first step
	steps   uint64
	timers  []timer
	watchAt micros // before it no gateway needs a look
	proxies []policyapi.ProxyID
	// restless are the gateways that something is still to be done about.
	restless map[policyapi.ProxyID]bool
	orders   []policyapi.Order // of the last step
	outputs  []Output

	list     roster
	members  *membership.Membership
	settled  micros // when membership was asked last
	relisted bool   // the list has changed: documents are checked against it whether the module reaches them or not
	gateways map[Gateway]*gateway
	byProxy  map[policyapi.ProxyID]*gateway
	kinds    map[string]policyapi.RequestClass

	// What the module has ordered and not taken back.
	lines     map[policyapi.TableID]map[policyapi.EndpointID]float64
	levels    map[policyapi.TableID]map[policyapi.RequestClass]policyapi.SetAdmission
	withdrawn map[policyapi.EndpointID]bool

	made     map[madeKey]made // in this step
	book     *routing.VersionStore
	later    []Output        // of what was done between steps
	lag      micros          // of confirmations, smoothed over eight
	unsynced bool            // files go out without a sync
	solving  *solving        // nil: off
	leveling *leveling       // nil: there are no levels of service
	belief   *recovery.State // of the time before this start; nil: none
	sums     sums
	intake   *loadreport.Sampler
	busy     string // the nodes' own figure that is their busy share
	queued   string // and the one that counts what waits there; empty: none
	reported bool   // a report has been told to the module
	counts   map[string]*count
	onWay    float64 // lines on their way to all gateways, with a message's head
}

type timer struct {
	at    micros
	token policyapi.TimerToken
}

// New starts a core. The saved list, if there is one, is the first input.
func New(set Settings) *Core {
	c := &Core{set: set, module: policy.New(moduleUp(set.Start)), gateways: map[Gateway]*gateway{}, byProxy: map[policyapi.ProxyID]*gateway{},
		kinds: map[string]policyapi.RequestClass{}, lines: map[policyapi.TableID]map[policyapi.EndpointID]float64{},
		levels:    map[policyapi.TableID]map[policyapi.RequestClass]policyapi.SetAdmission{},
		restless:  map[policyapi.ProxyID]bool{},
		withdrawn: map[policyapi.EndpointID]bool{}, counts: map[string]*count{}}
	for k, kind := range set.Start.Classes {
		c.kinds[kind.Name] = policyapi.RequestClass(k)
	}
	c.list.entries = map[policyapi.EndpointID]policyapi.Endpoint{}
	c.list.firstSeen = map[policyapi.EndpointID]micros{}
	c.sums.reset()
	c.made = map[madeKey]made{}
	c.book = routing.NewVersionStore(keepVersions, keepFor)
	if len(set.Start.Reports.MetricNames) > 0 {
		c.busy = set.Start.Reports.MetricNames[0]
	}
	if len(set.Start.Reports.MetricNames) > 1 {
		c.queued = set.Start.Reports.MetricNames[1]
	}
	c.intake = loadreport.New(loadreport.Settings{MaxLinesPerSecond: set.MaxReportLines, Period: set.Start.Reports.Period, Seed: set.Start.Seed})
	c.members = membership.New(membership.Settings{Zones: set.Start.Zones, Authoritative: map[string]bool{FileSource: true},
		Sources: append([]string{FileSource}, set.Sources...)})
	c.leveling = newLeveling(set.Degradation)
	if set.SolverEnabled {
		c.solving = newSolving(len(set.Start.Classes))
	}
	return c
}

// moduleUp is what the module is told of the site. It counts a table's line once; to a gateway it travels once for each
// request kind, so of the lines that may wait the module is given its part.
func moduleUp(up policyapi.Start) policyapi.Start {
	up.Rules.QueueLimit /= float64(max(1, len(up.Classes)))
	up.Channel.MessageOverhead /= float64(max(1, len(up.Classes)))
	return up
}

// Step tells the core what has happened by now and returns what it wants done. Time never goes back: a now before
// the last one counts as the last one, so a clock that steps can't undo what was decided.
func (c *Core) Step(now micros, inputs []Input) []Output {
	c.now = max(c.now, now)
	if c.steps++; c.steps == 1 {
		c.began = c.now
	}
	c.outputs, c.orders, c.later = c.later, nil, nil
	clear(c.made)
	var events []policyapi.Event
	for _, in := range inputs {
		events = append(events, c.input(in)...)
	}
	clear(c.made) // what came may have closed nodes
	events = append(events, c.settle(false)...)
	c.probeOn()
	events = append(events, c.watchGateways()...)
	for {
		due := c.due()
		if len(due) > 0 {
			events = append(events, c.flush()...)
			events = append(events, due...)
		}
		if len(events) == 0 && c.steps > 1 {
			break
		}
		orders := c.module.Step(c.now, events)
		events = nil
		c.orders = append(c.orders, orders...)
		events = append(events, c.carryOut(orders)...)
		if len(events) == 0 {
			break
		}
	}
	c.tellCounts()
	return c.outputs
}

// NextDeadline is when the core wants to be stepped again, even without an input.
func (c *Core) NextDeadline() micros {
	next := c.now + second
	next = min(next, c.watchAt)
	for _, t := range c.timers {
		next = min(next, t.at)
	}
	return max(next, c.now)
}

// Steps counts the steps taken; with it the log says where the input stood when something went wrong.
func (c *Core) Steps() uint64 { return c.steps }

// Orders are the module's orders of the last step, for those who compare them.
func (c *Core) Orders() []policyapi.Order { return c.orders }

func (c *Core) out(o Output) { c.outputs = append(c.outputs, o) }

func (c *Core) note(level LogLevel, event, format string, args ...any) {
	c.out(LogEntry{Level: level, Event: event, Text: fmt.Sprintf(format, args...)})
}

// due takes the timers that are due, in the order of their times.
func (c *Core) due() (events []policyapi.Event) {
	slices.SortStableFunc(c.timers, func(a, b timer) int { return cmp.Compare(a.at, b.at) })
	n := 0
	for n < len(c.timers) && c.timers[n].at <= c.now {
		events = append(events, policyapi.TimerFired{Token: c.timers[n].token})
		n++
	}
	c.timers = c.timers[n:]
	return events
}

func (c *Core) input(in Input) []policyapi.Event {
	switch in := in.(type) {
	case EndpointUpdate:
		return c.listed(in)
	case RegistryUpdate:
		c.members.Apply(c.now, in.SourceUpdate)
		return c.settle(true)
	case GatewayConnected:
		return c.join(in)
	case GatewayDisconnected:
		return c.leave(in)
	case DocumentAck:
		return c.ack(in)
	case LoadReport:
		c.report(in)
	case HealthCheckResult:
		if _, known := c.list.entries[in.Endpoint]; known {
			return []policyapi.Event{in.HealthCheckResult}
		}
	case PeerRejected:
		c.complain("bad_input", "", "%s: %s", in.From, in.Reason)
		c.counts["bad_input"].n += in.Count - 1
	case PublishFailed:
		c.complain("publish_failed", in.Gateway, "%s", in.Reason)
	default:
		panic(fmt.Sprintf("coordinator: no such input: %T", in))
	}
	return nil
}

// carryOut keeps what the module ordered and publishes what has changed for each gateway. It returns what the module
// must be told at once: acknowledgements of messages that hold nothing new.
func (c *Core) carryOut(orders []policyapi.Order) []policyapi.Event {
	touched := map[policyapi.TableID]bool{}
	all, mark := false, policyapi.AckID(-1)
	bound := map[policyapi.ProxyID]bool{}
	for _, order := range orders {
		switch o := order.(type) {
		case policyapi.Log:
			c.out(mode(o.Text))
		case policyapi.WatchEndpoints:
			c.out(WatchEndpoints{o.Enabled})
		case policyapi.Resync:
			c.out(Resync{})
		case policyapi.SetTimer:
			c.timers = append(c.timers, timer{c.now + o.After, o.Token})
		case policyapi.CheckHealth:
			c.probe(o.Endpoint)
		case policyapi.SetWeight:
			touched[o.Table] = true
			if c.lines[o.Table] == nil {
				c.lines[o.Table] = map[policyapi.EndpointID]float64{}
			}
			if c.lines[o.Table][o.Endpoint] = o.Weight; o.Weight == 0 {
				delete(c.lines[o.Table], o.Endpoint)
			}
		case policyapi.ClearTable:
			touched[o.Table] = true
			delete(c.lines, o.Table)
			delete(c.levels, o.Table)
		case policyapi.BindProxy:
			if g := c.byProxy[o.Proxy]; g != nil {
				for k := range c.set.Start.Classes {
					if o.Classes == 0 || o.Classes&(1<<k) != 0 {
						g.binds[k], bound[o.Proxy] = o.Table, true
					}
				}
			}
		case policyapi.EjectEndpoint:
			c.withdrawn[o.Endpoint] = o.Ejected
			for t, lines := range c.lines {
				if _, has := lines[o.Endpoint]; has {
					touched[t] = true
				}
			}
		case policyapi.SetAdmission:
			if all = all || o.Table == policyapi.AllTables; o.Table != policyapi.AllTables {
				touched[o.Table] = true
			}
			if c.levels[o.Table] == nil {
				c.levels[o.Table] = map[policyapi.RequestClass]policyapi.SetAdmission{}
			}
			for k := range c.set.Start.Classes {
				if o.Classes == 0 || o.Classes&(1<<k) != 0 {
					c.levels[o.Table][policyapi.RequestClass(k)] = o
				}
			}
		case policyapi.RequestAck:
			mark, all = o.AckID, all || o.AllProxies
		}
	}
	clear(c.made)
	var events []policyapi.Event
	var solved map[policyapi.TableID]bool
	if c.solving != nil && c.solving.due {
		c.solving.due = false
		solved = c.solve()
		clear(c.made)
	}
	for _, t := range slices.Sorted(maps.Keys(union(touched, solved))) {
		if len(c.lines[t]) > 0 {
			c.book.Put(c.now, t, c.lines[t], c.actingOf(t))
		}
	}
	for _, proxy := range c.concerned(all || c.relisted || len(touched)+len(solved) > 0, bound) {
		g := c.byProxy[proxy]
		reached := all || bound[proxy]
		for _, t := range g.binds {
			reached = reached || touched[t]
			g.owed = g.owed || solved[t]
		}
		if c.relisted && g.checkAt == 0 {
			g.checkAt = c.now + c.set.Start.Rules.DrainGracePeriod/4 // the module sees to it, nearly always
		}
		reached = reached || g.owed && c.mayPublish(g) || c.checkDue(g)
		// One that is put out for not acknowledging may well read: drains still go to it.
		if (g.joined || g.linked && c.checkDue(g)) && g.bound() && (reached || g.ledger.Invalidated()) {
			events = append(events, c.publish(g, mark)...)
		}
		c.watch(g)
	}
	c.relisted = false
	return events
}

// concerned are the gateways that a change may reach, in the order of their joining: all, or those that were bound anew
// and those that something is still to be done about. Between rounds orders concern one gateway or none, and a look at
// each of thousands would be most of the step.
func (c *Core) concerned(everyone bool, bound map[policyapi.ProxyID]bool) []policyapi.ProxyID {
	if !everyone {
		return slices.Sorted(maps.Keys(union(bound, c.restless)))
	}
	for len(c.proxies) < len(c.gateways) {
		c.proxies = append(c.proxies, policyapi.ProxyID(len(c.proxies)))
	}
	return c.proxies
}

// snapshot is what a gateway is to hold by the module's orders. Whatever the module's tables say, nothing that
// drains or is gone stays open: a table the module has stopped laying out may still be somebody's.
func (c *Core) snapshot(g *gateway) routing.Snapshot {
	var s routing.Snapshot
	if c.leveling != nil {
		s.Level = c.leveling.machine.Level(g.zone)
	}
	for k, kind := range c.set.Start.Classes {
		table, k := g.binds[k], policyapi.RequestClass(k)
		key := madeKey{table, k, g.zone}
		made, has := c.made[key]
		if !has {
			made = c.make(g, key, kind.Name)
			c.made[key] = made
		}
		admit := made.admit
		if c.fewer(g) {
			s.Clusters = append(s.Clusters, c.build(kind.Name, c.narrowed(g.zone, string(g.name), made.weights)))
		} else {
			s.Clusters = append(s.Clusters, made.cluster)
		}
		to := c.bounded(g, k, c.moduleRoute(g, k))
		r := routing.Route{Class: kind.Name, Rate: to.most(), Share: to.share, RetryPolicy: to.secondTry, Timeout: kind.ClientTimeout, Fallback: c.fallback(g, k)}
		if c.set.Start.Admission == policyapi.AdmissionByRate {
			r.Rate = g.cap(int(k), admit, r)
		}
		s.Routes = append(s.Routes, r)
	}
	return s
}

// made is a table's cluster for a kind. Gateways of a zone on one table share it within a step: with thousands of them
// most of a step went into making the same again.
type made struct {
	cluster routing.Cluster
	weights map[policyapi.EndpointID]float64
	admit   float64
}

type madeKey struct {
	table policyapi.TableID
	kind  policyapi.RequestClass
	zone  policyapi.Zone
}

func (c *Core) make(g *gateway, key madeKey, name string) made {
	weights, admit, acts := c.acting(key.table, int(key.kind))
	if !acts {
		weights = c.lines[key.table]
	}
	weights = c.inForce(g, key.table, int(key.kind), weights)
	weights = c.narrowed(g.zone, "", weights)
	return made{c.build(name, weights), weights, admit}
}

// build makes a cluster, with nothing open that the rules close.
func (c *Core) build(name string, weights map[policyapi.EndpointID]float64) routing.Cluster {
	return routing.BuildCluster(name, weights, c.list.zone, func(b policyapi.EndpointID) bool {
		return c.withdrawn[b] || c.list.closed(b, c.set.Start.Rules.SoftRemoval)
	})
}

// everything is a rate that no gateway comes near; the module says so to turn nothing away.
const everything = 1e6
