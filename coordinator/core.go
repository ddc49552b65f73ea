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
	settings       Settings
	module         *policy.Instance
	now            micros
	startedAt      micros // time of the first step
	steps          uint64
	timers         []timer
	gatewayCheckAt micros // before it no gateway needs a look
	allProxies     []policyapi.ProxyID
	// dirtyGateways are the gateways that something is still to be done about.
	dirtyGateways map[policyapi.ProxyID]bool
	orders        []policyapi.Order // of the last step
	outputs       []Output

	endpoints        endpointStore
	members          *membership.Membership
	membershipStepAt micros // when membership was asked last
	endpointsChanged bool   // the list has changed: documents are checked against it whether the module reaches them or not
	gateways         map[Gateway]*gateway
	byProxy          map[policyapi.ProxyID]*gateway
	classes          map[string]policyapi.RequestClass

	// What the module has ordered and not taken back.
	weights    map[policyapi.TableID]map[policyapi.EndpointID]float64
	admissions map[policyapi.TableID]map[policyapi.RequestClass]policyapi.SetAdmission
	ejected    map[policyapi.EndpointID]bool

	clusterCache      map[clusterKey]encodedCluster // in this step
	versions          *routing.VersionStore
	deferred          []Output          // of what was done between steps
	ackDelay          micros            // of confirmations, smoothed over eight
	syncSuspended     bool              // files go out without a sync
	solver            *solverState      // nil: off
	degradation       *degradationState // nil: there are no levels of service
	recovered         *recovery.State   // of the time before this start; nil: none
	aggregate         loadAggregate
	sampler           *loadreport.Sampler
	utilizationMetric string // the nodes' own figure that is their busy share
	queueMetric       string // and the one that counts what waits there; empty: none
	reportDelivered   bool   // a report has been told to the module
	warnings          map[string]*rateLimitedWarning
	linesInFlight     float64 // lines on their way to all gateways, with a message's head
}

type timer struct {
	at    micros
	token policyapi.TimerToken
}

// New starts a core. The saved list, if there is one, is the first input.
func New(set Settings) *Core {
	c := &Core{settings: set, module: policy.New(moduleStart(set.Start)), gateways: map[Gateway]*gateway{}, byProxy: map[policyapi.ProxyID]*gateway{},
		classes: map[string]policyapi.RequestClass{}, weights: map[policyapi.TableID]map[policyapi.EndpointID]float64{},
		admissions:    map[policyapi.TableID]map[policyapi.RequestClass]policyapi.SetAdmission{},
		dirtyGateways: map[policyapi.ProxyID]bool{},
		ejected:       map[policyapi.EndpointID]bool{}, warnings: map[string]*rateLimitedWarning{}}
	for k, kind := range set.Start.Classes {
		c.classes[kind.Name] = policyapi.RequestClass(k)
	}
	c.endpoints.entries = map[policyapi.EndpointID]policyapi.Endpoint{}
	c.endpoints.firstSeen = map[policyapi.EndpointID]micros{}
	c.aggregate.reset()
	c.clusterCache = map[clusterKey]encodedCluster{}
	c.versions = routing.NewVersionStore(maxVersions, maxVersionAge)
	if len(set.Start.Reports.MetricNames) > 0 {
		c.utilizationMetric = set.Start.Reports.MetricNames[0]
	}
	if len(set.Start.Reports.MetricNames) > 1 {
		c.queueMetric = set.Start.Reports.MetricNames[1]
	}
	c.sampler = loadreport.New(loadreport.Settings{MaxLines: set.MaxReportLines, Period: set.Start.Reports.Period, Seed: set.Start.Seed})
	c.members = membership.New(membership.Settings{Zones: set.Start.Zones, Authoritative: map[string]bool{FileSource: true},
		Sources: append([]string{FileSource}, set.Sources...)})
	c.degradation = newDegradationState(set.Degradation)
	if set.SolverEnabled {
		c.solver = newSolverState(len(set.Start.Classes))
	}
	return c
}

// moduleStart is what the module is told of the site. It counts a table's line once; to a gateway it travels once for each
// request kind, so of the lines that may wait the module is given its part.
func moduleStart(up policyapi.Start) policyapi.Start {
	up.Rules.QueueLimit /= float64(max(1, len(up.Classes)))
	up.Channel.MessageOverhead /= float64(max(1, len(up.Classes)))
	return up
}

// Step tells the core what has happened by now and returns what it wants done. Time never goes back: a now before
// the last one counts as the last one, so a clock that steps can't undo what was decided.
func (c *Core) Step(now micros, inputs []Input) []Output {
	c.now = max(c.now, now)
	if c.steps++; c.steps == 1 {
		c.startedAt = c.now
	}
	c.outputs, c.orders, c.deferred = c.deferred, nil, nil
	clear(c.clusterCache)
	var events []policyapi.Event
	for _, in := range inputs {
		events = append(events, c.handleInput(in)...)
	}
	clear(c.clusterCache) // what came may have closed nodes
	events = append(events, c.stepMembership(false)...)
	c.releaseHealthChecks()
	events = append(events, c.checkGateways()...)
	for {
		due := c.dueTimers()
		if len(due) > 0 {
			events = append(events, c.flushReports()...)
			events = append(events, due...)
		}
		if len(events) == 0 && c.steps > 1 {
			break
		}
		orders := c.module.Step(c.now, events)
		events = nil
		c.orders = append(c.orders, orders...)
		events = append(events, c.applyOrders(orders)...)
		if len(events) == 0 {
			break
		}
	}
	c.flushWarnings()
	return c.outputs
}

// NextDeadline is when the core wants to be stepped again, even without an input.
func (c *Core) NextDeadline() micros {
	next := c.now + second
	next = min(next, c.gatewayCheckAt)
	for _, t := range c.timers {
		next = min(next, t.at)
	}
	return max(next, c.now)
}

// Steps counts the steps taken; with it the log says where the input stood when something went wrong.
func (c *Core) Steps() uint64 { return c.steps }

// Orders are the module's orders of the last step, for those who compare them.
func (c *Core) Orders() []policyapi.Order { return c.orders }

func (c *Core) emit(o Output) { c.outputs = append(c.outputs, o) }

func (c *Core) log(level LogLevel, event, format string, args ...any) {
	c.emit(LogEntry{Level: level, Event: event, Text: fmt.Sprintf(format, args...)})
}

// pending takes the timers that are due, in the order of their times.
func (c *Core) dueTimers() (events []policyapi.Event) {
	slices.SortStableFunc(c.timers, func(a, b timer) int { return cmp.Compare(a.at, b.at) })
	n := 0
	for n < len(c.timers) && c.timers[n].at <= c.now {
		events = append(events, policyapi.TimerFired{Token: c.timers[n].token})
		n++
	}
	c.timers = c.timers[n:]
	return events
}

func (c *Core) handleInput(in Input) []policyapi.Event {
	switch in := in.(type) {
	case EndpointUpdate:
		return c.handleEndpointUpdate(in)
	case RegistryUpdate:
		c.members.Apply(c.now, in.SourceUpdate)
		return c.stepMembership(true)
	case GatewayConnected:
		return c.connectGateway(in)
	case GatewayDisconnected:
		return c.handleDisconnect(in)
	case DocumentAck:
		return c.handleAck(in)
	case LoadReport:
		c.handleReport(in)
	case HealthCheckResult:
		if _, known := c.endpoints.entries[in.Endpoint]; known {
			return []policyapi.Event{in.HealthCheckResult}
		}
	case PeerRejected:
		c.warn("bad_input", "", "%s: %s", in.From, in.Reason)
		c.warnings["bad_input"].count += in.Count - 1
	case PublishFailed:
		c.warn("publish_failed", in.Gateway, "%s", in.Reason)
	default:
		panic(fmt.Sprintf("coordinator: no such input: %T", in))
	}
	return nil
}

// applyOrders keeps what the module ordered and publishes what has changed for each gateway. It returns what the module
// must be told at once: acknowledgements of messages that hold nothing new.
func (c *Core) applyOrders(orders []policyapi.Order) []policyapi.Event {
	touched := map[policyapi.TableID]bool{}
	all, mark := false, policyapi.AckID(-1)
	bound := map[policyapi.ProxyID]bool{}
	for _, order := range orders {
		switch o := order.(type) {
		case policyapi.Log:
			c.emit(parsePolicyLog(o.Text))
		case policyapi.WatchEndpoints:
			c.emit(WatchEndpoints{o.Enabled})
		case policyapi.Resync:
			c.emit(Resync{})
		case policyapi.SetTimer:
			c.timers = append(c.timers, timer{c.now + o.After, o.Token})
		case policyapi.CheckHealth:
			c.checkHealth(o.Endpoint)
		case policyapi.SetWeight:
			touched[o.Table] = true
			if c.weights[o.Table] == nil {
				c.weights[o.Table] = map[policyapi.EndpointID]float64{}
			}
			if c.weights[o.Table][o.Endpoint] = o.Weight; o.Weight == 0 {
				delete(c.weights[o.Table], o.Endpoint)
			}
		case policyapi.ClearTable:
			touched[o.Table] = true
			delete(c.weights, o.Table)
			delete(c.admissions, o.Table)
		case policyapi.BindProxy:
			if g := c.byProxy[o.Proxy]; g != nil {
				for k := range c.settings.Start.Classes {
					if o.Classes == 0 || o.Classes&(1<<k) != 0 {
						g.tables[k], bound[o.Proxy] = o.Table, true
					}
				}
			}
		case policyapi.EjectEndpoint:
			c.ejected[o.Endpoint] = o.Ejected
			for t, lines := range c.weights {
				if _, has := lines[o.Endpoint]; has {
					touched[t] = true
				}
			}
		case policyapi.SetAdmission:
			if all = all || o.Table == policyapi.AllTables; o.Table != policyapi.AllTables {
				touched[o.Table] = true
			}
			if c.admissions[o.Table] == nil {
				c.admissions[o.Table] = map[policyapi.RequestClass]policyapi.SetAdmission{}
			}
			for k := range c.settings.Start.Classes {
				if o.Classes == 0 || o.Classes&(1<<k) != 0 {
					c.admissions[o.Table][policyapi.RequestClass(k)] = o
				}
			}
		case policyapi.RequestAck:
			mark, all = o.AckID, all || o.AllProxies
		}
	}
	clear(c.clusterCache)
	var events []policyapi.Event
	var solved map[policyapi.TableID]bool
	if c.solver != nil && c.solver.pending {
		c.solver.pending = false
		solved = c.solveTables()
		clear(c.clusterCache)
	}
	for _, t := range slices.Sorted(maps.Keys(union(touched, solved))) {
		if len(c.weights[t]) > 0 {
			c.versions.Put(c.now, t, c.weights[t], c.solverWeightsByClass(t))
		}
	}
	for _, proxy := range c.affectedProxies(all || c.endpointsChanged || len(touched)+len(solved) > 0, bound) {
		g := c.byProxy[proxy]
		reached := all || bound[proxy]
		for _, t := range g.tables {
			reached = reached || touched[t]
			g.publishPending = g.publishPending || solved[t]
		}
		if c.endpointsChanged && g.checkAt == 0 {
			g.checkAt = c.now + c.settings.Start.Rules.DrainGracePeriod/4 // the module sees to it, nearly always
		}
		reached = reached || g.publishPending && c.mayPublishUnordered(g) || c.checkDue(g)
		// One that is put out for not acknowledging may well read: drains still go to it.
		if (g.joined || g.connected && c.checkDue(g)) && g.bound() && (reached || g.inFlight.Invalidated()) {
			events = append(events, c.publish(g, mark)...)
		}
		c.updateGateway(g)
	}
	c.endpointsChanged = false
	return events
}

// affectedProxies are the gateways that a change may reach, in the order of their joining: all, or those that were bound anew
// and those that something is still to be done about. Between rounds orders concern one gateway or none, and a look at
// each of thousands would be most of the step.
func (c *Core) affectedProxies(everyone bool, bound map[policyapi.ProxyID]bool) []policyapi.ProxyID {
	if !everyone {
		return slices.Sorted(maps.Keys(union(bound, c.dirtyGateways)))
	}
	for len(c.allProxies) < len(c.gateways) {
		c.allProxies = append(c.allProxies, policyapi.ProxyID(len(c.allProxies)))
	}
	return c.allProxies
}

// snapshot is what a gateway is to hold by the module's orders. Whatever the module's tables say, nothing that
// drains or is gone stays open: a table the module has stopped laying out may still be somebody's.
func (c *Core) snapshot(g *gateway) routing.Snapshot {
	var s routing.Snapshot
	if c.degradation != nil {
		s.Level = c.degradation.controller.Level(g.zone)
	}
	for k, kind := range c.settings.Start.Classes {
		table, k := g.tables[k], policyapi.RequestClass(k)
		key := clusterKey{table, k, g.zone}
		made, has := c.clusterCache[key]
		if !has {
			made = c.tableCluster(g, key, kind.Name)
			c.clusterCache[key] = made
		}
		admit := made.admittedShare
		if c.hasOwnTable(g) {
			s.Clusters = append(s.Clusters, c.buildCluster(kind.Name, c.limitTable(g.zone, string(g.name), made.weights)))
		} else {
			s.Clusters = append(s.Clusters, made.cluster)
		}
		to := c.applyLevelBounds(g, k, c.classAdmission(g, k))
		r := routing.Route{Class: kind.Name, Rate: to.effectiveRate(), Share: to.share, RetryPolicy: to.retryPolicy, Timeout: kind.ClientTimeout, Fallback: c.fallback(g, k)}
		if c.settings.Start.Admission == policyapi.AdmissionByRate {
			r.Rate = g.solverRate(int(k), admit, r)
		}
		s.Routes = append(s.Routes, r)
	}
	return s
}

// encodedCluster is a table's cluster for a kind. Gateways of a zone on one table share it within a step: with thousands of them
// effectiveRate of a step went into making the same again.
type encodedCluster struct {
	cluster       routing.Cluster
	weights       map[policyapi.EndpointID]float64
	admittedShare float64
}

type clusterKey struct {
	table policyapi.TableID
	class policyapi.RequestClass
	zone  policyapi.Zone
}

func (c *Core) tableCluster(g *gateway, key clusterKey, name string) encodedCluster {
	weights, admit, acts := c.solverWeights(key.table, int(key.class))
	if !acts {
		weights = c.weights[key.table]
	}
	weights = c.effectiveWeights(g, key.table, int(key.class), weights)
	weights = c.limitTable(g.zone, "", weights)
	return encodedCluster{c.buildCluster(name, weights), weights, admit}
}

// buildCluster makes a cluster, with nothing open that the rules close.
func (c *Core) buildCluster(name string, weights map[policyapi.EndpointID]float64) routing.Cluster {
	return routing.BuildCluster(name, weights, c.endpoints.zoneOf, func(b policyapi.EndpointID) bool {
		return c.ejected[b] || c.endpoints.closed(b, c.settings.Start.Rules.SoftRemoval)
	})
}

// unlimitedAdmission is a rate that no gateway comes near; the module says so to turn nothing away.
const unlimitedAdmission = 1e6
