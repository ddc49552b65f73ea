package coordinator

import (
	"cmp"
	"maps"
	"slices"
	"strconv"

	"porthub/policyapi"
	"porthub/routing"
	"porthub/solver"
)

// solver joins the solver to the core. The module's tables pass untouched while they keep every limit; package solver
// decides when they don't and what acts instead. Here is only what it is told and what becomes of its answer.
type solverState struct {
	health      *solver.ClassHealth
	estimate    *solver.CapacityEstimator
	activation  *solver.Activation
	classLoads  map[classLoadKey]*policyapi.EndpointClassLoad // since the last round
	utilization map[policyapi.EndpointID]float64              // the nodes' own word, the last of this round
	roundAt     micros
	tables      map[solver.TableKey]solver.Table
	round       solver.Round
	pending     bool // a round of reports has ended and the module has not been asked since
	startTimes  map[policyapi.EndpointID]micros
	overshoot   solver.OvershootEstimator
}

type classLoadKey struct {
	zone     policyapi.Zone
	endpoint policyapi.EndpointID
	class    policyapi.RequestClass
}

func newSolverState(kinds int) *solverState {
	return &solverState{health: solver.NewClassHealth(kinds), estimate: solver.NewCapacityEstimator(kinds), activation: solver.NewActivation(),
		classLoads: map[classLoadKey]*policyapi.EndpointClassLoad{}, utilization: map[policyapi.EndpointID]float64{}, startTimes: map[policyapi.EndpointID]micros{}}
}

// addLoad takes in what a report said of one node and kind.
func (s *solverState) addLoad(zone policyapi.Zone, kind policyapi.RequestClass, e EndpointReport, interval micros) {
	key := classLoadKey{zone, e.Endpoint, kind}
	h := s.classLoads[key]
	if h == nil {
		h = &policyapi.EndpointClassLoad{Zone: zone, Endpoint: e.Endpoint, Class: kind}
		s.classLoads[key] = h
	}
	if done := e.Attempts - e.Failures; done > 0 {
		before := h.Attempts - h.Failures
		h.MeanLatency = (h.MeanLatency*micros(before) + e.MeanLatency*micros(done)) / micros(before+done)
	}
	h.Attempts, h.Failures, h.Period = h.Attempts+e.Attempts, h.Failures+e.Failures, max(h.Period, interval)
	if busy, told := e.Metrics["busy"]; told {
		s.utilization[e.Endpoint] = busy
	}
}

// closeSolverRound judges and learns from what was heard since the last round.
func (c *Core) closeSolverRound(gathering bool) {
	s := c.solver
	seconds := float64(c.now-s.roundAt) / float64(second)
	s.roundAt, s.pending = c.now, true
	keys := slices.SortedFunc(maps.Keys(s.classLoads), func(a, b classLoadKey) int {
		return cmp.Or(cmp.Compare(a.endpoint, b.endpoint), cmp.Compare(a.zone, b.zone), cmp.Compare(a.class, b.class))
	})
	var heard []policyapi.EndpointClassLoad
	byNode := map[policyapi.EndpointID][]policyapi.EndpointClassLoad{}
	for _, k := range keys {
		heard = append(heard, *s.classLoads[k])
		byNode[k.endpoint] = append(byNode[k.endpoint], *s.classLoads[k])
	}
	var ready []policyapi.EndpointID
	for _, e := range c.listedEndpoints() {
		if s.startTimes[e.ID] != e.StartedAt { // another process under its name
			s.startTimes[e.ID] = e.StartedAt
			s.health.Forget(e.ID)
		}
		if e.Status == policyapi.Ready {
			ready = append(ready, e.ID)
		}
		if busy, told := s.utilization[e.ID]; told && !gathering && seconds < 5 {
			s.estimate.Round(e.ID, seconds, busy, c.warmUpProgress(e) == 1, byNode[e.ID])
		}
	}
	for _, line := range s.health.Round(c.now, heard, ready) {
		c.emit(LogEntry{Level: LogInfo, Event: "solver", Text: line})
	}
	clear(s.classLoads)
	clear(s.utilization)
}

// warmUpProgress is the part of its capacity that a node has by the slowest course the rules allow.
func (c *Core) warmUpProgress(e policyapi.Endpoint) float64 {
	r := c.settings.Start.Rules
	if e.StartedAt <= 0 || c.now-e.StartedAt >= r.WarmUp {
		return 1
	}
	return r.InitialCapacity + (1-r.InitialCapacity)*float64(c.now-e.StartedAt)/float64(r.WarmUp)
}

// warmUpLoadLimit of what a cold node can do may be offered to it, as in the module's tables.
const warmUpLoadLimit = 0.7

// trialWeightFactor of its weight is what a node gets of a kind that it failed.
const trialWeightFactor = 0.1

// solveTables asks the keeper what acts, and returns the tables that something has changed for.
func (c *Core) solveTables() map[policyapi.TableID]bool {
	s := c.solver
	f, hold := c.solverFleet()
	if len(f.Consumers) == 0 || len(f.Endpoints) == 0 || f.Check() != nil {
		return nil
	}
	before := maps.Clone(s.tables)
	s.round = s.activation.Step(f, hold)
	for _, line := range s.round.Log {
		c.emit(LogEntry{Level: LogInfo, Event: "solver", Text: line})
	}
	s.tables = maps.Clone(s.round.Tables)
	changed := map[policyapi.TableID]bool{}
	for key := range union(before, s.tables) {
		old, was := before[key]
		now, is := s.tables[key]
		if was != is || !maps.Equal(old.Weights, now.Weights) || old.Admit != now.Admit {
			if n, err := strconv.Atoi(key.Consumer); err == nil {
				changed[policyapi.TableID(n)] = true
			}
		}
	}
	return changed
}

func union[K comparable, V any](a, b map[K]V) map[K]bool {
	all := map[K]bool{}
	for k := range a {
		all[k] = true
	}
	for k := range b {
		all[k] = true
	}
	return all
}

// solverFleet is what the solver is asked about: the listed nodes, and as users the tables that gateways are bound to, with
// what their levels let in of what comes to them. hold: a node is on trial for a kind, or kept from one.
func (c *Core) solverFleet() (f solver.Fleet, hold bool) {
	s, kinds := c.solver, c.settings.Start.Classes
	for _, k := range kinds {
		kind := solver.Class{Name: k.Name, PriorityWeight: k.PriorityWeight, LocalZoneOnly: k.LocalZoneOnly}
		for _, z := range k.AllowedZones {
			kind.AllowedZones = append(kind.AllowedZones, string(z))
		}
		f.Classes = append(f.Classes, kind)
	}
	index := map[policyapi.EndpointID]int{}
	costs := s.estimate.Costs()
	present := c.listedEndpoints()
	if slices.ContainsFunc(present, func(e policyapi.Endpoint) bool { return c.warmUpProgress(e) < 1 }) {
		c.measureOvershoot()
	}
	for _, e := range present {
		warm := c.warmUpProgress(e)
		if warm < 1 {
			warm /= s.overshoot.Factor()
		}
		n := solver.Endpoint{Name: string(e.ID), Zone: string(e.Zone), Pod: int(e.Pod), Capacity: s.estimate.Capacity(e.ID) * warm,
			Cost: costs, Closed: e.Status != policyapi.Ready || c.ejected[e.ID]}
		if warm < 1 {
			n.Limit = warmUpLoadLimit
		}
		for k := range kinds {
			if v := s.health.Status(e.ID, k); v != solver.ClassHealthy {
				hold = true
				if n.Failing == nil {
					n.Failing = make([]bool, len(kinds))
				}
				n.Failing[k] = v == solver.ClassFailing
			}
		}
		index[e.ID] = len(f.Endpoints)
		f.Endpoints = append(f.Endpoints, n)
	}
	users := map[policyapi.TableID]int{}
	for proxy := range policyapi.ProxyID(len(c.gateways)) {
		g := c.byProxy[proxy]
		if !g.joined || !g.bound() {
			continue
		}
		for k, table := range g.tables {
			u, has := users[table]
			if !has {
				u = len(f.Consumers)
				users[table] = u
				user := solver.Consumer{Name: strconv.Itoa(int(table)), Zone: string(g.zone), Demand: make([]float64, len(kinds)),
					Wanted: make([][]solver.Share, len(kinds))}
				for kind := range kinds {
					user.Wanted[kind] = c.wantedShares(table, kind, index, &f)
				}
				f.Consumers = append(f.Consumers, user)
			}
			f.Consumers[u].Demand[k] += g.admittedRate(k)
		}
	}
	return f, hold
}

// measureOvershoot holds what came to nodes in the last round against what the tables that gateways hold plan for them.
func (c *Core) measureOvershoot() {
	planned := map[policyapi.EndpointID]float64{}
	for proxy := range policyapi.ProxyID(len(c.gateways)) {
		g := c.byProxy[proxy]
		if !g.joined {
			continue
		}
		for k, cl := range g.inFlight.Sent().Clusters {
			total := 0.0
			for _, l := range cl.Endpoints {
				if !l.Withheld {
					total += l.Weight
				}
			}
			for _, l := range cl.Endpoints {
				if !l.Withheld && total > 0 {
					planned[l.Endpoint] += g.admittedRate(k) * l.Weight / total
				}
			}
		}
	}
	var nodes []solver.EndpointOutcome
	for _, b := range slices.Sorted(maps.Keys(planned)) {
		if f, known := c.sampler.Estimate(c.now, b); known && c.now-f.At < 2*c.settings.Start.Reports.Period {
			nodes = append(nodes, solver.EndpointOutcome{Planned: planned[b], Actual: f.Attempts})
		}
	}
	c.solver.overshoot.Round(nodes)
}

// wantedShares is the module's table as the solver has it: ready nodes only, those on trial for the kind by a tenth.
func (c *Core) wantedShares(table policyapi.TableID, kind int, index map[policyapi.EndpointID]int, f *solver.Fleet) (lines []solver.Share) {
	for _, b := range slices.Sorted(maps.Keys(c.weights[table])) {
		j, listed := index[b]
		w := c.weights[table][b]
		if !listed || w <= 0 || f.Endpoints[j].Closed {
			continue
		}
		if c.solver.health.Status(b, kind) == solver.ClassOnTrial {
			w *= trialWeightFactor
		}
		lines = append(lines, solver.Share{Endpoint: j, Weight: w})
	}
	return lines
}

// admittedRate is what a gateway lets in of what comes to it of a kind, reqs a second.
func (g *gateway) admittedRate(kind int) float64 {
	if kind >= len(g.demand) {
		return 0
	}
	u := g.demand[kind]
	if kind < len(g.inFlight.Sent().Routes) {
		r := g.inFlight.Sent().Routes[kind]
		if u *= r.Share; r.Rate >= 0 {
			u = min(u, r.Rate)
		}
	}
	return u
}

// solverWeights puts what acts in the place of a table's weights.
func (c *Core) solverWeights(table policyapi.TableID, kind int) (map[policyapi.EndpointID]float64, float64, bool) {
	if c.solver == nil {
		return nil, 1, false
	}
	t, acts := c.solver.tables[solver.TableKey{Consumer: strconv.Itoa(int(table)), Class: kind}]
	if !acts {
		return nil, 1, false
	}
	weights := make(map[policyapi.EndpointID]float64, len(t.Weights))
	for name, w := range t.Weights {
		weights[policyapi.EndpointID(name)] = w * float64(len(t.Weights)) // about 1 each, as the module's are
	}
	return weights, t.Admit, true
}

// solverWeightsByClass is what acts in the place of a table's weights, by kind; nil: nothing does.
func (c *Core) solverWeightsByClass(table policyapi.TableID) (by map[policyapi.RequestClass]routing.Weights) {
	for k := range c.settings.Start.Classes {
		if w, _, acts := c.solverWeights(table, k); acts {
			if by == nil {
				by = map[policyapi.RequestClass]routing.Weights{}
			}
			by[policyapi.RequestClass(k)] = w
		}
	}
	return by
}

// solverRate is the rate that the solver's admission comes to at a gateway. It stays while it is near what is right.
func (g *gateway) solverRate(kind int, admit float64, base routing.Route) float64 {
	if admit >= 1 {
		g.stableRate(kind, -1)
		return base.Rate
	}
	usage := 0.0
	if kind < len(g.demand) {
		usage = g.demand[kind]
	}
	rate := g.stableRate(kind, max(0.1, admit*usage))
	if base.Rate >= 0 {
		rate = min(rate, base.Rate)
	}
	return rate
}

// mayPublishUnordered tells whether a message that the module does not know of may go to a gateway now: half of its messages
// and a quarter of the queue are left to the module, which counts on them.
func (c *Core) mayPublishUnordered(g *gateway) bool {
	r := c.settings.Start.Rules
	if r.MessageLimit > 0 && g.inFlight.UsedMessages(c.now) >= r.MessageLimit/2 {
		return false
	}
	return c.linesInFlight < r.QueueLimit/4
}

// SolverStatus is how the solver stands.
type SolverStatus struct {
	Active           bool                `json:"acting"`
	WorstUtilization float64             `json:"worst"` // largest load over a limit that the module's tables would bring
	WorstEndpoint    string              `json:"at"`
	Tables           int                 `json:"tables"` // that act in place of the module's
	Moved            int                 `json:"moved"`  // in the last round
	Explanations     []string            `json:"nodes,omitempty"`
	Certificate      *solver.Certificate `json:"certificate,omitempty"`
	Failing          []string            `json:"failing,omitempty"` // node and kind
}

func (c *Core) solverStatus() *SolverStatus {
	if c.solver == nil {
		return nil
	}
	r := c.solver.round
	st := &SolverStatus{Active: r.Active, WorstUtilization: r.WorstUtilization, WorstEndpoint: r.WorstEndpoint, Tables: len(c.solver.tables), Moved: r.Moved, Certificate: r.Certificate}
	for _, e := range c.listedEndpoints() {
		st.Explanations = append(st.Explanations, string(e.ID))
		for k, kind := range c.settings.Start.Classes {
			if c.solver.health.Status(e.ID, k) == solver.ClassFailing {
				st.Failing = append(st.Failing, string(e.ID)+" "+kind.Name)
			}
		}
	}
	return st
}
